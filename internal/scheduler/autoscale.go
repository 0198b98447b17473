package scheduler

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/fleet"
	"drumpick/internal/overload"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// autoscalingState is the scale-out and scale-in state of a term.
type autoscalingState struct {
	planner    *autoscaler.Planner
	returns    *autoscaler.ReturnPolicy
	returnedAt map[string]time.Time // when machines were returned or lost, by name; the cloud may still list them
	lastListed map[string]time.Time // when the cloud last listed machines, or this term read their records, by name
	listRead   bool                 // the cloud's machine list has been read in this term
}

func newAutoscalingState(settings Settings) autoscalingState {
	return autoscalingState{
		planner:    autoscaler.NewPlanner(settings.CapacityBackoffStartups),
		returns:    autoscaler.NewReturnPolicy(settings.HeartbeatInterval, settings.Lease, settings.IdleStartups),
		returnedAt: map[string]time.Time{},
		lastListed: map[string]time.Time{},
	}
}

// catalog returns the machine types for the autoscaler.
func (s *Scheduler) catalog() autoscaler.Catalog {
	return autoscaler.Catalog{Types: s.machineTypes, Names: s.typesByPrice}
}

func (s *Scheduler) startupTime(machineType string) time.Duration {
	return s.catalog().StartupTime(machineType)
}

func (s *Scheduler) capacity(machineType string) packing.Resources {
	return s.catalog().Capacity(machineType)
}

// PlanRentals returns the rental requests to send now, and tracks them as in flight. It returns none
// while the cloud's list or the machine types are unknown, or while the leader sheds load.
func (s *Scheduler) PlanRentals(now time.Time) []autoscaler.RentalRequest {
	if !s.autoscaling.listRead || len(s.machineTypes) == 0 || s.overload.Level() > overload.Normal {
		return nil
	}
	requests := s.autoscaling.planner.Plan(autoscaler.PlanInput{
		Now:             now,
		Catalog:         s.catalog(),
		Fleet:           s.supply(now),
		Demand:          s.demand(now),
		RunningWork:     s.runningWork(now),
		ScaleOutBlocked: s.scaleOutBlocked,
		OutageSuspected: s.zoneHealth.Suspected,
		Headroom:        s.overload.ScaleOutHeadroom,
	})
	for i := range requests {
		term, seq := s.NextRentalNumbers()
		requests[i].Name = fmt.Sprintf("r-%d-%d", term, seq)
		s.autoscaling.planner.Track(requests[i])
	}
	return requests
}

// supply returns the machines of the fleet as input of a rental plan.
func (s *Scheduler) supply(now time.Time) []autoscaler.Machine {
	machines := make([]autoscaler.Machine, 0, len(s.fleet.Sorted()))
	for _, m := range s.fleet.Sorted() {
		// During a drain, tasks that have to leave their machines also count as demand. They
		// can move to empty machines that are up, so these count as vacant.
		emptyAndUp := s.drains.anyInForce && m.Empty() && s.acceptsTasks(m, now)
		machines = append(machines, autoscaler.Machine{
			Offer:     offerOf(m),
			InService: inService(m),
			Vacant:    (!m.HasStatus || emptyAndUp) && !m.Returning && !m.LeaseExpired,
			Capacity:  m.Bin.Capacity,
		})
	}
	return machines
}

// offerOf returns the offer under which a machine was rented.
func offerOf(m *fleet.Machine) autoscaler.Offer {
	return autoscaler.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}

