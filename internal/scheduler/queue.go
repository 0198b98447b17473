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
		for _, job := range s.jobs {
			// A job that waits for others is in no order, and thereby in no guarantee,
			// reservation, rental plan or preemption.
			if !job.blocked {
				s.sortedJobs = append(s.sortedJobs, job)
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
func (s *Scheduler) fetchTime(job *Job) time.Duration {
	rate := 0.0
	for name, t := range s.types {
		if job.allowsType(name) && s.capacity(name).Fits(job.request) {
			rate = max(rate, t.FetchGBps)
		}
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(job.ImageGB / rate * float64(time.Second))
}

// assignTurns orders the jobs. Critical and urgent work goes before the rest; within
// that, a job's turn is its acceptance, put off by a share of the time that its
// class's next objective leaves it, and by as much as its own work would keep all
// machines busy, some times over. So work with little time passes work with much,
// short jobs pass long ones, and every job's turn comes. A job that can no longer
// meet any objective lets those pass that can, until it is very late.
func (s *Scheduler) assignTurns(now time.Time) {
	machinesUp := 0
	for _, machine := range s.fleet.Sorted() {
		if machine.Up && !machine.LeaseExpired && !machine.Returning {
			machinesUp++
		}
	}
	for _, job := range s.sortedJobs {
		job.rank = 2 * min(job.urgency.Rank, priorityRank[records.PriorityStandard])
		age := now.Sub(job.releasedAt).Seconds()
		last := job.targets[len(job.targets)-1]
		next := last
		for _, t := range job.targets {
			if age+job.EstimateS*surelyRuns <= t {
				next = t
				break
			}
		}
		if age+job.EstimateS*surelyRuns > last && age+job.blockedSeconds() < veryLate*(last+job.blockedSeconds()) {
			job.rank++
		}
		work := float64(job.Tasks-job.doneCount) * job.EstimateS * s.smallestShare(job)
		delay := slackShare*max(next-job.EstimateS*likelyRuns, 0) + turnWeight*work/float64(max(machinesUp, 1))
		job.turnAt = job.releasedAt.Add(time.Duration(delay * float64(time.Second)))
	}
}

// completionTargets lists, in seconds from its base, when a job should be complete by its
// class's objectives and for the sake of the jobs behind it, the soonest first. The
// deadline counts from the acceptance, however long the job waited.
func (s *Scheduler) completionTargets(job *Job) []float64 {
	var targets []float64
	for _, objective := range s.settings.Objectives {
		switch {
		case objective.Class != job.Class:
		case objective.Kind == config.KindDeadline && job.DeadlineS != nil:
			targets = append(targets, *job.DeadlineS*max(objective.Times, 1)-job.blockedSeconds())
		case objective.Kind == config.KindWait:
			targets = append(targets, objective.WithinS+job.EstimateS)
		case objective.WithinS > 0:
			targets = append(targets, objective.WithinS)
		}
	}
	if job.DeadlineS != nil && len(targets) == 0 {
		targets = append(targets, *job.DeadlineS-job.blockedSeconds())
	}
	if due := job.urgency.Deadline; !due.IsZero() && (job.DeadlineS == nil || due.Before(job.deadlineAt(*job.DeadlineS))) {
		targets = append(targets, job.secondsUntil(due), job.secondsUntil(job.urgency.LatestEnd))
	}
	if len(targets) == 0 {
		targets = append(targets, noTarget*s.settings.HeartbeatInterval.Seconds())
	}
	slices.Sort(targets)
	return targets
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
