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

// Environment holds the cloud and its machines, and watches over the rules.
type Environment struct {
	HeartbeatInterval, Lease, BootTime, CancelLimit time.Duration
	GangStartTimeout, GangPeerTimeout               time.Duration // 0: gangs start and go on whoever is missing
	Nodes                                           []string
	Types                                           []records.MachineType
	LookupJob                                       func(id string) (records.Job, bool) // what users submitted
	Teams                                           []config.Team                       // with their limits; may be nil
	Heartbeat                                       HeartbeatFunc
	RunTime                                         func(task string) time.Duration
	ZoneCapacity                                    int    // machines to be had in a zone, cheap and ordinary ones each
	WorkerVersion                                   string // of new machines' workers
	// InFlight is for how long a start may be on its way to a machine: one that arrives later after a
	// cancellation was confirmed was sent after it.
	MaxCommandDelay time.Duration
	// Fails says whether a task fails on a machine; nil: none does.
	TaskFails func(m *Machine, task string) bool
	// Open, where it is set, opens a machine's address when it is up; close ends it.
	Listen func(m *Machine) (addr string, closeAddr func(), err error)
	// Remote says that machines are rented here and run elsewhere: Open starts them there.
	RemoteMachines bool
	// FirstNode is where a machine's worker reports first; nil: at the first controller.
	FirstNode func(host string) int

	mu                 sync.Mutex
	ctx                context.Context
	machineCount       int
	rentals            map[string][]string
	machines           map[string]*Machine
	cancelledAt        map[string]time.Time
	cancelRequested    map[string]bool                  // users have asked to cancel them, answered or not
	acceptedAt         map[string]time.Time             // when a user was first told so
	finalStates        map[string]finalState            // the final state that a user was told
	completed          map[string]map[string]bool       // tasks that have completed, by job
	savedProgress      map[string]time.Duration         // progress that is safe, by task or, of gangs, by job
	partitioned        map[string]bool                  // zones that nobody reaches
	commandsBlocked    map[string]bool                  // zones that no direct commands reach
	attempts           map[string]map[*attempt]*Machine // tasks that have not ended
	runs               []TaskRun
	costs              []RentalCost
	starts             int
	leaseExpiries      int           // leases of workers that ended
	lostWork           time.Duration // work that is to be done again
	commandDelay       func() (command, answer time.Duration)
	bootTime           func() time.Duration // how long each machine takes to come up; nil: Startup
	longestAfterCancel time.Duration        // a cancelled job's task was seen on its machine
	violations         []string
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

// NewEnvironment returns a world without machines, alive until ctx ends.
func NewEnvironment(ctx context.Context) *Environment {
	return &Environment{
		ctx: ctx, rentals: map[string][]string{}, machines: map[string]*Machine{},
		cancelledAt: map[string]time.Time{}, cancelRequested: map[string]bool{}, acceptedAt: map[string]time.Time{}, finalStates: map[string]finalState{}, completed: map[string]map[string]bool{},
		savedProgress: map[string]time.Duration{}, partitioned: map[string]bool{}, commandsBlocked: map[string]bool{},
		attempts: map[string]map[*attempt]*Machine{},
	}
}

// Starts tells how many starts there were.
func (env *Environment) Starts() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.starts
}

// LeaseExpiries tells how many leases of workers have ended.
func (env *Environment) LeaseExpiries() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.leaseExpiries
}

// firstNode is the controller where a machine's worker reports first.
func (env *Environment) firstNode(m *Machine) int {
	if env.FirstNode == nil {
		return 0
	}
	return env.FirstNode(m.Name)
}

// LongestAfterCancel is for how long, at the most, a task of a cancelled job was seen on its machine.
func (env *Environment) LongestAfterCancel() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.longestAfterCancel
}

// LostWork is the run time of tasks that has to be done again, so far.
func (env *Environment) LostWork() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.lostWork
}

// Running tells how many tasks run.
func (env *Environment) Running() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for _, m := range env.machines {
		for _, s := range m.tasks {
			if s.status == "running" && !m.gone {
				n++
			}
		}
	}
	return n
}

