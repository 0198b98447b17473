package standin

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ledger"
)

// Where two troubles meet (docs/meetings.md has a row for each, and the tests of the others).

var meetingSeeds = flag.Uint64("meetings", 6, "days of random meetings to play")

// Jobs of two and three tasks end far apart across changes of leader, with transactions that
// are carried out late: done only when all are, nothing done is run again while its result is
// known, none forgotten.
func TestFarApart(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, func(c *cluster) {
				r := rand.New(rand.NewPCG(seed, 6))
				c.world.RunFor = func(task string) time.Duration {
					if task[len(task)-1] == '0' {
						return 5 * time.Second
					}
					return 70 * time.Second
				}
				record(c)
				sleep(2)
				for n := range 8 {
					c.submit(n%3, ledger.Job{ID: fmt.Sprint("j-", n+1), Tasks: 2 + n%2, CPUs: 2, EstimateS: 70})
				}
				// The first tasks end from 29 s on; the leader ends at some moment around that,
				// with its last transactions late or lost, and the next one later.
				sleep(25 + 6*r.Float64())
				for range 3 {
					l := c.leading()
					c.node(l).client.LateWrites(lateBy(r.Uint64()))
					sleep(4 * r.Float64())
					c.kill(l)
					sleep(r.Float64())
					c.boot(l)
					sleep(10)
					for i := range 3 {
						if c.node(i) == nil {
							t.Fatalf("node %d is down", i)
						}
						for n := range 8 {
							c.ask(i, "poll", fmt.Sprint("j-", n+1)) // Told checks what comes
						}
					}
				}
				sleep(120)
				c.known()
				c.noGhosts()
				if got := c.world.Starts(); got != 20 {
					t.Errorf("%d starts of 20 tasks: what was done, or ran, was begun again", got)
				}
			})
		})
	}
}

