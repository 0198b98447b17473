package scheduler

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/overload"
	"drumpick/internal/records"
)

// Tick does the periodic work. canRun means that the leader may start tasks; without it, Tick only
// expires leases.
func (s *Scheduler) Tick(now time.Time, canRun bool) {
	s.ExpireLeases(now)
	if !canRun {
		return
	}
	s.reportSLO(now)
	s.cancelStalePlans(now)
	s.forgetSentPlans()
	s.endBackoffs(now)
	if s.drains.passDue(s.settings.HeartbeatInterval, now) {
		s.runDrains(now)
	}
	if now.Sub(s.lastRebalance) >= s.settings.RebalanceInterval && s.overload.Level() < overload.Overloaded {
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

// cancelStalePlans cancels the attempts that are planned for machines which take no new tasks. A
// silent machine keeps its running tasks until its lease expires, but not the planned ones.
func (s *Scheduler) cancelStalePlans(now time.Time) {
	for _, machine := range s.fleet.Sorted() {
		silent := now.Sub(machine.LastStatusAt) > silentIntervals*s.settings.HeartbeatInterval
		if machine.Draining || machine.Returning || machine.LeaseExpired || machine.Unreachable() || silent {
			s.cancelPlanned(machine)
		}
	}
}

// endBackoffs lets jobs start tasks again whose backoff after failures has ended.
func (s *Scheduler) endBackoffs(now time.Time) {
	for _, job := range s.jobs {
		if !job.retryAt.IsZero() && !now.Before(job.retryAt) {
			job.retryAt = time.Time{}
			s.placementStale = true
		}
	}
}

// ObserveTick updates the overload level from gap, the time that the leader waited for this tick: one
// tick interval if it does not fall behind. The longest delay of other events since the last tick
// (ObserveDelay) counts instead if it is longer, because a due timer runs before all other events.
// While the leader falls behind, it delays starts first, then planning, but never lease expiry, task
// ends or cancellations. ObserveTick does nothing if load shedding is off.
func (s *Scheduler) ObserveTick(gap time.Duration, now time.Time) {
	if !s.settings.LoadShedding {
		return
	}
	machinesUp := 0
	for _, m := range s.fleet.Sorted() {
		if m.HasStatus && !m.LeaseExpired {
			machinesUp++
		}
	}
	gap, s.maxDelay = max(gap, s.settings.HeartbeatInterval/TicksPerHeartbeat+s.maxDelay), 0
	if s.overload.Observe(gap, machinesUp, now) {
		slog.Log(context.Background(), overloadLogLevel(s.overload.Level()), "overload level changed", "level", s.overload.Level().String(),
			"lag", s.overload.Lag().Round(time.Millisecond), "machines", machinesUp, "term", s.term)
	}
	lagSeconds.Set(s.overload.Lag().Seconds())
}

func overloadLogLevel(level overload.Level) slog.Level {
	if level == overload.Normal {
		return slog.LevelInfo
	}
	return slog.LevelWarn
}

// shedsStart reports whether the job's tasks must not start until the leader is less overloaded.
func (s *Scheduler) shedsStart(j *Job) bool {
	switch s.overload.Level() {
	case overload.Overloaded:
		return true
	case overload.Degraded:
		return priorityRank[j.Priority] > priorityRank[records.PriorityUrgent] && !j.guaranteed
	}
	return false
}
