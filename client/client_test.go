package client

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startScriptedControllers starts a server for each script and returns a client of them, and the number of
// requests to each. A server sends the script's responses in order and repeats the last; "close" closes the
// connection without a response.
func startScriptedControllers(t *testing.T, scripts ...[]string) (*Client, []*atomic.Int32) {
	t.Helper()
	var addrs []string
	var requestCounts []*atomic.Int32
	for _, script := range scripts {
		n := new(atomic.Int32)
		requestCounts = append(requestCounts, n)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			i := int(n.Add(1)) - 1
			status, body, _ := strings.Cut(script[min(i, len(script)-1)], " ")
			code := map[string]int{"200": 200, "201": 201, "404": 404, "409": 409, "422": 422, "503": 503, "429": 429, "500": 500}[status]
			if code == 0 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(code)
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(s.Close)
		addrs = append(addrs, s.Listener.Addr().String())
	}
	c, err := New(addrs...)
	if err != nil {
		t.Fatal(err)
	}
	c.preferred.Store(0)
	c.RetryPolicy.MinDelay, c.RetryPolicy.MaxDelay, c.PollInterval = time.Millisecond, time.Millisecond, time.Millisecond
	return c, requestCounts
}

const pending, done = `{"uid":"j-1","status":"pending"}`, `{"uid":"j-1","status":"done","done":2}`

// Retries continue at other controllers after a temporary response and stop at a final one.
func TestRequestIsRepeatedUntilFinalAnswer(t *testing.T) {
	ctx := t.Context()
	c, requestCounts := startScriptedControllers(t, []string{"503 {}", "close", "201 " + pending}, []string{"429 {}", "500 {}"})
	if st, created, err := c.Submit(ctx, Job{ID: "j-1"}); err != nil || !created || st.Status != Pending {
		t.Errorf("got %+v, created %v, %v, want a new job that is pending", st, created, err)
	}
	if requestCounts[0].Load() != 3 || requestCounts[1].Load() != 2 {
		t.Errorf("got %d and %d requests, want 3 and 2", requestCounts[0].Load(), requestCounts[1].Load())
	}
	var refused *RefusedError
	c, requestCounts = startScriptedControllers(t, []string{`422 {"error":"unknown team"}`}, []string{"201 " + pending})
	_, _, err := c.Submit(ctx, Job{ID: "j-1"})
	if !errors.As(err, &refused) || refused.Status != 422 || !strings.Contains(err.Error(), "job j-1: unknown team") {
		t.Errorf("got %v, want a RefusedError with status 422 and the reason", err)
	}
	if requestCounts[0].Load() != 1 || requestCounts[1].Load() != 0 {
		t.Errorf("got %d and %d requests, want 1 and 0", requestCounts[0].Load(), requestCounts[1].Load())
	}
	c, _ = startScriptedControllers(t, []string{"404 {}"})
	if _, err := c.Get(ctx, "j-9"); !errors.Is(err, ErrNotFound) {
		t.Errorf("got %v, want ErrNotFound", err)
	}
	c, requestCounts = startScriptedControllers(t, []string{"503 {}"}, []string{"close"})
	c.RetryPolicy.TotalTimeout = 50 * time.Millisecond
	if _, err := c.Cancel(ctx, "j-1"); !errors.Is(err, ErrUnavailable) || requestCounts[0].Load() < 2 || requestCounts[1].Load() < 2 {
		t.Errorf("got %v, %d and %d requests, want ErrUnavailable and at least 2 each", err, requestCounts[0].Load(), requestCounts[1].Load())
	}
}

// Wait continues while no controller is available, reports only changed statuses, and ends with its context.
func TestWait(t *testing.T) {
	c, _ := startScriptedControllers(t, []string{"200 " + pending, "200 " + pending, "503 {}", "close", "200 " + done})
	var reported []string
	st, err := c.Wait(t.Context(), "j-1", func(st Status) { reported = append(reported, st.Status) })
	if err != nil || !st.IsFinal() || strings.Join(reported, " ") != "pending done" {
		t.Errorf("got %+v, %v, reported %v, want a final status, reported pending and done", st, err, reported)
	}
	c, _ = startScriptedControllers(t, []string{"200 " + pending})
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := c.Wait(ctx, "j-1", func(Status) { cancel() }); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
}

// New requires at least one address, each host:port.
func TestNewChecksAddresses(t *testing.T) {
	for _, addrs := range [][]string{{}, {"nowhere"}, {"localhost:80", "x:"}} {
		if _, err := New(addrs...); err == nil {
			t.Errorf("%v: got no error, want one", addrs)
		}
	}
}

func TestNewIDIsUnique(t *testing.T) {
	if a, b := NewID(), NewID(); a == b {
		t.Errorf("got %s twice, want two IDs", a)
	}
}
