// Package linearizability records the responses to users of a deployment and checks afterwards that they are
// linearizable: every job is one register, and all responses about it must fit into one order, whichever controllers
// sent them and however many requests were concurrent. Only tests use the package.
package linearizability

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"drumpick/client"

	"github.com/anishathalye/porcupine"
)

// Kinds of operations.
const (
	Submit = "submit"
	Poll   = "poll"
	Cancel = "cancel"
)

// noResponse means that a request got no response. It may have taken effect, or may still do so later.
const noResponse = ""

// NotFound is the response that the job does not exist.
const NotFound = "not found"

// History collects operations and their responses. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	start time.Time // operations store their times as nanoseconds since start
	ops   []porcupine.Operation
}

// New returns an empty history.
func New() *History { return &History{start: time.Now()} }

// request is the input of an operation: the job's ID and the kind of operation.
type request struct{ job, kind string }

// noReturnNS is the return time of an operation without a response, in nanoseconds.
const noReturnNS = 1 << 62

// Record adds an operation that a client sent at the given time and that returns now. response is the job's status,
// NotFound, or "" if the client got no response.
func (h *History) Record(clientID int, job, kind, response string, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := time.Since(h.start).Nanoseconds()
	if response == noResponse {
		returned = noReturnNS
	}
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: clientID, Input: request{job, kind}, Output: response,
		Call: sent.Sub(h.start).Nanoseconds(), Return: returned,
	})
}

// States of a job.
const (
	absent = 1 << iota
	open
	done
	cancelled
)

// nextStates returns the states that a job may have after an operation with the given response, if its state was from.
// It returns nil if the response is impossible in that state. An open job may become done at any time. Task counts
// and the difference between pending and running are only for display and are not checked.
func nextStates(from int, kind, response string) []any {
	var next []any
	add := func(states ...int) {
		for _, s := range states {
			next = append(next, s)
		}
	}
	final := map[string]int{client.Done: done, client.Cancelled: cancelled}[response] // 0: the response is not final
	switch {
	case response == noResponse && kind == Submit && from == absent:
		add(absent, open)
	case response == noResponse && kind == Cancel && from == open:
		add(open, cancelled, done)
	case response == noResponse:
		add(from)
	case response == NotFound:
		if from == absent && kind != Submit {
			add(absent)
		}
	case kind == Submit && from == absent:
		if final == 0 {
			add(open)
		}
	case final != 0:
		// Either this request cancelled the job, or the job completed on its own.
		if from == final || from == open && (kind == Cancel || final == done) {
			add(final)
		}
	case kind == Cancel:
		// The protocol allows only a final state as the response to a cancellation.
	case from == open:
		add(open)
	}
	return next
}

var model = (&porcupine.NondeterministicModel{
	Partition: partitionByJob,
	Init:      func() []any { return []any{absent} },
	Step: func(state, in, out any) []any {
		return nextStates(state.(int), in.(request).kind, out.(string))
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%v: %v", in, out) },
}).ToModel()

// partitionByJob groups operations by job and returns the groups in order of the job IDs.
func partitionByJob(ops []porcupine.Operation) [][]porcupine.Operation {
	byJob := map[string][]porcupine.Operation{}
	for _, op := range ops {
		id := op.Input.(request).job
		byJob[id] = append(byJob[id], op)
	}
	var parts [][]porcupine.Operation
	for _, id := range slices.Sorted(maps.Keys(byJob)) {
		parts = append(parts, byJob[id])
	}
	return parts
}

// Check returns an error if the history is not linearizable, a job has two different final states, or an accepted job
// has none.
func (h *History) Check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	final := map[string]string{}
	for _, o := range h.ops {
		req, response := o.Input.(request), o.Output.(string)
		if response == client.Done || response == client.Cancelled {
			if old, ok := final[req.job]; ok && old != response {
				return fmt.Errorf("job %s has two final states, %s and %s", req.job, old, response)
			}
			final[req.job] = response
		}
	}
	for _, o := range h.ops {
		if req := o.Input.(request); req.kind == Submit && o.Output != noResponse && final[req.job] == "" {
			return fmt.Errorf("job %s was accepted and has no final state", req.job)
		}
	}
	return h.checkLinearizableLocked()
}

// CheckLinearizable returns an error if the history is not linearizable. Unlike Check, it accepts jobs without a final
// state.
func (h *History) CheckLinearizable() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.checkLinearizableLocked()
}

func (h *History) checkLinearizableLocked() error {
	for _, part := range model.Partition(h.ops) {
		if !porcupine.CheckOperations(model, part) {
			job := part[0].Input.(request).job
			return fmt.Errorf("responses about job %s are not linearizable: %s", job, formatOperations(part))
		}
	}
	return nil
}

// formatOperations returns one line per operation, in order of the times at which the requests were sent.
func formatOperations(ops []porcupine.Operation) string {
	ops = slices.Clone(ops)
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	text := ""
	for _, o := range ops {
		called, returned := time.Duration(o.Call).Seconds(), time.Duration(o.Return).Seconds()
		text += fmt.Sprintf("\n  %.3fs to %.3fs %s: %q", called, returned, o.Input.(request).kind, o.Output)
	}
	return text
}
