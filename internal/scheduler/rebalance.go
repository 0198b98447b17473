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
func (c *Scheduler) Tick(now time.Time, canRun bool) {
	c.ExpireLeases(now)
	if !canRun {
		return
	}
	c.reportSLO(now)
	for _, m := range c.fleet.Sorted() {
		if m.Draining || m.Returning || m.LeaseExpired || m.Unreachable() {
			c.cancelPlanned(m)
			continue
		}
		// A machine that went quiet keeps what it runs, but nothing is planned for it.
		if now.Sub(m.LastStatus) > 3*c.settings.HeartbeatInterval {
			c.cancelPlanned(m)
		}
	}
	for _, j := range c.jobs {
		if !j.retryAt.IsZero() && !now.Before(j.retryAt) {
			j.retryAt = time.Time{}
			c.placementStale = true
		}
	}
	if len(c.drains) > 0 && now.Sub(c.lastDrainPass) >= c.settings.HeartbeatInterval {
		c.runDrains(now)
	}
	if now.Sub(c.lastRebalance) >= c.settings.RoundInterval && c.overload.Level() < overload.Overloaded {
		c.rebalance(now)
	}
	if c.placementStale {
		c.placeWaiting(now)
	}
	if c.overload.Level() == overload.Normal {
		c.preempt(now)
		c.holdMachines(now)
	}
	c.raiseWatermarksAhead(now)
}

// ObserveTick takes in that a tick came gap after it was asked for; what waited for longer than
// that tick counts instead, since a timer that is due goes before all else. What is left out then: starts
// and plans, in this order; leases, exits and cancellations never.
func (c *Scheduler) ObserveTick(gap time.Duration, now time.Time) {
	if !c.settings.LoadShedding {
		return
	}
	up := 0
	for _, m := range c.fleet.Sorted() {
		if m.Up && !m.LeaseExpired {
			up++
		}
	}
	gap, c.delay = max(gap, c.settings.HeartbeatInterval/TicksPerHeartbeat+c.delay), 0
	if c.overload.Observe(gap, up, now) {
		slog.Info("how the leader keeps up", "level", c.overload.Level().String(), "late", c.overload.Lag().Round(time.Millisecond), "machines", up, "term", c.term)
	}
	lagSeconds.Set(c.overload.Lag().Seconds())
}

// shedsStart says whether a start waits until the leader keeps up again.
func (c *Scheduler) shedsStart(j *Job) bool {
	switch c.overload.Level() {
	case overload.Overloaded:
		return true
	case overload.Degraded:
		return priorityRank[j.Priority] > priorityRank[records.PriorityUrgent] && !j.guaranteed
	}
	return false
}

// rebalance observes use, and runs the paper's change on bins that are hot or gape.
func (c *Scheduler) rebalance(now time.Time) {
	c.lastRebalance = now
	c.queueStale = true
	c.refreshAccepting(now)
	for _, m := range c.fleet.Sorted() {
		reserved := m.Bin.Cap.Share(m.Bin.Used())
		m.Bin.Load = m.Forecast.Predicted(reserved)
	}
	for _, m := range c.fleet.Sorted() {
		s := c.spaces[m.Type]
		if s == nil || !c.reconciled {
			continue
		}
		if m.Bin.Hot() {
			slog.Info("hot machine", "machine", m.Host, "predicted", m.Bin.Load, "reserved", m.Bin.Cap.Share(m.Bin.Used()), "term", c.term)
		}
		if m.Bin.Hot() || len(m.Changed) > 0 && m.Bin.Gap() >= packing.Third-1e-9 && !m.Empty() && m.Bin.Reserved() == (packing.Resources{}) {
			old := packing.Tiny
			for _, k := range m.Changed {
				old = max(old, k)
			}
			moves := s.Change(m.Bin, old, packing.Tiny, nil)
			undoMoves(moves)
			c.executeMoves(moves, now)
		}
		m.Changed = m.Changed[:0]
	}
	c.moveReplicas(now)
}

// ObserveUse feeds a machine's use at a report into its forecast.
func (c *Scheduler) ObserveUse(m *fleet.Machine) {
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
func (c *Scheduler) moveReplicas(now time.Time) {
	for _, j := range c.queue(now) {
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
				if (a.Machine.Draining || c.isEmptying(a.Machine)) && (leave == nil || a.Task.N < leave.Task.N) {
					leave = a
				}
			}
		}
		if leave == nil || running < 2 {
			continue
		}
		// Guards against a replica that is stopped for a machine's sake and then waits
		// for room while its machine could have gone on with it.
		if to := c.roomForReplica(j, leave, now); to != nil {
			c.addClaim(j, to, now)
			c.stop(leave, stopMoved, j.SaveS, now)
		} else {
			j.relocating = 1
		}
	}
}

// roomForReplica finds a machine with room for a replica that leaves another one, where
// fewest of its job are.
func (c *Scheduler) roomForReplica(j *Job, leave *fleet.Attempt, now time.Time) *fleet.Machine {
	zones := c.tasksByZone(j, true)
	if zones[leave.Machine.Zone]--; zones[leave.Machine.Zone] == 0 {
		delete(zones, leave.Machine.Zone)
	}
	var best *fleet.Machine
	for _, m := range c.fleet.Sorted() {
		if c.acceptsTasks(m, now) && j.permits(m.Type, m.Zone, m.Spot) && m.Bin.Fits(j.request) && j.zoneAllowed(m.Zone, zones) &&
			!isHeldForEarlier(m, j) && (best == nil || zones[m.Zone] < zones[best.Zone]) {
			best = m
		}
	}
	return best
}
