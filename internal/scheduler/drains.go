package scheduler

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// activeDrain is what operators asked for and how it stands. Which machines it has is on the
// machines themselves; a new leader works it out again.
type activeDrain struct {
	spec      drain.Spec
	state     drain.State
	stored    drain.State // as the store has it
	known     bool        // the store has a state
	revision  uint64      // at that revision; 0: none
	writtenAt time.Time
	holds     bool
	deadline  time.Time
	machines  map[string]bool // machines that it has, or had until they were gone
}

func (d *activeDrain) upgrades() bool {
	return d.holds && d.spec.Kind == drain.Upgrade && d.state.Rollout != nil && !d.state.Closed()
}

// isReplacement says whether a machine was rented for one that an upgrade gave back. It has the
// version that the cloud gives; to replace it again, for as long as that is not the wanted
// one, would never end.
func (d *activeDrain) isReplacement(m *fleet.Machine) bool {
	return d.spec.WhenEmpty == drain.Return && !m.RequestedAt.IsZero() && m.RequestedAt.After(time.UnixMilli(d.spec.BeganMS))
}

// SetDrain takes in what operators asked for, as it is on record; state is nil where there
// is none of it yet.
func (s *Scheduler) SetDrain(spec drain.Spec, state *drain.State, stamp uint64) {
	i, found := slices.BinarySearchFunc(s.drains, spec.ID, func(d *activeDrain, id string) int { return strings.Compare(d.spec.ID, id) })
	if !found {
		d := &activeDrain{machines: map[string]bool{}}
		if state != nil {
			d.state, d.stored, d.known, d.revision = *state, *state, true, stamp
			for _, name := range state.OutOfService {
				d.machines[name] = true
			}
		}
		s.drains = slices.Insert(s.drains, i, d)
	}
	s.drains[i].spec = spec
	s.lastDrainPass = time.Time{}
}

// RemoveDrain forgets a drain whose record is gone.
func (s *Scheduler) RemoveDrain(id string) {
	s.drains = slices.DeleteFunc(s.drains, func(d *activeDrain) bool {
		if d.spec.ID != id {
			return false
		}
		for _, m := range s.fleet.Sorted() {
			if m.Cordon == d {
				s.uncordon(m, time.Time{})
			}
		}
		return true
	})
}

// drainView is what a drain sees of a machine.
func drainView(m *fleet.Machine, now time.Time) drain.Machine {
	v := drain.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Version: m.Version}
	if !m.RequestedAt.IsZero() && !now.IsZero() {
		v.Age = now.Sub(m.RequestedAt)
	}
	return v
}

// barredByDrain says whether no machine of a type is to be rented in a zone: it would be drained.
func (s *Scheduler) barredByDrain(typ, zone string) bool {
	return slices.ContainsFunc(s.drains, func(d *activeDrain) bool { return d.holds && d.spec.BarsScaleOut(typ, zone) })
}

// isEmptying says whether a machine is being emptied for an operator.
func (s *Scheduler) isEmptying(m *fleet.Machine) bool {
	d, ok := m.Cordon.(*activeDrain)
	return ok && d.spec.Kind != drain.Cordon
}

// awaitedByOperator says whether a machine is empty and kept for an operator, who may well have switched
// it off: then its silence is no reason to give it back, for a long time.
func (s *Scheduler) awaitedByOperator(m *fleet.Machine, now time.Time) bool {
	d, ok := m.Cordon.(*activeDrain)
	return ok && d.spec.Kind != drain.Cordon && d.spec.WhenEmpty == drain.Keep && m.Reconciled && !m.Failed && m.Empty() &&
		now.Sub(m.LastStatus) < operatorWaitLeases*s.settings.Lease
}

// operatorWaitLeases is for how many leases a machine that is kept may be silent.
const operatorWaitLeases = 50

// returnsWhenEmpty says whether an empty cordoned machine is to be given back.
func (s *Scheduler) returnsWhenEmpty(m *fleet.Machine) bool {
	d, ok := m.Cordon.(*activeDrain)
	return ok && d.spec.Kind != drain.Cordon && d.spec.WhenEmpty == drain.Return
}

