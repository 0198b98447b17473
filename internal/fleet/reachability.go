package fleet

import "time"

// reachability is the evidence of whether what is sent to a machine reaches it. A machine whose
// heartbeats arrive while responses and commands to it do not is not silent: without this record it
// would be sent task starts for ever, and one gang after another would wait for it.
type reachability struct {
	answered    bool      // a heartbeat was answered with 200, and no newer one has come since
	via         string    // the controller that relayed the answer
	answeredAt  time.Time // when that answer was sent
	missed      int       // answers in a row that seem not to have arrived
	missedSince time.Time // when the first of these was noticed
}

// unreachableMissedAnswers is how many answers in a row must be missed for a machine to count as unreachable:
// a single one is lost with each connection that ends, and with each controller that a worker leaves.
const unreachableMissedAnswers = 2

// minReturnDelay is how soon a worker that was given no answer can be back at the same controller. It
// waits for 4 s, and tries the next controller a second later (PROTOCOL); there are at least two. A
// tenth less is a margin.
const minReturnDelay = 2 * (4 + 1) * time.Second * 9 / 10

// updateReachability concludes from a status whether the last answer has arrived. It has when
//   - the status answers a command,
//   - it shows what only an answer or a command can have brought: our term, or an attempt just sent, or
//   - nothing was sent that it should show, and it comes through the same controller, as a worker
//     stays with the one that answered it.
//
// To have stayed, a heartbeat must either be the next one in sequence or come sooner than the
// worker could be back after an attempt elsewhere. Its sequence number need not be the next, as a
// probe of the worker raises that.
func (m *Machine) updateReachability(r *Heartbeat, isHeartbeat bool, term uint64, now time.Time) {
	last := &m.reachability
	arrived := !isHeartbeat || m.FencingToken < term && r.FencingToken == term
	sent := false
	for _, a := range m.attempts {
		if a.state == Sent {
			sent = true
			arrived = arrived || r.lists(a)
		}
	}
	knowsController := last.answered && last.via != "" && r.Via != ""
	switch {
	case arrived, m.keptController(r, now) && !sent:
		*last = reachability{}
	case last.answered && (knowsController || sent || r.FencingToken < term):
		if last.missed == 0 {
			last.missedSince = now
		}
		last.missed++
	}
	last.answered = false
}

// keptController reports whether a heartbeat shows that its worker has stayed with the controller that answered
// the one before.
func (m *Machine) keptController(r *Heartbeat, now time.Time) bool {
	last := &m.reachability
	return last.answered && last.via != "" && r.Via == last.via && r.Incarnation == m.Incarnation &&
		(r.Sequence == m.Sequence+1 || now.Sub(last.answeredAt) < minReturnDelay)
}

// lists reports whether a status lists an attempt.
func (r *Heartbeat) lists(a *Attempt) bool {
	for i := range r.Tasks {
		if r.Tasks[i].Attempt == a.Number && r.Tasks[i].Task == a.Task.String() {
			return true
		}
	}
	return false
}

// MarkAnswered notes that the machine's last heartbeat was answered with 200, through a controller.
func (m *Machine) MarkAnswered(via string, now time.Time) {
	m.LeaseRenewedAt = now
	m.reachability.answered, m.reachability.via, m.reachability.answeredAt = true, via, now
}

// RenewLease notes that a heartbeat was answered with 200 from which nothing is concluded, also not
// whether its machine is reachable.
func (m *Machine) RenewLease(now time.Time) { m.LeaseRenewedAt = now }

// Unreachable reports whether nothing that was sent to the machine has reached it lately, though its
// heartbeats come. It takes no task starts then, until the first sign that an answer has arrived.
func (m *Machine) Unreachable() bool { return m.reachability.missed >= unreachableMissedAnswers }

// UnreachableFor is for how long the machine has been unreachable; 0 if it is not.
func (m *Machine) UnreachableFor(now time.Time) time.Duration {
	if !m.Unreachable() {
		return 0
	}
	return now.Sub(m.reachability.missedSince)
}
