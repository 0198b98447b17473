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
	// batchWindowDivisor is the part of a heartbeat interval, one in so many, in which heartbeats
	// are gathered into a batch: no worker notices the delay, and at hundreds of heartbeats a
	// second several share a message.
	batchWindowDivisor = 100
	// relayRetryIntervals is for how many heartbeat intervals no batch is sent to a leader that
	// accepted none.
	relayRetryIntervals = 1
	// workerTimeout is how long workers wait for an answer (the protocol), and batchTimeoutShare
	// the share of it in which a batch is answered.
	workerTimeout     = 4 * time.Second
	batchTimeoutShare = 0.8
	// maxBatchFailures is how many batches in a row may stay without an answer before workers are
	// sent to the leader. Without it, a leader that is slow for a moment would have to accept all
	// their connections as well.
	maxBatchFailures = 2
)

// heartbeatRelay passes workers' heartbeats on to the leader in batches, and holds how the leader
// takes them.
type heartbeatRelay struct {
	batcher *peer.Batcher

	mu            sync.Mutex
	suspendedNode string        // a leader that accepted no batch, or could not be reached
	retryAt       time.Time     // when it is tried again
	unsupported   bool          // it does not support batches; otherwise it did not answer
	failures      int           // batches in a row without an answer
	delay         time.Duration // of the last batch, to be reported with the next
}

// canRelayTo reports whether heartbeats are relayed to a leader in batches. One that accepted none is
// tried again with an empty batch, so that no worker waits for it.
func (r *heartbeatRelay) canRelayTo(enabled bool, node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return enabled && node != "" && node != r.suspendedNode
}

// shouldAnnounce reports whether a leader is asked now whether it accepts batches.
func (r *heartbeatRelay) shouldAnnounce(node string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return node != "" && !(node == r.suspendedNode && now.Before(r.retryAt))
}

// unresponsive reports whether a leader has left batches without an answer: a single heartbeat would
// hang as well, and its worker does better to go to the leader itself.
func (r *heartbeatRelay) unresponsive(enabled bool, node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return enabled && node == r.suspendedNode && !r.unsupported
}

// exchangeDelay sets the delay to report with the next batch, and returns the one set before.
func (r *heartbeatRelay) exchangeDelay(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.delay
	r.delay = d
	return before
}

// recordResult records how a leader took a batch; one that does not accept any gets none until retryAt.
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

// errRelaySuspended is returned for a batch to a leader that accepted none a moment ago.
var errRelaySuspended = errors.New("the leader does not answer, and is left alone for now")

// relayBatch sends a batch to the leader. Where that fails the workers try the next controller a second
// later, and where it keeps failing the leader itself.
func (s *Server) relayBatch(node string, bodies [][]byte) (peer.HeartbeatBatchReply, error) {
	began := time.Now()
	// Without this, batches queued behind others for a leader that hangs would each wait for it anew
	// after it has been given up.
	if len(bodies) > 0 && !s.relay.canRelayTo(true, node) {
		heartbeatsNotRelayed.Add(len(bodies))
		return peer.HeartbeatBatchReply{}, errRelaySuspended
	}
	batch := peer.HeartbeatBatch{
		From: s.cfg.Node, Zone: s.cfg.Zone, Heartbeats: bodies,
		DelayMS: s.relay.exchangeDelay(0).Milliseconds(),
	}
	out, err := s.peers.RelayHeartbeats(node, batch, time.Duration(batchTimeoutShare*float64(workerTimeout)))
	s.relay.recordResult(node, err, time.Now().Add(relayRetryIntervals*s.cfg.HeartbeatInterval()))
	s.relay.exchangeDelay(time.Since(began) - time.Duration(out.ProcessingMS)*time.Millisecond)
	if err != nil {
		heartbeatsNotRelayed.Add(len(bodies))
		slog.Debug("heartbeats not relayed", "node", node, "heartbeats", len(bodies), "err", err)
		return out, err
	}
	heartbeatsRelayed.Add(len(bodies))
	return out, nil
}

// AnnounceRelay tells the leader now and then, until the context ends, that this controller can relay
// heartbeats. A leader that accepts no batches is asked again later.
func (s *Server) AnnounceRelay(ctx context.Context) {
	interval := s.cfg.HeartbeatInterval()
	for ctxtime.Sleep(ctx, interval/2) == nil {
		node := s.leaderNode()
		if s.localLeader() != nil || node == s.cfg.Node || !s.relay.shouldAnnounce(node, time.Now()) {
			continue
		}
		_, _ = s.relayBatch(node, nil)
	}
}
