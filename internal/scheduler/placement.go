package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/fairshare"
	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

// placeWaiting runs a placement pass: it inserts waiting tasks into bins in placement order.
func (s *Scheduler) placeWaiting(now time.Time) {
	s.placementStale = false
	s.refreshOpenBins(now)
	pass := &placementPass{
		scheduler: s,
		now:       now,
		usedQuota: map[string]quota.Amount{},
		noRoom:    make([]*Job, len(s.placementClasses)+1),
	}
	s.queue(now)
	s.lastMachineHolder = s.lastHoldingJob()
	s.expireClaims(now)
	s.reserveRoom(now)
	turns := s.order.iterate(s.claimOwners)
	s.currentTurns = turns
	defer func() { s.currentTurns = nil }()
	for turn, more := turns.next(); more; turn, more = turns.next() {
		if turn.job.hasNoQueuedTasks() {
			turns.deactivate()
			continue
		}
		noRoom := pass.cannotFit(turn)
		if noRoom {
			turns.skipEquivalent()
		}
		pass.placeTurn(turn, noRoom)
	}
}

// placementPass is the state of one placement pass.
type placementPass struct {
	scheduler *Scheduler
	now       time.Time
	usedQuota map[string]quota.Amount // by team with a limit, including tasks that this pass has planned
	noRoom    []*Job                  // by placement class: the earliest served job that found no room
}

// cannotFit reports whether a turn's job cannot find room because an equivalent job that is served
// before it found none. An earlier turn alone does not show that: a job with a shorter image fetch can
// have an earlier turn but be served later, and find only machines that are held for the turn's job.
func (p *placementPass) cannotFit(turn placementTurn) bool {
	first := p.noRoom[turn.placementClass()]
	return turn.placementClass() > 0 && first != nil && !servedBefore(turn.job, first)
}

// placeTurn places the waiting tasks of a turn's job as far as there is room. With noRoom, an
// equivalent job found no room, so only the job's own claims are tried.
func (p *placementPass) placeTurn(turn placementTurn, noRoom bool) {
	s, job := p.scheduler, turn.job
	if noRoom && len(job.claims) == 0 || !s.startable(job, p.now) || job.nextTask() < 0 {
		return
	}
	if _, known := p.usedQuota[job.Team]; !known && job.teamLimited {
		p.usedQuota[job.Team] = s.quotaUsage.Committed(job.Team)
	}
	if p.placeGangOrTasks(turn, noRoom) {
		return
	}
	if !turn.ready {
		s.recordShortage(job, p.usedQuota[job.Team], p.now)
	}
	// The equivalent jobs served later are skipped and record no shortage of on-demand machines. So a
	// job must not cause that if it needs on-demand machines but its limited team has no guarantee: it
	// records no shortage itself.
	if job.Spot || !job.teamLimited || fairshare.HasGuarantee(job.team) {
		p.noRoom[turn.placementClass()] = job
	}
}

// placeGangOrTasks places the waiting tasks of a turn's job: of a gang, all or none. It reports
// whether all tasks that may start found room; for a gang, whether it was placed. With noRoom, it
// tries only the claims of a job that is no gang, and returns true.
func (p *placementPass) placeGangOrTasks(turn placementTurn, noRoom bool) bool {
	s, job := p.scheduler, turn.job
	if job.Shape == records.ShapeGang {
		suspended := s.suspendClaims(job)
		if s.placeGang(job, p.usedQuota, p.now) {
			return true
		}
		s.restoreClaims(job, suspended)
		return false
	}
	zones := s.constrainedZoneCounts(job)
	s.placeInClaims(job, p.usedQuota, zones, p.now)
	if noRoom {
		return true
	}
	requiredLabel := ""
	if turn.ready {
		requiredLabel = job.imageReadyLabel
	}
	return s.placeTasks(job, requiredLabel, p.usedQuota, zones, p.now)
}

// placeTasks places as many waiting tasks of a job as possible, only on machines with requiredLabel
// unless that is "". It reports whether all tasks that may start found room. It updates used, the
// quota used by team, and zones, the job's tasks by zone (nil without a zone constraint).
func (s *Scheduler) placeTasks(job *Job, requiredLabel string, used map[string]quota.Amount, zones map[string]int, now time.Time) bool {
	for {
		task := job.nextTask()
		if task < 0 {
			return true
		}
		if job.teamLimited && !s.withinLimit(job, used[job.Team]) {
			return true
		}
		machine, moves := s.insertTask(insertion{job: job, task: task, requiredLabel: requiredLabel, zones: zones}, now)
		if machine == nil {
			return false
		}
		s.executeMoves(moves, now)
		job.dequeueTask(task)
		if job.teamLimited {
			used[job.Team] = used[job.Team].Add(job.taskQuota())
		}
		if zones != nil {
			zones[machine.Zone]++
		}
	}
}