// demand returns the tasks that need machines, by job in the order in which jobs are served: waiting
// tasks, and as many as block on-demand machines (tasksBlockingOnDemand).
func (s *Scheduler) demand(now time.Time) []autoscaler.Demand {
	var all []autoscaler.Demand
	for _, j := range s.queue(now) {
		if j.closed || j.closing || now.Before(j.retryAt) {
			continue
		}
		tasks := s.waitingWithinLimit(j) + s.tasksBlockingOnDemand(j, now)
		if tasks <= 0 {
			continue
		}
		all = append(all, autoscaler.Demand{
			Job:          j.ID,
			Tasks:        tasks,
			Request:      j.request,
			TaskSeconds:  j.EstimateS,
			Elastic:      j.Shape == records.ShapeArray,
			Urgent:       j.precedence.Rank <= priorityRank[records.PriorityUrgent] || j.guaranteed,
			WaitingSince: j.releasedAt,
			Constraints:  jobConstraints{j},
		})
	}
	return all
}

// jobConstraints implements autoscaler.Constraints for a job.
type jobConstraints struct{ job *Job }

// Permits reports whether the job may use machines of an offer.
func (c jobConstraints) Permits(o autoscaler.Offer) bool {
	return c.job.permits(o.Type, o.Zone, o.Spot)
}

// PermitsZone reports whether the job may use a zone, given the zones of its tasks that need not
// move.
func (c jobConstraints) PermitsZone(zone string) bool {
	return c.job.remainingByZone == nil || c.job.zoneAllowed(zone, c.job.remainingByZone)
}

// runningWork returns the remaining work of array tasks that occupy machines, in machine seconds by
// machine type.
func (s *Scheduler) runningWork(now time.Time) map[string]float64 {
	sum := map[string]float64{}
	for _, m := range s.fleet.Sorted() {
		for _, a := range m.Attempts() {
			if j := s.jobOf(a); j != nil && a.Item != nil && j.Shape == records.ShapeArray {
				sum[m.Type] += s.remainingSeconds(j, a, now) * m.Bin.Capacity.ShareWithStatus(a.Item.Request)
			}
		}
	}
	return sum
}

// MachinesRented adds the machines that the cloud granted for a rental request. If the cloud granted
// fewer than requested, the offer is backed off.
func (s *Scheduler) MachinesRented(r autoscaler.RentalRequest, names []string, now time.Time) {
	s.autoscaling.planner.Untrack(r)
	for _, name := range names {
		if _, returned := s.autoscaling.returnedAt[name]; returned || name == "" {
			continue
		}
		m := s.fleet.GetOrCreate(name, "", r.Type, r.Zone, r.Spot)
		m.Unverified = false
		if m.RequestedAt.IsZero() {
			m.RequestedAt = now
		}
		s.assignBin(m)
	}
	if len(names) < r.Count {
		s.autoscaling.planner.BackOff(r, s.startupTime(r.Type), now)
	}
	slog.Info("scale out", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "requested", r.Count, "machines", len(names), "term", s.term)
}

// RentalRefused records that the cloud refused a rental request. With noCapacity, the offer is backed
// off.
func (s *Scheduler) RentalRefused(r autoscaler.RentalRequest, noCapacity bool, now time.Time) {
	s.autoscaling.planner.Untrack(r)
	if noCapacity {
		s.autoscaling.planner.BackOff(r, s.startupTime(r.Type), now)
		slog.Info("scale out refused", "reason", "no capacity", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "term", s.term)
	}
}

// MachinesToReturn returns the names of the machines to return to the cloud now, at most
// autoscaler.MaxReturnNames, and marks the machines as returning: they get no new tasks.
func (s *Scheduler) MachinesToReturn(now time.Time) []string {
	s.observeSilence(now)
	conditions := returnConditions{s, now}
	var names []string
	for _, m := range s.fleet.Sorted() {
		if len(names) == autoscaler.MaxReturnNames {
			break
		}
		switch {
		case m.Returning:
			names = append(names, m.Name) // requested before; the cloud has not confirmed it yet
		case s.autoscaling.returns.ShouldReturn(m, s.catalog(), conditions, now):
			m.Returning = true
			m.Bin.SetOpen(false)
			names = append(names, m.Name)
			slog.Info("scale in", "machine", m.Name, "zone", m.Zone,
				"faulty", m.Faulty, "lease_expired", m.LeaseExpired, "up", m.HasStatus, "term", s.term)
		}
	}
	return names
}

