package fleet

import "time"

// reachability tracks whether responses and commands reach a machine. A machine whose heartbeats
// arrive while responses and commands to it are lost is not silent. Without this record, tasks would
// be sent to it forever, and one gang after another would wait for it.
type reachability struct {
	answered    bool      // the last heartbeat was answered with status 200
	via         string    // controller that relayed the answer
	answeredAt  time.Time // when the answer was sent
	missed      int       // consecutive answers that apparently did not arrive
	missedSince time.Time // when the first of these was detected
}

// unreachableMissedAnswers is the number of consecutive missed answers after which a machine is
// unreachable. A single answer is lost whenever a connection ends or a worker changes controllers.
const unreachableMissedAnswers = 2

// minReturnDelay is the minimum time in which a worker without a response returns to the same
// controller. By the worker protocol it waits 4 s for each response and tries the next controller
// 1 s later; there are at least two controllers. A margin of 10% is subtracted.
const minReturnDelay = 2 * (4 + 1) * time.Second * 9 / 10

// updateReachability determines from a status whether the last answer has arrived. It has if
//   - the status answers a direct command,
//   - the status shows a change that only an answer or a command can cause: this term's fencing
//     token, or an attempt that was just sent, or
//   - no attempt was sent that the status should list, and it comes through the same controller: a worker
//     stays with the controller that answered it.
//
// A heartbeat shows that the worker stayed with its controller if it has the next sequence number, or
// if it comes sooner than the worker could return from another controller. The second condition is
// needed because a probe raises the sequence number too: that of the heartbeat after it is then not
// the next one.
//
// Otherwise the last answer, if any, counts as missed, unless the status cannot show its arrival.
func (m *Machine) updateReachability(hb *Heartbeat, isHeartbeat bool, term uint64, now time.Time) {
	last := &m.reachability
	arrived := !isHeartbeat || m.FencingToken < term && hb.FencingToken == term
	sent := false
	for _, a := range m.attempts {
		if a.state == Sent {
			sent = true
			arrived = arrived || hb.lists(a)
		}
	}
	knowsController := last.answered && last.via != "" && hb.Via != ""
	switch {
	case arrived, m.keptController(hb, now) && !sent:
		*last = reachability{}
	case last.answered && (knowsController || sent || hb.FencingToken < term):
		if last.missed == 0 {
			last.missedSince = now
		}
		last.missed++
	}
	last.answered = false
}

// keptController reports whether a heartbeat shows that its worker has stayed with the controller
// that answered the previous heartbeat.
func (m *Machine) keptController(hb *Heartbeat, now time.Time) bool {
	last := &m.reachability
	return last.answered && last.via != "" && hb.Via == last.via && hb.Incarnation == m.Incarnation &&
		(hb.Sequence == m.Sequence+1 || now.Sub(last.answeredAt) < minReturnDelay)
}

// lists reports whether a status lists an attempt.
func (h *Heartbeat) lists(a *Attempt) bool {
	for i := range h.Tasks {
		if h.Tasks[i].Attempt == a.Number && h.Tasks[i].Task == a.Task.String() {
			return true
		}
	}
	return false
}

// MarkAnswered records that the machine's last heartbeat was answered with status 200 through the
// controller via, which renews the lease.
func (m *Machine) MarkAnswered(via string, now time.Time) {
	m.LeaseRenewedAt = now
	m.reachability.answered, m.reachability.via, m.reachability.answeredAt = true, via, now
}

// RenewLease records that a heartbeat that was not applied was answered with status 200, which renews
// the lease. It does not update the reachability.
func (m *Machine) RenewLease(now time.Time) { m.LeaseRenewedAt = now }

// Unreachable reports whether the machine's heartbeats arrive while recent answers did not reach it.
// No tasks are sent to it until an answer has arrived.
func (m *Machine) Unreachable() bool { return m.reachability.missed >= unreachableMissedAnswers }

// UnreachableFor returns how long the machine has been unreachable; 0 if it is reachable.
func (m *Machine) UnreachableFor(now time.Time) time.Duration {
	if !m.Unreachable() {
		return 0
	}
	return now.Sub(m.reachability.missedSince)
}