// insertion is a task to insert into a bin, and its constraints.
type insertion struct {
	job           *Job
	task          int
	attemptNumber uint64         // 0: assign a new one
	requiredLabel string         // label that the machine must have; "": none
	zones         map[string]int // the job's tasks by zone; nil if it has no zone constraint
	zone          string         // the only zone to try; "": all
}

// allows reports whether the constraints, apart from room and requiredLabel, permit a machine.
func (i *insertion) allows(machine *fleet.Machine) bool {
	return i.job.permits(machine.Type, machine.Zone, machine.Spot) &&
		(i.zones == nil || i.job.zoneAllowed(machine.Zone, i.zones)) &&
		(i.zone == "" || machine.Zone == i.zone) &&
		!isHeldForEarlierJob(machine, i.job)
}

// insertTask finds a bin for one task by VISBP's insert operation, trying the machine types from the
// cheapest on, and plans an attempt there. It returns the machine, nil if there is no room, and the
// moves that the insertion requires; the caller has to execute them.
func (s *Scheduler) insertTask(in insertion, now time.Time) (*fleet.Machine, []packing.Move) {
	job := in.job
	item := s.takeItem(job)
	item.RequireLabel = in.requiredLabel
	if s.lastMachineHolder != nil && servedBefore(s.lastMachineHolder, job) {
		item.ExcludeLabel = heldLabel
	}
	allowed := func(b *packing.Bin) bool { return in.allows(b.Owner.(*fleet.Machine)) }
	for _, machineType := range s.typesByPrice {
		space := s.spaces[machineType]
		if space == nil {
			continue
		}
		bin, moves, rule := s.insertIntoType(space, machineType, job, item, allowed)
		if bin == nil {
			continue
		}
		item.ExcludeLabel = ""
		machine := bin.Owner.(*fleet.Machine)
		undoMoves(moves)
		number := in.attemptNumber
		if number == 0 {
			number = s.newAttemptNumber()
		}
		attempt := s.planAttempt(job, in.task, number, machine, item, now)
		s.plannedAttempts = append(s.plannedAttempts, attempt)
		if rule == packing.FirstFit {
			slog.Debug("task placed by first fit", "task", attempt.Task.String(), "machine", machine.Name, "term", s.term)
		}
		return machine, moves
	}
	s.spareItem = item
	return nil, nil
}

// newItem returns an item for a task of the job.
func (j *Job) newItem() *packing.Item {
	return &packing.Item{ID: j.ID, Request: j.request, PreferLabels: j.preferredLabels}
}

// takeItem returns an item for a task of a job. It reuses the item of an insertion that found no room, as
// most do while work waits.
func (s *Scheduler) takeItem(job *Job) *packing.Item {
	item := s.spareItem
	if item == nil {
		return job.newItem()
	}
	s.spareItem = nil
	*item = *job.newItem() // inlined: no allocation
	return item
}

// insertIntoType inserts an item into the bins of one machine type; the results are those of
// packing.Space.Insert. After a recent shortage of on-demand machines of the type, tasks that may use
// spot machines try spot machines first. Otherwise they would fill on-demand machines that gangs wait
// for, while spot machines are empty.
func (s *Scheduler) insertIntoType(space *packing.Space, machineType string, job *Job, item *packing.Item,
	allowed func(*packing.Bin) bool) (*packing.Bin, []packing.Move, packing.Rule) {
	if job.Spot && s.recentShortage(machineType, s.passTime) {
		onSpot := func(b *packing.Bin) bool { return b.Owner.(*fleet.Machine).Spot && allowed(b) }
		if bin, moves, rule := space.Insert(item, onSpot); bin != nil {
			return bin, moves, rule
		}
	}
	return space.Insert(item, allowed)
}

// planAttempt records a new attempt of a task, with the given number, as planned for a machine, and
// returns it. The machine's bin must already contain the item.
func (s *Scheduler) planAttempt(job *Job, task int, number uint64, machine *fleet.Machine, item *packing.Item,
	now time.Time) *fleet.Attempt {
	attempt := s.fleet.Plan(machine, fleet.TaskID{Job: job.ID, N: task}, number, item, now)
	attempt.Job, job.attempts[task] = job, attempt
	job.start.placedAt = now
	s.raiseWatermark(job, task)
	machine.EmptySince = time.Time{}
	return attempt
}

// recordImageUse records that a machine stores or fetches a job's image.
func (s *Scheduler) recordImageUse(m *fleet.Machine, j *Job) {
	m.UseImage(j.Image, j.ImageGB, s.machineTypes[m.Type].CacheGB)
}
