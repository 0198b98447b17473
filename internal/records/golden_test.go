package records

import (
	"encoding/json"
	"testing"

	"drumpick/internal/goldentest"
)

// The encodings of all records, and of the parts of the store's requests and responses, do not
// change: controllers of several versions read them.
func TestGoldenRecords(t *testing.T) {
	zone, due := "a", 300.5
	job := Job{
		ID: "j-412", Class: "train", Team: "vision", Shape: ShapeGang, Priority: PriorityUrgent, Tasks: 4,
		CPUs: 1.5, GPUs: 2, MemGB: 16, Image: "img", ImageGB: 3, Types: []string{"c4", "g8"}, Zone: &zone,
		OneZone: true, SpreadZones: true, Spot: true, EstimateS: 10, CheckpointS: 5, SaveS: 2, DeadlineS: &due,
		AcceptedMS: 946684802000, Dependencies: []string{"j-1", "j-2"},
	}
	machineType := MachineType{
		Name: "c4", CPUs: 4, GPUs: 1, MemGB: 16, CacheGB: 50, FetchGBps: 0.5, Price: 0.2, SpotPrice: 0.05,
		StartupS: 30, Zones: []string{"a", "b"},
	}
	record := KeyValue{Key: "leader", Value: json.RawMessage(`{"node":"n-2"}`), Revision: 7, LeaseID: 8}
	goldentest.Run(t, "golden-records.json", goldentest.JSON, []goldentest.Case{
		{Name: "leader", Value: Leader{Node: "n-2", Incarnation: "start-3", Watermarks: true}},
		{Name: "open job", Value: job},
		{Name: "job that is over", Value: ClosedJob{Status: StatusDone, Tasks: 90, AtMS: 946684803000, Service: true}},
		{Name: "machine", Value: Machine{Addr: "10.1.0.232:9000", Type: "c4", Zone: "a", Spot: true, Incarnation: 3}},
		{Name: "machine types", Value: MachineTypes{Types: []MachineType{machineType}}},
		{Name: "sent mark", Value: FormatWatermark(42)},
		{Name: "finished tasks of a chunk", Value: FormatRanges(func(i int) bool { return i < 5 || i == 7 }, 9)},
		{Name: "keys", Direction: goldentest.WriteOnly, Value: []string{
			KeyLeader, OpenKey("j-412"), ClosedKey("j-412"), PrefixFinishedTasks, PrefixMachines, PrefixWatermarks, KeyWatermarksComplete,
			KeyMachineTypes, PrefixDrains, PrefixDrainState, KeyDrainSequence, PartID("j-412", 7, 2),
		}},
		{Name: "shapes", Direction: goldentest.WriteOnly, Value: []string{ShapeArray, ShapeGang, ShapeService}},
		{Name: "states of jobs", Direction: goldentest.WriteOnly, Value: []string{
			StatusPending, StatusRunning, StatusDone, StatusCancelled,
		}},
		{Name: "priorities", Direction: goldentest.WriteOnly, Value: []string{
			PriorityCritical, PriorityUrgent, PriorityStandard, PriorityLow,
		}},
		{Name: "row", Direction: goldentest.ReadOnly, Value: record},
		// A local cluster's store writes its records in this form.
		{Name: "row, written", Direction: goldentest.WriteOnly, Value: record},
		{Name: "condition", Direction: goldentest.WriteOnly, Value: Compare{Key: "leader", Revision: 7}},
		{Name: "change", Direction: goldentest.WriteOnly, Value: Op{Write: "types", Value: map[string]int{"n": 1}, LeaseID: 8, Delete: "whole"}},
		{Name: "event", Direction: goldentest.ReadOnly, Value: Event{
			Write: "types", Delete: "whole", Value: json.RawMessage(`{"n":1}`), Revision: 7,
		}},
		{Name: "conflict", Direction: goldentest.ReadOnly, Value: ConflictError{Failed: []string{"leader"}, Revision: 9}},
	})
	if n, err := ParseWatermark(FormatWatermark(42)); err != nil || n != 42 {
		t.Errorf("the watermark is read as %d, %v, want 42", n, err)
	}
}

// A value shared by many records is an object of records by id. A single record under a key of its
// own, as earlier versions wrote it, is read as well.
func TestGoldenSharedValues(t *testing.T) {
	f := goldentest.Open(t, "golden-shared-values.json")
	for name, x := range map[string]struct {
		prefix string
		id     string
		value  json.RawMessage
	}{
		"machines":       {PrefixMachines, "m-000001", json.RawMessage(`{"addr":"m:1","rig":"c4","site":"a","loaners":true,"stint":1}`)},
		"finished tasks": {PrefixFinishedTasks, PartID("j-412", 7, 2), json.RawMessage(`"0-4,7"`)},
		"sent marks":     {PrefixWatermarks, "j-412", FormatWatermark(42)},
	} {
		t.Run(name, func(t *testing.T) {
			paged := NewPagedRecords(x.prefix, 8, func() string { return "1-1" })
			if !paged.Put(x.id, x.value, 0) {
				t.Fatal("the record does not fit on a page")
			}
			op, _, _ := paged.PrepareWrite(paged.DirtyPages()[0])
			raw, err := json.Marshal(op)
			if err != nil {
				t.Fatal(err)
			}
			golden := f.Check(t, name, raw, true)
			var read struct {
				Write string          `json:"write"`
				Value json.RawMessage `json:"value"`
			}
			if err := json.Unmarshal(golden, &read); err != nil {
				t.Fatal(err)
			}
			stored := []KeyValue{
				{Key: read.Write, Value: read.Value},
				{Key: x.prefix + x.id, Value: x.value},
			}
			for _, record := range stored {
				entries, err := DecodeEntries(x.prefix, record)
				if err != nil || len(entries) != 1 || string(entries[x.id]) != string(x.value) {
					t.Errorf("%s is read as %s, %v, want %s of %s", record.Key, entries, err, x.value, x.id)
				}
			}
		})
	}
}
