package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"drumpick/internal/records"
)

// What each answer of the service lets a caller conclude.
func TestAnswers(t *testing.T) {
	answers := map[string]struct {
		status int
		body   string
	}{
		"/store/here":      {200, `{"k":"here","value":{"a":1},"stamp":7,"extra":true}`},
		"/store/away":      {404, `{"epoch":9}`},
		"/store/proxy":     {404, `<html>not found</html>`},
		"/store/odd":       {200, `{"k":"another","value":{},"stamp":7}`},
		"/store/broken":    {200, `{"k":`},
		"/store/refused":   {503, `{}`},
		"/store/throttled": {429, `{}`},
		"/store/teapot":    {418, `{}`},
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, ok := answers[r.URL.Path]
		if !ok {
			t.Errorf("unexpected request %s", r.URL.Path)
		}
		w.WriteHeader(a.status)
		fmt.Fprint(w, a.body)
	}))
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), Limits{WriteRPS: 20, MaxConnections: 4, Timeout: 100 * time.Millisecond})
	for key, want := range map[string]error{
		"proxy": records.ErrUnexpected, "odd": records.ErrUnexpected, "broken": records.ErrUnexpected,
		"refused": records.ErrUnavailable, "throttled": records.ErrThrottled, "teapot": records.ErrUnexpected,
	} {
		if row, err := c.Get(context.Background(), key); !errors.Is(err, want) || row != nil {
			t.Errorf("%s: %v, %v, want %v", key, row, err, want)
		}
	}
	if row, err := c.Get(context.Background(), "here"); err != nil || row == nil || row.Revision != 7 {
		t.Errorf("here: %v, %v", row, err)
	}
	if row, err := c.Get(context.Background(), "away"); err != nil || row != nil {
		t.Errorf("away: %v, %v", row, err)
	}
	// Nobody listens: it may have been executed, for all the caller knows.
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	c = NewClient(addr, Limits{WriteRPS: 20, MaxConnections: 4, Timeout: 100 * time.Millisecond})
	if _, err := c.Commit(context.Background(), nil, nil); !errors.Is(err, records.ErrUnknownOutcome) {
		t.Errorf("nobody listens: %v", err)
	}
	if _, failing, _ := c.Health(); !failing {
		t.Error("a service that does not answer counts as healthy")
	}
}
