package scheduler

import (
	"time"

	"drumpick/internal/fairshare"
	"drumpick/internal/fleet"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// assignGuarantees marks the jobs that fit, together with their team's earlier unfinished ones, into
// what their team is guaranteed, and those of them that can still begin in time.
func (s *Scheduler) assignGuarantees(now time.Time) {
	account := fairshare.NewAccount(s.settings.Teams, s.settings.Guarantees)
	for _, job := range s.sortedJobs {
		job.guaranteed, job.protected = account.Charge(job.Team, job.Tasks-job.doneCount, job.request)
		job.canBeginInTime = job.guaranteed && s.settings.Guarantees && s.canBeginInTime(job, s.settings.HeartbeatInterval, now)
		if !job.start.entitlementKnown {
			job.start.entitlementKnown, job.start.entitled = true, job.guaranteed
		}
	}
}

// canBeginInTime reports whether a job can begin within the guarantee's time if it gets its room after
// a delay.
func (s *Scheduler) canBeginInTime(job *Job, delay time.Duration, now time.Time) bool {
	return fairshare.CanStartInTime(s.settings.GuaranteeWithin, now.Sub(job.releasedAt), delay, s.fetchTime(job))
}

// preemptionIntervals is how long, in heartbeat intervals, it takes until a preempted task has saved a
// checkpoint, its exit was heard and the run command went out.
const preemptionIntervals = 3

// benefitsFromPreemption reports whether a job within a guarantee can still begin in time once others
// were preempted for it. Without this, tasks would be stopped again and again for gangs which are late
// all the same: on crowded days that was more than a third of the starts of their class.
func (s *Scheduler) benefitsFromPreemption(job *Job, now time.Time) bool {
	if !s.settings.Guarantees || s.settings.GuaranteeWithin == 0 {
		return true
	}
	return s.canBeginInTime(job, preemptionIntervals*s.settings.HeartbeatInterval, now)
}

// recordShortage notes that a job of a team with a guarantee found no room, and may use on-demand
// machines only. A job that its team's limit holds back lacks none.
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

// recentShortage reports whether on-demand machines of a type were too few within a startup time.
func (s *Scheduler) recentShortage(typ string, now time.Time) bool {
	return s.onDemandShortage.ShortageWithin(typ, s.startupTime(typ), now)
}

// tasksBlockingOnDemand counts the tasks of a job that are on on-demand machines which others lacked lately, though
// spot machines would do: as many spot machines are scaled out, so that those who come next leave the
// on-demand machines alone.
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
