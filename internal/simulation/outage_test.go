package simulation

import (
	"strings"
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// A store outage longer than the leader's lease and the workers' leases ends no running task, as all
// controllers attest that none of them has confirmed a cancellation to a user. As none of them can
// lead, waiting tasks keep starting.
func TestLongStoreOutageKeepsRunningTasks(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(task string) time.Duration {
			if strings.HasPrefix(task, "j-1/") {
				return 90 * time.Second
			}
			return 10 * time.Second
		}
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 4, EstimateS: 90})
		c.submit(1, records.Job{ID: "j-2", Tasks: 40, EstimateS: 1})
		sleep(29)
		starts := c.env.Starts()
		c.store.SetOutage(true)
		sleep(50)
		if status, _ := c.ask(0, peer.MethodPoll, "j-1"); status != 503 {
			t.Errorf("poll in an outage: %d, want 503", status)
		}
		if !c.node(0).server.Ready() {
			t.Error("not ready in an outage for all controllers")
		}
		if c.env.Starts() < starts+8 {
			t.Errorf("%d starts before the outage, %d by its end: waiting tasks did not start", starts, c.env.Starts())
		}
		c.store.SetOutage(false)
		sleep(130)
		c.wantDone(1, "j-1")
		c.wantDone(2, "j-2")
		if c.env.Starts() != 44 {
			t.Errorf("%d starts for 44 tasks", c.env.Starts())
		}
	})
}

// After its lease has expired, a leader starts nothing while a peer may lead: here one peer is dead
// during a store outage and cannot attest that it does not lead.
func TestLeaderWithoutLeaseOrPeersStartsNothing(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 5 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 200, EstimateS: 2})
		sleep(30)
		old := c.leaderIndex()
		c.store.SetOutage(true)
		c.killNode((old + 1) % 3)
		sleep(6)
		starts := c.env.Starts()
		sleep(10)
		if now := c.env.Starts(); now != starts {
			t.Errorf("%d tasks were started without a lease or an attesting peer", now-starts)
		}
		c.store.SetOutage(false)
		sleep(10)
		if c.env.Starts() == starts {
			t.Error("nothing started after the outage")
		}
	})
}

// A controller restarts during the outage and cannot attest for the time before: leases expire in time
// for any cancellation.
func TestOutageWithRestartedControllerExpiresLeases(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 200 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 4, EstimateS: 200})
		sleep(32)
		other := (c.leaderIndex() + 1) % 3
		// The cancellation is stored and confirmed to the user, but the leader cannot receive it.
		c.store.SetRefused(strings.Fields(nodeNames)[c.leaderIndex()], true)
		if _, st := c.ask(other, peer.MethodCancel, "j-1"); st != records.StatusCancelled {
			t.Fatalf("cancel: %q", st)
		}
		c.store.SetOutage(true)
		c.killNode(other)
		sleep(1)
		c.startNode(other)
		sleep(31)
		c.wantRunning(0)
		c.env.CheckCancelled()
		c.store.SetOutage(false)
	})
}

// At the end of an outage the store serves the leader 0.9 s after the others. The leader keeps leading,
// as stepping down would cost a lease and a failover.
func TestLeaderServedLastAfterOutageKeepsLeading(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		old := c.leaderIndex()
		c.store.SetOutage(true)
		sleep(10)
		c.store.SetRefused(strings.Fields(nodeNames)[old], true)
		c.store.SetOutage(false)
		sleep(0.9)
		c.store.SetRefused(strings.Fields(nodeNames)[old], false)
		for range 10 {
			sleep(1)
			if now := c.leaderIndex(); now != old {
				t.Fatalf("node %d leads after the outage, node %d did before", now, old)
			}
		}
		sleep(60)
		c.wantDone(old, "j-1")
	})
}

// A leader that is the only controller refused by the store steps down, and users are served through
// the other controllers.
func TestLeaderRefusedAloneStepsDown(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		starts := c.env.Starts()
		old := c.leaderIndex()
		c.store.SetRefused(strings.Fields(nodeNames)[old], true)
		sleep(12)
		if now := c.leaderIndex(); now < 0 || now == old {
			t.Fatalf("node %d leads while the store refuses node %d", now, old)
		}
		if c.node(old).server.Ready() {
			t.Error("the refused node is ready, though the store serves the others")
		}
		if status, st := c.ask(old, peer.MethodPoll, "j-1"); status != 200 {
			t.Errorf("poll at the refused node: %d %s", status, st)
		}
		if got := c.submit(old, records.Job{ID: "j-2", Tasks: 1, EstimateS: 30}); got != 201 {
			t.Errorf("submission at the refused node: %d", got)
		}
		sleep(60)
		c.wantDone((old+1)%3, "j-1")
		if c.env.Starts() > starts+1 {
			t.Errorf("%d tasks were started again", c.env.Starts()-starts-1)
		}
	})
}

// Commits that are applied late and whose responses are lost lose nothing and repeat nothing.
func TestCommitsWithLostResponsesLoseAndRepeatNothing(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		n := c.node(1)
		n.client.LoseResponses(1, time.Second)
		if got := c.submit(1, records.Job{ID: "j-1", Tasks: 2, EstimateS: 30}); got != 503 {
			t.Errorf("unanswered submission: %d, want 503", got)
		}
		sleep(2)
		if got := c.submit(1, records.Job{ID: "j-1", Tasks: 2, EstimateS: 30}); got != 200 {
			t.Errorf("retry of the submission: %d, want 200", got)
		}
		sleep(20)
		c.node(c.leaderIndex()).client.LoseResponses(5, 3*time.Second)
		sleep(60)
		c.wantDone(0, "j-1")
	})
}
