package api

import (
	"context"
	"time"

	"drumpick/internal/peer"

	"github.com/gofiber/fiber/v2"
)

// userTimeout is how long users wait for the response to a poll, by the protocol.
const userTimeout = 2 * time.Second

// requestTimeout bounds the handling of a request, so that users get the response in time.
func requestTimeout() time.Duration { return userTimeout * 3 / 4 }

// relayTimeout bounds the handling of a request that a peer relayed, and the wait for each peer's
// reply.
func relayTimeout() time.Duration { return requestTimeout() / 2 }

// HandleRequest handles a user's request. While the store fails here, the request is relayed to the
// peers if the store serves one of them; if no peer serves it, this controller tries. If it is not
// known yet whether the store serves a peer, this controller tries first and relays the request only
// if it cannot serve it. Each peer replies within relayTimeout or is passed over.
func (s *Server) HandleRequest(r peer.RelayRequest) peer.RelayReply {
	if s.peerStoreHealth.isIsolated() {
		// With no time, only cached states can be reported. For any other job, the user gets the
		// response to retry at once, and tries another controller.
		return s.handleWithin(r, 0)
	}
	_, failing, _ := s.store.Health()
	servesPeer, peersAsked := s.peerStoreHealth.storeServesPeer()
	if failing && servesPeer {
		if reply, ok := s.relayRequest(r); ok {
			return reply
		}
	}
	reply := s.handleWithin(r, requestTimeout())
	// The store may have begun to fail meanwhile.
	if _, failing, _ = s.store.Health(); reply.Status == fiber.StatusServiceUnavailable && failing && !peersAsked {
		if other, ok := s.relayRequest(r); ok {
			return other
		}
	}
	return reply
}

// relayRequest relays a user's request to the peers, and returns false if none gives a final reply. A
// submission with dependencies has a method of its own: a peer of a version without dependencies, which
// would ignore them, rejects it. An invalid submission is not relayed.
func (s *Server) relayRequest(r peer.RelayRequest) (peer.RelayReply, bool) {
	if r.Method == peer.MethodSubmit {
		sub, err := parseSubmission(r.Body)
		if err != nil {
			return peer.RelayReply{}, false
		}
		if sub.job.Dependencies != nil {
			r.Method = peer.MethodSubmitWithDependencies
		}
	}
	return s.peers.Relay(r, relayTimeout())
}

// HandleRelayedRequest handles a user's request that a peer relayed.
func (s *Server) HandleRelayedRequest(r peer.RelayRequest) peer.RelayReply {
	return s.handleWithin(r, relayTimeout())
}

// handleWithin handles a request here and returns the reply within the given timeout.
func (s *Server) handleWithin(r peer.RelayRequest, timeout time.Duration) peer.RelayReply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.dispatchRequest(ctx, r).encode()
}

// dispatchRequest calls the handler of the request's method.
func (s *Server) dispatchRequest(ctx context.Context, r peer.RelayRequest) response {
	switch r.Method {
	case peer.MethodSubmit, peer.MethodSubmitWithDependencies:
		return s.submitJob(ctx, r.Body)
	case peer.MethodPoll:
		return s.pollJob(ctx, r.ID)
	case peer.MethodCancel:
		return s.cancelJob(ctx, r.ID)
	}
	return errorResponse(outcomeInvalid, "unknown request")
}
