package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/peer"
	"drumpick/internal/scheduler"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// fakeLeader is a leader with the given machines and drains.
type fakeLeader struct {
	machines   []scheduler.MachineView
	planErr    error           // result of PreviewDrain
	planned    []drain.Spec    // the arguments of PreviewDrain
	mu         sync.Mutex      // guards readDrains
	readDrains map[string]bool // ids of the drains that the leader has read
	afterPlan  func()          // called once, during the next PreviewDrain
}

func (l *fakeLeader) Machines(since string, limit int) ([]scheduler.MachineView, bool) {
	i := 0
	for i < len(l.machines) && l.machines[i].Name <= since {
		i++
	}
	end := min(i+limit, len(l.machines))
	return l.machines[i:end], end < len(l.machines)
}

func (l *fakeLeader) Machine(name string) (scheduler.MachineView, bool) {
	i := slices.IndexFunc(l.machines, func(m scheduler.MachineView) bool { return m.Name == name })
	if i < 0 {
		return scheduler.MachineView{}, false
	}
	return l.machines[i], true
}

// setReadDrain sets the only drain that the leader has read.
func (l *fakeLeader) setReadDrain(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readDrains = map[string]bool{id: true}
}

func (l *fakeLeader) Drain(id string) (scheduler.DrainView, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return scheduler.DrainView{}, l.readDrains[id]
}

func (l *fakeLeader) PreviewDrain(spec *drain.Spec, force bool) (*drain.Plan, error) {
	l.planned = append(l.planned, *spec)
	if f := l.afterPlan; f != nil {
		l.afterPlan = nil
		f()
	}
	var refused *scheduler.DrainRefusedError
	if force && errors.As(l.planErr, &refused) {
		return &drain.Plan{}, nil
	}
	return &drain.Plan{}, l.planErr
}

// fakePeers relays a request to the leader's server if the encoded request fits the limit of 64 KiB.
type fakePeers struct {
	leaderServer *Server
	unsupported  bool // the leader runs a version without the operators' API
}

func (p *fakePeers) RelayOperatorRequest(_ string, r peer.RelayRequest, _ time.Duration) (peer.RelayReply, error) {
	if p.unsupported {
		return peer.RelayReply{}, errors.New("status 404")
	}
	if raw, err := msgpack.Marshal(r); err != nil || len(raw) > 64<<10 {
		return peer.RelayReply{}, fmt.Errorf("status 413: %d bytes, %w", len(raw), err)
	}
	return p.leaderServer.HandleAsLeader(r), nil
}

// testCluster is a leader and a follower that share one store.
type testCluster struct {
	t      *testing.T
	store  *simulation.Store
	leader *fakeLeader
	leads  Leader // the leader in the process of n-0: leader, unless a test has replaced it
	peers  *fakePeers
	apps   map[string]*fiber.App // by node: n-0 leads, n-1 does not
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	return newTestClusterWith(t, config.StoreLimits{ValueKB: 8})
}

// newTestClusterWith returns a cluster with the given limits of the store.
func newTestClusterWith(t *testing.T, limits config.StoreLimits) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t: t, store: simulation.NewStore(), leader: &fakeLeader{}, peers: &fakePeers{}, apps: map[string]*fiber.App{},
	}
	cluster.leads = cluster.leader
	cfg := &config.Config{Node: "n-0"}
	cfg.Deployment.Store = limits
	for _, node := range []string{"n-0", "n-1"} {
		cfg := *cfg
		cfg.Node = node
		s := New(&cfg, cluster.store.Client(node), cluster.peers, func() string { return "n-0" }, func() Leader {
			if node == "n-0" {
				return cluster.leads
			}
			return nil
		}, time.Second)
		if node == "n-0" {
			cluster.peers.leaderServer = s
		}
		cluster.apps[node] = fiber.New()
		s.Mount(cluster.apps[node])
	}
	return cluster
}

// setLeader replaces the leader in the process of n-0.
func (c *testCluster) setLeader(leader Leader) { c.leads = leader }

// request sends a request to a node and returns the status and body of the response.
func (c *testCluster) request(node, method, path, body string) (int, string) {
	c.t.Helper()
	req := httptest.NewRequest(method, path, bytes.NewBufferString(body))
	resp, err := c.apps[node].Test(req, -1)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
		c.t.Errorf("%s %s: 503 without Retry-After", method, path)
	}
	return resp.StatusCode, string(raw)
}

