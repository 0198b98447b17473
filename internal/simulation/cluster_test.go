package simulation

import (
	"context"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/api"
	"drumpick/internal/config"
	"drumpick/internal/election"
	"drumpick/internal/leader"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// These tests run whole controllers against the simulation, in synctest's time.

// node is a controller.
type node struct {
	name     string
	client   *Client
	election *election.Election
	server   *api.Server
	observer watermark.Observer
	leader   *leader.Leader // nil unless it leads; guarded by cluster.mu
	cancel   context.CancelFunc
	stopped  chan struct{}
}

// cluster is the controllers of a scenario, their environment and their users.
type cluster struct {
	t     *testing.T
	ctx   context.Context
	store *Store
	env   *Environment
	cfg   *config.Config

	leaderLease       time.Duration // life of the leader's
	limitLeaderWrites bool          // leaders keep to their share of the write rate
	starts            int           // of controllers

	mu    sync.Mutex // guards what follows
	nodes []*node    // nil while down

	// Faults of controllers and of the ways to them.
	olderVersion    map[int]bool          // nodes that keep no watermarks and relay no heartbeats
	unreachable     map[int]bool          // nodes that workers cannot reach
	isolated        map[int]bool          // nodes that no other can reach
	onlyNodeForZone map[string]int        // the one node that workers of a zone can reach
	delays          map[int]time.Duration // by how much later a node gets what others send to it
	copyDelays      []time.Duration       // after each of these, a copy of every heartbeat comes to another node
	shouldKeepCopy  func() bool           // whether a copy of a heartbeat is kept for the next leader; nil: none is
	keptCopies      [][]byte              // such copies

	heartbeatCounts []int // that workers sent to each node

	// What users do and were told.
	jobs              map[string]records.Job
	expectedDone      []string               // jobs that were accepted and not cancelled
	unansweredCancels []string               // jobs whose cancellation nobody has answered
	cancelledJobs     map[string]bool        // jobs that are cancelled, or depend on one that is
	onJobEvent        func(event, id string) // what users do when a job is accepted or final; may be nil
}

const nodeNames = "n-0 n-1 n-2 n-3 n-4 n-5 n-6"

// sleep sleeps for so many seconds.
func sleep(s float64) { time.Sleep(time.Duration(s * float64(time.Second))) }

// runScenario runs a scenario with three controllers and checks the rules all along and at its end.
func runScenario(t *testing.T, scenario func(c *cluster)) {
	runScenarioWith(t, func(*cluster) {}, scenario)
}

// runScenarioWith lets a scenario change the settings, or what is in the store, before it begins.
func runScenarioWith(t *testing.T, prepare, scenario func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx, t)
		prepare(c)
		c.startAll()
		ended := make(chan struct{})
		go c.checkRulesUntil(ended)
		scenario(c)
		close(ended)
		c.env.CheckCancelled()
		for _, violation := range c.env.Violations() {
			t.Error("rule broken: " + violation)
		}
		if c.env.Starts() == 0 {
			t.Error("nothing ran")
		}
		cancel()
		for i := range c.nodes {
			c.killNode(i)
		}
		// A worker may be on its way to a controller: in the bubble nothing may outlast the test.
		sleep(60)
	})
}

func newCluster(ctx context.Context, t *testing.T) *cluster {
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Options.Watermarks, cfg.Options.HeartbeatRelay, cfg.Options.LeaseExpiryProofs = true, true, true
	cfg.Deployment = config.Deployment{
		Nodes: 3, Zones: []string{"a", "b"}, Teams: []config.Team{{Name: "team"}, {Name: "other"}},
		Workers: config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerLossS: 5, CancelS: 30},
		Store:   config.StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 16},
		Cloud:   config.CloudLimits{RPS: 4, ListLagS: 3},
	}
	c := &cluster{
		t: t, ctx: ctx, store: NewStore(), env: NewEnvironment(ctx), cfg: cfg, leaderLease: 4 * time.Second,
		olderVersion: map[int]bool{}, unreachable: map[int]bool{}, isolated: map[int]bool{},
		onlyNodeForZone: map[string]int{}, delays: map[int]time.Duration{},
		jobs: map[string]records.Job{}, cancelledJobs: map[string]bool{},
	}
	env := c.env
	env.HeartbeatInterval, env.Lease = 2*time.Second, 12*time.Second
	env.BootTime, env.CancelLimit = 20*time.Second, 30*time.Second
	env.ZoneCapacity = 50
	env.Types = []records.MachineType{{
		Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, StartupS: 20, Zones: []string{"a", "b"},
	}}
	env.RunTime = func(string) time.Duration { return 30 * time.Second }
	env.LookupJob = func(id string) (records.Job, bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		j, ok := c.jobs[id]
		return j, ok
	}
	env.Heartbeat = c.heartbeat
	return c
}

