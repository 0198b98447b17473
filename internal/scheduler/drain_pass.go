package scheduler

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// soakIntervals is the number of heartbeat intervals for which an upgraded machine counts as out of
// service unless a task completes on it earlier.
const soakIntervals = 5

// runDrains runs one pass over all drains: it cordons and uncordons machines, evicts tasks and updates
// the states of the drains.
func (s *Scheduler) runDrains(now time.Time) {
	s.drains.lastPass, s.drains.anyInForce = now, false
	s.refreshOpenBins(now)
	s.cordonSelected(s.assignDrains(now), now)
	for _, j := range s.queue(now) {
		if j.Shape != records.ShapeService {
			j.relocatingTasks, j.remainingByZone = 0, nil
		}
	}
	finder := &placeFinder{scheduler: s, now: now, noRoom: map[int]bool{}, allowed: map[*Job]bool{}, zoneCounts: map[*Job]map[string]int{}}
	for _, m := range s.fleet.Sorted() {
		if d, ok := m.Cordon.(*activeDrain); ok && d.evictsTasks() {
			s.drainMachine(m, d, finder)
		}
	}
	for _, d := range s.drains.list {
		s.updateDrainState(d, now)
	}
}

// assignDrains updates which drains are in force. It returns the drain of each machine that at
// least one of them selects.
func (s *Scheduler) assignDrains(now time.Time) map[*fleet.Machine]*activeDrain {
	selected := map[*fleet.Machine]*activeDrain{}
	for _, d := range s.drains.list {
		d.updateInForce(now)
		s.drains.anyInForce = s.drains.anyInForce || d.inForce && !d.state.Closed()
		switch {
		case !d.inForce:
		case d.spec.Kind != drain.KindUpgrade:
			s.selectForDrain(d, selected, now)
		case !d.state.Closed():
			s.selectForUpgrade(d, selected, now)
		}
	}
	return selected
}

// selectForDrain adds the machines of a drain other than an upgrade to selected.
func (s *Scheduler) selectForDrain(d *activeDrain, selected map[*fleet.Machine]*activeDrain, now time.Time) {
	for _, m := range s.fleet.Sorted() {
		eligible := !m.Returning && (!m.LeaseExpired || s.keptForOperator(m, now))
		if eligible && d.spec.Selects(toDrainMachine(m, now)) && d.takesPrecedence(selected[m]) {
			selected[m] = d
		}
	}
}

// selectForUpgrade updates the rollout of an upgrade, and adds the machines that it may take out of
// service now to selected.
func (s *Scheduler) selectForUpgrade(d *activeDrain, selected map[*fleet.Machine]*activeDrain, now time.Time) {
	classes := map[autoscaler.Offer][]string{}
	candidates := s.upgradeCandidates(d, classes, now)
	if d.state.Rollout == nil {
		r := drain.NewRollout(&d.spec, candidates)
		d.state.Rollout = &r
	}
	rollout := d.state.Rollout
	wasRolledBack := rollout.RolledBack
	rollout.DecideRollback(candidates)
	if rollout.RolledBack && !wasRolledBack {
		slog.Warn("upgrade rolled back", "drain", d.spec.ID, "reason", rollout.Reason, "version", rollout.Target, "term", s.term)
	}
	inServiceByZone, inServiceByClass := map[string]int{}, map[string]int{}
	for _, m := range s.fleet.Sorted() {
		if m.Cordon != nil || selected[m] != nil || !s.acceptsTasks(m, now) {
			continue
		}
		inServiceByZone[m.Zone]++
		for _, class := range s.classesOf(m, classes) {
			inServiceByClass[class]++
		}
	}
	names := rollout.SelectOutOfService(&d.spec, candidates, inServiceByZone, inServiceByClass, soakIntervals*s.settings.HeartbeatInterval)
	slices.Sort(names)
	d.state.OutOfService, d.state.Blocked = names, rollout.Blocked
	for _, name := range names {
		if m := s.fleet.Machines[name]; d.takesPrecedence(selected[m]) {
			selected[m] = d
		}
	}
}

