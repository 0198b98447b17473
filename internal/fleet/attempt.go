package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"drumpick/internal/packing"
	"drumpick/internal/quota"
)

// Attempt is one start of a task on one machine.
type Attempt struct {
	Task         TaskID
	Number       uint64
	Machine      *Machine
	Cause        string
	Saved        bool
	SentSequence uint64 // tick of the report whose response carried the run
	Since        time.Time
	RunSince     time.Time // when it was first seen running
	ReadySince   time.Time // when it was first seen with its image there
	StopAt       time.Time
	StopReason   string        // it was stopped; for whoever stops, nothing to the table
	Reap         bool          // may be removed from the worker's memory
	Item         *packing.Item // its place in the machine's bin; nil once it has ended
	Duplicate    bool          // not an attempt that we count as the task's own
	Job          any           // whose task it is, for whoever plans; nothing to the table
	Charge       quota.Charge  // what it counts for, for whoever keeps the account; nothing to the table

	state   State
	listed  bool    // on its machine's list
	stop    bool    // was told to stop
	grace   float64 // seconds given to save
	body    uint64  // the machine's body that last had it
	ordinal uint64  // rises with each attempt of the table
}

// State is where the attempt stands.
func (a *Attempt) State() State { return a.state }

// OnMachine says whether the attempt is on its machine's list: it came, and was not forgotten.
func (a *Attempt) OnMachine() bool { return a.listed }

// Stopping says whether the attempt was told to stop.
func (a *Attempt) Stopping() bool { return a.stop }

// MayBePresent says whether the attempt may be on its machine: everything that was
// ever sent and has not been seen to end, runs in flight included.
func (a *Attempt) MayBePresent() bool { return a.state != Planned && a.state != Ended }

// Durations tells how long the attempt waited on its machine and how long it has run; one
// that never ran has waited all the time.
func (a *Attempt) Durations(now time.Time) (waited, ran time.Duration) {
	if a.RunSince.IsZero() {
		return now.Sub(a.Since), 0
	}
	return a.RunSince.Sub(a.Since), now.Sub(a.RunSince)
}

// Send notes that the run of a planned attempt goes out in the answer to its machine's last
// report.
func (a *Attempt) Send(now time.Time) {
	a.SentSequence, a.Since = a.Machine.Sequence, now
	a.setState(Sent)
}

// RequestStop has the attempt killed, with so many seconds to save, until its exit shows. The
// first reason stays, and grace only rises; false: nothing has changed.
func (a *Attempt) RequestStop(why string, grace float64, now time.Time) bool {
	if a.stop && grace >= a.grace {
		return false
	}
	if !a.stop {
		a.StopAt, a.StopReason = now, why
	}
	a.stop, a.grace = true, grace
	a.changed()
	return true
}

// setState is the only place where the state of an attempt changes.
func (a *Attempt) setState(to State) {
	if a.state == to {
		return
	}
	a.state = to
	a.changed()
}

// setItem gives the attempt its place in the machine's bin, or none.
func (a *Attempt) setItem(it *packing.Item) {
	a.Item = it
	a.changed()
}

// changed tells whoever listens to the table.
func (a *Attempt) changed() {
	if listen := a.Machine.table.OnChange; listen != nil {
		listen(a)
	}
}

// list puts an attempt on its machine's list.
func (m *Machine) list(a *Attempt) {
	t := m.table
	t.attempts++
	a.listed, a.ordinal = true, t.attempts
	m.order = append(m.order, a)
	of := t.byJob[a.Task.Job]
	if of == nil {
		of = map[*Attempt]struct{}{}
		t.byJob[a.Task.Job] = of
	}
	of[a] = struct{}{}
	a.changed()
}

// Forget removes an attempt and gives its room back.
func (m *Machine) Forget(a *Attempt) {
	m.free(a)
	i := slices.Index(m.order, a)
	if i < 0 {
		return
	}
	m.order = slices.Delete(m.order, i, i+1)
	of := m.table.byJob[a.Task.Job]
	if delete(of, a); len(of) == 0 {
		delete(m.table.byJob, a.Task.Job)
	}
	a.listed = false
	a.changed()
}

// forgetAll removes all attempts of a machine, and returns those that had not ended.
func (m *Machine) forgetAll() []*Attempt {
	var gone []*Attempt
	for _, a := range slices.Clone(m.order) {
		m.Forget(a)
		if a.state != Ended {
			gone = append(gone, a)
		}
	}
	return gone
}

// OfJob lists the attempts of a job, those of a machine oldest first, machines by name.
func (t *Table) OfJob(job string) []*Attempt {
	list := make([]*Attempt, 0, len(t.byJob[job]))
	for a := range t.byJob[job] {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *Attempt) int {
		return cmp.Or(strings.Compare(a.Machine.Name, b.Machine.Name), cmp.Compare(a.ordinal, b.ordinal))
	})
	return list
}
