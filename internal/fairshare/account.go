// Package guarantee decides what teams' guarantees mean for who goes first: which jobs are
// owed their room, which of them can still begin in time, and which machines are too few
// for them.
//
// The package is pure: no I/O, no clock.
package fairshare

import (
	"time"

	"drumpick/internal/config"
	"drumpick/internal/packing"
)

// eps forgives the rounding of decimal amounts that were added up.
const eps = 1e-9

// HasGuarantee says whether a team is guaranteed anything.
func HasGuarantee(t config.Team) bool { return t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0 }

// Account adds up, by team, what unfinished jobs take of what their team is guaranteed.
type Account struct {
	teams map[string]config.Team
	named bool
	sum   map[string]packing.Resources
}

// NewAccount begins an account. Named: of what a guarantee does not name, CPUs or GPUs, it
// says nothing; else a team that is guaranteed no GPUs has none of its own, and a job that
// takes some is outside of the guarantee, with all that come after it.
func NewAccount(teams map[string]config.Team, named bool) *Account {
	return &Account{teams: teams, named: named, sum: map[string]packing.Resources{}}
}

// Charge adds the unfinished tasks of a job, n of one each, jobs being taken in the order of
// their acceptance. It says whether the job is owed its room, since all of its team's up to
// this one fit into the guarantee; and whether it holds that room against others, and may
// have them stopped for it: what takes of a kind that is not guaranteed has its turn, but
// takes nobody's place.
func (a *Account) Charge(team string, n int, one packing.Resources) (owed, holds bool) {
	t := a.teams[team]
	if !HasGuarantee(t) {
		return false, false
	}
	s := a.sum[team].Add(packing.Resources{CPU: float64(n) * one.CPU, GPU: float64(n) * one.GPU})
	a.sum[team] = s
	cpus, gpus := s.CPU <= t.GuaranteedCPUs+eps, s.GPU <= t.GuaranteedGPUs+eps
	if !a.named {
		return cpus && gpus, cpus && gpus
	}
	owed = (cpus || t.GuaranteedCPUs == 0) && (gpus || t.GuaranteedGPUs == 0)
	return owed, owed && (t.GuaranteedCPUs > 0 || one.CPU == 0) && (t.GuaranteedGPUs > 0 || one.GPU == 0)
}

// CanBeginInTime says whether work that is owed its room, and has waited for age, can still begin
// within the time that users expect of such work, after a report and the fetch of its
// image. Within 0: nothing is expected.
func CanBeginInTime(within, age, report, fetch time.Duration) bool {
	return within > 0 && age+report+fetch < within
}
