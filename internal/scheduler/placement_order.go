package scheduler

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"drumpick/internal/records"
)

// placementTurn is a job's entry in the placement order. A job with an image to fetch can have two
// turns: one for machines that have the image ready, and a later one for all machines.
type placementTurn struct {
	job   *Job
	at    time.Time // orders the turns of jobs with equal precedence, the earliest first
	ready bool      // only for machines that have the job's image ready
}

// placementClass returns the number of the turn's class; 0: none. If the turn finds no room, the turns
// of that class whose jobs are served later find none either.
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

// next returns the smallest contained index that is at least from, -1 if there is none.
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

// placementOrder is the order of the turns in which jobs are placed. It is rebuilt when the
// scheduling order is stale (Scheduler.queueStale). Between rebuilds, it tracks which jobs may have
// tasks to start, so that placement passes skip the other jobs without visiting them.
type placementOrder struct {
	turns   []placementTurn
	active  positions                     // turns of jobs that may have tasks to start
	groups  map[equivalentTurns]positions // turns of equivalent jobs: once one finds no room, the later ones find none either
	turnsOf map[*Job][]int                // indexes of each job's turns, in ascending order
}

// equivalentTurns identifies turns of equivalent jobs that have the same relative order as the jobs.
type equivalentTurns struct {
	imageClass int
	ready      bool
}

// newPlacementOrder returns the placement order of jobs, which must be in the order in which they
// are served. A job's turn for all machines is later than its turn for machines with its image by
// twice the fetch time: during a fetch, the place would be idle, while a job that arrived later
// could use it at once. Fetches can take as long as the tasks, and each machine fetches each image
// separately. Gangs and jobs without a known fetch time have only the turn for all machines.
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

// activate records that a job may have tasks to start again, so that passes visit its turns.
func (o *placementOrder) activate(j *Job) {
	for _, i := range o.turnsOf[j] {
		o.active.add(i)
	}
}

// turnIterator iterates over the turns of one placement pass.
type turnIterator struct {
	order     *placementOrder
	remaining positions // turns that are not skipped
	exempt    positions // turns that skipEquivalent does not skip
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

// next returns the next turn that is not skipped, or false if there is none.
func (p *turnIterator) next() (placementTurn, bool) {
	if p.at = p.remaining.next(p.at + 1); p.at < 0 {
		return placementTurn{}, false
	}
	return p.order.turns[p.at], true
}

// deactivate makes later passes skip the last returned turn until its job is activated.
func (p *turnIterator) deactivate() { p.order.active.remove(p.at) }

// skipEquivalent skips the remaining turns of the last returned turn's group, except exempt ones.
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
