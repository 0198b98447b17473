package scheduler

import (
	"time"

	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// preempt stops tasks of lower priority, or of teams that exceed their guarantee, for jobs that may
// preempt and find no room, and claims the freed room for these jobs. It does nothing until
// reconciliation is complete. Jobs other than gangs preempt only for tasks that do not fit into the
// room that ending tasks are expected to free within a heartbeat interval: on hundreds of machines
// that soon suffices for any job, without lost work.
//
// A job that is urgent only because of its dependents is served first but does not preempt: the
// middle jobs of a dependency chain are large and have time to spare, and preemption for them would
// stop hundreds of tasks that are still fetching their images. No task is preempted for a gang that
// does not get all its places. Equivalent jobs share one evaluation of the machines; otherwise each
// urgent job in the queue would examine every task.
func (s *Scheduler) preempt(now time.Time) {
	if !s.reconciled {
		return
	}
	preemptors, anyProtected := s.preemptors(now)
	if len(preemptors) == 0 {
		return
	}
	search := newPreemptionSearch(s, now)
	if anyProtected {
		search.loadExcess()
	}
	endingSoon := s.freedRoom.previousWindow(now, s.settings.HeartbeatInterval)
	for _, job := range preemptors {
		missing := s.missingClaims(job, now)
		if job.Shape == records.ShapeGang {
			if missing > 0 {
				search.makeRoomForGang(job, missing)
			}
			continue
		}
		for missing > 0 && endingSoon.Fits(job.request) && job.request != (packing.Resources{}) {
			endingSoon = endingSoon.Sub(job.request)
			missing--
		}
		if missing > 0 {
			search.makeRoomForTasks(job, missing)
		}
	}
}

// preemptors returns the startable jobs that may preempt and have waiting tasks, in the order in which
// they are served, and whether any of these jobs is protected by its team's guarantee.
func (s *Scheduler) preemptors(now time.Time) (jobs []*Job, anyProtected bool) {
	for _, job := range s.queue(now) {
		if !s.startable(job, now) || job.nextTask() < 0 {
			continue
		}
		if priorityRank[job.Priority] <= priorityRank[records.PriorityUrgent] || job.protected && s.benefitsFromPreemption(job, now) {
			jobs = append(jobs, job)
			anyProtected = anyProtected || job.protected
		}
	}
	return jobs, anyProtected
}
