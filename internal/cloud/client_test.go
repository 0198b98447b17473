package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"drumpick/internal/autoscaler"
)

// What each answer of the cloud lets a caller conclude. A bad answer is never
// taken as fact.
func TestAnswers(t *testing.T) {
	var status int
	var body string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), 1000, time.Second)
	ctx := context.Background()
	for _, x := range []struct {
		status int
		body   string
		want   error
	}{
		{503, `{"error":"no capacity"}`, autoscaler.ErrNoCapacity},
		{503, `{"error":"trouble"}`, autoscaler.ErrUnavailable},
		{429, `{}`, autoscaler.ErrUnavailable},
		{400, `{}`, autoscaler.ErrUnexpected},
		{200, `{"hosts":`, autoscaler.ErrUnexpected},
	} {
		status, body = x.status, x.body
		if hosts, err := c.Rent(ctx, autoscaler.RentalRequest{Name: "r-1"}); !errors.Is(err, x.want) || hosts != nil {
			t.Errorf("%d %s: %v, %v, want %v", x.status, x.body, hosts, err, x.want)
		}
	}
	for _, bad := range []string{`{"rigs":[]}`, `{"rigs":[{"label":"","sites":["a"]}]}`, `{"rigs":[{"label":"c4","vcpus":-4,"sites":["a"]}]}`, `[]`} {
		status, body = 200, bad
		if types, err := c.Types(ctx); err == nil {
			t.Errorf("%s: taken for machine types %v", bad, types)
		}
	}
	status, body = 200, `{"hosts":["m-1"]}`
	if hosts, err := c.Rent(ctx, autoscaler.RentalRequest{Name: "r-2"}); err != nil || len(hosts) != 1 {
		t.Errorf("rent: %v, %v", hosts, err)
	}
}

// Rentals that are refused and tried again leave room for lists and returns, and all
// calls together stay below the cloud's rate.
func TestShares(t *testing.T) {
	for _, rps := range []float64{0.5, 3, 4, 100} {
		c := NewClient("127.0.0.1:1", rps, time.Second)
		if all, rents := float64(c.limit.Limit()), float64(c.rents.Limit()); all >= rps || rents > 0.6*all {
			t.Errorf("rate %v: %v for all calls, %v for rentals", rps, all, rents)
		}
		if b := c.rents.Burst(); b < 1 || b > c.limit.Burst() || float64(c.limit.Burst()) > max(2*rps, 1) {
			t.Errorf("rate %v: bursts of %d and %d", rps, c.limit.Burst(), b)
		}
	}
}
