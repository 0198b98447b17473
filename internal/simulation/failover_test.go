package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"drumpick/internal/records"
)

// What a new leader may start before it has reached every machine.

// failoverWithSilentZone runs a failover at which the machines of one zone stay silent, with work waiting
// that was never sent, and returns how many tasks started within two heartbeat intervals of the
// new leader's first.
func failoverWithSilentZone(t *testing.T, prepare func(*cluster), fall func(c *cluster)) (started int) {
	runScenarioWith(t, func(c *cluster) {
		// No lease ends in the scenario, so that nothing starts again for that.
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
		fall(c)
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
				if c.node(i) != nil {
					c.wantDone(i, fmt.Sprint("j-", n+1))
				}
			}
		}
	})
	return started
}

// The leader dies while a zone is cut off: what was never sent starts at once on the other
// zone's machines. Without this, machines run empty beside a full queue until the
// silent ones have been returned.
func TestFailoverStartsWhatWasNeverDispatched(t *testing.T) {
	t.Parallel()
	dies := func(c *cluster) { c.killNode(c.leaderIndex()) }
	if n := failoverWithSilentZone(t, func(*cluster) {}, dies); n < 10 {
		t.Errorf("%d tasks started within two heartbeat intervals, want 10 or more", n)
	}
	if n := failoverWithSilentZone(t, func(c *cluster) { c.cfg.Options.Watermarks = false }, dies); n > 0 {
		t.Errorf("%d tasks started without watermarks: the scenario shows nothing", n)
	}
}

// All controllers die at once, so that none is an observer: the record in the store serves
// the process that comes back on the last leader's node in time.
func TestStoredWatermarksServeAfterAllControllersDied(t *testing.T) {
	t.Parallel()
	fall := func(pause float64) func(c *cluster) {
		return func(c *cluster) {
			last := c.leaderIndex()
			for i := range 3 {
				c.killNode(i)
			}
			sleep(pause)
			c.startNode(last)
		}
	}
	if n := failoverWithSilentZone(t, func(*cluster) {}, fall(1)); n == 0 {
		t.Error("nothing started within two heartbeat intervals")
	}
	if n := failoverWithSilentZone(t, func(*cluster) {}, fall(9)); n > 0 {
		t.Errorf("%d tasks started by a record that is too old", n)
	}
}

// A controller of a version without watermarks led in between, and may have sent anything.
func TestWatermarksAreNotUsedAfterOlderVersionLed(t *testing.T) {
	t.Parallel()
	if n := failoverWithSilentZone(t, func(c *cluster) { c.olderVersion[1] = true }, func(c *cluster) {
		c.killNode(0)
		c.killNode(2)
		for c.leaderIndex() != 1 {
			sleep(1)
		}
		c.startNode(0)
		sleep(1)
		c.killNode(1)
	}); n > 0 {
		t.Errorf("%d tasks started beside silent machines that another version may have used", n)
	}
}

// Everything fails in any order: controllers of both versions, the store, zones, machines.
// Whatever comes, no rule breaks and every job is done in the end.
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
						if c.node(i) != nil && c.submit(i, records.Job{ID: fmt.Sprint("j-", jobs+1), Tasks: 20 + r.IntN(120), EstimateS: 8}) == 201 {
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