// runDrains brings machines into the state that operators asked for.
func (s *Scheduler) runDrains(now time.Time) {
	s.lastDrainPass, s.drainsActive = now, false
	s.refreshAccepting(now)
	wanted := map[*fleet.Machine]*activeDrain{}
	for _, d := range s.drains {
		d.holds, d.deadline, _ = d.spec.InForce(now)
		s.drainsActive = s.drainsActive || d.holds && !d.state.Closed()
		if d.holds && !d.state.Closed() || d.spec.Kind != drain.Upgrade && d.holds {
			s.selectForDrain(d, wanted, now)
		}
	}
	for _, m := range s.fleet.Sorted() {
		switch d := wanted[m]; {
		case d == nil && m.Cordon != nil:
			s.uncordon(m, now)
		case d != nil && m.Cordon != d:
			s.cordon(m, d)
		}
	}
	for _, j := range s.queue(now) {
		if j.Shape != records.ShapeService {
			j.relocating, j.remainingZones = 0, nil
		}
	}
	look := &placeFinder{scheduler: s, now: now, noRoom: map[int]bool{}, permits: map[*Job]bool{}}
	for _, m := range s.fleet.Sorted() {
		if d, ok := m.Cordon.(*activeDrain); ok && d.spec.Kind != drain.Cordon {
			s.emptyMachine(m, d, look)
		}
	}
	for _, d := range s.drains {
		s.standing(d, now)
	}
}

// selectForDrain finds the machines that a drain wants now.
func (s *Scheduler) selectForDrain(d *activeDrain, wanted map[*fleet.Machine]*activeDrain, now time.Time) {
	if d.spec.Kind != drain.Upgrade {
		for _, m := range s.fleet.Sorted() {
			if !m.Returning && (!m.LeaseExpired || s.awaitedByOperator(m, now)) && d.spec.Selects(drainView(m, now)) && takesPrecedence(d, wanted[m]) {
				wanted[m] = d
			}
		}
		return
	}
	known := map[autoscaler.Offer][]string{}
	all := s.candidates(d, known, now)
	if d.state.Rollout == nil {
		r := drain.NewRollout(&d.spec, all)
		d.state.Rollout = &r
	}
	was := d.state.Rollout.RolledBack
	d.state.Rollout.Judge(all)
	if d.state.Rollout.RolledBack && !was {
		slog.Warn("upgrade is rolled back", "drain", d.spec.ID, "why", d.state.Rollout.Reason, "to", d.state.Rollout.Target, "term", s.term)
	}
	zones, classes := map[string]int{}, map[string]int{}
	for _, m := range s.fleet.Sorted() {
		if m.Cordon != nil || wanted[m] != nil || !s.acceptsTasks(m, now) {
			continue
		}
		zones[m.Zone]++
		for _, class := range s.classesOf(m, known) {
			classes[class]++
		}
	}
	hand := d.state.Rollout.Next(&d.spec, all, zones, classes, soakIntervals*s.settings.HeartbeatInterval)
	slices.Sort(hand)
	d.state.OutOfService, d.state.Blocked = hand, d.state.Rollout.Blocked
	for _, name := range hand {
		if m := s.fleet.Machines[name]; takesPrecedence(d, wanted[m]) {
			wanted[m] = d
		}
	}
}

// soakIntervals is for how many report intervals a machine with its new version counts as
// out of service until a task has completed there.
const soakIntervals = 5

// takesPrecedence says whether a drain goes before another that wants the same machine: one with a
// time to keep, then one that empties, then the older one.
func takesPrecedence(d, other *activeDrain) bool {
	if other == nil {
		return true
	}
	if d.deadline.IsZero() != other.deadline.IsZero() {
		return !d.deadline.IsZero()
	}
	if !d.deadline.IsZero() && !d.deadline.Equal(other.deadline) {
		return d.deadline.Before(other.deadline)
	}
	return other.spec.Kind == drain.Cordon && d.spec.Kind != drain.Cordon
}

