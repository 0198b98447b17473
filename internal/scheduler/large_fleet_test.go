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

// fleetSize is the number of machines of a large deployment.
const fleetSize = 4000

// newLimitsScheduler returns a reconciled scheduler with three zones that has read the cloud's
// list, and the current time.
func newLimitsScheduler(types []records.MachineType) (*Scheduler, time.Time) {
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 24, GangWaitS: 30, GangPeerLossS: 5, CancelS: 44}
	cfg.Deployment.Store.ValueKB, cfg.Deployment.Zones, cfg.Deployment.Teams = 8, []string{"a", "b", "c"}, []config.Team{{Name: "team"}}
	now := time.Unix(1_000_000, 0)
	s := New(SettingsOf(cfg), 5, now)
	for i := range types {
		types[i].Zones = cfg.Deployment.Zones
	}
	s.SetMachineTypes(types)
	s.CheckReconciled(now)
	s.ReconcileCloudList(nil, now, now)
	return s, now
}

// startMachines adds n empty machines that have sent a heartbeat, and returns their names.
func startMachines(s *Scheduler, n int, now time.Time) []string {
	var names []string
	for i := range n {
		name := fmt.Sprintf("m-%06d", i)
		m, _ := s.Reconcile(&fleet.Heartbeat{Machine: name, Addr: name, Type: "c4", Zone: s.settings.Zones[i%3], Incarnation: 1, FencingToken: 5, Version: "1"}, true, now)
		m.Recorded = true
		names = append(names, name)
	}
	return names
}

// No limit below the fleet size bounds an upgrade: it takes thousands of machines out of service at
// once if the operator requests that.
func TestUpgradeWholeFleetAtOnce(t *testing.T) {
	s, now := newLimitsScheduler([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20}})
	startMachines(s, fleetSize+100, now)
	spec := drain.Spec{ID: "d-1", Kind: drain.KindUpgrade, TargetVersion: "2", MaxOutOfService: fleetSize, MinInService: 5}
	if err := spec.Check(now); err != nil {
		t.Fatal(err)
	}
	if _, err := s.PreviewDrain(&spec, false, now); err != nil {
		t.Fatal(err)
	}
	s.SetDrain(spec, nil, 0)
	s.runDrains(now)
	v, _ := s.DrainView("d-1")
	cordoned := 0
	for _, m := range s.fleet.Sorted() {
		if m.Cordon != nil {
			cordoned++
		}
	}
	if len(v.State.OutOfService) != fleetSize || cordoned != fleetSize {
		t.Errorf("%d machines out of service, %d cordoned, want %d of both", len(v.State.OutOfService), cordoned, fleetSize)
	}
}

// A drain that names thousands of machines drains all of them and no others.
func TestDrainOfThousandsByName(t *testing.T) {
	s, now := newLimitsScheduler([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20}})
	names := startMachines(s, fleetSize+100, now)
	spec := drain.Spec{ID: "d-1", Kind: drain.KindDrain, Machines: names[:fleetSize]}
	if err := spec.Check(now); err != nil {
		t.Fatal(err)
	}
	preview, err := s.PreviewDrain(&spec, false, now)
	if err != nil || preview.Total.Machines != fleetSize {
		t.Fatalf("preview: %v, %v", preview, err)
	}
	s.SetDrain(spec, nil, 0)
	s.runDrains(now)
	for _, m := range s.fleet.Sorted() {
		if drained := m.Cordon != nil; drained != slices.Contains(names[:fleetSize], m.Name) {
			t.Fatalf("%s drained: %v", m.Name, drained)
		}
	}
}

// One scale-out plan covers a whole fleet: it rents thousands of machines of many types, with no
// request above the protocol's maximum.
func TestPlanForWholeFleet(t *testing.T) {
	const want, perType = 4500, 150
	var types []records.MachineType
	for i := range want / perType {
		types = append(types, records.MachineType{Name: fmt.Sprintf("t%02d", i), CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20})
	}
	s, now := newLimitsScheduler(types)
	for i := range types {
		s.AddJob(records.Job{
			ID: fmt.Sprint("j-", i), Team: "team", Class: "class", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: perType,
			CPUs: 4, MemGB: 1, Image: "img", EstimateS: 3600, Types: []string{types[i].Name}, AcceptedMS: now.UnixMilli(),
		}, 10, now, now)
	}
	requested := 0
	for _, r := range s.PlanRentals(now) {
		if requested += r.Count; r.Count > autoscaler.MaxRentCount {
			t.Fatalf("one request for %d machines exceeds the protocol's maximum", r.Count)
		}
	}
	if requested != want {
		t.Errorf("%d machines are requested by one plan, want %d", requested, want)
	}
}

