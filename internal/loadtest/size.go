// Package loadtest runs deployments of a given size on one host, with controllers as processes. Hollow workers speak
// the whole protocol over sockets, while their tasks are only timers. The package measures the resource usage of each
// role, and checks the rules of the protocol against what the workers and users observed.
package loadtest

import (
	"fmt"
	"math"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// Size describes a run. Counts are totals over all deployments, unless noted otherwise.
type Size struct {
	Workers     int           `json:"workers"`     // includes the real workers
	RealWorkers int           `json:"real"`        // workers with a process of their own
	Tasks       int           `json:"tasks"`       // concurrently running tasks
	StartRate   float64       `json:"rate"`        // task starts per second at the peak
	Controllers int           `json:"controllers"` // per deployment
	Teams       int           `json:"teams"`       // each with a guarantee and a limit; 0: one team without either
	Zones       int           `json:"zones"`
	Deployments int           `json:"regions"`
	MeasureTime time.Duration `json:"for"` // duration of the measurement, after the workers are up
	Faults      FaultConfig   `json:"faults"`
	StoreRPS    float64       `json:"store_rps"`    // maximum requests per second of each store
	StoreWrites float64       `json:"store_writes"` // maximum writes per second of each store
}

// FaultConfig selects the faults that are injected during a run.
type FaultConfig struct {
	TimeCompression float64 `json:"compress"` // seconds of the planned day per second of the run; 0: no machine failures or restarts
	Rack            bool    `json:"rack"`     // fail the machines of a rack at once
	Zone            bool    `json:"zone"`     // fail the machines of a zone at once
	Leader          bool    `json:"leader"`   // kill the leader of a deployment
}

// The planned day: the number of workers and their failures (docs/CAPACITY.md).
const (
	plannedWorkers        = 7600
	plannedFailuresPerDay = 120  // machines that fail
	plannedRestartsPerDay = 2500 // machines that are restarted or replaced
	workersPerRack        = 40   // behind one switch, at the planned size
)

// Limits of one run on one host. They allow 7,600 workers in three deployments. Check rejects larger sizes.
const (
	// MaxProcesses is the maximum number of processes of a run.
	MaxProcesses = 40
	// maxMemoryMB is the maximum estimated memory of all processes of a run together.
	maxMemoryMB = 10 << 10 // 10 GB
	// workersPerProcess is the maximum number of hollow workers of a process, apart from rounding by zone.
	workersPerProcess = 1900
)

// Memory estimates for each role, above the measured usage (docs/CAPACITY.md).
const (
	controllerMB          = 120.0
	controllerPerWorkerMB = 0.05 // per worker of the deployment
	hollowProcessMB       = 80.0
	hollowWorkerMB        = 0.25
	realWorkerMB          = 40.0
	storeMB               = 200.0
)

// UsageError reports an invalid command line or a size that exceeds the limits of the host. Flag is the name of the
// flag without dashes; it is empty if Reason is the complete message.
type UsageError struct {
	Flag, Reason string
}

func (e *UsageError) Error() string {
	if e.Flag == "" {
		return e.Reason
	}
	return fmt.Sprintf("--%s: %s", e.Flag, e.Reason)
}

// Check returns a UsageError for the first invalid value, or for a size that exceeds the limits of one host.
func (s *Size) Check() error {
	for _, field := range []struct {
		flag           string
		value, minimum int
	}{
		{"workers", s.Workers, 1}, {"tasks", s.Tasks, 1}, {"controllers", s.Controllers, 1}, {"teams", s.Teams, 0},
		{"zones", s.Zones, 1}, {"regions", s.Deployments, 1}, {"real-workers", s.RealWorkers, 0},
	} {
		if field.value < field.minimum {
			return &UsageError{field.flag, fmt.Sprintf("%d is below %d", field.value, field.minimum)}
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
		reason := fmt.Sprintf("%d tasks at %g starts a second give a run time of %v, which is below 1s", s.Tasks, s.StartRate, s.taskTime())
		return &UsageError{"rate", reason}
	}
	if n := s.processes(); n > MaxProcesses {
		const format = "the run needs %d processes with these controllers, regions and real workers; the maximum is %d"
		return &UsageError{"workers", fmt.Sprintf(format, n, MaxProcesses)}
	}
	if mb := s.estimatedMemoryMB(); mb > maxMemoryMB {
		return &UsageError{"workers", fmt.Sprintf("the run needs about %.0f MB of memory; the maximum is %d MB", mb, maxMemoryMB)}
	}
	return nil
}

// hollowProcesses returns an upper bound of the number of hollow-worker processes of one deployment.
func (s *Size) hollowProcesses() int {
	n := (s.Workers + s.Deployments - 1) / s.Deployments
	return (n + workersPerProcess - 1) / workersPerProcess
}

// processes returns the estimated number of processes of a run, including the calling one.
func (s *Size) processes() int {
	return 1 + s.RealWorkers + s.Deployments*(1+s.Controllers+s.hollowProcesses())
}

// estimatedMemoryMB returns the estimated memory of all processes of a run.
func (s *Size) estimatedMemoryMB() float64 {
	perDeployment := storeMB + float64(s.Controllers)*controllerMB + float64(s.hollowProcesses())*hollowProcessMB
	perWorker := hollowWorkerMB + controllerPerWorkerMB*float64(s.Controllers)
	return float64(s.Deployments)*perDeployment + float64(s.Workers)*perWorker + float64(s.RealWorkers)*realWorkerMB
}

// taskTime returns the run time per task that gives Tasks concurrent tasks at a rate of StartRate.
func (s *Size) taskTime() time.Duration {
	return time.Duration(float64(s.Tasks) / s.StartRate * float64(time.Second))
}

// share returns the part of a total count that the deployment with the given index gets. The first deployments get
// one more each if the count does not divide evenly.
func (s *Size) share(count, index int) int {
	n := count / s.Deployments
	if index < count%s.Deployments {
		n++
	}
	return n
}

// tasksPerWorker returns the number of tasks that a machine holds. It is no larger than the load needs; otherwise the
// leader scales in the idle workers.
func (s *Size) tasksPerWorker() int {
	return max(1, int(math.Ceil(float64(s.Tasks)/float64(s.Workers))))
}

// Settings of the workers and machines. The times are those of large deployments.
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

// guaranteeShare and limitShare are a team's guarantee and limit, as multiples of an equal share of the CPUs.
const (
	guaranteeShare = 0.4
	limitShare     = 2.0
)

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// deploymentConfig returns the settings that all controllers of the deployment with the given index share.
func (s *Size) deploymentConfig(index int, zones []string) *config.Deployment {
	settings := &config.Deployment{
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
	cpus := float64(s.share(s.Workers, index) * s.tasksPerWorker())
	for i := range max(s.Teams, 1) {
		t := config.Team{Name: teamName(i)}
		if s.Teams > 0 {
			equalShare := cpus / float64(s.Teams)
			t.GuaranteedCPUs, t.LimitCPUs = math.Floor(guaranteeShare*equalShare), math.Max(math.Ceil(limitShare*equalShare), 1)
		}
		settings.Teams = append(settings.Teams, t)
	}
	return settings
}

// machineTypes returns the machine types of a deployment with the given zones.
func (s *Size) machineTypes(zones []string) []records.MachineType {
	cpus := float64(s.tasksPerWorker())
	return []records.MachineType{{
		Name: "c", CPUs: cpus, MemGB: max(machineMemGB, cpus*taskMemGB), CacheGB: cacheGB, FetchGBps: fetchGBps,
		Price: 0.2, SpotPrice: 0.05, StartupS: bootS, Zones: zones,
	}}
}
