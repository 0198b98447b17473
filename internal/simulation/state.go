// Package standin plays the outside world for tests: the state service, the
// cloud, and workers, with the protocol's nastiness. It serves the interfaces
// that the duties use, in whatever time the test runs on, and checks the rules
// of the protocol while it does.
package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"strings"
	"sync"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/records"

	"golang.org/x/time/rate"
)

// Store is a state service.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	entries           map[string]records.KeyValue
	log               []records.Event
	leases            map[uint64]*lease
	lastLease         uint64
	compactedRevision uint64          // changes up to this revision are not in the log
	outage            bool            // an outage for everyone
	refusedClients    map[string]bool // clients that are refused alone
	changed           chan struct{}
	Writes            int
	maxValueKB        float64 // limits, 0 for none
	maxTxnOps         int
	writeLimiter      *rate.Limiter // of changes
	TooLarge          []string      // what was refused for good as too large
	ThrottledWrites   int           // how often changes were refused as too many a second
	// Keep, where it is set, is told of every change, in order and with the lock held.
	OnChange func(Change)
}

// Change is what a revision changed, for whoever keeps it.
type Change struct {
	Revision     uint64
	Writes       []records.KeyValue
	Deletes      []string // keys
	LeaseID      uint64   // the last lease given out
	TTL          time.Duration
	RevokedLease uint64 // a lease that has ended
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty service.
func NewStore() *Store {
	return &Store{entries: map[string]records.KeyValue{}, leases: map[uint64]*lease{}, refusedClients: map[string]bool{}, changed: make(chan struct{})}
}

// SetOutage starts or ends an outage; afterwards every lease has its full time.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for id, g := range s.leases {
		if on {
			g.timer.Stop()
		} else {
			s.armLocked(id, g)
		}
	}
}

// SetLimits sets the largest value and transaction, and the changes a second, from now on.
// What is there stays.
func (s *Store) SetLimits(valueKB float64, txnOps int, writeRPS float64) {
	s.mu.Lock()
	s.maxValueKB, s.maxTxnOps = valueKB, txnOps
	s.writeLimiter = rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS))
	s.mu.Unlock()
}

// Load puts in what another run left, without what was attached to a lease.
func (s *Store) Load(rows map[string]records.KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range rows {
		if r.LeaseID == 0 {
			s.entries[k] = r
		}
		s.revision = max(s.revision, r.Revision)
	}
}

// Restore puts in what the service itself had kept when it ended: all leases have their
// full time again.
func (s *Store) Restore(rows []records.KeyValue, epoch, hold uint64, lives map[uint64]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		s.entries[r.Key] = r
	}
	s.revision, s.lastLease, s.compactedRevision = epoch, hold, epoch
	for id, life := range lives {
		g := &lease{ttl: life}
		s.leases[id] = g
		s.armLocked(id, g)
	}
}

// Revision is the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// recordChangeLocked notes a change for good.
func (s *Store) recordChangeLocked(c Change) {
	if s.OnChange != nil {
		c.Revision = s.revision
		s.OnChange(c)
	}
	if n := len(s.log); n > 2*maxWatchEvents {
		s.log = append([]records.Event(nil), s.log[n-maxWatchEvents:]...)
		s.compactedRevision = s.log[0].Revision
	}
}

// maxWatchEvents is how many changes a watch can go back. It bounds no rows: a watch that is further
// behind is told so, and reads the rows anew.
const maxWatchEvents = 10_000

// get reads a key.
func (s *Store) get(key string) (records.KeyValue, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.entries[key]
	return r, s.revision, ok
}

// List lists what is under a prefix, in the order of the keys, as of one moment.
func (s *Store) List(prefix string) []records.KeyValue {
	rows, _, _ := s.page(prefix, "", math.MaxInt, math.MaxInt)
	return rows
}

