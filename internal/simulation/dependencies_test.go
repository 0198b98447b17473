package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// dependentJob makes a job that waits for others.
func dependentJob(id string, tasks int, needs ...string) records.Job {
	return records.Job{ID: id, Tasks: tasks, EstimateS: 10, Dependencies: needs}
}

func (c *cluster) wantCancelled(i int, ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		if status, st := c.ask(i, "poll", id); status != 200 || st != "cancelled" {
			c.t.Errorf("poll %s at node %d: %d %q, want cancelled", id, i, status, st)
		}
	}
}

// cancelUntilConfirmed has a user cancel a job, and ask again as users do until that is confirmed. A leader
// that cannot be notified of it, as it is gone, holds that up for no longer than its lease may last.
func (c *cluster) cancelUntilConfirmed(i int, id string) {
	c.t.Helper()
	began := time.Now()
	for {
		status, st := c.ask(i, "withdraw", id)
		if st == "cancelled" {
			return
		}
		if status != 503 || time.Since(began) > c.leaderLease+2*time.Second {
			c.t.Fatalf("withdraw %s at node %d: %d %q after %v", id, i, status, st, time.Since(began))
		}
		sleep(1)
	}
}

// upNodeFrom is a node that is up.
func (c *cluster) upNodeFrom(i int) int {
	for c.node(i%3) == nil {
		i++
	}
	return i % 3
}

// A diamond across two teams and controllers, with the leader killed in between:
// everything runs once, in order.
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
		if _, st := c.ask(0, "poll", "j-4"); st != "pending" {
			t.Errorf("a waiting job is %q", st)
		}
		for range 4 {
			sleep(12)
			old := c.leaderIndex()
			c.killNode(old)
			sleep(1)
			c.startNode(old)
		}
		sleep(40)
		for _, id := range []string{"j-1", "j-2", "j-3", "j-4"} {
			c.wantDone(0, id)
		}
		if n := c.env.Starts(); n != 14 {
			t.Errorf("%d starts for 14 tasks", n)
		}
		var o records.ClosedJob
		if err := json.Unmarshal([]byte(c.store.Value("jobs/over/j-4")), &o); err != nil || o.AtMS == 0 {
			t.Errorf("when it was done is not on record: %+v, %v", o, err)
		}
		// The version in production reads its own fields of it.
		var was struct {
			Status string `json:"status"`
			Tasks  int    `json:"shots"`
		}
		if err := json.Unmarshal([]byte(c.store.Value("jobs/over/j-4")), &was); err != nil || was.Status != "done" || was.Tasks != 2 {
			t.Errorf("an earlier version reads %+v, %v", was, err)
		}
	})
}

// A cancelled job takes along all behind it, within the time that a cancellation has,
// also what is submitted while that is under way and long after.
func TestCancellationReachesAllDependents(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, dependentJob("j-1", 2))
		for i := 2; i <= 30; i++ {
			c.submit(i%3, dependentJob(fmt.Sprint("j-", i), 2, fmt.Sprint("j-", i-1)))
		}
		c.submit(0, dependentJob("j-100", 2))
		if _, st := c.ask(1, "withdraw", "j-1"); st != "cancelled" {
			t.Fatalf("withdraw: %q", st)
		}
		if got := c.submit(2, dependentJob("j-31", 2, "j-15", "j-100")); got != 201 {
			t.Errorf("a submission behind a cancelled one: %d", got)
		}
		sleep(5)
		if open := c.store.Keys("jobs/open/"); len(open) != 1 {
			t.Errorf("still open: %v", open)
		}
		if got := c.submit(2, dependentJob("j-32", 2, "j-30")); got != 201 {
			t.Errorf("a submission long after: %d", got)
		}
		c.wantCancelled(0, "j-2", "j-30", "j-31", "j-32")
		sleep(60)
		c.wantDone(1, "j-100")
	})
}

