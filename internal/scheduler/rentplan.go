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

type offer struct {
	typ, zone string
	spot      bool
}

type rentState struct {
	refused  map[offer]time.Time
	inflight map[string]autoscaler.RentalRequest
	returned map[string]time.Time // given back: may still be listed for a while
	listed   map[string]time.Time // until when it is known to have been listed, or up
	ready    bool                 // a list has been read under this term
}

func newRentState() rentState {
	return rentState{
		refused: map[offer]time.Time{}, inflight: map[string]autoscaler.RentalRequest{},
		returned: map[string]time.Time{}, listed: map[string]time.Time{},
	}
}

// mostNew bounds the work of one rental plan, in machines. It does not bound the fleet: what
// a plan leaves out the next one counts, a quarter of a report interval later, beside what was
// asked for by then. It lies above the largest fleet that one leader was seen to carry, so that
// a fleet for all that waits is planned in one look and no type or zone waits for another.
const mostNew = 200 * autoscaler.MaxRentCount

func (c *Scheduler) startup(typ string) time.Duration {
	return time.Duration(c.types[typ].StartupS * float64(time.Second))
}

func (c *Scheduler) capacity(typ string) packing.Resources {
	t := c.types[typ]
	return packing.Resources{CPU: t.CPUs, GPU: t.GPUs, Mem: t.MemGB}
}

// plan is one look at what to rent.
type plan struct {
	spaces map[string]*packing.Space // machines that are booting or asked for, and new ones with room
	inZone map[string]int            // machines by zone
	counts map[offer]int             // new machines
	urgent map[offer]int             // of these, those that do not depend on how much work there is
	busy   map[string]float64        // machine seconds of waiting work by type
	opened int
}

func (p *plan) add(o offer, capacity packing.Resources) *packing.Bin {
	b := packing.NewBin("", capacity)
	b.Owner = o
	p.spaces[o.typ].Add(b)
	return b
}

// PlanRentals tells what to rent now: the new bins that the packing would open for
// what waits, less what is booting, and no more than the work can keep busy
// for about as long as a machine takes to start.
func (c *Scheduler) PlanRentals(now time.Time) []autoscaler.RentalRequest {
	if !c.rent.ready || len(c.types) == 0 || c.means.Level() > overload.Normal {
		return nil
	}
	p := &plan{
		spaces: map[string]*packing.Space{}, inZone: map[string]int{}, counts: map[offer]int{},
		urgent: map[offer]int{}, busy: map[string]float64{},
	}
	for _, n := range c.names {
		p.spaces[n] = &packing.Space{OnlyPaper: true}
	}
	have := map[string]int{} // machines by type that take work now or soon
	for _, m := range c.fleet.Sorted() {
		p.inZone[m.Zone]++
		if inService(m) {
			have[m.Type]++
		}
		// While machines are drained, tasks that are to leave them wait for room as well;
		// what is up and empty is for them, and no reason to rent more.
		free := c.draining && m.Empty() && c.open(m, now)
		if (!m.Up || free) && !m.Returning && !m.LeaseExpired && p.spaces[m.Type] != nil {
			p.add(offer{m.Type, m.Zone, m.Spot}, c.capacity(m.Type))
		}
	}
	// One request at a time for each type, zone and kind: what one is refused, the
	// next would be refused as well, and the cloud takes few calls.
	asked := map[offer]bool{}
	for _, r := range c.rent.inflight {
		asked[offer{r.Type, r.Zone, r.Spot}] = true
		for range r.Count {
			p.add(offer{r.Type, r.Zone, r.Spot}, c.capacity(r.Type))
		}
		p.inZone[r.Zone] += r.Count
		have[r.Type] += r.Count
	}
	for _, j := range c.queue(now) {
		if !j.over && !j.finishing && !now.Before(j.retryAt) {
			c.plan(p, j, c.wanted(j)+c.displaced(j, now), now)
		}
	}
	offers := make([]offer, 0, len(p.counts))
	for o := range p.counts {
		offers = append(offers, o)
	}
	sort.Slice(offers, func(a, b int) bool {
		if offers[a].spot != offers[b].spot {
			return offers[a].spot // cheap ones first: the others only for what these leave
		}
		return fmt.Sprint(offers[a]) < fmt.Sprint(offers[b])
	})
	running := c.runningWork(now)
	var reqs []autoscaler.RentalRequest
	for _, o := range offers {
		n := p.counts[o]
		// Work that the machines at hand will soon have done needs no others.
		if work := p.busy[o.typ] + running[o.typ]; work < math.Inf(1) {
			horizon := max(c.startup(o.typ).Seconds(), 1) * c.horizon(o)
			most := int(math.Ceil(work/horizon)) - have[o.typ]
			n = min(n, max(most, p.urgent[o]))
		}
		all := 0
		for _, k := range have {
			all += k
		}
		n = c.means.RentalHeadroom(all, n)
		have[o.typ] += max(n, 0)
		if n <= 0 || asked[o] {
			continue
		}
		term, seq := c.NextRequestName()
		r := autoscaler.RentalRequest{Name: fmt.Sprintf("r-%d-%d", term, seq), Type: o.typ, Zone: o.zone, Spot: o.spot, Count: min(n, autoscaler.MaxRentCount)}
		c.rent.inflight[r.Name] = r
		reqs = append(reqs, r)
	}
	return reqs
}

