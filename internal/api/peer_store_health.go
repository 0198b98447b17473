package api

import (
	"context"
	"sync"
	"time"

	"drumpick/internal/ctxtime"
)

// peerStoreHealth holds what the other controllers last reported about the store. WatchPeers
// updates it; all fields are false after an update while the store does not fail for this
// controller.
type peerStoreHealth struct {
	mu         sync.Mutex // guards the fields below
	servesPeer bool       // the store serves another controller, but not this one
	peersAsked bool       // the other controllers have been asked since the store began to fail here
	isolated   bool       // neither the store nor any other controller responds here
}

func (h *peerStoreHealth) update(servesPeer, peersAsked, isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servesPeer, h.peersAsked, h.isolated = servesPeer, peersAsked, isolated
}

// isIsolated reports whether this controller is cut off from the network; the result is false if there
// is no other controller. In an outage of the store itself, the result is false, too: the store rejects
// requests, or other controllers respond and report failures as well.
func (h *peerStoreHealth) isIsolated() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isolated
}

// storeServesPeer reports whether the store served some other controller when the other controllers
// were last asked, and whether they were asked since the store began to fail here.
func (h *peerStoreHealth) storeServesPeer() (servesPeer, peersAsked bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servesPeer, h.peersAsked
}

// Ready reports whether this controller can serve requests. It is not ready if the store fails here,
// has served no request for half a heartbeat interval, and either serves another controller or this
// controller is isolated. In an outage of the store for all controllers it stays ready, because no
// other controller could serve the requests either.
func (s *Server) Ready() bool {
	lastOK, failing, started := s.store.Health()
	if lastOK.IsZero() {
		lastOK = started
	}
	if !failing || time.Since(lastOK) < s.cfg.HeartbeatInterval()/2 {
		return true
	}
	servesPeer, _ := s.peerStoreHealth.storeServesPeer()
	return !servesPeer && !s.peerStoreHealth.isIsolated()
}

// WatchPeers asks the other controllers every quarter of a heartbeat interval, while the store fails
// here, whether the store serves them. It returns when the context is cancelled. It is meant to run
// in the background, so that no user's request waits for an unreachable controller.
func (s *Server) WatchPeers(ctx context.Context) {
	interval := s.cfg.HeartbeatInterval()
	for ctxtime.Sleep(ctx, interval/4) == nil {
		servesPeer, isolated := false, false
		_, failing, _ := s.store.Health()
		if failing {
			statuses, all := s.peers.Status(ctx)
			isolated = !all && len(statuses) == 0 && time.Since(s.store.LastResponse()) > interval/2
			for _, status := range statuses {
				// A peer's watch that is open when an outage starts does not fail. So the peer may
				// not report a failure yet, and only a recently served request counts.
				sinceServed := time.Duration(status.SinceStoreServedMS) * time.Millisecond
				servesPeer = servesPeer || !status.StoreFailing && sinceServed < interval*3/2
			}
		}
		s.peerStoreHealth.update(servesPeer, failing, isolated)
	}
}
