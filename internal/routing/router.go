// Package routing decides which controller a worker sends its heartbeats to. Any controller
// can hold workers' connections and relay their heartbeats to the leader many at a time,
// which spares the leader most of what a heartbeat costs it: the connection, its reads and
// writes, and the frame around the body. The leader alone answers, so nothing that the
// safety rules rest on changes; it only tells workers where to go.
//
// The package is pure: no I/O, no clock.
package routing

import (
	"slices"
	"strings"
	"time"
)

const (
	// freshIntervals is for how many heartbeat intervals a controller that relayed
	// something is taken to be able to.
	freshIntervals = 2
	// avoidLeases is for how many leases a worker that came back from a controller is not
	// sent there again.
	avoidLeases = 2
	// maxReturned is how many workers may come back from a controller, in a heartbeat
	// interval, before it gets no new ones until the next.
	maxReturned = 3
	// overloadFactor is how many times its share a controller may hold before some of its
	// workers are sent to others.
	overloadFactor = 1.25
	// maxMovedShare is the part of all workers that is moved between controllers in a
	// heartbeat interval at most.
	maxMovedShare = 1.0 / 16
	// maxZoneFactor is how many times its share of all workers a controller may hold because
	// they are in its zone.
	maxZoneFactor = 2
)

// Router is a leader's view of which worker sends its heartbeats through which controller. It
// is made anew with each term. It is not safe for concurrent use.
type Router struct {
	self        string        // the leader's own node
	interval    time.Duration // between heartbeats
	lease       time.Duration
	controllers map[string]*controller // the other ones, by node
	workers     map[string]*worker     // by machine
	lastSweep   time.Time
	moved       int // workers sent from one controller to another since the last sweep
}

// controller is another controller.
type controller struct {
	zone      string // "" where it does not say
	lastHeard time.Time
	workers   int // that send their heartbeats through it
	returned  int // workers that came back from it since the last sweep
}

// worker is how one worker sends its heartbeats.
type worker struct {
	zone          string
	via           string // the controller that it sends them to, or was told to
	lastHeartbeat time.Time
	avoid         string    // a controller that it does not reach, or that does not reach the leader
	avoidUntil    time.Time // how long that is believed
}

// New returns a router for the leader on node self, for workers with the given time between
// heartbeats and the given length of leases.
func New(self string, interval, lease time.Duration) *Router {
	return &Router{
		self:        self,
		interval:    interval,
		lease:       lease,
		controllers: map[string]*controller{},
		workers:     map[string]*worker{},
	}
}

// RecordPeer notes that another controller, in a zone, has relayed something, if only that it
// is there.
func (r *Router) RecordPeer(node, zone string, now time.Time) {
	c := r.controllers[node]
	if c == nil {
		c = &controller{}
		r.controllers[node] = c
	}
	c.zone = zone
	c.lastHeard = now
}

// Route takes in that the heartbeat of a worker in a zone came through a controller, the
// leader's own included, and returns the controller that the worker is to use instead; "" if
// it may stay.
func (r *Router) Route(machine, zone, via string, now time.Time) string {
	r.sweep(now)
	w := r.workers[machine]
	if w == nil {
		w = &worker{}
		r.workers[machine] = w
	}
	previous, recent := w.via, now.Sub(w.lastHeartbeat) < r.lease
	w.zone = zone
	w.lastHeartbeat = now
	r.assign(w, via)
	var target string
	if via == r.self {
		if recent {
			r.recordReturn(w, previous, now)
		}
		nodes, _ := r.candidates(w, now)
		target = r.leastLoaded(nodes)
	} else {
		if c := r.controllers[via]; c != nil {
			c.lastHeard = now
		}
		target = r.rebalance(w, now)
	}
	if target != "" {
		r.assign(w, target)
	}
	return target
}

// assign notes through which controller a worker sends its heartbeats.
func (r *Router) assign(w *worker, via string) {
	if w.via == via {
		return
	}
	if c := r.controllers[w.via]; c != nil {
		c.workers--
	}
	if via != r.self {
		if r.controllers[via] == nil {
			r.controllers[via] = &controller{}
		}
		r.controllers[via].workers++
	}
	w.via = via
}

