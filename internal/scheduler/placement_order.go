package scheduler

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"drumpick/internal/records"
)

// placementTurn is a job's entry in the placement order. A job that has to fetch its image can have
// two: one for machines that have the image ready, and a later one for all machines.
type placementTurn struct {
	job   *Job
	at    time.Time
	ready bool
}

// placementClass returns the class of turns that have no room if this one has none; 0: no class.
func (t placementTurn) placementClass() int {
	if t.ready {
		return t.job.imageClass
	}
	return t.job.placementClass
}

// positions is a bit set of indexes into the placement order.
type positions []uint64

func newPositions(n int) positions { return make(positions, (n+63)/64) }

func (p positions) add(i int) { p[i/64] |= 1 << (i % 64) }

func (p positions) remove(i int) { p[i/64] &^= 1 << (i % 64) }

// next returns the first contained index that is at least from; -1: there is none.
func (p positions) next(from int) int {
	if from>>6 >= len(p) {
		return -1
	}
	word := p[from>>6] >> (from % 64) << (from % 64)
	for w := from >> 6; ; word = p[w] {
		if word != 0 {
			return w<<6 + bits.TrailingZeros64(word)
		}
		if w++; w == len(p) {
			return -1
		}
	}
}

// placementOrder is the order in which jobs are placed. It is rebuilt for all jobs when the queue is
// stale. In between it tracks which jobs may have tasks to start, so that a placement pass skips the
// others without visiting them.
type placementOrder struct {
	turns   []placementTurn
	active  positions                     // turns of jobs that may have tasks to start
	groups  map[equivalentTurns]positions // turns that have no room once an earlier one of the group has none
	turnsOf map[*Job][]int                // indexes of a job's turns
}

// equivalentTurns identifies turns of equivalent jobs that have the same relative order as the jobs.
type equivalentTurns struct {
	imageClass int
	ready      bool
}

// newPlacementOrder orders the jobs for placement. On machines that have to fetch its image first, a
// job's turn is delayed by twice the fetch time: the place would be idle during the fetch, while a
// job that arrived later can use it at once. Fetches can take as long as the tasks, and each machine
// fetches each image separately.
func newPlacementOrder(jobs []*Job, fetchTime func(*Job) time.Duration) *placementOrder {
	o := &placementOrder{groups: map[equivalentTurns]positions{}, turnsOf: make(map[*Job][]int, len(jobs))}
	for _, job := range jobs {
		fetch := 2 * fetchTime(job)
		if fetch > 0 && job.Shape != records.ShapeGang {
			o.turns = append(o.turns, placementTurn{job, job.turnAt, true})
		}
		o.turns = append(o.turns, placementTurn{job, job.turnAt.Add(fetch), false})
	}
	sort.SliceStable(o.turns, func(a, b int) bool {
		x, y := o.turns[a], o.turns[b]
		if order := comparePrecedence(x.job, y.job); order != 0 {
			return order < 0
		}
		return x.at.Before(y.at)
	})
	o.active = newPositions(len(o.turns))
	for i, t := range o.turns {
		o.active.add(i)
		o.turnsOf[t.job] = append(o.turnsOf[t.job], i)
		if t.job.placementClass == 0 {
			continue
		}
		group := equivalentTurns{t.job.imageClass, t.ready}
		if o.groups[group] == nil {
			o.groups[group] = newPositions(len(o.turns))
		}
		o.groups[group].add(i)
	}
	return o
}

// activate records that a job may have tasks to start again.
func (o *placementOrder) activate(j *Job) {
	for _, i := range o.turnsOf[j] {
		o.active.add(i)
	}
}

// turnIterator iterates over the turns of one placement pass.
type turnIterator struct {
	order     *placementOrder
	remaining positions
	exempt    positions // turns that skipEquivalent keeps
	at        int       // index of the last returned turn
}

// iterate returns an iterator over the turns of jobs that may have tasks to start. skipEquivalent
// never skips the turns of the exempt jobs.
func (o *placementOrder) iterate(exempt []*Job) *turnIterator {
	p := &turnIterator{order: o, remaining: slices.Clone(o.active), exempt: newPositions(len(o.turns)), at: -1}
	for _, j := range exempt {
		p.exemptFromSkipping(j)
	}
	return p
}

// next returns the next turn, or false if there is none.
func (p *turnIterator) next() (placementTurn, bool) {
	if p.at = p.remaining.next(p.at + 1); p.at < 0 {
		return placementTurn{}, false
	}
	return p.order.turns[p.at], true
}

// deactivate makes passes skip the last returned turn until its job is activated.
func (p *turnIterator) deactivate() { p.order.active.remove(p.at) }

// skipEquivalent skips the remaining turns that are equivalent to the last returned one.
func (p *turnIterator) skipEquivalent() {
	t := p.order.turns[p.at]
	for w, same := range p.order.groups[equivalentTurns{t.job.imageClass, t.ready}] {
		p.remaining[w] &^= same &^ p.exempt[w]
	}
}

// exemptFromSkipping restores a job's remaining turns and keeps skipEquivalent from skipping them.
func (p *turnIterator) exemptFromSkipping(j *Job) {
	for _, i := range p.order.turnsOf[j] {
		if p.exempt.add(i); i > p.at {
			p.remaining.add(i)
		}
	}
}
