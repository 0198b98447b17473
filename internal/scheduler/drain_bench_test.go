package scheduler

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// newBusyFleet returns a scheduler with the given number of machines and ten running tasks on each,
// and the current time.
func newBusyFleet(b *testing.B, machines int) (*Scheduler, time.Time) {
	old := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	b.Cleanup(func() { slog.SetDefault(old) })
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 24, GangWaitS: 30, GangPeerLossS: 5, CancelS: 44}
	cfg.Deployment.Store.ValueKB, cfg.Deployment.Zones, cfg.Deployment.Teams = 8, []string{"a", "b", "c"}, []config.Team{{Name: "team"}}
	now := time.Unix(1_000_000, 0)
	s := New(SettingsOf(cfg), 5, now)
	s.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, StartupS: 20, CacheGB: 40, FetchGBps: 0.1, Zones: cfg.Deployment.Zones}})
	s.CheckReconciled(now)
	const perJob = 100
	for i := range machines * 10 / perJob {
		j := records.Job{
			ID: fmt.Sprint("j-", i), Team: "team", Class: fmt.Sprint("class-", i%5), Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: perJob,
			CPUs: 0.4, MemGB: 1, Image: fmt.Sprint("img-", i%8), ImageGB: 1, EstimateS: 300, Spot: true, AcceptedMS: now.UnixMilli(),
		}
		if i%2 == 0 {
			j.CheckpointS, j.SaveS = 30, 4
		}
		s.AddJob(j, 10, now, now)
	}
	heartbeats := make([]*fleet.Heartbeat, machines)
	for i := range heartbeats {
		name := fmt.Sprintf("m-%06d", i)
		heartbeats[i] = &fleet.Heartbeat{Machine: name, Addr: name, Type: "c4", Zone: cfg.Deployment.Zones[i%3], Spot: true, Incarnation: 1, FencingToken: 5, Version: "1"}
		first := *heartbeats[i]
		m, _ := s.Reconcile(&first, true, now)
		m.Recorded = true
	}
	for round := range 2 {
		now = now.Add(5 * time.Second)
		for _, hb := range heartbeats {
			hb.Sequence++
			sent := *hb
			m, _ := s.Reconcile(&sent, true, now)
			if round == 0 {
				s.PlanMachine(m, now)
			}
			for _, command := range s.Respond(m, round == 0, now).Commands {
				hb.Tasks = append(hb.Tasks, fleet.TaskStatus{Task: command.Task, Attempt: command.Attempt, Status: "running"})
			}
		}
	}
	n := 0
	for _, hb := range heartbeats {
		n += len(hb.Tasks)
	}
	if n != machines*10 {
		b.Fatalf("%d tasks run on %d machines", n, machines)
	}
	b.ResetTimer()
	return s, now
}

// BenchmarkDrainPlan measures previews of the drain of a zone and of the upgrade of all machines, by
// fleet size.
func BenchmarkDrainPlan(b *testing.B) {
	for _, machines := range []int{1000, 3000, 10000} {
		for name, spec := range map[string]drain.Spec{
			"zone": {ID: "d-1", Kind: drain.KindDrain, Zone: "a"}, "upgrade": {ID: "d-1", Kind: drain.KindUpgrade, TargetVersion: "2", MaxOutOfService: 100, MinInService: 100},
		} {
			b.Run(fmt.Sprintf("%s-%d", name, machines), func(b *testing.B) {
				s, now := newBusyFleet(b, machines)
				for b.Loop() {
					if _, err := s.PreviewDrain(&spec, false, now); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkRunDrains measures the pass that the leader runs each heartbeat interval during a drain,
// by fleet size.
func BenchmarkRunDrains(b *testing.B) {
	for _, machines := range []int{1000, 3000, 10000} {
		for name, spec := range map[string]drain.Spec{
			"zone": {ID: "d-1", Kind: drain.KindDrain, Zone: "a"}, "upgrade": {ID: "d-1", Kind: drain.KindUpgrade, TargetVersion: "2", MaxOutOfService: 100, MinInService: 100},
		} {
			b.Run(fmt.Sprintf("%s-%d", name, machines), func(b *testing.B) {
				s, now := newBusyFleet(b, machines)
				s.SetDrain(spec, nil, 0)
				for b.Loop() {
					s.runDrains(now)
				}
			})
		}
	}
}

// BenchmarkDrainOfSpreadJob measures the plan and one pass of a drain of one of two zones, in which a job
// with a zone constraint has half of its tasks. Its time must grow with the tasks, not with their square.
func BenchmarkDrainOfSpreadJob(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000} {
		spec := drain.Spec{ID: "d-1", Kind: drain.KindDrain, Zone: "a"}
		b.Run(fmt.Sprintf("plan/machines=%d", machines), func(b *testing.B) {
			s, now := newSpreadJob(b, machines)
			for b.Loop() {
				if _, err := s.PreviewDrain(&spec, true, now); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("pass/machines=%d", machines), func(b *testing.B) {
			s, now := newSpreadJob(b, machines)
			s.SetDrain(spec, nil, 0)
			for b.Loop() {
				s.runDrains(now)
			}
		})
	}
}

// newSpreadJob returns a scheduler with machines of four CPUs in two zones, all full with the tasks of one
// job that is spread over the zones, and the current time.
func newSpreadJob(b testing.TB, machines int) (*Scheduler, time.Time) {
	old := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	b.Cleanup(func() { slog.SetDefault(old) })
	const tasksPerMachine = 4
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 24, GangWaitS: 30, GangPeerLossS: 5, CancelS: 44}
	cfg.Deployment.Store.ValueKB, cfg.Deployment.Zones, cfg.Deployment.Teams = 8, []string{"a", "b"}, []config.Team{{Name: "team"}}
	now := time.Unix(1_000_000, 0)
	s := New(SettingsOf(cfg), 5, now)
	s.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: tasksPerMachine, MemGB: 16, Price: 0.2, StartupS: 20, CacheGB: 40, FetchGBps: 0.1, Zones: cfg.Deployment.Zones}})
	s.CheckReconciled(now)
	s.AddJob(records.Job{
		ID: "j-1", Team: "team", Class: "any", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: machines * tasksPerMachine,
		CPUs: 1, MemGB: 1, Image: "img", EstimateS: 300, SpreadZones: true, AcceptedMS: now.UnixMilli(),
	}, 10, now, now)
	for i := range machines {
		heartbeat := fleet.Heartbeat{Machine: fmt.Sprintf("m-%06d", i), Addr: "a", Type: "c4", Zone: cfg.Deployment.Zones[i%2], Incarnation: 1, FencingToken: 5}
		empty := heartbeat
		m, _ := s.Reconcile(&empty, true, now)
		m.Recorded, m.Unverified = true, false
		heartbeat.Sequence = 1
		for n := range tasksPerMachine {
			heartbeat.Tasks = append(heartbeat.Tasks, fleet.TaskStatus{Task: fmt.Sprint("j-1/", i*tasksPerMachine+n), Attempt: 1, Status: "running"})
		}
		s.Reconcile(&heartbeat, true, now)
	}
	return s, now
}
