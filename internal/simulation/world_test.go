package simulation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/api"
	"drumpick/internal/config"
	"drumpick/internal/election"
	"drumpick/internal/fleet"
	"drumpick/internal/leader"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// These tests run whole controllers against the stand-ins, in synctest's time.

type node struct {
	name     string
	client   *Client
	election *election.Election
	server   *api.Server
	observer watermark.Observer
	leader   *leader.Leader
	cancel   context.CancelFunc
	stopped  chan struct{}
}

type cluster struct {
	t     *testing.T
	ctx   context.Context
	store *Store
	env   *Environment
	cfg   *config.Config

	mu                sync.Mutex
	nodes             []*node // nil while down
	jobs              map[string]records.Job
	starts            int
	leaderLease       time.Duration          // life of a leader's
	unreachable       map[int]bool           // nodes that workers cannot reach
	paced             bool                   // leaders keep to their share of the write rate
	olderVersion      map[int]bool           // nodes that keep no marks and pass nothing on, as earlier versions
	isolated          map[int]bool           // nodes that no other can reach
	onlyNodeOf        map[string]int         // the one node that workers of a zone can reach
	heartbeatCounts   []int                  // reports that workers sent to each node
	copyDelays        []time.Duration        // after each of these, a copy of every report comes to another node
	expectedDone      []string               // jobs that were accepted and not cancelled
	unansweredCancels []string               // jobs whose cancellation nobody has answered
	cancelledJobs     map[string]bool        // jobs that are cancelled, or behind one that is
	delays            map[int]time.Duration  // by how much later a node gets to what others ask of it
	onJobEvent        func(event, id string) // users look closely: what they do when a job is accepted, over or cancelled
	keepsCopy         func() bool            // whether a copy of a report is kept for the next leader; nil: none is
	keptCopies        [][]byte               // such copies
}

const nodeNames = "n-0 n-1 n-2 n-3 n-4 n-5 n-6"

// runScenario runs a story with three controllers and checks the rules at its end.
func runScenario(t *testing.T, story func(c *cluster)) { runScenarioWith(t, func(*cluster) {}, story) }

// runScenarioWith lets a story change the settings, or what is in the store, before it begins.
func runScenarioWith(t *testing.T, prepare, story func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cfg := &config.Config{Options: config.DefaultOptions()}
		cfg.Options.Watermarks, cfg.Options.HeartbeatRelay, cfg.Options.LeaseExpiryProofs = true, true, true
		cfg.Deployment = config.Deployment{
			Nodes: 3, Zones: []string{"a", "b"}, Teams: []config.Team{{Name: "team"}, {Name: "other"}},
			Workers: config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerS: 5, CancelS: 30},
			State:   config.State{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 16},
			Cloud:   config.Cloud{RPS: 4, ListLagS: 3},
		}
		c := &cluster{t: t, ctx: ctx, store: NewStore(), env: NewEnvironment(ctx), cfg: cfg, jobs: map[string]records.Job{}, leaderLease: 4 * time.Second, delays: map[int]time.Duration{}, unreachable: map[int]bool{}, olderVersion: map[int]bool{}, isolated: map[int]bool{}, onlyNodeOf: map[string]int{}, cancelledJobs: map[string]bool{}}
		w := c.env
		w.HeartbeatInterval, w.Lease, w.BootTime, w.CancelLimit = 2*time.Second, 12*time.Second, 20*time.Second, 30*time.Second
		w.ZoneCapacity = 50
		w.Types = []records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, StartupS: 20, Zones: []string{"a", "b"}}}
		w.RunTime = func(string) time.Duration { return 30 * time.Second }
		w.LookupJob = func(id string) (records.Job, bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			j, ok := c.jobs[id]
			return j, ok
		}
		w.Heartbeat = c.heartbeat
		prepare(c)
		w.Teams = cfg.Deployment.Teams
		n := cfg.Deployment.Nodes
		c.nodes, c.heartbeatCounts, w.Nodes = make([]*node, n), make([]int, n), strings.Fields(nodeNames)[:n]
		for i := range c.nodes {
			c.startNode(i)
		}
		ended := make(chan struct{})
		go func() {
			for idle := (&idleCheck{env: w}); ; {
				select {
				case <-time.After(w.HeartbeatInterval / 4):
					w.CheckCancelled()
					idle.check(c.anyFault())
				case <-ended:
					return
				}
			}
		}()
		story(c)
		close(ended)
		w.CheckCancelled()
		for _, b := range w.Violations() {
			t.Error("rule broken: " + b)
		}
		if w.Starts() == 0 {
			t.Error("nothing ran")
		}
		cancel()
		for i := range c.nodes {
			c.killNode(i)
		}
		// A worker may be on its way to a controller: in the bubble nothing may outlast the
		// test.
		sleep(60)
	})
}

