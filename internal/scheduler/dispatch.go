package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/overload"
	"drumpick/internal/packing"
)

// PlanMachine plans attempts for a machine whose heartbeat is being answered. It runs a placement
// pass if anything has changed, unless the leader sheds load. If the machine is recorded, attempts
// planned for other machines may move to it.
func (s *Scheduler) PlanMachine(m *fleet.Machine, now time.Time) {
	if s.placementStale && s.overload.Level() == overload.Normal {
		s.placeWaiting(now)
	}
	if m.Recorded {
		s.reassignPlanned(m, now)
	}
}

// reassignPlanned moves attempts that are planned for other machines to the machine whose heartbeat
// is being answered, if it has room. Run commands are sent only in answers to heartbeats, so an
// attempt that does not move has to wait for the next heartbeat of its planned machine.
func (s *Scheduler) reassignPlanned(machine *fleet.Machine, now time.Time) {
	if !machine.Bin.Open() || !machine.Bin.AcceptsAny() {
		return
	}
	remaining := s.plannedAttempts[:0]
	for _, attempt := range s.plannedAttempts {
		if !isUnsentPlan(attempt) {
			continue
		}
		job := s.jobOf(attempt)
		if job == nil || !s.mayReassign(machine, job, attempt, now) {
			remaining = append(remaining, attempt)
			continue
		}
		attempt.Machine.Forget(attempt)
		item := job.newItem()
		machine.Bin.Add(item)
		s.planAttempt(job, attempt.Task.N, attempt.Number, machine, item, now)
	}
	clear(s.plannedAttempts[len(remaining):])
	s.plannedAttempts = remaining
}

// forgetSentPlans removes the attempts from the list of planned ones that have been sent or cancelled. While
// machines are full, reassignPlanned does not, and the list would keep every attempt that starts.
func (s *Scheduler) forgetSentPlans() {
	s.plannedAttempts = slices.DeleteFunc(s.plannedAttempts, func(attempt *fleet.Attempt) bool { return !isUnsentPlan(attempt) })
}

// isUnsentPlan reports whether an attempt is planned and has been neither sent nor cancelled.
func isUnsentPlan(attempt *fleet.Attempt) bool {
	return attempt.State() == fleet.Planned && attempt.Item != nil
}

