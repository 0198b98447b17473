package simulation

import (
	"testing"
	"time"

	"drumpick/internal/records"
)

// The gap: the store refuses the leader alone, another controller confirms cancellations, and
// then the store is down for all, for longer than a cancellation may take, while workers report
// to the old leader. The cancelled jobs' tasks are gone in time in every story; where the other
// controllers can tell which these are, nothing else is lost.

type gap struct {
	c      *cluster
	leader int
	other  int // the controller that confirms
	starts int
}

// cancel has a user cancel jobs at a controller.
func (g *gap) cancel(i int, ids ...string) {
	g.c.t.Helper()
	for _, id := range ids {
		if _, st := g.c.ask(i, "withdraw", id); st != "cancelled" {
			g.c.t.Errorf("withdraw %s at node %d: %q", id, i, st)
		}
		g.c.forget(id)
	}
}

// dark has the store refuse the leader, another controller confirm cancellations, and then the
// store down for all.
func (g *gap) dark(after float64, ids ...string) {
	g.refuse(g.leader, true)
	g.cancel(g.other, ids...)
	sleep(after)
	g.c.state.Outage(true)
}

// goneIn wants the jobs' tasks gone so many seconds later, and lets the outage last.
func (g *gap) goneIn(s float64, ids ...string) {
	sleep(s)
	g.gone(ids...)
	sleep(40)
}

// apart cuts a controller off from the others, or no more.
func (g *gap) apart(i int, on bool) {
	g.c.mu.Lock()
	g.c.alone[i] = on
	g.c.mu.Unlock()
}

func (g *gap) refuse(i int, on bool) { g.c.state.Refuse(g.c.world.Nodes[i], on) }

// kept wants no task lost by its lease so far; gone wants none of a job on any machine.
func (g *gap) kept() {
	g.c.t.Helper()
	if n := lost(g.c); n > 0 {
		g.c.t.Errorf("%d tasks of jobs that nobody cancelled were lost by their lease, of %d", n, g.starts)
	}
}

func (g *gap) gone(ids ...string) {
	g.c.t.Helper()
	for _, m := range g.c.world.Machines() {
		g.c.world.mu.Lock()
		for _, s := range m.tasks {
			for _, id := range ids {
				if s.id.Job == id && s.status != "ended" && time.Since(m.lastSent) <= g.c.world.Lease {
					g.c.t.Errorf("%s is still on %s (%s)", s.task, m.Host, s.status)
				}
			}
		}
		g.c.world.mu.Unlock()
	}
}

