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

// UserJob is what the users know of a job.
type UserJob struct {
	client.Job
	Deployment      int
	Submitted       time.Time    // when it was first sent
	Accepted        time.Time    // when its acceptance was told; zero: it never was
	CancelRequested bool         // somebody asked to cancel it
	Cancelled       time.Time    // when its cancellation was told; zero: it was not
	FinalStates     []FinalState // at the end, by each controller
}

// FinalState is the state of a job at a controller, at the end of the run.
type FinalState struct {
	Controller string
	Status     string // client.Done, client.Cancelled, or the answer or error instead
}

// Violation is a rule of the protocol that was broken, by its name there.
type Violation struct {
	Rule   string `json:"rule"`
	Detail string `json:"what"`
}

// violation returns a violation of a rule, described by a format.
func violation(rule, format string, args ...any) Violation {
	return Violation{rule, fmt.Sprintf(format, args...)}
}

// maxCommandDelay is for how long a start may be on its way to a worker (PROTOCOL): one that arrives
// later after a cancellation was confirmed was sent after it.
const maxCommandDelay = 4 * time.Second

// epsilon absorbs the rounding of decimal amounts.
const epsilon = 1e-9

// CPULimits are the CPUs that teams may use, by team. A team that is absent has no limit.
type CPULimits map[string]float64

// History is what the workers and users of a run saw.
type History struct {
	Runs        []simulation.TaskRun // by all workers
	Jobs        map[string]*UserJob
	Limits      []CPULimits   // by region
	CancelLimit time.Duration // within which a cancelled job's tasks have to be gone
}

// Check returns the violations of the rules.
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

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _ := fleet.ParseTask(task)
	return id.Job
}

// checkDuplicateRuns looks for tasks that started on one machine while they were on another.
func (h *History) checkDuplicateRuns() []Violation {
	ran := slices.Clone(h.Runs)
	slices.SortFunc(ran, func(a, b simulation.TaskRun) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), a.Started.Compare(b.Started))
	})
	var all []Violation
	var last simulation.TaskRun // of the task, the one that ends last so far
	for i, r := range ran {
		if i > 0 && last.Task == r.Task {
			if r.Started.Before(last.Ended) && r.Machine != last.Machine {
				all = append(all, violation("ran_twice", "%s started on %s at %v while it was on %s until %v",
					r.Task, r.Machine, r.Started, last.Machine, last.Ended))
			}
			if r.Ended.Before(last.Ended) {
				continue
			}
		}
		last = r
	}
	return all
}

// checkCancelled looks for tasks of cancelled jobs that started after the confirmation or stayed too long.
func (h *History) checkCancelled() []Violation {
	var all []Violation
	for _, r := range h.Runs {
		j := h.Jobs[jobOf(r.Task)]
		if j == nil || j.Cancelled.IsZero() {
			continue
		}
		if late := r.Ended.Sub(j.Cancelled); late > h.CancelLimit {
			all = append(all, violation("ran_cancelled", "%s was on %s for %v after its job was cancelled",
				r.Task, r.Machine, late))
		}
		if late := r.Started.Sub(j.Cancelled); late > maxCommandDelay {
			all = append(all, violation("started_cancelled", "%s started on %s %v after its cancellation was confirmed",
				r.Task, r.Machine, late))
		}
	}
	return all
}

// usageChange is what a team's use changes by at a moment.
type usageChange struct {
	at   time.Time
	cpus float64
}

// checkQuotas adds up what the teams' tasks used at every moment.
func (h *History) checkQuotas() []Violation {
	type owner struct {
		team   string
		region int
	}
	changes := map[owner][]usageChange{}
	for _, r := range h.Runs {
		j := h.Jobs[jobOf(r.Task)]
		if j == nil || h.Limits[j.Deployment][j.Team] == 0 {
			continue
		}
		who := owner{j.Team, j.Deployment}
		changes[who] = append(changes[who], usageChange{r.Started, j.CPUs}, usageChange{r.Ended, -j.CPUs})
	}
	var all []Violation
	for who, list := range changes {
		// What ends goes before what begins at the same moment.
		slices.SortFunc(list, func(a, b usageChange) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.cpus, b.cpus)) })
		used, most := 0.0, 0.0
		for _, c := range list {
			used += c.cpus
			most = max(most, used)
		}
		if limit := h.Limits[who.region][who.team]; most > limit+epsilon {
			all = append(all, violation("quota", "%s used %g CPUs of %g in region %d", who.team, most, limit, who.region))
		}
	}
	slices.SortFunc(all, func(a, b Violation) int { return cmp.Compare(a.Detail, b.Detail) })
	return all
}

// checkFinalStates compares what the controllers say at the end of each accepted job with each other and with what
// ran.
func (h *History) checkFinalStates() []Violation {
	done := map[string]map[string]bool{}
	for _, r := range h.Runs {
		if r.Cause == fleet.CauseDone {
			id := jobOf(r.Task)
			if done[id] == nil {
				done[id] = map[string]bool{}
			}
			done[id][r.Task] = true
		}
	}
	var all []Violation
	for _, id := range slices.Sorted(maps.Keys(h.Jobs)) {
		j := h.Jobs[id]
		if j.Accepted.IsZero() {
			continue
		}
		all = append(all, j.finalStateViolations(len(done[id]))...)
	}
	return all
}

// finalStateViolations checks the final answers of a job of which so many tasks were seen to complete.
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