// cordonSelected cordons the selected machines and uncordons all others.
func (s *Scheduler) cordonSelected(selected map[*fleet.Machine]*activeDrain, now time.Time) {
	for _, m := range s.fleet.Sorted() {
		switch d := selected[m]; {
		case d == nil && m.Cordon != nil:
			s.uncordon(m, now)
		case d != nil && m.Cordon != d:
			s.cordon(m, d)
		}
	}
}

func (s *Scheduler) cordon(m *fleet.Machine, d *activeDrain) {
	slog.Info("machine cordoned", "machine", m.Name, "drain", d.spec.ID, "kind", d.spec.Kind, "term", s.term)
	m.Cordon = d
	d.everCordoned[m.Name] = true
	m.Bin.SetOpen(false)
	s.cancelPlanned(m)
	s.placementStale = true
}

// uncordon puts a machine back into service. Stops already requested stay in effect.
func (s *Scheduler) uncordon(m *fleet.Machine, now time.Time) {
	slog.Info("machine uncordoned", "machine", m.Name, "version", m.Version, "term", s.term)
	m.Cordon = nil
	m.EmptySince = now
	s.placementStale = true
	s.lastBinRefresh = time.Time{}
}

// upgradeCandidates returns the machines to which an upgrade applies, without those that the cloud is
// about to preempt. classes caches the results of classesOf.
func (s *Scheduler) upgradeCandidates(d *activeDrain, classes map[autoscaler.Offer][]string, now time.Time) []drain.Candidate {
	var candidates []drain.Candidate
	outOfService := map[string]bool{}
	for _, name := range d.state.OutOfService {
		outOfService[name] = true
	}
	for _, m := range s.fleet.Sorted() {
		view := toDrainMachine(m, now)
		if !s.upgradeApplies(d, m, view, now) || !m.PreemptionAt.IsZero() {
			continue
		}
		c := drain.Candidate{
			Machine:          view,
			Empty:            m.Empty(),
			InService:        m.Cordon == nil && s.acceptsTasks(m, now),
			HasCompletedTask: m.HasCompletedTask,
			Faulty:           m.Faulty,
			Classes:          s.classesOf(m, classes),
			// After a failover the stored state shows which machines were out of service.
			OutOfService: m.Cordon == d || m.Cordon == nil && outOfService[m.Name],
		}
		if !m.VersionSince.IsZero() {
			c.VersionAge = now.Sub(m.VersionSince)
		}
		for _, a := range m.Attempts() {
			if j := s.jobOf(a); j != nil && a.State() != fleet.Ended {
				c.Cost += time.Duration(s.remainingSeconds(j, a, now) * float64(time.Second))
			}
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// upgradeApplies reports whether a machine is available, selected by an upgrade and not its
// replacement.
func (s *Scheduler) upgradeApplies(d *activeDrain, m *fleet.Machine, view drain.Machine, now time.Time) bool {
	return m.HasStatus && (!m.LeaseExpired || s.keptForOperator(m, now)) && !m.Returning && d.spec.Selects(view) && !d.isReplacement(m)
}

// classesOf returns the classes of open jobs that may run on a machine, sorted. Machines of one offer
// share the result, which classes caches for one pass.
func (s *Scheduler) classesOf(m *fleet.Machine, classes map[autoscaler.Offer][]string) []string {
	o := offerOf(m)
	if list, ok := classes[o]; ok {
		return list
	}
	seen := map[string]bool{}
	for _, j := range s.sortedJobs {
		if !seen[j.Class] && j.permits(m.Type, m.Zone, m.Spot) && s.capacity(m.Type).Fits(j.request) {
			seen[j.Class] = true
		}
	}
	classes[o] = slices.Sorted(maps.Keys(seen))
	return classes[o]
}