// Machines lists the machines that are up, by name.
func (env *Environment) Machines() []*Machine {
	env.mu.Lock()
	defer env.mu.Unlock()
	var ms []*Machine
	for _, m := range env.machines {
		if m.up && !m.gone {
			ms = append(ms, m)
		}
	}
	sort.Slice(ms, func(i, j int) bool { return ms[i].Name < ms[j].Name })
	return ms
}

// CloudClient is the cloud as a controller sees it.
type CloudClient struct {
	Environment *Environment
	// Alive says whether the controller still runs.
	Alive func() bool
	// Lose makes that many rentals execute without an answer.
	LoseAnswers int
}

func (c *CloudClient) admit(ctx context.Context) error {
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
	return append([]records.MachineType(nil), c.Environment.Types...), c.admit(ctx)
}

// Rent starts machines.
func (c *CloudClient) Rent(ctx context.Context, r autoscaler.RentalRequest) ([]string, error) {
	if err := c.admit(ctx); err != nil {
		return nil, err
	}
	hosts, err := c.Environment.rent(r)
	if err == nil && c.LoseAnswers > 0 {
		c.LoseAnswers--
		return nil, autoscaler.ErrUnknownOutcome
	}
	return hosts, err
}

func (env *Environment) rent(r autoscaler.RentalRequest) ([]string, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if hosts, known := env.rentals[r.Name]; known {
		return hosts, nil
	}
	free := env.ZoneCapacity
	for _, m := range env.machines {
		if !m.gone && m.Zone == r.Zone && m.Spot == r.Spot {
			free--
		}
	}
	if free <= 0 {
		return nil, autoscaler.ErrNoCapacity
	}
	var hosts []string
	for range min(r.Count, free) {
		env.machineCount++
		hosts = append(hosts, env.addLocked(fmt.Sprintf("m-%06d", env.machineCount), r).Name)
	}
	env.rentals[r.Name] = hosts
	return hosts, nil
}

// addLocked starts a machine, with the world locked.
func (env *Environment) addLocked(host string, r autoscaler.RentalRequest) *Machine {
	m := newMachine(env, host, r)
	env.machines[host] = m
	go m.run()
	return m
}

// AddMachine starts a machine that was rented elsewhere (Remote).
func (env *Environment) AddMachine(host string, r autoscaler.RentalRequest) *Machine {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.addLocked(host, r)
}

// Machine returns a machine by name; nil: there is none.
func (env *Environment) Machine(host string) *Machine {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.machines[host]
}

// Return ends machines.
func (c *CloudClient) Return(ctx context.Context, hosts []string) error {
	if err := c.admit(ctx); err != nil {
		return err
	}
	c.Environment.returnMachines(hosts)
	return nil
}

// returnMachines ends machines; when it returns, what was on them is gone.
func (env *Environment) returnMachines(hosts []string) {
	var ends []func()
	env.mu.Lock()
	for _, h := range hosts {
		if m := env.machines[h]; m != nil {
			ends = append(ends, m.removeLocked())
			delete(env.machines, h)
		}
	}
	env.mu.Unlock()
	var closing sync.WaitGroup
	for _, end := range ends {
		closing.Go(end)
	}
	closing.Wait()
}

// List lists the machines.
func (c *CloudClient) List(ctx context.Context) ([]autoscaler.CloudMachine, error) {
	if err := c.admit(ctx); err != nil {
		return nil, err
	}
	return c.Environment.CloudMachines(), nil
}

// CloudMachines lists the machines as the cloud knows them.
func (env *Environment) CloudMachines() []autoscaler.CloudMachine {
	env.mu.Lock()
	defer env.mu.Unlock()
	var out []autoscaler.CloudMachine
	for _, m := range env.machines {
		st := "running"
		if !m.up {
			st = "booting"
		}
		if m.gone {
			st = "failed"
		}
		out = append(out, autoscaler.CloudMachine{Machine: m.Name, Addr: m.addr, Type: m.typ.Name, Zone: m.Zone, Spot: m.Spot, Status: st, AgeS: time.Since(m.rented).Seconds()})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Machine < out[j].Machine })
	return out
}

