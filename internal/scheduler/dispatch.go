package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/overload"
	"drumpick/internal/packing"
)

// PlanMachine plans what a machine that is being answered is to start.
func (s *Scheduler) PlanMachine(m *fleet.Machine, now time.Time) {
	if s.placementStale && s.overload.Level() == overload.Normal {
		s.placeWaiting(now)
	}
	if m.Recorded {
		s.reassignPlanned(m, now)
	}
}

// reassignPlanned plans for a machine that is being answered what was planned for others and waits for
// their heartbeats. A run command goes out only in answer to a heartbeat; where room is left, a task
// would otherwise wait for the heartbeat of just the machine it was planned for.
func (s *Scheduler) reassignPlanned(machine *fleet.Machine, now time.Time) {
	if !machine.Bin.Open() || !machine.Bin.AcceptsAny() {
		return
	}
	keep := s.plannedAttempts[:0]
	for _, attempt := range s.plannedAttempts {
		if attempt.State() != fleet.Planned || attempt.Item == nil {
			continue // sent, or given up
		}
		job := s.jobOf(attempt)
		if job == nil || !s.mayReassign(machine, job, attempt, now) {
			keep = append(keep, attempt)
			continue
		}
		attempt.Machine.Forget(attempt)
		item := &packing.Item{ID: job.ID, Request: job.request, PreferLabels: job.preferredLabels}
		machine.Bin.Add(item)
		s.planAttempt(job, attempt.Task.N, attempt.Number, machine, item, now)
	}
	clear(s.plannedAttempts[len(keep):])
	s.plannedAttempts = keep
}

// mayReassign reports whether a planned task may go to a machine instead of the one it was planned
// for. No task gets a worse place: no fetch that it would have been spared, no spot machine instead of
// an on-demand one, no empty machine instead of one in use.
func (s *Scheduler) mayReassign(machine *fleet.Machine, job *Job, attempt *fleet.Attempt, now time.Time) bool {
	planned := attempt.Machine
	switch {
	case planned == machine:
		return false
	case !s.belowWatermark(attempt):
		// It would only wait for its watermark here, until this machine's next heartbeat.
		return false
	case !job.unconstrained(), !machine.Bin.Accepts(job.request), !job.permits(machine.Type, machine.Zone, machine.Spot):
		return false
	case machine.Type != planned.Type, machine.Spot && !planned.Spot:
		return false
	case !machine.Spot && planned.Spot && s.recentShortage(machine.Type, now):
		return false
	case isHeldForEarlierJob(machine, job):
		return false
	case machine.Empty() && len(planned.Bin.Items()) > 1:
		return false
	}
	fetchesAnew := !machine.Bin.HasLabel(job.imageReadyLabel) && planned.Bin.HasLabel(job.imageReadyLabel)
	return !fetchesAnew || s.fetchTime(job) <= 0
}

// Respond writes the answer to a machine's heartbeat: pending commands and, with canRun, the runs that
// are planned for it. Runs go out here and nowhere else: a worker drops such an answer when it is
// late, unlike a direct command.
func (s *Scheduler) Respond(machine *fleet.Machine, canRun bool, now time.Time) fleet.HeartbeatResponse {
	for _, attempt := range machine.Attempts() {
		if attempt.State() == fleet.Ended && attempt.Cause == fleet.CauseDone && !attempt.MayReap {
			job := s.jobOf(attempt)
			// The worker may forget a result only once the store has it.
			attempt.MayReap = job == nil || hasBit(job.stored, attempt.Task.N)
		}
	}
	response := fleet.HeartbeatResponse{FencingToken: s.term, Commands: machine.PendingCommands()}
	delete(s.urgentMachines, machine.Name)
	if !canRun {
		return response
	}
	for _, attempt := range slices.Clone(machine.Attempts()) {
		if attempt.State() == fleet.Planned && s.dispatch(machine, attempt, now) {
			run := fleet.Command{Verb: fleet.VerbRun, Task: attempt.Task.String(), Attempt: attempt.Number}
			response.Commands = append(response.Commands, run)
		}
	}
	if len(response.Commands) > 0 {
		slog.Debug("commands sent", "machine", machine.Name, "commands", len(response.Commands), "term", s.term)
	}
	return response
}

// dispatch marks a planned attempt as sent, and reports whether it may be. One that may not be started
// any more is given up, unless only a record is missing that is on its way.
func (s *Scheduler) dispatch(machine *fleet.Machine, attempt *fleet.Attempt, now time.Time) bool {
	job := s.jobOf(attempt)
	if job != nil && s.shedsStart(job) {
		return false
	}
	if !s.mayDispatch(attempt, now) {
		recordPending := (!machine.Recorded || !s.belowWatermark(attempt)) && s.acceptsTasks(machine, now)
		if !recordPending {
			machine.Forget(attempt)
			s.releaseAttempt(attempt)
		}
		return false
	}
	attempt.MarkSent(now)
	runsTotal.Inc()
	startSeconds.Update(now.Sub(job.releasedAt).Seconds())
	s.recordImageUse(machine, job)
	return true
}

// mayDispatch checks every rule once more, just before a run command is written. It examines what is
// on machines, runs in flight included, not what was planned.
func (s *Scheduler) mayDispatch(attempt *fleet.Attempt, now time.Time) bool {
	job, machine, task := s.jobOf(attempt), attempt.Machine, attempt.Task.N
	switch {
	case job == nil, attempt.State() != fleet.Planned, !s.startable(job, now):
		return false
	case !s.acceptsTasks(machine, now), !machine.Recorded:
		return false
	case task >= job.Tasks, hasBit(job.done, task), job.attempts[task] != attempt, job.duplicates[task] > 0:
		return false
	case job.isUncertain(task), !s.belowWatermark(attempt):
		return false
	case !job.permits(machine.Type, machine.Zone, machine.Spot):
		return false
	case (job.OneZone || job.SpreadZones) && !job.zoneAllowed(machine.Zone, s.tasksByZone(job, false)):
		return false
	case job.teamLimited && !s.withinLimit(job, s.quotaUsage.InUse(job.Team)):
		return false
	}
	var present packing.Resources
	for _, other := range machine.Attempts() {
		if other.MayBePresent() && other.Item != nil {
			present = present.Add(other.Item.Request)
		}
	}
	return machine.Bin.Capacity.Sub(present).Fits(job.request)
}
