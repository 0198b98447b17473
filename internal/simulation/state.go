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

// State is a state service.
type State struct {
	mu              sync.Mutex
	epoch           uint64
	rows            map[string]records.KeyValue
	log             []records.Event
	grants          map[uint64]*grant
	hold            uint64
	forgot          uint64          // changes up to this revision are not in the log
	out             bool            // an outage for everyone
	refused         map[string]bool // clients that are refused alone
	changed         chan struct{}
	Writes          int
	valueKB         float64 // limits, 0 for none
	txnOps          int
	rate            *rate.Limiter // of changes
	Refused         []string      // what was refused for good as too large
	ThrottledWrites int           // how often changes were refused as too many a second
	// Keep, where it is set, is told of every change, in order and with the lock held.
	OnChange func(Change)
}

// Change is what a revision changed, for whoever keeps it.
type Change struct {
	Revision     uint64
	Writes       []records.KeyValue
	Deletes      []string // keys
	LeaseID      uint64   // the last lease given out
	Life         time.Duration
	RevokedLease uint64 // a lease that has ended
}

type grant struct {
	life  time.Duration
	timer *time.Timer
}

// NewState returns an empty service.
func NewState() *State {
	return &State{rows: map[string]records.KeyValue{}, grants: map[uint64]*grant{}, refused: map[string]bool{}, changed: make(chan struct{})}
}

// Outage starts or ends an outage; afterwards every lease has its full time.
func (s *State) Outage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = on
	for id, g := range s.grants {
		if on {
			g.timer.Stop()
		} else {
			s.arm(id, g)
		}
	}
}

// Limit sets the largest value and transaction, and the changes a second, from now on.
// What is there stays.
func (s *State) Limit(valueKB float64, txnOps int, writeRPS float64) {
	s.mu.Lock()
	s.valueKB, s.txnOps = valueKB, txnOps
	s.rate = rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS))
	s.mu.Unlock()
}

// Fill puts in what another run left, without what was attached to a lease.
func (s *State) Fill(rows map[string]records.KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range rows {
		if r.LeaseID == 0 {
			s.rows[k] = r
		}
		s.epoch = max(s.epoch, r.Revision)
	}
}

// Restore puts in what the service itself had kept when it ended: all leases have their
// full time again.
func (s *State) Restore(rows []records.KeyValue, epoch, hold uint64, lives map[uint64]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		s.rows[r.Key] = r
	}
	s.epoch, s.hold, s.forgot = epoch, hold, epoch
	for id, life := range lives {
		g := &grant{life: life}
		s.grants[id] = g
		s.arm(id, g)
	}
}

// Revision is the revision of the last change.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// keep notes a change for good.
func (s *State) keep(c Change) {
	if s.OnChange != nil {
		c.Revision = s.epoch
		s.OnChange(c)
	}
	if n := len(s.log); n > 2*mostLog {
		s.log = append([]records.Event(nil), s.log[n-mostLog:]...)
		s.forgot = s.log[0].Revision
	}
}

// mostLog is how many changes a watch can go back. It bounds no rows: a watch that is further
// behind is told so, and reads the rows anew.
const mostLog = 10_000

// row reads a key.
func (s *State) row(key string) (records.KeyValue, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[key]
	return r, s.epoch, ok
}

// Rows lists what is under a prefix, in the order of the keys, as of one moment.
func (s *State) Rows(prefix string) []records.KeyValue {
	rows, _, _ := s.list(prefix, "", math.MaxInt, math.MaxInt)
	return rows
}

// list reads keys under a prefix, behind since, at most limit and so many bytes of them.
func (s *State) list(prefix, since string, limit, most int) (rows []records.KeyValue, more bool, epoch uint64) {
	s.mu.Lock()
	epoch = s.epoch
	for k, r := range s.rows {
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

// mostPage is what an answer to a list holds, in bytes; the rest comes in further pages.
const mostPage = 512 << 10

// grant gives a lease out.
func (s *State) grant(life time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold++
	g := &grant{life: life}
	s.grants[s.hold] = g
	s.arm(s.hold, g)
	s.keep(Change{LeaseID: s.hold, Life: life})
	return s.hold
}

// extend renews a lease, and says whether there is one.
func (s *State) extend(hold uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.grants[hold]
	if g != nil {
		s.arm(hold, g)
	}
	return g != nil
}

// drop ends a lease at once.
func (s *State) drop(hold uint64) {
	s.mu.Lock()
	s.end(hold)
	s.mu.Unlock()
}

// away says whether the service refuses a client.
func (s *State) away(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out || s.refused[client]
}

// watch waits for a change under a prefix, and looks at gone now and then. Open watches
// stay open through an outage.
func (s *State) watch(ctx context.Context, client, prefix string, since uint64, wait time.Duration, gone func() bool) ([]records.Event, uint64, error) {
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
		epoch, changed, blocked, old := s.epoch, s.changed, s.out || s.refused[client], since < s.forgot
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

// Refuse makes the service refuse one client alone, or serve it again.
func (s *State) Refuse(client string, on bool) {
	s.mu.Lock()
	s.refused[client] = on
	s.mu.Unlock()
}

// Value returns a key's value as text, "" when absent.
func (s *State) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[key].Value)
}

// Keys lists the keys under a prefix.
func (s *State) Keys(prefix string) []string {
	var keys []string
	for _, r := range s.Rows(prefix) {
		keys = append(keys, r.Key)
	}
	return keys
}

func (s *State) arm(id uint64, g *grant) {
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timer = time.AfterFunc(g.life, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.grants[id] == g && !s.out {
			s.end(id)
		}
	})
}

