package fleet

import (
	"slices"
	"strings"
	"time"

	"drumpick/internal/forecast"
	"drumpick/internal/packing"
)

// Table holds all machines of one term. It has no lock: the caller must hold the owner's lock for the
// table and every machine and attempt in it.
type Table struct {
	Term     uint64
	Lease    time.Duration       // duration of a worker's lease, with clock drift and margin
	Machines map[string]*Machine // by name
	Forecast forecast.Params     // parameters of the load forecasts of new machines
	// OnChange, if set, is called for each attempt that is added or forgotten, or whose state, stop
	// request or item changes.
	OnChange func(a *Attempt)

	sorted        []*Machine                       // by name; copied on write
	attemptsByJob map[string]map[*Attempt]struct{} // the attempts of all machines, by job id
	attemptsAdded uint64                           // number of attempts added
}

// NewTable returns an empty table for a term.
func NewTable(term uint64, lease time.Duration, params forecast.Params) *Table {
	return &Table{
		Term:          term,
		Lease:         lease,
		Machines:      map[string]*Machine{},
		Forecast:      params,
		attemptsByJob: map[string]map[*Attempt]struct{}{},
	}
}

// Sorted returns the machines sorted by name, for deterministic decisions. The returned slice does
// not change when machines are added or removed.
func (t *Table) Sorted() []*Machine { return t.sorted }

// sortedIndex returns the position of a machine in the sorted list, and whether it is present.
func (t *Table) sortedIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, name, func(m *Machine, n string) int { return strings.Compare(m.Name, n) })
}

// GetOrCreate returns the machine with the given name, and adds it if it is new. The caller sets
// Inherited on a machine that the store has on record, which then awaits reconciliation. Any other
// new machine has never been sent a run command, unless it is Unverified.
func (t *Table) GetOrCreate(name, addr, typ, zone string, spot bool) *Machine {
	m := t.Machines[name]
	if m == nil {
		m = t.addMachine(name, addr, typ, zone, spot)
	}
	if m.Addr == "" {
		m.Addr = addr
	}
	return m
}

// addMachine adds a machine. Its bin is closed until its capacity is known.
func (t *Table) addMachine(name, addr, typ, zone string, spot bool) *Machine {
	m := &Machine{
		table:            t,
		Name:             name,
		Addr:             addr,
		Type:             typ,
		Zone:             zone,
		Spot:             spot,
		FailedTasksByJob: map[string]int{},
		Bin:              packing.NewBin(name, packing.Resources{}),
		Forecast:         forecast.New(t.Forecast),
	}
	m.Bin.Owner = m
	m.Bin.SetOpen(false)
	m.Bin.SetLabel(SpotLabel, spot)
	m.Bin.SetLabel(OnDemandLabel, !spot)
	t.Machines[name] = m
	i, _ := t.sortedIndex(name)
	t.sorted = slices.Insert(slices.Clone(t.sorted), i, m)
	return m
}

// Plan adds a planned attempt to a machine; nothing is sent yet.
func (t *Table) Plan(m *Machine, task TaskID, number uint64, item *packing.Item, now time.Time) *Attempt {
	a := &Attempt{Task: task, Number: number, Machine: m, Item: item, AssignedAt: now}
	item.Owner = a
	m.addAttempt(a)
	return a
}

// Remove removes a machine from the table and returns its attempts that had not ended.
func (t *Table) Remove(name string) []*Attempt {
	m := t.Machines[name]
	if m == nil {
		return nil
	}
	delete(t.Machines, name)
	m.removed = true
	if i, ok := t.sortedIndex(name); ok {
		t.sorted = slices.Delete(slices.Clone(t.sorted), i, i+1)
	}
	return m.forgetAll()
}
