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

func samples() (Status, StatusRequest, Progress, HeartbeatBatch, HeartbeatBatchReply) {
	word := watermark.Attestation{Term: 41, Seq: 3, Complete: true, Revision: 9, Reconciled: true, Node: "n-2"}
	renewed := int64(70)
	return Status{
			Node: "n-1", StoreSilentMS: 12, StoreAnswered: true, StoreFailing: true, CancellationQuietMS: 4500,
			Cancellations: &cancellation.ConfirmedList{SpanMS: 1000, IDs: []string{"j-1"}}, Attestation: &word, Reconciled: &word, SinceRenewalMS: &renewed,
		}, StatusRequest{Attestation: word, CancellationSpanMS: 1000},
		Progress{Known: true, Status: "running", Done: 3, Running: 4, DependenciesClear: true, ClearAgeMS: 70},
		HeartbeatBatch{From: "n-1", Heartbeats: [][]byte{[]byte(`{"host":"m-1"}`)}, DelayMS: 5, Zone: "a"},
		HeartbeatBatchReply{Answers: []RelayReply{{Status: 200, Body: []byte(`{"baton":41,"orders":[]}`)}}, HeldMS: 6}
}

// The messages between controllers keep their bytes. Those that the version in production
// sends whole, production-messages.json has.
func TestGoldenMessages(t *testing.T) {
	status, ask, progress, bundle, bundled := samples()
	goldentest.Run(t, "golden-messages.json", goldentest.Codec{Tag: "msgpack", Encode: msgpack.Marshal, Decode: msgpack.Unmarshal}, []goldentest.Case{
		{Name: "status", Value: status},
		{Name: "cancellations told", Value: *status.Cancellations},
		{Name: "leader's word", Value: ask.Attestation},
		{Name: "inquiry", Value: ask},
		{Name: "heard", Value: CancelledReply{Acknowledged: true}},
		{Name: "progress", Value: progress},
		{Name: "bundle", Value: bundle},
		{Name: "bundle of answers", Value: bundled},
	})
	goldentest.Run(t, "golden-methods.json", goldentest.JSON, []goldentest.Case{
		{Name: "requests of users", Direction: goldentest.Written, Value: []string{MethodSubmit, MethodPoll, MethodCancel, MethodSubmitWithDependencies}},
	})
}

// Each call goes to its path as msgpack and is answered as msgpack.
func TestGoldenCalls(t *testing.T) {
	status, ask, progress, bundle, bundled := samples()
	relayed := RelayReply{Status: 201, Body: []byte(`{"uid":"j-1","status":"pending"}`)}
	app := fiber.New()
	Mount(app, Handlers{
		Operate: func(RelayRequest) RelayReply { return relayed }, Status: func(StatusRequest) Status { return status },
		Progress: func(string) Progress { return progress }, Relay: func(RelayRequest) RelayReply { return relayed },
		RelayHeartbeat: func(HeartbeatRequest) RelayReply { return relayed }, RelayHeartbeats: func(HeartbeatBatch) HeartbeatBatchReply { return bundled },
		Cancelled: func(string) bool { return true },
	})
	other := goldentest.NewPeer(t)
	other.Forward = func(r *http.Request) (*http.Response, error) { return app.Test(r, -1) }
	p := NewPeers([]config.Peer{{Node: "n-1", Addr: other.Addr}}, 10*time.Second)
	f := goldentest.Open(t, "golden-calls.json")
	r := RelayRequest{Method: MethodPoll, ID: "j-1", Body: []byte("{}")}
	for name, call := range map[string]func() error{
		"status":    func() error { _, _ = p.QueryStatus(t.Context(), ask); return nil },
		"progress":  func() error { _, err := p.Progress("n-1", "j-1"); return err },
		"cancelled": func() error { _, err := p.NotifyCancelled("n-1", "j-1"); return err },
		"relay":     func() error { _, _ = p.Relay(r, time.Minute); return nil },
		"checkin":   func() error { _, err := p.RelayHeartbeat("n-1", []byte(`{"host":"m-1"}`)); return err },
		"checkins":  func() error { _, err := p.RelayHeartbeats("n-1", bundle, time.Minute); return err },
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
