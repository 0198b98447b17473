package scheduler

import (
	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/quota"
)

// quotaEpsilon tolerates the rounding of decimal amounts where a quota is compared.
const quotaEpsilon = 1e-9

// setTeam sets what the settings say of the job's team.
func (j *Job) setTeam(t config.Team) {
	j.team, j.teamLimited = t, t.LimitCPUs > 0 || t.LimitGPUs > 0
}

// taskQuota is what one task of the job counts for.
func (j *Job) taskQuota() quota.Amount { return quota.Amount{CPUs: j.request.CPU, GPUs: j.request.GPU} }

// updateCharge brings the account up to date with an attempt. The machine table calls it for every
// change of the attempt; a change of its job (which is added, or closed) is the other reason.
func (s *Scheduler) updateCharge(a *fleet.Attempt) {
	next := s.chargeOf(a)
	s.quotaUsage.Replace(a.Charge, next)
	a.Charge = next
}

// chargeOf is what an attempt counts for: all that may be on a machine, and apart from that what is
// planned. Where its job is closed or not known it counts for every team, as what it takes until it is
// proven gone.
func (s *Scheduler) chargeOf(attempt *fleet.Attempt) quota.Charge {
	var charge quota.Charge
	switch {
	case !attempt.OnMachine() || attempt.State() == fleet.Ended:
		return charge
	case attempt.State() == fleet.Planned:
		charge.Phase = quota.Planned
	case attempt.Stopping():
		charge.Phase = quota.Stopping
	default:
		charge.Phase = quota.Present
	}
	if job := s.jobOf(attempt); job != nil {
		charge.Team, charge.Size = job.Team, job.taskQuota()
		return charge
	}
	charge.Shared = true
	if attempt.Item != nil {
		charge.Size = quota.Amount{CPUs: attempt.Item.Request.CPU, GPUs: attempt.Item.Request.GPU}
	}
	return charge
}

// withinLimit reports whether one more task of the job is within its team's limit, beside what is used.
func (s *Scheduler) withinLimit(job *Job, used quota.Amount) bool {
	team := job.team
	sum := used.Add(job.taskQuota())
	return (team.LimitCPUs == 0 || sum.CPUs <= team.LimitCPUs+quotaEpsilon) &&
		(team.LimitGPUs == 0 || sum.GPUs <= team.LimitGPUs+quotaEpsilon)
}

// waitingWithinLimit is how many of a job's waiting tasks are within its team's limit.
func (s *Scheduler) waitingWithinLimit(job *Job) int {
	n := job.pending() + job.relocatingTasks
	if !job.teamLimited {
		return n
	}
	t, used := job.team, s.quotaUsage.Committed(job.Team)
	if t.LimitCPUs > 0 && job.CPUs > 0 {
		n = min(n, int((t.LimitCPUs-used.CPUs)/job.CPUs+quotaEpsilon))
	}
	if t.LimitGPUs > 0 && job.GPUs > 0 {
		n = min(n, int((t.LimitGPUs-used.GPUs)/job.GPUs+quotaEpsilon))
	}
	return n
}