// observeSilence passes the counts of silent and unreachable machines to the return policy, and
// checks for zone outages.
func (s *Scheduler) observeSilence(now time.Time) {
	var counts autoscaler.FleetCounts
	for _, m := range s.fleet.Sorted() {
		if !m.HasStatus {
			continue
		}
		counts.Up++
		if now.Sub(m.LastStatusAt) > 3*s.settings.HeartbeatInterval {
			counts.Silent++
		}
		if s.heartbeatOverdue(m, now) {
			counts.Overdue++
		}
		if m.Unreachable() {
			counts.Unreachable++
		}
	}
	s.observeZones(now)
	unreachableMachines.Set(float64(counts.Unreachable))
	counts.Inherited, counts.Unreconciled = s.fleet.CountInherited()
	s.autoscaling.returns.Observe(counts, s.zoneHealth.AnySuspected(), now)
}

// returnConditions implements autoscaler.ReturnConditions as of the time now.
type returnConditions struct {
	scheduler *Scheduler
	now       time.Time
}

// KeptForOperator reports whether the machine is empty and kept for an operator.
func (r returnConditions) KeptForOperator(m *fleet.Machine) bool {
	return r.scheduler.keptForOperator(m, r.now)
}

// WaitsForZone reports whether to wait for the recovery of the machine's zone rather than to replace
// the machine; startup is how long a replacement takes to start.
func (r returnConditions) WaitsForZone(m *fleet.Machine, startup time.Duration) bool {
	s := r.scheduler
	return s.zoneHealth.KeepWaiting(m.Zone, r.now.Sub(m.LastHeard()), startup, s.replaceableElsewhere(m, r.now), r.now)
}

// OutageSuspected reports whether a zone outage is suspected.
func (r returnConditions) OutageSuspected(zone string) bool {
	return r.scheduler.zoneHealth.Suspected(zone)
}

// ReturnsWhenEmpty reports whether a cordoned machine is returned once it is empty.
func (r returnConditions) ReturnsWhenEmpty(m *fleet.Machine) bool {
	return r.scheduler.returnsWhenEmpty(m)
}

// OnDemandShortage reports whether on-demand machines of a type were short recently.
func (r returnConditions) OnDemandShortage(machineType string) bool {
	return r.scheduler.recentShortage(machineType, r.now)
}

// Reconciled reports whether every machine of earlier terms has reported or is gone.
func (r returnConditions) Reconciled() bool { return r.scheduler.reconciled }

// isUnreachable reports whether the named machine is known and recent answers did not reach it.
func (s *Scheduler) isUnreachable(name string) bool {
	m := s.fleet.Machines[name]
	return m != nil && m.Unreachable()
}

// MachinesReturned removes machines whose return the cloud has confirmed.
func (s *Scheduler) MachinesReturned(names []string, now time.Time) {
	for _, name := range names {
		s.autoscaling.returnedAt[name] = now
		s.RemoveMachine(name, now)
	}
}

// ReconcileCloudList reconciles the fleet with the cloud's machine list, which was requested at
// requestedAt.
func (s *Scheduler) ReconcileCloudList(list []autoscaler.CloudMachine, requestedAt, now time.Time) {
	s.autoscaling.listRead = true
	listed := map[string]bool{}
	for i := range list {
		entry := &list[i]
		listed[entry.Machine] = true
		s.autoscaling.lastListed[entry.Machine] = now
		if _, returned := s.autoscaling.returnedAt[entry.Machine]; returned {
			continue
		}
		if entry.Status == autoscaler.StatusFailed {
			s.machineFailed(entry, now)
		} else {
			s.reconcileListedMachine(entry, requestedAt, now)
		}
	}
	s.removeUnlisted(listed, requestedAt, now)
	s.forgetReturned(listed, now)
}

