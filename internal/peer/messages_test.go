package peer

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"drumpick/internal/watermark"

	"github.com/vmihailenco/msgpack/v5"
)

// productionMessages returns messages as encoded by the version in production, by name.
func productionMessages(t *testing.T) map[string][]byte {
	t.Helper()
	raw, err := os.ReadFile("testdata/production-messages.json")
	texts := map[string]string{}
	if err == nil {
		err = json.Unmarshal(raw, &texts)
	}
	if err != nil {
		t.Fatal(err)
	}
	messages := map[string][]byte{}
	for name, text := range texts {
		if messages[name], err = hex.DecodeString(text); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	return messages
}

// This version decodes messages of the version in production with the same meaning, and encodes the
// fields that both versions know to the same bytes. New fields come after these and are omitted if
// empty. Otherwise controllers could not work together during an upgrade.
func TestProductionMessagesAreReadAndWritten(t *testing.T) {
	messages := productionMessages(t)
	for name, want := range map[string]any{
		"status":   Status{Node: "n-1", SinceStoreServedMS: 12, StoreServed: true, StoreFailing: true, SinceConfirmationMS: 4500},
		"ask":      JobRequest{ID: "j-1"},
		"progress": Progress{Known: true, Status: "running", Done: 3, Running: 4},
		"relay":    RelayRequest{Method: MethodSubmit, ID: "j-1", Body: []byte(`{"uid":"j-1"}`)},
		"relayed":  RelayReply{Status: 201, Body: []byte(`{"uid":"j-1","status":"pending"}`)},
		"checkin":  HeartbeatRequest{Body: []byte(`{"host":"m-1"}`)},
	} {
		t.Run(name, func(t *testing.T) {
			message := messages[name]
			if len(message) == 0 {
				t.Fatal("the message is missing")
			}
			got := reflect.New(reflect.TypeOf(want))
			if err := msgpack.Unmarshal(message, got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
				t.Errorf("read as %+v, %v, want %+v", got.Elem(), err, want)
			}
			if sent, err := msgpack.Marshal(want); err != nil || !reflect.DeepEqual(sent, message) {
				t.Errorf("sent as %x, %v, want %x", sent, err, message)
			}
		})
	}
}

// transcode encodes a message and decodes it into the type of an earlier version.
func transcode(t *testing.T, message, earlier any) {
	t.Helper()
	raw, err := msgpack.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(raw, earlier); err != nil {
		t.Fatal(err)
	}
}

// The version in production decodes a progress reply with fields that it does not know.
func TestEarlierVersionReadsProgress(t *testing.T) {
	type earlierProgress struct {
		Known   bool   `msgpack:"known"`
		Status  string `msgpack:"status"`
		Done    int    `msgpack:"done"`
		Running int    `msgpack:"running"`
	}
	var got earlierProgress
	transcode(t, Progress{Known: true, Status: "pending", Done: 1, DependenciesClear: true, ClearAgeMS: 70}, &got)
	if want := (earlierProgress{Known: true, Status: "pending", Done: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// A version whose status request is only an attestation decodes a request with fields that it does not
// know.
func TestEarlierVersionReadsAttestation(t *testing.T) {
	want := watermark.Attestation{Term: 5, Seq: 2, Complete: true, Revision: 9}
	var got watermark.Attestation
	transcode(t, StatusRequest{Attestation: want, CancellationSpanMS: 1000}, &got)
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Final rejects a peer's 503 and missing replies, and a 400 for a submission with dependencies: a
// version without dependencies responds so to a valid submission, and this must not reach the user.
func TestFinalReplies(t *testing.T) {
	for _, test := range []struct {
		status int
		method string
		want   bool
	}{
		{201, MethodSubmitWithDependencies, true},
		{422, MethodSubmitWithDependencies, true},
		{400, MethodSubmitWithDependencies, false},
		{400, MethodSubmit, true},
		{503, MethodSubmit, false},
		{0, MethodPoll, false},
	} {
		reply := RelayReply{Status: test.status}
		if got := reply.Final(RelayRequest{Method: test.method}); got != test.want {
			t.Errorf("%d for %s: got %v, want %v", test.status, test.method, got, test.want)
		}
	}
}
