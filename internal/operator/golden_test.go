package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/goldentest"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
)

// goldenLeader is a leader that replies with every field set, and records the last plan request. Its plan
// takes more than one page.
type goldenLeader struct {
	fakeLeader
	plannedSpec drain.Spec
	force       bool
}

func (*goldenLeader) Machines(string, int) ([]scheduler.MachineView, bool) {
	m, _ := (&goldenLeader{}).Machine("m-1")
	return []scheduler.MachineView{m}, true
}

func (*goldenLeader) Machine(name string) (scheduler.MachineView, bool) {
	return scheduler.MachineView{
		Name: "m-1", Type: "g8", Zone: "a", Spot: true, Addr: "10.1.0.232:9000", State: scheduler.MachineUp, AgeS: 60.5, Version: "1.0",
		TaskCount: 1, Tasks: []scheduler.TaskView{{Task: "j-1/0", Attempt: 2, State: "running", RanS: 4.5, Stopping: true}},
	}, name == "m-1"
}

func (l *goldenLeader) PreviewDrain(spec *drain.Spec, force bool) (*drain.Plan, error) {
	if l.planErr != nil {
		return l.fakeLeader.PreviewDrain(spec, force)
	}
	l.plannedSpec, l.force = *spec, force
	task := drain.TaskPlan{Task: "j-1/0", Class: "train", Action: drain.Move, Reason: "w"}
	return &drain.Plan{
		Machines: []drain.MachinePlan{
			{Machine: "m-0", Zone: "a", EmptyS: 4.5, Tasks: []drain.TaskPlan{task}}, // listed in the page before
			{Machine: "m-1", Zone: "a", EmptyS: 4.5, Tasks: []drain.TaskPlan{task}},
			{Machine: "m-2", Zone: "a", EmptyS: 4.5, Tasks: slices.Repeat([]drain.TaskPlan{task}, 1000)}, // fits no page with m-1
		},
		Classes: map[string]*drain.ClassPlan{"train": {Late: 1}}, Total: drain.Summary{Machines: 1}, Warnings: []string{"w"},
	}, nil
}

// goldenDrain is a drainRequest with every field that an upgrade can have.
const goldenDrain = `{"id":"d-1","kind":"upgrade","machines":["m-1"],"type":"g8","zone":"a","older_than_s":60,"version":"1.0",` +
	`"then":"return","to_version":"1.1","at_once":2,"keep_up":3,` +
	`"window":{"rule":"FREQ=WEEKLY;BYDAY=SU;BYHOUR=2;BYMINUTE=0;BYSECOND=0","zone":"Europe/Warsaw",` +
	`"for_s":7200,"lead_s":600,"starts":"2026-01-31T22:00"},` +
	`"force":true,"since":"m-0","seen":["d-0"]}`

// requestedMS matches the time of the request in a drain's record, which differs from run to run.
var requestedMS = regexp.MustCompile(`"began_ms":\d+`)

