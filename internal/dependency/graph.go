// Package chain keeps the graph of prerequisites: which jobs wait for others, are
// released, or are cancelled with one before them, and what priority and latest
// finish the jobs behind impose on those before. It is pure: no I/O, no clock.
package dependency

import (
	"slices"
	"strings"
	"time"
)

// State is what is known of a job.
type State uint8

// Unread: how the job stands is not known (yet); nothing may start behind it.
// Done and Cancelled are final, and mean that the store says so.
const (
	Unknown State = iota
	Open
	Done
	Cancelled
)

// Job is an open job as the graph sees it.
type Job struct {
	ID           string
	Dependencies []string      // jobs that have to be done before
	Rank         int           // of its own priority, 0 being the highest
	Deadline     time.Time     // when it should be complete; zero: no deadline
	LatestEnd    time.Time     // when it should be complete at the very latest
	Estimate     time.Duration // from its release to its end, by its owner's estimate
}

// Urgency are what a job is worth, itself or for the sake of those behind it.
type Urgency struct {
	Rank                int
	Deadline, LatestEnd time.Time
}

type node struct {
	job     Job
	state   State
	doomed  bool      // a job before it is cancelled
	at      time.Time // when it was done; zero: not known
	stamp   uint64    // revision at which that was stored; 0: not known
	needs   []*node
	behind  []*node // open jobs that need it
	terms   Urgency
	waiting bool
}

// Graph holds the open jobs and those that open jobs name.
type Graph struct {
	nodes   map[string]*node
	unread  map[string]bool
	doomed  []string
	changed map[string]bool
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{nodes: map[string]*node{}, unread: map[string]bool{}, changed: map[string]bool{}}
}

func (g *Graph) node(id string) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{job: Job{ID: id}}
		g.nodes[id] = n
	}
	return n
}

// Add takes in an open job. Only jobs that were accepted before can be named, so
// there are no cycles; a job that is known already is left as it is.
func (g *Graph) Add(j Job) {
	n := g.node(j.ID)
	if n.state != Unknown || n.needs != nil {
		return
	}
	delete(g.unread, j.ID)
	n.job, n.state = j, Open
	for _, id := range j.Dependencies {
		p := g.node(id)
		n.needs = append(n.needs, p)
		p.behind = append(p.behind, n)
		if p.state == Unknown {
			g.unread[id] = true
		}
	}
	n.terms = Urgency{Rank: j.Rank, Deadline: j.Deadline, LatestEnd: j.LatestEnd}
	n.waiting = n.waits()
	g.changed[j.ID] = true
	for _, b := range n.behind { // it was named before it was known
		g.update(b)
	}
	g.pull(n)
	for _, p := range n.needs {
		g.pull(p)
		if p.state == Cancelled || p.doomed {
			g.doom(n)
		}
	}
}

// Close notes that a job is no longer open, whatever has become of it.
func (g *Graph) Close(id string) {
	if n := g.nodes[id]; n != nil && n.state == Open {
		n.state = Unknown
		g.leave(n)
		if g.nodes[id] != nil {
			g.unread[id] = true
		}
	}
}

// SetFinal notes what the store says for good: a job is done, at the time given if that is
// known, or cancelled. The revision of that record says what came before it.
func (g *Graph) SetFinal(id string, s State, at time.Time, stamp uint64) {
	n := g.nodes[id]
	if n == nil || n.state == Done || n.state == Cancelled {
		return
	}
	delete(g.unread, id)
	n.state, n.at, n.stamp = s, at, stamp
	g.leave(n)
	for _, b := range slices.Clone(n.behind) {
		g.update(b)
		if s == Cancelled {
			g.doom(b)
		}
	}
}

// leave takes a job that is no longer open from behind those it needed.
func (g *Graph) leave(n *node) {
	for _, p := range n.needs {
		if i := slices.Index(p.behind, n); i >= 0 {
			p.behind = slices.Delete(p.behind, i, i+1)
		}
		if p.state == Open {
			g.pull(p)
		}
		g.drop(p)
	}
	n.needs = nil
	n.doomed, n.waiting = false, false
	g.drop(n)
}

// drop forgets a job that is over and that no open job names.
func (g *Graph) drop(n *node) {
	if n.state != Open && len(n.behind) == 0 {
		delete(g.nodes, n.job.ID)
		delete(g.unread, n.job.ID)
		delete(g.changed, n.job.ID)
	}
}

