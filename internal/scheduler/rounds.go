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
	c.tellServed(now)
	for _, m := range c.fleet.Sorted() {
		if m.Draining || m.Returning || m.LeaseExpired || m.Unreachable() {
			c.unplan(m)
			continue
		}
		// A machine that went quiet keeps what it runs, but nothing is planned for it.
		if now.Sub(m.LastStatus) > 3*c.set.HeartbeatInterval {
			c.unplan(m)
		}
	}
	for _, j := range c.jobs {
		if !j.retryAt.IsZero() && !now.Before(j.retryAt) {
			j.retryAt = time.Time{}
			c.dirty = true
		}
	}
	if len(c.drains) > 0 && now.Sub(c.lastDrain) >= c.set.HeartbeatInterval {
		c.drain(now)
	}
	if now.Sub(c.lastRound) >= c.set.RoundInterval && c.means.Level() < overload.Overloaded {
		c.round(now)
	}
	if c.dirty {
		c.place(now)
	}
	if c.means.Level() == overload.Normal {
		c.preempt(now)
		c.keep(now)
	}
	c.ahead(now)
}

// ObserveTick takes in that a tick came gap after it was asked for; what waited for longer than
// that tick counts instead, since a timer that is due goes before all else. What is left out then: starts
// and plans, in this order; leases, exits and cancellations never.
func (c *Scheduler) ObserveTick(gap time.Duration, now time.Time) {
	if !c.set.LoadShedding {
		return
	}
	up := 0
	for _, m := range c.fleet.Sorted() {
		if m.Up && !m.LeaseExpired {
			up++
		}
	}
	gap, c.late = max(gap, c.set.HeartbeatInterval/TicksPerHeartbeat+c.late), 0
	if c.means.Observe(gap, up, now) {
		slog.Info("how the leader keeps up", "level", c.means.Level().String(), "late", c.means.Lag().Round(time.Millisecond), "machines", up, "term", c.term)
	}
	lateSeconds.Set(c.means.Lag().Seconds())
}

// putOff says whether a start waits until the leader keeps up again.
func (c *Scheduler) putOff(j *Job) bool {
	switch c.means.Level() {
	case overload.Overloaded:
		return true
	case overload.Degraded:
		return prioRank[j.Priority] > prioRank[records.PriorityUrgent] && !j.guaranteed
	}
	return false
}

// round observes use, and runs the paper's change on bins that are hot or gape.
func (c *Scheduler) round(now time.Time) {
	c.lastRound = now
	c.resort = true
	c.reopen(now)
	for _, m := range c.fleet.Sorted() {
		reserved := m.Bin.Cap.Share(m.Bin.Used())
		m.Bin.Load = m.Forecast.Predicted(reserved)
	}
	for _, m := range c.fleet.Sorted() {
		s := c.spaces[m.Type]
		if s == nil || !c.settled {
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
			putBack(moves)
			c.carryOut(moves, now)
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
		j.leaving = 0
		running := 0
		var leave *fleet.Attempt
		for _, a := range j.held {
			if a.Stopping() {
				leave = nil
				running = 0
				break
			}
			if a.State() == fleet.Running {
				running++
				if (a.Machine.Draining || c.empties(a.Machine)) && (leave == nil || a.Task.N < leave.Task.N) {
					leave = a
				}
			}
		}
		if leave == nil || running < 2 {
			continue
		}
		// Guards against a replica that is stopped for a machine's sake and then waits
		// for room while its machine could have gone on with it.
		if to := c.roomFor(j, leave, now); to != nil {
			c.own(j, to, now)
			c.stop(leave, whyMoved, j.SaveS, now)
		} else {
			j.leaving = 1
		}
	}
}

// roomFor finds a machine with room for a replica that leaves another one, where
// fewest of its job are.
func (c *Scheduler) roomFor(j *Job, leave *fleet.Attempt, now time.Time) *fleet.Machine {
	zones := c.zones(j, true)
	if zones[leave.Machine.Zone]--; zones[leave.Machine.Zone] == 0 {
		delete(zones, leave.Machine.Zone)
	}
	var best *fleet.Machine
	for _, m := range c.fleet.Sorted() {
		if c.open(m, now) && j.permits(m.Type, m.Zone, m.Spot) && m.Bin.Fits(j.req) && j.zoneOK(m.Zone, zones) &&
			!spared(m, j) && (best == nil || zones[m.Zone] < zones[best.Zone]) {
			best = m
		}
	}
	return best
}
