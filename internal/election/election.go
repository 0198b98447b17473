// Package election elects the leader among the controllers. The leader holds a key in the
// consensus-backed store on a lease of a fixed duration.
//
// Invariants:
//   - The term is the revision at which the key was written, so terms only grow, and each
//     belongs to one process. It is the fencing token that workers check.
//   - A leader makes every write conditional on the key still being at its term, so a write
//     of a deposed leader that arrives late fails.
//   - A term counts as confirmed only up to the lease's expiry as the local clock sees it at
//     the earliest: from when the request was sent, less the clock drift.
//   - A leader that resigns deletes nothing. Its lease expires by itself, and nobody else
//     leads before that.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
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

	mu               sync.Mutex // guards the fields below
	leader           string     // node that leads, as far as known
	term             uint64     // this process's own term, 0 while it does not lead
	confirmedUntil   time.Time
	cancelTerm       context.CancelFunc // ends the term being served; nil while none is
	noCampaignBefore time.Time
	lastLeaseID      uint64 // of the last own term, whose key goes when the lease expires
}

// wonTerm is a term that this process has won, with the lease that its key is held on.
type wonTerm struct {
	number      uint64
	leaseID     uint64
	requestedAt time.Time // when the lease was asked for, from which it counts
}

// New returns the election as one process takes part in it. incarnation must differ for every
// start of the process; keepsWatermarks is written to the leader key and says whether a term
// of this process keeps watermarks of what it dispatches.
func New(store Store, node, incarnation string, leaseDuration time.Duration, keepsWatermarks bool) *Election {
	return &Election{
		store:           store,
		node:            node,
		incarnation:     incarnation,
		leaseDuration:   leaseDuration,
		keepsWatermarks: keepsWatermarks,
	}
}

// Leader returns the node that leads, "" when unknown.
func (e *Election) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// Term returns this process's own term, 0 when it does not lead, and until when its lease is
// certain not to have expired.
func (e *Election) Term() (term uint64, confirmedUntil time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.confirmedUntil
}

// Resign ends the term being served, if any, without deleting anything: the lease expires by
// itself, so that nobody else leads before that.
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
	e.leader = node
}

// Run follows the leader key and campaigns for it until ctx ends. lead is called with each
// term won and must return when its context ends.
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

// campaign waits for the leader key to change while another term holds it, and otherwise tries
// to take it. It returns nil without an error when it is simply to be called again.
func (e *Election) campaign(ctx context.Context) (*wonTerm, error) {
	row, err := e.store.Get(ctx, records.KeyLeader)
	if err != nil {
		return nil, err
	}
	revision := uint64(0)
	if row != nil {
		holder := decodeLeader(row)
		if !e.heldByEarlierIncarnation(holder) {
			e.observeHolder(ctx, holder, row)
			return nil, e.awaitChange(ctx, row.Revision)
		}
		revision = row.Revision
	}
	e.setLeader("")
	if wait := e.campaignBackoff(); wait > 0 {
		return nil, ctxtime.Sleep(ctx, min(wait, e.leaseDuration/8))
	}
	return e.acquire(ctx, revision)
}

// decodeLeader reads the holder of the leader key. What is unreadable names no node.
func decodeLeader(row *records.KeyValue) records.Leader {
	var holder records.Leader
	_ = json.Unmarshal(row.Value, &holder)
	return holder
}

// heldByEarlierIncarnation reports whether the key is held by an earlier incarnation of this very node: there
// is one process per node, so that one has ended.
func (e *Election) heldByEarlierIncarnation(holder records.Leader) bool {
	return holder.Node == e.node && holder.Incarnation != e.incarnation
}

// observeHolder takes in who holds the leader key while it cannot be taken. A key of this very
// incarnation has nobody who serves it: either the term was resigned, and its lease is left to
// expire, or it was won by a campaign that had got no answer.
func (e *Election) observeHolder(ctx context.Context, holder records.Leader, row *records.KeyValue) {
	if holder.Incarnation != e.incarnation {
		e.setLeader(holder.Node)
		return
	}
	e.setLeader("")
	e.mu.Lock()
	lastLeaseID := e.lastLeaseID
	e.mu.Unlock()
	// Without this, the key would stay with a term that nobody serves until its lease expires.
	if row.LeaseID != lastLeaseID {
		slog.Info("late campaign revoked", "node", e.node, "term", row.Revision)
		e.store.RevokeLease(ctx, row.LeaseID)
	}
}

func (e *Election) campaignBackoff() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.noCampaignBefore)
}

// acquire writes the leader key on a new lease, provided that the key is still at a revision.
// It returns nil without an error when somebody else was faster.
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
	// There was no answer: the commit may have been applied, or may yet be. Unless reading the
	// key shows that it was, the lease is revoked, and with it a commit applied late.
	row, readErr := e.store.Get(ctx, records.KeyLeader)
	if readErr == nil && row != nil && row.LeaseID == leaseID && decodeLeader(row).Incarnation == e.incarnation {
		return &wonTerm{number: row.Revision, leaseID: leaseID, requestedAt: requestedAt}, nil
	}
	e.store.RevokeLease(ctx, leaseID)
	return nil, err
}

// awaitChange waits until the leader key changes.
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

// serve runs lead for a term until the lease expires, the term is resigned, or ctx ends, and
// returns once lead has.
func (e *Election) serve(ctx context.Context, won wonTerm, lead func(context.Context, uint64)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.beginTerm(won, cancel)
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

// renewUntilLost renews the lease of a term until it has expired or ctx ends.
func (e *Election) renewUntilLost(ctx context.Context, won wonTerm) {
	pause := e.leaseDuration / 4
	for ctx.Err() == nil {
		if ctxtime.Sleep(ctx, pause) != nil {
			return
		}
		pause = e.leaseDuration / 4
		requestedAt := time.Now()
		// A renewal may take half of the duration, so that a lost packet leaves time for a retry.
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
			// Without quick retries the lease could be lost to users' requests: of several tries
			// one is served.
			pause = e.leaseDuration/40 + rand.N(e.leaseDuration/40)
		}
	}
}

// leaseConfirmedUntil returns until when a lease is certain to last that was granted or renewed by a
// request sent then: it counts from the sending, less the drift of the local clock.
func (e *Election) leaseConfirmedUntil(requestedAt time.Time) time.Time {
	return requestedAt.Add(e.leaseDuration - config.Drift(e.leaseDuration))
}
