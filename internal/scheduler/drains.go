package scheduler

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// drainWork is what operators asked for and how it stands. Which machines it has is on the
// machines themselves; a new leader works it out again.
type drainWork struct {
	spec   drain.Spec
	state  drain.State
	stored drain.State // as the store has it
	known  bool        // the store has a state
	stamp  uint64      // at that revision; 0: none
	wrote  time.Time
	holds  bool
	by     time.Time
	had    map[string]bool // machines that it has, or had until they were gone
}

func (d *drainWork) upgrades() bool {
	return d.holds && d.spec.Kind == drain.Upgrade && d.state.Roll != nil && !d.state.Over()
}

// after says whether a machine was rented for one that an upgrade gave back. It has the
// version that the cloud gives; to replace it again, for as long as that is not the wanted
// one, would never end.
func (d *drainWork) after(m *fleet.Machine) bool {
	return d.spec.Then == drain.Return && !m.Rented.IsZero() && m.Rented.After(time.UnixMilli(d.spec.BeganMS))
}

// SetDrain takes in what operators asked for, as it is on record; state is nil where there
// is none of it yet.
func (c *Scheduler) SetDrain(spec drain.Spec, state *drain.State, stamp uint64) {
	i, found := slices.BinarySearchFunc(c.drains, spec.ID, func(d *drainWork, id string) int { return strings.Compare(d.spec.ID, id) })
	if !found {
		d := &drainWork{had: map[string]bool{}}
		if state != nil {
			d.state, d.stored, d.known, d.stamp = *state, *state, true, stamp
			for _, name := range state.Hand {
				d.had[name] = true
			}
		}
		c.drains = slices.Insert(c.drains, i, d)
	}
	c.drains[i].spec = spec
	c.lastDrain = time.Time{}
}

// RemoveDrain forgets a drain whose record is gone.
func (c *Scheduler) RemoveDrain(id string) {
	c.drains = slices.DeleteFunc(c.drains, func(d *drainWork) bool {
		if d.spec.ID != id {
			return false
		}
		for _, m := range c.fleet.Sorted() {
			if m.Cordon == d {
				c.uncordon(m, time.Time{})
			}
		}
		return true
	})
}

// drainView is what a drain sees of a machine.
func drainView(m *fleet.Machine, now time.Time) drain.Machine {
	v := drain.Machine{Name: m.Host, Type: m.Type, Zone: m.Zone, Version: m.Version}
	if !m.Rented.IsZero() && !now.IsZero() {
		v.Age = now.Sub(m.Rented)
	}
	return v
}

// barred says whether no machine of a type is to be rented in a zone: it would be drained.
func (c *Scheduler) barred(typ, zone string) bool {
	return slices.ContainsFunc(c.drains, func(d *drainWork) bool { return d.holds && d.spec.Bars(typ, zone) })
}

// empties says whether a machine is being emptied for an operator.
func (c *Scheduler) empties(m *fleet.Machine) bool {
	d, ok := m.Cordon.(*drainWork)
	return ok && d.spec.Kind != drain.Cordon
}

// awaits says whether a machine is empty and kept for an operator, who may well have switched
// it off: then its silence is no reason to give it back, for a long time.
func (c *Scheduler) awaits(m *fleet.Machine, now time.Time) bool {
	d, ok := m.Cordon.(*drainWork)
	return ok && d.spec.Kind != drain.Cordon && d.spec.Then == drain.Keep && m.Reconciled && !m.Failed && m.Empty() &&
		now.Sub(m.LastStatus) < awaitLeases*c.set.Lease
}

// awaitLeases is for how many leases a machine that is kept may be silent.
const awaitLeases = 50

// givesBack says whether an empty cordoned machine is to be given back.
func (c *Scheduler) givesBack(m *fleet.Machine) bool {
	d, ok := m.Cordon.(*drainWork)
	return ok && d.spec.Kind != drain.Cordon && d.spec.Then == drain.Return
}

