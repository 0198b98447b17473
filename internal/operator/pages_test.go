package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/messagesize"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// longText is a text that takes six times as many bytes in JSON.
func longText(n int) string { return strings.Repeat("<", n) }

// get requests a path and decodes the response, which must be a 200 within the limit of the protocol.
func (c *testCluster) get(path string, out any) {
	c.t.Helper()
	status, text := c.request("n-1", http.MethodGet, path, "")
	if status != http.StatusOK || len(text) > messagesize.Max {
		c.t.Fatalf("%s: got status %d with %d bytes, want 200 with at most %d", path, status, len(text), messagesize.Max)
	}
	if err := json.Unmarshal([]byte(text), out); err != nil {
		c.t.Fatalf("%s: %v", path, err)
	}
}

// Guards against a list of machines that exceeds the limit on a response: the pages were bounded by the
// number of machines, whatever their names and versions.
func TestMachinePagesAreBounded(t *testing.T) {
	cluster := newTestCluster(t)
	const machines = 500
	for i := range machines {
		cluster.leader.machines = append(cluster.leader.machines, scheduler.MachineView{Name: fmt.Sprintf("m-%06d", i), Version: longText(200)})
	}
	listed := 0
	for since, more := "", true; more; {
		var page Machines
		cluster.get("/operator/machines?since="+since, &page)
		if len(page.Machines) == 0 {
			t.Fatalf("the page after %q lists no machine", since)
		}
		listed += len(page.Machines)
		since, more = page.Machines[len(page.Machines)-1].Name, page.More
	}
	if listed != machines {
		t.Errorf("%d machines are listed, want %d", listed, machines)
	}
}

// Guards against the view of a machine with many tasks that exceeds the limit on a response.
func TestMachineViewIsBounded(t *testing.T) {
	cluster := newTestCluster(t)
	const tasks = 1100
	view := scheduler.MachineView{Name: "m-000001", TaskCount: tasks}
	for i := range tasks {
		view.Tasks = append(view.Tasks, scheduler.TaskView{Task: fmt.Sprint("j-000412/", i), Attempt: 838860812, State: "running", RanS: 12.345678901})
	}
	cluster.leader.machines = []scheduler.MachineView{view}
	var got scheduler.MachineView
	cluster.get("/operator/machines/m-000001", &got)
	if len(got.Tasks)+got.OmittedTasks != tasks || got.OmittedTasks == 0 || len(got.Tasks) < tasks/3 {
		t.Errorf("%d tasks are listed and %d omitted, want %d together", len(got.Tasks), got.OmittedTasks, tasks)
	}
}

// Guards against a list of drains that exceeds the limit on a response: the drains in force and the
// ended ones that are kept together may have 114 records of 8 KiB.
func TestDrainPagesAreBounded(t *testing.T) {
	cluster := newTestCluster(t)
	const drains = 114
	entries := map[string]records.KeyValue{}
	for i := range drains {
		id := fmt.Sprintf("d-%d", i)
		raw, err := json.Marshal(drain.Spec{ID: id, Kind: drain.KindDrain, Zone: longText(200), Version: longText(200), Machines: []string{longText(200)}})
		if err != nil {
			t.Fatal(err)
		}
		entries[records.PrefixDrains+id] = records.KeyValue{Key: records.PrefixDrains + id, Value: raw}
	}
	cluster.store.ImportEntries(entries)
	listed := map[string]bool{}
	for since, more := "", true; more; {
		var page Drains
		cluster.get("/operator/drains?since="+since, &page)
		if len(page.Drains) == 0 {
			t.Fatalf("the page after %q lists no drain", since)
		}
		for _, view := range page.Drains {
			listed[view.Spec.ID] = true
		}
		since, more = page.Drains[len(page.Drains)-1].Spec.ID, page.More
	}
	if len(listed) != drains {
		t.Errorf("%d drains are listed, want %d", len(listed), drains)
	}
}

// Guards against the view of an upgrade with many machines out of service that exceeds the limit on a
// response. The leader's own list stays whole.
func TestDrainViewIsBounded(t *testing.T) {
	const machines = 10_000
	state := &drain.State{Phase: drain.PhaseUpgrading}
	for i := range machines {
		state.OutOfService = append(state.OutOfService, fmt.Sprintf("m-%06d", i))
	}
	view := scheduler.DrainView{Spec: drain.Spec{ID: "d-1"}, State: state}
	cutDrain(&view)
	if size := records.EncodedSize(view); size > messagesize.Max {
		t.Errorf("the view has %d bytes, want at most %d", size, messagesize.Max)
	}
	if len(view.State.OutOfService)+view.OmittedOutOfService != machines || view.OmittedOutOfService == 0 || len(state.OutOfService) != machines {
		t.Errorf("%d machines are listed, %d omitted, and %d left with the leader", len(view.State.OutOfService), view.OmittedOutOfService, len(state.OutOfService))
	}
}

// Guards against an error response that quotes the request and exceeds the limit on a response.
func TestErrorsAreBounded(t *testing.T) {
	cluster := newTestClusterWith(t, config.StoreLimits{ValueKB: 8})
	for name, body := range map[string]string{
		"kind":      `{"id":"d-1","zone":"a","kind":"` + strings.Repeat(`\u0000`, 10_000) + `"}`,
		"time zone": `{"id":"d-1","zone":"a","window":{"rule":"FREQ=DAILY","zone":"` + strings.Repeat(`\u0001`, 10_000) + `","for_s":60}}`,
	} {
		status, text := cluster.request("n-1", http.MethodPost, "/operator/drains", body)
		if status != http.StatusBadRequest || len(text) > messagesize.Max/8 {
			t.Errorf("%s: got status %d with %d bytes, want 400 with a short text", name, status, len(text))
		}
	}
}
