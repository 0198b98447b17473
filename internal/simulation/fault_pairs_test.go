package simulation

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// What must hold where two faults meet (docs/meetings.md has a row for each pair, and names the tests of the others).

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
				checkRecords(c)
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
							c.ask(i, "poll", fmt.Sprint("j-", n+1)) // the environment checks the answers
						}
					}
				}
				sleep(120)
				c.wantAllKnown()
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
					c.submit(1, records.Job{ID: "j-2", Shape: "group", Tasks: 4, CPUs: 2, EstimateS: 120})
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
									m.Hang(on)
								}
							}
						}
					}
					set(true)
					sleep(1)
					l := c.leaderIndex()
					c.killNode(l)
					sleep(2)
					c.ask((l+1)%3, "withdraw", "j-3")
					c.expectCancelled("j-3")
					sleep(span - 3)
					c.startNode(l)
					set(false)
					sleep(420)
					c.wantAllKnown()
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
				checkRecords(c)
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
							if _, st := c.ask((n+1)%3, "withdraw", id); st == "cancelled" {
								c.expectCancelled(id)
							}
						}
						c.ask((n+2)%3, "poll", fmt.Sprint("j-", 1+n/2))
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
					if _, st := c.ask(0, "withdraw", id); st == "cancelled" {
						c.expectCancelled(id)
					}
				}
				sleep(200)
				c.wantAllKnown()
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

// Each fault pair of docs/meetings.md by itself, three times in a day. -fault-pairs 60 runs ten seeds
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
			c.keepCopies(r.Uint64())
		}
		checkRecords(c)
		sleep(2)
		for range times {
			for range 1 + r.IntN(2) {
				randomJob(c, r)
			}
			inject(c, r)
		}
		endFaults(c)
		sleep(20)
		for _, id := range c.unansweredCancels {
			if status, st := c.ask(0, peer.MethodCancel, id); st == "cancelled" {
				c.expectCancelledWithDependents(id)
			} else if status != 200 && status != 404 {
				t.Errorf("withdraw %s, once more: %d", id, status)
			}
		}
		if status := c.submit(0, records.Job{ID: "j-9999", Tasks: 4, EstimateS: 8}); status != 201 {
			t.Errorf("a job after all faults: %d", status)
		}
		sleep(600)
		c.wantAllKnown()
		c.wantNoVanishedMachines()
	})
}

// randomJob has users submit a job somewhere, and maybe cancel an older one.
func randomJob(c *cluster, r *rand.Rand) {
	c.mu.Lock()
	n, asked := len(c.jobs)+1, slices.Clone(c.expectedDone)
	c.mu.Unlock()
	j := records.Job{ID: fmt.Sprint("j-", n), Tasks: 2 + r.IntN(20), CPUs: float64(1 + r.IntN(4)), EstimateS: 10}
	switch r.IntN(4) {
	case 0:
		j.Shape, j.Tasks, j.CPUs = "group", 2+r.IntN(3), 2
		if r.IntN(2) == 0 {
			j.CheckpointS, j.SaveS = 10, 3
		}
	case 1:
		if len(asked) > 0 {
			j.Dependencies = []string{asked[r.IntN(len(asked))]}
		}
	case 2:
		zone := []string{"a", "b"}[r.IntN(2)]
		switch r.IntN(4) {
		case 0:
			j.Team = "limited"
		case 1:
			j.OneZone, j.Tasks = true, min(j.Tasks, 6)
		case 2:
			j.SpreadZones = true
		case 3:
			j.Zone = &zone
		}
	}
	c.offer(n%3, j) // whether it is accepted or its user gives up: no other job gets that id
	if r.IntN(3) == 0 && n > 3 {
		c.cancel(r.IntN(3), fmt.Sprint("j-", 1+r.IntN(n)))
	}
}

// offer submits a job at a node, and at the next where that does not take it.
func (c *cluster) offer(i int, j records.Job) {
	for k := range 3 {
		if status := c.submit((i+k)%3, j); status == 201 || status == 200 {
			return
		}
	}
}

// cancel has a user cancel a job, who asks again in the end if nobody answers.
func (c *cluster) cancel(i int, id string) {
	switch status, st := c.ask(i, peer.MethodCancel, id); {
	case st == "cancelled":
		c.expectCancelledWithDependents(id)
	case status != 200:
		c.mu.Lock()
		c.unansweredCancels = append(c.unansweredCancels, id)
		c.mu.Unlock()
	}
}

