package simulation

import (
	"context"
	"sort"
	"sync"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// Environment simulates the cloud with its machines and workers, and the network between workers and controllers.
// It checks the protocol's rules while it runs. The exported fields must be set before first use.
type Environment struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // duration of a worker's lease, from the sending of its last answered heartbeat
	BootTime          time.Duration
	CancelLimit       time.Duration // maximum time that a cancelled job's tasks may still be on machines
	GangStartTimeout  time.Duration // maximum time that a gang's task waits for the gang's other tasks; 0: no wait
	GangPeerTimeout   time.Duration // maximum time that a gang runs without one of its tasks; 0: no limit
	// MaxCommandDelay is the maximum time from the sending of a start command to its arrival at a machine. If a start
	// command arrives more than MaxCommandDelay after the confirmation of a cancellation, it was sent after the
	// confirmation.
	MaxCommandDelay time.Duration

	Controllers []string      // the controllers' names
	Teams       []config.Team // with their limits; nil: no team has a limit
	Types       []records.MachineType
	// ZoneCapacity is the maximum number of spot machines, and of on-demand machines, in a zone.
	ZoneCapacity int
	// WorkerVersion is the worker version of new machines.
	WorkerVersion string
	// LookupJob returns the job that users submitted with an ID, and whether there is one.
	LookupJob func(id string) (records.Job, bool)
	// RunTime returns the total run time of a task.
	RunTime func(task string) time.Duration
	// TaskFails reports whether a task fails on a machine; nil: no task fails.
	TaskFails func(m *Machine, task string) bool

	// Heartbeat delivers the workers' heartbeats to controllers.
	Heartbeat HeartbeatFunc
	// FirstController returns the index in Controllers of the controller that a machine's worker contacts first. If it
	// is nil, the index is 0.
	FirstController func(machine string) int
	// Listen, if set, opens the address of a machine that has booted. closeAddr closes the address.
	Listen func(m *Machine) (addr string, closeAddr func(), err error)
	// RemoteMachines means that machines are rented here but run in another environment: Listen starts them there.
	RemoteMachines bool

	ctx context.Context

	mu           sync.Mutex // guards the fields below, the machines and their attempts; *Locked methods require it
	machineCount int        // number of machines rented so far; the names of new machines contain it
	machines     map[string]*Machine
	rentals      map[string][]string              // machine names by the name of the rental request
	attempts     map[string]map[*attempt]*Machine // attempts that have not ended, with their machines, by job ID

	completed     map[string]map[string]bool // names of the tasks that have completed, by job ID
	savedProgress map[string]time.Duration   // by attempt.checkpointKey

	// Faults.
	partitioned      map[string]bool // zones that are unreachable
	commandsBlocked  map[string]bool // zones whose machines get no direct commands
	pickCommandDelay func() (command, response time.Duration)
	// pickCommandCopies returns the delays of the copies of a direct command request; nil: there are none.
	pickCommandCopies func(r fleet.CommandRequest) []time.Duration
	pickBootTime      func() time.Duration // overrides BootTime if not nil

	// What users requested and which responses they got, by job ID. The rules use these times and states.
	acceptedAt      map[string]time.Time // when a response first reported the job as known
	cancelRequested map[string]bool      // jobs that a user asked to cancel, with or without a response
	cancelledAt     map[string]time.Time // when a response first confirmed the job's cancellation
	finalStates     map[string]finalState
	violations      []string

	// History and counters.
	runs             []TaskRun
	costs            []RentalCost
	starts           int
	leaseExpiries    int
	lostWork         time.Duration // run time of tasks that must be repeated
	maxCancelLatency time.Duration // see MaxCancelLatency
}

// NewEnvironment returns an environment without machines. It runs until ctx ends.
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

// firstController returns the index of the controller that a machine's worker contacts first.
func (env *Environment) firstController(m *Machine) int {
	if env.FirstController == nil {
		return 0
	}
	return env.FirstController(m.Name)
}

// Machine returns the machine with the given name, or nil if there is none.
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

// Upgrade replaces the version of a machine's worker, as an operator would: the worker loses all of its tasks and
// restarts in a new incarnation. Upgrade returns false if the machine is not up or does not exist.
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

// FailZone terminates all machines of a zone that are up, without notice, and returns their number.
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

// SetBootTime sets the function that returns the boot time of each new machine, and returns the previous function. If
// the function is nil, BootTime applies.
func (env *Environment) SetBootTime(pick func() time.Duration) (before func() time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	before, env.pickBootTime = env.pickBootTime, pick
	return before
}
