package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"drumpick/internal/records"
)

// productionRecords returns store entries as the version in production writes them: all machines in
// one large value, finished tasks under the id of their chunk, and final states without a time.
func productionRecords(t *testing.T) map[string]records.KeyValue {
	raw, err := os.ReadFile("testdata/production-records.json")
	entries := map[string]records.KeyValue{}
	if err == nil {
		err = json.Unmarshal(raw, &entries)
	}
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// readAsOlderVersion reads finished tasks and machines from the store as the version in production
// does: every entry of every value, with the chunk numbers as stored.
func readAsOlderVersion(t *testing.T, s *Store, chunkTasks int) (done map[string]map[int]bool, machines map[string]bool) {
	done, machines = map[string]map[int]bool{}, map[string]bool{}
	for _, prefix := range []string{"done/", "machines/"} {
		for _, r := range s.List(prefix) {
			key := r.Key
			var m map[string]json.RawMessage
			if err := json.Unmarshal(r.Value, &m); err != nil {
				t.Fatalf("%s: %v", key, err)
			}
			for id, v := range m {
				if prefix == "machines/" {
					var machine struct {
						Addr string
						Type string `json:"rig"`
						Zone string `json:"site"`
					}
					if json.Unmarshal(v, &machine) != nil || machine.Addr == "" || machine.Type == "" || machine.Zone == "" {
						t.Errorf("%s: machine %s is unreadable: %s", key, id, v)
					}
					machines[id] = true
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
	return done, machines
}

// The leader reconciles the records of the version in production: finished tasks do not run again, recorded machines
// are kept, and new jobs can depend on jobs with old final states. The leader empties the large values before the
// store's limits are lowered. At any time the older version can read which tasks had finished before.
func TestRecordsOfOlderVersionAreReconciled(t *testing.T) {
	runScenarioWith(t, func(c *cluster) {
		announceLowerLimits(c)
		entries := productionRecords(t)
		c.store.ImportEntries(entries)
		for k, r := range entries {
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
			t.Fatalf("%d finished tasks and %d machines on record, want 1000 and 50 or more", len(before["j-1"]), len(machines))
		}
		sleep(3)
		if got := c.submit(0, dependentJob("j-10", 1, "j-2")); got != 201 {
			t.Errorf("submission of a dependent of an old done job: %d", got)
		}
		if got := c.submit(1, dependentJob("j-11", 1, "j-4")); got != 201 {
			t.Errorf("submission of a dependent of an old cancelled job: %d", got)
		}
		if got := c.submit(1, dependentJob("j-12", 1, "j-1")); got != 201 {
			t.Errorf("submission of a dependent of an old open job: %d", got)
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
				c.killController(c.leaderIndex())
			}
		}
		sleep(60)
		at := c.upControllerFrom(0)
		c.wantDone(at, "j-1")
		c.wantDone(at, "j-10")
		c.wantDone(at, "j-12")
		c.wantCancelled(at, "j-11")
		if n := c.env.Starts(); n > 2500-1354+2 {
			t.Errorf("%d starts, though 1354 of 2500 tasks were done", n)
		}
		if len(c.store.OversizedTransactions()) > 0 {
			t.Errorf("transactions refused as too large: %v", c.store.OversizedTransactions())
		}
		if c.store.ThrottledWrites() > 5 {
			t.Errorf("%d throttled writes, want at most 5", c.store.ThrottledWrites())
		}
	})
}