// cancelSome has users cancel that many of the jobs that were accepted, at any nodes.
func (c *cluster) cancelSome(r *rand.Rand, n int) {
	for range n {
		c.mu.Lock()
		asked := slices.Clone(c.expectedDone)
		c.mu.Unlock()
		if len(asked) == 0 {
			return
		}
		// The latest are those that still run.
		c.cancel(r.IntN(3), asked[max(len(asked)-1-r.IntN(5), 0)])
	}
}

// expectCancelledWithDependents takes a cancelled job, and all that need it, from those asked about in the end.
func (c *cluster) expectCancelledWithDependents(id string) {
	c.expectCancelled(id)
	c.mu.Lock()
	var behind []string
	for x, j := range c.jobs {
		if slices.Contains(j.Dependencies, id) {
			behind = append(behind, x)
		}
	}
	c.mu.Unlock()
	for _, x := range behind {
		c.expectCancelledWithDependents(x)
	}
}

// after does something a while later. A goroutine that sleeps, not a timer's: under the race detector
// tens of thousands of those in one process end it (Go 1.26, a fault in its record of stacks).
func after(d time.Duration, do func()) {
	go func() {
		time.Sleep(d)
		do()
	}()
}

// pollAggressively has users ask at all nodes, again and again within milliseconds, and repeat the
// submission, whenever a job was accepted, ended or cancelled; some cancel at once.
func (c *cluster) pollAggressively(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onJobEvent = func(event, id string) {
		c.mu.Lock()
		j := c.jobs[id]
		c.mu.Unlock()
		mu.Lock()
		cancels := r.IntN(8) == 0
		from := r.IntN(3)
		mu.Unlock()
		for i := range 3 {
			for _, ms := range []int{0, 1, 4, 20} {
				after(time.Duration(ms)*time.Millisecond, func() { c.ask(i, peer.MethodPoll, id) })
			}
			after(2*time.Millisecond, func() { c.submit(i, j) })
		}
		if event == records.StatusDone && cancels {
			after(time.Millisecond, func() { c.ask(from, peer.MethodCancel, id) }) // it is done, and stays so
		}
		if event == "accepted" {
			after(3*time.Millisecond, func() { c.submitInvalid(from, j) })
		}
		if event == "accepted" && cancels {
			after(time.Millisecond, func() { c.cancel(from, id) })
		}
	}
}

// submitInvalid sends submissions that lack a field, fit no machine or are of no team, each under an id that
// nobody else uses.
func (c *cluster) submitInvalid(i int, j records.Job) {
	for k, change := range []func(m map[string]any){
		func(m map[string]any) { delete(m, "vcpus") },
		func(m map[string]any) { delete(m, "guess_s") },
		func(m map[string]any) { m["shots"] = "2" },
		func(m map[string]any) { m["vcpus"] = 99.0 },
		func(m map[string]any) { m["owner"] = "nobody" },
		func(m map[string]any) { m["rigs"] = []string{"none"} },
	} {
		var m map[string]any
		raw, _ := json.Marshal(j)
		_ = json.Unmarshal(raw, &m)
		m["uid"] = fmt.Sprint(j.ID, "000", k)
		change(m)
		raw, _ = json.Marshal(m)
		asked := time.Now()
		status, _ := c.request(i, peer.RelayRequest{Method: peer.MethodSubmit, Body: raw})
		c.env.NoteSubmission(m["uid"].(string), status, asked)
	}
}

// keepCopies keeps copies of a third of the heartbeats for the next leader.
func (c *cluster) keepCopies(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 4))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepsCopy = func() bool { return r.IntN(3) == 0 }
}

// randomBootTimes has most machines up within two seconds.
func randomBootTimes(seed uint64) func() time.Duration {
	r := rand.New(rand.NewPCG(seed, 5))
	var mu sync.Mutex
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if r.IntN(4) == 0 {
			return 20 * time.Second
		}
		return time.Duration(200+r.IntN(1800)) * time.Millisecond
	}
}

// randomLateWrites has half of a controller's transactions carried out 2 to 12 s late.
func randomLateWrites(seed uint64) func() (time.Duration, bool) {
	r := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	return func() (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		return 2*time.Second + time.Duration(r.IntN(10_000))*time.Millisecond, r.IntN(2) == 0
	}
}

// randomCommandDelays holds direct commands and their answers up, some for seconds, so that the machine goes
// on before they come; many are not.
func randomCommandDelays(seed uint64) func() (command, answer time.Duration) {
	r := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	span := func() time.Duration {
		if r.IntN(3) > 0 {
			return 0
		}
		return time.Duration(r.IntN(15_000)) * time.Millisecond
	}
	return func() (time.Duration, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		return span(), span()
	}
}
