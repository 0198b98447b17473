package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// Reconcile applies the status in a worker's heartbeat (isHeartbeat) or in its answer to a command. It
// adds the machine if it is unknown and was not returned. It returns the machine, and whether the
// status is stale; a stale status changes no attempt, but may lead to a probe. The machine is nil if a
// stale status is invalid or its machine was returned.
func (s *Scheduler) Reconcile(heartbeat *fleet.Heartbeat, isHeartbeat bool, now time.Time) (*fleet.Machine, bool) {
	heartbeatsTotal.Inc()
	// A late copy of a heartbeat must not add a returned machine again.
	if s.fleet.Machines[heartbeat.Machine] == nil && s.Recency(heartbeat, now) == fleet.Late {
		return nil, true
	}
	wasUnreachable := s.isUnreachable(heartbeat.Machine)
	return s.handleApplyResult(s.fleet.Apply(heartbeat, isHeartbeat, now), wasUnreachable, now)
}

// handleApplyResult updates the machine, its attempts and the reconciliation of the term after the
// machine table has applied a status. It returns the same results as Reconcile.
func (s *Scheduler) handleApplyResult(result fleet.ApplyResult, wasUnreachable bool, now time.Time) (*fleet.Machine, bool) {
	machine := result.Machine
	if result.Stale {
		return machine, true
	}
	if unreachable := machine.Unreachable(); unreachable != wasUnreachable {
		s.recordReachability(machine, unreachable)
	}
	if result.FirstStatus {
		s.addToService(machine, now)
	}
	s.applyAttemptChanges(result, now)
	s.updateReconciliation(result, now)
	if !machine.PreemptionAt.IsZero() {
		s.handlePreemptionNotice(machine, now)
	}
	switch {
	case !machine.Empty():
		machine.EmptySince = time.Time{}
	case machine.EmptySince.IsZero():
		machine.EmptySince = now
	}
	s.placementStale = s.placementStale || result.Changed
	machine.Bin.SetOpen(s.acceptsTasks(machine, now))
	return machine, false
}

// recordReachability logs that a machine became reachable or unreachable for commands, and requests a
// placement pass.
func (s *Scheduler) recordReachability(machine *fleet.Machine, unreachable bool) {
	s.placementStale = true
	message := "machine reachable"
	if unreachable {
		message = "machine unreachable"
	}
	slog.Info(message, "machine", machine.Name, "zone", machine.Zone, "term", s.term)
}

// addToService adds a machine that sent its first status to the machines in service.
func (s *Scheduler) addToService(machine *fleet.Machine, now time.Time) {
	s.assignBin(machine)
	machine.EmptySince = now
	s.placementStale = true
	slog.Info("machine up", "machine", machine.Name, "type", machine.Type, "zone", machine.Zone, "spot", machine.Spot, "term", s.term)
}

// applyAttemptChanges handles the attempts that a status showed as new, running, ended or lost.
func (s *Scheduler) applyAttemptChanges(result fleet.ApplyResult, now time.Time) {
	machine := result.Machine
	for _, attempt := range result.Lost {
		s.handleLostAttempt(attempt, now)
	}
	for _, attempt := range result.Discovered {
		s.adoptAttempt(machine, attempt)
		if attempt.State() == fleet.Ended {
			s.handleEndedAttempt(attempt, now)
		}
	}
	for _, attempt := range result.Running {
		if job := s.jobOf(attempt); job != nil {
			s.recordImageUse(machine, job)
			machine.Bin.SetLabel(job.imageReadyLabel, true)
			s.recordRunning(job, attempt, now)
		}
	}
	for _, attempt := range result.Ended {
		s.handleEndedAttempt(attempt, now)
	}
}

// updateReconciliation updates the reconciliation of the term after a status of a machine. It also
// requests a drain pass if the worker's version changed.
func (s *Scheduler) updateReconciliation(result fleet.ApplyResult, now time.Time) {
	machine := result.Machine
	if result.Reconciled {
		s.placementStale = true
	}
	if machine.Reconciled && !s.reconciled {
		s.clearUncertainSeenOn(machine)
	}
	if result.Upgraded {
		slog.Info("worker version changed", "machine", machine.Name, "version", machine.Version, "term", s.term)
		s.drains.requestPass() // the machine may return to service
	}
	if !s.reconciled {
		s.CheckReconciled(now)
	}
}

// CheckReconciled ends the reconciliation if every machine that an earlier term may have used has
// reported under this term or is gone, and then stops broken gangs. It does not check whether the
// reconciliation has already ended.
func (s *Scheduler) CheckReconciled(now time.Time) {
	if s.fleet.HasUnreconciled() {
		return
	}
	s.reconciled, s.placementStale = true, true
	s.clearAllUncertain()
	slog.Info("reconciliation complete", "term", s.term, "after", now.Sub(s.termStart).Round(time.Millisecond))
	for _, job := range s.jobs {
		if job.isBrokenGang() {
			s.stopGang(job, now)
		}
	}
}

