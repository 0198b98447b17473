// Command stand runs the cases of the review: it starts the project's controllers as processes, with small
// stand-ins for the state service, the cloud, the workers and the users, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// limit is how long a case may take.
const limit = 118 * time.Second

// trial is a case: it returns whether the rule held, or an error if it could not run.
type trial func(d *record, trouble bool) (ok bool, err error)

var trials = map[string]trial{
	"many-small-tasks": manySmallTasks,
	"pipeline":         pipeline,
	"drain-plan":       drainPlan,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return failed
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	time.AfterFunc(limit, func() {
		rec.line("the case did not end in time")
		os.Exit(failed)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", os.Args[1], trouble)
	ok, err := trials[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		return failed
	case ok:
		rec.line("the rule held")
		return held
	}
	rec.line("the rule was broken")
	return broken
}
