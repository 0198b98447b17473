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
	leaderNotifications   = metrics.NewCounter("drumpick_cancellations_told_to_leader_total")
	withheldCancellations = metrics.NewCounter("drumpick_cancellations_held_back_total")
)

// pendingConfirmations holds the cancelled jobs of which it is not known whether the leader knows of the
// cancellation. Users are not told of one before it does.
type pendingConfirmations struct {
	leaderLease time.Duration

	mu    sync.Mutex
	since map[string]time.Time // when the cancellation was first known here
}

func newPendingConfirmations(leaderLease time.Duration) *pendingConfirmations {
	return &pendingConfirmations{leaderLease: leaderLease, since: map[string]time.Time{}}
}

// add records that a cancellation has to be confirmed.
//
// When the memory is full, those cancellations are evicted that are older than the leader's lease:
// they need no confirmation any more (confirmCancelled). Nothing else is evicted, so that no user is
// told of a cancellation before the leader because it was forgotten here.
func (c *pendingConfirmations) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.since) >= maxCacheEntries {
		for other, since := range c.since {
			if time.Since(since) > c.leaderLease {
				delete(c.since, other)
			}
		}
	}
	c.since[id] = time.Now()
}

// pendingSince returns since when a cancellation waits for its confirmation, and whether it does.
func (c *pendingConfirmations) pendingSince(id string) (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, ok = c.since[id]
	return since, ok
}

func (c *pendingConfirmations) remove(id string) {
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
	since, pending := s.confirmations.pendingSince(id)
	if !pending {
		return true
	}
	if time.Since(since) <= s.cfg.Timing().LeaderLease && !s.notifyLeader(ctx, id) {
		withheldCancellations.Inc()
		slog.Debug("cancellation not confirmed", "job", id, "reason", "the leader does not know of it")
		return false
	}
	s.confirmations.remove(id)
	return true
}

// notifyLeader notifies the leader of a cancellation, and reports whether it knows now. Where nobody
// leads, as far as known, the next leader reads the store after its election.
func (s *Server) notifyLeader(ctx context.Context, id string) bool {
	if l := s.localLeader(); l != nil {
		return l.NotifyCancelled(ctx, id)
	}
	node := s.leaderNode()
	if node == "" {
		return true
	}
	if node == s.cfg.Node || ctx.Err() != nil {
		return false
	}
	leaderNotifications.Inc()
	known, err := s.peers.NotifyCancelled(node, id)
	// A version that does not support the call relies on its watch alone.
	return err == nil && known || errors.Is(err, peer.ErrUnsupported)
}

// HandleCancellation answers a peer that notifies this controller, as the leader, of a cancellation. It
// reports whether none of the job's tasks is sent to a worker from then on.
func (s *Server) HandleCancellation(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout())
	defer cancel()
	l := s.localLeader()
	return l != nil && records.ValidID(id) && l.NotifyCancelled(ctx, id)
}
