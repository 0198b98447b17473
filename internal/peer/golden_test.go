package peer

import (
	"net/http"
	"testing"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/config"
	"drumpick/internal/goldentest"
	"drumpick/internal/watermark"

	"github.com/gofiber/fiber/v2"
	"github.com/vmihailenco/msgpack/v5"
)

func samples() (Status, Inquiry, Progress, Bundle, Bundled) {
	word := watermark.Word{Term: 41, Seq: 3, Whole: true, Epoch: 9, Settled: true, Node: "n-2"}
	renewed := int64(70)
	return Status{
			Node: "n-1", StoreSilentMS: 12, Answered: true, Failing: true, QuietMS: 4500,
			Told: &cancellation.Told{ReachMS: 1000, IDs: []string{"j-1"}}, Heard: &word, Settled: &word, RenewedMS: &renewed,
		}, Inquiry{Word: word, ToldMS: 1000},
		Progress{Known: true, Status: "running", Done: 3, Running: 4, Clear: true, ClearMS: 70},
		Bundle{From: "n-1", Bodies: [][]byte{[]byte(`{"host":"m-1"}`)}, LateMS: 5, Zone: "a"},
		Bundled{Answers: []Relayed{{Status: 200, Body: []byte(`{"baton":41,"orders":[]}`)}}, HeldMS: 6}
}

// The messages between controllers keep their bytes. Those that the version in production
// sends whole, production-messages.json has.
func TestGoldenMessages(t *testing.T) {
	status, ask, progress, bundle, bundled := samples()
	goldentest.Run(t, "golden-messages.json", goldentest.Codec{Tag: "msgpack", Encode: msgpack.Marshal, Decode: msgpack.Unmarshal}, []goldentest.Case{
		{Name: "status", Value: status},
		{Name: "cancellations told", Value: *status.Told},
		{Name: "leader's word", Value: ask.Word},
		{Name: "inquiry", Value: ask},
		{Name: "heard", Value: Heard{Heard: true}},
		{Name: "progress", Value: progress},
		{Name: "bundle", Value: bundle},
		{Name: "bundle of answers", Value: bundled},
	})
	goldentest.Run(t, "golden-methods.json", goldentest.JSON, []goldentest.Case{
		{Name: "requests of users", Direction: goldentest.Written, Value: []string{Submit, Poll, Withdraw, SubmitChain}},
	})
}

// Each call goes to its path as msgpack and is answered as msgpack.
func TestGoldenCalls(t *testing.T) {
	status, ask, progress, bundle, bundled := samples()
	relayed := Relayed{Status: 201, Body: []byte(`{"uid":"j-1","status":"pending"}`)}
	app := fiber.New()
	Mount(app, Handlers{
		Operate: func(Relay) Relayed { return relayed }, Status: func(Inquiry) Status { return status },
		Progress: func(string) Progress { return progress }, Relay: func(Relay) Relayed { return relayed },
		Checkin: func(Checkin) Relayed { return relayed }, Checkins: func(Bundle) Bundled { return bundled },
		Cancelled: func(string) bool { return true },
	})
	other := goldentest.NewPeer(t)
	other.Forward = func(r *http.Request) (*http.Response, error) { return app.Test(r, -1) }
	p := NewPeers([]config.Seed{{Node: "n-1", Addr: other.Addr}}, 10*time.Second)
	f := goldentest.Open(t, "golden-calls.json")
	r := Relay{Method: Poll, ID: "j-1", Body: []byte("{}")}
	for name, call := range map[string]func() error{
		"status":    func() error { _, _ = p.Tell(t.Context(), ask); return nil },
		"progress":  func() error { _, err := p.Progress("n-1", "j-1"); return err },
		"cancelled": func() error { _, err := p.Cancelled("n-1", "j-1"); return err },
		"relay":     func() error { _, _ = p.Relay(r, time.Minute); return nil },
		"checkin":   func() error { _, err := p.Checkin("n-1", []byte(`{"host":"m-1"}`)); return err },
		"checkins":  func() error { _, err := p.Checkins("n-1", bundle, time.Minute); return err },
		"operate":   func() error { _, err := p.Operate("n-1", r, time.Minute); return err },
	} {
		t.Run(name, func(t *testing.T) {
			if err := call(); err != nil {
				t.Fatal(err)
			}
			got := other.Exchanges()
			if len(got) != 1 {
				t.Fatalf("%d requests", len(got))
			}
			f.CheckExchange(t, name, got[0])
		})
	}
}
