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

// queue returns the open jobs that are not blocked, in the order in which they are served. It
// rebuilds the order, guarantees and placement order if they are stale.
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

// comparePrecedence compares jobs by what takes precedence over their turns: jobs within a guarantee
// first, of these the ones that can still start in time, then by rank.
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

// assignTurns sets each job's rank and turn. Critical and urgent jobs rank before the rest. Within a
// rank, a job's turn is its release time plus a share of the slack until its next target, plus a
// multiple of the time that its remaining work would occupy all machines. Jobs with little slack and
// short jobs thus go first, and no job starves. A job that can no longer meet any target ranks after
// those that can, until it is very late.
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

// nextTarget returns the first target that a job can still meet, and its last target. The age and the
// targets are in seconds since the job's release.
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
// first: by its class's objectives, its deadline and its dependents' deadlines. A job's own deadline
// counts from its acceptance, including the time while it was blocked.
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
	// workWeight is the multiple of the time for a job's own work that delays its turn.
	workWeight = 3
	// slackWeight is the share of the slack until a job's next target that delays its turn.
	slackWeight = 0.5
	// likelyRunFactor is the multiple of the estimate that a job's slowest task is likely to run.
	likelyRunFactor = 1.5
	// minRunFactor is the share of the estimate that a task runs at least.
	minRunFactor = 0.5
	// veryLateFactor is the multiple of its last target after which a late job ranks normally again.
	veryLateFactor = 3
	// defaultTargetIntervals is the target of jobs without any other, in heartbeat intervals.
	defaultTargetIntervals = 100
)

// smallestShare returns the smallest share that a task of the job takes of any machine type it allows.
func (s *Scheduler) smallestShare(j *Job) float64 {
	share := 1.0
	for name, t := range s.machineTypes {
		if j.allowsType(name) {
			share = min(share, packing.Resources{CPU: t.CPUs, GPU: t.GPUs, Mem: t.MemGB}.Share(j.request))
		}
	}
	return share
}
