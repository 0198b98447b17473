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

// What must hold where two faults meet (docs/faults.md has a row for each pair, and names the tests of the others).

var faultPairSeeds = flag.Uint64("fault-pairs", 6, "days of random fault pairs to run")

// Jobs of two and three tasks end far apart across changes of leader, with transactions that
// are carried out late: done only when all are, nothing done is run again while its result is
// known, none forgotten.
func TestFailoverWithLateCommitsForgetsNoCompletedTask(t *testing.T) {
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
				// The first tasks end from 29 s on; the leader ends at some moment around that,
				// with its last transactions late or lost, and the next one later.
				sleep(25 + 6*r.Float64())
				for range 3 {
					l := c.leaderIndex()
					c.node(l).client.SetLateWrites(randomLateWrites(r.Uint64()))
					sleep(4 * r.Float64())
					c.killNode(l)
					sleep(r.Float64())
					c.startNode(l)
					sleep(10)
					for i := range 3 {
						if c.node(i) == nil {
							t.Fatalf("node %d is down", i)
						}
						for n := range 8 {
							c.ask(i, peer.MethodPoll, fmt.Sprint("j-", n+1)) // the environment checks the answers
						}
					}
				}
				sleep(120)
				c.wantAllJobsKnown()
				c.wantNoVanishedMachines()
				if got := c.env.Starts(); got != 20 {
					t.Errorf("%d starts of 20 tasks: what was done, or ran, was begun again", got)
				}
			})
		})
	}
}

// A leader ends while machines with long tasks cannot be reached, or are not reached by what the new
// one answers; they come back before their lease ends or after, to any controller.
func TestMachinesUnreachableAcrossFailover(t *testing.T) {
	for _, how := range []string{"partitioned", "unreachable", "hanging"} {
		for _, span := range []float64{6, 10, 20, 45} {
			t.Run(fmt.Sprint(how, " for ", span, " s"), func(t *testing.T) {
				t.Parallel()
				runScenarioWith(t, func(c *cluster) { c.env.ZoneCapacity = 6 }, func(c *cluster) {
					c.env.RunTime = func(string) time.Duration { return 120 * time.Second }
					c.copyHeartbeats(3*time.Second, 15*time.Second)
					sleep(2)
					c.submit(0, records.Job{ID: "j-1", Tasks: 20, CPUs: 2, EstimateS: 120})
					c.submit(1, records.Job{ID: "j-2", Shape: records.ShapeGang, Tasks: 4, CPUs: 2, EstimateS: 120})
					c.submit(2, records.Job{ID: "j-3", Tasks: 30, CPUs: 2, EstimateS: 120})
					sleep(36)
					set := func(on bool) {
						switch how {
						case "partitioned":
							c.env.PartitionZone("b", on)
						default:
							for _, m := range c.env.Machines() {
								if m.Zone != "b" {
								} else if how == "unreachable" {
									m.SetUnreachable(on)
								} else {
									m.SetHung(on)
								}
							}
						}
					}
					set(true)
					sleep(1)
					l := c.leaderIndex()
					c.killNode(l)
					sleep(2)
					c.ask((l+1)%3, peer.MethodCancel, "j-3")
					c.expectCancelled("j-3")
					sleep(span - 3)
					c.startNode(l)
					set(false)
					sleep(420)
					c.wantAllJobsKnown()
					c.wantNoVanishedMachines()
				})
			})
		}
	}
}

// The store is slow, down to no answer in time, then refuses the leader alone and then everybody
// for longer than a cancellation may take, while users cancel and ask.
func TestSlowStore(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			t.Parallel()
			runScenario(t, func(c *cluster) {
				c.env.RunTime = mixedRunTime
				installRecordCheck(c)
				sleep(2)
				n := 0
				all := func(d time.Duration) {
					for i := range 3 {
						c.node(i).client.SetDelay(d)
					}
				}
				// users submit, cancel every other job and ask, for so many seconds.
				users := func(s int) {
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
				users(30)
				all(slow)
				users(20)
				old := max(c.leaderIndex(), 0)
				c.store.SetRefused(c.env.Nodes[old], true)
				users(4)
				c.store.SetOutage(true)
				users(36)
				c.store.SetOutage(false)
				c.store.SetRefused(c.env.Nodes[old], false)
				users(10)
				all(0)
				// What was cancelled without an answer is cancelled now.
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

// A day of random fault pairs: two or three faults at a time, drawn from a seed, with users who
// submit and cancel all along. -fault-pairs 200 runs many.
func TestRandomFaultPairs(t *testing.T) {
	for seed := range *faultPairSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runFaultPairs(t, rand.New(rand.NewPCG(seed, 36)), 12, func(c *cluster, r *rand.Rand) {
				faultPairs[r.IntN(len(faultPairs))].inject(c, r)
				for k := range 3 {
					if c.node(k) == nil && r.IntN(2) == 0 {
						c.startNode(k)
					}
				}
				sleep(float64(r.IntN(12)))
			})
		})
	}
}

// Each fault pair of docs/faults.md by itself, three times in a day. -fault-pairs 60 runs ten seeds
// of each.
func TestEachFaultPair(t *testing.T) {
	for i, m := range faultPairs {
		for seed := range max(*faultPairSeeds/6, 1) {
			t.Run(fmt.Sprint(m.name, " ", seed), func(t *testing.T) {
				t.Parallel()
				runFaultPairs(t, rand.New(rand.NewPCG(seed, 100+uint64(i))), 3, func(c *cluster, r *rand.Rand) {
					m.inject(c, r)
					for k := range 3 {
						if c.node(k) == nil {
							c.startNode(k)
						}
					}
					sleep(float64(10 + r.IntN(10)))
				})
			})
		}
	}
}

// runFaultPairs runs a day with faults that are brought about several times, and then none:
// every job that was accepted is known, done, and was not left waiting beside room.
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
				t.Errorf("withdraw %s, once more: %d", id, status)
			}
		}
		if status := c.submit(0, records.Job{ID: "j-9999", Tasks: 4, EstimateS: 8}); status != 201 {
			t.Errorf("a job after all faults: %d", status)
		}
		sleep(600)
		c.wantAllJobsKnown()
		c.wantNoVanishedMachines()
	})
}