// No leader is there, and none may come: whoever is polled finds out itself, and stores
// it. A long chain is looked at too.
func TestDependentsAreCancelledWithoutLeader(t *testing.T) {
	// The leader's lease lasts longer than the others hold a cancellation back for it, so that it
	// is confirmed while nobody leads.
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
		c.killNode(old)
		c.killNode(other)
		c.cancelUntilConfirmed(asked, "j-1")
		c.wantCancelled(asked, "j-60", "j-30")
		if _, st := c.ask(asked, "poll", "j-101"); st != "pending" {
			t.Errorf("a job behind none that is cancelled: %q", st)
		}
		if c.leaderIndex() >= 0 {
			t.Error("there is a leader: nothing was tested")
		}
		// The next leader does the rest.
		sleep(20)
		if open := c.store.Keys("jobs/open/"); len(open) != 2 {
			t.Errorf("still open: %v", open)
		}
		sleep(90)
		c.wantDone(asked, "j-101")
	})
}

// The leader dies in the middle of a cascade; the next goes on with it.
func TestFailoverContinuesCancellationOfDependents(t *testing.T) {
	runScenarioWith(t, func(c *cluster) { c.cfg.Deployment.State.TxnOps = 2 }, func(c *cluster) {
		sleep(2)
		c.submit(0, dependentJob("j-900", 1))
		c.submit(0, dependentJob("j-1", 2))
		for i := 2; i <= 200; i++ {
			c.submit(0, dependentJob(fmt.Sprint("j-", i), 1, fmt.Sprint("j-", i-1)))
		}
		c.ask(c.upNodeFrom(c.leaderIndex()+1), "withdraw", "j-1")
		for len(c.store.Keys("jobs/open/")) > 120 {
			sleep(0.05)
		}
		c.killNode(c.leaderIndex())
		if n := len(c.store.Keys("jobs/open/")); n < 50 {
			t.Errorf("only %d jobs were left: nothing was tested", n)
		}
		sleep(20)
		if open := c.store.Keys("jobs/open/"); len(open) > 1 {
			t.Errorf("still open: %v", open)
		}
		c.wantCancelled(c.upNodeFrom(0), "j-200", "j-100")
		sleep(40)
		c.wantDone(c.upNodeFrom(0), "j-900")
	})
}

// The leader's own `done` goes through, but its answer is lost: the job is done, and
// those behind it go on. This prevents taking the missing open record for a
// cancellation, which would cancel dependents that nobody cancelled.
func TestJobDoneWithLostAnswerIsNotCancelled(t *testing.T) {
	for _, late := range []time.Duration{0, 3 * time.Second} {
		runScenario(t, func(c *cluster) {
			c.env.RunTime = func(string) time.Duration { return 10 * time.Second }
			sleep(2)
			c.submit(0, dependentJob("j-1", 2))
			c.submit(0, dependentJob("j-2", 2, "j-1"))
			c.submit(0, dependentJob("j-3", 1, "j-2"))
			sleep(27)
			c.node(c.leaderIndex()).client.LoseAnswers(20, late)
			sleep(20)
			c.node(c.leaderIndex()).client.LoseAnswers(0, 0)
			sleep(60)
			for i := range 3 {
				c.wantDone(i, "j-3")
			}
		})
	}
}

// A user cancels at the moment when the job gets done: either the user is told `done`, and
// what is behind goes on, or `cancelled`, and it does not.
func TestCancelRacingCompletionGivesOneFinalState(t *testing.T) {
	answers := map[string]int{}
	var end time.Duration // when the task ends, as the first day shows
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
			_, st := c.ask(c.upNodeFrom(k), "withdraw", "j-1")
			answers[st]++
			if k%2 == 0 {
				c.killNode(c.leaderIndex())
			}
			sleep(70)
			at := c.upNodeFrom(0)
			if _, last := c.ask(at, "poll", "j-3"); last != st {
				t.Errorf("j-1 is %s, j-3 is %s", st, last)
			}
			if got, told := c.submit(at, dependentJob("j-4", 1, "j-1")), st; got != 201 {
				t.Errorf("submission behind a job that is %s: %d", told, got)
			}
			sleep(40)
			if _, last := c.ask(at, "poll", "j-4"); last != st {
				t.Errorf("j-1 is %s, j-4, submitted later, is %s", st, last)
			}
		})
	}
	if answers["done"] == 0 || answers["cancelled"] == 0 {
		t.Errorf("one of both never happened: %v", answers)
	}
}

