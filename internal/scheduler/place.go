package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fairshare"
	"drumpick/internal/fleet"
	"drumpick/internal/overload"
	"drumpick/internal/packing"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// startable says whether tasks of the job may be started at all now. After a
// takeover, until every machine that may hold tasks has been heard, only tasks may start
// that can be on none of those still unheard of, and none of a job that needs the whole
// picture: all tasks of jobs accepted, or released by one that was stored as done, under
// this term, and of older jobs what is beyond their marks.
func (c *Scheduler) startable(j *Job, now time.Time) bool {
	if j.over || j.waits || j.finishing || j.gangBroken || now.Before(j.retryAt) {
		return false
	}
	if c.settled {
		return true
	}
	return (j.doubt == nil || j.Shape != records.ShapeGang) && !j.limited && !j.OneZone && !j.SpreadZones
}

// open says whether a machine may be given new tasks.
func (c *Scheduler) open(m *fleet.Machine, now time.Time) bool {
	return m.Up && m.Reconciled && inService(m) && m.PreemptionAt.IsZero() &&
		now.Sub(m.LastStatus) < 3*c.set.HeartbeatInterval && !now.Before(m.FullUntil)
}

// inService says whether a machine takes new tasks, or will when it is up.
func inService(m *fleet.Machine) bool {
	return !m.Returning && !m.LeaseExpired && !m.Draining && m.Cordon == nil && !m.Unreachable()
}

// permits says whether the job's own wishes allow the machine.
func (j *Job) permits(typ, zone string, spot bool) bool {
	return (!spot || j.Spot) && (j.Job.Zone == nil || *j.Job.Zone == zone) && j.allowsType(typ)
}

func (j *Job) allowsType(typ string) bool {
	return len(j.Types) == 0 || slices.Contains(j.Types, typ)
}

// mayHold says whether a machine may be given tasks of the job, once it has room.
func (c *Scheduler) mayHold(j *Job, m *fleet.Machine, now time.Time) bool {
	return c.open(m, now) && j.permits(m.Type, m.Zone, m.Spot) && m.Bin.Cap.Fits(j.req)
}

// zones counts the job's tasks by zone, on machines and, with planned, meant for them
// or for room that is its own.
func (c *Scheduler) zones(j *Job, planned bool) map[string]int {
	n := map[string]int{}
	for _, a := range j.held {
		if a.MayBePresent() || planned && a.State() == fleet.Planned {
			n[a.Machine.Zone]++
		}
	}
	if planned {
		for _, cl := range j.claims {
			n[cl.m.Zone]++
		}
	}
	if len(j.strays) > 0 {
		for _, a := range c.fleet.OfJob(j.ID) {
			if a.Duplicate && a.MayBePresent() {
				n[a.Machine.Zone]++
			}
		}
	}
	return n
}

// zoneOK checks one_zone and apart against a count by zone.
func (j *Job) zoneOK(zone string, n map[string]int) bool {
	if j.OneZone {
		for z, k := range n {
			if z != zone && k > 0 {
				return false
			}
		}
	}
	return !j.SpreadZones || n[zone]+1 <= (j.Tasks+1)/2
}

// place inserts waiting tasks into bins, in queue order.
func (c *Scheduler) place(now time.Time) {
	c.dirty = false
	c.reopen(now)
	p := &placing{c: c, now: now, used: map[string]quota.Amount{}, failed: make([]*Job, len(c.alike)+1)}
	c.queue(now)
	c.keeper = c.lastKeeper()
	c.reviewClaims(now)
	c.saveRoom(now)
	turns := c.order.begin(c.owners)
	c.placing = turns
	defer func() { c.placing = nil }()
	for t, more := turns.next(); more; t, more = turns.next() {
		if t.j.idle() {
			turns.sleep()
			continue
		}
		hopeless := p.hopeless(t)
		if hopeless {
			turns.skipAlike()
		}
		p.take(t, hopeless)
	}
}

// placing is one look at all that waits.
type placing struct {
	c      *Scheduler
	now    time.Time
	used   map[string]quota.Amount // by teams with a limit, what is planned here included
	failed []*Job                  // by likeness, the first that found no room
}

// hopeless says whether a turn's job finds no room as one like it, which is served before it, found
// none. Guards against one that comes first only as it has less to fetch, and finds
// but machines that are kept for the sake of another: that one may use them.
func (p *placing) hopeless(t turn) bool {
	first := p.failed[t.likeness()]
	return t.likeness() > 0 && first != nil && !before(t.j, first)
}

