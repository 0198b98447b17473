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

// claim reserves room for one task on a machine for one job, until the job uses it: room freed by
// preemption, room that a moving task will use, free room while a gang waits for its other places, or
// the places of a reservation. Without claims, preempted tasks would be placed in the freed room again
// and be preempted again, because a gang cannot use the first free machine until all its machines are
// free.
type claim struct {
	machine *fleet.Machine
	since   time.Time // when the claim was made, or its room was last about to become free
}

// A claim whose room is free expires if the job does not use it for claimTimeoutIntervals heartbeat
// intervals. The job then makes no claims for claimBackoffIntervals heartbeat intervals.
const (
	claimTimeoutIntervals = 2
	claimBackoffIntervals = 4
)

// maxClaimsPerPass limits the claims that one pass adds for one job, to bound the pass's work. Later
// passes add more until every waiting task has one. It does not apply to gangs, which start as a
// whole.
const maxClaimsPerPass = 64

// addClaim claims room on a machine for one task of a job, and keeps the current placement pass from
// skipping the job.
func (s *Scheduler) addClaim(j *Job, m *fleet.Machine, now time.Time) {
	m.Bin.Reserve(j.request)
	if j.claims = append(j.claims, claim{m, now}); len(j.claims) == 1 {
		s.claimOwners = append(s.claimOwners, j)
	}
	if s.currentTurns != nil {
		s.currentTurns.exemptFromSkipping(j)
	}
}

// claimFreedPlace claims the place that a task of a broken gang leaves, if the attempt was sent and
// its machine's bin is open. The gang has to restart, and would soon preempt any other task placed
// there.
func (s *Scheduler) claimFreedPlace(j *Job, a *fleet.Attempt) {
	if j.gangBroken && a.Machine.Bin.Open() && a.State() != fleet.Planned {
		s.addClaim(j, a.Machine, s.passTime)
	}
}

// releaseClaim releases the job's claim with index i.
func (s *Scheduler) releaseClaim(j *Job, i int) {
	j.claims[i].machine.Bin.Reserve(packing.Resources{}.Sub(j.request))
	j.claims = slices.Delete(j.claims, i, i+1)
	s.placementStale = true
}

func (s *Scheduler) releaseAllClaims(j *Job) {
	for len(j.claims) > 0 {
		s.releaseClaim(j, len(j.claims)-1)
	}
}

// suspendClaims removes and returns all claims of a job, so that its own placement can use the room.
func (s *Scheduler) suspendClaims(j *Job) []claim {
	suspended := j.claims
	for _, claimed := range suspended {
		claimed.machine.Bin.Reserve(packing.Resources{}.Sub(j.request))
	}
	j.claims = nil
	return suspended
}

// restoreClaims restores suspended claims.
func (s *Scheduler) restoreClaims(j *Job, suspended []claim) {
	for _, claimed := range suspended {
		claimed.machine.Bin.Reserve(j.request)
	}
	j.claims = suspended
}

// placeInClaims places tasks of a job other than a gang in its claimed room, as far as that is
// free. It releases the claims that it uses, and those in zones that the job's zone constraint no
// longer allows. It updates zones, the job's tasks and claims by zone (nil: no zone constraint),
// and, if the job's team has a limit, used, the quota in use by team.
func (s *Scheduler) placeInClaims(job *Job, used map[string]quota.Amount, zones map[string]int, now time.Time) {
	limited := job.teamLimited
	for i := 0; i < len(job.claims); {
		task, machine := job.nextTask(), job.claims[i].machine
		if task < 0 || limited && !s.withinLimit(job, used[job.Team]) {
			return
		}
		if !machine.Bin.Capacity.Sub(machine.Bin.Used()).Fits(job.request) {
			i++
			continue
		}
		s.releaseClaim(job, i)
		if zones != nil {
			zones[machine.Zone]-- // zones included the claim
			if !job.zoneAllowed(machine.Zone, zones) {
				continue
			}
			zones[machine.Zone]++
		}
		item := job.newItem()
		machine.Bin.Add(item)
		s.planAttempt(job, task, s.newAttemptNumber(), machine, item, now)
		job.dequeueTask(task)
		if limited {
			used[job.Team] = used[job.Team].Add(job.taskQuota())
		}
	}
}

// expireClaims releases claims whose job cannot start or whose machine is gone or accepts no tasks,
// claims beyond the job's waiting tasks, and claims whose room stayed unused for
// claimTimeoutIntervals. A broken gang keeps its claims although it cannot start, and claims of a
// reservation do not time out.
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

// claimableTasks returns how many claims a job may keep: one for each waiting task and, if it has
// more claims than that, one for each task that is being stopped.
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

// claimsAwaitRoom reports whether the room that a job claims is about to be freed or used: its
// gang, an attempt on a claimed machine, or an attempt of the job (which moves there) is being
// stopped.
func (s *Scheduler) claimsAwaitRoom(job *Job) bool {
	if job.gangBroken {
		return true
	}
	var checked *fleet.Machine // the claims on a machine mostly follow each other
	for _, claimed := range job.claims {
		if claimed.machine == checked {
			continue
		}
		checked = claimed.machine
		if slices.ContainsFunc(checked.Attempts(), isStoppingOnMachine) {
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

// isStoppingOnMachine reports whether an attempt is being stopped and still occupies room.
func isStoppingOnMachine(a *fleet.Attempt) bool {
	return a.Stopping() && a.MayBePresent() && a.Item != nil
}

// expectedRoom returns the unclaimed room of a machine, including the room of attempts that are being
// stopped.
func expectedRoom(m *fleet.Machine) packing.Resources {
	free := m.Bin.Capacity.Sub(m.Bin.Used()).Sub(m.Bin.Reserved())
	for _, a := range m.Attempts() {
		if isStoppingOnMachine(a) {
			free = free.Add(a.Item.Request)
		}
	}
	return free
}

// missingClaims returns how many more claims a job may make in this pass. It returns 0 during the
// job's claim backoff, and for a gang that could not start as a whole.
func (s *Scheduler) missingClaims(job *Job, now time.Time) int {
	if now.Before(job.claimsNotBefore) {
		return 0
	}
	n := s.waitingWithinLimit(job)
	if job.Shape == records.ShapeGang {
		if n < job.pending() || job.gangAttempt == 0 && len(job.attempts)+len(job.duplicates) > 0 {
			return 0
		}
		return n - len(job.claims)
	}
	return min(n-len(job.claims), maxClaimsPerPass)
}
