package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

const (
	// healthyRunIntervals is for how many heartbeat intervals a task has to run to show that its job can.
	healthyRunIntervals = 2
	// minFaultyJobs is how many jobs have to fail on a machine to show that the machine is faulty.
	minFaultyJobs = 2
	// minFailingMachines is on how many machines a job has to fail to show that the job is at fault.
	minFailingMachines = 3
	// suspectIntervals is for how many heartbeat intervals a machine gets no tasks after a failure that
	// may be the machine's or the job's.
	suspectIntervals = 5
	// minBackoffIntervals and maxBackoffIntervals bound, in heartbeat intervals, how long a failing job
	// waits for its next try.
	minBackoffIntervals = 4
	maxBackoffIntervals = 60
)

// attemptFailed decides after an error whether the machine is faulty, or the job.
func (s *Scheduler) attemptFailed(job *Job, machine *fleet.Machine, now time.Time) {
	machine.FailedTasksByJob[job.ID]++
	job.errorMachines[machine.Name] = true
	switch {
	case s.runsElsewhere(job, machine, now) || len(machine.FailedTasksByJob) >= minFaultyJobs:
		s.markFaulty(machine)
	case len(job.errorMachines) >= minFailingMachines:
		// It fails wherever it goes: the machines are not to blame.
		s.delayRetry(job, now)
		for host := range job.errorMachines {
			if blamed := s.fleet.Machines[host]; blamed != nil {
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

// runsElsewhere reports whether a job has completed a task, or runs on another machine.
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

// markFaulty cordons a machine that fails tasks which run elsewhere. It is returned once it is empty.
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
			machine.Cordon = d // it stays, to get its earlier version back
		}
	}
}

// delayRetry has a failing job wait before its next try, twice as long as the last time.
func (s *Scheduler) delayRetry(job *Job, now time.Time) {
	interval := s.settings.HeartbeatInterval
	job.backoff = min(max(2*job.backoff, minBackoffIntervals*interval), maxBackoffIntervals*interval)
	job.retryAt = now.Add(job.backoff)
	slog.Warn("job failing everywhere, retry delayed", "job", job.ID, "backoff", job.backoff, "term", s.term)
}

// handlePreemptionNotice empties a machine that the cloud is about to take back: it gets nothing new,
// and what can save a checkpoint is stopped while there is time.
func (s *Scheduler) handlePreemptionNotice(machine *fleet.Machine, now time.Time) {
	s.cancelPlanned(machine)
	machine.Draining = true
	for _, attempt := range machine.Attempts() {
		job := s.jobs[attempt.Task.Job]
		if job == nil || attempt.Stopping() || attempt.State() != fleet.Running && attempt.State() != fleet.Waiting {
			continue
		}
		left := machine.PreemptionAt.Sub(now).Seconds()
		if job.Shape == records.ShapeGang {
			if job.CheckpointS > 0 && left > job.SaveS {
				s.stopGang(job, now)
			}
			continue
		}
		if job.Shape == records.ShapeService {
			continue // moved in rebalancing rounds, while another replica runs
		}
		switch remains := s.remainingSeconds(job, attempt, now); {
		case job.CheckpointS > 0:
			if left > job.SaveS && remains > left {
				s.requestStop(attempt, stopPreemptionNotice, job.SaveS, now)
			}
		case remains > left:
			// What it has done is lost with the machine in any case. Stopped now, it starts elsewhere now, and
			// not when the machine is known to be gone.
			s.requestStop(attempt, stopPreemptionNotice, 0, now)
		}
	}
}