func (c *cluster) startNode(i int) {
	name := strings.Fields(nodeNames)[i]
	c.starts++
	ctx, cancel := context.WithCancel(c.ctx)
	n := &node{name: name, client: c.store.Client(name), cancel: cancel, stopped: make(chan struct{})}
	if c.paced {
		n.client.SetWriteShare(c.cfg.Deployment.State.Lowest().WriteRPS / 2)
	}
	cfg := *c.cfg
	cfg.Options.Watermarks = cfg.Options.Watermarks && !c.olderVersion[i]
	cfg.Options.HeartbeatRelay = cfg.Options.HeartbeatRelay && !c.olderVersion[i]
	n.election = election.New(n.client, name, fmt.Sprint("start-", c.starts), c.leaderLease, cfg.Options.Watermarks)
	cfg.Node = name
	for j, other := range c.env.Nodes {
		if j != i {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: other})
		}
	}
	peers := &peerNetwork{c, i}
	n.server = api.New(&cfg, n.client, peers, n.election.Leader, func() api.Local {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n.leader == nil {
			return nil
		}
		return n.leader
	})
	n.server.SetTypes(c.env.Types)
	go n.server.Watch(ctx)
	if cfg.Options.HeartbeatRelay {
		go n.server.OfferRelay(ctx)
	}
	cloud := &CloudClient{Environment: c.env, Alive: func() bool { return ctx.Err() == nil }}
	go func() {
		defer close(n.stopped)
		n.election.Run(ctx, func(ctx context.Context, term uint64) {
			l := leader.New(&cfg, n.client, cloud, n.election, peers, c.env, &n.observer, n.server.Cancellations(), term)
			c.mu.Lock()
			n.leader = l
			c.mu.Unlock()
			go c.replayKept(ctx)
			l.Run(ctx)
			c.mu.Lock()
			n.leader = nil
			c.mu.Unlock()
		})
	}()
	c.mu.Lock()
	c.nodes[i] = n
	c.mu.Unlock()
}

func (c *cluster) killNode(i int) {
	c.mu.Lock()
	n := c.nodes[i]
	c.nodes[i] = nil
	c.mu.Unlock()
	if n != nil {
		n.client.Kill()
		n.cancel()
		<-n.stopped
	}
}

func (c *cluster) node(i int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[i]
}

// leaderIndex returns the index of the node that leads, -1 if none does.
func (c *cluster) leaderIndex() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderIndexLocked()
}

func (c *cluster) leaderIndexLocked() int {
	for i, n := range c.nodes {
		if n != nil && n.leader != nil {
			return i
		}
	}
	return -1
}

func (c *cluster) isUnreachable(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable[i]
}

// isOlderVersion says whether a node is as earlier versions are.
func (c *cluster) isOlderVersion(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.olderVersion[i]
}

// delayOf is how much later a node gets to what others ask of it.
func (c *cluster) delayOf(i int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delays[i]
}

// isHiddenFrom says whether workers of a zone cannot reach a node.
func (c *cluster) isHiddenFrom(i int, zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	only, ok := c.onlyNodeOf[zone]
	return ok && only != i
}

// arePartitioned says whether two nodes cannot reach each other.
func (c *cluster) arePartitioned(i, k int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated[i] || c.isolated[k]
}

