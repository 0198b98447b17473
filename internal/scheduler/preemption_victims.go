package scheduler

import (
	"maps"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// chooseVictims finds which attempts must be stopped on a machine to make room for one more task of a
// job with the least loss of work. No attempt is stopped twice for the same job.
func (s *preemptionSearch) chooseVictims(job *Job, option *preemptionCandidate, excess map[string]quota.Amount) {
	option.nextVictims, option.loss, option.feasible = nil, 0, true
	free, excessThen := option.free, excess
	for !free.Fits(job.request) {
		victim, loss := s.cheapestVictim(job, option, excessThen)
		if victim == nil {
			option.nextVictims, option.loss, option.feasible = nil, 0, false
			return
		}
		if len(option.nextVictims) == 0 {
			excessThen = maps.Clone(excess)
		}
		victimJob := s.scheduler.jobOf(victim)
		excessThen[victimJob.Team] = excessThen[victimJob.Team].Sub(victimJob.taskQuota())
		option.nextVictims = append(option.nextVictims, victim)
		free = free.Add(victim.Item.Request)
		option.loss += loss
	}
}

// cheapestVictim returns the attempt on a machine whose stop throws least work away, nil if there is
// none that may be stopped.
func (s *preemptionSearch) cheapestVictim(job *Job, option *preemptionCandidate, excess map[string]quota.Amount) (*fleet.Attempt, float64) {
	var cheapest *fleet.Attempt
	least := 0.0
	for _, attempt := range option.machine.Attempts() {
		if !s.mayPreempt(job, attempt, excess) || slices.Contains(option.victims, attempt) || slices.Contains(option.nextVictims, attempt) {
			continue
		}
		loss, ok := s.scheduler.lostWork(s.scheduler.jobOf(attempt), attempt, s.now)
		if ok && (cheapest == nil || loss < least) {
			cheapest, least = attempt, loss
		}
	}
	return cheapest, least
}

// mayPreempt reports whether an attempt may be stopped for a job: it has lower priority, or its team
// runs more than it is guaranteed and the job is protected by its own team's guarantee.
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

// lostWork is the machine time that stopping an attempt throws away, as a share of a machine. It
// returns false for tasks that are about to finish, which are left alone.
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
