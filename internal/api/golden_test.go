package api_test

import (
	"encoding/json"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"drumpick/internal/api"
	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/goldentest"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
)

// goldenLeader is a leader that knows one running job, j-1, and records the last heartbeat.
type goldenLeader struct {
	acceptingLeader
	lastHeartbeat fleet.Heartbeat
	outcome       fleet.HeartbeatOutcome
	recency       fleet.Recency
}

func (l *goldenLeader) Progress(id string) (string, int, int, bool) {
	return records.StatusRunning, 3, 4, id == "j-1"
}

func (l *goldenLeader) Recency(*fleet.Heartbeat) fleet.Recency { return l.recency }

func (l *goldenLeader) HandleHeartbeat(heartbeat *fleet.Heartbeat) fleet.HeartbeatResult {
	l.lastHeartbeat = *heartbeat
	graceS := 4.0
	return fleet.HeartbeatResult{Outcome: l.outcome, Response: fleet.HeartbeatResponse{FencingToken: 41, Commands: []fleet.Command{
		{Verb: fleet.VerbRun, Task: "j-1/0", Attempt: 2}, {Verb: fleet.VerbKill, Task: "j-1/1", Attempt: 3, GraceS: &graceS},
	}}}
}

// relayingPeers are peers whose RelayHeartbeat returns a leader's reply with the given status.
type relayingPeers struct {
	unreachablePeers
	status int
}

func (r relayingPeers) RelayHeartbeat(string, []byte) (peer.RelayReply, error) {
	return peer.RelayReply{Status: r.status, Body: []byte(`{"baton":41,"orders":[]}`)}, nil
}

// acceptedMS matches the time of acceptance in a job's record, which differs from run to run.
var acceptedMS = regexp.MustCompile(`"accepted_ms":\d+`)

// goldenJob is a submission with every field set.
const goldenJob = `{"uid":"j-1","jobclass":"train","owner":"vision","shape":"group","urgency":"urgent","shots":2,` +
	`"vcpus":1.5,"gpus":1,"mem_gb":2.5,"build":"img","size_gb":3.5,"rigs":["c4"],"site":"a","one_zone":true,` +
	`"apart":true,"loaners":true,"guess_s":10,"snapshot_s":5,"flush_s":2.5,"due_s":300,"prereqs":["j-7"]}`

// goldenServer returns a server, its store, which holds one closed job, and a function that sends
// requests to the server. leader is the node that leads, "" if unknown.
func goldenServer(
	peers api.Peers, leader string, local func() api.Leader,
) (*api.Server, *simulation.Store, func(*http.Request) (*http.Response, error)) {
	store := simulation.NewStore()
	store.ImportEntries(map[string]records.KeyValue{
		records.ClosedKey("j-7"): {Key: records.ClosedKey("j-7"), Value: []byte(`{"status":"done","shots":2}`), Revision: 1},
	})
	cfg := &config.Config{Node: "n-0"}
	cfg.Deployment.Workers.HeartbeatS = 2
	cfg.Deployment.Store.RPS = 1000
	cfg.Deployment.Teams = []config.Team{{Name: "vision", LimitCPUs: 8, LimitGPUs: 8}}
	s := api.New(cfg, store.Client("n-0"), peers, fixedElection{node: leader}, local)
	app := fiber.New(fiber.Config{BodyLimit: 64 << 10})
	s.Mount(app)
	return s, store, func(r *http.Request) (*http.Response, error) { return app.Test(r, -1) }
}

