package autoscaler

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// anyOf are the constraints of a job that may use some machine types and spot machines or not.
type anyOf struct {
	types []string
	spot  bool
}

func (a anyOf) Permits(o Offer) bool    { return slices.Contains(a.types, o.Type) && (a.spot || !o.Spot) }
func (anyOf) PermitsZone(z string) bool { return z != "z" }

// newMixedInput returns the input of a plan of several types, zones and jobs, drawn by the seed.
func newMixedInput(seed uint64, now time.Time) PlanInput {
	random := rand.New(rand.NewPCG(seed, 3))
	types := map[string]records.MachineType{}
	names := []string{"c4", "c16", "g8"}
	for i, name := range names {
		size := []float64{4, 16, 96}[i]
		types[name] = records.MachineType{Name: name, CPUs: size, GPUs: float64(i / 2 * 8), MemGB: 4 * size, Price: size / 20,
			SpotPrice: float64(random.IntN(2)) * size / 50, StartupS: 30, Zones: []string{"a", "b", "z"}}
	}
	in := newPlanInput(now, 0)
	in.Catalog, in.Demand = Catalog{Types: types, Names: names}, nil
	for range random.IntN(12) {
		o := Offer{Type: names[random.IntN(3)], Zone: "a"}
		in.Fleet = append(in.Fleet, Machine{Offer: o, InService: true, Vacant: random.IntN(2) == 0, Capacity: in.Catalog.Capacity(o.Type)})
	}
	for i := range 1 + random.IntN(6) {
		size := []float64{0, 0.02, 0.3, 1, 1.5, 2.5, 4, 12, 50}[random.IntN(9)]
		in.Demand = append(in.Demand, Demand{
			Job: fmt.Sprintf("j-%d", i), Tasks: 1 + random.IntN(3000),
			Request:     packing.Resources{CPU: size, Mem: size * float64(random.IntN(5)), StatusBytes: 80},
			TaskSeconds: float64(random.IntN(10_000)), Elastic: random.IntN(4) > 0, Urgent: random.IntN(4) == 0,
			WaitingSince: now.Add(-time.Duration(random.IntN(300)) * time.Second),
			Constraints:  anyOf{names[random.IntN(3):], random.IntN(2) == 0},
		})
	}
	return in
}

// packOneByOne is the reference for demandPlan.pack: it inserts an item for each task.
func (d *demandPlan) packOneByOne() {
	for left := d.insertOneByOne(d.demand.Tasks); left > 0; left = d.insertOneByOne(left) {
		o, found := d.chooseOffer()
		if !found {
			return
		}
		if d.newMachineTotal >= maxNewMachines {
			d.addWork(o.Type, left)
			return
		}
		d.openMachine(o)
		b := packing.NewBin("", d.Catalog.Capacity(o.Type))
		b.Owner = o
		alone := &packing.Space{NoFirstFit: true}
		alone.Add(b)
		packed := 0
		for packed < left {
			if in, _, _ := alone.Insert(&packing.Item{Request: d.demand.Request}, nil); in == nil {
				break
			}
			packed++
		}
		packed = max(packed, 1)
		d.addWork(o.Type, packed)
		left -= packed
		if alone.Remove(b); b.AcceptsAny() {
			d.spaces[o.Type].Add(b)
		}
	}
}

// insertOneByOne inserts tasks into machines with room and returns how many are left.
func (d *demandPlan) insertOneByOne(tasks int) (left int) {
next:
	for ; tasks > 0; tasks-- {
		for _, name := range d.Catalog.Names {
			if b, _, _ := d.spaces[name].Insert(&packing.Item{Request: d.demand.Request}, d.permitted); b != nil {
				d.addWork(name, 1)
				continue next
			}
		}
		return tasks
	}
	return 0
}

// A plan that counts equal tasks requests the same machines as one that packs each task by itself.
func TestPlanCountsEqualTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	for seed := range uint64(200) {
		in := newMixedInput(seed, now)
		planner := NewPlanner(2)
		got := planner.Plan(in)

		reference := newPlan(planner, in)
		supply := reference.addSupply()
		for i := range in.Demand {
			newDemandPlan(reference, &in.Demand[i]).packOneByOne()
		}
		if want := reference.requests(supply); !slices.Equal(got, want) {
			t.Fatalf("seed %d: requests are %+v, want %+v", seed, got, want)
		}
	}
}

// The memory of a plan depends on its machines and jobs, not on the tasks that wait. A plan once held an
// item for each task: ten arrays of 100,000 small tasks took more memory than a controller has, each
// leader was ended for it, and no task of any job was started.
func TestPlanMemoryDoesNotGrowWithTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	allocated := func(tasks int) uint64 {
		in := newPlanInput(now, 0)
		in.Demand = nil
		for i := range 10 {
			in.Demand = append(in.Demand, Demand{
				Job: fmt.Sprintf("j-%d", i), Tasks: tasks, Request: packing.Resources{CPU: 4.0 / float64(tasks), StatusBytes: 0.1},
				TaskSeconds: 18, Elastic: true, WaitingSince: now, Constraints: unconstrained{},
			})
		}
		planner := NewPlanner(2)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		requests := planner.Plan(in)
		runtime.ReadMemStats(&after)
		if len(requests) != 1 {
			t.Fatalf("%d tasks a job: requests are %+v, want one", tasks, requests)
		}
		return after.TotalAlloc - before.TotalAlloc
	}
	few, many := allocated(100), allocated(100_000)
	if many > 2*few {
		t.Errorf("a plan of ten jobs with 100,000 tasks each allocates %d bytes, %d with 100 tasks each", many, few)
	}
}
