package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/dependency"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// addDependencies takes a job into the graph.
func (s *Scheduler) addDependencies(job *Job) {
	n := dependency.Job{
		ID: job.ID, Dependencies: job.Dependencies, Rank: priorityRank[job.Priority],
		// Between the end of one job and the start of the next lies a report.
		Estimate: s.settings.HeartbeatInterval + s.fetchTime(job) + time.Duration(job.EstimateS*likelyRuns*float64(time.Second)),
	}
	if job.DeadlineS != nil {
		times := 1.0
		for _, o := range s.settings.Objectives {
			if o.Class == job.Class && o.Kind == config.KindDeadline {
				times = max(times, o.Times)
			}
		}
		n.Deadline = job.deadlineAt(*job.DeadlineS)
		n.LatestEnd = job.deadlineAt(*job.DeadlineS * times)
	}
	s.dependencies.Add(n)
	s.applyDependencyChanges()
}

// deadlineAt is a time of day, by seconds from the job's acceptance.
func (j *Job) deadlineAt(s float64) time.Time {
	return time.UnixMilli(j.AcceptedMS).Add(time.Duration(s * float64(time.Second)))
}

// secondsUntil is the reverse: seconds from the job's base to a time of day.
func (j *Job) secondsUntil(t time.Time) float64 {
	return t.Sub(time.UnixMilli(j.AcceptedMS)).Seconds() - j.blockedSeconds()
}

// blockedSeconds is for how many seconds, from its acceptance, a job waited for others.
func (j *Job) blockedSeconds() float64 { return j.releasedAt.Sub(j.Accepted).Seconds() }

// applyDependencyChanges takes over what has changed in the graph.
func (s *Scheduler) applyDependencyChanges() {
	for _, id := range s.dependencies.Changed() {
		job := s.jobs[id]
		if job == nil {
			continue
		}
		job.blocked, job.urgency = s.dependencies.Blocked(id), s.dependencies.Urgency(id)
		// A version that knew of no chains wrote no time: then it counts from the
		// acceptance, as for any job.
		job.releasedAt, job.notStartedBefore = job.Accepted, job.Revision
		if at := s.dependencies.Released(id); !job.blocked && !at.IsZero() {
			job.releasedAt = job.Accepted.Add(max(at.Sub(time.UnixMilli(job.AcceptedMS)), 0))
			s.slo.ResetWait(job.ID, job.releasedAt)
		}
		if !job.blocked {
			job.notStartedBefore = max(job.Revision, s.dependencies.NotBefore(id))
		}
		if job.notStartedBefore > s.term {
			s.clearUncertain(job) // nobody can have started any of it before
		}
		job.targets = s.completionTargets(job)
		s.choosePreferences(job)
		s.queueStale, s.placementStale = true, true
	}
}

// choosePreferences sets which machines a job's tasks prefer. What is urgent for a chain's sake and
// cannot save goes where the cloud does not take machines, even before its image: one
// task lost of many begins anew, and all jobs behind wait for it.
func (s *Scheduler) choosePreferences(j *Job) {
	j.preferLabels = []string{fleet.ImageLabel(j.Image), fleet.SpotLabel}
	linked := len(j.Dependencies) > 0 || j.urgency.Rank < priorityRank[j.Priority]
	if linked && j.urgency.Rank < priorityRank[records.PriorityStandard] && j.CheckpointS == 0 {
		j.preferLabels = []string{fleet.OnDemandLabel, fleet.ImageLabel(j.Image)}
	}
}

// NoteClosed notes what the store says for good of a job, when it was done, and at which
// revision that was stored.
func (s *Scheduler) NoteClosed(id string, closed records.ClosedJob, revision uint64) {
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

// closeJobWrite moves a job to the over records.
func (s *Scheduler) closeJobWrite(job *Job, o records.ClosedJob) PendingWrite {
	job.closing = true
	o.Tasks = job.Tasks
	return PendingWrite{
		Ops: []records.Op{
			{Delete: records.OpenKey(job.ID)},
			{Write: records.ClosedKey(job.ID), Value: o},
		},
		Compares: []records.Compare{{Key: records.OpenKey(job.ID), Revision: job.Revision}}, OwnKey: records.OpenKey(job.ID),
		OnStored: func(stamp uint64) {
			slog.Debug("job over", "job", job.ID, "class", job.Class, "status", o.Status, "after", job.Dependencies,
				"waited_s", job.blockedSeconds(), "took_s", time.Since(job.releasedAt).Seconds(), "due_s", job.secondsUntil(job.urgency.Deadline), "term", s.term)
			s.NoteClosed(job.ID, o, stamp)
		},
		// Guards against taking a job for cancelled that is done: its open record is
		// gone because its user cancelled it, or because this very write went through
		// before and its answer was lost. Only the over record tells; until it is
		// read, nothing behind the job starts or is cancelled.
		OnConflict: func() { s.CloseJob(job.ID) },
	}
}

// UnreadDependencies lists the jobs of which it is not known what has become of them, and that open
// ones name.
func (s *Scheduler) UnreadDependencies() []string { return s.dependencies.Unread() }

// HasCascade says whether any job is to be cancelled with one before it.
func (s *Scheduler) HasCascade() bool { return len(s.dependencies.ToCancel()) > 0 }

// DependenciesClear says whether no job before this one is known to be cancelled.
func (s *Scheduler) DependenciesClear(id string) bool { return s.dependencies.Clear(id) }
