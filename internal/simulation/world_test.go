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
	name   string
	client *Client
	ten    *election.Election
	server *api.Server
	heard  watermark.Observer
	leader *leader.Leader
	cancel context.CancelFunc
	gone   chan struct{}
}

type cluster struct {
	t     *testing.T
	ctx   context.Context
	state *State
	world *World
	cfg   *config.Config

	mu    sync.Mutex
	nodes []*node // nil while down
	jobs  map[string]records.Job
	start int
	grant time.Duration          // life of a leader's
	deaf  map[int]bool           // nodes that workers cannot reach
	paced bool                   // leaders keep to their share of the write rate
	plain map[int]bool           // nodes that keep no marks and pass nothing on, as earlier versions
	alone map[int]bool           // nodes that no other can reach
	only  map[string]int         // the one node that workers of a zone can reach
	came  []int                  // reports that workers sent to each node
	echo  []time.Duration        // after each of these, a copy of every report comes to another node
	asked []string               // jobs that were accepted and not cancelled
	again []string               // jobs whose cancellation nobody has answered
	gone  map[string]bool        // jobs that are cancelled, or behind one that is
	slow  map[int]time.Duration  // by how much later a node gets to what others ask of it
	looks func(event, id string) // users look closely: what they do when a job is accepted, over or cancelled
	keeps func() bool            // whether a copy of a report is kept for the next leader; nil: none is
	kept  [][]byte               // such copies
}

const names = "n-0 n-1 n-2 n-3 n-4 n-5 n-6"

// play runs a story with three controllers and checks the rules at its end.
func play(t *testing.T, story func(c *cluster)) { playWith(t, func(*cluster) {}, story) }

// playWith lets a story change the settings, or what is in the store, before it begins.
func playWith(t *testing.T, prepare, story func(c *cluster)) {
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
		c := &cluster{t: t, ctx: ctx, state: NewState(), world: NewWorld(ctx), cfg: cfg, jobs: map[string]records.Job{}, grant: 4 * time.Second, slow: map[int]time.Duration{}, deaf: map[int]bool{}, plain: map[int]bool{}, alone: map[int]bool{}, only: map[string]int{}, gone: map[string]bool{}}
		w := c.world
		w.HeartbeatInterval, w.Lease, w.Startup, w.Cancel = 2*time.Second, 12*time.Second, 20*time.Second, 30*time.Second
		w.Capacity = 50
		w.Types = []records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, StartupS: 20, Zones: []string{"a", "b"}}}
		w.RunFor = func(string) time.Duration { return 30 * time.Second }
		w.Jobs = func(id string) (records.Job, bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			j, ok := c.jobs[id]
			return j, ok
		}
		w.Heartbeat = c.report
		prepare(c)
		w.Teams = cfg.Deployment.Teams
		n := cfg.Deployment.Nodes
		c.nodes, c.came, w.Nodes = make([]*node, n), make([]int, n), strings.Fields(names)[:n]
		for i := range c.nodes {
			c.boot(i)
		}
		ended := make(chan struct{})
		go func() {
			for idle := (&idler{w: w}); ; {
				select {
				case <-time.After(w.HeartbeatInterval / 4):
					w.CheckEnd()
					idle.look(c.troubled())
				case <-ended:
					return
				}
			}
		}()
		story(c)
		close(ended)
		w.CheckEnd()
		for _, b := range w.Broken() {
			t.Error("rule broken: " + b)
		}
		if w.Starts() == 0 {
			t.Error("nothing ran")
		}
		cancel()
		for i := range c.nodes {
			c.kill(i)
		}
		// A worker may be on its way to a controller: in the bubble nothing may outlast the
		// test.
		sleep(60)
	})
}

