package api

import (
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/peer"

	"github.com/gofiber/fiber/v2"
)

// redirectBody is the body of a response that redirects a worker to another controller. If Leader is
// empty, the worker tries the next controller. An empty one is also the body of a 503 to a heartbeat.
type redirectBody struct {
	Leader string `json:"conductor,omitempty"` // node that the worker must use
}

// serveHeartbeat is the HTTP handler of workers' heartbeats.
func (s *Server) serveHeartbeat(c *fiber.Ctx) error { return sendJSON(c, s.HandleHeartbeat(c.Body())) }

// HandleHeartbeat handles a heartbeat that a worker sent to this controller. Only the leader processes
// it. Any other controller relays it if possible. Otherwise it redirects the worker to the leader or,
// if no other controller is known to lead or a batch failed while the relay is not suspended, to the
// next controller.
func (s *Server) HandleHeartbeat(body []byte) peer.RelayReply {
	if s.localLeader() != nil {
		return s.handleHeartbeatAsLeader(body, s.cfg.Node)
	}
	node := s.election.Leader()
	if node == s.cfg.Node {
		node = ""
	}
	if s.relay.canRelayTo(s.cfg.Options.HeartbeatRelay, node) {
		reply, err := s.relay.batcher.Send(node, body)
		switch {
		case err == nil:
			return reply
		case s.relay.canRelayTo(true, node):
			return encodeJSON(fiber.StatusMisdirectedRequest, redirectBody{})
		}
	} else if node != "" && !s.relay.unresponsive(s.cfg.Options.HeartbeatRelay, node) {
		if reply, err := s.peers.RelayHeartbeat(node, body); err == nil && reply.Status == fiber.StatusOK {
			return reply
		}
	}
	return encodeJSON(fiber.StatusMisdirectedRequest, redirectBody{Leader: node})
}

// HandleRelayedHeartbeat handles a single heartbeat that a peer relayed. A response of 200 renews the
// worker's lease from the time when the worker sent the heartbeat, so the relay does not change what
// the leader may conclude from the worker's silence.
func (s *Server) HandleRelayedHeartbeat(request peer.HeartbeatRequest) peer.RelayReply {
	return s.handleHeartbeatAsLeader(request.Body, "")
}

// handleHeartbeatAsLeader handles a heartbeat as the leader and encodes the reply, which the caller must
// send at once. via is as for decideHeartbeat.
func (s *Server) handleHeartbeatAsLeader(body []byte, via string) peer.RelayReply {
	return s.decideHeartbeat(body, via).encode()
}

// heartbeatDecision is the leader's decision about a heartbeat: its result, unless another reply replaces
// it.
type heartbeatDecision struct {
	result *fleet.HeartbeatResult
	reply  peer.RelayReply // if result is nil
}

// encode returns the reply with the decision.
func (d heartbeatDecision) encode() peer.RelayReply {
	if d.result == nil {
		return d.reply
	}
	return encodeHeartbeatResult(*d.result)
}

// decideHeartbeat handles a heartbeat as the leader. via is the controller that received the heartbeat
// from the worker; "" stands for a controller that relays heartbeats singly, which it may do only for
// workers that cannot reach the leader.
func (s *Server) decideHeartbeat(body []byte, via string) heartbeatDecision {
	l := s.localLeader()
	if l == nil {
		return heartbeatDecision{reply: encodeJSON(fiber.StatusMisdirectedRequest, redirectBody{})}
	}
	var heartbeat fleet.Heartbeat
	if err := jsoncodec.Unmarshal(body, &heartbeat); err != nil {
		return heartbeatDecision{reply: encodeJSON(fiber.StatusBadRequest, newErrorBody("not a report: "+err.Error()))}
	}
	if err := heartbeat.Validate(); err != nil {
		return heartbeatDecision{reply: encodeJSON(fiber.StatusBadRequest, newErrorBody(err.Error()))}
	}
	if via == "" && !l.NeedsRelay(&heartbeat) {
		return heartbeatDecision{reply: encodeJSON(fiber.StatusMisdirectedRequest, redirectBody{})}
	}
	// Without this check, a late copy of a heartbeat would redirect a worker that already sends its
	// heartbeats through another controller.
	recency := l.Recency(&heartbeat)
	if recency == fleet.Late {
		return heartbeatDecision{reply: encodeJSON(fiber.StatusServiceUnavailable, redirectBody{})}
	}
	heartbeat.Via = via
	if recency == fleet.Current {
		if node := s.routes.route(s.cfg, l, heartbeat.Machine, heartbeat.Zone, via, time.Now()); node != "" {
			return heartbeatDecision{reply: encodeJSON(fiber.StatusMisdirectedRequest, redirectBody{Leader: node})}
		}
	}
	// Recorded before the response, because the lease counts from when the worker sent the heartbeat.
	s.lastWorkerRenewal.Store(time.Now())
	result := l.HandleHeartbeat(&heartbeat)
	return heartbeatDecision{result: &result}
}

// encodeHeartbeatResult returns the reply for the leader's result, with the protocol's status code.
func encodeHeartbeatResult(result fleet.HeartbeatResult) peer.RelayReply {
	switch result.Outcome {
	case fleet.HeartbeatAccepted:
		return encodeJSON(200, result.Response)
	case fleet.HeartbeatRedirected:
		return encodeJSON(421, redirectBody{})
	default:
		return encodeJSON(503, redirectBody{})
	}
}
