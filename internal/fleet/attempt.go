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
	Task            TaskID
	Number          uint64 // names the attempt among those of its task, also to the worker
	Machine         *Machine
	Cause           string // why it ended, one of the Cause constants; "" before
	CheckpointSaved bool   // it saved a checkpoint before it ended
	SentSequence    uint64 // Machine.Sequence when its run command was sent

	AssignedAt      time.Time // when it was planned, then sent, or found on the machine
	RunningSince    time.Time // when it was first seen running
	ImageReadySince time.Time // when it was first seen with its image there
	StopRequestedAt time.Time // when it was first requested to stop
	StopReason      string    // why; for whoever requests it, the table never reads it

	MayReap   bool          // the worker may forget it
	Item      *packing.Item // its place in the machine's bin; nil once it has ended
	Duplicate bool          // a duplicate attempt: not the one that counts as its task's
	Job       any           // whose task it is; the planner's, and the table never reads it
	Charge    quota.Charge  // what it counts for in the quota account; the table never reads it

	state      State
	listed     bool    // it is on its machine's list
	stopping   bool    // it was requested to stop
	graceS     float64 // seconds that it is given to save a checkpoint
	lastSeenIn uint64  // Machine.statusCount of the last status that had it
	ordinal    uint64  // rises with each attempt of the table
}

// State returns the state of the attempt.
func (a *Attempt) State() State { return a.state }

// OnMachine reports whether the attempt is on its machine's list: it was added, and not forgotten.
func (a *Attempt) OnMachine() bool { return a.listed }

// Stopping reports whether the attempt was requested to stop.
func (a *Attempt) Stopping() bool { return a.stopping }

// MayBePresent reports whether the attempt may be on its machine: everything that was
// ever sent and has not been seen to end, run commands in flight included.
func (a *Attempt) MayBePresent() bool { return a.state != Planned && a.state != Ended }

// Durations returns how long the attempt waited on its machine and how long it has run; one
// that never ran has waited all the time.
func (a *Attempt) Durations(now time.Time) (waited, ran time.Duration) {
	if a.RunningSince.IsZero() {
		return now.Sub(a.AssignedAt), 0
	}
	return a.RunningSince.Sub(a.AssignedAt), now.Sub(a.RunningSince)
}

// MarkSent notes that the run command of a planned attempt is sent in the response to its machine's
// last heartbeat.
func (a *Attempt) MarkSent(now time.Time) {
	a.SentSequence, a.AssignedAt = a.Machine.Sequence, now
	a.setState(Sent)
}

// RequestStop has the attempt killed, with graceS seconds to save a checkpoint, until a status shows
// its end. The first reason stays, and the grace period only rises. It reports whether anything has
// changed.
func (a *Attempt) RequestStop(reason string, graceS float64, now time.Time) bool {
	if a.stopping && graceS >= a.graceS {
		return false
	}
	if !a.stopping {
		a.StopRequestedAt, a.StopReason = now, reason
	}
	a.stopping, a.graceS = true, graceS
	a.notifyChanged()
	return true
}

// setState is the only place where the state of an attempt changes.
func (a *Attempt) setState(state State) {
	if a.state == state {
		return
	}
	a.state = state
	a.notifyChanged()
}

// setItem gives the attempt its place in the machine's bin, or none.
func (a *Attempt) setItem(item *packing.Item) {
	a.Item = item
	a.notifyChanged()
}

// notifyChanged calls the table's listener, if there is one.
func (a *Attempt) notifyChanged() {
	if onChange := a.Machine.table.OnChange; onChange != nil {
		onChange(a)
	}
}

// addAttempt puts an attempt on its machine's list and into the index by job.
func (m *Machine) addAttempt(a *Attempt) {
	t := m.table
	t.attemptsAdded++
	a.listed, a.ordinal = true, t.attemptsAdded
	m.attempts = append(m.attempts, a)
	ofJob := t.attemptsByJob[a.Task.Job]
	if ofJob == nil {
		ofJob = map[*Attempt]struct{}{}
		t.attemptsByJob[a.Task.Job] = ofJob
	}
	ofJob[a] = struct{}{}
	a.notifyChanged()
}

// Forget removes an attempt and releases its room.
func (m *Machine) Forget(a *Attempt) {
	m.releaseItem(a)
	i := slices.Index(m.attempts, a)
	if i < 0 {
		return
	}
	m.attempts = slices.Delete(m.attempts, i, i+1)
	ofJob := m.table.attemptsByJob[a.Task.Job]
	delete(ofJob, a)
	if len(ofJob) == 0 {
		delete(m.table.attemptsByJob, a.Task.Job)
	}
	a.listed = false
	a.notifyChanged()
}

// forgetAll removes all attempts of a machine, and returns those that had not ended.
func (m *Machine) forgetAll() []*Attempt {
	var gone []*Attempt
	for _, a := range slices.Clone(m.attempts) {
		m.Forget(a)
		if a.state != Ended {
			gone = append(gone, a)
		}
	}
	return gone
}

// AttemptsOfJob lists the attempts of a job, those of a machine oldest first, machines by name.
func (t *Table) AttemptsOfJob(job string) []*Attempt {
	list := make([]*Attempt, 0, len(t.attemptsByJob[job]))
	for a := range t.attemptsByJob[job] {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *Attempt) int {
		return cmp.Or(strings.Compare(a.Machine.Name, b.Machine.Name), cmp.Compare(a.ordinal, b.ordinal))
	})
	return list
}
