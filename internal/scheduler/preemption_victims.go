package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// possibleVictim is an attempt that may be preempted by some job, with the work that is lost.
type possibleVictim struct {
	attempt *fleet.Attempt
	loss    float64 // in the unit of lostWork
	taken   bool    // chosen to be stopped
}

// possibleVictims returns the attempts on a machine that may be preempted by some job, those with the least
// lost work first, and of equal ones in the machine's order.
func (s *preemptionSearch) possibleVictims(machine *fleet.Machine) []possibleVictim {
	var victims []possibleVictim
	for _, attempt := range machine.Attempts() {
		job := s.scheduler.jobOf(attempt)
		if !isPreemptible(job, attempt) {
			continue
		}
		if loss, ok := s.scheduler.lostWork(job, attempt, s.now); ok {
			victims = append(victims, possibleVictim{attempt: attempt, loss: loss})
		}
	}
	slices.SortStableFunc(victims, func(a, b possibleVictim) int { return cmp.Compare(a.loss, b.loss) })
	return victims
}

// chooseVictims sets candidate.nextVictims, loss and feasible: which attempts to stop on the
// machine for one more task of a job, those with the least lost work first. excess is the usage by
// team beyond the guarantees; it is not changed.
func (s *preemptionSearch) chooseVictims(job *Job, candidate *preemptionCandidate, excess map[string]quota.Amount) {
	candidate.nextVictims, candidate.loss, candidate.feasible = nil, 0, true
	free, excessAfter := candidate.free, excess
	// One pass suffices: the excess only falls, so an attempt that is passed over stays exempt.
	for i := 0; !free.Fits(job.request); i++ {
		if i == len(candidate.possible) {
			candidate.nextVictims, candidate.loss, candidate.feasible = nil, 0, false
			return
		}
		victim := &candidate.possible[i]
		if victim.taken || !s.mayPreempt(job, victim.attempt, excessAfter) {
			continue
		}
		if len(candidate.nextVictims) == 0 {
			excessAfter = maps.Clone(excess)
		}
		victimJob := s.scheduler.jobOf(victim.attempt)
		excessAfter[victimJob.Team] = excessAfter[victimJob.Team].Sub(victimJob.taskQuota())
		candidate.nextVictims = append(candidate.nextVictims, victim)
		free = free.Add(victim.attempt.Item.Request)
		candidate.loss += victim.loss
	}
}

// isPreemptible reports whether an attempt of a job may be preempted by some other job: only reported
// attempts of unprotected arrays are.
func isPreemptible(job *Job, attempt *fleet.Attempt) bool {
	if attempt.Stopping() || !attempt.MayBePresent() || attempt.State() == fleet.Sent || attempt.Item == nil {
		return false
	}
	return job != nil && job.Shape == records.ShapeArray && !job.protected
}

// mayPreempt reports whether a preemptible attempt may be preempted for a job: the attempt's job has a
// lower priority, or its team exceeds the guarantee and the preempting job is protected by another team's
// guarantee. A task is preempted at most once for each preempting job.
func (s *preemptionSearch) mayPreempt(job *Job, attempt *fleet.Attempt, excess map[string]quota.Amount) bool {
	victimJob := s.scheduler.jobOf(attempt)
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
