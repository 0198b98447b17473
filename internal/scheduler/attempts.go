package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"

	"github.com/VictoriaMetrics/metrics"
)

// handleLostAttempt releases an attempt that is no longer on its machine and left no result. The
// loss of a gang member's current attempt stops the whole gang, unless the worker never confirmed
// the attempt (state Sent).
func (s *Scheduler) handleLostAttempt(attempt *fleet.Attempt, now time.Time) {
	job := s.jobs[attempt.Task.Job]
	attemptsLostTotal.Inc()
	countDrainOutcome(attempt, now)
	slog.Debug("attempt lost", "task", attempt.Task.String(), "machine", attempt.Machine.Name, "state", attempt.State().String(),
		"outcome", s.countWastedStart(attempt), "term", s.term)
	breaksGang := job != nil && job.Shape == records.ShapeGang && job.attempts[attempt.Task.N] == attempt && attempt.State() != fleet.Sent
	s.releaseAttempt(attempt)
	if breaksGang {
		s.stopGang(job, now)
		s.claimFreedPlace(job, attempt)
	}
}

// handleEndedAttempt updates job and machine after a worker reported an attempt as ended, and
// releases the attempt. If the job is not open, it only lets the worker reap the attempt. A current
// attempt of a gang that did not complete stops the whole gang.
func (s *Scheduler) handleEndedAttempt(attempt *fleet.Attempt, now time.Time) {
	job := s.jobs[attempt.Task.Job]
	s.placementStale = true
	if job == nil || attempt.Task.N >= job.Tasks {
		attempt.MayReap = true
		return
	}
	countDrainOutcome(attempt, now)
	s.reportEnded(attempt, now)
	s.applyEndCause(job, attempt, now)
	wasCurrent := job.attempts[attempt.Task.N] == attempt
	s.releaseAttempt(attempt)
	if job.Shape == records.ShapeGang && wasCurrent && attempt.Cause != fleet.CauseDone {
		first := !job.gangBroken // once the gang is broken, releaseAttempt claims the freed place
		s.stopGang(job, now)
		if first {
			s.claimFreedPlace(job, attempt)
		}
	}
}

// reportEnded updates the metrics and logs the end of an attempt.
func (s *Scheduler) reportEnded(attempt *fleet.Attempt, now time.Time) {
	metrics.GetOrCreateCounter(`drumpick_tasks_ended_total{cause="` + causeLabel(attempt.Cause) + `"}`).Inc()
	fetchTime, runTime := attempt.Durations(now)
	outcome := "done"
	if attempt.Cause != fleet.CauseDone {
		outcome = s.countWastedStart(attempt)
	}
	slog.Debug("task ended", "task", attempt.Task.String(), "machine", attempt.Machine.Name, "cause", attempt.Cause,
		"outcome", outcome, "saved", attempt.CheckpointSaved, "fetch_s", fetchTime.Seconds(), "run_s", runTime.Seconds(), "term", s.term)
}

// fullBackoffIntervals is for how many heartbeat intervals a machine gets no new tasks after its
// worker rejected a task for lack of room.
const fullBackoffIntervals = 2

// applyEndCause updates job and machine according to why an attempt ended. The worker may reap the
// attempt at once, but a completed attempt of an array or gang only when its result is stored.
func (s *Scheduler) applyEndCause(job *Job, attempt *fleet.Attempt, now time.Time) {
	machine := attempt.Machine
	if attempt.Cause == fleet.CauseDone {
		s.handleCompletedTask(job, attempt, now)
		return
	}
	attempt.MayReap = true
	switch attempt.Cause {
	case fleet.CauseError:
		s.attemptFailed(job, machine, now)
	case fleet.CauseFull:
		// The worker's own view of its free room is more accurate than this term's.
		machine.FullUntil = now.Add(fullBackoffIntervals * s.settings.HeartbeatInterval)
	case fleet.CauseUnknownTask:
		s.delayRetry(job, now)
	}
}

// discardSuperseded discards the current attempts that a completed attempt supersedes: one of the same task
// and, for a gang, those with another attempt number.
func (s *Scheduler) discardSuperseded(job *Job, completed *fleet.Attempt) {
	if job.Shape != records.ShapeGang {
		if other := job.attempts[completed.Task.N]; other != nil && other != completed {
			s.discardAttempt(other)
		}
		return
	}
	for _, other := range job.attempts {
		if other != completed && (other.Task == completed.Task || other.Number != completed.Number) {
			s.discardAttempt(other)
		}
	}
}

