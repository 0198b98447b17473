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
	cfg.Deployment.State.ValueKB = valueKB
	cfg.Options.Watermarks = true
	now := time.Unix(1_000_000, 0)
	c := New(SettingsOf(cfg), term, now)
	return c, NewPersistence(c, valueKB, 16), now
}

func noAttestation(time.Time) *watermark.StoredAttestation { return nil }

// The limits fall while watermarks rise: a page of watermarks is refused as too large, and what is stored
// in its place is what is requested by then. A watermark put back as it was would leave the tasks of
// its job waiting for the one that was requested.
func TestRefusedWatermarkPagesAreStoredWithLatestRequests(t *testing.T) {
	c, r, now := newTestPersistence(1, 8)
	r.FinishLoading(false)
	c.CheckReconciled(now)
	const jobs = 200
	for n := range jobs {
		c.AddJob(records.Job{ID: fmt.Sprint("j-", n), Team: "team", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: 5000, CPUs: 1}, 10, now, now)
	}
	even := func(id string) bool { return strings.Contains("02468", id[len(id)-1:]) }
	for _, j := range c.jobs {
		c.raiseWatermark(j, 1000)
	}
	stored := map[string]map[string]json.RawMessage{}
	refused := 0
	for round := range 6 {
		now = now.Add(time.Second)
		for _, w := range r.NextWrites(now, noAttestation) {
			key := w.Ops[0].Write
			if !strings.HasPrefix(key, records.PrefixWatermarks) {
				continue
			}
			entries := w.Ops[0].Value.(map[string]json.RawMessage)
			if records.EncodedSize(entries) > 2<<10 {
				for id, j := range c.jobs {
					if even(id) {
						c.raiseWatermark(j, 3000) // while it was on its way
					}
				}
				w.OnTooLarge()
				refused++
				continue
			}
			stored[key] = entries
			w.OnStored(uint64(20 + round))
		}
	}
	if refused == 0 {
		t.Fatal("no page was refused: the test shows nothing")
	}
	for id, j := range c.jobs {
		if !j.watermark.Covers(1000) || even(id) && !j.watermark.Covers(3000) {
			t.Errorf("%s: its watermark is %+v, and tasks wait", id, j.watermark)
		}
		most := 0
		for _, entries := range stored {
			if v, ok := entries[id]; ok {
				n, err := records.ParseWatermark(v)
				if err != nil {
					t.Fatal(err)
				}
				most = max(most, n)
			}
		}
		if most != j.watermark.Stored {
			t.Errorf("%s: the store has %d, %d is taken to be stored", id, most, j.watermark.Stored)
		}
	}
}

// A page of watermarks that cannot be read may have held any job's: all older work is uncertain.
func TestUnreadableWatermarksMakeAllTasksUncertain(t *testing.T) {
	for value, whole := range map[string]bool{
		`{"j-1":"000004"}`: true, `{"j-1":"-2"}`: false, `{"j-1":7}`: false, `"torn`: false, `[]`: false,
	} {
		c, r, now := newTestPersistence(30, 8)
		c.AddJob(records.Job{ID: "j-1", Team: "team", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: 10, CPUs: 1}, 10, now, now)
		c.LoadMachine("m-1", records.Machine{Addr: "m-1:1"}, now)
		r.LoadWatermarkPage(records.KeyValue{Key: records.PrefixWatermarks + "1-1", Value: json.RawMessage(value)})
		r.FinishLoading(true)
		if n := c.jobs["j-1"].countUncertain(); (n < 10) != whole {
			t.Errorf("watermarks %s: %d tasks of 10 are uncertain, want fewer: %v", value, n, whole)
		}
	}
}
