package fleet

import (
	"slices"
	"strings"
	"time"

	"drumpick/internal/forecast"
	"drumpick/internal/packing"
)

// Machine is one rented machine.
type Machine struct {
	Name, Addr, Type, Zone string
	Spot                   bool

	Incarnation, Sequence, FencingToken uint64
	RequestedAt                         time.Time // when its rental was asked for, as far as known
	Up                                  bool      // has reported to us, or answered
	LastStatus                          time.Time // when any newer body came in
	LastRenewal                         time.Time // when the last 200 to a report was written
	PreemptionAt                        time.Time // when the cloud takes it; zero: no notice
	Reconciled                          bool      // a body has shown our term
	Recorded                            bool      // the store says that it may hold tasks
	Recording                           bool      // that record is being written
	EarlierLeasesExpired                bool      // unheard of under our term, and no lease of an earlier one is left
	Inherited                           bool      // was on record when this term began: an earlier one may have used it
	Returning                           bool      // given back; nothing may be sent any more
	Draining                            bool      // takes no new tasks
	LeaseExpired                        bool      // silent beyond its lease: its tasks are gone
	Failed                              bool      // the cloud says that it stopped on its own
	Cordon                              any       // the drain that keeps new tasks away, for whoever plans; nil: none
	Unverified                          bool      // first known by a body, which may be a copy from a machine that is gone
	Version                             string    // of its worker; "" where it does not say
	VersionSince                        time.Time // when it was first heard with that version, if it had another before
	Proven                              bool      // a task has completed here since
	Faulty                              bool      // fails what others can run
	FullUntil                           time.Time // refused for want of room
	EmptySince                          time.Time
	RelayedAt                           time.Time // when a peer last passed a report of it on
	RelayedSince                        time.Time // since when its reports come that way
	SilentSince                         time.Time

	ErrorJobs map[string]int // errors by job since the last success
	images    []image        // fetched here, the one last used at the end

	Bin         *packing.Bin
	Forecast    *forecast.FUSD
	Changed     []packing.Kind // kinds of the items that left since the last round
	ReservedFor any            // for whose sake it empties, for whoever plans; nothing to the table

	table   *Table
	dropped bool       // is in the table no more
	order   []*Attempt // in the order they were added
	body    uint64     // counts the bodies taken in
	// reported is the tick of the last report, answered when the last answer to a direct command
	// came in.
	reported uint64
	answered time.Time
	hearing  hearing
	doubt    doubt
}

// Removed says whether the machine was taken out of the table.
func (m *Machine) Removed() bool { return m.dropped }

// Attempts lists what the machine holds, oldest first.
func (m *Machine) Attempts() []*Attempt { return m.order }

// Empty says whether nothing is, or may be, on the machine.
func (m *Machine) Empty() bool {
	for _, a := range m.order {
		if a.state != Ended {
			return false
		}
	}
	return true
}

// What tasks may prefer of a machine's bin: that the cloud may take it, or that it may not.
const (
	SpotLabel     = "spot"
	OnDemandLabel = "firm"
)

// ImageLabel is the mark of a machine that has an image, or fetches it.
func ImageLabel(image string) string { return "image " + image }

// ImageReadyLabel is the mark of a machine where an image has been used, not only asked for.
func ImageReadyLabel(image string) string { return "ready " + image }

// image is one that a machine has, or fetches.
type image struct {
	name string
	gb   float64
}

// UseImage notes that an image of a size is fetched, or used, on a machine that
// keeps the images last used, up to its cache's size.
func (m *Machine) UseImage(name string, gb, cache float64) {
	if n := len(m.images); n > 0 && m.images[n-1].name == name {
		return
	}
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == name })
	m.images = append(m.images, image{name, gb})
	m.Bin.SetLabel(ImageLabel(name), true)
	sum := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		if sum += m.images[i].gb; sum > cache && i < len(m.images)-1 {
			for _, old := range m.images[:i+1] {
				m.Bin.SetLabel(ImageLabel(old.name), false)
				m.Bin.SetLabel(ImageReadyLabel(old.name), false)
			}
			m.images = slices.Clone(m.images[i+1:])
			return
		}
	}
}

