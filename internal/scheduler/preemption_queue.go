package scheduler

import "container/heap"

// candidateQueue orders feasible candidates by their lost work, and equal ones by their place in the list.
// It implements heap.Interface for its own methods.
type candidateQueue struct {
	candidates []*preemptionCandidate
	positions  []int // in the list, by index of candidates
}

// newCandidateQueue returns a queue of the feasible candidates of a list. It reevaluates candidates for
// whose machine a choice was applied.
func (s *preemptionSearch) newCandidateQueue(job *Job, list []*preemptionCandidate) *candidateQueue {
	q := &candidateQueue{}
	for position, candidate := range list {
		if candidate.version != s.versions[candidate.machine] {
			s.evaluate(job, candidate)
		}
		if candidate.feasible {
			q.candidates, q.positions = append(q.candidates, candidate), append(q.positions, position)
		}
	}
	heap.Init(q)
	return q
}

// first returns the candidate with the least lost work. The queue must not be empty.
func (q *candidateQueue) first() *preemptionCandidate { return q.candidates[0] }

func (q *candidateQueue) removeFirst() { heap.Pop(q) }

// updateFirst moves the first candidate to its place after a change, or removes it if it is not feasible any
// more.
func (q *candidateQueue) updateFirst() {
	if !q.candidates[0].feasible {
		heap.Pop(q)
		return
	}
	heap.Fix(q, 0)
}

// Len returns the number of candidates.
func (q *candidateQueue) Len() int { return len(q.candidates) }

// Less implements heap.Interface.
func (q *candidateQueue) Less(a, b int) bool {
	if x, y := q.candidates[a].loss, q.candidates[b].loss; x != y {
		return x < y
	}
	return q.positions[a] < q.positions[b]
}

// Swap implements heap.Interface.
func (q *candidateQueue) Swap(a, b int) {
	q.candidates[a], q.candidates[b] = q.candidates[b], q.candidates[a]
	q.positions[a], q.positions[b] = q.positions[b], q.positions[a]
}

// Push implements heap.Interface. The queue never grows.
func (q *candidateQueue) Push(any) { panic("candidateQueue: Push is not supported") }

// Pop implements heap.Interface.
func (q *candidateQueue) Pop() any {
	last := len(q.candidates) - 1
	candidate := q.candidates[last]
	q.candidates, q.positions = q.candidates[:last], q.positions[:last]
	return candidate
}