// A leader ends while machines with long tasks cannot be reached, or do not hear what the new
// one answers; they come back before their lease ends or after, to any controller.
func TestUnreachableAcrossTakeover(t *testing.T) {
	for _, how := range []string{"cut", "deaf", "hang"} {
		for _, span := range []float64{6, 10, 20, 45} {
			t.Run(fmt.Sprint(how, " for ", span, " s"), func(t *testing.T) {
				t.Parallel()
				playWith(t, func(c *cluster) { c.world.Capacity = 6 }, func(c *cluster) {
					c.world.RunFor = func(string) time.Duration { return 120 * time.Second }
					c.echo = []time.Duration{3 * time.Second, 15 * time.Second}
					sleep(2)
					c.submit(0, ledger.Job{ID: "j-1", Tasks: 20, CPUs: 2, EstimateS: 120})
					c.submit(1, ledger.Job{ID: "j-2", Shape: "group", Tasks: 4, CPUs: 2, EstimateS: 120})
					c.submit(2, ledger.Job{ID: "j-3", Tasks: 30, CPUs: 2, EstimateS: 120})
					sleep(36)
					set := func(on bool) {
						switch how {
						case "cut":
							c.world.Cut("b", on)
						default:
							for _, m := range c.world.Machines() {
								if m.Zone != "b" {
								} else if how == "deaf" {
									m.Deafen(on)
								} else {
									m.Hang(on)
								}
							}
						}
					}
					set(true)
					sleep(1)
					l := c.leading()
					c.kill(l)
					sleep(2)
					c.ask((l+1)%3, "withdraw", "j-3")
					c.forget("j-3")
					sleep(span - 3)
					c.boot(l)
					set(false)
					sleep(420)
					c.known()
					c.noGhosts()
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
			play(t, func(c *cluster) {
				c.world.RunFor = mixed
				record(c)
				sleep(2)
				n := 0
				all := func(d time.Duration) {
					for i := range 3 {
						c.node(i).client.Slow(d)
					}
				}
				// users submit, cancel every other job and ask, for so many seconds.
				users := func(s int) {
					for range s / 2 {
						n++
						id := fmt.Sprint("j-", n)
						c.submit(n%3, ledger.Job{ID: id, Tasks: 6, CPUs: 2, EstimateS: 8})
						if n%2 == 0 {
							if _, st := c.ask((n+1)%3, "withdraw", id); st == "cancelled" {
								c.forget(id)
							}
						}
						c.ask((n+2)%3, "poll", fmt.Sprint("j-", 1+n/2))
						sleep(2)
					}
				}
				users(30)
				all(slow)
				users(20)
				old := max(c.leading(), 0)
				c.state.Refuse(c.world.Nodes[old], true)
				users(4)
				c.state.Outage(true)
				users(36)
				c.state.Outage(false)
				c.state.Refuse(c.world.Nodes[old], false)
				users(10)
				all(0)
				// What was cancelled without an answer is cancelled now.
				for i := 2; i <= n; i += 2 {
					id := fmt.Sprint("j-", i)
					if _, st := c.ask(0, "withdraw", id); st == "cancelled" {
						c.forget(id)
					}
				}
				sleep(200)
				c.known()
				c.noGhosts()
			})
		})
	}
}

// A day of random meetings: two or three troubles at a time, drawn from a seed, with users who
// submit and cancel all along. -meetings 200 plays many.
func TestMeetings(t *testing.T) {
	for seed := range *meetingSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 36))
			playWith(t, func(c *cluster) {
				c.world.Capacity = 8
				c.world.GangWait, c.world.GangPeer = 30*time.Second, 5*time.Second
				c.cfg.Facts.Teams = append(c.cfg.Facts.Teams, config.Team{Name: "limited", CPUsMax: 20})
				if r.IntN(3) == 0 {
					c.plain[r.IntN(3)] = true
				}
			}, func(c *cluster) {
				c.world.RunFor = func(task string) time.Duration { return time.Duration(1+len(task)%3) * mixed(task) }
				if r.IntN(2) == 0 {
					c.echo = []time.Duration{time.Duration(1+r.IntN(30)) * time.Second}
				}
				if r.IntN(2) == 0 {
					c.world.Hold(heldBy(r.Uint64()))
				}
				record(c)
				sleep(2)
				n := 0
				for range 12 {
					for range 1 + r.IntN(2) {
						randomJob(c, r, &n)
					}
					meeting(c, r)
					sleep(float64(r.IntN(12)))
				}
				calm(c)
				c.world.Hold(nil)
				for i := range c.nodes {
					c.node(i).client.LateWrites(nil)
					c.node(i).client.Slow(0)
				}
				sleep(20)
				for _, id := range c.again {
					if status, st := c.ask(0, "withdraw", id); st == "cancelled" {
						c.cancelledWith(id)
					} else if status != 200 && status != 404 {
						t.Errorf("withdraw %s, once more: %d", id, status)
					}
				}
				if status := c.submit(0, ledger.Job{ID: "j-9999", Tasks: 4, EstimateS: 8}); status != 201 {
					t.Errorf("a job after all troubles: %d", status)
				}
				sleep(600)
				c.known()
				c.noGhosts()
			})
		})
	}
}

// randomJob has users submit a job somewhere, and maybe cancel an older one.
func randomJob(c *cluster, r *rand.Rand, n *int) {
	j := ledger.Job{ID: fmt.Sprint("j-", *n+1), Tasks: 2 + r.IntN(20), CPUs: float64(1 + r.IntN(4)), EstimateS: 10}
	switch r.IntN(4) {
	case 0:
		j.Shape, j.Tasks, j.CPUs = "group", 2+r.IntN(3), 2
		if r.IntN(2) == 0 {
			j.CheckpointS, j.SaveS = 10, 3
		}
	case 1:
		if len(c.asked) > 0 {
			j.Prereqs = []string{c.asked[r.IntN(len(c.asked))]}
		}
	case 2:
		zone := []string{"a", "b"}[r.IntN(2)]
		switch r.IntN(4) {
		case 0:
			j.Team = "limited"
		case 1:
			j.OneZone, j.Tasks = true, min(j.Tasks, 6)
		case 2:
			j.Apart = true
		case 3:
			j.Zone = &zone
		}
	}
	*n++ // whether it is accepted or its user gives up: no other job gets that id
	for k := range 3 {
		if i := (*n + k) % 3; c.node(i) != nil && c.submit(i, j) == 201 {
			break
		}
	}
	if i := r.IntN(3); r.IntN(3) == 0 && *n > 3 && c.node(i) != nil {
		c.withdraw(i, fmt.Sprint("j-", 1+r.IntN(*n)))
	}
}

