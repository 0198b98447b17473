package peer

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/config"
	"drumpick/internal/watermark"

	"github.com/gofiber/fiber/v2"
	"github.com/vmihailenco/msgpack/v5"
)

type health struct{ lastOK, started time.Time }

func (h health) Health() (time.Time, bool, time.Time) { return h.lastOK, true, h.started }

// What one controller asks, another answers, in msgpack; a peer that is away
// is missing from the answers, and then not all have answered.
func TestCalls(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	told := cancellation.NewLog(time.Now().Add(-time.Minute))
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	Mount(app, Handlers{
		Status: func(ask StatusRequest) Status {
			if ask.Term != 7 && ask.CancellationSpanMS != 0 {
				t.Errorf("asked as %+v", ask)
			}
			return StatusOf("n-1", health{started: time.Now()}, told, ask)
		},
		Progress: func(id string) Progress { return Progress{Known: id == "j-1", Status: "running", Done: 2, Running: 3} },
		Relay: func(r RelayRequest) RelayReply {
			if r.ID == "j-503" {
				return RelayReply{Status: 503}
			}
			return RelayReply{Status: 200, Body: append([]byte(r.Method+" "+r.ID+" "), r.Body...)}
		},
		RelayHeartbeat: func(c HeartbeatRequest) RelayReply { return RelayReply{Status: 200, Body: c.Body} },
		Cancelled:      func(id string) bool { return id == "j-1" },
	})
	earlier := fiber.New(fiber.Config{DisableStartupMessage: true}) // a version that does not know that question
	Mount(earlier, Handlers{})
	back, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = earlier.Listener(back) }()
	defer func() { _ = earlier.Shutdown() }()
	go func() { _ = app.Listener(ln) }()
	defer func() { _ = app.Shutdown() }()
	away, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := away.Addr().String()
	away.Close()
	here := config.Peer{Node: "n-1", Addr: ln.Addr().String()}
	ctx := context.Background()

	p := NewPeers([]config.Peer{here}, 5*time.Second)
	answers, all := p.Status(ctx)
	if !all || len(answers) != 1 || answers[0].Node != "n-1" || answers[0].StoreAnswered || !answers[0].StoreFailing || answers[0].CancellationQuietMS < 60000 || answers[0].Cancellations != nil {
		t.Errorf("status: %+v, all %v", answers, all)
	}
	// Asked for what it told, along with a leader's word, it lists it.
	told.Add("j-7", time.Now())
	answers, _ = p.QueryStatus(ctx, StatusRequest{Attestation: watermark.Attestation{Term: 7}, CancellationSpanMS: 45_000})
	if w := answers[0].Cancellations; w == nil || w.SpanMS != 45_000 || !slices.Equal(w.IDs, []string{"j-7"}) {
		t.Errorf("told: %+v", w)
	}
	if pr, err := p.Progress("n-1", "j-1"); err != nil || !pr.Known || pr.Done != 2 || pr.Running != 3 {
		t.Errorf("progress: %+v, %v", pr, err)
	}
	if _, err := p.Progress("n-9", "j-1"); err == nil {
		t.Error("progress of a node that nobody knows is no error")
	}
	if out, ok := p.Relay(RelayRequest{Method: "poll", ID: "j-1", Body: []byte("x")}, 5*time.Second); !ok || string(out.Body) != "poll j-1 x" {
		t.Errorf("relay: %+v, %v", out, ok)
	}
	if out, ok := p.Relay(RelayRequest{Method: "poll", ID: "j-503"}, 5*time.Second); ok {
		t.Errorf("a peer that cannot serve counts as an answer: %+v", out)
	}
	if out, err := p.RelayHeartbeat("n-1", []byte("report")); err != nil || string(out.Body) != "report" {
		t.Errorf("checkin: %+v, %v", out, err)
	}

	for id, want := range map[string]bool{"j-1": true, "j-2": false} {
		if heard, err := p.NotifyCancelled("n-1", id); err != nil || heard != want {
			t.Errorf("cancelled %s: heard %v, %v", id, heard, err)
		}
	}
	p = NewPeers([]config.Peer{{Node: "n-2", Addr: addr}, {Node: "n-3", Addr: back.Addr().String()}}, 5*time.Second)
	if heard, err := p.NotifyCancelled("n-2", "j-1"); heard || err == nil || errors.Is(err, ErrUnsupported) {
		t.Errorf("cancelled, told to a peer that is away: %v, %v", heard, err)
	}
	if heard, err := p.NotifyCancelled("n-3", "j-1"); heard || !errors.Is(err, ErrUnsupported) {
		t.Errorf("cancelled, told to a version that does not know it: %v, %v", heard, err)
	}
	if _, err := p.NotifyCancelled("n-9", "j-1"); err == nil || errors.Is(err, ErrUnsupported) {
		t.Errorf("cancelled, told to a node that nobody knows: %v", err)
	}

	p = NewPeers([]config.Peer{here, {Node: "n-2", Addr: addr}}, 5*time.Second)
	if answers, all := p.Status(ctx); all || len(answers) != 1 {
		t.Errorf("one of two is away: %d answers, all %v", len(answers), all)
	}
}

