package fleet

import (
	"time"

	"drumpick/internal/forecast"
	"drumpick/internal/packing"
)

// Machine is one machine of the fleet, with the leader's state of it. The table's owner sets the
// exported fields that the table itself does not update, such as Draining, Faulty and Cordon.
type Machine struct {
	Name string
	Addr string // host and port at which its worker takes direct commands
	Type string // machine type; all machines of a type have the same capacity
	Zone string
	Spot bool // the cloud may preempt it

	// Incarnation, Sequence and FencingToken are from the newest applied status.
	Incarnation  uint64 // rises with each restart of the worker, which loses its tasks
	Sequence     uint64 // rises with each status of an incarnation
	FencingToken uint64 // the highest term that the worker has accepted

	RequestedAt    time.Time // when it was requested from the cloud; zero: unknown
	HasStatus      bool      // a heartbeat or probe answer arrived during this term
	LastStatusAt   time.Time // when a status was last applied
	LeaseRenewedAt time.Time // when a heartbeat was last answered with status 200, which renews the lease
	PreemptionAt   time.Time // when the cloud will preempt it; zero: no notice
	SilentSince    time.Time // since when a first status of this term is awaited

	// Inherited, Reconciled and EarlierLeasesExpired determine whether tasks of an earlier leader
	// may still run here: see AwaitsReconciliation.
	Inherited            bool // it was on record when this term began: an earlier term may have used it
	Reconciled           bool // a status has shown this term's fencing token, or none ever accepted: see reconcile
	EarlierLeasesExpired bool // all leases of earlier terms expired before a status of this term arrived
	Recorded             bool // the store has a record of it, as a machine that may run tasks
	Recording            bool // the record is being written
	Unverified           bool // first known from a status: maybe a late copy from a removed machine

	Returning    bool // being returned to the cloud; nothing more may be sent to it
	Draining     bool // takes no new tasks
	LeaseExpired bool // its lease has expired: the worker has stopped its tasks
	Failed       bool // the cloud reports that it stopped without a request
	Faulty       bool // tasks fail on it that succeed on other machines

	// Cordon is the drain that cordons the machine; nil: none. The planner sets it; the table does
	// not read it.
	Cordon any
	// ReservedFor is the job that the machine is being emptied for; nil: none. The planner sets it;
	// the table does not read it.
	ReservedFor any

	Version          string         // of its worker; "": unknown
	VersionSince     time.Time      // when the version changed; zero: no change seen
	HasCompletedTask bool           // a task has completed on it with this version
	FailedTasksByJob map[string]int // number of failed tasks by job id since the last success

	FullUntil    time.Time // no tasks are sent until then, since it rejected one as full
	EmptySince   time.Time // since when all attempts on it have ended; zero: not empty
	RelayedAt    time.Time // when a heartbeat forwarded by a peer was last relayed, or first redirected
	RelayedSince time.Time // start of a period of relayed heartbeats; zero: none yet

	Bin           *packing.Bin   // its capacity and the items of the attempts on it
	Forecast      *forecast.FUSD // of its load
	ReleasedKinds []packing.Kind // kinds of items removed since the last scheduling round

	images []image // expected in its image cache, least recently used first

	table    *Table
	removed  bool       // it was removed from the table
	attempts []*Attempt // in the order of addition

	statusCount       uint64    // number of applied statuses
	heartbeatSequence uint64    // sequence number of the last applied heartbeat
	probeAnsweredAt   time.Time // when the last answer to a direct command arrived
	reachability      reachability
	staleness         staleness
}

// Removed reports whether the machine was removed from the table.
func (m *Machine) Removed() bool { return m.removed }

// Attempts returns the attempts on the machine's list, oldest first. The slice must not be modified.
func (m *Machine) Attempts() []*Attempt { return m.attempts }

// Empty reports whether all attempts on the machine's list have ended.
func (m *Machine) Empty() bool {
	for _, a := range m.attempts {
		if a.state != Ended {
			return false
		}
	}
	return true
}

// attempt returns an attempt by its task and number, or nil. The size of a status bounds the attempts of
// a machine, so a linear scan is sufficient.
func (m *Machine) attempt(task TaskID, number uint64) *Attempt {
	for _, a := range m.attempts {
		if a.Number == number && a.Task == task {
			return a
		}
	}
	return nil
}

// Adopt adds the item of an attempt that was discovered on the machine to its bin.
func (m *Machine) Adopt(a *Attempt, item *packing.Item) {
	item.Owner = a
	m.Bin.Add(item)
	a.setItem(item)
}

// releaseItem removes the item of an attempt from the bin, and records the item's kind for the next
// scheduling round, up to the number of kinds that a round can process.
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
