package api_test

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/api"
	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/linearizability"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"pgregory.net/rapid"
)

// testCluster is three controllers of one deployment with one store.
type testCluster struct {
	store  *simulation.Store
	nodes  []*api.Server
	faults *faults
}

// faults draws the random delays and failures of a test cluster, and names its injected bug, "" for
// none.
type faults struct {
	mu          sync.Mutex // guards random
	random      *rand.Rand
	injectedBug string
	leader      *cancellingLeader // the leader, on node 0
}

func (f *faults) intn(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// delay returns a random delay: usually less than 30 ms, sometimes nearly a second.
func (f *faults) delay() time.Duration {
	if f.intn(8) == 0 {
		return time.Duration(f.intn(900)) * time.Millisecond
	}
	return time.Duration(f.intn(30)) * time.Millisecond
}

// faultyStore is a store client that delays requests and responses, and loses the responses of some
// transactions, which the store executes immediately or later.
type faultyStore struct {
	*simulation.Client
	faults    *faults
	mu        sync.Mutex                   // guards firstRead
	firstRead map[string]*records.KeyValue // by key, for the injected bug "stale cached read"
}

func (s *faultyStore) Get(ctx context.Context, key string) (*records.KeyValue, error) {
	if err := ctxtime.Sleep(ctx, s.faults.delay()); err != nil {
		return nil, records.ErrUnknownOutcome
	}
	record, err := s.Client.Get(ctx, key)
	if err == nil && s.faults.injectedBug == "stale cached read" {
		s.mu.Lock()
		if cached, ok := s.firstRead[key]; ok {
			record = cached
		}
		s.firstRead[key] = record
		s.mu.Unlock()
	}
	if sleep := ctxtime.Sleep(ctx, s.faults.delay()); sleep != nil {
		return nil, records.ErrUnknownOutcome
	}
	return record, err
}

func (s *faultyStore) List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error) {
	var list []records.KeyValue
	revision, err := s.Client.List(ctx, prefix, func(r records.KeyValue) error { list = append(list, r); return nil })
	if ctxtime.Sleep(ctx, s.faults.delay()) != nil {
		return 0, records.ErrUnknownOutcome
	}
	for _, r := range list {
		if s.faults.injectedBug == "incomplete list" && s.faults.intn(3) == 0 {
			continue
		}
		_ = each(r)
	}
	return revision, err
}

// commitLater executes a transaction after a delay.
func (s *faultyStore) commitLater(delay time.Duration, compares []records.Compare, ops []records.Op) {
	time.Sleep(delay)
	_, _ = s.Client.Commit(context.Background(), compares, ops)
}

func (s *faultyStore) Commit(ctx context.Context, compares []records.Compare, ops []records.Op) (uint64, error) {
	if ctxtime.Sleep(ctx, s.faults.delay()) != nil {
		return 0, records.ErrUnknownOutcome
	}
	switch s.faults.injectedBug {
	case "commit without compares":
		compares = nil
	case "conflict reported as success":
		revision, err := s.Client.Commit(ctx, compares, ops)
		var conflict *records.ConflictError
		if errors.As(err, &conflict) {
			return conflict.Revision, nil
		}
		return revision, err
	case "response before the commit":
		go s.commitLater(400*time.Millisecond, compares, ops)
		return 1, nil
	case "lost commit reported as success":
		if s.faults.intn(3) == 0 {
			return 1, nil // as if the request had arrived; it is lost
		}
	}
	delay := time.Duration(-1)
	switch s.faults.intn(6) {
	case 0:
		delay = 0
	case 1:
		delay = time.Duration(s.faults.intn(4000)) * time.Millisecond
	}
	if delay >= 0 {
		go s.commitLater(delay, compares, ops)
		return 0, records.ErrUnknownOutcome
	}
	return s.Client.Commit(ctx, compares, ops)
}

// cancellingLeader is a leader that acknowledges and records every cancellation.
type cancellingLeader struct {
	acceptingLeader
	mu        sync.Mutex      // guards cancelled
	cancelled map[string]bool // ids of the cancelled jobs
}

