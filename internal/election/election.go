// Package election elects the leader among the controllers. The leader holds a key in the
// consensus-backed store on a lease of a fixed duration.
//
// Invariants:
//   - The term is the revision at which the key was written, so terms only grow, and each belongs
//     to one process. It is the fencing token that workers check.
//   - A leader makes every write conditional on the key still being at its term, so a late write of
//     a deposed leader fails.
//   - A term counts as confirmed only until the earliest time at which the lease may expire by the
//     local clock: the duration counts from the sending of the request, less the clock drift.
//   - A leader that resigns deletes nothing. No other controller leads before the lease on the
//     leader's key has expired.
package election

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
)

// Store is the part of the consensus-backed store that an election needs.
type Store interface {
	Get(ctx context.Context, key string) (*records.KeyValue, error)
	Commit(ctx context.Context, compares []records.Compare, ops []records.Op) (uint64, error)
	GrantLease(ctx context.Context, duration time.Duration) (uint64, error)
	RenewLease(ctx context.Context, leaseID uint64, timeout time.Duration) error
	RevokeLease(ctx context.Context, leaseID uint64)
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]records.Event, uint64, error)
}

// Election follows the leader key and campaigns for it on behalf of one process.
type Election struct {
	store           Store
	node            string
	incarnation     string
	leaseDuration   time.Duration
	keepsWatermarks bool

	mu               sync.Mutex         // guards the fields below
	leader           string             // node that leads, as last known; "" if none or unknown
	leaderRead       bool               // this process has read the leader key, so leader "" means that none led then
	term             uint64             // this process's own term, 0 while it does not lead
	confirmedUntil   time.Time          // until when the term's lease is certain to last; zero if term is 0
	cancelTerm       context.CancelFunc // ends the term being served; nil while none is
	noCampaignBefore time.Time          // set by Resign
	lastLeaseID      uint64             // of this process's last term; the store deletes the leader key when it expires
}

// wonTerm is a term that this process has won, with the lease that holds its key.
type wonTerm struct {
	number      uint64
	leaseID     uint64
	requestedAt time.Time // when the lease was requested, which starts its duration
}

// New returns the election of one process. incarnation must differ for every start of the process.
// keepsWatermarks is written to the leader key and states whether a term of this process keeps
// watermarks of the tasks it dispatches.
func New(store Store, node, incarnation string, leaseDuration time.Duration, keepsWatermarks bool) *Election {
	return &Election{
		store:           store,
		node:            node,
		incarnation:     incarnation,
		leaseDuration:   leaseDuration,
		keepsWatermarks: keepsWatermarks,
	}
}

// Leader returns the node that leads, or "" if none leads or it is unknown (see KnowsLeader).
func (e *Election) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// Term returns this process's own term, and until when the lease on the leader key is certain not to
// have expired. Both are zero if this process does not lead.
func (e *Election) Term() (term uint64, confirmedUntil time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.confirmedUntil
}

// Resign ends the term being served without deleting the leader key. No other controller leads
// before the lease on the key has expired, and this one does not campaign for two lease durations.
// Resign does nothing if no term is being served.
func (e *Election) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelTerm != nil {
		e.cancelTerm()
		e.noCampaignBefore = time.Now().Add(2 * e.leaseDuration)
	}
}

func (e *Election) setLeader(node string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader, e.leaderRead = node, true
}

// KnowsLeader reports whether this process has read the leader key since its start. Until then another
// controller may lead although Leader returns "".
func (e *Election) KnowsLeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaderRead
}

// Run follows the leader key and campaigns for it until ctx ends. It calls lead with each term won;
// lead must return when its context ends.
func (e *Election) Run(ctx context.Context, lead func(ctx context.Context, term uint64)) {
	for ctx.Err() == nil {
		won, err := e.campaign(ctx)
		switch {
		case won != nil:
			e.serve(ctx, *won, lead)
		case err != nil:
			slog.Debug("election: store unavailable", "node", e.node, "err", err)
			_ = ctxtime.Sleep(ctx, e.leaseDuration/8+rand.N(e.leaseDuration/8))
		}
	}
}

// campaign tries to acquire the leader key if the key is absent or held by an earlier incarnation of
// this node, and otherwise waits for it to change. After Resign it first waits for a part of the
// backoff. It returns nil without an error if it should be called again.
func (e *Election) campaign(ctx context.Context) (*wonTerm, error) {
	record, err := e.store.Get(ctx, records.KeyLeader)
	if err != nil {
		return nil, err
	}
	revision := uint64(0)
	if record != nil {
		holder := decodeLeader(record)
		if !e.heldByEarlierIncarnation(holder) {
			e.observeHolder(ctx, holder, record)
			return nil, e.awaitChange(ctx, record.Revision)
		}
		revision = record.Revision
	}
	e.setLeader("")
	if wait := e.campaignBackoff(); wait > 0 {
		return nil, ctxtime.Sleep(ctx, min(wait, e.leaseDuration/8))
	}
	return e.acquire(ctx, revision)
}

// decodeLeader decodes the holder of the leader key. An unreadable value yields an empty node.
func decodeLeader(record *records.KeyValue) records.Leader {
	var holder records.Leader
	_ = jsoncodec.Unmarshal(record.Value, &holder)
	return holder
}

// heldByEarlierIncarnation reports whether an earlier incarnation of this node holds the key. There
// is one process per node, so the earlier one has ended.
func (e *Election) heldByEarlierIncarnation(holder records.Leader) bool {
	return holder.Node == e.node && holder.Incarnation != e.incarnation
}

