package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// fleetSize is a fleet of the size that users run.
const fleetSize = 4000

// newLimitsScheduler is a reconciled scheduler of three zones that has read the cloud's list.
func newLimitsScheduler(types []records.MachineType) (*Scheduler, time.Time) {
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 24, GangWaitS: 30, GangPeerS: 5, CancelS: 44}
	cfg.Deployment.State.ValueKB, cfg.Deployment.Zones, cfg.Deployment.Teams = 8, []string{"a", "b", "c"}, []config.Team{{Name: "team"}}
	now := time.Unix(1_000_000, 0)
	c := New(SettingsOf(cfg), 5, now)
	for i := range types {
		types[i].Zones = cfg.Deployment.Zones
	}
	c.SetMachineTypes(types)
	c.CheckReconciled(now)
	c.ReconcileCloudList(nil, now, now)
	return c, now
}

// startMachines brings machines up, n of them with nothing on them.
func startMachines(c *Scheduler, n int, now time.Time) []string {
	var names []string
	for i := range n {
		h := fmt.Sprintf("m-%06d", i)
		m, _ := c.Reconcile(&fleet.Heartbeat{Machine: h, Addr: h, Type: "c4", Zone: c.settings.Zones[i%3], Incarnation: 1, FencingToken: 5, Version: "1"}, true, now)
		m.Recorded = true
		names = append(names, h)
	}
	return names
}

// An upgrade takes a fleet of thousands of machines at once where operators ask for that.
func TestUpgradeWholeFleetAtOnce(t *testing.T) {
	c, now := newLimitsScheduler([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20}})
	startMachines(c, fleetSize+100, now)
	spec := drain.Spec{ID: "d-1", Kind: drain.KindUpgrade, TargetVersion: "2", MaxOutOfService: fleetSize, MinInService: 5}
	if err := spec.Check(now); err != nil {
		t.Fatal(err)
	}
	if _, err := c.PreviewDrain(&spec, false, now); err != nil {
		t.Fatal(err)
	}
	c.SetDrain(spec, nil, 0)
	c.runDrains(now)
	v, _ := c.DrainView("d-1")
	cordoned := 0
	for _, m := range c.fleet.Sorted() {
		if m.Cordon != nil {
			cordoned++
		}
	}
	if len(v.State.OutOfService) != fleetSize || cordoned != fleetSize {
		t.Errorf("%d machines out of service, %d cordoned, want %d of both", len(v.State.OutOfService), cordoned, fleetSize)
	}
}

// A drain that names thousands of machines drains just these.
func TestDrainOfThousandsByName(t *testing.T) {
	c, now := newLimitsScheduler([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20}})
	names := startMachines(c, fleetSize+100, now)
	spec := drain.Spec{ID: "d-1", Kind: drain.KindDrain, Machines: names[:fleetSize]}
	if err := spec.Check(now); err != nil {
		t.Fatal(err)
	}
	p, err := c.PreviewDrain(&spec, false, now)
	if err != nil || p.Total.Machines != fleetSize {
		t.Fatalf("planned: %v, %v", p, err)
	}
	c.SetDrain(spec, nil, 0)
	c.runDrains(now)
	for _, m := range c.fleet.Sorted() {
		if drained := m.Cordon != nil; drained != slices.Contains(names[:fleetSize], m.Name) {
			t.Fatalf("%s drained: %v", m.Name, drained)
		}
	}
}

