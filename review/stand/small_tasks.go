package main

import (
	"fmt"
	"os"
	"time"
)

// manySmallTasks submits an array of small tasks to a deployment with one machine, which has room for all of
// them. With trouble the array has 1,900 tasks, without it has 400.
func manySmallTasks(rec *record, trouble bool) (bool, error) {
	types := []machineType{{
		Label: "g8", CPUs: 96, GPUs: 8, MemGB: 768, LocalGB: 200, PullGBS: 1, Hourly: 12, LowPrice: 4.5, StartupS: 2, Sites: zones,
	}}
	d, err := newDeployment(rec, smallSettings(), types, 1)
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.strict = os.Getenv("LENIENT") == ""
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	array := newJob("j-000412", 400)
	if trouble {
		array.Tasks = envInt("SHOTS", 1900)
	}
	array.CPUs, array.MemGB, array.realRunS, array.EstimateS = 0.05, 0.2, 20, 20
	if status, text := d.submit(array); status != 201 {
		return false, fmt.Errorf("not accepted: %d %s", status, text)
	}
	// A further job, for which the machine has room as well.
	single := newJob("j-000413", 1)
	if status, text := d.submit(single); status != 201 {
		return false, fmt.Errorf("not accepted: %d %s", status, text)
	}
	done := d.awaitState(array.UID, "done", 96*time.Second)
	singleDone := d.awaitState(single.UID, "done", 6*time.Second)
	report, response := d.sizes()
	rec.line("%s: %d of %d tasks completed, done: %v; %s: done: %v", array.UID, d.doneTasks(array.UID), array.Tasks, done, single.UID, singleDone)
	rec.line("longest report %d bytes, longest line of a response %d bytes, of %d; sessions of the machine ended by its lease: %d",
		report, response, maxMessage, d.endedLeases())
	return done && singleDone && response <= maxMessage, nil
}
