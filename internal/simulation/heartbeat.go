package simulation

import (
	"net/http"
	"slices"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/fleet"
)

// heartbeatTimeout is the maximum time that a worker waits for the response to a heartbeat (PROTOCOL).
const heartbeatTimeout = 4 * time.Second

// retryDelay returns the delay before a worker tries the next controller after a heartbeat that was not accepted.
func (env *Environment) retryDelay() time.Duration { return min(env.HeartbeatInterval/2, time.Second) }

// redirectDelay returns the delay before a worker follows a redirect. The protocol allows up to half a second.
func (env *Environment) redirectDelay() time.Duration {
	return min(env.HeartbeatInterval, time.Second) / 4
}

// sentHeartbeat is a heartbeat with the time at which it was sent and its machine's reboot count at that time.
type sentHeartbeat struct {
	body    *fleet.Heartbeat
	at      time.Time
	reboots int
}

// run boots the machine, then sends heartbeats and runs tasks until the machine is terminated.
func (m *Machine) run() {
	env := m.env
	if !m.boot() || env.RemoteMachines {
		return
	}
	controller := env.firstController(m)
	for {
		h, terminated := m.nextHeartbeat()
		if terminated {
			return
		}
		if h != nil {
			next, delay, ok := m.sendHeartbeat(controller, h)
			if !ok {
				return
			}
			if delay > 0 {
				controller = next
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

// nextHeartbeat updates the worker's attempts and returns its next heartbeat. It returns nil if the machine is hung or
// its heartbeats are lost. terminated reports that the machine is terminated.
func (m *Machine) nextHeartbeat() (h *sentHeartbeat, terminated bool) {
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

// sendHeartbeat sends a heartbeat to a controller, given by its index, and executes the commands in the response. If
// the status is not 200, it returns the index of the controller to try next and the delay before that. Otherwise the
// delay is 0, even if the worker does not accept the response. ok is false once the environment has ended.
func (m *Machine) sendHeartbeat(controller int, h *sentHeartbeat) (next int, delay time.Duration, ok bool) {
	env := m.env
	status, resp, leader := env.Heartbeat(controller, h.body)
	env.mu.Lock()
	if m.inboundLost || m.reboots != h.reboots {
		status = 0 // the response is lost, or the machine has rebooted since it sent the heartbeat
	}
	env.mu.Unlock()
	if status == 0 && ctxtime.Sleep(env.ctx, heartbeatTimeout) != nil {
		return controller, 0, false
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	switch leaderIndex := slices.Index(env.Controllers, leader); {
	case status == http.StatusOK && m.acceptsResponseLocked(h, resp):
		m.fencingToken = resp.FencingToken
		m.leaseStart = h.at
		m.executeLocked(resp.Commands)
	case status == http.StatusMisdirectedRequest && leaderIndex >= 0 && leaderIndex != controller:
		return leaderIndex, env.redirectDelay(), true
	case status != http.StatusOK:
		return (controller + 1) % len(env.Controllers), env.retryDelay(), true
	}
	return controller, 0, true
}

// acceptsResponseLocked reports whether the worker accepts the response to heartbeat h. It must not come from a deposed
// leader, so its fencing token must be at least the latest one. It must arrive within two heartbeat intervals, in the
// incarnation that sent h.
func (m *Machine) acceptsResponseLocked(h *sentHeartbeat, resp fleet.HeartbeatResponse) bool {
	return h.body.Incarnation == m.incarnation && resp.FencingToken >= m.fencingToken &&
		!m.terminated && !m.hung && time.Since(h.at) < 2*m.env.HeartbeatInterval
}

// waitForNextHeartbeat waits for the heartbeat interval, or at least a quarter of it if the worker has a change to
// report earlier. It returns false once the environment has ended.
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
