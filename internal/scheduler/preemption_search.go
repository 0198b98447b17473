package scheduler

import (
	"log/slog"
	"maps"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// preemptionCandidate is a machine that a job may use, with its free room and the attempts to stop
// for one more task, as if all choices so far had been applied.
type preemptionCandidate struct {
	machine     *fleet.Machine
	free        packing.Resources
	victims     []*fleet.Attempt // attempts chosen to be stopped
	nextVictims []*fleet.Attempt // attempts to stop for one more task
	loss        float64          // lost work of nextVictims, in the unit of lostWork
	feasible    bool             // room for one more task can be freed
	version     int              // version of the machine at this evaluation
}

// preemptionChoice is room for a number of tasks on a machine, and the attempts to stop for it.
type preemptionChoice struct {
	machine *fleet.Machine
	victims []*fleet.Attempt
	tasks   int
}

// candidateKey contains what the choice of victims depends on, except for the tasks that the job has
// preempted before.
type candidateKey struct {
	placementClass int
	rank           int
	team           string
	guaranteed     bool
}

// preemptionSearch is a search for room by preemption, for all jobs of one pass that may preempt.
type preemptionSearch struct {
	scheduler  *Scheduler
	now        time.Time
	excess     map[string]quota.Amount // usage of teams beyond their guarantees; loaded only if a protected job preempts
	versions   map[*fleet.Machine]int  // number of changes that this search made to a machine
	candidates map[candidateKey][]*preemptionCandidate
}

func newPreemptionSearch(s *Scheduler, now time.Time) *preemptionSearch {
	return &preemptionSearch{
		scheduler:  s,
		now:        now,
		excess:     map[string]quota.Amount{},
		versions:   map[*fleet.Machine]int{},
		candidates: map[candidateKey][]*preemptionCandidate{},
	}
}

// loadExcess computes each team's usage beyond its guarantee; attempts being stopped do not count.
func (s *preemptionSearch) loadExcess() {
	for name, team := range s.scheduler.settings.Teams {
		guarantee := quota.Amount{CPUs: team.GuaranteedCPUs, GPUs: team.GuaranteedGPUs}
		s.excess[name] = s.scheduler.quotaUsage.NotStopping(name).Sub(guarantee)
	}
}

// makeRoomForTasks frees room for up to n tasks of a job that is not a gang.
func (s *preemptionSearch) makeRoomForTasks(job *Job, n int) {
	k := candidateKey{placementClass: job.placementClass, rank: job.precedence.Rank, guaranteed: job.protected}
	if job.protected {
		k.team = job.Team
	}
	list, ok := s.candidates[k]
	if job.placementClass == 0 || !ok {
		list = s.listCandidates(job, "")
		s.candidates[k] = list
	}
	excess := maps.Clone(s.excess)
	chosen, _ := s.choosePlaces(job, n, list, s.scheduler.constrainedZoneCounts(job), excess)
	s.apply(job, chosen, excess)
}

// makeRoomForGang frees room for all n tasks that a gang has no place for, or for none.
func (s *preemptionSearch) makeRoomForGang(job *Job, n int) {
	zones := s.scheduler.constrainedZoneCounts(job)
	for _, zone := range s.scheduler.zonesToTry(job, zones) {
		excess := maps.Clone(s.excess)
		chosen, left := s.choosePlaces(job, n, s.listCandidates(job, zone), maps.Clone(zones), excess)
		if left == 0 {
			s.apply(job, chosen, excess)
			return
		}
	}
	job.claimsNotBefore = s.now.Add(s.scheduler.settings.HeartbeatInterval) // a failed search examined every task
}

// listCandidates evaluates the machines that a job may use, in one zone or, with "", in all zones.
func (s *preemptionSearch) listCandidates(job *Job, zone string) []*preemptionCandidate {
	var list []*preemptionCandidate
	for _, m := range s.scheduler.fleet.Sorted() {
		if s.scheduler.couldHost(job, m, s.now) &&
			(zone == "" || m.Zone == zone) && !isHeldForEarlierJob(m, job) {
			candidate := &preemptionCandidate{machine: m}
			s.evaluate(job, candidate)
			list = append(list, candidate)
		}
	}
	return list
}

// evaluate evaluates a candidate for the current state of its machine.
func (s *preemptionSearch) evaluate(j *Job, candidate *preemptionCandidate) {
	candidate.free, candidate.victims, candidate.version = expectedRoom(candidate.machine), nil, s.versions[candidate.machine]
	s.chooseVictims(j, candidate, s.excess)
	// Free unclaimed room is left to placement. Only a gang claims it, as its places do not all become
	// free at once.
	if candidate.feasible && j.Shape != records.ShapeGang && candidate.machine.Bin.Fits(j.request) {
		candidate.feasible = false
	}
}

// choosePlaces chooses places for up to n tasks, those with the least lost work first, and returns
// for how many tasks it found none. It updates zones and excess.
func (s *preemptionSearch) choosePlaces(job *Job, n int, list []*preemptionCandidate, zones map[string]int,
	excess map[string]quota.Amount) (chosen []preemptionChoice, missing int) {
	for n > 0 {
		best := s.cheapestCandidate(job, list, zones)
		if best == nil {
			break
		}
		// The candidate may have been evaluated for an equivalent job, or before other choices.
		previousLoss := best.loss
		if s.chooseVictims(job, best, excess); !best.feasible || best.loss > previousLoss {
			continue
		}
		choice := preemptionChoice{machine: best.machine, victims: best.nextVictims}
		for _, attempt := range best.nextVictims {
			best.free = best.free.Add(attempt.Item.Request)
			victimJob := s.scheduler.jobOf(attempt)
			excess[victimJob.Team] = excess[victimJob.Team].Sub(victimJob.taskQuota())
		}
		best.victims = append(best.victims, best.nextVictims...)
		for n > 0 && best.free.Fits(job.request) && (zones == nil || job.zoneAllowed(best.machine.Zone, zones)) {
			best.free = best.free.Sub(job.request)
			choice.tasks++
			n--
			if zones != nil {
				zones[best.machine.Zone]++
			}
		}
		chosen = append(chosen, choice)
		s.chooseVictims(job, best, excess)
	}
	return chosen, n
}

// cheapestCandidate returns the feasible candidate with the least lost work, nil if there is none.
// It reevaluates candidates whose machine has changed.
func (s *preemptionSearch) cheapestCandidate(job *Job, list []*preemptionCandidate, zones map[string]int) *preemptionCandidate {
	var best *preemptionCandidate
	for _, candidate := range list {
		if candidate.version != s.versions[candidate.machine] {
			s.evaluate(job, candidate)
		}
		if !candidate.feasible || best != nil && candidate.loss >= best.loss {
			continue
		}
		if zones == nil || job.zoneAllowed(candidate.machine.Zone, zones) {
			best = candidate
		}
	}
	return best
}

// apply preempts the chosen victims and claims their room for the job.
func (s *preemptionSearch) apply(job *Job, chosen []preemptionChoice, excess map[string]quota.Amount) {
	for _, choice := range chosen {
		for _, victim := range choice.victims {
			s.preemptFor(job, victim)
		}
		for range choice.tasks {
			s.scheduler.addClaim(job, choice.machine, s.now)
		}
		s.versions[choice.machine]++
	}
	s.excess = excess
}

// preemptFor stops an attempt to make room for a job, with time to save a checkpoint if it has any.
func (s *preemptionSearch) preemptFor(job *Job, victim *fleet.Attempt) {
	victimJob := s.scheduler.jobOf(victim)
	graceS := 0.0
	if victimJob.CheckpointS > 0 {
		graceS = victimJob.SaveS
	}
	reason := stopForGuarantee
	if victimJob.precedence.Rank > job.precedence.Rank {
		reason = stopPreempted
	}
	if job.preemptedTasks == nil {
		job.preemptedTasks = map[fleet.TaskID]struct{}{}
	}
	job.preemptedTasks[victim.Task] = struct{}{}
	preemptedTotal.Inc()
	slog.Debug("task preempted", "task", victim.Task.String(), "machine", victim.Machine.Name, "preemptor", job.ID,
		"reason", reason, "term", s.scheduler.term)
	s.scheduler.requestStop(victim, reason, graceS, s.now)
}
