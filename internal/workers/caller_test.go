package workers

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"drumpick/internal/fleet"
)

// Thousands of machines are remembered by their addresses; of ever new ones, a bounded number.
func TestAddressesOfFleet(t *testing.T) {
	const fleet = 4500
	c := NewCaller(2, time.Second)
	addr := func(i int) string { return fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256) }
	first := c.client(addr(0))
	for i := range fleet {
		c.client(addr(i))
	}
	if c.client(addr(0)) != first || len(c.clients) != fleet {
		t.Errorf("%d addresses of %d are remembered", len(c.clients), fleet)
	}
	for i := range 3 * mostAddresses {
		if c.client(addr(i)); len(c.clients) > mostAddresses {
			t.Fatalf("%d addresses are remembered", len(c.clients))
		}
	}
}

// Commands go out as the protocol writes them; whatever a worker answers that
// makes no sense is an error, never a report.
func TestOrders(t *testing.T) {
	status, body, got := 200, "", ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		got = r.Method + " " + r.URL.Path + " " + string(raw)
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	defer srv.Close()
	c := NewCaller(2, 5*time.Second)
	addr := strings.TrimPrefix(srv.URL, "http://")
	grace := 4.0
	d := fleet.CommandRequest{FencingToken: 41, Incarnation: 1, Commands: []fleet.Command{{Verb: fleet.VerbKill, Task: "j-1/0", Attempt: 2, GraceS: &grace}}}
	for _, x := range []struct {
		status int
		body   string
		want   Outcome
	}{
		{200, `{"host":"m-1","stint":1,"tick":9,"baton":41,"shots":[{"shot":"j-1/0","try":2,"status":"flushing"}]}`, OutcomeExecuted},
		{409, `{"host":"m-1","stint":2,"tick":1,"baton":41,"shots":null}`, OutcomeRejected},
		{200, `{"stint":1}`, OutcomeUnknown},
		{200, `{"host":`, OutcomeUnknown},
		{400, `{}`, OutcomeUnknown},
	} {
		status, body = x.status, x.body
		outcome, heartbeat, err := c.SendCommands(addr, d)
		valid := x.want != OutcomeUnknown
		if (err == nil) != valid || outcome != x.want || valid && heartbeat.Machine != "m-1" {
			t.Errorf("%d %s: got %d, %+v, %v, want %d", x.status, x.body, outcome, heartbeat, err, x.want)
		}
	}
	want := `POST /orders {"baton":41,"stint":1,"orders":[{"verb":"kill","shot":"j-1/0","try":2,"wind_down_s":4}]}`
	if got != want {
		t.Errorf("sent %s\nwant %s", got, want)
	}
}