// drain brings machines into the state that operators asked for.
func (c *Scheduler) drain(now time.Time) {
	c.lastDrain, c.draining = now, false
	c.reopen(now)
	wanted := map[*fleet.Machine]*drainWork{}
	for _, d := range c.drains {
		d.holds, d.by, _ = d.spec.Holds(now)
		c.draining = c.draining || d.holds && !d.state.Over()
		if d.holds && !d.state.Over() || d.spec.Kind != drain.Upgrade && d.holds {
			c.engage(d, wanted, now)
		}
	}
	for _, m := range c.fleet.Sorted() {
		switch d := wanted[m]; {
		case d == nil && m.Cordon != nil:
			c.uncordon(m, now)
		case d != nil && m.Cordon != d:
			c.cordon(m, d)
		}
	}
	for _, j := range c.queue(now) {
		if j.Shape != records.ShapeService {
			j.leaving, j.staying = 0, nil
		}
	}
	look := &places{c: c, now: now, none: map[int]bool{}, permits: map[*Job]bool{}}
	for _, m := range c.fleet.Sorted() {
		if d, ok := m.Cordon.(*drainWork); ok && d.spec.Kind != drain.Cordon {
			c.empty(m, d, look)
		}
	}
	for _, d := range c.drains {
		c.standing(d, now)
	}
}

// engage finds the machines that a drain wants now.
func (c *Scheduler) engage(d *drainWork, wanted map[*fleet.Machine]*drainWork, now time.Time) {
	if d.spec.Kind != drain.Upgrade {
		for _, m := range c.fleet.Sorted() {
			if !m.Returning && (!m.LeaseExpired || c.awaits(m, now)) && d.spec.Selects(drainView(m, now)) && better(d, wanted[m]) {
				wanted[m] = d
			}
		}
		return
	}
	known := map[offer][]string{}
	all := c.candidates(d, known, now)
	if d.state.Roll == nil {
		r := drain.Begin(&d.spec, all)
		d.state.Roll = &r
	}
	was := d.state.Roll.Back
	d.state.Roll.Judge(all)
	if d.state.Roll.Back && !was {
		slog.Warn("upgrade is rolled back", "drain", d.spec.ID, "why", d.state.Roll.Why, "to", d.state.Roll.Want, "term", c.term)
	}
	zones, classes := map[string]int{}, map[string]int{}
	for _, m := range c.fleet.Sorted() {
		if m.Cordon != nil || wanted[m] != nil || !c.open(m, now) {
			continue
		}
		zones[m.Zone]++
		for _, class := range c.classesOf(m, known) {
			classes[class]++
		}
	}
	hand := d.state.Roll.Next(&d.spec, all, zones, classes, soakReports*c.set.HeartbeatInterval)
	slices.Sort(hand)
	d.state.Hand, d.state.Blocked = hand, d.state.Roll.Blocked
	for _, name := range hand {
		if m := c.fleet.Machines[name]; better(d, wanted[m]) {
			wanted[m] = d
		}
	}
}

// soakReports is for how many report intervals a machine with its new version counts as
// out of service until a task has completed there.
const soakReports = 5

// better says whether a drain goes before another that wants the same machine: one with a
// time to keep, then one that empties, then the older one.
func better(d, other *drainWork) bool {
	if other == nil {
		return true
	}
	if d.by.IsZero() != other.by.IsZero() {
		return !d.by.IsZero()
	}
	if !d.by.IsZero() && !d.by.Equal(other.by) {
		return d.by.Before(other.by)
	}
	return other.spec.Kind == drain.Cordon && d.spec.Kind != drain.Cordon
}

func (c *Scheduler) cordon(m *fleet.Machine, d *drainWork) {
	slog.Info("draining machine", "machine", m.Host, "drain", d.spec.ID, "kind", d.spec.Kind, "term", c.term)
	m.Cordon = d
	d.had[m.Host] = true
	m.Bin.SetOpen(false)
	c.unplan(m)
	c.dirty = true
}

