package jsoncodec

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

type inner struct {
	A *int           `json:"a"`
	B int            `json:"b"`
	M map[string]int `json:"m"`
}

type message struct {
	Count  int            `json:"count"`
	Text   string         `json:"text"`
	Inner  inner          `json:"inner"`
	ByName map[string]int `json:"by_name"`
	List   []inner        `json:"list"`
	Raw    RawMessage     `json:"raw"`
}

// A member of an object counts only if its name is equal to a field's. Of several members of one name,
// the last one counts as if the others were absent. encoding/json ignores the case of names, and merges
// the members of doubled objects.
func TestUnmarshalNames(t *testing.T) {
	seven := 7
	for text, want := range map[string]message{
		`{"Count":1}`:                                             {},
		`{"count":2,"COUNT":"x","cOunt":[]}`:                      {Count: 2},
		`{"\u0063ount":2}`:                                        {Count: 2},
		`{"count":1,"count":2}`:                                   {Count: 2},
		`{"count":1,"\u0063ount" : 2 , "text":"x"}`:               {Count: 2, Text: "x"},
		`{"count":"x","count":2}`:                                 {Count: 2},
		`{"count":2,"count":null}`:                                {},
		`{"inner":{"a":1,"b":2},"inner":{"a":7}}`:                 {Inner: inner{A: &seven}},
		`{"inner":{"m":{"x":1}},"inner":{"b":3,"m":{"y":2}}}`:     {Inner: inner{B: 3, M: map[string]int{"y": 2}}},
		`{"inner":{"b":1,"b":2},"count":1,"inner":{"b":3,"b":4}}`: {Inner: inner{B: 4}, Count: 1},
		`{"by_name":{"x":1,"x":2,"X":3}}`:                         {ByName: map[string]int{"x": 2, "X": 3}},
		`{"list":[{"b":1,"b":2},{"a":7}],"list":[{"b":3}]}`:       {List: []inner{{B: 3}}},
		`{"zz":1,"zz":{"zz":[1,{"q":1,"q":2}]},"count":5}`:        {Count: 5},
		`{"raw":{"x":1},"raw":[2]}`:                               {Raw: RawMessage(`[2]`)},
		` { "count" : 1 , "count" : 2 } `:                         {Count: 2},
	} {
		var got message
		if err := Unmarshal([]byte(text), &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v, %v, want %+v", text, got, err, want)
		}
	}
}

// A text that cannot be decoded leaves nothing behind, and the error names the field.
func TestUnmarshalErrors(t *testing.T) {
	for text, field := range map[string]string{
		`{"text":"x","count":"y"}`:                 "count",
		`{"text":"x","count":1.5}`:                 "count",
		`{"count":1,"count":"y"}`:                  "count",
		`{"text":"x","list":[{"b":1},{"b":true}]}`: "list.b",
		`[]`: "",
	} {
		got := message{}
		var typeErr *TypeError
		if err := Unmarshal([]byte(text), &got); !errors.As(err, &typeErr) || typeErr.Field != field {
			t.Errorf("%s: %v, want an error of the field %q", text, err, field)
		}
		if !reflect.DeepEqual(got, message{}) {
			t.Errorf("%s leaves %+v", text, got)
		}
	}
	for _, text := range []string{``, `{`, `{"count":1,"count":2`, `{"count":1}}`, `{"count":1,}`, `{"count" 1}`, `nul`} {
		got := message{}
		var typeErr *TypeError
		if err := Unmarshal([]byte(text), &got); err == nil || errors.As(err, &typeErr) || !reflect.DeepEqual(got, message{}) {
			t.Errorf("%q is read as %+v, %v", text, got, err)
		}
	}
}

// A text of the largest size that consists of nested or doubled members is decoded in one pass.
func TestUnmarshalLargeTexts(t *testing.T) {
	const size = 64 << 10
	doubled := `{` + strings.Repeat(`"count":1,`, size/10) + `"count":2}`
	nested := strings.Repeat(`{"x":1,"x":`, 5000) + `1` + strings.Repeat(`}`, 5000)
	for text, want := range map[string]int{doubled: 2, `{"count":1,"raw":` + nested + `,"count":3}`: 3} {
		var got message
		if err := Unmarshal([]byte(text), &got); err != nil || got.Count != want {
			t.Errorf("%.40s... is read with the count %d, %v, want %d", text, got.Count, err, want)
		}
	}
}
