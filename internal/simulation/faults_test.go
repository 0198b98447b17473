package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// The troubles of docs/troubles.md, each in stories of its own, and at the end of each what is
// checked at the end of a day: every accepted job is known to every controller.

// island cuts a controller off from the store and the other controllers, but not from workers.
func (c *cluster) island(i int, on bool) {
	c.mu.Lock()
	c.alone[i] = on
	c.mu.Unlock()
	hang := time.Duration(0)
	if on {
		hang = time.Second
	}
	if n := c.node(i); n != nil {
		n.client.Hang(hang)
	}
}

// known asks every controller for every accepted job as users do, every 5 s for 75 s at the
// most, and wants an answer to each within 2 s, and all done in the end.
func (c *cluster) known() {
	c.t.Helper()
	for i := range c.nodes {
		if c.node(i) == nil {
			continue
		}
		left := slices.Clone(c.asked)
		for range 15 {
			left = slices.DeleteFunc(left, func(id string) bool {
				began := time.Now()
				status, _ := c.ask(i, "poll", id)
				return status == 200 && time.Since(began) <= 2*time.Second
			})
			if len(left) == 0 {
				break
			}
			sleep(5)
		}
		if len(left) > 0 {
			c.t.Errorf("node %d answers nothing about %v", i, left)
		}
	}
	for _, id := range c.asked {
		for i := range c.nodes {
			if c.node(i) != nil {
				c.wantDone(i, id)
				break
			}
		}
	}
}

// view tells how the leader sees the machines.
func (c *cluster) view() []scheduler.MachineView {
	i := c.leading()
	if i < 0 {
		return nil
	}
	list, _ := c.node(i).leader.Machines("", 1000)
	return list
}

// noGhosts wants every machine that the leader or the store knows to be there, or given back.
func (c *cluster) noGhosts() {
	c.t.Helper()
	here := map[string]bool{}
	for _, m := range c.world.Machines() {
		here[m.Host] = true
	}
	for _, v := range c.view() {
		if !here[v.Name] && v.State != scheduler.MachineBooting && v.State != scheduler.MachineReturning {
			c.t.Errorf("the leader has %s as %s, which does not exist", v.Name, v.State)
		}
	}
}

// A machine that speaks and does not hear: it gets no starts once that shows, a gang begins
// elsewhere, it is given back if it stays so and used again if it hears.
func TestDeafMachine(t *testing.T) {
	spell := func(c *cluster, ms []*Machine, s float64) {
		for _, m := range ms {
			m.SetUnreachable(true)
		}
		sleep(s)
		for _, m := range ms {
			m.SetUnreachable(false)
		}
	}
	for name, story := range map[string]func(c *cluster){
		"holds a gang": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Shape: "group", Tasks: 6, CPUs: 4, EstimateS: 30})
			sleep(35)
			c.world.Machines()[0].SetUnreachable(true)
			sleep(90)
		},
		"from its boot": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Shape: "group", Tasks: 6, CPUs: 4, EstimateS: 30})
			for len(c.world.Machines()) == 0 {
				sleep(0.01)
			}
			c.world.Machines()[0].SetUnreachable(true)
			sleep(100)
			if started := c.world.Starts(); started < 6 {
				c.t.Errorf("the gang has not begun: %d starts", started)
			}
		},
		"across a takeover": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Tasks: 12, CPUs: 2, EstimateS: 30})
			c.submit(0, records.Job{ID: "j-2", Team: "limited", Tasks: 12, CPUs: 2, EstimateS: 30})
			sleep(33)
			c.world.Machines()[0].SetUnreachable(true)
			c.kill(c.leading())
			sleep(20)
			if lists := c.view(); !slices.ContainsFunc(lists, func(v scheduler.MachineView) bool { return v.State == scheduler.MachineUp }) {
				c.t.Error("no machine is up 20 s after the takeover")
			}
			sleep(90)
		},
		"a job on it is cancelled": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Tasks: 12, CPUs: 2, EstimateS: 30})
			c.submit(0, records.Job{ID: "j-2", Tasks: 4, CPUs: 2, EstimateS: 300})
			sleep(33)
			ms := c.world.Machines()
			for _, m := range ms {
				m.SetUnreachable(true)
			}
			c.ask(0, "withdraw", "j-2")
			c.asked = c.asked[:1]
			spell(c, ms, 31)
			sleep(90)
		},
		"hears again after 5 s": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Tasks: 60, CPUs: 2, EstimateS: 30})
			sleep(33)
			spell(c, c.world.Machines()[:2], 5)
			sleep(15)
			for _, v := range c.view() {
				if v.State == scheduler.MachineUnreachable {
					c.t.Errorf("%s hears and is taken for deaf", v.Name)
				}
			}
			sleep(120)
		},
		"a zone for two leases": func(c *cluster) {
			c.submit(0, records.Job{ID: "j-1", Tasks: 60, CPUs: 2, EstimateS: 30})
			sleep(33)
			spell(c, slices.DeleteFunc(c.world.Machines(), func(m *Machine) bool { return m.Zone != "a" }), 24)
			sleep(200)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playWith(t, func(c *cluster) {
				c.world.GangWait, c.world.GangPeer = 30*time.Second, 5*time.Second
				c.cfg.Deployment.Teams = append(c.cfg.Deployment.Teams, config.Team{Name: "limited", LimitCPUs: 100})
			}, func(c *cluster) {
				sleep(2)
				story(c)
				c.known()
				c.noGhosts()
			})
		})
	}
}

