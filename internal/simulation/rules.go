package simulation

import (
	"fmt"
	"slices"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// This file checks the protocol's rules about tasks, under the names that the protocol gives them in "Rules".
// rules_responses.go checks the rules about responses to users. rules_test.go breaks each rule on purpose.

// recordViolationLocked records the violation of a rule, once for each distinct text.
func (env *Environment) recordViolationLocked(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(env.violations, text) {
		env.violations = append(env.violations, text)
	}
}

// Violations returns the violations recorded so far.
func (env *Environment) Violations() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return append([]string(nil), env.violations...)
}

// CheckCancelled records a violation for each task of a cancelled job that is on a machine more than CancelLimit after
// the cancellation was confirmed.
func (env *Environment) CheckCancelled() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, m := range env.machines {
		for _, a := range m.tasks {
			id, _ := fleet.ParseTask(a.task)
			at, cancelled := env.cancelledAt[id.Job]
			// A task counts from the end of its image fetch until it ends, also while it waits for its gang or saves a
			// checkpoint.
			counts := a.status != statusEnded && a.status != statusPulling
			if !cancelled || !counts || m.terminated || time.Since(m.leaseStart) > env.Lease {
				continue
			}
			if since := time.Since(at); since > env.CancelLimit {
				env.recordViolationLocked("ran_cancelled: %s still on %s", a.task, m.Name)
			} else {
				env.maxCancelLatency = max(env.maxCancelLatency, since)
			}
		}
	}
}

// checkStartLocked checks the rules that apply when an attempt starts.
func (env *Environment) checkStartLocked(m *Machine, c fleet.Command, job records.Job) {
	id, _ := fleet.ParseTask(c.Task)
	now := time.Now()
	if at, ok := env.cancelledAt[id.Job]; ok {
		switch since := now.Sub(at); {
		case since > env.CancelLimit:
			env.recordViolationLocked("ran_cancelled: %s started %v after its cancellation", c.Task, since)
		case since > env.MaxCommandDelay:
			env.recordViolationLocked("started_cancelled: %s started %v after its cancellation was confirmed", c.Task, since)
		}
	}
	for _, dependency := range job.Dependencies {
		done := len(env.completed[dependency])
		if d, ok := env.LookupJob(dependency); ok && done < d.Tasks {
			env.recordViolationLocked("too_early: %s started, %d of %d tasks of %s are done", c.Task, done, d.Tasks, dependency)
		}
	}
	zones := map[string]int{} // number of the job's attempts by zone
	for a, other := range env.attempts[id.Job] {
		if !other.leaseValidLocked(now) {
			continue
		}
		if a.task == c.Task && other != m {
			env.recordViolationLocked("ran_twice: %s started on %s while it is on %s", c.Task, m.Name, other.Name)
		}
		zones[other.Zone]++
	}
	if m.misplaced(job, zones) {
		env.recordViolationLocked("wrong_place: %s on %s", c.Task, m.Name)
	}
	env.checkTeamLimitLocked(job.Team)
}

// misplaced reports whether the job's placement constraints forbid its tasks on the machine. zones holds the number of
// the job's attempts by zone, including the attempt on this machine.
func (m *Machine) misplaced(job records.Job, zones map[string]int) bool {
	return job.OneZone && len(zones) > 1 ||
		job.SpreadZones && zones[m.Zone] > maxTasksPerZone(job) ||
		job.Zone != nil && *job.Zone != m.Zone ||
		len(job.Types) > 0 && !slices.Contains(job.Types, m.typ.Name) ||
		m.Spot && !job.Spot
}

// maxTasksPerZone returns the maximum number of tasks in one zone, for a job that is spread over zones.
func maxTasksPerZone(job records.Job) int { return (job.Tasks + 1) / 2 }

// leaseValidLocked reports whether the machine exists and its worker's lease has not expired. Otherwise the rules
// ignore its tasks.
func (m *Machine) leaseValidLocked(now time.Time) bool {
	return !m.terminated && now.Sub(m.leaseStart) <= m.env.Lease
}

// checkTeamLimitLocked records a violation if a team exceeds its limit. It also counts tasks that still fetch their
// image, which is stricter than the rule.
func (env *Environment) checkTeamLimitLocked(team string) {
	if len(env.Teams) == 0 {
		return // no team has a limit
	}
	if cpus, gpus := env.teamUsageLocked(team); !env.withinLimit(team, cpus, gpus) {
		env.recordViolationLocked("quota: %s uses %g CPUs and %g GPUs", team, cpus, gpus)
	}
}

// teamUsageLocked returns the CPUs and GPUs of a team's attempts on machines whose lease is valid.
func (env *Environment) teamUsageLocked(team string) (cpus, gpus float64) {
	now := time.Now()
	for _, attempts := range env.attempts {
		for a, m := range attempts {
			if a.job.Team == team && m.leaseValidLocked(now) {
				cpus, gpus = cpus+a.job.CPUs, gpus+a.job.GPUs
			}
		}
	}
	return cpus, gpus
}

// withinLimit reports whether a team's limit allows this usage.
func (env *Environment) withinLimit(team string, cpus, gpus float64) bool {
	return !slices.ContainsFunc(env.Teams, func(t config.Team) bool {
		return t.Name == team &&
			(t.LimitCPUs > 0 && cpus > t.LimitCPUs+epsilon || t.LimitGPUs > 0 && gpus > t.LimitGPUs+epsilon)
	})
}