func (c *cluster) heartbeat(i int, r *fleet.Heartbeat) (int, fleet.HeartbeatResponse, string) {
	time.Sleep(latency + c.delayOf(i))
	n := c.node(i)
	if n == nil {
		return Refused, fleet.HeartbeatResponse{}, ""
	}
	if c.isUnreachable(i) || c.isHiddenFrom(i, r.Zone) {
		return 0, fleet.HeartbeatResponse{}, ""
	}
	c.mu.Lock()
	c.heartbeatCounts[i]++
	echo := c.copyDelays
	c.mu.Unlock()
	c.keepHeartbeat(r)
	for n, d := range echo {
		after(d, func() {
			if to := c.node((i + n) % len(c.nodes)); to != nil {
				copied, _ := json.Marshal(r)
				to.server.Heartbeat(copied)
			}
		})
	}
	body, _ := json.Marshal(r)
	out := n.server.Heartbeat(body)
	var answer struct {
		fleet.HeartbeatResponse
		Conductor string `json:"conductor"`
	}
	_ = json.Unmarshal(out.Body, &answer)
	time.Sleep(latency) // on its way
	return out.Status, answer.HeartbeatResponse, answer.Conductor
}

type peerNetwork struct {
	cluster *cluster
	self    int
}

func (f *peerNetwork) Status(ctx context.Context) ([]peer.Status, bool) {
	return f.QueryStatus(ctx, peer.StatusRequest{})
}

func (f *peerNetwork) QueryStatus(_ context.Context, ask peer.StatusRequest) ([]peer.Status, bool) {
	time.Sleep(latency)
	var out []peer.Status
	for i := range f.cluster.nodes {
		n := f.cluster.node(i)
		if i == f.self || n == nil || f.cluster.arePartitioned(f.self, i) {
			continue
		}
		if f.cluster.isOlderVersion(i) {
			// It knows no more than to say how quiet it has been.
			out = append(out, peer.StatusOf(n.name, n.client, n.server.Cancellations(), peer.StatusRequest{}))
			continue
		}
		s := peer.StatusOf(n.name, n.client, n.server.Cancellations(), ask).WithAttestations(&n.observer, ask.Attestation, n.server.SinceRenewal())
		out = append(out, s)
	}
	return out, len(out) == len(f.cluster.nodes)-1
}

// hangIfPartitioned says whether a call to a node gets no answer, after it has hung for a while.
func (f *peerNetwork) hangIfPartitioned(i int) bool {
	if !f.cluster.arePartitioned(f.self, i) {
		return false
	}
	time.Sleep(time.Second / 2)
	return true
}

func (f *peerNetwork) RelayHeartbeat(node string, body []byte) (peer.RelayReply, error) {
	for i := range f.cluster.nodes {
		if n := f.cluster.node(i); n != nil && n.name == node && !f.hangIfPartitioned(i) {
			return n.server.RelayedHeartbeat(peer.HeartbeatRequest{Body: body}), nil
		}
	}
	return peer.RelayReply{}, errors.New("no answer")
}

func (f *peerNetwork) RelayHeartbeats(node string, in peer.HeartbeatBatch, _ time.Duration) (peer.HeartbeatBatchReply, error) {
	time.Sleep(latency)
	for i := range f.cluster.nodes {
		if n := f.cluster.node(i); n != nil && n.name == node && !f.cluster.isOlderVersion(i) && !f.cluster.arePartitioned(f.self, i) {
			time.Sleep(f.cluster.delayOf(i))
			return n.server.RelayedHeartbeats(in), nil
		}
	}
	return peer.HeartbeatBatchReply{}, errors.New("no answer")
}

func (f *peerNetwork) Progress(node, id string) (peer.Progress, error) {
	for i := range f.cluster.nodes {
		if n := f.cluster.node(i); n != nil && n.name == node && !f.hangIfPartitioned(i) {
			f.cluster.mu.Lock()
			l := n.leader
			f.cluster.mu.Unlock()
			if l == nil {
				break
			}
			status, done, running, ok := l.Progress(id)
			age, isClear := l.DependenciesClear(id)
			return peer.Progress{Known: ok, Status: status, Done: done, Running: running, DependenciesClear: isClear, ClearAgeMS: age.Milliseconds()}, nil
		}
	}
	return peer.Progress{}, errors.New("no answer")
}