// take places the tasks of a job whose turn it is.
func (p *placing) take(t turn, hopeless bool) {
	c, j, only := p.c, t.j, ""
	if t.ready {
		only = j.ready
	}
	if hopeless && len(j.claims) == 0 || !c.startable(j, p.now) || j.peek() < 0 {
		return
	}
	if _, known := p.used[j.Team]; !known && j.limited {
		p.used[j.Team] = c.usage.Committed(j.Team)
	}
	var ok bool
	if j.Shape == records.ShapeGang {
		mine := c.lift(j)
		if ok = c.placeGang(j, p.used, p.now); !ok {
			c.lay(j, mine)
		}
	} else {
		zones := c.bounds(j)
		c.useClaims(j, p.used, zones, p.now)
		ok = hopeless || c.placeTasks(j, only, p.used, zones, p.now)
	}
	if ok {
		return
	}
	if only == "" {
		c.lacked(j, p.used[j.Team], p.now)
	}
	// What ordinary machines lacked is noted by the first that finds no room, so that has to be one
	// whose team has a guarantee.
	if j.Spot || !j.limited || fairshare.HasGuarantee(j.team) {
		p.failed[t.likeness()] = j
	}
}

// placeTasks places as many tasks of a job as possible, only on machines with a
// mark unless it is "". It returns false when some had no room.
func (c *Scheduler) placeTasks(j *Job, only string, used map[string]quota.Amount, zones map[string]int, now time.Time) bool {
	limited := j.limited
	for {
		t := j.peek()
		if t < 0 {
			return true
		}
		if limited && !c.withinLimit(j, used[j.Team]) {
			return true
		}
		m, moves := c.insertIn(j, t, 0, only, zones, "", now)
		if m == nil {
			return false
		}
		c.carryOut(moves, now)
		j.take(t)
		if limited {
			used[j.Team] = used[j.Team].Add(j.quota())
		}
		if zones != nil {
			zones[m.Zone]++
		}
	}
}

// bounds counts a job's tasks by zone where that decides about others; nil elsewhere.
func (c *Scheduler) bounds(j *Job) map[string]int {
	if j.OneZone || j.SpreadZones {
		return c.zones(j, true)
	}
	return nil
}

// zoneChoices are the zones in which a job is to be tried one after the other; "" is
// all of them together.
func (c *Scheduler) zoneChoices(j *Job, zones map[string]int) []string {
	if j.OneZone && len(zones) == 0 {
		return c.set.Zones
	}
	return []string{""}
}

// placeGang places a whole gang or nothing of it. Tasks that replace members
// which never arrived take the gang's attempt number.
func (c *Scheduler) placeGang(j *Job, used map[string]quota.Amount, now time.Time) bool {
	if j.gangTry == 0 && len(j.held)+len(j.strays) > 0 {
		return false
	}
	zones := c.bounds(j)
	for _, zone := range c.zoneChoices(j, zones) {
		try, mark := j.gangTry, c.seq
		if try == 0 {
			try = c.newTry()
		}
		zn := map[string]int{}
		for z, n := range zones {
			zn[z] = n
		}
		if zone != "" {
			zn[zone] = 0
		}
		sum := used[j.Team]
		var placed []*fleet.Attempt
		var moves []packing.Move
		ok := true
		for ok {
			t := j.peek()
			if t < 0 {
				break
			}
			if j.limited && !c.withinLimit(j, sum) {
				ok = false
				break
			}
			m, asked := c.insertIn(j, t, try, "", zn, zone, now)
			if m == nil {
				ok = false
				break
			}
			moves = append(moves, asked...)
			j.take(t)
			placed = append(placed, j.held[t])
			sum = sum.Add(j.quota())
			zn[m.Zone]++
		}
		if ok {
			j.gangTry = try
			used[j.Team] = sum
			c.carryOut(moves, now)
			return true
		}
		// Nobody is moved for a gang that does not start.
		for _, a := range placed {
			a.Machine.Forget(a)
			delete(j.held, a.Task.N)
			c.retry(j, a.Task.N)
		}
		c.seq = mark // nothing was sent under the number
	}
	return false
}

// insertIn finds a bin for one task by VISBP's insert, over the machine types
// that the job allows, cheapest first, and lists the moves that it asks for. Try 0
// stands for a new attempt number.
func (c *Scheduler) insertIn(j *Job, t int, try uint64, only string, zones map[string]int, zone string, now time.Time) (*fleet.Machine, []packing.Move) {
	it := &packing.Item{ID: j.ID, Req: j.req, PreferLabels: j.prefer, RequireLabel: only}
	if c.keeper != nil && before(c.keeper, j) {
		it.ExcludeLabel = keptMark
	}
	ok := func(b *packing.Bin) bool {
		m := b.Owner.(*fleet.Machine)
		return j.permits(m.Type, m.Zone, m.Spot) && (zones == nil || j.zoneOK(m.Zone, zones)) &&
			(zone == "" || m.Zone == zone) && !spared(m, j)
	}
	for _, name := range c.names {
		s := c.spaces[name]
		if s == nil {
			continue
		}
		b, moves, rule := c.insertInto(s, name, j, it, ok)
		if b == nil {
			continue
		}
		it.ExcludeLabel = ""
		m := b.Owner.(*fleet.Machine)
		putBack(moves)
		if try == 0 {
			try = c.newTry()
		}
		a := c.plant(j, t, try, m, it, now)
		c.unsent = append(c.unsent, a)
		if rule == packing.FirstFit {
			slog.Debug("first fit", "task", a.Task.String(), "machine", m.Host, "term", c.term)
		}
		return m, moves
	}
	return nil, nil
}

