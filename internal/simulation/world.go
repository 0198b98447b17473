package simulation

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
	"drumpick/internal/workers"
)

// HeartbeatFunc is how a worker reaches a controller: status, answer, and the node it
// is sent on to. Status 0 means that nobody answered, Refused that nobody listened.
type HeartbeatFunc func(node int, r *fleet.Heartbeat) (status int, resp fleet.HeartbeatResponse, conductor string)

// Refused is the status of a report to a controller that does not run.
const Refused = -1

// World holds the cloud and its machines, and watches over the rules.
type World struct {
	HeartbeatInterval, Lease, Startup, Cancel time.Duration
	GangWait, GangPeer                        time.Duration // 0: gangs start and go on whoever is missing
	Nodes                                     []string
	Types                                     []records.MachineType
	Jobs                                      func(id string) (records.Job, bool) // what users submitted
	Teams                                     []config.Team                       // with their limits; may be nil
	Heartbeat                                 HeartbeatFunc
	RunFor                                    func(task string) time.Duration
	Capacity                                  int    // machines to be had in a zone, cheap and ordinary ones each
	Version                                   string // of new machines' workers
	// InFlight is for how long a start may be on its way to a machine: one that arrives later after a
	// cancellation was confirmed was sent after it.
	InFlight time.Duration
	// Fails says whether a task fails on a machine; nil: none does.
	Fails func(m *Machine, task string) bool
	// Open, where it is set, opens a machine's address when it is up; close ends it.
	Open func(m *Machine) (addr string, closeAddr func(), err error)
	// Remote says that machines are rented here and run elsewhere: Open starts them there.
	Remote bool
	// FirstNode is where a machine's worker reports first; nil: at the first controller.
	FirstNode func(host string) int

	mu        sync.Mutex
	ctx       context.Context
	seq       int
	bookings  map[string][]string
	machines  map[string]*Machine
	cancelled map[string]time.Time
	asked     map[string]bool                  // users have asked to cancel them, answered or not
	accepted  map[string]time.Time             // when a user was first told so
	final     map[string]fate                  // the final state that a user was told
	finished  map[string]map[string]bool       // tasks that have completed, by job
	saved     map[string]time.Duration         // progress that is safe, by task or, of gangs, by job
	cut       map[string]bool                  // zones that nobody reaches
	closed    map[string]bool                  // zones that no direct commands reach
	byJob     map[string]map[*attempt]*Machine // tasks that have not ended
	ran       []TaskRun
	bills     []RentalCost
	starts    int
	lapses    int           // leases of workers that ended
	wasted    time.Duration // work that is to be done again
	held      func() (command, answer time.Duration)
	boots     func() time.Duration // how long each machine takes to come up; nil: Startup
	longest   time.Duration        // a cancelled job's task was seen on its machine
	broken    []string
}

// TaskRun is a task's time on a machine that is over.
type TaskRun struct {
	Task    string    `json:"task"`
	Machine string    `json:"machine"`
	Zone    string    `json:"zone"`
	Started time.Time `json:"from"`
	Running time.Time `json:"running,omitzero"` // when it ran; zero: it never did
	Ended   time.Time `json:"to"`
	Cause   string    `json:"cause"` // as workers report it; "lost" with the machine
}

// RentalCost is what a machine costs.
type RentalCost struct {
	Machine string    `json:"machine"`
	Type    string    `json:"type"`
	Zone    string    `json:"zone"`
	Spot    bool      `json:"spot"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"` // zero while it is rented
	Cost    float64   `json:"cost"`
}

// NewWorld returns a world without machines, alive until ctx ends.
func NewWorld(ctx context.Context) *World {
	return &World{
		ctx: ctx, bookings: map[string][]string{}, machines: map[string]*Machine{},
		cancelled: map[string]time.Time{}, asked: map[string]bool{}, accepted: map[string]time.Time{}, final: map[string]fate{}, finished: map[string]map[string]bool{},
		saved: map[string]time.Duration{}, cut: map[string]bool{}, closed: map[string]bool{},
		byJob: map[string]map[*attempt]*Machine{},
	}
}

// Starts tells how many starts there were.
func (w *World) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// LeaseExpiries tells how many leases of workers have ended.
func (w *World) LeaseExpiries() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lapses
}