// Operators' requests and their responses keep their wire format. A renamed field or path would break
// operators' tools and the stored drains.
func TestGoldenOperators(t *testing.T) {
	l := &goldenLeader{}
	store := simulation.NewStore()
	cfg := &config.Config{Node: "n-0"}
	cfg.Deployment.Store.ValueKB = 8
	leader, leads := "n-0", true
	s := New(cfg, store.Client("n-0"), &fakePeers{unsupported: true}, func() string { return leader }, func() Leader {
		if leads {
			return l
		}
		return nil
	}, time.Second)
	app := fiber.New()
	s.Mount(app)
	f := goldentest.Open(t, "golden-operators.json")
	check := func(name, method, uri, body string) {
		t.Run(name, func(t *testing.T) {
			x := goldentest.DoRequest(t, func(r *http.Request) (*http.Response, error) { return app.Test(r, -1) }, method, uri, body)
			x.Response = requestedMS.ReplaceAll(x.Response, []byte(`"began_ms":1`))
			f.CheckExchange(t, name, x)
		})
	}
	stored := func(name, key string) {
		t.Run(name, func(t *testing.T) {
			f.Check(t, name, requestedMS.ReplaceAll([]byte(store.Value(key)), []byte(`"began_ms":1`)), true)
		})
	}
	check("machines", "GET", "/operator/machines?since=m-0", "")
	check("machine", "GET", "/operator/machines/m-1", "")
	check("unknown machine", "GET", "/operator/machines/m-9", "")
	check("no drains", "GET", "/operator/drains", "")
	check("plan", "POST", "/operator/drains/plan", strings.Replace(goldenDrain, `"seen":["d-0"]`, `"seen":[]`, 1))
	if !l.force || l.plannedSpec.ID != "d-1" || l.plannedSpec.Window == nil {
		t.Errorf("the leader is asked for %+v, force %v", l.plannedSpec, l.force)
	}
	check("plan beside a drain that the leader has not read", "POST", "/operator/drains/plan", goldenDrain)
	check("start", "POST", "/operator/drains", goldenDrain)
	stored("stored drain", "drains/d-1")
	stored("stored turn", "drainturn")
	check("start again", "POST", "/operator/drains", goldenDrain)
	check("start another under the same id", "POST", "/operator/drains", `{"id":"d-1","zone":"b"}`)
	store.ImportEntries(map[string]records.KeyValue{"drainstate/d-1": {
		Key: "drainstate/d-1", Revision: 99,
		Value: []byte(`{"phase":"upgrading","in_hand":["m-1"],"left":2,"plan":{},"seen":{}}`),
	}})
	check("list", "GET", "/operator/drains", "")
	check("show", "GET", "/operator/drains/d-1", "")
	check("show an unknown one", "GET", "/operator/drains/d-9", "")
	check("stop", "POST", "/operator/drains/d-1/stop", "{}")
	stored("stored drain, stopped", "drains/d-1")
	check("stop an unknown one", "POST", "/operator/drains/d-9/stop", "{}")
	for name, body := range map[string]string{
		"no object":        "[]",
		"wrong type":       `{"id":"d-2","zone":7}`,
		"id of no form":    `{"id":"x","zone":"a"}`,
		"unknown kind":     `{"id":"d-2","kind":"x","zone":"a"}`,
		"unknown then":     `{"id":"d-2","then":"x","zone":"a"}`,
		"no machines":      `{"id":"d-2"}`,
		"nothing at once":  `{"id":"d-2","kind":"upgrade","to_version":"1.1"}`,
		"no version":       `{"id":"d-2","kind":"upgrade","at_once":1}`,
		"by_ms is over":    `{"id":"d-2","zone":"a","by_ms":1}`,
		"window's zone":    `{"id":"d-2","zone":"a","window":{"rule":"FREQ=DAILY","zone":"x","for_s":3600}}`,
		"window's for_s":   `{"id":"d-2","zone":"a","window":{"rule":"FREQ=DAILY","zone":"UTC","for_s":1}}`,
		"stopped at birth": `{"id":"d-2","zone":"a","stopped":true}`,
	} {
		check("start, "+name, "POST", "/operator/drains", body)
	}
	l.setReadDrain("d-1")
	l.planErr = &scheduler.DrainTargetError{Text: "there is no machine m-7"}
	check("start, unknown machine", "POST", "/operator/drains", `{"id":"d-2","machines":["m-7"]}`)
	l.planErr = &scheduler.DrainRefusedError{Text: "it would leave no machine at all"}
	check("start, none left", "POST", "/operator/drains", `{"id":"d-2","zone":"a"}`)
	store.ImportEntries(map[string]records.KeyValue{"drains/d-8": {Key: "drains/d-8", Revision: 100, Value: []byte(`{"id":"d-8","zone":7}`)}})
	check("stop, unreadable record", "POST", "/operator/drains/d-8/stop", "{}")
	leads, leader = false, "n-1"
	check("the leader knows no operators", "GET", "/operator/machines", "")
	leader = ""
	check("nobody leads", "GET", "/operator/machines", "")
	store.SetOutage(true)
	check("outage", "GET", "/operator/drains", "")
}

// The requests that controllers relay to the leader keep their wire format, because controllers of
// different versions call each other.
func TestGoldenRelayedRequests(t *testing.T) {
	var request drainRequest
	d := json.NewDecoder(bytes.NewBufferString(goldenDrain))
	d.DisallowUnknownFields()
	if err := d.Decode(&request); err != nil {
		t.Fatal(err)
	}
	request.RequestedMS, request.DeadlineMS, request.Stopped = 946684801000, 946684802000, true
	goldentest.Run(t, "golden-questions.json", goldentest.JSON, []goldentest.Case{
		{Name: "drain", Value: request},
		{Name: "failure", Direction: goldentest.WriteOnly, Value: errorBody{"why"}},
		{
			Name: "page of machines", AllowUnset: true, Direction: goldentest.WriteOnly,
			Value: Machines{Machines: []scheduler.MachineView{{Name: "m-1"}}, More: true},
		},
		{Name: "drains", AllowUnset: true, Direction: goldentest.WriteOnly, Value: Drains{Drains: []scheduler.DrainView{{Spec: drain.Spec{ID: "d-1"}}}}},
	})
	var relayed []peer.RelayRequest
	cfg := &config.Config{Node: "n-0"}
	cfg.Deployment.Store.ValueKB = 8
	peers := recordingPeers(func(r peer.RelayRequest) { relayed = append(relayed, r) })
	s := New(cfg, nil, peers, func() string { return "n-1" }, func() Leader { return nil }, time.Second)
	app := fiber.New()
	s.Mount(app)
	send := func(r *http.Request) (*http.Response, error) { return app.Test(r, -1) }
	for _, uri := range []string{"/operator/machines?since=m-0", "/operator/machines/m-1"} {
		goldentest.DoRequest(t, send, "GET", uri, "")
	}
	goldentest.DoRequest(t, send, "POST", "/operator/drains/plan", `{"id":"d-1","zone":"a"}`)
	f := goldentest.Open(t, "golden-passed-on.json")
	for _, r := range relayed {
		t.Run(r.Method, func(t *testing.T) {
			body := requestedMS.ReplaceAllString(string(r.Body), `"began_ms":1`)
			raw, err := json.Marshal(map[string]string{"method": r.Method, "id": r.ID, "body": body})
			if err != nil {
				t.Fatal(err)
			}
			f.Check(t, r.Method, raw, true)
		})
	}
}

// recordingPeers calls a function with each request that is relayed to the leader.
type recordingPeers func(peer.RelayRequest)

func (f recordingPeers) RelayOperatorRequest(_ string, r peer.RelayRequest, _ time.Duration) (peer.RelayReply, error) {
	f(r)
	return peer.RelayReply{Status: 200, Body: []byte("{}")}, nil
}