// insertInto inserts among the machines of one type. Where ordinary ones were too few for
// others lately, what may use cheap ones goes there first. Guards against ordinary machines
// that gangs wait for and that are filled with tasks beside empty cheap ones.
func (c *Scheduler) insertInto(s *packing.Space, typ string, j *Job, it *packing.Item, ok func(*packing.Bin) bool) (*packing.Bin, []packing.Move, packing.Rule) {
	if j.Spot && c.scarceLately(typ, c.now) {
		if b, moves, rule := s.Insert(it, func(b *packing.Bin) bool { return b.Owner.(*fleet.Machine).Spot && ok(b) }); b != nil {
			return b, moves, rule
		}
	}
	return s.Insert(it, ok)
}

// plant notes a task as meant for a machine, whose bin has its item already.
func (c *Scheduler) plant(j *Job, t int, try uint64, m *fleet.Machine, it *packing.Item, now time.Time) *fleet.Attempt {
	a := c.fleet.Plan(m, fleet.TaskID{Job: j.ID, N: t}, try, it, now)
	a.Job, j.held[t] = j, a
	j.began.placed = now
	c.raise(j, t)
	m.EmptySince = time.Time{}
	return a
}

// bind takes over, for a machine that is being answered, what was planned for others
// and waits for their reports. A run goes out only in answer to a report; where room is
// left, a task would otherwise wait for the report of just the machine it was planned
// for. Nothing gets a worse place: no fetch that it would have been spared, no machine
// that may be taken instead of one that may not, no empty machine instead of one in use.
func (c *Scheduler) bind(m *fleet.Machine, now time.Time) {
	if !m.Bin.Open() || !m.Bin.AllowsJoin() {
		return
	}
	keep := c.unsent[:0]
	for _, a := range c.unsent {
		if a.State() != fleet.Planned || a.Item == nil {
			continue // sent, or given up
		}
		j := c.jobOf(a)
		// Guards against a task that lacks its mark and goes to the first machine that
		// reports: it would wait there for the next report.
		if j == nil || a.Machine == m || !c.covered(a) || !j.plain() || !m.Bin.CanJoin(j.req) || !j.permits(m.Type, m.Zone, m.Spot) ||
			m.Type != a.Machine.Type || m.Spot && !a.Machine.Spot || !m.Spot && a.Machine.Spot && c.scarceLately(m.Type, now) || spared(m, j) || m.Empty() && len(a.Machine.Bin.Items()) > 1 ||
			c.fetch(j) > 0 && !m.Bin.HasLabel(j.ready) && a.Machine.Bin.HasLabel(j.ready) {
			keep = append(keep, a)
			continue
		}
		a.Machine.Forget(a)
		it := &packing.Item{ID: j.ID, Req: j.req, PreferLabels: j.prefer}
		m.Bin.Add(it)
		c.plant(j, a.Task.N, a.Number, m, it, now)
	}
	clear(c.unsent[len(keep):])
	c.unsent = keep
}

// useImage notes that a machine has a job's image, or fetches it.
func (c *Scheduler) useImage(m *fleet.Machine, j *Job) {
	m.UseImage(j.Image, j.ImageGB, c.types[m.Type].CacheGB)
}

// reopen looks anew at which machines take tasks. What a report changes is seen
// at once; what time alone changes, a few times in a report interval.
func (c *Scheduler) reopen(now time.Time) {
	c.now = now
	if now.Sub(c.opened) < c.set.HeartbeatInterval/8 {
		return
	}
	c.opened = now
	for _, m := range c.fleet.Sorted() {
		m.Bin.SetOpen(c.open(m, now))
	}
}

// movable says whether an attempt may be moved merely to fill or empty a bin:
// tasks started under a round ago, each once. Gangs never move, and replicas move only
// in rounds, one at a time.
func (c *Scheduler) movable(j *Job, a *fleet.Attempt, now time.Time) bool {
	if j == nil || a.Stopping() || a.Duplicate || j.Shape != records.ShapeArray {
		return false
	}
	if _, before := j.moved[a.Task.N]; before && a.State() != fleet.Planned {
		return false
	}
	return a.State() == fleet.Planned || a.MayBePresent() && a.State() != fleet.Sent && now.Sub(a.Since) < c.set.RoundInterval
}

