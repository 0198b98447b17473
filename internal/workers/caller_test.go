package workers

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"drumpick/internal/fleet"
)

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256) }

// The clients of a whole fleet of 4,500 machines stay cached, so that the cache is not cleared again
// and again.
func TestAddressesOfWholeFleetAreCached(t *testing.T) {
	const machines = 4500
	c := NewCaller(2, time.Second)
	first := c.client(address(0))
	for i := range machines {
		c.client(address(i))
	}
	if c.client(address(0)) != first || len(c.clients) != machines {
		t.Errorf("%d addresses are cached, want %d with the first client unchanged", len(c.clients), machines)
	}
}

// The cache does not grow beyond maxAddresses, however many machines come and go.
func TestCachedAddressesAreBounded(t *testing.T) {
	c := NewCaller(2, time.Second)
	for i := range 3 * maxAddresses {
		if c.client(address(i)); len(c.clients) > maxAddresses {
			t.Fatalf("%d addresses are cached, want at most %d", len(c.clients), maxAddresses)
		}
	}
}

// fakeWorker gives every request the same response and records the last request.
type fakeWorker struct {
	status int
	body   string

	mu      sync.Mutex // guards request
	request string
}

func (w *fakeWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body) // an incomplete body fails the comparison
	w.mu.Lock()
	w.request = r.Method + " " + r.URL.Path + " " + string(raw)
	w.mu.Unlock()
	out.WriteHeader(w.status)
	fmt.Fprint(out, w.body)
}

func killRequest() fleet.CommandRequest {
	graceS := 4.0
	return fleet.CommandRequest{FencingToken: 41, Incarnation: 1, Commands: []fleet.Command{
		{Verb: fleet.VerbKill, Task: "j-1/0", Attempt: 2, GraceS: &graceS},
	}}
}

// Commands are sent in the wire format of the protocol. An invalid response of a worker is an error
// with OutcomeUnknown, never a heartbeat: the leader would take it as proof of what the worker runs.
func TestSendCommandsDistinguishesResponses(t *testing.T) {
	const executed = `{"host":"m-1","stint":1,"tick":9,"baton":41,"shots":[{"shot":"j-1/0","try":2,"status":"flushing"}]}`
	const rejected = `{"host":"m-1","stint":2,"tick":1,"baton":41,"shots":null}`
	for name, test := range map[string]struct {
		status int
		body   string
		want   Outcome
	}{
		"executed":          {200, executed, OutcomeExecuted},
		"rejected":          {409, rejected, OutcomeRejected},
		"invalid heartbeat": {200, `{"stint":1}`, OutcomeUnknown},
		"cut off":           {200, `{"host":`, OutcomeUnknown},
		"malformed":         {400, `{}`, OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			worker := &fakeWorker{status: test.status, body: test.body}
			server := httptest.NewServer(worker)
			defer server.Close()
			c := NewCaller(2, 5*time.Second)
			outcome, heartbeat, err := c.SendCommands(strings.TrimPrefix(server.URL, "http://"), killRequest())
			if outcome != test.want || (err == nil) != (test.want != OutcomeUnknown) {
				t.Errorf("got %d, %v, want %d", outcome, err, test.want)
			}
			if err == nil && heartbeat.Machine != "m-1" || err != nil && heartbeat != nil {
				t.Errorf("got %+v, %v, want the heartbeat of m-1 or an error", heartbeat, err)
			}
			const want = `POST /orders {"baton":41,"stint":1,"orders":[{"verb":"kill","shot":"j-1/0","try":2,"wind_down_s":4}]}`
			worker.mu.Lock()
			defer worker.mu.Unlock()
			if worker.request != want {
				t.Errorf("sent %s\nwant %s", worker.request, want)
			}
		})
	}
}

// A caller never runs more calls at a time than it has slots. Without the bound, a leader with many
// unreachable workers would run out of connections.
func TestConcurrentCallsAreBounded(t *testing.T) {
	const slots, calls = 2, 10
	c := NewCaller(slots, time.Second)
	var mu sync.Mutex // guards running and peak
	running, peak := 0, 0
	var wg sync.WaitGroup
	for range calls {
		wg.Add(1)
		c.Go(func() {
			defer wg.Done()
			mu.Lock()
			running++
			peak = max(peak, running)
			mu.Unlock()
			time.Sleep(time.Millisecond)
			mu.Lock()
			running--
			mu.Unlock()
		})
	}
	wg.Wait()
	if peak > slots {
		t.Errorf("%d calls ran at a time, want at most %d", peak, slots)
	}
}
