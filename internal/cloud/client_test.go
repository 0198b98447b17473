package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"drumpick/internal/autoscaler"
)

// newFixedResponseClient returns a client of a fake cloud that gives every request the same response.
func newFixedResponseClient(t *testing.T, status int, body string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"), 1000, time.Second)
}

// Rent maps each response of the cloud to one result or error. A malformed response must not be
// reported as a rental: the leader would count on machines that do not exist.
func TestRentDistinguishesResponses(t *testing.T) {
	for name, test := range map[string]struct {
		status  int
		body    string
		want    []string
		wantErr error
	}{
		"rented":      {200, `{"hosts":["m-1"]}`, []string{"m-1"}, nil},
		"no capacity": {503, `{"error":"no capacity"}`, nil, autoscaler.ErrNoCapacity},
		"outage":      {503, `{"error":"trouble"}`, nil, autoscaler.ErrUnavailable},
		"throttled":   {429, `{}`, nil, autoscaler.ErrUnavailable},
		"malformed":   {400, `{}`, nil, autoscaler.ErrUnexpected},
		"cut off":     {200, `{"hosts":`, nil, autoscaler.ErrUnexpected},
	} {
		t.Run(name, func(t *testing.T) {
			client := newFixedResponseClient(t, test.status, test.body)
			got, err := client.Rent(t.Context(), autoscaler.RentalRequest{Name: "r-1"})
			if !errors.Is(err, test.wantErr) || !slices.Equal(got, test.want) || test.want == nil && got != nil {
				t.Errorf("got %v, %v, want %v, %v", got, err, test.want, test.wantErr)
			}
		})
	}
}

// Types returns an error for a response without machine types or with an invalid one. Accepted, such a
// response would make jobs infeasible.
func TestTypesRejectsInvalidResponses(t *testing.T) {
	for name, body := range map[string]string{
		"none":           `{"rigs":[]}`,
		"without a name": `{"rigs":[{"label":"","sites":["a"]}]}`,
		"negative":       `{"rigs":[{"label":"c4","vcpus":-4,"sites":["a"]}]}`,
		"not an object":  `[]`,
	} {
		t.Run(name, func(t *testing.T) {
			if types, err := newFixedResponseClient(t, 200, body).Types(t.Context()); err == nil {
				t.Errorf("%s: accepted as machine types %v, want an error", body, types)
			}
		})
	}
}

// Rentals leave a part of the rate to other calls, and all calls together stay below the cloud's rate
// limit. Otherwise rentals that are rejected and retried would delay lists and returns, on which a
// failover waits.
func TestRentalsLeaveRoomForOtherCalls(t *testing.T) {
	for _, rps := range []float64{0.5, 3, 4, 100} {
		c := NewClient("127.0.0.1:1", rps, time.Second)
		all, rentals := float64(c.requests.Limit()), float64(c.rentals.Limit())
		if all >= rps || rentals > 0.6*all {
			t.Errorf("rate %v: got %v for all calls, %v for rentals, want less than the rate and 0.6 of that", rps, all, rentals)
		}
		allBurst, rentalBurst := c.requests.Burst(), c.rentals.Burst()
		if rentalBurst < 1 || rentalBurst > allBurst || float64(allBurst) > max(2*rps, 1) {
			t.Errorf("rate %v: got bursts of %d for all calls, %d for rentals", rps, allBurst, rentalBurst)
		}
	}
}
