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
func (s *Scheduler) tasksByZone(job *Job, planned bool) map[string]int {
	counts := map[string]int{}
	for _, attempt := range job.attempts {
		if attempt.MayBePresent() || planned && attempt.State() == fleet.Planned {
			counts[attempt.Machine.Zone]++
		}
	}
	if planned {
		for _, claimed := range job.claims {
			counts[claimed.machine.Zone]++
		}
	}
	if len(job.duplicates) > 0 {
		for _, attempt := range s.fleet.OfJob(job.ID) {
			if attempt.Duplicate && attempt.MayBePresent() {
				counts[attempt.Machine.Zone]++
			}
		}
	}
	return counts
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
	pass := &placement{scheduler: s, now: now, used: map[string]quota.Amount{}, noRoom: make([]*Job, len(s.placementClasses)+1)}
	s.queue(now)
	s.lastHolder = s.lastHoldingJob()
	s.reviewClaims(now)
	s.reserveRoom(now)
	turns := s.order.begin(s.claimOwners)
	s.currentTurns = turns
	defer func() { s.currentTurns = nil }()
	for turn, more := turns.next(); more; turn, more = turns.next() {
		if turn.job.hasNoWaiting() {
			turns.deactivate()
			continue
		}
		noRoom := pass.cannotFit(turn)
		if noRoom {
			turns.skipAlike()
		}
		pass.placeJob(turn, noRoom)
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
func (p *placement) cannotFit(turn placingTurn) bool {
	first := p.noRoom[turn.placementClass()]
	return turn.placementClass() > 0 && first != nil && !servedBefore(turn.job, first)
}

// placeJob places the tasks of a job whose turn it is.
func (p *placement) placeJob(turn placingTurn, noRoom bool) {
	c, job, requiredLabel := p.scheduler, turn.job, ""
	if turn.ready {
		requiredLabel = job.imageReadyLabel
	}
	if noRoom && len(job.claims) == 0 || !c.startable(job, p.now) || job.nextTask() < 0 {
		return
	}
	if _, known := p.used[job.Team]; !known && job.limited {
		p.used[job.Team] = c.quotaUsage.Committed(job.Team)
	}
	var ok bool
	if job.Shape == records.ShapeGang {
		suspended := c.suspendClaims(job)
		if ok = c.placeGang(job, p.used, p.now); !ok {
			c.restoreClaims(job, suspended)
		}
	} else {
		zones := c.zoneCounts(job)
		c.useClaims(job, p.used, zones, p.now)
		ok = noRoom || c.placeTasks(job, requiredLabel, p.used, zones, p.now)
	}
	if ok {
		return
	}
	if requiredLabel == "" {
		c.noteShortage(job, p.used[job.Team], p.now)
	}
	// What ordinary machines lacked is noted by the first that finds no room, so that has to be one
	// whose team has a guarantee.
	if job.Spot || !job.limited || fairshare.HasGuarantee(job.team) {
		p.noRoom[turn.placementClass()] = job
	}
}

// placeTasks places as many tasks of a job as possible, only on machines with a
// mark unless it is "". It returns false when some had no room.
func (s *Scheduler) placeTasks(job *Job, requiredLabel string, used map[string]quota.Amount, zones map[string]int, now time.Time) bool {
	limited := job.limited
	for {
		t := job.nextTask()
		if t < 0 {
			return true
		}
		if limited && !s.withinLimit(job, used[job.Team]) {
			return true
		}
		machine, moves := s.insertTask(job, t, 0, requiredLabel, zones, "", now)
		if machine == nil {
			return false
		}
		s.executeMoves(moves, now)
		job.takeTask(t)
		if limited {
			used[job.Team] = used[job.Team].Add(job.taskQuota())
		}
		if zones != nil {
			zones[machine.Zone]++
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
func (s *Scheduler) placeGang(job *Job, used map[string]quota.Amount, now time.Time) bool {
	if job.gangAttempt == 0 && len(job.attempts)+len(job.duplicates) > 0 {
		return false
	}
	zones := s.zoneCounts(job)
	for _, zone := range s.zoneChoices(job, zones) {
		attemptNumber, sequenceBefore := job.gangAttempt, s.sequence
		if attemptNumber == 0 {
			attemptNumber = s.newAttemptNumber()
		}
		zonesThen := map[string]int{}
		for z, n := range zones {
			zonesThen[z] = n
		}
		if zone != "" {
			zonesThen[zone] = 0
		}
		usedThen := used[job.Team]
		var placed []*fleet.Attempt
		var moves []packing.Move
		ok := true
		for ok {
			t := job.nextTask()
			if t < 0 {
				break
			}
			if job.limited && !s.withinLimit(job, usedThen) {
				ok = false
				break
			}
			machine, taskMoves := s.insertTask(job, t, attemptNumber, "", zonesThen, zone, now)
			if machine == nil {
				ok = false
				break
			}
			moves = append(moves, taskMoves...)
			job.takeTask(t)
			placed = append(placed, job.attempts[t])
			usedThen = usedThen.Add(job.taskQuota())
			zonesThen[machine.Zone]++
		}
		if ok {
			job.gangAttempt = attemptNumber
			used[job.Team] = usedThen
			s.executeMoves(moves, now)
			return true
		}
		// Nobody is moved for a gang that does not start.
		for _, attempt := range placed {
			attempt.Machine.Forget(attempt)
			delete(job.attempts, attempt.Task.N)
			s.retryTask(job, attempt.Task.N)
		}
		s.sequence = sequenceBefore // nothing was sent under the number
	}
	return false
}

// insertTask finds a bin for one task by VISBP's insert, over the machine types
// that the job allows, cheapest first, and lists the moves that it asks for. Try 0
// stands for a new attempt number.
func (s *Scheduler) insertTask(job *Job, t int, attemptNumber uint64, requiredLabel string, zones map[string]int, zone string, now time.Time) (*fleet.Machine, []packing.Move) {
	item := &packing.Item{ID: job.ID, Req: job.request, PreferLabels: job.preferLabels, RequireLabel: requiredLabel}
	if s.lastHolder != nil && servedBefore(s.lastHolder, job) {
		item.ExcludeLabel = heldLabel
	}
	allowed := func(b *packing.Bin) bool {
		machine := b.Owner.(*fleet.Machine)
		return job.permits(machine.Type, machine.Zone, machine.Spot) && (zones == nil || job.zoneAllowed(machine.Zone, zones)) &&
			(zone == "" || machine.Zone == zone) && !isHeldForEarlier(machine, job)
	}
	for _, name := range s.typeNames {
		space := s.spaces[name]
		if space == nil {
			continue
		}
		b, moves, rule := s.insertAmongType(space, name, job, item, allowed)
		if b == nil {
			continue
		}
		item.ExcludeLabel = ""
		machine := b.Owner.(*fleet.Machine)
		undoMoves(moves)
		if attemptNumber == 0 {
			attemptNumber = s.newAttemptNumber()
		}
		attempt := s.planAttempt(job, t, attemptNumber, machine, item, now)
		s.plannedAttempts = append(s.plannedAttempts, attempt)
		if rule == packing.FirstFit {
			slog.Debug("first fit", "task", attempt.Task.String(), "machine", machine.Host, "term", s.term)
		}
		return machine, moves
	}
	return nil, nil
}

// insertAmongType inserts among the machines of one type. Where ordinary ones were too few for
// others lately, what may use cheap ones goes there first. Guards against ordinary machines
// that gangs wait for and that are filled with tasks beside empty cheap ones.
func (s *Scheduler) insertAmongType(space *packing.Space, machineType string, j *Job, it *packing.Item, allowed func(*packing.Bin) bool) (*packing.Bin, []packing.Move, packing.Rule) {
	if j.Spot && s.shortageLately(machineType, s.now) {
		if b, moves, rule := space.Insert(it, func(b *packing.Bin) bool { return b.Owner.(*fleet.Machine).Spot && allowed(b) }); b != nil {
			return b, moves, rule
		}
	}
	return space.Insert(it, allowed)
}

// planAttempt notes a task as meant for a machine, whose bin has its item already.
func (s *Scheduler) planAttempt(j *Job, t int, attemptNumber uint64, m *fleet.Machine, it *packing.Item, now time.Time) *fleet.Attempt {
	a := s.fleet.Plan(m, fleet.TaskID{Job: j.ID, N: t}, attemptNumber, it, now)
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
func (s *Scheduler) takeOverPlans(machine *fleet.Machine, now time.Time) {
	if !machine.Bin.Open() || !machine.Bin.AllowsJoin() {
		return
	}
	keep := s.plannedAttempts[:0]
	for _, attempt := range s.plannedAttempts {
		if attempt.State() != fleet.Planned || attempt.Item == nil {
			continue // sent, or given up
		}
		job := s.jobOf(attempt)
		// Guards against a task that lacks its mark and goes to the first machine that
		// reports: it would wait there for the next report.
		if job == nil || attempt.Machine == machine || !s.belowWatermark(attempt) || !job.unconstrained() || !machine.Bin.CanJoin(job.request) || !job.permits(machine.Type, machine.Zone, machine.Spot) ||
			machine.Type != attempt.Machine.Type || machine.Spot && !attempt.Machine.Spot || !machine.Spot && attempt.Machine.Spot && s.shortageLately(machine.Type, now) || isHeldForEarlier(machine, job) || machine.Empty() && len(attempt.Machine.Bin.Items()) > 1 ||
			s.fetchTime(job) > 0 && !machine.Bin.HasLabel(job.imageReadyLabel) && attempt.Machine.Bin.HasLabel(job.imageReadyLabel) {
			keep = append(keep, attempt)
			continue
		}
		attempt.Machine.Forget(attempt)
		item := &packing.Item{ID: job.ID, Req: job.request, PreferLabels: job.preferLabels}
		machine.Bin.Add(item)
		s.planAttempt(job, attempt.Task.N, attempt.Number, machine, item, now)
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
	for _, move := range slices.Backward(moves) {
		for _, it := range move.Items {
			if move.To != nil {
				move.To.Remove(it)
			}
			move.From.Add(it)
		}
	}
}

// executeMoves turns listed moves into plans and stops. What was only planned moves at
// once; what is on a machine is stopped there, and starts elsewhere once it is gone,
// where the room is its job's own until then.
func (s *Scheduler) executeMoves(moves []packing.Move, now time.Time) {
	for _, move := range moves {
		for _, item := range move.Items {
			from := move.From.Owner.(*fleet.Machine)
			attempt, ok := item.Owner.(*fleet.Attempt)
			if !ok || attempt.Stopping() {
				continue
			}
			if attempt.State() == fleet.Planned {
				from.Forget(attempt)
				s.releaseAttempt(attempt)
				continue
			}
			job := s.jobs[attempt.Task.Job]
			if job.moved == nil {
				job.moved = map[int]struct{}{}
			}
			job.moved[attempt.Task.N] = struct{}{}
			movesTotal.Inc()
			slog.Info("moving task", "task", attempt.Task.String(), "machine", from.Host, "term", s.term)
			if move.To != nil && move.To.Fits(job.request) {
				s.addClaim(job, move.To.Owner.(*fleet.Machine), now)
			}
			s.stop(attempt, stopMoved, job.SaveS, now)
		}
	}
}

// mayDispatch checks every rule once more, just before a run is written. It looks
// at what is on machines, runs in flight included, not at what was planned.
func (s *Scheduler) mayDispatch(attempt *fleet.Attempt, now time.Time) bool {
	job, machine := s.jobOf(attempt), attempt.Machine
	if job == nil || attempt.State() != fleet.Planned || !s.startable(job, now) || !s.acceptsTasks(machine, now) || !machine.Recorded {
		return false
	}
	task := attempt.Task.N
	if task >= job.Tasks || has(job.done, task) || job.attempts[task] != attempt || job.duplicates[task] > 0 || job.isUncertain(task) || !s.belowWatermark(attempt) {
		return false
	}
	if !job.permits(machine.Type, machine.Zone, machine.Spot) {
		return false
	}
	if (job.OneZone || job.SpreadZones) && !job.zoneAllowed(machine.Zone, s.tasksByZone(job, false)) {
		return false
	}
	if job.limited && !s.withinLimit(job, s.quotaUsage.InUse(job.Team)) {
		return false
	}
	var present packing.Resources
	for _, other := range machine.Attempts() {
		if other.MayBePresent() && other.Item != nil {
			present = present.Add(other.Item.Req)
		}
	}
	return machine.Bin.Cap.Sub(present).Fits(job.request)
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
func (s *Scheduler) Respond(machine *fleet.Machine, canRun bool, now time.Time) fleet.HeartbeatResponse {
	for _, attempt := range machine.Attempts() {
		if attempt.State() == fleet.Ended && attempt.Cause == fleet.CauseDone && !attempt.Reap {
			job := s.jobOf(attempt)
			// A result may be forgotten only once the store has it.
			attempt.Reap = job == nil || has(job.stored, attempt.Task.N)
		}
	}
	resp := fleet.HeartbeatResponse{FencingToken: s.term, Commands: machine.PendingCommands()}
	delete(s.urgentMachines, machine.Host)
	if !canRun {
		return resp
	}
	for _, attempt := range slices.Clone(machine.Attempts()) {
		if attempt.State() != fleet.Planned {
			continue
		}
		if job := s.jobOf(attempt); job != nil && s.shedsStart(job) {
			continue
		}
		if !s.mayDispatch(attempt, now) {
			if (!machine.Recorded || !s.belowWatermark(attempt)) && s.acceptsTasks(machine, now) {
				continue // its record is on the way
			}
			machine.Forget(attempt)
			s.releaseAttempt(attempt)
			continue
		}
		attempt.Send(now)
		job := s.jobs[attempt.Task.Job]
		runsTotal.Inc()
		startSeconds.Update(now.Sub(job.releasedAt).Seconds())
		s.useImage(machine, job)
		resp.Commands = append(resp.Commands, fleet.Command{Verb: fleet.VerbRun, Task: attempt.Task.String(), Attempt: attempt.Number})
	}
	if len(resp.Commands) > 0 {
		slog.Debug("orders", "machine", machine.Host, "orders", len(resp.Commands), "term", s.term)
	}
	return resp
}