func (l *cancellingLeader) NotifyCancelled(_ context.Context, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelled[id] = true
	return true
}

// clusterPeers are the peers of the controller with the index self in a test cluster.
type clusterPeers struct {
	unreachablePeers
	cluster *testCluster
	self    int
}

func (p clusterPeers) Relay(r peer.RelayRequest, _ time.Duration) (peer.RelayReply, bool) {
	for i, n := range p.cluster.nodes {
		if i != p.self {
			time.Sleep(p.cluster.faults.delay() / 4)
			if reply := n.HandleRelayedRequest(r); reply.Final(r) {
				return reply, true
			}
		}
	}
	return peer.RelayReply{}, false
}

func (p clusterPeers) NotifyCancelled(_, id string) (bool, error) {
	time.Sleep(p.cluster.faults.delay() / 4)
	return p.cluster.faults.leader.NotifyCancelled(context.Background(), id), nil
}

func (p clusterPeers) RelayHeartbeats(string, peer.HeartbeatBatch, time.Duration) (peer.HeartbeatBatchReply, error) {
	return peer.HeartbeatBatchReply{}, errors.New("no leader")
}

// newTestCluster returns a cluster whose first node leads. bug is the injected bug, "" for none.
func newTestCluster(seed uint64, bug string) *testCluster {
	cluster := &testCluster{store: simulation.NewStore(), faults: &faults{
		random: rand.New(rand.NewPCG(seed, 7)), injectedBug: bug, leader: &cancellingLeader{cancelled: map[string]bool{}},
	}}
	for i, name := range []string{"n-0", "n-1", "n-2"} {
		cfg := &config.Config{Node: name}
		cfg.Options.LeaderLeaseIntervals = 2
		cfg.Deployment.Workers.HeartbeatS, cfg.Deployment.Workers.CancelS = 2, 30
		cfg.Deployment.Store.RPS, cfg.Deployment.Nodes = 20, 3 // few, so that polls share lists
		cfg.Deployment.Teams = []config.Team{{Name: "vision"}}
		store := &faultyStore{Client: cluster.store.Client(name), faults: cluster.faults, firstRead: map[string]*records.KeyValue{}}
		s := api.New(cfg, store, clusterPeers{cluster: cluster, self: i}, fixedElection{node: "n-0"}, func() api.Leader {
			if i == 0 {
				return cluster.faults.leader
			}
			return nil
		})
		s.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Zones: []string{"a"}}})
		cluster.nodes = append(cluster.nodes, s)
	}
	return cluster
}

// finishJob stores a job as done, as the leader does, if the job is open.
func (cluster *testCluster) finishJob(id string) {
	c := cluster.store.Client("leader")
	if openRecord, err := c.Get(context.Background(), records.OpenKey(id)); err == nil && openRecord != nil {
		closed := records.ClosedJob{Status: records.StatusDone, Tasks: 4}
		_, _ = c.Commit(context.Background(),
			[]records.Compare{{Key: records.OpenKey(id), Revision: openRecord.Revision}},
			[]records.Op{{Delete: records.OpenKey(id)}, {Write: records.ClosedKey(id), Value: closed}})
	}
}

// requestMethods are the methods of relayed requests, by the kind of the request in the history.
var requestMethods = map[string]string{
	linearizability.Submit: peer.MethodSubmit,
	linearizability.Poll:   peer.MethodPoll,
	linearizability.Cancel: peer.MethodCancel,
}

// request sends a user's request to a random controller and records the response in the history, except
// a poll's without a status. It returns the job's status in the response, "" if there is none.
func (cluster *testCluster) request(history *linearizability.History, user int, kind, id string) string {
	r := peer.RelayRequest{Method: requestMethods[kind], ID: id}
	if kind == linearizability.Submit {
		r.Body = []byte(editField(validJob, `uid="`+id+`"`))
	}
	start, node := time.Now(), cluster.nodes[cluster.faults.intn(3)]
	reply := node.HandleRequest(r)
	var s struct{ Status string }
	_ = json.Unmarshal(reply.Body, &s)
	switch {
	case reply.Status == 404:
		s.Status = linearizability.NotFound
	case reply.Status >= 300:
		s.Status = "" // the request may still be executed
	case kind == linearizability.Submit && reply.Status == 200 && s.Status == "":
		s.Status = records.StatusPending
	}
	if s.Status != "" || kind != linearizability.Poll {
		history.Record(user, id, kind, s.Status, start)
	}
	return s.Status
}

