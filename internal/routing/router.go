// Package relay decides which controller a worker reports to. Any controller can hold
// workers' connections and pass their reports on to the leader many at a time, which
// spares the leader most of what a report costs it: the connection, its reads and writes,
// and the frame around the body. The leader alone answers, so nothing that the rules rest
// on changes; it only tells workers where to go.
//
// The package is pure: no I/O, no clock.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Router is a leader's view of who reports through whom. It is made anew with each term.
// Its owner holds the lock.
type Router struct {
	self  string
	every time.Duration // a report interval
	lease time.Duration
	nodes map[string]*node
	hosts map[string]*route
	swept time.Time
	moved int // workers sent from one controller to another since the last sweep
}

// node is another controller.
type node struct {
	zone  string    // "" where it does not say
	heard time.Time // when it last passed anything on
	load  int       // workers that report through it
	lost  int       // workers that came back from it since the last sweep
}

// route is how one worker reports.
type route struct {
	zone   string
	via    string // or where it was told to go
	at     time.Time
	barred string    // a controller that it does not reach, or that does not reach us
	until  time.Time // how long that is believed
}

// New returns a router for the leader on node self, for workers that report every so
// often under leases of such a length.
func New(self string, every, lease time.Duration) *Router {
	return &Router{self: self, every: every, lease: lease, nodes: map[string]*node{}, hosts: map[string]*route{}}
}

const (
	// fresh is for how many report intervals a controller that passed something on is
	// taken to be able to.
	fresh = 2
	// doubtLeases is for how many leases a worker that came back from a controller is
	// not sent there again.
	doubtLeases = 2
	// fewLost is how many workers may come back from a controller, in a report interval,
	// before it gets no new ones until the next.
	fewLost = 3
	// uneven is by how much more than its share a controller may hold before some of
	// its workers are sent to others, and movedShare how many in a report interval at most.
	uneven     = 1.25
	movedShare = 1.0 / 16
	// mostOwn is how many times its share of all workers a controller may hold because
	// they are in its zone.
	mostOwn = 2
)

// NotePeer notes that another controller, in a zone, has passed something on, if only that it
// is there.
func (r *Router) NotePeer(name, zone string, now time.Time) {
	n := r.nodes[name]
	if n == nil {
		n = &node{}
		r.nodes[name] = n
	}
	n.zone, n.heard = zone, now
}

// Route takes in that the report of a worker in a zone came through a controller, the
// leader's own included, and tells where the worker is to report instead; "" if it may stay.
func (r *Router) Route(host, zone, via string, now time.Time) string {
	r.sweep(now)
	h := r.hosts[host]
	if h == nil {
		h = &route{}
		r.hosts[host] = h
	}
	h.zone = zone
	was := h.via
	r.move(h, via)
	came := now.Sub(h.at) < r.lease
	h.at = now
	to := ""
	if via != r.self {
		if n := r.nodes[via]; n != nil {
			n.heard = now
		}
		to = r.even(h, now)
	} else {
		// Guards against workers sent to and fro: one that was told to go elsewhere, or
		// was there, and is here has found that way closed.
		if n := r.nodes[was]; came && n != nil {
			h.barred, h.until = was, now.Add(doubtLeases*r.lease)
			n.lost++
		}
		names, _ := r.open(h, now)
		to = r.least(names)
	}
	if to != "" {
		r.move(h, to)
	}
	return to
}

// move notes through whom a worker reports.
func (r *Router) move(h *route, via string) {
	if h.via == via {
		return
	}
	if n := r.nodes[h.via]; n != nil {
		n.load--
	}
	if via != r.self {
		if r.nodes[via] == nil {
			r.nodes[via] = &node{}
		}
		r.nodes[via].load++
	}
	h.via = via
}

// open lists the controllers that a worker may be sent to, by name: those in its own zone,
// which is its home, if they are and hold no more than mostOwn times their share of all
// workers. Guards against a zone that is cut off and, with the controllers in it, silences workers of
// others, all at once, until these have found their way.
func (r *Router) open(h *route, now time.Time) (names []string, home bool) {
	var own []string
	load := 0
	for name, n := range r.nodes {
		if now.Sub(n.heard) <= fresh*r.every && n.lost <= fewLost && !(name == h.barred && now.Before(h.until)) {
			names = append(names, name)
			if n.zone == h.zone && n.zone != "" {
				own = append(own, name)
				load += n.load
			}
		}
	}
	if n := r.nodes[h.via]; n == nil || n.zone != h.zone {
		load++ // with this one; one that is there stays
	}
	if len(own) > 0 && load*len(names) <= mostOwn*len(own)*len(r.hosts) {
		names, home = own, true
	}
	slices.Sort(names)
	return names, home
}

// least picks the one of them with the fewest workers, those on their way included; "" if
// there is none.
func (r *Router) least(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		if d := r.nodes[a].load - r.nodes[b].load; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
}

// even sends a worker from a controller that has far more than its share to the one with
// the fewest, a few at a time: after one has been away, the others hold all.
func (r *Router) even(h *route, now time.Time) string {
	if float64(r.moved) >= movedShare*float64(len(r.hosts)) {
		return ""
	}
	names, home := r.open(h, now)
	if home && r.nodes[h.via].zone != h.zone {
		r.moved++
		return r.least(names)
	}
	if len(names) < 2 {
		return ""
	}
	sum := 0
	for _, name := range names {
		sum += r.nodes[name].load
	}
	share := float64(sum) / float64(len(names))
	to := r.least(names)
	// Guards against a few workers that are sent round and round: a move has to help.
	if float64(r.nodes[h.via].load) <= share*uneven || r.nodes[h.via].load < r.nodes[to].load+2 {
		return ""
	}
	r.moved++
	return to
}

// sweep forgets, once in a report interval, workers not heard for long.
func (r *Router) sweep(now time.Time) {
	if now.Sub(r.swept) < r.every {
		return
	}
	r.swept, r.moved = now, 0
	for _, n := range r.nodes {
		n.lost = 0
	}
	for host, h := range r.hosts {
		if now.Sub(h.at) > 2*r.lease {
			r.move(h, r.self)
			delete(r.hosts, host)
		}
	}
}