// The leader and a follower both serve requests about drains, and store exactly the accepted drains. A
// drain that the leader rejects must not be stored, since a stored drain is carried out.
func TestDrainRequests(t *testing.T) {
	cluster := newTestCluster(t)
	longNames := fmt.Sprintf(`{"id":"d-2","machines":[%q%s]}`, "m", strings.Repeat(`,"`+strings.Repeat("x", 180)+`"`, 60))
	for _, x := range []struct {
		node, method, path, body string
		status                   int
		want                     string
		records                  int
	}{
		{"n-1", "POST", "/operator/drains", `{"id":"d-1","zone":"a"}`, 201, `"kind":"drain"`, 1},
		{"n-0", "POST", "/operator/drains", `{"id":"d-1","zone":"a"}`, 200, `"then":"keep"`, 1},
		{"n-0", "POST", "/operator/drains", `{"id":"d-1","zone":"b"}`, 409, "another drain", 1},
		{"n-0", "POST", "/operator/drains", `{"id":"d-2"}`, 400, "machines: nothing is said", 1},
		{"n-0", "POST", "/operator/drains", `{"id":"d-2","kind":"upgrade","to_version":"2"}`, 400, "at_once", 1},
		{"n-0", "POST", "/operator/drains", `{"id":"d-2","zone":7}`, 400, "zone: has the wrong type", 1},
		{"n-0", "POST", "/operator/drains", `[]`, 400, "not a JSON object", 1},
		{"n-0", "POST", "/operator/drains", longNames, 400, "machines: 61 names, and only the first 45 fit", 1},
		{"n-1", "POST", "/operator/drains/plan", `{"id":"d-3","zone":"a"}`, 200, `"machines"`, 1},
		{"n-1", "GET", "/operator/drains", "", 200, `"id":"d-1"`, 1},
		{"n-1", "GET", "/operator/drains/d-1", "", 200, `"zone":"a"`, 1},
		{"n-1", "GET", "/operator/drains/d-9", "", 404, "no drain d-9", 1},
		{"n-1", "POST", "/operator/drains/d-9/stop", "", 404, "no drain d-9", 1},
		{"n-1", "POST", "/operator/drains/d-1/stop", "", 200, `"stopped":true`, 1},
		{"n-0", "POST", "/operator/drains/d-1/stop", "", 200, `"stopped":true`, 1},
	} {
		status, text := cluster.request(x.node, x.method, x.path, x.body)
		if status != x.status || !strings.Contains(text, x.want) {
			t.Errorf("%s %s %.60s: %d %s, want %d %s", x.method, x.path, x.body, status, text, x.status, x.want)
		}
		if n := len(cluster.store.Keys("drains/")); n != x.records {
			t.Errorf("%s %.60s: %d records, want %d", x.path, x.body, n, x.records)
		}
	}
	cluster.leader.readDrains = map[string]bool{"d-1": true}
	// A drain that the leader rejects is not stored. Only a drain that would leave no machine can be
	// forced.
	cluster.leader.planErr = &scheduler.DrainTargetError{Text: "there is no machine m-7"}
	status, text := cluster.request("n-1", "POST", "/operator/drains", `{"id":"d-4","machines":["m-7"]}`)
	if status != 404 || !strings.Contains(text, "m-7") {
		t.Errorf("unknown machine: %d %s, want 404", status, text)
	}
	cluster.leader.planErr = &scheduler.DrainRefusedError{Text: "no machine for jobs of plan"}
	status, text = cluster.request("n-1", "POST", "/operator/drains", `{"id":"d-4","zone":"a"}`)
	if status != 409 || !strings.Contains(text, "plan") {
		t.Errorf("no machine left: %d %s, want 409", status, text)
	}
	if n := len(cluster.store.Keys("drains/")); n != 1 {
		t.Errorf("%d records after rejected requests, want 1", n)
	}
	if status, text := cluster.request("n-1", "POST", "/operator/drains", `{"id":"d-4","zone":"a","force":true}`); status != 201 {
		t.Errorf("forced: %d %s, want 201", status, text)
	}
}

