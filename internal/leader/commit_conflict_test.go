package leader

import (
	"encoding/json"
	"testing"

	"drumpick/internal/records"
)

// A write whose answer was lost counts as stored if the store holds the same value in any encoding,
// and a deletion if the store holds no record. Otherwise it would be retried without need.
func TestIsStored(t *testing.T) {
	type value struct {
		A int    `json:"a"`
		B string `json:"b"`
	}
	record := func(raw string) *records.KeyValue { return &records.KeyValue{Value: json.RawMessage(raw)} }
	write := records.Op{Write: "k", Value: value{A: 1, B: "x"}}
	deletion := records.Op{Delete: "k"}
	for name, x := range map[string]struct {
		op     records.Op
		stored *records.KeyValue
		want   bool
	}{
		"same value":              {write, record(`{"a":1,"b":"x"}`), true},
		"another form":            {write, record(`{ "b": "x", "a": 1.0 }`), true},
		"another value":           {write, record(`{"a":2,"b":"x"}`), false},
		"unreadable":              {write, record(`{"a":1`), false},
		"no record of a write":    {write, nil, false},
		"no record of a deletion": {deletion, nil, true},
		"record of a deletion":    {deletion, record(`{"a":1,"b":"x"}`), false},
	} {
		if got := isStored(x.op, x.stored); got != x.want {
			t.Errorf("%s: got %v, want %v", name, got, x.want)
		}
	}
}
