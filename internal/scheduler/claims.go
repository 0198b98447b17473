package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// claim is room for one task on a machine that only one job may use: somebody was stopped there for
// it, or it is kept free until the rest of a gang's places are. Without claims, room would go back to
// the very tasks that were stopped to make it, which would then be stopped again: where a gang needs
// several machines, the first to be free could take none of its tasks yet, and would take any other's.
type claim struct {
	machine *fleet.Machine
	since   time.Time // when it was made, or the room was last seen to be on its way
}

// claimTimeoutIntervals is how long, in heartbeat intervals, room that is there is kept for a job that does
// not start in it, and claimBackoffIntervals how long the job then claims no other.
const (
	claimTimeoutIntervals = 2
	claimBackoffIntervals = 4
)

// maxClaimsPerPass bounds the work for one job in one pass. It does not bound the machines on which a
// job has claims: the next pass claims as many more, until all tasks that wait have one. A gang, which
// starts as a whole or not at all, is examined as a whole.
const maxClaimsPerPass = 64

// addClaim claims room on a machine for one task of a job.
func (s *Scheduler) addClaim(j *Job, m *fleet.Machine, now time.Time) {
	m.Bin.Reserve(j.request)
	if j.claims = append(j.claims, claim{m, now}); len(j.claims) == 1 {
		s.claimOwners = append(s.claimOwners, j)
	}
	if s.currentTurns != nil {
		s.currentTurns.exemptFromSkipping(j)
	}
}

// claimFreedPlace claims for a broken gang the place that one of its tasks leaves: the gang has to
// start again, and what else went there would be stopped a moment later.
func (s *Scheduler) claimFreedPlace(j *Job, a *fleet.Attempt) {
	if j.gangBroken && a.Machine.Bin.Open() && a.State() != fleet.Planned {
		s.addClaim(j, a.Machine, s.passTime)
	}
}

// releaseClaim gives up a claim.
func (s *Scheduler) releaseClaim(j *Job, i int) {
	j.claims[i].machine.Bin.Reserve(packing.Resources{}.Sub(j.request))
	j.claims = slices.Delete(j.claims, i, i+1)
	s.placementStale = true
}

// releaseAllClaims gives up all claims of a job.
func (s *Scheduler) releaseAllClaims(j *Job) {
	for len(j.claims) > 0 {
		s.releaseClaim(j, len(j.claims)-1)
	}
}

// suspendClaims takes back all claims of a job while it is placed, and returns them.
func (s *Scheduler) suspendClaims(j *Job) []claim {
	suspended := j.claims
	for _, cl := range suspended {
		cl.machine.Bin.Reserve(packing.Resources{}.Sub(j.request))
	}
	j.claims = nil
	return suspended
}

// restoreClaims makes suspended claims again.
func (s *Scheduler) restoreClaims(j *Job, suspended []claim) {
	for _, cl := range suspended {
		cl.machine.Bin.Reserve(j.request)
	}
	j.claims = suspended
}

// placeInClaims starts tasks of a job that need not start together in the room that it has claimed, as far
// as that is free.
func (s *Scheduler) placeInClaims(job *Job, used map[string]quota.Amount, zones map[string]int, now time.Time) {
	limited := job.teamLimited
	for i := 0; i < len(job.claims); {
		t, machine := job.nextTask(), job.claims[i].machine
		if t < 0 || limited && !s.withinLimit(job, used[job.Team]) {
			return
		}
		if !machine.Bin.Capacity.Sub(machine.Bin.Used()).Fits(job.request) {
			i++
			continue
		}
		s.releaseClaim(job, i)
		if zones != nil {
			zones[machine.Zone]-- // it was counted as the claim's
			if !job.zoneAllowed(machine.Zone, zones) {
				continue
			}
			zones[machine.Zone]++
		}
		item := &packing.Item{ID: job.ID, Request: job.request, PreferLabels: job.preferredLabels}
		machine.Bin.Add(item)
		s.planAttempt(job, t, s.newAttemptNumber(), machine, item, now)
		job.dequeueTask(t)
		if limited {
			used[job.Team] = used[job.Team].Add(job.taskQuota())
		}
	}
}

