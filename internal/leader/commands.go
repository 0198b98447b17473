package leader

import (
	"context"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/fleet"
	"drumpick/internal/scheduler"
)

// commandLoop runs the scheduler's periodic work, and sends kills and probes to workers without
// waiting for their heartbeats.
type commandLoop struct {
	*term
}

func (c *commandLoop) run(ctx context.Context) {
	interval := c.settings.HeartbeatInterval / scheduler.TicksPerHeartbeat
	for sleepStart := time.Now(); ctxtime.Sleep(ctx, interval) == nil; sleepStart = time.Now() {
		now := time.Now()
		mayStart := c.mayStartTasks()
		var urgent []scheduler.UrgentCommands
		var probes []fleet.Probe
		c.withState(func() {
			c.state.scheduler.ObserveTick(now.Sub(sleepStart), now)
			c.state.scheduler.Tick(now, mayStart)
			urgent = c.state.scheduler.TakeUrgentCommands()
			probes = c.state.scheduler.Probes(now)
		})
		c.sendProbes(probes)
		c.sendUrgent(urgent)
	}
}

// sendUrgent sends commands to workers in the background, and reconciles the statuses in the answers.
func (c *commandLoop) sendUrgent(commands []scheduler.UrgentCommands) {
	for _, command := range commands {
		c.callWorker("urgent commands", func() {
			if _, status, err := c.workers.SendCommands(command.Addr, command.Body); err == nil {
				c.reconcileStatus(status)
			}
		})
	}
}

// sendProbes requests the status of machines whose heartbeats may be late copies, and applies the
// answers to the scheduler.
func (c *commandLoop) sendProbes(probes []fleet.Probe) {
	for _, probe := range probes {
		c.callWorker("probe", func() {
			_, status, err := c.workers.SendCommands(probe.Addr, c.emptyCommandRequest(probe.Incarnation))
			if err == nil {
				c.withState(func() { c.state.scheduler.ApplyProbe(probe, status, time.Now()) })
			}
		})
	}
}

// callWorker starts a goroutine that runs f, which calls a worker. name names f in the report of a panic.
func (t *term) callWorker(name string, f func()) {
	t.workers.Go(func() { t.guard(name, f) })
}

// emptyCommandRequest returns a direct command request without commands for a worker's incarnation.
// The worker learns the term from it and answers with its status.
func (t *term) emptyCommandRequest(incarnation uint64) fleet.CommandRequest {
	return fleet.CommandRequest{FencingToken: t.number, Incarnation: incarnation, Commands: []fleet.Command{}}
}

// reconcileStatus reconciles the scheduler's state with the status in a worker's answer to a direct
// command.
func (t *term) reconcileStatus(status *fleet.Heartbeat) {
	t.withState(func() { t.state.scheduler.Reconcile(status, false, time.Now()) })
}
