package api

import (
	"context"
	"sync"
	"time"

	"drumpick/internal/ctxtime"
)

// peerStoreHealth holds what the other controllers last said of the store, while it fails this
// one.
type peerStoreHealth struct {
	mu         sync.Mutex
	servesPeer bool // the store serves another controller, but not this one
	peersAsked bool // the others were asked since the store failed this one
	isolated   bool // neither the store nor any other controller answers
}

func (a *peerStoreHealth) update(served, asked, isolated bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.servesPeer, a.peersAsked, a.isolated = served, asked, isolated
}

// isIsolated reports whether this controller is cut off. In an outage that all share it is not:
// the store refuses, or the others report that they fare no better.
func (a *peerStoreHealth) isIsolated() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isolated
}

// storeServesPeer reports whether the store was last seen to serve some other controller, and whether
// they were asked since the store failed this one.
func (a *peerStoreHealth) storeServesPeer() (served, asked bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.servesPeer, a.peersAsked
}

// Ready reports whether this controller can take requests. It cannot when the store fails it
// alone; in an outage that all share it stays ready, since no other controller would serve
// better.
func (s *Server) Ready() bool {
	lastOK, failing, started := s.store.Health()
	if lastOK.IsZero() {
		lastOK = started
	}
	if !failing || time.Since(lastOK) < s.cfg.HeartbeatInterval()/2 {
		return true
	}
	served, _ := s.peerStoreHealth.storeServesPeer()
	return !served && !s.peerStoreHealth.isIsolated()
}

// WatchPeers asks the other controllers, while the store fails this one, whether it serves them, until
// the context ends. It runs in the background, so that no user waits for a controller that is
// cut off.
func (s *Server) WatchPeers(ctx context.Context) {
	interval := s.cfg.HeartbeatInterval()
	for ctxtime.Sleep(ctx, interval/4) == nil {
		served, isolated := false, false
		_, failing, _ := s.store.Health()
		if failing {
			answers, all := s.peers.Status(ctx)
			isolated = !all && len(answers) == 0 && time.Since(s.store.LastResponse()) > interval/2
			for _, a := range answers {
				// An open watch outlasts the start of an outage without failing, so only
				// a recent response counts.
				silent := time.Duration(a.SinceStoreResponseMS) * time.Millisecond
				served = served || !a.StoreFailing && silent < interval*3/2
			}
		}
		s.peerStoreHealth.update(served, failing, isolated)
	}
}
