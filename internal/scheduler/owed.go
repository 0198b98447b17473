package scheduler

import (
	"time"

	"drumpick/internal/fairshare"
	"drumpick/internal/fleet"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// guarantees marks the jobs that fit, together with their team's earlier unfinished ones,
// into what their team is guaranteed, and those of them that can still begin in time.
func (c *Scheduler) guarantees(now time.Time) {
	account := fairshare.NewAccount(c.set.Teams, c.set.Guarantees)
	for _, j := range c.sorted {
		j.guaranteed, j.holds = account.Charge(j.Team, j.Tasks-j.nDone, j.req)
		j.inTime = j.guaranteed && c.set.Guarantees && fairshare.CanBeginInTime(c.set.GuaranteeWithin, now.Sub(j.base), c.set.HeartbeatInterval, c.fetch(j))
		if !j.began.known {
			j.began.known, j.began.entitled = true, j.guaranteed
		}
	}
}

// savingReports is how long, in report intervals, it takes until what was stopped has saved,
// its end was heard and the run went out.
const savingReports = 3

// gains says whether a job within a guarantee can still begin in time once others were
// stopped for it. Guards against tasks that are stopped again and again for gangs which are
// late all the same: on crowded days that was more than a third of the starts of their class.
func (c *Scheduler) gains(j *Job, now time.Time) bool {
	return !c.set.Guarantees || c.set.GuaranteeWithin == 0 || fairshare.CanBeginInTime(c.set.GuaranteeWithin, now.Sub(j.base), savingReports*c.set.HeartbeatInterval, c.fetch(j))
}

// lacked notes that a job of a team with a guarantee found no room, and may use ordinary
// machines alone. What its team's limit holds back lacks none.
func (c *Scheduler) lacked(j *Job, used quota.Amount, now time.Time) {
	if !c.set.Guarantees || j.Spot || !fairshare.HasGuarantee(j.team) || j.limited && !c.withinLimit(j, used) {
		return
	}
	for _, name := range c.names {
		if j.allowsType(name) && c.types[name].SpotPrice > 0 && c.capacity(name).Fits(j.req) {
			c.scarce.NoteShortage(name, now)
		}
	}
}

// scarceLately says whether ordinary machines of a type were too few within a startup time.
func (c *Scheduler) scarceLately(typ string, now time.Time) bool {
	return c.scarce.ShortageWithin(typ, c.startup(typ), now)
}

// displaced counts the tasks of a job that stand on ordinary machines which others lacked
// lately, though cheap ones would do: cheap machines are rented for as many, so that those
// who come next leave the ordinary ones alone.
func (c *Scheduler) displaced(j *Job, now time.Time) int {
	if !c.set.Guarantees || !j.Spot || j.Shape != records.ShapeArray {
		return 0
	}
	n := 0
	for _, a := range j.held {
		if m := a.Machine; !m.Spot && a.State() != fleet.Ended && c.scarceLately(m.Type, now) {
			n++
		}
	}
	return n
}