// uncordon brings a machine back into service. What was told to stop still does.
func (c *Scheduler) uncordon(m *fleet.Machine, now time.Time) {
	slog.Info("machine is back in service", "machine", m.Host, "version", m.Version, "term", c.term)
	m.Cordon = nil
	m.EmptySince = now
	c.dirty = true
	c.opened = time.Time{}
}

// candidates are the machines that an upgrade means.
func (c *Scheduler) candidates(d *drainWork, known map[offer][]string, now time.Time) []drain.Candidate {
	var all []drain.Candidate
	hand := map[string]bool{}
	for _, name := range d.state.Hand {
		hand[name] = true
	}
	for _, m := range c.fleet.Sorted() {
		v := drainView(m, now)
		if !m.Up || m.LeaseExpired && !c.awaits(m, now) || m.Returning || !m.PreemptionAt.IsZero() || !d.spec.Selects(v) || d.after(m) {
			continue
		}
		x := drain.Candidate{
			Machine: v, Empty: m.Empty(), Up: m.Cordon == nil && c.open(m, now), Proven: m.Proven, Failed: m.Faulty, Classes: c.classesOf(m, known),
			// A new leader finds in hand what the one before had.
			InHand: m.Cordon == d || m.Cordon == nil && hand[m.Host],
		}
		if !m.VersionSince.IsZero() {
			x.Fresh = now.Sub(m.VersionSince)
		}
		for _, a := range m.Attempts() {
			if j := c.jobOf(a); j != nil && a.State() != fleet.Ended {
				x.Cost += time.Duration(c.remaining(j, a, now) * float64(time.Second))
			}
		}
		all = append(all, x)
	}
	return all
}

// classesOf lists the classes of open jobs that may run on a machine; machines of a type,
// zone and kind share the answer of one look, which known holds.
func (c *Scheduler) classesOf(m *fleet.Machine, known map[offer][]string) []string {
	o := offer{m.Type, m.Zone, m.Spot}
	if list, ok := known[o]; ok {
		return list
	}
	seen := map[string]bool{}
	for _, j := range c.sorted {
		if !seen[j.Class] && j.permits(m.Type, m.Zone, m.Spot) && c.capacity(m.Type).Fits(j.req) {
			seen[j.Class] = true
		}
	}
	known[o] = slices.Sorted(maps.Keys(seen))
	return known[o]
}

// task is what a decision about an attempt depends on, but for where else it could go.
func (c *Scheduler) task(j *Job, a *fleet.Attempt, now time.Time) drain.Task {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	_, ran := a.Durations(now)
	t := drain.Task{
		Running: a.State() == fleet.Running, Waiting: a.State() == fleet.Waiting || a.State() == fleet.Pulling && j.Shape == records.ShapeGang,
		Stopping: a.Stopping(), Group: j.Shape == records.ShapeGang, Service: j.Shape == records.ShapeService,
		Urgent: j.terms.Rank <= prioRank[records.PriorityUrgent], Remaining: seconds(c.remaining(j, a, now)),
		Ran: ran, Saves: j.CheckpointS > 0, Save: seconds(j.SaveS), Restart: c.set.HeartbeatInterval + c.fetch(j),
	}
	if t.Service {
		t.Remaining = 0
		for _, o := range j.held {
			if o != a && o.State() == fleet.Running && !o.Stopping() && o.Machine.Cordon == nil {
				t.Others++
			}
		}
	}
	if slack, ok := c.slack(j, t.Remaining, now); ok {
		t.Slack = &slack
	}
	return t
}

// slack is how much time a job has beyond what a task of it still needs; false where
// nothing is due any more.
func (c *Scheduler) slack(j *Job, remaining time.Duration, now time.Time) (time.Duration, bool) {
	age := now.Sub(j.base)
	for _, t := range j.targets {
		if due := time.Duration(t * float64(time.Second)); age+remaining <= due {
			return due - age - remaining, true
		}
	}
	return 0, false
}

