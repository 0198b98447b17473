package loadtest

import (
	"testing"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/goldentest"
	"drumpick/internal/records"
)

// Results are stored and compared across versions, and the processes of a run exchange messages. The encoding of
// both must not change.
func TestGolden(t *testing.T) {
	latency := LatencySummary{Count: 1, P50: 2.5, P95: 3.5, P99: 4.5, Max: 5.5}
	traffic := Traffic{Messages: 1, Sent: 2, Received: 3}
	r := Result{
		Version: "v", StartedAt: time.Date(2026, 1, 31, 22, 0, 0, 0, time.UTC), Cores: 2,
		Size: Size{Workers: 3, RealWorkers: 4, Tasks: 5, StartRate: 6.5, Controllers: 7, Teams: 8, Zones: 9, Deployments: 10, MeasureTime: 11,
			Faults: FaultConfig{TimeCompression: 1.5, Rack: true, Zone: true, Leader: true}, StoreRPS: 12.5, StoreWrites: 13.5},
		MeasuredS: 14.5, Workers: 15, MaxRunning: 16, StartRate: StartRates{Mean: 17.5, Peak: 18.5},
		Usage:   map[string]Usage{"controller": {Processes: 1, Cores: 2.5, PeakCores: 3.5, MemoryMB: 4.5}},
		Traffic: map[string]Traffic{"reports": traffic}, StartLatency: map[string]LatencySummary{"train": latency},
		CommandToRunning: latency, UrgentOnTimeShare: 19.5, LeaseExpiries: 20,
		LostStarts: 21, RejectedHeartbeats: 22, AcceptedJobs: 23, FinishedJobs: 24, UnansweredSubmissions: 25,
		InjectedFaults: InjectedFaults{
			MachineFailures: 1, MachineRestarts: 2, RackFailures: 3, ZoneFailures: 4, Failovers: []Failover{{Deployment: 1, NewLeaderS: 2.5, FirstStartS: 3.5}},
		},
		Violations: []Violation{{Rule: "r", Detail: "w"}},
	}
	// Only WithoutTeams is unset, which is a Result itself.
	if unset := goldentest.UnsetFields(r, "json"); len(unset) != 1 {
		t.Errorf("unset fields: got %v, want only WithoutTeams", unset)
	}
	paired := r
	paired.WithoutTeams = &r
	goldentest.Run(t, "golden-results.json", goldentest.JSON, []goldentest.Case{
		{Name: "result", Value: paired, AllowUnset: true},
		{Name: "result, empty", Value: Result{}, AllowUnset: true},
		{Name: "what happened", Value: r.InjectedFaults},
		{Name: "setup", Value: Setup{Controllers: []ControllerAddr{{Name: "n-1", Addr: "a:1"}}, MachineTypes: []records.MachineType{{
			Name: "c4", CPUs: 4, GPUs: 1, MemGB: 16, CacheGB: 50, FetchGBps: 0.5, Price: 0.2, SpotPrice: 0.05, StartupS: 30, Zones: []string{"a"},
		}}}},
		{Name: "placement", Value: MachineRequest{
			Machine: "m-1", Rental: autoscaler.RentalRequest{Name: "b-1", Type: "g8", Zone: "a", Spot: true, Count: 3},
		}},
		{Name: "placed", Value: MachineAddr{Addr: "a:1"}},
		{Name: "counts of workers", Value: WorkerCounts{
			Machines: 1, Running: 2, Starts: 3, LeaseExpiries: 4, Heartbeats: traffic, RejectedHeartbeats: 5, Commands: traffic,
		}},
		{Name: "child", Value: childAddrs{ControlAddr: "a:1", StoreAddr: "a:2"}},
	})
}
