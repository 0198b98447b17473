// Package history records what users of a deployment were told and checks it afterwards:
// every job is one register, and all answers about it, whoever gave them and however many
// were asked at a time, must fit into one order. For tests with real processes.
package linearizability

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"drumpick/client"

	"github.com/anishathalye/porcupine"
)

// Kinds of questions.
const (
	Submit = "submit"
	Poll   = "poll"
	Cancel = "cancel"
)

// noAnswer stands for an answer that never came: the request may have been carried out.
const noAnswer = ""

// NotFound is the answer that there is no such job.
const NotFound = "not found"

// Log collects answers. It is safe for concurrent use.
type Log struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

// New returns an empty log.
func New() *Log { return &Log{start: time.Now()} }

type request struct{ job, kind string }

// Note records an answer, "" for none, to a question asked at some time by a client.
func (l *Log) Note(who int, job, kind, answer string, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := time.Since(l.start).Nanoseconds()
	if answer == noAnswer {
		end = 1 << 62 // it may yet be carried out
	}
	l.ops = append(l.ops, porcupine.Operation{
		ClientId: who, Input: request{job, kind}, Output: answer, Call: asked.Sub(l.start).Nanoseconds(), Return: end,
	})
}

// states of a job; a set of them is a bit mask.
const (
	absent = 1 << iota
	open
	done
	cancelled
)

// nextStates tells which states a job may be in after an answer, from one state. Jobs become done
// by themselves; the counts of tasks, and running or pending, are for display.
func nextStates(from int, kind, answer string) []any {
	var to []any
	add := func(states ...int) {
		for _, s := range states {
			to = append(to, s)
		}
	}
	over := map[string]int{client.Done: done, client.Cancelled: cancelled}[answer]
	switch {
	case answer == noAnswer && kind == Submit && from == absent:
		add(absent, open)
	case answer == noAnswer && kind == Cancel && from == open:
		add(open, cancelled, done)
	case answer == noAnswer:
		add(from)
	case answer == NotFound:
		if from == absent && kind != Submit {
			add(absent)
		}
	case kind == Submit && from == absent:
		if over == 0 {
			add(open)
		}
	case over != 0:
		// It was cancelled by whoever asks, or has become done by itself.
		if from == over || from == open && (kind == Cancel || over == done) {
			add(over)
		}
	case kind == Cancel:
		// Any answer but a final state breaks the protocol.
	case from == open:
		add(open)
	}
	return to
}

var model = (&porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byJob := map[string][]porcupine.Operation{}
		var jobs []string
		for _, o := range ops {
			j := o.Input.(request).job
			if byJob[j] == nil {
				jobs = append(jobs, j)
			}
			byJob[j] = append(byJob[j], o)
		}
		slices.Sort(jobs)
		var parts [][]porcupine.Operation
		for _, j := range jobs {
			parts = append(parts, byJob[j])
		}
		return parts
	},
	Init:              func() []any { return []any{absent} },
	Step:              func(state, in, out any) []any { return nextStates(state.(int), in.(request).kind, out.(string)) },
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%v: %v", in, out) },
}).ToModel()

// Check says what is wrong with the answers; nil: nothing. Every job of which a user was
// told must have ended, with one final answer.
func (l *Log) Check() error {
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
		if q := o.Input.(request); q.kind == Submit && o.Output != noAnswer && final[q.job] == "" {
			return fmt.Errorf("job %s was accepted and has no final answer", q.job)
		}
	}
	return l.order()
}

// CheckOrder says which answers fit into no order, whether or not every job has ended; nil: all do.
func (l *Log) CheckOrder() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.order()
}

func (l *Log) order() error {
	for _, part := range model.Partition(l.ops) {
		if !porcupine.CheckOperations(model, part) {
			return fmt.Errorf("the answers about job %s fit into no order: %s", part[0].Input.(request).job, describe(part))
		}
	}
	return nil
}

func describe(ops []porcupine.Operation) string {
	ops = slices.Clone(ops)
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	text := ""
	for _, o := range ops {
		text += fmt.Sprintf("\n  %.3fs to %.3fs %s: %q", float64(o.Call)/1e9, float64(o.Return)/1e9, o.Input.(request).kind, o.Output)
	}
	return text
}
