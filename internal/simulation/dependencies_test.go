package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// A diamond of dependent jobs from two teams, submitted at several controllers, runs each task once
// and in order while the leader is killed repeatedly.
func TestDependenciesRunOnceInOrderAcrossFailovers(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 10 * time.Second }
		sleep(2)
		for i, j := range []records.Job{
			dependentJob("j-1", 4), dependentJob("j-2", 6, "j-1"), dependentJob("j-3", 2, "j-1"), dependentJob("j-4", 2, "j-2", "j-3", "j-2"),
		} {
			if i == 2 {
				j.Team = "other"
			}
			if got := c.submit(i%3, j); got != 201 {
				t.Fatalf("%s: %d", j.ID, got)
			}
		}
		if _, st := c.ask(0, peer.MethodPoll, "j-4"); st != records.StatusPending {
			t.Errorf("poll of a waiting job: %q, want pending", st)
		}
		for range 4 {
			sleep(12)
			old := c.leaderIndex()
			c.killController(old)
			sleep(1)
			c.startController(old)
		}
		sleep(40)
		for _, id := range []string{"j-1", "j-2", "j-3", "j-4"} {
			c.wantDone(0, id)
		}
		if n := c.env.Starts(); n != 14 {
			t.Errorf("%d starts for 14 tasks", n)
		}
		var closed records.ClosedJob
		if err := json.Unmarshal([]byte(c.store.Value("jobs/over/j-4")), &closed); err != nil || closed.AtMS == 0 {
			t.Errorf("the record has no completion time: %+v, %v", closed, err)
		}
		// The version in production must be able to read the fields of the record that it uses.
		var older struct {
			Status string `json:"status"`
			Tasks  int    `json:"shots"`
		}
		if err := json.Unmarshal([]byte(c.store.Value("jobs/over/j-4")), &older); err != nil || older.Status != "done" || older.Tasks != 2 {
			t.Errorf("an older version reads %+v, %v", older, err)
		}
	})
}

// Cancelling a job cancels all its direct and indirect dependents within the cancellation limit,
// including dependents that are submitted during the cancellation or long after it.
func TestCancellationReachesAllDependents(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, dependentJob("j-1", 2))
		for i := 2; i <= 30; i++ {
			c.submit(i%3, dependentJob(fmt.Sprint("j-", i), 2, fmt.Sprint("j-", i-1)))
		}
		c.submit(0, dependentJob("j-100", 2))
		if _, st := c.ask(1, peer.MethodCancel, "j-1"); st != records.StatusCancelled {
			t.Fatalf("cancel: %q", st)
		}
		if got := c.submit(2, dependentJob("j-31", 2, "j-15", "j-100")); got != 201 {
			t.Errorf("submission of a dependent of a cancelled job: %d", got)
		}
		sleep(5)
		if open := c.store.Keys("jobs/open/"); len(open) != 1 {
			t.Errorf("still open: %v", open)
		}
		if got := c.submit(2, dependentJob("j-32", 2, "j-30")); got != 201 {
			t.Errorf("submission of a dependent long after the cancellation: %d", got)
		}
		c.wantCancelled(0, "j-2", "j-30", "j-31", "j-32")
		sleep(60)
		c.wantDone(1, "j-100")
	})
}

// Without a leader, a controller that is polled for a job checks itself whether a dependency was cancelled, and then
// stores the job's cancellation. This also holds at the end of a chain of 60 jobs.
func TestDependentsAreCancelledWithoutLeader(t *testing.T) {
	// The leader's lease is longer than the time for which a controller delays a confirmation in order to notify the
	// leader. So the cancellation is confirmed while there is no leader.
	runScenarioWith(t, func(c *cluster) { c.leaderLease = 12 * time.Second }, func(c *cluster) {
		sleep(2)
		old := c.leaderIndex()
		c.submit(old, dependentJob("j-1", 2))
		for i := 2; i <= 60; i++ {
			c.submit(old, dependentJob(fmt.Sprint("j-", i), 1, fmt.Sprint("j-", i-1)))
		}
		c.submit(old, dependentJob("j-100", 2))
		c.submit(old, dependentJob("j-101", 2, "j-100"))
		asked, other := (old+1)%3, (old+2)%3
		c.killController(old)
		c.killController(other)
		c.cancelUntilConfirmed(asked, "j-1")
		c.wantCancelled(asked, "j-60", "j-30")
		if _, st := c.ask(asked, peer.MethodPoll, "j-101"); st != records.StatusPending {
			t.Errorf("poll of a job without cancelled dependencies: %q", st)
		}
		if c.leaderIndex() >= 0 {
			t.Error("there is a leader, want none")
		}
		// The next leader cancels the remaining dependents.
		sleep(20)
		if open := c.store.Keys("jobs/open/"); len(open) != 2 {
			t.Errorf("still open: %v", open)
		}
		sleep(90)
		c.wantDone(asked, "j-101")
	})
}

