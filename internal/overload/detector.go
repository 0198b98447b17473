// Package overload detects how far a leader falls behind, and decides what it sheds. A
// leader that has more heartbeats to process than its share of a processor allows answers
// late; workers then retry elsewhere, leases expire, lost work starts again, and all of that is
// more to process: it does not recover by itself. What it can shed at once are task starts: a
// task costs the leader most when it starts and when it ends, and an idle machine costs next
// to nothing.
//
// The package is pure: no I/O, no clock.
package overload

import "time"

// Level is how much load a leader sheds. Leases, ends of tasks and cancellations are never shed.
type Level uint8

// Levels of overload, from least to most.
const (
	Normal     Level = iota // nothing is shed
	Degraded                // starts of work that is not urgent, and planning at each heartbeat
	Overloaded              // all task starts
)

// levelNames are what operators see.
var levelNames = [...]string{"easy", "behind", "drowning"}

// String returns the level as operators see it.
func (l Level) String() string { return levelNames[l] }

// Detector follows how late a leader is: how late its periodic timer fires.
type Detector struct {
	heartbeatInterval time.Duration
	observeInterval   time.Duration // between two observations when the timer is on time

	lag   time.Duration // the worst lateness, which decays with each observation
	level Level

	maxMachines int       // how many machines the leader can serve, by what was seen; 0: not known
	stableSince time.Time // since when nothing was shed, or when maxMachines last grew
}

// New returns a detector for workers that send a heartbeat every heartbeatInterval, and that is
// called every observeInterval.
func New(heartbeatInterval, observeInterval time.Duration) *Detector {
	return &Detector{heartbeatInterval: heartbeatInterval, observeInterval: observeInterval}
}

const (
	// degradedDivisor and overloadedDivisor are by which part of a heartbeat interval, one in so
	// many, the timer has to be late for the level. Workers wait for a response for most of one.
	degradedDivisor   = 8
	overloadedDivisor = 3
	// lagDecay is the share of the worst lateness that is left at the next observation.
	lagDecay = 1.0 / 2
	// stableIntervals is for how many heartbeat intervals the level has to be normal before more
	// machines than were served then are tried, and growthShare by how many at a time.
	stableIntervals = 4
	growthShare     = 1.0 / 32
)

// Observe notes that it is called gap after the last time, with upMachines machines up. It
// reports whether the level has changed.
func (d *Detector) Observe(gap time.Duration, upMachines int, now time.Time) bool {
	before := d.level
	d.updateLevel(gap)
	d.updateMaxMachines(upMachines, now)
	return d.level != before
}

// updateLevel sets the level by the lateness. Between the bounds of two levels it stays as it is, so
// that it does not change back and forth.
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

// updateMaxMachines lowers the limit of machines to those that were too many, and raises it again step
// by step while nothing is shed.
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
			d.maxMachines = 0 // far fewer are up than the limit allows: it is outdated
		}
	}
}

// Level returns the present level.
func (d *Detector) Level() Level { return d.level }

// Lag is how late the timer has been lately.
func (d *Detector) Lag() time.Duration { return d.lag }

// ScaleOutHeadroom returns how many more machines, of wanted, a leader that has so many should request.
func (d *Detector) ScaleOutHeadroom(machines, wanted int) int {
	if d.level > Normal {
		return 0
	}
	if d.maxMachines == 0 {
		return wanted
	}
	return max(min(wanted, d.maxMachines-machines), 0)
}
