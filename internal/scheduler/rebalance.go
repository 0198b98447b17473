package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/overload"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// Tick does what time alone brings about.
func (s *Scheduler) Tick(now time.Time, canRun bool) {
	s.ExpireLeases(now)
	if !canRun {
		return
	}
	s.reportSLO(now)
	for _, machine := range s.fleet.Sorted() {
		if machine.Draining || machine.Returning || machine.LeaseExpired || machine.Unreachable() {
			s.cancelPlanned(machine)
			continue
		}
		// A machine that went quiet keeps what it runs, but nothing is planned for it.
		if now.Sub(machine.LastStatus) > 3*s.settings.HeartbeatInterval {
			s.cancelPlanned(machine)
		}
	}
	for _, job := range s.jobs {
		if !job.retryAt.IsZero() && !now.Before(job.retryAt) {
			job.retryAt = time.Time{}
			s.placementStale = true
		}
	}
	if len(s.drains) > 0 && now.Sub(s.lastDrainPass) >= s.settings.HeartbeatInterval {
		s.runDrains(now)
	}
	if now.Sub(s.lastRebalance) >= s.settings.RoundInterval && s.overload.Level() < overload.Overloaded {
		s.rebalance(now)
	}
	if s.placementStale {
		s.placeWaiting(now)
	}
	if s.overload.Level() == overload.Normal {
		s.preempt(now)
		s.holdMachines(now)
	}
	s.raiseWatermarksAhead(now)
}

// ObserveTick takes in that a tick came gap after it was asked for; what waited for longer than
// that tick counts instead, since a timer that is due goes before all else. What is left out then: starts
// and plans, in this order; leases, exits and cancellations never.
func (s *Scheduler) ObserveTick(gap time.Duration, now time.Time) {
	if !s.settings.LoadShedding {
		return
	}
	machinesUp := 0
	for _, machine := range s.fleet.Sorted() {
		if machine.Up && !machine.LeaseExpired {
			machinesUp++
		}
	}
	gap, s.delay = max(gap, s.settings.HeartbeatInterval/TicksPerHeartbeat+s.delay), 0
	if s.overload.Observe(gap, machinesUp, now) {
		slog.Info("how the leader keeps up", "level", s.overload.Level().String(), "late", s.overload.Lag().Round(time.Millisecond), "machines", machinesUp, "term", s.term)
	}
	lagSeconds.Set(s.overload.Lag().Seconds())
}

// shedsStart says whether a start waits until the leader keeps up again.
func (s *Scheduler) shedsStart(j *Job) bool {
	switch s.overload.Level() {
	case overload.Overloaded:
		return true
	case overload.Degraded:
		return priorityRank[j.Priority] > priorityRank[records.PriorityUrgent] && !j.guaranteed
	}
	return false
}

// rebalance observes use, and runs the paper's change on bins that are hot or gape.
func (s *Scheduler) rebalance(now time.Time) {
	s.lastRebalance = now
	s.queueStale = true
	s.refreshAccepting(now)
	for _, machine := range s.fleet.Sorted() {
		reserved := machine.Bin.Cap.Share(machine.Bin.Used())
		machine.Bin.Load = machine.Forecast.Predicted(reserved)
	}
	for _, machine := range s.fleet.Sorted() {
		space := s.spaces[machine.Type]
		if space == nil || !s.reconciled {
			continue
		}
		if machine.Bin.Hot() {
			slog.Info("hot machine", "machine", machine.Host, "predicted", machine.Bin.Load, "reserved", machine.Bin.Cap.Share(machine.Bin.Used()), "term", s.term)
		}
		if machine.Bin.Hot() || len(machine.Changed) > 0 && machine.Bin.Gap() >= packing.Third-1e-9 && !machine.Empty() && machine.Bin.Reserved() == (packing.Resources{}) {
			lowest := packing.Tiny
			for _, k := range machine.Changed {
				lowest = max(lowest, k)
			}
			moves := space.Change(machine.Bin, lowest, packing.Tiny, nil)
			undoMoves(moves)
			s.executeMoves(moves, now)
		}
		machine.Changed = machine.Changed[:0]
	}
	s.moveReplicas(now)
}

// ObserveUse feeds a machine's use at a report into its forecast.
func (s *Scheduler) ObserveUse(m *fleet.Machine) {
	var sum packing.Resources
	for _, a := range m.Attempts() {
		if a.Item != nil && (a.State() == fleet.Running || a.State() == fleet.Flushing || a.State() == fleet.Waiting) {
			sum = sum.Add(a.Item.Req)
		}
	}
	m.Forecast.Observe(m.Bin.Cap.Share(sum))
}

// moveReplicas moves replicas off machines that are to be emptied, one of a job
// at a time, and only while another one runs and there is a place for it.
func (s *Scheduler) moveReplicas(now time.Time) {
	for _, job := range s.queue(now) {
		if job.Shape != records.ShapeService {
			continue
		}
		job.relocating = 0
		running := 0
		var leaving *fleet.Attempt
		for _, attempt := range job.attempts {
			if attempt.Stopping() {
				leaving = nil
				running = 0
				break
			}
			if attempt.State() == fleet.Running {
				running++
				if (attempt.Machine.Draining || s.isEmptying(attempt.Machine)) && (leaving == nil || attempt.Task.N < leaving.Task.N) {
					leaving = attempt
				}
			}
		}
		if leaving == nil || running < 2 {
			continue
		}
		// Guards against a replica that is stopped for a machine's sake and then waits
		// for room while its machine could have gone on with it.
		if to := s.roomForReplica(job, leaving, now); to != nil {
			s.addClaim(job, to, now)
			s.stop(leaving, stopMoved, job.SaveS, now)
		} else {
			job.relocating = 1
		}
	}
}

// roomForReplica finds a machine with room for a replica that leaves another one, where
// fewest of its job are.
func (s *Scheduler) roomForReplica(job *Job, leaving *fleet.Attempt, now time.Time) *fleet.Machine {
	zones := s.tasksByZone(job, true)
	if zones[leaving.Machine.Zone]--; zones[leaving.Machine.Zone] == 0 {
		delete(zones, leaving.Machine.Zone)
	}
	var best *fleet.Machine
	for _, machine := range s.fleet.Sorted() {
		if s.acceptsTasks(machine, now) && job.permits(machine.Type, machine.Zone, machine.Spot) && machine.Bin.Fits(job.request) && job.zoneAllowed(machine.Zone, zones) &&
			!isHeldForEarlier(machine, job) && (best == nil || zones[machine.Zone] < zones[best.Zone]) {
			best = machine
		}
	}
	return best
}