func (s *Scheduler) cordon(m *fleet.Machine, d *activeDrain) {
	slog.Info("draining machine", "machine", m.Name, "drain", d.spec.ID, "kind", d.spec.Kind, "term", s.term)
	m.Cordon = d
	d.machines[m.Name] = true
	m.Bin.SetOpen(false)
	s.cancelPlanned(m)
	s.placementStale = true
}

// uncordon brings a machine back into service. What was told to stop still does.
func (s *Scheduler) uncordon(m *fleet.Machine, now time.Time) {
	slog.Info("machine is back in service", "machine", m.Name, "version", m.Version, "term", s.term)
	m.Cordon = nil
	m.EmptySince = now
	s.placementStale = true
	s.lastReopen = time.Time{}
}

// candidates are the machines that an upgrade means.
func (s *Scheduler) candidates(d *activeDrain, known map[autoscaler.Offer][]string, now time.Time) []drain.Candidate {
	var all []drain.Candidate
	hand := map[string]bool{}
	for _, name := range d.state.OutOfService {
		hand[name] = true
	}
	for _, m := range s.fleet.Sorted() {
		v := drainView(m, now)
		if !m.Up || m.LeaseExpired && !s.awaitedByOperator(m, now) || m.Returning || !m.PreemptionAt.IsZero() || !d.spec.Selects(v) || d.isReplacement(m) {
			continue
		}
		x := drain.Candidate{
			Machine: v, Empty: m.Empty(), Up: m.Cordon == nil && s.acceptsTasks(m, now), Proven: m.Proven, Failed: m.Faulty, Classes: s.classesOf(m, known),
			// A new leader finds in hand what the one before had.
			OutOfService: m.Cordon == d || m.Cordon == nil && hand[m.Name],
		}
		if !m.VersionSince.IsZero() {
			x.VersionAge = now.Sub(m.VersionSince)
		}
		for _, a := range m.Attempts() {
			if j := s.jobOf(a); j != nil && a.State() != fleet.Ended {
				x.Cost += time.Duration(s.remainingSeconds(j, a, now) * float64(time.Second))
			}
		}
		all = append(all, x)
	}
	return all
}

// classesOf lists the classes of open jobs that may run on a machine; machines of a type,
// zone and kind share the answer of one look, which known holds.
func (s *Scheduler) classesOf(m *fleet.Machine, known map[autoscaler.Offer][]string) []string {
	o := offerOf(m)
	if list, ok := known[o]; ok {
		return list
	}
	seen := map[string]bool{}
	for _, j := range s.sortedJobs {
		if !seen[j.Class] && j.permits(m.Type, m.Zone, m.Spot) && s.capacity(m.Type).Fits(j.request) {
			seen[j.Class] = true
		}
	}
	known[o] = slices.Sorted(maps.Keys(seen))
	return known[o]
}

// drainTask is what a decision about an attempt depends on, but for where else it could go.
func (s *Scheduler) drainTask(j *Job, a *fleet.Attempt, now time.Time) drain.Task {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	_, ran := a.Durations(now)
	t := drain.Task{
		Running: a.State() == fleet.Running, Waiting: a.State() == fleet.Waiting || a.State() == fleet.Pulling && j.Shape == records.ShapeGang,
		Stopping: a.Stopping(), Gang: j.Shape == records.ShapeGang, Service: j.Shape == records.ShapeService,
		Urgent: j.urgency.Rank <= priorityRank[records.PriorityUrgent], Remaining: seconds(s.remainingSeconds(j, a, now)),
		Ran: ran, Saves: j.CheckpointS > 0, SaveDuration: seconds(j.SaveS), RestartDuration: s.settings.HeartbeatInterval + s.fetchTime(j),
	}
	if t.Service {
		t.Remaining = 0
		for _, o := range j.attempts {
			if o != a && o.State() == fleet.Running && !o.Stopping() && o.Machine.Cordon == nil {
				t.OtherReplicas++
			}
		}
	}
	if slack, ok := s.slack(j, t.Remaining, now); ok {
		t.Slack = &slack
	}
	return t
}

