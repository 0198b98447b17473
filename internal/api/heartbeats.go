package api

import (
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/peer"

	"github.com/gofiber/fiber/v2"
	"github.com/mailru/easyjson"
)

// referral is the body of an answer that sends a worker to another controller; an empty one
// leaves the worker to try the next.
type referral struct {
	Leader string `json:"conductor,omitempty"`
}

// handleHeartbeat takes a worker's heartbeat.
func (s *Server) handleHeartbeat(c *fiber.Ctx) error { return sendJSON(c, s.Heartbeat(c.Body())) }

// Heartbeat answers a heartbeat that a worker sent to this controller. Only the leader decides on it;
// another controller relays it where it can, and otherwise sends the worker to the leader.
func (s *Server) Heartbeat(body []byte) peer.RelayReply {
	if s.local() != nil {
		return s.decideHeartbeat(body, s.cfg.Node)
	}
	node := s.leader()
	if node == s.cfg.Node {
		node = ""
	}
	if s.relay.accepts(s.cfg.Options.HeartbeatRelay, node) {
		out, err := s.relay.batcher.Send(node, body)
		switch {
		case err == nil:
			return out
		case s.relay.accepts(true, node):
			return encodeReply(fiber.StatusMisdirectedRequest, referral{})
		}
	} else if node != "" && !s.relay.unresponsive(s.cfg.Options.HeartbeatRelay, node) {
		if out, err := s.peers.RelayHeartbeat(node, body); err == nil && out.Status == fiber.StatusOK {
			return out
		}
	}
	return encodeReply(fiber.StatusMisdirectedRequest, referral{Leader: node})
}

// RelayedHeartbeat answers a single heartbeat that a peer passed on. The 200 that the worker gets in
// the end renews its lease from when it sent the heartbeat, so the way makes no difference for
// what the leader may conclude from its silence.
func (s *Server) RelayedHeartbeat(in peer.HeartbeatRequest) peer.RelayReply {
	return s.decideHeartbeat(in.Body, "")
}

// decideHeartbeat answers a heartbeat as the leader. via is the controller that it came through; ""
// stands for one that relays heartbeats only where the worker cannot reach the leader.
func (s *Server) decideHeartbeat(body []byte, via string) peer.RelayReply {
	l := s.local()
	if l == nil {
		return encodeReply(fiber.StatusMisdirectedRequest, referral{})
	}
	var r fleet.Heartbeat
	if err := easyjson.Unmarshal(body, &r); err != nil {
		return encodeReply(fiber.StatusBadRequest, errorBody{"not a report: " + err.Error()})
	}
	if err := r.Validate(); err != nil {
		return encodeReply(fiber.StatusBadRequest, errorBody{err.Error()})
	}
	if via == "" && !l.NeedsRelay(&r) {
		return encodeReply(fiber.StatusMisdirectedRequest, referral{})
	}
	// Without this, late copies of heartbeats would send workers to and fro that report elsewhere by
	// now.
	recency := l.Recency(&r)
	if recency == fleet.Late {
		return encodeReply(fiber.StatusServiceUnavailable, referral{})
	}
	r.Via = via
	if recency == fleet.Current {
		if node := s.routes.route(s.cfg, l, r.Machine, r.Zone, via, time.Now()); node != "" {
			return encodeReply(fiber.StatusMisdirectedRequest, referral{Leader: node})
		}
	}
	// Noted before it is answered: a lease counts from when the heartbeat was sent.
	s.lastRenewal.Store(time.Now())
	return heartbeatReply(l.Heartbeat(&r))
}

// heartbeatReply maps what the leader made of a heartbeat to the protocol's status codes.
func heartbeatReply(result fleet.HeartbeatResult) peer.RelayReply {
	switch result.Outcome {
	case fleet.HeartbeatAccepted:
		return encodeReply(200, result.Response)
	case fleet.HeartbeatRedirected:
		return encodeReply(421, referral{})
	default:
		return encodeReply(503, referral{})
	}
}