// isBrokenGang reports whether a job is a gang that started running under an earlier term and lost a
// member, so that it cannot complete. A gang whose members still wait for each other can complete: the
// missing tasks start with the gang's current attempt number.
func (j *Job) isBrokenGang() bool {
	if j.Shape != records.ShapeGang || j.gangAttempt == 0 || len(j.attempts) >= j.Tasks {
		return false
	}
	for _, attempt := range j.attempts {
		if attempt.State() == fleet.Running || attempt.State() == fleet.Checkpointing {
			return true
		}
	}
	return false
}

// adoptAttempt adds an attempt that a worker reports and this term does not know. It becomes the
// current attempt of its task or, if it cannot, a duplicate that is stopped. An ended attempt is only
// marked as a duplicate.
func (s *Scheduler) adoptAttempt(machine *fleet.Machine, attempt *fleet.Attempt) {
	job, task := s.jobs[attempt.Task.Job], attempt.Task.N
	attempt.Duplicate = true
	if job == nil || task >= job.Tasks {
		s.adoptUnknownAttempt(machine, attempt)
		return
	}
	if attempt.State() == fleet.Ended {
		return
	}
	if attempt.Item == nil {
		machine.Adopt(attempt, &packing.Item{ID: attempt.Task.String(), Request: job.request})
		s.recordImageUse(machine, job)
	}
	// An unverified machine that reports tasks was returned and the heartbeat is a late copy, or its
	// record is missing. Its tasks use room and are stopped.
	becomesCurrent := !machine.Unverified && job.attempts[task] == nil && !job.done.has(task) &&
		(job.Shape != records.ShapeGang || job.gangAttempt == 0 || job.gangAttempt == attempt.Number)
	if becomesCurrent && !s.startedThisTerm(attempt) {
		attempt.Duplicate = false
		job.attempts[task], job.untriedHaveAttempts = attempt, true
		if job.Shape == records.ShapeGang {
			job.gangAttempt = attempt.Number
		}
		return
	}
	// Until a duplicate is gone, no new attempt of its task starts.
	job.duplicates[task]++
	s.requestStop(attempt, stopDuplicate, 0, time.Time{})
}

// adoptUnknownAttempt adds an attempt of a job that is not open, or of a task that its job lacks, and
// stops it. If it has ended, the worker may reap it.
func (s *Scheduler) adoptUnknownAttempt(machine *fleet.Machine, attempt *fleet.Attempt) {
	if attempt.State() == fleet.Ended {
		attempt.MayReap = true
		return
	}
	// The attempt's size is unknown, so it occupies the whole machine until it is gone.
	machine.Adopt(attempt, &packing.Item{ID: attempt.Task.String(), Request: machine.Bin.Capacity})
	s.requestStop(attempt, stopJobClosed, 0, time.Time{})
}

// Probes returns the probes to send now: direct requests for a machine's status.
func (s *Scheduler) Probes(now time.Time) []fleet.Probe {
	return s.fleet.DueProbes(s.settings.HeartbeatInterval, now)
}

// ApplyProbe applies the status with which a machine answered a probe.
func (s *Scheduler) ApplyProbe(probe fleet.Probe, heartbeat *fleet.Heartbeat, now time.Time) {
	wasUnreachable := s.isUnreachable(probe.Machine)
	result, restarted := s.fleet.ApplyProbe(probe, heartbeat, now)
	if restarted {
		slog.Info("machine restarted", "machine", probe.Machine, "incarnation", heartbeat.Incarnation, "sequence", heartbeat.Sequence,
			"gone", len(result.Lost), "term", s.term)
	}
	s.handleApplyResult(result, wasUnreachable, now)
}

// ExpireLeases expires the leases that are due: their machines take no tasks, and the attempts on them
// count as lost.
func (s *Scheduler) ExpireLeases(now time.Time) {
	for _, a := range s.fleet.ExpireLeases(now) {
		a.Machine.Bin.SetOpen(false)
		s.handleLostAttempt(a, now)
		s.placementStale = true
	}
}

// ExpireEarlierLeases records that all leases granted by earlier terms have expired, and returns the
// number of unreconciled machines whose tasks are thereby known to be gone.
func (s *Scheduler) ExpireEarlierLeases(now time.Time) int {
	n, lost := s.fleet.ExpireEarlierLeases(now)
	for _, attempt := range lost {
		s.handleLostAttempt(attempt, now)
	}
	s.placementStale = true
	if !s.reconciled {
		s.CheckReconciled(now)
	}
	return n
}

// RemoveMachine removes a machine that is known to be gone. The attempts on it count as lost.
func (s *Scheduler) RemoveMachine(name string, now time.Time) {
	if machine := s.fleet.Machines[name]; machine != nil && s.spaces[machine.Type] != nil {
		s.spaces[machine.Type].Remove(machine.Bin)
	}
	for _, attempt := range s.fleet.Remove(name) {
		s.handleLostAttempt(attempt, now)
	}
	s.placementStale = true
	s.removedMachines = append(s.removedMachines, name)
	if !s.reconciled {
		s.CheckReconciled(now)
	}
}
