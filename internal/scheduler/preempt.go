package scheduler

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// machineOption is a machine as a job that looks for room sees it: what it would have left
// and whom that would cost, were all that was chosen so far carried out.
type machineOption struct {
	machine     *fleet.Machine
	free        packing.Resources
	victims     []*fleet.Attempt // to be stopped
	nextVictims []*fleet.Attempt // to be stopped for one more task
	loss        float64          // of these
	feasible    bool             // one more task can be had
	version     int              // of the machine when this was worked out
}

// preemptionChoice is room for some tasks on a machine, and who is to be stopped for it.
type preemptionChoice struct {
	machine *fleet.Machine
	victims []*fleet.Attempt
	tasks   int
}

// victimKey is what the choice of victims depends on, besides whom a job has had stopped.
type victimKey struct {
	placementClass int
	rank           int
	team           string
	guaranteed     bool
}

// preemptionSearch is one look for room by all who may claim it.
type preemptionSearch struct {
	scheduler *Scheduler
	now       time.Time
	excess    map[string]quota.Amount // what teams run beyond their guarantees
	versions  map[*fleet.Machine]int  // how often a machine was changed by this look
	options   map[victimKey][]*machineOption
}

// preempt stops work of lower priority, or what another team runs in excess of its
// guarantee, where a job that may claim the room finds none, and makes the room the
// job's own. What tasks that end free anyway within a report interval is counted first:
// on hundreds of machines that is soon as much as any job takes, and nothing is lost.
// What is urgent for the sake of jobs behind it goes first, but stops nobody: a chain's
// middle jobs are as large as any and have the chain's time, and stopped hundreds of
// tasks in the middle of their fetches. Nobody is stopped for what could not start all
// the same: a gang gets all its places or none. Jobs alike share one look at the
// machines: without that, a queue of urgent jobs costs a look at every task for each.
func (s *Scheduler) preempt(now time.Time) {
	if !s.reconciled {
		return
	}
	var claimants []*Job
	anyProtected := false
	for _, job := range s.queue(now) {
		if s.startable(job, now) && job.nextTask() >= 0 && (priorityRank[job.Priority] <= 1 || job.protected && s.benefitsFromPreemption(job, now)) {
			claimants = append(claimants, job)
			anyProtected = anyProtected || job.protected
		}
	}
	if len(claimants) == 0 {
		return
	}
	search := &preemptionSearch{scheduler: s, now: now, excess: map[string]quota.Amount{}, versions: map[*fleet.Machine]int{}, options: map[victimKey][]*machineOption{}}
	if anyProtected {
		for name, t := range s.settings.Teams {
			search.excess[name] = s.quotaUsage.NotStopping(name).Sub(quota.Amount{CPUs: t.GuaranteedCPUs, GPUs: t.GuaranteedGPUs})
		}
	}
	ending := s.freedRoom.previousSpan(now, s.settings.HeartbeatInterval)
	for _, job := range claimants {
		missing := s.missingClaims(job, now)
		if job.Shape == records.ShapeGang {
			if missing > 0 {
				search.makeRoomForGang(job, missing)
			}
			continue
		}
		for missing > 0 && ending.Fits(job.request) && job.request != (packing.Resources{}) {
			ending = ending.Sub(job.request)
			missing--
		}
		if missing > 0 {
			search.makeRoomForTasks(job, missing)
		}
	}
}

// makeRoomForTasks makes room for up to n tasks of a job that need not start together.
func (s *preemptionSearch) makeRoomForTasks(job *Job, n int) {
	k := victimKey{placementClass: job.placementClass, rank: job.urgency.Rank, guaranteed: job.protected}
	if job.protected {
		k.team = job.Team
	}
	list, ok := s.options[k]
	if job.placementClass == 0 || !ok {
		list = s.listOptions(job, "")
		s.options[k] = list
	}
	excess := maps.Clone(s.excess)
	chosen, _ := s.choosePlaces(job, n, list, s.scheduler.zoneCounts(job), excess)
	s.execute(job, chosen, excess)
}

