package api

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"

	"github.com/VictoriaMetrics/metrics"
)

var (
	leaderTold   = metrics.NewCounter("drumpick_cancellations_told_to_leader_total")
	leaderUntold = metrics.NewCounter("drumpick_cancellations_held_back_total")
)

// confirmable says whether users may be told that a job is cancelled, which the store has: from
// then on none of its tasks may start (PROTOCOL), so whoever leads has to know before. Mostly the
// leader's watch of the store is faster than a user; it is not where the store is slow, refuses
// the leader alone, or has lost it, and the grant goes on. Then the leader is told here, and its
// answer waited for; one that cannot be reached starts nothing any more once the grant is over that
// it may have had when the cancellation was first known here. Until then users are told to ask
// again.
func (s *Server) confirmable(ctx context.Context, id string) bool {
	s.mu.Lock()
	since, open := s.unheard[id]
	s.mu.Unlock()
	if !open {
		return true
	}
	known := time.Since(since) > s.cfg.Timing().LeaderLease || s.leaderHears(ctx, id)
	if !known {
		leaderUntold.Inc()
		slog.Debug("cancellation not confirmed: the leader has not heard of it", "job", id)
		return false
	}
	s.mu.Lock()
	delete(s.unheard, id)
	s.mu.Unlock()
	return true
}

// leaderHears tells the leader of a cancellation, and says whether it knows now. Where nobody leads, as
// far as known, the next leader reads the store after it has won.
func (s *Server) leaderHears(ctx context.Context, id string) bool {
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
	leaderTold.Inc()
	heard, err := s.peers.NotifyCancelled(node, id)
	// A version that does not know the question has its watch alone.
	return err == nil && heard || errors.Is(err, peer.ErrUnsupported)
}

// PeerCancelled answers a peer that tells this controller, as the leader, of a cancellation.
func (s *Server) PeerCancelled(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), s.budget())
	defer cancel()
	l := s.local()
	return l != nil && records.ValidID(id) && l.NotifyCancelled(ctx, id)
}