// firstNode is the controller where a machine's worker reports first.
func (w *World) firstNode(m *Machine) int {
	if w.FirstNode == nil {
		return 0
	}
	return w.FirstNode(m.Host)
}

// Longest is for how long, at the most, a task of a cancelled job was seen on its machine.
func (w *World) Longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}

// Wasted is the run time of tasks that has to be done again, so far.
func (w *World) Wasted() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wasted
}

// Running tells how many tasks run.
func (w *World) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, m := range w.machines {
		for _, s := range m.tasks {
			if s.status == "running" && !m.gone {
				n++
			}
		}
	}
	return n
}

// Machines lists the machines that are up, by name.
func (w *World) Machines() []*Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ms []*Machine
	for _, m := range w.machines {
		if m.up && !m.gone {
			ms = append(ms, m)
		}
	}
	sort.Slice(ms, func(i, j int) bool { return ms[i].Host < ms[j].Host })
	return ms
}

// CloudClient is the cloud as a controller sees it.
type CloudClient struct {
	W *World
	// Alive says whether the controller still runs.
	Alive func() bool
	// Lose makes that many rentals execute without an answer.
	Lose int
}

func (c *CloudClient) pass(ctx context.Context) error {
	if err := ctxtime.Sleep(ctx, 20*latency); err != nil {
		return err
	}
	if !c.Alive() {
		return autoscaler.ErrUnknownOutcome
	}
	return nil
}

// Types lists what there is to rent.
func (c *CloudClient) Types(ctx context.Context) ([]records.MachineType, error) {
	return append([]records.MachineType(nil), c.W.Types...), c.pass(ctx)
}

// Rent starts machines.
func (c *CloudClient) Rent(ctx context.Context, r autoscaler.RentalRequest) ([]string, error) {
	if err := c.pass(ctx); err != nil {
		return nil, err
	}
	hosts, err := c.W.rent(r)
	if err == nil && c.Lose > 0 {
		c.Lose--
		return nil, autoscaler.ErrUnknownOutcome
	}
	return hosts, err
}

func (w *World) rent(r autoscaler.RentalRequest) ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if hosts, known := w.bookings[r.Name]; known {
		return hosts, nil
	}
	free := w.Capacity
	for _, m := range w.machines {
		if !m.gone && m.Zone == r.Zone && m.Spot == r.Spot {
			free--
		}
	}
	if free <= 0 {
		return nil, autoscaler.ErrNoCapacity
	}
	var hosts []string
	for range min(r.Count, free) {
		w.seq++
		hosts = append(hosts, w.add(fmt.Sprintf("m-%06d", w.seq), r).Host)
	}
	w.bookings[r.Name] = hosts
	return hosts, nil
}

// add starts a machine, with the world locked.
func (w *World) add(host string, r autoscaler.RentalRequest) *Machine {
	m := newMachine(w, host, r)
	w.machines[host] = m
	go m.run()
	return m
}

// Host starts a machine that was rented elsewhere (Remote).
func (w *World) Host(host string, r autoscaler.RentalRequest) *Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.add(host, r)
}

// Machine returns a machine by name; nil: there is none.
func (w *World) Machine(host string) *Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[host]
}

// Return ends machines.
func (c *CloudClient) Return(ctx context.Context, hosts []string) error {
	if err := c.pass(ctx); err != nil {
		return err
	}
	c.W.takeBack(hosts)
	return nil
}

// takeBack ends machines; when it returns, what was on them is gone.
func (w *World) takeBack(hosts []string) {
	var ends []func()
	w.mu.Lock()
	for _, h := range hosts {
		if m := w.machines[h]; m != nil {
			ends = append(ends, m.end())
			delete(w.machines, h)
		}
	}
	w.mu.Unlock()
	var closing sync.WaitGroup
	for _, end := range ends {
		closing.Go(end)
	}
	closing.Wait()
}

// List lists the machines.
func (c *CloudClient) List(ctx context.Context) ([]autoscaler.CloudMachine, error) {
	if err := c.pass(ctx); err != nil {
		return nil, err
	}
	return c.W.Listed(), nil
}

