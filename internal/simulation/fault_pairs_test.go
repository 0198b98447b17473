package simulation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// Tests of two faults at once. docs/faults.md has a row for each pair of faults, and names the tests of the pairs
// that other files test.

var faultPairSeeds = flag.Uint64("fault-pairs", 6, "number of scenarios with random fault pairs to run")

// The tasks of a job end at very different times, with leader changes and late transactions in between. A job must be
// done only after all of its tasks. No completed task may run again, and no job may be forgotten.
func TestFailoverWithLateCommitsKeepsCompletedTasks(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, func(c *cluster) {
				r := rand.New(rand.NewPCG(seed, 6))
				c.env.RunTime = func(task string) time.Duration {
					if task[len(task)-1] == '0' {
						return 5 * time.Second
					}
					return 70 * time.Second
				}
				installRecordCheck(c)
				sleep(2)
				for n := range 8 {
					c.submit(n%3, records.Job{ID: fmt.Sprint("j-", n+1), Tasks: 2 + n%2, CPUs: 2, EstimateS: 70})
				}
				// The first tasks end from 29 s on. Around that time the leader is killed while its last transactions
				// are late or lost. Later the next leaders are killed in the same way.
				sleep(25 + 6*r.Float64())
				for range 3 {
					leader := c.leaderIndex()
					c.controller(leader).client.SetLateWrites(randomLateWrites(r.Uint64()))
					sleep(4 * r.Float64())
					c.killController(leader)
					sleep(r.Float64())
					c.startController(leader)
					sleep(10)
					for i := range 3 {
						if c.controller(i) == nil {
							t.Fatalf("controller %d is down", i)
						}
						for n := range 8 {
							c.ask(i, peer.MethodPoll, fmt.Sprint("j-", n+1)) // the environment checks the responses
						}
					}
				}
				sleep(120)
				c.wantAllJobsKnown()
				c.wantNoVanishedMachines()
				if got := c.env.Starts(); got != 20 {
					t.Errorf("%d starts for 20 tasks: completed or running tasks were started again", got)
				}
			})
		})
	}
}

// The leader is killed while machines with long tasks are partitioned, hang, or receive no responses. The machines
// become reachable again before or after their leases expire. No task may run twice, and no job may be lost.
func TestMachinesUnreachableAcrossFailover(t *testing.T) {
	for _, fault := range []string{"partitioned", "unreachable", "hanging"} {
		for _, seconds := range []float64{6, 10, 20, 45} {
			t.Run(fmt.Sprint(fault, " for ", seconds, " s"), func(t *testing.T) {
				t.Parallel()
				runScenarioWith(t, func(c *cluster) { c.env.ZoneCapacity = 6 }, func(c *cluster) {
					c.env.RunTime = func(string) time.Duration { return 120 * time.Second }
					c.copyHeartbeats(3*time.Second, 15*time.Second)
					sleep(2)
					c.submit(0, records.Job{ID: "j-1", Tasks: 20, CPUs: 2, EstimateS: 120})
					c.submit(1, records.Job{ID: "j-2", Shape: records.ShapeGang, Tasks: 4, CPUs: 2, EstimateS: 120})
					c.submit(2, records.Job{ID: "j-3", Tasks: 30, CPUs: 2, EstimateS: 120})
					sleep(36)
					setFault := func(on bool) {
						switch fault {
						case "partitioned":
							c.env.PartitionZone("b", on)
						default:
							for _, m := range c.env.Machines() {
								if m.Zone != "b" {
								} else if fault == "unreachable" {
									m.SetUnreachable(on)
								} else {
									m.SetHung(on)
								}
							}
						}
					}
					setFault(true)
					sleep(1)
					leader := c.leaderIndex()
					c.killController(leader)
					sleep(2)
					c.ask((leader+1)%3, peer.MethodCancel, "j-3")
					c.expectCancelled("j-3")
					sleep(seconds - 3)
					c.startController(leader)
					setFault(false)
					sleep(420)
					c.wantAllJobsKnown()
					c.wantNoVanishedMachines()
				})
			})
		}
	}
}

