package fleet

import "time"

// Reports may be copies that come late, and a machine may start anew with its counters behind
// what is known. What a report lacks then proves nothing: a machine that is asked, by a direct
// command with nothing in it, answers for itself.

// IsStale says whether a body is no newer than the last one that was taken in. What a machine
// shows of tokens only rises as well: a lower one beside a higher number is a copy of what it
// said before it started anew, under an earlier leader.
func (m *Machine) IsStale(r *Heartbeat) bool {
	return m.Up && (r.Incarnation < m.Incarnation || r.Incarnation == m.Incarnation && r.Sequence <= m.Sequence || r.FencingToken < m.FencingToken)
}

// doubt is what speaks against taking a machine's reports at their word.
type doubt struct {
	older   time.Time // when a report last came that was older than what is known
	since   time.Time // when the first of these came since the last one that was not
	anew    bool      // it has started anew: copies of before may look newer than what it says now
	open    time.Time // since when it is to be asked, as a report lacks what the machine should have
	asked   time.Time
	session uint64 // of the last report, of whatever age
	addr    string
}

// LateCopyLeases is for how many leases copies may come after one has.
const LateCopyLeases = 8

// unsure says whether copies may be about.
func (m *Machine) unsure(lease time.Duration, now time.Time) bool {
	return m.doubt.anew || !m.doubt.older.IsZero() && now.Sub(m.doubt.older) < LateCopyLeases*lease
}

// Recency is how a report stands to what is known of its machine.
type Recency uint8

// Recencies. Only a current report is taken in; only a late one is refused.
const (
	Current   Recency = iota
	Overtaken         // older than an answer to a direct command, with its worker waiting still
	Late              // a late copy, or what looks like one
)

// Overtaken says whether a report that is older than what is known is most likely no late copy
// but on its worker's mind still: it was sent before the answer to a direct command, came
// after that answer, and nothing newer was reported since. Its worker waits for an answer then.
// Nothing is concluded from such a report, as it is older; but its answer renews the lease.
// Guards against workers of a leader that is slow to take reports in: each answer to a question
// overtook the report after it, which was refused, so that the worker was asked again, and at
// last its lease ended though it had reported all the time.
func (m *Machine) Overtaken(r *Heartbeat, now time.Time) bool {
	return m.Up && !m.LeaseExpired && now.Sub(m.answered) < workerPatience &&
		r.Incarnation == m.Incarnation && m.reported < r.Sequence && r.Sequence < m.Sequence
}

// Recency tells how a report of a machine that is known stands, and notes one that is late.
func (t *Table) Recency(r *Heartbeat, now time.Time) Recency {
	m := t.Machines[r.Machine]
	switch {
	case !m.IsStale(r):
		return Current
	case m.Overtaken(r, now):
		return Overtaken
	}
	m.noteOlder(r, now)
	return Late
}

// noteOlder notes that a body came which is older than what is known.
func (m *Machine) noteOlder(r *Heartbeat, now time.Time) {
	d := &m.doubt
	if d.older = now; d.since.IsZero() {
		d.since = now
	}
	d.session, d.addr = r.Incarnation, r.Addr
}

// early says whether a report is from before its worker heard anything of a machine that is in
// use since its first report. Guards against one that stood unheard for sessions and started
// anew: what it said before comes after what it says now, with a higher session, and lacks the
// run that it has just been sent.
func (m *Machine) early(r *Heartbeat, term uint64) bool { return m.Reconciled && r.FencingToken < term }

// missing takes in that a body lacks an attempt that the machine should have, and says whether
// it is gone.
func (t *Table) missing(m *Machine, a *Attempt, r *Heartbeat, isReport bool, now time.Time) bool {
	switch {
	case a.state == Planned:
		return false
	case a.state == Ended:
		return true
	case a.state == Sent && (!isReport || r.Sequence <= a.SentSequence):
		// Guards against a double start: a run in flight is given up only when
		// a later report lacks it. An answer to /orders or /status may have been
		// made before the response with the run came in.
		return false
	case !isReport, a.state == Sent && !m.unsure(t.Lease, now) && !m.early(r, t.Term):
		return true
	}
	// No machine forgets a task that it had, but by starting anew; and a copy of a report
	// lacks what came later.
	if m.doubt.open.IsZero() {
		m.doubt.open = now
	}
	return false
}

// LastReported says whether the last body that was taken in has an attempt; one that it lacks is kept as
// long as that proves nothing.
func (m *Machine) LastReported(a *Attempt) bool { return a.body == m.body }

// UnansweredProbesFor is for how long a machine has been asked in vain what it has.
func (m *Machine) UnansweredProbesFor(now time.Time) time.Duration {
	if m.doubt.open.IsZero() {
		return 0
	}
	return now.Sub(m.doubt.open)
}

// Probe is a machine to be asked how it stands, by a command without orders. An answer,
// unlike a report, cannot be a copy of anything from before it was asked.
type Probe struct {
	Machine, Addr string
	Incarnation   uint64
	asked         time.Time
	body          uint64
}

// Probes lists the machines that are to be asked: those whose reports lack what they
// should have, and those that have sent older reports only for a while.
func (t *Table) Probes(report time.Duration, now time.Time) []Probe {
	var list []Probe
	for _, m := range t.sorted {
		d := &m.doubt
		behind := !d.since.IsZero() && now.Sub(m.LastStatus) > report*3/2 && now.Sub(d.since) > report/2
		if !behind && d.open.IsZero() || m.Returning || now.Sub(d.asked) < report/2 {
			continue
		}
		d.asked = now
		q := Probe{Machine: m.Name, Addr: m.Addr, Incarnation: m.Incarnation, asked: now, body: m.body}
		if behind {
			q.Addr, q.Incarnation = d.addr, d.session
		}
		list = append(list, q)
	}
	return list
}

// workerPatience is how long after a report its answer is still carried out (PROTOCOL), with
// a margin.
const workerPatience = 5 * time.Second

// ApplyProbe takes in the answer to a question. Where its number is behind what is known the
// machine has started anew, or what was known came from a copy: either way it has what the
// answer shows and nothing else, but for runs that may still be on their way. anew says so.
func (t *Table) ApplyProbe(q Probe, r *Heartbeat, now time.Time) (out Outcome, anew bool) {
	m := t.Machines[q.Machine]
	if m == nil || r.Machine != q.Machine {
		return Outcome{Stale: true}, false
	}
	if m.IsStale(r) {
		// Guards against a report that came in between: the answer may have been made
		// before it.
		if m.body != q.body {
			return Outcome{Stale: true, Machine: m}, false
		}
		m.doubt.anew, anew = true, true
		m.Incarnation, m.Sequence, m.FencingToken = r.Incarnation, max(r.Sequence, 1)-1, 0
	}
	m.doubt.open = time.Time{}
	out = t.Apply(r, false, now)
	for _, a := range append([]*Attempt(nil), m.order...) {
		if a.state == Sent && q.asked.Sub(a.Since) > workerPatience && !r.has(a) {
			out.gone(m, a)
		}
	}
	return out, anew
}