func (f *peerNetwork) NotifyCancelled(node, id string) (bool, error) {
	time.Sleep(latency)
	for i := range f.cluster.nodes {
		if n := f.cluster.node(i); n != nil && n.name == node && !f.hangIfPartitioned(i) {
			time.Sleep(f.cluster.delayOf(i))
			return n.server.PeerCancelled(id), nil
		}
	}
	return false, errors.New("no answer")
}

func (f *peerNetwork) Relay(r peer.RelayRequest, _ time.Duration) (peer.RelayReply, bool) {
	for i := range f.cluster.nodes {
		if n := f.cluster.node(i); n != nil && i != f.self && !f.hangIfPartitioned(i) {
			if out := n.server.Relay(r); out.Final(r) {
				return out, true
			}
		}
	}
	return peer.RelayReply{}, false
}

// copyHeartbeats has a copy of every report come to another node after each of these times.
func (c *cluster) copyHeartbeats(after ...time.Duration) {
	c.mu.Lock()
	c.copyDelays = after
	c.mu.Unlock()
}

// keepHeartbeat keeps a copy of a report for the next leader.
func (c *cluster) keepHeartbeat(r *fleet.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keepsCopy != nil && c.keepsCopy() {
		raw, _ := json.Marshal(r)
		c.keptCopies = append(c.keptCopies, raw)
	}
}

// replayKept brings the copies that were kept to every controller just as a new leader begins.
func (c *cluster) replayKept(ctx context.Context) {
	c.mu.Lock()
	kept := c.keptCopies
	c.keptCopies = nil
	c.mu.Unlock()
	for _, raw := range kept {
		for i := range c.nodes {
			if n := c.node(i); n != nil && ctx.Err() == nil {
				go n.server.Heartbeat(raw)
			}
		}
	}
}

// request sends a user's request to a node, and says what came back; status 0: the node is down.
func (c *cluster) request(i int, r peer.RelayRequest) (status int, state string) {
	n := c.node(i)
	if n == nil {
		return 0, ""
	}
	out := n.server.Answer(r)
	var s struct{ Status string }
	_ = json.Unmarshal(out.Body, &s)
	return out.Status, s.Status
}

// jobEvent has users look closely at a job of which something has just been told.
func (c *cluster) jobEvent(event, id string) {
	c.mu.Lock()
	looks := c.onJobEvent
	c.mu.Unlock()
	if looks != nil {
		looks(event, id)
	}
}

// submission is what a user sends of a job.
func (c *cluster) submission(j records.Job) []byte {
	if j.Class == "" {
		j.Class, j.Image = "any", "img"
	}
	if j.Team == "" {
		j.Team = "team"
	}
	if j.Shape == "" {
		j.Shape = "batch"
	}
	j.Spot = true
	if j.Priority == "" {
		j.Priority = "standard"
	}
	if j.CPUs == 0 {
		j.CPUs = 1
	}
	raw, _ := json.Marshal(j)
	c.mu.Lock()
	c.jobs[j.ID] = j
	c.mu.Unlock()
	return raw
}

func (c *cluster) submit(i int, j records.Job) int {
	asked := time.Now()
	status, _ := c.request(i, peer.RelayRequest{Method: peer.MethodSubmit, Body: c.submission(j)})
	c.env.NoteSubmission(j.ID, status, asked)
	if status == 201 {
		c.mu.Lock()
		if !c.cancelledJobs[j.ID] {
			c.expectedDone = append(c.expectedDone, j.ID)
		}
		c.mu.Unlock()
		c.jobEvent("accepted", j.ID)
	}
	return status
}

func (c *cluster) ask(i int, method, id string) (int, string) {
	if method == peer.MethodCancel {
		c.env.CancelRequested(id)
	}
	asked := time.Now()
	status, state := c.request(i, peer.RelayRequest{Method: method, ID: id})
	over := false
	switch {
	case status == 200:
		if state == records.StatusCancelled {
			c.env.CancelConfirmed(id)
		}
		over = c.env.NoteAnswer(id, state, asked)
	case status == 404:
		c.env.NoteNotFound(id, asked)
	}
	if over {
		c.jobEvent(state, id)
	}
	return status, state
}

