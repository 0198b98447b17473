package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"drumpick/internal/records"
)

// These tests check which tasks a new leader starts before it has reached every machine.

// startsAfterFailover runs a failover while zone b is partitioned and tasks that were never dispatched are waiting.
// It returns the number of tasks that start within two heartbeat intervals after a new leader is elected.
func startsAfterFailover(t *testing.T, prepare func(*cluster), failOver func(c *cluster)) (started int) {
	runScenarioWith(t, func(c *cluster) {
		// No worker's lease expires during the scenario, so that no start repeats a lost task.
		c.cfg.Deployment.Workers.LeaseS, c.cfg.Deployment.Workers.CancelS = 30, 50
		c.env.Lease, c.env.CancelLimit, c.env.ZoneCapacity = 30*time.Second, 50*time.Second, 4
		prepare(c)
	}, func(c *cluster) {
		c.env.RunTime = mixedRunTime
		sleep(2)
		for n := range 4 {
			c.submit(0, records.Job{ID: fmt.Sprint("j-", n+1), Tasks: 200, EstimateS: 8})
		}
		sleep(36)
		c.env.PartitionZone("b", true)
		sleep(1)
		failOver(c)
		for c.leaderIndex() < 0 {
			sleep(0.1)
		}
		before := c.env.Starts()
		sleep(2 * c.cfg.Deployment.Workers.HeartbeatS)
		started = c.env.Starts() - before
		c.env.PartitionZone("b", false)
		sleep(240)
		for n := range 4 {
			for i := range 3 {
				if c.controller(i) != nil {
					c.wantDone(i, fmt.Sprint("j-", n+1))
				}
			}
		}
	})
	return started
}

// The leader is killed while a zone is partitioned. Tasks that were never dispatched start at once in the other zone.
// Guards against machines that are idle beside a full queue until the unreachable machines have been returned.
func TestFailoverStartsTasksNeverDispatched(t *testing.T) {
	t.Parallel()
	killLeader := func(c *cluster) { c.killController(c.leaderIndex()) }
	if n := startsAfterFailover(t, func(*cluster) {}, killLeader); n < 10 {
		t.Errorf("%d tasks started within two heartbeat intervals, want 10 or more", n)
	}
	if n := startsAfterFailover(t, func(c *cluster) { c.cfg.Options.Watermarks = false }, killLeader); n > 0 {
		t.Errorf("%d tasks started without watermarks, want none", n)
	}
}

// All controllers are killed at once, so that no observer of the watermarks is left. If the last leader restarts in
// time, its new process uses the attestation in the store.
func TestStoredWatermarksAreUsedAfterAllControllersDied(t *testing.T) {
	t.Parallel()
	failOver := func(pause float64) func(c *cluster) {
		return func(c *cluster) {
			last := c.leaderIndex()
			for i := range 3 {
				c.killController(i)
			}
			sleep(pause)
			c.startController(last)
		}
	}
	if n := startsAfterFailover(t, func(*cluster) {}, failOver(1)); n == 0 {
		t.Error("nothing started within two heartbeat intervals")
	}
	if n := startsAfterFailover(t, func(*cluster) {}, failOver(9)); n > 0 {
		t.Errorf("%d tasks started by an attestation that is too old", n)
	}
}

// A controller of a version without watermarks leads before the failover and may have dispatched any task. The next
// leader must not start tasks by older watermarks.
func TestWatermarksAreNotUsedAfterOlderVersionLed(t *testing.T) {
	t.Parallel()
	if n := startsAfterFailover(t, func(c *cluster) { c.olderVersion[1] = true }, func(c *cluster) {
		c.killController(0)
		c.killController(2)
		for c.leaderIndex() != 1 {
			sleep(1)
		}
		c.startController(0)
		sleep(1)
		c.killController(1)
	}); n > 0 {
		t.Errorf("%d tasks started before the machines that the older version may have used were reached", n)
	}
}

// Controllers of both versions, the store, zones and machines fail in random order: no rule of the
// protocol is broken, and every job is done in the end.
func TestRandomFaultsBreakNoRule(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 21))
			runScenarioWith(t, func(c *cluster) {
				c.olderVersion[2] = seed%3 == 0
				c.env.ZoneCapacity = 5
			}, func(c *cluster) {
				c.env.RunTime = mixedRunTime
				sleep(2)
				jobs := 0
				submit := func() {
					for i := range 3 {
						if c.controller(i) != nil && c.submit(i, records.Job{ID: fmt.Sprint("j-", jobs+1), Tasks: 20 + r.IntN(120), EstimateS: 8}) == 201 {
							jobs++
							return
						}
					}
				}
				submit()
				sleep(30)
				for range 14 {
					injectRandomFault(c, r)
					if r.IntN(2) == 0 {
						submit()
					}
					sleep(6 * r.Float64())
				}
				endFaults(c)
				sleep(400)
				for n := range jobs {
					c.wantDone(n%3, fmt.Sprint("j-", n+1))
				}
			})
		})
	}
}
