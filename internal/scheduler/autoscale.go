package scheduler

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/fleet"
	"drumpick/internal/overload"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

type machineOffer struct {
	machineType, zone string
	spot              bool
}

type autoscalingState struct {
	refusedUntil map[machineOffer]time.Time
	inflight     map[string]autoscaler.RentalRequest
	returnedAt   map[string]time.Time // given back: may still be listed for a while
	lastListed   map[string]time.Time // until when it is known to have been listed, or up
	listRead     bool                 // a list has been read under this term
}

func newAutoscalingState() autoscalingState {
	return autoscalingState{
		refusedUntil: map[machineOffer]time.Time{}, inflight: map[string]autoscaler.RentalRequest{},
		returnedAt: map[string]time.Time{}, lastListed: map[string]time.Time{},
	}
}

// maxNewMachines bounds the work of one rental plan, in machines. It does not bound the fleet: what
// a plan leaves out the next one counts, a quarter of a report interval later, beside what was
// asked for by then. It lies above the largest fleet that one leader was seen to carry, so that
// a fleet for all that waits is planned in one look and no type or zone waits for another.
const maxNewMachines = 200 * autoscaler.MaxRentCount

func (s *Scheduler) startupTime(typ string) time.Duration {
	return time.Duration(s.types[typ].StartupS * float64(time.Second))
}

func (s *Scheduler) capacity(typ string) packing.Resources {
	t := s.types[typ]
	return packing.Resources{CPU: t.CPUs, GPU: t.GPUs, Mem: t.MemGB}
}

// rentalPlan is one look at what to rent.
type rentalPlan struct {
	spaces         map[string]*packing.Space // machines that are booting or asked for, and new ones with room
	machinesInZone map[string]int            // machines by zone
	newMachines    map[machineOffer]int      // new machines
	urgentMachines map[machineOffer]int      // of these, those that do not depend on how much work there is
	machineSeconds map[string]float64        // machine seconds of waiting work by type
	opened         int
}

func (p *rentalPlan) addBin(o machineOffer, capacity packing.Resources) *packing.Bin {
	b := packing.NewBin("", capacity)
	b.Owner = o
	p.spaces[o.machineType].Add(b)
	return b
}

