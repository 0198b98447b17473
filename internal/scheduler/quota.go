package scheduler

import (
	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/quota"
)

// quotaEpsilon is the tolerance for rounding errors when quota amounts are compared or divided.
const quotaEpsilon = 1e-9

// setTeam sets the configuration of the job's team.
func (j *Job) setTeam(t config.Team) {
	j.team, j.teamLimited = t, t.LimitCPUs > 0 || t.LimitGPUs > 0
}

// taskQuota returns the quota that one task of the job uses.
func (j *Job) taskQuota() quota.Amount { return quota.Amount{CPUs: j.request.CPU, GPUs: j.request.GPU} }

// updateCharge updates the quota account for an attempt. The machine table calls it on each change of
// the attempt; the scheduler also calls it when the attempt's job is added or closed.
func (s *Scheduler) updateCharge(a *fleet.Attempt) {
	next := s.chargeOf(a)
	s.quotaUsage.Replace(a.Charge, next)
	a.Charge = next
}

// chargeOf returns the quota charge of an attempt, the zero charge if it has ended or was
// forgotten. An attempt whose job is closed or unknown is charged to every team until it is proven
// gone.
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

// withinLimit reports whether one more task of the job is within its team's limit, given what the team
// uses already.
func (s *Scheduler) withinLimit(job *Job, used quota.Amount) bool {
	team := job.team
	sum := used.Add(job.taskQuota())
	return (team.LimitCPUs == 0 || sum.CPUs <= team.LimitCPUs+quotaEpsilon) &&
		(team.LimitGPUs == 0 || sum.GPUs <= team.LimitGPUs+quotaEpsilon)
}

// waitingWithinLimit returns how many of a job's waiting and relocating tasks fit within its team's
// limit. The result can be negative if the team uses more than its limit.
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
