package loadtest

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"drumpick/internal/ctxtime"
)

// Failover is how long a failover took in a region whose leader was killed.
type Failover struct {
	Deployment  int     `json:"region"`
	NewLeaderS  float64 `json:"leader_s"`  // until another controller led
	FirstStartS float64 `json:"settled_s"` // until a task started again under it
}

// InjectedFaults counts the faults that were injected.
type InjectedFaults struct {
	MachineFailures int        `json:"failures"` // machines that failed, those of racks and zones included
	MachineRestarts int        `json:"restarts"`
	RackFailures    int        `json:"racks"`
	ZoneFailures    int        `json:"zones"`
	Failovers       []Failover `json:"takeovers,omitempty"`
}

// When the larger faults are injected, as shares of the time that is measured.
const (
	rackFailureAt = 0.25
	zoneFailureAt = 0.5
	leaderKillAt  = 0.6
)

// faultInjector injects what the size asks for while a run is measured.
type faultInjector struct {
	size        Size
	deployments []*deployment
	rand        *rand.Rand
	injected    InjectedFaults
}

// scheduledFault is one fault and when it happens.
type scheduledFault struct {
	at     time.Duration
	inject func(ctx context.Context)
}

// schedule returns the faults of the run, in the order of their times. Machines fail and restart as often as on the
// planned day, in proportion to how many there are.
func (f *faultInjector) schedule() []scheduledFault {
	var all []scheduledFault
	days := f.size.MeasureTime.Seconds() * f.size.Faults.TimeCompression / (24 * 3600) * float64(f.size.Workers) / plannedWorkers
	draw := func(perDay float64, do func(ctx context.Context)) {
		for n := perDay * days; n > 0; n-- {
			if n >= 1 || f.rand.Float64() < n {
				all = append(all, scheduledFault{time.Duration(f.rand.Float64() * float64(f.size.MeasureTime)), do})
			}
		}
	}
	draw(plannedFailuresPerDay, f.failMachine)
	draw(plannedRestartsPerDay, f.restartMachine)
	at := func(share float64, on bool, do func(ctx context.Context)) {
		if on {
			all = append(all, scheduledFault{time.Duration(share * float64(f.size.MeasureTime)), do})
		}
	}
	at(rackFailureAt, f.size.Faults.Rack, f.failRack)
	at(zoneFailureAt, f.size.Faults.Zone, f.failZone)
	at(leaderKillAt, f.size.Faults.Leader, f.killLeader)
	slices.SortStableFunc(all, func(a, b scheduledFault) int { return int(a.at - b.at) })
	return all
}

// run injects the faults, each at its time.
func (f *faultInjector) run(ctx context.Context) {
	began := time.Now()
	for _, e := range f.schedule() {
		if ctxtime.Sleep(ctx, e.at-time.Since(began)) != nil {
			return
		}
		e.inject(ctx)
	}
}

// randomDeployment draws a region.
func (f *faultInjector) randomDeployment() *deployment {
	return f.deployments[f.rand.IntN(len(f.deployments))]
}

func (f *faultInjector) failMachine(context.Context) {
	if ms := f.randomDeployment().cluster.Environment.Machines(); len(ms) > 0 {
		ms[f.rand.IntN(len(ms))].Terminate()
		f.injected.MachineFailures++
	}
}

func (f *faultInjector) restartMachine(context.Context) {
	r := f.randomDeployment()
	if ms := r.cluster.Environment.Machines(); len(ms) > 0 {
		r.reboot(ms[f.rand.IntN(len(ms))].Name)
		f.injected.MachineRestarts++
	}
}

// failRack takes the power from the workers behind one switch: neighbours in a zone.
func (f *faultInjector) failRack(context.Context) {
	r := f.randomDeployment()
	zone := r.zones[f.rand.IntN(len(r.zones))]
	left := max(workersPerRack*f.size.Workers/plannedWorkers, 1)
	f.injected.RackFailures++
	for _, m := range r.cluster.Environment.Machines() {
		if m.Zone == zone && left > 0 {
			left--
			f.injected.MachineFailures++
			m.Terminate()
		}
	}
}

func (f *faultInjector) failZone(context.Context) {
	r := f.randomDeployment()
	f.injected.ZoneFailures++
	f.injected.MachineFailures += r.cluster.Environment.FailZone(r.zones[f.rand.IntN(len(r.zones))])
}

// failoverTimeout bounds how long a failover is followed.
const failoverTimeout = 60 * time.Second

// killLeader kills a region's leader, and measures the failover.
func (f *faultInjector) killLeader(ctx context.Context) {
	r := f.randomDeployment()
	old := r.readLeader()
	if old.term == 0 || r.cluster.Kill(old.controller) != nil {
		return
	}
	began := time.Now()
	failover := Failover{Deployment: r.index}
	for time.Since(began) < failoverTimeout && ctxtime.Sleep(ctx, 20*time.Millisecond) == nil {
		if now := r.readLeader(); now.term > old.term {
			failover.NewLeaderS = time.Since(began).Seconds()
			break
		}
	}
	before, err := r.workerCounts()
	for err == nil && time.Since(began) < failoverTimeout && ctxtime.Sleep(ctx, 50*time.Millisecond) == nil {
		now, err := r.workerCounts()
		if err == nil && now.Starts > before.Starts {
			failover.FirstStartS = time.Since(began).Seconds()
			break
		}
	}
	f.injected.Failovers = append(f.injected.Failovers, failover)
}
