package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/dependency"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// addDependencies adds a job to the graph.
func (s *Scheduler) addDependencies(job *Job) {
	node := dependency.Job{
		ID: job.ID, Dependencies: job.Dependencies, Rank: priorityRank[job.Priority],
		// Between the end of one job and the start of the next lies a heartbeat.
		Estimate: s.settings.HeartbeatInterval + s.fetchTime(job) + time.Duration(job.EstimateS*likelyRunFactor*float64(time.Second)),
	}
	if job.DeadlineS != nil {
		node.Deadline = job.deadlineAt(*job.DeadlineS)
		node.LatestEnd = job.deadlineAt(*job.DeadlineS * s.maxDeadlineFactor(job.Class))
	}
	s.dependencies.Add(node)
	s.applyDependencyChanges()
}

// maxDeadlineFactor returns how many times its deadline a job of a class may take by the laxest
// objective, once at least.
func (s *Scheduler) maxDeadlineFactor(class string) float64 {
	times := 1.0
	for _, o := range s.settings.Objectives {
		if o.Class == class && o.Kind == config.KindDeadline {
			times = max(times, o.Times)
		}
	}
	return times
}

// deadlineAt converts seconds from the job's acceptance to a time of day.
func (j *Job) deadlineAt(s float64) time.Time {
	return time.UnixMilli(j.AcceptedMS).Add(time.Duration(s * float64(time.Second)))
}

// secondsFromRelease converts a time of day to seconds from the job's release.
func (j *Job) secondsFromRelease(t time.Time) float64 {
	return t.Sub(time.UnixMilli(j.AcceptedMS)).Seconds() - j.blockedSeconds()
}

// blockedSeconds is for how many seconds, from its acceptance, a job waited for its dependencies.
func (j *Job) blockedSeconds() float64 { return j.releasedAt.Sub(j.Accepted).Seconds() }

// applyDependencyChanges applies to the jobs what has changed in the graph.
func (s *Scheduler) applyDependencyChanges() {
	for _, id := range s.dependencies.Changed() {
		job := s.jobs[id]
		if job == nil {
			continue
		}
		job.blocked, job.precedence = s.dependencies.Blocked(id), s.dependencies.Precedence(id)
		// A version that knew of no dependencies wrote no time: then it counts from the acceptance, as for
		// any job.
		job.releasedAt, job.earliestStartRevision = job.Accepted, job.Revision
		if at := s.dependencies.ReleasedAt(id); !job.blocked && !at.IsZero() {
			job.releasedAt = job.Accepted.Add(max(at.Sub(time.UnixMilli(job.AcceptedMS)), 0))
			s.slo.ResetWait(job.ID, job.releasedAt)
		}
		if !job.blocked {
			job.earliestStartRevision = max(job.Revision, s.dependencies.EarliestStartRevision(id))
		}
		if job.earliestStartRevision > s.term {
			s.clearUncertain(job) // no earlier term can have started any of it
		}
		job.targets = s.completionTargets(job)
		s.choosePreferredLabels(job)
		s.queueStale, s.placementStale = true, true
	}
}

// choosePreferredLabels sets which machines a job's tasks prefer. What is urgent for its dependents' sake
// and saves no checkpoints goes where the cloud does not take machines back, even before where its
// image is: one lost task of many starts again, and all dependents wait for it.
func (s *Scheduler) choosePreferredLabels(j *Job) {
	j.preferredLabels = []string{fleet.ImageLabel(j.Image), fleet.SpotLabel}
	linked := len(j.Dependencies) > 0 || j.precedence.Rank < priorityRank[j.Priority]
	if linked && j.precedence.Rank < priorityRank[records.PriorityStandard] && j.CheckpointS == 0 {
		j.preferredLabels = []string{fleet.OnDemandLabel, fleet.ImageLabel(j.Image)}
	}
}

// ApplyClosedRecord notes that a job is closed for good, as its record says, and the revision of that record.
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

// closeJobWrite returns the write that moves a job to the closed records.
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
		// The open record is gone because the user cancelled the job, or because this very write went
		// through before and its answer was lost. Only the closed record tells which; until it is read,
		// no dependent starts or is cancelled. Without this, a job that is done could be taken for
		// cancelled.
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

// UnreadDependencies lists the jobs that open jobs depend on and of which it is not known whether they
// are done or cancelled.
func (s *Scheduler) UnreadDependencies() []string { return s.dependencies.UnknownJobs() }

// HasJobsToCancel reports whether any job is to be cancelled because one it depends on was.
func (s *Scheduler) HasJobsToCancel() bool { return len(s.dependencies.ToCancel()) > 0 }

// DependenciesClear reports whether no job that this one depends on is known to be cancelled.
func (s *Scheduler) DependenciesClear(id string) bool { return s.dependencies.Unobstructed(id) }
