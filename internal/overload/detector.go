// Package overload measures how late a leader runs and decides how much load it sheds. A leader
// that receives more heartbeats than it has CPU time for responds late. Workers then retry at other
// controllers, leases expire and lost work starts again, which adds load: without shedding the
// leader does not recover. Task starts are the load that it can shed at once, because a task costs
// the leader most when it starts and when it ends, and an idle machine costs almost nothing.
//
// The package does no I/O and reads no clock.
package overload

import "time"

// Level is how much load a leader sheds. Lease renewals, task ends and cancellations are never shed.
type Level uint8

// Levels of overload, from least to most.
const (
	Normal     Level = iota // nothing is shed
	Degraded                // sheds placement at each heartbeat, and starts of tasks neither urgent nor within a guarantee
	Overloaded              // sheds all task starts
)

// levelNames are the names shown to operators.
var levelNames = [...]string{"easy", "behind", "drowning"}

// String returns the name shown to operators.
func (l Level) String() string { return levelNames[l] }

// Detector derives the overload level from how late the leader's periodic timer fires.
type Detector struct {
	heartbeatInterval time.Duration
	observeInterval   time.Duration // between two observations when the timer fires on time

	lag   time.Duration // peak timer delay, decaying with each observation
	level Level

	maxMachines int       // estimate of how many machines the leader can serve; 0: no limit known
	stableSince time.Time // last time that load was shed; advances with each increase of maxMachines
}

// New returns a detector for workers that send a heartbeat every heartbeatInterval. The caller
// calls Observe every observeInterval.
func New(heartbeatInterval, observeInterval time.Duration) *Detector {
	return &Detector{heartbeatInterval: heartbeatInterval, observeInterval: observeInterval}
}

const (
	// degradedDivisor and overloadedDivisor set the lag at which a level begins: the heartbeat
	// interval divided by the divisor. Workers wait for a response for most of that interval.
	degradedDivisor   = 8
	overloadedDivisor = 3
	// lagDecay is the share of the peak lag that remains at the next observation.
	lagDecay = 1.0 / 2
	// stableIntervals is how many heartbeat intervals the level has to stay Normal before maxMachines
	// grows, and growthShare the relative size of one increase.
	stableIntervals = 4
	growthShare     = 1.0 / 32
)

// Observe records one firing of the timer, gap after the previous one, while upMachines machines
// are up. It reports whether the level changed.
func (d *Detector) Observe(gap time.Duration, upMachines int, now time.Time) bool {
	before := d.level
	d.updateLevel(gap)
	d.updateMaxMachines(upMachines, now)
	return d.level != before
}

// updateLevel sets the level from the lag. Returning to Normal takes a lower lag than leaving it, so
// that the level does not oscillate.
func (d *Detector) updateLevel(gap time.Duration) {
	d.lag = max(gap-d.observeInterval, time.Duration(float64(d.lag)*lagDecay))
	switch {
	case d.lag > d.heartbeatInterval/overloadedDivisor:
		d.level = Overloaded
	case d.lag > d.heartbeatInterval/degradedDivisor:
		d.level = Degraded
	case d.lag < d.heartbeatInterval/(2*degradedDivisor):
		d.level = Normal
	}
}

// updateMaxMachines lowers the machine limit to the number that caused the overload, and raises it
// step by step while nothing is shed.
func (d *Detector) updateMaxMachines(upMachines int, now time.Time) {
	switch {
	case d.level > Normal:
		if d.maxMachines == 0 || upMachines < d.maxMachines {
			d.maxMachines = upMachines
		}
		d.stableSince = now
	case d.maxMachines > 0 && now.Sub(d.stableSince) > stableIntervals*d.heartbeatInterval:
		d.maxMachines += int(float64(d.maxMachines)*growthShare) + 1
		d.stableSince = d.stableSince.Add(d.heartbeatInterval)
		if d.maxMachines > 2*upMachines {
			d.maxMachines = 0 // the limit is outdated: far fewer machines are up
		}
	}
}

// Level returns the current level.
func (d *Detector) Level() Level { return d.level }

// Lag returns the decaying peak of the timer delay.
func (d *Detector) Lag() time.Duration { return d.lag }

// ScaleOutHeadroom returns how many of the wanted new machines the leader may request beside the
// existing ones, whose number is machines; 0 while it sheds load.
func (d *Detector) ScaleOutHeadroom(machines, wanted int) int {
	if d.level > Normal {
		return 0
	}
	if d.maxMachines == 0 {
		return wanted
	}
	return max(min(wanted, d.maxMachines-machines), 0)
}
