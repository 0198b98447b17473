// Package loadtest runs deployments of a planned size on one machine: controllers as processes, and hollow workers,
// which speak the whole protocol over sockets while their tasks are timers. It measures what each role costs, and
// checks the rules of the protocol from outside, by what the workers and users saw.
package loadtest

import (
	"fmt"
	"math"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// Size is what to run. All counts are of the whole run, over all regions.
type Size struct {
	Workers     int           `json:"workers"`     // machines, the real ones included
	RealWorkers int           `json:"real"`        // of these, those with a process of their own
	Tasks       int           `json:"tasks"`       // that are to run at the same time
	StartRate   float64       `json:"rate"`        // starts a second at the peak
	Controllers int           `json:"controllers"` // of each region
	Teams       int           `json:"teams"`       // with a guarantee and a limit; 0: one team without
	Zones       int           `json:"zones"`
	Deployments int           `json:"regions"`
	MeasureTime time.Duration `json:"for"` // how long it is measured once it runs
	Faults      FaultConfig   `json:"faults"`
	StoreRPS    float64       `json:"store_rps"` // of each region's store
	StoreWrites float64       `json:"store_writes"`
}

// FaultConfig are the faults that are injected during a run.
type FaultConfig struct {
	TimeCompression float64 `json:"compress"` // seconds of the planned day that pass in one second; 0: no machine fails
	Rack            bool    `json:"rack"`     // a rack's workers at once
	Zone            bool    `json:"zone"`
	Leader          bool    `json:"leader"` // a region's leader is killed
}

// The day planned for: what fails of its workers (docs/CAPACITY.md).
const (
	plannedWorkers        = 7600
	plannedFailuresPerDay = 120  // machines that fail on a day
	plannedRestartsPerDay = 2500 // machines that are restarted or replaced on a day
	workersPerRack        = 40   // of the planned size, those behind one switch
)

// Limits of one run on one machine. They leave room for 7,600 workers in three regions; a size
// beyond them is refused with the reason.
const (
	// MaxProcesses is how many processes a run may start.
	MaxProcesses = 40
	// maxMemoryMB is how much they may hold together.
	maxMemoryMB = 10 << 10
	// workersPerProcess is how many hollow workers share a process.
	workersPerProcess = 1900
)

// Memory that is estimated for each role before a run begins, in MB: more than was measured
// (docs/CAPACITY.md).
const (
	controllerMB          = 120.0
	controllerPerWorkerMB = 0.05 // for each worker of the region
	hollowProcessMB       = 80.0
	hollowWorkerMB        = 0.25
	realWorkerMB          = 40.0
	storeMB               = 200.0
)

// UsageError is a command line that makes no sense, or a size that does not fit the machine. It names the
// flag, unless the reason does.
type UsageError struct {
	Flag, Reason string
}

func (e *UsageError) Error() string {
	if e.Flag == "" {
		return e.Reason
	}
	return fmt.Sprintf("--%s: %s", e.Flag, e.Reason)
}

// Check returns the first flag that is wrong, or what this machine cannot do.
func (s *Size) Check() error {
	for _, field := range []struct {
		flag        string
		value, from int
	}{
		{"workers", s.Workers, 1}, {"tasks", s.Tasks, 1}, {"controllers", s.Controllers, 1}, {"teams", s.Teams, 0},
		{"zones", s.Zones, 1}, {"regions", s.Deployments, 1}, {"real-workers", s.RealWorkers, 0},
	} {
		if field.value < field.from {
			return &UsageError{field.flag, fmt.Sprintf("%d is below %d", field.value, field.from)}
		}
	}
	switch {
	case !(s.StartRate > 0) || math.IsInf(s.StartRate, 0):
		return &UsageError{"rate", fmt.Sprintf("%g is not above 0", s.StartRate)}
	case s.MeasureTime < time.Second:
		return &UsageError{"for", fmt.Sprintf("%v is below 1s", s.MeasureTime)}
	case s.Faults.TimeCompression < 0:
		return &UsageError{"compress", fmt.Sprintf("%g is below 0", s.Faults.TimeCompression)}
	case !(s.StoreRPS > 0):
		return &UsageError{"store-rps", fmt.Sprintf("%g is not above 0", s.StoreRPS)}
	case !(s.StoreWrites > 0):
		return &UsageError{"store-writes", fmt.Sprintf("%g is not above 0", s.StoreWrites)}
	case s.Zones < s.Deployments:
		return &UsageError{"zones", fmt.Sprintf("%d zones are fewer than %d regions", s.Zones, s.Deployments)}
	case s.Workers < s.Deployments:
		return &UsageError{"workers", fmt.Sprintf("%d workers are fewer than %d regions", s.Workers, s.Deployments)}
	case s.RealWorkers > s.Workers:
		return &UsageError{"real-workers", fmt.Sprintf("%d are more than %d workers", s.RealWorkers, s.Workers)}
	case s.taskTime() < time.Second:
		reason := fmt.Sprintf("%d tasks at %g starts a second run for %v, less than 1s", s.Tasks, s.StartRate, s.taskTime())
		return &UsageError{"rate", reason}
	}
	if n := s.processes(); n > MaxProcesses {
		const format = "it takes %d processes with these controllers, regions and real workers, and %d are the most"
		return &UsageError{"workers", fmt.Sprintf(format, n, MaxProcesses)}
	}
	if mb := s.estimatedMemoryMB(); mb > maxMemoryMB {
		return &UsageError{"workers", fmt.Sprintf("it takes some %.0f MB, and %d MB are the most", mb, maxMemoryMB)}
	}
	return nil
}

// hollowProcesses returns how many processes the hollow workers of a region share.
func (s *Size) hollowProcesses() int {
	n := (s.Workers + s.Deployments - 1) / s.Deployments
	return (n + workersPerProcess - 1) / workersPerProcess
}

// processes returns how many processes a run starts, this one included.
func (s *Size) processes() int {
	return 1 + s.RealWorkers + s.Deployments*(1+s.Controllers+s.hollowProcesses())
}

// estimatedMemoryMB returns the memory that is estimated for all processes.
func (s *Size) estimatedMemoryMB() float64 {
	perRegion := storeMB + float64(s.Controllers)*controllerMB + float64(s.hollowProcesses())*hollowProcessMB
	perWorker := hollowWorkerMB + controllerPerWorkerMB*float64(s.Controllers)
	return float64(s.Deployments)*perRegion + float64(s.Workers)*perWorker + float64(s.RealWorkers)*realWorkerMB
}

// taskTime returns how long a task runs, so that at the rate so many run at a time.
func (s *Size) taskTime() time.Duration {
	return time.Duration(float64(s.Tasks) / s.StartRate * float64(time.Second))
}

// share splits a count over the regions; the first ones get what is left over.
func (s *Size) share(count, region int) int {
	n := count / s.Deployments
	if region < count%s.Deployments {
		n++
	}
	return n
}

// tasksPerWorker returns how many tasks a machine holds: no more than are to run, or the leader scales in the workers
// that nobody needs.
func (s *Size) tasksPerWorker() int {
	return max(1, int(math.Ceil(float64(s.Tasks)/float64(s.Workers))))
}

// Times of the workers, in seconds: those of the large deployments.
const (
	heartbeatS   = 5.0
	leaseS       = 24.0
	cancelS      = 44.0
	gangWaitS    = 35.0
	gangPeerS    = 8.0
	bootS        = 2.0
	fetchGBps    = 1.0
	cacheGB      = 100.0
	imageGB      = 0.5
	taskMemGB    = 1.0
	machineMemGB = 64.0
)

// guaranteed and limited are a team's shares of what would be its part if all were alike.
const (
	guaranteeShare = 0.4
	limitShare     = 2.0
)

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// deploymentConfig returns the settings that one region's controllers share.
func (s *Size) deploymentConfig(region int, zones []string) *config.Deployment {
	d := &config.Deployment{
		Nodes: s.Controllers, Zones: zones, MaxClockErrorMS: 100,
		Objectives: []config.Objective{
			{Kind: config.KindWait, Class: classUrgent, WithinS: urgentStartTargetS, Share: 0.95},
			{Kind: "finished", Class: classBulk, WithinS: 20 * s.taskTime().Seconds(), Share: 0.9},
		},
		Workers:   config.Workers{HeartbeatS: heartbeatS, LeaseS: leaseS, GangWaitS: gangWaitS, GangPeerLossS: gangPeerS, CancelS: cancelS},
		Store:     config.StoreLimits{RPS: s.StoreRPS, WriteRPS: s.StoreWrites, ValueKB: 64, TxnOps: 64},
		Cloud:     config.CloudLimits{RPS: 20, ListLagS: 3},
		Resources: config.Resources{Cores: 1, RAMMB: 4096, FDLimit: 16000},
	}
	cpus := float64(s.share(s.Workers, region) * s.tasksPerWorker())
	for i := range max(s.Teams, 1) {
		t := config.Team{Name: teamName(i)}
		if s.Teams > 0 {
			part := cpus / float64(s.Teams)
			t.GuaranteedCPUs, t.LimitCPUs = math.Floor(guaranteeShare*part), math.Max(math.Ceil(limitShare*part), 1)
		}
		d.Teams = append(d.Teams, t)
	}
	return d
}

// machineTypes returns the machine types that can be rented in a region.
func (s *Size) machineTypes(zones []string) []records.MachineType {
	cpus := float64(s.tasksPerWorker())
	return []records.MachineType{{
		Name: "c", CPUs: cpus, MemGB: max(machineMemGB, cpus*taskMemGB), CacheGB: cacheGB, FetchGBps: fetchGBps,
		Price: 0.2, SpotPrice: 0.05, StartupS: bootS, Zones: zones,
	}}
}