// end drops a grant and the keys attached to it.
func (s *State) end(id uint64) {
	if g := s.grants[id]; g != nil {
		g.timer.Stop()
	}
	delete(s.grants, id)
	gone := Change{RevokedLease: id}
	for k, r := range s.rows {
		if r.LeaseID == id {
			s.epoch++
			delete(s.rows, k)
			s.log = append(s.log, records.Event{Delete: k, Revision: s.epoch})
			gone.Deletes = append(gone.Deletes, k)
		}
	}
	s.keep(gone)
	s.wake()
}

func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Commit applies a transaction as the protocol says.
func (s *State) commit(when []records.Compare, ops []records.Op) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range ops {
		if op.LeaseID != 0 && s.grants[op.LeaseID] == nil {
			return 0, records.ErrLeaseExpired
		}
	}
	if s.txnOps > 0 && (len(ops) > s.txnOps || len(when) > 4*s.txnOps) {
		s.Refused = append(s.Refused, fmt.Sprint(len(ops), " changes"))
		return 0, fmt.Errorf("%w: too many changes", records.ErrInvalid)
	}
	for _, op := range ops {
		if n := records.EncodedSize(op.Value); op.Write != "" && s.valueKB > 0 && float64(n) > s.valueKB*1024 {
			s.Refused = append(s.Refused, fmt.Sprint(op.Write, " of ", n, " bytes"))
			return 0, fmt.Errorf("%w: too large a value", records.ErrInvalid)
		}
	}
	if s.rate != nil && !s.rate.AllowN(time.Now(), len(ops)) {
		s.ThrottledWrites++
		return 0, records.ErrThrottled
	}
	var failed []string
	for _, c := range when {
		if s.rows[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	s.Writes += len(ops)
	if failed != nil {
		return 0, &records.ConflictError{Failed: failed, Revision: s.epoch}
	}
	s.epoch++
	var change Change
	for _, op := range ops {
		if op.Delete != "" {
			delete(s.rows, op.Delete)
			s.log = append(s.log, records.Event{Delete: op.Delete, Revision: s.epoch})
			change.Deletes = append(change.Deletes, op.Delete)
			continue
		}
		raw, err := json.Marshal(op.Value)
		if err != nil {
			return 0, err
		}
		s.rows[op.Write] = records.KeyValue{Key: op.Write, Value: raw, Revision: s.epoch, LeaseID: op.LeaseID}
		s.log = append(s.log, records.Event{Write: op.Write, Value: raw, Revision: s.epoch})
		change.Writes = append(change.Writes, s.rows[op.Write])
	}
	s.keep(change)
	s.wake()
	return s.epoch, nil
}

// Client is one controller's connection.
type Client struct {
	s       *State
	name    string
	started time.Time
	batch   *rate.Limiter // nil: no limit

	mu             sync.Mutex
	lastOK, failed time.Time
	reached        time.Time
	cut            bool
	hangs          time.Duration // how long calls hang that nobody answers; 0: they are answered
	loseAnswers    int           // so many commits are executed without an answer
	late           time.Duration // and so late
	lateWrites     func() (time.Duration, bool)
	slow           time.Duration // by how much later calls get there
}

// Client returns the connection of a controller.
func (s *State) Client(name string) *Client {
	return &Client{s: s, name: name, started: time.Now()}
}

// LoseAnswers makes the next n commits execute d later, without an answer.
func (c *Client) LoseAnswers(n int, d time.Duration) {
	c.mu.Lock()
	c.loseAnswers, c.late = n, d
	c.mu.Unlock()
}

// LateWrites decides for each commit whether it gets no answer and is carried out that much
// later, after newer ones; 0: at once, only its answer is lost. nil: none does.
func (c *Client) LateWrites(pick func() (time.Duration, bool)) {
	c.mu.Lock()
	c.lateWrites = pick
	c.mu.Unlock()
}

// Slow makes every call take so much longer; 0: it does not.
func (c *Client) Slow(d time.Duration) {
	c.mu.Lock()
	c.slow = d
	c.mu.Unlock()
}

// callPatience is how long a caller waits for an answer, as the daemon's settings have it.
const callPatience = time.Second

// Hang makes every call hang for so long without an answer; 0: they are answered again.
func (c *Client) Hang(d time.Duration) {
	c.mu.Lock()
	c.hangs = d
	c.mu.Unlock()
	c.s.mu.Lock()
	c.s.wake() // open watches see it
	c.s.mu.Unlock()
}

func (c *Client) hanging() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hangs
}

