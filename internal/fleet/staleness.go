package fleet

import "time"

// A heartbeat may be a late copy, and a machine may restart with an incarnation or sequence number
// lower than the known one. An attempt that is missing in such a heartbeat may still run. A probe
// resolves this: an empty direct command, which the machine answers with its status (see probe.go).

// LateCopyLeases is the time after a late copy, in leases, during which more may come.
const LateCopyLeases = 8

// responseTimeout is how long after sending a heartbeat a worker accepts the response, by the worker
// protocol and with a margin.
const responseTimeout = 5 * time.Second

// staleness tracks the evidence that a machine's heartbeats may be late copies.
type staleness struct {
	lastLateAt    time.Time // when the last late status arrived
	onlyLateSince time.Time // when the first late status after the last current one arrived; zero: none
	incarnation   uint64    // of the last late status
	addr          string    // of the last late status
	restarted     bool      // a probe has found it restarted: copies from before the restart may look newer than its current status
	missingSince  time.Time // since when it is probed for a missing attempt; zero: not probed
	probedAt      time.Time // when it was last probed
}

// IsStale reports whether a status is not newer than the last applied one. The fencing tokens of a
// machine never decrease: a lower token with a higher incarnation is a copy of a status that the
// machine sent under an earlier leader, before it restarted.
func (m *Machine) IsStale(hb *Heartbeat) bool {
	if !m.HasStatus {
		return false
	}
	return hb.Incarnation < m.Incarnation || hb.Incarnation == m.Incarnation && hb.Sequence <= m.Sequence ||
		hb.FencingToken < m.FencingToken
}

// mayReceiveLateCopies reports whether late copies of heartbeats must be expected.
func (m *Machine) mayReceiveLateCopies(lease time.Duration, now time.Time) bool {
	s := &m.staleness
	return s.restarted || !s.lastLateAt.IsZero() && now.Sub(s.lastLateAt) < LateCopyLeases*lease
}

// Recency is the age of a heartbeat relative to the known state of its machine.
type Recency uint8

// Recencies. Only a Current heartbeat is applied; an Overtaken one may still renew the lease.
const (
	Current   Recency = iota
	Overtaken         // older than an answer to a direct command, but the worker still waits for the response
	Late              // a late copy, or indistinguishable from one
)

// IsOvertaken reports whether a stale heartbeat is most likely not a late copy: it was sent before
// the answer to a direct command and arrived after it, no newer heartbeat has arrived since, and its
// worker still waits for the response. Such a heartbeat is not applied, but the response renews the
// lease.
//
// Otherwise, workers of a leader that applies heartbeats slowly lose their leases although they send
// heartbeats: each answer to a probe overtakes a heartbeat, which is rejected as late, so that the
// worker is probed again.
func (m *Machine) IsOvertaken(hb *Heartbeat, now time.Time) bool {
	return m.HasStatus && !m.LeaseExpired && now.Sub(m.probeAnsweredAt) < responseTimeout &&
		hb.Incarnation == m.Incarnation && m.heartbeatSequence < hb.Sequence && hb.Sequence < m.Sequence
}

// Recency returns the recency of a heartbeat of a known machine, and records a late heartbeat.
func (t *Table) Recency(hb *Heartbeat, now time.Time) Recency {
	m := t.Machines[hb.Machine]
	switch {
	case !m.IsStale(hb):
		return Current
	case m.IsOvertaken(hb, now):
		return Overtaken
	}
	m.recordLate(hb, now)
	return Late
}

// recordLate records that a late status arrived.
func (m *Machine) recordLate(hb *Heartbeat, now time.Time) {
	s := &m.staleness
	s.lastLateAt = now
	if s.onlyLateSince.IsZero() {
		s.onlyLateSince = now
	}
	s.incarnation, s.addr = hb.Incarnation, hb.Addr
}

// predatesTerm reports whether a heartbeat of a reconciled machine was sent before its worker
// received this term's fencing token. The worker may have been unreachable during several
// incarnations. Late copies from then may arrive after the worker's current status, have a higher
// incarnation, and lack the attempt that was just sent.
func (m *Machine) predatesTerm(hb *Heartbeat, term uint64) bool {
	return m.Reconciled && hb.FencingToken < term
}

// confirmMissing reports whether an attempt that a status does not list is gone from the machine. If
// that is uncertain, the machine is marked to be probed.
func (t *Table) confirmMissing(m *Machine, a *Attempt, hb *Heartbeat, isHeartbeat bool, now time.Time) bool {
	switch {
	case a.state == Planned:
		return false
	case a.state == Ended:
		return true
	case a.state == Sent && (!isHeartbeat || hb.Sequence <= a.SentSequence):
		// This prevents a double start: a run command in flight is considered lost only when a
		// later heartbeat lacks the attempt. An answer to a direct command or a status request may
		// have been created before the response with the run command arrived.
		return false
	case !isHeartbeat, a.state == Sent && !m.mayReceiveLateCopies(t.Lease, now) && !m.predatesTerm(hb, t.Term):
		return true
	}
	// A machine loses a task only by a restart, so this heartbeat may be a late copy from before
	// the task started.
	if m.staleness.missingSince.IsZero() {
		m.staleness.missingSince = now
	}
	return false
}

// InLastStatus reports whether the last applied status lists an attempt. An attempt that it does not
// list stays in the table until it is confirmed as missing.
func (m *Machine) InLastStatus(a *Attempt) bool { return a.lastSeenIn == m.statusCount }
