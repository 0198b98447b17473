package simulation

import (
	"strings"
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// A store outage longer than the leader's lease and the workers' leases ends no running task, because all controllers
// attest that they have not confirmed a cancellation to a user. Waiting tasks keep starting, because no other
// controller can lead.
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
		if !c.controller(0).server.Ready() {
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

// After its lease has expired, a leader starts nothing while a peer may lead. Here a peer is down during a store
// outage and cannot attest that it does not lead.
func TestLeaderWithoutLeaseOrPeersStartsNothing(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 5 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 200, EstimateS: 2})
		sleep(30)
		old := c.leaderIndex()
		c.store.SetOutage(true)
		c.killController((old + 1) % 3)
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

// A controller confirms a cancellation, restarts during a store outage, and cannot attest what it confirmed before.
// The workers' leases must expire within the cancellation limit.
func TestOutageWithRestartedControllerExpiresLeases(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 200 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 4, EstimateS: 200})
		sleep(32)
		other := (c.leaderIndex() + 1) % 3
		// The cancellation is stored and confirmed to the user, but the leader cannot receive it.
		c.store.SetRefused(strings.Fields(controllerNames)[c.leaderIndex()], true)
		if _, st := c.ask(other, peer.MethodCancel, "j-1"); st != records.StatusCancelled {
			t.Fatalf("cancel: %q", st)
		}
		c.store.SetOutage(true)
		c.killController(other)
		sleep(1)
		c.startController(other)
		sleep(31)
		c.wantRunning(0)
		c.env.CheckCancelled()
		c.store.SetOutage(false)
	})
}

// At the end of an outage the store serves the leader 0.9 s after the others. The leader keeps leading,
// because stepping down would cost a lease duration and a failover.
func TestLeaderServedLastAfterOutageKeepsLeading(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		old := c.leaderIndex()
		c.store.SetOutage(true)
		sleep(10)
		c.store.SetRefused(strings.Fields(controllerNames)[old], true)
		c.store.SetOutage(false)
		sleep(0.9)
		c.store.SetRefused(strings.Fields(controllerNames)[old], false)
		for range 10 {
			sleep(1)
			if now := c.leaderIndex(); now != old {
				t.Fatalf("controller %d leads after the outage, controller %d did before", now, old)
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
		c.store.SetRefused(strings.Fields(controllerNames)[old], true)
		sleep(12)
		if now := c.leaderIndex(); now < 0 || now == old {
			t.Fatalf("controller %d leads while the store refuses controller %d", now, old)
		}
		if c.controller(old).server.Ready() {
			t.Error("the refused controller is ready, though the store serves the others")
		}
		if status, st := c.ask(old, peer.MethodPoll, "j-1"); status != 200 {
			t.Errorf("poll at the refused controller: %d %s", status, st)
		}
		if got := c.submit(old, records.Job{ID: "j-2", Tasks: 1, EstimateS: 30}); got != 201 {
			t.Errorf("submission at the refused controller: %d", got)
		}
		sleep(60)
		c.wantDone((old+1)%3, "j-1")
		if c.env.Starts() > starts+1 {
			t.Errorf("%d tasks were started again", c.env.Starts()-starts-1)
		}
	})
}

// Commits are applied late and their responses are lost. No job may be lost or accepted twice.
func TestCommitsWithLostResponsesLoseAndRepeatNothing(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		n := c.controller(1)
		n.client.LoseResponses(1, time.Second)
		if got := c.submit(1, records.Job{ID: "j-1", Tasks: 2, EstimateS: 30}); got != 503 {
			t.Errorf("unanswered submission: %d, want 503", got)
		}
		sleep(2)
		if got := c.submit(1, records.Job{ID: "j-1", Tasks: 2, EstimateS: 30}); got != 200 {
			t.Errorf("retry of the submission: %d, want 200", got)
		}
		sleep(20)
		c.controller(c.leaderIndex()).client.LoseResponses(5, 3*time.Second)
		sleep(60)
		c.wantDone(0, "j-1")
	})
}
