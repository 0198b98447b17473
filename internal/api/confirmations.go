package api

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/peer"
	"drumpick/internal/records"

	"github.com/VictoriaMetrics/metrics"
)

var (
	leaderNotifications   = metrics.NewCounter("drumpick_cancellations_told_to_leader_total")
	withheldCancellations = metrics.NewCounter("drumpick_cancellations_held_back_total")
)

// pendingConfirmations tracks the cancelled jobs whose cancellation the leader has not acknowledged
// yet. No response reports such a job as cancelled until confirmCancelled allows it.
type pendingConfirmations struct {
	leaderLease time.Duration // duration of the leader's lease

	mu    sync.Mutex           // guards since
	since map[string]time.Time // by job id: when this controller stored the cancellation, or read it while it was not cached
}

func newPendingConfirmations(leaderLease time.Duration) *pendingConfirmations {
	return &pendingConfirmations{leaderLease: leaderLease, since: map[string]time.Time{}}
}

// add records that the leader has to acknowledge the cancellation of a job.
//
// When the map is full, add evicts the cancellations older than the leader's lease, which no longer
// need an acknowledgement (confirmCancelled). It evicts no others: otherwise a cancellation that the
// leader does not know could be confirmed to a user.
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

// pendingSince returns since when the cancellation of a job has been pending; ok is false if it is not.
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

// confirmCancelled reports whether the stored cancellation of a job may be confirmed to users. By the
// protocol, none of the job's tasks may start after the confirmation, so the leader has to know of the
// cancellation first. Usually its watch of the store reports the cancellation before a user asks. The
// watch lags if the store is slow, rejects only the leader's requests, or has already expired a lease
// on which the leader still relies. Therefore the leader is notified and has to acknowledge. A leader
// that cannot be reached starts no tasks after the expiry of any lease that it held when this
// controller stored or read the cancellation; until then users are asked to retry.
func (s *Server) confirmCancelled(ctx context.Context, id string) bool {
	since, pending := s.confirmations.pendingSince(id)
	if !pending {
		return true
	}
	if time.Since(since) <= s.cfg.Timing().LeaderLease && !s.notifyLeader(ctx, id) {
		withheldCancellations.Inc()
		slog.Debug("cancellation not confirmed", "job", id, "reason", "leader has not acknowledged it")
		return false
	}
	s.confirmations.remove(id)
	return true
}

// notifyLeader notifies the leader of a cancellation and reports whether the leader acknowledges it.
// See awaitLastAnswers if no leader is known. The result is false while this controller is elected but
// does not lead yet, and once ctx has ended.
func (s *Server) notifyLeader(ctx context.Context, id string) bool {
	if l := s.localLeader(); l != nil {
		return l.NotifyCancelled(ctx, id)
	}
	node := s.election.Leader()
	switch {
	case node == s.cfg.Node, ctx.Err() != nil:
		return false
	case node == "":
		return s.awaitLastAnswers(ctx, id)
	}
	leaderNotifications.Inc()
	acknowledged, err := s.peers.NotifyCancelled(node, id)
	// A leader whose version lacks this call learns of cancellations by its watch alone.
	return err == nil && acknowledged || errors.Is(err, peer.ErrUnsupported)
}

// awaitLastAnswers reports whether a cancellation may be confirmed while no leader is known. The next
// leader reads the store after its election, but answers of a leader that has just ended may still be on
// their way to workers, so it first waits for these. If a node leads by then, the node is notified. The
// result is false if this process has not read yet which node leads.
func (s *Server) awaitLastAnswers(ctx context.Context, id string) bool {
	if !s.election.KnowsLeader() {
		return false
	}
	if ctxtime.Sleep(ctx, config.AnswerDelivery(s.cfg.HeartbeatInterval())) != nil {
		return false
	}
	if s.localLeader() != nil || s.election.Leader() != "" {
		return s.notifyLeader(ctx, id)
	}
	return true
}

// HandleCancellation handles a peer's notification that a job is cancelled. It returns true if this
// controller leads and dispatches none of the job's tasks from then on, and false if the id is invalid
// or that is not reached within requestTimeout.
func (s *Server) HandleCancellation(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout())
	defer cancel()
	l := s.localLeader()
	return l != nil && records.ValidID(id) && l.NotifyCancelled(ctx, id)
}
