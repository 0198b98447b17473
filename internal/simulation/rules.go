package simulation

import (
	"fmt"
	"slices"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// The rules of the protocol ("Rules"), by their names there. A breach is noted once and for
// good; rules_test.go breaks each on purpose.

func (env *Environment) violateLocked(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(env.violations, text) {
		env.violations = append(env.violations, text)
	}
}

// CancelRequested notes that a user asks to cancel a job.
func (env *Environment) CancelRequested(id string) {
	env.mu.Lock()
	env.cancelRequested[id] = true
	env.mu.Unlock()
}

// cancelWanted says whether a user asked to cancel a job, or one before it.
func (env *Environment) cancelWanted(id string) bool {
	env.mu.Lock()
	_, told := env.cancelledAt[id]
	asked := env.cancelRequested[id] || told
	env.mu.Unlock()
	j, _ := env.LookupJob(id)
	return asked || slices.ContainsFunc(j.Dependencies, env.cancelWanted)
}

// CancelConfirmed notes that a user was told that a job is cancelled.
func (env *Environment) CancelConfirmed(id string) {
	env.mu.Lock()
	if _, ok := env.cancelledAt[id]; !ok {
		env.cancelledAt[id] = time.Now()
	}
	env.mu.Unlock()
}

// DependencyCancelledFor says for how long a user has known that a job before this one is cancelled.
func (env *Environment) DependencyCancelledFor(id string) time.Duration {
	j, _ := env.LookupJob(id)
	var longest time.Duration
	for _, p := range j.Dependencies {
		longest = max(longest, env.DependencyCancelledFor(p))
		env.mu.Lock()
		if at, ok := env.cancelledAt[p]; ok {
			longest = max(longest, time.Since(at))
		}
		env.mu.Unlock()
	}
	return longest
}

// NoteSubmission checks what a user is told of a submission that was sent at some time.
func (env *Environment) NoteSubmission(id string, status int, asked time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	at, known := env.acceptedAt[id]
	switch status {
	case 200, 201:
		if status == 201 && known && asked.After(at) {
			env.violateLocked("went_back: %s was accepted, and a repeated submission of it is taken for a new job", id)
		}
		if j, ok := env.LookupJob(id); !ok || !env.placeable(j) {
			env.violateLocked("odd: %s was accepted, and lacks a field or can never run", id)
		}
		env.acceptLocked(id)
	case 400, 422:
		if known && asked.After(at) {
			env.violateLocked("forgotten: %s was accepted, and a repeated submission of it gets %d", id, status)
		}
	}
}

// placeable says whether a machine type takes a job's tasks and its team's limit allows it.
func (env *Environment) placeable(j records.Job) bool {
	n := 1.0
	if j.Shape != records.ShapeArray {
		n = float64(j.Tasks)
	}
	known := len(env.Teams) == 0 || slices.ContainsFunc(env.Teams, func(t config.Team) bool { return t.Name == j.Team })
	return known && env.withinLimit(j.Team, n*j.CPUs, n*j.GPUs) && slices.ContainsFunc(env.Types, func(t records.MachineType) bool {
		return (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && (j.Zone == nil || len(t.Zones) == 0 || slices.Contains(t.Zones, *j.Zone)) &&
			j.CPUs <= t.CPUs+1e-9 && j.GPUs <= t.GPUs+1e-9 && j.MemGB <= t.MemGB+1e-9
	})
}

// acceptLocked notes that a user was told that there is such a job, with the world locked.
func (env *Environment) acceptLocked(id string) {
	if _, known := env.acceptedAt[id]; !known {
		env.acceptedAt[id] = time.Now()
	}
}

// NoteNotFound checks that a user who asked at some time is told that there is no such job.
func (env *Environment) NoteNotFound(id string, asked time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if at, known := env.acceptedAt[id]; known && asked.After(at) {
		env.violateLocked("forgotten: %s was accepted and is not known", id)
	}
}

// NoteAnswer checks what state of a job a user is told who asked at some time. What anybody was told
// before that binds the answer, whichever controller gives it. It says whether a final state is
// told for the first time.
func (env *Environment) NoteAnswer(id, status string, asked time.Time) (first bool) {
	orphaned, wanted := env.DependencyCancelledFor(id), env.cancelWanted(id)
	j, known := env.LookupJob(id)
	env.mu.Lock()
	defer env.mu.Unlock()
	if !known {
		env.violateLocked("invented: nobody submitted %s, which is called %s", id, status)
	}
	env.acceptLocked(id)
	over := status == records.StatusDone || status == records.StatusCancelled
	switch {
	case status == records.StatusCancelled && !wanted:
		env.violateLocked("went_back: %s is called cancelled, which neither it nor one before it was", id)
	case status != records.StatusCancelled && orphaned > env.CancelLimit:
		env.violateLocked("orphaned: %s is called %s, %v after one before it was cancelled", id, status, orphaned)
	}
	was, ended := env.finalStates[id]
	if ended && was.status != status && (over || asked.After(was.toldAt)) {
		env.violateLocked("went_back: %s was called %s, and is called %s", id, was.status, status)
	}
	if done := len(env.completed[id]); known && status == records.StatusDone && done < j.Tasks {
		env.violateLocked("not_done: %s is called done with %d of %d tasks", id, done, j.Tasks)
	}
	if over && !ended {
		env.finalStates[id] = finalState{status, time.Now()}
	}
	return over && !ended
}

// finalState is a final state, and when a user was first told of it.
type finalState struct {
	status string
	toldAt time.Time
}

// Violations lists what rules were broken.
func (env *Environment) Violations() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return append([]string(nil), env.violations...)
}

// CheckCancelled checks what must not be on machines any more.
func (env *Environment) CheckCancelled() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, m := range env.machines {
		for _, s := range m.tasks {
			id, _ := fleet.ParseTask(s.task)
			at, ok := env.cancelledAt[id.Job]
			// From when it has its image until it exits, also while it waits for its gang or saves.
			if !ok || s.status == "ended" || s.status == "pulling" || m.gone || time.Since(m.leaseStart) > env.Lease {
				continue
			}
			if since := time.Since(at); since > env.CancelLimit {
				env.violateLocked("ran_cancelled: %s still on %s", s.task, m.Name)
			} else {
				env.longestAfterCancel = max(env.longestAfterCancel, since)
			}
		}
	}
}

