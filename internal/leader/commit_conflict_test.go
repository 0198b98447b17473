package leader

import (
	"encoding/json"
	"testing"

	"drumpick/internal/records"
)

// An op counts as stored if the store holds the same value in any encoding.
func TestIsStored(t *testing.T) {
	type value struct {
		A int    `json:"a"`
		B string `json:"b"`
	}
	row := func(raw string) *records.KeyValue { return &records.KeyValue{Value: json.RawMessage(raw)} }
	write := records.Op{Write: "k", Value: value{A: 1, B: "x"}}
	deletion := records.Op{Delete: "k"}
	for name, x := range map[string]struct {
		op   records.Op
		row  *records.KeyValue
		want bool
	}{
		"same value":              {write, row(`{"a":1,"b":"x"}`), true},
		"another form":            {write, row(`{ "b": "x", "a": 1.0 }`), true},
		"another value":           {write, row(`{"a":2,"b":"x"}`), false},
		"unreadable":              {write, row(`{"a":1`), false},
		"no record of a write":    {write, nil, false},
		"no record of a deletion": {deletion, nil, true},
		"record of a deletion":    {deletion, row(`{"a":1,"b":"x"}`), false},
	} {
		if got := isStored(x.op, x.row); got != x.want {
			t.Errorf("%s: got %v, want %v", name, got, x.want)
		}
	}
}
