package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"drumpick/internal/records"
)

// recordCheck holds what a leader has on record, at every change of the store, against what the
// next one would need: no machine with tasks is missing, no watermark of an open job falls, no
// finished task is forgotten, and what was deleted does not come back.
type recordCheck struct {
	cluster    *cluster
	watermarks map[string]int
	done       map[string]int
	deleted    map[string]bool
	failed     map[string]bool
}

func checkRecords(c *cluster) *recordCheck {
	r := &recordCheck{cluster: c, watermarks: map[string]int{}, done: map[string]int{}, deleted: map[string]bool{}, failed: map[string]bool{}}
	c.store.mu.Lock()
	c.store.OnChange = r.changed
	c.store.mu.Unlock()
	return r
}

func (r *recordCheck) fail(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !r.failed[text] {
		r.failed[text] = true
		r.cluster.t.Error(text)
	}
}

// entries reads all records under a prefix; the store is locked.
func (r *recordCheck) entries(prefix string, each func(id string, v json.RawMessage)) {
	for key, row := range r.cluster.store.entries {
		if strings.HasPrefix(key, prefix) {
			all, err := records.Entries(prefix, row)
			if err != nil {
				r.fail("%s: %v", key, err)
			}
			for id, v := range all {
				each(id, v)
			}
		}
	}
}

func (r *recordCheck) changed(ch Change) {
	for _, key := range ch.Deletes {
		r.deleted[key] = r.deleted[key] || !strings.HasPrefix(key, records.KeyLeader)
	}
	for _, row := range ch.Writes {
		if r.deleted[row.Key] {
			r.fail("%s is back after it was deleted", row.Key)
		}
	}
	hosts, marks, done := map[string]bool{}, map[string]int{}, map[string]int{}
	r.entries(records.PrefixMachines, func(id string, _ json.RawMessage) { hosts[id] = true })
	r.entries(records.PrefixWatermarks, func(id string, v json.RawMessage) {
		n, _ := records.ParseWatermark(v)
		marks[id] = max(marks[id], n)
	})
	r.entries(records.PrefixDone, func(id string, v json.RawMessage) {
		var ranges string
		_ = json.Unmarshal(v, &ranges)
		job, _, _ := records.ParsePartID(id)
		_ = records.ParseRanges(ranges, func(int) { done[job]++ })
	})
	for id, n := range r.watermarks {
		if _, open := r.cluster.store.entries[records.OpenKey(id)]; open && marks[id] < n {
			r.fail("the watermark of %s fell from %d to %d", id, n, marks[id])
		}
	}
	for id, n := range r.done {
		if _, open := r.cluster.store.entries[records.OpenKey(id)]; open && done[id] < n {
			r.fail("%d of %d finished tasks of %s are forgotten", n-done[id], n, id)
		}
	}
	r.watermarks, r.done = marks, done
	for _, m := range r.cluster.env.Machines() {
		r.cluster.env.mu.Lock()
		holds := ""
		for _, s := range m.tasks {
			if s.status != "ended" {
				holds = s.task
			}
		}
		r.cluster.env.mu.Unlock()
		if holds != "" && !hosts[m.Name] {
			r.fail("%s has %s and is not on record", m.Name, holds)
		}
	}
}

// Transactions without an answer are carried out seconds later, after newer ones of the same
// controller, while machines come and go and leaders end beside a zone that nobody reaches.
// As it was, all of a term's writes compared nothing but the leader's key: a late one
// took back what newer ones had put in.
func TestLateWritesTakeNothingBack(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 35))
			runScenarioWith(t, func(c *cluster) { c.env.ZoneCapacity = 12 }, func(c *cluster) {
				c.env.RunTime = mixedRunTime
				checkRecords(c)
				late := func() {
					for i := range 3 {
						if n := c.node(i); n != nil {
							n.client.SetLateWrites(randomLateWrites(seed + uint64(i)))
						}
					}
				}
				sleep(2)
				late()
				for n := range 12 {
					j := records.Job{ID: fmt.Sprint("j-", n+1), Tasks: 4 + r.IntN(60), CPUs: float64(1 + r.IntN(4)), EstimateS: 8}
					for try := range 6 { // as users do, until somebody answers
						if status := c.submit((n+try)%3, j); status == 201 || status == 200 {
							break
						}
						sleep(1)
					}
					if n%4 == 3 {
						c.ask(n%3, "withdraw", fmt.Sprint("j-", n+1))
						c.expectCancelled(fmt.Sprint("j-", n+1))
					}
					sleep(float64(1 + r.IntN(14)))
					switch ms := c.env.Machines(); r.IntN(4) {
					case 0:
						if len(ms) > 0 {
							ms[r.IntN(len(ms))].Die()
						}
					case 1:
						l := max(c.leaderIndex(), 0)
						c.env.PartitionZone("b", true)
						c.killNode(l)
						sleep(float64(r.IntN(8)))
						c.startNode(l)
						late()
						c.env.PartitionZone("b", false)
					}
				}
				for i := range 3 {
					c.node(i).client.SetLateWrites(nil)
				}
				sleep(240)
				c.wantAllKnown()
				c.wantNoVanishedMachines()
				if len(c.env.acceptedAt) < 6 {
					t.Errorf("%d jobs were accepted", len(c.env.acceptedAt))
				}
			})
		})
	}
}

// expectCancelled takes a job from those that are asked about in the end.
func (c *cluster) expectCancelled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelledJobs[id] = true
	for i, x := range c.expectedDone {
		if x == id {
			c.expectedDone = append(c.expectedDone[:i:i], c.expectedDone[i+1:]...)
			return
		}
	}
}
