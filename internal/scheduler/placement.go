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
func (s *Scheduler) startable(j *Job, now time.Time) bool {
	if j.closed || j.blocked || j.closing || j.gangBroken || now.Before(j.retryAt) {
		return false
	}
	if s.reconciled {
		return true
	}
	return (j.uncertain == nil || j.Shape != records.ShapeGang) && !j.limited && !j.OneZone && !j.SpreadZones
}

// acceptsTasks says whether a machine may be given new tasks.
func (s *Scheduler) acceptsTasks(m *fleet.Machine, now time.Time) bool {
	return m.Up && m.Reconciled && inService(m) && m.PreemptionAt.IsZero() &&
		now.Sub(m.LastStatus) < 3*s.settings.HeartbeatInterval && !now.Before(m.FullUntil)
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

// couldHost says whether a machine may be given tasks of the job, once it has room.
func (s *Scheduler) couldHost(j *Job, m *fleet.Machine, now time.Time) bool {
	return s.acceptsTasks(m, now) && j.permits(m.Type, m.Zone, m.Spot) && m.Bin.Cap.Fits(j.request)
}

// tasksByZone counts the job's tasks by zone, on machines and, with planned, meant for them
// or for room that is its own.
func (s *Scheduler) tasksByZone(j *Job, planned bool) map[string]int {
	n := map[string]int{}
	for _, a := range j.attempts {
		if a.MayBePresent() || planned && a.State() == fleet.Planned {
			n[a.Machine.Zone]++
		}
	}
	if planned {
		for _, cl := range j.claims {
			n[cl.machine.Zone]++
		}
	}
	if len(j.duplicates) > 0 {
		for _, a := range s.fleet.OfJob(j.ID) {
			if a.Duplicate && a.MayBePresent() {
				n[a.Machine.Zone]++
			}
		}
	}
	return n
}

// zoneAllowed checks one_zone and apart against a count by zone.
func (j *Job) zoneAllowed(zone string, n map[string]int) bool {
	if j.OneZone {
		for z, k := range n {
			if z != zone && k > 0 {
				return false
			}
		}
	}
	return !j.SpreadZones || n[zone]+1 <= (j.Tasks+1)/2
}

// placeWaiting inserts waiting tasks into bins, in queue order.
func (s *Scheduler) placeWaiting(now time.Time) {
	s.placementStale = false
	s.refreshAccepting(now)
	p := &placement{scheduler: s, now: now, used: map[string]quota.Amount{}, noRoom: make([]*Job, len(s.placementClasses)+1)}
	s.queue(now)
	s.lastHolder = s.lastHoldingJob()
	s.reviewClaims(now)
	s.reserveRoom(now)
	turns := s.order.begin(s.claimOwners)
	s.currentTurns = turns
	defer func() { s.currentTurns = nil }()
	for t, more := turns.next(); more; t, more = turns.next() {
		if t.job.hasNoWaiting() {
			turns.deactivate()
			continue
		}
		hopeless := p.cannotFit(t)
		if hopeless {
			turns.skipAlike()
		}
		p.placeJob(t, hopeless)
	}
}

// placement is one look at all that waits.
type placement struct {
	scheduler *Scheduler
	now       time.Time
	used      map[string]quota.Amount // by teams with a limit, what is planned here included
	noRoom    []*Job                  // by likeness, the first that found no room
}

// cannotFit says whether a turn's job finds no room as one like it, which is served before it, found
// none. Guards against one that comes first only as it has less to fetch, and finds
// but machines that are kept for the sake of another: that one may use them.
func (p *placement) cannotFit(t placingTurn) bool {
	first := p.noRoom[t.placementClass()]
	return t.placementClass() > 0 && first != nil && !servedBefore(t.job, first)
}

// placeJob places the tasks of a job whose turn it is.
func (p *placement) placeJob(t placingTurn, hopeless bool) {
	c, j, only := p.scheduler, t.job, ""
	if t.ready {
		only = j.imageReadyLabel
	}
	if hopeless && len(j.claims) == 0 || !c.startable(j, p.now) || j.nextTask() < 0 {
		return
	}
	if _, known := p.used[j.Team]; !known && j.limited {
		p.used[j.Team] = c.quotaUsage.Committed(j.Team)
	}
	var ok bool
	if j.Shape == records.ShapeGang {
		mine := c.suspendClaims(j)
		if ok = c.placeGang(j, p.used, p.now); !ok {
			c.restoreClaims(j, mine)
		}
	} else {
		zones := c.zoneCounts(j)
		c.useClaims(j, p.used, zones, p.now)
		ok = hopeless || c.placeTasks(j, only, p.used, zones, p.now)
	}
	if ok {
		return
	}
	if only == "" {
		c.noteShortage(j, p.used[j.Team], p.now)
	}
	// What ordinary machines lacked is noted by the first that finds no room, so that has to be one
	// whose team has a guarantee.
	if j.Spot || !j.limited || fairshare.HasGuarantee(j.team) {
		p.noRoom[t.placementClass()] = j
	}
}

// placeTasks places as many tasks of a job as possible, only on machines with a
// mark unless it is "". It returns false when some had no room.
func (s *Scheduler) placeTasks(j *Job, only string, used map[string]quota.Amount, zones map[string]int, now time.Time) bool {
	limited := j.limited
	for {
		t := j.nextTask()
		if t < 0 {
			return true
		}
		if limited && !s.withinLimit(j, used[j.Team]) {
			return true
		}
		m, moves := s.insertTask(j, t, 0, only, zones, "", now)
		if m == nil {
			return false
		}
		s.executeMoves(moves, now)
		j.takeTask(t)
		if limited {
			used[j.Team] = used[j.Team].Add(j.taskQuota())
		}
		if zones != nil {
			zones[m.Zone]++
		}
	}
}

// zoneCounts counts a job's tasks by zone where that decides about others; nil elsewhere.
func (s *Scheduler) zoneCounts(j *Job) map[string]int {
	if j.OneZone || j.SpreadZones {
		return s.tasksByZone(j, true)
	}
	return nil
}

// zoneChoices are the zones in which a job is to be tried one after the other; "" is
// all of them together.
func (s *Scheduler) zoneChoices(j *Job, zones map[string]int) []string {
	if j.OneZone && len(zones) == 0 {
		return s.settings.Zones
	}
	return []string{""}
}

// placeGang places a whole gang or nothing of it. Tasks that replace members
// which never arrived take the gang's attempt number.
func (s *Scheduler) placeGang(j *Job, used map[string]quota.Amount, now time.Time) bool {
	if j.gangAttempt == 0 && len(j.attempts)+len(j.duplicates) > 0 {
		return false
	}
	zones := s.zoneCounts(j)
	for _, zone := range s.zoneChoices(j, zones) {
		try, mark := j.gangAttempt, s.sequence
		if try == 0 {
			try = s.newAttemptNumber()
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
			t := j.nextTask()
			if t < 0 {
				break
			}
			if j.limited && !s.withinLimit(j, sum) {
				ok = false
				break
			}
			m, asked := s.insertTask(j, t, try, "", zn, zone, now)
			if m == nil {
				ok = false
				break
			}
			moves = append(moves, asked...)
			j.takeTask(t)
			placed = append(placed, j.attempts[t])
			sum = sum.Add(j.taskQuota())
			zn[m.Zone]++
		}
		if ok {
			j.gangAttempt = try
			used[j.Team] = sum
			s.executeMoves(moves, now)
			return true
		}
		// Nobody is moved for a gang that does not start.
		for _, a := range placed {
			a.Machine.Forget(a)
			delete(j.attempts, a.Task.N)
			s.retryTask(j, a.Task.N)
		}
		s.sequence = mark // nothing was sent under the number
	}
	return false
}

// insertTask finds a bin for one task by VISBP's insert, over the machine types
// that the job allows, cheapest first, and lists the moves that it asks for. Try 0
// stands for a new attempt number.
func (s *Scheduler) insertTask(j *Job, t int, try uint64, only string, zones map[string]int, zone string, now time.Time) (*fleet.Machine, []packing.Move) {
	it := &packing.Item{ID: j.ID, Req: j.request, PreferLabels: j.preferLabels, RequireLabel: only}
	if s.lastHolder != nil && servedBefore(s.lastHolder, j) {
		it.ExcludeLabel = heldLabel
	}
	ok := func(b *packing.Bin) bool {
		m := b.Owner.(*fleet.Machine)
		return j.permits(m.Type, m.Zone, m.Spot) && (zones == nil || j.zoneAllowed(m.Zone, zones)) &&
			(zone == "" || m.Zone == zone) && !isHeldForEarlier(m, j)
	}
	for _, name := range s.typeNames {
		space := s.spaces[name]
		if space == nil {
			continue
		}
		b, moves, rule := s.insertAmongType(space, name, j, it, ok)
		if b == nil {
			continue
		}
		it.ExcludeLabel = ""
		m := b.Owner.(*fleet.Machine)
		undoMoves(moves)
		if try == 0 {
			try = s.newAttemptNumber()
		}
		a := s.planAttempt(j, t, try, m, it, now)
		s.plannedAttempts = append(s.plannedAttempts, a)
		if rule == packing.FirstFit {
			slog.Debug("first fit", "task", a.Task.String(), "machine", m.Host, "term", s.term)
		}
		return m, moves
	}
	return nil, nil
}

// insertAmongType inserts among the machines of one type. Where ordinary ones were too few for
// others lately, what may use cheap ones goes there first. Guards against ordinary machines
// that gangs wait for and that are filled with tasks beside empty cheap ones.
func (s *Scheduler) insertAmongType(space *packing.Space, typ string, j *Job, it *packing.Item, ok func(*packing.Bin) bool) (*packing.Bin, []packing.Move, packing.Rule) {
	if j.Spot && s.shortageLately(typ, s.now) {
		if b, moves, rule := space.Insert(it, func(b *packing.Bin) bool { return b.Owner.(*fleet.Machine).Spot && ok(b) }); b != nil {
			return b, moves, rule
		}
	}
	return space.Insert(it, ok)
}

// planAttempt notes a task as meant for a machine, whose bin has its item already.
func (s *Scheduler) planAttempt(j *Job, t int, try uint64, m *fleet.Machine, it *packing.Item, now time.Time) *fleet.Attempt {
	a := s.fleet.Plan(m, fleet.TaskID{Job: j.ID, N: t}, try, it, now)
	a.Job, j.attempts[t] = j, a
	j.start.placedAt = now
	s.raiseWatermark(j, t)
	m.EmptySince = time.Time{}
	return a
}

// takeOverPlans takes over, for a machine that is being answered, what was planned for others
// and waits for their reports. A run goes out only in answer to a report; where room is
// left, a task would otherwise wait for the report of just the machine it was planned
// for. Nothing gets a worse place: no fetch that it would have been spared, no machine
// that may be taken instead of one that may not, no empty machine instead of one in use.
func (s *Scheduler) takeOverPlans(m *fleet.Machine, now time.Time) {
	if !m.Bin.Open() || !m.Bin.AllowsJoin() {
		return
	}
	keep := s.plannedAttempts[:0]
	for _, a := range s.plannedAttempts {
		if a.State() != fleet.Planned || a.Item == nil {
			continue // sent, or given up
		}
		j := s.jobOf(a)
		// Guards against a task that lacks its mark and goes to the first machine that
		// reports: it would wait there for the next report.
		if j == nil || a.Machine == m || !s.belowWatermark(a) || !j.unconstrained() || !m.Bin.CanJoin(j.request) || !j.permits(m.Type, m.Zone, m.Spot) ||
			m.Type != a.Machine.Type || m.Spot && !a.Machine.Spot || !m.Spot && a.Machine.Spot && s.shortageLately(m.Type, now) || isHeldForEarlier(m, j) || m.Empty() && len(a.Machine.Bin.Items()) > 1 ||
			s.fetchTime(j) > 0 && !m.Bin.HasLabel(j.imageReadyLabel) && a.Machine.Bin.HasLabel(j.imageReadyLabel) {
			keep = append(keep, a)
			continue
		}
		a.Machine.Forget(a)
		it := &packing.Item{ID: j.ID, Req: j.request, PreferLabels: j.preferLabels}
		m.Bin.Add(it)
		s.planAttempt(j, a.Task.N, a.Number, m, it, now)
	}
	clear(s.plannedAttempts[len(keep):])
	s.plannedAttempts = keep
}

// useImage notes that a machine has a job's image, or fetches it.
func (s *Scheduler) useImage(m *fleet.Machine, j *Job) {
	m.UseImage(j.Image, j.ImageGB, s.types[m.Type].CacheGB)
}

// refreshAccepting looks anew at which machines take tasks. What a report changes is seen
// at once; what time alone changes, a few times in a report interval.
func (s *Scheduler) refreshAccepting(now time.Time) {
	s.now = now
	if now.Sub(s.lastReopen) < s.settings.HeartbeatInterval/8 {
		return
	}
	s.lastReopen = now
	for _, m := range s.fleet.Sorted() {
		m.Bin.SetOpen(s.acceptsTasks(m, now))
	}
}

// movable says whether an attempt may be moved merely to fill or empty a bin:
// tasks started under a round ago, each once. Gangs never move, and replicas move only
// in rounds, one at a time.
func (s *Scheduler) movable(j *Job, a *fleet.Attempt, now time.Time) bool {
	if j == nil || a.Stopping() || a.Duplicate || j.Shape != records.ShapeArray {
		return false
	}
	if _, before := j.moved[a.Task.N]; before && a.State() != fleet.Planned {
		return false
	}
	return a.State() == fleet.Planned || a.MayBePresent() && a.State() != fleet.Sent && now.Sub(a.Since) < s.settings.RoundInterval
}

// undoMoves undoes what listed moves did to the bins, which keep what is really there.
func undoMoves(moves []packing.Move) {
	for _, mv := range slices.Backward(moves) {
		for _, it := range mv.Items {
			if mv.To != nil {
				mv.To.Remove(it)
			}
			mv.From.Add(it)
		}
	}
}

// executeMoves turns listed moves into plans and stops. What was only planned moves at
// once; what is on a machine is stopped there, and starts elsewhere once it is gone,
// where the room is its job's own until then.
func (s *Scheduler) executeMoves(moves []packing.Move, now time.Time) {
	for _, mv := range moves {
		for _, it := range mv.Items {
			from := mv.From.Owner.(*fleet.Machine)
			a, ok := it.Owner.(*fleet.Attempt)
			if !ok || a.Stopping() {
				continue
			}
			if a.State() == fleet.Planned {
				from.Forget(a)
				s.releaseAttempt(a)
				continue
			}
			j := s.jobs[a.Task.Job]
			if j.moved == nil {
				j.moved = map[int]struct{}{}
			}
			j.moved[a.Task.N] = struct{}{}
			movesTotal.Inc()
			slog.Info("moving task", "task", a.Task.String(), "machine", from.Host, "term", s.term)
			if mv.To != nil && mv.To.Fits(j.request) {
				s.addClaim(j, mv.To.Owner.(*fleet.Machine), now)
			}
			s.stop(a, stopMoved, j.SaveS, now)
		}
	}
}

// mayDispatch checks every rule once more, just before a run is written. It looks
// at what is on machines, runs in flight included, not at what was planned.
func (s *Scheduler) mayDispatch(a *fleet.Attempt, now time.Time) bool {
	j, m := s.jobOf(a), a.Machine
	if j == nil || a.State() != fleet.Planned || !s.startable(j, now) || !s.acceptsTasks(m, now) || !m.Recorded {
		return false
	}
	n := a.Task.N
	if n >= j.Tasks || has(j.done, n) || j.attempts[n] != a || j.duplicates[n] > 0 || j.isUncertain(n) || !s.belowWatermark(a) {
		return false
	}
	if !j.permits(m.Type, m.Zone, m.Spot) {
		return false
	}
	if (j.OneZone || j.SpreadZones) && !j.zoneAllowed(m.Zone, s.tasksByZone(j, false)) {
		return false
	}
	if j.limited && !s.withinLimit(j, s.quotaUsage.InUse(j.Team)) {
		return false
	}
	var sum packing.Resources
	for _, x := range m.Attempts() {
		if x.MayBePresent() && x.Item != nil {
			sum = sum.Add(x.Item.Req)
		}
	}
	return m.Bin.Cap.Sub(sum).Fits(j.request)
}

// PlanMachine plans what a machine that is being answered is to start.
func (s *Scheduler) PlanMachine(m *fleet.Machine, now time.Time) {
	if s.placementStale && s.overload.Level() == overload.Normal {
		s.placeWaiting(now)
	}
	if m.Recorded {
		s.takeOverPlans(m, now)
	}
}

// Respond compiles what a worker is told in answer to its report, of what was planned.
// Runs go out here and nowhere else: such a response is dropped when it is late, a direct
// command is not.
func (s *Scheduler) Respond(m *fleet.Machine, canRun bool, now time.Time) fleet.HeartbeatResponse {
	for _, a := range m.Attempts() {
		if a.State() == fleet.Ended && a.Cause == fleet.CauseDone && !a.Reap {
			j := s.jobOf(a)
			// A result may be forgotten only once the store has it.
			a.Reap = j == nil || has(j.stored, a.Task.N)
		}
	}
	resp := fleet.HeartbeatResponse{FencingToken: s.term, Commands: m.PendingCommands()}
	delete(s.urgentMachines, m.Host)
	if !canRun {
		return resp
	}
	for _, a := range slices.Clone(m.Attempts()) {
		if a.State() != fleet.Planned {
			continue
		}
		if j := s.jobOf(a); j != nil && s.shedsStart(j) {
			continue
		}
		if !s.mayDispatch(a, now) {
			if (!m.Recorded || !s.belowWatermark(a)) && s.acceptsTasks(m, now) {
				continue // its record is on the way
			}
			m.Forget(a)
			s.releaseAttempt(a)
			continue
		}
		a.Send(now)
		j := s.jobs[a.Task.Job]
		runsTotal.Inc()
		startSeconds.Update(now.Sub(j.releasedAt).Seconds())
		s.useImage(m, j)
		resp.Commands = append(resp.Commands, fleet.Command{Verb: fleet.VerbRun, Task: a.Task.String(), Attempt: a.Number})
	}
	if len(resp.Commands) > 0 {
		slog.Debug("orders", "machine", m.Host, "orders", len(resp.Commands), "term", s.term)
	}
	return resp
}