// recordReturn notes that a worker which was assigned to another controller has come back. It
// has found that controller unreachable; without this, such workers would be sent to and fro.
func (r *Router) recordReturn(w *worker, from string, now time.Time) {
	c := r.controllers[from]
	if c == nil {
		return
	}
	w.avoid = from
	w.avoidUntil = now.Add(avoidLeases * r.lease)
	c.returned++
}

// isEligible reports whether a worker may be sent to a controller.
func (r *Router) isEligible(node string, w *worker, now time.Time) bool {
	c := r.controllers[node]
	fresh := now.Sub(c.lastHeard) <= freshIntervals*r.interval
	avoided := node == w.avoid && now.Before(w.avoidUntil)
	return fresh && c.returned <= maxReturned && !avoided
}

// candidates lists the controllers that a worker may be sent to, by name: those in its own
// zone, if there are any and they hold no more than maxZoneFactor times their share of all
// workers; ownZone is true then. Otherwise a zone that is cut off, with the controllers in
// it, would silence workers of other zones, all at once, until these have found another
// controller.
func (r *Router) candidates(w *worker, now time.Time) (nodes []string, ownZone bool) {
	var inZone []string
	inZoneWorkers := 0
	for node, c := range r.controllers {
		if !r.isEligible(node, w, now) {
			continue
		}
		nodes = append(nodes, node)
		if c.zone == w.zone && c.zone != "" {
			inZone = append(inZone, node)
			inZoneWorkers += c.workers
		}
	}
	if c := r.controllers[w.via]; c == nil || c.zone != w.zone {
		inZoneWorkers++ // with this one; one that is there stays
	}
	if len(inZone) > 0 && inZoneWorkers*len(nodes) <= maxZoneFactor*len(inZone)*len(r.workers) {
		nodes, ownZone = inZone, true
	}
	slices.Sort(nodes)
	return nodes, ownZone
}

// leastLoaded picks the controller with the fewest workers, those on their way included; ""
// if there is none.
func (r *Router) leastLoaded(nodes []string) string {
	if len(nodes) == 0 {
		return ""
	}
	return slices.MinFunc(nodes, func(a, b string) int {
		if difference := r.controllers[a].workers - r.controllers[b].workers; difference != 0 {
			return difference
		}
		return strings.Compare(a, b)
	})
}

// rebalance returns where a worker is sent from a controller outside of its zone, or from one
// that has far more than its share; "" if it stays. Only a few workers are moved at a time:
// after a controller has been away, the others hold all.
func (r *Router) rebalance(w *worker, now time.Time) string {
	if float64(r.moved) >= maxMovedShare*float64(len(r.workers)) {
		return ""
	}
	nodes, ownZone := r.candidates(w, now)
	if ownZone && r.controllers[w.via].zone != w.zone {
		r.moved++
		return r.leastLoaded(nodes)
	}
	if len(nodes) < 2 {
		return ""
	}
	total := 0
	for _, node := range nodes {
		total += r.controllers[node].workers
	}
	share := float64(total) / float64(len(nodes))
	target := r.leastLoaded(nodes)
	held := r.controllers[w.via].workers
	overloaded := float64(held) > share*overloadFactor
	// A move has to help: otherwise a few workers would be sent round and round.
	helps := held >= r.controllers[target].workers+2
	if !overloaded || !helps {
		return ""
	}
	r.moved++
	return target
}

// sweep forgets, once in a heartbeat interval, workers that have not been heard from for long.
func (r *Router) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < r.interval {
		return
	}
	r.lastSweep = now
	r.moved = 0
	for _, c := range r.controllers {
		c.returned = 0
	}
	for machine, w := range r.workers {
		if now.Sub(w.lastHeartbeat) > 2*r.lease {
			r.assign(w, r.self)
			delete(r.workers, machine)
		}
	}
}
