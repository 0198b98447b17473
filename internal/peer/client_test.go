package peer

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/config"
	"drumpick/internal/watermark"

	"github.com/gofiber/fiber/v2"
)

// callTimeout is ample for a local call.
const callTimeout = 5 * time.Second

// serve serves the handlers until the test ends and returns the server's address.
func serve(t *testing.T, h Handlers) string {
	t.Helper()
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	Mount(app, h)
	return serveApp(t, app)
}

// serveStatus responds to every request with a status until the test ends, and returns the server's
// address.
func serveStatus(t *testing.T, status int) string {
	t.Helper()
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Use(func(c *fiber.Ctx) error { return c.SendStatus(status) })
	return serveApp(t, app)
}

func serveApp(t *testing.T, app *fiber.App) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = app.Listener(listener) }()
	t.Cleanup(func() { _ = app.Shutdown() })
	return listener.Addr().String()
}

// unreachableAddr returns an address without a listener.
func unreachableAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// onePeer serves the handlers as controller n-1 and returns a client of that controller.
func onePeer(t *testing.T, h Handlers) *Peers {
	t.Helper()
	return NewPeers([]config.Peer{{Node: "n-1", Addr: serve(t, h)}}, callTimeout)
}

// failingStore is the health of a store that fails and has served no request since the start.
type failingStore struct{ started time.Time }

func (s failingStore) Health() (lastOK time.Time, failing bool, started time.Time) {
	return time.Time{}, true, s.started
}

// statusHandler returns the status handler of controller n-1, whose store fails and whose confirmed
// cancellations are in the given log.
func statusHandler(confirmed *cancellation.Log) func(StatusRequest) Status {
	store := failingStore{started: time.Now()}
	return func(request StatusRequest) Status { return StatusOf("n-1", store, confirmed, request) }
}

func TestStatusWithoutSpanListsNoCancellations(t *testing.T) {
	confirmed := cancellation.NewLog(time.Now().Add(-time.Minute))
	statuses, all := onePeer(t, Handlers{Status: statusHandler(confirmed)}).Status(t.Context())
	if !all || len(statuses) != 1 {
		t.Fatalf("got %d statuses, all %v, want 1, true", len(statuses), all)
	}
	got := statuses[0]
	if got.Node != "n-1" || got.StoreServed || !got.StoreFailing {
		t.Errorf("got %+v, want n-1 whose store fails and has never served it", got)
	}
	if got.SinceConfirmationMS < time.Minute.Milliseconds() || got.Cancellations != nil {
		t.Errorf("got %d ms since a confirmation, list %+v, want at least a minute and no list", got.SinceConfirmationMS, got.Cancellations)
	}
}

func TestStatusListsCancellationsAskedFor(t *testing.T) {
	confirmed := cancellation.NewLog(time.Now().Add(-time.Minute))
	confirmed.Add("j-7", time.Now())
	status := statusHandler(confirmed)
	peers := onePeer(t, Handlers{Status: func(request StatusRequest) Status {
		if request.Term != 7 || request.CancellationSpanMS != 45_000 {
			t.Errorf("got request %+v, want term 7 and a span of 45 s", request)
		}
		return status(request)
	}})
	request := StatusRequest{Attestation: watermark.Attestation{Term: 7}, CancellationSpanMS: 45_000}
	statuses, _ := peers.QueryStatus(t.Context(), request)
	if len(statuses) != 1 {
		t.Fatalf("got %d statuses, want 1", len(statuses))
	}
	if got := statuses[0].Cancellations; got == nil || got.SpanMS != 45_000 || !slices.Equal(got.IDs, []string{"j-7"}) {
		t.Errorf("got %+v, want j-7 in 45 s", got)
	}
}

