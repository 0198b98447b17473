package simulation

import (
	"net/http"
	"testing"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/goldentest"
	"drumpick/internal/records"

	"github.com/gofiber/fiber/v2"
)

// The responses of the simulated store and cloud match the protocol's golden files.
func TestGoldenServices(t *testing.T) {
	store := NewStore()
	store.ImportEntries(map[string]records.KeyValue{"types": {Key: "types", Value: []byte(`{"rigs":[]}`), Revision: 7}})
	env := NewEnvironment(t.Context())
	env.Types = []records.MachineType{{
		Name: "g8", CPUs: 4, GPUs: 1, MemGB: 16, CacheGB: 50, FetchGBps: 0.5,
		Price: 0.2, SpotPrice: 0.05, StartupS: 30, Zones: []string{"a"},
	}}
	app := fiber.New()
	ServeStore(t.Context(), app, store, nil)
	ServeCloud(app, env)
	f := goldentest.Open(t, "golden-services.json")
	for _, x := range []struct{ name, method, uri, body string }{
		{"read", "GET", "/store/types", ""},
		{"read an absent key", "GET", "/store/none", ""},
		{"list", "GET", "/store?under=types&limit=500", ""},
		{"commit", "POST", "/commit", `{"when":[{"k":"types","stamp":7}],"writes":[{"write":"whole","value":{"n":1}},{"delete":"types"}]}`},
		{"watch", "GET", "/watch?under=&since=7&wait_ms=0", ""},
		{"commit, conflict", "POST", "/commit", `{"when":[{"k":"types","stamp":7}],"writes":[]}`},
		{"commit, no such lease", "POST", "/commit", `{"when":[],"writes":[{"write":"leader","value":{},"hold":99}]}`},
		{"commit, malformed", "POST", "/commit", `{"when":[],"writes":[{}]}`},
		{"grant", "POST", "/grants", `{"life_ms":6000}`},
		{"grant, malformed", "POST", "/grants", `{"life_ms":1}`},
		{"extend, ended", "POST", "/grants/99/extend", `{}`},
		{"drop", "DELETE", "/grants/99", ""},
		{"machine types", "GET", "/machine_types", ""},
		{"rent, malformed", "POST", "/machines", `{"booking":"b-1"}`},
		{"machines", "GET", "/machines?limit=500", ""},
		{"return", "POST", "/machines/return", `{"hosts":[]}`},
		{"return, malformed", "POST", "/machines/return", `{"hosts":7}`},
	} {
		t.Run(x.name, func(t *testing.T) {
			send := func(r *http.Request) (*http.Response, error) { return app.Test(r, -1) }
			f.CheckExchange(t, x.name, goldentest.DoRequest(t, send, x.method, x.uri, x.body))
		})
	}
}

// The JSON form of a local cluster's history does not change.
func TestGoldenHistory(t *testing.T) {
	at := time.Date(2026, 1, 31, 22, 0, 0, 0, time.UTC)
	goldentest.Run(t, "golden-history.json", goldentest.JSON, []goldentest.Case{
		{Name: "attempt", Value: TaskRun{
			Task: "j-1/0", Machine: "m-1", Zone: "a",
			Started: at, Running: at.Add(time.Second), Ended: at.Add(time.Minute), Cause: "done",
		}},
		{Name: "bill", Value: RentalCost{Machine: "m-1", Type: "g8", Zone: "a", Spot: true, From: at, To: at.Add(time.Minute), Cost: 0.5}},
	})
}

// HeartbeatOverHTTP returns the leader named in a redirect.
func TestGoldenHeartbeatRedirect(t *testing.T) {
	for response, want := range map[string]string{`{"conductor":"n-1"}`: "n-1", `{}`: ""} {
		heartbeat := HeartbeatOverHTTP(func(string, int, []byte) (int, []byte, error) { return 421, []byte(response), nil })
		if status, _, leader := heartbeat(0, &fleet.Heartbeat{Machine: "m-1"}); status != 421 || leader != want {
			t.Errorf("response %s: got status %d and leader %q", response, status, leader)
		}
	}
}
