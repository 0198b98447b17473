package simulation

import (
	"errors"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/fleet"
	"drumpick/internal/workers"
)

// HeartbeatFunc delivers a worker's heartbeat to a controller, and returns the status, the answer, and the node
// that the worker is sent on to. Status 0 means that nobody answered, Refused that nobody listened.
type HeartbeatFunc func(node int, r *fleet.Heartbeat) (status int, resp fleet.HeartbeatResponse, leader string)

// StatusRefused is the status of a heartbeat to a controller that does not run.
const StatusRefused = -1

var errNoAnswer = errors.New("no answer")

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

// SetCommandDelay sets by how much each direct command is delayed on its way, and then its answer. Nobody waits for
// either longer than a heartbeat interval. nil: none is delayed.
func (env *Environment) SetCommandDelay(by func() (command, answer time.Duration)) {
	env.mu.Lock()
	env.pickCommandDelay = by
	env.mu.Unlock()
}

// Go runs f in a goroutine; with SendCommands it is a controller's way to the workers.
func (env *Environment) Go(f func()) { go f() }

// SendCommands sends direct commands to a worker, and returns its answer.
func (env *Environment) SendCommands(addr string, r fleet.CommandRequest) (workers.Outcome, *fleet.Heartbeat, error) {
	_ = ctxtime.Sleep(env.ctx, networkLatency)
	env.mu.Lock()
	m := env.machines[addr]
	blocked := m != nil && (env.commandsBlocked[m.Zone] || m.inboundLost)
	delay := env.pickCommandDelay
	env.mu.Unlock()
	if blocked {
		_ = ctxtime.Sleep(env.ctx, env.HeartbeatInterval) // it hangs until the caller gives up
	}
	if m == nil || blocked {
		return workers.OutcomeUnknown, nil, errNoAnswer
	}
	if delay == nil {
		return m.ExecuteCommands(r)
	}
	commandDelay, answerDelay := delay()
	return env.sendDelayed(m, r, commandDelay, answerDelay)
}

var errAnswerTimeout = errors.New("no answer in time")

// sendDelayed sends direct commands that are delayed on their way, and then their answer. Commands whose sender
// has given up are carried out all the same.
func (env *Environment) sendDelayed(
	m *Machine, r fleet.CommandRequest, commandDelay, answerDelay time.Duration,
) (workers.Outcome, *fleet.Heartbeat, error) {
	if commandDelay >= env.HeartbeatInterval {
		time.AfterFunc(commandDelay, func() { _, _, _ = m.ExecuteCommands(r) })
		_ = ctxtime.Sleep(env.ctx, env.HeartbeatInterval)
		return workers.OutcomeUnknown, nil, errAnswerTimeout
	}
	_ = ctxtime.Sleep(env.ctx, commandDelay)
	outcome, answer, err := m.ExecuteCommands(r)
	_ = ctxtime.Sleep(env.ctx, min(answerDelay, env.HeartbeatInterval))
	if answerDelay >= env.HeartbeatInterval {
		return workers.OutcomeUnknown, nil, errAnswerTimeout
	}
	return outcome, answer, err
}
