package api_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/api"
	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/scenario"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
)

const validJob = `{"uid":"j-1","jobclass":"train","owner":"vision","shape":"batch","urgency":"urgent","shots":4,
 "vcpus":1.0,"gpus":0.0,"mem_gb":2.0,"build":"img","size_gb":1.0,"rigs":null,"site":null,"one_zone":false,
 "apart":false,"loaners":true,"guess_s":10.0,"snapshot_s":0.0,"flush_s":0.0,"due_s":null}`

// fixedElection is an election with a fixed result. Without a node, no node leads or, if unread is set, the
// leader key has not been read yet.
type fixedElection struct {
	node   string
	unread bool
}

func (e fixedElection) Leader() string    { return e.node }
func (e fixedElection) KnowsLeader() bool { return !e.unread }

// A scenario sends requests to one server: "submit" with changes to a valid job, such as "-uid" (left
// out) or "shots=0"; "raw BODY" (a submission); "GET /path"; "POST /path"; "checkin". Other events
// change the conditions: "types" (machine types become known), "outage on" and "outage off" (of the
// store), "team" (no team exists any more) and "small" (a lower limit on the size of values).
func TestScenarios(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		store := simulation.NewStore()
		cfg := &config.Config{Node: "n-0"}
		cfg.Deployment.Workers.HeartbeatS = 2
		cfg.Deployment.Store.RPS = 100
		cfg.Deployment.Teams = []config.Team{{Name: "vision", LimitCPUs: 8}}
		s := api.New(cfg, store.Client("n-0"), unreachablePeers{}, fixedElection{node: "n-1"}, func() api.Leader { return nil })
		types := []records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Zones: []string{"a"}}}
		app := fiber.New(fiber.Config{BodyLimit: 64 << 10})
		s.Mount(app)
		send := func(method, path, body string) []string {
			req := httptest.NewRequest(method, path, strings.NewReader(body))
			resp, err := app.Test(req, -1)
			if err != nil {
				t.Fatal(err)
			}
			raw, _ := io.ReadAll(resp.Body)
			line := resp.Status + " " + string(raw)
			if ra := resp.Header.Get("Retry-After"); ra != "" {
				line += " (retry after " + ra + " s)"
			}
			return []string{line}
		}
		return func(w []string) []string {
			switch w[0] {
			case "types":
				s.SetMachineTypes(types)
				return nil
			case "team":
				cfg.Deployment.Teams = nil
				return nil
			case "small":
				cfg.Deployment.Store.ValueKB = 0.375
				return nil
			case "outage":
				store.SetOutage(w[1] == "on")
				return nil
			case "submit":
				body := validJob
				for _, change := range w[1:] {
					body = editField(body, strings.Replace(change, "IMG", strings.Repeat("img", 40), 1))
				}
				return send("POST", "/work", body)
			case "raw":
				return send("POST", "/work", strings.Join(w[1:], " "))
			case "checkin":
				return send("POST", "/checkin", `{"host":"m-1","stint":1,"tick":1}`)
			}
			return send(w[0], w[1], "")
		}
	})
}

// countingStore is a store client that counts its requests.
type countingStore struct {
	*simulation.Client
	gets, commits, lists atomic.Int64
	checks               atomic.Int64 // commits that only compare
}

func (c *countingStore) Get(ctx context.Context, key string) (*records.KeyValue, error) {
	c.gets.Add(1)
	return c.Client.Get(ctx, key)
}

func (c *countingStore) List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error) {
	c.lists.Add(1)
	return c.Client.List(ctx, prefix, each)
}

func (c *countingStore) Commit(ctx context.Context, compares []records.Compare, ops []records.Op) (uint64, error) {
	if len(ops) == 0 {
		c.checks.Add(1)
	} else {
		c.commits.Add(1)
	}
	return c.Client.Commit(ctx, compares, ops)
}