// PlanRentals tells what to rent now: the new bins that the packing would open for
// what waits, less what is booting, and no more than the work can keep busy
// for about as long as a machine takes to start.
func (s *Scheduler) PlanRentals(now time.Time) []autoscaler.RentalRequest {
	if !s.autoscaling.listRead || len(s.types) == 0 || s.overload.Level() > overload.Normal {
		return nil
	}
	p := &rentalPlan{
		spaces: map[string]*packing.Space{}, machinesInZone: map[string]int{}, newMachines: map[machineOffer]int{},
		urgentMachines: map[machineOffer]int{}, machineSeconds: map[string]float64{},
	}
	for _, n := range s.typeNames {
		p.spaces[n] = &packing.Space{NoFirstFit: true}
	}
	have := map[string]int{} // machines by type that take work now or soon
	for _, m := range s.fleet.Sorted() {
		p.machinesInZone[m.Zone]++
		if inService(m) {
			have[m.Type]++
		}
		// While machines are drained, tasks that are to leave them wait for room as well;
		// what is up and empty is for them, and no reason to rent more.
		free := s.drainsActive && m.Empty() && s.acceptsTasks(m, now)
		if (!m.Up || free) && !m.Returning && !m.LeaseExpired && p.spaces[m.Type] != nil {
			p.addBin(machineOffer{m.Type, m.Zone, m.Spot}, s.capacity(m.Type))
		}
	}
	// One request at a time for each type, zone and kind: what one is refused, the
	// next would be refused as well, and the cloud takes few calls.
	asked := map[machineOffer]bool{}
	for _, r := range s.autoscaling.inflight {
		asked[machineOffer{r.Type, r.Zone, r.Spot}] = true
		for range r.Count {
			p.addBin(machineOffer{r.Type, r.Zone, r.Spot}, s.capacity(r.Type))
		}
		p.machinesInZone[r.Zone] += r.Count
		have[r.Type] += r.Count
	}
	for _, j := range s.queue(now) {
		if !j.closed && !j.closing && !now.Before(j.retryAt) {
			s.planJob(p, j, s.waitingWithinLimit(j)+s.displaced(j, now), now)
		}
	}
	offers := make([]machineOffer, 0, len(p.newMachines))
	for o := range p.newMachines {
		offers = append(offers, o)
	}
	sort.Slice(offers, func(a, b int) bool {
		if offers[a].spot != offers[b].spot {
			return offers[a].spot // cheap ones first: the others only for what these leave
		}
		return fmt.Sprint(offers[a]) < fmt.Sprint(offers[b])
	})
	running := s.runningWork(now)
	var reqs []autoscaler.RentalRequest
	for _, o := range offers {
		n := p.newMachines[o]
		// Work that the machines at hand will soon have done needs no others.
		if work := p.machineSeconds[o.machineType] + running[o.machineType]; work < math.Inf(1) {
			horizon := max(s.startupTime(o.machineType).Seconds(), 1) * s.rentalHorizon(o)
			most := int(math.Ceil(work/horizon)) - have[o.machineType]
			n = min(n, max(most, p.urgentMachines[o]))
		}
		all := 0
		for _, k := range have {
			all += k
		}
		n = s.overload.ScaleOutHeadroom(all, n)
		have[o.machineType] += max(n, 0)
		if n <= 0 || asked[o] {
			continue
		}
		term, seq := s.NextRequestName()
		r := autoscaler.RentalRequest{Name: fmt.Sprintf("r-%d-%d", term, seq), Type: o.machineType, Zone: o.zone, Spot: o.spot, Count: min(n, autoscaler.MaxRentCount)}
		s.autoscaling.inflight[r.Name] = r
		reqs = append(reqs, r)
	}
	return reqs
}

// anyPermits says whether a machine at hand, or about to be rented, may take the
// job's tasks at all.
func (s *Scheduler) anyPermits(j *Job, counts map[machineOffer]int) bool {
	for _, m := range s.fleet.Sorted() {
		if inService(m) && j.permits(m.Type, m.Zone, m.Spot) && m.Bin.Capacity.Fits(j.request) {
			return true
		}
	}
	for o := range counts {
		if j.permits(o.machineType, o.zone, o.spot) {
			return true
		}
	}
	for _, r := range s.autoscaling.inflight {
		if j.permits(r.Type, r.Zone, r.Spot) {
			return true
		}
	}
	return false
}

// rentalHorizon is how long, in startup times, the machines at hand may take for all
// the work before others are rented. Where cheap machines of the kind exist, the
// ordinary ones are worth it only for longer work.
func (s *Scheduler) rentalHorizon(o machineOffer) float64 {
	if t := s.types[o.machineType]; !o.spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
		return onDemandHorizon
	}
	return spotHorizon
}

const (
	spotHorizon     = 1.0
	onDemandHorizon = 4.0
)

// runningWork is what running tasks still have before them, in machine seconds.
func (s *Scheduler) runningWork(now time.Time) map[string]float64 {
	sum := map[string]float64{}
	for _, m := range s.fleet.Sorted() {
		for _, a := range m.Attempts() {
			if j := s.jobOf(a); j != nil && a.Item != nil && j.Shape == records.ShapeArray {
				sum[m.Type] += s.remainingSeconds(j, a, now) * m.Bin.Capacity.Share(a.Item.Request)
			}
		}
	}
	return sum
}

