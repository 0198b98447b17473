package autoscaler

import (
	"math"
	"sort"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
)

// maxNewMachines bounds the computation of one plan, in machines. It does not bound the fleet: the
// next plan, a quarter of a heartbeat interval later, adds what this one leaves out. It exceeds the
// largest fleet that one leader has served, so that machines for all waiting work are planned at once
// and no type or zone waits for another.
const maxNewMachines = 200 * MaxRentCount

// Planning horizons: how long, in startup times, the existing machines may take for all the work before
// more are rented. Where the type is cheaper as spot, on-demand machines pay off only for longer work.
const (
	spotHorizonStartups     = 1.0
	onDemandHorizonStartups = 4.0
)

// Planner decides which machines to rent. It tracks the requests in flight and the offers for which
// the cloud had no capacity. It does no I/O and reads no clock. It is not safe for concurrent use.
type Planner struct {
	backoffStartups float64                  // backoff of a refused offer, in startup times
	refusedUntil    map[Offer]time.Time      // end of the backoff, by offer
	inFlight        map[string]RentalRequest // by name
}

// NewPlanner returns a planner that retries a refused offer after backoffStartups startup times.
func NewPlanner(backoffStartups float64) *Planner {
	return &Planner{
		backoffStartups: backoffStartups,
		refusedUntil:    map[Offer]time.Time{},
		inFlight:        map[string]RentalRequest{},
	}
}

// Track records that a rental request is in flight.
func (p *Planner) Track(r RentalRequest) { p.inFlight[r.Name] = r }

// Untrack records that a rental request has been answered or abandoned.
func (p *Planner) Untrack(r RentalRequest) { delete(p.inFlight, r.Name) }

// BackOff starts the backoff of a request's offer; startup is the startup time of the machine type.
func (p *Planner) BackOff(r RentalRequest, startup time.Duration, now time.Time) {
	p.refusedUntil[r.Offer()] = now.Add(time.Duration(float64(startup) * p.backoffStartups))
}

// RefusedUntil returns the end of an offer's backoff; zero if the offer was never refused.
func (p *Planner) RefusedUntil(o Offer) time.Time { return p.refusedUntil[o] }

// Constraints are a job's constraints on machines.
type Constraints interface {
	// Permits reports whether the job may use machines of an offer.
	Permits(o Offer) bool
	// PermitsZone reports whether the job may use a zone, given the zones of its tasks that need not
	// move.
	PermitsZone(zone string) bool
}

// Demand is the waiting tasks of one job.
type Demand struct {
	Job          string
	Tasks        int
	Request      packing.Resources // of one task
	TaskSeconds  float64           // estimated run time of one task
	Elastic      bool              // tasks need not run concurrently: fewer machines just take longer
	Urgent       bool              // machines are rented regardless of the amount of work
	WaitingSince time.Time
	Constraints  Constraints
}

// Machine is a machine of the fleet as an input to a plan.
type Machine struct {
	Offer     Offer
	InService bool              // accepts tasks, now or once it has started
	Vacant    bool              // starting or empty: its whole capacity is free
	Capacity  packing.Resources // as used by placement
}

// PlanInput is the input of one plan.
type PlanInput struct {
	Now         time.Time
	Catalog     Catalog
	Fleet       []Machine
	Demand      []Demand           // in the order in which jobs are served
	RunningWork map[string]float64 // remaining work of running tasks, in machine seconds by type
	// ScaleOutBlocked reports whether no machines of a type may be rented in a zone.
	ScaleOutBlocked func(machineType, zone string) bool
	// OutageSuspected reports whether a zone outage is suspected.
	OutageSuspected func(zone string) bool
	// Headroom returns how many of the wanted machines the leader can serve beside existing ones.
	Headroom func(existing, wanted int) int
}

// plan is the working state of one call of Planner.Plan.
type plan struct {
	PlanInput
	planner         *Planner
	spaces          map[string]*packing.Space // by type: vacant, requested and new machines with room
	machinesInZone  map[string]int            // existing, requested and new machines, by zone
	newMachines     map[Offer]int             // machines that packing opened, by offer
	minNewMachines  map[Offer]int             // part of newMachines that is rented regardless of the work
	machineSeconds  map[string]float64        // waiting work, by type
	newMachineTotal int                       // new machines of all offers
}

// newPlan returns a plan without machines.
func newPlan(p *Planner, in PlanInput) *plan {
	state := &plan{
		PlanInput: in, planner: p, spaces: map[string]*packing.Space{}, machinesInZone: map[string]int{},
		newMachines: map[Offer]int{}, minNewMachines: map[Offer]int{}, machineSeconds: map[string]float64{},
	}
	for _, name := range in.Catalog.Names {
		state.spaces[name] = &packing.Space{NoFirstFit: true}
	}
	return state
}

