package scheduler

import (
	"math/bits"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// marks is what a term knows of the marks in the store (package frontier).
type marks struct {
	raised map[*Job]struct{} // jobs whose marks are to be stored anew
	whole  bool              // every task that may have been sent, by any leader, is below a mark that is stored or raised
	loose  bool              // every other controller has heard that it is not so: tasks beyond marks may be sent
}

func newMarks() marks { return marks{raised: map[*Job]struct{}{}} }

// doubtful says whether a task may be on a machine that has not been heard since the
// takeover.
func (j *Job) doubtful(t int) bool { return j.doubt != nil && has(j.doubt, t) }

// doubts counts such tasks.
func (j *Job) doubts() int {
	n := 0
	for i, w := range j.doubt {
		n += bits.OnesCount64(w &^ j.done[i])
	}
	return n
}

// suspect takes all tasks of a job as in doubt, if an earlier leader can have sent any.
func (c *Scheduler) suspect(j *Job) {
	if c.settled || j.since > c.term {
		return
	}
	j.doubt = make([]uint64, len(j.done))
	for t := range j.Tasks {
		j.doubt[t/64] |= 1 << (t % 64)
	}
	j.next = j.Tasks
}

// trust takes no task of a job as in doubt any more: where a machine holds one, that is
// known.
func (c *Scheduler) trust(j *Job) {
	if j.doubt == nil {
		return
	}
	was := j.doubt
	j.doubt, j.beyond, c.dirty = nil, true, true
	c.order.wake(j)
	if len(j.again) == 0 {
		j.next = 0 // what is held, done or astray is passed over
		return
	}
	for t := range j.Tasks {
		if has(was, t) && !has(j.done, t) && j.held[t] == nil && j.strays[t] == 0 {
			j.push(t)
		}
	}
}

// LoadWatermarks takes in the marks that the store has, by job. Where they are whole, only what
// is below them is in doubt: the rest was never sent.
func (c *Scheduler) LoadWatermarks(stored map[string]int, whole bool) {
	for id, j := range c.jobs {
		n := min(stored[id], j.Tasks)
		j.mark.NoteStored(n)
		if !whole || j.doubt == nil {
			continue
		}
		j.next = n
		c.order.wake(j)
		if n == 0 {
			j.doubt = nil
			continue
		}
		for t := n; t < j.Tasks; t++ {
			j.doubt[t/64] &^= 1 << (t % 64)
		}
	}
	c.marks.whole = whole
	c.dirty = true
}

// seen clears the doubt about what a machine shows that obeys this term: what is there now
// had not ended when the last leader stopped, so it was sent to no other. Guards against what only
// a copy of an earlier report has shown, and is still to be asked about: the machine may have
// started anew since, and the task have been sent to another that is unheard of.
func (c *Scheduler) seen(m *fleet.Machine) {
	for _, a := range m.Attempts() {
		j := c.jobOf(a)
		if j != nil && j.doubtful(a.Task.N) && a.MayBePresent() && m.LastReported(a) && j.held[a.Task.N] == a {
			j.doubt[a.Task.N/64] &^= 1 << (a.Task.N % 64)
		}
	}
}

// certain ends all doubt, as every machine has been heard, and marks what is on them: an
// earlier leader may have kept no marks.
func (c *Scheduler) certain() {
	for _, j := range c.jobs {
		c.trust(j)
		for t, a := range j.held {
			if a.MayBePresent() {
				c.raise(j, t)
			}
		}
		for t := range j.strays {
			c.raise(j, t)
		}
	}
	c.marks.whole = c.set.Watermarks
}

// raise asks for a mark beyond a task.
func (c *Scheduler) raise(j *Job, t int) {
	if !c.set.Watermarks {
		return
	}
	if j.Shape == records.ShapeGang {
		t = j.Tasks - 1 // all of it is sent or none
	}
	if j.mark.Raise(t, j.Tasks) {
		c.marks.raised[j] = struct{}{}
	}
}

// foresee marks what of a new job will be wanted at once when its turn comes: urgent jobs'
// first tasks, and small jobs and those that wait for others whole. Guards against a
// chain each step of which waits for the store.
func (c *Scheduler) foresee(j *Job) {
	switch {
	case len(j.Dependencies) > 0 || j.Tasks <= 2*watermark.RaiseDivisor:
		c.raise(j, j.Tasks-1)
	case prioRank[j.Priority] <= prioRank[records.PriorityUrgent]:
		c.raise(j, 0)
	}
}

// covered says whether a task that is planned may be sent as far as marks go.
func (c *Scheduler) covered(a *fleet.Attempt) bool {
	if !c.set.Watermarks || c.marks.loose {
		return true
	}
	j := c.jobOf(a)
	return j == nil || j.mark.Covers(a.Task.N)
}

// AwaitsWatermark says whether anything planned for a machine waits for its mark.
func (c *Scheduler) AwaitsWatermark(m *fleet.Machine) bool {
	for _, a := range m.Attempts() {
		if a.State() == fleet.Planned && !c.covered(a) {
			return true
		}
	}
	return false
}

// aheadShare is how many tasks, for each machine that takes tasks, are marked before there is room
// for them: about what starts until the next look and the answer of the store to it.
const aheadShare = 1.0 / 2

// takers counts the machines that take tasks.
func (c *Scheduler) takers() int {
	n := 0
	for _, m := range c.fleet.Sorted() {
		if m.Bin.Open() {
			n++
		}
	}
	return n
}

// ahead raises the marks of the jobs that are served next, so that a task that finds room
// in the answer to a report need not wait for the store.
func (c *Scheduler) ahead(now time.Time) {
	if !c.set.Watermarks {
		return
	}
	budget := int(float64(c.takers()) * aheadShare)
	for _, j := range c.queue(now) {
		if budget <= 0 {
			return
		}
		left := j.Tasks - j.next
		if left <= 0 || j.waits || !c.startable(j, now) {
			continue
		}
		if j.Shape == records.ShapeGang {
			c.raise(j, 0)
			budget -= left
			continue
		}
		if want := min(left, budget); j.mark.Requested-j.next < want {
			c.raise(j, j.next+want-1)
		}
		budget -= left
	}
}