// Table holds all machines of one term.
type Table struct {
	Term     uint64
	Lease    time.Duration // a worker's lease with drift and margin
	Machines map[string]*Machine
	Forecast forecast.Params
	// OnChange, where it is set, is told of each attempt that comes, changes, or goes.
	OnChange func(a *Attempt)

	sorted   []*Machine
	byJob    map[string]map[*Attempt]struct{} // what machines list, by job
	attempts uint64                           // how many there have been
}

// NewTable returns an empty table for a term.
func NewTable(term uint64, lease time.Duration, p forecast.Params) *Table {
	return &Table{Term: term, Lease: lease, Machines: map[string]*Machine{}, Forecast: p, byJob: map[string]map[*Attempt]struct{}{}}
}

// Sorted lists the machines by name, so that decisions repeat. The list stays as it
// is while machines come and go.
func (t *Table) Sorted() []*Machine { return t.sorted }

func (t *Table) find(host string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, host, func(m *Machine, h string) int { return strings.Compare(m.Name, h) })
}

// GetOrCreate returns the machine of a name, making it when it is new. A machine
// that the store recorded is unsettled until it shows our term; any other one
// has never been sent a run.
func (t *Table) GetOrCreate(host, addr, typ, zone string, spot bool) *Machine {
	m := t.Machines[host]
	if m == nil {
		m = &Machine{
			table: t, Name: host, Addr: addr, Type: typ, Zone: zone, Spot: spot,
			ErrorJobs: map[string]int{},
			Bin:       packing.NewBin(host, packing.Resources{}), Forecast: forecast.New(t.Forecast),
		}
		m.Bin.Owner = m
		m.Bin.SetOpen(false)
		m.Bin.SetLabel(SpotLabel, spot)
		m.Bin.SetLabel(OnDemandLabel, !spot)
		t.Machines[host] = m
		i, _ := t.find(host)
		t.sorted = slices.Insert(slices.Clone(t.sorted), i, m)
	}
	if m.Addr == "" {
		m.Addr = addr
	}
	return m
}

// Plan notes an attempt that is meant for the machine.
func (t *Table) Plan(m *Machine, task TaskID, try uint64, it *packing.Item, now time.Time) *Attempt {
	a := &Attempt{Task: task, Number: try, Machine: m, Item: it, Since: now}
	it.Owner = a
	m.list(a)
	return a
}

// attempt finds an attempt; a machine holds few.
func (m *Machine) attempt(task TaskID, try uint64) *Attempt {
	for _, a := range m.order {
		if a.Number == try && a.Task == task {
			return a
		}
	}
	return nil
}

// Adopt gives an attempt found on the machine its place there.
func (m *Machine) Adopt(a *Attempt, it *packing.Item) {
	it.Owner = a
	m.Bin.Add(it)
	a.setItem(it)
}

func (m *Machine) free(a *Attempt) {
	if a.Item == nil {
		return
	}
	size := m.Bin.Capacity.Share(a.Item.Request)
	m.Bin.Remove(a.Item)
	if len(m.Changed) < 2*packing.MaxChangeMoves {
		m.Changed = append(m.Changed, packing.Classify(size))
	}
	a.setItem(nil)
}

// Outcome is what a body changed.
type Outcome struct {
	Stale       bool       // older than one already seen: nothing was changed
	Machine     *Machine   // nil only when the body makes no sense
	New         []*Attempt // on the machine, but unknown to us
	Ended       []*Attempt // newly ended
	Running     []*Attempt // newly running: their images are there
	Gone        []*Attempt // no longer on the machine, without a result
	Reconciled  bool       // the machine has just become settled
	FirstStatus bool       // the machine's first body
	Changed     bool       // anything of its tasks changed
	// Upgraded says that the worker reports another version than before.
	Upgraded bool
}

