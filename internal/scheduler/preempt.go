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

// vacancy is a machine as a job that looks for room sees it: what it would have left
// and whom that would cost, were all that was chosen so far carried out.
type vacancy struct {
	m       *fleet.Machine
	free    packing.Resources
	chosen  []*fleet.Attempt // to be stopped
	next    []*fleet.Attempt // to be stopped for one more task
	loss    float64          // of these
	ok      bool             // one more task can be had
	version int              // of the machine when this was worked out
}

// taken is room for some tasks on a machine, and who is to be stopped for it.
type taken struct {
	m     *fleet.Machine
	stop  []*fleet.Attempt
	tasks int
}

// likes is what the choice of victims depends on, besides whom a job has had stopped.
type likes struct {
	alike      int
	rank       int
	team       string
	guaranteed bool
}

// search is one look for room by all who may claim it.
type search struct {
	c        *Scheduler
	now      time.Time
	excess   map[string]quota.Amount // what teams run beyond their guarantees
	versions map[*fleet.Machine]int  // how often a machine was changed by this look
	seen     map[likes][]*vacancy
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
func (c *Scheduler) preempt(now time.Time) {
	if !c.settled {
		return
	}
	var claimants []*Job
	owing := false
	for _, j := range c.queue(now) {
		if c.startable(j, now) && j.peek() >= 0 && (prioRank[j.Priority] <= 1 || j.holds && c.gains(j, now)) {
			claimants = append(claimants, j)
			owing = owing || j.holds
		}
	}
	if len(claimants) == 0 {
		return
	}
	s := &search{c: c, now: now, excess: map[string]quota.Amount{}, versions: map[*fleet.Machine]int{}, seen: map[likes][]*vacancy{}}
	if owing {
		for name, t := range c.set.Teams {
			s.excess[name] = c.usage.NotStopping(name).Sub(quota.Amount{CPUs: t.GuaranteedCPUs, GPUs: t.GuaranteedGPUs})
		}
	}
	ending := c.freed.lately(now, c.set.HeartbeatInterval)
	for _, j := range claimants {
		n := c.lacks(j, now)
		if j.Shape == records.ShapeGang {
			if n > 0 {
				s.gang(j, n)
			}
			continue
		}
		for n > 0 && ending.Fits(j.req) && j.req != (packing.Resources{}) {
			ending = ending.Sub(j.req)
			n--
		}
		if n > 0 {
			s.tasks(j, n)
		}
	}
}

// tasks makes room for up to n tasks of a job that need not start together.
func (s *search) tasks(j *Job, n int) {
	k := likes{alike: j.alike, rank: j.terms.Rank, guaranteed: j.holds}
	if j.holds {
		k.team = j.Team
	}
	list, ok := s.seen[k]
	if j.alike == 0 || !ok {
		list = s.machines(j, "")
		s.seen[k] = list
	}
	excess := maps.Clone(s.excess)
	chosen, _ := s.gather(j, n, list, s.c.bounds(j), excess)
	s.carryOut(j, chosen, excess)
}

// gang makes room for all n tasks that a gang lacks, or for none.
func (s *search) gang(j *Job, n int) {
	zones := s.c.bounds(j)
	for _, zone := range s.c.zoneChoices(j, zones) {
		excess := maps.Clone(s.excess)
		chosen, left := s.gather(j, n, s.machines(j, zone), maps.Clone(zones), excess)
		if left == 0 {
			s.carryOut(j, chosen, excess)
			return
		}
	}
	j.claimAfter = s.now.Add(s.c.set.HeartbeatInterval) // it was a look at every task, for nothing
}

// machines lists those that a job may use, in a zone or, with "", in all.
func (s *search) machines(j *Job, zone string) []*vacancy {
	var list []*vacancy
	for _, m := range s.c.fleet.Sorted() {
		if s.c.mayHold(j, m, s.now) &&
			(zone == "" || m.Zone == zone) && !spared(m, j) {
			v := &vacancy{m: m}
			s.look(j, v)
			list = append(list, v)
		}
	}
	return list
}

// look works a machine out as it is.
func (s *search) look(j *Job, v *vacancy) {
	v.free, v.chosen, v.version = coming(v.m), nil, s.versions[v.m]
	s.weigh(j, v, s.excess)
	// Room that is free now and nobody's own is for placing; only a gang, whose places
	// are not all free at once, makes that its own as well.
	if v.ok && j.Shape != records.ShapeGang && v.m.Bin.Fits(j.req) {
		v.ok = false
	}
}

// gather chooses places for up to n tasks where least work is lost, and says how many
// it did not find.
func (s *search) gather(j *Job, n int, list []*vacancy, zones map[string]int, excess map[string]quota.Amount) ([]taken, int) {
	var chosen []taken
	for n > 0 {
		var best *vacancy
		for _, v := range list {
			if v.version != s.versions[v.m] {
				s.look(j, v)
			}
			if v.ok && (best == nil || v.loss < best.loss) && (zones == nil || j.zoneOK(v.m.Zone, zones)) {
				best = v
			}
		}
		if best == nil {
			break
		}
		// It may have been worked out for a job alike, or before others were chosen.
		was := best.loss
		if s.weigh(j, best, excess); !best.ok || best.loss > was {
			continue
		}
		take := taken{m: best.m, stop: best.next}
		for _, a := range best.next {
			best.free = best.free.Add(a.Item.Req)
			aj := s.c.jobOf(a)
			excess[aj.Team] = excess[aj.Team].Sub(aj.quota())
		}
		best.chosen = append(best.chosen, best.next...)
		for n > 0 && best.free.Fits(j.req) && (zones == nil || j.zoneOK(best.m.Zone, zones)) {
			best.free = best.free.Sub(j.req)
			take.tasks++
			n--
			if zones != nil {
				zones[best.m.Zone]++
			}
		}
		chosen = append(chosen, take)
		s.weigh(j, best, excess)
	}
	return chosen, n
}

// carryOut stops whom it takes and makes the room the job's own.
func (s *search) carryOut(j *Job, chosen []taken, excess map[string]quota.Amount) {
	for _, x := range chosen {
		for _, a := range x.stop {
			why, save, aj := whyGuarantee, 0.0, s.c.jobOf(a)
			if aj.CheckpointS > 0 {
				save = aj.SaveS
			}
			if aj.terms.Rank > j.terms.Rank {
				why = whyPreempted
			}
			if j.stopped == nil {
				j.stopped = map[fleet.TaskID]struct{}{}
			}
			j.stopped[a.Task] = struct{}{}
			preemptedTotal.Inc()
			slog.Debug("stopped for another", "task", a.Task.String(), "machine", x.m.Host, "job", j.ID, "term", s.c.term)
			s.c.stop(a, why, save, s.now)
		}
		for range x.tasks {
			s.c.own(j, x.m, s.now)
		}
		s.versions[x.m]++
	}
	s.excess = excess
}

// weigh finds what must be stopped on a machine to make room for one more task of a
// job with the least loss of work. Nobody is stopped twice for the same job.
func (s *search) weigh(j *Job, v *vacancy, excess map[string]quota.Amount) {
	v.next, v.loss, v.ok = nil, 0, true
	free, over := v.free, excess
	for !free.Fits(j.req) {
		var best *fleet.Attempt
		least := 0.0
		for _, a := range v.m.Attempts() {
			if !s.stoppable(j, a, over) || slices.Contains(v.chosen, a) || slices.Contains(v.next, a) {
				continue
			}
			if l, ok := s.c.loss(s.c.jobOf(a), a, s.now); ok && (best == nil || l < least) {
				best, least = a, l
			}
		}
		if best == nil {
			v.next, v.loss, v.ok = nil, 0, false
			return
		}
		if len(v.next) == 0 {
			over = maps.Clone(excess)
		}
		bj := s.c.jobOf(best)
		over[bj.Team] = over[bj.Team].Sub(bj.quota())
		v.next = append(v.next, best)
		free = free.Add(best.Item.Req)
		v.loss += least
	}
}

// stoppable says whether an attempt may be stopped for the sake of a job: it has lower
// priority, or its team runs more than it is guaranteed and the job's is owed that.
func (s *search) stoppable(j *Job, a *fleet.Attempt, excess map[string]quota.Amount) bool {
	if a.Stopping() || !a.MayBePresent() || a.State() == fleet.Sent || a.Item == nil {
		return false
	}
	aj := s.c.jobOf(a)
	if aj == nil || aj.Shape != records.ShapeArray || aj.holds {
		return false
	}
	if _, before := j.stopped[a.Task]; before {
		return false
	}
	over := excess[aj.Team]
	return aj.terms.Rank > j.terms.Rank || j.holds && aj.Team != j.Team && (over.CPUs > quotaSlack || over.GPUs > quotaSlack)
}

// loss is the machine time that stopping an attempt throws away, as a share of
// a machine. Tasks about to finish are left alone.
func (c *Scheduler) loss(j *Job, a *fleet.Attempt, now time.Time) (float64, bool) {
	share := a.Machine.Bin.Cap.Share(j.req)
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

// flow is the room that ends of tasks have freed lately.
type flow struct {
	since     time.Time
	now, last packing.Resources
}

func (f *flow) add(req packing.Resources, now time.Time, span time.Duration) {
	f.turn(now, span)
	f.now = f.now.Add(req)
}

// turn begins a new span when one is over.
func (f *flow) turn(now time.Time, span time.Duration) {
	switch past := now.Sub(f.since); {
	case past >= 2*span:
		f.since, f.now, f.last = now, packing.Resources{}, packing.Resources{}
	case past >= span:
		f.since, f.now, f.last = f.since.Add(span), packing.Resources{}, f.now
	}
}

// lately is what was freed in the span before the one under way.
func (f *flow) lately(now time.Time, span time.Duration) packing.Resources {
	f.turn(now, span)
	return f.last
}
