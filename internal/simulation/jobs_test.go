package simulation

import (
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// A job runs and every controller reports it done. Afterwards its machines have been returned and its
// records deleted.
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

// Once a cancellation is confirmed no task of the job starts, and its running tasks end in time. Every
// controller reports the job as cancelled, also after a failover.
func TestCancelledJobStopsAndStaysCancelled(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 12, EstimateS: 30})
		sleep(30)
		if _, st := c.ask(2, peer.MethodCancel, "j-1"); st != records.StatusCancelled {
			t.Fatalf("cancel: %q", st)
		}
		sleep(3)
		c.wantRunning(0)
		c.killController(c.leaderIndex())
		sleep(30)
		for i := range 3 {
			if c.controller(i) == nil {
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

// A job of 100,000 tasks stays within the store's limits on value size, transactions and write rate.
func TestHugeJobFitsStoreLimits(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(task string) time.Duration { return time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 100_000, EstimateS: 1})
		sleep(60)
		c.killController(c.leaderIndex())
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
			if c.controller(i) != nil {
				c.ask(i, peer.MethodCancel, "j-1")
				break
			}
		}
		sleep(3)
	})
}

// A machine fails and another is preempted with notice. The job is done nevertheless.
func TestJobCompletesDespiteLostMachines(t *testing.T) {
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

// The leader responds to a new machine's first heartbeat only after it has stored the machine's record, and includes
// start commands in the response. Guards against losing one heartbeat interval for each new machine.
func TestFirstHeartbeatResponseStartsTasks(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 4, EstimateS: 30})
		var firstResponse, firstStart time.Time
		for range 400 {
			sleep(0.1)
			for _, m := range c.env.Machines() {
				c.env.mu.Lock()
				if m.fencingToken > 0 && firstResponse.IsZero() {
					firstResponse = time.Now()
				}
				c.env.mu.Unlock()
			}
			if c.env.Starts() > 0 && firstStart.IsZero() {
				firstStart = time.Now()
			}
		}
		if firstResponse.IsZero() || firstStart.IsZero() || firstStart.Sub(firstResponse) > c.env.HeartbeatInterval/2 {
			t.Errorf("first response %v, first start %v", firstResponse, firstStart)
		}
	})
}

// A leader that workers cannot reach receives their heartbeats through the followers and treats no
// machine as lost.
func TestLeaderUnreachableForWorkersLosesNoMachine(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 60 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 8, EstimateS: 60})
		sleep(32)
		up := len(c.env.Machines())
		leader := c.leaderIndex()
		c.setUnreachable(leader, true)
		sleep(25)
		if now := len(c.env.Machines()); now < up {
			t.Errorf("%d machines of %d are left", now, up)
		}
		c.setUnreachable(leader, false)
		sleep(40)
		c.wantDone(0, "j-1")
		if c.env.Starts() != 8 {
			t.Errorf("%d starts for 8 tasks", c.env.Starts())
		}
	})
}