// startAll starts all controllers.
func (c *cluster) startAll() {
	c.env.Teams = c.cfg.Deployment.Teams
	n := c.cfg.Deployment.Nodes
	c.nodes, c.heartbeatCounts = make([]*node, n), make([]int, n)
	c.env.Nodes = strings.Fields(nodeNames)[:n]
	for i := range c.nodes {
		c.startNode(i)
	}
}

// checkRulesUntil checks what must hold all along, several times in a heartbeat interval.
func (c *cluster) checkRulesUntil(ended chan struct{}) {
	idle := &idleCheck{env: c.env}
	for {
		select {
		case <-time.After(c.env.HeartbeatInterval / 4):
			c.env.CheckCancelled()
			idle.check(c.anyFault())
		case <-ended:
			return
		}
	}
}

// startNode starts a controller, with a new process's memory.
func (c *cluster) startNode(i int) {
	name := strings.Fields(nodeNames)[i]
	c.starts++
	ctx, cancel := context.WithCancel(c.ctx)
	n := &node{name: name, client: c.store.Client(name), cancel: cancel, stopped: make(chan struct{})}
	if c.limitLeaderWrites {
		n.client.SetWriteShare(c.cfg.Deployment.Store.Lowest().WriteRPS / 2)
	}
	cfg := c.nodeConfig(i)
	n.election = election.New(n.client, name, fmt.Sprint("start-", c.starts), c.leaderLease, cfg.Options.Watermarks)
	peers := &peerNetwork{c, i}
	n.server = api.New(cfg, n.client, peers, n.election.Leader, func() api.Leader {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n.leader == nil {
			return nil
		}
		return n.leader
	})
	n.server.SetMachineTypes(c.env.Types)
	go n.server.WatchPeers(ctx)
	if cfg.Options.HeartbeatRelay {
		go n.server.AnnounceRelay(ctx)
	}
	cloud := &CloudClient{Environment: c.env, Alive: func() bool { return ctx.Err() == nil }}
	go func() {
		defer close(n.stopped)
		n.election.Run(ctx, func(ctx context.Context, term uint64) {
			l := leader.New(cfg, n.client, cloud, n.election, peers, c.env, &n.observer, n.server.Cancellations(), term)
			c.setLeader(n, l)
			go c.replayKept(ctx)
			l.Run(ctx)
			c.setLeader(n, nil)
		})
	}()
	c.mu.Lock()
	c.nodes[i] = n
	c.mu.Unlock()
}

// nodeConfig returns a controller's own configuration.
func (c *cluster) nodeConfig(i int) *config.Config {
	cfg := *c.cfg
	cfg.Options.Watermarks = cfg.Options.Watermarks && !c.olderVersion[i]
	cfg.Options.HeartbeatRelay = cfg.Options.HeartbeatRelay && !c.olderVersion[i]
	cfg.Node = strings.Fields(nodeNames)[i]
	for j, other := range c.env.Nodes {
		if j != i {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: other})
		}
	}
	return &cfg
}

func (c *cluster) setLeader(n *node, l *leader.Leader) {
	c.mu.Lock()
	n.leader = l
	c.mu.Unlock()
}

// killNode ends a controller as a crash would.
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

// node returns a controller; nil: it is down.
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

func jobID(n int) string { return "j-" + strconv.Itoa(n) }

// isCompleted reports whether all of a job's tasks have completed.
func (c *cluster) isCompleted(j records.Job) bool {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	return len(c.env.completed[j.ID]) >= j.Tasks
}

// mixedRunTime is how long tasks run: 4 to 11 seconds, so that some end at any time.
func mixedRunTime(task string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(task))
	return time.Duration(4+h.Sum32()%8) * time.Second
}

// runAfter does something a while later. A goroutine that sleeps, not a timer's: under the race detector
// tens of thousands of those in one process end it (Go 1.26, a fault in its record of stacks).
func runAfter(d time.Duration, do func()) {
	go func() {
		time.Sleep(d)
		do()
	}()
}

// upNodeFrom is a node that is up.
func (c *cluster) upNodeFrom(i int) int {
	for c.node(i%3) == nil {
		i++
	}
	return i % 3
}
