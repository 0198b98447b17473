// Package dependency maintains the dependency graph of jobs: which jobs are blocked, which are to be
// cancelled because a dependency was cancelled, and the priority and deadlines that a job inherits
// from its dependents. It is pure: no I/O, no clock.
//
// A job that is done or cancelled is removed once no open job depends on it. A dependency in state
// Unknown blocks its dependents until the owner of the graph has read its record from the store and
// called Add or SetFinal.
package dependency

import (
	"slices"
	"strings"
	"time"
)

// State is the state of a job as known to the graph.
type State uint8

// States. Done and Cancelled are final and recorded in the store.
const (
	Unknown   State = iota // not known or not read yet; no dependent may start
	Open                   // accepted, neither done nor cancelled
	Done                   // all tasks of the job have succeeded
	Cancelled              // cancelled by a user, or because a dependency was cancelled
)

// Job is an open job.
type Job struct {
	ID           string
	Dependencies []string      // ids of the jobs that must be done first
	Rank         int           // rank of its priority; 0 is the highest
	Deadline     time.Time     // when the job should be done; zero: none
	LatestEnd    time.Time     // when the job should be done at the very latest; zero: none
	Estimate     time.Duration // estimated time from the end of its last dependency to its own end
}

// Precedence is the urgency of a job, with or without what the job inherits from its dependents. The
// fields mean the same as those of Job.
type Precedence struct {
	Rank                int
	Deadline, LatestEnd time.Time
}

// precedence returns the job's precedence without what it inherits from its dependents.
func (j *Job) precedence() Precedence {
	return Precedence{Rank: j.Rank, Deadline: j.Deadline, LatestEnd: j.LatestEnd}
}

// node is a job of the graph.
type node struct {
	job          Job // only the ID is set until Add
	state        State
	toCancel     bool      // open and to be cancelled because a dependency was cancelled
	blocked      bool      // open and waiting for a dependency
	doneAt       time.Time // when the job was done; zero: unknown
	revision     uint64    // store revision of the record of its final state; 0: unknown
	dependencies []*node
	dependents   []*node    // open jobs that depend on it
	precedence   Precedence // of an open job, including what it inherits from its dependents

	pending     bool // in Graph.pending
	propagation propagationMark
}

// Graph holds the open jobs and their dependencies. It is not safe for concurrent use.
type Graph struct {
	nodes    map[string]*node
	unknown  map[string]bool // see UnknownJobs
	toCancel []string        // see ToCancel; may include jobs that are no longer open
	changed  map[string]bool // see Changed
	batches  int             // number of calls of Batch in progress
	pending  []*node         // jobs whose precedence has to be recomputed at the end of the batch
	passes   uint64          // number of passes of propagation
	visits   int             // number of times that propagation worked through a job, which tests bound
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{nodes: map[string]*node{}, unknown: map[string]bool{}, changed: map[string]bool{}}
}

// node returns the node of a job, adding one in state Unknown if there is none.
func (g *Graph) node(id string) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{job: Job{ID: id}}
		g.nodes[id] = n
	}
	return n
}

// Add adds an open job. It does nothing if the job is already open, done or cancelled. A dependency is
// accepted before any job that names it, so there are no cycles.
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
	for _, dependent := range n.dependents { // these were added before this job
		g.updateBlocked(dependent)
	}
	g.propagatePrecedence(append([]*node{n}, n.dependencies...)...)
	for _, dependency := range n.dependencies {
		if dependency.state == Cancelled || dependency.toCancel {
			g.cancelWithDependents(n)
		}
	}
}

// Close records that a job is no longer open. Its state is Unknown until SetFinal is called.
func (g *Graph) Close(id string) {
	if n := g.nodes[id]; n != nil && n.state == Open {
		n.state = Unknown
		g.unlink(n)
		if g.nodes[id] != nil {
			g.unknown[id] = true
		}
	}
}