// Users' requests and their responses keep their wire format. A renamed field or path would break
// users' clients.
func TestGoldenUsers(t *testing.T) {
	l := &goldenLeader{}
	s, store, send := goldenServer(unreachablePeers{}, "n-0", func() api.Leader { return l })
	f := goldentest.Open(t, "golden-users.json")
	check := func(name, method, uri, body string) {
		t.Run(name, func(t *testing.T) { f.CheckExchange(t, name, goldentest.DoRequest(t, send, method, uri, body)) })
	}
	editedJob := func(changes ...string) string {
		body := goldenJob
		for _, c := range changes {
			body = editField(body, c)
		}
		return body
	}
	check("submit before machine types are known", "POST", "/work", goldenJob)
	s.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: 4, GPUs: 1, MemGB: 16, Zones: []string{"a"}}})
	check("submit", "POST", "/work", goldenJob)
	t.Run("stored job", func(t *testing.T) {
		raw := acceptedMS.ReplaceAllString(store.Value(records.OpenKey("j-1")), `"accepted_ms":1`)
		f.Check(t, "stored job", []byte(raw), true)
		var j records.Job
		if err := json.Unmarshal([]byte(raw), &j); err != nil {
			t.Fatal(err)
		}
		if unset := goldentest.UnsetFields(j, "json"); len(unset) > 0 {
			t.Errorf("the submission of this test leaves %v unset", unset)
		}
	})
	check("submit again", "POST", "/work", goldenJob)
	check("poll", "GET", "/work/j-1", "")
	check("poll an unknown job", "GET", "/work/j-9", "")
	check("poll a done job", "GET", "/work/j-7", "")
	check("withdraw", "POST", "/work/j-1/withdraw", "{}")
	check("stored state", "GET", "/work/j-1", "")
	check("withdraw a done job", "POST", "/work/j-7/withdraw", "{}")
	check("withdraw an unknown job", "POST", "/work/j-9/withdraw", "{}")
	t.Run("stored final state", func(t *testing.T) {
		f.Check(t, "stored final state", []byte(store.Value(records.ClosedKey("j-1"))), true)
	})
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(goldenJob), &fields); err != nil {
		t.Fatal(err)
	}
	for name := range fields {
		if slices.Contains([]string{"rigs", "site", "due_s", "prereqs"}, name) {
			continue // optional
		}
		check("submit without "+name, "POST", "/work", without(t, fields, name))
	}
	for name, body := range map[string]string{
		"no object":            "[]",
		"no number":            editedJob(`shots="x"`),
		"negative":             editedJob(`vcpus=-1`),
		"another id":           editedJob(`uid="x"`),
		"unknown shape":        editedJob(`shape="x"`),
		"unknown urgency":      editedJob(`urgency="x"`),
		"no tasks":             editedJob(`shots=0`),
		"empty list of types":  strings.Replace(editedJob(`uid="j-2"`), `["c4"]`, `[]`, 1),
		"unknown team":         editedJob(`uid="j-2"`, `owner="x"`),
		"beyond the limit":     editedJob(`uid="j-2"`, `shots=100`),
		"fits no type":         editedJob(`uid="j-2"`, `mem_gb=100`),
		"needs itself":         editedJob(`uid="j-2"`, `prereqs=["j-2"]`),
		"needs an unknown job": editedJob(`uid="j-2"`, `prereqs=["j-9"]`),
		"needs no list":        strings.Replace(editedJob(`uid="j-2"`), `["j-7"]`, `7`, 1),
	} {
		check("submit, "+name, "POST", "/work", body)
	}
	// Sets one flag at a time: two swapped flags would go unnoticed if both were set.
	for _, flag := range []string{"one_zone", "apart", "loaners"} {
		body := editedJob(`uid="j-5"`, "one_zone=false", "apart=false", "loaners=false", flag+"=true")
		check("submit with "+flag, "POST", "/work", strings.Replace(body, "j-5", "j-5"+strconv.Itoa(len(flag)), 1))
		t.Run("stored job with "+flag, func(t *testing.T) {
			raw := acceptedMS.ReplaceAllString(store.Value(records.OpenKey("j-5"+strconv.Itoa(len(flag)))), `"accepted_ms":1`)
			f.Check(t, "stored job with "+flag, []byte(raw), true)
		})
	}
	check("ready", "GET", "/ready", "")
	store.SetOutage(true)
	check("submit in an outage", "POST", "/work", editedJob(`uid="j-3"`))
	check("poll in an outage", "GET", "/work/j-3", "")
	check("withdraw in an outage", "POST", "/work/j-3/withdraw", "{}")
}