// slack is how much time a job has beyond what a task of it still needs; false where
// nothing is due any more.
func (s *Scheduler) slack(j *Job, remaining time.Duration, now time.Time) (time.Duration, bool) {
	age := now.Sub(j.releasedAt)
	for _, t := range j.targets {
		if due := time.Duration(t * float64(time.Second)); age+remaining <= due {
			return due - age - remaining, true
		}
	}
	return 0, false
}

// emptyMachine does with each task of a machine what is decided about it.
func (s *Scheduler) emptyMachine(m *fleet.Machine, d *activeDrain, look *placeFinder) {
	now := look.now
	var left *time.Duration
	if !d.deadline.IsZero() {
		l := d.deadline.Sub(now)
		left = &l
	}
	for _, a := range slices.Clone(m.Attempts()) {
		j := s.jobOf(a)
		if j == nil || a.Stopping() || a.State() == fleet.Ended || a.State() == fleet.Planned || a.State() == fleet.Sent || a.Duplicate {
			continue // on its way out, or not known well enough yet
		}
		if j.Shape == records.ShapeGang {
			s.emptyGang(j, left, look)
			continue
		}
		t := s.drainTask(j, a, now)
		to, zones := (*fleet.Machine)(nil), s.zoneCounts(j)
		if zones != nil {
			zones[m.Zone]-- // it leaves
		}
		if t.Place = drain.Nowhere; look.allowedAnywhere(j, zones) {
			if t.Place, to = drain.NotNow, look.findRoom(j, zones); to != nil {
				t.Place = drain.Room
			}
		}
		dec := drain.Decide(t, left, s.settings.HeartbeatInterval)
		if t.Service && left == nil {
			continue // replicas move in rounds, one of a job at a time
		}
		switch dec.Action {
		case drain.Wait:
			j.relocating++ // others are rented ahead where that is worth it
			j.remainingZones = zones
		case drain.Move, drain.Restart:
			if to != nil {
				s.addClaim(j, to, now)
			}
			s.stopForDrain(j, a, dec, now)
		}
	}
}

// stopForDrain stops a task for a drain's sake.
func (s *Scheduler) stopForDrain(j *Job, a *fleet.Attempt, dec drain.Decision, now time.Time) {
	slog.Info("task leaves its machine", "task", a.Task.String(), "machine", a.Machine.Name, "why", dec.Reason, "lost_s", dec.Lost.Seconds(), "term", s.term)
	drainedTasks.Inc()
	grace := 0.0
	if j.CheckpointS > 0 {
		grace = j.SaveS
	}
	s.stop(a, stopDrained, grace, now)
}

// emptyGang decides about a gang as a whole, of which some tasks are on machines that are
// being emptied.
func (s *Scheduler) emptyGang(j *Job, left *time.Duration, look *placeFinder) {
	now := look.now
	if j.gangBroken {
		return
	}
	var leaving []*fleet.Attempt
	staying := map[string]int{}
	for _, a := range j.attempts {
		switch {
		case a.Stopping():
			return
		case s.isEmptying(a.Machine):
			leaving = append(leaving, a)
		default:
			staying[a.Machine.Zone]++
		}
	}
	if len(leaving) == 0 {
		return
	}
	slices.SortFunc(leaving, func(a, b *fleet.Attempt) int { return cmp.Compare(a.Task.N, b.Task.N) })
	t := s.drainTask(j, leaving[0], now)
	for _, a := range j.attempts {
		t.Waiting = t.Waiting || a.State() != fleet.Running
		_, ran := a.Durations(now)
		t.Ran = max(t.Ran, ran)
	}
	var to []*fleet.Machine
	if t.Place = drain.Nowhere; look.allowedAnywhere(j, staying) {
		t.Place = drain.NotNow
		if to = look.findRoomForAll(j, len(leaving), staying); len(to) == len(leaving) {
			t.Place = drain.Room
		} else if to = look.findRoomForAll(j, len(j.attempts), nil); len(to) == len(j.attempts) {
			t.Place = drain.Room // all of it, away from where the others could have stayed
		}
	}
	dec := drain.Decide(t, left, s.settings.HeartbeatInterval)
	switch dec.Action {
	case drain.Wait:
		j.relocating += len(leaving)
		if j.OneZone || j.SpreadZones {
			j.remainingZones = staying
		}
	case drain.Move, drain.Restart:
		slog.Info("gang leaves its machines", "job", j.ID, "why", dec.Reason, "lost_s", dec.Lost.Seconds(), "term", s.term)
		s.stopGang(j, now)
		if t.Place == drain.Room {
			for _, m := range to {
				s.addClaim(j, m, now)
			}
		}
	}
}

