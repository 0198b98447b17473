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
func (c *Core) link(j *Job) {
	n := dependency.Job{
		ID: j.ID, Needs: j.Prereqs, Rank: prioRank[j.Priority],
		// Between the end of one job and the start of the next lies a report.
		Takes: c.set.Report + c.fetch(j) + time.Duration(j.EstimateS*likelyRuns*float64(time.Second)),
	}
	if j.DeadlineS != nil {
		times := 1.0
		for _, o := range c.set.Objectives {
			if o.Class == j.Class && o.Kind == config.KindDeadline {
				times = max(times, o.Times)
			}
		}
		n.Due = j.after(*j.DeadlineS)
		n.Last = j.after(*j.DeadlineS * times)
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
func (c *Core) follow() {
	for _, id := range c.chain.Changed() {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		j.waits, j.terms = c.chain.Waits(id), c.chain.Terms(id)
		// A version that knew of no chains wrote no time: then it counts from the
		// acceptance, as for any job.
		j.base, j.since = j.Accepted, j.Stamp
		if at := c.chain.Released(id); !j.waits && !at.IsZero() {
			j.base = j.Accepted.Add(max(at.Sub(time.UnixMilli(j.AcceptedMS)), 0))
			c.served.Since(j.ID, j.base)
		}
		if !j.waits {
			j.since = max(j.Stamp, c.chain.Since(id))
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
func (c *Core) choosy(j *Job) {
	j.prefer = []string{fleet.ImageMark(j.Image), fleet.SpotMark}
	linked := len(j.Prereqs) > 0 || j.terms.Rank < prioRank[j.Priority]
	if linked && j.terms.Rank < prioRank[records.PrioNormal] && j.CheckpointS == 0 {
		j.prefer = []string{fleet.FirmMark, fleet.ImageMark(j.Image)}
	}
}

// Over notes what the store says for good of a job, when it was done, and at which
// revision that was stored.
func (c *Core) Over(id string, o records.Over, stamp uint64) {
	var at time.Time
	if o.AtMS > 0 {
		at = time.UnixMilli(o.AtMS)
	}
	switch o.Status {
	case records.StatusDone:
		c.chain.End(id, dependency.Done, at, stamp)
	case records.StatusCancelled:
		c.chain.End(id, dependency.Cancelled, at, stamp)
	}
	c.CloseJob(id)
}

// finish moves a job to the over records.
func (c *Core) finish(j *Job, o records.Over) Write {
	j.finishing = true
	o.Tasks = j.Tasks
	return Write{
		Ops: []records.Op{
			{Delete: records.OpenKey(j.ID)},
			{Write: records.OverKey(j.ID), Value: o},
		},
		When: []records.Cond{{Key: records.OpenKey(j.ID), Stamp: j.Stamp}}, Key: records.OpenKey(j.ID),
		Apply: func(stamp uint64) {
			slog.Debug("job over", "job", j.ID, "class", j.Class, "status", o.Status, "after", j.Prereqs,
				"waited_s", j.waited(), "took_s", time.Since(j.base).Seconds(), "due_s", j.left(j.terms.Due), "term", c.term)
			c.Over(j.ID, o, stamp)
		},
		// Guards against taking a job for cancelled that is done: its open record is
		// gone because its user cancelled it, or because this very write went through
		// before and its answer was lost. Only the over record tells; until it is
		// read, nothing behind the job starts or is cancelled.
		Lost: func() { c.CloseJob(j.ID) },
	}
}

// Unread lists the jobs of which it is not known what has become of them, and that open
// ones name.
func (c *Core) Unread() []string { return c.chain.Unread() }

// Doomed says whether any job is to be cancelled with one before it.
func (c *Core) Doomed() bool { return len(c.chain.Doomed()) > 0 }

// Clear says whether no job before this one is known to be cancelled.
func (c *Core) Clear(id string) bool { return c.chain.Clear(id) }