// The protocol's limits per request must not limit the fleet: over several plans, all machines that
// the work needs in one type and zone are rented, and all are returned.
func TestRequestLimitsDoNotBoundFleet(t *testing.T) {
	const want = 4500
	s, now := newLimitsScheduler([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20}})
	zone := "a"
	s.AddJob(records.Job{
		ID: "j-1", Team: "team", Class: "class", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: want,
		CPUs: 4, MemGB: 1, Image: "img", EstimateS: 3600, Zone: &zone, AcceptedMS: now.UnixMilli(),
	}, 10, now, now)
	rented := 0
	for range 2 * want / autoscaler.MaxRentCount {
		for _, r := range s.PlanRentals(now) {
			var names []string
			for range r.Count {
				names = append(names, fmt.Sprintf("m-%06d", rented))
				rented++
			}
			s.MachinesRented(r, names, now)
		}
		now = now.Add(s.settings.HeartbeatInterval / 4)
	}
	if rented != want {
		t.Fatalf("%d machines are rented, %d are needed", rented, want)
	}
	now = now.Add(time.Hour) // no machine sends a heartbeat
	returned := 0
	for range 2 * want / autoscaler.MaxReturnNames {
		names := s.MachinesToReturn(now)
		if len(names) > autoscaler.MaxReturnNames {
			t.Fatalf("one request returns %d machines, more than the protocol's maximum", len(names))
		}
		s.MachinesReturned(names, now)
		returned += len(names)
	}
	if returned != want {
		t.Errorf("%d machines are returned, %d were rented", returned, want)
	}
}

// BenchmarkPlanOfFleet measures a plan for work that needs more machines than one plan rents.
func BenchmarkPlanOfFleet(b *testing.B) {
	for _, cpus := range []float64{4, 1.5} { // tasks that fill a machine, and that leave room
		b.Run(fmt.Sprint(cpus, " CPUs a task"), func(b *testing.B) {
			s, now := newLimitsScheduler([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20}})
			for i := range 45 {
				s.AddJob(records.Job{
					ID: fmt.Sprint("j-", i), Team: "team", Class: "class", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: 400,
					CPUs: cpus, MemGB: 1, Image: "img", EstimateS: 3600, AcceptedMS: now.UnixMilli(),
				}, 10, now, now)
			}
			for b.Loop() {
				for _, r := range s.PlanRentals(now) {
					s.RentalRefused(r, false, now)
				}
			}
		})
	}
}

// BenchmarkDrainOfNames measures a pass and a preview of a drain that names all machines of a fleet.
func BenchmarkDrainOfNames(b *testing.B) {
	spec := drain.Spec{ID: "d-1", Kind: drain.KindDrain}
	b.Run("look", func(b *testing.B) {
		s, now := newBusyFleet(b, fleetSize)
		for _, m := range s.fleet.Sorted() {
			spec.Machines = append(spec.Machines, m.Name)
		}
		s.SetDrain(spec, nil, 0)
		for b.Loop() {
			s.runDrains(now)
		}
	})
	b.Run("plan", func(b *testing.B) {
		s, now := newBusyFleet(b, fleetSize)
		for b.Loop() {
			if _, err := s.PreviewDrain(&spec, true, now); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// Guards against a drain that keeps the leader busy until leases expire: the plan and each pass counted all
// tasks of a job with a zone constraint by zone again for each of its tasks, and so did the commands of
// each heartbeat response. For 8,000 tasks a plan took seconds.
func TestZonesAreCountedOncePerJob(t *testing.T) {
	s, now := newSpreadJob(t, 50)
	spec := drain.Spec{ID: "d-1", Kind: drain.KindDrain, Zone: "a"}
	scansOf := func(name string, limit int, f func()) {
		before := s.zoneScans
		f()
		if n := s.zoneScans - before; n > limit {
			t.Errorf("%s counts the tasks of one job %d times, want at most %d", name, n, limit)
		}
	}
	scansOf("the plan of a drain", 1, func() {
		if plan, err := s.PreviewDrain(&spec, true, now); err != nil || plan.Total.Machines != 25 {
			t.Errorf("got %+v, %v, want a plan of 25 machines", plan, err)
		}
	})
	s.SetDrain(spec, nil, 0)
	scansOf("a pass of a drain", 3, func() { s.runDrains(now) })
	w := newSmallTaskWorker(t, 50)
	job := w.addArray("j-1", 500, 0.1)
	job.OneZone = true
	s = w.scheduler
	scansOf("a machine that starts 500 tasks", 10, w.step)
	if len(w.tasks) != 500 {
		t.Errorf("%d tasks have started, want 500", len(w.tasks))
	}
}
