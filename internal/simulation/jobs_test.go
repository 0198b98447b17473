package simulation

import (
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// A job runs, is done at every controller, and leaves neither machines nor records behind.
func TestJobRunsOnceAndItsMachinesAreReturned(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		if got := c.submit(0, records.Job{ID: "j-1", Tasks: 8, EstimateS: 30}); got != 201 {
			t.Fatalf("submit: %d", got)
		}
		sleep(35)
		c.wantRunning(8)
		sleep(40)
		for i := range 3 {
			c.wantDone(i, "j-1")
		}
		if got := c.submit(1, records.Job{ID: "j-1", Tasks: 8}); got != 200 {
			t.Errorf("repeated submission of a finished job: %d, want 200", got)
		}
		sleep(120)
		if ms := c.env.Machines(); len(ms) != 0 {
			t.Errorf("%d idle machines are still rented", len(ms))
		}
		if keys := append(c.store.Keys("jobs/open/"), c.store.Keys("done/")...); len(keys) != 0 {
			t.Errorf("left in the store: %v", keys)
		}
	})
}

// Cancellation: from the answer on nothing starts, and what runs is gone in time; the state stays, on every node.
func TestCancelledJobStopsAndStaysCancelled(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 12, EstimateS: 30})
		sleep(30)
		if _, st := c.ask(2, peer.MethodCancel, "j-1"); st != records.StatusCancelled {
			t.Fatalf("withdraw: %q", st)
		}
		sleep(3)
		c.wantRunning(0)
		c.killNode(c.leaderIndex())
		sleep(30)
		for i := range 3 {
			if c.node(i) == nil {
				continue
			}
			if status, st := c.ask(i, peer.MethodPoll, "j-1"); status != 200 || st != records.StatusCancelled {
				t.Errorf("poll: %d %s", status, st)
			}
			if got := c.submit(i, records.Job{ID: "j-1", Tasks: 12}); got != 200 {
				t.Errorf("repeated submission of a cancelled job: %d", got)
			}
		}
	})
}

// A job of 100,000 tasks fits the store's values, transactions and rate.
func TestHugeJobFitsStoreLimits(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(task string) time.Duration { return time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 100_000, EstimateS: 1})
		sleep(60)
		c.killNode(c.leaderIndex())
		sleep(15)
		for _, k := range c.store.Keys("done/") {
			if v := c.store.Value(k); len(v) > 8<<10 {
				t.Errorf("%s takes %d bytes", k, len(v))
			}
		}
		if c.env.Starts() < 100 {
			t.Errorf("only %d tasks started", c.env.Starts())
		}
		for i := range 3 {
			if c.node(i) != nil {
				c.ask(i, peer.MethodCancel, "j-1")
				break
			}
		}
		sleep(3)
	})
}

// Machines die, are preempted with notice, and rental answers get lost: the work is done all the same.
func TestJobCompletesThoughMachinesAreLost(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 16, EstimateS: 30, CheckpointS: 10, SaveS: 2})
		sleep(30)
		ms := c.env.Machines()
		if len(ms) < 3 {
			t.Fatalf("%d machines are up, want 3 or more", len(ms))
		}
		ms[0].Terminate()
		ms[1].NotifyPreemption(8 * time.Second)
		sleep(150)
		c.wantDone(0, "j-1")
	})
}

// A new machine's first heartbeat waits for its record and is answered with starts: no heartbeat interval is lost,
// which on hundreds of machines is hundreds of intervals.
func TestFirstHeartbeatIsAnsweredWithStarts(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 4, EstimateS: 30})
		var reached, started time.Time
		for range 400 {
			sleep(0.1)
			for _, m := range c.env.Machines() {
				c.env.mu.Lock()
				if m.fencingToken > 0 && reached.IsZero() {
					reached = time.Now()
				}
				c.env.mu.Unlock()
			}
			if c.env.Starts() > 0 && started.IsZero() {
				started = time.Now()
			}
		}
		if reached.IsZero() || started.IsZero() || started.Sub(reached) > c.env.HeartbeatInterval/2 {
			t.Errorf("first answer %v, first start %v", reached, started)
		}
	})
}

// A leader that only the workers cannot reach gets their heartbeats through the others, and takes no machine for
// lost.
func TestLeaderUnreachableForWorkersLosesNoMachine(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 60 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 8, EstimateS: 60})
		sleep(32)
		up := len(c.env.Machines())
		l := c.leaderIndex()
		c.setUnreachable(l, true)
		sleep(25)
		if now := len(c.env.Machines()); now < up {
			t.Errorf("%d machines of %d are left", now, up)
		}
		c.setUnreachable(l, false)
		sleep(40)
		c.wantDone(0, "j-1")
		if c.env.Starts() != 8 {
			t.Errorf("%d starts for 8 tasks", c.env.Starts())
		}
	})
}