func (n *node) waits() bool {
	return slices.ContainsFunc(n.needs, func(p *node) bool { return p.state != Done })
}

// update works out anew whether a job waits.
func (g *Graph) update(n *node) {
	if w := n.waits(); w != n.waiting {
		n.waiting = w
		g.changed[n.job.ID] = true
	}
}

// doom marks a job, and all behind it, as cancelled with one before it; the
// nearest come first.
func (g *Graph) doom(n *node) {
	for list := []*node{n}; len(list) > 0; list = list[1:] {
		if x := list[0]; x.state == Open && !x.doomed {
			x.doomed = true
			g.doomed = append(g.doomed, x.job.ID)
			list = append(list, x.behind...)
		}
	}
}

// earliest is the earlier of two times, of which zero is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func before(t time.Time, d time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-d)
}

// pull works out anew what the jobs behind impose on a job, and so on backwards, as
// far as it changes anything.
func (g *Graph) pull(n *node) {
	for list := []*node{n}; len(list) > 0; {
		x := list[len(list)-1]
		list = list[:len(list)-1]
		if x.state != Open {
			continue
		}
		t := Urgency{Rank: x.job.Rank, Deadline: x.job.Deadline, LatestEnd: x.job.LatestEnd}
		for _, b := range x.behind {
			t.Rank = min(t.Rank, b.terms.Rank)
			t.Deadline = earliest(t.Deadline, before(b.terms.Deadline, b.job.Estimate))
			t.LatestEnd = earliest(t.LatestEnd, before(b.terms.LatestEnd, b.job.Estimate))
		}
		if t != x.terms {
			x.terms = t
			g.changed[x.job.ID] = true
			list = append(list, x.needs...)
		}
	}
}

// Blocked says whether a job needs one that is not known to be stored as done.
func (g *Graph) Blocked(id string) bool {
	n := g.nodes[id]
	return n != nil && n.waits()
}

// ReleasedAt tells when the last job that a job needs was done, as far as known.
func (g *Graph) ReleasedAt(id string) time.Time {
	var last time.Time
	if n := g.nodes[id]; n != nil {
		for _, p := range n.needs {
			if p.at.After(last) {
				last = p.at
			}
		}
	}
	return last
}

// EarliestStartRevision is the revision before which a job cannot have been started: the last of those
// at which a job that it needs was stored as done, as far as known.
func (g *Graph) EarliestStartRevision(id string) uint64 {
	last := uint64(0)
	if n := g.nodes[id]; n != nil {
		for _, p := range n.needs {
			last = max(last, p.stamp)
		}
	}
	return last
}

// Urgency tells what an open job is worth for its own sake and that of those behind it.
func (g *Graph) Urgency(id string) Urgency {
	if n := g.nodes[id]; n != nil {
		return n.terms
	}
	return Urgency{}
}

// Unobstructed says that of all jobs before an open one, however far, none is cancelled or
// not known. A job that is done has none such before it.
func (g *Graph) Unobstructed(id string) bool {
	n := g.nodes[id]
	if n == nil || n.state != Open || n.doomed {
		return false
	}
	seen := map[*node]bool{}
	for list := slices.Clone(n.needs); len(list) > 0; {
		p := list[len(list)-1]
		list = list[:len(list)-1]
		switch {
		case seen[p] || p.state == Done:
		case p.state != Open || p.doomed:
			return false
		default:
			seen[p] = true
			list = append(list, p.needs...)
		}
	}
	return true
}

// UnknownJobs lists the jobs that open ones name and of which it is not known how they
// stand, by name.
func (g *Graph) UnknownJobs() []string {
	ids := make([]string, 0, len(g.unread))
	for id := range g.unread {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}

// ToCancel lists the open jobs that are to be cancelled with one before them, the
// nearest to it first.
func (g *Graph) ToCancel() []string {
	g.doomed = slices.DeleteFunc(g.doomed, func(id string) bool {
		n := g.nodes[id]
		return n == nil || !n.doomed
	})
	return slices.Clone(g.doomed)
}

// Changed lists the jobs that wait, are released, or are worth something else since
// it was last asked, by name.
func (g *Graph) Changed() []string {
	if len(g.changed) == 0 {
		return nil
	}
	ids := make([]string, 0, len(g.changed))
	for id := range g.changed {
		ids = append(ids, id)
	}
	clear(g.changed)
	slices.SortFunc(ids, strings.Compare)
	return ids
}