// handleCompletedTask records the result of an attempt that ended successfully and discards the
// current attempts that it supersedes. It clears the failures of job and machine and the job's
// backoff, and marks the other machines on which the job failed as faulty.
func (s *Scheduler) handleCompletedTask(job *Job, attempt *fleet.Attempt, now time.Time) {
	machine := attempt.Machine
	s.freedRoom.add(job.request, now, s.settings.HeartbeatInterval)
	clear(machine.FailedTasksByJob)
	machine.HasCompletedTask = true
	s.recordResult(job, attempt.Task.N)
	s.discardSuperseded(job, attempt)
	for name := range job.errorMachines {
		// The job can succeed, so its earlier errors are the machines' fault.
		if failed := s.fleet.Machines[name]; failed != nil && failed != machine {
			s.markFaulty(failed)
		}
	}
	clear(job.errorMachines)
	job.backoff = 0
	if job.Shape == records.ShapeService {
		attempt.MayReap = true
	}
}

// causeLabel returns the metric label of a cause. Causes that are not known map to "other", so that
// a worker cannot create labels.
func causeLabel(cause string) string {
	switch cause {
	case fleet.CauseDone, fleet.CauseStopped, fleet.CauseGangPeerLost, fleet.CauseGangTimeout,
		fleet.CauseError, fleet.CauseFull, fleet.CauseOtherAttempt, fleet.CauseUnknownTask:
		return cause
	}
	return "other"
}

// discardAttempt discards an attempt that is no longer needed, because its job is closed or its
// task is done: it removes a planned one from its machine, lets the worker reap an ended one, and
// stops others.
func (s *Scheduler) discardAttempt(a *fleet.Attempt) {
	switch a.State() {
	case fleet.Planned:
		a.Machine.Forget(a)
	case fleet.Ended:
		a.MayReap = true
	default:
		s.requestStop(a, stopJobClosed, 0, time.Time{})
	}
}

// requestStop marks an attempt to be killed, with a grace period in seconds for its checkpoint. Of
// several requests, the first reason and the shortest grace period count. The kill command is
// repeated until the worker reports the attempt as ended.
func (s *Scheduler) requestStop(a *fleet.Attempt, reason string, grace float64, now time.Time) {
	if !a.RequestStop(reason, grace, now) {
		return
	}
	s.urgentMachines[a.Machine.Name] = true
}

// releaseAttempt detaches an attempt from its job, and returns its task to the queue if that needs
// another attempt. The attempt has ended, is no longer on its machine, or was never sent.
func (s *Scheduler) releaseAttempt(attempt *fleet.Attempt) {
	job := s.jobs[attempt.Task.Job]
	s.placementStale = true
	switch {
	case job == nil:
	case job.attempts[attempt.Task.N] == attempt:
		s.releaseCurrent(job, attempt)
	case attempt.Duplicate && attempt.Task.N < job.Tasks:
		s.releaseDuplicate(job, attempt.Task.N)
	}
}

// releaseCurrent releases the current attempt of a task. If the gang is broken, it claims the
// freed place. After a gang's last attempt, it resets the gang.
func (s *Scheduler) releaseCurrent(job *Job, attempt *fleet.Attempt) {
	task := attempt.Task.N
	delete(job.attempts, task)
	if task < job.nextUntried && !job.done.has(task) {
		s.retryTask(job, task)
	}
	if job.Shape != records.ShapeGang {
		return
	}
	s.claimFreedPlace(job, attempt)
	if len(job.attempts) == 0 {
		if job.start.reported {
			job.gangBrokenAt = s.passTime
		}
		job.gangAttempt, job.gangBroken = 0, false
	}
}

// releaseDuplicate releases a duplicate attempt of a task. After the last one, the task returns to
// the queue if it is not done and has no current attempt.
func (s *Scheduler) releaseDuplicate(job *Job, task int) {
	if job.duplicates[task]--; job.duplicates[task] > 0 {
		return
	}
	delete(job.duplicates, task)
	if task < job.nextUntried && job.attempts[task] == nil && !job.done.has(task) {
		s.retryTask(job, task)
	}
}

// cancelPlanned cancels the attempts that are planned for a machine but not yet sent, and returns
// their tasks to the queue.
func (s *Scheduler) cancelPlanned(m *fleet.Machine) {
	for _, a := range slices.Clone(m.Attempts()) {
		if a.State() == fleet.Planned {
			m.Forget(a)
			s.releaseAttempt(a)
		}
	}
}

// remainingSeconds estimates the remaining run time of an attempt, in seconds: the job's
// estimate if the attempt does not run yet, and at least a tenth of it.
func (s *Scheduler) remainingSeconds(j *Job, a *fleet.Attempt, now time.Time) float64 {
	if a.RunningSince.IsZero() {
		return j.EstimateS
	}
	return max(j.EstimateS-now.Sub(a.RunningSince).Seconds(), j.EstimateS/10)
}
