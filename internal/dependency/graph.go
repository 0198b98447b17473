// Package dependency keeps the graph of dependencies among jobs: which jobs are blocked by others, are
// released, or are cancelled as a dependency is, and what priority and latest finish
// the dependents impose on a job. It is pure: no I/O, no clock.
//
// A job that is done or cancelled is forgotten once no open job names it. A job that an open one
// names, but of which nothing is known, blocks its dependents until its owner has read its state.
package dependency

import (
	"slices"
	"strings"
	"time"
)

// State is what is known of a job.
type State uint8

// States. Done and Cancelled are final, and mean that the store has recorded it.
const (
	Unknown   State = iota // not known, or not known yet; no dependent may start
	Open                   // accepted, and neither done nor cancelled
	Done                   // all its tasks have succeeded
	Cancelled              // by a user, or as a dependency was
)

// Job is an open job as the graph sees it.
type Job struct {
	ID           string
	Dependencies []string      // jobs that have to be done before
	Rank         int           // of its own priority, 0 being the highest
	Deadline     time.Time     // when it should be complete; zero: no deadline
	LatestEnd    time.Time     // when it should be complete at the very latest; zero: no such time
	Estimate     time.Duration // from its release to its end, by its owner's estimate
}

// Precedence is how urgent a job is, for its own sake or that of its dependents. Its fields mean the same as
// those of Job.
type Precedence struct {
	Rank                int
	Deadline, LatestEnd time.Time
}

// precedence returns the precedence of a job for its own sake.
func (j *Job) precedence() Precedence {
	return Precedence{Rank: j.Rank, Deadline: j.Deadline, LatestEnd: j.LatestEnd}
}

// node is a job of the graph.
type node struct {
	job          Job // only its ID, while nothing else is known
	state        State
	toCancel     bool      // it is open and to be cancelled, as a dependency is
	blocked      bool      // it is open and waits for a dependency
	doneAt       time.Time // zero: not known
	revision     uint64    // at which its final state was stored; 0: not known
	dependencies []*node
	dependents   []*node    // open jobs that depend on it
	precedence   Precedence // of an open job, for its own sake and that of its dependents
}

// Graph holds the open jobs and those that open jobs depend on. It is not for concurrent use.
type Graph struct {
	nodes    map[string]*node
	unknown  map[string]bool // see UnknownJobs
	toCancel []string        // see ToCancel; may hold jobs that have been closed since
	changed  map[string]bool // see Changed
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{nodes: map[string]*node{}, unknown: map[string]bool{}, changed: map[string]bool{}}
}

// node returns the node of a job, and adds one of which nothing is known if there is none.
func (g *Graph) node(id string) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{job: Job{ID: id}}
		g.nodes[id] = n
	}
	return n
}

// Add adds an open job. Only jobs that were accepted before can be named, so
// there are no cycles; a job that is known already is left as it is.
func (g *Graph) Add(job Job) {
	n := g.node(job.ID)
	if n.state != Unknown || n.dependencies != nil {
		return
	}
	delete(g.unknown, job.ID)
	n.job, n.state = job, Open
	for _, id := range job.Dependencies {
		dependency := g.node(id)
		n.dependencies = append(n.dependencies, dependency)
		dependency.dependents = append(dependency.dependents, n)
		if dependency.state == Unknown {
			g.unknown[id] = true
		}
	}
	n.precedence = job.precedence()
	n.blocked = n.hasUnfinishedDependency()
	g.changed[job.ID] = true
	for _, dependent := range n.dependents { // named it before it was known
		g.updateBlocked(dependent)
	}
	g.propagatePrecedence(n)
	for _, dependency := range n.dependencies {
		g.propagatePrecedence(dependency)
		if dependency.state == Cancelled || dependency.toCancel {
			g.cancelWithDependents(n)
		}
	}
}

// Close notes that a job is no longer open, whatever has become of it: its state is unknown until
// SetFinal is called.
func (g *Graph) Close(id string) {
	if n := g.nodes[id]; n != nil && n.state == Open {
		n.state = Unknown
		g.unlink(n)
		if g.nodes[id] != nil {
			g.unknown[id] = true
		}
	}
}

// SetFinal notes the final state of a job, Done or Cancelled, that the store has recorded. doneAt is when
// it was done, if that is known. revision is that of the record, from which EarliestStartRevision
// follows for its dependents.
func (g *Graph) SetFinal(id string, state State, doneAt time.Time, revision uint64) {
	n := g.nodes[id]
	if n == nil || n.state == Done || n.state == Cancelled {
		return
	}
	delete(g.unknown, id)
	n.state, n.doneAt, n.revision = state, doneAt, revision
	g.unlink(n)
	for _, dependent := range slices.Clone(n.dependents) {
		g.updateBlocked(dependent)
		if state == Cancelled {
			g.cancelWithDependents(dependent)
		}
	}
}

// unlink removes a job that is no longer open from the dependents of its dependencies.
func (g *Graph) unlink(n *node) {
	for _, dependency := range n.dependencies {
		if i := slices.Index(dependency.dependents, n); i >= 0 {
			dependency.dependents = slices.Delete(dependency.dependents, i, i+1)
		}
		if dependency.state == Open {
			g.propagatePrecedence(dependency)
		}
		g.removeIfUnused(dependency)
	}
	n.dependencies = nil
	n.toCancel, n.blocked = false, false
	g.removeIfUnused(n)
}