func (c *cluster) wantDone(i int, id string) {
	c.t.Helper()
	if status, st := c.ask(i, "poll", id); status != 200 || st != "done" {
		c.t.Errorf("poll %s at node %d: %d %q, want done", id, i, status, st)
	}
}

func (c *cluster) wantRunning(n int) {
	c.t.Helper()
	if got := c.env.Running(); got != n {
		c.t.Errorf("%d tasks are running, want %d", got, n)
	}
}

func sleep(s float64) { time.Sleep(time.Duration(s * float64(time.Second))) }

func TestJobRunsOnceAndItsMachinesAreReturned(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		if got := c.submit(0, records.Job{ID: "j-1", Tasks: 8, EstimateS: 30}); got != 201 {
			t.Fatalf("submit: %d", got)
		}
		sleep(35)
		c.wantRunning(8)
		sleep(40)
		for i := range 3 {
			c.wantDone(i, "j-1")
		}
		if got := c.submit(1, records.Job{ID: "j-1", Tasks: 8}); got != 200 {
			t.Errorf("repeated submission of a finished job: %d, want 200", got)
		}
		sleep(120)
		if ms := c.env.Machines(); len(ms) != 0 {
			t.Errorf("%d idle machines are still rented", len(ms))
		}
		if keys := append(c.store.Keys("jobs/open/"), c.store.Keys("done/")...); len(keys) != 0 {
			t.Errorf("left in the store: %v", keys)
		}
	})
}

// The leader dies with its tasks running: they run on, and nothing starts twice.
func TestFailoverKeepsRunningTasks(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		old := c.leaderIndex()
		starts := c.env.Starts()
		c.killNode(old)
		sleep(8)
		if now := c.leaderIndex(); now < 0 || now == old {
			t.Fatalf("node %d leads after node %d died", now, old)
		}
		sleep(40)
		c.wantDone((old+1)%3, "j-1")
		if c.env.Starts() != starts {
			t.Errorf("%d tasks were started again", c.env.Starts()-starts)
		}
	})
}

// All controllers die at once. Within the workers' lease, nothing is lost.
func TestRestartOfAllControllersKeepsRunningTasks(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		starts := c.env.Starts()
		for i := range 3 {
			c.killNode(i)
		}
		sleep(3)
		for i := range 3 {
			c.startNode(i)
		}
		sleep(50)
		c.wantDone(0, "j-1")
		if c.env.Starts() != starts {
			t.Errorf("%d tasks were started again", c.env.Starts()-starts)
		}
	})
}

// Notes 8, 10: a machine that hangs through a takeover may resume with its
// tasks; they start elsewhere only once it has been given back.
func TestMachineHangingThroughFailoverRunsNothingTwice(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 8, EstimateS: 30})
		sleep(32)
		ms := c.env.Machines()
		ms[0].Hang(true)
		c.killNode(c.leaderIndex())
		sleep(9)
		ms[0].Hang(false)
		sleep(100)
		for i := range 3 {
			if c.node(i) != nil {
				c.wantDone(i, "j-1")
			}
		}
	})
}

// Note 18: an outage of the store longer than its leases and the workers' leases
// costs no running work, since all controllers confirm that no cancellation can have
// been told; and since none of them can lead, waiting tasks go on starting.
func TestLongStoreOutageKeepsRunningTasks(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(task string) time.Duration {
			if strings.HasPrefix(task, "j-1/") {
				return 90 * time.Second
			}
			return 10 * time.Second
		}
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 4, EstimateS: 90})
		c.submit(1, records.Job{ID: "j-2", Tasks: 40, EstimateS: 1})
		sleep(29)
		starts := c.env.Starts()
		c.store.SetOutage(true)
		sleep(50)
		if status, _ := c.ask(0, "poll", "j-1"); status != 503 {
			t.Errorf("poll in an outage: %d, want 503", status)
		}
		if !c.node(0).server.Ready() {
			t.Error("not ready in an outage that all share")
		}
		if c.env.Starts() < starts+8 {
			t.Errorf("%d starts before the outage, %d with it: waiting tasks stood still", starts, c.env.Starts())
		}
		c.store.SetOutage(false)
		sleep(130)
		c.wantDone(1, "j-1")
		c.wantDone(2, "j-2")
		if c.env.Starts() != 44 {
			t.Errorf("%d starts for 44 tasks", c.env.Starts())
		}
	})
}

