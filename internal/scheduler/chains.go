package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/dependency"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// link takes a job into the graph.
func (c *Scheduler) link(j *Job) {
	n := dependency.Job{
		ID: j.ID, Dependencies: j.Dependencies, Rank: prioRank[j.Priority],
		// Between the end of one job and the start of the next lies a report.
		Estimate: c.set.HeartbeatInterval + c.fetch(j) + time.Duration(j.EstimateS*likelyRuns*float64(time.Second)),
	}
	if j.DeadlineS != nil {
		times := 1.0
		for _, o := range c.set.Objectives {
			if o.Class == j.Class && o.Kind == config.KindDeadline {
				times = max(times, o.Times)
			}
		}
		n.Deadline = j.after(*j.DeadlineS)
		n.LatestEnd = j.after(*j.DeadlineS * times)
	}
	c.chain.Add(n)
	c.follow()
}

// after is a time of day, by seconds from the job's acceptance.
func (j *Job) after(s float64) time.Time {
	return time.UnixMilli(j.AcceptedMS).Add(time.Duration(s * float64(time.Second)))
}

// left is the reverse: seconds from the job's base to a time of day.
func (j *Job) left(t time.Time) float64 {
	return t.Sub(time.UnixMilli(j.AcceptedMS)).Seconds() - j.waited()
}

// waited is for how many seconds, from its acceptance, a job waited for others.
func (j *Job) waited() float64 { return j.base.Sub(j.Accepted).Seconds() }

// follow takes over what has changed in the graph.
func (c *Scheduler) follow() {
	for _, id := range c.chain.Changed() {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		j.waits, j.terms = c.chain.Blocked(id), c.chain.Urgency(id)
		// A version that knew of no chains wrote no time: then it counts from the
		// acceptance, as for any job.
		j.base, j.since = j.Accepted, j.Revision
		if at := c.chain.Released(id); !j.waits && !at.IsZero() {
			j.base = j.Accepted.Add(max(at.Sub(time.UnixMilli(j.AcceptedMS)), 0))
			c.served.ResetWait(j.ID, j.base)
		}
		if !j.waits {
			j.since = max(j.Revision, c.chain.NotBefore(id))
		}
		if j.since > c.term {
			c.trust(j) // nobody can have started any of it before
		}
		j.targets = c.targets(j)
		c.choosy(j)
		c.resort, c.dirty = true, true
	}
}

// choosy sets which machines a job's tasks prefer. What is urgent for a chain's sake and
// cannot save goes where the cloud does not take machines, even before its image: one
// task lost of many begins anew, and all jobs behind wait for it.
func (c *Scheduler) choosy(j *Job) {
	j.prefer = []string{fleet.ImageLabel(j.Image), fleet.SpotLabel}
	linked := len(j.Dependencies) > 0 || j.terms.Rank < prioRank[j.Priority]
	if linked && j.terms.Rank < prioRank[records.PriorityStandard] && j.CheckpointS == 0 {
		j.prefer = []string{fleet.OnDemandLabel, fleet.ImageLabel(j.Image)}
	}
}

// NoteClosed notes what the store says for good of a job, when it was done, and at which
// revision that was stored.
func (c *Scheduler) NoteClosed(id string, o records.ClosedJob, stamp uint64) {
	var at time.Time
	if o.AtMS > 0 {
		at = time.UnixMilli(o.AtMS)
	}
	switch o.Status {
	case records.StatusDone:
		c.chain.SetFinal(id, dependency.Done, at, stamp)
	case records.StatusCancelled:
		c.chain.SetFinal(id, dependency.Cancelled, at, stamp)
	}
	c.CloseJob(id)
}

// finish moves a job to the over records.
func (c *Scheduler) finish(j *Job, o records.ClosedJob) PendingWrite {
	j.finishing = true
	o.Tasks = j.Tasks
	return PendingWrite{
		Ops: []records.Op{
			{Delete: records.OpenKey(j.ID)},
			{Write: records.ClosedKey(j.ID), Value: o},
		},
		Compares: []records.Compare{{Key: records.OpenKey(j.ID), Revision: j.Revision}}, OwnKey: records.OpenKey(j.ID),
		OnStored: func(stamp uint64) {
			slog.Debug("job over", "job", j.ID, "class", j.Class, "status", o.Status, "after", j.Dependencies,
				"waited_s", j.waited(), "took_s", time.Since(j.base).Seconds(), "due_s", j.left(j.terms.Deadline), "term", c.term)
			c.NoteClosed(j.ID, o, stamp)
		},
		// Guards against taking a job for cancelled that is done: its open record is
		// gone because its user cancelled it, or because this very write went through
		// before and its answer was lost. Only the over record tells; until it is
		// read, nothing behind the job starts or is cancelled.
		OnConflict: func() { c.CloseJob(j.ID) },
	}
}

// UnreadDependencies lists the jobs of which it is not known what has become of them, and that open
// ones name.
func (c *Scheduler) UnreadDependencies() []string { return c.chain.Unread() }

// HasCascade says whether any job is to be cancelled with one before it.
func (c *Scheduler) HasCascade() bool { return len(c.chain.ToCancel()) > 0 }

// DependenciesClear says whether no job before this one is known to be cancelled.
func (c *Scheduler) DependenciesClear(id string) bool { return c.chain.Clear(id) }
