package scheduler

import (
	"maps"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// chooseVictims sets candidate.nextVictims, loss and feasible: which attempts to stop on the
// machine for one more task of a job, those with the least lost work first. excess is the usage by
// team beyond the guarantees; it is not changed.
func (s *preemptionSearch) chooseVictims(job *Job, candidate *preemptionCandidate, excess map[string]quota.Amount) {
	candidate.nextVictims, candidate.loss, candidate.feasible = nil, 0, true
	free, excessAfter := candidate.free, excess
	for !free.Fits(job.request) {
		victim, loss := s.cheapestVictim(job, candidate, excessAfter)
		if victim == nil {
			candidate.nextVictims, candidate.loss, candidate.feasible = nil, 0, false
			return
		}
		if len(candidate.nextVictims) == 0 {
			excessAfter = maps.Clone(excess)
		}
		victimJob := s.scheduler.jobOf(victim)
		excessAfter[victimJob.Team] = excessAfter[victimJob.Team].Sub(victimJob.taskQuota())
		candidate.nextVictims = append(candidate.nextVictims, victim)
		free = free.Add(victim.Item.Request)
		candidate.loss += loss
	}
}

// cheapestVictim returns the attempt on a candidate machine that may be preempted with the least lost
// work, nil if there is none, and that lost work in the unit of lostWork.
func (s *preemptionSearch) cheapestVictim(job *Job, candidate *preemptionCandidate, excess map[string]quota.Amount) (*fleet.Attempt, float64) {
	var cheapest *fleet.Attempt
	least := 0.0
	for _, attempt := range candidate.machine.Attempts() {
		if !s.mayPreempt(job, attempt, excess) || slices.Contains(candidate.victims, attempt) || slices.Contains(candidate.nextVictims, attempt) {
			continue
		}
		loss, ok := s.scheduler.lostWork(s.scheduler.jobOf(attempt), attempt, s.now)
		if ok && (cheapest == nil || loss < least) {
			cheapest, least = attempt, loss
		}
	}
	return cheapest, least
}

// mayPreempt reports whether an attempt may be preempted for a job: the attempt's job has a lower
// priority, or its team exceeds the guarantee and the preempting job is protected by another team's
// guarantee. Only reported attempts of unprotected arrays are preempted, and a task at most once for
// each preempting job.
func (s *preemptionSearch) mayPreempt(job *Job, attempt *fleet.Attempt, excess map[string]quota.Amount) bool {
	if attempt.Stopping() || !attempt.MayBePresent() || attempt.State() == fleet.Sent || attempt.Item == nil {
		return false
	}
	victimJob := s.scheduler.jobOf(attempt)
	if victimJob == nil || victimJob.Shape != records.ShapeArray || victimJob.protected {
		return false
	}
	if _, before := job.preemptedTasks[attempt.Task]; before {
		return false
	}
	if victimJob.precedence.Rank > job.precedence.Rank {
		return true
	}
	teamExcess := excess[victimJob.Team]
	return job.protected && victimJob.Team != job.Team && (teamExcess.CPUs > quotaEpsilon || teamExcess.GPUs > quotaEpsilon)
}

// lostWork returns the machine time that is lost if an attempt of job is stopped, in seconds times the
// share of the machine that a task takes. It is the time to save a checkpoint or, without checkpoints,
// the run time so far; half a second for an attempt that is not running yet. It returns false for a
// task without checkpoints that has run for more than half its estimate and is left to finish.
func (s *Scheduler) lostWork(job *Job, attempt *fleet.Attempt, now time.Time) (float64, bool) {
	share := attempt.Machine.Bin.Capacity.Share(job.request)
	if attempt.RunningSince.IsZero() {
		return share * 0.5, true
	}
	ran := now.Sub(attempt.RunningSince).Seconds()
	if job.CheckpointS > 0 {
		return share * job.SaveS, true
	}
	if ran > job.EstimateS/2 {
		return 0, false
	}
	return share * ran, true
}