// page reads keys under a prefix, behind since, at most limit and so many bytes of them.
func (s *Store) page(prefix, since string, limit, most int) (rows []records.KeyValue, more bool, epoch uint64) {
	s.mu.Lock()
	epoch = s.revision
	for k, r := range s.entries {
		if strings.HasPrefix(k, prefix) && k > since {
			rows = append(rows, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	bytes := 0
	for i, r := range rows {
		if bytes += len(r.Value) + len(r.Key) + 64; i >= limit || i > 0 && bytes > most {
			return rows[:i], true, epoch
		}
	}
	return rows, false, epoch
}

// maxPageBytes is what an answer to a list holds, in bytes; the rest comes in further pages.
const maxPageBytes = 512 << 10

// grantLease gives a lease out.
func (s *Store) grantLease(life time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	g := &lease{ttl: life}
	s.leases[s.lastLease] = g
	s.armLocked(s.lastLease, g)
	s.recordChangeLocked(Change{LeaseID: s.lastLease, TTL: life})
	return s.lastLease
}

// renewLease renews a lease, and says whether there is one.
func (s *Store) renewLease(hold uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.leases[hold]
	if g != nil {
		s.armLocked(hold, g)
	}
	return g != nil
}

// revokeLease ends a lease at once.
func (s *Store) revokeLease(hold uint64) {
	s.mu.Lock()
	s.endLeaseLocked(hold)
	s.mu.Unlock()
}

// refuses says whether the service refuses a client.
func (s *Store) refuses(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage || s.refusedClients[client]
}

// watch waits for a change under a prefix, and looks at gone now and then. Open watches
// stay open through an outage.
func (s *Store) watch(ctx context.Context, client, prefix string, since uint64, wait time.Duration, gone func() bool) ([]records.Event, uint64, error) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		var events []records.Event
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > since })
		for _, e := range s.log[first:] {
			if e.Write != "" && strings.HasPrefix(e.Write, prefix) || e.Delete != "" && strings.HasPrefix(e.Delete, prefix) {
				events = append(events, e)
			}
		}
		epoch, changed, blocked, old := s.revision, s.changed, s.outage || s.refusedClients[client], since < s.compactedRevision
		s.mu.Unlock()
		left := time.Until(end)
		switch {
		case gone():
			return nil, since, records.ErrUnknownOutcome
		case blocked:
			left = max(left, latency)
		case old:
			return nil, since, records.ErrCompacted
		case len(events) > 0 || left <= 0:
			return events, epoch, nil
		}
		t := time.NewTimer(left)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil, since, ctx.Err()
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// SetRefused makes the service refuse one client alone, or serve it again.
func (s *Store) SetRefused(client string, on bool) {
	s.mu.Lock()
	s.refusedClients[client] = on
	s.mu.Unlock()
}

// Value returns a key's value as text, "" when absent.
func (s *Store) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.entries[key].Value)
}

// Keys lists the keys under a prefix.
func (s *Store) Keys(prefix string) []string {
	var keys []string
	for _, r := range s.List(prefix) {
		keys = append(keys, r.Key)
	}
	return keys
}

func (s *Store) armLocked(id uint64, g *lease) {
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timer = time.AfterFunc(g.ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == g && !s.outage {
			s.endLeaseLocked(id)
		}
	})
}

// endLeaseLocked drops a grant and the keys attached to it.
func (s *Store) endLeaseLocked(id uint64) {
	if g := s.leases[id]; g != nil {
		g.timer.Stop()
	}
	delete(s.leases, id)
	gone := Change{RevokedLease: id}
	for k, r := range s.entries {
		if r.LeaseID == id {
			s.revision++
			delete(s.entries, k)
			s.log = append(s.log, records.Event{Delete: k, Revision: s.revision})
			gone.Deletes = append(gone.Deletes, k)
		}
	}
	s.recordChangeLocked(gone)
	s.wakeWatchersLocked()
}

