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

// testCluster is three controllers of one deployment over one store.
type testCluster struct {
	store  *simulation.Store
	nodes  []*api.Server
	faults *faults
}

// faults draws delays and failures, and names the mistake that is injected, if any.
type faults struct {
	mu          sync.Mutex
	random      *rand.Rand
	injectedBug string
	leader      *cancellingLeader // the leader, at node 0
}

func (f *faults) intn(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// delay returns how long something takes: mostly little, sometimes nearly a second.
func (f *faults) delay() time.Duration {
	if f.intn(8) == 0 {
		return time.Duration(f.intn(900)) * time.Millisecond
	}
	return time.Duration(f.intn(30)) * time.Millisecond
}

// faultyStore delays requests and responses, and loses the responses of some transactions, which
// are carried out at once or late.
type faultyStore struct {
	*simulation.Client
	faults    *faults
	mu        sync.Mutex
	firstRead map[string]*records.KeyValue // by key, for an injected mistake
}

func (s *faultyStore) Get(ctx context.Context, key string) (*records.KeyValue, error) {
	if err := ctxtime.Sleep(ctx, s.faults.delay()); err != nil {
		return nil, records.ErrUnknownOutcome
	}
	row, err := s.Client.Get(ctx, key)
	if err == nil && s.faults.injectedBug == "a read from memory" {
		s.mu.Lock()
		if was, ok := s.firstRead[key]; ok {
			row = was
		}
		s.firstRead[key] = row
		s.mu.Unlock()
	}
	if sleep := ctxtime.Sleep(ctx, s.faults.delay()); sleep != nil {
		return nil, records.ErrUnknownOutcome
	}
	return row, err
}

func (s *faultyStore) List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error) {
	var rows []records.KeyValue
	epoch, err := s.Client.List(ctx, prefix, func(r records.KeyValue) error { rows = append(rows, r); return nil })
	if ctxtime.Sleep(ctx, s.faults.delay()) != nil {
		return 0, records.ErrUnknownOutcome
	}
	for _, r := range rows {
		if s.faults.injectedBug == "a list with gaps" && s.faults.intn(3) == 0 {
			continue
		}
		_ = each(r)
	}
	return epoch, err
}

// commitLater carries a transaction out a while later.
func (s *faultyStore) commitLater(by time.Duration, compares []records.Compare, ops []records.Op) {
	time.Sleep(by)
	_, _ = s.Client.Commit(context.Background(), compares, ops)
}

func (s *faultyStore) Commit(ctx context.Context, compares []records.Compare, ops []records.Op) (uint64, error) {
	if ctxtime.Sleep(ctx, s.faults.delay()) != nil {
		return 0, records.ErrUnknownOutcome
	}
	switch s.faults.injectedBug {
	case "a commit without conditions":
		compares = nil
	case "a conflict taken for success":
		epoch, err := s.Client.Commit(ctx, compares, ops)
		var conflict *records.ConflictError
		if errors.As(err, &conflict) {
			return conflict.Revision, nil
		}
		return epoch, err
	case "told before it is stored":
		go s.commitLater(400*time.Millisecond, compares, ops)
		return 1, nil
	case "no answer taken for success":
		if s.faults.intn(3) == 0 {
			return 1, nil // it got lost on the way
		}
	}
	late := time.Duration(-1)
	switch s.faults.intn(6) {
	case 0:
		late = 0
	case 1:
		late = time.Duration(s.faults.intn(4000)) * time.Millisecond
	}
	if late >= 0 {
		go s.commitLater(late, compares, ops)
		return 0, records.ErrUnknownOutcome
	}
	return s.Client.Commit(ctx, compares, ops)
}

// cancellingLeader is a leader that knows of every cancellation that it was notified of.
type cancellingLeader struct {
	acceptingLeader
	mu        sync.Mutex
	cancelled map[string]bool
}

func (l *cancellingLeader) NotifyCancelled(_ context.Context, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelled[id] = true
	return true
}

// clusterPeers are a controller's peers in a test cluster.
type clusterPeers struct {
	unreachablePeers
	cluster *testCluster
	self    int
}

func (m clusterPeers) Relay(r peer.RelayRequest, _ time.Duration) (peer.RelayReply, bool) {
	for i, n := range m.cluster.nodes {
		if i != m.self {
			time.Sleep(m.cluster.faults.delay() / 4)
			if out := n.HandleRelayedRequest(r); out.Final(r) {
				return out, true
			}
		}
	}
	return peer.RelayReply{}, false
}

func (m clusterPeers) NotifyCancelled(_, id string) (bool, error) {
	time.Sleep(m.cluster.faults.delay() / 4)
	return m.cluster.faults.leader.NotifyCancelled(context.Background(), id), nil
}

func (m clusterPeers) RelayHeartbeats(string, peer.HeartbeatBatch, time.Duration) (peer.HeartbeatBatchReply, error) {
	return peer.HeartbeatBatchReply{}, errors.New("no leader")
}

