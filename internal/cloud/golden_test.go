package cloud

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/goldentest"
	"drumpick/internal/records"
)

// goldenResponse is a response of the cloud.
type goldenResponse struct {
	status int
	text   string
}

func oneResponse(status int, text string) []goldenResponse { return []goldenResponse{{status, text}} }

// Requests to the cloud and the cloud's responses keep their wire format. A renamed path or key would
// break every call to the cloud.
func TestGoldenRequests(t *testing.T) {
	service := goldentest.NewFakeServer(t)
	client := NewClient(service.Addr, 1000, 10*time.Second)
	request := autoscaler.RentalRequest{Name: "b-1", Type: "g8", Zone: "a", Spot: true, Count: 3}
	rent := func() (any, error) { return client.Rent(t.Context(), request) }
	types := func() (any, error) { return client.Types(t.Context()) }
	list := func() (any, error) { return client.List(t.Context()) }
	returned := func() (any, error) { return nil, client.Return(t.Context(), []string{"m-1", "m-2"}) }
	const typesText = `{"rigs":[{"label":"g8","vcpus":4,"gpus":1,"mem_gb":16,"local_gb":50,"pull_gb_per_s":0.5,` +
		`"hourly":0.2,"low_price":0.05,"startup_s":30,"sites":["a","b"]}]}`
	machineTypes := []records.MachineType{{
		Name: "g8", CPUs: 4, GPUs: 1, MemGB: 16, CacheGB: 50, FetchGBps: 0.5, Price: 0.2, SpotPrice: 0.05,
		StartupS: 30, Zones: []string{"a", "b"},
	}}
	pages := []goldenResponse{
		{200, `{"hosts":[{"uid":"m 1","addr":"10.1.0.232:9000","rig":"g8","site":"a","loaners":true,"status":"up","age_s":60.5}],"more":true}`},
		{200, `{"hosts":[],"more":false}`},
	}
	machines := []autoscaler.CloudMachine{{
		Machine: "m 1", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Status: "up", AgeS: 60.5,
	}}
	f := goldentest.Open(t, "golden-requests.json")
	for name, test := range map[string]struct {
		responses []goldenResponse
		call      func() (any, error)
		want      any
		err       error
	}{
		"machine types":     {oneResponse(200, typesText), types, machineTypes, nil},
		"rent":              {oneResponse(200, `{"hosts":["m-1","m-2"]}`), rent, []string{"m-1", "m-2"}, nil},
		"rent, no capacity": {oneResponse(503, `{"error":"no capacity"}`), rent, []string(nil), autoscaler.ErrNoCapacity},
		"rent, outage":      {oneResponse(503, `{"error":"unavailable"}`), rent, []string(nil), autoscaler.ErrUnavailable},
		"rent, throttled":   {oneResponse(429, `{}`), rent, []string(nil), autoscaler.ErrUnavailable},
		"return":            {oneResponse(200, `{}`), returned, nil, nil},
		"list in pages":     {pages, list, machines, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range test.responses {
				service.QueueResponse(r.status, r.text)
			}
			got, err := test.call()
			if !reflect.DeepEqual(got, test.want) || !errors.Is(err, test.err) {
				t.Errorf("got %+v, %v, want %+v, %v", got, err, test.want, test.err)
			}
			f.CheckExchanges(t, name, service.TakeExchanges(), len(test.responses))
		})
	}
}
