package loadtest

import (
	"testing"
	"time"

	"drumpick/client"
	"drumpick/internal/simulation"
)

// correctHistory returns a history without violations: two jobs of team a, one of them cancelled.
func correctHistory() *History {
	start := time.Unix(1_000_000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	job := func(id string, tasks int, cancelled time.Time, status string) *UserJob {
		return &UserJob{
			Job: client.Job{ID: id, Team: "a", Tasks: tasks, CPUs: 1}, Submitted: at(0), Accepted: at(0),
			CancelRequested: !cancelled.IsZero(), Cancelled: cancelled,
			FinalStates: []FinalState{{"controller-1", status}, {"controller-2", status}},
		}
	}
	return &History{
		Runs: []simulation.TaskRun{
			{Task: "j-1/0", Machine: "m-1", Started: at(1), Running: at(2), Ended: at(5), Cause: "lost"},
			{Task: "j-1/0", Machine: "m-2", Started: at(5), Running: at(6), Ended: at(9), Cause: "done"},
			{Task: "j-1/1", Machine: "m-1", Started: at(1), Running: at(2), Ended: at(8), Cause: "done"},
			{Task: "j-2/0", Machine: "m-3", Started: at(9), Running: at(9), Ended: at(12), Cause: "stopped"},
		},
		Jobs:   map[string]*UserJob{"j-1": job("j-1", 2, time.Time{}, client.Done), "j-2": job("j-2", 1, at(10), client.Cancelled)},
		Limits: []CPULimits{{"a": 2}}, CancelLimit: 10 * time.Second,
	}
}

// Check reports a violation of each rule under the rule's name, and reports no other rule. A rule that is never
// reported would hide its violations in every load test.
func TestEachViolationIsReported(t *testing.T) {
	if got := correctHistory().Check(); len(got) > 0 {
		t.Fatalf("a history without a violation: got %v, want none", got)
	}
	for _, test := range []struct {
		rule      string
		breakRule func(h *History)
	}{
		{"ran_twice", func(h *History) {
			h.Runs[1].Started = h.Runs[0].Ended.Add(-time.Millisecond)
			h.Limits = []CPULimits{nil}
		}},
		{"ran_cancelled", func(h *History) { h.Runs[3].Ended = h.Runs[3].Ended.Add(9 * time.Second) }},
		{"started_cancelled", func(h *History) {
			h.Runs[3].Started = h.Runs[3].Started.Add(6 * time.Second)
			h.Runs[3].Ended = h.Runs[3].Started
		}},
		{"quota", func(h *History) { h.Limits[0]["a"] = 1.5 }},
		{"forgotten", func(h *History) { h.Jobs["j-1"].FinalStates[1].Status = "not found" }},
		{"unfinished", func(h *History) { h.Jobs["j-1"].FinalStates[1].Status = client.Running }},
		{"went_back", func(h *History) { h.Jobs["j-2"].FinalStates[0].Status = client.Done; h.Jobs["j-2"].Tasks = 0 }},
		{"went_back", func(h *History) { h.Jobs["j-2"].CancelRequested = false }},
		{"not_done", func(h *History) { h.Runs[2].Cause = "lost" }},
		{"nothing_ran", func(h *History) { h.Runs = nil; clear(h.Jobs) }},
	} {
		h := correctHistory()
		test.breakRule(h)
		got := h.Check()
		if len(got) == 0 {
			t.Errorf("%s is not reported", test.rule)
		}
		for _, v := range got {
			if v.Rule != test.rule {
				t.Errorf("violated %s, got %v", test.rule, v)
			}
		}
	}
}
