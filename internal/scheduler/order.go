package scheduler

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

var prioRank = map[string]int{
	records.PriorityCritical: 0, records.PriorityUrgent: 1, records.PriorityStandard: 2, records.PriorityLow: 3,
}

// queue returns the open jobs in the order in which they are served.
func (c *Scheduler) queue(now time.Time) []*Job {
	if c.resort {
		c.resort = false
		c.sorted = c.sorted[:0]
		for _, j := range c.jobs {
			// A job that waits for others is in no order, and thereby in no guarantee,
			// reservation, rental plan or preemption.
			if !j.waits {
				c.sorted = append(c.sorted, j)
			}
		}
		sort.Slice(c.sorted, func(a, b int) bool {
			x, y := c.sorted[a], c.sorted[b]
			if !x.base.Equal(y.base) {
				return x.base.Before(y.base)
			}
			return x.ID < y.ID
		})
		c.guarantees(now)
		c.turns(now)
		sort.SliceStable(c.sorted, func(a, b int) bool { return before(c.sorted[a], c.sorted[b]) })
		c.order = newPlacingOrder(c.sorted, c.fetch)
		c.chooseSavers()
	}
	return c.sorted
}

// before says whether a job is served before another.
func before(x, y *Job) bool {
	if d := precedence(x, y); d != 0 {
		return d < 0
	}
	return x.turn.Before(y.turn)
}

// precedence orders jobs by what goes before any turn: what is owed its room, of this what
// can still begin in time, and rank.
func precedence(x, y *Job) int {
	switch {
	case x.guaranteed != y.guaranteed:
		return first(x.guaranteed)
	case x.inTime != y.inTime:
		return first(x.inTime)
	}
	return cmp.Compare(x.rank, y.rank)
}

// first is the order of two of whom one goes first.
func first(is bool) int {
	if is {
		return -1
	}
	return 1
}

// fetch is how long a machine that suits a job, and has room for its tasks at all, takes to
// fetch its image.
func (c *Scheduler) fetch(j *Job) time.Duration {
	rate := 0.0
	for name, t := range c.types {
		if j.allowsType(name) && c.capacity(name).Fits(j.req) {
			rate = max(rate, t.FetchGBps)
		}
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(j.ImageGB / rate * float64(time.Second))
}

// turns orders the jobs. Critical and urgent work goes before the rest; within
// that, a job's turn is its acceptance, put off by a share of the time that its
// class's next objective leaves it, and by as much as its own work would keep all
// machines busy, some times over. So work with little time passes work with much,
// short jobs pass long ones, and every job's turn comes. A job that can no longer
// meet any objective lets those pass that can, until it is very late.
func (c *Scheduler) turns(now time.Time) {
	up := 0
	for _, m := range c.fleet.Sorted() {
		if m.Up && !m.LeaseExpired && !m.Returning {
			up++
		}
	}
	for _, j := range c.sorted {
		j.rank = 2 * min(j.terms.Rank, prioRank[records.PriorityStandard])
		age := now.Sub(j.base).Seconds()
		last := j.targets[len(j.targets)-1]
		next := last
		for _, t := range j.targets {
			if age+j.EstimateS*surelyRuns <= t {
				next = t
				break
			}
		}
		if age+j.EstimateS*surelyRuns > last && age+j.waited() < veryLate*(last+j.waited()) {
			j.rank++
		}
		work := float64(j.Tasks-j.nDone) * j.EstimateS * c.smallestShare(j)
		off := slackShare*max(next-j.EstimateS*likelyRuns, 0) + turnWeight*work/float64(max(up, 1))
		j.turn = j.base.Add(time.Duration(off * float64(time.Second)))
	}
}

// targets lists, in seconds from its base, when a job should be complete by its
// class's objectives and for the sake of the jobs behind it, the soonest first. The
// deadline counts from the acceptance, however long the job waited.
func (c *Scheduler) targets(j *Job) []float64 {
	var ts []float64
	for _, o := range c.set.Objectives {
		switch {
		case o.Class != j.Class:
		case o.Kind == config.KindDeadline && j.DeadlineS != nil:
			ts = append(ts, *j.DeadlineS*max(o.Times, 1)-j.waited())
		case o.Kind == config.KindWait:
			ts = append(ts, o.WithinS+j.EstimateS)
		case o.WithinS > 0:
			ts = append(ts, o.WithinS)
		}
	}
	if j.DeadlineS != nil && len(ts) == 0 {
		ts = append(ts, *j.DeadlineS-j.waited())
	}
	if due := j.terms.Deadline; !due.IsZero() && (j.DeadlineS == nil || due.Before(j.after(*j.DeadlineS))) {
		ts = append(ts, j.left(due), j.left(j.terms.LatestEnd))
	}
	if len(ts) == 0 {
		ts = append(ts, noTarget*c.set.HeartbeatInterval.Seconds())
	}
	slices.Sort(ts)
	return ts
}

const (
	// turnWeight is how often over its own work puts a job's turn off.
	turnWeight = 3
	// slackShare is the share of the time left by the next objective that does.
	slackShare = 0.5
	// likelyRuns is how many times the estimate the slowest task of a job may run.
	likelyRuns = 1.5
	// surelyRuns is the share of the owner's estimate that a task surely runs.
	surelyRuns = 0.5
	// veryLate is when, in times of its last objective, a late job waits no longer.
	veryLate = 3
	// noTarget stands in, in report intervals, for classes without an objective.
	noTarget = 100
)

// smallestShare is what a task takes of the machine type that suits it best.
func (c *Scheduler) smallestShare(j *Job) float64 {
	share := 1.0
	for name, t := range c.types {
		if j.allowsType(name) {
			share = min(share, packing.Resources{CPU: t.CPUs, GPU: t.GPUs, Mem: t.MemGB}.Share(j.req))
		}
	}
	return share
}