// jobOf returns the id of the job, one of three, that a user works with.
func jobOf(user int) string { return "j-" + string(rune('1'+user%3)) }

// runUser submits, polls and resubmits one job; some users also cancel it.
func (cluster *testCluster) runUser(history *linearizability.History, user int) {
	f, id := cluster.faults, jobOf(user)
	time.Sleep(time.Duration(f.intn(40)) * time.Millisecond)
	for range 5 {
		switch f.intn(5) {
		case 0, 1:
			cluster.request(history, user, linearizability.Submit, id)
		case 2:
			if user%3 == 1 {
				cluster.request(history, user, linearizability.Cancel, id)
			}
		}
		for range 2 {
			cluster.request(history, user, linearizability.Poll, id)
		}
		time.Sleep(time.Duration(f.intn(300)) * time.Millisecond)
	}
}

// recordStaleResponses records the responses of a controller with an injected bug: it repeats its first
// response about each job that existed then, if open is true, or about each job that did not exist.
func (cluster *testCluster) recordStaleResponses(history *linearizability.History, open bool) {
	const user = 20
	first := map[string]string{}
	for k := range 40 {
		id := jobOf(k)
		start := time.Now()
		if first[id] == "" {
			first[id] = cluster.request(history, user, linearizability.Poll, id)
		} else if wasOpen := first[id] != linearizability.NotFound; wasOpen == open {
			history.Record(user, id, linearizability.Poll, first[id], start)
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// runUsers runs nine users that concurrently submit, poll, resubmit and cancel three jobs at all
// controllers. It returns an error if the responses in the history are not linearizable.
func (cluster *testCluster) runUsers(history *linearizability.History) error {
	f := cluster.faults
	var wg sync.WaitGroup
	for user := range 9 {
		wg.Go(func() { cluster.runUser(history, user) })
	}
	wg.Go(func() {
		time.Sleep(time.Duration(f.intn(2500)) * time.Millisecond)
		cluster.finishJob("j-1")
	})
	if f.injectedBug == "stale open status" || f.injectedBug == "stale not found" {
		wg.Go(func() { cluster.recordStaleResponses(history, f.injectedBug == "stale open status") })
	}
	wg.Wait()
	time.Sleep(10 * time.Second) // the store has executed all delayed transactions by then
	for _, id := range []string{"j-1", "j-2", "j-3"} {
		cluster.finishJob(id)
		for attempt := 0; attempt < 20 && cluster.request(history, 30, linearizability.Poll, id) == ""; attempt++ {
			time.Sleep(time.Second)
		}
	}
	return history.CheckLinearizable()
}

// The responses of all controllers about a job are linearizable: no response contradicts an earlier one
// of any controller. This holds although reads are slow, polls share lists, and the responses of some
// transactions are lost, which the store executes at once or late.
func TestResponsesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		synctest.Test(t, func(*testing.T) { err = newTestCluster(seed, "").runUsers(linearizability.New()) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// The linearizability check detects each injected bug within 60 runs. A check that passes despite a bug
// would prove nothing in TestResponsesAreLinearizable.
func TestInjectedBugsAreDetected(t *testing.T) {
	for _, bug := range []string{
		"stale cached read", "incomplete list", "commit without compares", "conflict reported as success",
		"response before the commit", "lost commit reported as success", "stale open status", "stale not found",
	} {
		t.Run(bug, func(t *testing.T) {
			for seed := range uint64(60) {
				var err error
				synctest.Test(t, func(*testing.T) { err = newTestCluster(seed, bug).runUsers(linearizability.New()) })
				if err != nil {
					return
				}
			}
			t.Error("not detected in 60 runs")
		})
	}
}