// checkStartLocked checks the rules when a task starts.
func (env *Environment) checkStartLocked(m *Machine, o fleet.Command, job records.Job) {
	id, _ := fleet.ParseTask(o.Task)
	now := time.Now()
	if at, ok := env.cancelledAt[id.Job]; ok {
		switch since := now.Sub(at); {
		case since > env.CancelLimit:
			env.violateLocked("ran_cancelled: %s started %v after its cancellation", o.Task, since)
		case since > env.MaxCommandDelay:
			env.violateLocked("started_cancelled: %s started %v after its cancellation was confirmed", o.Task, since)
		}
	}
	for _, p := range job.Dependencies {
		if pj, ok := env.LookupJob(p); ok && len(env.completed[p]) < pj.Tasks {
			env.violateLocked("too_early: %s started, %d of %d tasks of %s are done", o.Task, len(env.completed[p]), pj.Tasks, p)
		}
	}
	zones := map[string]int{}
	for s, x := range env.attempts[id.Job] {
		if !x.holdsTasks(now) {
			continue
		}
		if s.task == o.Task && x != m {
			env.violateLocked("ran_twice: %s started on %s while it is on %s", o.Task, m.Name, x.Name)
		}
		zones[x.Zone]++
	}
	if job.OneZone && len(zones) > 1 || job.SpreadZones && zones[m.Zone] > (job.Tasks+1)/2 ||
		job.Zone != nil && *job.Zone != m.Zone || len(job.Types) > 0 && !slices.Contains(job.Types, m.typ.Name) || m.Spot && !job.Spot {
		env.violateLocked("wrong_place: %s on %s", o.Task, m.Name)
	}
	env.checkLimitLocked(job.Team)
}

// holdsTasks says whether what a machine has counts as there: its worker's lease has not ended.
func (m *Machine) holdsTasks(now time.Time) bool {
	return !m.gone && now.Sub(m.leaseStart) <= m.env.Lease
}

// checkLimitLocked checks what a team's tasks use. What still waits for its image counts as well,
// which is stricter than the rule.
func (env *Environment) checkLimitLocked(team string) {
	if len(env.Teams) == 0 {
		return // nobody has one
	}
	if cpus, gpus := env.teamUsageLocked(team); !env.withinLimit(team, cpus, gpus) {
		env.violateLocked("quota: %s uses %g CPUs and %g GPUs", team, cpus, gpus)
	}
}

// teamUsageLocked is what a team's tasks take.
func (env *Environment) teamUsageLocked(team string) (cpus, gpus float64) {
	now := time.Now()
	for _, of := range env.attempts {
		for s, m := range of {
			if s.job.Team == team && m.holdsTasks(now) {
				cpus, gpus = cpus+s.job.CPUs, gpus+s.job.GPUs
			}
		}
	}
	return cpus, gpus
}

// withinLimit says whether a team may use so much.
func (env *Environment) withinLimit(team string, cpus, gpus float64) bool {
	return !slices.ContainsFunc(env.Teams, func(t config.Team) bool {
		return t.Name == team && (t.LimitCPUs > 0 && cpus > t.LimitCPUs+1e-9 || t.LimitGPUs > 0 && gpus > t.LimitGPUs+1e-9)
	})
}
