package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/dependency"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// addDependencies adds a job to the dependency graph, and updates the jobs that this affects.
func (s *Scheduler) addDependencies(job *Job) {
	node := dependency.Job{
		ID: job.ID, Dependencies: job.Dependencies, Rank: priorityRank[job.Priority],
		// A dependent starts about one heartbeat interval after its last dependency has ended.
		Estimate: s.settings.HeartbeatInterval + s.fetchTime(job) + time.Duration(job.EstimateS*likelyRunFactor*float64(time.Second)),
	}
	if job.DeadlineS != nil {
		node.Deadline = job.deadlineAt(*job.DeadlineS)
		node.LatestEnd = job.deadlineAt(*job.DeadlineS * s.maxDeadlineFactor(job.Class))
	}
	s.dependencies.Add(node)
	s.applyDependencyChanges()
}

// BatchJobs calls f, which adds and closes jobs, and updates the jobs that inherit priorities and deadlines
// only afterwards, once. Without it, the load of a large dependency graph could take longer than leases.
func (s *Scheduler) BatchJobs(f func()) {
	s.dependencies.Batch(f)
	s.applyDependencyChanges()
}

// maxDeadlineFactor returns the largest multiple of the deadline that any objective allows jobs of
// the class to take; at least 1.
func (s *Scheduler) maxDeadlineFactor(class string) float64 {
	factor := 1.0
	for _, o := range s.settings.Objectives {
		if o.Class == class && o.Kind == config.KindDeadline {
			factor = max(factor, o.DeadlineFactor)
		}
	}
	return factor
}

// deadlineAt converts seconds since the job's acceptance to wall-clock time.
func (j *Job) deadlineAt(s float64) time.Time {
	return time.UnixMilli(j.AcceptedMS).Add(time.Duration(s * float64(time.Second)))
}

// secondsFromRelease converts wall-clock time to seconds since the job's release.
func (j *Job) secondsFromRelease(t time.Time) float64 {
	return t.Sub(time.UnixMilli(j.AcceptedMS)).Seconds() - j.blockedSeconds()
}

// blockedSeconds returns the time from the job's acceptance to its release, in seconds.
func (j *Job) blockedSeconds() float64 { return j.releasedAt.Sub(j.Accepted).Seconds() }

// applyDependencyChanges updates the jobs whose state in the dependency graph has changed.
func (s *Scheduler) applyDependencyChanges() {
	for _, id := range s.dependencies.Changed() {
		job := s.jobs[id]
		if job == nil {
			continue
		}
		job.blocked, job.precedence = s.dependencies.Blocked(id), s.dependencies.Precedence(id)
		// Versions without dependencies wrote closed records without the time. If the last
		// dependency has such a record, waiting time counts from the acceptance, as for a job
		// without dependencies.
		job.releasedAt, job.earliestStartRevision = job.Accepted, job.Revision
		if at := s.dependencies.ReleasedAt(id); !job.blocked && !at.IsZero() {
			job.releasedAt = job.Accepted.Add(max(at.Sub(time.UnixMilli(job.AcceptedMS)), 0))
			s.slo.ResetWait(job.ID, job.releasedAt)
		}
		if !job.blocked {
			job.earliestStartRevision = max(job.Revision, s.dependencies.EarliestStartRevision(id))
		}
		if job.earliestStartRevision > s.term {
			s.clearUncertain(job) // no earlier term can have started any of its tasks
		}
		job.targets = s.completionTargets(job)
		s.choosePreferredLabels(job)
		s.queueStale, s.placementStale = true, true
	}
}

// choosePreferredLabels sets which machines a job's tasks prefer. An urgent job in a dependency chain
// that saves no checkpoints prefers on-demand machines, even to machines that have its image: a
// preempted task would start from the beginning while all dependents wait.
func (s *Scheduler) choosePreferredLabels(j *Job) {
	j.preferredLabels = []string{fleet.ImageLabel(j.Image), fleet.SpotLabel}
	inChain := len(j.Dependencies) > 0 || j.precedence.Rank < priorityRank[j.Priority]
	if inChain && j.precedence.Rank < priorityRank[records.PriorityStandard] && j.CheckpointS == 0 {
		j.preferredLabels = []string{fleet.OnDemandLabel, fleet.ImageLabel(j.Image)}
	}
}

// ApplyClosedRecord applies the closed record of a job, which has the given revision, to the
// dependency graph and closes the job.
func (s *Scheduler) ApplyClosedRecord(id string, closed records.ClosedJob, revision uint64) {
	var at time.Time
	if closed.AtMS > 0 {
		at = time.UnixMilli(closed.AtMS)
	}
	switch closed.Status {
	case records.StatusDone:
		s.dependencies.SetFinal(id, dependency.Done, at, revision)
	case records.StatusCancelled:
		s.dependencies.SetFinal(id, dependency.Cancelled, at, revision)
	}
	s.CloseJob(id)
}

// closeJobWrite returns the write that replaces the open record of a job by a closed one.
// It marks the job as closing, so that no more of its tasks start.
func (s *Scheduler) closeJobWrite(job *Job, closed records.ClosedJob) PendingWrite {
	job.closing = true
	closed.Tasks = job.Tasks
	return PendingWrite{
		Ops: []records.Op{
			{Delete: records.OpenKey(job.ID)},
			{Write: records.ClosedKey(job.ID), Value: closed},
		},
		Compares: []records.Compare{{Key: records.OpenKey(job.ID), Revision: job.Revision}},
		GuardKey: records.OpenKey(job.ID),
		OnStored: func(revision uint64) {
			s.logClosed(job, closed)
			s.ApplyClosedRecord(job.ID, closed, revision)
		},
		// On a conflict the open record is gone: either a user cancelled the job, or an earlier try
		// of this write was stored and its answer was lost. Only the closed record shows which;
		// until it is read, no dependent starts or is cancelled. Otherwise a completed job could
		// count as cancelled.
		OnConflict: func() { s.CloseJob(job.ID) },
	}
}

func (s *Scheduler) logClosed(job *Job, closed records.ClosedJob) {
	message := "job done"
	if closed.Status == records.StatusCancelled {
		message = "job cancelled"
	}
	slog.Debug(message, "job", job.ID, "class", job.Class, "dependencies", job.Dependencies,
		"waited_s", job.blockedSeconds(), "took_s", time.Since(job.releasedAt).Seconds(),
		"due_s", job.secondsFromRelease(job.precedence.Deadline), "term", s.term)
}

// UnreadDependencies returns the IDs of dependencies of open jobs that are in an unknown state. The
// caller has to read their records.
func (s *Scheduler) UnreadDependencies() []string { return s.dependencies.UnknownJobs() }

// HasJobsToCancel reports whether any job has to be cancelled because one of its dependencies was.
func (s *Scheduler) HasJobsToCancel() bool { return len(s.dependencies.ToCancel()) > 0 }

// DependenciesClear reports whether none of an open job's direct and indirect dependencies is
// cancelled or in an unknown state.
func (s *Scheduler) DependenciesClear(id string) bool { return s.dependencies.DependenciesClear(id) }
