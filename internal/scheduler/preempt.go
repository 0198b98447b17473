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
	owing := false
	for _, j := range s.queue(now) {
		if s.startable(j, now) && j.nextTask() >= 0 && (priorityRank[j.Priority] <= 1 || j.protected && s.benefitsFromPreemption(j, now)) {
			claimants = append(claimants, j)
			owing = owing || j.protected
		}
	}
	if len(claimants) == 0 {
		return
	}
	search := &preemptionSearch{scheduler: s, now: now, excess: map[string]quota.Amount{}, versions: map[*fleet.Machine]int{}, options: map[victimKey][]*machineOption{}}
	if owing {
		for name, t := range s.settings.Teams {
			search.excess[name] = s.quotaUsage.NotStopping(name).Sub(quota.Amount{CPUs: t.GuaranteedCPUs, GPUs: t.GuaranteedGPUs})
		}
	}
	ending := s.freedRoom.previousSpan(now, s.settings.HeartbeatInterval)
	for _, j := range claimants {
		n := s.missingClaims(j, now)
		if j.Shape == records.ShapeGang {
			if n > 0 {
				search.makeRoomForGang(j, n)
			}
			continue
		}
		for n > 0 && ending.Fits(j.request) && j.request != (packing.Resources{}) {
			ending = ending.Sub(j.request)
			n--
		}
		if n > 0 {
			search.makeRoomForTasks(j, n)
		}
	}
}

// makeRoomForTasks makes room for up to n tasks of a job that need not start together.
func (s *preemptionSearch) makeRoomForTasks(j *Job, n int) {
	k := victimKey{placementClass: j.placementClass, rank: j.urgency.Rank, guaranteed: j.protected}
	if j.protected {
		k.team = j.Team
	}
	list, ok := s.options[k]
	if j.placementClass == 0 || !ok {
		list = s.listOptions(j, "")
		s.options[k] = list
	}
	excess := maps.Clone(s.excess)
	chosen, _ := s.choosePlaces(j, n, list, s.scheduler.zoneCounts(j), excess)
	s.execute(j, chosen, excess)
}

// makeRoomForGang makes room for all n tasks that a gang lacks, or for none.
func (s *preemptionSearch) makeRoomForGang(j *Job, n int) {
	zones := s.scheduler.zoneCounts(j)
	for _, zone := range s.scheduler.zoneChoices(j, zones) {
		excess := maps.Clone(s.excess)
		chosen, left := s.choosePlaces(j, n, s.listOptions(j, zone), maps.Clone(zones), excess)
		if left == 0 {
			s.execute(j, chosen, excess)
			return
		}
	}
	j.noClaimsBefore = s.now.Add(s.scheduler.settings.HeartbeatInterval) // it was a look at every task, for nothing
}

// listOptions lists those that a job may use, in a zone or, with "", in all.
func (s *preemptionSearch) listOptions(j *Job, zone string) []*machineOption {
	var list []*machineOption
	for _, m := range s.scheduler.fleet.Sorted() {
		if s.scheduler.couldHost(j, m, s.now) &&
			(zone == "" || m.Zone == zone) && !isHeldForEarlier(m, j) {
			v := &machineOption{machine: m}
			s.evaluate(j, v)
			list = append(list, v)
		}
	}
	return list
}

// evaluate works a machine out as it is.
func (s *preemptionSearch) evaluate(j *Job, v *machineOption) {
	v.free, v.victims, v.version = expectedRoom(v.machine), nil, s.versions[v.machine]
	s.chooseVictims(j, v, s.excess)
	// Room that is free now and nobody's own is for placing; only a gang, whose places
	// are not all free at once, makes that its own as well.
	if v.feasible && j.Shape != records.ShapeGang && v.machine.Bin.Fits(j.request) {
		v.feasible = false
	}
}