// planJob packs n waiting tasks of a job into machines that are booting, and opens
// new bins for the rest, as many at once as hold nothing but these tasks.
func (s *Scheduler) planJob(p *rentalPlan, j *Job, n int, now time.Time) {
	it := func() *packing.Item { return &packing.Item{ID: j.ID, Request: j.request} }
	note := func(typ string, n int) {
		if j.Shape == records.ShapeArray {
			p.machineSeconds[typ] += float64(n) * j.EstimateS * s.capacity(typ).Share(j.request)
		} else {
			p.machineSeconds[typ] = math.Inf(1) // gangs and replicas need all their places
		}
	}
	ok := func(b *packing.Bin) bool {
		o := b.Owner.(machineOffer)
		return j.permits(o.machineType, o.zone, o.spot) && (j.remainingZones == nil || j.zoneAllowed(o.zone, j.remainingZones))
	}
	// What an empty machine holds of them, worked out once for a type in a row.
	of, most, takes := "", 0, false
next:
	for n > 0 {
		for _, name := range s.typeNames {
			if b, _, _ := p.spaces[name].Insert(it(), ok); b != nil {
				note(name, 1)
				n--
				continue next
			}
		}
		o, found := s.chooseOffer(p, j, now)
		if !found {
			return
		}
		if p.opened >= maxNewMachines {
			note(o.machineType, n) // more than one plan rents, but work all the same
			return
		}
		// Guards against a job that waits for ever because the machines at hand count as
		// enough, while none of them may or can take it.
		wait := time.Duration(float64(s.startupTime(o.machineType)) * onDemandHorizon)
		if j.urgency.Rank <= 1 || j.guaranteed || now.Sub(j.releasedAt) > wait || !s.anyPermits(j, p.newMachines) {
			p.urgentMachines[o]++
		}
		p.newMachines[o]++
		p.machinesInZone[o.zone]++
		p.opened++
		if o.machineType != of {
			of = o.machineType
			most, takes = itemsPerEmptyBin(s.capacity(of), j.request)
		}
		k := min(n, most)
		note(o.machineType, k)
		if n -= k; k < most || takes {
			b := p.addBin(o, s.capacity(o.machineType)) // it has room for others
			for range k {
				b.Add(it())
			}
		}
	}
}

// itemsPerEmptyBin tells how many items of a size a bin holds by the paper's combinations,
// and whether others may join them.
func itemsPerEmptyBin(capacity, req packing.Resources) (n int, takes bool) {
	b := packing.NewBin("", capacity)
	s := &packing.Space{NoFirstFit: true}
	s.Add(b)
	// What takes next to nothing never fills a machine: mostAlone will do.
	for n < maxItemsPerEmptyBin {
		if in, _, _ := s.Insert(&packing.Item{Request: req}, nil); in == nil {
			break
		}
		n++
	}
	return max(n, 1), b.AllowsJoin()
}

// maxItemsPerEmptyBin bounds for how many tasks it is tried whether an empty machine holds them. It does
// not bound machines or tasks: a machine that holds more has room left (takes), and the others
// are packed into it one by one.
const maxItemsPerEmptyBin = 100

// chooseOffer picks what to rent for a task: cheap machines where the job permits,
// by price for its share, in the zone that has the fewest, a dark one last.
func (s *Scheduler) chooseOffer(p *rentalPlan, j *Job, now time.Time) (machineOffer, bool) {
	var best machineOffer
	bestCost, bestCount, bestDark, found := 0.0, 0, false, false
	for _, name := range s.typeNames {
		t := s.types[name]
		if !s.capacity(name).Fits(j.request) {
			continue
		}
		for _, spot := range []bool{true, false} {
			price := t.Price
			if spot {
				if price = t.SpotPrice; price <= 0 {
					continue
				}
			}
			cost := price * s.capacity(name).Share(j.request)
			for _, z := range t.Zones {
				o := machineOffer{name, z, spot}
				if !j.permits(name, z, spot) || now.Before(s.autoscaling.refusedUntil[o]) || s.barredByDrain(name, z) || j.remainingZones != nil && !j.zoneAllowed(z, j.remainingZones) {
					continue
				}
				// What is rented in a dark zone is of use only when that is back.
				dark := s.zoneHealth.Suspected(z)
				if !found || bestDark && !dark || bestDark == dark && (cost < bestCost || cost == bestCost && p.machinesInZone[z] < bestCount) {
					best, bestCost, bestCount, bestDark, found = o, cost, p.machinesInZone[z], dark, true
				}
			}
		}
	}
	return best, found
}

