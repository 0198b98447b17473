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

// preemptionCandidate is a machine as a job that looks for room sees it: what would be free there and whom
// that would cost, were all that was chosen so far carried out.
type preemptionCandidate struct {
	machine     *fleet.Machine
	free        packing.Resources
	victims     []*fleet.Attempt // to be stopped
	nextVictims []*fleet.Attempt // to be stopped for one more task
	loss        float64          // of these
	feasible    bool             // one more task can be had
	version     int              // of the machine when this was evaluated
}

// preemptionChoice is room for some tasks on a machine, and which attempts are to be stopped for it.
type preemptionChoice struct {
	machine *fleet.Machine
	victims []*fleet.Attempt
	tasks   int
}

// candidateKey is what the choice of victims depends on, apart from whom a job has preempted before.
type candidateKey struct {
	placementClass int
	rank           int
	team           string
	guaranteed     bool
}

// preemptionSearch is one search for room for all jobs that may preempt.
type preemptionSearch struct {
	scheduler  *Scheduler
	now        time.Time
	excess     map[string]quota.Amount // what teams run beyond their guarantees; loaded only where a protected job claims room
	versions   map[*fleet.Machine]int  // how often this search changed a machine
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

// loadExcess notes what every team runs beyond its guarantee.
func (s *preemptionSearch) loadExcess() {
	for name, team := range s.scheduler.settings.Teams {
		guarantee := quota.Amount{CPUs: team.GuaranteedCPUs, GPUs: team.GuaranteedGPUs}
		s.excess[name] = s.scheduler.quotaUsage.NotStopping(name).Sub(guarantee)
	}
}

// makeRoomForTasks makes room for up to n tasks of a job that need not start together.
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

// makeRoomForGang makes room for all n tasks that a gang lacks, or for none.
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
	job.claimsNotBefore = s.now.Add(s.scheduler.settings.HeartbeatInterval) // every task was examined in vain
}

// listCandidates lists the machines that a job may use, in a zone or, with "", in all.
func (s *preemptionSearch) listCandidates(job *Job, zone string) []*preemptionCandidate {
	var list []*preemptionCandidate
	for _, m := range s.scheduler.fleet.Sorted() {
		if s.scheduler.couldHost(job, m, s.now) &&
			(zone == "" || m.Zone == zone) && !isHeldForEarlierJob(m, job) {
			option := &preemptionCandidate{machine: m}
			s.evaluate(job, option)
			list = append(list, option)
		}
	}
	return list
}

// evaluate evaluates a machine as it is now.
func (s *preemptionSearch) evaluate(j *Job, option *preemptionCandidate) {
	option.free, option.victims, option.version = expectedRoom(option.machine), nil, s.versions[option.machine]
	s.chooseVictims(j, option, s.excess)
	// Room that is free now and claimed by nobody is for placement; only a gang, whose places are not all
	// free at once, claims that as well.
	if option.feasible && j.Shape != records.ShapeGang && option.machine.Bin.Fits(j.request) {
		option.feasible = false
	}
}

// choosePlaces chooses places for up to n tasks where least work is lost, and returns how many tasks it
// found none for.
func (s *preemptionSearch) choosePlaces(job *Job, n int, list []*preemptionCandidate, zones map[string]int,
	excess map[string]quota.Amount) (chosen []preemptionChoice, missing int) {
	for n > 0 {
		best := s.cheapestCandidate(job, list, zones)
		if best == nil {
			break
		}
		// The option may have been evaluated for an equal job, or before others were chosen.
		was := best.loss
		if s.chooseVictims(job, best, excess); !best.feasible || best.loss > was {
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

// cheapestCandidate returns the feasible option with the least loss of work, nil if there is none. Options
// whose machine has changed are evaluated again.
func (s *preemptionSearch) cheapestCandidate(job *Job, list []*preemptionCandidate, zones map[string]int) *preemptionCandidate {
	var best *preemptionCandidate
	for _, option := range list {
		if option.version != s.versions[option.machine] {
			s.evaluate(job, option)
		}
		if !option.feasible || best != nil && option.loss >= best.loss {
			continue
		}
		if zones == nil || job.zoneAllowed(option.machine.Zone, zones) {
			best = option
		}
	}
	return best
}

// apply stops the victims of what was chosen and claims their room for the job.
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

// preemptFor stops an attempt for a job, with time to save a checkpoint if it has any.
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
