package scheduler

import (
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// startable reports whether tasks of the job may be started now: not while it is closed or being
// closed, blocked by a dependency, a broken gang, or before its retry time. After a failover, until
// reconciliation completes, a task may start only if no machine can already run it: its job was
// accepted in this term, or released in this term by a dependency that was stored as done, or the
// task is beyond the watermark; isUncertain checks this by task. Until then, jobs do not start at
// all if their rules need all their own or their team's tasks: gangs of earlier terms, jobs with a
// zone constraint, and jobs of teams with a limit.
func (s *Scheduler) startable(j *Job, now time.Time) bool {
	if j.closed || j.blocked || j.closing || j.gangBroken || now.Before(j.retryAt) {
		return false
	}
	if s.reconciled {
		return true
	}
	return (j.uncertain.empty() || j.Shape != records.ShapeGang) && !j.teamLimited && !j.OneZone && !j.SpreadZones
}

// silentIntervals is after how many heartbeat intervals without a status a machine is silent.
const silentIntervals = 3

// acceptsTasks reports whether a machine may be given new tasks now, apart from free room.
func (s *Scheduler) acceptsTasks(m *fleet.Machine, now time.Time) bool {
	return m.HasStatus && m.Reconciled && inService(m) && m.PreemptionAt.IsZero() &&
		now.Sub(m.LastStatusAt) < silentIntervals*s.settings.HeartbeatInterval && !now.Before(m.FullUntil)
}

// inService reports whether a machine may be given new tasks, now or once it has sent a heartbeat.
func inService(m *fleet.Machine) bool {
	return !m.Returning && !m.LeaseExpired && !m.Draining && m.Cordon == nil && !m.Unreachable()
}

// refreshOpenBins sets the time of the pass, and opens the bins of the machines that accept tasks and
// closes all others. Bins are updated at most eight times in a heartbeat interval, which suffices for
// changes by time alone; a heartbeat updates its machine's bin at once.
func (s *Scheduler) refreshOpenBins(now time.Time) {
	s.passTime = now
	if now.Sub(s.lastBinRefresh) < s.settings.HeartbeatInterval/8 {
		return
	}
	s.lastBinRefresh = now
	for _, m := range s.fleet.Sorted() {
		m.Bin.SetOpen(s.acceptsTasks(m, now))
	}
}

// permits reports whether the job's constraints allow machines of a type, zone and kind.
func (j *Job) permits(typ, zone string, spot bool) bool {
	return (!spot || j.Spot) && (j.Job.Zone == nil || *j.Job.Zone == zone) && j.allowsType(typ)
}

// allowsType reports whether the job's constraints allow a machine type.
func (j *Job) allowsType(typ string) bool {
	return len(j.Types) == 0 || slices.Contains(j.Types, typ)
}

// couldHost reports whether a machine may be given tasks of the job now, apart from free room.
func (s *Scheduler) couldHost(j *Job, m *fleet.Machine, now time.Time) bool {
	return s.acceptsTasks(m, now) && j.permits(m.Type, m.Zone, m.Spot) && m.Bin.Capacity.Fits(j.request)
}

// tasksByZone counts the job's attempts that may be on machines by zone, including duplicates; with
// planned, also its planned attempts and its claims. It takes time in proportion to the job's attempts.
func (s *Scheduler) tasksByZone(job *Job, planned bool) map[string]int {
	s.zoneScans++
	counts := map[string]int{}
	for _, attempt := range job.attempts {
		if attempt.MayBePresent() || planned && attempt.State() == fleet.Planned {
			counts[attempt.Machine.Zone]++
		}
	}
	if planned {
		for _, claimed := range job.claims {
			counts[claimed.machine.Zone]++
		}
	}
	if len(job.duplicates) > 0 {
		for _, attempt := range s.fleet.AttemptsOfJob(job.ID) {
			if attempt.Duplicate && attempt.MayBePresent() {
				counts[attempt.Machine.Zone]++
			}
		}
	}
	return counts
}

// zoneAllowed reports whether one_zone and spread_zones allow one more task in a zone, given the
// job's tasks by zone.
func (j *Job) zoneAllowed(zone string, counts map[string]int) bool {
	if j.OneZone {
		for other, count := range counts {
			if other != zone && count > 0 {
				return false
			}
		}
	}
	return !j.SpreadZones || counts[zone]+1 <= (j.Tasks+1)/2
}

// constrainedZoneCounts counts the tasks of a job with a zone constraint by zone, including planned
// tasks and claims. It returns nil for other jobs.
func (s *Scheduler) constrainedZoneCounts(j *Job) map[string]int {
	if j.OneZone || j.SpreadZones {
		return s.tasksByZone(j, true)
	}
	return nil
}

// zonesToTry returns the zones in which to try to place a gang, one after the other; "" stands for
// all zones together. zones holds the gang's tasks by zone.
func (s *Scheduler) zonesToTry(j *Job, zones map[string]int) []string {
	if j.OneZone && len(zones) == 0 {
		return s.settings.Zones
	}
	return []string{""}
}