// without encodes the given fields, except the named one, as a JSON object with sorted keys.
func without(t *testing.T, fields map[string]json.RawMessage, name string) string {
	t.Helper()
	rest := map[string]json.RawMessage{}
	for k, v := range fields {
		if k != name {
			rest[k] = v
		}
	}
	raw, err := json.Marshal(rest)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// Workers' heartbeats and their responses keep their wire format, at the leader and at followers. A
// renamed field or path, or another status code, would break workers.
func TestGoldenWorkers(t *testing.T) {
	const heartbeat = `{"host":"m-000231","addr":"10.1.0.232:9000","rig":"g8","site":"a","loaners":true,"stint":1,"tick":88,"baton":41,` +
		`"warning_s":12.5,"drumpick_version":"1.0","version":"0.9","shots":[{"shot":"j-412/3","try":2,"status":"ended","cause":"done","saved":true}]}`
	f := goldentest.Open(t, "golden-workers.json")
	for name, x := range map[string]struct {
		leader      string // "" if not known
		localLeader *goldenLeader
		peers       api.Peers
		body        string
	}{
		"at the leader":                {"n-0", &goldenLeader{outcome: fleet.HeartbeatAccepted}, unreachablePeers{}, heartbeat},
		"at a leader that is deposed":  {"n-0", &goldenLeader{outcome: fleet.HeartbeatUnavailable}, unreachablePeers{}, heartbeat},
		"late at the leader":           {"n-0", &goldenLeader{outcome: fleet.HeartbeatAccepted, recency: fleet.Late}, unreachablePeers{}, heartbeat},
		"no report":                    {"n-0", &goldenLeader{outcome: fleet.HeartbeatAccepted}, unreachablePeers{}, "[]"},
		"host missing":                 {"n-0", &goldenLeader{outcome: fleet.HeartbeatAccepted}, unreachablePeers{}, `{"stint":1}`},
		"stint missing":                {"n-0", &goldenLeader{outcome: fleet.HeartbeatAccepted}, unreachablePeers{}, `{"host":"m-1"}`},
		"task of no form":              {"n-0", &goldenLeader{outcome: fleet.HeartbeatAccepted}, unreachablePeers{}, `{"host":"m-1","stint":1,"shots":[{"shot":"x","status":"running"}]}`},
		"state not known":              {"n-0", &goldenLeader{outcome: fleet.HeartbeatAccepted}, unreachablePeers{}, `{"host":"m-1","stint":1,"shots":[{"shot":"j-1/0","status":"x"}]}`},
		"sent to the leader":           {"n-1", nil, unreachablePeers{}, heartbeat},
		"the leader is not known":      {"", nil, unreachablePeers{}, heartbeat},
		"passed on to the leader":      {"n-1", nil, relayingPeers{status: 200}, heartbeat},
		"passed on, but not its place": {"n-1", nil, relayingPeers{status: 421}, heartbeat},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, send := goldenServer(x.peers, x.leader, func() api.Leader {
				if x.localLeader == nil {
					return nil
				}
				return x.localLeader
			})
			f.CheckExchange(t, name, goldentest.DoRequest(t, send, "POST", "/checkin", x.body))
			if x.localLeader == nil || x.localLeader.lastHeartbeat.Machine == "" {
				return
			}
			x.localLeader.lastHeartbeat.Via = ""
			if unset := goldentest.UnsetFields(x.localLeader.lastHeartbeat, "json"); len(unset) > 0 {
				t.Errorf("the heartbeat of this test leaves %v unset", unset)
			}
		})
	}
}
