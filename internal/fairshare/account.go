// Package fairshare evaluates the guarantees of teams: which jobs are entitled to their resources,
// which entitled jobs can still start in time, and which machine types lack machines for jobs of
// such teams.
//
// The package is pure: no I/O, no clock.
package fairshare

import (
	"time"

	"drumpick/internal/config"
	"drumpick/internal/packing"
)

// eps absorbs the rounding errors of sums of decimal amounts.
const eps = 1e-9

// HasGuarantee reports whether a team has a guarantee for any resource.
func HasGuarantee(t config.Team) bool { return t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0 }

// Account sums the resources of unfinished jobs by team and compares them with the team's
// guarantee.
type Account struct {
	teams     map[string]config.Team
	onlyNamed bool // see NewAccount
	charged   map[string]packing.Resources
}

// NewAccount returns an account without jobs. With onlyNamed, a guarantee covers only the resources
// it names; usage of any other resource does not count against it. Otherwise a resource that is
// not named is guaranteed at 0: a job that requests GPUs of a team without guaranteed GPUs exceeds
// the guarantee, and so do all later jobs of the team.
func NewAccount(teams map[string]config.Team, onlyNamed bool) *Account {
	return &Account{teams: teams, onlyNamed: onlyNamed, charged: map[string]packing.Resources{}}
}

// Charge adds the n unfinished tasks of a job, each of the given size, to its team's sum. Jobs must
// be charged in the order of their acceptance.
//
// entitled reports whether the job is entitled to its resources: the team's jobs up to and including
// this one fit into the guarantee. mayPreempt reports whether other tasks may be preempted for it.
// Both are false, and nothing is charged, for a team without a guarantee.
// With onlyNamed, an entitled job that also requests a resource that is not guaranteed is placed
// first, but preempts nothing.
func (a *Account) Charge(team string, n int, size packing.Resources) (entitled, mayPreempt bool) {
	t := a.teams[team]
	if !HasGuarantee(t) {
		return false, false
	}
	sum := a.charged[team].Add(packing.Resources{CPU: float64(n) * size.CPU, GPU: float64(n) * size.GPU})
	a.charged[team] = sum
	cpusFit := sum.CPU <= t.GuaranteedCPUs+eps
	gpusFit := sum.GPU <= t.GuaranteedGPUs+eps
	if !a.onlyNamed {
		return cpusFit && gpusFit, cpusFit && gpusFit
	}
	namesCPUs, namesGPUs := t.GuaranteedCPUs > 0, t.GuaranteedGPUs > 0
	entitled = (cpusFit || t.GuaranteedCPUs == 0) && (gpusFit || t.GuaranteedGPUs == 0)
	mayPreempt = entitled && (namesCPUs || size.CPU == 0) && (namesGPUs || size.GPU == 0)
	return entitled, mayPreempt
}

// CanStartInTime reports whether an entitled job that has waited for age can still start within the
// target time if its start takes one heartbeat interval and the fetch of its image. If target is 0,
// there is no target and the result is false.
func CanStartInTime(target, age, heartbeatInterval, fetch time.Duration) bool {
	return target > 0 && age+heartbeatInterval+fetch < target
}
