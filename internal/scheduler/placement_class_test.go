package scheduler

import (
	"fmt"
	"testing"

	"drumpick/internal/records"
)

// Jobs whose tasks need the same resources form one placement class, whatever their ids and numbers of tasks.
// With the exact size of each task's status in the class, equal jobs were in several, each of which searched
// all machines in vain, and the leader of a large fleet cost 1.4 times as much.
func TestEqualJobsShareAPlacementClass(t *testing.T) {
	s, now := newLimitsScheduler([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20}})
	classes := map[int]bool{}
	for i, tasks := range []int{1, 9, 10, 99, 100, 999, 1000, 9999, 10_000, 100_000} {
		id := fmt.Sprintf("j-%06d", i)
		s.AddJob(records.Job{ID: id, Team: "team", Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: tasks, CPUs: 1, MemGB: 3.6}, 10, now, now)
		classes[s.jobs[id].placementClass] = true
	}
	if len(classes) != 1 {
		t.Errorf("equal jobs are in %d placement classes, want one", len(classes))
	}
}
