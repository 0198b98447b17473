package fleet

import (
	"slices"
	"time"
)

// Probe is a request for a machine's status: a direct command with an empty list of commands. Unlike
// a heartbeat, its answer cannot be a late copy from before the probe was sent.
type Probe struct {
	Machine     string // machine name
	Addr        string // host and port of its worker
	Incarnation uint64 // expected incarnation

	sentAt      time.Time
	statusCount uint64 // Machine.statusCount when the probe was sent
}

// DueProbes returns the probes that are due, and records them as sent. A machine is probed if its
// heartbeats lack an attempt that it should have, or if no status of it was applied for more than
// 1.5 heartbeat intervals and only late statuses have arrived for more than half an interval. It is
// not probed while it is being returned, or within half an interval of the last probe.
func (t *Table) DueProbes(heartbeatInterval time.Duration, now time.Time) []Probe {
	var probes []Probe
	for _, m := range t.sorted {
		s := &m.staleness
		onlyLate := !s.onlyLateSince.IsZero() && now.Sub(m.LastStatusAt) > heartbeatInterval*3/2 &&
			now.Sub(s.onlyLateSince) > heartbeatInterval/2
		if !onlyLate && s.missingSince.IsZero() || m.Returning || now.Sub(s.probedAt) < heartbeatInterval/2 {
			continue
		}
		s.probedAt = now
		probe := Probe{Machine: m.Name, Addr: m.Addr, Incarnation: m.Incarnation, sentAt: now, statusCount: m.statusCount}
		if onlyLate {
			probe.Addr, probe.Incarnation = s.addr, s.incarnation
		}
		probes = append(probes, probe)
	}
	return probes
}

// UnansweredProbesFor returns how long the machine has been probed for missing attempts without an
// answer; 0 if it is not.
func (m *Machine) UnansweredProbesFor(now time.Time) time.Duration {
	if m.staleness.missingSince.IsZero() {
		return 0
	}
	return now.Sub(m.staleness.missingSince)
}

// ApplyProbe applies the answer to a probe. If the answer is older than the machine's known state,
// and no status was applied since the probe was sent, either the machine has restarted or the known
// state came from a late copy. In both cases restarted is true, and the machine has only the attempts
// in the answer, apart from run commands that may still be in flight.
func (t *Table) ApplyProbe(probe Probe, hb *Heartbeat, now time.Time) (out ApplyResult, restarted bool) {
	m := t.Machines[probe.Machine]
	if m == nil || hb.Machine != probe.Machine {
		return ApplyResult{Stale: true}, false
	}
	if m.IsStale(hb) {
		// A status that was applied after the probe was sent may be newer than the answer, which
		// then proves nothing.
		if m.statusCount != probe.statusCount {
			return ApplyResult{Stale: true, Machine: m}, false
		}
		m.staleness.restarted, restarted = true, true
		m.Incarnation, m.Sequence, m.FencingToken = hb.Incarnation, max(hb.Sequence, 1)-1, 0
	}
	m.staleness.missingSince = time.Time{}
	out = t.Apply(hb, false, now)
	for _, a := range slices.Clone(m.attempts) {
		if a.state == Sent && probe.sentAt.Sub(a.AssignedAt) > responseTimeout && !hb.lists(a) {
			out.forget(m, a)
		}
	}
	return out, restarted
}
