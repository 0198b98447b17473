package scheduler

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"drumpick/internal/records"
)

// placingTurn is a job's place in the placing order: on machines that have its image ready, or on any.
type placingTurn struct {
	job   *Job
	at    time.Time
	ready bool
}

// placementClass is the class of turns that find no room where this one finds none; 0: there are none.
func (t placingTurn) placementClass() int {
	if t.ready {
		return t.job.imageClass
	}
	return t.job.placementClass
}

// positions is a set of places in the placing order.
type positions []uint64

func newPositions(n int) positions { return make(positions, (n+63)/64) }

func (p positions) put(i int) { p[i/64] |= 1 << (i % 64) }

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

// placingOrder is the order in which jobs are placed, worked out for all jobs now and then. In between
// it notes which of them have tasks to start, so that a placement pass skips the others without a look
// at each.
type placingOrder struct {
	turns   []placingTurn
	active  positions               // of jobs that may have tasks to start
	groups  map[turnGroup]positions // of turns that are hopeless once an earlier one of them is
	turnsOf map[*Job][]int          // where a job's turns are
}

// turnGroup identifies turns that are in the same order as their jobs, and whose jobs are equal.
type turnGroup struct {
	imageClass int
	ready      bool
}

// newPlacingOrder orders the jobs for placement. Where its image has to be fetched first, a job's turn
// comes later, by twice as long as the fetch takes: the place would stand idle for that time, while a
// job that arrived that much later can use it at once. Fetches can take as long as the tasks, and each
// machine fetches each image for itself.
func newPlacingOrder(jobs []*Job, fetchTime func(*Job) time.Duration) *placingOrder {
	o := &placingOrder{groups: map[turnGroup]positions{}, turnsOf: make(map[*Job][]int, len(jobs))}
	for _, job := range jobs {
		fetch := 2 * fetchTime(job)
		if fetch > 0 && job.Shape != records.ShapeGang {
			o.turns = append(o.turns, placingTurn{job, job.turnAt, true})
		}
		o.turns = append(o.turns, placingTurn{job, job.turnAt.Add(fetch), false})
	}
	sort.SliceStable(o.turns, func(a, b int) bool {
		x, y := o.turns[a], o.turns[b]
		if drain := precedence(x.job, y.job); drain != 0 {
			return drain < 0
		}
		return x.at.Before(y.at)
	})
	o.active = newPositions(len(o.turns))
	for i, t := range o.turns {
		o.active.put(i)
		o.turnsOf[t.job] = append(o.turnsOf[t.job], i)
		if t.job.placementClass == 0 {
			continue
		}
		group := turnGroup{t.job.imageClass, t.ready}
		if o.groups[group] == nil {
			o.groups[group] = newPositions(len(o.turns))
		}
		o.groups[group].put(i)
	}
	return o
}

// activate notes that a job may have tasks to start again.
func (o *placingOrder) activate(j *Job) {
	for _, i := range o.turnsOf[j] {
		o.active.put(i)
	}
}

// placingTurns iterates over the turns of one placement pass.
type placingTurns struct {
	order     *placingOrder
	remaining positions
	separate  positions // never passed over as being like others
	at        int
}

// begin starts to iterate over the turns of jobs that may have tasks to start. Those of some jobs are
// never skipped as equal to others.
func (o *placingOrder) begin(each []*Job) *placingTurns {
	p := &placingTurns{order: o, remaining: slices.Clone(o.active), separate: newPositions(len(o.turns)), at: -1}
	for _, j := range each {
		p.keepSeparate(j)
	}
	return p
}

// next returns the next turn; false: there is none.
func (p *placingTurns) next() (placingTurn, bool) {
	if p.at = p.remaining.next(p.at + 1); p.at < 0 {
		return placingTurn{}, false
	}
	return p.order.turns[p.at], true
}

// deactivate skips the turn's job until it is activated.
func (p *placingTurns) deactivate() { p.order.active.remove(p.at) }

// skipAlike skips all coming turns that are equal to the last one.
func (p *placingTurns) skipAlike() {
	t := p.order.turns[p.at]
	for w, same := range p.order.groups[turnGroup{t.job.imageClass, t.ready}] {
		p.remaining[w] &^= same &^ p.separate[w]
	}
}

// keepSeparate has the coming turns of a job no longer skipped as equal to others.
func (p *placingTurns) keepSeparate(j *Job) {
	for _, i := range p.order.turnsOf[j] {
		if p.separate.put(i); i > p.at {
			p.remaining.put(i)
		}
	}
}
