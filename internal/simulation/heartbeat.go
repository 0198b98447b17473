package simulation

import (
	"net/http"
	"slices"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/fleet"
)

// heartbeatTimeout is how long a worker waits for an answer (PROTOCOL).
const heartbeatTimeout = 4 * time.Second

// retryDelay is how soon a worker tries the next controller after a heartbeat that was not taken.
func (env *Environment) retryDelay() time.Duration { return min(env.HeartbeatInterval/2, time.Second) }

// redirectDelay is how soon a worker follows a redirection to another controller: at once, or after up to half a
// second.
func (env *Environment) redirectDelay() time.Duration {
	return min(env.HeartbeatInterval, time.Second) / 4
}

// sentHeartbeat is a heartbeat and the state of the worker that sent it.
type sentHeartbeat struct {
	body    *fleet.Heartbeat
	at      time.Time
	reboots int
}

// run is the life of a machine: it boots, then sends heartbeats and runs tasks until it is gone.
func (m *Machine) run() {
	env := m.env
	if !m.boot() || env.RemoteMachines {
		return
	}
	node := env.firstNode(m)
	for {
		h, gone := m.nextHeartbeat()
		if gone {
			return
		}
		if h != nil {
			next, delay, ok := m.sendHeartbeat(node, h)
			if !ok {
				return
			}
			if delay > 0 {
				node = next
				if ctxtime.Sleep(env.ctx, delay) != nil {
					return
				}
				continue
			}
		}
		if !m.waitForNextHeartbeat() {
			return
		}
	}
}

// nextHeartbeat returns the worker's next heartbeat, nil if none can leave the machine now, and reports whether the
// machine is gone.
func (m *Machine) nextHeartbeat() (h *sentHeartbeat, gone bool) {
	m.env.mu.Lock()
	defer m.env.mu.Unlock()
	if m.terminated {
		return nil, true
	}
	if m.hung {
		return nil, false
	}
	m.advanceLocked()
	if m.outboundLost || m.env.partitioned[m.Zone] {
		return nil, false
	}
	return &sentHeartbeat{body: m.heartbeatLocked(), at: time.Now(), reboots: m.reboots}, false
}

// sendHeartbeat sends a heartbeat to a controller and carries out what the answer says. Where the heartbeat was not
// taken it returns the controller to try next, and after which delay; otherwise the delay is 0. ok is false once
// the environment has ended.
func (m *Machine) sendHeartbeat(node int, h *sentHeartbeat) (next int, delay time.Duration, ok bool) {
	env := m.env
	status, resp, leader := env.Heartbeat(node, h.body)
	env.mu.Lock()
	if m.inboundLost || m.reboots != h.reboots {
		status = 0 // the answer does not reach it, or the process that asked is no more
	}
	env.mu.Unlock()
	if status == 0 && ctxtime.Sleep(env.ctx, heartbeatTimeout) != nil {
		return node, 0, false
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	switch leaderNode := slices.Index(env.Nodes, leader); {
	case status == http.StatusOK && m.acceptsAnswerLocked(h, resp):
		m.fencingToken = resp.FencingToken
		m.leaseStart = h.at
		m.executeLocked(resp.Commands)
	case status == http.StatusMisdirectedRequest && leaderNode >= 0 && leaderNode != node:
		return leaderNode, env.redirectDelay(), true
	case status != http.StatusOK:
		return (node + 1) % len(env.Nodes), env.retryDelay(), true
	}
	return node, 0, true
}

// acceptsAnswerLocked reports whether the worker takes an answer: it comes from no deposed leader, in time, and to the
// same incarnation.
func (m *Machine) acceptsAnswerLocked(h *sentHeartbeat, resp fleet.HeartbeatResponse) bool {
	return h.body.Incarnation == m.incarnation && resp.FencingToken >= m.fencingToken &&
		!m.terminated && !m.hung && time.Since(h.at) < 2*m.env.HeartbeatInterval
}

// waitForNextHeartbeat waits for the heartbeat interval, or less when something changes. It reports whether the
// environment goes on.
func (m *Machine) waitForNextHeartbeat() bool {
	env := m.env
	wait, shortest := env.HeartbeatInterval, env.HeartbeatInterval/4
	env.mu.Lock()
	for _, a := range m.tasks {
		if !a.statusEndsAt.IsZero() {
			wait = min(wait, max(time.Until(a.statusEndsAt), shortest))
		}
	}
	env.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-env.ctx.Done():
		return false
	case <-timer.C:
	case <-m.wakeup:
		return ctxtime.Sleep(env.ctx, shortest) == nil
	}
	return true
}
