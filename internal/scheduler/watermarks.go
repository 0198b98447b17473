package scheduler

import (
	"math/bits"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// watermarkState is what a term knows of the marks in the store (package frontier).
type watermarkState struct {
	raised   map[*Job]struct{} // jobs whose marks are to be stored anew
	complete bool              // every task that may have been sent, by any leader, is below a mark that is stored or raised
	relaxed  bool              // every other controller has heard that it is not so: tasks beyond marks may be sent
}

func newWatermarkState() watermarkState { return watermarkState{raised: map[*Job]struct{}{}} }

// isUncertain says whether a task may be on a machine that has not been heard since the
// takeover.
func (j *Job) isUncertain(t int) bool { return j.uncertain != nil && has(j.uncertain, t) }

// countUncertain counts such tasks.
func (j *Job) countUncertain() int {
	n := 0
	for i, w := range j.uncertain {
		n += bits.OnesCount64(w &^ j.done[i])
	}
	return n
}

// markUncertain takes all tasks of a job as in doubt, if an earlier leader can have sent any.
func (s *Scheduler) markUncertain(j *Job) {
	if s.reconciled || j.notStartedBefore > s.term {
		return
	}
	j.uncertain = make([]uint64, len(j.done))
	for t := range j.Tasks {
		j.uncertain[t/64] |= 1 << (t % 64)
	}
	j.nextUntried = j.Tasks
}

// clearUncertain takes no task of a job as in doubt any more: where a machine holds one, that is
// known.
func (s *Scheduler) clearUncertain(j *Job) {
	if j.uncertain == nil {
		return
	}
	was := j.uncertain
	j.uncertain, j.adoptedUntried, s.placementStale = nil, true, true
	s.order.activate(j)
	if len(j.retries) == 0 {
		j.nextUntried = 0 // what is held, done or astray is passed over
		return
	}
	for t := range j.Tasks {
		if has(was, t) && !has(j.done, t) && j.attempts[t] == nil && j.duplicates[t] == 0 {
			j.pushRetry(t)
		}
	}
}

// LoadWatermarks takes in the marks that the store has, by job. Where they are whole, only what
// is below them is in doubt: the rest was never sent.
func (s *Scheduler) LoadWatermarks(stored map[string]int, whole bool) {
	for id, j := range s.jobs {
		n := min(stored[id], j.Tasks)
		j.watermark.NoteStored(n)
		if !whole || j.uncertain == nil {
			continue
		}
		j.nextUntried = n
		s.order.activate(j)
		if n == 0 {
			j.uncertain = nil
			continue
		}
		for t := n; t < j.Tasks; t++ {
			j.uncertain[t/64] &^= 1 << (t % 64)
		}
	}
	s.watermarks.complete = whole
	s.placementStale = true
}

// clearUncertainOn clears the doubt about what a machine shows that obeys this term: what is there now
// had not ended when the last leader stopped, so it was sent to no other. Guards against what only
// a copy of an earlier report has shown, and is still to be asked about: the machine may have
// started anew since, and the task have been sent to another that is unheard of.
func (s *Scheduler) clearUncertainOn(m *fleet.Machine) {
	for _, a := range m.Attempts() {
		j := s.jobOf(a)
		if j != nil && j.isUncertain(a.Task.N) && a.MayBePresent() && m.LastReported(a) && j.attempts[a.Task.N] == a {
			j.uncertain[a.Task.N/64] &^= 1 << (a.Task.N % 64)
		}
	}
}

// clearAllUncertain ends all doubt, as every machine has been heard, and marks what is on them: an
// earlier leader may have kept no marks.
func (s *Scheduler) clearAllUncertain() {
	for _, j := range s.jobs {
		s.clearUncertain(j)
		for t, a := range j.attempts {
			if a.MayBePresent() {
				s.raiseWatermark(j, t)
			}
		}
		for t := range j.duplicates {
			s.raiseWatermark(j, t)
		}
	}
	s.watermarks.complete = s.settings.Watermarks
}

// raiseWatermark asks for a mark beyond a task.
func (s *Scheduler) raiseWatermark(j *Job, t int) {
	if !s.settings.Watermarks {
		return
	}
	if j.Shape == records.ShapeGang {
		t = j.Tasks - 1 // all of it is sent or none
	}
	if j.watermark.Raise(t, j.Tasks) {
		s.watermarks.raised[j] = struct{}{}
	}
}

// raiseForNewJob marks what of a new job will be wanted at once when its turn comes: urgent jobs'
// first tasks, and small jobs and those that wait for others whole. Guards against a
// chain each step of which waits for the store.
func (s *Scheduler) raiseForNewJob(j *Job) {
	switch {
	case len(j.Dependencies) > 0 || j.Tasks <= 2*watermark.RaiseDivisor:
		s.raiseWatermark(j, j.Tasks-1)
	case priorityRank[j.Priority] <= priorityRank[records.PriorityUrgent]:
		s.raiseWatermark(j, 0)
	}
}

// belowWatermark says whether a task that is planned may be sent as far as marks go.
func (s *Scheduler) belowWatermark(a *fleet.Attempt) bool {
	if !s.settings.Watermarks || s.watermarks.relaxed {
		return true
	}
	j := s.jobOf(a)
	return j == nil || j.watermark.Covers(a.Task.N)
}

// AwaitsWatermark says whether anything planned for a machine waits for its mark.
func (s *Scheduler) AwaitsWatermark(m *fleet.Machine) bool {
	for _, a := range m.Attempts() {
		if a.State() == fleet.Planned && !s.belowWatermark(a) {
			return true
		}
	}
	return false
}

// aheadShare is how many tasks, for each machine that takes tasks, are marked before there is room
// for them: about what starts until the next look and the answer of the store to it.
const aheadShare = 1.0 / 2

// countAccepting counts the machines that take tasks.
func (s *Scheduler) countAccepting() int {
	n := 0
	for _, m := range s.fleet.Sorted() {
		if m.Bin.Open() {
			n++
		}
	}
	return n
}

// raiseWatermarksAhead raises the marks of the jobs that are served next, so that a task that finds room
// in the answer to a report need not wait for the store.
func (s *Scheduler) raiseWatermarksAhead(now time.Time) {
	if !s.settings.Watermarks {
		return
	}
	budget := int(float64(s.countAccepting()) * aheadShare)
	for _, j := range s.queue(now) {
		if budget <= 0 {
			return
		}
		left := j.Tasks - j.nextUntried
		if left <= 0 || j.blocked || !s.startable(j, now) {
			continue
		}
		if j.Shape == records.ShapeGang {
			s.raiseWatermark(j, 0)
			budget -= left
			continue
		}
		if want := min(left, budget); j.watermark.Requested-j.nextUntried < want {
			s.raiseWatermark(j, j.nextUntried+want-1)
		}
		budget -= left
	}
}
