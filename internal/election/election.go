// Package tenure decides who leads. The leader holds a key on a lease of the
// state service; the key's stamp is the term, and every write of a leader is
// conditional on it, so that whatever a deposed one wrote late fails.
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
	"drumpick/internal/httpclient"
	"drumpick/internal/records"
)

// Store is what tenure needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (*records.KeyValue, error)
	Commit(ctx context.Context, when []records.Compare, ops []records.Op) (uint64, error)
	GrantLease(ctx context.Context, life time.Duration) (uint64, error)
	RenewLease(ctx context.Context, hold uint64, timeout time.Duration) error
	RevokeLease(ctx context.Context, hold uint64)
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]records.Event, uint64, error)
}

// Election follows the leader key and campaigns for it.
type Election struct {
	store       Store
	node, start string
	life        time.Duration
	marks       bool // the leader's record says that it keeps marks

	mu     sync.Mutex
	leader string // node that leads, as far as known
	term   uint64 // our own term, 0 when we do not lead
	until  time.Time
	resign context.CancelFunc
	barred time.Time // no campaign before this
	held   uint64    // the grant of the last term of ours; its key ends by itself
}

// New returns a tenure for this process; start must differ for every start.
// marks says whether a term of this process keeps marks of what it sends.
func New(store Store, node, start string, life time.Duration, marks bool) *Election {
	return &Election{store: store, node: node, start: start, life: life, marks: marks}
}

// Leader names the node that leads, "" when unknown.
func (t *Election) Leader() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader
}

// Term returns our own term and until when the grant is surely ours.
func (t *Election) Term() (term uint64, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term, t.until
}

// Resign gives up leading without deleting anything: the grant ends by itself,
// so that nobody else leads before it is over.
func (t *Election) Resign() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resign != nil {
		t.resign()
		t.barred = time.Now().Add(2 * t.life)
	}
}

func (t *Election) setLeader(node string) {
	t.mu.Lock()
	if t.leader != node {
		t.leader = node
	}
	t.mu.Unlock()
}

// Run follows and campaigns until ctx ends. lead is called with each term won
// and must return when its context ends.
func (t *Election) Run(ctx context.Context, lead func(ctx context.Context, term uint64)) {
	for ctx.Err() == nil {
		term, hold, sent, err := t.campaign(ctx)
		switch {
		case term != 0:
			t.serve(ctx, term, hold, sent, lead)
		case err != nil:
			slog.Debug("tenure: cannot reach the leader key", "err", err)
			_ = httpclient.Sleep(ctx, t.life/8+rand.N(t.life/8))
		}
	}
}

// campaign waits until the leader key is free and takes it. It returns term 0
// when it should simply be called again.
func (t *Election) campaign(ctx context.Context) (term, hold uint64, sent time.Time, err error) {
	row, err := t.store.Get(ctx, records.KeyLeader)
	if err != nil {
		return 0, 0, sent, err
	}
	stamp := uint64(0)
	if row != nil {
		var l records.Leader
		_ = json.Unmarshal(row.Value, &l)
		// A key that an earlier start of this very node holds is ours to
		// replace: there is one process per node, and that one has ended.
		if l.Node != t.node || l.Incarnation == t.start {
			t.setLeader(l.Node)
			if l.Incarnation == t.start {
				t.setLeader("") // resigned; it ends with its grant
				t.mu.Lock()
				held := t.held
				t.mu.Unlock()
				// Guards against a campaign without an answer that is carried out late: the
				// key would stay with a term that nobody serves, for as long as its grant.
				if row.LeaseID != held {
					slog.Info("a campaign was carried out late: its grant is dropped", "term", row.Revision)
					t.store.RevokeLease(ctx, row.LeaseID)
				}
			}
			return 0, 0, sent, t.follow(ctx, row.Revision)
		}
		stamp = row.Revision
	}
	t.setLeader("")
	t.mu.Lock()
	barred := time.Until(t.barred)
	t.mu.Unlock()
	if barred > 0 {
		return 0, 0, sent, httpclient.Sleep(ctx, min(barred, t.life/8))
	}
	sent = time.Now()
	hold, err = t.store.GrantLease(ctx, t.life)
	if err != nil {
		return 0, 0, sent, err
	}
	epoch, err := t.store.Commit(ctx,
		[]records.Compare{{Key: records.KeyLeader, Revision: stamp}},
		[]records.Op{{Write: records.KeyLeader, Value: records.Leader{Node: t.node, Incarnation: t.start, Watermarks: t.marks}, LeaseID: hold}})
	if err == nil {
		return epoch, hold, sent, nil
	}
	var conflict *records.ConflictError
	if errors.As(err, &conflict) {
		t.store.RevokeLease(ctx, hold)
		return 0, 0, sent, nil
	}
	// No answer: the commit may have been applied, or may yet be. Read it back;
	// the grant is dropped unless the key is ours, and with it a late commit.
	row, rerr := t.store.Get(ctx, records.KeyLeader)
	if rerr == nil && row != nil && row.LeaseID == hold {
		var l records.Leader
		if json.Unmarshal(row.Value, &l) == nil && l.Incarnation == t.start {
			return row.Revision, hold, sent, nil
		}
	}
	t.store.RevokeLease(ctx, hold)
	return 0, 0, sent, err
}

// follow waits until the leader key changes.
func (t *Election) follow(ctx context.Context, since uint64) error {
	for ctx.Err() == nil {
		events, epoch, err := t.store.Watch(ctx, records.KeyLeader, since, t.life/2)
		if err != nil {
			return err
		}
		since = epoch
		if len(events) > 0 {
			return nil
		}
	}
	return ctx.Err()
}

func (t *Election) serve(ctx context.Context, term, hold uint64, sent time.Time, lead func(context.Context, uint64)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.mu.Lock()
	t.leader, t.term, t.until, t.resign, t.held = t.node, term, t.validUntil(sent), cancel, hold
	t.mu.Unlock()
	slog.Info("leading", "term", term)
	done := make(chan struct{})
	go func() { defer close(done); lead(ctx, term) }()
	pause := t.life / 4
	for ctx.Err() == nil {
		if httpclient.Sleep(ctx, pause) != nil {
			break
		}
		pause = t.life / 4
		sent := time.Now()
		// The extension gets half a life, so that a lost packet leaves time
		// for another try.
		err := t.store.RenewLease(ctx, hold, t.life/2)
		if err == nil {
			t.mu.Lock()
			t.until = t.validUntil(sent)
			t.mu.Unlock()
			continue
		}
		if errors.Is(err, records.ErrLeaseExpired) {
			slog.Info("grant ended", "term", term)
			break
		}
		slog.Debug("extension failed", "term", term, "err", err)
		if errors.Is(err, records.ErrThrottled) {
			// Guards against a lease that is lost to users' requests: of several tries one is served.
			pause = t.life/40 + rand.N(t.life/40)
		}
	}
	t.mu.Lock()
	t.term, t.until, t.resign = 0, time.Time{}, nil
	if t.leader == t.node {
		t.leader = ""
	}
	t.mu.Unlock()
	cancel()
	<-done
	slog.Info("no longer leading", "term", term)
}

// validUntil counts the grant from when its request was sent, less what our
// clock may lag.
func (t *Election) validUntil(sent time.Time) time.Time {
	return sent.Add(t.life - config.Drift(t.life))
}