// mayReassign reports whether an attempt planned for another machine may move to machine. A move
// never makes the placement worse: it adds no image fetch that takes time, and replaces no on-demand
// machine by a spot machine, no spot machine by an on-demand one of a type in short supply, and no
// machine that other tasks use by an empty one.
func (s *Scheduler) mayReassign(machine *fleet.Machine, job *Job, attempt *fleet.Attempt, now time.Time) bool {
	planned := attempt.Machine
	switch {
	case planned == machine:
		return false
	case !s.belowWatermark(attempt):
		// The attempt could not be sent in this answer, and would wait for this machine's next
		// heartbeat instead.
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
	needsFetch := !machine.Bin.HasLabel(job.imageReadyLabel) && planned.Bin.HasLabel(job.imageReadyLabel)
	return !needsFetch || s.fetchTime(job) <= 0
}

// Respond returns the answer to a machine's heartbeat: the pending commands and, with canRun, run
// commands for the attempts planned for it. Run commands are sent nowhere else: a worker discards a
// late heartbeat response, but not a late direct command.
func (s *Scheduler) Respond(machine *fleet.Machine, canRun bool, now time.Time) fleet.HeartbeatResponse {
	for _, attempt := range machine.Attempts() {
		if attempt.State() == fleet.Ended && attempt.Cause == fleet.CauseDone && !attempt.MayReap {
			job := s.jobOf(attempt)
			// The worker may reap a completed attempt only when its result is stored.
			attempt.MayReap = job == nil || job.stored.has(attempt.Task.N)
		}
	}
	batch := s.nextBatch(machine)
	if canRun {
		s.addRuns(machine, &batch, now)
	}
	if len(batch.Commands) > 0 {
		slog.Debug("commands sent", "machine", machine.Name, "commands", len(batch.Commands), "term", s.term)
	}
	return fleet.HeartbeatResponse{FencingToken: s.term, Commands: batch.Commands}
}

// nextBatch returns the pending commands for a heartbeat response. Those that do not fit are sent as
// direct commands.
func (s *Scheduler) nextBatch(machine *fleet.Machine) fleet.CommandBatch {
	batch, more := machine.NextBatch()
	delete(s.urgentMachines, machine.Name)
	if more {
		s.urgentMachines[machine.Name] = true
	}
	return batch
}

// addRuns adds run commands for the attempts planned for a machine to a heartbeat response, until one
// does not fit: the attempts that follow wait for the next response.
func (s *Scheduler) addRuns(machine *fleet.Machine, batch *fleet.CommandBatch, now time.Time) {
	present := s.presenceOn(machine)
	for _, attempt := range slices.Clone(machine.Attempts()) {
		if attempt.State() != fleet.Planned {
			continue
		}
		run := fleet.Command{Verb: fleet.VerbRun, Task: attempt.Task.String(), Attempt: attempt.Number}
		if !batch.HasRoom(run) {
			return
		}
		if s.dispatch(machine, attempt, &present, now) {
			batch.TryAdd(run)
			present.add(s.jobOf(attempt), attempt)
		}
	}
}

// presence counts the attempts that may be on machines, including those whose run command is in flight,
// but not planned ones, while run commands for one machine are selected. Without it, each command would
// count all attempts of the machine and of its job again.
type presence struct {
	scheduler *Scheduler
	resources packing.Resources       // of the machine that are taken
	byZone    map[*Job]map[string]int // number of attempts by zone, of jobs with a zone constraint; nil: none counted
}

func (s *Scheduler) presenceOn(machine *fleet.Machine) presence {
	p := presence{scheduler: s, resources: machine.Bin.Occupied()}
	for _, attempt := range machine.Attempts() {
		if attempt.MayBePresent() && attempt.Item != nil {
			p.resources = p.resources.Add(attempt.Item.Request)
		}
	}
	return p
}

// tasksByZone returns the number of a job's attempts by zone.
func (p *presence) tasksByZone(job *Job) map[string]int {
	if p.byZone == nil {
		p.byZone = map[*Job]map[string]int{}
	}
	if p.byZone[job] == nil {
		p.byZone[job] = p.scheduler.tasksByZone(job, false)
	}
	return p.byZone[job]
}

// add counts an attempt that was just sent.
func (p *presence) add(job *Job, attempt *fleet.Attempt) {
	p.resources = p.resources.Add(attempt.Item.Request)
	if counts := p.byZone[job]; counts != nil {
		counts[attempt.Machine.Zone]++
	}
}

// dispatch marks a planned attempt as sent if it may be sent, and reports whether it may. An attempt
// that may not be sent is cancelled, unless its start is shed, or its machine accepts tasks and the
// machine's record or the task's watermark is not stored yet. present is that of the machine.
func (s *Scheduler) dispatch(machine *fleet.Machine, attempt *fleet.Attempt, present *presence, now time.Time) bool {
	job := s.jobOf(attempt)
	if job != nil && s.shedsStart(job) {
		return false
	}
	if !s.mayDispatch(attempt, present, now) {
		awaitsRecord := (!machine.Recorded || !s.belowWatermark(attempt)) && s.acceptsTasks(machine, now)
		if !awaitsRecord {
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

// ConfirmRun reports whether a run command that was built earlier may still be sent: its job is open, and
// the attempt is the current one of its task and not being stopped. If so, it counts as sent now.
func (s *Scheduler) ConfirmRun(command fleet.Command, now time.Time) bool {
	id, ok := fleet.ParseTask(command.Task)
	job := s.jobs[id.Job]
	if !ok || job == nil {
		return false
	}
	attempt := job.attempts[id.N]
	if attempt == nil || attempt.Number != command.Attempt || attempt.Stopping() {
		return false
	}
	if attempt.State() == fleet.Sent {
		attempt.AssignedAt = now
	}
	return true
}

// mayDispatch checks the rules for job, task, machine, zone, quota and room again just before a run
// command is sent, but not claims and held machines. present is that of the attempt's machine.
func (s *Scheduler) mayDispatch(attempt *fleet.Attempt, present *presence, now time.Time) bool {
	job, machine, task := s.jobOf(attempt), attempt.Machine, attempt.Task.N
	switch {
	case job == nil, attempt.State() != fleet.Planned, !s.startable(job, now):
		return false
	case !s.acceptsTasks(machine, now), !machine.Recorded:
		return false
	case task >= job.Tasks, job.done.has(task), job.attempts[task] != attempt, job.duplicates[task] > 0:
		return false
	case job.isUncertain(task), !s.belowWatermark(attempt):
		return false
	case !job.permits(machine.Type, machine.Zone, machine.Spot):
		return false
	case (job.OneZone || job.SpreadZones) && !job.zoneAllowed(machine.Zone, present.tasksByZone(job)):
		return false
	case job.teamLimited && !s.withinLimit(job, s.quotaUsage.InUse(job.Team)):
		return false
	}
	return machine.Bin.Capacity.Sub(present.resources).Fits(job.request)
}
