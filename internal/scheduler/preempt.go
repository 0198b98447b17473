package scheduler

import (
	"time"

	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// preempt stops work of lower priority, or what another team runs in excess of its guarantee, where a
// job that may claim the room finds none, and claims the room for the job. What tasks that end free
// anyway within a heartbeat interval is counted first: on hundreds of machines that is soon as much as
// any job takes, and nothing is lost.
//
// A job that is urgent for the sake of its dependents goes first, but preempts nobody: the middle jobs
// of a chain are as large as any and have the chain's time, and they stopped hundreds of tasks in the
// middle of their fetches. Nobody is stopped for what could not start all the same: a gang gets all
// its places or none. Equal jobs share one evaluation of the machines: without that, a queue of urgent
// jobs costs a look at every task for each of them.
func (s *Scheduler) preempt(now time.Time) {
	if !s.reconciled {
		return
	}
	claimants, anyProtected := s.preemptors(now)
	if len(claimants) == 0 {
		return
	}
	search := newPreemptionSearch(s, now)
	if anyProtected {
		search.loadExcess()
	}
	ending := s.freedRoom.previousWindow(now, s.settings.HeartbeatInterval)
	for _, job := range claimants {
		missing := s.missingClaims(job, now)
		if job.Shape == records.ShapeGang {
			if missing > 0 {
				search.makeRoomForGang(job, missing)
			}
			continue
		}
		for missing > 0 && ending.Fits(job.request) && job.request != (packing.Resources{}) {
			ending = ending.Sub(job.request)
			missing--
		}
		if missing > 0 {
			search.makeRoomForTasks(job, missing)
		}
	}
}

// preemptors returns the jobs that wait and may preempt, in the order in which they are
// served, and whether any of them is protected by a guarantee.
func (s *Scheduler) preemptors(now time.Time) (claimants []*Job, anyProtected bool) {
	for _, job := range s.queue(now) {
		if !s.startable(job, now) || job.nextTask() < 0 {
			continue
		}
		if priorityRank[job.Priority] <= priorityRank[records.PriorityUrgent] || job.protected && s.benefitsFromPreemption(job, now) {
			claimants = append(claimants, job)
			anyProtected = anyProtected || job.protected
		}
	}
	return claimants, anyProtected
}
