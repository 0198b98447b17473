// Package linearizability logs the answers to users of a deployment and checks them afterwards: every job is one
// register, and all answers about it, whoever gave them and however many requests were under way at a time, must fit
// into one order. It is for tests with real processes.
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

// Kinds of requests.
const (
	Submit = "submit"
	Poll   = "poll"
	Cancel = "cancel"
)

// noResponse stands for an answer that never came: the request may have been carried out, or may yet be.
const noResponse = ""

// NotFound is the answer that there is no such job.
const NotFound = "not found"

// History collects answers. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

// New returns an empty log.
func New() *History { return &History{start: time.Now()} }

// request is the input of an operation.
type request struct{ job, kind string }

// noReturnNS is the time of an answer that never came, in nanoseconds.
const noReturnNS = 1 << 62

// Record logs an answer, "" for none, to a request that a client sent at a time.
func (l *History) Record(clientID int, job, kind, answer string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answered := time.Since(l.start).Nanoseconds()
	if answer == noResponse {
		answered = noReturnNS
	}
	l.ops = append(l.ops, porcupine.Operation{
		ClientId: clientID, Input: request{job, kind}, Output: answer,
		Call: sent.Sub(l.start).Nanoseconds(), Return: answered,
	})
}

// States of a job.
const (
	absent = 1 << iota
	open
	done
	cancelled
)

// nextStates returns which states a job may be in after an answer, from one state. Jobs become done by themselves;
// the counts of tasks, and running or pending, are for display.
func nextStates(from int, kind, answer string) []any {
	var to []any
	add := func(states ...int) {
		for _, s := range states {
			to = append(to, s)
		}
	}
	final := map[string]int{client.Done: done, client.Cancelled: cancelled}[answer] // 0: the answer is not final
	switch {
	case answer == noResponse && kind == Submit && from == absent:
		add(absent, open)
	case answer == noResponse && kind == Cancel && from == open:
		add(open, cancelled, done)
	case answer == noResponse:
		add(from)
	case answer == NotFound:
		if from == absent && kind != Submit {
			add(absent)
		}
	case kind == Submit && from == absent:
		if final == 0 {
			add(open)
		}
	case final != 0:
		// It was cancelled by this request, or has become done by itself.
		if from == final || from == open && (kind == Cancel || final == done) {
			add(final)
		}
	case kind == Cancel:
		// Any answer but a final state breaks the protocol.
	case from == open:
		add(open)
	}
	return to
}

var model = (&porcupine.NondeterministicModel{
	Partition: partitionByJob,
	Init:      func() []any { return []any{absent} },
	Step: func(state, in, out any) []any {
		return nextStates(state.(int), in.(request).kind, out.(string))
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%v: %v", in, out) },
}).ToModel()

// partitionByJob splits operations by their jobs, in the order of the jobs' ids.
func partitionByJob(ops []porcupine.Operation) [][]porcupine.Operation {
	ofJob := map[string][]porcupine.Operation{}
	for _, op := range ops {
		id := op.Input.(request).job
		ofJob[id] = append(ofJob[id], op)
	}
	var parts [][]porcupine.Operation
	for _, id := range slices.Sorted(maps.Keys(ofJob)) {
		parts = append(parts, ofJob[id])
	}
	return parts
}

// Check returns what is wrong with the answers; nil: nothing. Every job that was accepted must have ended, with one
// final answer.
func (l *History) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	final := map[string]string{}
	for _, o := range l.ops {
		q, answer := o.Input.(request), o.Output.(string)
		if answer == client.Done || answer == client.Cancelled {
			if old, ok := final[q.job]; ok && old != answer {
				return fmt.Errorf("job %s has two final answers, %s and %s", q.job, old, answer)
			}
			final[q.job] = answer
		}
	}
	for _, o := range l.ops {
		if q := o.Input.(request); q.kind == Submit && o.Output != noResponse && final[q.job] == "" {
			return fmt.Errorf("job %s was accepted and has no final answer", q.job)
		}
	}
	return l.checkLinearizableLocked()
}

// CheckLinearizable returns which answers fit into no order, whether or not every job has ended; nil: all do.
func (l *History) CheckLinearizable() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checkLinearizableLocked()
}

func (l *History) checkLinearizableLocked() error {
	for _, part := range model.Partition(l.ops) {
		if !porcupine.CheckOperations(model, part) {
			job := part[0].Input.(request).job
			return fmt.Errorf("the answers about job %s fit into no order: %s", job, formatOperations(part))
		}
	}
	return nil
}

// formatOperations lists operations by the time of their requests.
func formatOperations(ops []porcupine.Operation) string {
	ops = slices.Clone(ops)
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	text := ""
	for _, o := range ops {
		from, to := time.Duration(o.Call).Seconds(), time.Duration(o.Return).Seconds()
		text += fmt.Sprintf("\n  %.3fs to %.3fs %s: %q", from, to, o.Input.(request).kind, o.Output)
	}
	return text
}
