package simulation

import (
	"sync/atomic"
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// One-task jobs at four a second for three minutes, a quarter of them cancelled, on a store of the
// smallest deployment (20 changes a second): what each job costs in changes, how much the store
// throttles, and how long a job that has ended stays unstored. With a leader that ends and an outage
// in between nothing is forgotten or left over either.
func TestSingleTaskJobsStayWithinStoreLimits(t *testing.T) {
	for _, x := range []struct {
		name     string
		troubles bool
	}{{"calm", false}, {"a takeover and an outage", true}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			runScenarioWith(t, func(c *cluster) { c.paced = true }, func(c *cluster) {
				c.env.RunTime = func(string) time.Duration { return 8 * time.Second }
				c.store.SetLimits(8, 16, 20)
				sleep(2)
				const jobs = 720
				var slowest atomic.Int64 // acceptance, in milliseconds
				backlog, l := 0, 0
				for k := range jobs {
					go func() {
						began := time.Now()
						for try, status := k, 0; status != 200 && status != 201; try++ {
							if status = c.submit(try%3, records.Job{ID: id(k + 1), Tasks: 1, CPUs: 1, EstimateS: 8}); status != 200 && status != 201 {
								sleep(1)
							}
						}
						for took, was := time.Since(began).Milliseconds(), slowest.Load(); took > was && !slowest.CompareAndSwap(was, took); was = slowest.Load() {
						}
						if k%4 == 0 {
							sleep(float64(k % 11))
							for try := k; ; try++ {
								status, st := c.ask(try%3, peer.MethodCancel, id(k+1))
								if st == records.StatusCancelled {
									c.expectCancelled(id(k + 1))
								}
								if status == 200 {
									break
								}
								sleep(1)
							}
						}
					}()
					switch {
					case x.troubles && k == 200:
						l = c.leaderIndex()
						c.killNode(l)
					case x.troubles && k == 260:
						c.startNode(l)
					case x.troubles && k == 400:
						c.store.SetOutage(true)
					case x.troubles && k == 460:
						c.store.SetOutage(false)
					}
					backlog = max(backlog, c.unstoredJobs())
					sleep(0.25)
				}
				sleep(60)
				c.wantAllKnown()
				c.wantNoVanishedMachines()
				perJob := float64(c.store.Writes) / jobs
				t.Logf("%.2f changes a job, throttled %d times, slowest acceptance %d ms, at most %d ended jobs unstored", perJob, c.store.ThrottledWrites, slowest.Load(), backlog)
				if perJob > 4 {
					t.Errorf("%.2f changes a job", perJob)
				}
				if !x.troubles && (c.store.ThrottledWrites > 5 || slowest.Load() > 1000 || backlog > 24) {
					t.Errorf("throttled %d times, slowest acceptance %d ms, at most %d ended jobs unstored", c.store.ThrottledWrites, slowest.Load(), backlog)
				}
				if keys := append(c.store.Keys(records.PrefixOpen), c.store.Keys(records.PrefixDone)...); len(keys) > 0 {
					t.Errorf("left in the store: %v", keys)
				}
			})
		})
	}
}

// unstoredJobs counts the open jobs whose tasks have all ended.
func (c *cluster) unstoredJobs() int {
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
