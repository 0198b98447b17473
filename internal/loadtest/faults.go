package loadtest

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"drumpick/internal/ctxtime"
)

// Failover is how a region came through the end of its leader.
type Failover struct {
	Region      int     `json:"region"`
	LeaderS     float64 `json:"leader_s"`  // until another led
	FirstStartS float64 `json:"settled_s"` // until a task started again under it
}

// InjectedFaults counts what went wrong on purpose.
type InjectedFaults struct {
	Failures  int        `json:"failures"` // machines that failed, those of racks and zones included
	Restarts  int        `json:"restarts"`
	Racks     int        `json:"racks"`
	Zones     int        `json:"zones"`
	Failovers []Failover `json:"takeovers,omitempty"`
}

// When, in parts of the time that is measured, the larger faults happen.
const (
	rackAt   = 0.25
	zoneAt   = 0.5
	leaderAt = 0.6
)

// faults causes what the size asks for while a run is measured.
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

// schedule draws the faults of the run. Machines fail and restart as often as on the planned day, in proportion to
// how many there are.
func (f *faults) schedule() []event {
	var all []event
	day := f.size.For.Seconds() * f.size.Faults.Compress / (24 * 3600) * float64(f.size.Workers) / plannedWorkers
	draw := func(often float64, do func(ctx context.Context)) {
		for n := often * day; n > 0; n-- {
			if n >= 1 || f.rand.Float64() < n {
				all = append(all, event{time.Duration(f.rand.Float64() * float64(f.size.For)), do})
			}
		}
	}
	draw(plannedFailures, f.failOne)
	draw(plannedRestarts, f.restartOne)
	at := func(part float64, on bool, do func(ctx context.Context)) {
		if on {
			all = append(all, event{time.Duration(part * float64(f.size.For)), do})
		}
	}
	at(rackAt, f.size.Faults.Rack, f.failRack)
	at(zoneAt, f.size.Faults.Zone, f.failZone)
	at(leaderAt, f.size.Faults.Leader, f.killLeader)
	slices.SortStableFunc(all, func(a, b event) int { return int(a.at - b.at) })
	return all
}

// run causes the faults, each at its time.
func (f *faults) run(ctx context.Context) {
	began := time.Now()
	for _, e := range f.schedule() {
		if ctxtime.Sleep(ctx, e.at-time.Since(began)) != nil {
			return
		}
		e.do(ctx)
	}
}

func (f *faults) anyRegion() *region { return f.regions[f.rand.IntN(len(f.regions))] }

func (f *faults) failOne(context.Context) {
	if ms := f.anyRegion().cluster.Environment.Machines(); len(ms) > 0 {
		ms[f.rand.IntN(len(ms))].Die()
		f.injected.Failures++
	}
}

func (f *faults) restartOne(context.Context) {
	c := f.anyRegion()
	if ms := c.cluster.Environment.Machines(); len(ms) > 0 {
		c.reboot(ms[f.rand.IntN(len(ms))].Name)
		f.injected.Restarts++
	}
}

// failRack takes the power from the workers behind one switch: neighbours in a zone.
func (f *faults) failRack(context.Context) {
	c := f.anyRegion()
	zone := c.zones[f.rand.IntN(len(c.zones))]
	left := max(rackWorkers*f.size.Workers/plannedWorkers, 1)
	f.injected.Racks++
	for _, m := range c.cluster.Environment.Machines() {
		if m.Zone == zone && left > 0 {
			left--
			f.injected.Failures++
			m.Die()
		}
	}
}

func (f *faults) failZone(context.Context) {
	c := f.anyRegion()
	f.injected.Zones++
	f.injected.Failures += c.cluster.Environment.FailZone(c.zones[f.rand.IntN(len(c.zones))])
}

// failoverTimeout bounds how long a takeover is followed.
const failoverTimeout = 60 * time.Second

// killLeader ends a region's leader, and times how the next one takes over.
func (f *faults) killLeader(ctx context.Context) {
	c := f.anyRegion()
	old := c.leader()
	if old.term == 0 || c.cluster.Kill(old.node) != nil {
		return
	}
	began := time.Now()
	took := Failover{Region: c.index}
	for time.Since(began) < failoverTimeout && ctxtime.Sleep(ctx, 20*time.Millisecond) == nil {
		if now := c.leader(); now.term > old.term {
			took.LeaderS = time.Since(began).Seconds()
			break
		}
	}
	before, err := c.counts()
	for err == nil && time.Since(began) < failoverTimeout && ctxtime.Sleep(ctx, 50*time.Millisecond) == nil {
		now, err := c.counts()
		if err == nil && now.Starts > before.Starts {
			took.FirstStartS = time.Since(began).Seconds()
			break
		}
	}
	f.injected.Failovers = append(f.injected.Failovers, took)
}
