package fleet

import "time"

// hearing is what shows whether that which is sent to a machine reaches it. A machine whose
// reports arrive while answers and commands do not is not silent: it would be given starts
// for ever, and a gang would wait for it each time anew.
type hearing struct {
	asked  bool      // a report was answered with 200, and no newer one has come since
	via    string    // the controller through which
	at     time.Time // when
	misses int       // answers in a row that show no trace
	since  time.Time // when the first of them was missed
}

// fewMisses is how many answers in a row may leave no trace: one is lost with each connection
// that ends, and with a controller that a worker leaves.
const fewMisses = 2

// away is how soon a worker that was given no answer can be back at the same controller: it
// waits for 4 s, and tries the next a second later (PROTOCOL). Less is a margin, and the case of
// two controllers.
const away = 2 * (4 + 1) * time.Second * 9 / 10

// hear weighs what a body shows of the last answer. A worker stays with the controller that
// answered it: the next report in a row through the same one has heard, and so has one that
// comes through it sooner than it could be back. (Its number need not be the next: whoever
// asks a worker how it stands raises that.) So has one that shows what only an answer or a
// command can have brought, and whoever answers a command.
func (m *Machine) hear(r *Heartbeat, isReport bool, term uint64, now time.Time) {
	h := &m.hearing
	heard := !isReport || m.FencingToken < term && r.FencingToken == term
	stays := h.asked && h.via != "" && r.Via == h.via && r.Incarnation == m.Incarnation && (r.Sequence == m.Sequence+1 || now.Sub(h.at) < away)
	known := h.asked && h.via != "" && r.Via != "" // whether it stayed
	sent := false
	for _, a := range m.order {
		if a.state == Sent {
			sent = true
			heard = heard || r.has(a)
		}
	}
	switch {
	case heard, stays && !sent:
		*h = hearing{}
	case h.asked && (known || sent || r.FencingToken < term):
		if h.misses == 0 {
			h.since = now
		}
		h.misses++
	}
	h.asked = false
}

// has says whether a report shows an attempt.
func (r *Heartbeat) has(a *Attempt) bool {
	for i := range r.Tasks {
		if r.Tasks[i].Attempt == a.Number && r.Tasks[i].Task == a.Task.String() {
			return true
		}
	}
	return false
}

// Answered notes that a 200 was written to the machine's last report, through a controller.
func (m *Machine) Answered(via string, now time.Time) {
	m.LastRenewal = now
	m.hearing.asked, m.hearing.via, m.hearing.at = true, via, now
}

// Renewed notes that a 200 was written to a report from which nothing is concluded, also not
// whether its machine hears.
func (m *Machine) Renewed(now time.Time) { m.LastRenewal = now }

// Unreachable says whether nothing that was sent to the machine has reached it lately, though it
// reports. It takes no starts then, and takes them again with the first sign of hearing.
func (m *Machine) Unreachable() bool { return m.hearing.misses >= fewMisses }

// UnreachableFor is since when that has been so.
func (m *Machine) UnreachableFor(now time.Time) time.Duration {
	if !m.Unreachable() {
		return 0
	}
	return now.Sub(m.hearing.since)
}