func (s *Store) wakeWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Commit applies a transaction as the protocol says.
func (s *Store) commit(when []records.Compare, ops []records.Op) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range ops {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return 0, records.ErrLeaseExpired
		}
	}
	if s.maxTxnOps > 0 && (len(ops) > s.maxTxnOps || len(when) > 4*s.maxTxnOps) {
		s.TooLarge = append(s.TooLarge, fmt.Sprint(len(ops), " changes"))
		return 0, fmt.Errorf("%w: too many changes", records.ErrInvalid)
	}
	for _, op := range ops {
		if n := records.EncodedSize(op.Value); op.Write != "" && s.maxValueKB > 0 && float64(n) > s.maxValueKB*1024 {
			s.TooLarge = append(s.TooLarge, fmt.Sprint(op.Write, " of ", n, " bytes"))
			return 0, fmt.Errorf("%w: too large a value", records.ErrInvalid)
		}
	}
	if s.writeLimiter != nil && !s.writeLimiter.AllowN(time.Now(), len(ops)) {
		s.ThrottledWrites++
		return 0, records.ErrThrottled
	}
	var failed []string
	for _, c := range when {
		if s.entries[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	s.Writes += len(ops)
	if failed != nil {
		return 0, &records.ConflictError{Failed: failed, Revision: s.revision}
	}
	s.revision++
	var change Change
	for _, op := range ops {
		if op.Delete != "" {
			delete(s.entries, op.Delete)
			s.log = append(s.log, records.Event{Delete: op.Delete, Revision: s.revision})
			change.Deletes = append(change.Deletes, op.Delete)
			continue
		}
		raw, err := json.Marshal(op.Value)
		if err != nil {
			return 0, err
		}
		s.entries[op.Write] = records.KeyValue{Key: op.Write, Value: raw, Revision: s.revision, LeaseID: op.LeaseID}
		s.log = append(s.log, records.Event{Write: op.Write, Value: raw, Revision: s.revision})
		change.Writes = append(change.Writes, s.entries[op.Write])
	}
	s.recordChangeLocked(change)
	s.wakeWatchersLocked()
	return s.revision, nil
}

// Client is one controller's connection.
type Client struct {
	store        *Store
	name         string
	started      time.Time
	writeLimiter *rate.Limiter // nil: no limit

	mu                 sync.Mutex
	lastOK, lastFailed time.Time
	lastResponse       time.Time
	killed             bool
	hang               time.Duration // how long calls hang that nobody answers; 0: they are answered
	loseAnswers        int           // so many commits are executed without an answer
	lateBy             time.Duration // and so late
	pickLateWrite      func() (time.Duration, bool)
	delay              time.Duration // by how much later calls get there
}

// Client returns the connection of a controller.
func (s *Store) Client(name string) *Client {
	return &Client{store: s, name: name, started: time.Now()}
}

// LoseAnswers makes the next n commits execute d later, without an answer.
func (c *Client) LoseAnswers(n int, d time.Duration) {
	c.mu.Lock()
	c.loseAnswers, c.lateBy = n, d
	c.mu.Unlock()
}

// SetLateWrites decides for each commit whether it gets no answer and is carried out that much
// later, after newer ones; 0: at once, only its answer is lost. nil: none does.
func (c *Client) SetLateWrites(pick func() (time.Duration, bool)) {
	c.mu.Lock()
	c.pickLateWrite = pick
	c.mu.Unlock()
}

// SetDelay makes every call take so much longer; 0: it does not.
func (c *Client) SetDelay(d time.Duration) {
	c.mu.Lock()
	c.delay = d
	c.mu.Unlock()
}

// requestTimeout is how long a caller waits for an answer, as the daemon's settings have it.
const requestTimeout = time.Second

// SetHang makes every call hang for so long without an answer; 0: they are answered again.
func (c *Client) SetHang(d time.Duration) {
	c.mu.Lock()
	c.hang = d
	c.mu.Unlock()
	c.store.mu.Lock()
	c.store.wakeWatchersLocked() // open watches see it
	c.store.mu.Unlock()
}

func (c *Client) hanging() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hang
}

// Kill ends the connection of a process that is no more.
func (c *Client) Kill() {
	c.mu.Lock()
	c.killed = true
	c.mu.Unlock()
}

const latency = 5 * time.Millisecond

func (c *Client) admit(ctx context.Context) error {
	c.mu.Lock()
	slow := c.delay
	c.mu.Unlock()
	if err := ctxtime.Sleep(ctx, max(latency, c.hanging(), min(slow, requestTimeout))); err != nil {
		return err
	}
	if slow >= requestTimeout {
		c.mu.Lock()
		c.lastFailed = time.Now()
		c.mu.Unlock()
		return fmt.Errorf("%w: too slow", records.ErrUnknownOutcome)
	}
	refused := c.store.refuses(c.name)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.killed:
		return records.ErrUnknownOutcome
	case c.hang > 0:
		c.lastFailed = time.Now()
		return records.ErrUnknownOutcome
	case refused:
		c.lastFailed, c.lastResponse = time.Now(), time.Now()
		return records.ErrUnavailable
	}
	c.lastOK, c.lastResponse = time.Now(), time.Now()
	return nil
}