// drained counts what became of a task on a machine that was being emptied.
func drained(a *fleet.Attempt, now time.Time) {
	d, ok := a.Machine.Cordon.(*activeDrain)
	if !ok || d.spec.Kind == drain.Cordon || a.State() == fleet.Sent {
		return
	}
	_, ran := a.Durations(now)
	seen := &d.state.Actual
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
func (s *Scheduler) standing(d *activeDrain, now time.Time) {
	state := &d.state
	if state.Phase == drain.Stopped || state.Closed() && d.spec.Kind == drain.Upgrade && !d.spec.Stopped {
		return
	}
	state.Term = s.term
	if state.BeganMS == 0 && d.holds {
		state.BeganMS = now.UnixMilli()
		state.Plan = s.planOf(&d.spec, d, now, nil).All
	}
	left, have, want := 0, 0, 0
	for _, m := range s.fleet.Sorted() {
		if m.Cordon == d && !m.Empty() {
			left++
		}
		if d.spec.Kind == drain.Upgrade && m.Up && (!m.LeaseExpired || s.awaitedByOperator(m, now)) && !m.Returning && d.spec.Selects(drainView(m, now)) && !d.isReplacement(m) && state.Rollout != nil {
			if want++; m.Version == state.Rollout.Target {
				have++
			}
		}
	}
	state.Actual.Machines = len(d.machines)
	phase := state.Phase
	switch {
	case d.spec.Stopped:
		state.Phase, state.Left, state.Blocked, state.OutOfService = drain.Stopped, 0, "", nil
	case !d.holds:
		state.Phase, state.Left = drain.Waiting, 0
	case d.spec.Kind == drain.Upgrade && state.Rollout.RolledBack && state.Rollout.From == "", d.spec.Kind == drain.Upgrade && state.Rollout.RolledBack && have == want && s.reconciled:
		state.Phase, state.Left, state.OutOfService = drain.RolledBack, want-have, nil
	case d.spec.Kind == drain.Upgrade && state.Rollout.RolledBack:
		state.Phase, state.Left = drain.RollingBack, want-have
	case d.spec.Kind == drain.Upgrade && have == want && (want > 0 || len(d.machines) > 0) && s.reconciled && s.soaked(d, now):
		state.Phase, state.Left, state.OutOfService = drain.Done, 0, nil
	case d.spec.Kind == drain.Upgrade:
		state.Phase, state.Left = drain.Upgrading, want-have
	case left > 0 || !s.reconciled || d.spec.Kind == drain.Cordon:
		state.Phase, state.Left = drain.Draining, left
	default:
		if state.Actual.EmptyS == 0 && len(d.machines) > 0 {
			state.Actual.EmptyS = max(now.Sub(time.UnixMilli(state.BeganMS)).Seconds(), 0.001)
		}
		state.Phase, state.Left = drain.Drained, 0
	}
	if state.Phase != phase {
		slog.Info("drain", "drain", d.spec.ID, "phase", state.Phase, "left", state.Left, "term", s.term)
		if state.Closed() {
			state.EndedMS = now.UnixMilli()
		}
	}
}

// soaked says whether every machine with a new version has shown that it works, or had the
// time to.
func (s *Scheduler) soaked(d *activeDrain, now time.Time) bool {
	for _, m := range s.fleet.Sorted() {
		if m.Version == d.state.Rollout.Target && !m.VersionSince.IsZero() && !m.Proven && now.Sub(m.VersionSince) < soakIntervals*s.settings.HeartbeatInterval {
			return false
		}
	}
	return true
}
