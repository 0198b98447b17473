package simulation

import (
	"net/http"
	"slices"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// finalState is a final state, and when a user was first told of it.
type finalState struct {
	status     string
	reportedAt time.Time
}

// RecordCancelRequest notes that a user asks to cancel a job.
func (env *Environment) RecordCancelRequest(id string) {
	env.mu.Lock()
	env.cancelRequested[id] = true
	env.mu.Unlock()
}

// RecordCancelConfirmation notes that a user was told that a job is cancelled.
func (env *Environment) RecordCancelConfirmation(id string) {
	env.mu.Lock()
	if _, ok := env.cancelledAt[id]; !ok {
		env.cancelledAt[id] = time.Now()
	}
	env.mu.Unlock()
}

// mayBeCancelled reports whether a user asked to cancel a job, or one that it depends on.
func (env *Environment) mayBeCancelled(id string) bool {
	env.mu.Lock()
	_, confirmed := env.cancelledAt[id]
	requested := env.cancelRequested[id] || confirmed
	env.mu.Unlock()
	j, _ := env.LookupJob(id)
	return requested || slices.ContainsFunc(j.Dependencies, env.mayBeCancelled)
}

// DependencyCancelledFor returns for how long a user has known that a job that this one depends on is cancelled.
func (env *Environment) DependencyCancelledFor(id string) time.Duration {
	j, _ := env.LookupJob(id)
	var longest time.Duration
	for _, dependency := range j.Dependencies {
		longest = max(longest, env.DependencyCancelledFor(dependency))
		env.mu.Lock()
		if at, ok := env.cancelledAt[dependency]; ok {
			longest = max(longest, time.Since(at))
		}
		env.mu.Unlock()
	}
	return longest
}

// CheckSubmission checks the status that a user gets for a submission that was sent at a time.
func (env *Environment) CheckSubmission(id string, status int, sent time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	at, known := env.acceptedAt[id]
	switch status {
	case http.StatusOK, http.StatusCreated:
		if status == http.StatusCreated && known && sent.After(at) {
			env.recordViolationLocked("went_back: %s was accepted, and a repeated submission of it is taken for a new job", id)
		}
		if j, ok := env.LookupJob(id); !ok || !env.placeable(j) {
			env.recordViolationLocked("odd: %s was accepted, and lacks a field or can never run", id)
		}
		env.recordAcceptedLocked(id)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if known && sent.After(at) {
			env.recordViolationLocked("forgotten: %s was accepted, and a repeated submission of it gets %d", id, status)
		}
	}
}

// placeable reports whether a machine type takes a job's tasks and its team's limit allows it.
func (env *Environment) placeable(j records.Job) bool {
	atOnce := 1.0 // tasks that have to run at a time
	if j.Shape != records.ShapeArray {
		atOnce = float64(j.Tasks)
	}
	teamKnown := len(env.Teams) == 0 ||
		slices.ContainsFunc(env.Teams, func(t config.Team) bool { return t.Name == j.Team })
	return teamKnown && env.withinLimit(j.Team, atOnce*j.CPUs, atOnce*j.GPUs) &&
		slices.ContainsFunc(env.Types, func(t records.MachineType) bool { return fits(j, t) })
}

// fits reports whether a machine type takes a job's tasks.
func fits(j records.Job, t records.MachineType) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) &&
		(j.Zone == nil || len(t.Zones) == 0 || slices.Contains(t.Zones, *j.Zone)) &&
		j.CPUs <= t.CPUs+epsilon && j.GPUs <= t.GPUs+epsilon && j.MemGB <= t.MemGB+epsilon
}

// recordAcceptedLocked notes that a user was told that there is such a job.
func (env *Environment) recordAcceptedLocked(id string) {
	if _, known := env.acceptedAt[id]; !known {
		env.acceptedAt[id] = time.Now()
	}
}

// CheckNotFound checks that a user who asked at a time may be told that there is no such job.
func (env *Environment) CheckNotFound(id string, asked time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if at, known := env.acceptedAt[id]; known && asked.After(at) {
		env.recordViolationLocked("forgotten: %s was accepted and is not known", id)
	}
}

// CheckAnswer checks the state of a job that a user is told who asked at a time. What anybody was told before that
// binds the answer, whichever controller gives it. It reports whether a final state is told for the first time.
func (env *Environment) CheckAnswer(id, status string, asked time.Time) (first bool) {
	orphanedFor, cancelWanted := env.DependencyCancelledFor(id), env.mayBeCancelled(id)
	j, known := env.LookupJob(id)
	env.mu.Lock()
	defer env.mu.Unlock()
	if !known {
		env.recordViolationLocked("invented: nobody submitted %s, which is called %s", id, status)
	}
	env.recordAcceptedLocked(id)
	final := status == records.StatusDone || status == records.StatusCancelled
	switch {
	case status == records.StatusCancelled && !cancelWanted:
		env.recordViolationLocked("went_back: %s is called cancelled, which neither it nor one before it was", id)
	case status != records.StatusCancelled && orphanedFor > env.CancelLimit:
		env.recordViolationLocked("orphaned: %s is called %s, %v after one before it was cancelled", id, status, orphanedFor)
	}
	was, ended := env.finalStates[id]
	if ended && was.status != status && (final || asked.After(was.reportedAt)) {
		env.recordViolationLocked("went_back: %s was called %s, and is called %s", id, was.status, status)
	}
	if done := len(env.completed[id]); known && status == records.StatusDone && done < j.Tasks {
		env.recordViolationLocked("not_done: %s is called done with %d of %d tasks", id, done, j.Tasks)
	}
	if final && !ended {
		env.finalStates[id] = finalState{status, time.Now()}
	}
	return final && !ended
}
