// Package routing decides to which controller a worker sends its heartbeats. Any controller can hold
// workers' connections and relay their heartbeats to the leader in batches. This saves the leader
// most of the cost of a heartbeat: the connection, its reads and writes, and the HTTP framing. Only
// the leader answers heartbeats, so the safety rules are not affected.
//
// The package is pure: no I/O, no clock.
package routing

import (
	"slices"
	"strings"
	"time"
)

const (
	// freshIntervals is for how many heartbeat intervals after its last relayed message a
	// controller counts as able to relay.
	freshIntervals = 2
	// avoidLeases is for how many lease durations a worker that came back from a controller is not
	// sent there again.
	avoidLeases = 2
	// maxReturned is how many workers may come back from a controller in a heartbeat interval. If
	// more come back, no worker is assigned to it for the rest of the interval.
	maxReturned = 3
	// overloadFactor is how many times an equal share of the workers a controller may hold before
	// some of its workers are moved to other controllers.
	overloadFactor = 1.25
	// maxMovedShare is the maximum share of all workers that is moved between controllers in a
	// heartbeat interval.
	maxMovedShare = 1.0 / 16
	// maxZoneFactor is how many times an equal share of all workers the controllers of one zone may
	// hold on average because these workers are in the same zone.
	maxZoneFactor = 2
)

// Router tracks, for one term of a leader, which worker sends its heartbeats through which
// controller. It is not safe for concurrent use.
type Router struct {
	self        string                 // the leader's own node
	interval    time.Duration          // between a worker's heartbeats
	lease       time.Duration          // duration of workers' leases
	controllers map[string]*controller // the other controllers, by node
	workers     map[string]*worker     // by machine
	lastSweep   time.Time
	moved       int // workers that rebalance has moved since the last sweep
}

// controller is a controller other than the leader.
type controller struct {
	zone        string    // "" if unknown
	lastContact time.Time // when it last relayed a batch or a heartbeat
	workers     int       // workers assigned to it, including those that have not used it yet
	returned    int       // workers that came back from it since the last sweep
}

// worker is the route of one worker's heartbeats.
type worker struct {
	zone          string
	via           string // the controller that the worker uses or was last assigned
	lastHeartbeat time.Time
	avoid         string    // a controller that the worker cannot reach or that cannot reach the leader
	avoidUntil    time.Time // when avoid expires
}

// New returns a router for the leader on node self, for workers with the given heartbeat interval
// and lease duration.
func New(self string, interval, lease time.Duration) *Router {
	return &Router{
		self:        self,
		interval:    interval,
		lease:       lease,
		controllers: map[string]*controller{},
		workers:     map[string]*worker{},
	}
}

// RecordPeer records that another controller has relayed a batch, which may be empty. zone is the zone
// of that controller, "" if unknown.
func (r *Router) RecordPeer(node, zone string, now time.Time) {
	c := r.controllers[node]
	if c == nil {
		c = &controller{}
		r.controllers[node] = c
	}
	c.zone = zone
	c.lastContact = now
}

// Route records a heartbeat of a worker in the given zone that came through controller via, which may
// be the leader itself. It returns the controller that the worker must use from now on, or "" if it
// keeps using via.
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
			c.lastContact = now
		}
		target = r.rebalance(w, now)
	}
	if target != "" {
		r.assign(w, target)
	}
	return target
}

// assign records the controller through which a worker sends its heartbeats.
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

// recordReturn records that a worker, assigned to controller from, came back to the leader because it
// could not use that controller. Without this record, such a worker would be sent back and forth.
func (r *Router) recordReturn(w *worker, from string, now time.Time) {
	c := r.controllers[from]
	if c == nil {
		return
	}
	w.avoid = from
	w.avoidUntil = now.Add(avoidLeases * r.lease)
	c.returned++
}

// isEligible reports whether a worker may be assigned to the given controller, one of r.controllers.
func (r *Router) isEligible(node string, w *worker, now time.Time) bool {
	c := r.controllers[node]
	fresh := now.Sub(c.lastContact) <= freshIntervals*r.interval
	avoided := node == w.avoid && now.Before(w.avoidUntil)
	return fresh && c.returned <= maxReturned && !avoided
}

// candidates returns the controllers that a worker may be assigned to, sorted by name. If the eligible
// controllers in the worker's zone hold no more than maxZoneFactor times their share of all workers,
// it returns only these, and ownZone is true. Otherwise it returns all eligible controllers. Without
// the preference for the own zone, the partition of a zone would cut off workers of other zones, all
// at once, until they find another controller.
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
		inZoneWorkers++ // as if the worker moved there; a worker that uses its zone is already counted
	}
	if len(inZone) > 0 && inZoneWorkers*len(nodes) <= maxZoneFactor*len(inZone)*len(r.workers) {
		nodes, ownZone = inZone, true
	}
	slices.Sort(nodes)
	return nodes, ownZone
}

// leastLoaded returns the controller with the fewest assigned workers, the first by name if several have
// as few, or "" if nodes is empty.
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

// rebalance returns the controller to which a worker is moved, or "" if the worker stays. A worker is
// moved if its controller is outside its zone while its zone has room, or if its controller holds more
// than overloadFactor times its share. Moves per interval are limited: when a controller comes back,
// the others hold all workers, and many would move at once.
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
	// A move must reduce the difference in load; otherwise a few workers would move in circles.
	reducesDifference := held >= r.controllers[target].workers+2
	if !overloaded || !reducesDifference {
		return ""
	}
	r.moved++
	return target
}

// sweep removes, at most once per heartbeat interval, the workers without a heartbeat for more than
// two lease durations. It also resets the counters of the interval.
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
