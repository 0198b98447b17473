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

var testLimits = Limits{WriteRPS: 20, MaxConnections: 4, Timeout: 100 * time.Millisecond}

// Get maps each response of the store to one result or error. Only a 404 by the store itself, which
// has a revision, means that a key is absent: a proxy's 404 would make a stored job seem never
// accepted.
func TestGetDistinguishesResponses(t *testing.T) {
	cases := map[string]struct {
		status       int
		body         string
		wantErr      error
		wantRevision uint64 // 0: the key is absent
	}{
		"here":      {status: 200, body: `{"k":"here","value":{"a":1},"stamp":7,"extra":true}`, wantRevision: 7},
		"away":      {status: 404, body: `{"epoch":9}`},
		"proxy":     {status: 404, body: `<html>not found</html>`, wantErr: records.ErrUnexpected},
		"odd":       {status: 200, body: `{"k":"another","value":{},"stamp":7}`, wantErr: records.ErrUnexpected},
		"broken":    {status: 200, body: `{"k":`, wantErr: records.ErrUnexpected},
		"refused":   {status: 503, body: `{}`, wantErr: records.ErrUnavailable},
		"throttled": {status: 429, body: `{}`, wantErr: records.ErrThrottled},
		"teapot":    {status: 418, body: `{}`, wantErr: records.ErrUnexpected},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, ok := cases[strings.TrimPrefix(r.URL.Path, "/store/")]
		if !ok {
			t.Errorf("unexpected request %s", r.URL.Path)
		}
		w.WriteHeader(response.status)
		fmt.Fprint(w, response.body)
	}))
	defer server.Close()
	client := NewClient(strings.TrimPrefix(server.URL, "http://"), testLimits)
	for key, test := range cases {
		t.Run(key, func(t *testing.T) {
			record, err := client.Get(context.Background(), key)
			if !errors.Is(err, test.wantErr) {
				t.Errorf("got error %v, want %v", err, test.wantErr)
			}
			var revision uint64
			if record != nil {
				revision = record.Revision
			}
			if (record != nil) != (test.wantRevision != 0) || revision != test.wantRevision {
				t.Errorf("got %+v, want revision %d", record, test.wantRevision)
			}
		})
	}
}

// The outcome of a commit without a response is unknown, even if the connection was refused. A caller
// that took such a commit as not executed could repeat its effect.
func TestUnansweredCommitHasUnknownOutcome(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	client := NewClient(addr, testLimits)
	if _, err := client.Commit(context.Background(), nil, nil); !errors.Is(err, records.ErrUnknownOutcome) {
		t.Errorf("got error %v, want %v", err, records.ErrUnknownOutcome)
	}
	if _, failing, _ := client.Health(); !failing {
		t.Error("a store that does not respond is reported as healthy")
	}
}