// A flood of polls causes a bounded number of reads of the store, so that it does not starve
// submissions. Of thousands of polls for unknown jobs, those beyond the share get the response to
// retry, and a submission after them is accepted. A job that is then submitted and cancelled many
// times causes only two commits.
func TestPollFloodLeavesRoomForSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := &config.Config{Node: "n-0"}
		cfg.Deployment.Workers.HeartbeatS = 2
		cfg.Deployment.Store.RPS = 100
		cfg.Deployment.Nodes = 2
		cfg.Deployment.Teams = []config.Team{{Name: "vision"}}
		store := &countingStore{Client: simulation.NewStore().Client("n-0")}
		s := api.New(cfg, store, unreachablePeers{}, fixedElection{node: ""}, func() api.Leader { return nil })
		s.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Zones: []string{"a"}}})
		status := make([]atomic.Int64, 600)
		var wg sync.WaitGroup
		for i := range 3000 {
			wg.Go(func() {
				status[s.HandleRequest(peer.RelayRequest{Method: "poll", ID: "j-" + strconv.Itoa(1000+i)}).Status].Add(1)
			})
		}
		wg.Wait()
		notFound, unavailable := status[404].Load(), status[503].Load()
		if notFound == 0 || unavailable == 0 || notFound+unavailable != 3000 || store.gets.Load()+store.checks.Load() > 400 {
			t.Errorf("3000 polls: %d not found, %d to retry, %d reads; want both responses, none other, and at most 400 reads", notFound, unavailable, store.gets.Load()+store.checks.Load())
		}
		if got := s.HandleRequest(peer.RelayRequest{Method: "submit", Body: []byte(validJob)}).Status; got != 201 {
			t.Errorf("submission during the flood: status %d, want 201", got)
		}
		time.Sleep(time.Minute)
		for range 50 {
			if got := s.HandleRequest(peer.RelayRequest{Method: "submit", Body: []byte(validJob)}).Status; got != 200 {
				t.Errorf("submitted again: status %d, want 200", got)
			}
		}
		for range 50 {
			if got := s.HandleRequest(peer.RelayRequest{Method: "withdraw", ID: "j-1"}).Status; got != 200 {
				t.Errorf("cancelled again: status %d, want 200", got)
			}
		}
		if n := store.commits.Load(); n != 2 {
			t.Errorf("%d commits for one job and its cancellation, want 2", n)
		}
	})
}

// After an outage with empty caches, the users of 300 open and 60 closed jobs poll one of seven
// controllers every 5 s, spread over the interval: far more polls than its share of reads of single
// jobs. Each user gets a response within 75 s, most of them to the first poll. Without shared lists,
// a user whose polls always arrive when the reads are used up would never get a response.
func TestEveryPollIsAnsweredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := &config.Config{Node: "n-0"}
		cfg.Deployment.Workers.HeartbeatS = 1.5
		cfg.Deployment.Store.RPS, cfg.Deployment.Nodes = 70, 7
		simulatedStore := simulation.NewStore()
		stored := map[string]records.KeyValue{}
		var ids []string
		for i := range 360 {
			id := "j-" + strconv.Itoa(1000+i)
			ids = append(ids, id)
			key, value := records.OpenKey(id), `{"id":"`+id+`","tasks":2}`
			if i%6 == 0 {
				key, value = records.ClosedKey(id), `{"status":"done","tasks":2}`
			}
			stored[key] = records.KeyValue{Key: key, Value: []byte(value), Revision: uint64(i + 1)}
		}
		simulatedStore.ImportEntries(stored)
		store := &countingStore{Client: simulatedStore.Client("n-0")}
		s := api.New(cfg, store, unreachablePeers{}, fixedElection{node: ""}, func() api.Leader { return nil })
		var wg sync.WaitGroup
		var answeredFirst atomic.Int64
		for i, id := range ids {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Second / time.Duration(len(ids)))
				for attempt := range 15 {
					if reply := s.HandleRequest(peer.RelayRequest{Method: "poll", ID: id}); reply.Status == 200 {
						if attempt == 0 {
							answeredFirst.Add(1)
						}
						return
					} else if reply.Status != 503 {
						t.Errorf("poll of %s: status %d, want 200 or 503", id, reply.Status)
					}
					time.Sleep(5 * time.Second)
				}
				t.Errorf("%s: no response in 75 s", id)
			})
		}
		wg.Wait()
		if n := answeredFirst.Load(); n < 300 {
			t.Errorf("%d of 360 jobs got a response to the first poll, want at least 300", n)
		}
		if gets, lists := store.gets.Load()+store.checks.Load(), store.lists.Load(); gets+lists > 250 {
			t.Errorf("%d reads and %d lists for 360 jobs, want at most 250 together", gets, lists)
		}
	})
}

// acceptingLeader accepts every valid heartbeat, and counts the heartbeats and their tasks.
type acceptingLeader struct{ heartbeats, tasks int }

