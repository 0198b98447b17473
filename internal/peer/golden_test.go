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

// goldenMessages is an example of each message, with every field set.
type goldenMessages struct {
	status        Status
	statusRequest StatusRequest
	progress      Progress
	batch         HeartbeatBatch
	batchReply    HeartbeatBatchReply
	relayRequest  RelayRequest
	relayReply    RelayReply
}

func newGoldenMessages() goldenMessages {
	attestation := watermark.Attestation{Term: 41, Seq: 3, Complete: true, Revision: 9, Reconciled: true, Node: "n-2"}
	sinceRenewalMS := int64(70)
	return goldenMessages{
		status: Status{
			Node: "n-1", SinceStoreServedMS: 12, StoreServed: true, StoreFailing: true, SinceConfirmationMS: 4500,
			Cancellations: &cancellation.ConfirmedList{SpanMS: 1000, IDs: []string{"j-1"}},
			Attestation:   &attestation, LatestReconciled: &attestation, SinceRenewalMS: &sinceRenewalMS,
		},
		statusRequest: StatusRequest{Attestation: attestation, CancellationSpanMS: 1000},
		progress:      Progress{Known: true, Status: "running", Done: 3, Running: 4, DependenciesClear: true, ClearAgeMS: 70},
		batch:         HeartbeatBatch{From: "n-1", Heartbeats: [][]byte{[]byte(`{"host":"m-1"}`)}, DelayMS: 5, Zone: "a"},
		batchReply: HeartbeatBatchReply{
			Replies:      []RelayReply{{Status: 200, Body: []byte(`{"baton":41,"orders":[]}`)}},
			ProcessingMS: 6,
		},
		relayRequest: RelayRequest{Method: MethodPoll, ID: "j-1", Body: []byte("{}")},
		relayReply:   RelayReply{Status: 201, Body: []byte(`{"uid":"j-1","status":"pending"}`)},
	}
}

// Messages between controllers keep their encoded bytes, because controllers of different versions call
// each other. Complete messages of the version in production are in production-messages.json.
func TestGoldenMessages(t *testing.T) {
	m := newGoldenMessages()
	codec := goldentest.Codec{Tag: "msgpack", Encode: msgpack.Marshal, Decode: msgpack.Unmarshal}
	goldentest.Run(t, "golden-messages.json", codec, []goldentest.Case{
		{Name: "status", Value: m.status},
		{Name: "cancellations told", Value: *m.status.Cancellations},
		{Name: "leader's word", Value: m.statusRequest.Attestation},
		{Name: "inquiry", Value: m.statusRequest},
		{Name: "heard", Value: CancelledReply{Acknowledged: true}},
		{Name: "progress", Value: m.progress},
		{Name: "bundle", Value: m.batch},
		{Name: "bundle of answers", Value: m.batchReply},
	})
	goldentest.Run(t, "golden-methods.json", goldentest.JSON, []goldentest.Case{
		{Name: "requests of users", Direction: goldentest.WriteOnly, Value: []string{
			MethodSubmit, MethodPoll, MethodCancel, MethodSubmitWithDependencies,
		}},
	})
}

// Each call keeps its path, and its request and reply stay in msgpack.
func TestGoldenCalls(t *testing.T) {
	m := newGoldenMessages()
	app := fiber.New()
	Mount(app, Handlers{
		RelayOperatorRequest: func(RelayRequest) RelayReply { return m.relayReply },
		Status:               func(StatusRequest) Status { return m.status },
		Progress:             func(string) Progress { return m.progress },
		Relay:                func(RelayRequest) RelayReply { return m.relayReply },
		RelayHeartbeat:       func(HeartbeatRequest) RelayReply { return m.relayReply },
		RelayHeartbeats:      func(HeartbeatBatch) HeartbeatBatchReply { return m.batchReply },
		NotifyCancelled:      func(string) bool { return true },
	})
	other := goldentest.NewFakeServer(t)
	other.Forward = func(r *http.Request) (*http.Response, error) { return app.Test(r, -1) }
	peers := NewPeers([]config.Peer{{Node: "n-1", Addr: other.Addr}}, 10*time.Second)
	f := goldentest.Open(t, "golden-calls.json")
	for name, call := range goldenCalls(t, peers, m) {
		t.Run(name, func(t *testing.T) {
			if err := call(); err != nil {
				t.Fatal(err)
			}
			got := other.TakeExchanges()
			if len(got) != 1 {
				t.Fatalf("%d requests, want 1", len(got))
			}
			f.CheckExchange(t, name, got[0])
		})
	}
}

// goldenCalls returns each call of the client, by its name in the golden file.
func goldenCalls(t *testing.T, peers *Peers, m goldenMessages) map[string]func() error {
	return map[string]func() error{
		"status": func() error {
			_, _ = peers.QueryStatus(t.Context(), m.statusRequest) // a missing reply shows in the exchange
			return nil
		},
		"progress": func() error {
			_, err := peers.Progress("n-1", "j-1")
			return err
		},
		"cancelled": func() error {
			_, err := peers.NotifyCancelled("n-1", "j-1")
			return err
		},
		"relay": func() error {
			_, _ = peers.Relay(m.relayRequest, time.Minute) // a missing reply shows in the exchange
			return nil
		},
		"checkin": func() error {
			_, err := peers.RelayHeartbeat("n-1", []byte(`{"host":"m-1"}`))
			return err
		},
		"checkins": func() error {
			_, err := peers.RelayHeartbeats("n-1", m.batch, time.Minute)
			return err
		},
		"operate": func() error {
			_, err := peers.RelayOperatorRequest("n-1", m.relayRequest, time.Minute)
			return err
		},
	}
}
