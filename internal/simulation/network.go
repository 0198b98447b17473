package simulation

import (
	"errors"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/fleet"
	"drumpick/internal/workers"
)

// HeartbeatFunc delivers a worker's heartbeat to a controller, given by its index. It returns the HTTP status, the
// response, and the name of the leader that the worker is redirected to, or "". Status 0 means no response,
// StatusRefused a refused connection.
type HeartbeatFunc func(controller int, r *fleet.Heartbeat) (status int, resp fleet.HeartbeatResponse, leader string)

// StatusRefused is the status of a heartbeat to a controller that does not run.
const StatusRefused = -1

var errNoResponse = errors.New("worker did not respond")

// PartitionZone makes a zone's machines unreachable, or reachable again if on is false.
func (env *Environment) PartitionZone(zone string, on bool) {
	env.mu.Lock()
	env.partitioned[zone] = on
	env.mu.Unlock()
}

// BlockCommands drops direct commands to a zone's machines, or delivers them again if on is false.
func (env *Environment) BlockCommands(zone string, on bool) {
	env.mu.Lock()
	env.commandsBlocked[zone] = on
	env.mu.Unlock()
}

// SetCommandDelay sets the function that returns the delay of each direct command and of its response; nil: no delay.
// A sender times out if either delay is a heartbeat interval or longer.
func (env *Environment) SetCommandDelay(pick func() (command, response time.Duration)) {
	env.mu.Lock()
	env.pickCommandDelay = pick
	env.mu.Unlock()
}

// SetCommandCopies sets the function that returns after which delays copies of a direct command request arrive at the
// machine again, counted from its execution; nil: no copies arrive. A copy also reaches a worker that has restarted.
func (env *Environment) SetCommandCopies(pick func(r fleet.CommandRequest) []time.Duration) {
	env.mu.Lock()
	env.pickCommandCopies = pick
	env.mu.Unlock()
}

// deliverCopies delivers the copies of a direct command request that the machine has executed and answered.
func (env *Environment) deliverCopies(m *Machine, r fleet.CommandRequest) {
	env.mu.Lock()
	pick := env.pickCommandCopies
	env.mu.Unlock()
	if pick == nil {
		return
	}
	for _, delay := range pick(r) {
		go func() {
			if ctxtime.Sleep(env.ctx, delay) == nil {
				_, _, _ = m.ExecuteCommands(r) // nobody waits for the answer to a copy
			}
		}()
	}
}

// Go runs f in a new goroutine. Go and SendCommands implement the interface through which controllers access workers.
func (env *Environment) Go(f func()) { go f() }

// SendCommands sends direct commands to the worker at addr, which is the machine's name here, and returns the worker's
// response. It returns an error if the worker does not respond in time.
func (env *Environment) SendCommands(addr string, r fleet.CommandRequest) (workers.Outcome, *fleet.Heartbeat, error) {
	_ = ctxtime.Sleep(env.ctx, networkLatency)
	env.mu.Lock()
	m := env.machines[addr]
	blocked := m != nil && (env.commandsBlocked[m.Zone] || m.inboundLost)
	delay := env.pickCommandDelay
	env.mu.Unlock()
	if blocked {
		_ = ctxtime.Sleep(env.ctx, env.HeartbeatInterval) // the call hangs until the caller's timeout
	}
	if m == nil || blocked {
		return workers.OutcomeUnknown, nil, errNoResponse
	}
	defer env.deliverCopies(m, r)
	if delay == nil {
		return m.ExecuteCommands(r)
	}
	commandDelay, responseDelay := delay()
	return env.sendDelayed(m, r, commandDelay, responseDelay)
}

var errResponseTimeout = errors.New("worker did not respond within the timeout")

// sendDelayed delivers direct commands and their response with delays. Commands that arrive after the sender's
// timeout are executed nevertheless.
func (env *Environment) sendDelayed(
	m *Machine, r fleet.CommandRequest, commandDelay, responseDelay time.Duration,
) (workers.Outcome, *fleet.Heartbeat, error) {
	if commandDelay >= env.HeartbeatInterval {
		time.AfterFunc(commandDelay, func() { _, _, _ = m.ExecuteCommands(r) })
		_ = ctxtime.Sleep(env.ctx, env.HeartbeatInterval)
		return workers.OutcomeUnknown, nil, errResponseTimeout
	}
	_ = ctxtime.Sleep(env.ctx, commandDelay)
	outcome, response, err := m.ExecuteCommands(r)
	_ = ctxtime.Sleep(env.ctx, min(responseDelay, env.HeartbeatInterval))
	if responseDelay >= env.HeartbeatInterval {
		return workers.OutcomeUnknown, nil, errResponseTimeout
	}
	return outcome, response, err
}
