package simulation

import (
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// In these tests, the store refuses only the leader, and another controller confirms cancellations. Then the store
// is down for all controllers for longer than the cancellation limit, while workers send their heartbeats to the old
// leader. The tasks of cancelled jobs must end in time in every scenario. If the other controllers can report the
// cancelled jobs to the leader, no other task may be lost.

// refusalScenario is a running scenario. It begins with a leader and running tasks.
type refusalScenario struct {
	cluster *cluster
	leader  int // index of the leader before the first fault
	other   int // index of the controller that confirms cancellations
	starts  int // number of task starts before the first fault
}

// cancel cancels jobs at a controller as a user does. The controller must confirm each cancellation.
func (rs *refusalScenario) cancel(i int, ids ...string) {
	rs.cluster.t.Helper()
	for _, id := range ids {
		if _, st := rs.cluster.ask(i, peer.MethodCancel, id); st != records.StatusCancelled {
			rs.cluster.t.Errorf("cancel %s at controller %d: %q", id, i, st)
		}
		rs.cluster.expectCancelled(id)
	}
}

// refuseThenOutage makes the store refuse the leader and cancels jobs at another controller. After a number of
// seconds, it takes the store down for all controllers.
func (rs *refusalScenario) refuseThenOutage(after float64, ids ...string) {
	rs.refuse(rs.leader, true)
	rs.cancel(rs.other, ids...)
	sleep(after)
	rs.cluster.store.SetOutage(true)
}

// wantTasksGoneAfter calls wantTasksGone after s seconds, and then waits for 40 s, so that the outage continues.
func (rs *refusalScenario) wantTasksGoneAfter(s float64, ids ...string) {
	sleep(s)
	rs.wantTasksGone(ids...)
	sleep(40)
}

// partition sets whether a controller is partitioned from the others.
func (rs *refusalScenario) partition(i int, on bool) {
	rs.cluster.setIsolated(i, on)
}

// refuse sets whether the store refuses a controller.
func (rs *refusalScenario) refuse(i int, on bool) {
	rs.cluster.store.SetRefused(rs.cluster.env.Controllers[i], on)
}

// wantNoTaskLost checks that no task has been lost with its machine or lease so far.
func (rs *refusalScenario) wantNoTaskLost() {
	rs.cluster.t.Helper()
	if n := countLostTasks(rs.cluster); n > 0 {
		rs.cluster.t.Errorf("%d tasks of jobs that nobody cancelled were lost with their machine or lease, of %d", n, rs.starts)
	}
}

// wantTasksGone checks that no task of the jobs is on a machine with a valid lease.
func (rs *refusalScenario) wantTasksGone(ids ...string) {
	rs.cluster.t.Helper()
	for _, m := range rs.cluster.env.Machines() {
		rs.cluster.env.mu.Lock()
		for _, s := range m.tasks {
			for _, id := range ids {
				if s.taskID.Job == id && s.status != statusEnded && time.Since(m.leaseStart) <= rs.cluster.env.Lease {
					rs.cluster.t.Errorf("%s is still on %s (%s)", s.task, m.Name, s.status)
				}
			}
		}
		rs.cluster.env.mu.Unlock()
	}
}

// confirmedBeforeOutage are scenarios of an outage after a cancellation that was confirmed while the store refused
// the leader. They guard against two failures: the leases of all workers expire, and until then the tasks of cancelled
// jobs keep running.
var confirmedBeforeOutage = map[string]struct {
	controllers int  // number of controllers; 0 means three
	mayLoseWork bool // other tasks may be lost: a possibly confirmed cancellation is unreported, or workers are unreachable
	run         func(rs *refusalScenario)
}{
	"the refusal ends during the outage": {run: func(rs *refusalScenario) {
		rs.refuseThenOutage(1, "j-1", "j-2")
		sleep(8)
		rs.wantTasksGone("j-1", "j-2")
		rs.refuse(rs.leader, false)
		sleep(40)
	}},
	"the refusal ends before the outage": {run: func(rs *refusalScenario) {
		rs.refuse(rs.leader, true)
		rs.cancel(rs.other, "j-1")
		sleep(0.5)
		rs.refuse(rs.leader, false)
		sleep(0.1)
		rs.cluster.store.SetOutage(true)
		rs.wantTasksGoneAfter(8, "j-1")
	}},
	"the outage begins just before the leader's lease expires": {run: func(rs *refusalScenario) {
		rs.refuse(rs.leader, true)
		rs.cancel(rs.other, "j-1")
		// Guards against a leader that steps down as soon as it learns that the store serves the other controllers.
		for _, until := rs.cluster.controller(rs.leader).election.Term(); time.Until(until) > 100*time.Millisecond; {
			rs.cluster.ask(rs.other, peer.MethodPoll, "j-2")
			sleep(0.05)
		}
		rs.cluster.store.SetOutage(true)
		sleep(45)
		rs.wantTasksGone("j-1")
	}},
	"the refusal outlasts the outage": {run: func(rs *refusalScenario) {
		rs.refuseThenOutage(1, "j-1")
		sleep(40)
		rs.wantTasksGone("j-1")
		rs.cluster.store.SetOutage(false)
		sleep(30)
		rs.refuse(rs.leader, false)
	}},
	"a second outage begins as the first ends": {run: func(rs *refusalScenario) {
		rs.refuseThenOutage(1, "j-1")
		sleep(20)
		rs.cluster.store.SetOutage(false)
		sleep(0.2)
		rs.cancel(rs.other, "j-2")
		rs.cluster.store.SetOutage(true)
		sleep(40)
		rs.wantTasksGone("j-1", "j-2")
	}},
	"cancellation at several controllers": {run: func(rs *refusalScenario) {
		rs.refuse(rs.leader, true)
		rs.cancel(rs.other, "j-1")
		rs.cancel(3-rs.leader-rs.other, "j-1")
		rs.cancel(rs.leader, "j-1") // the leader relays the request
		sleep(1)
		rs.cluster.store.SetOutage(true)
		rs.wantTasksGoneAfter(8, "j-1")
	}},
	"cancellation reported by a poll and stored by a dead controller": {mayLoseWork: true, run: func(rs *refusalScenario) {
		rs.refuse(rs.leader, true)
		rs.cancel(rs.other, "j-1")
		rs.cluster.killController(rs.other)
		if _, st := rs.cluster.ask(3-rs.leader-rs.other, peer.MethodPoll, "j-1"); st != records.StatusCancelled {
			rs.cluster.t.Errorf("poll: %q", st)
		}
		rs.cluster.store.SetOutage(true)
		sleep(40)
	}},
	"the confirming controller restarts after 50 ms": {mayLoseWork: true, run: func(rs *refusalScenario) {
		rs.refuseThenOutage(0, "j-1")
		rs.cluster.killController(rs.other)
		sleep(0.05)
		rs.cluster.startController(rs.other)
		sleep(50)
	}},
	"the confirming controller restarts after 5 s": {mayLoseWork: true, run: func(rs *refusalScenario) {
		rs.refuseThenOutage(0, "j-1")
		sleep(0.5)
		rs.cluster.killController(rs.other)
		sleep(5)
		rs.cluster.startController(rs.other)
		sleep(50)
	}},
	"the leader restarts at once": {mayLoseWork: true, run: func(rs *refusalScenario) {
		rs.refuseThenOutage(0, "j-1")
		sleep(1)
		rs.cluster.killController(rs.leader)
		sleep(0.05)
		rs.cluster.startController(rs.leader)
		sleep(50)
	}},
	"the leader cannot reach one of the others": {mayLoseWork: true, run: func(rs *refusalScenario) {
		rs.refuseThenOutage(0, "j-1")
		rs.partition(rs.other, true)
		sleep(50)
		rs.partition(rs.other, false)
	}},
	"another controller is of an older version": {mayLoseWork: true, run: func(rs *refusalScenario) {
		rs.cluster.mu.Lock()
		rs.cluster.olderVersion[rs.other] = true
		rs.cluster.mu.Unlock()
		rs.refuseThenOutage(1, "j-1")
		sleep(50)
		rs.cluster.mu.Lock()
		rs.cluster.olderVersion[rs.other] = false
		rs.cluster.mu.Unlock()
	}},
	"gangs, one of which saves a checkpoint": {run: func(rs *refusalScenario) {
		rs.refuse(rs.leader, true)
		for _, m := range rs.cluster.env.Machines() { // as after a preemption notice
			rs.cluster.env.mu.Lock()
			for _, s := range m.tasks {
				if s.taskID.Job == "j-4" && s.status == statusRunning {
					s.status, s.statusSince, s.statusEndsAt = statusFlushing, time.Now(), time.Now().Add(20*time.Second)
				}
			}
			rs.cluster.env.mu.Unlock()
		}
		rs.cancel(rs.other, "j-3", "j-4")
		rs.cluster.store.SetOutage(true)
		rs.wantTasksGoneAfter(8, "j-3", "j-4")
	}},
	"a service and dependent jobs": {run: func(rs *refusalScenario) {
		rs.refuseThenOutage(0, "j-5", "j-6")
		rs.wantTasksGoneAfter(8, "j-5", "j-6")
		rs.cluster.store.SetOutage(false)
		rs.refuse(rs.leader, false)
		sleep(10)
		if _, st := rs.cluster.ask(rs.other, peer.MethodPoll, "j-7"); st != records.StatusCancelled {
			rs.cluster.t.Errorf("poll of a dependent of a cancelled job: %q", st)
		}
		rs.cluster.expectCancelled("j-7")
	}},
	"before the first task starts or the leader receives the job": {run: func(rs *refusalScenario) {
		rs.cluster.submit(rs.other, records.Job{ID: "j-8", Tasks: 20, EstimateS: 400})
		rs.refuse(rs.leader, true)
		rs.cluster.submit(rs.other, records.Job{ID: "j-9", Tasks: 20, EstimateS: 400})
		rs.cancel(rs.other, "j-8", "j-9")
		rs.cluster.store.SetOutage(true)
		rs.wantTasksGoneAfter(8, "j-8", "j-9")
	}},
	"no direct commands reach the workers": {run: func(rs *refusalScenario) {
		rs.cluster.env.BlockCommands("a", true)
		rs.cluster.env.BlockCommands("b", true)
		rs.refuseThenOutage(0, "j-1")
		rs.wantTasksGoneAfter(8, "j-1")
		rs.cluster.env.BlockCommands("a", false)
		rs.cluster.env.BlockCommands("b", false)
	}},
	"neither responses nor commands reach the workers": {mayLoseWork: true, run: func(rs *refusalScenario) {
		for _, m := range rs.cluster.env.Machines() {
			m.SetUnreachable(true)
		}
		rs.refuseThenOutage(0, "j-1")
		sleep(50)
		for _, m := range rs.cluster.env.Machines() {
			m.SetUnreachable(false)
		}
	}},
	"the store refuses a follower that users cancel at": {run: func(rs *refusalScenario) {
		rs.refuse(rs.other, true)
		sleep(1)
		rs.cancel(rs.other, "j-1") // the follower relays the request
		rs.cluster.store.SetOutage(true)
		rs.wantTasksGoneAfter(8, "j-1")
		rs.refuse(rs.other, false)
	}},
	"two controllers": {controllers: 2, run: func(rs *refusalScenario) {
		rs.refuseThenOutage(1, "j-1")
		rs.wantTasksGoneAfter(8, "j-1")
	}},
	"seven controllers": {controllers: 7, run: func(rs *refusalScenario) {
		rs.refuse(rs.leader, true)
		for n, id := range []string{"j-1", "j-2", "j-3"} {
			rs.cancel((rs.leader+1+n)%7, id)
		}
		sleep(1)
		rs.cluster.store.SetOutage(true)
		rs.wantTasksGoneAfter(8, "j-1", "j-2", "j-3")
	}},
	"the old leader is isolated and reached by workers, the new one confirms": {mayLoseWork: true, run: func(rs *refusalScenario) {
		rs.partition(rs.leader, true)
		rs.refuse(rs.leader, true)
		sleep(7)
		if now := rs.cluster.controller(rs.other).election.Leader(); now == rs.cluster.env.Controllers[rs.leader] {
			rs.cluster.t.Error("no other controller leads")
		}
		rs.cancel(rs.other, "j-1")
		rs.cluster.store.SetOutage(true)
		sleep(45)
		rs.partition(rs.leader, false)
	}},
}

// submitOutageJobs submits jobs of all shapes, one job with a dependency (j-7), and one that no scenario cancels (j-10).
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
	c.expectCancelled("j-5") // a service runs until it is cancelled
}