func (l *acceptingLeader) Progress(string) (string, int, int, bool)       { return "", 0, 0, false }
func (l *acceptingLeader) DependenciesClear(string) (time.Duration, bool) { return 0, false }
func (l *acceptingLeader) ObserveDelay(time.Duration)                     {}
func (l *acceptingLeader) RecheckRuns([]*fleet.HeartbeatResponse)         {}
func (l *acceptingLeader) Recency(*fleet.Heartbeat) fleet.Recency         { return fleet.Current }
func (l *acceptingLeader) NotifyCancelled(context.Context, string) bool   { return true }
func (l *acceptingLeader) NeedsRelay(*fleet.Heartbeat) bool               { return true }
func (l *acceptingLeader) HandleHeartbeat(heartbeat *fleet.Heartbeat) fleet.HeartbeatResult {
	l.heartbeats++
	l.tasks += len(heartbeat.Tasks)
	return fleet.HeartbeatResult{Outcome: fleet.HeartbeatAccepted, Response: fleet.HeartbeatResponse{FencingToken: 1, Commands: []fleet.Command{}}}
}

// Malformed heartbeats get a 400 and do not reach the leader, whose state they would corrupt. A valid
// heartbeat of more than 50 KiB is accepted, both directly from the worker and through a peer.
func TestMalformedHeartbeatsAreRejected(t *testing.T) {
	cfg := &config.Config{Node: "n-0"}
	cfg.Deployment.Store.RPS = 100
	l := &acceptingLeader{}
	s := api.New(cfg, simulation.NewStore().Client("n-0"), unreachablePeers{}, fixedElection{node: "n-0"}, func() api.Leader { return l })
	var tasks []string
	for i := range 900 {
		tasks = append(tasks, `{"shot":"j-000412/`+strconv.Itoa(i)+`","try":83886081,"status":"running"}`)
	}
	long := `{"host":"m-1","stint":1,"tick":1,"baton":1,"shots":[` + strings.Join(tasks, ",") + `]}`
	if len(long) < 50<<10 {
		t.Fatalf("the long heartbeat takes only %d bytes", len(long))
	}
	for _, x := range []struct {
		body string
		want int
	}{
		{"", 400}, {"nonsense", 400}, {"[]", 400}, {`{"host":"m-1"`, 400}, {`{"host":"","stint":1}`, 400}, {`{"host":"m-1"}`, 400},
		{`{"host":"m-1","stint":-1}`, 400}, {`{"host":"m-1","stint":1,"shots":{}}`, 400}, {long[:40<<10], 400},
		{`{"host":"m-1","stint":1,"tick":1,"shots":null,"later":[1]}`, 200}, {long, 200},
	} {
		name := x.body[:min(len(x.body), 40)]
		if reply := s.HandleHeartbeat([]byte(x.body)); reply.Status != x.want {
			t.Errorf("%q: %d, want %d", name, reply.Status, x.want)
		}
		if reply := s.HandleRelayedHeartbeat(peer.HeartbeatRequest{Body: []byte(x.body)}); reply.Status != x.want {
			t.Errorf("%q through a peer: %d, want %d", name, reply.Status, x.want)
		}
	}
	if l.heartbeats != 4 || l.tasks != 1800 {
		t.Errorf("the leader got %d heartbeats with %d tasks, want 4 with 1800", l.heartbeats, l.tasks)
	}
}

// unreachablePeers are peers that do not respond, except to NotifyCancelled.
type unreachablePeers struct{}

func (unreachablePeers) Status(context.Context) ([]peer.Status, bool) { return nil, false }
func (unreachablePeers) Progress(string, string) (peer.Progress, error) {
	return peer.Progress{}, errors.New("no answer")
}

// NotifyCancelled acknowledges every cancellation, so that tests of other calls need no leader.
func (unreachablePeers) NotifyCancelled(string, string) (bool, error) { return true, nil }
func (unreachablePeers) RelayHeartbeats(string, peer.HeartbeatBatch, time.Duration) (peer.HeartbeatBatchReply, error) {
	return peer.HeartbeatBatchReply{}, errors.New("no peers")
}

func (unreachablePeers) RelayHeartbeat(string, []byte) (peer.RelayReply, error) {
	return peer.RelayReply{}, errors.New("no answer")
}
func (unreachablePeers) Relay(peer.RelayRequest, time.Duration) (peer.RelayReply, bool) {
	return peer.RelayReply{}, false
}

// editField changes one field of a JSON object: "name=value" sets or adds the field, "-name" removes
// it.
func editField(body, change string) string {
	name, value, set := strings.Cut(strings.TrimPrefix(change, "-"), "=")
	i := strings.Index(body, `"`+name+`":`)
	if i < 0 {
		return strings.Replace(body, "{", `{"`+name+`":`+value+`,`, 1)
	}
	start := i + len(name) + 3
	end := start + strings.IndexAny(body[start:], ",}")
	if set {
		return body[:start] + value + body[end:]
	}
	if body[end] == '}' {
		return strings.TrimSuffix(body[:i], ",") + body[end:]
	}
	return body[:i] + body[end+1:]
}
