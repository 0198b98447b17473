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

// These tests run complete controllers against the simulation, in the virtual time of synctest.

// testController is a running controller.
type testController struct {
	name     string
	client   *Client
	election *election.Election
	server   *api.Server
	observer watermark.Observer
	leader   *leader.Leader // nil while this controller is not the leader; guarded by cluster.mu
	cancel   context.CancelFunc
	stopped  chan struct{}
}

// cluster holds the controllers, the environment and the users of a scenario.
type cluster struct {
	t     *testing.T
	ctx   context.Context
	store *Store
	env   *Environment
	cfg   *config.Config

	leaderLease       time.Duration // TTL of the leader's lease in the store
	limitLeaderWrites bool          // leaders limit their writes to their share of the write rate
	starts            int           // number of controller starts

	mu          sync.Mutex        // guards the fields below
	controllers []*testController // the controllers, by index; nil while down

	// Injected faults of controllers and of the network to them. Controllers are given by index.
	olderVersion          map[int]bool          // controllers of a version without watermarks and heartbeat relay
	unreachable           map[int]bool          // controllers that workers cannot reach
	isolated              map[int]bool          // controllers that no other controller can reach
	onlyControllerForZone map[string]int        // the only controller that the workers of a zone can reach, by zone
	delays                map[int]time.Duration // additional delay of heartbeats and peer messages to a controller
	beforeCloudList       func(controller int)  // called before a leader reads the cloud's machine list; may be nil
	copyDelays            []time.Duration       // delays of the copies of every heartbeat; see copyHeartbeats
	shouldKeepCopy        func() bool           // decides whether to keep a copy of a heartbeat for the next leader; nil: never
	keptHeartbeats        [][]byte              // copies kept for the next leader

	heartbeatCounts []int // number of heartbeats that workers sent to each controller

	// State of the simulated users.
	jobs              map[string]records.Job // submitted jobs, by ID
	expectedDone      []string               // IDs of accepted jobs that are not cancelled and must be done at the end
	unansweredCancels []string               // IDs of jobs whose cancel request got no 200 response
	cancelledJobs     map[string]bool        // IDs of cancelled jobs and of their direct and indirect dependents
	onJobEvent        func(event, id string) // called when a response reports a job as accepted or final; may be nil
}

const controllerNames = "n-0 n-1 n-2 n-3 n-4 n-5 n-6"

// sleep sleeps for a number of seconds.
func sleep(s float64) { time.Sleep(time.Duration(s * float64(time.Second))) }

// runScenario runs a scenario with three controllers, and checks the rules during the scenario and at its end.
func runScenario(t *testing.T, scenario func(c *cluster)) {
	runScenarioWith(t, func(*cluster) {}, scenario)
}

// runScenarioWith is runScenario with a function that prepares the settings, the environment and the store before the
// controllers start.
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
			t.Error("rule violated: " + violation)
		}
		if c.env.Starts() == 0 {
			t.Error("no task was started")
		}
		cancel()
		for i := range c.controllers {
			c.killController(i)
		}
		// Requests of workers may still be in flight, and no goroutine of a synctest bubble may outlast the test.
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
		onlyControllerForZone: map[string]int{}, delays: map[int]time.Duration{},
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
	c.controllers, c.heartbeatCounts = make([]*testController, n), make([]int, n)
	c.env.Controllers = strings.Fields(controllerNames)[:n]
	for i := range c.controllers {
		c.startController(i)
	}
}

// checkRulesUntil checks the rules that hold at any time, four times in each heartbeat interval until ended is closed.
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

// startController starts a controller as a new process, without state of an earlier one.
func (c *cluster) startController(i int) {
	name := strings.Fields(controllerNames)[i]
	c.starts++
	ctx, cancel := context.WithCancel(c.ctx)
	n := &testController{name: name, client: c.store.Client(name), cancel: cancel, stopped: make(chan struct{})}
	if c.limitLeaderWrites {
		n.client.SetWriteShare(c.cfg.Deployment.Store.Lowest().WriteRPS / 2)
	}
	cfg := c.controllerConfig(i)
	n.election = election.New(n.client, name, fmt.Sprint("start-", c.starts), c.leaderLease, cfg.Options.Watermarks)
	peers := &peerNetwork{c, i}
	n.server = api.New(cfg, n.client, peers, n.election, func() api.Leader {
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
	cloud := &observedCloud{&CloudClient{Environment: c.env, Alive: func() bool { return ctx.Err() == nil }}, c, i}
	go func() {
		defer close(n.stopped)
		n.election.Run(ctx, func(ctx context.Context, term uint64) {
			l := leader.New(cfg, n.client, cloud, n.election, peers, c.env, &n.observer, n.server.Cancellations(), term)
			c.setLeader(n, l)
			go c.replayKeptHeartbeats(ctx)
			l.Run(ctx)
			c.setLeader(n, nil)
		})
	}()
	c.mu.Lock()
	c.controllers[i] = n
	c.mu.Unlock()
}

// controllerConfig returns the configuration of a controller.
func (c *cluster) controllerConfig(i int) *config.Config {
	cfg := *c.cfg
	cfg.Options.Watermarks = cfg.Options.Watermarks && !c.olderVersion[i]
	cfg.Options.HeartbeatRelay = cfg.Options.HeartbeatRelay && !c.olderVersion[i]
	cfg.Node = strings.Fields(controllerNames)[i]
	for j, other := range c.env.Controllers {
		if j != i {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: other})
		}
	}
	return &cfg
}

func (c *cluster) setLeader(n *testController, l *leader.Leader) {
	c.mu.Lock()
	n.leader = l
	c.mu.Unlock()
}

// killController ends a controller, as a crash would. It does nothing if the controller is down.
func (c *cluster) killController(i int) {
	c.mu.Lock()
	n := c.controllers[i]
	c.controllers[i] = nil
	c.mu.Unlock()
	if n != nil {
		n.client.Kill()
		n.cancel()
		<-n.stopped
	}
}

// controller returns the controller with an index, or nil if it is down.
func (c *cluster) controller(i int) *testController {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controllers[i]
}

// leaderIndex returns the index of the leader, or -1 if there is no leader.
func (c *cluster) leaderIndex() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderIndexLocked()
}

func (c *cluster) leaderIndexLocked() int {
	for i, n := range c.controllers {
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

// mixedRunTime returns a run time of 4 to 11 seconds by the task's name, so that tasks end at different times.
func mixedRunTime(task string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(task))
	return time.Duration(4+h.Sum32()%8) * time.Second
}

// runAfter calls f after a delay. It sleeps in a goroutine instead of using a timer: under the race detector tens of
// thousands of timers in one process crash it (Go 1.26, a fault in the detector's record of stacks).
func runAfter(d time.Duration, f func()) {
	go func() {
		time.Sleep(d)
		f()
	}()
}

// upControllerFrom returns the index of the first controller that is up, starting at i. The cluster has three.
func (c *cluster) upControllerFrom(i int) int {
	for c.controller(i%3) == nil {
		i++
	}
	return i % 3
}