// Apply takes in a body. isReport tells a report, whose worker has given up on
// or taken in every earlier response, from an answer to /orders or /status.
func (t *Table) Apply(r *Heartbeat, isReport bool, now time.Time) Outcome {
	if r.Check() != nil {
		return Outcome{Stale: true}
	}
	stranger := t.Machines[r.Machine] == nil
	m := t.GetOrCreate(r.Machine, r.Addr, r.Type, r.Zone, r.Spot)
	m.Unverified = m.Unverified || stranger
	out := Outcome{Machine: m, FirstStatus: !m.Up}
	// Guards against late reports: their task lists are as old as they are.
	if m.IsStale(r) {
		if !isReport || !m.Overtaken(r, now) {
			m.noteOlder(r, now)
		}
		out.Stale = true
		return out
	}
	m.doubt.since = time.Time{}
	m.hear(r, isReport, t.Term, now)
	if m.Up && r.Incarnation > m.Incarnation && !(isReport && (m.doubt.anew || m.early(r, t.Term))) {
		// A new session: the worker killed and forgot everything.
		for _, a := range slices.Clone(m.order) {
			if a.state != Planned {
				out.gone(m, a)
			}
		}
	}
	out.Upgraded = m.takeVersion(r.Version, now)
	m.takeState(r, isReport, now)
	out.Reconciled = m.settle(r, isReport, t.Term)
	m.body++
	for i := range r.Tasks {
		m.takeTask(&r.Tasks[i], &out, now)
	}
	for i := 0; i < len(m.order); i++ {
		a := m.order[i]
		if a.body == m.body || !t.missing(m, a, r, isReport, now) {
			continue
		}
		out.gone(m, a)
		i--
	}
	return out
}

// takeVersion takes in which version a worker has, and says whether it had another before.
func (m *Machine) takeVersion(version string, now time.Time) (upgraded bool) {
	if m.Version == version || version == "" {
		return false
	}
	if m.Up {
		// What was wrong with it may have been the version.
		m.VersionSince, m.Proven, m.Faulty, m.Draining = now, false, false, false
		clear(m.ErrorJobs)
		upgraded = true
	}
	m.Version = version
	return upgraded
}

// takeState takes in what a body says of the machine itself.
func (m *Machine) takeState(r *Heartbeat, isReport bool, now time.Time) {
	m.Up, m.LeaseExpired, m.LastStatus = true, false, now
	m.Addr, m.Incarnation, m.Sequence = r.Addr, r.Incarnation, r.Sequence
	if isReport {
		m.reported = r.Sequence
	} else {
		m.answered = now
	}
	m.FencingToken = max(m.FencingToken, r.FencingToken)
	m.PreemptionAt = time.Time{}
	if r.PreemptionNoticeS != nil {
		m.PreemptionAt = now.Add(time.Duration(*r.PreemptionNoticeS * float64(time.Second)))
	}
}

// settle notes whether a body shows the term, and says whether it is the first that does.
//
// A worker that reports and has seen no token yet has never obeyed anyone; where
// the store has no record of it either, no earlier leader can have sent it a run
// that is still under way. On record, a late report of its first days would say
// the same. Nor may it be a machine that nobody knew of: then it may be a copy of the first
// report of one that an earlier leader gave back.
func (m *Machine) settle(r *Heartbeat, isReport bool, term uint64) bool {
	fresh := isReport && r.FencingToken == 0 && !m.Inherited && !m.Unverified && len(r.Tasks) == 0
	if m.Reconciled || r.FencingToken != term && !fresh {
		return false
	}
	m.Reconciled = true
	return true
}

// takeTask takes in what a body says of one attempt.
func (m *Machine) takeTask(r *TaskStatus, out *Outcome, now time.Time) {
	task, _ := ParseTask(r.Task)
	state, _ := parseState(r.Status)
	a := m.attempt(task, r.Attempt)
	if a == nil {
		a = &Attempt{Task: task, Number: r.Attempt, Machine: m, Since: now, state: state, Cause: r.Cause, Saved: r.Saved, body: m.body}
		m.list(a)
		if state == Running {
			a.RunSince = now
			out.Running = append(out.Running, a)
		}
		out.New = append(out.New, a)
		out.Changed = true
		return
	}
	a.body = m.body
	if a.state == Ended {
		return
	}
	if a.state != state {
		out.Changed = true
		if (state == Running || state == Waiting) && a.ReadySince.IsZero() {
			a.ReadySince = now
		}
		if state == Running && a.RunSince.IsZero() {
			a.RunSince = now
			out.Running = append(out.Running, a)
		}
	}
	a.Cause, a.Saved = r.Cause, r.Saved
	a.setState(state)
	if state == Ended {
		m.free(a)
		out.Ended = append(out.Ended, a)
	}
}