func (c *cluster) boot(i int) {
	name := strings.Fields(names)[i]
	c.start++
	ctx, cancel := context.WithCancel(c.ctx)
	n := &node{name: name, client: c.state.Client(name), cancel: cancel, gone: make(chan struct{})}
	if c.paced {
		n.client.Share(c.cfg.Deployment.State.Lowest().WriteRPS / 2)
	}
	cfg := *c.cfg
	cfg.Options.Watermarks = cfg.Options.Watermarks && !c.plain[i]
	cfg.Options.HeartbeatRelay = cfg.Options.HeartbeatRelay && !c.plain[i]
	n.ten = election.New(n.client, name, fmt.Sprint("start-", c.start), c.grant, cfg.Options.Watermarks)
	cfg.Node = name
	for j, other := range c.world.Nodes {
		if j != i {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: other})
		}
	}
	peers := &friends{c, i}
	n.server = api.New(&cfg, n.client, peers, n.ten.Leader, func() api.Local {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n.leader == nil {
			return nil
		}
		return n.leader
	})
	n.server.SetTypes(c.world.Types)
	go n.server.Watch(ctx)
	if cfg.Options.HeartbeatRelay {
		go n.server.OfferRelay(ctx)
	}
	cloud := &CloudClient{W: c.world, Alive: func() bool { return ctx.Err() == nil }}
	go func() {
		defer close(n.gone)
		n.ten.Run(ctx, func(ctx context.Context, term uint64) {
			l := leader.New(&cfg, n.client, cloud, n.ten, peers, c.world, &n.heard, n.server.Cancellations(), term)
			c.mu.Lock()
			n.leader = l
			c.mu.Unlock()
			go c.showKept(ctx)
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

func (c *cluster) kill(i int) {
	c.mu.Lock()
	n := c.nodes[i]
	c.nodes[i] = nil
	c.mu.Unlock()
	if n != nil {
		n.client.Kill()
		n.cancel()
		<-n.gone
	}
}

func (c *cluster) node(i int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[i]
}

// leading returns the index of the node that leads, -1 if none does.
func (c *cluster) leading() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leadingLocked()
}

func (c *cluster) leadingLocked() int {
	for i, n := range c.nodes {
		if n != nil && n.leader != nil {
			return i
		}
	}
	return -1
}

func (c *cluster) cut(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deaf[i]
}

// old says whether a node is as earlier versions are.
func (c *cluster) old(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plain[i]
}

// late is how much later a node gets to what others ask of it.
func (c *cluster) late(i int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slow[i]
}

// hidden says whether workers of a zone cannot reach a node.
func (c *cluster) hidden(i int, zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	only, ok := c.only[zone]
	return ok && only != i
}

// apart says whether two nodes cannot reach each other.
func (c *cluster) apart(i, k int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alone[i] || c.alone[k]
}

func (c *cluster) report(i int, r *fleet.Heartbeat) (int, fleet.HeartbeatResponse, string) {
	time.Sleep(latency + c.late(i))
	n := c.node(i)
	if n == nil {
		return Refused, fleet.HeartbeatResponse{}, ""
	}
	if c.cut(i) || c.hidden(i, r.Zone) {
		return 0, fleet.HeartbeatResponse{}, ""
	}
	c.mu.Lock()
	c.came[i]++
	echo := c.echo
	c.mu.Unlock()
	c.keep(r)
	for n, d := range echo {
		later(d, func() {
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

type friends struct {
	c  *cluster
	me int
}

func (f *friends) Status(ctx context.Context) ([]peer.Status, bool) {
	return f.QueryStatus(ctx, peer.StatusRequest{})
}

func (f *friends) QueryStatus(_ context.Context, ask peer.StatusRequest) ([]peer.Status, bool) {
	time.Sleep(latency)
	var out []peer.Status
	for i := range f.c.nodes {
		n := f.c.node(i)
		if i == f.me || n == nil || f.c.apart(f.me, i) {
			continue
		}
		if f.c.old(i) {
			// It knows no more than to say how quiet it has been.
			out = append(out, peer.StatusOf(n.name, n.client, n.server.Cancellations(), peer.StatusRequest{}))
			continue
		}
		s := peer.StatusOf(n.name, n.client, n.server.Cancellations(), ask).WithAttestations(&n.heard, ask.Attestation, n.server.SinceRenewal())
		out = append(out, s)
	}
	return out, len(out) == len(f.c.nodes)-1
}

// cut says whether a call to a node gets no answer, after it has hung for a while.
func (f *friends) cut(i int) bool {
	if !f.c.apart(f.me, i) {
		return false
	}
	time.Sleep(time.Second / 2)
	return true
}

func (f *friends) RelayHeartbeat(node string, body []byte) (peer.RelayReply, error) {
	for i := range f.c.nodes {
		if n := f.c.node(i); n != nil && n.name == node && !f.cut(i) {
			return n.server.RelayedHeartbeat(peer.HeartbeatRequest{Body: body}), nil
		}
	}
	return peer.RelayReply{}, errors.New("no answer")
}

func (f *friends) RelayHeartbeats(node string, in peer.HeartbeatBatch, _ time.Duration) (peer.HeartbeatBatchReply, error) {
	time.Sleep(latency)
	for i := range f.c.nodes {
		if n := f.c.node(i); n != nil && n.name == node && !f.c.old(i) && !f.c.apart(f.me, i) {
			time.Sleep(f.c.late(i))
			return n.server.RelayedHeartbeats(in), nil
		}
	}
	return peer.HeartbeatBatchReply{}, errors.New("no answer")
}

func (f *friends) Progress(node, id string) (peer.Progress, error) {
	for i := range f.c.nodes {
		if n := f.c.node(i); n != nil && n.name == node && !f.cut(i) {
			f.c.mu.Lock()
			l := n.leader
			f.c.mu.Unlock()
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

func (f *friends) NotifyCancelled(node, id string) (bool, error) {
	time.Sleep(latency)
	for i := range f.c.nodes {
		if n := f.c.node(i); n != nil && n.name == node && !f.cut(i) {
			time.Sleep(f.c.late(i))
			return n.server.PeerCancelled(id), nil
		}
	}
	return false, errors.New("no answer")
}

func (f *friends) Relay(r peer.RelayRequest, _ time.Duration) (peer.RelayReply, bool) {
	for i := range f.c.nodes {
		if n := f.c.node(i); n != nil && i != f.me && !f.cut(i) {
			if out := n.server.Relay(r); out.Final(r) {
				return out, true
			}
		}
	}
	return peer.RelayReply{}, false
}

// echoes has a copy of every report come to another node after each of these times.
func (c *cluster) echoes(after ...time.Duration) {
	c.mu.Lock()
	c.echo = after
	c.mu.Unlock()
}

// keep keeps a copy of a report for the next leader.
func (c *cluster) keep(r *fleet.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keeps != nil && c.keeps() {
		raw, _ := json.Marshal(r)
		c.kept = append(c.kept, raw)
	}
}

// showKept brings the copies that were kept to every controller just as a new leader begins.
func (c *cluster) showKept(ctx context.Context) {
	c.mu.Lock()
	kept := c.kept
	c.kept = nil
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

// look has users look closely at a job of which something has just been told.
func (c *cluster) look(event, id string) {
	c.mu.Lock()
	looks := c.looks
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
	c.world.Submitted(j.ID, status, asked)
	if status == 201 {
		c.mu.Lock()
		if !c.gone[j.ID] {
			c.asked = append(c.asked, j.ID)
		}
		c.mu.Unlock()
		c.look("accepted", j.ID)
	}
	return status
}

func (c *cluster) ask(i int, method, id string) (int, string) {
	if method == peer.MethodCancel {
		c.world.Withdrawn(id)
	}
	asked := time.Now()
	status, state := c.request(i, peer.RelayRequest{Method: method, ID: id})
	over := false
	switch {
	case status == 200:
		if state == records.StatusCancelled {
			c.world.Cancelled(id)
		}
		over = c.world.NoteAnswer(id, state, asked)
	case status == 404:
		c.world.Unknown(id, asked)
	}
	if over {
		c.look(state, id)
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
	if got := c.world.Running(); got != n {
		c.t.Errorf("%d tasks are running, want %d", got, n)
	}
}

func sleep(s float64) { time.Sleep(time.Duration(s * float64(time.Second))) }

func TestDay(t *testing.T) {
	play(t, func(c *cluster) {
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
		if ms := c.world.Machines(); len(ms) != 0 {
			t.Errorf("%d idle machines are still rented", len(ms))
		}
		if keys := append(c.state.Keys("jobs/open/"), c.state.Keys("done/")...); len(keys) != 0 {
			t.Errorf("left in the store: %v", keys)
		}
	})
}

// The leader dies with its tasks running: they run on, and nothing starts twice.
func TestTakeoverKeepsTasks(t *testing.T) {
	play(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		old := c.leading()
		starts := c.world.Starts()
		c.kill(old)
		sleep(8)
		if now := c.leading(); now < 0 || now == old {
			t.Fatalf("node %d leads after node %d died", now, old)
		}
		sleep(40)
		c.wantDone((old+1)%3, "j-1")
		if c.world.Starts() != starts {
			t.Errorf("%d tasks were started again", c.world.Starts()-starts)
		}
	})
}

// All controllers die at once. Within the workers' lease, nothing is lost.
func TestAllControllersRestart(t *testing.T) {
	play(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		starts := c.world.Starts()
		for i := range 3 {
			c.kill(i)
		}
		sleep(3)
		for i := range 3 {
			c.boot(i)
		}
		sleep(50)
		c.wantDone(0, "j-1")
		if c.world.Starts() != starts {
			t.Errorf("%d tasks were started again", c.world.Starts()-starts)
		}
	})
}

// Notes 8, 10: a machine that hangs through a takeover may resume with its
// tasks; they start elsewhere only once it has been given back.
func TestMachineHangsThroughTakeover(t *testing.T) {
	play(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 8, EstimateS: 30})
		sleep(32)
		ms := c.world.Machines()
		ms[0].Hang(true)
		c.kill(c.leading())
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
func TestLongOutageKeepsTasks(t *testing.T) {
	play(t, func(c *cluster) {
		c.world.RunFor = func(task string) time.Duration {
			if strings.HasPrefix(task, "j-1/") {
				return 90 * time.Second
			}
			return 10 * time.Second
		}
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 4, EstimateS: 90})
		c.submit(1, records.Job{ID: "j-2", Tasks: 40, EstimateS: 1})
		sleep(29)
		starts := c.world.Starts()
		c.state.Outage(true)
		sleep(50)
		if status, _ := c.ask(0, "poll", "j-1"); status != 503 {
			t.Errorf("poll in an outage: %d, want 503", status)
		}
		if !c.node(0).server.Ready() {
			t.Error("not ready in an outage that all share")
		}
		if c.world.Starts() < starts+8 {
			t.Errorf("%d starts before the outage, %d with it: waiting tasks stood still", starts, c.world.Starts())
		}
		c.state.Outage(false)
		sleep(130)
		c.wantDone(1, "j-1")
		c.wantDone(2, "j-2")
		if c.world.Starts() != 44 {
			t.Errorf("%d starts for 44 tasks", c.world.Starts())
		}
	})
}

// Beyond its grant a leader starts nothing when a peer may lead: here one is cut
// off from it and the store refuses the leader alone.
func TestNoStartsUnvouched(t *testing.T) {
	play(t, func(c *cluster) {
		c.world.RunFor = func(string) time.Duration { return 5 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 200, EstimateS: 2})
		sleep(30)
		old := c.leading()
		c.state.Outage(true)
		c.kill((old + 1) % 3)
		sleep(6)
		starts := c.world.Starts()
		sleep(10)
		if now := c.world.Starts(); now != starts {
			t.Errorf("%d tasks were started without a grant or a vouching peer", now-starts)
		}
		c.state.Outage(false)
		sleep(10)
		if c.world.Starts() == starts {
			t.Error("nothing started after the outage")
		}
	})
}

// Note 18: one controller restarts in the outage, so it cannot vouch for the
// time before: leases lapse in time for any cancellation.
func TestOutageWithoutWitnessLapses(t *testing.T) {
	play(t, func(c *cluster) {
		c.world.RunFor = func(string) time.Duration { return 200 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 4, EstimateS: 200})
		sleep(32)
		other := (c.leading() + 1) % 3
		// The cancellation reaches the store and its user, but the leader hears
		// of nothing any more.
		c.state.Refuse(strings.Fields(names)[c.leading()], true)
		if _, st := c.ask(other, "withdraw", "j-1"); st != "cancelled" {
			t.Fatalf("withdraw: %q", st)
		}
		c.state.Outage(true)
		c.kill(other)
		sleep(1)
		c.boot(other)
		sleep(31)
		c.wantRunning(0)
		c.world.CheckEnd()
		c.state.Outage(false)
	})
}

// A new machine's first report waits for its record and is answered with runs: no
// report interval is lost, which on hundreds of machines is hundreds of intervals.
func TestFirstReportStarts(t *testing.T) {
	play(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 4, EstimateS: 30})
		var heard, started time.Time
		for range 400 {
			sleep(0.1)
			for _, m := range c.world.Machines() {
				c.world.mu.Lock()
				if m.baton > 0 && heard.IsZero() {
					heard = time.Now()
				}
				c.world.mu.Unlock()
			}
			if c.world.Starts() > 0 && started.IsZero() {
				started = time.Now()
			}
		}
		if heard.IsZero() || started.IsZero() || started.Sub(heard) > c.world.HeartbeatInterval/2 {
			t.Errorf("first answer %v, first start %v", heard, started)
		}
	})
}

// At the end of an outage somebody is served first. The leader, served a moment
// later, goes on leading: stepping down would cost a grant and a takeover.
func TestOutageEndsForOthersFirst(t *testing.T) {
	play(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		old := c.leading()
		c.state.Outage(true)
		sleep(10)
		c.state.Refuse(strings.Fields(names)[old], true)
		c.state.Outage(false)
		sleep(0.9)
		c.state.Refuse(strings.Fields(names)[old], false)
		for range 10 {
			sleep(1)
			if now := c.leading(); now != old {
				t.Fatalf("node %d leads after the outage, node %d did before", now, old)
			}
		}
		sleep(60)
		c.wantDone(old, "j-1")
	})
}

// Note 19: a leader that the store refuses alone steps down, and users are
// served through the others.
func TestRefusedAlone(t *testing.T) {
	play(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		starts := c.world.Starts()
		old := c.leading()
		c.state.Refuse(strings.Fields(names)[old], true)
		sleep(12)
		if now := c.leading(); now < 0 || now == old {
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
		if c.world.Starts() > starts+1 {
			t.Errorf("%d tasks were started again", c.world.Starts()-starts-1)
		}
	})
}

// A leader that only the workers cannot reach hears them through the others, and
// takes no machine for lost.
func TestLeaderCutFromWorkers(t *testing.T) {
	play(t, func(c *cluster) {
		c.world.RunFor = func(string) time.Duration { return 60 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 8, EstimateS: 60})
		sleep(32)
		up := len(c.world.Machines())
		l := c.leading()
		c.mu.Lock()
		c.deaf[l] = true
		c.mu.Unlock()
		sleep(25)
		if now := len(c.world.Machines()); now < up {
			t.Errorf("%d machines of %d are left", now, up)
		}
		c.mu.Lock()
		c.deaf[l] = false
		c.mu.Unlock()
		sleep(40)
		c.wantDone(0, "j-1")
		if c.world.Starts() != 8 {
			t.Errorf("%d starts for 8 tasks", c.world.Starts())
		}
	})
}