// Beyond its grant a leader starts nothing when a peer may lead: here one is cut
// off from it and the store refuses the leader alone.
func TestLeaderWithoutLeaseOrPeersStartsNothing(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 5 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 200, EstimateS: 2})
		sleep(30)
		old := c.leaderIndex()
		c.store.SetOutage(true)
		c.killNode((old + 1) % 3)
		sleep(6)
		starts := c.env.Starts()
		sleep(10)
		if now := c.env.Starts(); now != starts {
			t.Errorf("%d tasks were started without a grant or a vouching peer", now-starts)
		}
		c.store.SetOutage(false)
		sleep(10)
		if c.env.Starts() == starts {
			t.Error("nothing started after the outage")
		}
	})
}

// Note 18: one controller restarts in the outage, so it cannot vouch for the
// time before: leases lapse in time for any cancellation.
func TestOutageWithoutObserverExpiresLeases(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 200 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 4, EstimateS: 200})
		sleep(32)
		other := (c.leaderIndex() + 1) % 3
		// The cancellation reaches the store and its user, but the leader hears
		// of nothing any more.
		c.store.SetRefused(strings.Fields(nodeNames)[c.leaderIndex()], true)
		if _, st := c.ask(other, "withdraw", "j-1"); st != "cancelled" {
			t.Fatalf("withdraw: %q", st)
		}
		c.store.SetOutage(true)
		c.killNode(other)
		sleep(1)
		c.startNode(other)
		sleep(31)
		c.wantRunning(0)
		c.env.CheckCancelled()
		c.store.SetOutage(false)
	})
}

// A new machine's first report waits for its record and is answered with runs: no
// report interval is lost, which on hundreds of machines is hundreds of intervals.
func TestFirstHeartbeatIsAnsweredWithStarts(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 4, EstimateS: 30})
		var heard, started time.Time
		for range 400 {
			sleep(0.1)
			for _, m := range c.env.Machines() {
				c.env.mu.Lock()
				if m.fencingToken > 0 && heard.IsZero() {
					heard = time.Now()
				}
				c.env.mu.Unlock()
			}
			if c.env.Starts() > 0 && started.IsZero() {
				started = time.Now()
			}
		}
		if heard.IsZero() || started.IsZero() || started.Sub(heard) > c.env.HeartbeatInterval/2 {
			t.Errorf("first answer %v, first start %v", heard, started)
		}
	})
}

// At the end of an outage somebody is served first. The leader, served a moment
// later, goes on leading: stepping down would cost a grant and a takeover.
func TestLeaderServedLastAfterOutageKeepsLeading(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		old := c.leaderIndex()
		c.store.SetOutage(true)
		sleep(10)
		c.store.SetRefused(strings.Fields(nodeNames)[old], true)
		c.store.SetOutage(false)
		sleep(0.9)
		c.store.SetRefused(strings.Fields(nodeNames)[old], false)
		for range 10 {
			sleep(1)
			if now := c.leaderIndex(); now != old {
				t.Fatalf("node %d leads after the outage, node %d did before", now, old)
			}
		}
		sleep(60)
		c.wantDone(old, "j-1")
	})
}

// Note 19: a leader that the store refuses alone steps down, and users are
// served through the others.
func TestLeaderRefusedAloneStepsDown(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		starts := c.env.Starts()
		old := c.leaderIndex()
		c.store.SetRefused(strings.Fields(nodeNames)[old], true)
		sleep(12)
		if now := c.leaderIndex(); now < 0 || now == old {
			t.Fatalf("node %d leads, though the store refuses node %d", now, old)
		}
		if c.node(old).server.Ready() {
			t.Error("ready, though others would serve and this one cannot")
		}
		if status, st := c.ask(old, "poll", "j-1"); status != 200 {
			t.Errorf("poll at the refused node: %d %s", status, st)
		}
		if got := c.submit(old, records.Job{ID: "j-2", Tasks: 1, EstimateS: 30}); got != 201 {
			t.Errorf("submission at the refused node: %d", got)
		}
		sleep(60)
		c.wantDone((old+1)%3, "j-1")
		if c.env.Starts() > starts+1 {
			t.Errorf("%d tasks were started again", c.env.Starts()-starts-1)
		}
	})
}