// empty does with each task of a machine what is decided about it.
func (c *Scheduler) empty(m *fleet.Machine, d *drainWork, look *places) {
	now := look.now
	var left *time.Duration
	if !d.by.IsZero() {
		l := d.by.Sub(now)
		left = &l
	}
	for _, a := range slices.Clone(m.Attempts()) {
		j := c.jobOf(a)
		if j == nil || a.Stopping() || a.State() == fleet.Ended || a.State() == fleet.Planned || a.State() == fleet.Sent || a.Duplicate {
			continue // on its way out, or not known well enough yet
		}
		if j.Shape == records.ShapeGang {
			c.emptyGang(j, left, look)
			continue
		}
		t := c.task(j, a, now)
		to, zones := (*fleet.Machine)(nil), c.bounds(j)
		if zones != nil {
			zones[m.Zone]-- // it leaves
		}
		if t.Place = drain.Nowhere; look.anywhere(j, zones) {
			if t.Place, to = drain.NotNow, look.room(j, zones); to != nil {
				t.Place = drain.Room
			}
		}
		dec := drain.Decide(t, left, c.set.HeartbeatInterval)
		if t.Service && left == nil {
			continue // replicas move in rounds, one of a job at a time
		}
		switch dec.Action {
		case drain.Wait:
			j.leaving++ // others are rented ahead where that is worth it
			j.staying = zones
		case drain.Move, drain.Lose:
			if to != nil {
				c.own(j, to, now)
			}
			c.leave(j, a, dec, now)
		}
	}
}

// leave stops a task for a drain's sake.
func (c *Scheduler) leave(j *Job, a *fleet.Attempt, dec drain.Decision, now time.Time) {
	slog.Info("task leaves its machine", "task", a.Task.String(), "machine", a.Machine.Host, "why", dec.Why, "lost_s", dec.Lost.Seconds(), "term", c.term)
	drainedTasks.Inc()
	grace := 0.0
	if j.CheckpointS > 0 {
		grace = j.SaveS
	}
	c.stop(a, whyDrained, grace, now)
}

// emptyGang decides about a gang as a whole, of which some tasks are on machines that are
// being emptied.
func (c *Scheduler) emptyGang(j *Job, left *time.Duration, look *places) {
	now := look.now
	if j.gangBroken {
		return
	}
	var leaving []*fleet.Attempt
	staying := map[string]int{}
	for _, a := range j.held {
		switch {
		case a.Stopping():
			return
		case c.empties(a.Machine):
			leaving = append(leaving, a)
		default:
			staying[a.Machine.Zone]++
		}
	}
	if len(leaving) == 0 {
		return
	}
	slices.SortFunc(leaving, func(a, b *fleet.Attempt) int { return cmp.Compare(a.Task.N, b.Task.N) })
	t := c.task(j, leaving[0], now)
	for _, a := range j.held {
		t.Waiting = t.Waiting || a.State() != fleet.Running
		_, ran := a.Durations(now)
		t.Ran = max(t.Ran, ran)
	}
	var to []*fleet.Machine
	if t.Place = drain.Nowhere; look.anywhere(j, staying) {
		t.Place = drain.NotNow
		if to = look.roomForAll(j, len(leaving), staying); len(to) == len(leaving) {
			t.Place = drain.Room
		} else if to = look.roomForAll(j, len(j.held), nil); len(to) == len(j.held) {
			t.Place = drain.Room // all of it, away from where the others could have stayed
		}
	}
	dec := drain.Decide(t, left, c.set.HeartbeatInterval)
	switch dec.Action {
	case drain.Wait:
		j.leaving += len(leaving)
		if j.OneZone || j.SpreadZones {
			j.staying = staying
		}
	case drain.Move, drain.Lose:
		slog.Info("gang leaves its machines", "job", j.ID, "why", dec.Why, "lost_s", dec.Lost.Seconds(), "term", c.term)
		c.breakGang(j, now)
		if t.Place == drain.Room {
			for _, m := range to {
				c.own(j, m, now)
			}
		}
	}
}

