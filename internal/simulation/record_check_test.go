package simulation

import (
	"encoding/json"
	"fmt"
	"strings"

	"drumpick/internal/records"
)

// recordCheck holds what a leader has on record, at every change of the store, against what the
// next one would need: no machine with tasks is missing, no watermark of an open job falls, no
// finished task is forgotten, and what was deleted does not come back.
type recordCheck struct {
	cluster       *cluster
	watermarks    map[string]int
	finishedTasks map[string]int
	deleted       map[string]bool
	reported      map[string]bool
}

func installRecordCheck(c *cluster) *recordCheck {
	r := &recordCheck{cluster: c, watermarks: map[string]int{}, finishedTasks: map[string]int{}, deleted: map[string]bool{}, reported: map[string]bool{}}
	c.store.mu.Lock()
	c.store.OnChange = r.checkChange
	c.store.mu.Unlock()
	return r
}

func (r *recordCheck) fail(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !r.reported[text] {
		r.reported[text] = true
		r.cluster.t.Error(text)
	}
}

// forEachEntry reads all records under a prefix; the store is locked.
func (r *recordCheck) forEachEntry(prefix string, each func(id string, v json.RawMessage)) {
	for key, row := range r.cluster.store.entries {
		if strings.HasPrefix(key, prefix) {
			all, err := records.DecodeEntries(prefix, row)
			if err != nil {
				r.fail("%s: %v", key, err)
			}
			for id, v := range all {
				each(id, v)
			}
		}
	}
}

func (r *recordCheck) checkChange(ch Change) {
	for _, key := range ch.Deletes {
		r.deleted[key] = r.deleted[key] || !strings.HasPrefix(key, records.KeyLeader)
	}
	for _, row := range ch.Writes {
		if r.deleted[row.Key] {
			r.fail("%s is back after it was deleted", row.Key)
		}
	}
	hosts, marks, done := map[string]bool{}, map[string]int{}, map[string]int{}
	r.forEachEntry(records.PrefixMachines, func(id string, _ json.RawMessage) { hosts[id] = true })
	r.forEachEntry(records.PrefixWatermarks, func(id string, v json.RawMessage) {
		n, _ := records.ParseWatermark(v)
		marks[id] = max(marks[id], n)
	})
	r.forEachEntry(records.PrefixFinishedTasks, func(id string, v json.RawMessage) {
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
	for id, n := range r.finishedTasks {
		if _, open := r.cluster.store.entries[records.OpenKey(id)]; open && done[id] < n {
			r.fail("%d of %d finished tasks of %s are forgotten", n-done[id], n, id)
		}
	}
	r.watermarks, r.finishedTasks = marks, done
	for _, m := range r.cluster.env.Machines() {
		r.cluster.env.mu.Lock()
		holds := ""
		for _, s := range m.tasks {
			if s.status != statusEnded {
				holds = s.task
			}
		}
		r.cluster.env.mu.Unlock()
		if holds != "" && !hosts[m.Name] {
			r.fail("%s has %s and is not on record", m.Name, holds)
		}
	}
}