// MachinesRented takes in the machines that a request brought.
func (s *Scheduler) MachinesRented(r autoscaler.RentalRequest, hosts []string, now time.Time) {
	delete(s.autoscaling.inflight, r.Name)
	for _, h := range hosts {
		if _, gone := s.autoscaling.returnedAt[h]; gone || h == "" {
			continue
		}
		m := s.fleet.GetOrCreate(h, "", r.Type, r.Zone, r.Spot)
		m.Unverified = false
		if m.RequestedAt.IsZero() {
			m.RequestedAt = now
		}
		s.assignBin(m)
	}
	if len(hosts) < r.Count {
		s.backOffOffer(r, now)
	}
	slog.Info("rented", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(hosts), "term", s.term)
}

// RentalRefused notes that a request brought nothing.
func (s *Scheduler) RentalRefused(r autoscaler.RentalRequest, noCapacity bool, now time.Time) {
	delete(s.autoscaling.inflight, r.Name)
	if noCapacity {
		s.backOffOffer(r, now)
		slog.Info("no capacity", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "term", s.term)
	}
}

func (s *Scheduler) backOffOffer(r autoscaler.RentalRequest, now time.Time) {
	pause := time.Duration(float64(s.startupTime(r.Type)) * s.settings.RefusedStartups)
	s.autoscaling.refusedUntil[machineOffer{r.Type, r.Zone, r.Spot}] = now.Add(pause)
}

// MachinesToReturn tells which machines to give back now, and sends them nothing more.
func (s *Scheduler) MachinesToReturn(now time.Time) []string {
	var hosts []string
	up, silent, quiet, deaf := 0, 0, 0, 0
	for _, m := range s.fleet.Sorted() {
		if m.Up {
			up++
			if now.Sub(m.LastStatus) > 3*s.settings.HeartbeatInterval {
				silent++
			}
			if s.isQuiet(m, now) {
				quiet++
			}
			if m.Unreachable() {
				deaf++
			}
		}
	}
	s.observeZones(now)
	unreachableMachines.Set(float64(deaf))
	// Where many hear nothing it is more likely we who answer too late.
	s.manyUnreachable = float64(deaf) > max(manySilentShare*float64(up), 2)
	s.mostSilent = silent > 2 && 2*silent > up
	// Guards against many that fell silent at once and are given back a few at a time, each
	// being one of few that have been silent for long, or one of the last to come back.
	if float64(quiet) > manySilentShare*float64(up) || s.zoneHealth.AnySuspected() {
		s.manySilentAt = now
	}
	inherited, unheard := s.fleet.CountInherited()
	// Guards against the last of a zone that comes back: they are few then, and just about
	// to be heard.
	if float64(unheard) > fewUnreconciledShare*float64(inherited) {
		s.manyUnreconciledAt = now
	}
	for _, m := range s.fleet.Sorted() {
		if m.Returning && len(hosts) < autoscaler.MaxReturnNames {
			hosts = append(hosts, m.Name) // an earlier try had no answer
			continue
		}
		if len(hosts) < autoscaler.MaxReturnNames && s.shouldReturn(m, now) {
			m.Returning = true
			m.Bin.SetOpen(false)
			hosts = append(hosts, m.Name)
			slog.Info("giving back", "machine", m.Name, "bad", m.Faulty, "lost", m.LeaseExpired, "up", m.Up, "term", s.term)
		}
	}
	return hosts
}

