package simulation

import (
	"context"
	"sort"
	"sync"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// Environment is the cloud with its machines and workers, and the network between workers and controllers. It
// checks the protocol's rules all along. The exported fields are set before it is used.
type Environment struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // a worker's, from its last answered heartbeat
	BootTime          time.Duration
	CancelLimit       time.Duration // for how long a cancelled job's tasks may still be on machines
	GangStartTimeout  time.Duration // for how long a gang's task waits for the others to start; 0: it does not
	GangPeerTimeout   time.Duration // for how long a gang runs without one of its tasks; 0: without limit
	// MaxCommandDelay is for how long a start may be on its way to a machine. One that arrives later than that
	// after a confirmed cancellation was sent after it.
	MaxCommandDelay time.Duration

	Nodes []string      // the controllers' names
	Teams []config.Team // with their limits; may be nil
	Types []records.MachineType
	// ZoneCapacity is how many machines a zone has, spot and ordinary ones each.
	ZoneCapacity int
	// WorkerVersion is the version of new machines' workers.
	WorkerVersion string
	// LookupJob returns what users submitted.
	LookupJob func(id string) (records.Job, bool)
	// RunTime returns how long a task runs.
	RunTime func(task string) time.Duration
	// TaskFails reports whether a task fails on a machine; nil: none does.
	TaskFails func(m *Machine, task string) bool

	// Heartbeat delivers the workers' heartbeats.
	Heartbeat HeartbeatFunc
	// FirstNode returns where a machine's worker reports first; nil: at the first controller.
	FirstNode func(machine string) int
	// Listen, where it is set, opens a machine's address when it is up; closeAddr closes it.
	Listen func(m *Machine) (addr string, closeAddr func(), err error)
	// RemoteMachines says that machines are rented here and run elsewhere: Listen starts them there.
	RemoteMachines bool

	ctx context.Context

	mu           sync.Mutex // guards what follows, the machines and their attempts
	machineCount int        // rented so far; numbers their names
	machines     map[string]*Machine
	rentals      map[string][]string              // machines by the name of the request that rented them
	attempts     map[string]map[*attempt]*Machine // that have not ended, by job

	completed     map[string]map[string]bool // tasks that have completed, by job
	savedProgress map[string]time.Duration   // by attempt.checkpointKey

	// Faults.
	partitioned      map[string]bool // zones that are not reachable
	commandsBlocked  map[string]bool // zones that no direct commands reach
	pickCommandDelay func() (command, answer time.Duration)
	pickBootTime     func() time.Duration // replaces BootTime; nil: it does not

	// What users were told of jobs, for the rules.
	acceptedAt      map[string]time.Time // when a user was first told that the job is known
	cancelRequested map[string]bool      // users have asked to cancel it, answered or not
	cancelledAt     map[string]time.Time // when a user was first told that it is cancelled
	finalStates     map[string]finalState
	violations      []string

	// What happened so far.
	runs             []TaskRun
	costs            []RentalCost
	starts           int
	leaseExpiries    int
	lostWork         time.Duration // run time that has to be done again
	maxCancelLatency time.Duration // for how long a cancelled job's task was seen on its machine
}

// NewEnvironment returns an environment without machines, alive until ctx ends.
func NewEnvironment(ctx context.Context) *Environment {
	return &Environment{
		ctx:             ctx,
		machines:        map[string]*Machine{},
		rentals:         map[string][]string{},
		attempts:        map[string]map[*attempt]*Machine{},
		completed:       map[string]map[string]bool{},
		savedProgress:   map[string]time.Duration{},
		partitioned:     map[string]bool{},
		commandsBlocked: map[string]bool{},
		acceptedAt:      map[string]time.Time{},
		cancelRequested: map[string]bool{},
		cancelledAt:     map[string]time.Time{},
		finalStates:     map[string]finalState{},
	}
}

// firstNode returns the controller where a machine's worker reports first.
func (env *Environment) firstNode(m *Machine) int {
	if env.FirstNode == nil {
		return 0
	}
	return env.FirstNode(m.Name)
}

// Machine returns a machine by name; nil: there is none.
func (env *Environment) Machine(name string) *Machine {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.machines[name]
}

// Machines returns the machines that are up, sorted by name.
func (env *Environment) Machines() []*Machine {
	env.mu.Lock()
	defer env.mu.Unlock()
	var up []*Machine
	for _, m := range env.machines {
		if m.up && !m.terminated {
			up = append(up, m)
		}
	}
	sort.Slice(up, func(i, j int) bool { return up[i].Name < up[j].Name })
	return up
}

// Upgrade gives a machine's worker another version, as an operator would: the worker ends with all that it runs,
// and comes back in a new incarnation. It reports whether there is such a machine that is up.
func (env *Environment) Upgrade(machine, version string) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	m := env.machines[machine]
	if m == nil || m.terminated || !m.up {
		return false
	}
	m.loseTasksLocked(time.Now())
	m.Version = version
	m.incarnation++
	m.leaseStart = time.Now()
	m.wake()
	return true
}

// FailZone takes the power from all machines of a zone, and returns how many there were.
func (env *Environment) FailZone(zone string) int {
	n := 0
	for _, m := range env.Machines() {
		if m.Zone == zone {
			m.Terminate()
			n++
		}
	}
	return n
}

// SetBootTime sets how long each machine takes to come up from now on, nil: BootTime. It returns what was set
// before.
func (env *Environment) SetBootTime(by func() time.Duration) (before func() time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	before, env.pickBootTime = env.pickBootTime, by
	return before
}