// makeRoomForGang makes room for all n tasks that a gang lacks, or for none.
func (s *preemptionSearch) makeRoomForGang(job *Job, n int) {
	zones := s.scheduler.zoneCounts(job)
	for _, zone := range s.scheduler.zoneChoices(job, zones) {
		excess := maps.Clone(s.excess)
		chosen, left := s.choosePlaces(job, n, s.listOptions(job, zone), maps.Clone(zones), excess)
		if left == 0 {
			s.execute(job, chosen, excess)
			return
		}
	}
	job.noClaimsBefore = s.now.Add(s.scheduler.settings.HeartbeatInterval) // it was a look at every task, for nothing
}

// listOptions lists those that a job may use, in a zone or, with "", in all.
func (s *preemptionSearch) listOptions(job *Job, zone string) []*machineOption {
	var list []*machineOption
	for _, m := range s.scheduler.fleet.Sorted() {
		if s.scheduler.couldHost(job, m, s.now) &&
			(zone == "" || m.Zone == zone) && !isHeldForEarlier(m, job) {
			option := &machineOption{machine: m}
			s.evaluate(job, option)
			list = append(list, option)
		}
	}
	return list
}

// evaluate works a machine out as it is.
func (s *preemptionSearch) evaluate(j *Job, option *machineOption) {
	option.free, option.victims, option.version = expectedRoom(option.machine), nil, s.versions[option.machine]
	s.chooseVictims(j, option, s.excess)
	// Room that is free now and nobody's own is for placing; only a gang, whose places
	// are not all free at once, makes that its own as well.
	if option.feasible && j.Shape != records.ShapeGang && option.machine.Bin.Fits(j.request) {
		option.feasible = false
	}
}

