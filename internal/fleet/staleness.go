package fleet

import "time"

// A heartbeat may be a copy that comes late, and a machine may restart with its counters behind what
// is known. What such a heartbeat lacks then proves nothing. A probe settles it: a direct command
// with nothing in it, which the machine answers with its status (see probe.go).

// LateCopyLeases is for how many leases after a late copy further ones may come.
const LateCopyLeases = 8

// responseTimeout is how long after a heartbeat its worker still accepts the response (PROTOCOL),
// with a margin.
const responseTimeout = 5 * time.Second

// staleness is the evidence against taking a machine's heartbeats as they are.
type staleness struct {
	lastLateAt    time.Time // when a status last came that was older than what is known
	onlyLateSince time.Time // when the first of these came since the last status that was not late
	incarnation   uint64    // of the last late status
	addr          string    // of the last late status
	restarted     bool      // it has restarted: copies from before may look newer than its present status
	missingSince  time.Time // since when it is probed, as its heartbeats lack an attempt that should be there; zero: none
	probedAt      time.Time // when it was last probed
}

// IsStale reports whether a status is no newer than the last one that was applied. The fencing tokens
// of a machine only rise as well: a lower one with a higher incarnation is a copy of what the machine
// sent before it restarted, under an earlier leader.
func (m *Machine) IsStale(r *Heartbeat) bool {
	if !m.HasStatus {
		return false
	}
	return r.Incarnation < m.Incarnation || r.Incarnation == m.Incarnation && r.Sequence <= m.Sequence ||
		r.FencingToken < m.FencingToken
}

// mayReceiveLateCopies reports whether late copies of heartbeats have to be expected.
func (m *Machine) mayReceiveLateCopies(lease time.Duration, now time.Time) bool {
	u := &m.staleness
	return u.restarted || !u.lastLateAt.IsZero() && now.Sub(u.lastLateAt) < LateCopyLeases*lease
}

// Recency is how a heartbeat compares to what is known of its machine.
type Recency uint8

// Recencies. Only a current heartbeat is applied; only a late one is refused.
const (
	Current   Recency = iota
	Overtaken         // older than an answer to a direct command, but its worker still waits for the response
	Late              // a late copy, or what looks like one
)

// IsOvertaken reports whether a heartbeat that is older than what is known is most likely no late copy,
// but one whose worker still waits for the response: it was sent before the answer to a direct
// command, came after that answer, and no newer heartbeat has come since.
// Nothing is concluded from such a heartbeat, as it is older; but the response renews the lease.
//
// Without this, workers of a leader that is slow to apply heartbeats lost their leases though they
// had sent heartbeats all the time: each answer to a probe overtook the heartbeat after it, which was
// refused, so that the worker was probed again, and so on.
func (m *Machine) IsOvertaken(r *Heartbeat, now time.Time) bool {
	return m.HasStatus && !m.LeaseExpired && now.Sub(m.probeAnsweredAt) < responseTimeout &&
		r.Incarnation == m.Incarnation && m.heartbeatSequence < r.Sequence && r.Sequence < m.Sequence
}

// Recency returns the recency of a heartbeat of a known machine, and notes one that is late.
func (t *Table) Recency(r *Heartbeat, now time.Time) Recency {
	m := t.Machines[r.Machine]
	switch {
	case !m.IsStale(r):
		return Current
	case m.IsOvertaken(r, now):
		return Overtaken
	}
	m.recordLate(r, now)
	return Late
}

// recordLate notes that a status came which is older than what is known.
func (m *Machine) recordLate(r *Heartbeat, now time.Time) {
	u := &m.staleness
	u.lastLateAt = now
	if u.onlyLateSince.IsZero() {
		u.onlyLateSince = now
	}
	u.incarnation, u.addr = r.Incarnation, r.Addr
}

// predatesTerm reports whether a heartbeat is from before its worker heard of our term, though the
// machine is reconciled. Its worker may have been unreachable for incarnations and then restarted:
// what it sent before comes after what it sends now, with a higher incarnation, and lacks the run
// command that it has just been sent.
func (m *Machine) predatesTerm(r *Heartbeat, term uint64) bool {
	return m.Reconciled && r.FencingToken < term
}

// confirmMissing reports whether an attempt that the machine should have is gone, as a status lacks
// it. Where that is uncertain, the machine is to be probed.
func (t *Table) confirmMissing(m *Machine, a *Attempt, r *Heartbeat, isHeartbeat bool, now time.Time) bool {
	switch {
	case a.state == Planned:
		return false
	case a.state == Ended:
		return true
	case a.state == Sent && (!isHeartbeat || r.Sequence <= a.SentSequence):
		// This prevents a double start: a run command in flight is given up only when
		// a later heartbeat lacks it. An answer to a direct command or a status request may have
		// been made before the response with the run command came in.
		return false
	case !isHeartbeat, a.state == Sent && !m.mayReceiveLateCopies(t.Lease, now) && !m.predatesTerm(r, t.Term):
		return true
	}
	// No machine forgets a task that it had, unless it restarts; and a copy of a heartbeat
	// lacks what came later.
	if m.staleness.missingSince.IsZero() {
		m.staleness.missingSince = now
	}
	return false
}

// InLastStatus reports whether the last status that was applied lists an attempt; one that it lacks is
// kept as long as that proves nothing.
func (m *Machine) InLastStatus(a *Attempt) bool { return a.lastSeenIn == m.statusCount }