// Kill ends the connection of a process that is no more.
func (c *Client) Kill() {
	c.mu.Lock()
	c.cut = true
	c.mu.Unlock()
}

const latency = 5 * time.Millisecond

func (c *Client) pass(ctx context.Context) error {
	c.mu.Lock()
	slow := c.slow
	c.mu.Unlock()
	if err := ctxtime.Sleep(ctx, max(latency, c.hanging(), min(slow, callPatience))); err != nil {
		return err
	}
	if slow >= callPatience {
		c.mu.Lock()
		c.failed = time.Now()
		c.mu.Unlock()
		return fmt.Errorf("%w: too slow", records.ErrUnknownOutcome)
	}
	refused := c.s.away(c.name)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.cut:
		return records.ErrUnknownOutcome
	case c.hangs > 0:
		c.failed = time.Now()
		return records.ErrUnknownOutcome
	case refused:
		c.failed, c.reached = time.Now(), time.Now()
		return records.ErrUnavailable
	}
	c.lastOK, c.reached = time.Now(), time.Now()
	return nil
}

// Health tells when the service last answered.
func (c *Client) Health() (time.Time, bool, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOK, c.failed.After(c.lastOK), c.started
}

// LastResponse tells when the service last answered anything, a refusal included.
func (c *Client) LastResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reached
}

// FailedSince says whether the last request failed, later than t.
func (c *Client) FailedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed.After(c.lastOK) && c.failed.After(t)
}

// WaitForWrites waits for the leader's share of the changes a second.
func (c *Client) WaitForWrites(ctx context.Context, n int) error {
	if c.batch == nil {
		return ctx.Err()
	}
	return c.batch.WaitN(ctx, min(n, c.batch.Burst()))
}

// Share gives the client's controller its share of the changes a second.
func (c *Client) Share(writeRPS float64) {
	c.batch = rate.NewLimiter(rate.Limit(writeRPS), max(int(writeRPS), 1))
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (*records.KeyValue, error) {
	if err := c.pass(ctx); err != nil {
		return nil, err
	}
	if r, _, ok := c.s.row(key); ok {
		return &r, nil
	}
	return nil, nil
}

// List reads the keys under a prefix.
func (c *Client) List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error) {
	if err := c.pass(ctx); err != nil {
		return 0, err
	}
	var first uint64
	for since, more := "", true; more; {
		var rows []records.KeyValue
		var epoch uint64
		if rows, more, epoch = c.s.list(prefix, since, 500, mostPage); since == "" {
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
	slow, cut := c.slow, c.cut
	c.mu.Unlock()
	if slow >= callPatience && !cut {
		// It gets there all the same, when nobody waits for it any more.
		time.AfterFunc(slow, func() {
			if !c.s.away(c.name) {
				_, _ = c.s.commit(when, ops)
			}
		})
	}
	if err := c.pass(ctx); err != nil {
		return 0, err
	}
	c.mu.Lock()
	lose, late := c.loseAnswers > 0, c.late
	if lose {
		c.loseAnswers--
	} else if c.lateWrites != nil {
		late, lose = c.lateWrites()
	}
	c.mu.Unlock()
	if lose && late == 0 {
		// It is carried out at once, and only its answer is lost.
		_, _ = c.s.commit(when, ops)
		if err := ctxtime.Sleep(ctx, callPatience); err != nil {
			return 0, err
		}
		c.mu.Lock()
		c.failed = time.Now()
		c.mu.Unlock()
		return 0, fmt.Errorf("%w: its answer is lost", records.ErrUnknownOutcome)
	}
	if lose {
		time.AfterFunc(late, func() { _, _ = c.s.commit(when, ops) })
		return 0, fmt.Errorf("%w: lost", records.ErrUnknownOutcome)
	}
	return c.s.commit(when, ops)
}

// GrantLease obtains a lease.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (uint64, error) {
	if err := c.pass(ctx); err != nil {
		return 0, err
	}
	return c.s.grant(life), nil
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, hold uint64, _ time.Duration) error {
	if err := c.pass(ctx); err != nil {
		return err
	}
	if !c.s.extend(hold) {
		return records.ErrLeaseExpired
	}
	return nil
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(ctx context.Context, hold uint64) {
	if c.pass(ctx) == nil {
		c.s.drop(hold)
	}
}

// Watch waits for a change under a prefix.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]records.Event, uint64, error) {
	if err := c.pass(ctx); err != nil {
		return nil, since, err
	}
	events, epoch, err := c.s.watch(ctx, c.name, prefix, since, wait, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.cut || c.hangs > 0
	})
	if err == nil {
		c.mu.Lock()
		c.lastOK = time.Now()
		c.mu.Unlock()
	}
	return events, epoch, err
}
