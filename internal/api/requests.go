package api

import (
	"context"
	"time"

	"drumpick/internal/peer"

	"github.com/gofiber/fiber/v2"
)

// userTimeout is how long users wait for the answer to a poll (the protocol).
const userTimeout = 2 * time.Second

// requestTimeout bounds the work on one request, so that users get the answer in time.
func requestTimeout() time.Duration { return userTimeout * 3 / 4 }

// relayTimeout bounds the work on a request that a peer passed on, and the wait for its answer there.
func relayTimeout() time.Duration { return requestTimeout() / 2 }

// HandleRequest answers a user's request. While the store fails this controller, a peer that the store
// serves is asked in its place; where it is not known yet whether it serves one, peers are
// asked after this controller has tried: they answer at once if they cannot.
func (s *Server) HandleRequest(r peer.RelayRequest) peer.RelayReply {
	if s.peerStoreHealth.isIsolated() {
		// Nobody can be asked for what is not known here: users are answered at once, and
		// go on to another controller.
		return s.handleWithin(r, 0)
	}
	_, failing, _ := s.store.Health()
	peerServed, peersAsked := s.peerStoreHealth.storeServesPeer()
	if r.Method == peer.MethodSubmit && failing {
		switch sub, err := parseSubmission(r.Body); {
		case err != nil:
			return s.handleWithin(r, requestTimeout())
		case sub.job.Dependencies != nil:
			r.Method = peer.MethodSubmitWithDependencies
		}
	}
	if failing && peerServed {
		if out, ok := s.peers.Relay(r, relayTimeout()); ok {
			return out
		}
	}
	out := s.handleWithin(r, requestTimeout())
	if _, failing, _ = s.store.Health(); out.Status == fiber.StatusServiceUnavailable && failing && !peersAsked {
		if other, ok := s.peers.Relay(r, relayTimeout()); ok {
			return other
		}
	}
	return out
}

// HandleRelayedRequest answers a request that a peer passed on.
func (s *Server) HandleRelayedRequest(r peer.RelayRequest) peer.RelayReply {
	return s.handleWithin(r, relayTimeout())
}

func (s *Server) handleWithin(r peer.RelayRequest, timeout time.Duration) peer.RelayReply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.dispatchRequest(ctx, r).encode()
}

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
