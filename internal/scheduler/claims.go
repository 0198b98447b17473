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

// claim is room on a machine that is one job's own: somebody was stopped there for its
// sake, or it is kept free until the rest of a gang's places are. Guards against room
// that goes back to the very tasks that were stopped to make it, which are then stopped
// again: where a gang needs several machines, the first to be free could take none of
// its tasks yet, and would take any other's.
type claim struct {
	machine *fleet.Machine
	since   time.Time // when it was made, or the room was last seen to be on its way
}

// claimIntervals is how long, in report intervals, room that is there is kept for a job
// that does not start in it, and claimRest how long the job then claims no other.
const (
	claimIntervals      = 2
	claimPauseIntervals = 4
)

// addClaim makes room on a machine, for one task, a job's own.
func (s *Scheduler) addClaim(j *Job, m *fleet.Machine, now time.Time) {
	m.Bin.Reserve(j.request)
	if j.claims = append(j.claims, claim{m, now}); len(j.claims) == 1 {
		s.claimOwners = append(s.claimOwners, j)
	}
	if s.currentTurns != nil {
		s.currentTurns.keepSeparate(j)
	}
}

// claimFreedPlace makes the place that a task of a broken gang leaves the gang's own: it has
// to begin anew, and what else went there would be stopped a moment later.
func (s *Scheduler) claimFreedPlace(j *Job, a *fleet.Attempt) {
	if j.gangBroken && a.Machine.Bin.Open() && a.State() != fleet.Planned {
		s.addClaim(j, a.Machine, s.now)
	}
}

// dropClaim gives up a claim.
func (s *Scheduler) dropClaim(j *Job, i int) {
	j.claims[i].machine.Bin.Reserve(packing.Resources{}.Sub(j.request))
	j.claims = slices.Delete(j.claims, i, i+1)
	s.placementStale = true
}

// dropAllClaims gives up all claims of a job.
func (s *Scheduler) dropAllClaims(j *Job) {
	for len(j.claims) > 0 {
		s.dropClaim(j, len(j.claims)-1)
	}
}

// suspendClaims lets a job see its own room as free; lay puts the claims back.
func (s *Scheduler) suspendClaims(j *Job) []claim {
	mine := j.claims
	for _, cl := range mine {
		cl.machine.Bin.Reserve(packing.Resources{}.Sub(j.request))
	}
	j.claims = nil
	return mine
}

func (s *Scheduler) restoreClaims(j *Job, mine []claim) {
	for _, cl := range mine {
		cl.machine.Bin.Reserve(j.request)
	}
	j.claims = mine
}

// useClaims starts tasks of a job that need not start together in room of its own, as
// far as it is free.
func (s *Scheduler) useClaims(j *Job, used map[string]quota.Amount, zones map[string]int, now time.Time) {
	limited := j.limited
	for i := 0; i < len(j.claims); {
		t, m := j.nextTask(), j.claims[i].machine
		if t < 0 || limited && !s.withinLimit(j, used[j.Team]) {
			return
		}
		if !m.Bin.Cap.Sub(m.Bin.Used()).Fits(j.request) {
			i++
			continue
		}
		s.dropClaim(j, i)
		if zones != nil {
			zones[m.Zone]-- // it was counted as the claim's
			if !j.zoneAllowed(m.Zone, zones) {
				continue
			}
			zones[m.Zone]++
		}
		it := &packing.Item{ID: j.ID, Req: j.request, PreferLabels: j.preferLabels}
		m.Bin.Add(it)
		s.planAttempt(j, t, s.newAttemptNumber(), m, it, now)
		j.takeTask(t)
		if limited {
			used[j.Team] = used[j.Team].Add(j.taskQuota())
		}
	}
}

// reviewClaims gives up claims whose job or machine is out of the question, that are
// more than the job has tasks for, and those whose room was there in vain for a time.
func (s *Scheduler) reviewClaims(now time.Time) {
	owners := s.claimOwners
	s.claimOwners = s.claimOwners[:0]
	for _, j := range owners {
		if s.reviewJobClaims(j, now); len(j.claims) > 0 && !slices.Contains(s.claimOwners, j) {
			s.claimOwners = append(s.claimOwners, j)
		}
	}
	clear(owners[len(s.claimOwners):])
}

func (s *Scheduler) reviewJobClaims(j *Job, now time.Time) {
	if len(j.claims) == 0 {
		return
	}
	if !j.gangBroken && !s.startable(j, now) {
		s.dropAllClaims(j)
		return
	}
	for i := len(j.claims) - 1; i >= 0; i-- {
		if m := j.claims[i].machine; m.Removed() || !m.Bin.Open() {
			s.dropClaim(j, i)
		}
	}
	for wants := s.claimable(j); len(j.claims) > wants; {
		s.dropClaim(j, len(j.claims)-1)
	}
	coming := s.claimedRoomFreeing(j)
	for i := len(j.claims) - 1; i >= 0; i-- {
		switch cl := &j.claims[i]; {
		case coming || j.reservedZone != "":
			cl.since = now
		case now.Sub(cl.since) > claimIntervals*s.settings.HeartbeatInterval:
			slog.Debug("room was kept in vain", "job", j.ID, "machine", cl.machine.Host, "term", s.term)
			j.noClaimsBefore = now.Add(claimPauseIntervals * s.settings.HeartbeatInterval)
			s.dropClaim(j, i)
		}
	}
}

// claimable is for how many of a job's tasks room may be its own: those that wait, and those that
// move, up to as many as it has claims for.
func (s *Scheduler) claimable(j *Job) int {
	n := j.pending()
	if n >= len(j.claims) {
		return n
	}
	for _, a := range j.attempts {
		if a.Stopping() {
			n++
		}
	}
	return n
}

// claimedRoomFreeing says whether room of a job's own is on its way: somebody there is being stopped, or one
// of its own tasks that is to move there.
func (s *Scheduler) claimedRoomFreeing(j *Job) bool {
	if j.gangBroken {
		return true
	}
	for _, cl := range j.claims {
		if slices.ContainsFunc(cl.machine.Attempts(), isLeaving) {
			return true
		}
	}
	for _, a := range j.attempts {
		if a.Stopping() {
			return true
		}
	}
	return false
}

// isLeaving says whether an attempt is being stopped, and its room on its way.
func isLeaving(a *fleet.Attempt) bool { return a.Stopping() && a.MayBePresent() && a.Item != nil }

// expectedRoom is the room that a machine has or will have, once what is being stopped there
// is gone, beyond what is anybody's own.
func expectedRoom(m *fleet.Machine) packing.Resources {
	free := m.Bin.Cap.Sub(m.Bin.Used()).Sub(m.Bin.Reserved())
	for _, a := range m.Attempts() {
		if isLeaving(a) {
			free = free.Add(a.Item.Req)
		}
	}
	return free
}

// missingClaims is for how many more of a job's tasks room could be made its own.
func (s *Scheduler) missingClaims(j *Job, now time.Time) int {
	if now.Before(j.noClaimsBefore) {
		return 0
	}
	n := s.waitingWithinLimit(j)
	if j.Shape == records.ShapeGang {
		if n < j.pending() || j.gangAttempt == 0 && len(j.attempts)+len(j.duplicates) > 0 {
			return 0 // it could not start whole
		}
		return n - len(j.claims)
	}
	return min(n-len(j.claims), maxClaimsPerPass)
}

// maxClaimsPerPass bounds the work for one job in one look. It does not bound the machines on which
// a job has room of its own: the next look claims as many more, until all that wait have some.
// A gang, which starts whole or not at all, is looked at whole.
const maxClaimsPerPass = 64
