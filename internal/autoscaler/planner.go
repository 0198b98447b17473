package autoscaler

import (
	"math"
	"sort"
	"time"

	"drumpick/internal/packing"
)

// maxNewMachines bounds the work of one plan, in machines. It does not bound the fleet: what a plan
// leaves out is planned by the next one, a quarter of a heartbeat interval later, beside what was
// requested by then. It lies above the largest fleet that one leader was seen to carry, so that a
// fleet for all waiting work is planned at once and no type or zone waits for another.
const maxNewMachines = 200 * MaxRentCount

// How long, in startup times, the machines at hand may take for all the work before others are
// rented. Where spot instances of the type exist, on-demand machines are worth it only for longer
// work.
const (
	spotHorizonStartups     = 1.0
	onDemandHorizonStartups = 4.0
)

// Planner decides which machines to rent. It keeps the requests that have no answer yet, and the
// offers of which the cloud had none left. It is plain data without clock or I/O; its owner passes
// the time in and serializes the calls.
type Planner struct {
	backoffStartups float64 // how long, in startup times, a refused offer is not requested again
	refusedUntil    map[Offer]time.Time
	inFlight        map[string]RentalRequest // by name
}

// NewPlanner returns a planner that asks for a refused offer again after that many startup times.
func NewPlanner(backoffStartups float64) *Planner {
	return &Planner{
		backoffStartups: backoffStartups,
		refusedUntil:    map[Offer]time.Time{},
		inFlight:        map[string]RentalRequest{},
	}
}

// Track notes that a request is on its way to the cloud.
func (p *Planner) Track(r RentalRequest) { p.inFlight[r.Name] = r }

// Untrack notes that a request has its answer, or is given up.
func (p *Planner) Untrack(r RentalRequest) { delete(p.inFlight, r.Name) }

// BackOff keeps the offer of a request from being requested for a while.
func (p *Planner) BackOff(r RentalRequest, startup time.Duration, now time.Time) {
	p.refusedUntil[r.Offer()] = now.Add(time.Duration(float64(startup) * p.backoffStartups))
}

// RefusedUntil is until when an offer is not requested; zero if it was never refused.
func (p *Planner) RefusedUntil(o Offer) time.Time { return p.refusedUntil[o] }

// Constraints are a job's own constraints on machines.
type Constraints interface {
	// Permits reports whether the job may use machines of an offer.
	Permits(o Offer) bool
	// PermitsZone reports whether the job may use a zone beside those where its other tasks stay.
	PermitsZone(zone string) bool
}

// Demand is the waiting tasks of one job.
type Demand struct {
	Job          string
	Tasks        int
	Request      packing.Resources // of one task
	TaskSeconds  float64           // the estimated run time of one task
	Elastic      bool              // the tasks need not run at the same time: fewer machines take longer
	Urgent       bool              // machines are rented however little work there is
	WaitingSince time.Time
	Constraints  Constraints
}

// Machine is a machine of the fleet as a plan sees it.
type Machine struct {
	Offer     Offer
	InService bool              // takes tasks, now or when it has started
	Vacant    bool              // its whole capacity is still to be filled, as it is starting or empty
	Capacity  packing.Resources // as placement knows it
}

// PlanInput is what a plan is made from.
type PlanInput struct {
	Now         time.Time
	Catalog     Catalog
	Fleet       []Machine
	Demand      []Demand           // in the order in which jobs are served
	RunningWork map[string]float64 // what running tasks still need, in machine seconds by type
	// ScaleOutBlocked reports whether machines of a type are not to be rented in a zone.
	ScaleOutBlocked func(machineType, zone string) bool
	// OutageSuspected reports whether a zone is probably cut off.
	OutageSuspected func(zone string) bool
	// Headroom is how many of n more machines a leader that has so many can carry.
	Headroom func(have, n int) int
}

// plan is the state of one plan.
type plan struct {
	PlanInput
	planner         *Planner
	spaces          map[string]*packing.Space // by type: vacant, requested and new machines with room
	machinesInZone  map[string]int
	newMachines     map[Offer]int
	minNewMachines  map[Offer]int      // of these, those that do not depend on how much work there is
	machineSeconds  map[string]float64 // of waiting work, by type
	newMachineTotal int                // new machines of all offers
}

// Plan returns the requests to send now, without names: the new bins that the packing would open
// for the demand, less what is starting, and no more than the work can keep busy for about as long
// as a machine takes to start.
func (p *Planner) Plan(in PlanInput) []RentalRequest {
	l := &plan{
		PlanInput: in, planner: p, spaces: map[string]*packing.Space{}, machinesInZone: map[string]int{},
		newMachines: map[Offer]int{}, minNewMachines: map[Offer]int{}, machineSeconds: map[string]float64{},
	}
	for _, name := range in.Catalog.Names {
		l.spaces[name] = &packing.Space{NoFirstFit: true}
	}
	have := l.addSupply()
	for i := range in.Demand {
		newDemandPlan(l, &in.Demand[i]).pack()
	}
	return l.requests(have)
}

