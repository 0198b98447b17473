package leader

import (
	"context"
	"net/http"
	"sync"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/httpclient"
	"drumpick/internal/scheduler"
)

// commandLoop does what time alone brings about, and sends kills and probes to workers without
// waiting for their heartbeats.
type commandLoop struct {
	*term
}

func (c *commandLoop) run(ctx context.Context) {
	interval := c.settings.HeartbeatInterval / scheduler.TicksPerHeartbeat
	for sleptFrom := time.Now(); httpclient.Sleep(ctx, interval) == nil; sleptFrom = time.Now() {
		now := time.Now()
		mayStart := c.mayStartTasks()
		c.state.mu.Lock()
		c.state.scheduler.ObserveTick(now.Sub(sleptFrom), now)
		c.state.scheduler.Tick(now, mayStart)
		urgent := c.state.scheduler.TakeUrgentCommands()
		probes := c.state.scheduler.Probes(now)
		c.state.mu.Unlock()
		c.sendProbes(probes)
		c.sendUrgent(urgent)
	}
}

func (c *commandLoop) sendUrgent(commands []scheduler.UrgentCommands) {
	for _, command := range commands {
		c.workers.Go(func() {
			if _, status, err := c.workers.SendCommands(command.Addr, command.Body); err == nil {
				c.reconcileAnswer(status)
			}
		})
	}
}

// sendProbes asks machines what they have whose heartbeats cannot be relied on.
func (c *commandLoop) sendProbes(probes []fleet.Probe) {
	for _, probe := range probes {
		c.workers.Go(func() {
			_, status, err := c.workers.SendCommands(probe.Addr, c.noCommands(probe.Incarnation))
			if err != nil {
				return
			}
			c.state.mu.Lock()
			defer c.state.mu.Unlock()
			c.state.scheduler.ApplyProbe(probe, status, time.Now())
		})
	}
}

// noCommands is a request that only shows a worker the term, and makes it tell its status.
func (t *term) noCommands(incarnation uint64) fleet.CommandRequest {
	return fleet.CommandRequest{FencingToken: t.number, Incarnation: incarnation, Commands: []fleet.Command{}}
}

// reconcileAnswer takes in the status that a worker answered a direct command with.
func (t *term) reconcileAnswer(status *fleet.Heartbeat) {
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	t.state.scheduler.Reconcile(status, false, time.Now())
}

// fenceMachines makes every machine that earlier terms may have used show this term: from then
// on it follows no older leader, and what it shows is all it runs. It ends when all are
// reconciled.
func (t *term) fenceMachines(ctx context.Context) {
	for ctx.Err() == nil {
		t.state.mu.Lock()
		machines := t.state.scheduler.Unreconciled()
		reconciled := t.state.scheduler.Reconciled()
		t.state.mu.Unlock()
		if reconciled {
			return
		}
		var calls sync.WaitGroup
		for _, machine := range machines {
			calls.Add(1)
			t.workers.Go(func() {
				defer calls.Done()
				t.fenceMachine(machine)
			})
		}
		calls.Wait()
		if httpclient.Sleep(ctx, t.settings.HeartbeatInterval/2) != nil {
			return
		}
	}
}

// fenceMachine shows a machine the term. A worker that has restarted refuses the call and tells
// its new incarnation, with which it is tried once more.
func (t *term) fenceMachine(machine scheduler.UnreconciledMachine) {
	for range 2 {
		code, status, err := t.workers.SendCommands(machine.Addr, t.noCommands(machine.Incarnation))
		if err != nil || status.FencingToken > t.number {
			return
		}
		t.reconcileAnswer(status)
		if code == http.StatusOK {
			return
		}
		machine.Incarnation = status.Incarnation
	}
}