// observeHolder records the holder of a leader key that cannot be acquired now. If this incarnation
// holds it, no process serves that term: either the term was resigned, and its lease is left to
// expire, or a campaign of this process won the term without receiving the answer.
func (e *Election) observeHolder(ctx context.Context, holder records.Leader, record *records.KeyValue) {
	if holder.Incarnation != e.incarnation {
		e.setLeader(holder.Node)
		return
	}
	e.setLeader("")
	e.mu.Lock()
	lastLeaseID := e.lastLeaseID
	e.mu.Unlock()
	// Without this revocation, the key of a term that no process serves would stay, and block the
	// next election, until its lease expires.
	if record.LeaseID != lastLeaseID {
		slog.Info("late campaign revoked", "node", e.node, "term", record.Revision)
		e.store.RevokeLease(ctx, record.LeaseID)
	}
}

// campaignBackoff returns how long this process must not campaign yet; 0 or less: it may.
func (e *Election) campaignBackoff() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.noCampaignBefore)
}

// acquire writes the leader key on a new lease if the key is still at the given revision. It
// returns nil without an error if another controller was faster.
func (e *Election) acquire(ctx context.Context, revision uint64) (*wonTerm, error) {
	requestedAt := time.Now()
	leaseID, err := e.store.GrantLease(ctx, e.leaseDuration)
	if err != nil {
		return nil, err
	}
	value := records.Leader{Node: e.node, Incarnation: e.incarnation, Watermarks: e.keepsWatermarks}
	term, err := e.store.Commit(ctx,
		[]records.Compare{{Key: records.KeyLeader, Revision: revision}},
		[]records.Op{{Write: records.KeyLeader, Value: value, LeaseID: leaseID}})
	if err == nil {
		return &wonTerm{number: term, leaseID: leaseID, requestedAt: requestedAt}, nil
	}
	var conflict *records.ConflictError
	if errors.As(err, &conflict) {
		e.store.RevokeLease(ctx, leaseID)
		return nil, nil
	}
	// The outcome is unknown: the commit may have been applied, or may yet be. Unless a read shows
	// that it was, the lease is revoked, which also invalidates a commit applied late.
	record, readErr := e.store.Get(ctx, records.KeyLeader)
	if readErr == nil && record != nil && record.LeaseID == leaseID && decodeLeader(record).Incarnation == e.incarnation {
		return &wonTerm{number: record.Revision, leaseID: leaseID, requestedAt: requestedAt}, nil
	}
	e.store.RevokeLease(ctx, leaseID)
	return nil, err
}

// awaitChange waits until the leader key changes after the revision since. It returns an error if
// the store fails or ctx ends.
func (e *Election) awaitChange(ctx context.Context, since uint64) error {
	for ctx.Err() == nil {
		events, revision, err := e.store.Watch(ctx, records.KeyLeader, since, e.leaseDuration/2)
		if err != nil {
			return err
		}
		since = revision
		if len(events) > 0 {
			return nil
		}
	}
	return ctx.Err()
}

// serve runs lead for a term until the lease expires, the term is resigned, or ctx ends. It then
// ends lead's context, and returns once lead has returned.
func (e *Election) serve(ctx context.Context, won wonTerm, lead func(context.Context, uint64)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.beginTerm(won, cancel)
	defer e.endTerm() // also after a panic; a second call has no effect
	slog.Info("leader elected", "term", won.number, "node", e.node)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(ctx, won.number)
	}()
	e.renewUntilLost(ctx, won)
	e.endTerm()
	cancel()
	<-done
	slog.Info("leadership lost", "term", won.number, "node", e.node)
}

func (e *Election) beginTerm(won wonTerm, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader = e.node
	e.term = won.number
	e.confirmedUntil = e.leaseConfirmedUntil(won.requestedAt)
	e.cancelTerm = cancel
	e.lastLeaseID = won.leaseID
}

func (e *Election) endTerm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.term = 0
	e.confirmedUntil = time.Time{}
	e.cancelTerm = nil
	if e.leader == e.node {
		e.leader = ""
	}
}

// renewUntilLost renews the lease of a term until the store reports that it has expired, or ctx
// ends.
func (e *Election) renewUntilLost(ctx context.Context, won wonTerm) {
	pause := e.leaseDuration / 4
	for ctx.Err() == nil {
		if ctxtime.Sleep(ctx, pause) != nil {
			return
		}
		pause = e.leaseDuration / 4
		requestedAt := time.Now()
		// The timeout is half of the lease duration, so that a lost packet leaves time for a retry.
		err := e.store.RenewLease(ctx, won.leaseID, e.leaseDuration/2)
		if err == nil {
			e.mu.Lock()
			e.confirmedUntil = e.leaseConfirmedUntil(requestedAt)
			e.mu.Unlock()
			continue
		}
		if errors.Is(err, records.ErrLeaseExpired) {
			slog.Info("lease expired", "term", won.number, "node", e.node)
			return
		}
		slog.Debug("lease renewal failed", "term", won.number, "node", e.node, "err", err)
		if errors.Is(err, records.ErrThrottled) {
			// Retries quickly: a throttling store serves one of several requests, and users'
			// requests could displace the renewals until the lease expires.
			pause = e.leaseDuration/40 + rand.N(e.leaseDuration/40)
		}
	}
}

// leaseConfirmedUntil returns until when a lease granted or renewed by a request sent at
// requestedAt is certain to last, allowing for the drift of the local clock.
func (e *Election) leaseConfirmedUntil(requestedAt time.Time) time.Time {
	return requestedAt.Add(e.leaseDuration - config.MaxDrift(e.leaseDuration))
}
