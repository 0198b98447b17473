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

// startScriptedControllers starts servers that give prepared answers in turn, the last one for good, and returns a client
// for them with the number of requests at each. "close" ends the connection without an answer.
func startScriptedControllers(t *testing.T, scripts ...[]string) (*Client, []*atomic.Int32) {
	t.Helper()
	var addrs []string
	var asked []*atomic.Int32
	for _, script := range scripts {
		n := new(atomic.Int32)
		asked = append(asked, n)
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
	return c, asked
}

const pending, done = `{"uid":"j-1","status":"pending"}`, `{"uid":"j-1","status":"done","done":2}`

// A request is repeated, at other controllers, until it has a final answer: neither given up over one for
// now, nor repeated over a final one.
func TestRequestIsRepeatedUntilFinalAnswer(t *testing.T) {
	ctx := t.Context()
	c, asked := startScriptedControllers(t, []string{"503 {}", "close", "201 " + pending}, []string{"429 {}", "500 {}"})
	if st, created, err := c.Submit(ctx, Job{ID: "j-1"}); err != nil || !created || st.Status != Pending {
		t.Errorf("got %+v, created %v, %v, want a new job that is pending", st, created, err)
	}
	if asked[0].Load() != 3 || asked[1].Load() != 2 {
		t.Errorf("asked %d and %d times, want 3 and 2", asked[0].Load(), asked[1].Load())
	}
	var refused *RefusedError
	c, asked = startScriptedControllers(t, []string{`422 {"error":"unknown team"}`}, []string{"201 " + pending})
	_, _, err := c.Submit(ctx, Job{ID: "j-1"})
	if !errors.As(err, &refused) || refused.Status != 422 || !strings.Contains(err.Error(), "job j-1: unknown team") {
		t.Errorf("got %v, want a RefusedError with status 422 and the reason", err)
	}
	if asked[0].Load() != 1 || asked[1].Load() != 0 {
		t.Errorf("asked %d and %d times, want 1 and 0", asked[0].Load(), asked[1].Load())
	}
	c, _ = startScriptedControllers(t, []string{"404 {}"})
	if _, err := c.Get(ctx, "j-9"); !errors.Is(err, ErrNotFound) {
		t.Errorf("got %v, want ErrNotFound", err)
	}
	c, asked = startScriptedControllers(t, []string{"503 {}"}, []string{"close"})
	c.RetryPolicy.TotalTimeout = 50 * time.Millisecond
	if _, err := c.Cancel(ctx, "j-1"); !errors.Is(err, ErrUnavailable) || asked[0].Load() < 2 || asked[1].Load() < 2 {
		t.Errorf("got %v, asked %d and %d times, want ErrUnavailable and at least 2 each", err, asked[0].Load(), asked[1].Load())
	}
}

// Wait goes on while no controller answers, tells changes alone, and ends with its context.
func TestWait(t *testing.T) {
	c, _ := startScriptedControllers(t, []string{"200 " + pending, "200 " + pending, "503 {}", "close", "200 " + done})
	var told []string
	st, err := c.Wait(t.Context(), "j-1", func(st Status) { told = append(told, st.Status) })
	if err != nil || !st.IsFinal() || strings.Join(told, " ") != "pending done" {
		t.Errorf("got %+v, %v, told %v, want a final status, told pending and done", st, err, told)
	}
	c, _ = startScriptedControllers(t, []string{"200 " + pending})
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := c.Wait(ctx, "j-1", func(Status) { cancel() }); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
}

// Addresses must be host:port, and there must be one.
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