const (
	// fewUnreconciledShare is the share of machines on record whose work is worth less than the
	// wait of all others, and fewReports how many report intervals all are given to
	// find the new leader: they try the old one for up to two.
	fewUnreconciledShare     = 1.0 / 20
	fewUnreconciledIntervals = 2
)

// manySilentShare is the share of machines that may be silent for each to be taken for dead.
const manySilentShare = 1.0 / 4

// isUnreachable says whether a machine is known that does not hear.
func (s *Scheduler) isUnreachable(host string) bool {
	m := s.fleet.Machines[host]
	return m != nil && m.Unreachable()
}

// silenceLimit is how long a machine may be silent before it is given back without waiting
// for the end of its lease: its return proves that its tasks are gone, and they start
// elsewhere that much sooner. One that the cloud was about to take has most likely been
// taken; any other has most likely died, unless many are silent, behind a cut or
// because we stood still.
func (s *Scheduler) silenceLimit(m *fleet.Machine, now time.Time) time.Duration {
	if !m.PreemptionAt.IsZero() && now.After(m.PreemptionAt) {
		return s.settings.HeartbeatInterval * 3 / 2
	}
	d := max(s.settings.Lease/2, 2*s.settings.HeartbeatInterval)
	if now.Sub(s.manySilentAt) > d {
		return d
	}
	return math.MaxInt64
}

func (s *Scheduler) shouldReturn(m *fleet.Machine, now time.Time) bool {
	startup := max(s.startupTime(m.Type), s.settings.HeartbeatInterval)
	switch {
	case s.awaitedByOperator(m, now):
		return false
	case m.LeaseExpired && !m.Failed && s.zoneHealth.KeepWaiting(m.Zone, now.Sub(m.LastHeard()), startup, s.replaceableElsewhere(m, now), now):
		return false
	case !m.Up && !m.Inherited && s.zoneHealth.Suspected(m.Zone):
		return false // it may well be up
	case m.LeaseExpired:
		// Its tasks are gone. Where most machines are silent, the trouble is more
		// likely ours than theirs, and they may yet be heard of.
		return !s.mostSilent || now.Sub(m.LastHeard()) > 4*s.settings.Lease
	case m.AwaitsReconciliation():
		// Unheard of since the takeover. Time alone does not settle it, as an
		// older leader may be renewing its lease; its return does. All work of before
		// stands still until then: the last few that neither report nor answer are not
		// waited for as long as their work would be worth it alone.
		silent := now.Sub(m.SilentSince)
		return silent > s.settings.Lease || silent > fewUnreconciledIntervals*s.settings.HeartbeatInterval && now.Sub(s.manyUnreconciledAt) > s.settings.HeartbeatInterval
	case m.Up && now.Sub(m.LastStatus) > s.silenceLimit(m, now):
		return true
	case m.Up && !m.Reconciled && now.Sub(m.LastStatus) > s.settings.Lease:
		// Brought up by a late copy of a report, maybe: nothing else would end that.
		return true
	case m.UnreachableFor(now) > s.settings.Lease:
		// What it had is gone with its lease, or goes with its return.
		return !s.manyUnreachable || m.UnreachableFor(now) > 4*s.settings.Lease
	case m.UnansweredProbesFor(now) > s.settings.Lease:
		return true // no answer, and what it has is not known: its return is proof
	case !m.Up:
		return !m.RequestedAt.IsZero() && now.Sub(m.RequestedAt) > 3*startup+s.settings.HeartbeatInterval
	case !m.Empty():
		return false
	case m.Cordon != nil:
		return m.Reconciled && s.returnsWhenEmpty(m)
	case m.Faulty, m.Draining:
		return true
	case !s.reconciled, m.Bin.Reserved() != packing.Resources{}:
		return false
	}
	hold := time.Duration(float64(startup) * s.settings.IdleStartups)
	if !m.Spot {
		// The dearer a machine, the shorter it waits for work.
		if t := s.types[m.Type]; t.SpotPrice > 0 && t.SpotPrice < t.Price {
			hold = time.Duration(float64(hold) * t.SpotPrice / t.Price)
		}
	}
	if !m.RequestedAt.IsZero() && now.Sub(m.RequestedAt) < autoscaler.MinCharge {
		return false // it is paid for
	}
	if m.Spot && s.shortageLately(m.Type, now) {
		return false // what comes next for it would take an ordinary one
	}
	return !m.EmptySince.IsZero() && now.Sub(m.EmptySince) > hold
}

