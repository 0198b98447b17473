package scheduler

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"drumpick/internal/records"
)

// placementTurn is a job's place in the placing order: on machines that have its image ready, or on any.
type placementTurn struct {
	job   *Job
	at    time.Time
	ready bool
}

// placementClass is the class of turns that find no room where this one finds none; 0: there are none.
func (t placementTurn) placementClass() int {
	if t.ready {
		return t.job.imageClass
	}
	return t.job.placementClass
}

// positions is a set of places in the placing order.
type positions []uint64

func newPositions(n int) positions { return make(positions, (n+63)/64) }

func (p positions) add(i int) { p[i/64] |= 1 << (i % 64) }

func (p positions) remove(i int) { p[i/64] &^= 1 << (i % 64) }

// next returns the first of them from a place on; -1: there is none.
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

// placementOrder is the order in which jobs are placed, worked out for all jobs now and then. In between
// it notes which of them have tasks to start, so that a placement pass skips the others without a look
// at each.
type placementOrder struct {
	turns   []placementTurn
	active  positions                     // of jobs that may have tasks to start
	groups  map[equivalentTurns]positions // of turns that are hopeless once an earlier one of them is
	turnsOf map[*Job][]int                // where a job's turns are
}

// equivalentTurns identifies turns that are in the same order as their jobs, and whose jobs are equal.
type equivalentTurns struct {
	imageClass int
	ready      bool
}

// newPlacementOrder orders the jobs for placement. Where its image has to be fetched first, a job's turn
// comes later, by twice as long as the fetch takes: the place would stand idle for that time, while a
// job that arrived that much later can use it at once. Fetches can take as long as the tasks, and each
// machine fetches each image for itself.
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
		if drain := comparePrecedence(x.job, y.job); drain != 0 {
			return drain < 0
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

// activate notes that a job may have tasks to start again.
func (o *placementOrder) activate(j *Job) {
	for _, i := range o.turnsOf[j] {
		o.active.add(i)
	}
}

// turnIterator iterates over the turns of one placement pass.
type turnIterator struct {
	order     *placementOrder
	remaining positions
	exempt    positions // never passed over as being like others
	at        int
}

// iterate starts to iterate over the turns of jobs that may have tasks to start. Those of some jobs are
// never skipped as equal to others.
func (o *placementOrder) iterate(each []*Job) *turnIterator {
	p := &turnIterator{order: o, remaining: slices.Clone(o.active), exempt: newPositions(len(o.turns)), at: -1}
	for _, j := range each {
		p.exemptFromSkipping(j)
	}
	return p
}

// next returns the next turn; false: there is none.
func (p *turnIterator) next() (placementTurn, bool) {
	if p.at = p.remaining.next(p.at + 1); p.at < 0 {
		return placementTurn{}, false
	}
	return p.order.turns[p.at], true
}

// deactivate skips the turn's job until it is activated.
func (p *turnIterator) deactivate() { p.order.active.remove(p.at) }

// skipEquivalent skips all coming turns that are equal to the last one.
func (p *turnIterator) skipEquivalent() {
	t := p.order.turns[p.at]
	for w, same := range p.order.groups[equivalentTurns{t.job.imageClass, t.ready}] {
		p.remaining[w] &^= same &^ p.exempt[w]
	}
}

// exemptFromSkipping has the coming turns of a job no longer skipped as equal to others.
func (p *turnIterator) exemptFromSkipping(j *Job) {
	for _, i := range p.order.turnsOf[j] {
		if p.exempt.add(i); i > p.at {
			p.remaining.add(i)
		}
	}
}
