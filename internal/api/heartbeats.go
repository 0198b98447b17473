package api

import (
	"encoding/json"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/peer"

	"github.com/gofiber/fiber/v2"
	"github.com/mailru/easyjson"
)

// checkin takes a worker's report. Only the leader decides on it; another
// controller passes it on where the worker cannot reach the leader, and
// otherwise sends the worker there.
func (s *Server) checkin(c *fiber.Ctx) error {
	out := s.Heartbeat(c.Body())
	c.Set("Content-Type", "application/json")
	return c.Status(out.Status).Send(out.Body)
}

// Heartbeat answers a report that a worker sent to this controller.
func (s *Server) Heartbeat(body []byte) peer.RelayReply {
	if s.local() != nil {
		return s.report(body, s.cfg.Node)
	}
	node := s.leader()
	if node == s.cfg.Node {
		node = ""
	}
	if s.relays.takes(s.cfg.Options.HeartbeatRelay, node) {
		out, err := s.relays.gather.Send(node, body)
		switch {
		case err == nil:
			return out
		case s.relays.takes(true, node):
			return asJSON(421, referral{})
		}
	} else if node != "" && !s.relays.away(s.cfg.Options.HeartbeatRelay, node) {
		if out, err := s.peers.RelayHeartbeat(node, body); err == nil && out.Status == 200 {
			return out
		}
	}
	return asJSON(421, referral{Conductor: node})
}

// RelayedHeartbeat answers a report that a peer passed on. The 200 that the worker gets
// in the end renews its lease from when it sent the report, so it makes no
// difference for what the leader may conclude from its silence.
func (s *Server) RelayedHeartbeat(in peer.HeartbeatRequest) peer.RelayReply {
	return s.report(in.Body, "")
}

// report answers a report that came through a controller; "" stands for one that passes
// reports on only where the worker cannot reach the leader.
func (s *Server) report(body []byte, via string) peer.RelayReply {
	l := s.local()
	if l == nil {
		return asJSON(421, referral{})
	}
	var r fleet.Heartbeat
	if err := easyjson.Unmarshal(body, &r); err != nil {
		return asJSON(400, failure{"not a report: " + err.Error()})
	}
	if err := r.Check(); err != nil {
		return asJSON(400, failure{err.Error()})
	}
	if via == "" && !l.NeedsRelay(&r) {
		return asJSON(421, referral{})
	}
	// Guards against late copies that send workers to and fro which are somewhere else.
	recency := l.Recency(&r)
	if recency == fleet.Late {
		return asJSON(503, referral{})
	}
	r.Via = via
	if recency == fleet.Current {
		if to := s.relays.route(s.cfg, l, r.Machine, r.Zone, via, time.Now()); to != "" {
			return asJSON(421, referral{Conductor: to})
		}
	}
	// Noted before it is answered: a lease counts from when the report was sent.
	s.renewed.Store(time.Now())
	return heartbeatReply(l.Heartbeat(&r))
}

// heartbeatReply maps what the leader made of a heartbeat to the protocol's status codes.
func heartbeatReply(result fleet.HeartbeatResult) peer.RelayReply {
	switch result.Outcome {
	case fleet.HeartbeatAccepted:
		return asJSON(200, result.Response)
	case fleet.HeartbeatRedirected:
		return asJSON(421, referral{})
	default:
		return asJSON(503, referral{})
	}
}

func asJSON(status int, v any) peer.RelayReply {
	var raw []byte
	var err error
	if m, ok := v.(easyjson.Marshaler); ok {
		raw, err = easyjson.Marshal(m)
	} else {
		raw, err = json.Marshal(v)
	}
	if err != nil {
		return peer.RelayReply{Status: 503}
	}
	return peer.RelayReply{Status: status, Body: raw}
}
