package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"drumpick/internal/goldentest"
	"drumpick/internal/localcluster"
	"drumpick/internal/simulation"
)

// Responses of a controller, with every field set.
const (
	goldenStatus  = `{"uid":"j-1","status":"done","done":3,"running":4}`
	goldenMachine = `{"name":"m-1","type":"g8","zone":"a","spot":true,"addr":"10.1.0.232:9000","state":"up","age_s":60.5,"version":"1.0","tasks":1,` +
		`"on_it":[{"task":"j-1/0","attempt":2,"state":"running","ran_s":4.5,"stops":true}]}`
	goldenSummary = `{"machines":1,"finish":2,"move":3,"lose":4,"wait":5,"blocked":6,"lost_s":7.5,"vanished":8,"empty_s":9.5}`
	goldenDrain   = `{"drain":{"id":"d-1","kind":"upgrade","machines":["m-1"],"type":"c4","zone":"a","older_than_s":60,"version":"1.0","by_ms":946684802000,` +
		`"then":"return","to_version":"1.1","at_once":2,"keep_up":3,"window":{"rule":"FREQ=DAILY","zone":"UTC","for_s":7200,"lead_s":600,"starts":"2026-01-31T22:00"},` +
		`"began_ms":946684801000,"stopped":true},"state":{"phase":"done","roll":{"want":"1.1","from":"1.0","back":true,"why":"w","blocked":"b"},` +
		`"in_hand":["m-1"],"left":2,"blocked":"b","plan":` + goldenSummary + `,"seen":` + goldenSummary + `,"began_ms":946684801000,"ended_ms":946684802000,"term":41}}`
	goldenPlan = `{"machines":[{"machine":"m-1","zone":"a","empty_s":4.5,"tasks":[{"task":"j-1/0","class":"train","action":"moves","why":"w","until_s":1.5,"lost_s":2.5,"late_s":3.5}],"others":5}],` +
		`"classes":{"train":{"machines":1,"finish":2,"move":3,"lose":4,"lost_s":7.5,"late":1,"late_now":2}},"all":` + goldenSummary + `,"windows":["2026-01-31T22:00:00+01:00"],"warnings":["w"]}`
)

// The JSON output and the requests of each command keep their format.
func TestGoldenOutput(t *testing.T) {
	t.Setenv("TZ", "UTC")
	const job = "id: j-1\nclass: c\nteam: t\nshape: group\npriority: urgent\ntasks: 3\ncpus: 1.5\ngpus: 2\nmem_gb: 4\nimage: i\nimage_gb: 5\n" +
		"types: [c4]\nzone: a\none_zone: true\napart: true\nspot: true\nestimate_s: 6\ncheckpoint_s: 7\nsave_s: 8\ndeadline_s: 9\nneeds: [j-7]\n"
	server := goldentest.NewFakeServer(t)
	output, requests := goldentest.Open(t, "golden-output.json"), goldentest.Open(t, "golden-requests.json")
	for _, x := range []struct {
		args, answer string
	}{
		{"submit -", goldenStatus},
		{"get j-1", goldenStatus},
		{"watch j-1", goldenStatus},
		{"cancel j-1", goldenStatus},
		{"machine list", `{"machines":[` + goldenMachine + `],"more":false}`},
		{"machine show m-1", goldenMachine},
		{"drain plan m-1 --id d-1", goldenPlan},
		{"drain start m-1 --id d-1 --type c4 --zone a --older-than 60s --worker-version 1.0 --upgrade-to 1.1 --at-once 2 --keep-up 3 --then return --force " +
			"--window FREQ=DAILY --window-zone UTC --window-starts 2026-01-31T22:00 --window-for 2h --window-lead 10m", goldenDrain},
		{"drain start --id d-1 --cordon --zone a --by 2999-01-31T22:00:00Z", goldenDrain},
		{"drain list", `{"drains":[` + goldenDrain + `]}`},
		{"drain show d-1", goldenDrain},
		{"drain stop d-1", goldenDrain},
	} {
		t.Run(x.args, func(t *testing.T) {
			server.QueueResponse(200, x.answer)
			var out, errOut bytes.Buffer
			args := append(strings.Fields(x.args), "--server", server.Addr, "--output", "json")
			if code := execute(t.Context(), args, strings.NewReader(job), &out, &errOut); code != exitOK {
				t.Fatalf("exit code %d: %s", code, errOut.String())
			}
			var compact, indented bytes.Buffer
			if err := json.Compact(&compact, out.Bytes()); err != nil {
				t.Fatalf("%v: %s", err, out.String())
			}
			output.Check(t, x.args, compact.Bytes(), true)
			if err := json.Indent(&indented, compact.Bytes(), "", "  "); err != nil || indented.String()+"\n" != out.String() {
				t.Errorf("%v: not indented by two spaces: %s", err, out.String())
			}
			requests.CheckExchanges(t, x.args, server.TakeExchanges(), 1)
		})
	}
}

// The JSON output of the local cluster's commands keeps its format.
func TestGoldenLocal(t *testing.T) {
	at := time.Date(2026, 1, 31, 22, 0, 0, 0, time.UTC)
	history := localcluster.History{
		Runs:       []simulation.TaskRun{{Task: "j-1/0", Machine: "m-1", Zone: "a", Started: at, Running: at.Add(time.Second), Ended: at.Add(time.Minute), Cause: "done"}},
		Costs:      []simulation.RentalCost{{Machine: "m-1", Type: "g8", Zone: "a", Spot: true, From: at, To: at.Add(time.Minute), Cost: 0.5}},
		Violations: []string{"b"},
	}
	goldentest.Run(t, "golden-local.json", goldentest.JSON, []goldentest.Case{
		{Name: "up", Value: localcluster.Info{PID: 1, ControlAddr: "c:1", StoreAddr: "s:1", CloudAddr: "c:2", Controllers: []localcluster.Controller{
			{Name: "controller-1", Zone: "a", UserAddr: "b:1", PeerAddr: "b:2", ConfigPath: "c.toml", LogPath: "c.log"},
		}}},
		{Name: "demo", Value: sampleResult{Cost: 0.5, History: history, Jobs: []jobResult{{
			Name: "n", ID: "j-1", Status: "done", Tasks: 1, Starts: 2, FirstStartS: 3.5, LastEndS: 4.5, Machines: []string{"m-1"}, Zones: []string{"a"},
		}}}},
		{Name: "job of the demo", Value: jobResult{
			Name: "n", ID: "j-1", Status: "done", Tasks: 1, Starts: 2, FirstStartS: 3.5, LastEndS: 4.5, Machines: []string{"m-1"}, Zones: []string{"a"},
		}},
	})
}
