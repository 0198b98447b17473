package scheduler

import (
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// watermarkState is a term's state of the watermarks (package watermark).
type watermarkState struct {
	raised map[*Job]struct{} // jobs whose raised watermarks have to be stored
	// complete means that every task that any leader may have sent is below a stored or raised
	// watermark.
	complete bool
	// relaxed means that every other controller was notified that watermarks are no longer complete,
	// so tasks beyond their watermarks may be sent.
	relaxed bool
}

func newWatermarkState() watermarkState { return watermarkState{raised: map[*Job]struct{}{}} }

// uncertainTasks is the tasks of a job that may be on machines that have not reported since the failover:
// the tasks below a number, except those that are known to be certain.
type uncertainTasks struct {
	below   int
	certain taskSet
}

func (u *uncertainTasks) empty() bool { return u.below == 0 }

// isUncertain reports whether a task of the job may be on a machine that has not reported since the
// failover.
func (j *Job) isUncertain(task int) bool {
	return task < j.uncertain.below && !j.uncertain.certain.has(task)
}

// countUncertain returns the number of uncertain tasks that are not done.
func (j *Job) countUncertain() int {
	return j.uncertain.below - countUnion(j.done, j.uncertain.certain, 0, j.uncertain.below)
}

// markUncertain marks all tasks of a job as uncertain, and takes them from the queue, if an earlier
// leader may have sent any of them.
func (s *Scheduler) markUncertain(j *Job) {
	if s.reconciled || j.earliestStartRevision > s.term {
		return
	}
	j.uncertain = uncertainTasks{below: j.Tasks}
	j.nextUntried = j.Tasks
}

// clearUncertain marks all tasks of a job as certain, and returns them to the queue unless they are
// done or have an attempt. The caller must know that no unreconciled machine can hold any of the
// tasks.
func (s *Scheduler) clearUncertain(j *Job) {
	if j.uncertain.empty() {
		return
	}
	before := j.uncertain
	j.uncertain, j.untriedHaveAttempts, s.placementStale = uncertainTasks{}, true, true
	s.order.activate(j)
	if j.retries.count == 0 {
		j.nextUntried = 0 // nextTask skips tasks that are done or have an attempt
		return
	}
	for t := range before.below {
		if !before.certain.has(t) && !j.done.has(t) && j.attempts[t] == nil && j.duplicates[t] == 0 {
			j.queueRetry(t)
		}
	}
}

// LoadWatermarks sets the stored watermarks, given by job id. If they are complete, only the tasks
// below them stay uncertain: the other tasks were never sent.
func (s *Scheduler) LoadWatermarks(stored map[string]int, complete bool) {
	for id, j := range s.jobs {
		n := min(stored[id], j.Tasks)
		j.watermark.RecordStored(n)
		if !complete || j.uncertain.empty() {
			continue
		}
		j.nextUntried = n
		j.uncertain.below = n
		s.order.activate(j)
	}
	s.watermarks.complete = complete
	s.placementStale = true
}

// clearUncertainSeenOn marks the tasks that machine m reports under this term as certain: they had
// not ended when the last leader stopped, so they were sent to no other machine. Tasks that only a
// copy of an earlier heartbeat has shown stay uncertain until a probe shows them: the machine may
// have restarted since, and the task may have been sent to another machine that has not reported.
func (s *Scheduler) clearUncertainSeenOn(m *fleet.Machine) {
	for _, a := range m.Attempts() {
		j := s.jobOf(a)
		if j != nil && j.isUncertain(a.Task.N) && a.MayBePresent() && m.InLastStatus(a) && j.attempts[a.Task.N] == a {
			j.uncertain.certain.add(a.Task.N)
		}
	}
}

// clearAllUncertain marks all tasks of all jobs as certain. The caller must know that every machine
// has reported or is gone. It raises the watermarks beyond the tasks on machines, because an
// earlier leader may have stored no watermarks.
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

// raiseWatermark requests a watermark of job j beyond task t, for a gang beyond all its tasks. It does
// nothing if watermarks are off.
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

// raiseWatermarkForNewJob raises the watermark of a new job beyond the tasks that must not wait for
// the store once they can be placed: the first tasks of urgent and critical jobs, and all tasks of
// small jobs and of jobs with dependencies. Otherwise each step of a dependency chain would wait
// for the store.
func (s *Scheduler) raiseWatermarkForNewJob(j *Job) {
	switch {
	case len(j.Dependencies) > 0 || j.Tasks <= 2*watermark.RaiseDivisor:
		s.raiseWatermark(j, j.Tasks-1)
	case priorityRank[j.Priority] <= priorityRank[records.PriorityUrgent]:
		s.raiseWatermark(j, 0)
	}
}

// belowWatermark reports whether the watermarks allow a planned attempt to be sent.
func (s *Scheduler) belowWatermark(a *fleet.Attempt) bool {
	if !s.settings.Watermarks || s.watermarks.relaxed {
		return true
	}
	j := s.jobOf(a)
	return j == nil || j.watermark.Covers(a.Task.N)
}

// AwaitsWatermark reports whether any attempt planned for a machine waits for a stored watermark.
func (s *Scheduler) AwaitsWatermark(m *fleet.Machine) bool {
	for _, a := range m.Attempts() {
		if a.State() == fleet.Planned && !s.belowWatermark(a) {
			return true
		}
	}
	return false
}

// aheadTasksPerMachine is the number of tasks, per machine that accepts tasks, for which watermarks
// are raised before there is room: about as many as start until the next tick's write is stored.
const aheadTasksPerMachine = 1.0 / 2

// countAcceptingMachines returns the number of machines that accept tasks.
func (s *Scheduler) countAcceptingMachines() int {
	n := 0
	for _, m := range s.fleet.Sorted() {
		if m.Bin.Open() {
			n++
		}
	}
	return n
}

// raiseWatermarksAhead raises the watermarks of the jobs that are next in scheduling order, for
// aheadTasksPerMachine tasks per machine. So a task that is placed while a heartbeat is answered need
// not wait for the store.
func (s *Scheduler) raiseWatermarksAhead(now time.Time) {
	if !s.settings.Watermarks {
		return
	}
	budget := int(float64(s.countAcceptingMachines()) * aheadTasksPerMachine)
	for _, j := range s.queue(now) {
		if budget <= 0 {
			return
		}
		untried := j.Tasks - j.nextUntried
		if untried <= 0 || j.blocked || !s.startable(j, now) {
			continue
		}
		if j.Shape == records.ShapeGang {
			s.raiseWatermark(j, 0)
			budget -= untried
			continue
		}
		if want := min(untried, budget); j.watermark.Requested-j.nextUntried < want {
			s.raiseWatermark(j, j.nextUntried+want-1)
		}
		budget -= untried
	}
}
