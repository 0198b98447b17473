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
	for _, m := range s.fleet.Sorted() {
		if m.Draining || m.Returning || m.LeaseExpired || m.Unreachable() {
			s.cancelPlanned(m)
			continue
		}
		// A machine that went quiet keeps what it runs, but nothing is planned for it.
		if now.Sub(m.LastStatus) > 3*s.settings.HeartbeatInterval {
			s.cancelPlanned(m)
		}
	}
	for _, j := range s.jobs {
		if !j.retryAt.IsZero() && !now.Before(j.retryAt) {
			j.retryAt = time.Time{}
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
	up := 0
	for _, m := range s.fleet.Sorted() {
		if m.Up && !m.LeaseExpired {
			up++
		}
	}
	gap, s.delay = max(gap, s.settings.HeartbeatInterval/TicksPerHeartbeat+s.delay), 0
	if s.overload.Observe(gap, up, now) {
		slog.Info("how the leader keeps up", "level", s.overload.Level().String(), "late", s.overload.Lag().Round(time.Millisecond), "machines", up, "term", s.term)
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
	for _, m := range s.fleet.Sorted() {
		reserved := m.Bin.Cap.Share(m.Bin.Used())
		m.Bin.Load = m.Forecast.Predicted(reserved)
	}
	for _, m := range s.fleet.Sorted() {
		space := s.spaces[m.Type]
		if space == nil || !s.reconciled {
			continue
		}
		if m.Bin.Hot() {
			slog.Info("hot machine", "machine", m.Host, "predicted", m.Bin.Load, "reserved", m.Bin.Cap.Share(m.Bin.Used()), "term", s.term)
		}
		if m.Bin.Hot() || len(m.Changed) > 0 && m.Bin.Gap() >= packing.Third-1e-9 && !m.Empty() && m.Bin.Reserved() == (packing.Resources{}) {
			old := packing.Tiny
			for _, k := range m.Changed {
				old = max(old, k)
			}
			moves := space.Change(m.Bin, old, packing.Tiny, nil)
			undoMoves(moves)
			s.executeMoves(moves, now)
		}
		m.Changed = m.Changed[:0]
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
	for _, j := range s.queue(now) {
		if j.Shape != records.ShapeService {
			continue
		}
		j.relocating = 0
		running := 0
		var leave *fleet.Attempt
		for _, a := range j.attempts {
			if a.Stopping() {
				leave = nil
				running = 0
				break
			}
			if a.State() == fleet.Running {
				running++
				if (a.Machine.Draining || s.isEmptying(a.Machine)) && (leave == nil || a.Task.N < leave.Task.N) {
					leave = a
				}
			}
		}
		if leave == nil || running < 2 {
			continue
		}
		// Guards against a replica that is stopped for a machine's sake and then waits
		// for room while its machine could have gone on with it.
		if to := s.roomForReplica(j, leave, now); to != nil {
			s.addClaim(j, to, now)
			s.stop(leave, stopMoved, j.SaveS, now)
		} else {
			j.relocating = 1
		}
	}
}

// roomForReplica finds a machine with room for a replica that leaves another one, where
// fewest of its job are.
func (s *Scheduler) roomForReplica(j *Job, leave *fleet.Attempt, now time.Time) *fleet.Machine {
	zones := s.tasksByZone(j, true)
	if zones[leave.Machine.Zone]--; zones[leave.Machine.Zone] == 0 {
		delete(zones, leave.Machine.Zone)
	}
	var best *fleet.Machine
	for _, m := range s.fleet.Sorted() {
		if s.acceptsTasks(m, now) && j.permits(m.Type, m.Zone, m.Spot) && m.Bin.Fits(j.request) && j.zoneAllowed(m.Zone, zones) &&
			!isHeldForEarlier(m, j) && (best == nil || zones[m.Zone] < zones[best.Zone]) {
			best = m
		}
	}
	return best
}
