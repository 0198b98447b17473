package scheduler

import (
	"time"

	"drumpick/internal/fairshare"
	"drumpick/internal/fleet"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// assignGuarantees marks the jobs that fit, together with their team's earlier unfinished ones,
// into what their team is guaranteed, and those of them that can still begin in time.
func (s *Scheduler) assignGuarantees(now time.Time) {
	account := fairshare.NewAccount(s.settings.Teams, s.settings.Guarantees)
	for _, j := range s.sortedJobs {
		j.guaranteed, j.protected = account.Charge(j.Team, j.Tasks-j.doneCount, j.request)
		j.canBeginInTime = j.guaranteed && s.settings.Guarantees && fairshare.CanBeginInTime(s.settings.GuaranteeWithin, now.Sub(j.releasedAt), s.settings.HeartbeatInterval, s.fetchTime(j))
		if !j.start.known {
			j.start.known, j.start.entitled = true, j.guaranteed
		}
	}
}

// preemptionIntervals is how long, in report intervals, it takes until what was stopped has saved,
// its end was heard and the run went out.
const preemptionIntervals = 3

// benefitsFromPreemption says whether a job within a guarantee can still begin in time once others were
// stopped for it. Guards against tasks that are stopped again and again for gangs which are
// late all the same: on crowded days that was more than a third of the starts of their class.
func (s *Scheduler) benefitsFromPreemption(j *Job, now time.Time) bool {
	return !s.settings.Guarantees || s.settings.GuaranteeWithin == 0 || fairshare.CanBeginInTime(s.settings.GuaranteeWithin, now.Sub(j.releasedAt), preemptionIntervals*s.settings.HeartbeatInterval, s.fetchTime(j))
}

// noteShortage notes that a job of a team with a guarantee found no room, and may use ordinary
// machines alone. What its team's limit holds back lacks none.
func (s *Scheduler) noteShortage(j *Job, used quota.Amount, now time.Time) {
	if !s.settings.Guarantees || j.Spot || !fairshare.HasGuarantee(j.team) || j.limited && !s.withinLimit(j, used) {
		return
	}
	for _, name := range s.typeNames {
		if j.allowsType(name) && s.types[name].SpotPrice > 0 && s.capacity(name).Fits(j.request) {
			s.onDemandShortage.NoteShortage(name, now)
		}
	}
}

// shortageLately says whether ordinary machines of a type were too few within a startup time.
func (s *Scheduler) shortageLately(typ string, now time.Time) bool {
	return s.onDemandShortage.ShortageWithin(typ, s.startupTime(typ), now)
}

// displaced counts the tasks of a job that stand on ordinary machines which others lacked
// lately, though cheap ones would do: cheap machines are rented for as many, so that those
// who come next leave the ordinary ones alone.
func (s *Scheduler) displaced(job *Job, now time.Time) int {
	if !s.settings.Guarantees || !job.Spot || job.Shape != records.ShapeArray {
		return 0
	}
	n := 0
	for _, attempt := range job.attempts {
		if machine := attempt.Machine; !machine.Spot && attempt.State() != fleet.Ended && s.shortageLately(machine.Type, now) {
			n++
		}
	}
	return n
}
