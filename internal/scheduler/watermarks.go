package scheduler

import (
	"math/bits"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// watermarkState is what a term knows of the watermarks in the store (package watermark).
type watermarkState struct {
	raised map[*Job]struct{} // jobs whose watermarks are to be stored anew
	// complete: every task that any leader may have sent is below a watermark, stored or raised.
	complete bool
	// relaxed: every other controller was notified that this is not so; tasks beyond watermarks may be sent.
	relaxed bool
}

func newWatermarkState() watermarkState { return watermarkState{raised: map[*Job]struct{}{}} }

// isUncertain reports whether a task may be on a machine that has not been heard since the failover.
func (j *Job) isUncertain(task int) bool { return j.uncertain != nil && hasBit(j.uncertain, task) }

// countUncertain counts the uncertain tasks that are not done.
func (j *Job) countUncertain() int {
	n := 0
	for i, word := range j.uncertain {
		n += bits.OnesCount64(word &^ j.done[i])
	}
	return n
}

// markUncertain marks all tasks of a job as uncertain if an earlier leader can have sent any.
func (s *Scheduler) markUncertain(j *Job) {
	if s.reconciled || j.earliestStartRevision > s.term {
		return
	}
	j.uncertain = make([]uint64, len(j.done))
	for t := range j.Tasks {
		j.uncertain[t/64] |= 1 << (t % 64)
	}
	j.nextUntried = j.Tasks
}

// clearUncertain marks no task of a job as uncertain any more: where a machine holds one, that is
// known.
func (s *Scheduler) clearUncertain(j *Job) {
	if j.uncertain == nil {
		return
	}
	was := j.uncertain
	j.uncertain, j.untriedHaveAttempts, s.placementStale = nil, true, true
	s.order.activate(j)
	if len(j.retries) == 0 {
		j.nextUntried = 0 // what is held, done or a duplicate is passed over
		return
	}
	for t := range j.Tasks {
		if hasBit(was, t) && !hasBit(j.done, t) && j.attempts[t] == nil && j.duplicates[t] == 0 {
			j.queueRetry(t)
		}
	}
}

// LoadWatermarks takes in the watermarks that the store has, by job. Where they are complete, only the
// tasks below them are uncertain: the rest was never sent.
func (s *Scheduler) LoadWatermarks(stored map[string]int, complete bool) {
	for id, j := range s.jobs {
		n := min(stored[id], j.Tasks)
		j.watermark.RecordStored(n)
		if !complete || j.uncertain == nil {
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
	s.watermarks.complete = complete
	s.placementStale = true
}

// clearUncertainSeenOn takes the tasks that a machine shows under this term as certain: what is there now
// had not ended when the last leader stopped, so it was sent to no other machine. It leaves out what
// only a copy of an earlier heartbeat has shown, and is still to be probed for: the machine may have a
// new incarnation since, and the task have been sent to another that has not been heard.
func (s *Scheduler) clearUncertainSeenOn(m *fleet.Machine) {
	for _, a := range m.Attempts() {
		j := s.jobOf(a)
		if j != nil && j.isUncertain(a.Task.N) && a.MayBePresent() && m.InLastStatus(a) && j.attempts[a.Task.N] == a {
			j.uncertain[a.Task.N/64] &^= 1 << (a.Task.N % 64)
		}
	}
}

// clearAllUncertain takes all tasks as certain, as every machine has been heard, and raises the
// watermarks beyond what is on them: an earlier leader may have kept none.
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

// raiseWatermark requests a watermark beyond a task.
func (s *Scheduler) raiseWatermark(j *Job, t int) {
	if !s.settings.Watermarks {
		return
	}
	if j.Shape == records.ShapeGang {
		t = j.Tasks - 1 // a gang is sent as a whole
	}
	if j.watermark.Raise(t, j.Tasks) {
		s.watermarks.raised[j] = struct{}{}
	}
}

// raiseWatermarkForNewJob raises the watermark beyond what of a new job is sent at once when its turn comes:
// the first tasks of urgent jobs, and all of small jobs and of those with dependencies. Without this,
// each step of a chain of dependencies would wait for the store.
func (s *Scheduler) raiseWatermarkForNewJob(j *Job) {
	switch {
	case len(j.Dependencies) > 0 || j.Tasks <= 2*watermark.RaiseDivisor:
		s.raiseWatermark(j, j.Tasks-1)
	case priorityRank[j.Priority] <= priorityRank[records.PriorityUrgent]:
		s.raiseWatermark(j, 0)
	}
}

// belowWatermark reports whether a planned task may be sent as far as watermarks go.
func (s *Scheduler) belowWatermark(a *fleet.Attempt) bool {
	if !s.settings.Watermarks || s.watermarks.relaxed {
		return true
	}
	j := s.jobOf(a)
	return j == nil || j.watermark.Covers(a.Task.N)
}

// AwaitsWatermark reports whether any task planned for a machine waits for its watermark.
func (s *Scheduler) AwaitsWatermark(m *fleet.Machine) bool {
	for _, a := range m.Attempts() {
		if a.State() == fleet.Planned && !s.belowWatermark(a) {
			return true
		}
	}
	return false
}

// aheadTasksPerMachine is for how many tasks, for each machine that takes tasks, watermarks are raised before
// there is room for them: about what starts until the next tick and the store's answer to it.
const aheadTasksPerMachine = 1.0 / 2

// countAcceptingMachines counts the machines that take tasks.
func (s *Scheduler) countAcceptingMachines() int {
	n := 0
	for _, m := range s.fleet.Sorted() {
		if m.Bin.Open() {
			n++
		}
	}
	return n
}

// raiseWatermarksAhead raises the watermarks of the jobs that are served next, so that a task that finds
// room in the answer to a heartbeat need not wait for the store.
func (s *Scheduler) raiseWatermarksAhead(now time.Time) {
	if !s.settings.Watermarks {
		return
	}
	budget := int(float64(s.countAcceptingMachines()) * aheadTasksPerMachine)
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