// Copies of reports come late, to the same and to other controllers: by 2 s to four leases,
// beside a takeover, machines given back, leases that end and a restart of all. No machine
// comes into being by them, and nothing runs twice.
func TestLateCopies(t *testing.T) {
	for _, x := range []struct {
		name string
		echo []time.Duration
	}{
		{"soon", []time.Duration{2 * time.Second, 5 * time.Second}},
		{"about a lease", []time.Duration{11 * time.Second, 14 * time.Second, 17 * time.Second}},
		{"four leases", []time.Duration{24 * time.Second, 48 * time.Second}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			play(t, func(c *cluster) {
				c.world.RunFor = mixed
				c.echoes(x.echo...)
				sleep(2)
				for n := range 3 {
					c.submit(n, records.Job{ID: fmt.Sprint("j-", n+1), Tasks: 60, CPUs: 2, EstimateS: 8})
				}
				sleep(35)
				c.kill(c.leading())
				sleep(10)
				c.world.Machines()[0].Die()
				sleep(20)
				for i := range 3 {
					c.kill(i)
				}
				sleep(1)
				for i := range 3 {
					c.boot(i)
				}
				sleep(60)
				// Until then machines are empty and have been given back, and the copies
				// of their reports go on coming. A new leader does not know them.
				sleep(20)
				c.submit(0, records.Job{ID: "j-9", Tasks: 4, CPUs: 4, EstimateS: 8})
				c.kill(c.leading())
				sleep(60)
				c.known()
				c.noGhosts()
			})
		})
	}
}

// A controller loses the store and the others, but not its workers.
func TestIsland(t *testing.T) {
	for _, who := range []string{"leader", "follower"} {
		for _, span := range []float64{5, 12, 90} {
			t.Run(fmt.Sprint(who, " for ", span, " s"), func(t *testing.T) {
				t.Parallel()
				play(t, func(c *cluster) {
					c.world.RunFor = func(string) time.Duration { return 40 * time.Second }
					sleep(2)
					c.submit(0, records.Job{ID: "j-1", Tasks: 40, CPUs: 2, EstimateS: 40})
					c.submit(1, records.Job{ID: "j-2", Tasks: 4, EstimateS: 300})
					sleep(33)
					old := c.leading()
					cut := old
					if who == "follower" {
						cut = (old + 1) % 3
					}
					killed, starts := lost(c), c.world.Starts()
					c.island(cut, true)
					sleep(4)
					if span > 5 {
						// Its users are turned away at once.
						sleep(3)
						began := time.Now()
						if status, _ := c.ask(cut, "poll", "j-1"); status != 503 || time.Since(began) > time.Second/4 {
							t.Errorf("a poll at the island: %d after %v", status, time.Since(began))
						}
						if c.node(cut).server.Ready() {
							t.Error("the island is ready")
						}
					}
					c.ask((cut+1)%3, "withdraw", "j-2")
					c.asked = c.asked[:1]
					sleep(max(span-7, 1))
					if n := lost(c) - killed; n > 0 {
						t.Errorf("%d tasks were lost by their lease, of %d", n, starts)
					}
					c.world.CheckEnd()
					c.island(cut, false)
					sleep(120)
					c.known()
					c.noGhosts()
				})
			})
		}
	}
}

// lost counts the tasks that ended with their machine or lease.
func lost(c *cluster) int {
	n := 0
	ran, _ := c.world.History()
	for _, r := range ran {
		if r.Cause == "lost" {
			n++
		}
	}
	return n
}

