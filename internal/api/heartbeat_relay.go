package api

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/peer"
	"drumpick/internal/routing"

	"github.com/VictoriaMetrics/metrics"
)

var (
	passedOn  = metrics.NewCounter("drumpick_reports_passed_on_total")
	sentAway  = metrics.NewCounter("drumpick_workers_sent_to_peers_total")
	notPassed = metrics.NewCounter("drumpick_reports_not_passed_on_total")
)

// relays is how reports reach the leader through other controllers: here as one of them,
// and as the leader.
type relays struct {
	gather *peer.Batcher

	mu      sync.Mutex
	refused string        // a leader that took no bundle, or could not be reached
	until   time.Time     // when it is tried again
	unknown bool          // it does not know bundles; otherwise it did not answer
	failed  int           // bundles in a row without an answer
	late    time.Duration // of the last bundle, to be told with the next
	router  *routing.Router
	term    Local // whose router it is
}

const (
	// windowShare is the part of a report interval, one in so many, in which reports are
	// put together: no worker notices it, and at hundreds of reports a second it is
	// several of them in a message.
	windowShare = 100
	// retryReports is for how many report intervals a leader that took no bundle is left
	// alone.
	retryReports = 1
	// patience is the share of the 4 s that workers wait for an answer (PROTOCOL) in
	// which a bundle is answered.
	workerPatience = 4 * time.Second
	patience       = 0.8
	// fewFailures is how many bundles in a row may stay without an answer before workers
	// are told to go to the leader themselves. Guards against a leader that is slow for a
	// moment, and would have all their connections to take as well.
	fewFailures = 2
)

// takes says whether reports are passed on to a leader. One that took none is tried again
// without any, so that no worker waits for it.
func (r *relays) takes(on bool, node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return on && node != "" && node != r.refused
}

// tries says whether a leader is asked now whether it takes reports.
func (r *relays) tries(node string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return node != "" && !(node == r.refused && now.Before(r.until))
}

// away says whether a leader has left bundles without an answer: a single report would hang
// as well, and its worker does better to go there itself.
func (r *relays) away(on bool, node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return on && node == r.refused && !r.unknown
}

// lateness notes how late the leader was, and returns how late it was before.
func (r *relays) lateness(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.late
	r.late = now
	return was
}

// tried notes how a leader took a bundle; one that does not is left alone for a while.
func (r *relays) tried(node string, err error, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.failed, r.refused = 0, ""
	} else if r.refused != "" && r.refused != node {
		r.failed, r.refused = 1, ""
	} else if r.failed++; r.failed > fewFailures || errors.Is(err, peer.ErrUnsupported) {
		r.refused, r.until, r.unknown = node, until, errors.Is(err, peer.ErrUnsupported)
	}
}

// errGivenUp says that a leader took no bundle a moment ago.
var errGivenUp = errors.New("the leader does not answer, and is left alone for now")

// passOn sends a bundle to the leader. Where that fails the workers try the next
// controller a second later, and where it fails again and again the leader itself.
func (s *Server) passOn(node string, bodies [][]byte) (peer.HeartbeatBatchReply, error) {
	began := time.Now()
	// Guards against bundles that stood behind others to a leader that hangs, and would
	// each wait for it anew when it has long been given up.
	if len(bodies) > 0 && !s.relays.takes(true, node) {
		notPassed.Add(len(bodies))
		return peer.HeartbeatBatchReply{}, errGivenUp
	}
	in := peer.HeartbeatBatch{From: s.cfg.Node, Zone: s.cfg.Zone, Heartbeats: bodies, DelayMS: s.relays.lateness(0).Milliseconds()}
	out, err := s.peers.RelayHeartbeats(node, in, time.Duration(patience*float64(workerPatience)))
	s.relays.tried(node, err, time.Now().Add(retryReports*s.cfg.HeartbeatInterval()))
	s.relays.lateness(time.Since(began) - time.Duration(out.HeldMS)*time.Millisecond)
	if err != nil {
		notPassed.Add(len(bodies))
		slog.Debug("reports not passed on", "leader", node, "reports", len(bodies), "err", err)
		return out, err
	}
	passedOn.Add(len(bodies))
	return out, nil
}

// OfferRelay tells the leader now and then that this controller can pass reports on. One that
// leads no more, or takes no bundles, is asked again later.
func (s *Server) OfferRelay(ctx context.Context) {
	report := s.cfg.HeartbeatInterval()
	for ctxtime.Sleep(ctx, report/2) == nil {
		node := s.leader()
		if s.local() != nil || node == s.cfg.Node || !s.relays.tries(node, time.Now()) {
			continue
		}
		_, _ = s.passOn(node, nil)
	}
}

// RelayedHeartbeats answers reports that another controller passed on, each for itself and all
// together: one that waits for the store holds the others up for no longer than a commit
// takes.
func (s *Server) RelayedHeartbeats(in peer.HeartbeatBatch) peer.HeartbeatBatchReply {
	out := peer.HeartbeatBatchReply{Answers: make([]peer.RelayReply, len(in.Heartbeats))}
	if in.From == "" {
		return out
	}
	began := time.Now()
	if l := s.local(); l != nil {
		s.relays.heard(s.cfg, l, in.From, in.Zone, began)
		l.ObserveDelay(time.Duration(in.DelayMS) * time.Millisecond)
	}
	var wg sync.WaitGroup
	for i, body := range in.Heartbeats {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out.Answers[i] = s.report(body, in.From)
		}()
	}
	wg.Wait()
	out.HeldMS = time.Since(began).Milliseconds()
	return out
}

// ofTerm returns the router of a term, with the lock held. A term begins without one.
func (r *relays) ofTerm(cfg *config.Config, l Local) *routing.Router {
	if r.term != l {
		r.router = routing.New(cfg.Node, cfg.HeartbeatInterval(), config.Seconds(cfg.Deployment.Workers.LeaseS))
		r.term = l
	}
	return r.router
}

func (r *relays) heard(cfg *config.Config, l Local, node, zone string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ofTerm(cfg, l).NotePeer(node, zone, now)
}

// route tells where a worker is to report instead; "" if it is answered here.
func (r *relays) route(cfg *config.Config, l Local, host, zone, via string, now time.Time) string {
	if !cfg.Options.HeartbeatRelay || via == "" {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	to := r.ofTerm(cfg, l).Route(host, zone, via, now)
	if to != "" {
		sentAway.Inc()
	}
	return to
}
