package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"drumpick/internal/packing"
	"drumpick/internal/quota"
)

// Attempt is one execution of a task on one machine.
type Attempt struct {
	Task            TaskID
	Number          uint64 // identifies the attempt among those of its task, also in the worker protocol
	Machine         *Machine
	Cause           string // why it ended, one of the Cause constants; "" before
	CheckpointSaved bool   // a checkpoint was saved before it ended
	SentSequence    uint64 // Machine.Sequence when its run command was sent

	AssignedAt      time.Time // when it was planned or discovered; once it is sent, when it was sent
	RunningSince    time.Time // when it was first reported as running
	ImageReadySince time.Time // when its state first changed to one with its image present; zero: not seen
	StopRequestedAt time.Time // when a stop was first requested
	StopReason      string    // set by the caller of RequestStop; the table does not read it

	MayReap   bool          // the worker may get VerbReap, the command to forget it
	Item      *packing.Item // its item in the machine's bin; nil once it has ended
	Duplicate bool          // its task has another attempt that counts instead
	Job       any           // the planner's job; the table does not read it
	Charge    quota.Charge  // its charge in the quota account; the table does not read it

	state      State
	listed     bool    // it is on its machine's list of attempts
	stopping   bool    // a stop was requested
	graceS     float64 // seconds to save a checkpoint after the stop
	killsSent  int     // number of messages with its kill command
	occupied   float64 // bytes of the machine's status that it takes without an item, as an ended attempt
	lastSeenIn uint64  // Machine.statusCount of the last status that listed it
	ordinal    uint64  // order of addition to the table
}

// State returns the state of the attempt.
func (a *Attempt) State() State { return a.state }

// OnMachine reports whether the attempt is on its machine's list of attempts: it was added and not
// forgotten.
func (a *Attempt) OnMachine() bool { return a.listed }

// Stopping reports whether a stop of the attempt was requested.
func (a *Attempt) Stopping() bool { return a.stopping }

// MayBePresent reports whether the attempt may be on its machine: it was sent or reported, and no
// status has shown its end. That includes run commands in flight.
func (a *Attempt) MayBePresent() bool { return a.state != Planned && a.state != Ended }

// Durations returns how long the attempt waited on its machine and how long it has been running. An
// attempt that never ran has waited all the time and run for 0.
func (a *Attempt) Durations(now time.Time) (waited, ran time.Duration) {
	if a.RunningSince.IsZero() {
		return now.Sub(a.AssignedAt), 0
	}
	return a.RunningSince.Sub(a.AssignedAt), now.Sub(a.RunningSince)
}

// MarkSent records that the run command of a planned attempt is sent in the response to its
// machine's last heartbeat.
func (a *Attempt) MarkSent(now time.Time) {
	a.SentSequence, a.AssignedAt = a.Machine.Sequence, now
	a.setState(Sent)
}

// RequestStop requests that the attempt is killed, with graceS seconds to save a checkpoint. The kill
// command is repeated until a status shows the end. Of several requests, the first reason and the
// shortest grace period count. It reports whether anything has changed.
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

// setState sets the state and calls Table.OnChange if it differs. All state changes go through it.
func (a *Attempt) setState(state State) {
	if a.state == state {
		return
	}
	a.state = state
	a.occupyStatus()
	a.notifyChanged()
}

// occupyStatus reserves the part of the machine's status that an ended attempt takes until the worker
// has reaped it. Without it, new tasks could make the status larger than a worker can send.
func (a *Attempt) occupyStatus() {
	bytes := 0.0
	if a.listed && a.state == Ended {
		bytes = taskStatusBytes(a.Task, a.Number, CauseGangPeerLost)
	}
	if bytes != a.occupied {
		a.Machine.Bin.OccupyStatus(bytes - a.occupied)
		a.occupied = bytes
	}
}

// setItem sets the attempt's item in the machine's bin; nil: none.
func (a *Attempt) setItem(item *packing.Item) {
	a.Item = item
	a.notifyChanged()
}

// notifyChanged calls Table.OnChange if it is set.
func (a *Attempt) notifyChanged() {
	if onChange := a.Machine.table.OnChange; onChange != nil {
		onChange(a)
	}
}

// addAttempt adds an attempt to the machine's list of attempts and to the table's index by job.
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
	a.occupyStatus()
	a.notifyChanged()
}

// Forget removes an attempt from the table and its item from the machine's bin.
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
	a.occupyStatus()
	a.notifyChanged()
}

// forgetAll removes all attempts of a machine, and returns those that had not ended.
func (m *Machine) forgetAll() []*Attempt {
	var lost []*Attempt
	for _, a := range slices.Clone(m.attempts) {
		m.Forget(a)
		if a.state != Ended {
			lost = append(lost, a)
		}
	}
	return lost
}

// AttemptsOfJob returns the attempts of a job, sorted by machine name, then oldest first.
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