// The store is slow, up to timeouts of all calls. Then it refuses the leader alone, and then all controllers for longer
// than the cancellation limit. Meanwhile users submit, cancel and poll. No job may be lost.
func TestSlowStore(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			runScenario(t, func(c *cluster) {
				c.env.RunTime = mixedRunTime
				installRecordCheck(c)
				sleep(2)
				n := 0
				setDelay := func(d time.Duration) {
					for i := range 3 {
						c.controller(i).client.SetDelay(d)
					}
				}
				// runUsers submits jobs, cancels every other one and polls, for s seconds.
				runUsers := func(s int) {
					for range s / 2 {
						n++
						id := fmt.Sprint("j-", n)
						c.submit(n%3, records.Job{ID: id, Tasks: 6, CPUs: 2, EstimateS: 8})
						if n%2 == 0 {
							if _, st := c.ask((n+1)%3, peer.MethodCancel, id); st == records.StatusCancelled {
								c.expectCancelled(id)
							}
						}
						c.ask((n+2)%3, peer.MethodPoll, fmt.Sprint("j-", 1+n/2))
						sleep(2)
					}
				}
				runUsers(30)
				setDelay(delay)
				runUsers(20)
				old := max(c.leaderIndex(), 0)
				c.store.SetRefused(c.env.Controllers[old], true)
				runUsers(4)
				c.store.SetOutage(true)
				runUsers(36)
				c.store.SetOutage(false)
				c.store.SetRefused(c.env.Controllers[old], false)
				runUsers(10)
				setDelay(0)
				// Repeat the cancellations, because some were not confirmed.
				for i := 2; i <= n; i += 2 {
					id := fmt.Sprint("j-", i)
					if _, st := c.ask(0, peer.MethodCancel, id); st == records.StatusCancelled {
						c.expectCancelled(id)
					}
				}
				sleep(200)
				c.wantAllJobsKnown()
				c.wantNoVanishedMachines()
			})
		})
	}
}

// Each scenario injects random fault pairs, two or three faults at a time, while users submit and cancel jobs. No rule
// may be violated. -fault-pairs 200 runs 200 seeds.
func TestRandomFaultPairs(t *testing.T) {
	for seed := range *faultPairSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runFaultPairs(t, rand.New(rand.NewPCG(seed, 36)), 12, func(c *cluster, r *rand.Rand) {
				faultPairs[r.IntN(len(faultPairs))].inject(c, r)
				for k := range 3 {
					if c.controller(k) == nil && r.IntN(2) == 0 {
						c.startController(k)
					}
				}
				sleep(float64(r.IntN(12)))
			})
		})
	}
}

// Each scenario injects one fault pair of docs/faults.md three times. -fault-pairs 60 runs ten
// seeds of each pair.
func TestEachFaultPair(t *testing.T) {
	for i, pair := range faultPairs {
		for seed := range max(*faultPairSeeds/6, 1) {
			t.Run(fmt.Sprint(pair.name, " ", seed), func(t *testing.T) {
				t.Parallel()
				runFaultPairs(t, rand.New(rand.NewPCG(seed, 100+uint64(i))), 3, func(c *cluster, r *rand.Rand) {
					pair.inject(c, r)
					for k := range 3 {
						if c.controller(k) == nil {
							c.startController(k)
						}
					}
					sleep(float64(10 + r.IntN(10)))
				})
			})
		}
	}
}

// runFaultPairs runs a scenario that calls inject the given number of times and then ends all faults. It checks that
// every accepted job is known and done, and that no job waited beside free capacity.
func runFaultPairs(t *testing.T, r *rand.Rand, times int, inject func(c *cluster, r *rand.Rand)) {
	runScenarioWith(t, func(c *cluster) {
		c.env.ZoneCapacity = 8
		c.env.GangStartTimeout, c.env.GangPeerTimeout = 30*time.Second, 5*time.Second
		c.cfg.Deployment.Teams = append(c.cfg.Deployment.Teams, config.Team{Name: "limited", LimitCPUs: 20})
		if r.IntN(3) == 0 {
			c.olderVersion[r.IntN(3)] = true
		}
		if r.IntN(2) == 0 {
			c.env.SetBootTime(randomBootTimes(r.Uint64()))
		}
	}, func(c *cluster) {
		c.env.RunTime = func(task string) time.Duration { return time.Duration(1+len(task)%3) * mixedRunTime(task) }
		if r.IntN(2) == 0 {
			c.copyHeartbeats(time.Duration(1+r.IntN(30)) * time.Second)
		}
		if r.IntN(2) == 0 {
			c.env.SetCommandDelay(randomCommandDelays(r.Uint64()))
		}
		if r.IntN(2) == 0 {
			c.pollAggressively(r.Uint64())
		}
		if r.IntN(2) == 0 {
			c.keepHeartbeatCopies(r.Uint64())
		}
		installRecordCheck(c)
		sleep(2)
		for range times {
			for range 1 + r.IntN(2) {
				submitRandomJob(c, r)
			}
			inject(c, r)
		}
		endFaults(c)
		sleep(20)
		for _, id := range c.unansweredCancels {
			if status, st := c.ask(0, peer.MethodCancel, id); st == records.StatusCancelled {
				c.expectCancelledWithDependents(id)
			} else if status != 200 && status != 404 {
				t.Errorf("second cancellation of %s: %d", id, status)
			}
		}
		if status := c.submit(0, records.Job{ID: "j-9999", Tasks: 4, EstimateS: 8}); status != 201 {
			t.Errorf("submission after all faults: %d", status)
		}
		sleep(600)
		c.wantAllJobsKnown()
		c.wantNoVanishedMachines()
	})
}
