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

var priorityRank = map[string]int{
	records.PriorityCritical: 0, records.PriorityUrgent: 1, records.PriorityStandard: 2, records.PriorityLow: 3,
}

// queue returns the open jobs in the order in which they are served.
func (s *Scheduler) queue(now time.Time) []*Job {
	if s.queueStale {
		s.queueStale = false
		s.sortedJobs = s.sortedJobs[:0]
		for _, j := range s.jobs {
			// A job that waits for others is in no order, and thereby in no guarantee,
			// reservation, rental plan or preemption.
			if !j.blocked {
				s.sortedJobs = append(s.sortedJobs, j)
			}
		}
		sort.Slice(s.sortedJobs, func(a, b int) bool {
			x, y := s.sortedJobs[a], s.sortedJobs[b]
			if !x.releasedAt.Equal(y.releasedAt) {
				return x.releasedAt.Before(y.releasedAt)
			}
			return x.ID < y.ID
		})
		s.assignGuarantees(now)
		s.assignTurns(now)
		sort.SliceStable(s.sortedJobs, func(a, b int) bool { return servedBefore(s.sortedJobs[a], s.sortedJobs[b]) })
		s.order = newPlacingOrder(s.sortedJobs, s.fetchTime)
		s.listReservationCandidates()
	}
	return s.sortedJobs
}

// servedBefore says whether a job is served before another.
func servedBefore(x, y *Job) bool {
	if d := precedence(x, y); d != 0 {
		return d < 0
	}
	return x.turnAt.Before(y.turnAt)
}

// precedence orders jobs by what goes before any turn: what is owed its room, of this what
// can still begin in time, and rank.
func precedence(x, y *Job) int {
	switch {
	case x.guaranteed != y.guaranteed:
		return firstIf(x.guaranteed)
	case x.canBeginInTime != y.canBeginInTime:
		return firstIf(x.canBeginInTime)
	}
	return cmp.Compare(x.rank, y.rank)
}

// firstIf is the order of two of whom one goes first.
func firstIf(is bool) int {
	if is {
		return -1
	}
	return 1
}

// fetchTime is how long a machine that suits a job, and has room for its tasks at all, takes to
// fetch its image.
func (s *Scheduler) fetchTime(j *Job) time.Duration {
	rate := 0.0
	for name, t := range s.types {
		if j.allowsType(name) && s.capacity(name).Fits(j.request) {
			rate = max(rate, t.FetchGBps)
		}
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(j.ImageGB / rate * float64(time.Second))
}

// assignTurns orders the jobs. Critical and urgent work goes before the rest; within
// that, a job's turn is its acceptance, put off by a share of the time that its
// class's next objective leaves it, and by as much as its own work would keep all
// machines busy, some times over. So work with little time passes work with much,
// short jobs pass long ones, and every job's turn comes. A job that can no longer
// meet any objective lets those pass that can, until it is very late.
func (s *Scheduler) assignTurns(now time.Time) {
	up := 0
	for _, m := range s.fleet.Sorted() {
		if m.Up && !m.LeaseExpired && !m.Returning {
			up++
		}
	}
	for _, j := range s.sortedJobs {
		j.rank = 2 * min(j.urgency.Rank, priorityRank[records.PriorityStandard])
		age := now.Sub(j.releasedAt).Seconds()
		last := j.targets[len(j.targets)-1]
		next := last
		for _, t := range j.targets {
			if age+j.EstimateS*surelyRuns <= t {
				next = t
				break
			}
		}
		if age+j.EstimateS*surelyRuns > last && age+j.blockedSeconds() < veryLate*(last+j.blockedSeconds()) {
			j.rank++
		}
		work := float64(j.Tasks-j.doneCount) * j.EstimateS * s.smallestShare(j)
		off := slackShare*max(next-j.EstimateS*likelyRuns, 0) + turnWeight*work/float64(max(up, 1))
		j.turnAt = j.releasedAt.Add(time.Duration(off * float64(time.Second)))
	}
}

// completionTargets lists, in seconds from its base, when a job should be complete by its
// class's objectives and for the sake of the jobs behind it, the soonest first. The
// deadline counts from the acceptance, however long the job waited.
func (s *Scheduler) completionTargets(j *Job) []float64 {
	var ts []float64
	for _, o := range s.settings.Objectives {
		switch {
		case o.Class != j.Class:
		case o.Kind == config.KindDeadline && j.DeadlineS != nil:
			ts = append(ts, *j.DeadlineS*max(o.Times, 1)-j.blockedSeconds())
		case o.Kind == config.KindWait:
			ts = append(ts, o.WithinS+j.EstimateS)
		case o.WithinS > 0:
			ts = append(ts, o.WithinS)
		}
	}
	if j.DeadlineS != nil && len(ts) == 0 {
		ts = append(ts, *j.DeadlineS-j.blockedSeconds())
	}
	if due := j.urgency.Deadline; !due.IsZero() && (j.DeadlineS == nil || due.Before(j.deadlineAt(*j.DeadlineS))) {
		ts = append(ts, j.secondsUntil(due), j.secondsUntil(j.urgency.LatestEnd))
	}
	if len(ts) == 0 {
		ts = append(ts, noTarget*s.settings.HeartbeatInterval.Seconds())
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
func (s *Scheduler) smallestShare(j *Job) float64 {
	share := 1.0
	for name, t := range s.types {
		if j.allowsType(name) {
			share = min(share, packing.Resources{CPU: t.CPUs, GPU: t.GPUs, Mem: t.MemGB}.Share(j.request))
		}
	}
	return share
}