// productionRecords is what the version in production had in the store in the middle of a day:
// one large value of machines, finished tasks under a chunk's own id, final states
// without a time.
func productionRecords(t *testing.T) map[string]records.KeyValue {
	raw, err := os.ReadFile("testdata/production-records.json")
	rows := map[string]records.KeyValue{}
	if err == nil {
		err = json.Unmarshal(raw, &rows)
	}
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// readAsOlderVersion reads finished tasks and machines from the store as the version in production
// does: every entry of every value, a chunk's number as it stands.
func readAsOlderVersion(t *testing.T, s *Store, chunkTasks int) (done map[string]map[int]bool, hosts map[string]bool) {
	done, hosts = map[string]map[int]bool{}, map[string]bool{}
	for _, prefix := range []string{"done/", "machines/"} {
		for _, r := range s.List(prefix) {
			key := r.Key
			var m map[string]json.RawMessage
			if err := json.Unmarshal(r.Value, &m); err != nil {
				t.Fatalf("%s: %v", key, err)
			}
			for id, v := range m {
				if prefix == "machines/" {
					var h struct{ Addr, Rig, Site string }
					if json.Unmarshal(v, &h) != nil || h.Addr == "" || h.Rig == "" || h.Site == "" {
						t.Errorf("%s: machine %s is unreadable: %s", key, id, v)
					}
					hosts[id] = true
					continue
				}
				job, chunk, ok := records.ParsePartID(id)
				var text string
				if err := json.Unmarshal(v, &text); err != nil || !ok {
					t.Fatalf("%s: %s is unreadable: %s", key, id, v)
				}
				if done[job] == nil {
					done[job] = map[int]bool{}
				}
				if err := records.ParseRanges(text, func(i int) { done[job][chunk*chunkTasks+i] = true }); err != nil {
					t.Errorf("%s: %s: %v", key, id, err)
				}
			}
		}
	}
	return done, hosts
}

func announceLowerLimits(c *cluster) {
	kb, ops, rps := 2.0, 5, 15.0
	c.cfg.Deployment.State.Next = config.UpcomingLimits{ValueKB: &kb, TxnOps: &ops, WriteRPS: &rps}
	c.paced = true
}

// What the version in production left is taken over: finished tasks are not run again,
// machines on record are not forgotten, old final states serve as dependencies. Its
// large values are emptied before the limits fall, and at every moment it could read
// all that was finished before.
func TestRecordsOfOlderVersionAreReconciled(t *testing.T) {
	runScenarioWith(t, func(c *cluster) {
		announceLowerLimits(c)
		rows := productionRecords(t)
		c.store.Load(rows)
		for k, r := range rows {
			if id, ok := strings.CutPrefix(k, "jobs/open/"); ok {
				var j records.Job
				if err := json.Unmarshal(r.Value, &j); err != nil || j.Dependencies != nil {
					t.Fatalf("%s: %+v, %v", id, j, err)
				}
				c.jobs[id] = j
			}
		}
		c.jobs["j-2"], c.jobs["j-4"] = records.Job{}, records.Job{}
		c.env.cancelledAt["j-4"] = time.Now()
		c.env.completed["j-1"] = map[string]bool{}
		done, _ := readAsOlderVersion(c.t, c.store, records.ChunkTasks(8))
		for n := range done["j-1"] {
			c.env.completed["j-1"][fmt.Sprint("j-1/", n)] = true
		}
	}, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 4 * time.Second }
		before, machines := readAsOlderVersion(t, c.store, records.ChunkTasks(8))
		if len(before["j-1"]) < 1000 || len(machines) < 50 {
			t.Fatalf("%d tasks, %d machines on record", len(before["j-1"]), len(machines))
		}
		sleep(3)
		if got := c.submit(0, dependentJob("j-10", 1, "j-2")); got != 201 {
			t.Errorf("behind an old done job: %d", got)
		}
		if got := c.submit(1, dependentJob("j-11", 1, "j-4")); got != 201 {
			t.Errorf("behind an old cancelled job: %d", got)
		}
		if got := c.submit(1, dependentJob("j-12", 1, "j-1")); got != 201 {
			t.Errorf("behind an old open job: %d", got)
		}
		check := func() {
			now, _ := readAsOlderVersion(t, c.store, records.ChunkTasks(8))
			if len(c.store.Value("jobs/open/j-1")) == 0 {
				return
			}
			for n := range before["j-1"] {
				if !now["j-1"][n] {
					t.Fatalf("task %d of j-1 is lost from the record", n)
				}
			}
			before = now
		}
		for i := range 600 {
			sleep(0.1)
			check()
			if i == 200 {
				for _, prefix := range []string{"done/", "machines/"} {
					for _, k := range c.store.Keys(prefix) {
						if n := len(c.store.Value(k)); n > 2048 {
							t.Errorf("%s still takes %d bytes", k, n)
						}
					}
				}
				c.store.SetLimits(2, 5, 15)
			}
			if i == 300 {
				c.killNode(c.leaderIndex())
			}
		}
		sleep(60)
		at := c.upNodeFrom(0)
		c.wantDone(at, "j-1")
		c.wantDone(at, "j-10")
		c.wantDone(at, "j-12")
		c.wantCancelled(at, "j-11")
		if n := c.env.Starts(); n > 2500-1354+2 {
			t.Errorf("%d starts, though 1354 of 2500 tasks were done", n)
		}
		if len(c.store.TooLarge) > 0 {
			t.Errorf("refused as too large: %v", c.store.TooLarge)
		}
		if c.store.ThrottledWrites > 5 {
			t.Errorf("%d times too many changes a second", c.store.ThrottledWrites)
		}
	})
}

