package store

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"

	"drumpick/internal/goldentest"
	"drumpick/internal/records"
)

// goldenResponse is a response of the store.
type goldenResponse struct {
	status int
	text   string
}

// goldenCase is a call of the client, the store's responses to the call's requests, and the expected
// result.
type goldenCase struct {
	responses []goldenResponse
	call      func() (any, error)
	want      any
	err       error
}

func oneResponse(status int, text string) []goldenResponse { return []goldenResponse{{status, text}} }

// Requests to the store and the store's responses keep their wire format. A renamed path or key would
// break every call to the store.
func TestGoldenRequests(t *testing.T) {
	service := goldentest.NewFakeServer(t)
	client := NewClient(service.Addr, Limits{RPS: 1000, WriteRPS: 1000, Controllers: 1, MaxConnections: 2, Timeout: 10 * time.Second})
	f := goldentest.Open(t, "golden-requests.json")
	for _, cases := range []map[string]goldenCase{
		goldenReads(t.Context(), client), goldenCommits(t.Context(), client), goldenLeases(t.Context(), client),
	} {
		for name, test := range cases {
			t.Run(name, func(t *testing.T) {
				for _, r := range test.responses {
					service.QueueResponse(r.status, r.text)
				}
				got, err := test.call()
				if !reflect.DeepEqual(got, test.want) || !errors.Is(err, test.err) && !reflect.DeepEqual(err, test.err) {
					t.Errorf("got %+v, %v, want %+v, %v", got, err, test.want, test.err)
				}
				f.CheckExchanges(t, name, service.TakeExchanges(), len(test.responses))
			})
		}
	}
}

func goldenReads(ctx context.Context, client *Client) map[string]goldenCase {
	const recordText = `{"k":"machines/1-1","value":{"m":1},"stamp":7,"hold":8}`
	record := records.KeyValue{Key: "machines/1-1", Value: json.RawMessage(`{"m":1}`), Revision: 7, LeaseID: 8}
	get := func() (any, error) { return client.Get(ctx, record.Key) }
	list := func() (any, error) {
		var found []records.KeyValue
		revision, err := client.List(ctx, "machines/", func(r records.KeyValue) error {
			found = append(found, r)
			return nil
		})
		return []any{found, revision}, err
	}
	watch := func() (any, error) {
		events, revision, err := client.Watch(ctx, "jobs/open/", 5, time.Second)
		return []any{events, revision}, err
	}
	const watchText = `{"epoch":9,"log":[` +
		`{"write":"jobs/open/j-1","value":{"n":1},"stamp":8},{"delete":"jobs/open/j-2","stamp":9}]}`
	events := []records.Event{
		{Write: "jobs/open/j-1", Value: json.RawMessage(`{"n":1}`), Revision: 8},
		{Delete: "jobs/open/j-2", Revision: 9},
	}
	pages := []goldenResponse{
		{200, `{"rows":[` + recordText + `],"more":true,"epoch":9}`},
		{200, `{"rows":[],"more":false,"epoch":11}`},
	}
	return map[string]goldenCase{
		"read":               {oneResponse(200, recordText), get, &record, nil},
		"read an absent key": {oneResponse(404, `{"epoch":9}`), get, (*records.KeyValue)(nil), nil},
		"list in pages":      {pages, list, []any{[]records.KeyValue{record}, uint64(9)}, nil},
		"watch":              {oneResponse(200, watchText), watch, []any{events, uint64(9)}, nil},
		"watch, too old":     {oneResponse(410, `{}`), watch, []any{[]records.Event(nil), uint64(5)}, records.ErrCompacted},
	}
}

func goldenCommits(ctx context.Context, client *Client) map[string]goldenCase {
	compares := []records.Compare{{Key: "leader", Revision: 7}, {Key: "types"}}
	ops := []records.Op{{Write: "types", Value: map[string]int{"n": 1}, LeaseID: 8}, {Delete: "whole"}}
	commit := func() (any, error) { return client.Commit(ctx, compares, ops) }
	commitNothing := func() (any, error) { return client.Commit(ctx, nil, nil) }
	conflict := &records.ConflictError{Failed: []string{"leader"}, Revision: 9}
	return map[string]goldenCase{
		"commit":                {oneResponse(200, `{"epoch":9}`), commit, uint64(9), nil},
		"commit nothing":        {oneResponse(200, `{"epoch":9}`), commitNothing, uint64(9), nil},
		"commit, conflict":      {oneResponse(409, `{"failed":["leader"],"epoch":9}`), commit, uint64(0), conflict},
		"commit, no such lease": {oneResponse(400, `{"error":"no such lease"}`), commit, uint64(0), records.ErrLeaseExpired},
		"commit, malformed":     {oneResponse(400, `{"error":"value too large"}`), commit, uint64(0), records.ErrInvalid},
		"commit, refused":       {oneResponse(503, `{"error":"unavailable"}`), commit, uint64(0), records.ErrUnavailable},
	}
}

func goldenLeases(ctx context.Context, client *Client) map[string]goldenCase {
	grant := func() (any, error) { return client.GrantLease(ctx, 6*time.Second) }
	renew := func() (any, error) { return nil, client.RenewLease(ctx, 8, time.Second) }
	revoke := func() (any, error) {
		client.RevokeLease(ctx, 8)
		return nil, nil
	}
	return map[string]goldenCase{
		"grant":         {oneResponse(200, `{"hold":8}`), grant, uint64(8), nil},
		"extend":        {oneResponse(200, `{}`), renew, nil, nil},
		"extend, ended": {oneResponse(404, `{}`), renew, nil, records.ErrLeaseExpired},
		"drop":          {oneResponse(200, `{}`), revoke, nil, nil},
	}
}
