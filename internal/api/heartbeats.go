package api

import (
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/peer"

	"github.com/gofiber/fiber/v2"
	"github.com/mailru/easyjson"
)

// redirectBody is the body of an answer that sends a worker to another controller; an empty one
// leaves the worker to try the next.
type redirectBody struct {
	Leader string `json:"conductor,omitempty"`
}

// serveHeartbeat takes a worker's heartbeat.
func (s *Server) serveHeartbeat(c *fiber.Ctx) error { return sendJSON(c, s.HandleHeartbeat(c.Body())) }

// HandleHeartbeat answers a heartbeat that a worker sent to this controller. Only the leader decides on it;
// another controller relays it where it can, and otherwise sends the worker to the leader.
func (s *Server) HandleHeartbeat(body []byte) peer.RelayReply {
	if s.localLeader() != nil {
		return s.handleHeartbeatAsLeader(body, s.cfg.Node)
	}
	node := s.leaderNode()
	if node == s.cfg.Node {
		node = ""
	}
	if s.relay.canRelayTo(s.cfg.Options.HeartbeatRelay, node) {
		out, err := s.relay.batcher.Send(node, body)
		switch {
		case err == nil:
			return out
		case s.relay.canRelayTo(true, node):
			return encodeJSON(fiber.StatusMisdirectedRequest, redirectBody{})
		}
	} else if node != "" && !s.relay.unresponsive(s.cfg.Options.HeartbeatRelay, node) {
		if out, err := s.peers.RelayHeartbeat(node, body); err == nil && out.Status == fiber.StatusOK {
			return out
		}
	}
	return encodeJSON(fiber.StatusMisdirectedRequest, redirectBody{Leader: node})
}

// HandleRelayedHeartbeat answers a single heartbeat that a peer passed on. The 200 that the worker gets in
// the end renews its lease from when it sent the heartbeat, so the way makes no difference for
// what the leader may conclude from its silence.
func (s *Server) HandleRelayedHeartbeat(in peer.HeartbeatRequest) peer.RelayReply {
	return s.handleHeartbeatAsLeader(in.Body, "")
}

// handleHeartbeatAsLeader answers a heartbeat as the leader. via is the controller that it came through; ""
// stands for one that relays heartbeats only where the worker cannot reach the leader.
func (s *Server) handleHeartbeatAsLeader(body []byte, via string) peer.RelayReply {
	l := s.localLeader()
	if l == nil {
		return encodeJSON(fiber.StatusMisdirectedRequest, redirectBody{})
	}
	var r fleet.Heartbeat
	if err := easyjson.Unmarshal(body, &r); err != nil {
		return encodeJSON(fiber.StatusBadRequest, errorBody{"not a report: " + err.Error()})
	}
	if err := r.Validate(); err != nil {
		return encodeJSON(fiber.StatusBadRequest, errorBody{err.Error()})
	}
	if via == "" && !l.NeedsRelay(&r) {
		return encodeJSON(fiber.StatusMisdirectedRequest, redirectBody{})
	}
	// Without this, late copies of heartbeats would send workers to and fro that report elsewhere by
	// now.
	recency := l.Recency(&r)
	if recency == fleet.Late {
		return encodeJSON(fiber.StatusServiceUnavailable, redirectBody{})
	}
	r.Via = via
	if recency == fleet.Current {
		if node := s.routes.route(s.cfg, l, r.Machine, r.Zone, via, time.Now()); node != "" {
			return encodeJSON(fiber.StatusMisdirectedRequest, redirectBody{Leader: node})
		}
	}
	// Noted before it is answered: a lease counts from when the heartbeat was sent.
	s.lastWorkerRenewal.Store(time.Now())
	return encodeHeartbeatResult(l.HandleHeartbeat(&r))
}

// encodeHeartbeatResult maps what the leader made of a heartbeat to the protocol's status codes.
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