// Plan returns the requests to send now; the caller names them. It requests the machines that bin
// packing of the demand needs beside the vacant and requested ones, but no more than the work keeps
// busy for the planning horizon, unless openMachine counts them as rented regardless of the work.
// Headroom and MaxRentCount bound each request, and an offer with a request in flight gets none.
func (p *Planner) Plan(in PlanInput) []RentalRequest {
	state := newPlan(p, in)
	supplyByType := state.addSupply()
	for i := range in.Demand {
		newDemandPlan(state, &in.Demand[i]).pack()
	}
	return state.requests(supplyByType)
}

// addSupply adds the machines of the fleet and of the requests in flight to the plan. It returns the
// number of machines, by type, that accept tasks now or once they have started.
func (p *plan) addSupply() (supplyByType map[string]int) {
	supplyByType = map[string]int{}
	for _, m := range p.Fleet {
		p.machinesInZone[m.Offer.Zone]++
		if m.InService {
			supplyByType[m.Offer.Type]++
		}
		if m.Vacant && p.spaces[m.Offer.Type] != nil {
			p.addBin(m.Offer)
		}
	}
	for _, r := range p.planner.inFlight {
		for range r.Count {
			p.addBin(r.Offer())
		}
		p.machinesInZone[r.Zone] += r.Count
		supplyByType[r.Type] += r.Count
	}
	return supplyByType
}

func (p *plan) addBin(o Offer) *packing.Bin {
	b := packing.NewBin("", p.Catalog.Capacity(o.Type))
	b.Owner = o
	p.spaces[o.Type].Add(b)
	return b
}

// requests bounds the new machines by the amount of work and returns the requests for them.
func (p *plan) requests(supplyByType map[string]int) []RentalRequest {
	offers := make([]Offer, 0, len(p.newMachines))
	for o := range p.newMachines {
		offers = append(offers, o)
	}
	sort.Slice(offers, func(a, b int) bool { return offers[a].before(offers[b]) })
	inFlight := map[Offer]bool{}
	for _, r := range p.planner.inFlight {
		inFlight[r.Offer()] = true
	}
	var requests []RentalRequest
	for _, o := range offers {
		n := p.rentCount(o, supplyByType)
		supplyByType[o.Type] += max(n, 0)
		// One request in flight per offer: after a refusal the next one would be refused as
		// well, and the cloud's rate limit is low.
		if n <= 0 || inFlight[o] {
			continue
		}
		requests = append(requests, RentalRequest{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: min(n, MaxRentCount)})
	}
	return requests
}

// rentCount returns how many machines of an offer to rent, given the supply by type. Work that the
// existing machines complete within the planning horizon needs no more machines.
func (p *plan) rentCount(o Offer, supplyByType map[string]int) int {
	n := p.newMachines[o]
	if work := p.machineSeconds[o.Type] + p.RunningWork[o.Type]; work < math.Inf(1) {
		horizon := max(p.Catalog.StartupTime(o.Type).Seconds(), 1) * p.horizonStartups(o)
		worthwhile := int(math.Ceil(work/horizon)) - supplyByType[o.Type]
		n = min(n, max(worthwhile, p.minNewMachines[o]))
	}
	existing := 0
	for _, count := range supplyByType {
		existing += count
	}
	return p.Headroom(existing, n)
}

// horizonStartups returns the planning horizon of an offer, in startup times.
func (p *plan) horizonStartups(o Offer) float64 {
	if t := p.Catalog.Types[o.Type]; !o.Spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
		return onDemandHorizonStartups
	}
	return spotHorizonStartups
}

// demandPlan is the part of a plan that serves one demand.
type demandPlan struct {
	*plan
	demand    *Demand
	permitted func(*packing.Bin) bool
}

func newDemandPlan(p *plan, demand *Demand) *demandPlan {
	return &demandPlan{plan: p, demand: demand, permitted: func(b *packing.Bin) bool {
		o := b.Owner.(Offer)
		return demand.Constraints.Permits(o) && demand.Constraints.PermitsZone(o.Zone)
	}}
}

