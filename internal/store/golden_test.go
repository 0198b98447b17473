package store

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"

	"drumpick/internal/goldentest"
	"drumpick/internal/records"
)

// Every request to the state service goes out as the protocol has it, and every answer of it
// is read.
func TestGoldenRequests(t *testing.T) {
	service := goldentest.NewPeer(t)
	c := NewClient(service.Addr, Limits{RPS: 1000, WriteRPS: 1000, Controllers: 1, MaxConnections: 2, Timeout: 10 * time.Second})
	ctx := t.Context()
	type answer struct {
		status int
		text   string
	}
	row := records.KeyValue{Key: "machines/1-1", Value: json.RawMessage(`{"m":1}`), Revision: 7, LeaseID: 8}
	const rowText = `{"k":"machines/1-1","value":{"m":1},"stamp":7,"hold":8}`
	when := []records.Compare{{Key: "leader", Revision: 7}, {Key: "types"}}
	ops := []records.Op{{Write: "types", Value: map[string]int{"n": 1}, LeaseID: 8}, {Delete: "whole"}}
	commit := func() (any, error) { return c.Commit(ctx, when, ops) }
	watch := func() (any, error) {
		events, epoch, err := c.Watch(ctx, "jobs/open/", 5, time.Second)
		return []any{events, epoch}, err
	}
	extend := func() (any, error) { return nil, c.RenewLease(ctx, 8, time.Second) }
	f := goldentest.Open(t, "golden-requests.json")
	for name, x := range map[string]struct {
		answers []answer
		do      func() (any, error)
		want    any
		err     error
	}{
		"read":                  {[]answer{{200, rowText}}, func() (any, error) { return c.Get(ctx, row.Key) }, &row, nil},
		"read an absent key":    {[]answer{{404, `{"epoch":9}`}}, func() (any, error) { return c.Get(ctx, "machines/1-1") }, (*records.KeyValue)(nil), nil},
		"commit":                {[]answer{{200, `{"epoch":9}`}}, commit, uint64(9), nil},
		"commit nothing":        {[]answer{{200, `{"epoch":9}`}}, func() (any, error) { return c.Commit(ctx, nil, nil) }, uint64(9), nil},
		"commit, conflict":      {[]answer{{409, `{"failed":["leader"],"epoch":9}`}}, commit, uint64(0), &records.ConflictError{Failed: []string{"leader"}, Revision: 9}},
		"commit, no such lease": {[]answer{{400, `{"error":"no such lease"}`}}, commit, uint64(0), records.ErrLeaseExpired},
		"commit, malformed":     {[]answer{{400, `{"error":"value too large"}`}}, commit, uint64(0), records.ErrInvalid},
		"commit, refused":       {[]answer{{503, `{"error":"unavailable"}`}}, commit, uint64(0), records.ErrUnavailable},
		"grant":                 {[]answer{{200, `{"hold":8}`}}, func() (any, error) { return c.GrantLease(ctx, 6*time.Second) }, uint64(8), nil},
		"extend":                {[]answer{{200, `{}`}}, extend, nil, nil},
		"extend, ended":         {[]answer{{404, `{}`}}, extend, nil, records.ErrLeaseExpired},
		"drop":                  {[]answer{{200, `{}`}}, func() (any, error) { c.RevokeLease(ctx, 8); return nil, nil }, nil, nil},
		"watch": {[]answer{{200, `{"epoch":9,"log":[{"write":"jobs/open/j-1","value":{"n":1},"stamp":8},{"delete":"jobs/open/j-2","stamp":9}]}`}}, watch,
			[]any{[]records.Event{{Write: "jobs/open/j-1", Value: json.RawMessage(`{"n":1}`), Revision: 8}, {Delete: "jobs/open/j-2", Revision: 9}}, uint64(9)}, nil},
		"watch, too old": {[]answer{{410, `{}`}}, watch, []any{[]records.Event(nil), uint64(5)}, records.ErrCompacted},
		"list in pages": {[]answer{{200, `{"rows":[` + rowText + `],"more":true,"epoch":9}`}, {200, `{"rows":[],"more":false,"epoch":11}`}}, func() (any, error) {
			var rows []records.KeyValue
			epoch, err := c.List(ctx, "machines/", func(r records.KeyValue) error { rows = append(rows, r); return nil })
			return []any{rows, epoch}, err
		}, []any{[]records.KeyValue{row}, uint64(9)}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for _, a := range x.answers {
				service.Answer(a.status, a.text)
			}
			got, err := x.do()
			if !reflect.DeepEqual(got, x.want) || !errors.Is(err, x.err) && !reflect.DeepEqual(err, x.err) {
				t.Errorf("got %+v, %v, want %+v, %v", got, err, x.want, x.err)
			}
			f.CheckExchanges(t, name, service.Exchanges(), len(x.answers))
		})
	}
}