// Limits fall without any notice in the settings: a few writes are refused, none for
// ever, and the work goes on.
func TestUnannouncedLowerLimitsLoseNothing(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(task string) time.Duration { return time.Duration(3+len(task)*7%9) * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 1200, EstimateS: 6})
		c.submit(0, records.Job{ID: "j-2", Tasks: 300, EstimateS: 6})
		sleep(20.4)
		c.store.SetLimits(2, 5, 5)
		c.submit(1, records.Job{ID: "j-3", Tasks: 300, EstimateS: 6})
		sleep(20)
		refused := len(c.store.TooLarge)
		if refused == 0 {
			t.Error("nothing was refused: nothing was tested")
		}
		c.killNode(c.leaderIndex())
		// More submissions than changes are allowed are told to come back, and are taken then.
		at, later := c.upNodeFrom(0), 0
		for i := range 20 {
			if c.submit(at, dependentJob(fmt.Sprint("j-1", i), 1, "j-3")) != 201 {
				later++
			}
		}
		if later == 0 {
			t.Error("never too many changes a second: nothing was tested")
		}
		for i := range 20 {
			got := 0
			for try := 0; got != 201 && got != 200; try++ {
				if try == 20 {
					t.Fatalf("j-1%d: %d after %d s", i, got, try)
				}
				sleep(1)
				got = c.submit(at, dependentJob(fmt.Sprint("j-1", i), 1, "j-3"))
			}
		}
		sleep(140)
		c.wantDone(at, "j-119")
		for _, id := range []string{"j-1", "j-2", "j-3"} {
			c.wantDone(at, id)
		}
		if n := len(c.store.TooLarge); n > 30 {
			t.Errorf("%d writes were refused: %v", n, c.store.TooLarge[:30])
		}
	})
}