// withdraw has a user cancel a job, who asks again in the end if nobody answers.
func (c *cluster) withdraw(i int, id string) {
	switch status, st := c.ask(i, "withdraw", id); {
	case st == "cancelled":
		c.cancelledWith(id)
	case status != 200:
		c.again = append(c.again, id)
	}
}

// cancelledWith takes a cancelled job, and all that need it, from those asked about in the end.
func (c *cluster) cancelledWith(id string) {
	c.forget(id)
	c.mu.Lock()
	var behind []string
	for x, j := range c.jobs {
		for _, p := range j.Prereqs {
			if p == id {
				behind = append(behind, x)
			}
		}
	}
	c.mu.Unlock()
	for _, x := range behind {
		c.cancelledWith(x)
	}
}

// lateBy has half of a controller's transactions carried out 2 to 12 s late.
func lateBy(seed uint64) func() (time.Duration, bool) {
	r := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	return func() (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		return 2*time.Second + time.Duration(r.IntN(10_000))*time.Millisecond, r.IntN(2) == 0
	}
}

// heldBy holds direct commands and their answers up, some for seconds, so that the machine goes
// on before they come; many are not.
func heldBy(seed uint64) func() (command, answer time.Duration) {
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

// meeting brings troubles about that overlap.
func meeting(c *cluster, r *rand.Rand) {
	l := max(c.leading(), 0)
	i := r.IntN(3)
	switch r.IntN(8) {
	case 0: // refused alone, then dark for all
		c.state.Refuse(c.world.Nodes[l], true)
		sleep(3 * r.Float64())
		if k := (l + 1) % 3; c.node(k) != nil && len(c.asked) > 0 {
			c.withdraw(k, c.asked[r.IntN(len(c.asked))])
		}
		c.state.Outage(true)
		sleep(float64(r.IntN(45)))
		if r.IntN(2) == 0 {
			trouble(c, r)
		}
		c.state.Refuse(c.world.Nodes[l], false)
		c.state.Outage(false)
	case 1: // late transactions, and the leader ends
		late := func(k int) {
			if c.node(k) != nil {
				c.node(k).client.LateWrites(lateBy(r.Uint64()))
			}
		}
		for k := range 3 {
			late(k)
		}
		sleep(float64(r.IntN(15)))
		c.kill(l)
		sleep(2 * r.Float64())
		c.boot(l)
	case 2: // an island, and cancellations elsewhere
		if c.node(l) != nil {
			c.island(l, true)
			sleep(float64(4 + r.IntN(12)))
			if k := (l + 1) % 3; c.node(k) != nil && len(c.asked) > 0 {
				c.withdraw(k, c.asked[r.IntN(len(c.asked))])
			}
			sleep(float64(r.IntN(30)))
			if c.node(l) != nil {
				c.island(l, false)
			}
		}
	case 3: // a slow store, and anything
		if c.node(i) != nil {
			c.node(i).client.Slow(time.Duration(r.IntN(3000)) * time.Millisecond)
		}
		trouble(c, r)
		sleep(float64(r.IntN(10)))
		if c.node(i) != nil {
			c.node(i).client.Slow(0)
		}
	case 4: // all end, one is back at once
		for k := range 3 {
			c.kill(k)
		}
		sleep(r.Float64())
		c.boot(i)
		sleep(float64(r.IntN(10)))
		for k := range 3 {
			if c.node(k) == nil {
				c.boot(k)
			}
		}
	case 5: // machines that nobody reaches or that hear nothing, and a takeover
		z := []string{"a", "b"}[r.IntN(2)]
		deaf := r.IntN(2) == 0
		for _, m := range c.world.Machines() {
			if deaf && m.Zone == z {
				m.Deafen(true)
			}
		}
		c.world.Cut(z, !deaf)
		sleep(float64(r.IntN(4)))
		c.kill(l)
		sleep(float64(r.IntN(30)))
		c.boot(l)
		c.world.Cut(z, false)
		for _, m := range c.world.Machines() {
			m.Deafen(false)
		}
	case 6:
		newTrouble(c, r)
		trouble(c, r)
	case 7: // hand over and back
		for range 3 {
			if k := c.leading(); k >= 0 {
				c.kill(k)
				sleep(r.Float64())
				c.boot(k)
				sleep(float64(r.IntN(6)))
			}
		}
	}
	for k := range 3 {
		if c.node(k) == nil && r.IntN(2) == 0 {
			c.boot(k)
		}
	}
}
