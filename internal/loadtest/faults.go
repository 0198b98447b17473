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
	Region      int     `json:"region"`
	LeaderS     float64 `json:"leader_s"`  // until another controller led
	FirstStartS float64 `json:"settled_s"` // until a task started again under it
}

// InjectedFaults counts the faults that were injected.
type InjectedFaults struct {
	Failures  int        `json:"failures"` // machines that failed, those of racks and zones included
	Restarts  int        `json:"restarts"`
	Racks     int        `json:"racks"`
	Zones     int        `json:"zones"`
	Failovers []Failover `json:"takeovers,omitempty"`
}

// When the larger faults are injected, as shares of the time that is measured.
const (
	rackAt   = 0.25
	zoneAt   = 0.5
	leaderAt = 0.6
)

// faults injects what the size asks for while a run is measured.
type faults struct {
	size     Size
	regions  []*region
	rand     *rand.Rand
	injected InjectedFaults
}

// event is one fault and when it happens.
type event struct {
	at time.Duration
	do func(ctx context.Context)
}

// schedule returns the faults of the run, in the order of their times. Machines fail and restart as often as on the
// planned day, in proportion to how many there are.
func (f *faults) schedule() []event {
	var all []event
	days := f.size.For.Seconds() * f.size.Faults.Compress / (24 * 3600) * float64(f.size.Workers) / plannedWorkers
	draw := func(perDay float64, do func(ctx context.Context)) {
		for n := perDay * days; n > 0; n-- {
			if n >= 1 || f.rand.Float64() < n {
				all = append(all, event{time.Duration(f.rand.Float64() * float64(f.size.For)), do})
			}
		}
	}
	draw(plannedFailures, f.failOne)
	draw(plannedRestarts, f.restartOne)
	at := func(share float64, on bool, do func(ctx context.Context)) {
		if on {
			all = append(all, event{time.Duration(share * float64(f.size.For)), do})
		}
	}
	at(rackAt, f.size.Faults.Rack, f.failRack)
	at(zoneAt, f.size.Faults.Zone, f.failZone)
	at(leaderAt, f.size.Faults.Leader, f.killLeader)
	slices.SortStableFunc(all, func(a, b event) int { return int(a.at - b.at) })
	return all
}

// run injects the faults, each at its time.
func (f *faults) run(ctx context.Context) {
	began := time.Now()
	for _, e := range f.schedule() {
		if ctxtime.Sleep(ctx, e.at-time.Since(began)) != nil {
			return
		}
		e.do(ctx)
	}
}

// anyRegion draws a region.
func (f *faults) anyRegion() *region { return f.regions[f.rand.IntN(len(f.regions))] }

func (f *faults) failOne(context.Context) {
	if ms := f.anyRegion().cluster.Environment.Machines(); len(ms) > 0 {
		ms[f.rand.IntN(len(ms))].Die()
		f.injected.Failures++
	}
}

func (f *faults) restartOne(context.Context) {
	r := f.anyRegion()
	if ms := r.cluster.Environment.Machines(); len(ms) > 0 {
		r.reboot(ms[f.rand.IntN(len(ms))].Name)
		f.injected.Restarts++
	}
}

// failRack takes the power from the workers behind one switch: neighbours in a zone.
func (f *faults) failRack(context.Context) {
	r := f.anyRegion()
	zone := r.zones[f.rand.IntN(len(r.zones))]
	left := max(rackWorkers*f.size.Workers/plannedWorkers, 1)
	f.injected.Racks++
	for _, m := range r.cluster.Environment.Machines() {
		if m.Zone == zone && left > 0 {
			left--
			f.injected.Failures++
			m.Die()
		}
	}
}

func (f *faults) failZone(context.Context) {
	r := f.anyRegion()
	f.injected.Zones++
	f.injected.Failures += r.cluster.Environment.FailZone(r.zones[f.rand.IntN(len(r.zones))])
}

// failoverTimeout bounds how long a failover is followed.
const failoverTimeout = 60 * time.Second

// killLeader kills a region's leader, and measures the failover.
func (f *faults) killLeader(ctx context.Context) {
	r := f.anyRegion()
	old := r.leader()
	if old.term == 0 || r.cluster.Kill(old.node) != nil {
		return
	}
	began := time.Now()
	failover := Failover{Region: r.index}
	for time.Since(began) < failoverTimeout && ctxtime.Sleep(ctx, 20*time.Millisecond) == nil {
		if now := r.leader(); now.term > old.term {
			failover.LeaderS = time.Since(began).Seconds()
			break
		}
	}
	before, err := r.counts()
	for err == nil && time.Since(began) < failoverTimeout && ctxtime.Sleep(ctx, 50*time.Millisecond) == nil {
		now, err := r.counts()
		if err == nil && now.Starts > before.Starts {
			failover.FirstStartS = time.Since(began).Seconds()
			break
		}
	}
	f.injected.Failovers = append(f.injected.Failovers, failover)
}
