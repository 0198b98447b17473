package linearizability

import (
	"strings"
	"testing"
	"time"
)

// Check rejects histories that violate the protocol and accepts the others. If it accepted too much, the simulation and
// the load test would miss lost jobs and wrong responses.
func TestCheckRejectsImpossibleResponses(t *testing.T) {
	for name, test := range map[string]struct {
		operations string // kind:response@from-to, in seconds; without -to, the operation returns after 1 ms
		wantErr    string
	}{
		"plain":                    {"submit:pending@1 poll:running@2 poll:done@3 poll:done@4", ""},
		"accepted, no response":    {"submit:@1 poll:pending@2 poll:done@3", ""},
		"accepted on a retry":      {"submit:@1 poll:not_found@2 submit:pending@3 cancel:cancelled@4 poll:cancelled@5", ""},
		"cancelled, no response":   {"submit:pending@1 cancel:@2 poll:running@3 poll:cancelled@4", ""},
		"polled during the cancel": {"submit:pending@1 cancel:cancelled@2-9 poll:cancelled@3 poll:running@2-8", ""},
		"done before the cancel":   {"submit:pending@1 cancel:done@2 poll:done@3", ""},
		"forgotten":                {"submit:pending@1 poll:not_found@2 poll:done@3", "not linearizable"},
		"went back":                {"submit:pending@1 poll:done@2 poll:running@3", "not linearizable"},
		"two final states":         {"submit:pending@1 cancel:cancelled@2 poll:done@3", "two final states"},
		"cancelled by no request":  {"submit:pending@1 poll:cancelled@2", "not linearizable"},
		"never ended":              {"submit:pending@1 poll:running@2", "no final state"},
		"cancel not final":         {"submit:pending@1 cancel:running@2 poll:done@3", "not linearizable"},
		"never submitted":          {"poll:done@1", "not linearizable"},
	} {
		h := New()
		for _, operation := range strings.Fields(test.operations) {
			call, interval, _ := strings.Cut(operation, "@")
			kind, response, _ := strings.Cut(call, ":")
			from, to, _ := strings.Cut(interval, "-")
			sec := func(s string) time.Duration { d, _ := time.ParseDuration(s + "s"); return d }
			h.Record(1, "j-1", kind, strings.ReplaceAll(response, "_", " "), h.start.Add(sec(from)))
			if response != "" {
				end := sec(from) + time.Millisecond
				if to != "" {
					end = sec(to)
				}
				h.ops[len(h.ops)-1].Return = end.Nanoseconds()
			}
		}
		err := h.Check()
		if test.wantErr == "" && err != nil || test.wantErr != "" && (err == nil || !strings.Contains(err.Error(), test.wantErr)) {
			t.Errorf("%s: got %v, want %q", name, err, test.wantErr)
		}
	}
}
