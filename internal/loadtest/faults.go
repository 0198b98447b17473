package loadtest

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"drumpick/internal/ctxtime"
)

// Failover holds the times of a failover in a deployment, in seconds after its leader was killed. 0 means that
// the event was not observed within failoverTimeout or before the end of the run.
type Failover struct {
	Deployment  int     `json:"region"`    // index of the deployment, from 0
	NewLeaderS  float64 `json:"leader_s"`  // until the store held a new term
	FirstStartS float64 `json:"settled_s"` // until the first task start after that
}

// InjectedFaults counts the faults injected during a run.
type InjectedFaults struct {
	MachineFailures int        `json:"failures"` // includes machines in failed racks and zones
	MachineRestarts int        `json:"restarts"`
	RackFailures    int        `json:"racks"`
	ZoneFailures    int        `json:"zones"`
	Failovers       []Failover `json:"takeovers,omitempty"`
}

// Injection times of the rack, zone and leader faults, as fractions of Size.MeasureTime.
const (
	rackFailureAt = 0.25
	zoneFailureAt = 0.5
	leaderKillAt  = 0.6
)

// faultInjector injects the faults that a Size requests while a run is measured.
type faultInjector struct {
	size        Size
	deployments []*deployment
	rand        *rand.Rand
	injected    InjectedFaults
}

// scheduledFault is a fault and its time after the start of the measurement.
type scheduledFault struct {
	at     time.Duration
	inject func(ctx context.Context)
}

// schedule returns the faults of the run in order of time. Machine failures and restarts occur at the rates of the
// planned day, scaled to the number of workers and accelerated by Faults.TimeCompression.
func (f *faultInjector) schedule() []scheduledFault {
	var all []scheduledFault
	days := f.size.MeasureTime.Seconds() * f.size.Faults.TimeCompression / (24 * 3600) * float64(f.size.Workers) / plannedWorkers
	scheduleRandom := func(perDay float64, inject func(ctx context.Context)) {
		for n := perDay * days; n > 0; n-- {
			if n >= 1 || f.rand.Float64() < n { // a remainder below 1 is the probability of one more fault
				all = append(all, scheduledFault{time.Duration(f.rand.Float64() * float64(f.size.MeasureTime)), inject})
			}
		}
	}
	scheduleRandom(plannedFailuresPerDay, f.failMachine)
	scheduleRandom(plannedRestartsPerDay, f.restartMachine)
	scheduleAt := func(share float64, enabled bool, inject func(ctx context.Context)) {
		if enabled {
			all = append(all, scheduledFault{time.Duration(share * float64(f.size.MeasureTime)), inject})
		}
	}
	scheduleAt(rackFailureAt, f.size.Faults.Rack, f.failRack)
	scheduleAt(zoneFailureAt, f.size.Faults.Zone, f.failZone)
	scheduleAt(leaderKillAt, f.size.Faults.Leader, f.killLeader)
	slices.SortStableFunc(all, func(a, b scheduledFault) int { return int(a.at - b.at) })
	return all
}

// run injects each fault at its scheduled time, until ctx is cancelled.
func (f *faultInjector) run(ctx context.Context) {
	start := time.Now()
	for _, fault := range f.schedule() {
		if ctxtime.Sleep(ctx, fault.at-time.Since(start)) != nil {
			return
		}
		fault.inject(ctx)
	}
}

// randomDeployment returns a random deployment.
func (f *faultInjector) randomDeployment() *deployment {
	return f.deployments[f.rand.IntN(len(f.deployments))]
}

func (f *faultInjector) failMachine(context.Context) {
	if machines := f.randomDeployment().cluster.Environment.Machines(); len(machines) > 0 {
		machines[f.rand.IntN(len(machines))].Terminate()
		f.injected.MachineFailures++
	}
}

func (f *faultInjector) restartMachine(context.Context) {
	d := f.randomDeployment()
	if machines := d.cluster.Environment.Machines(); len(machines) > 0 {
		d.reboot(machines[f.rand.IntN(len(machines))].Name)
		f.injected.MachineRestarts++
	}
}

// failRack terminates the machines of one rack, which share a switch. The first machines of a random zone stand for
// the rack.
func (f *faultInjector) failRack(context.Context) {
	d := f.randomDeployment()
	zone := d.zones[f.rand.IntN(len(d.zones))]
	remaining := max(workersPerRack*f.size.Workers/plannedWorkers, 1)
	f.injected.RackFailures++
	for _, m := range d.cluster.Environment.Machines() {
		if m.Zone == zone && remaining > 0 {
			remaining--
			f.injected.MachineFailures++
			m.Terminate()
		}
	}
}

func (f *faultInjector) failZone(context.Context) {
	d := f.randomDeployment()
	f.injected.ZoneFailures++
	f.injected.MachineFailures += d.cluster.Environment.FailZone(d.zones[f.rand.IntN(len(d.zones))])
}

// failoverTimeout is the maximum time for which killLeader observes a failover.
const failoverTimeout = 60 * time.Second

// killLeader kills the leader of a random deployment and records the times of the failover. It does nothing if the
// deployment has no known leader or the kill fails.
func (f *faultInjector) killLeader(ctx context.Context) {
	d := f.randomDeployment()
	old := d.readLeader()
	if old.term == 0 || d.cluster.Kill(old.controller) != nil {
		return
	}
	start := time.Now()
	failover := Failover{Deployment: d.index}
	for time.Since(start) < failoverTimeout && ctxtime.Sleep(ctx, 20*time.Millisecond) == nil {
		if now := d.readLeader(); now.term > old.term {
			failover.NewLeaderS = time.Since(start).Seconds()
			break
		}
	}
	before, err := d.workerCounts()
	for err == nil && time.Since(start) < failoverTimeout && ctxtime.Sleep(ctx, 50*time.Millisecond) == nil {
		now, err := d.workerCounts()
		if err == nil && now.Starts > before.Starts {
			failover.FirstStartS = time.Since(start).Seconds()
			break
		}
	}
	f.injected.Failovers = append(f.injected.Failovers, failover)
}
