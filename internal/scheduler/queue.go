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

// queue returns the open jobs that are not blocked, in the order in which they are served.
func (s *Scheduler) queue(now time.Time) []*Job {
	if s.queueStale {
		s.queueStale = false
		s.sortedJobs = s.sortedJobs[:0]
		for _, job := range s.jobs {
			// A blocked job is in no order, and thereby in no guarantee, reservation, scale-out or preemption.
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
		sort.SliceStable(s.sortedJobs, func(a, b int) bool {
			return servedBefore(s.sortedJobs[a], s.sortedJobs[b])
		})
		s.order = newPlacementOrder(s.sortedJobs, s.fetchTime)
		s.listReservationCandidates()
	}
	return s.sortedJobs
}

// servedBefore reports whether a job is served before another.
func servedBefore(x, y *Job) bool {
	if d := comparePrecedence(x, y); d != 0 {
		return d < 0
	}
	return x.turnAt.Before(y.turnAt)
}

// comparePrecedence orders jobs by what counts before any turn: those within a guarantee, of these those that
// can still begin in time, then rank.
func comparePrecedence(x, y *Job) int {
	switch {
	case x.guaranteed != y.guaranteed:
		return trueFirst(x.guaranteed)
	case x.canBeginInTime != y.canBeginInTime:
		return trueFirst(x.canBeginInTime)
	}
	return cmp.Compare(x.rank, y.rank)
}

// trueFirst is the order of two jobs of which the first goes first if is holds.
func trueFirst(is bool) int {
	if is {
		return -1
	}
	return 1
}

// fetchTime is how long the fastest machine that suits a job, and has room for its tasks at all, takes
// to fetch its image.
func (s *Scheduler) fetchTime(job *Job) time.Duration {
	rate := 0.0
	for name, t := range s.machineTypes {
		if job.allowsType(name) && s.capacity(name).Fits(job.request) {
			rate = max(rate, t.FetchGBps)
		}
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(job.ImageGB / rate * float64(time.Second))
}

// assignTurns orders the jobs. Critical and urgent work goes before the rest; within that, a job's turn
// is its release, put off by a share of the time that its class's next objective leaves it, and by a
// multiple of the time for which its own work would keep all machines busy. So work with little time
// passes work with much, short jobs pass long ones, and every job's turn comes. A job that can no
// longer meet any objective lets those pass that can, until it is very late.
func (s *Scheduler) assignTurns(now time.Time) {
	machinesUp := 0
	for _, machine := range s.fleet.Sorted() {
		if machine.HasStatus && !machine.LeaseExpired && !machine.Returning {
			machinesUp++
		}
	}
	for _, job := range s.sortedJobs {
		job.rank = 2 * min(job.precedence.Rank, priorityRank[records.PriorityStandard])
		age := now.Sub(job.releasedAt).Seconds()
		next, last := job.nextTarget(age)
		isLate := age+job.EstimateS*minRunFactor > last
		if isLate && age+job.blockedSeconds() < veryLateFactor*(last+job.blockedSeconds()) {
			job.rank++
		}
		work := float64(job.Tasks-job.doneCount) * job.EstimateS * s.smallestShare(job)
		delay := slackWeight*max(next-job.EstimateS*likelyRunFactor, 0) + workWeight*work/float64(max(machinesUp, 1))
		job.turnAt = job.releasedAt.Add(time.Duration(delay * float64(time.Second)))
	}
}

// nextTarget returns the first target that a job of an age, in seconds, can still meet, and its last
// one.
func (j *Job) nextTarget(age float64) (next, last float64) {
	last = j.targets[len(j.targets)-1]
	for _, target := range j.targets {
		if age+j.EstimateS*minRunFactor <= target {
			return target, last
		}
	}
	return last, last
}

// completionTargets lists, in seconds from its release, when a job should be complete by its class's
// objectives and for the sake of its dependents, the soonest first. The deadline counts from the
// acceptance, however long the job was blocked.
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
	if due := job.precedence.Deadline; !due.IsZero() && (job.DeadlineS == nil || due.Before(job.deadlineAt(*job.DeadlineS))) {
		targets = append(targets, job.secondsFromRelease(due), job.secondsFromRelease(job.precedence.LatestEnd))
	}
	if len(targets) == 0 {
		targets = append(targets, defaultTargetIntervals*s.settings.HeartbeatInterval.Seconds())
	}
	slices.Sort(targets)
	return targets
}

const (
	// workWeight is how many times the time for its own work puts a job's turn off.
	workWeight = 3
	// slackWeight is the share of the time left by the next objective that does.
	slackWeight = 0.5
	// likelyRunFactor is how many times the estimate the slowest task of a job may run.
	likelyRunFactor = 1.5
	// minRunFactor is the share of the owner's estimate that a task surely runs.
	minRunFactor = 0.5
	// veryLateFactor is after how many times its last target a late job no longer lets others pass.
	veryLateFactor = 3
	// defaultTargetIntervals is the target, in heartbeat intervals, for classes without an objective.
	defaultTargetIntervals = 100
)

// smallestShare is the share that a task takes of the machine type that suits it best.
func (s *Scheduler) smallestShare(j *Job) float64 {
	share := 1.0
	for name, t := range s.machineTypes {
		if j.allowsType(name) {
			share = min(share, packing.Resources{CPU: t.CPUs, GPU: t.GPUs, Mem: t.MemGB}.Share(j.request))
		}
	}
	return share
}