// One plan is for a whole fleet: machines for the work of thousands, of many types, are requested at
// once, by requests of the protocol's size.
func TestPlanForWholeFleet(t *testing.T) {
	const want, perType = 4500, 150
	var types []records.MachineType
	for i := range want / perType {
		types = append(types, records.MachineType{Name: fmt.Sprintf("t%02d", i), CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20})
	}
	c, now := newLimitsScheduler(types)
	for i := range types {
		c.AddJob(records.Job{
			ID: fmt.Sprint("j-", i), Team: "team", Class: "class", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: perType,
			CPUs: 4, MemGB: 1, Image: "img", EstimateS: 3600, Types: []string{types[i].Name}, AcceptedMS: now.UnixMilli(),
		}, 10, now, now)
	}
	asked := 0
	for _, r := range c.PlanRentals(now) {
		if asked += r.Count; r.Count > autoscaler.MaxRentCount {
			t.Fatalf("a request for %d machines", r.Count)
		}
	}
	if asked != want {
		t.Errorf("%d machines are requested by one plan, want %d", asked, want)
	}
}

// The protocol's bounds of one request bound no fleet: plan by plan, all machines of one type and zone
// that work needs are rented, and all are returned.
func TestRequestLimitsDoNotBoundFleet(t *testing.T) {
	const want = 4500
	c, now := newLimitsScheduler([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20}})
	zone := "a"
	c.AddJob(records.Job{
		ID: "j-1", Team: "team", Class: "class", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: want,
		CPUs: 4, MemGB: 1, Image: "img", EstimateS: 3600, Zone: &zone, AcceptedMS: now.UnixMilli(),
	}, 10, now, now)
	rented := 0
	for range 2 * want / autoscaler.MaxRentCount {
		for _, r := range c.PlanRentals(now) {
			var hosts []string
			for range r.Count {
				hosts = append(hosts, fmt.Sprintf("m-%06d", rented))
				rented++
			}
			c.MachinesRented(r, hosts, now)
		}
		now = now.Add(c.settings.HeartbeatInterval / 4)
	}
	if rented != want {
		t.Fatalf("%d machines are rented, %d are needed", rented, want)
	}
	now = now.Add(time.Hour) // none ever came up
	returned := 0
	for range 2 * want / autoscaler.MaxReturnNames {
		hosts := c.MachinesToReturn(now)
		if len(hosts) > autoscaler.MaxReturnNames {
			t.Fatalf("%d machines are returned at once", len(hosts))
		}
		c.MachinesReturned(hosts, now)
		returned += len(hosts)
	}
	if returned != want {
		t.Errorf("%d machines are returned, %d were rented", returned, want)
	}
}

// BenchmarkPlanOfFleet plans for the work of more machines than one plan counts.
func BenchmarkPlanOfFleet(b *testing.B) {
	for _, cpus := range []float64{4, 1.5} { // machines that are full, and such as have room left
		b.Run(fmt.Sprint(cpus, " CPUs a task"), func(b *testing.B) {
			c, now := newLimitsScheduler([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20}})
			for i := range 45 {
				c.AddJob(records.Job{
					ID: fmt.Sprint("j-", i), Team: "team", Class: "class", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: 400,
					CPUs: cpus, MemGB: 1, Image: "img", EstimateS: 3600, AcceptedMS: now.UnixMilli(),
				}, 10, now, now)
			}
			for b.Loop() {
				for _, r := range c.PlanRentals(now) {
					c.RentalRefused(r, false, now)
				}
			}
		})
	}
}

// BenchmarkDrainOfNames is a pass, and a preview, while a drain by names empties a fleet.
func BenchmarkDrainOfNames(b *testing.B) {
	spec := drain.Spec{ID: "d-1", Kind: drain.KindDrain}
	b.Run("look", func(b *testing.B) {
		c, now := newBusyFleet(b, fleetSize)
		for _, m := range c.fleet.Sorted() {
			spec.Machines = append(spec.Machines, m.Name)
		}
		c.SetDrain(spec, nil, 0)
		for b.Loop() {
			c.runDrains(now)
		}
	})
	b.Run("plan", func(b *testing.B) {
		c, now := newBusyFleet(b, fleetSize)
		for b.Loop() {
			if _, err := c.PreviewDrain(&spec, true, now); err != nil {
				b.Fatal(err)
			}
		}
	})
}
