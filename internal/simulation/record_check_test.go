package simulation

import (
	"encoding/json"
	"fmt"
	"strings"

	"drumpick/internal/records"
)

// recordCheck checks at every change of the store that the records suffice for the next leader: every machine with
// tasks has a record, no watermark of an open job falls, no finished task of an open job is lost, and no deleted key
// except the leader key is written again.
type recordCheck struct {
	cluster       *cluster
	watermarks    map[string]int  // by job ID, at the last change
	finishedTasks map[string]int  // number of recorded finished tasks by job ID, at the last change
	deleted       map[string]bool // keys that were deleted, except the leader key
	reported      map[string]bool // texts of the reported test errors
}

// installRecordCheck makes the store call a new recordCheck at every change.
func installRecordCheck(c *cluster) *recordCheck {
	r := &recordCheck{cluster: c, watermarks: map[string]int{}, finishedTasks: map[string]int{}, deleted: map[string]bool{}, reported: map[string]bool{}}
	c.store.mu.Lock()
	c.store.OnChange = r.checkChange
	c.store.mu.Unlock()
	return r
}

// fail reports a test error, once for each distinct text.
func (r *recordCheck) fail(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !r.reported[text] {
		r.reported[text] = true
		r.cluster.t.Error(text)
	}
}

// forEachEntry decodes the values under a prefix and calls each for all entries in them. The caller holds the store's
// lock.
func (r *recordCheck) forEachEntry(prefix string, each func(id string, v json.RawMessage)) {
	for key, entry := range r.cluster.store.entries {
		if strings.HasPrefix(key, prefix) {
			all, err := records.DecodeEntries(prefix, entry)
			if err != nil {
				r.fail("%s: %v", key, err)
			}
			for id, v := range all {
				each(id, v)
			}
		}
	}
}

// checkChange is the store's OnChange function.
func (r *recordCheck) checkChange(change Change) {
	for _, key := range change.Deletes {
		r.deleted[key] = r.deleted[key] || !strings.HasPrefix(key, records.KeyLeader)
	}
	for _, entry := range change.Writes {
		if r.deleted[entry.Key] {
			r.fail("%s was written again after it was deleted", entry.Key)
		}
	}
	machines, watermarks, finishedTasks := map[string]bool{}, map[string]int{}, map[string]int{}
	r.forEachEntry(records.PrefixMachines, func(id string, _ json.RawMessage) { machines[id] = true })
	r.forEachEntry(records.PrefixWatermarks, func(id string, v json.RawMessage) {
		n, _ := records.ParseWatermark(v)
		watermarks[id] = max(watermarks[id], n)
	})
	r.forEachEntry(records.PrefixFinishedTasks, func(id string, v json.RawMessage) {
		var ranges string
		_ = json.Unmarshal(v, &ranges)
		job, _, _ := records.ParsePartID(id)
		_ = records.ParseRanges(ranges, func(int) { finishedTasks[job]++ })
	})
	for id, n := range r.watermarks {
		if _, open := r.cluster.store.entries[records.OpenKey(id)]; open && watermarks[id] < n {
			r.fail("the watermark of %s fell from %d to %d", id, n, watermarks[id])
		}
	}
	for id, n := range r.finishedTasks {
		if _, open := r.cluster.store.entries[records.OpenKey(id)]; open && finishedTasks[id] < n {
			r.fail("%d of %d finished tasks of %s are no longer recorded", n-finishedTasks[id], n, id)
		}
	}
	r.watermarks, r.finishedTasks = watermarks, finishedTasks
	for _, m := range r.cluster.env.Machines() {
		r.cluster.env.mu.Lock()
		task := ""
		for _, a := range m.tasks {
			if a.status != statusEnded {
				task = a.task
			}
		}
		r.cluster.env.mu.Unlock()
		if task != "" && !machines[m.Name] {
			r.fail("%s has task %s but no record", m.Name, task)
		}
	}
}