// choosePlaces chooses places for up to n tasks where least work is lost, and says how many
// it did not find.
func (s *preemptionSearch) choosePlaces(job *Job, n int, list []*machineOption, zones map[string]int, excess map[string]quota.Amount) ([]preemptionChoice, int) {
	var chosen []preemptionChoice
	for n > 0 {
		var best *machineOption
		for _, option := range list {
			if option.version != s.versions[option.machine] {
				s.evaluate(job, option)
			}
			if option.feasible && (best == nil || option.loss < best.loss) && (zones == nil || job.zoneAllowed(option.machine.Zone, zones)) {
				best = option
			}
		}
		if best == nil {
			break
		}
		// It may have been worked out for a job alike, or before others were chosen.
		was := best.loss
		if s.chooseVictims(job, best, excess); !best.feasible || best.loss > was {
			continue
		}
		choice := preemptionChoice{machine: best.machine, victims: best.nextVictims}
		for _, attempt := range best.nextVictims {
			best.free = best.free.Add(attempt.Item.Req)
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

// execute stops whom it takes and makes the room the job's own.
func (s *preemptionSearch) execute(job *Job, chosen []preemptionChoice, excess map[string]quota.Amount) {
	for _, choice := range chosen {
		for _, attempt := range choice.victims {
			why, save, victimJob := stopForGuarantee, 0.0, s.scheduler.jobOf(attempt)
			if victimJob.CheckpointS > 0 {
				save = victimJob.SaveS
			}
			if victimJob.urgency.Rank > job.urgency.Rank {
				why = stopPreempted
			}
			if job.preempted == nil {
				job.preempted = map[fleet.TaskID]struct{}{}
			}
			job.preempted[attempt.Task] = struct{}{}
			preemptedTotal.Inc()
			slog.Debug("stopped for another", "task", attempt.Task.String(), "machine", choice.machine.Host, "job", job.ID, "term", s.scheduler.term)
			s.scheduler.stop(attempt, why, save, s.now)
		}
		for range choice.tasks {
			s.scheduler.addClaim(job, choice.machine, s.now)
		}
		s.versions[choice.machine]++
	}
	s.excess = excess
}

// chooseVictims finds what must be stopped on a machine to make room for one more task of a
// job with the least loss of work. Nobody is stopped twice for the same job.
func (s *preemptionSearch) chooseVictims(job *Job, option *machineOption, excess map[string]quota.Amount) {
	option.nextVictims, option.loss, option.feasible = nil, 0, true
	free, excessThen := option.free, excess
	for !free.Fits(job.request) {
		var best *fleet.Attempt
		least := 0.0
		for _, attempt := range option.machine.Attempts() {
			if !s.mayPreempt(job, attempt, excessThen) || slices.Contains(option.victims, attempt) || slices.Contains(option.nextVictims, attempt) {
				continue
			}
			if loss, ok := s.scheduler.lostWork(s.scheduler.jobOf(attempt), attempt, s.now); ok && (best == nil || loss < least) {
				best, least = attempt, loss
			}
		}
		if best == nil {
			option.nextVictims, option.loss, option.feasible = nil, 0, false
			return
		}
		if len(option.nextVictims) == 0 {
			excessThen = maps.Clone(excess)
		}
		victimJob := s.scheduler.jobOf(best)
		excessThen[victimJob.Team] = excessThen[victimJob.Team].Sub(victimJob.taskQuota())
		option.nextVictims = append(option.nextVictims, best)
		free = free.Add(best.Item.Req)
		option.loss += least
	}
}

// mayPreempt says whether an attempt may be stopped for the sake of a job: it has lower
// priority, or its team runs more than it is guaranteed and the job's is owed that.
func (s *preemptionSearch) mayPreempt(job *Job, attempt *fleet.Attempt, excess map[string]quota.Amount) bool {
	if attempt.Stopping() || !attempt.MayBePresent() || attempt.State() == fleet.Sent || attempt.Item == nil {
		return false
	}
	victimJob := s.scheduler.jobOf(attempt)
	if victimJob == nil || victimJob.Shape != records.ShapeArray || victimJob.protected {
		return false
	}
	if _, before := job.preempted[attempt.Task]; before {
		return false
	}
	excessThere := excess[victimJob.Team]
	return victimJob.urgency.Rank > job.urgency.Rank || job.protected && victimJob.Team != job.Team && (excessThere.CPUs > quotaSlack || excessThere.GPUs > quotaSlack)
}

// lostWork is the machine time that stopping an attempt throws away, as a share of
// a machine. Tasks about to finish are left alone.
func (s *Scheduler) lostWork(job *Job, attempt *fleet.Attempt, now time.Time) (float64, bool) {
	share := attempt.Machine.Bin.Cap.Share(job.request)
	if attempt.RunSince.IsZero() {
		return share * 0.5, true
	}
	ran := now.Sub(attempt.RunSince).Seconds()
	if job.CheckpointS > 0 {
		return share * job.SaveS, true
	}
	if ran > job.EstimateS/2 {
		return 0, false
	}
	return share * ran, true
}

// freedRoom is the room that ends of tasks have freed lately.
type freedRoom struct {
	since             time.Time
	current, previous packing.Resources
}

func (f *freedRoom) add(req packing.Resources, now time.Time, span time.Duration) {
	f.advance(now, span)
	f.current = f.current.Add(req)
}

// advance begins a new span when one is over.
func (f *freedRoom) advance(now time.Time, span time.Duration) {
	switch past := now.Sub(f.since); {
	case past >= 2*span:
		f.since, f.current, f.previous = now, packing.Resources{}, packing.Resources{}
	case past >= span:
		f.since, f.current, f.previous = f.since.Add(span), packing.Resources{}, f.current
	}
}

// previousSpan is what was freed in the span before the one under way.
func (f *freedRoom) previousSpan(now time.Time, span time.Duration) packing.Resources {
	f.advance(now, span)
	return f.previous
}
