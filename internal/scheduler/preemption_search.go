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

// preemptionCandidate is a machine that a job may use, with the machine's free room and the
// attempts to stop for one more task of the job, as if all choices made so far had been applied.
type preemptionCandidate struct {
	machine     *fleet.Machine
	free        packing.Resources // unclaimed, including the room of victims
	possible    []possibleVictim  // attempts on the machine that may be stopped
	nextVictims []*possibleVictim // of possible, to stop for one more task
	loss        float64           // lost work of nextVictims, in the unit of lostWork
	feasible    bool              // room for one more task can be freed
	version     int               // preemptionSearch.versions of the machine when it was evaluated
}

// preemptionChoice is room for a number of tasks on a machine, and the attempts to stop for that room.
type preemptionChoice struct {
	machine *fleet.Machine
	victims []*fleet.Attempt
	tasks   int
}

// candidateKey contains everything about a job that the choice of victims depends on, except for the
// tasks that were preempted for it before and the machines that are held for earlier jobs.
type candidateKey struct {
	placementClass int
	rank           int
	team           string // "" if the job is not protected
	protected      bool   // the job is protected by its team's guarantee
}

// preemptionSearch frees room by preemption, for all jobs that may preempt at one tick.
type preemptionSearch struct {
	scheduler  *Scheduler
	now        time.Time
	excess     map[string]quota.Amount // by team, usage beyond the guarantee; loaded only if a protected job preempts
	versions   map[*fleet.Machine]int  // number of preemptionChoices of this search applied to a machine
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

// makeRoomForTasks preempts for up to n tasks of a job that is not a gang, and claims the room.
func (s *preemptionSearch) makeRoomForTasks(job *Job, n int) {
	k := candidateKey{placementClass: job.placementClass, rank: job.precedence.Rank, protected: job.protected}
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

// makeRoomForGang preempts for all n tasks of a gang that lack a place and claims the room, or does
// neither and starts the job's claim backoff of one heartbeat interval.
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

// listCandidates returns an evaluated candidate for each machine that a job may use, in one zone or,
// with "", in all zones.
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
	candidate.free, candidate.version = expectedRoom(candidate.machine), s.versions[candidate.machine]
	candidate.possible = s.possibleVictims(candidate.machine)
	s.chooseVictims(j, candidate, s.excess)
	// Room that is free and unclaimed is left to placement. Only for a gang it is claimed, because the
	// gang's places do not all become free at once.
	if candidate.feasible && j.Shape != records.ShapeGang && candidate.machine.Bin.Fits(j.request) {
		candidate.feasible = false
	}
}

// choosePlaces chooses places for up to n tasks of a job, those with the least lost work first. It
// returns the choices and the number of tasks without a place, and updates zones and excess. zones
// counts the job's tasks by zone; nil if it has no zone constraint.
func (s *preemptionSearch) choosePlaces(job *Job, n int, list []*preemptionCandidate, zones map[string]int,
	excess map[string]quota.Amount) (chosen []preemptionChoice, missing int) {
	queue := s.newCandidateQueue(job, list)
	for n > 0 && queue.Len() > 0 {
		best := queue.first()
		if zones != nil && !job.zoneAllowed(best.machine.Zone, zones) {
			queue.removeFirst() // a zone that is full or excluded stays so
			continue
		}
		// The candidate may have been evaluated for an equivalent job, or before other choices.
		previousLoss := best.loss
		if s.chooseVictims(job, best, excess); !best.feasible || best.loss > previousLoss {
			queue.updateFirst()
			continue
		}
		choice := preemptionChoice{machine: best.machine}
		for _, victim := range best.nextVictims {
			victim.taken = true
			choice.victims = append(choice.victims, victim.attempt)
			best.free = best.free.Add(victim.attempt.Item.Request)
			victimJob := s.scheduler.jobOf(victim.attempt)
			excess[victimJob.Team] = excess[victimJob.Team].Sub(victimJob.taskQuota())
		}
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
		queue.updateFirst()
	}
	return chosen, n
}

// apply preempts the victims of the choices, claims the room for the job, and sets the teams' excess.
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

// preemptFor stops an attempt to make room for a job. If the attempt's own job takes checkpoints, the
// attempt gets time to save one.
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