// pack packs the tasks into machines with room and opens new machines for the rest, each for as many
// tasks as an empty one holds. The tasks are equal, so they are counted only: a plan takes memory and time
// for each machine and job, but not for each of the millions of tasks that may wait.
func (d *demandPlan) pack() {
	left := d.packVacant(d.demand.Tasks)
	// The number of tasks that an empty machine holds is cached for consecutive offers of the same
	// type.
	packedType, perMachine, leavesRoom := "", 0, false
	for left > 0 {
		o, found := d.chooseOffer()
		if !found {
			return
		}
		if d.newMachineTotal >= maxNewMachines {
			d.addWork(o.Type, left) // these tasks exceed this plan's bound, but count as waiting work
			return
		}
		d.openMachine(o)
		if o.Type != packedType {
			packedType = o.Type
			perMachine, leavesRoom = d.tasksPerEmptyMachine(packedType, left)
		}
		packed := min(left, perMachine)
		d.addWork(o.Type, packed)
		left -= packed
		if packed < perMachine || leavesRoom {
			d.addBin(o).AddEqual(d.demand.Request, packed) // this machine has room for tasks of other jobs
		}
	}
}

// tasksPerEmptyMachine returns how many of up to limit tasks of the demand an empty machine of a type
// holds by the packing rules, at least 1, and whether the machine accepts other tasks beside them.
func (d *demandPlan) tasksPerEmptyMachine(machineType string, limit int) (n int, leavesRoom bool) {
	b := packing.NewBin("", d.Catalog.Capacity(machineType))
	space := &packing.Space{NoFirstFit: true}
	space.Add(b)
	n = space.InsertEqual(d.demand.Request, limit, nil)
	return max(n, 1), b.AcceptsAny()
}

// packVacant packs tasks into machines with room until none has any, and returns how many tasks are
// left.
func (d *demandPlan) packVacant(tasks int) (left int) {
	left = tasks
	for _, name := range d.Catalog.Names {
		if packed := d.spaces[name].InsertEqual(d.demand.Request, left, d.permitted); packed > 0 {
			d.addWork(name, packed)
			left -= packed
		}
	}
	return left
}

// addWork adds the work of some of the demand's tasks to the waiting work of a machine type.
func (d *demandPlan) addWork(machineType string, tasks int) {
	if !d.demand.Elastic {
		d.machineSeconds[machineType] = math.Inf(1) // gangs and replicas need all their machines at once
		return
	}
	share := d.Catalog.Capacity(machineType).ShareWithStatus(d.demand.Request)
	d.machineSeconds[machineType] += float64(tasks) * d.demand.TaskSeconds * share
}

// openMachine counts one more machine to rent by an offer. The caller packs tasks into it.
func (d *demandPlan) openMachine(o Offer) {
	// Machines for these tasks are rented regardless of the amount of work. Otherwise a job could
	// wait forever: the existing machines count as enough although none of them may or can run it.
	maxWait := time.Duration(float64(d.Catalog.StartupTime(o.Type)) * onDemandHorizonStartups)
	if d.demand.Urgent || d.Now.Sub(d.demand.WaitingSince) > maxWait || !d.anyPermitted() {
		d.minNewMachines[o]++
	}
	d.newMachines[o]++
	d.machinesInZone[o.Zone]++
	d.newMachineTotal++
}

// anyPermitted reports whether any machine, existing or about to be rented, may run the demand's
// tasks.
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

// candidate is an offer with the criteria for choosing between offers.
type candidate struct {
	offer           Offer
	outageSuspected bool    // of its zone
	cost            float64 // price of the share of a machine that a task takes
	machinesInZone  int     // existing and planned
}

// better reports whether an offer is preferred to another. An offer in a zone without a suspected
// outage comes first, because machines in the other zone are useless until that zone recovers; then
// the lower cost; then the zone with fewer machines.
func (c *candidate) better(other *candidate) bool {
	if c.outageSuspected != other.outageSuspected {
		return other.outageSuspected
	}
	return c.cost < other.cost || c.cost == other.cost && c.machinesInZone < other.machinesInZone
}

// chooseOffer returns the best available offer for a task of the demand, and whether there is one.
func (d *demandPlan) chooseOffer() (Offer, bool) {
	var best candidate
	found := false
	for _, name := range d.Catalog.Names {
		t := d.Catalog.Types[name]
		capacity := fleet.Capacity(&t)
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
			// Most offers cost more than the best one so far in every zone: skip the zones.
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

// available reports whether an offer may be requested for the demand now.
func (d *demandPlan) available(o Offer) bool {
	return d.demand.Constraints.Permits(o) && !d.Now.Before(d.planner.refusedUntil[o]) &&
		!d.ScaleOutBlocked(o.Type, o.Zone) && d.demand.Constraints.PermitsZone(o.Zone)
}