// The leader is killed while it cancels a chain of dependents; the next leader cancels the rest.
func TestFailoverContinuesCancellationOfDependents(t *testing.T) {
	runScenarioWith(t, func(c *cluster) { c.cfg.Deployment.Store.TxnOps = 2 }, func(c *cluster) {
		sleep(2)
		c.submit(0, dependentJob("j-900", 1))
		c.submit(0, dependentJob("j-1", 2))
		for i := 2; i <= 200; i++ {
			c.submit(0, dependentJob(fmt.Sprint("j-", i), 1, fmt.Sprint("j-", i-1)))
		}
		c.ask(c.upControllerFrom(c.leaderIndex()+1), peer.MethodCancel, "j-1")
		for len(c.store.Keys("jobs/open/")) > 120 {
			sleep(0.05)
		}
		c.killController(c.leaderIndex())
		if n := len(c.store.Keys("jobs/open/")); n < 50 {
			t.Errorf("%d jobs were open when the leader died, want 50 or more", n)
		}
		sleep(20)
		if open := c.store.Keys("jobs/open/"); len(open) > 1 {
			t.Errorf("still open: %v", open)
		}
		c.wantCancelled(c.upControllerFrom(0), "j-200", "j-100")
		sleep(40)
		c.wantDone(c.upControllerFrom(0), "j-900")
	})
}

// The leader's commit of a job's completion is applied, but the response to the commit is lost. The job is done and
// its dependents run. Guards against a leader that takes the job's missing open record for a cancellation, and cancels
// the dependents although no user requested that.
func TestCompletedJobWithLostCommitResponseIsNotCancelled(t *testing.T) {
	for _, delay := range []time.Duration{0, 3 * time.Second} {
		runScenario(t, func(c *cluster) {
			c.env.RunTime = func(string) time.Duration { return 10 * time.Second }
			sleep(2)
			c.submit(0, dependentJob("j-1", 2))
			c.submit(0, dependentJob("j-2", 2, "j-1"))
			c.submit(0, dependentJob("j-3", 1, "j-2"))
			sleep(27)
			c.controller(c.leaderIndex()).client.LoseResponses(20, delay)
			sleep(20)
			c.controller(c.leaderIndex()).client.LoseResponses(0, 0)
			sleep(60)
			for i := range 3 {
				c.wantDone(i, "j-3")
			}
		})
	}
}

// A user cancels a job at about the time of its completion. If the response reports the job as done, its dependents
// run. If it reports the job as cancelled, its dependents are cancelled too.
func TestCancelRacingCompletionGivesOneFinalState(t *testing.T) {
	finalStates := map[string]int{}
	var end time.Duration // of the task of j-1, measured in the first run
	for k := range 25 {
		runScenario(t, func(c *cluster) {
			c.env.RunTime = func(string) time.Duration { return 10 * time.Second }
			began := time.Now()
			sleep(2)
			c.submit(0, dependentJob("j-1", 1))
			c.submit(0, dependentJob("j-2", 1, "j-1"))
			c.submit(0, dependentJob("j-3", 1, "j-2"))
			for end == 0 {
				sleep(0.001)
				c.env.mu.Lock()
				if len(c.env.completed["j-1"]) > 0 {
					end = time.Since(began)
				}
				c.env.mu.Unlock()
			}
			time.Sleep(end - time.Since(began) + time.Duration(k-12)*5*time.Millisecond)
			_, st := c.ask(c.upControllerFrom(k), peer.MethodCancel, "j-1")
			finalStates[st]++
			if k%2 == 0 {
				c.killController(c.leaderIndex())
			}
			sleep(70)
			up := c.upControllerFrom(0)
			if _, state := c.ask(up, peer.MethodPoll, "j-3"); state != st {
				t.Errorf("j-1 is %s, j-3 is %s", st, state)
			}
			if got, jobState := c.submit(up, dependentJob("j-4", 1, "j-1")), st; got != 201 {
				t.Errorf("submission of a dependent of a job that is %s: %d", jobState, got)
			}
			sleep(40)
			if _, state := c.ask(up, peer.MethodPoll, "j-4"); state != st {
				t.Errorf("j-1 is %s, j-4, submitted later, is %s", st, state)
			}
		})
	}
	if finalStates["done"] == 0 || finalStates["cancelled"] == 0 {
		t.Errorf("final states: %v, want both done and cancelled", finalStates)
	}
}
