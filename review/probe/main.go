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
const timeLimit = 117 * time.Second

// reviewCase is a case: the site whose settings it takes, and what it does. run reports whether the rule was broken, or an
// error if the case could not run.
type reviewCase struct {
	site site
	run  func(d *deployment) (broken bool, err error)
}

// cases are the cases by name.
var cases = map[string]reviewCase{
	"large-arrays":              {warsaw, largeArrays},
	"unknown-polls":             {krakow, unknownPolls},
	"report-with-new-field":     {warsaw, reportWithNewField},
	"submission-with-new-field": {warsaw, submissionWithNewField},
}

func main() {
	if len(os.Args) == 3 {
		if c, ok := cases[os.Args[1]]; ok {
			os.Exit(runCase(c, os.Args[1], os.Args[2]))
		}
	}
	fmt.Fprintln(os.Stderr, "usage: probe CASE FOLDER")
	os.Exit(exitNotRun)
}

// runCase runs a case, which writes its record to the given folder, and returns the exit status.
func runCase(c reviewCase, name, folder string) int {
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "probe:", err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %t", name, trouble)
	d, err := startDeployment(rec, c.site, trouble)
	if err != nil {
		rec.printf("the deployment did not start: %v", err)
		return exitNotRun
	}
	defer d.stop()
	// The controllers end with this process, whatever happens.
	time.AfterFunc(timeLimit, func() {
		rec.printf("the case did not end in time")
		_ = os.RemoveAll(d.data)
		os.Exit(exitNotRun)
	})
	broken, err := c.run(d)
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