// machineFailed handles a machine that the cloud lists as failed: its attempts are lost, and its
// lease counts as expired.
func (s *Scheduler) machineFailed(entry *autoscaler.CloudMachine, now time.Time) {
	m := s.fleet.Machines[entry.Machine]
	if m == nil {
		m = s.fleet.GetOrCreate(entry.Machine, entry.Addr, entry.Type, entry.Zone, entry.Spot)
		m.LeaseExpired, m.Reconciled, m.Failed = true, true, true
		return
	}
	if m.LeaseExpired {
		return
	}
	slog.Info("machine failed", "machine", m.Name, "zone", m.Zone, "term", s.term)
	for _, a := range slices.Clone(m.Attempts()) {
		m.Forget(a)
		if a.State() != fleet.Ended {
			s.handleLostAttempt(a, now)
		}
	}
	m.LeaseExpired, m.Reconciled, m.Failed = true, true, true
	if !s.reconciled {
		s.CheckReconciled(now)
	}
}

// reconcileListedMachine adds or updates a machine from its entry in the cloud's list.
func (s *Scheduler) reconcileListedMachine(entry *autoscaler.CloudMachine, requestedAt, now time.Time) {
	m := s.fleet.Machines[entry.Machine]
	if m == nil {
		m = s.fleet.GetOrCreate(entry.Machine, entry.Addr, entry.Type, entry.Zone, entry.Spot)
		slog.Warn("unknown machine in the cloud's list", "machine", entry.Machine, "zone", entry.Zone, "status", entry.Status, "term", s.term)
		s.assignBin(m)
	}
	if m.Addr == "" {
		m.Addr = entry.Addr
	}
	// Early in a term the list may still contain a machine that an earlier leader returned.
	mayBeReturned := requestedAt.Sub(s.termStart) <= 2*s.settings.ListLag
	switch {
	case !mayBeReturned:
		m.Unverified = false
	case !m.HasStatus && !m.Inherited && m.RequestedAt.IsZero():
		m.Unverified = true
	}
	if m.RequestedAt.IsZero() {
		m.RequestedAt = now.Add(-time.Duration(entry.AgeS * float64(time.Second)))
	}
}

// removeUnlisted removes machines that the cloud no longer has. A list can be stale by up to twice
// the list lag at the time of its request. A machine that is missing from it is gone if it was last
// listed before that time, with a margin of half a list lag and a quarter of a heartbeat interval.
// A machine without an entry in lastListed is kept.
func (s *Scheduler) removeUnlisted(listed map[string]bool, requestedAt, now time.Time) {
	lag := s.settings.ListLag*5/2 + s.settings.HeartbeatInterval/4
	for _, m := range s.fleet.Sorted() {
		last, known := s.autoscaling.lastListed[m.Name]
		if !known || listed[m.Name] || requestedAt.Sub(last) <= lag {
			continue
		}
		slog.Info("machine lost", "machine", m.Name, "zone", m.Zone, "reason", "not in the cloud's list", "term", s.term)
		s.autoscaling.returnedAt[m.Name] = now
		s.RemoveMachine(m.Name, now)
	}
}

// forgetReturned forgets the names of returned machines that the cloud no longer lists, once their
// last delayed heartbeats must have arrived. Until then the name shows that such a heartbeat is
// late: names are never reused.
func (s *Scheduler) forgetReturned(listed map[string]bool, now time.Time) {
	retention := max(20*(s.settings.ListLag+s.settings.HeartbeatInterval), fleet.LateCopyLeases*s.settings.Lease)
	for name, returnedAt := range s.autoscaling.returnedAt {
		if now.Sub(returnedAt) > retention && !listed[name] {
			delete(s.autoscaling.returnedAt, name)
			delete(s.autoscaling.lastListed, name)
		}
	}
}