// anyPermits says whether a machine at hand, or about to be rented, may take the
// job's tasks at all.
func (c *Scheduler) anyPermits(j *Job, counts map[offer]int) bool {
	for _, m := range c.fleet.Sorted() {
		if inService(m) && j.permits(m.Type, m.Zone, m.Spot) && m.Bin.Cap.Fits(j.req) {
			return true
		}
	}
	for o := range counts {
		if j.permits(o.typ, o.zone, o.spot) {
			return true
		}
	}
	for _, r := range c.rent.inflight {
		if j.permits(r.Type, r.Zone, r.Spot) {
			return true
		}
	}
	return false
}

// horizon is how long, in startup times, the machines at hand may take for all
// the work before others are rented. Where cheap machines of the kind exist, the
// ordinary ones are worth it only for longer work.
func (c *Scheduler) horizon(o offer) float64 {
	if t := c.types[o.typ]; !o.spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
		return horizonDear
	}
	return horizonCheap
}

const (
	horizonCheap = 1.0
	horizonDear  = 4.0
)

// runningWork is what running tasks still have before them, in machine seconds.
func (c *Scheduler) runningWork(now time.Time) map[string]float64 {
	sum := map[string]float64{}
	for _, m := range c.fleet.Sorted() {
		for _, a := range m.Attempts() {
			if j := c.jobOf(a); j != nil && a.Item != nil && j.Shape == records.ShapeArray {
				sum[m.Type] += c.remaining(j, a, now) * m.Bin.Cap.Share(a.Item.Req)
			}
		}
	}
	return sum
}

// plan packs n waiting tasks of a job into machines that are booting, and opens
// new bins for the rest, as many at once as hold nothing but these tasks.
func (c *Scheduler) plan(p *plan, j *Job, n int, now time.Time) {
	it := func() *packing.Item { return &packing.Item{ID: j.ID, Req: j.req} }
	note := func(typ string, n int) {
		if j.Shape == records.ShapeArray {
			p.busy[typ] += float64(n) * j.EstimateS * c.capacity(typ).Share(j.req)
		} else {
			p.busy[typ] = math.Inf(1) // gangs and replicas need all their places
		}
	}
	ok := func(b *packing.Bin) bool {
		o := b.Owner.(offer)
		return j.permits(o.typ, o.zone, o.spot) && (j.staying == nil || j.zoneOK(o.zone, j.staying))
	}
	// What an empty machine holds of them, worked out once for a type in a row.
	of, most, takes := "", 0, false
next:
	for n > 0 {
		for _, name := range c.names {
			if b, _, _ := p.spaces[name].Insert(it(), ok); b != nil {
				note(name, 1)
				n--
				continue next
			}
		}
		o, found := c.offerFor(p, j, now)
		if !found {
			return
		}
		if p.opened >= mostNew {
			note(o.typ, n) // more than one plan rents, but work all the same
			return
		}
		// Guards against a job that waits for ever because the machines at hand count as
		// enough, while none of them may or can take it.
		wait := time.Duration(float64(c.startup(o.typ)) * horizonDear)
		if j.terms.Rank <= 1 || j.guaranteed || now.Sub(j.base) > wait || !c.anyPermits(j, p.counts) {
			p.urgent[o]++
		}
		p.counts[o]++
		p.inZone[o.zone]++
		p.opened++
		if o.typ != of {
			of = o.typ
			most, takes = alone(c.capacity(of), j.req)
		}
		k := min(n, most)
		note(o.typ, k)
		if n -= k; k < most || takes {
			b := p.add(o, c.capacity(o.typ)) // it has room for others
			for range k {
				b.Add(it())
			}
		}
	}
}