// putBack undoes what listed moves did to the bins, which keep what is really there.
func putBack(moves []packing.Move) {
	for _, mv := range slices.Backward(moves) {
		for _, it := range mv.Items {
			if mv.To != nil {
				mv.To.Remove(it)
			}
			mv.From.Add(it)
		}
	}
}

// carryOut turns listed moves into plans and stops. What was only planned moves at
// once; what is on a machine is stopped there, and starts elsewhere once it is gone,
// where the room is its job's own until then.
func (c *Scheduler) carryOut(moves []packing.Move, now time.Time) {
	for _, mv := range moves {
		for _, it := range mv.Items {
			from := mv.From.Owner.(*fleet.Machine)
			a, ok := it.Owner.(*fleet.Attempt)
			if !ok || a.Stopping() {
				continue
			}
			if a.State() == fleet.Planned {
				from.Forget(a)
				c.release(a)
				continue
			}
			j := c.jobs[a.Task.Job]
			if j.moved == nil {
				j.moved = map[int]struct{}{}
			}
			j.moved[a.Task.N] = struct{}{}
			movesTotal.Inc()
			slog.Info("moving task", "task", a.Task.String(), "machine", from.Host, "term", c.term)
			if mv.To != nil && mv.To.Fits(j.req) {
				c.own(j, mv.To.Owner.(*fleet.Machine), now)
			}
			c.stop(a, whyMoved, j.SaveS, now)
		}
	}
}

// mayRun checks every rule once more, just before a run is written. It looks
// at what is on machines, runs in flight included, not at what was planned.
func (c *Scheduler) mayRun(a *fleet.Attempt, now time.Time) bool {
	j, m := c.jobOf(a), a.Machine
	if j == nil || a.State() != fleet.Planned || !c.startable(j, now) || !c.open(m, now) || !m.Recorded {
		return false
	}
	n := a.Task.N
	if n >= j.Tasks || has(j.done, n) || j.held[n] != a || j.strays[n] > 0 || j.doubtful(n) || !c.covered(a) {
		return false
	}
	if !j.permits(m.Type, m.Zone, m.Spot) {
		return false
	}
	if (j.OneZone || j.SpreadZones) && !j.zoneOK(m.Zone, c.zones(j, false)) {
		return false
	}
	if j.limited && !c.withinLimit(j, c.usage.InUse(j.Team)) {
		return false
	}
	var sum packing.Resources
	for _, x := range m.Attempts() {
		if x.MayBePresent() && x.Item != nil {
			sum = sum.Add(x.Item.Req)
		}
	}
	return m.Bin.Cap.Sub(sum).Fits(j.req)
}

// PlanMachine plans what a machine that is being answered is to start.
func (c *Scheduler) PlanMachine(m *fleet.Machine, now time.Time) {
	if c.dirty && c.means.Level() == overload.Normal {
		c.place(now)
	}
	if m.Recorded {
		c.bind(m, now)
	}
}

// Respond compiles what a worker is told in answer to its report, of what was planned.
// Runs go out here and nowhere else: such a response is dropped when it is late, a direct
// command is not.
func (c *Scheduler) Respond(m *fleet.Machine, canRun bool, now time.Time) fleet.HeartbeatResponse {
	for _, a := range m.Attempts() {
		if a.State() == fleet.Ended && a.Cause == fleet.CauseDone && !a.Reap {
			j := c.jobOf(a)
			// A result may be forgotten only once the store has it.
			a.Reap = j == nil || has(j.stored, a.Task.N)
		}
	}
	resp := fleet.HeartbeatResponse{FencingToken: c.term, Commands: m.PendingCommands()}
	delete(c.kick, m.Host)
	if !canRun {
		return resp
	}
	for _, a := range slices.Clone(m.Attempts()) {
		if a.State() != fleet.Planned {
			continue
		}
		if j := c.jobOf(a); j != nil && c.putOff(j) {
			continue
		}
		if !c.mayRun(a, now) {
			if (!m.Recorded || !c.covered(a)) && c.open(m, now) {
				continue // its record is on the way
			}
			m.Forget(a)
			c.release(a)
			continue
		}
		a.Send(now)
		j := c.jobs[a.Task.Job]
		runsTotal.Inc()
		startSeconds.Update(now.Sub(j.base).Seconds())
		c.useImage(m, j)
		resp.Commands = append(resp.Commands, fleet.Command{Verb: fleet.VerbRun, Task: a.Task.String(), Attempt: a.Number})
	}
	if len(resp.Commands) > 0 {
		slog.Debug("orders", "machine", m.Host, "orders", len(resp.Commands), "term", c.term)
	}
	return resp
}
