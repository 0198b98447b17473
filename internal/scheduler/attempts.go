package scheduler

import (
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// end withdraws an attempt whose job is closed or done.
func (s *Scheduler) end(a *fleet.Attempt) {
	switch a.State() {
	case fleet.Planned:
		a.Machine.Forget(a)
	case fleet.Ended:
		a.Reap = true
	default:
		s.stop(a, stopJobClosed, 0, time.Time{})
	}
}

// stop marks an attempt to be killed, and why: the first reason stays. The kill command is repeated
// until the attempt's exit shows.
func (s *Scheduler) stop(a *fleet.Attempt, reason string, grace float64, now time.Time) {
	if !a.RequestStop(reason, grace, now) {
		return
	}
	s.urgentMachines[a.Machine.Host] = true
}

// releaseAttempt gives a task back to the queue once its attempt is gone.
func (s *Scheduler) releaseAttempt(attempt *fleet.Attempt) {
	job := s.jobs[attempt.Task.Job]
	s.placementStale = true
	switch {
	case job == nil:
	case job.attempts[attempt.Task.N] == attempt:
		s.releaseHeld(job, attempt)
	case attempt.Duplicate && attempt.Task.N < job.Tasks:
		s.releaseDuplicate(job, attempt.Task.N)
	}
}

// releaseHeld releases a task's own attempt.
func (s *Scheduler) releaseHeld(job *Job, attempt *fleet.Attempt) {
	task := attempt.Task.N
	delete(job.attempts, task)
	if task < job.nextUntried && !has(job.done, task) {
		s.retryTask(job, task)
	}
	if job.Shape != records.ShapeGang {
		return
	}
	s.claimFreedPlace(job, attempt)
	if len(job.attempts) == 0 {
		if job.start.reported {
			job.gangBrokenAt = s.now
		}
		job.gangAttempt, job.gangBroken = 0, false
	}
}

// releaseDuplicate releases a duplicate attempt of a task.
func (s *Scheduler) releaseDuplicate(job *Job, task int) {
	if job.duplicates[task]--; job.duplicates[task] > 0 {
		return
	}
	delete(job.duplicates, task)
	if task < job.nextUntried && job.attempts[task] == nil && !has(job.done, task) {
		s.retryTask(job, task)
	}
}
