// Package zonehealth detects outages of whole zones: nearly all machines of one zone stop sending
// heartbeats while machines of other zones still do. A single silent machine has most likely failed
// and is returned at once, which proves that its tasks are gone. A silent zone is most likely
// partitioned for a while: its machines keep running tasks under their leases, and replacements in
// the same zone would be unreachable as well.
//
// The package does no I/O and reads no clock.
package zonehealth

import (
	"slices"
	"time"
)

// Count counts the machines of a zone that are up or were up.
type Count struct {
	Machines int // all of them
	Silent   int // those without a heartbeat for SilentAfterIntervals heartbeat intervals
}

// responsive returns the number of machines that are not silent.
func (c Count) responsive() int { return c.Machines - c.Silent }

// Monitor tracks the zones during a term. It is not safe for concurrent use; its owner locks.
type Monitor struct {
	lease time.Duration
	zones map[string]*zone
}

// zone is the state of one zone.
type zone struct {
	suspected   bool      // an outage is suspected
	suspectedAt time.Time // when the outage was first suspected
	recoveredAt time.Time // end of the last outage; zero: none so far, or one is suspected now
}

// New returns a monitor. lease is the length of the workers' leases.
func New(lease time.Duration) *Monitor { return &Monitor{lease: lease, zones: map[string]*zone{}} }

const (
	// minMachines is the number of machines that a zone, and all other zones together, need for a
	// decision.
	minMachines = 3
	// An outage is suspected if at least suspectSilentShare of a zone's machines are silent, and at
	// most maxOthersSilentShare of all others: else the fault is more likely on the leader's side.
	suspectSilentShare   = 3.0 / 4
	maxOthersSilentShare = 1.0 / 4
	// The outage is over when at least recoveredShare of the zone's machines are not silent.
	recoveredShare = 1.0 / 2
	// recoveryGraceLeases is how long, in leases, the zone's remaining machines have to recover
	// after the end of its outage.
	recoveryGraceLeases = 1.0 / 2
	// maxOutageLeases is how long, in leases, an outage stays suspected: a longer one is not taken for
	// a mere partition.
	maxOutageLeases = 6
)

// SilentAfterIntervals is the number of heartbeat intervals without a heartbeat after which a machine
// counts as silent here; one may be lost or late. It is shorter than the wait before any decision
// about a single machine. Otherwise the machines of a partitioned zone would be returned one by one:
// their last heartbeats arrive at different times, so each would be one of only a few silent ones.
const SilentAfterIntervals = 1.5

// Observe updates the state of all zones. It returns the zones in which an outage is newly suspected
// and those in which it no longer is, because they have recovered or it was suspected for more than
// maxOutageLeases, each sorted by name.
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
	// A zone without machines is not in counts; its suspicion ends by time alone.
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

// outageLikely reports whether nearly all machines of a zone are silent while most of the others are
// not.
func outageLikely(c, others Count) bool {
	return c.Machines >= minMachines && others.Machines >= minMachines &&
		float64(c.Silent) >= suspectSilentShare*float64(c.Machines) &&
		float64(others.Silent) <= maxOthersSilentShare*float64(others.Machines)
}

// hasRecovered reports whether enough machines of a zone are responsive to end its outage.
func hasRecovered(c Count) bool {
	return c.Machines > 0 && float64(c.responsive()) >= recoveredShare*float64(c.Machines)
}

// suspectedTooLong reports whether an outage has been suspected for more than maxOutageLeases.
func (m *Monitor) suspectedTooLong(z *zone, now time.Time) bool {
	return now.Sub(z.suspectedAt) > maxOutageLeases*m.lease
}

// Suspected reports whether an outage of the named zone is suspected.
func (m *Monitor) Suspected(zoneName string) bool {
	z := m.zones[zoneName]
	return z != nil && z.suspected
}

// AnySuspected reports whether an outage of any zone is suspected. During one, machines of other zones
// may be silent as well: their heartbeats can be routed through the affected zone.
func (m *Monitor) AnySuspected() bool {
	for _, z := range m.zones {
		if z.suspected {
			return true
		}
	}
	return false
}

// KeepWaiting reports whether to keep waiting for a machine whose lease has expired, because the
// zone zoneName has a suspected outage or recovered less than recoveryGraceLeases ago. silent is
// how long the machine has been silent, replacementTime how long a replacement takes to start, and
// replaceable whether a zone without a suspected outage can provide one.
//
// Waiting for as long as a replacement takes costs at most twice as much as the better of both
// choices, however long the outage lasts. Where no replacement is possible, waiting costs only money.
func (m *Monitor) KeepWaiting(zoneName string, silent, replacementTime time.Duration, replaceable bool, now time.Time) bool {
	z := m.zones[zoneName]
	switch {
	case z == nil:
		return false
	case z.suspected:
		return !replaceable || silent <= m.lease+replacementTime
	}
	return !z.recoveredAt.IsZero() && now.Sub(z.recoveredAt) <= time.Duration(recoveryGraceLeases*float64(m.lease))
}
