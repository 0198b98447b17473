package dependency

import (
	"slices"
	"time"
)

// earliest returns the earlier of two times. A zero time means none: the other one is returned.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// subtract subtracts a duration from a time; a zero time stays zero.
func subtract(t time.Time, d time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-d)
}

// inheritedPrecedence returns the precedence of an open job, including what it inherits from its
// dependents by their current precedence.
func (n *node) inheritedPrecedence() Precedence {
	precedence := n.job.precedence()
	for _, dependent := range n.dependents {
		precedence.Rank = min(precedence.Rank, dependent.precedence.Rank)
		precedence.Deadline = earliest(precedence.Deadline, subtract(dependent.precedence.Deadline, dependent.job.Estimate))
		precedence.LatestEnd = earliest(precedence.LatestEnd, subtract(dependent.precedence.LatestEnd, dependent.job.Estimate))
	}
	return precedence
}

// Batch calls f and recomputes the precedence of jobs that f affects only afterwards, in one pass. In f,
// Precedence and Changed return what is known so far. Without it, each job of a large graph that is
// added after its dependents would cause a pass of its own.
func (g *Graph) Batch(f func()) {
	g.batches++
	defer func() {
		if g.batches--; g.batches == 0 {
			pending := g.pending
			g.pending = nil
			g.propagatePrecedence(pending...)
		}
	}()
	f()
}

// propagatePrecedence recomputes the precedence of some jobs from their dependents and, as far as it
// changes, that of their direct and indirect dependencies. It works through each job once, after its
// dependents: in another order, a job would be worked through as often as an earlier deadline reaches it
// on another path, which can double with each job of a path.
func (g *Graph) propagatePrecedence(jobs ...*node) {
	if g.batches > 0 {
		g.addPending(jobs)
		return
	}
	var outdated []*node
	for _, n := range jobs {
		n.pending = false
		g.visits++
		if n.state == Open && n.inheritedPrecedence() != n.precedence {
			outdated = append(outdated, n)
		}
	}
	if len(outdated) == 0 {
		return
	}
	g.passes++
	p := propagation{graph: g, pass: g.passes}
	p.updateAll(p.reach(outdated))
}

// addPending adds jobs to those that the end of the batch recomputes.
func (g *Graph) addPending(jobs []*node) {
	for _, n := range jobs {
		if !n.pending {
			n.pending = true
			g.pending = append(g.pending, n)
		}
	}
}

// propagationMark is the state of one job in a pass. It is valid only if pass is that of the current pass.
type propagationMark struct {
	pass           uint64
	outdated       bool // the precedence of the job, or of a dependent, has changed
	dependentsLeft int  // number of reachable dependents that were not worked through yet
}

// propagation is one pass of propagatePrecedence.
type propagation struct {
	graph *Graph
	pass  uint64 // number of the pass
}

// mark returns the mark of a job, and whether the pass has reached the job before.
func (p *propagation) mark(n *node) (mark *propagationMark, reached bool) {
	reached = n.propagation.pass == p.pass
	if !reached {
		n.propagation = propagationMark{pass: p.pass}
	}
	return &n.propagation, reached
}

// reach marks the outdated jobs and counts the dependents of all open jobs that are reachable from them. It
// returns the reachable jobs that have no reachable dependent.
func (p *propagation) reach(outdated []*node) (first []*node) {
	for _, n := range outdated {
		mark, _ := p.mark(n)
		mark.outdated = true
	}
	for stack := slices.Clone(outdated); len(stack) > 0; {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		p.graph.visits++
		for _, dependency := range n.dependencies {
			if dependency.state != Open {
				continue
			}
			mark, reached := p.mark(dependency)
			mark.dependentsLeft++
			if !reached {
				stack = append(stack, dependency)
			}
		}
	}
	for _, n := range outdated {
		if n.propagation.dependentsLeft == 0 {
			first = append(first, n)
		}
	}
	return first
}

// updateAll works through the reachable jobs in topological order, from those without reachable
// dependents on.
func (p *propagation) updateAll(ready []*node) {
	for len(ready) > 0 {
		n := ready[len(ready)-1]
		ready = ready[:len(ready)-1]
		p.update(n)
		for _, dependency := range n.dependencies {
			if dependency.state != Open {
				continue
			}
			if dependency.propagation.dependentsLeft--; dependency.propagation.dependentsLeft == 0 {
				ready = append(ready, dependency)
			}
		}
	}
}

// update recomputes the precedence of a job if it is outdated. If it changes, the job's dependencies are
// outdated as well.
func (p *propagation) update(n *node) {
	if !n.propagation.outdated {
		return
	}
	p.graph.visits++
	precedence := n.inheritedPrecedence()
	if precedence == n.precedence {
		return
	}
	n.precedence = precedence
	p.graph.changed[n.job.ID] = true
	for _, dependency := range n.dependencies {
		dependency.propagation.outdated = true
	}
}