// MachinesReturned forgets machines that the cloud has taken back.
func (s *Scheduler) MachinesReturned(hosts []string, now time.Time) {
	for _, h := range hosts {
		s.autoscaling.returnedAt[h] = now
		s.RemoveMachine(h, now)
	}
}

// ReconcileCloudList takes in the cloud's list, asked for at the time given.
func (s *Scheduler) ReconcileCloudList(list []autoscaler.CloudMachine, asked, now time.Time) {
	s.autoscaling.listRead = true
	here := map[string]bool{}
	for _, l := range list {
		here[l.Machine] = true
		s.autoscaling.lastListed[l.Machine] = now
		if _, gone := s.autoscaling.returnedAt[l.Machine]; gone {
			continue
		}
		m := s.fleet.Machines[l.Machine]
		if l.Status == "failed" {
			// It stopped on its own, and all on it with it.
			if m != nil && !m.LeaseExpired {
				slog.Info("machine failed", "machine", l.Machine, "term", s.term)
				for _, a := range slices.Clone(m.Attempts()) {
					m.Forget(a)
					if a.State() != fleet.Ended {
						s.attemptLost(a, now)
					}
				}
				m.LeaseExpired, m.Reconciled, m.Failed = true, true, true
				if !s.reconciled {
					s.CheckReconciled(now)
				}
			}
			if m == nil {
				m = s.fleet.GetOrCreate(l.Machine, l.Addr, l.Type, l.Zone, l.Spot)
				m.LeaseExpired, m.Reconciled, m.Failed = true, true, true
			}
			continue
		}
		if m == nil {
			m = s.fleet.GetOrCreate(l.Machine, l.Addr, l.Type, l.Zone, l.Spot)
			slog.Info("unexpected machine", "machine", l.Machine, "status", l.Status, "term", s.term)
			s.assignBin(m)
		}
		if m.Addr == "" {
			m.Addr = l.Addr
		}
		// Until then the list may have one that an earlier leader gave back.
		if asked.Sub(s.termStart) <= 2*s.settings.ListLag && !m.Up && !m.Inherited && m.RequestedAt.IsZero() {
			m.Unverified = true
		} else if asked.Sub(s.termStart) > 2*s.settings.ListLag {
			m.Unverified = false
		}
		if m.RequestedAt.IsZero() {
			m.RequestedAt = now.Add(-time.Duration(l.AgeS * float64(time.Second)))
		}
	}
	// A list tells how things were up to twice the lag before it was asked for. A
	// machine that was there before that time, and is missing, is gone.
	for _, m := range s.fleet.Sorted() {
		if last, ok := s.autoscaling.lastListed[m.Name]; ok && !here[m.Name] && asked.Sub(last) > s.settings.ListLag*5/2+s.settings.HeartbeatInterval/4 {
			slog.Info("machine gone", "machine", m.Name, "term", s.term)
			s.autoscaling.returnedAt[m.Name] = now
			s.RemoveMachine(m.Name, now)
		}
	}
	for h, t := range s.autoscaling.returnedAt {
		// Names rise and are not used again, but reports that name them come late.
		if now.Sub(t) > max(20*(s.settings.ListLag+s.settings.HeartbeatInterval), fleet.LateCopyLeases*s.settings.Lease) && !here[h] {
			delete(s.autoscaling.returnedAt, h)
			delete(s.autoscaling.lastListed, h)
		}
	}
}