// SetFinal sets the final state of a job, Done or Cancelled, once the store has recorded it. Only the
// first call for a job has an effect, and none if the job is not in the graph. doneAt is when the
// job was done; zero if unknown. revision is the store revision of the record; it determines
// EarliestStartRevision of the dependents.
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

// unlink removes a job that is no longer open from the dependents of its dependencies, recomputes their
// precedence, and removes the nodes that are no longer needed.
func (g *Graph) unlink(n *node) {
	for _, dependency := range n.dependencies {
		if i := slices.Index(dependency.dependents, n); i >= 0 {
			dependency.dependents = slices.Delete(dependency.dependents, i, i+1)
		}
		g.removeIfUnused(dependency)
	}
	g.propagatePrecedence(n.dependencies...)
	n.dependencies = nil
	n.toCancel, n.blocked = false, false
	g.removeIfUnused(n)
}

// removeIfUnused removes a job that is not open and on which no open job depends.
func (g *Graph) removeIfUnused(n *node) {
	if n.state != Open && len(n.dependents) == 0 {
		delete(g.nodes, n.job.ID)
		delete(g.unknown, n.job.ID)
		delete(g.changed, n.job.ID)
	}
}

// hasUnfinishedDependency reports whether any direct dependency is in a state other than Done.
func (n *node) hasUnfinishedDependency() bool {
	return slices.ContainsFunc(n.dependencies, func(dependency *node) bool { return dependency.state != Done })
}

// updateBlocked recomputes whether a job is blocked, and marks the job as changed if that differs.
func (g *Graph) updateBlocked(n *node) {
	if blocked := n.hasUnfinishedDependency(); blocked != n.blocked {
		n.blocked = blocked
		g.changed[n.job.ID] = true
	}
}

// cancelWithDependents marks a job and all its direct and indirect dependents as to be cancelled, in
// breadth-first order. It skips jobs that are not open or already marked.
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

// Blocked reports whether a job has a direct dependency in a state other than Done. It is false for a
// job that is not in the graph.
func (g *Graph) Blocked(id string) bool {
	n := g.nodes[id]
	return n != nil && n.hasUnfinishedDependency()
}

// ReleasedAt returns the latest known time at which a dependency of a job was done; zero if none is
// known.
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

// EarliestStartRevision returns the store revision before which a job cannot have been started: the
// highest known revision at which a dependency was stored as done; 0 if none is known.
func (g *Graph) EarliestStartRevision(id string) uint64 {
	last := uint64(0)
	if n := g.nodes[id]; n != nil {
		for _, dependency := range n.dependencies {
			last = max(last, dependency.revision)
		}
	}
	return last
}

// Precedence returns the precedence of an open job, including what it inherits from its dependents; the
// zero value for a job that is not in the graph.
func (g *Graph) Precedence(id string) Precedence {
	if n := g.nodes[id]; n != nil {
		return n.precedence
	}
	return Precedence{}
}

// DependenciesClear reports whether a job is open and none of its direct and indirect dependencies is
// cancelled, to be cancelled or unknown. It does not check the dependencies of a job that is done: all
// of them are done, too.
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

// UnknownJobs returns the sorted ids of the jobs in state Unknown that open jobs depend on.
func (g *Graph) UnknownJobs() []string {
	return sortedIDs(g.unknown)
}

// ToCancel returns the ids of the open jobs that are to be cancelled because a dependency was
// cancelled, direct dependents first.
func (g *Graph) ToCancel() []string {
	g.toCancel = slices.DeleteFunc(g.toCancel, func(id string) bool {
		n := g.nodes[id]
		return n == nil || !n.toCancel
	})
	return slices.Clone(g.toCancel)
}

// Changed returns the sorted ids of the jobs that were added, became blocked or released, or changed
// their precedence since the last call of Changed; nil if there are none.
func (g *Graph) Changed() []string {
	if len(g.changed) == 0 {
		return nil
	}
	ids := sortedIDs(g.changed)
	clear(g.changed)
	return ids
}

// sortedIDs returns the members of a set, sorted. The result is never nil.
func sortedIDs(set map[string]bool) []string {
	ids := make([]string, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}
