package simulation

import (
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// The store refuses the leader alone, another controller confirms cancellations, and
// then the store is down for all, for longer than a cancellation may take, while workers send their
// heartbeats to the old leader. The cancelled jobs' tasks are gone in time in every scenario; where the other
// controllers can tell which these are, nothing else is lost.

// refusalScenario is a scenario that begins with a leader and running tasks.
type refusalScenario struct {
	cluster *cluster
	leader  int
	other   int // the controller that confirms
	starts  int // of tasks, before the first fault
}

// cancel has a user cancel jobs at a controller.
func (g *refusalScenario) cancel(i int, ids ...string) {
	g.cluster.t.Helper()
	for _, id := range ids {
		if _, st := g.cluster.ask(i, peer.MethodCancel, id); st != records.StatusCancelled {
			g.cluster.t.Errorf("withdraw %s at node %d: %q", id, i, st)
		}
		g.cluster.expectCancelled(id)
	}
}

// refuseThenOutage has the store refuse the leader, another controller confirm cancellations, and then the
// store down for all.
func (g *refusalScenario) refuseThenOutage(after float64, ids ...string) {
	g.refuse(g.leader, true)
	g.cancel(g.other, ids...)
	sleep(after)
	g.cluster.store.SetOutage(true)
}

// wantGoneAfter wants the jobs' tasks gone so many seconds later, and lets the outage last.
func (g *refusalScenario) wantGoneAfter(s float64, ids ...string) {
	sleep(s)
	g.wantGone(ids...)
	sleep(40)
}

// partition cuts a controller off from the others, or no more.
func (g *refusalScenario) partition(i int, on bool) {
	g.cluster.setIsolated(i, on)
}

func (g *refusalScenario) refuse(i int, on bool) {
	g.cluster.store.SetRefused(g.cluster.env.Nodes[i], on)
}

// wantNoneLost wants no task lost by its lease so far; gone wants none of a job on any machine.
func (g *refusalScenario) wantNoneLost() {
	g.cluster.t.Helper()
	if n := countLostTasks(g.cluster); n > 0 {
		g.cluster.t.Errorf("%d tasks of jobs that nobody cancelled were lost by their lease, of %d", n, g.starts)
	}
}

func (g *refusalScenario) wantGone(ids ...string) {
	g.cluster.t.Helper()
	for _, m := range g.cluster.env.Machines() {
		g.cluster.env.mu.Lock()
		for _, s := range m.tasks {
			for _, id := range ids {
				if s.taskID.Job == id && s.status != statusEnded && time.Since(m.leaseStart) <= g.cluster.env.Lease {
					g.cluster.t.Errorf("%s is still on %s (%s)", s.task, m.Name, s.status)
				}
			}
		}
		g.cluster.env.mu.Unlock()
	}
}

// confirmedBeforeOutage are scenarios of an outage after a confirmed cancellation. Before they were dealt with, the
// first cancellation confirmed while the leader was refused cost all work its leases, and the tasks of what was
// cancelled ran on until these ended.
var confirmedBeforeOutage = map[string]struct {
	nodes       int  // 0: three
	mayLoseWork bool // a controller that may have confirmed a cancellation is away
	run         func(g *refusalScenario)
}{
	"the refusal ends in the outage": {run: func(g *refusalScenario) {
		g.refuseThenOutage(1, "j-1", "j-2")
		sleep(8)
		g.wantGone("j-1", "j-2")
		g.refuse(g.leader, false)
		sleep(40)
	}},
	"the refusal ends before the outage": {run: func(g *refusalScenario) {
		g.refuse(g.leader, true)
		g.cancel(g.other, "j-1")
		sleep(0.5)
		g.refuse(g.leader, false)
		sleep(0.1)
		g.cluster.store.SetOutage(true)
		g.wantGoneAfter(8, "j-1")
	}},
	"the outage comes just before the leader's lease ends": {run: func(g *refusalScenario) {
		g.refuse(g.leader, true)
		g.cancel(g.other, "j-1")
		// As it was, the leader stepped down as soon as it was sure that others are served.
		for _, until := g.cluster.node(g.leader).election.Term(); time.Until(until) > 100*time.Millisecond; {
			g.cluster.ask(g.other, peer.MethodPoll, "j-2")
			sleep(0.05)
		}
		g.cluster.store.SetOutage(true)
		sleep(45)
		g.wantGone("j-1")
	}},
	"the refusal outlasts the outage": {run: func(g *refusalScenario) {
		g.refuseThenOutage(1, "j-1")
		sleep(40)
		g.wantGone("j-1")
		g.cluster.store.SetOutage(false)
		sleep(30)
		g.refuse(g.leader, false)
	}},
	"the outage comes again as it ends": {run: func(g *refusalScenario) {
		g.refuseThenOutage(1, "j-1")
		sleep(20)
		g.cluster.store.SetOutage(false)
		sleep(0.2)
		g.cancel(g.other, "j-2")
		g.cluster.store.SetOutage(true)
		sleep(40)
		g.wantGone("j-1", "j-2")
	}},
	"cancelled at two controllers": {run: func(g *refusalScenario) {
		g.refuse(g.leader, true)
		g.cancel(g.other, "j-1")
		g.cancel(3-g.leader-g.other, "j-1")
		g.cancel(g.leader, "j-1") // which passes it on
		sleep(1)
		g.cluster.store.SetOutage(true)
		g.wantGoneAfter(8, "j-1")
	}},
	"told by a poll, and stored by a controller that has ended": {mayLoseWork: true, run: func(g *refusalScenario) {
		g.refuse(g.leader, true)
		g.cancel(g.other, "j-1")
		g.cluster.killNode(g.other)
		if _, st := g.cluster.ask(3-g.leader-g.other, peer.MethodPoll, "j-1"); st != records.StatusCancelled {
			g.cluster.t.Errorf("poll: %q", st)
		}
		g.cluster.store.SetOutage(true)
		sleep(40)
	}},
	"the controller that confirmed is back after 50 ms": {mayLoseWork: true, run: func(g *refusalScenario) {
		g.refuseThenOutage(0, "j-1")
		g.cluster.killNode(g.other)
		sleep(0.05)
		g.cluster.startNode(g.other)
		sleep(50)
	}},
	"the controller that confirmed is back after 5 s": {mayLoseWork: true, run: func(g *refusalScenario) {
		g.refuseThenOutage(0, "j-1")
		sleep(0.5)
		g.cluster.killNode(g.other)
		sleep(5)
		g.cluster.startNode(g.other)
		sleep(50)
	}},
	"the leader is back at once": {mayLoseWork: true, run: func(g *refusalScenario) {
		g.refuseThenOutage(0, "j-1")
		sleep(1)
		g.cluster.killNode(g.leader)
		sleep(0.05)
		g.cluster.startNode(g.leader)
		sleep(50)
	}},
	"the leader cannot reach one of the others": {mayLoseWork: true, run: func(g *refusalScenario) {
		g.refuseThenOutage(0, "j-1")
		g.partition(g.other, true)
		sleep(50)
		g.partition(g.other, false)
	}},
	"another controller is of an earlier version": {mayLoseWork: true, run: func(g *refusalScenario) {
		g.cluster.mu.Lock()
		g.cluster.olderVersion[g.other] = true
		g.cluster.mu.Unlock()
		g.refuseThenOutage(1, "j-1")
		sleep(50)
		g.cluster.mu.Lock()
		g.cluster.olderVersion[g.other] = false
		g.cluster.mu.Unlock()
	}},
	"a gang, also one that is saving": {run: func(g *refusalScenario) {
		g.refuse(g.leader, true)
		for _, m := range g.cluster.env.Machines() { // as a notice would have it
			g.cluster.env.mu.Lock()
			for _, s := range m.tasks {
				if s.taskID.Job == "j-4" && s.status == statusRunning {
					s.status, s.statusSince, s.statusEndsAt = statusFlushing, time.Now(), time.Now().Add(20*time.Second)
				}
			}
			g.cluster.env.mu.Unlock()
		}
		g.cancel(g.other, "j-3", "j-4")
		g.cluster.store.SetOutage(true)
		g.wantGoneAfter(8, "j-3", "j-4")
	}},
	"a service and dependent jobs": {run: func(g *refusalScenario) {
		g.refuseThenOutage(0, "j-5", "j-6")
		g.wantGoneAfter(8, "j-5", "j-6")
		g.cluster.store.SetOutage(false)
		g.refuse(g.leader, false)
		sleep(10)
		if _, st := g.cluster.ask(g.other, peer.MethodPoll, "j-7"); st != records.StatusCancelled {
			g.cluster.t.Errorf("behind a cancelled job: %q", st)
		}
		g.cluster.expectCancelled("j-7")
	}},
	"before its first task, and while its run is on its way": {run: func(g *refusalScenario) {
		g.cluster.submit(g.other, records.Job{ID: "j-8", Tasks: 20, EstimateS: 400})
		g.refuse(g.leader, true)
		g.cluster.submit(g.other, records.Job{ID: "j-9", Tasks: 20, EstimateS: 400})
		g.cancel(g.other, "j-8", "j-9")
		g.cluster.store.SetOutage(true)
		g.wantGoneAfter(8, "j-8", "j-9")
	}},
	"workers answer no commands": {run: func(g *refusalScenario) {
		g.cluster.env.BlockCommands("a", true)
		g.cluster.env.BlockCommands("b", true)
		g.refuseThenOutage(0, "j-1")
		g.wantGoneAfter(8, "j-1")
		g.cluster.env.BlockCommands("a", false)
		g.cluster.env.BlockCommands("b", false)
	}},
	"nothing reaches the workers": {mayLoseWork: true, run: func(g *refusalScenario) {
		for _, m := range g.cluster.env.Machines() {
			m.SetUnreachable(true)
		}
		g.refuseThenOutage(0, "j-1")
		sleep(50)
		for _, m := range g.cluster.env.Machines() {
			m.SetUnreachable(false)
		}
	}},
	"a follower is refused, and users use it": {run: func(g *refusalScenario) {
		g.refuse(g.other, true)
		sleep(1)
		g.cancel(g.other, "j-1") // which passes it on
		g.cluster.store.SetOutage(true)
		g.wantGoneAfter(8, "j-1")
		g.refuse(g.other, false)
	}},
	"two controllers": {nodes: 2, run: func(g *refusalScenario) {
		g.refuseThenOutage(1, "j-1")
		g.wantGoneAfter(8, "j-1")
	}},
	"seven controllers": {nodes: 7, run: func(g *refusalScenario) {
		g.refuse(g.leader, true)
		for n, id := range []string{"j-1", "j-2", "j-3"} {
			g.cancel((g.leader+1+n)%7, id)
		}
		sleep(1)
		g.cluster.store.SetOutage(true)
		g.wantGoneAfter(8, "j-1", "j-2", "j-3")
	}},
	"the old leader is isolated with workers, the new one confirms": {mayLoseWork: true, run: func(g *refusalScenario) {
		g.partition(g.leader, true)
		g.refuse(g.leader, true)
		sleep(7)
		if now := g.cluster.node(g.other).election.Leader(); now == g.cluster.env.Nodes[g.leader] {
			g.cluster.t.Error("nobody else leads: the scenario shows nothing")
		}
		g.cancel(g.other, "j-1")
		g.cluster.store.SetOutage(true)
		sleep(45)
		g.partition(g.leader, false)
	}},
}

// submitOutageJobs submits jobs of all shapes, one that depends on another, and one that nobody cancels.
func (c *cluster) submitOutageJobs() {
	for id, j := range map[string]records.Job{
		"j-1": {Tasks: 12}, "j-2": {Tasks: 4}, "j-3": {Tasks: 4, Shape: records.ShapeGang},
		"j-4": {Tasks: 4, Shape: records.ShapeGang, CheckpointS: 30, SaveS: 5}, "j-5": {Tasks: 3, Shape: records.ShapeService}, "j-6": {Tasks: 2},
	} {
		j.ID, j.EstimateS = id, 400
		if j.Shape == records.ShapeService {
			j.EstimateS = 0
		}
		c.submit(0, j)
	}
	c.submit(0, records.Job{ID: "j-7", Tasks: 2, EstimateS: 10, Dependencies: []string{"j-6"}})
	c.submit(0, records.Job{ID: "j-10", Tasks: 30, EstimateS: 400})
	c.expectCancelled("j-5") // it runs until it is cancelled
}

// The tasks of jobs whose cancellation was confirmed before an outage are gone in time; where the other controllers
// can tell which jobs these are, no other task is lost.
func TestCancellationConfirmedBeforeOutageTakesEffect(t *testing.T) {
	for name, s := range confirmedBeforeOutage {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes := s.nodes
			if nodes == 0 {
				nodes = 3
			}
			runScenarioWith(t, func(c *cluster) {
				c.cfg.Deployment.Nodes = nodes
				c.env.GangStartTimeout, c.env.GangPeerTimeout = 30*time.Second, 5*time.Second
			}, func(c *cluster) {
				c.env.RunTime = func(string) time.Duration { return 400 * time.Second }
				sleep(2)
				c.submitOutageJobs()
				sleep(34)
				g := &refusalScenario{cluster: c, leader: c.leaderIndex(), starts: c.env.Starts()}
				g.other = (g.leader + 1) % nodes
				if c.env.Running() < 50 {
					t.Errorf("%d tasks are running: the scenario shows nothing", c.env.Running())
				}
				s.run(g)
				if !s.mayLoseWork {
					g.wantNoneLost()
				}
				endFaults(c)
				sleep(30)
				if _, st := c.ask(g.other, peer.MethodPoll, "j-5"); st != records.StatusCancelled {
					c.ask(g.other, peer.MethodCancel, "j-5")
				}
				sleep(900)
				c.wantAllJobsKnown()
				c.wantNoVanishedMachines()
				t.Logf("longest on a machine after its cancellation: %v of %v", c.env.MaxCancelLatency(), c.env.CancelLimit)
			})
		})
	}
}
