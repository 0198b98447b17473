package scheduler

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// priorityRank is the rank of each job priority; jobs with a lower rank are served first.
var priorityRank = map[string]int{
	records.PriorityCritical: 0, records.PriorityUrgent: 1, records.PriorityStandard: 2, records.PriorityLow: 3,
}

// queue returns the open jobs that are not blocked, in the order in which they are served. If the
// queue is stale, it first recomputes that order, the jobs' guarantees, the placement order and the
// reservation candidates.
func (s *Scheduler) queue(now time.Time) []*Job {
	if s.queueStale {
		s.queueStale = false
		s.sortedJobs = s.sortedJobs[:0]
		for _, job := range s.jobs {
			// A blocked job gets no guarantee, reservation, scale-out or preemption.
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

// servedBefore reports whether job x is served before job y.
func servedBefore(x, y *Job) bool {
	if d := comparePrecedence(x, y); d != 0 {
		return d < 0
	}
	return x.turnAt.Before(y.turnAt)
}

// comparePrecedence compares jobs by the criteria that precede their turns: jobs within a guarantee
// first, of these the ones that can still start in time, then by rank. The result is negative if x is
// first, 0 if the turns decide.
func comparePrecedence(x, y *Job) int {
	switch {
	case x.guaranteed != y.guaranteed:
		return trueFirst(x.guaranteed)
	case x.canStartInTime != y.canStartInTime:
		return trueFirst(x.canStartInTime)
	}
	return cmp.Compare(x.rank, y.rank)
}

// trueFirst returns -1, the comparison result for first, if the condition holds, else 1.
func trueFirst(condition bool) int {
	if condition {
		return -1
	}
	return 1
}

// fetchTime returns how long the image fetch of a job takes on the fastest machine type that the job
// allows and whose machines fit its tasks; 0 if that is unknown.
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

// assignTurns sets each job's rank and turn. Critical jobs rank before urgent ones, and these before
// standard and low ones, which rank equally; inherited priorities (dependency.Graph) count. Within a
// rank, a job's turn is its release time plus a share of the slack until its next target, plus a
// multiple of the time that its remaining work would occupy all machines. Jobs with little slack and
// short jobs thus go first, and no job starves. A job that can no longer meet any target ranks after the
// others that would rank equally, until it is very late.
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

// nextTarget returns the first target that a job can still meet, the last one if it can meet none, and
// its last target. The age and the targets are in seconds since the job's release.
func (j *Job) nextTarget(age float64) (next, last float64) {
	last = j.targets[len(j.targets)-1]
	for _, target := range j.targets {
		if age+j.EstimateS*minRunFactor <= target {
			return target, last
		}
	}
	return last, last
}

// completionTargets returns when a job should be complete, in seconds from its release, the soonest
// first: by the objectives of its class or, if they state none, its deadline, and by its dependents'
// deadlines if these are earlier than its own; without any of these, a default. A job's own deadline
// counts from its acceptance, so the time while the job was blocked is subtracted.
func (s *Scheduler) completionTargets(job *Job) []float64 {
	var targets []float64
	for _, objective := range s.settings.Objectives {
		switch {
		case objective.Class != job.Class:
		case objective.Kind == config.KindDeadline && job.DeadlineS != nil:
			targets = append(targets, *job.DeadlineS*max(objective.DeadlineFactor, 1)-job.blockedSeconds())
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
	// workWeight is the delay of a job's turn, as a multiple of the time that the job's remaining work
	// would occupy all machines.
	workWeight = 3
	// slackWeight is the delay of a job's turn, as a share of the slack until the job's next target.
	slackWeight = 0.5
	// likelyRunFactor is the multiple of the estimate that a job's slowest task is likely to run.
	likelyRunFactor = 1.5
	// minRunFactor is the share of the estimate that a task is assumed to run at least.
	minRunFactor = 0.5
	// veryLateFactor is the multiple of a job's last target at which a late job ranks as if it were
	// not late; age and target are counted from the job's acceptance.
	veryLateFactor = 3
	// defaultTargetIntervals is the target of jobs without any other target, in heartbeat intervals.
	defaultTargetIntervals = 100
)

// smallestShare returns the share of a machine that one task of the job takes, on the allowed machine
// type where that is smallest; at most 1.
func (s *Scheduler) smallestShare(j *Job) float64 {
	share := 1.0
	for name, t := range s.machineTypes {
		if j.allowsType(name) {
			share = min(share, fleet.Capacity(&t).Share(j.request))
		}
	}
	return share
}
