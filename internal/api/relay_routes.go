package api

import (
	"sync"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/peer"
	"drumpick/internal/recovery"
	"drumpick/internal/routing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v2"
)

var workersRedirected = metrics.NewCounter("drumpick_workers_sent_to_peers_total")

// relayRoutes tracks, at the leader, through which controllers workers send their heartbeats.
type relayRoutes struct {
	mu     sync.Mutex // guards the fields below
	router *routing.Router
	leader Leader // leader of the term that the router belongs to
}

// routerLocked returns the router of the leader's term, and creates it for a new term. The caller must
// hold mu.
func (r *relayRoutes) routerLocked(cfg *config.Config, l Leader) *routing.Router {
	if r.leader != l {
		r.router = routing.New(cfg.Node, cfg.HeartbeatInterval(), config.Seconds(cfg.Deployment.Workers.LeaseS))
		r.leader = l
	}
	return r.router
}

// recordPeer records that a controller in the given zone, "" if unknown, can relay heartbeats.
func (r *relayRoutes) recordPeer(cfg *config.Config, l Leader, node, zone string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routerLocked(cfg, l).RecordPeer(node, zone, now)
}

// route records a heartbeat of a machine's worker that came through controller via. It returns the
// controller to which the worker is redirected, "" if the worker is not redirected. It does nothing if
// the relay is disabled or via is "".
func (r *relayRoutes) route(cfg *config.Config, l Leader, machine, zone, via string, now time.Time) string {
	if !cfg.Options.HeartbeatRelay || via == "" {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	node := r.routerLocked(cfg, l).Route(machine, zone, via, now)
	if node != "" {
		workersRedirected.Inc()
	}
	return node
}

// HandleHeartbeatBatch handles a batch of heartbeats that a peer relayed. It handles the heartbeats
// concurrently, so that heartbeats that wait for the store delay the batch by no more than one commit.
// A batch without a sender is not handled: its replies have status 0.
func (s *Server) HandleHeartbeatBatch(batch peer.HeartbeatBatch) peer.HeartbeatBatchReply {
	reply := peer.HeartbeatBatchReply{Replies: make([]peer.RelayReply, len(batch.Heartbeats))}
	if batch.From == "" {
		return reply
	}
	start := time.Now()
	l := s.localLeader()
	if l != nil {
		s.routes.recordPeer(s.cfg, l, batch.From, batch.Zone, start)
		l.ObserveDelay(time.Duration(batch.DelayMS) * time.Millisecond)
	}
	decisions := make([]heartbeatDecision, len(batch.Heartbeats))
	var wg sync.WaitGroup
	for i, body := range batch.Heartbeats {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// A panic must not fail the batch's other heartbeats.
			if !recovery.Call("relayed heartbeat", func() { decisions[i] = s.decideHeartbeat(body, batch.From) }) {
				decisions[i] = heartbeatDecision{reply: encodeJSON(fiber.StatusServiceUnavailable, redirectBody{})}
			}
		}()
	}
	wg.Wait()
	recheckRuns(l, decisions)
	for i := range decisions {
		reply.Replies[i] = decisions[i].encode()
	}
	reply.ProcessingMS = time.Since(start).Milliseconds()
	return reply
}

// recheckRuns withdraws the run commands of a batch whose jobs were cancelled while the batch waited for
// its slowest heartbeat. Otherwise tasks could start after their job's cancellation was confirmed.
func recheckRuns(l Leader, decisions []heartbeatDecision) {
	if l == nil || len(decisions) < 2 {
		return // a single response has not waited for others
	}
	var responses []*fleet.HeartbeatResponse
	for _, decision := range decisions {
		if decision.result != nil && len(decision.result.Response.Commands) > 0 {
			responses = append(responses, &decision.result.Response)
		}
	}
	if len(responses) > 0 {
		l.RecheckRuns(responses)
	}
}
