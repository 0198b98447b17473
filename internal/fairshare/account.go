// Package fairshare decides what teams' guarantees mean for who goes first: which jobs are
// entitled to their room, which of them can still start in time, and which machine types are too
// scarce for them.
//
// The package is pure: no I/O, no clock.
package fairshare

import (
	"time"

	"drumpick/internal/config"
	"drumpick/internal/packing"
)

// eps absorbs the rounding of decimal amounts that were added up.
const eps = 1e-9

// HasGuarantee reports whether a team is guaranteed anything.
func HasGuarantee(t config.Team) bool { return t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0 }

// Account adds up, by team, what unfinished jobs take of what their team is guaranteed.
type Account struct {
	teams     map[string]config.Team
	onlyNamed bool // see NewAccount
	charged   map[string]packing.Resources
}

// NewAccount returns an account without jobs. With onlyNamed, a guarantee does not concern
// the resource that it does not name, CPUs or GPUs. Otherwise a team that is guaranteed no GPUs has
// none of its own: a job that takes some is outside of the guarantee, with all that come after it.
func NewAccount(teams map[string]config.Team, onlyNamed bool) *Account {
	return &Account{teams: teams, onlyNamed: onlyNamed, charged: map[string]packing.Resources{}}
}

// Charge adds the unfinished tasks of a job, n of size each, to its team's sum. Jobs must be charged in
// the order of their acceptance.
//
// entitled reports whether the job is entitled to its room, since all of its team's jobs up to
// this one fit into the guarantee. mayPreempt reports whether it holds that room against
// others, and may have them preempted for it: a job that takes of a resource which is not guaranteed
// goes first, but takes nobody's place.
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

// CanStartInTime reports whether a job that is entitled to its room, and has waited for age, can still
// start within the time that users expect of such jobs, after a heartbeat and the fetch of its
// image. With within 0 nothing is expected.
func CanStartInTime(within, age, heartbeatInterval, fetch time.Duration) bool {
	return within > 0 && age+heartbeatInterval+fetch < within
}