// expireClaims drops claims whose job or machine is no longer available, that are more than the job
// has tasks for, and those whose room was there unused for a time.
func (s *Scheduler) expireClaims(now time.Time) {
	owners := s.claimOwners
	s.claimOwners = s.claimOwners[:0]
	for _, j := range owners {
		if s.expireJobClaims(j, now); len(j.claims) > 0 && !slices.Contains(s.claimOwners, j) {
			s.claimOwners = append(s.claimOwners, j)
		}
	}
	clear(owners[len(s.claimOwners):])
}

func (s *Scheduler) expireJobClaims(job *Job, now time.Time) {
	if len(job.claims) == 0 {
		return
	}
	if !job.gangBroken && !s.startable(job, now) {
		s.releaseAllClaims(job)
		return
	}
	for i := len(job.claims) - 1; i >= 0; i-- {
		if machine := job.claims[i].machine; machine.Removed() || !machine.Bin.Open() {
			s.releaseClaim(job, i)
		}
	}
	for wanted := s.claimableTasks(job); len(job.claims) > wanted; {
		s.releaseClaim(job, len(job.claims)-1)
	}
	freeing := s.claimsAwaitRoom(job)
	for i := len(job.claims) - 1; i >= 0; i-- {
		switch claimed := &job.claims[i]; {
		case freeing || job.reservedZone != "":
			claimed.since = now
		case now.Sub(claimed.since) > claimTimeoutIntervals*s.settings.HeartbeatInterval:
			slog.Debug("claim expired", "job", job.ID, "machine", claimed.machine.Name, "term", s.term)
			job.claimsNotBefore = now.Add(claimBackoffIntervals * s.settings.HeartbeatInterval)
			s.releaseClaim(job, i)
		}
	}
}

// claimableTasks is for how many of a job's tasks there may be claims: those that wait, and those that
// move, up to as many as it has claims.
func (s *Scheduler) claimableTasks(job *Job) int {
	n := job.pending()
	if n >= len(job.claims) {
		return n
	}
	for _, attempt := range job.attempts {
		if attempt.Stopping() {
			n++
		}
	}
	return n
}

// claimsAwaitRoom reports whether claimed room is about to become free: an attempt is being stopped
// there, or one of the job's own tasks is that is to move there.
func (s *Scheduler) claimsAwaitRoom(job *Job) bool {
	if job.gangBroken {
		return true
	}
	for _, cl := range job.claims {
		if slices.ContainsFunc(cl.machine.Attempts(), isStoppingOnMachine) {
			return true
		}
	}
	for _, attempt := range job.attempts {
		if attempt.Stopping() {
			return true
		}
	}
	return false
}

// isStoppingOnMachine reports whether an attempt is being stopped, so that its room is about to become free.
func isStoppingOnMachine(a *fleet.Attempt) bool {
	return a.Stopping() && a.MayBePresent() && a.Item != nil
}

// expectedRoom is the room that a machine has or will have, once what is being stopped there is gone,
// beyond what is claimed.
func expectedRoom(m *fleet.Machine) packing.Resources {
	free := m.Bin.Capacity.Sub(m.Bin.Used()).Sub(m.Bin.Reserved())
	for _, a := range m.Attempts() {
		if isStoppingOnMachine(a) {
			free = free.Add(a.Item.Request)
		}
	}
	return free
}

// missingClaims is for how many more of a job's tasks room could be claimed.
func (s *Scheduler) missingClaims(job *Job, now time.Time) int {
	if now.Before(job.claimsNotBefore) {
		return 0
	}
	n := s.waitingWithinLimit(job)
	if job.Shape == records.ShapeGang {
		if n < job.pending() || job.gangAttempt == 0 && len(job.attempts)+len(job.duplicates) > 0 {
			return 0 // it could not start as a whole
		}
		return n - len(job.claims)
	}
	return min(n-len(job.claims), maxClaimsPerPass)
}