// newTestCluster returns a cluster whose first node leads.
func newTestCluster(seed uint64, mistake string) *testCluster {
	cluster := &testCluster{store: simulation.NewStore(), faults: &faults{
		random: rand.New(rand.NewPCG(seed, 7)), injectedBug: mistake, leader: &cancellingLeader{cancelled: map[string]bool{}},
	}}
	for i, name := range []string{"n-0", "n-1", "n-2"} {
		cfg := &config.Config{Node: name}
		cfg.Options.LeaderLeaseIntervals = 2
		cfg.Deployment.Workers.HeartbeatS, cfg.Deployment.Workers.CancelS = 2, 30
		cfg.Deployment.Store.RPS, cfg.Deployment.Nodes = 20, 3 // so few that polls share reads
		cfg.Deployment.Teams = []config.Team{{Name: "vision"}}
		store := &faultyStore{Client: cluster.store.Client(name), faults: cluster.faults, firstRead: map[string]*records.KeyValue{}}
		s := api.New(cfg, store, clusterPeers{cluster: cluster, self: i}, func() string { return "n-0" }, func() api.Leader {
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

// finishJob stores that a job is done, as the leader would.
func (cluster *testCluster) finishJob(id string) {
	c := cluster.store.Client("leader")
	if row, err := c.Get(context.Background(), records.OpenKey(id)); err == nil && row != nil {
		closed := records.ClosedJob{Status: records.StatusDone, Tasks: 4}
		_, _ = c.Commit(context.Background(),
			[]records.Compare{{Key: records.OpenKey(id), Revision: row.Revision}},
			[]records.Op{{Delete: records.OpenKey(id)}, {Write: records.ClosedKey(id), Value: closed}})
	}
}

// requestMethods are the methods of the requests that the log has by kind.
var requestMethods = map[string]string{
	linearizability.Submit: peer.MethodSubmit,
	linearizability.Poll:   peer.MethodPoll,
	linearizability.Cancel: peer.MethodCancel,
}

// request sends a user's request to some controller, logs the answer and returns the status that it
// tells, "" if none.
func (cluster *testCluster) request(log *linearizability.History, user int, kind, id string) string {
	r := peer.RelayRequest{Method: requestMethods[kind], ID: id}
	if kind == linearizability.Submit {
		r.Body = []byte(editField(validJob, `uid="`+id+`"`))
	}
	asked, node := time.Now(), cluster.nodes[cluster.faults.intn(3)]
	out := node.HandleRequest(r)
	var s struct{ Status string }
	_ = json.Unmarshal(out.Body, &s)
	switch {
	case out.Status == 404:
		s.Status = linearizability.NotFound
	case out.Status >= 300:
		s.Status = "" // it may yet be carried out
	case kind == linearizability.Submit && out.Status == 200 && s.Status == "":
		s.Status = records.StatusPending
	}
	if s.Status != "" || kind != linearizability.Poll {
		log.Record(user, id, kind, s.Status, asked)
	}
	return s.Status
}

// jobOf is the one of three jobs that a user asks about.
func jobOf(user int) string { return "j-" + string(rune('1'+user%3)) }

// runUser submits, polls and resubmits one job; some users cancel it as well.
func (cluster *testCluster) runUser(log *linearizability.History, user int) {
	f, id := cluster.faults, jobOf(user)
	time.Sleep(time.Duration(f.intn(40)) * time.Millisecond)
	for range 5 {
		switch f.intn(5) {
		case 0, 1:
			cluster.request(log, user, linearizability.Submit, id)
		case 2:
			if user%3 == 1 {
				cluster.request(log, user, linearizability.Cancel, id)
			}
		}
		for range 2 {
			cluster.request(log, user, linearizability.Poll, id)
		}
		time.Sleep(time.Duration(f.intn(300)) * time.Millisecond)
	}
}

// logStaleAnswers logs the answers of a controller that answers as it did the first time: about jobs that
// were open then, or about jobs that were not known.
func (cluster *testCluster) logStaleAnswers(log *linearizability.History, open bool) {
	const user = 20
	first := map[string]string{}
	for k := range 40 {
		id := jobOf(k)
		asked := time.Now()
		if first[id] == "" {
			first[id] = cluster.request(log, user, linearizability.Poll, id)
		} else if wasOpen := first[id] != linearizability.NotFound; wasOpen == open {
			log.Record(user, id, linearizability.Poll, first[id], asked)
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// runUsers has users submit, poll, resubmit and cancel three jobs at all controllers at once, and
// returns an error if no order of events explains their answers.
func (cluster *testCluster) runUsers(log *linearizability.History) error {
	f := cluster.faults
	var wg sync.WaitGroup
	for user := range 9 {
		wg.Go(func() { cluster.runUser(log, user) })
	}
	wg.Go(func() {
		time.Sleep(time.Duration(f.intn(2500)) * time.Millisecond)
		cluster.finishJob("j-1")
	})
	if f.injectedBug == "an open answer from memory" || f.injectedBug == "not known, from memory" {
		wg.Go(func() { cluster.logStaleAnswers(log, f.injectedBug == "an open answer from memory") })
	}
	wg.Wait()
	time.Sleep(10 * time.Second) // what is late is in by then
	for _, id := range []string{"j-1", "j-2", "j-3"} {
		cluster.finishJob(id)
		for try := 0; try < 20 && cluster.request(log, 30, linearizability.Poll, id) == ""; try++ {
			time.Sleep(time.Second)
		}
	}
	return log.CheckLinearizable()
}

// What users are answered about a job, by whichever controller and in whatever order, is
// linearizable, although transactions get no response and are carried out at once or late, reads
// take long, and polls share lists.
func TestAnswersAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		synctest.Test(t, func(*testing.T) { err = newTestCluster(seed, "").runUsers(linearizability.New()) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// Each mistake that is injected is detected within a few runs.
func TestInjectedBugsAreDetected(t *testing.T) {
	for _, mistake := range []string{
		"a read from memory", "a list with gaps", "a commit without conditions", "a conflict taken for success",
		"told before it is stored", "no answer taken for success", "an open answer from memory", "not known, from memory",
	} {
		t.Run(mistake, func(t *testing.T) {
			for seed := range uint64(60) {
				var err error
				synctest.Test(t, func(*testing.T) { err = newTestCluster(seed, mistake).runUsers(linearizability.New()) })
				if err != nil {
					return
				}
			}
			t.Error("not detected in 60 runs")
		})
	}
}