// If the store does not respond, or the leader runs a version without the operators' API, requests that
// need either get a 503. Stored drains can still be read without the leader, and stopped after an
// outage.
func TestStoreOrLeaderUnavailable(t *testing.T) {
	cluster := newTestCluster(t)
	if status, text := cluster.request("n-0", "POST", "/operator/drains", `{"id":"d-1","zone":"a"}`); status != 201 {
		t.Fatalf("%d %s", status, text)
	}
	cluster.peers.unsupported = true
	for path, want := range map[string]int{"/operator/machines": 503, "/operator/drains/d-1": 200, "/operator/drains": 200} {
		if status, text := cluster.request("n-1", "GET", path, ""); status != want {
			t.Errorf("%s with a leader of an earlier version: %d %s, want %d", path, status, text, want)
		}
	}
	if status, _ := cluster.request("n-1", "POST", "/operator/drains", `{"id":"d-2","zone":"a"}`); status != 503 {
		t.Errorf("drain with a leader of an earlier version: %d, want 503", status)
	}
	cluster.peers.unsupported = false
	cluster.store.SetOutage(true)
	for _, x := range [][3]string{
		{"POST", "/operator/drains", `{"id":"d-2","zone":"a"}`}, {"POST", "/operator/drains/d-1/stop", ""},
		{"GET", "/operator/drains", ""}, {"GET", "/operator/drains/d-1", ""},
	} {
		if status, text := cluster.request("n-0", x[0], x[1], x[2]); status != 503 {
			t.Errorf("%s %s in an outage: %d %s, want 503", x[0], x[1], status, text)
		}
	}
	cluster.store.SetOutage(false)
	if status, text := cluster.request("n-1", "POST", "/operator/drains/d-1/stop", ""); status != 200 {
		t.Errorf("stopped after the outage: %d %s, want 200", status, text)
	}
}

// Machines are listed in pages of at most 64 KiB, the limit of a message, and can be requested singly.
// Without pages, a large fleet could not be listed.
func TestMachinesArePaged(t *testing.T) {
	cluster := newTestCluster(t)
	for i := range 450 {
		cluster.leader.machines = append(cluster.leader.machines, scheduler.MachineView{
			Name: fmt.Sprintf("m-%06d", i), Type: strings.Repeat("t", 50), Zone: strings.Repeat("z", 50),
			Addr: "10.1.0.232:9000", State: "up", TaskCount: 4,
		})
	}
	seen, since := 0, ""
	for more := true; more; {
		status, text := cluster.request("n-1", "GET", "/operator/machines?since="+since, "")
		var page Machines
		if err := json.Unmarshal([]byte(text), &page); err != nil || status != 200 || len(text) > 64<<10 {
			t.Fatalf("%d, %d bytes, %v", status, len(text), err)
		}
		seen += len(page.Machines)
		since, more = page.Machines[len(page.Machines)-1].Name, page.More
	}
	if seen != 450 {
		t.Errorf("%d machines in all pages, want 450", seen)
	}
	if status, text := cluster.request("n-1", "GET", "/operator/machines/m-000007", ""); status != 200 || !strings.Contains(text, "m-000007") {
		t.Errorf("%d %s", status, text)
	}
	if status, _ := cluster.request("n-0", "GET", "/operator/machines/none", ""); status != 404 {
		t.Errorf("an unknown machine: %d, want 404", status)
	}
}

// Two concurrent drains may each leave enough machines, but not together. The drain whose commit comes
// second is therefore planned again once the leader has read the first, and here it is rejected.
func TestConcurrentDrainsArePlannedTogether(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.leader.afterPlan = func() {
		if status, text := cluster.request("n-1", "POST", "/operator/drains", `{"id":"d-2","zone":"b"}`); status != 201 {
			t.Errorf("drain stored first: %d %s, want 201", status, text)
		}
		cluster.leader.planErr = &scheduler.DrainRefusedError{Text: "no machine for jobs of plan"}
		time.AfterFunc(100*time.Millisecond, func() { cluster.leader.setReadDrain("d-2") })
	}
	status, text := cluster.request("n-0", "POST", "/operator/drains", `{"id":"d-1","zone":"a"}`)
	if status != 409 || !strings.Contains(text, "no machine") {
		t.Errorf("drain stored second: %d %s, want 409", status, text)
	}
	if keys := cluster.store.Keys("drains/"); len(keys) != 1 || keys[0] != "drains/d-2" {
		t.Errorf("stored: %v, want drains/d-2 alone", keys)
	}
}

