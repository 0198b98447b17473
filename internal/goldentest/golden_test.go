package goldentest

import (
	"slices"
	"testing"
)

// UnsetFields lists unset fields at any depth, but no fields that are excluded from the encoding. If it missed one, a
// golden file could lack that field unnoticed.
func TestUnsetListsFields(t *testing.T) {
	type inner struct {
		N int    `json:"n"`
		S string `json:"s"`
	}
	type outer struct {
		inner
		P    *inner           `json:"p"`
		F    *float64         `json:"f"`
		L    []inner          `json:"l"`
		M    map[string]inner `json:"m"`
		B    []byte           `json:"b"`
		Left string           `json:"-"`
	}
	zero := 0.0
	full := inner{1, "x"}
	v := outer{inner: full, P: &full, F: &zero, L: []inner{full}, M: map[string]inner{"k": full}, B: []byte{0}}
	if got := UnsetFields(v, "json"); len(got) != 0 {
		t.Errorf("all fields set: got %v, want none", got)
	}
	v = outer{inner: inner{S: "x"}, P: &inner{N: 1}, L: []inner{full, {N: 2}}, M: map[string]inner{"k": {S: "y"}}}
	if got, want := UnsetFields(v, "json"), []string{".N", ".P.S", ".F", ".L[1].S", ".M[k].N", ".B"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
