package scheduler

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

func newTestPersistence(term uint64, valueKB float64) (*Scheduler, *Persistence, time.Time) {
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, CancelS: 30}
	cfg.Deployment.Store.ValueKB = valueKB
	cfg.Options.Watermarks = true
	now := time.Unix(1_000_000, 0)
	s := New(SettingsOf(cfg), term, now)
	return s, NewPersistence(s, valueKB, 16), now
}

func noAttestation(time.Time) *watermark.StoredAttestation { return nil }

// Guards against storing outdated watermarks after the store rejects a page as too large, for example
// because the store's limits were lowered. Watermarks that are raised while the page is being written
// must be stored with their new values; otherwise tasks of these jobs would wait forever.
func TestRefusedWatermarkPagesAreStoredWithLatestRequests(t *testing.T) {
	s, p, now := newTestPersistence(1, 8)
	p.FinishLoading(false)
	s.CheckReconciled(now)
	const jobs = 200
	for n := range jobs {
		s.AddJob(records.Job{ID: fmt.Sprint("j-", n), Team: "team", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: 5000, CPUs: 1}, 10, now, now)
	}
	even := func(id string) bool { return strings.Contains("02468", id[len(id)-1:]) }
	for _, j := range s.jobs {
		s.raiseWatermark(j, 1000)
	}
	stored := map[string]map[string]json.RawMessage{}
	rejected := 0
	for round := range 6 {
		now = now.Add(time.Second)
		for _, w := range p.NextWrites(now, noAttestation) {
			key := w.Ops[0].Write
			if !strings.HasPrefix(key, records.PrefixWatermarks) {
				continue
			}
			entries := w.Ops[0].Value.(map[string]json.RawMessage)
			if records.EncodedSize(entries) > 2<<10 {
				for id, j := range s.jobs {
					if even(id) {
						s.raiseWatermark(j, 3000) // raised while the page is being written
					}
				}
				w.OnTooLarge()
				rejected++
				continue
			}
			stored[key] = entries
			w.OnStored(uint64(20 + round))
		}
	}
	if rejected == 0 {
		t.Fatal("no page was rejected as too large, so the case is not tested")
	}
	for id, j := range s.jobs {
		if !j.watermark.Covers(1000) || even(id) && !j.watermark.Covers(3000) {
			t.Errorf("%s: watermark is %+v, so tasks wait", id, j.watermark)
		}
		maxStored := 0
		for _, entries := range stored {
			if v, ok := entries[id]; ok {
				n, err := records.ParseWatermark(v)
				if err != nil {
					t.Fatal(err)
				}
				maxStored = max(maxStored, n)
			}
		}
		if maxStored != j.watermark.Stored {
			t.Errorf("%s: stored watermark is %d, the scheduler assumes %d", id, maxStored, j.watermark.Stored)
		}
	}
}

// A page of watermarks that cannot be read, in whole or in part, may have covered any task. All
// tasks of jobs from earlier terms must then be uncertain; otherwise a task could be started a
// second time.
func TestUnreadableWatermarksMakeAllTasksUncertain(t *testing.T) {
	for value, readable := range map[string]bool{
		`{"j-1":"000004"}`: true, `{"j-1":"-2"}`: false, `{"j-1":7}`: false, `"torn`: false, `[]`: false,
	} {
		s, p, now := newTestPersistence(30, 8)
		s.AddJob(records.Job{ID: "j-1", Team: "team", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: 10, CPUs: 1}, 10, now, now)
		s.LoadMachine("m-1", records.Machine{Addr: "m-1:1"}, now)
		p.LoadWatermarkPage(records.KeyValue{Key: records.PrefixWatermarks + "1-1", Value: json.RawMessage(value)})
		p.FinishLoading(true)
		if n := s.jobs["j-1"].countUncertain(); (n < 10) != readable {
			t.Errorf("watermarks %s: %d of 10 tasks are uncertain, want fewer: %v", value, n, readable)
		}
	}
}