// removeIfUnused forgets a job that is not open and that no open job names.
func (g *Graph) removeIfUnused(n *node) {
	if n.state != Open && len(n.dependents) == 0 {
		delete(g.nodes, n.job.ID)
		delete(g.unknown, n.job.ID)
		delete(g.changed, n.job.ID)
	}
}

// hasUnfinishedDependency reports whether any dependency is not known to be stored as done.
func (n *node) hasUnfinishedDependency() bool {
	return slices.ContainsFunc(n.dependencies, func(dependency *node) bool { return dependency.state != Done })
}

// updateBlocked recomputes whether a job is blocked.
func (g *Graph) updateBlocked(n *node) {
	if blocked := n.hasUnfinishedDependency(); blocked != n.blocked {
		n.blocked = blocked
		g.changed[n.job.ID] = true
	}
}

// cancelWithDependents marks a job, and all its dependents however far, as to be cancelled, since a
// dependency is; the nearest come first.
func (g *Graph) cancelWithDependents(first *node) {
	for queue := []*node{first}; len(queue) > 0; queue = queue[1:] {
		n := queue[0]
		if n.state != Open || n.toCancel {
			continue
		}
		n.toCancel = true
		g.toCancel = append(g.toCancel, n.job.ID)
		queue = append(queue, n.dependents...)
	}
}

// earliest is the earlier of two times, of which zero is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// subtract subtracts a duration from a time; zero stays no time.
func subtract(t time.Time, d time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-d)
}

// propagatePrecedence recomputes how urgent a job is by its dependents, and does the same for its
// dependencies, as far as anything changes.
func (g *Graph) propagatePrecedence(first *node) {
	for stack := []*node{first}; len(stack) > 0; {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if n.state != Open {
			continue
		}
		precedence := n.job.precedence()
		for _, dependent := range n.dependents {
			precedence.Rank = min(precedence.Rank, dependent.precedence.Rank)
			precedence.Deadline = earliest(precedence.Deadline, subtract(dependent.precedence.Deadline, dependent.job.Estimate))
			precedence.LatestEnd = earliest(precedence.LatestEnd, subtract(dependent.precedence.LatestEnd, dependent.job.Estimate))
		}
		if precedence != n.precedence {
			n.precedence = precedence
			g.changed[n.job.ID] = true
			stack = append(stack, n.dependencies...)
		}
	}
}

// Blocked reports whether a job depends on one that is not known to be stored as done.
func (g *Graph) Blocked(id string) bool {
	n := g.nodes[id]
	return n != nil && n.hasUnfinishedDependency()
}

// ReleasedAt returns when the last dependency of a job was done, as far as known; zero if none is.
func (g *Graph) ReleasedAt(id string) time.Time {
	var last time.Time
	if n := g.nodes[id]; n != nil {
		for _, dependency := range n.dependencies {
			if dependency.doneAt.After(last) {
				last = dependency.doneAt
			}
		}
	}
	return last
}

// EarliestStartRevision returns the revision before which a job cannot have been started: the last of
// those at which a dependency was stored as done, as far as known.
func (g *Graph) EarliestStartRevision(id string) uint64 {
	last := uint64(0)
	if n := g.nodes[id]; n != nil {
		for _, dependency := range n.dependencies {
			last = max(last, dependency.revision)
		}
	}
	return last
}

// Precedence returns how urgent an open job is for its own sake and that of its dependents.
func (g *Graph) Precedence(id string) Precedence {
	if n := g.nodes[id]; n != nil {
		return n.precedence
	}
	return Precedence{}
}

// DependenciesClear reports whether of all dependencies of an open job, however far, none is cancelled or
// unknown. A dependency that is done has none such of its own.
func (g *Graph) DependenciesClear(id string) bool {
	n := g.nodes[id]
	if n == nil || n.state != Open || n.toCancel {
		return false
	}
	seen := map[*node]bool{}
	for stack := slices.Clone(n.dependencies); len(stack) > 0; {
		dependency := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		switch {
		case seen[dependency] || dependency.state == Done:
		case dependency.state != Open || dependency.toCancel:
			return false
		default:
			seen[dependency] = true
			stack = append(stack, dependency.dependencies...)
		}
	}
	return true
}

// UnknownJobs lists the jobs that open ones depend on and whose state is not known, by id.
func (g *Graph) UnknownJobs() []string {
	return sortedIDs(g.unknown)
}

// ToCancel lists the open jobs that are to be cancelled because a dependency is, the
// nearest to it first.
func (g *Graph) ToCancel() []string {
	g.toCancel = slices.DeleteFunc(g.toCancel, func(id string) bool {
		n := g.nodes[id]
		return n == nil || !n.toCancel
	})
	return slices.Clone(g.toCancel)
}

// Changed lists the jobs that were blocked, released, or became more or less urgent since
// it was last called, by id.
func (g *Graph) Changed() []string {
	if len(g.changed) == 0 {
		return nil
	}
	ids := sortedIDs(g.changed)
	clear(g.changed)
	return ids
}

// sortedIDs returns the members of a set in order. It is never nil.
func sortedIDs(set map[string]bool) []string {
	ids := make([]string, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}