// A process is back within a fraction of a second, in mid-election too; a machine with its
// counters at the start.
func TestBackAtOnce(t *testing.T) {
	back := func(c *cluster, pause float64, nodes ...int) {
		for _, i := range nodes {
			c.kill(i)
		}
		sleep(pause)
		for _, i := range nodes {
			c.boot(i)
		}
	}
	for name, story := range map[string]func(c *cluster){
		"the leader":        func(c *cluster) { back(c, 0.05, c.leading()) },
		"the leader, later": func(c *cluster) { back(c, 0.9, c.leading()) },
		"the leader with a commit under way": func(c *cluster) {
			c.node(c.leading()).client.LoseAnswers(3, 2*time.Second)
			sleep(0.6)
			back(c, 0.05, c.leading())
		},
		"the leader twice": func(c *cluster) {
			i := c.leading()
			back(c, 0.1, i)
			sleep(0.3)
			back(c, 0.1, i)
		},
		"two at once": func(c *cluster) { i := c.leading(); back(c, 0.2, i, (i+1)%3) },
		"all":         func(c *cluster) { back(c, 0.2, 0, 1, 2) },
		"in an election": func(c *cluster) {
			i := c.leading()
			c.kill(i)
			for c.leading() < 0 {
				sleep(0.01)
			}
			back(c, 0.05, c.leading())
			c.boot(i)
		},
		"a machine":     func(c *cluster) { anew(c, c.world.Machines()[:1]) },
		"most machines": func(c *cluster) { anew(c, c.world.Machines()) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t, func(c *cluster) {
				sleep(2)
				c.submit(0, records.Job{ID: "j-1", Tasks: 40, CPUs: 2, EstimateS: 30})
				c.submit(1, records.Job{ID: "j-2", Shape: "group", Tasks: 4, CPUs: 2, EstimateS: 30})
				sleep(33)
				story(c)
				c.submit(2, records.Job{ID: "j-3", Tasks: 4, EstimateS: 30})
				sleep(200)
				c.known()
				c.noGhosts()
			})
		})
	}
}

// anew has machines back at once with their counters at the start, and wants them in use
// again within a few reports.
func anew(c *cluster, ms []*Machine) {
	for _, m := range ms {
		m.Reboot()
	}
	states := func() map[string]int {
		n := map[string]int{}
		for _, v := range c.view() {
			if slices.ContainsFunc(ms, func(m *Machine) bool { return m.Host == v.Name }) {
				n[v.State]++
			}
		}
		return n
	}
	sleep(5)
	if n := states()[scheduler.MachineUp]; n != len(ms) {
		c.t.Errorf("%d machines of %d are in use again: %v", n, len(ms), states())
	}
}

// New troubles and old ones together, in any order: no rule breaks, and every job is known
// and done in the end.
func TestNewTroublesInAnyOrder(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 32))
			playWith(t, func(c *cluster) { c.world.Capacity = 8 }, func(c *cluster) {
				c.world.RunFor = mixed
				c.echoes(time.Duration(1+r.IntN(60)) * time.Second)
				sleep(2)
				jobs := 0
				for range 10 {
					for i := range 3 {
						if c.node(i) != nil && c.submit(i, records.Job{ID: fmt.Sprint("j-", jobs+1), Tasks: 10 + r.IntN(40), CPUs: float64(1 + r.IntN(4)), EstimateS: 8}) == 201 {
							jobs++
							break
						}
					}
					newTrouble(c, r)
					if r.IntN(2) == 0 {
						trouble(c, r)
					}
				}
				calm(c)
				sleep(300)
				c.known()
				c.noGhosts()
				if len(c.asked) == 0 {
					t.Error("no job was accepted")
				}
			})
		})
	}
}

func newTrouble(c *cluster, r *rand.Rand) {
	ms := c.world.Machines()
	switch i := r.IntN(3); r.IntN(4) {
	case 0:
		for _, m := range ms {
			m.SetUnreachable(r.IntN(3) == 0)
		}
		sleep(float64(1 + r.IntN(25)))
		for _, m := range ms {
			m.SetUnreachable(false)
		}
	case 1:
		if c.node(i) != nil {
			c.island(i, true)
			sleep(float64(1 + r.IntN(40)))
			if c.node(i) != nil {
				c.island(i, false)
			}
		}
	case 2:
		if c.node(i) != nil {
			c.kill(i)
			sleep(r.Float64())
			c.boot(i)
		}
		sleep(float64(r.IntN(6)))
	case 3:
		for _, m := range ms {
			if r.IntN(4) == 0 {
				m.Reboot()
			}
		}
		sleep(float64(r.IntN(8)))
	}
}

// calm ends all troubles.
func calm(c *cluster) {
	c.mu.Lock()
	clear(c.alone)
	clear(c.slow)
	clear(c.only)
	clear(c.deaf)
	c.keeps, c.looks = nil, nil // copies that come late go on coming
	c.mu.Unlock()
	c.state.Outage(false)
	for i, name := range strings.Fields(names)[:len(c.nodes)] {
		c.state.Refuse(name, false)
		if c.node(i) == nil {
			c.boot(i)
		}
		n := c.node(i).client
		n.Hang(0)
		n.LateWrites(nil)
		n.Slow(0)
	}
	c.world.Hold(nil)
	for _, z := range []string{"a", "b"} {
		c.world.PartitionZone(z, false)
		c.world.CloseZone(z, false)
	}
	for _, m := range c.world.Machines() {
		m.Hang(false)
		m.SetUnreachable(false)
		m.SetIsolated(false)
	}
}