// A peer that does not reply is left out, and all is false. A leader must not take the statuses for
// those of all peers.
func TestStatusLeavesOutUnreachablePeers(t *testing.T) {
	confirmed := cancellation.NewLog(time.Now())
	peers := NewPeers([]config.Peer{
		{Node: "n-1", Addr: serve(t, Handlers{Status: statusHandler(confirmed)})},
		{Node: "n-2", Addr: unreachableAddr(t)},
	}, callTimeout)
	if statuses, all := peers.Status(t.Context()); all || len(statuses) != 1 {
		t.Errorf("one of two is unreachable: got %d statuses, all %v, want 1, false", len(statuses), all)
	}
}

func TestProgress(t *testing.T) {
	peers := onePeer(t, Handlers{Progress: func(id string) Progress {
		return Progress{Known: id == "j-1", Status: "running", Done: 2, Running: 3}
	}})
	want := Progress{Known: true, Status: "running", Done: 2, Running: 3}
	if got, err := peers.Progress("n-1", "j-1"); err != nil || got != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if _, err := peers.Progress("n-9", "j-1"); err == nil {
		t.Error("progress from an unknown node returns no error")
	}
}

// A peer's 503 is not final: it must not reach a user whom another peer could serve.
func TestRelaySkipsUnavailablePeers(t *testing.T) {
	peers := onePeer(t, Handlers{Relay: func(r RelayRequest) RelayReply {
		if r.ID == "j-503" {
			return RelayReply{Status: 503}
		}
		return RelayReply{Status: 200, Body: append([]byte(r.Method+" "+r.ID+" "), r.Body...)}
	}})
	got, ok := peers.Relay(RelayRequest{Method: "poll", ID: "j-1", Body: []byte("x")}, callTimeout)
	if !ok || string(got.Body) != "poll j-1 x" {
		t.Errorf("got %q, %v, want %q", got.Body, ok, "poll j-1 x")
	}
	if got, ok := peers.Relay(RelayRequest{Method: "poll", ID: "j-503"}, callTimeout); ok {
		t.Errorf("503 of a peer returned as the reply: %+v", got)
	}
}

func TestRelayHeartbeat(t *testing.T) {
	peers := onePeer(t, Handlers{RelayHeartbeat: func(r HeartbeatRequest) RelayReply {
		return RelayReply{Status: 200, Body: r.Body}
	}})
	if got, err := peers.RelayHeartbeat("n-1", []byte("heartbeat")); err != nil || string(got.Body) != "heartbeat" {
		t.Errorf("got %q, %v, want the body sent", got.Body, err)
	}
}

// NotifyCancelled tells an acknowledgement from a refusal, a failed call and an unsupported call. A
// cancellation that the leader has not acknowledged must not be confirmed to users.
func TestNotifyCancelledOutcomes(t *testing.T) {
	peers := NewPeers([]config.Peer{
		{Node: "n-1", Addr: serve(t, Handlers{NotifyCancelled: func(id string) bool { return id == "j-1" }})},
		{Node: "n-2", Addr: unreachableAddr(t)},
		{Node: "n-3", Addr: serve(t, Handlers{})}, // a version that does not know the call
		{Node: "n-4", Addr: serveStatus(t, http.StatusInternalServerError)},
	}, callTimeout)
	for name, test := range map[string]struct {
		node, job                            string
		wantAcknowledged, fails, unsupported bool
	}{
		"acknowledged":     {node: "n-1", job: "j-1", wantAcknowledged: true},
		"not acknowledged": {node: "n-1", job: "j-2"},
		"unreachable":      {node: "n-2", job: "j-1", fails: true},
		"unsupported call": {node: "n-3", job: "j-1", fails: true, unsupported: true},
		"failed handler":   {node: "n-4", job: "j-1", fails: true},
		"unknown node":     {node: "n-9", job: "j-1", fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			acknowledged, err := peers.NotifyCancelled(test.node, test.job)
			if acknowledged != test.wantAcknowledged || (err != nil) != test.fails || errors.Is(err, ErrUnsupported) != test.unsupported {
				t.Errorf("got %v, %v, want %+v", acknowledged, err, test)
			}
		})
	}
}
