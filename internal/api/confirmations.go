package api

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"

	"github.com/VictoriaMetrics/metrics"
)

var (
	leaderNotified           = metrics.NewCounter("drumpick_cancellations_told_to_leader_total")
	unconfirmedCancellations = metrics.NewCounter("drumpick_cancellations_held_back_total")
)

// confirmations holds the cancelled jobs of which it is not known whether the leader knows of the
// cancellation. Users are not told of one before it does.
type confirmations struct {
	leaderLease time.Duration

	mu    sync.Mutex
	since map[string]time.Time // when the cancellation was first known here
}

func newConfirmations(leaderLease time.Duration) *confirmations {
	return &confirmations{leaderLease: leaderLease, since: map[string]time.Time{}}
}

// require records that a cancellation has to be confirmed.
//
// When the memory is full, those cancellations are evicted that are older than the leader's lease:
// they need no confirmation any more (confirmCancelled). Nothing else is evicted, so that no user is
// told of a cancellation before the leader because it was forgotten here.
func (c *confirmations) require(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.since) >= maxCached {
		for other, since := range c.since {
			if time.Since(since) > c.leaderLease {
				delete(c.since, other)
			}
		}
	}
	c.since[id] = time.Now()
}

// pending returns since when a cancellation waits for its confirmation, and whether it does.
func (c *confirmations) pending(id string) (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, ok = c.since[id]
	return since, ok
}

func (c *confirmations) confirmed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.since, id)
}

// confirmCancelled reports whether users may be told that a job is cancelled which is stored as
// such. From then on none of its tasks may start (the protocol), so the leader has to know before.
// Mostly the leader's watch of the store is faster than a user. It is not where the store is slow,
// refuses the leader alone, or has lost its lease while the leader still goes by it. Then the
// leader is notified here, and its answer waited for. A leader that cannot be reached starts
// nothing any more once the lease is over that it may have had when the cancellation was first
// known here. Until then users are asked to retry.
func (s *Server) confirmCancelled(ctx context.Context, id string) bool {
	since, pending := s.confirmations.pending(id)
	if !pending {
		return true
	}
	if time.Since(since) <= s.cfg.Timing().LeaderLease && !s.notifyLeader(ctx, id) {
		unconfirmedCancellations.Inc()
		slog.Debug("cancellation not confirmed", "job", id, "reason", "the leader does not know of it")
		return false
	}
	s.confirmations.confirmed(id)
	return true
}

// notifyLeader notifies the leader of a cancellation, and reports whether it knows now. Where nobody
// leads, as far as known, the next leader reads the store after its election.
func (s *Server) notifyLeader(ctx context.Context, id string) bool {
	if l := s.local(); l != nil {
		return l.NotifyCancelled(ctx, id)
	}
	node := s.leader()
	if node == "" {
		return true
	}
	if node == s.cfg.Node || ctx.Err() != nil {
		return false
	}
	leaderNotified.Inc()
	known, err := s.peers.NotifyCancelled(node, id)
	// A version that does not support the call relies on its watch alone.
	return err == nil && known || errors.Is(err, peer.ErrUnsupported)
}

// NotifyCancelled answers a peer that notifies this controller, as the leader, of a cancellation. It
// reports whether none of the job's tasks is sent to a worker from then on.
func (s *Server) NotifyCancelled(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout())
	defer cancel()
	l := s.local()
	return l != nil && records.ValidID(id) && l.NotifyCancelled(ctx, id)
}