// The tasks of jobs whose cancellation was confirmed before an outage end in time. Unless the scenario may lose work,
// no other task is lost.
func TestCancellationConfirmedBeforeOutageTakesEffect(t *testing.T) {
	for name, s := range confirmedBeforeOutage {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			controllers := s.controllers
			if controllers == 0 {
				controllers = 3
			}
			runScenarioWith(t, func(c *cluster) {
				c.cfg.Deployment.Nodes = controllers
				c.env.GangStartTimeout, c.env.GangPeerTimeout = 30*time.Second, 5*time.Second
			}, func(c *cluster) {
				c.env.RunTime = func(string) time.Duration { return 400 * time.Second }
				sleep(2)
				c.submitOutageJobs()
				sleep(34)
				rs := &refusalScenario{cluster: c, leader: c.leaderIndex(), starts: c.env.Starts()}
				rs.other = (rs.leader + 1) % controllers
				if c.env.Running() < 50 {
					t.Errorf("%d tasks are running before the first fault, want 50 or more", c.env.Running())
				}
				s.run(rs)
				if !s.mayLoseWork {
					rs.wantNoTaskLost()
				}
				endFaults(c)
				sleep(30)
				if _, st := c.ask(rs.other, peer.MethodPoll, "j-5"); st != records.StatusCancelled {
					c.ask(rs.other, peer.MethodCancel, "j-5")
				}
				sleep(900)
				c.wantAllJobsKnown()
				c.wantNoVanishedMachines()
				t.Logf("longest time of a task on a machine after its cancellation: %v, limit %v", c.env.MaxCancelLatency(), c.env.CancelLimit)
			})
		})
	}
}
