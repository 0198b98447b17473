package api

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/peer"

	"github.com/VictoriaMetrics/metrics"
)

var (
	heartbeatsRelayed    = metrics.NewCounter("drumpick_reports_passed_on_total")
	heartbeatsNotRelayed = metrics.NewCounter("drumpick_reports_not_passed_on_total")
)

const (
	// A batch collects heartbeats for the heartbeat interval / batchWindowDivisor. This delay does
	// not matter to workers, and at hundreds of heartbeats per second several share a message.
	batchWindowDivisor = 100
	// relayRetryIntervals is the number of heartbeat intervals after which a suspended leader is
	// tried again with an empty batch.
	relayRetryIntervals = 1
	// workerTimeout is how long workers wait for a response, by the protocol. batchTimeoutShare is
	// the share of that time within which the leader has to reply to a batch.
	workerTimeout     = 4 * time.Second
	batchTimeoutShare = 0.8
	// maxBatchFailures is how many consecutive batches may fail before the relay to the leader is
	// suspended and workers are redirected to it. If the first failure counted, a leader that is slow
	// for a moment would have to accept all the workers' connections as well.
	maxBatchFailures = 2
)

// heartbeatRelay relays workers' heartbeats to the leader in batches, and tracks whether the leader
// accepts the batches.
type heartbeatRelay struct {
	batcher *peer.Batcher

	mu            sync.Mutex    // guards the fields below
	suspendedNode string        // leader to which the relay is suspended, "" if none
	retryAt       time.Time     // when suspendedNode is tried again with an empty batch
	unsupported   bool          // suspendedNode does not support batches; false: it did not answer
	failures      int           // number of consecutive batches that failed
	delay         time.Duration // to report in the next batch: see peer.HeartbeatBatch.DelayMS
}

// canRelayTo reports whether heartbeats are relayed to a leader in batches. enabled is false if
// operators have not enabled batches. A suspended leader gets no heartbeats until it has accepted an
// empty batch, so that no worker waits for that leader.
func (r *heartbeatRelay) canRelayTo(enabled bool, node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return enabled && node != "" && node != r.suspendedNode
}

// shouldAnnounce reports whether an empty batch should be sent to a leader now. It is false if node is
// "" (no leader is known), and before retryAt of a suspended leader.
func (r *heartbeatRelay) shouldAnnounce(node string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return node != "" && !(node == r.suspendedNode && now.Before(r.retryAt))
}

// unresponsive reports whether a leader is suspended because it did not answer. A single heartbeat
// relayed to such a leader would time out as well, so the worker is redirected to the leader. enabled
// is as in canRelayTo; node must not be "".
func (r *heartbeatRelay) unresponsive(enabled bool, node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return enabled && node == r.suspendedNode && !r.unsupported
}

// exchangeDelay sets the delay to report in the next batch and returns the previous value.
func (r *heartbeatRelay) exchangeDelay(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.delay
	r.delay = d
	return previous
}

// recordResult records whether a leader accepted a batch; err is nil if it did. It suspends the relay
// to a leader that does not support batches, or after more than maxBatchFailures consecutive
// failures, and tries the leader again at retryAt. The first failure at another leader than the
// suspended one suspends nothing, whatever the error: it ends the suspension and starts a new count.
// While no leader is suspended, failures at different leaders add up.
func (r *heartbeatRelay) recordResult(node string, err error, retryAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.failures, r.suspendedNode = 0, ""
	case r.suspendedNode != "" && r.suspendedNode != node:
		r.failures, r.suspendedNode = 1, ""
	default:
		r.failures++
		if unsupported := errors.Is(err, peer.ErrUnsupported); unsupported || r.failures > maxBatchFailures {
			r.suspendedNode, r.retryAt, r.unsupported = node, retryAt, unsupported
		}
	}
}

// errRelaySuspended is the error of a batch to a suspended leader.
var errRelaySuspended = errors.New("relay to the leader is suspended after failed batches")

// relayBatch sends a batch to the leader on the given node. If this fails, the workers try the next
// controller a second later; once the relay is suspended, they are redirected to the leader. A
// suspended leader is sent only empty batches; others fail with errRelaySuspended.
func (s *Server) relayBatch(node string, bodies [][]byte) (peer.HeartbeatBatchReply, error) {
	start := time.Now()
	// Without this check, each batch that is queued for a leader that hangs would wait for its timeout
	// although the relay to that leader is already suspended.
	if len(bodies) > 0 && !s.relay.canRelayTo(true, node) {
		heartbeatsNotRelayed.Add(len(bodies))
		return peer.HeartbeatBatchReply{}, errRelaySuspended
	}
	batch := peer.HeartbeatBatch{
		From: s.cfg.Node, Zone: s.cfg.Zone, Heartbeats: bodies,
		DelayMS: s.relay.exchangeDelay(0).Milliseconds(),
	}
	reply, err := s.peers.RelayHeartbeats(node, batch, time.Duration(batchTimeoutShare*float64(workerTimeout)))
	s.relay.recordResult(node, err, time.Now().Add(relayRetryIntervals*s.cfg.HeartbeatInterval()))
	s.relay.exchangeDelay(time.Since(start) - time.Duration(reply.ProcessingMS)*time.Millisecond)
	if err != nil {
		heartbeatsNotRelayed.Add(len(bodies))
		slog.Debug("failed to relay heartbeats", "node", node, "heartbeats", len(bodies), "err", err)
		return reply, err
	}
	heartbeatsRelayed.Add(len(bodies))
	return reply, nil
}

// AnnounceRelay sends an empty batch to the leader every half heartbeat interval, until the context is
// cancelled, to announce that this controller can relay heartbeats. It sends none while this
// controller is elected or leads, and none that shouldAnnounce does not allow.
func (s *Server) AnnounceRelay(ctx context.Context) {
	interval := s.cfg.HeartbeatInterval()
	for ctxtime.Sleep(ctx, interval/2) == nil {
		node := s.election.Leader()
		if s.localLeader() != nil || node == s.cfg.Node || !s.relay.shouldAnnounce(node, time.Now()) {
			continue
		}
		_, _ = s.relayBatch(node, nil)
	}
}