// addSupply adds the machines of the fleet and those that are requested, and counts by type those
// that take tasks now or soon.
func (l *plan) addSupply() (have map[string]int) {
	have = map[string]int{}
	for _, m := range l.Fleet {
		l.machinesInZone[m.Offer.Zone]++
		if m.InService {
			have[m.Offer.Type]++
		}
		if m.Vacant && l.spaces[m.Offer.Type] != nil {
			l.addBin(m.Offer)
		}
	}
	for _, r := range l.planner.inFlight {
		for range r.Count {
			l.addBin(r.Offer())
		}
		l.machinesInZone[r.Zone] += r.Count
		have[r.Type] += r.Count
	}
	return have
}

func (l *plan) addBin(o Offer) *packing.Bin {
	b := packing.NewBin("", l.Catalog.Capacity(o.Type))
	b.Owner = o
	l.spaces[o.Type].Add(b)
	return b
}

// requests bounds the new machines by the work that there is, and makes requests of them.
func (l *plan) requests(have map[string]int) []RentalRequest {
	offers := make([]Offer, 0, len(l.newMachines))
	for o := range l.newMachines {
		offers = append(offers, o)
	}
	sort.Slice(offers, func(a, b int) bool { return offers[a].before(offers[b]) })
	inFlight := map[Offer]bool{}
	for _, r := range l.planner.inFlight {
		inFlight[r.Offer()] = true
	}
	var requests []RentalRequest
	for _, o := range offers {
		n := l.rentCount(o, have)
		have[o.Type] += max(n, 0)
		// One request at a time for each offer: where one is refused the next would be as
		// well, and the cloud takes few calls.
		if n <= 0 || inFlight[o] {
			continue
		}
		requests = append(requests, RentalRequest{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: min(n, MaxRentCount)})
	}
	return requests
}

// rentCount is how many machines of an offer to rent beside those that there are by type. Work that the
// machines at hand will soon have done needs no others.
func (l *plan) rentCount(o Offer, have map[string]int) int {
	n := l.newMachines[o]
	if work := l.machineSeconds[o.Type] + l.RunningWork[o.Type]; work < math.Inf(1) {
		horizon := max(l.Catalog.StartupTime(o.Type).Seconds(), 1) * l.horizonStartups(o)
		most := int(math.Ceil(work/horizon)) - have[o.Type]
		n = min(n, max(most, l.minNewMachines[o]))
	}
	all := 0
	for _, k := range have {
		all += k
	}
	return l.Headroom(all, n)
}

// horizonStartups is how long, in startup times, the machines at hand may take for all the work before
// machines of an offer are rented.
func (l *plan) horizonStartups(o Offer) float64 {
	if t := l.Catalog.Types[o.Type]; !o.Spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
		return onDemandHorizonStartups
	}
	return spotHorizonStartups
}

// demandPlan is the part of a plan that is under way for one demand.
type demandPlan struct {
	*plan
	demand    *Demand
	permitted func(*packing.Bin) bool
}

func newDemandPlan(l *plan, demand *Demand) *demandPlan {
	return &demandPlan{plan: l, demand: demand, permitted: func(b *packing.Bin) bool {
		o := b.Owner.(Offer)
		return demand.Constraints.Permits(o) && demand.Constraints.PermitsZone(o.Zone)
	}}
}

// pack packs the tasks into vacant machines, and opens new ones for the rest, as many tasks at once
// as a machine holds that has nothing but these.
func (d *demandPlan) pack() {
	// What an empty machine holds of them, worked out once for offers of one type in a row.
	packed, perMachine, leavesRoom := "", 0, false
	for left := d.packVacant(d.demand.Tasks); left > 0; left = d.packVacant(left) {
		o, found := d.chooseOffer()
		if !found {
			return
		}
		if d.newMachineTotal >= maxNewMachines {
			d.addWork(o.Type, left) // more than one plan rents, but work all the same
			return
		}
		d.openMachine(o)
		if o.Type != packed {
			packed = o.Type
			perMachine, leavesRoom = itemsPerEmptyBin(d.Catalog.Capacity(packed), d.demand.Request)
		}
		k := min(left, perMachine)
		d.addWork(o.Type, k)
		left -= k
		if k < perMachine || leavesRoom {
			b := d.addBin(o) // it has room for other tasks
			for range k {
				b.Add(d.newItem())
			}
		}
	}
}

func (d *demandPlan) newItem() *packing.Item {
	return &packing.Item{ID: d.demand.Job, Request: d.demand.Request}
}