// alone tells how many items of a size a bin holds by the paper's combinations,
// and whether others may join them.
func alone(capacity, req packing.Resources) (n int, takes bool) {
	b := packing.NewBin("", capacity)
	s := &packing.Space{OnlyPaper: true}
	s.Add(b)
	// What takes next to nothing never fills a machine: mostAlone will do.
	for n < mostAlone {
		if in, _, _ := s.Insert(&packing.Item{Req: req}, nil); in == nil {
			break
		}
		n++
	}
	return max(n, 1), b.AllowsJoin()
}

// mostAlone bounds for how many tasks it is tried whether an empty machine holds them. It does
// not bound machines or tasks: a machine that holds more has room left (takes), and the others
// are packed into it one by one.
const mostAlone = 100

// offerFor picks what to rent for a task: cheap machines where the job permits,
// by price for its share, in the zone that has the fewest, a dark one last.
func (c *Scheduler) offerFor(p *plan, j *Job, now time.Time) (offer, bool) {
	var best offer
	bestCost, bestCount, bestDark, found := 0.0, 0, false, false
	for _, name := range c.names {
		t := c.types[name]
		if !c.capacity(name).Fits(j.req) {
			continue
		}
		for _, spot := range []bool{true, false} {
			price := t.Price
			if spot {
				if price = t.SpotPrice; price <= 0 {
					continue
				}
			}
			cost := price * c.capacity(name).Share(j.req)
			for _, z := range t.Zones {
				o := offer{name, z, spot}
				if !j.permits(name, z, spot) || now.Before(c.rent.refused[o]) || c.barred(name, z) || j.staying != nil && !j.zoneOK(z, j.staying) {
					continue
				}
				// What is rented in a dark zone is of use only when that is back.
				dark := c.cuts.Suspected(z)
				if !found || bestDark && !dark || bestDark == dark && (cost < bestCost || cost == bestCost && p.inZone[z] < bestCount) {
					best, bestCost, bestCount, bestDark, found = o, cost, p.inZone[z], dark, true
				}
			}
		}
	}
	return best, found
}

// MachinesRented takes in the machines that a request brought.
func (c *Scheduler) MachinesRented(r autoscaler.RentalRequest, hosts []string, now time.Time) {
	delete(c.rent.inflight, r.Name)
	for _, h := range hosts {
		if _, gone := c.rent.returned[h]; gone || h == "" {
			continue
		}
		m := c.fleet.GetOrCreate(h, "", r.Type, r.Zone, r.Spot)
		m.Unverified = false
		if m.Rented.IsZero() {
			m.Rented = now
		}
		c.fit(m)
	}
	if len(hosts) < r.Count {
		c.refuse(r, now)
	}
	slog.Info("rented", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(hosts), "term", c.term)
}

// RentalRefused notes that a request brought nothing.
func (c *Scheduler) RentalRefused(r autoscaler.RentalRequest, noCapacity bool, now time.Time) {
	delete(c.rent.inflight, r.Name)
	if noCapacity {
		c.refuse(r, now)
		slog.Info("no capacity", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "term", c.term)
	}
}

func (c *Scheduler) refuse(r autoscaler.RentalRequest, now time.Time) {
	pause := time.Duration(float64(c.startup(r.Type)) * c.set.RefusedStartups)
	c.rent.refused[offer{r.Type, r.Zone, r.Spot}] = now.Add(pause)
}