// TestGap plays them. As it was, the first cancellation told while the leader was refused cost
// all work its leases; and the tasks of what was cancelled ran on until these ended.
func TestGap(t *testing.T) {
	stories := map[string]struct {
		nodes int
		cost  bool // work may be lost: somebody who may have told is away
		play  func(g *gap)
	}{
		"the refusal ends in the outage": {play: func(g *gap) {
			g.dark(1, "j-1", "j-2")
			sleep(8)
			g.gone("j-1", "j-2")
			g.refuse(g.leader, false)
			sleep(40)
		}},
		"the refusal ends before the outage": {play: func(g *gap) {
			g.refuse(g.leader, true)
			g.cancel(g.other, "j-1")
			sleep(0.5)
			g.refuse(g.leader, false)
			sleep(0.1)
			g.c.state.Outage(true)
			g.goneIn(8, "j-1")
		}},
		"the outage comes just before the grant ends": {play: func(g *gap) {
			g.refuse(g.leader, true)
			g.cancel(g.other, "j-1")
			// As it was, the leader stepped down as soon as it was sure that others are served.
			for _, until := g.c.node(g.leader).ten.Term(); time.Until(until) > 100*time.Millisecond; {
				g.c.ask(g.other, "poll", "j-2")
				sleep(0.05)
			}
			g.c.state.Outage(true)
			sleep(45)
			g.gone("j-1")
		}},
		"the refusal outlasts the outage": {play: func(g *gap) {
			g.dark(1, "j-1")
			sleep(40)
			g.gone("j-1")
			g.c.state.Outage(false)
			sleep(30)
			g.refuse(g.leader, false)
		}},
		"the outage comes again as it ends": {play: func(g *gap) {
			g.dark(1, "j-1")
			sleep(20)
			g.c.state.Outage(false)
			sleep(0.2)
			g.cancel(g.other, "j-2")
			g.c.state.Outage(true)
			sleep(40)
			g.gone("j-1", "j-2")
		}},
		"cancelled at two controllers": {play: func(g *gap) {
			g.refuse(g.leader, true)
			g.cancel(g.other, "j-1")
			g.cancel(3-g.leader-g.other, "j-1")
			g.cancel(g.leader, "j-1") // which passes it on
			sleep(1)
			g.c.state.Outage(true)
			g.goneIn(8, "j-1")
		}},
		"told by a poll, and stored by a controller that has ended": {cost: true, play: func(g *gap) {
			g.refuse(g.leader, true)
			g.cancel(g.other, "j-1")
			g.c.kill(g.other)
			if _, st := g.c.ask(3-g.leader-g.other, "poll", "j-1"); st != "cancelled" {
				g.c.t.Errorf("poll: %q", st)
			}
			g.c.state.Outage(true)
			sleep(40)
		}},
		"the controller that confirmed is back after 50 ms": {cost: true, play: func(g *gap) {
			g.dark(0, "j-1")
			g.c.kill(g.other)
			sleep(0.05)
			g.c.boot(g.other)
			sleep(50)
		}},
		"the controller that confirmed is back after 5 s": {cost: true, play: func(g *gap) {
			g.dark(0, "j-1")
			sleep(0.5)
			g.c.kill(g.other)
			sleep(5)
			g.c.boot(g.other)
			sleep(50)
		}},
		"the leader is back at once": {cost: true, play: func(g *gap) {
			g.dark(0, "j-1")
			sleep(1)
			g.c.kill(g.leader)
			sleep(0.05)
			g.c.boot(g.leader)
			sleep(50)
		}},
		"the leader cannot reach one of the others": {cost: true, play: func(g *gap) {
			g.dark(0, "j-1")
			g.apart(g.other, true)
			sleep(50)
			g.apart(g.other, false)
		}},
		"another controller is of an earlier version": {cost: true, play: func(g *gap) {
			g.c.mu.Lock()
			g.c.plain[g.other] = true
			g.c.mu.Unlock()
			g.dark(1, "j-1")
			sleep(50)
			g.c.mu.Lock()
			g.c.plain[g.other] = false
			g.c.mu.Unlock()
		}},
		"a gang, also one that is saving": {play: func(g *gap) {
			g.refuse(g.leader, true)
			for _, m := range g.c.world.Machines() { // as a notice would have it
				g.c.world.mu.Lock()
				for _, s := range m.tasks {
					if s.id.Job == "j-4" && s.status == "running" {
						s.status, s.since, s.until = "flushing", time.Now(), time.Now().Add(20*time.Second)
					}
				}
				g.c.world.mu.Unlock()
			}
			g.cancel(g.other, "j-3", "j-4")
			g.c.state.Outage(true)
			g.goneIn(8, "j-3", "j-4")
		}},
		"a service and a chain": {play: func(g *gap) {
			g.dark(0, "j-5", "j-6")
			g.goneIn(8, "j-5", "j-6")
			g.c.state.Outage(false)
			g.refuse(g.leader, false)
			sleep(10)
			if _, st := g.c.ask(g.other, "poll", "j-7"); st != "cancelled" {
				g.c.t.Errorf("behind a cancelled job: %q", st)
			}
			g.c.forget("j-7")
		}},
		"before its first task, and while its run is on its way": {play: func(g *gap) {
			g.c.submit(g.other, records.Job{ID: "j-8", Tasks: 20, EstimateS: 400})
			g.refuse(g.leader, true)
			g.c.submit(g.other, records.Job{ID: "j-9", Tasks: 20, EstimateS: 400})
			g.cancel(g.other, "j-8", "j-9")
			g.c.state.Outage(true)
			g.goneIn(8, "j-8", "j-9")
		}},
		"workers answer no commands": {play: func(g *gap) {
			g.c.world.CloseZone("a", true)
			g.c.world.CloseZone("b", true)
			g.dark(0, "j-1")
			g.goneIn(8, "j-1")
			g.c.world.CloseZone("a", false)
			g.c.world.CloseZone("b", false)
		}},
		"workers hear nothing": {cost: true, play: func(g *gap) {
			for _, m := range g.c.world.Machines() {
				m.SetUnreachable(true)
			}
			g.dark(0, "j-1")
			sleep(50)
			for _, m := range g.c.world.Machines() {
				m.SetUnreachable(false)
			}
		}},
		"a follower is refused, and users use it": {play: func(g *gap) {
			g.refuse(g.other, true)
			sleep(1)
			g.cancel(g.other, "j-1") // which passes it on
			g.c.state.Outage(true)
			g.goneIn(8, "j-1")
			g.refuse(g.other, false)
		}},
		"two controllers": {nodes: 2, play: func(g *gap) {
			g.dark(1, "j-1")
			g.goneIn(8, "j-1")
		}},
		"seven controllers": {nodes: 7, play: func(g *gap) {
			g.refuse(g.leader, true)
			for n, id := range []string{"j-1", "j-2", "j-3"} {
				g.cancel((g.leader+1+n)%7, id)
			}
			sleep(1)
			g.c.state.Outage(true)
			g.goneIn(8, "j-1", "j-2", "j-3")
		}},
		"the old leader is an island for workers, the new one confirms": {cost: true, play: func(g *gap) {
			g.apart(g.leader, true)
			g.refuse(g.leader, true)
			sleep(7)
			if now := g.c.node(g.other).ten.Leader(); now == g.c.world.Nodes[g.leader] {
				g.c.t.Error("nobody else leads: the story shows nothing")
			}
			g.cancel(g.other, "j-1")
			g.c.state.Outage(true)
			sleep(45)
			g.apart(g.leader, false)
		}},
	}
	for name, s := range stories {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes := max(s.nodes, 3)
			if s.nodes == 2 {
				nodes = 2
			}
			playWith(t, func(c *cluster) {
				c.cfg.Deployment.Nodes = nodes
				c.world.GangWait, c.world.GangPeer = 30*time.Second, 5*time.Second
			}, func(c *cluster) {
				c.world.RunFor = func(string) time.Duration { return 400 * time.Second }
				sleep(2)
				for id, j := range map[string]records.Job{
					"j-1": {Tasks: 12}, "j-2": {Tasks: 4}, "j-3": {Tasks: 4, Shape: "group"},
					"j-4": {Tasks: 4, Shape: "group", CheckpointS: 30, SaveS: 5}, "j-5": {Tasks: 3, Shape: "service"}, "j-6": {Tasks: 2},
				} {
					j.ID, j.EstimateS = id, 400
					if j.Shape == "service" {
						j.EstimateS = 0
					}
					c.submit(0, j)
				}
				c.submit(0, records.Job{ID: "j-7", Tasks: 2, EstimateS: 10, Dependencies: []string{"j-6"}})
				c.submit(0, records.Job{ID: "j-10", Tasks: 30, EstimateS: 400})
				c.forget("j-5") // it runs until it is cancelled
				sleep(34)
				g := &gap{c: c, leader: c.leading(), starts: c.world.Starts()}
				g.other = (g.leader + 1) % nodes
				if c.world.Running() < 50 {
					t.Errorf("%d tasks are running: the story shows nothing", c.world.Running())
				}
				s.play(g)
				if !s.cost {
					g.kept()
				}
				calm(c)
				sleep(30)
				if _, st := c.ask(g.other, "poll", "j-5"); st != "cancelled" {
					c.ask(g.other, "withdraw", "j-5")
				}
				sleep(900)
				c.known()
				c.noGhosts()
				t.Logf("longest on a machine after its cancellation: %v of %v", c.world.Longest(), c.world.Cancel)
			})
		})
	}
}