// Upgrade gives a machine's worker another version: it ends with all that it runs, and
// comes back in a new session, as an operator would have it.
func (env *Environment) Upgrade(host, version string) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	m := env.machines[host]
	if m == nil || m.gone || !m.up {
		return false
	}
	m.loseTasksLocked(time.Now())
	m.Version = version
	m.incarnation++
	m.leaseStart = time.Now()
	m.wake()
	return true
}

// SetBootTime says how long each machine takes to come up from now on, nil: Startup. It returns what
// said so before.
func (env *Environment) SetBootTime(by func() time.Duration) (before func() time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	before, env.bootTime = env.bootTime, by
	return before
}

// SetCommandDelay says by how much each direct command is held up on its way, and then its answer; nobody
// waits for either longer than a report interval. nil: none is.
func (env *Environment) SetCommandDelay(by func() (command, answer time.Duration)) {
	env.mu.Lock()
	env.commandDelay = by
	env.mu.Unlock()
}

// PartitionZone makes a zone's machines unreachable, or reachable again.
func (env *Environment) PartitionZone(zone string, on bool) {
	env.mu.Lock()
	env.partitioned[zone] = on
	env.mu.Unlock()
}

// BlockCommands keeps direct commands from a zone's machines, or lets them pass again.
func (env *Environment) BlockCommands(zone string, on bool) {
	env.mu.Lock()
	env.commandsBlocked[zone] = on
	env.mu.Unlock()
}

// FailZone takes the power from all machines of a zone, and says how many there were.
func (env *Environment) FailZone(zone string) int {
	n := 0
	for _, m := range env.Machines() {
		if m.Zone == zone {
			m.Die()
			n++
		}
	}
	return n
}

// History lists what ran, the order being that of the ends, and what machines cost so
// far at nominal prices.
func (env *Environment) History() ([]TaskRun, []RentalCost) {
	env.mu.Lock()
	defer env.mu.Unlock()
	bills := slices.Clone(env.costs)
	for _, m := range env.machines {
		if !m.gone {
			bills = append(bills, m.cost(time.Time{}))
		}
	}
	sort.Slice(bills, func(i, j int) bool { return bills[i].Machine < bills[j].Machine })
	return slices.Clone(env.runs), bills
}

// Go and Orders are the way to the workers.
func (env *Environment) Go(f func()) { go f() }

// SendCommands gives direct commands to a worker.
func (env *Environment) SendCommands(addr string, d fleet.CommandRequest) (workers.Outcome, *fleet.Heartbeat, error) {
	_ = ctxtime.Sleep(env.ctx, latency)
	env.mu.Lock()
	m := env.machines[addr]
	closed := m != nil && (env.commandsBlocked[m.Zone] || m.inboundLost)
	held := env.commandDelay
	env.mu.Unlock()
	if closed {
		_ = ctxtime.Sleep(env.ctx, env.HeartbeatInterval) // it hangs until the caller gives up
	}
	if m == nil || closed {
		return workers.OutcomeUnknown, nil, errors.New("no answer")
	}
	if held == nil {
		return m.ExecuteCommands(d)
	}
	command, answer := held()
	if command >= env.HeartbeatInterval {
		time.AfterFunc(command, func() { _, _, _ = m.ExecuteCommands(d) })
		_ = ctxtime.Sleep(env.ctx, env.HeartbeatInterval)
		return workers.OutcomeUnknown, nil, errors.New("no answer in time")
	}
	_ = ctxtime.Sleep(env.ctx, command)
	outcome, r, err := m.ExecuteCommands(d)
	_ = ctxtime.Sleep(env.ctx, min(answer, env.HeartbeatInterval))
	if answer >= env.HeartbeatInterval {
		return workers.OutcomeUnknown, nil, errors.New("no answer in time")
	}
	return outcome, r, err
}