// Commits whose answers are lost, and that are applied late, neither lose nor
// double anything.
func TestLostAnswers(t *testing.T) {
	play(t, func(c *cluster) {
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
		c.node(c.leading()).client.LoseAnswers(5, 3*time.Second)
		sleep(60)
		c.wantDone(0, "j-1")
	})
}

// Cancellation: from the answer on nothing starts, and what runs is gone in time;
// the state stays, on every node.
func TestCancel(t *testing.T) {
	play(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 12, EstimateS: 30})
		sleep(30)
		if _, st := c.ask(2, "withdraw", "j-1"); st != "cancelled" {
			t.Fatalf("withdraw: %q", st)
		}
		sleep(3)
		c.wantRunning(0)
		c.kill(c.leading())
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
func TestHugeJob(t *testing.T) {
	play(t, func(c *cluster) {
		c.world.RunFor = func(task string) time.Duration { return time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 100_000, EstimateS: 1})
		sleep(60)
		c.kill(c.leading())
		sleep(15)
		for _, k := range c.state.Keys("done/") {
			if v := c.state.Value(k); len(v) > 8<<10 {
				t.Errorf("%s takes %d bytes", k, len(v))
			}
		}
		if c.world.Starts() < 100 {
			t.Errorf("only %d tasks started", c.world.Starts())
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
func TestMachinesComeAndGo(t *testing.T) {
	play(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 16, EstimateS: 30, CheckpointS: 10, SaveS: 2})
		sleep(30)
		ms := c.world.Machines()
		if len(ms) < 3 {
			t.Fatalf("%d machines are up, want 3 or more", len(ms))
		}
		ms[0].Die()
		ms[1].NotifyPreemption(8 * time.Second)
		sleep(150)
		c.wantDone(0, "j-1")
	})
}