func (o *Outcome) gone(m *Machine, a *Attempt) {
	m.Forget(a)
	o.Changed = true
	if a.state != Ended {
		o.Gone = append(o.Gone, a)
	}
}

// Remove removes a machine and returns the attempts that were, or may have been,
// on it.
func (t *Table) Remove(host string) []*Attempt {
	m := t.Machines[host]
	if m == nil {
		return nil
	}
	delete(t.Machines, host)
	m.dropped = true
	if i, ok := t.find(host); ok {
		t.sorted = slices.Delete(slices.Clone(t.sorted), i, i+1)
	}
	return m.forgetAll()
}

// ExpireLeases finds settled machines whose lease has surely ended: no 200 was
// written to any of their reports for that long, and since they are settled
// nobody else can have renewed it. It returns the attempts that are thereby gone.
func (t *Table) ExpireLeases(now time.Time) []*Attempt {
	var gone []*Attempt
	for _, m := range t.Sorted() {
		if !m.Reconciled || m.LeaseExpired || now.Sub(m.LastRenewal) <= t.Lease || now.Sub(m.LastStatus) <= t.Lease {
			continue
		}
		m.LeaseExpired = true
		gone = append(gone, m.forgetAll()...)
	}
	return gone
}

// ExpireEarlierLeases notes that no lease which an earlier term gave is left: what machines that are
// unheard of had is gone. It returns these machines and the attempts that are thereby gone.
func (t *Table) ExpireEarlierLeases() (machines int, gone []*Attempt) {
	for _, m := range t.Sorted() {
		if !m.AwaitsReconciliation() {
			continue
		}
		machines++
		m.EarlierLeasesExpired, m.LeaseExpired = true, true
		gone = append(gone, m.forgetAll()...)
	}
	return machines, gone
}

// AwaitsReconciliation says whether the machine may still hold what an earlier term sent: it was on record
// when ours began, has not shown ours, and a lease of before may be left.
func (m *Machine) AwaitsReconciliation() bool {
	return m.Inherited && !m.Reconciled && !m.EarlierLeasesExpired
}

// LastHeard is when a machine was last heard under our term, or since when it is waited for.
func (m *Machine) LastHeard() time.Time {
	if m.LastStatus.Before(m.SilentSince) {
		return m.SilentSince
	}
	return m.LastStatus
}

// CountInherited counts the machines that earlier terms may have used, and those of
// them still unheard of under ours.
func (t *Table) CountInherited() (all, unheard int) {
	for _, m := range t.sorted {
		if m.Inherited {
			all++
			if m.AwaitsReconciliation() {
				unheard++
			}
		}
	}
	return all, unheard
}

// Unreconciled tells whether a machine that earlier terms may have used is still
// unheard of under ours.
func (t *Table) Unreconciled() bool {
	for _, m := range t.Machines {
		if m.AwaitsReconciliation() {
			return true
		}
	}
	return false
}

// PendingCommands compiles kills and reaps for a machine. They are safe late, repeated,
// and through either way.
func (m *Machine) PendingCommands() []Command {
	orders := []Command{}
	for _, a := range m.order {
		if a.state == Ended && a.Reap {
			orders = append(orders, Command{Verb: VerbReap, Task: a.Task.String(), Attempt: a.Number})
		}
	}
	for _, a := range m.order {
		if a.stop && a.MayBePresent() {
			g := a.grace
			orders = append(orders, Command{Verb: VerbKill, Task: a.Task.String(), Attempt: a.Number, GraceS: &g})
		}
	}
	return orders
}