// What the version in production sends is read as it was meant, and what this one sends
// says the same to it: the fields that it knows have the same bytes, the new ones come
// after them and are left out where they say nothing.
func TestProductionMessages(t *testing.T) {
	raw, err := os.ReadFile("testdata/production-messages.json")
	kept := map[string]string{}
	if err == nil {
		err = json.Unmarshal(raw, &kept)
	}
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]any{
		"status":   Status{Node: "n-1", StoreSilentMS: 12, StoreAnswered: true, StoreFailing: true, CancellationQuietMS: 4500},
		"ask":      JobRequest{ID: "j-1"},
		"progress": Progress{Known: true, Status: "running", Done: 3, Running: 4},
		"relay":    RelayRequest{Method: MethodSubmit, ID: "j-1", Body: []byte(`{"uid":"j-1"}`)},
		"relayed":  RelayReply{Status: 201, Body: []byte(`{"uid":"j-1","status":"pending"}`)},
		"checkin":  HeartbeatRequest{Body: []byte(`{"host":"m-1"}`)},
	} {
		bytes, err := hex.DecodeString(kept[name])
		if err != nil || len(bytes) == 0 {
			t.Fatalf("%s: %v", name, err)
		}
		got := reflect.New(reflect.TypeOf(want))
		if err := msgpack.Unmarshal(bytes, got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%s is read as %+v, %v, want %+v", name, got.Elem(), err, want)
		}
		if now, err := msgpack.Marshal(want); err != nil || hex.EncodeToString(now) != kept[name] {
			t.Errorf("%s is sent as %x, %v, want %s", name, now, err, kept[name])
		}
	}
	// What it reads of an answer that says more.
	var old struct {
		Known   bool   `msgpack:"known"`
		Status  string `msgpack:"status"`
		Done    int    `msgpack:"done"`
		Running int    `msgpack:"running"`
	}
	now, err := msgpack.Marshal(Progress{Known: true, Status: "pending", Done: 1, DependenciesClear: true, ClearAgeMS: 70})
	if err == nil {
		err = msgpack.Unmarshal(now, &old)
	}
	if err != nil || !old.Known || old.Status != "pending" || old.Done != 1 {
		t.Errorf("read as %+v, %v", old, err)
	}
	// A version that knows of marks alone reads the word about them in an inquiry.
	var word watermark.Attestation
	ask := StatusRequest{Attestation: watermark.Attestation{Term: 5, Seq: 2, Complete: true, Revision: 9}, CancellationSpanMS: 1000}
	if now, err = msgpack.Marshal(ask); err == nil {
		err = msgpack.Unmarshal(now, &word)
	}
	if err != nil || word != ask.Attestation {
		t.Errorf("an inquiry is read as %+v, %v", word, err)
	}
	// It knows no chains, and says so with a 400, which is no answer for the user.
	for _, x := range []struct {
		status int
		method string
		final  bool
	}{{201, MethodSubmitWithDependencies, true}, {422, MethodSubmitWithDependencies, true}, {400, MethodSubmitWithDependencies, false}, {400, MethodSubmit, true}, {503, MethodSubmit, false}, {0, MethodPoll, false}} {
		out := RelayReply{Status: x.status}
		if got := out.Final(RelayRequest{Method: x.method}); got != x.final {
			t.Errorf("%d for %s: final %v", x.status, x.method, got)
		}
	}
}