// MachinesToReturn tells which machines to give back now, and sends them nothing more.
func (c *Scheduler) MachinesToReturn(now time.Time) []string {
	var hosts []string
	up, silent, quiet, deaf := 0, 0, 0, 0
	for _, m := range c.fleet.Sorted() {
		if m.Up {
			up++
			if now.Sub(m.LastStatus) > 3*c.set.HeartbeatInterval {
				silent++
			}
			if c.quiet(m, now) {
				quiet++
			}
			if m.Unreachable() {
				deaf++
			}
		}
	}
	c.watchZones(now)
	deafMachines.Set(float64(deaf))
	// Where many hear nothing it is more likely we who answer too late.
	c.manyDeaf = float64(deaf) > max(someShare*float64(up), 2)
	c.mostSilent = silent > 2 && 2*silent > up
	// Guards against many that fell silent at once and are given back a few at a time, each
	// being one of few that have been silent for long, or one of the last to come back.
	if float64(quiet) > someShare*float64(up) || c.cuts.AnySuspected() {
		c.manySilent = now
	}
	inherited, unheard := c.fleet.CountInherited()
	// Guards against the last of a zone that comes back: they are few then, and just about
	// to be heard.
	if float64(unheard) > fewShare*float64(inherited) {
		c.manyUnheard = now
	}
	for _, m := range c.fleet.Sorted() {
		if m.Returning && len(hosts) < autoscaler.MaxReturnNames {
			hosts = append(hosts, m.Host) // an earlier try had no answer
			continue
		}
		if len(hosts) < autoscaler.MaxReturnNames && c.giveBack(m, now) {
			m.Returning = true
			m.Bin.SetOpen(false)
			hosts = append(hosts, m.Host)
			slog.Info("giving back", "machine", m.Host, "bad", m.Faulty, "lost", m.LeaseExpired, "up", m.Up, "term", c.term)
		}
	}
	return hosts
}

const (
	// fewShare is the share of machines on record whose work is worth less than the
	// wait of all others, and fewReports how many report intervals all are given to
	// find the new leader: they try the old one for up to two.
	fewShare   = 1.0 / 20
	fewReports = 2
)

// someShare is the share of machines that may be silent for each to be taken for dead.
const someShare = 1.0 / 4

// deaf says whether a machine is known that does not hear.
func (c *Scheduler) deaf(host string) bool {
	m := c.fleet.Machines[host]
	return m != nil && m.Unreachable()
}

// silence is how long a machine may be silent before it is given back without waiting
// for the end of its lease: its return proves that its tasks are gone, and they start
// elsewhere that much sooner. One that the cloud was about to take has most likely been
// taken; any other has most likely died, unless many are silent, behind a cut or
// because we stood still.
func (c *Scheduler) silence(m *fleet.Machine, now time.Time) time.Duration {
	if !m.PreemptionAt.IsZero() && now.After(m.PreemptionAt) {
		return c.set.HeartbeatInterval * 3 / 2
	}
	d := max(c.set.Lease/2, 2*c.set.HeartbeatInterval)
	if now.Sub(c.manySilent) > d {
		return d
	}
	return math.MaxInt64
}

func (c *Scheduler) giveBack(m *fleet.Machine, now time.Time) bool {
	startup := max(c.startup(m.Type), c.set.HeartbeatInterval)
	switch {
	case c.awaits(m, now):
		return false
	case m.LeaseExpired && !m.Failed && c.cuts.KeepWaiting(m.Zone, now.Sub(m.LastHeard()), startup, c.elsewhere(m, now), now):
		return false
	case !m.Up && !m.Inherited && c.cuts.Suspected(m.Zone):
		return false // it may well be up
	case m.LeaseExpired:
		// Its tasks are gone. Where most machines are silent, the trouble is more
		// likely ours than theirs, and they may yet be heard of.
		return !c.mostSilent || now.Sub(m.LastHeard()) > 4*c.set.Lease
	case m.AwaitsReconciliation():
		// Unheard of since the takeover. Time alone does not settle it, as an
		// older leader may be renewing its lease; its return does. All work of before
		// stands still until then: the last few that neither report nor answer are not
		// waited for as long as their work would be worth it alone.
		silent := now.Sub(m.SilentSince)
		return silent > c.set.Lease || silent > fewReports*c.set.HeartbeatInterval && now.Sub(c.manyUnheard) > c.set.HeartbeatInterval
	case m.Up && now.Sub(m.LastStatus) > c.silence(m, now):
		return true
	case m.Up && !m.Reconciled && now.Sub(m.LastStatus) > c.set.Lease:
		// Brought up by a late copy of a report, maybe: nothing else would end that.
		return true
	case m.UnreachableFor(now) > c.set.Lease:
		// What it had is gone with its lease, or goes with its return.
		return !c.manyDeaf || m.UnreachableFor(now) > 4*c.set.Lease
	case m.UnansweredProbesFor(now) > c.set.Lease:
		return true // no answer, and what it has is not known: its return is proof
	case !m.Up:
		return !m.Rented.IsZero() && now.Sub(m.Rented) > 3*startup+c.set.HeartbeatInterval
	case !m.Empty():
		return false
	case m.Cordon != nil:
		return m.Reconciled && c.givesBack(m)
	case m.Faulty, m.Draining:
		return true
	case !c.settled, m.Bin.Reserved() != packing.Resources{}:
		return false
	}
	hold := time.Duration(float64(startup) * c.set.IdleStartups)
	if !m.Spot {
		// The dearer a machine, the shorter it waits for work.
		if t := c.types[m.Type]; t.SpotPrice > 0 && t.SpotPrice < t.Price {
			hold = time.Duration(float64(hold) * t.SpotPrice / t.Price)
		}
	}
	if !m.Rented.IsZero() && now.Sub(m.Rented) < autoscaler.MinCharge {
		return false // it is paid for
	}
	if m.Spot && c.scarceLately(m.Type, now) {
		return false // what comes next for it would take an ordinary one
	}
	return !m.EmptySince.IsZero() && now.Sub(m.EmptySince) > hold
}