// Health tells when the service last answered.
func (c *Client) Health() (time.Time, bool, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOK, c.lastFailed.After(c.lastOK), c.started
}

// LastResponse tells when the service last answered anything, a refusal included.
func (c *Client) LastResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse
}

// FailedSince says whether the last request failed, later than t.
func (c *Client) FailedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastFailed.After(c.lastOK) && c.lastFailed.After(t)
}

// WaitForWrites waits for the leader's share of the changes a second.
func (c *Client) WaitForWrites(ctx context.Context, n int) error {
	if c.writeLimiter == nil {
		return ctx.Err()
	}
	return c.writeLimiter.WaitN(ctx, min(n, c.writeLimiter.Burst()))
}

// SetWriteShare gives the client's controller its share of the changes a second.
func (c *Client) SetWriteShare(writeRPS float64) {
	c.writeLimiter = rate.NewLimiter(rate.Limit(writeRPS), max(int(writeRPS), 1))
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (*records.KeyValue, error) {
	if err := c.admit(ctx); err != nil {
		return nil, err
	}
	if r, _, ok := c.store.get(key); ok {
		return &r, nil
	}
	return nil, nil
}

// List reads the keys under a prefix.
func (c *Client) List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error) {
	if err := c.admit(ctx); err != nil {
		return 0, err
	}
	var first uint64
	for since, more := "", true; more; {
		var rows []records.KeyValue
		var epoch uint64
		if rows, more, epoch = c.store.page(prefix, since, 500, maxPageBytes); since == "" {
			first = epoch
		}
		for _, r := range rows {
			if err := each(r); err != nil {
				return 0, err
			}
			since = r.Key
		}
	}
	return first, nil
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, when []records.Compare, ops []records.Op) (uint64, error) {
	c.mu.Lock()
	slow, cut := c.delay, c.killed
	c.mu.Unlock()
	if slow >= requestTimeout && !cut {
		// It gets there all the same, when nobody waits for it any more.
		time.AfterFunc(slow, func() {
			if !c.store.refuses(c.name) {
				_, _ = c.store.commit(when, ops)
			}
		})
	}
	if err := c.admit(ctx); err != nil {
		return 0, err
	}
	c.mu.Lock()
	lose, late := c.loseAnswers > 0, c.lateBy
	if lose {
		c.loseAnswers--
	} else if c.pickLateWrite != nil {
		late, lose = c.pickLateWrite()
	}
	c.mu.Unlock()
	if lose && late == 0 {
		// It is carried out at once, and only its answer is lost.
		_, _ = c.store.commit(when, ops)
		if err := ctxtime.Sleep(ctx, requestTimeout); err != nil {
			return 0, err
		}
		c.mu.Lock()
		c.lastFailed = time.Now()
		c.mu.Unlock()
		return 0, fmt.Errorf("%w: its answer is lost", records.ErrUnknownOutcome)
	}
	if lose {
		time.AfterFunc(late, func() { _, _ = c.store.commit(when, ops) })
		return 0, fmt.Errorf("%w: lost", records.ErrUnknownOutcome)
	}
	return c.store.commit(when, ops)
}

// GrantLease obtains a lease.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (uint64, error) {
	if err := c.admit(ctx); err != nil {
		return 0, err
	}
	return c.store.grantLease(life), nil
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, hold uint64, _ time.Duration) error {
	if err := c.admit(ctx); err != nil {
		return err
	}
	if !c.store.renewLease(hold) {
		return records.ErrLeaseExpired
	}
	return nil
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(ctx context.Context, hold uint64) {
	if c.admit(ctx) == nil {
		c.store.revokeLease(hold)
	}
}

// Watch waits for a change under a prefix.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]records.Event, uint64, error) {
	if err := c.admit(ctx); err != nil {
		return nil, since, err
	}
	events, epoch, err := c.store.watch(ctx, c.name, prefix, since, wait, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.killed || c.hang > 0
	})
	if err == nil {
		c.mu.Lock()
		c.lastOK = time.Now()
		c.mu.Unlock()
	}
	return events, epoch, err
}