// A leader that only the workers cannot reach hears them through the others, and
// takes no machine for lost.
func TestLeaderUnreachableForWorkersLosesNoMachine(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 60 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 8, EstimateS: 60})
		sleep(32)
		up := len(c.env.Machines())
		l := c.leaderIndex()
		c.mu.Lock()
		c.unreachable[l] = true
		c.mu.Unlock()
		sleep(25)
		if now := len(c.env.Machines()); now < up {
			t.Errorf("%d machines of %d are left", now, up)
		}
		c.mu.Lock()
		c.unreachable[l] = false
		c.mu.Unlock()
		sleep(40)
		c.wantDone(0, "j-1")
		if c.env.Starts() != 8 {
			t.Errorf("%d starts for 8 tasks", c.env.Starts())
		}
	})
}

// Commits whose answers are lost, and that are applied late, neither lose nor
// double anything.
func TestCommitsWithLostAnswersLoseAndDoubleNothing(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		n := c.node(1)
		n.client.LoseAnswers(1, time.Second)
		if got := c.submit(1, records.Job{ID: "j-1", Tasks: 2, EstimateS: 30}); got != 503 {
			t.Errorf("unanswered submission: %d, want 503", got)
		}
		sleep(2)
		if got := c.submit(1, records.Job{ID: "j-1", Tasks: 2, EstimateS: 30}); got != 200 {
			t.Errorf("its retry: %d, want 200", got)
		}
		sleep(20)
		c.node(c.leaderIndex()).client.LoseAnswers(5, 3*time.Second)
		sleep(60)
		c.wantDone(0, "j-1")
	})
}

// Cancellation: from the answer on nothing starts, and what runs is gone in time;
// the state stays, on every node.
func TestCancelledJobStopsAndStaysCancelled(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 12, EstimateS: 30})
		sleep(30)
		if _, st := c.ask(2, "withdraw", "j-1"); st != "cancelled" {
			t.Fatalf("withdraw: %q", st)
		}
		sleep(3)
		c.wantRunning(0)
		c.killNode(c.leaderIndex())
		sleep(30)
		for i := range 3 {
			if c.node(i) == nil {
				continue
			}
			if status, st := c.ask(i, "poll", "j-1"); status != 200 || st != "cancelled" {
				t.Errorf("poll: %d %s", status, st)
			}
			if got := c.submit(i, records.Job{ID: "j-1", Tasks: 12}); got != 200 {
				t.Errorf("repeated submission of a cancelled job: %d", got)
			}
		}
	})
}

// A job of 100,000 tasks fits the store's values, transactions and rate.
func TestHugeJobFitsStoreLimits(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(task string) time.Duration { return time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 100_000, EstimateS: 1})
		sleep(60)
		c.killNode(c.leaderIndex())
		sleep(15)
		for _, k := range c.store.Keys("done/") {
			if v := c.store.Value(k); len(v) > 8<<10 {
				t.Errorf("%s takes %d bytes", k, len(v))
			}
		}
		if c.env.Starts() < 100 {
			t.Errorf("only %d tasks started", c.env.Starts())
		}
		for i := range 3 {
			if c.node(i) != nil {
				c.ask(i, "withdraw", "j-1")
				break
			}
		}
		sleep(3)
	})
}

// Machines die, are taken with notice, and rental answers get lost: the work is
// done all the same.
func TestJobCompletesThoughMachinesAreLost(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 16, EstimateS: 30, CheckpointS: 10, SaveS: 2})
		sleep(30)
		ms := c.env.Machines()
		if len(ms) < 3 {
			t.Fatalf("%d machines are up, want 3 or more", len(ms))
		}
		ms[0].Die()
		ms[1].NotifyPreemption(8 * time.Second)
		sleep(150)
		c.wantDone(0, "j-1")
	})
}
