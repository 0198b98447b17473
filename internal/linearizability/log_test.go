package linearizability

import (
	"strings"
	"testing"
	"time"
)

// The checker finds answers that users must never get, and accepts those that they may get.
func TestCheckFindsImpossibleAnswers(t *testing.T) {
	for name, x := range map[string]struct {
		answers string // kind:answer@from-to, in seconds; no end: at once
		want    string
	}{
		"plain":                    {"submit:pending@1 poll:running@2 poll:done@3 poll:done@4", ""},
		"accepted without answer":  {"submit:@1 poll:pending@2 poll:done@3", ""},
		"not yet there":            {"submit:@1 poll:not_found@2 submit:pending@3 cancel:cancelled@4 poll:cancelled@5", ""},
		"cancelled without answer": {"submit:pending@1 cancel:@2 poll:running@3 poll:cancelled@4", ""},
		"asked while it changes":   {"submit:pending@1 cancel:cancelled@2-9 poll:cancelled@3 poll:running@2-8", ""},
		"done before the cancel":   {"submit:pending@1 cancel:done@2 poll:done@3", ""},
		"forgotten":                {"submit:pending@1 poll:not_found@2 poll:done@3", "no order"},
		"went back":                {"submit:pending@1 poll:done@2 poll:running@3", "no order"},
		"two final answers":        {"submit:pending@1 cancel:cancelled@2 poll:done@3", "two final answers"},
		"cancelled by nobody":      {"submit:pending@1 poll:cancelled@2", "no order"},
		"never ended":              {"submit:pending@1 poll:running@2", "no final answer"},
		"cancel without a verdict": {"submit:pending@1 cancel:running@2 poll:done@3", "no order"},
		"invented":                 {"poll:done@1", "no order"},
	} {
		l := New()
		for _, w := range strings.Fields(x.answers) {
			what, when, _ := strings.Cut(w, "@")
			kind, answer, _ := strings.Cut(what, ":")
			from, to, _ := strings.Cut(when, "-")
			sec := func(s string) time.Duration { d, _ := time.ParseDuration(s + "s"); return d }
			l.Record(1, "j-1", kind, strings.ReplaceAll(answer, "_", " "), l.start.Add(sec(from)))
			if answer != "" {
				end := sec(from) + time.Millisecond
				if to != "" {
					end = sec(to)
				}
				l.ops[len(l.ops)-1].Return = end.Nanoseconds()
			}
		}
		err := l.Check()
		if x.want == "" && err != nil || x.want != "" && (err == nil || !strings.Contains(err.Error(), x.want)) {
			t.Errorf("%s: got %v, want %q", name, err, x.want)
		}
	}
}
