package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

const (
	// healthyRunIntervals is the number of heartbeat intervals a task has to run to show that its job
	// is not at fault.
	healthyRunIntervals = 2
	// minFaultyJobs is the number of jobs that have to fail on a machine for it to be faulty.
	minFaultyJobs = 2
	// minFailingMachines is the number of machines on which a job has to fail for the job to be at
	// fault.
	minFailingMachines = 3
	// suspectIntervals is the number of heartbeat intervals for which a machine gets no tasks after a
	// failure that may be due to the machine or the job.
	suspectIntervals = 5
	// minBackoffIntervals and maxBackoffIntervals bound the retry backoff of a failing job, in
	// heartbeat intervals.
	minBackoffIntervals = 4
	maxBackoffIntervals = 60
)

// attemptFailed decides after a task error whether the machine is at fault and becomes faulty, or
// the job and its retry is delayed. While that is unclear, the machine gets no tasks for
// suspectIntervals.
func (s *Scheduler) attemptFailed(job *Job, machine *fleet.Machine, now time.Time) {
	machine.FailedTasksByJob[job.ID]++
	job.errorMachines[machine.Name] = true
	switch {
	case s.runsElsewhere(job, machine, now) || len(machine.FailedTasksByJob) >= minFaultyJobs:
		s.markFaulty(machine)
	case len(job.errorMachines) >= minFailingMachines:
		// The job fails on every machine, so the machines are not at fault.
		s.delayRetry(job, now)
		for name := range job.errorMachines {
			if blamed := s.fleet.Machines[name]; blamed != nil {
				delete(blamed.FailedTasksByJob, job.ID)
				blamed.FullUntil = time.Time{}
				blamed.Bin.SetOpen(s.acceptsTasks(blamed, now))
			}
		}
		clear(job.errorMachines)
	default:
		machine.FullUntil = now.Add(suspectIntervals * s.settings.HeartbeatInterval)
	}
}

// runsElsewhere reports whether a job has completed a task, or has a task that has run on another
// machine for more than healthyRunIntervals.
func (s *Scheduler) runsElsewhere(job *Job, machine *fleet.Machine, now time.Time) bool {
	if job.doneCount > 0 {
		return true
	}
	for _, attempt := range job.attempts {
		if attempt.Machine != machine && attempt.State() == fleet.Running &&
			now.Sub(attempt.RunningSince) > healthyRunIntervals*s.settings.HeartbeatInterval {
			return true
		}
	}
	return false
}

// markFaulty takes a machine out of service because it fails tasks of several jobs, or of a job
// that runs elsewhere, and cancels the attempts planned for it. The machine is returned once it is
// empty, unless an upgrade cordons it to restore its previous version.
func (s *Scheduler) markFaulty(machine *fleet.Machine) {
	if !machine.Faulty {
		slog.Warn("machine faulty", "machine", machine.Name, "errors", len(machine.FailedTasksByJob), "term", s.term)
	}
	machine.Faulty, machine.Draining = true, true
	machine.Bin.SetOpen(false)
	s.cancelPlanned(machine)
	s.drains.requestPass() // an upgrade may have to be rolled back
	for _, d := range s.drains.list {
		if d.upgradeInProgress() && d.spec.Selects(toDrainMachine(machine, s.passTime)) && machine.Version == d.state.Rollout.Target && machine.Cordon == nil {
			machine.Cordon = d // keeps the machine, so that it gets its previous version back
		}
	}
}

// delayRetry delays the next attempts of a failing job by exponential backoff.
func (s *Scheduler) delayRetry(job *Job, now time.Time) {
	interval := s.settings.HeartbeatInterval
	job.backoff = min(max(2*job.backoff, minBackoffIntervals*interval), maxBackoffIntervals*interval)
	job.retryAt = now.Add(job.backoff)
	slog.Warn("job fails on all machines, retry delayed", "job", job.ID, "backoff", job.backoff, "term", s.term)
}

// handlePreemptionNotice drains a machine that the cloud is about to preempt: it gets no new tasks.
// Gangs that save checkpoints, and array tasks that do and would not end in time, are stopped if
// there is time to save. Array tasks without checkpoints that would not end in time are stopped at
// once; other gangs and replicas are not stopped here.
func (s *Scheduler) handlePreemptionNotice(machine *fleet.Machine, now time.Time) {
	s.cancelPlanned(machine)
	machine.Draining = true
	for _, attempt := range machine.Attempts() {
		job := s.jobs[attempt.Task.Job]
		if job == nil || attempt.Stopping() || attempt.State() != fleet.Running && attempt.State() != fleet.Waiting {
			continue
		}
		timeLeft := machine.PreemptionAt.Sub(now).Seconds()
		if job.Shape == records.ShapeGang {
			if job.CheckpointS > 0 && timeLeft > job.SaveS {
				s.stopGang(job, now)
			}
			continue
		}
		if job.Shape == records.ShapeService {
			continue // replicas move in rebalancing rounds, while another one runs
		}
		switch remaining := s.remainingSeconds(job, attempt, now); {
		case job.CheckpointS > 0:
			if timeLeft > job.SaveS && remaining > timeLeft {
				s.requestStop(attempt, stopPreemptionNotice, job.SaveS, now)
			}
		case remaining > timeLeft:
			// The task's work is lost with the machine in any case. If stopped now, the task starts
			// elsewhere now instead of when the machine is known to be gone.
			s.requestStop(attempt, stopPreemptionNotice, 0, now)
		}
	}
}
