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
func (c *Scheduler) assignGuarantees(now time.Time) {
	account := fairshare.NewAccount(c.settings.Teams, c.settings.Guarantees)
	for _, j := range c.sortedJobs {
		j.guaranteed, j.protected = account.Charge(j.Team, j.Tasks-j.doneCount, j.request)
		j.canBeginInTime = j.guaranteed && c.settings.Guarantees && fairshare.CanBeginInTime(c.settings.GuaranteeWithin, now.Sub(j.releasedAt), c.settings.HeartbeatInterval, c.fetchTime(j))
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
func (c *Scheduler) benefitsFromPreemption(j *Job, now time.Time) bool {
	return !c.settings.Guarantees || c.settings.GuaranteeWithin == 0 || fairshare.CanBeginInTime(c.settings.GuaranteeWithin, now.Sub(j.releasedAt), preemptionIntervals*c.settings.HeartbeatInterval, c.fetchTime(j))
}

// noteShortage notes that a job of a team with a guarantee found no room, and may use ordinary
// machines alone. What its team's limit holds back lacks none.
func (c *Scheduler) noteShortage(j *Job, used quota.Amount, now time.Time) {
	if !c.settings.Guarantees || j.Spot || !fairshare.HasGuarantee(j.team) || j.limited && !c.withinLimit(j, used) {
		return
	}
	for _, name := range c.typeNames {
		if j.allowsType(name) && c.types[name].SpotPrice > 0 && c.capacity(name).Fits(j.request) {
			c.onDemandShortage.NoteShortage(name, now)
		}
	}
}

// shortageLately says whether ordinary machines of a type were too few within a startup time.
func (c *Scheduler) shortageLately(typ string, now time.Time) bool {
	return c.onDemandShortage.ShortageWithin(typ, c.startupTime(typ), now)
}

// displaced counts the tasks of a job that stand on ordinary machines which others lacked
// lately, though cheap ones would do: cheap machines are rented for as many, so that those
// who come next leave the ordinary ones alone.
func (c *Scheduler) displaced(j *Job, now time.Time) int {
	if !c.settings.Guarantees || !j.Spot || j.Shape != records.ShapeArray {
		return 0
	}
	n := 0
	for _, a := range j.attempts {
		if m := a.Machine; !m.Spot && a.State() != fleet.Ended && c.shortageLately(m.Type, now) {
			n++
		}
	}
	return n
}