// MachinesReturned forgets machines that the cloud has taken back.
func (c *Scheduler) MachinesReturned(hosts []string, now time.Time) {
	for _, h := range hosts {
		c.rent.returned[h] = now
		c.RemoveMachine(h, now)
	}
}

// ReconcileCloudList takes in the cloud's list, asked for at the time given.
func (c *Scheduler) ReconcileCloudList(list []autoscaler.CloudMachine, asked, now time.Time) {
	c.rent.ready = true
	here := map[string]bool{}
	for _, l := range list {
		here[l.Machine] = true
		c.rent.listed[l.Machine] = now
		if _, gone := c.rent.returned[l.Machine]; gone {
			continue
		}
		m := c.fleet.Machines[l.Machine]
		if l.Status == "failed" {
			// It stopped on its own, and all on it with it.
			if m != nil && !m.LeaseExpired {
				slog.Info("machine failed", "machine", l.Machine, "term", c.term)
				for _, a := range slices.Clone(m.Attempts()) {
					m.Forget(a)
					if a.State() != fleet.Ended {
						c.gone(a, now)
					}
				}
				m.LeaseExpired, m.Reconciled, m.Failed = true, true, true
				if !c.settled {
					c.CheckReconciled(now)
				}
			}
			if m == nil {
				m = c.fleet.GetOrCreate(l.Machine, l.Addr, l.Type, l.Zone, l.Spot)
				m.LeaseExpired, m.Reconciled, m.Failed = true, true, true
			}
			continue
		}
		if m == nil {
			m = c.fleet.GetOrCreate(l.Machine, l.Addr, l.Type, l.Zone, l.Spot)
			slog.Info("unexpected machine", "machine", l.Machine, "status", l.Status, "term", c.term)
			c.fit(m)
		}
		if m.Addr == "" {
			m.Addr = l.Addr
		}
		// Until then the list may have one that an earlier leader gave back.
		if asked.Sub(c.began) <= 2*c.set.ListLag && !m.Up && !m.Inherited && m.Rented.IsZero() {
			m.Unverified = true
		} else if asked.Sub(c.began) > 2*c.set.ListLag {
			m.Unverified = false
		}
		if m.Rented.IsZero() {
			m.Rented = now.Add(-time.Duration(l.AgeS * float64(time.Second)))
		}
	}
	// A list tells how things were up to twice the lag before it was asked for. A
	// machine that was there before that time, and is missing, is gone.
	for _, m := range c.fleet.Sorted() {
		if last, ok := c.rent.listed[m.Host]; ok && !here[m.Host] && asked.Sub(last) > c.set.ListLag*5/2+c.set.HeartbeatInterval/4 {
			slog.Info("machine gone", "machine", m.Host, "term", c.term)
			c.rent.returned[m.Host] = now
			c.RemoveMachine(m.Host, now)
		}
	}
	for h, t := range c.rent.returned {
		// Names rise and are not used again, but reports that name them come late.
		if now.Sub(t) > max(20*(c.set.ListLag+c.set.HeartbeatInterval), fleet.LateCopyLeases*c.set.Lease) && !here[h] {
			delete(c.rent.returned, h)
			delete(c.rent.listed, h)
		}
	}
}
