package loadtest

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"drumpick/client"
	"drumpick/internal/fleet"
	"drumpick/internal/simulation"
)

// UserJob is a job as its user sees it.
type UserJob struct {
	client.Job
	Deployment      int
	Submitted       time.Time    // time of the first submission
	Accepted        time.Time    // time of the response that accepted the job; zero if there was none
	CancelRequested bool         // a user requested the cancellation
	Cancelled       time.Time    // time of the response that confirmed the cancellation; zero if there was none
	FinalStates     []FinalState // at the end of the run, one per controller
}

// FinalState is the state of a job at the end of the run, as one controller reports it.
type FinalState struct {
	Controller string
	Status     string // client.Done or client.Cancelled; otherwise another status or the text of an error
}

// Violation names a violated rule of the protocol and describes how the rule was violated.
type Violation struct {
	Rule   string `json:"rule"`
	Detail string `json:"what"`
}

// violation returns a violation of a rule with a formatted description.
func violation(rule, format string, args ...any) Violation {
	return Violation{rule, fmt.Sprintf(format, args...)}
}

// maxCommandDelay is the maximum time from the sending of a start command to its arrival at a worker (PROTOCOL). If a
// start command arrives more than maxCommandDelay after the confirmation of a cancellation, it was sent after the
// confirmation.
const maxCommandDelay = 4 * time.Second

// epsilon is the tolerance for rounding errors in sums of CPUs.
const epsilon = 1e-9

// CPULimits maps teams to their CPU limits. A team without an entry, or with limit 0, has no limit.
type CPULimits map[string]float64

// History holds what the workers and users of a run observed.
type History struct {
	Runs        []simulation.TaskRun // of all workers
	Jobs        map[string]*UserJob  // by job ID
	Limits      []CPULimits          // by index of the deployment
	CancelLimit time.Duration        // maximum time from a confirmed cancellation to the end of the job's tasks
}

// Check returns the violations of the protocol's rules, and the violation nothing_ran if no attempt has ended.
func (h *History) Check() []Violation {
	var all []Violation
	all = append(all, h.checkDuplicateRuns()...)
	all = append(all, h.checkCancelled()...)
	all = append(all, h.checkQuotas()...)
	all = append(all, h.checkFinalStates()...)
	if len(h.Runs) == 0 {
		all = append(all, Violation{"nothing_ran", "no task was started"})
	}
	return all
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string {
	id, _ := fleet.ParseTask(task)
	return id.Job
}

// checkDuplicateRuns reports tasks that started on one machine while they still ran on another.
func (h *History) checkDuplicateRuns() []Violation {
	runs := slices.Clone(h.Runs)
	slices.SortFunc(runs, func(a, b simulation.TaskRun) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), a.Started.Compare(b.Started))
	})
	var all []Violation
	var lastToEnd simulation.TaskRun // the task's run with the latest end so far
	for i, r := range runs {
		if i > 0 && lastToEnd.Task == r.Task {
			if r.Started.Before(lastToEnd.Ended) && r.Machine != lastToEnd.Machine {
				all = append(all, violation("ran_twice", "%s started on %s at %v while it was on %s until %v",
					r.Task, r.Machine, r.Started, lastToEnd.Machine, lastToEnd.Ended))
			}
			if r.Ended.Before(lastToEnd.Ended) {
				continue
			}
		}
		lastToEnd = r
	}
	return all
}

// checkCancelled reports tasks of cancelled jobs that started more than maxCommandDelay, or ended more than
// CancelLimit, after the cancellation was confirmed.
func (h *History) checkCancelled() []Violation {
	var all []Violation
	for _, r := range h.Runs {
		j := h.Jobs[jobOf(r.Task)]
		if j == nil || j.Cancelled.IsZero() {
			continue
		}
		if delay := r.Ended.Sub(j.Cancelled); delay > h.CancelLimit {
			all = append(all, violation("ran_cancelled", "%s was on %s for %v after its job was cancelled",
				r.Task, r.Machine, delay))
		}
		if delay := r.Started.Sub(j.Cancelled); delay > maxCommandDelay {
			all = append(all, violation("started_cancelled", "%s started on %s %v after its cancellation was confirmed",
				r.Task, r.Machine, delay))
		}
	}
	return all
}

// usageChange is a change of a team's CPU usage.
type usageChange struct {
	at   time.Time
	cpus float64
}

// checkQuotas reports teams whose CPU usage exceeded their limit at any time.
func (h *History) checkQuotas() []Violation {
	type quotaKey struct {
		team       string
		deployment int
	}
	changes := map[quotaKey][]usageChange{}
	for _, r := range h.Runs {
		j := h.Jobs[jobOf(r.Task)]
		if j == nil || h.Limits[j.Deployment][j.Team] == 0 {
			continue
		}
		key := quotaKey{j.Team, j.Deployment}
		changes[key] = append(changes[key], usageChange{r.Started, j.CPUs}, usageChange{r.Ended, -j.CPUs})
	}
	var all []Violation
	for key, list := range changes {
		// At equal times, ends come before starts.
		slices.SortFunc(list, func(a, b usageChange) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.cpus, b.cpus)) })
		used, peak := 0.0, 0.0
		for _, c := range list {
			used += c.cpus
			peak = max(peak, used)
		}
		if limit := h.Limits[key.deployment][key.team]; peak > limit+epsilon {
			all = append(all, violation("quota", "%s used %g CPUs of %g in region %d", key.team, peak, limit, key.deployment))
		}
	}
	slices.SortFunc(all, func(a, b Violation) int { return cmp.Compare(a.Detail, b.Detail) })
	return all
}

// checkFinalStates reports accepted jobs that are not final, that a controller fails to report, whose final state
// differs between controllers, or whose final state contradicts their completed tasks and cancellation requests.
func (h *History) checkFinalStates() []Violation {
	completed := map[string]map[string]bool{}
	for _, r := range h.Runs {
		if r.Cause == fleet.CauseDone {
			id := jobOf(r.Task)
			if completed[id] == nil {
				completed[id] = map[string]bool{}
			}
			completed[id][r.Task] = true
		}
	}
	var all []Violation
	for _, id := range slices.Sorted(maps.Keys(h.Jobs)) {
		j := h.Jobs[id]
		if j.Accepted.IsZero() {
			continue
		}
		all = append(all, j.finalStateViolations(len(completed[id]))...)
	}
	return all
}

// finalStateViolations returns the violations in the final states of a job. done is the number of its tasks that
// completed.
func (j *UserJob) finalStateViolations(done int) []Violation {
	var all []Violation
	for _, f := range j.FinalStates {
		switch {
		case f.Status == client.Pending || f.Status == client.Running:
			all = append(all, violation("unfinished", "%s is still %s at %s at the end", j.ID, f.Status, f.Controller))
		case f.Status != client.Done && f.Status != client.Cancelled:
			all = append(all, violation("forgotten", "%s is %q at %s at the end", j.ID, f.Status, f.Controller))
		case f.Status != j.FinalStates[0].Status:
			all = append(all, violation("went_back", "%s is %s at %s and %s at %s",
				j.ID, j.FinalStates[0].Status, j.FinalStates[0].Controller, f.Status, f.Controller))
		case f.Status == client.Done && done < j.Tasks:
			all = append(all, violation("not_done", "%s is called done at %s with %d of %d tasks done",
				j.ID, f.Controller, done, j.Tasks))
		case f.Status == client.Cancelled && !j.CancelRequested:
			all = append(all, violation("went_back", "%s is called cancelled at %s, and nobody cancelled it",
				j.ID, f.Controller))
		}
	}
	return all
}
