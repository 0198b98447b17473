package simulation

import (
	"net/http"
	"slices"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// finalState is a job's final state and when a response first reported it.
type finalState struct {
	status     string
	reportedAt time.Time
}

// RecordCancelRequest records that a user asks to cancel a job.
func (env *Environment) RecordCancelRequest(id string) {
	env.mu.Lock()
	env.cancelRequested[id] = true
	env.mu.Unlock()
}

// RecordCancelConfirmation records that a response reported a job as cancelled.
func (env *Environment) RecordCancelConfirmation(id string) {
	env.mu.Lock()
	if _, ok := env.cancelledAt[id]; !ok {
		env.cancelledAt[id] = time.Now()
	}
	env.mu.Unlock()
}

// mayBeCancelled reports whether a user asked to cancel a job or one of its direct or indirect dependencies. The caller
// must not hold env.mu.
func (env *Environment) mayBeCancelled(id string) bool {
	env.mu.Lock()
	_, confirmed := env.cancelledAt[id]
	requested := env.cancelRequested[id] || confirmed
	env.mu.Unlock()
	j, _ := env.LookupJob(id)
	return requested || slices.ContainsFunc(j.Dependencies, env.mayBeCancelled)
}

// DependencyCancelledFor returns the longest time since a response first reported a direct or indirect dependency of a
// job as cancelled. It returns 0 if no response has reported one as cancelled.
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

// CheckSubmission checks the HTTP status of the response to a user's submission. sent is when the user sent it.
func (env *Environment) CheckSubmission(id string, status int, sent time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	at, known := env.acceptedAt[id]
	switch status {
	case http.StatusOK, http.StatusCreated:
		if status == http.StatusCreated && known && sent.After(at) {
			env.recordViolationLocked("went_back: %s was accepted, and a repeated submission of it was answered as a new job", id)
		}
		if j, ok := env.LookupJob(id); !ok || !env.placeable(j) {
			env.recordViolationLocked("odd: %s was accepted, but it lacks a field or can never run", id)
		}
		env.recordAcceptedLocked(id)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if known && sent.After(at) {
			env.recordViolationLocked("forgotten: %s was accepted, and a repeated submission of it was answered with status %d", id, status)
		}
	}
}

// placeable reports whether a job can ever run: a machine type fits its tasks, its team exists, and the limit of its
// team allows the tasks that must run at the same time.
func (env *Environment) placeable(j records.Job) bool {
	concurrentTasks := 1.0 // tasks that must run at the same time
	if j.Shape != records.ShapeArray {
		concurrentTasks = float64(j.Tasks)
	}
	teamKnown := len(env.Teams) == 0 ||
		slices.ContainsFunc(env.Teams, func(t config.Team) bool { return t.Name == j.Team })
	return teamKnown && env.withinLimit(j.Team, concurrentTasks*j.CPUs, concurrentTasks*j.GPUs) &&
		slices.ContainsFunc(env.Types, func(t records.MachineType) bool { return fits(j, t) })
}

// fits reports whether a job's tasks fit a machine type.
func fits(j records.Job, t records.MachineType) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) &&
		(j.Zone == nil || len(t.Zones) == 0 || slices.Contains(t.Zones, *j.Zone)) &&
		j.CPUs <= t.CPUs+epsilon && j.GPUs <= t.GPUs+epsilon && j.MemGB <= t.MemGB+epsilon
}

// recordAcceptedLocked records that a response reported a job as known.
func (env *Environment) recordAcceptedLocked(id string) {
	if _, known := env.acceptedAt[id]; !known {
		env.acceptedAt[id] = time.Now()
	}
}

// CheckNotFound checks a response that a job is not found, to a request sent at the time asked. No response received
// before that time may have reported the job as known.
func (env *Environment) CheckNotFound(id string, asked time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if at, known := env.acceptedAt[id]; known && asked.After(at) {
		env.recordViolationLocked("forgotten: %s was accepted and is not found", id)
	}
}

// CheckJobState checks the job state in the response to a request sent at the time asked. The state must be consistent
// with all responses received before that time, from any controller. Two different final states are a violation in any
// order. first reports that this is the first response with a final state of the job.
func (env *Environment) CheckJobState(id, status string, asked time.Time) (first bool) {
	dependencyCancelledFor, mayBeCancelled := env.DependencyCancelledFor(id), env.mayBeCancelled(id)
	j, known := env.LookupJob(id)
	env.mu.Lock()
	defer env.mu.Unlock()
	if !known {
		env.recordViolationLocked("invented: nobody submitted %s, which is reported as %s", id, status)
	}
	env.recordAcceptedLocked(id)
	final := status == records.StatusDone || status == records.StatusCancelled
	switch {
	case status == records.StatusCancelled && !mayBeCancelled:
		env.recordViolationLocked("went_back: %s is reported as cancelled, but neither it nor a dependency was cancelled", id)
	case status != records.StatusCancelled && dependencyCancelledFor > env.CancelLimit:
		env.recordViolationLocked("orphaned: %s is reported as %s, %v after a dependency was cancelled", id, status, dependencyCancelledFor)
	}
	previous, ended := env.finalStates[id]
	if ended && previous.status != status && (final || asked.After(previous.reportedAt)) {
		env.recordViolationLocked("went_back: %s was reported as %s, and is now reported as %s", id, previous.status, status)
	}
	if done := len(env.completed[id]); known && status == records.StatusDone && done < j.Tasks {
		env.recordViolationLocked("not_done: %s is reported as done with %d of %d tasks done", id, done, j.Tasks)
	}
	if final && !ended {
		env.finalStates[id] = finalState{status, time.Now()}
	}
	return final && !ended
}
