package fleet

import (
	"slices"
	"time"
)

// Probe is a request for a machine's status: a direct command with an empty list of commands. The answer,
// unlike a heartbeat, cannot be a copy of anything from before the probe was sent.
type Probe struct {
	Machine     string // its name
	Addr        string // where its worker is
	Incarnation uint64 // that is expected to answer

	sentAt      time.Time
	statusCount uint64 // Machine.statusCount when the probe was sent
}

// DueProbes lists the machines that are to be probed, and notes that they are: those whose heartbeats lack
// an attempt that should be there, and those from which only late heartbeats have come for a while.
func (t *Table) DueProbes(heartbeatInterval time.Duration, now time.Time) []Probe {
	var probes []Probe
	for _, m := range t.sorted {
		u := &m.staleness
		onlyLate := !u.onlyLateSince.IsZero() && now.Sub(m.LastStatusAt) > heartbeatInterval*3/2 &&
			now.Sub(u.onlyLateSince) > heartbeatInterval/2
		if !onlyLate && u.missingSince.IsZero() || m.Returning || now.Sub(u.probedAt) < heartbeatInterval/2 {
			continue
		}
		u.probedAt = now
		probe := Probe{Machine: m.Name, Addr: m.Addr, Incarnation: m.Incarnation, sentAt: now, statusCount: m.statusCount}
		if onlyLate {
			probe.Addr, probe.Incarnation = u.addr, u.incarnation
		}
		probes = append(probes, probe)
	}
	return probes
}

// UnansweredProbesFor is for how long a machine has been probed in vain; 0 if it has not.
func (m *Machine) UnansweredProbesFor(now time.Time) time.Duration {
	if m.staleness.missingSince.IsZero() {
		return 0
	}
	return now.Sub(m.staleness.missingSince)
}

// ApplyProbe applies the answer to a probe. Where its sequence number is behind what is known, the
// machine has restarted, or what was known came from a copy: either way it has what the
// answer shows and nothing else, but for run commands that may still be on their way. restarted
// reports that case.
func (t *Table) ApplyProbe(probe Probe, r *Heartbeat, now time.Time) (out ApplyResult, restarted bool) {
	m := t.Machines[probe.Machine]
	if m == nil || r.Machine != probe.Machine {
		return ApplyResult{Stale: true}, false
	}
	if m.IsStale(r) {
		// A status that was applied in between may be newer than the answer, which proves
		// nothing then.
		if m.statusCount != probe.statusCount {
			return ApplyResult{Stale: true, Machine: m}, false
		}
		m.staleness.restarted, restarted = true, true
		m.Incarnation, m.Sequence, m.FencingToken = r.Incarnation, max(r.Sequence, 1)-1, 0
	}
	m.staleness.missingSince = time.Time{}
	out = t.Apply(r, false, now)
	for _, a := range slices.Clone(m.attempts) {
		if a.state == Sent && probe.sentAt.Sub(a.AssignedAt) > responseTimeout && !r.lists(a) {
			out.forget(m, a)
		}
	}
	return out, restarted
}