// drained counts what became of a task on a machine that was being emptied.
func drained(a *fleet.Attempt, now time.Time) {
	d, ok := a.Machine.Cordon.(*drainWork)
	if !ok || d.spec.Kind == drain.Cordon || a.State() == fleet.Sent {
		return
	}
	_, ran := a.Durations(now)
	seen := &d.state.Seen
	switch {
	case a.State() != fleet.Ended:
		seen.Vanished++
		if !isService(a) {
			seen.LostS += ran.Seconds()
		}
	case a.Cause == fleet.CauseDone:
		seen.Finish++
	case a.Saved || ran == 0 || isService(a):
		seen.Move++
	case a.Cause == fleet.CauseStopped, a.Cause == fleet.CauseMatesGone:
		seen.Lose++
		seen.LostS += ran.Seconds()
	}
}

// isService says whether an attempt is a replica: the time that it ran is of use however
// it ends.
func isService(a *fleet.Attempt) bool {
	j, ok := a.Job.(*Job)
	return ok && j.Shape == records.ShapeService
}

// standing works out how a drain stands, for people.
func (c *Scheduler) standing(d *drainWork, now time.Time) {
	s := &d.state
	if s.Phase == drain.Stopped || s.Over() && d.spec.Kind == drain.Upgrade && !d.spec.Stopped {
		return
	}
	s.Term = c.term
	if s.BeganMS == 0 && d.holds {
		s.BeganMS = now.UnixMilli()
		s.Plan = c.planOf(&d.spec, d, now, nil).All
	}
	left, have, want := 0, 0, 0
	for _, m := range c.fleet.Sorted() {
		if m.Cordon == d && !m.Empty() {
			left++
		}
		if d.spec.Kind == drain.Upgrade && m.Up && (!m.LeaseExpired || c.awaits(m, now)) && !m.Returning && d.spec.Selects(drainView(m, now)) && !d.after(m) && s.Roll != nil {
			if want++; m.Version == s.Roll.Want {
				have++
			}
		}
	}
	s.Seen.Machines = len(d.had)
	phase := s.Phase
	switch {
	case d.spec.Stopped:
		s.Phase, s.Left, s.Blocked, s.Hand = drain.Stopped, 0, "", nil
	case !d.holds:
		s.Phase, s.Left = drain.Waiting, 0
	case d.spec.Kind == drain.Upgrade && s.Roll.Back && s.Roll.From == "", d.spec.Kind == drain.Upgrade && s.Roll.Back && have == want && c.settled:
		s.Phase, s.Left, s.Hand = drain.RolledBack, want-have, nil
	case d.spec.Kind == drain.Upgrade && s.Roll.Back:
		s.Phase, s.Left = drain.RollingBack, want-have
	case d.spec.Kind == drain.Upgrade && have == want && (want > 0 || len(d.had) > 0) && c.settled && c.soaked(d, now):
		s.Phase, s.Left, s.Hand = drain.Done, 0, nil
	case d.spec.Kind == drain.Upgrade:
		s.Phase, s.Left = drain.Upgrading, want-have
	case left > 0 || !c.settled || d.spec.Kind == drain.Cordon:
		s.Phase, s.Left = drain.Draining, left
	default:
		if s.Seen.EmptyS == 0 && len(d.had) > 0 {
			s.Seen.EmptyS = max(now.Sub(time.UnixMilli(s.BeganMS)).Seconds(), 0.001)
		}
		s.Phase, s.Left = drain.Drained, 0
	}
	if s.Phase != phase {
		slog.Info("drain", "drain", d.spec.ID, "phase", s.Phase, "left", s.Left, "term", c.term)
		if s.Over() {
			s.EndedMS = now.UnixMilli()
		}
	}
}

// soaked says whether every machine with a new version has shown that it works, or had the
// time to.
func (c *Scheduler) soaked(d *drainWork, now time.Time) bool {
	for _, m := range c.fleet.Sorted() {
		if m.Version == d.state.Roll.Want && !m.VersionSince.IsZero() && !m.Proven && now.Sub(m.VersionSince) < soakReports*c.set.HeartbeatInterval {
			return false
		}
	}
	return true
}
