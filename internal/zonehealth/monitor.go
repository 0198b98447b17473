// Package zonehealth detects outages of whole zones: nearly all machines of a zone are
// silent while those of the other zones are heard. A single silent machine most likely
// died, and it is returned at once, which proves that its tasks are gone. A silent zone
// is most likely cut off from the network for a while: its machines work on under their
// leases, and machines requested in their place in the same zone would be as silent as they are.
//
// The package is pure: no I/O, no clock.
package zonehealth

import (
	"slices"
	"time"
)

// Count is what is known of a zone's machines that have been up.
type Count struct {
	Machines int // how many there are
	Silent   int // how many of these are silent
}

// heard is how many machines are not silent.
func (c Count) heard() int { return c.Machines - c.Silent }

// Monitor follows the zones during a term. Its owner holds the lock.
type Monitor struct {
	lease time.Duration
	zones map[string]*zone
}

// zone is the state of one zone.
type zone struct {
	suspected   bool      // an outage is suspected
	suspectedAt time.Time // when it was first suspected
	recoveredAt time.Time // when the last outage was over; zero: there was none, or one is suspected
}

// New returns a monitor of zones whose workers have leases of the given length.
func New(lease time.Duration) *Monitor { return &Monitor{lease: lease, zones: map[string]*zone{}} }

const (
	// minMachines is how many machines a zone, and all others together, need for a judgement.
	minMachines = 3
	// suspectSilentShare of a zone's machines have to be silent for an outage to be suspected, and at
	// most maxOthersSilentShare of those of all other zones: else the fault is more likely on our side.
	suspectSilentShare   = 3.0 / 4
	maxOthersSilentShare = 1.0 / 4
	// recoveredHeardShare of its machines have to be heard for the outage to be over.
	recoveredHeardShare = 1.0 / 2
	// recoveryGraceLeases is how long the last of its machines are given to come back after that.
	recoveryGraceLeases = 1.0 / 2
	// maxOutageLeases is for how long a zone is believed to be merely cut off.
	maxOutageLeases = 6
)

// SilentAfterIntervals is after how many heartbeat intervals without a heartbeat a machine counts as
// silent here: one may be lost or late. It is less than what any decision on a single machine
// waits for. Otherwise the machines of a zone that is cut off would be returned one by one, each
// being one of a few silent ones, as their last heartbeats were not at the same moment.
const SilentAfterIntervals = 1.5

// Observe updates the state of all zones. It returns the zones in which an outage is suspected
// from now on, and those in which it is over, both by name.
func (m *Monitor) Observe(counts map[string]Count, now time.Time) (suspected, recovered []string) {
	total := Count{}
	for _, c := range counts {
		total.Machines += c.Machines
		total.Silent += c.Silent
	}
	for name, c := range counts {
		z := m.zones[name]
		if z == nil {
			z = &zone{}
			m.zones[name] = z
		}
		others := Count{Machines: total.Machines - c.Machines, Silent: total.Silent - c.Silent}
		switch {
		case !z.suspected:
			if outageLikely(c, others) {
				*z = zone{suspected: true, suspectedAt: now}
				suspected = append(suspected, name)
			}
		case hasRecovered(c), m.suspectedTooLong(z, now):
			*z = zone{recoveredAt: now}
			recovered = append(recovered, name)
		}
	}
	// Nothing can be observed of a zone without machines, until one is requested there.
	for name, z := range m.zones {
		if _, ok := counts[name]; !ok && z.suspected && m.suspectedTooLong(z, now) {
			*z = zone{recoveredAt: now}
			recovered = append(recovered, name)
		}
	}
	slices.Sort(suspected)
	slices.Sort(recovered)
	return suspected, recovered
}

// outageLikely reports whether nearly all machines of a zone are silent while those of the others
// are heard.
func outageLikely(c, others Count) bool {
	return c.Machines >= minMachines && others.Machines >= minMachines &&
		float64(c.Silent) >= suspectSilentShare*float64(c.Machines) &&
		float64(others.Silent) <= maxOthersSilentShare*float64(others.Machines)
}

// hasRecovered reports whether enough machines of a zone are heard for its outage to be over.
func hasRecovered(c Count) bool {
	return c.Machines > 0 && float64(c.heard()) >= recoveredHeardShare*float64(c.Machines)
}

// suspectedTooLong reports whether an outage lasts longer than a zone is believed to be merely cut off.
func (m *Monitor) suspectedTooLong(z *zone, now time.Time) bool {
	return now.Sub(z.suspectedAt) > maxOutageLeases*m.lease
}

// Suspected reports whether an outage of a zone is suspected.
func (m *Monitor) Suspected(name string) bool {
	z := m.zones[name]
	return z != nil && z.suspected
}

// AnySuspected reports whether an outage of any zone is suspected. As long as one is, machines elsewhere
// may be silent because of it: the route of a worker's heartbeats can lead through that zone.
func (m *Monitor) AnySuspected() bool {
	for _, z := range m.zones {
		if z.suspected {
			return true
		}
	}
	return false
}

// KeepWaiting reports whether to keep waiting for a machine that has been silent for so long that its
// tasks are gone: its zone has a suspected outage, or had one a moment ago. replace is how long a
// replacement takes to do its work, and elsewhere whether there is room for one in a zone where it
// would be heard.
//
// Waiting as long as the replacement takes costs at most twice what either choice costs at
// best, however long the outage lasts; where no replacement is possible, waiting costs nothing but
// money.
func (m *Monitor) KeepWaiting(name string, silent, replace time.Duration, elsewhere bool, now time.Time) bool {
	z := m.zones[name]
	switch {
	case z == nil:
		return false
	case z.suspected:
		return !elsewhere || silent <= m.lease+replace
	}
	return !z.recoveredAt.IsZero() && now.Sub(z.recoveredAt) <= time.Duration(recoveryGraceLeases*float64(m.lease))
}
