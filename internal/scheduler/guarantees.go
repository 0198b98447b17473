package scheduler

import (
	"time"

	"drumpick/internal/fairshare"
	"drumpick/internal/fleet"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// assignGuarantees marks the jobs that fit into their team's guarantee together with the team's
// earlier unfinished jobs, those that are protected from preemption, and, if the settings enable
// guarantees, those within a guarantee that can still start in time. A job's first mark is also
// kept in job.start.
func (s *Scheduler) assignGuarantees(now time.Time) {
	account := fairshare.NewAccount(s.settings.Teams, s.settings.Guarantees)
	for _, job := range s.sortedJobs {
		job.guaranteed, job.protected = account.Charge(job.Team, job.Tasks-job.doneCount, job.request)
		job.canStartInTime = job.guaranteed && s.settings.Guarantees && s.canStartInTime(job, s.settings.HeartbeatInterval, now)
		if !job.start.guaranteedKnown {
			job.start.guaranteedKnown, job.start.guaranteed = true, job.guaranteed
		}
	}
}

// canStartInTime reports whether a job that gets its room after a delay can start within the time
// that the settings promise for guarantees (GuaranteeWithin).
func (s *Scheduler) canStartInTime(job *Job, delay time.Duration, now time.Time) bool {
	return fairshare.CanStartInTime(s.settings.GuaranteeWithin, now.Sub(job.releasedAt), delay, s.fetchTime(job))
}

// preemptionIntervals is the time, in heartbeat intervals, for a preempted task to save a checkpoint,
// for its exit to be reported, and for the run command to be sent.
const preemptionIntervals = 3

// benefitsFromPreemption reports whether a job within a guarantee can still start in time after
// preempting others. It returns true if guarantees are disabled or promise no time. Without this
// check, tasks are preempted for gangs that are late anyway: on busy days, more than a third of the
// starts of a class were lost by such preemptions.
func (s *Scheduler) benefitsFromPreemption(job *Job, now time.Time) bool {
	if !s.settings.Guarantees || s.settings.GuaranteeWithin == 0 {
		return true
	}
	return s.canStartInTime(job, preemptionIntervals*s.settings.HeartbeatInterval, now)
}

// recordShortage records a shortage of the on-demand machine types that fit a job that found no
// room, if the job may not use spot machines and its team has a guarantee. It does nothing if
// guarantees are disabled, and skips types that are not offered as spot machines. A job that waits
// because of its team's limit does not count. used is the team's quota in use.
func (s *Scheduler) recordShortage(j *Job, used quota.Amount, now time.Time) {
	if !s.settings.Guarantees || j.Spot || !fairshare.HasGuarantee(j.team) || j.teamLimited && !s.withinLimit(j, used) {
		return
	}
	for _, name := range s.typesByPrice {
		if j.allowsType(name) && s.machineTypes[name].SpotPrice > 0 && s.capacity(name).Fits(j.request) {
			s.onDemandShortage.RecordShortage(name, now)
		}
	}
}

// recentShortage reports whether a shortage of on-demand machines of a type was recorded within the
// type's startup time.
func (s *Scheduler) recentShortage(typ string, now time.Time) bool {
	return s.onDemandShortage.ShortageWithin(typ, s.startupTime(typ), now)
}

// tasksBlockingOnDemand counts a job's tasks that run on on-demand machines of types with a recent
// shortage, though the job may use spot machines; 0 if guarantees are disabled or the job is no
// array. Spot machines are scaled out for as many tasks, so that later tasks do not need the
// on-demand machines.
func (s *Scheduler) tasksBlockingOnDemand(job *Job, now time.Time) int {
	if !s.settings.Guarantees || !job.Spot || job.Shape != records.ShapeArray {
		return 0
	}
	n := 0
	for _, attempt := range job.attempts {
		if machine := attempt.Machine; !machine.Spot && attempt.State() != fleet.Ended && s.recentShortage(machine.Type, now) {
			n++
		}
	}
	return n
}