// A drain can name as many machines as fit its record. The record's limit is the lower of the store's
// lowest value size and maxSpecBytes. One machine more is rejected, with the number that fits and the
// alternatives. The largest drain that fits can be planned through a follower, and stopped: otherwise
// an operator could start a drain but not end it.
func TestDrainNamesAsManyMachinesAsItsRecordHolds(t *testing.T) {
	kb := func(v float64) *float64 { return &v }
	for _, x := range []struct {
		limits  config.StoreLimits
		limit   int
		atLeast int
	}{
		{config.StoreLimits{ValueKB: 8}, 8 << 10, 700},
		{config.StoreLimits{ValueKB: 8, Next: config.UpcomingLimits{ValueKB: kb(2)}}, 2 << 10, 150},
		{config.StoreLimits{ValueKB: 16, Next: config.UpcomingLimits{ValueKB: kb(64)}}, 16 << 10, 1400},
		{config.StoreLimits{ValueKB: 64}, maxSpecBytes, 4000},
	} {
		cluster := newTestClusterWith(t, x.limits)
		cluster.store.SetLimits(x.limits.Lowest().ValueKB, 16, 1000)
		names := func(n int) string {
			list := make([]string, n)
			for i := range list {
				list[i] = fmt.Sprintf("m-%06d", i)
			}
			raw, err := json.Marshal(list)
			if err != nil {
				t.Fatal(err)
			}
			return string(raw)
		}
		requestDrain := func(id string, n int) (int, string) {
			return cluster.request("n-1", "POST", "/operator/drains", `{"id":"`+id+`","machines":`+names(n)+`}`)
		}
		// Where maxSpecBytes applies, as many other drains as possible are stored, with ids of the
		// maximum length: the request to the leader lists these ids and must still fit its limit.
		others := 0
		if x.limit == maxSpecBytes {
			others = 64 + 50 // maxDrains and maxEndedDrains of package scheduler
		}
		cluster.leader.readDrains = map[string]bool{}
		for i := range others {
			id := fmt.Sprintf("d-%040d", i)
			if status, text := cluster.request("n-0", "POST", "/operator/drains", `{"id":"`+id+`","zone":"a"}`); status != 201 {
				t.Fatalf("%d %s", status, text)
			}
			cluster.leader.readDrains[id] = true
		}
		cluster.leader.planned = nil
		status, text := requestDrain("d-1", 5000)
		var count, fit, limit int
		var failure errorBody
		if err := json.Unmarshal([]byte(text), &failure); err != nil || status != 400 {
			t.Fatalf("%+v: 5,000 names: %d %.200s", x.limits, status, text)
		}
		_, err := fmt.Sscanf(failure.Error, "machines: %d names, and only the first %d fit a record of %d bytes;", &count, &fit, &limit)
		if err != nil || count != 5000 || limit != x.limit || fit < x.atLeast {
			t.Fatalf("%+v: %q: %v", x.limits, failure.Error, err)
		}
		for _, selector := range []string{"type", "zone", "older_than_s", "version"} {
			if !strings.Contains(failure.Error, selector) {
				t.Errorf("%q does not name %s", failure.Error, selector)
			}
		}
		wantReason := fmt.Sprintf("%d names, and only the first %d fit", fit+1, fit)
		if status, text := requestDrain("d-1", fit+1); status != 400 || !strings.Contains(text, wantReason) {
			t.Errorf("%+v: one more than fit: %d %.200s, want 400", x.limits, status, text)
		}
		if status, text := requestDrain("d-1", fit); status != 201 {
			t.Errorf("%+v: %d names, as many as fit: %d %.200s, want 201", x.limits, fit, status, text)
		}
		if n := len(cluster.leader.planned); n != 1 || len(cluster.leader.planned[0].Machines) != fit {
			t.Errorf("%+v: the leader planned %d drains, want 1 with %d names", x.limits, n, fit)
		}
		if status, text := cluster.request("n-1", "POST", "/operator/drains/d-1/stop", ""); status != 200 {
			t.Errorf("%+v: stopped: %d %.200s, want 200", x.limits, status, text)
		}
		if len(cluster.store.OversizedTransactions()) > 0 {
			t.Errorf("%+v: the store rejected %v", x.limits, cluster.store.OversizedTransactions())
		}
	}
	// A record can be too large even without any of its machine names.
	cluster := newTestClusterWith(t, config.StoreLimits{ValueKB: 1})
	long := strings.Repeat("x", 190)
	body := fmt.Sprintf(`{"id":"d-1","kind":"upgrade","at_once":1,"to_version":%[1]q,`+
		`"type":%[1]q,"zone":%[1]q,"version":%[1]q,"machines":[%[1]q,%[1]q]}`, long)
	if status, text := cluster.request("n-0", "POST", "/operator/drains", body); status != 400 || !strings.Contains(text, "its record takes") {
		t.Errorf("long texts: %d %s, want 400", status, text)
	}
}