// Listed lists the machines as the cloud knows them.
func (w *World) Listed() []autoscaler.CloudMachine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []autoscaler.CloudMachine
	for _, m := range w.machines {
		st := "running"
		if !m.up {
			st = "booting"
		}
		if m.gone {
			st = "failed"
		}
		out = append(out, autoscaler.CloudMachine{Machine: m.Host, Addr: m.addr, Type: m.typ.Name, Zone: m.Zone, Spot: m.Spot, Status: st, AgeS: time.Since(m.rented).Seconds()})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Machine < out[j].Machine })
	return out
}

// Upgrade gives a machine's worker another version: it ends with all that it runs, and
// comes back in a new session, as an operator would have it.
func (w *World) Upgrade(host, version string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[host]
	if m == nil || m.gone || !m.up {
		return false
	}
	m.forget(time.Now())
	m.Version = version
	m.session++
	m.lastSent = time.Now()
	m.wake()
	return true
}

// BootIn says how long each machine takes to come up from now on, nil: Startup. It returns what
// said so before.
func (w *World) BootIn(by func() time.Duration) (before func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before, w.boots = w.boots, by
	return before
}

// Hold says by how much each direct command is held up on its way, and then its answer; nobody
// waits for either longer than a report interval. nil: none is.
func (w *World) Hold(by func() (command, answer time.Duration)) {
	w.mu.Lock()
	w.held = by
	w.mu.Unlock()
}

// PartitionZone makes a zone's machines unreachable, or reachable again.
func (w *World) PartitionZone(zone string, on bool) {
	w.mu.Lock()
	w.cut[zone] = on
	w.mu.Unlock()
}

// CloseZone keeps direct commands from a zone's machines, or lets them pass again.
func (w *World) CloseZone(zone string, on bool) {
	w.mu.Lock()
	w.closed[zone] = on
	w.mu.Unlock()
}

// FailZone takes the power from all machines of a zone, and says how many there were.
func (w *World) FailZone(zone string) int {
	n := 0
	for _, m := range w.Machines() {
		if m.Zone == zone {
			m.Die()
			n++
		}
	}
	return n
}

// History lists what ran, the order being that of the ends, and what machines cost so
// far at nominal prices.
func (w *World) History() ([]TaskRun, []RentalCost) {
	w.mu.Lock()
	defer w.mu.Unlock()
	bills := slices.Clone(w.bills)
	for _, m := range w.machines {
		if !m.gone {
			bills = append(bills, m.bill(time.Time{}))
		}
	}
	sort.Slice(bills, func(i, j int) bool { return bills[i].Machine < bills[j].Machine })
	return slices.Clone(w.ran), bills
}

// Go and Orders are the way to the workers.
func (w *World) Go(f func()) { go f() }

// SendCommands gives direct commands to a worker.
func (w *World) SendCommands(addr string, d fleet.CommandRequest) (workers.Outcome, *fleet.Heartbeat, error) {
	_ = ctxtime.Sleep(w.ctx, latency)
	w.mu.Lock()
	m := w.machines[addr]
	closed := m != nil && (w.closed[m.Zone] || m.deaf)
	held := w.held
	w.mu.Unlock()
	if closed {
		_ = ctxtime.Sleep(w.ctx, w.HeartbeatInterval) // it hangs until the caller gives up
	}
	if m == nil || closed {
		return workers.OutcomeUnknown, nil, errors.New("no answer")
	}
	if held == nil {
		return m.ExecuteCommands(d)
	}
	command, answer := held()
	if command >= w.HeartbeatInterval {
		time.AfterFunc(command, func() { _, _, _ = m.ExecuteCommands(d) })
		_ = ctxtime.Sleep(w.ctx, w.HeartbeatInterval)
		return workers.OutcomeUnknown, nil, errors.New("no answer in time")
	}
	_ = ctxtime.Sleep(w.ctx, command)
	outcome, r, err := m.ExecuteCommands(d)
	_ = ctxtime.Sleep(w.ctx, min(answer, w.HeartbeatInterval))
	if answer >= w.HeartbeatInterval {
		return workers.OutcomeUnknown, nil, errors.New("no answer in time")
	}
	return outcome, r, err
}
