package simulation

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// Users submit four single-task jobs per second for three minutes and cancel a quarter of them. The store has the
// limits of the smallest deployment (20 writes per second). The test bounds the writes per job, the throttled writes,
// the latency of acceptance, and the number of ended jobs that are not stored yet. No job may be forgotten and no
// record left over, also with a failover and a store outage.
func TestSingleTaskJobsStayWithinStoreLimits(t *testing.T) {
	for _, x := range []struct {
		name   string
		faults bool
	}{{"no faults", false}, {"a failover and an outage", true}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			runScenarioWith(t, func(c *cluster) { c.limitLeaderWrites = true }, func(c *cluster) {
				c.env.RunTime = func(string) time.Duration { return 8 * time.Second }
				c.store.SetLimits(8, 16, 20)
				sleep(2)
				const jobs = 720
				var slowest atomic.Int64 // latency of acceptance in milliseconds
				backlog, leader := 0, 0
				for k := range jobs {
					go func() {
						began := time.Now()
						c.submitUntilAnyAccepts(k, records.Job{ID: jobID(k + 1), Tasks: 1, CPUs: 1, EstimateS: 8})
						storeMax(&slowest, time.Since(began).Milliseconds())
						if k%4 == 0 {
							sleep(float64(k % 11))
							c.cancelUntilAnswered(k, jobID(k+1))
						}
					}()
					switch {
					case x.faults && k == 200:
						leader = c.leaderIndex()
						c.killController(leader)
					case x.faults && k == 260:
						c.startController(leader)
					case x.faults && k == 400:
						c.store.SetOutage(true)
					case x.faults && k == 460:
						c.store.SetOutage(false)
					}
					backlog = max(backlog, c.countUnstoredJobs())
					sleep(0.25)
				}
				sleep(60)
				c.wantAllJobsKnown()
				c.wantNoVanishedMachines()
				perJob := float64(c.store.Writes()) / jobs
				measured := fmt.Sprintf("%d throttled writes, slowest acceptance %d ms, at most %d ended jobs not stored",
					c.store.ThrottledWrites(), slowest.Load(), backlog)
				t.Logf("%.2f writes per job, %s", perJob, measured)
				if perJob > 4 {
					t.Errorf("%.2f writes per job, want at most 4", perJob)
				}
				if !x.faults && (c.store.ThrottledWrites() > 5 || slowest.Load() > 1000 || backlog > 24) {
					t.Errorf("%s, want at most 5 throttled writes, 1000 ms and 24 jobs", measured)
				}
				if keys := append(c.store.Keys(records.PrefixOpen), c.store.Keys(records.PrefixFinishedTasks)...); len(keys) > 0 {
					t.Errorf("left in the store: %v", keys)
				}
			})
		})
	}
}

// submitUntilAnyAccepts submits a job every second, to each of three controllers in turn, until one accepts it.
func (c *cluster) submitUntilAnyAccepts(first int, j records.Job) {
	for try := first; ; try++ {
		if status := c.submit(try%3, j); status == 200 || status == 201 {
			return
		}
		sleep(1)
	}
}

// cancelUntilAnswered cancels a job every second, at each of three controllers in turn, until one responds with status
// 200.
func (c *cluster) cancelUntilAnswered(first int, id string) {
	for try := first; ; try++ {
		status, st := c.ask(try%3, peer.MethodCancel, id)
		if st == records.StatusCancelled {
			c.expectCancelled(id)
		}
		if status == 200 {
			return
		}
		sleep(1)
	}
}

// storeMax sets v to n if n is greater.
func storeMax(v *atomic.Int64, n int64) {
	for old := v.Load(); n > old && !v.CompareAndSwap(old, n); old = v.Load() {
	}
}

// countUnstoredJobs returns the number of jobs that are open in the store and have completed tasks.
func (c *cluster) countUnstoredJobs() int {
	n := 0
	for _, key := range c.store.Keys(records.PrefixOpen) {
		c.env.mu.Lock()
		if len(c.env.completed[key[len(records.PrefixOpen):]]) > 0 {
			n++
		}
		c.env.mu.Unlock()
	}
	return n
}
