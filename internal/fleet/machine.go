package fleet

import (
	"time"

	"drumpick/internal/forecast"
	"drumpick/internal/packing"
)

// Machine is one machine of the fleet, with all that the leader knows of it. Its owner also sets the
// exported fields that the table only carries, such as Draining, Faulty and Cordon.
type Machine struct {
	Name string
	Addr string // host and port at which its worker takes direct commands
	Type string // machine type; all machines of a type have the same capacity
	Zone string
	Spot bool // the cloud may preempt it

	// Incarnation, Sequence and FencingToken are those of the newest status that was applied.
	Incarnation  uint64 // rises each time the worker restarts and forgets its tasks
	Sequence     uint64 // rises with each status of an incarnation
	FencingToken uint64 // the newest term that the worker has obeyed

	RequestedAt    time.Time // when it was requested from the cloud, as far as known
	HasStatus      bool      // it has sent a heartbeat under this term, or answered a probe
	LastStatusAt   time.Time // when a newer status last came in
	LeaseRenewedAt time.Time // when a heartbeat of it was last answered with 200, which renews its lease
	PreemptionAt   time.Time // when the cloud takes it; zero: no notice
	SilentSince    time.Time // since when it is waited for, though it has sent nothing under this term

	// Inherited, Reconciled and EarlierLeasesExpired decide whether tasks that an earlier leader
	// started may still run here: see AwaitsReconciliation.
	Inherited            bool // it was on record when this term began, so an earlier one may have used it
	Reconciled           bool // a status has shown our term
	EarlierLeasesExpired bool // nothing has been heard under our term, and no lease of an earlier one is left
	Recorded             bool // the store has a record that it may hold tasks
	Recording            bool // that record is being written
	Unverified           bool // first known by a status, which may be a copy from a machine that is gone

	Returning    bool // being returned to the cloud; nothing may be sent any more
	Draining     bool // takes no new tasks
	LeaseExpired bool // it was silent beyond its lease: its worker has stopped its tasks
	Failed       bool // the cloud reports that it stopped on its own
	Faulty       bool // tasks fail on it that succeed elsewhere

	// Cordon is the drain that keeps new tasks away; nil: none. It is the planner's, and the table
	// never reads it.
	Cordon any
	// ReservedFor is the job for whose sake the machine empties; nil: none. It is the planner's, and
	// the table never reads it.
	ReservedFor any

	Version          string         // of its worker; "" where it does not say
	VersionSince     time.Time      // when that version was first seen, if the worker had another before
	Proven           bool           // a task has completed here since
	FailedTasksByJob map[string]int // failed tasks by job since the last success

	FullUntil    time.Time // until then no tasks are sent, as it refused one for want of room
	EmptySince   time.Time
	RelayedAt    time.Time // when a peer controller last relayed a heartbeat of it
	RelayedSince time.Time // since when its heartbeats come that way

	Bin           *packing.Bin   // its room, and the items of the attempts on it
	Forecast      *forecast.FUSD // of its load
	ReleasedKinds []packing.Kind // kinds of the items that left since the last scheduling round

	images []image // believed to be in its cache, the one last used at the end

	table    *Table
	removed  bool       // it is in the table no more
	attempts []*Attempt // in the order in which they were added

	statusCount       uint64    // of the statuses applied
	heartbeatSequence uint64    // of the last heartbeat applied
	probeAnsweredAt   time.Time // when the last answer to a direct command came in
	reachability      reachability
	staleness         staleness
}

// Removed reports whether the machine was taken out of the table.
func (m *Machine) Removed() bool { return m.removed }

// Attempts lists what the machine holds, oldest first.
func (m *Machine) Attempts() []*Attempt { return m.attempts }

// Empty reports whether nothing is, or may be, on the machine.
func (m *Machine) Empty() bool {
	for _, a := range m.attempts {
		if a.state != Ended {
			return false
		}
	}
	return true
}

// PendingCommands lists the reaps and kills that are due for a machine. They are safe when they
// arrive late, repeatedly, or both with a heartbeat response and as a direct command.
func (m *Machine) PendingCommands() []Command {
	commands := []Command{}
	for _, a := range m.attempts {
		if a.state == Ended && a.MayReap {
			commands = append(commands, Command{Verb: VerbReap, Task: a.Task.String(), Attempt: a.Number})
		}
	}
	for _, a := range m.attempts {
		if a.stopping && a.MayBePresent() {
			graceS := a.graceS
			commands = append(commands, Command{Verb: VerbKill, Task: a.Task.String(), Attempt: a.Number, GraceS: &graceS})
		}
	}
	return commands
}

// attempt finds an attempt by its task and number. A machine holds few, so a scan is enough.
func (m *Machine) attempt(task TaskID, number uint64) *Attempt {
	for _, a := range m.attempts {
		if a.Number == number && a.Task == task {
			return a
		}
	}
	return nil
}

// Adopt puts the item of an attempt that was found on the machine into its bin.
func (m *Machine) Adopt(a *Attempt, item *packing.Item) {
	item.Owner = a
	m.Bin.Add(item)
	a.setItem(item)
}

// releaseItem takes the item of an attempt out of the bin, and notes its kind for the next
// scheduling round, up to what a round can act on.
func (m *Machine) releaseItem(a *Attempt) {
	if a.Item == nil {
		return
	}
	size := m.Bin.Capacity.Share(a.Item.Request)
	m.Bin.Remove(a.Item)
	if len(m.ReleasedKinds) < 2*packing.MaxChangeMoves {
		m.ReleasedKinds = append(m.ReleasedKinds, packing.Classify(size))
	}
	a.setItem(nil)
}