// choosePlaces chooses places for up to n tasks where least work is lost, and says how many
// it did not find.
func (s *preemptionSearch) choosePlaces(j *Job, n int, list []*machineOption, zones map[string]int, excess map[string]quota.Amount) ([]preemptionChoice, int) {
	var chosen []preemptionChoice
	for n > 0 {
		var best *machineOption
		for _, v := range list {
			if v.version != s.versions[v.machine] {
				s.evaluate(j, v)
			}
			if v.feasible && (best == nil || v.loss < best.loss) && (zones == nil || j.zoneAllowed(v.machine.Zone, zones)) {
				best = v
			}
		}
		if best == nil {
			break
		}
		// It may have been worked out for a job alike, or before others were chosen.
		was := best.loss
		if s.chooseVictims(j, best, excess); !best.feasible || best.loss > was {
			continue
		}
		take := preemptionChoice{machine: best.machine, victims: best.nextVictims}
		for _, a := range best.nextVictims {
			best.free = best.free.Add(a.Item.Req)
			aj := s.scheduler.jobOf(a)
			excess[aj.Team] = excess[aj.Team].Sub(aj.taskQuota())
		}
		best.victims = append(best.victims, best.nextVictims...)
		for n > 0 && best.free.Fits(j.request) && (zones == nil || j.zoneAllowed(best.machine.Zone, zones)) {
			best.free = best.free.Sub(j.request)
			take.tasks++
			n--
			if zones != nil {
				zones[best.machine.Zone]++
			}
		}
		chosen = append(chosen, take)
		s.chooseVictims(j, best, excess)
	}
	return chosen, n
}

// execute stops whom it takes and makes the room the job's own.
func (s *preemptionSearch) execute(j *Job, chosen []preemptionChoice, excess map[string]quota.Amount) {
	for _, x := range chosen {
		for _, a := range x.victims {
			why, save, aj := stopForGuarantee, 0.0, s.scheduler.jobOf(a)
			if aj.CheckpointS > 0 {
				save = aj.SaveS
			}
			if aj.urgency.Rank > j.urgency.Rank {
				why = stopPreempted
			}
			if j.preempted == nil {
				j.preempted = map[fleet.TaskID]struct{}{}
			}
			j.preempted[a.Task] = struct{}{}
			preemptedTotal.Inc()
			slog.Debug("stopped for another", "task", a.Task.String(), "machine", x.machine.Host, "job", j.ID, "term", s.scheduler.term)
			s.scheduler.stop(a, why, save, s.now)
		}
		for range x.tasks {
			s.scheduler.addClaim(j, x.machine, s.now)
		}
		s.versions[x.machine]++
	}
	s.excess = excess
}

// chooseVictims finds what must be stopped on a machine to make room for one more task of a
// job with the least loss of work. Nobody is stopped twice for the same job.
func (s *preemptionSearch) chooseVictims(j *Job, v *machineOption, excess map[string]quota.Amount) {
	v.nextVictims, v.loss, v.feasible = nil, 0, true
	free, over := v.free, excess
	for !free.Fits(j.request) {
		var best *fleet.Attempt
		least := 0.0
		for _, a := range v.machine.Attempts() {
			if !s.mayPreempt(j, a, over) || slices.Contains(v.victims, a) || slices.Contains(v.nextVictims, a) {
				continue
			}
			if l, ok := s.scheduler.lostWork(s.scheduler.jobOf(a), a, s.now); ok && (best == nil || l < least) {
				best, least = a, l
			}
		}
		if best == nil {
			v.nextVictims, v.loss, v.feasible = nil, 0, false
			return
		}
		if len(v.nextVictims) == 0 {
			over = maps.Clone(excess)
		}
		bj := s.scheduler.jobOf(best)
		over[bj.Team] = over[bj.Team].Sub(bj.taskQuota())
		v.nextVictims = append(v.nextVictims, best)
		free = free.Add(best.Item.Req)
		v.loss += least
	}
}

// mayPreempt says whether an attempt may be stopped for the sake of a job: it has lower
// priority, or its team runs more than it is guaranteed and the job's is owed that.
func (s *preemptionSearch) mayPreempt(j *Job, a *fleet.Attempt, excess map[string]quota.Amount) bool {
	if a.Stopping() || !a.MayBePresent() || a.State() == fleet.Sent || a.Item == nil {
		return false
	}
	aj := s.scheduler.jobOf(a)
	if aj == nil || aj.Shape != records.ShapeArray || aj.protected {
		return false
	}
	if _, before := j.preempted[a.Task]; before {
		return false
	}
	over := excess[aj.Team]
	return aj.urgency.Rank > j.urgency.Rank || j.protected && aj.Team != j.Team && (over.CPUs > quotaSlack || over.GPUs > quotaSlack)
}

// lostWork is the machine time that stopping an attempt throws away, as a share of
// a machine. Tasks about to finish are left alone.
func (s *Scheduler) lostWork(j *Job, a *fleet.Attempt, now time.Time) (float64, bool) {
	share := a.Machine.Bin.Cap.Share(j.request)
	if a.RunSince.IsZero() {
		return share * 0.5, true
	}
	ran := now.Sub(a.RunSince).Seconds()
	if j.CheckpointS > 0 {
		return share * j.SaveS, true
	}
	if ran > j.EstimateS/2 {
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