// packVacant packs tasks into machines that have room until none has, and returns how many are left.
func (d *demandPlan) packVacant(tasks int) (left int) {
next:
	for ; tasks > 0; tasks-- {
		for _, name := range d.Catalog.Names {
			if b, _, _ := d.spaces[name].Insert(d.newItem(), d.permitted); b != nil {
				d.addWork(name, 1)
				continue next
			}
		}
		return tasks
	}
	return 0
}

// addWork counts the work of some tasks on machines of a type.
func (d *demandPlan) addWork(machineType string, tasks int) {
	if !d.demand.Elastic {
		d.machineSeconds[machineType] = math.Inf(1) // gangs and replicas need all their places
		return
	}
	share := d.Catalog.Capacity(machineType).Share(d.demand.Request)
	d.machineSeconds[machineType] += float64(tasks) * d.demand.TaskSeconds * share
}

// openMachine counts a new machine.
func (d *demandPlan) openMachine(o Offer) {
	// This prevents a job from waiting for ever because the machines at hand count as enough while
	// none of them may or can take it.
	patience := time.Duration(float64(d.Catalog.StartupTime(o.Type)) * onDemandHorizonStartups)
	if d.demand.Urgent || d.Now.Sub(d.demand.WaitingSince) > patience || !d.anyPermitted() {
		d.minNewMachines[o]++
	}
	d.newMachines[o]++
	d.machinesInZone[o.Zone]++
	d.newMachineTotal++
}

// anyPermitted reports whether a machine at hand, or about to be rented, may take the tasks at all.
func (d *demandPlan) anyPermitted() bool {
	constraints := d.demand.Constraints
	for i := range d.Fleet {
		if m := &d.Fleet[i]; m.InService && constraints.Permits(m.Offer) && m.Capacity.Fits(d.demand.Request) {
			return true
		}
	}
	for o := range d.newMachines {
		if constraints.Permits(o) {
			return true
		}
	}
	for _, r := range d.planner.inFlight {
		if constraints.Permits(r.Offer()) {
			return true
		}
	}
	return false
}

// maxItemsPerEmptyBin bounds for how many tasks it is tried whether an empty machine holds them, as
// tasks that take next to nothing never fill one. It bounds neither machines nor tasks: a machine
// that holds more has room left, and the others are packed into it one by one.
const maxItemsPerEmptyBin = 100

// itemsPerEmptyBin returns how many items of a size an empty bin holds by the rules of the packing,
// and whether other items may join them.
func itemsPerEmptyBin(capacity, request packing.Resources) (n int, leavesRoom bool) {
	b := packing.NewBin("", capacity)
	s := &packing.Space{NoFirstFit: true}
	s.Add(b)
	for n < maxItemsPerEmptyBin {
		if in, _, _ := s.Insert(&packing.Item{Request: request}, nil); in == nil {
			break
		}
		n++
	}
	return max(n, 1), b.AcceptsAny()
}

// candidate is an offer with what decides between offers.
type candidate struct {
	offer           Offer
	outageSuspected bool    // its zone is probably cut off
	cost            float64 // the price of the share of a machine that a task takes
	machinesInZone  int     // that its zone has
}

// better reports whether an offer is to be preferred: what is rented in a zone that is cut off is of
// use only when that is back; then the price decides, and then in which zone the fewest machines are.
func (c *candidate) better(than *candidate) bool {
	if c.outageSuspected != than.outageSuspected {
		return than.outageSuspected
	}
	return c.cost < than.cost || c.cost == than.cost && c.machinesInZone < than.machinesInZone
}

// chooseOffer picks what to rent for a task, spot instances where the job permits.
func (d *demandPlan) chooseOffer() (Offer, bool) {
	var best candidate
	found := false
	for _, name := range d.Catalog.Names {
		t := d.Catalog.Types[name]
		capacity := capacityOf(&t)
		if !capacity.Fits(d.demand.Request) {
			continue
		}
		share := capacity.Share(d.demand.Request)
		for _, spot := range []bool{true, false} {
			price := t.Price
			if spot {
				if price = t.SpotPrice; price <= 0 {
					continue
				}
			}
			cost := price * share
			// Most offers are dearer than the best one so far, whatever their zone.
			if found && !best.outageSuspected && cost > best.cost {
				continue
			}
			for _, zone := range t.Zones {
				o := Offer{name, zone, spot}
				if !d.available(o) {
					continue
				}
				c := candidate{offer: o, outageSuspected: d.OutageSuspected(zone), cost: cost, machinesInZone: d.machinesInZone[zone]}
				if !found || c.better(&best) {
					best, found = c, true
				}
			}
		}
	}
	return best.offer, found
}

// available reports whether an offer may be rented for the demand now.
func (d *demandPlan) available(o Offer) bool {
	return d.demand.Constraints.Permits(o) && !d.Now.Before(d.planner.refusedUntil[o]) &&
		!d.ScaleOutBlocked(o.Type, o.Zone) && d.demand.Constraints.PermitsZone(o.Zone)
}
