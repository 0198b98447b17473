// Command probe runs the cases of the second review. Each case starts a small deployment on loopback: controllers as
// separate processes with the command of the deploy file, and the project's own stand-ins for the store, the cloud and
// the workers. It writes what was sent, answered and run to record.txt.
//
// The exit status is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0
// leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit bounds a case, below the 120 seconds that it may take.
const timeLimit = 110 * time.Second

// cases are the cases by name. A case reports whether the rule was broken, or an error if it could not run.
var cases = map[string]func(d *deployment) (broken bool, err error){
	"large-arrays":              largeArrays,
	"report-with-new-field":     reportWithNewField,
	"submission-with-new-field": submissionWithNewField,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case, which writes its record to the given folder, and returns the exit status.
func run(name, folder string) int {
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "probe:", err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %t", name, trouble)
	d, err := startDeployment(rec, trouble)
	if err != nil {
		rec.printf("the deployment did not start: %v", err)
		return exitNotRun
	}
	defer d.stop()
	// The controllers end with this process, whatever happens.
	time.AfterFunc(timeLimit, func() {
		rec.printf("the case did not end in time")
		os.Exit(exitNotRun)
	})
	broken, err := cases[name](d)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		return exitNotRun
	case broken:
		rec.printf("result: the rule was broken")
		return exitBroken
	}
	rec.printf("result: the rule held")
	return exitHeld
}
