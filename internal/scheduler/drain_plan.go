package scheduler

import (
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/packing"
)

// drainPlanner computes the outcome of each task on the machines that a drain selects. It reserves room
// for each task that moves, so that no two tasks are planned in the same room, and releases it at the
// end.
type drainPlanner struct {
	scheduler  *Scheduler
	spec       *drain.Spec
	now        time.Time
	timeLeft   *time.Duration // until the machines must be empty; nil: no deadline
	listTasks  bool           // whether the plan lists the tasks of each machine
	finder     *placeFinder
	plan       *drain.Plan
	reserved   []reservedPlace
	places     map[*Job]*jobPlaces // of jobs with tasks on the machines
	madeLate   map[*Job]bool       // jobs that the drain makes late
	lateAnyway map[*Job]bool       // jobs that are late without the drain as well
}

// jobPlaces is what a plan knows about places for the tasks of one job. It is found once per job: the zones
// of the tasks that stay do not change while a plan is computed, and room only decreases.
type jobPlaces struct {
	zones     map[string]int // tasks that stay, by zone; nil if the job has no zone constraint
	permitted bool           // some machine outside of drains could run a task
	noRoom    bool           // no machine has room for a task
}

// reservedPlace is room on a machine that is reserved while a plan is computed.
type reservedPlace struct {
	machine *fleet.Machine
	request packing.Resources
}

// planDrain returns the plan of a drain that starts now. With listTasks, it lists the machines and
// tasks.
func (s *Scheduler) planDrain(spec *drain.Spec, now time.Time, listTasks bool) *drain.Plan {
	_, deadline, _ := spec.InForce(now)
	p := &drainPlanner{
		scheduler:  s,
		spec:       spec,
		now:        now,
		timeLeft:   timeUntil(deadline, now),
		listTasks:  listTasks,
		plan:       &drain.Plan{Classes: map[string]*drain.ClassPlan{}, Machines: []drain.MachinePlan{}},
		places:     map[*Job]*jobPlaces{},
		madeLate:   map[*Job]bool{},
		lateAnyway: map[*Job]bool{},
	}
	p.finder = &placeFinder{
		scheduler: s, now: now, noRoom: map[int]bool{}, allowed: map[*Job]bool{}, excluded: spec.BlocksScaleOut,
		// An upgrade drains a few machines at a time, so the others can take their tasks.
		alsoDraining: func(m *fleet.Machine) bool { return spec.Kind != drain.KindUpgrade && p.selects(m) },
	}
	for _, m := range s.fleet.Sorted() {
		if p.selects(m) {
			p.planMachine(m)
		}
	}
	p.releasePlaces()
	for j := range p.madeLate {
		p.plan.Classes[j.Class].Late++
	}
	for j := range p.lateAnyway {
		p.plan.Classes[j.Class].LateAnyway++
	}
	return p.plan
}

// selects reports whether the drain applies to a machine now.
func (p *drainPlanner) selects(m *fleet.Machine) bool {
	upgraded := p.spec.Kind == drain.KindUpgrade && m.Version == p.spec.TargetVersion
	return !m.Returning && !m.LeaseExpired && p.spec.Selects(toDrainMachine(m, p.now)) && !upgraded
}

// planMachine adds a machine and the outcome of its tasks to the plan.
func (p *drainPlanner) planMachine(m *fleet.Machine) {
	total := &p.plan.Total
	total.Machines++
	machinePlan := drain.MachinePlan{Machine: m.Name, Zone: m.Zone}
	for _, a := range m.Attempts() {
		j := p.scheduler.jobOf(a)
		if j == nil || a.State() == fleet.Ended || a.State() == fleet.Planned || p.spec.Kind == drain.KindCordon {
			continue
		}
		taskPlan := p.planTask(j, a)
		machinePlan.EmptyS = max(machinePlan.EmptyS, taskPlan.LeavesAfterS)
		if p.listTasks {
			machinePlan.Tasks = append(machinePlan.Tasks, taskPlan)
		}
	}
	total.EmptyS = max(total.EmptyS, machinePlan.EmptyS)
	if p.spec.Kind == drain.KindUpgrade {
		total.EmptyS = 0 // unknown: depends on when machines get their version
	}
	if p.listTasks {
		p.plan.Machines = append(p.plan.Machines, machinePlan)
	}
}

// planTask returns the planned outcome of a task, and reserves room for it if it moves.
func (p *drainPlanner) planTask(j *Job, a *fleet.Attempt) drain.TaskPlan {
	s := p.scheduler
	task := s.newDrainTask(j, a, p.now)
	var target *fleet.Machine
	task.Place, target = p.findPlace(j)
	decision := drain.Decide(task, p.timeLeft, s.settings.HeartbeatInterval)
	taskPlan := drain.TaskPlan{
		Task: a.Task.String(), Class: j.Class, Action: decision.Action, Reason: decision.Reason, LostS: decision.Lost.Seconds(),
	}
	delay := time.Duration(0)
	switch decision.Action {
	case drain.Move, drain.Restart:
		taskPlan.LeavesAfterS = task.SaveDuration.Seconds()
		delay = task.SaveDuration + task.RestartDuration + decision.Lost
		if target != nil && !task.Stopping {
			p.reserve(target, j.request)
		}
	default:
		taskPlan.LeavesAfterS = task.Remaining.Seconds()
	}
	if task.Slack == nil {
		p.lateAnyway[j] = true
	} else if lateBy := (delay - *task.Slack).Seconds(); lateBy > 0 {
		taskPlan.LateS = lateBy
		p.madeLate[j] = true
	}
	p.plan.AddDecision(j.Class, decision)
	return taskPlan
}

// findPlace reports whether a task of a job may be placed outside of drains, and returns a machine that has
// room for it, nil if there is none.
func (p *drainPlanner) findPlace(j *Job) (drain.Place, *fleet.Machine) {
	places := p.places[j]
	if places == nil {
		zones := p.remainingZones(j)
		places = &jobPlaces{zones: zones, permitted: p.finder.allowedAnywhere(j, zones)}
		p.places[j] = places
	}
	switch {
	case !places.permitted:
		return drain.NotPermitted, nil
	case places.noRoom:
		return drain.NoRoom, nil
	}
	m := p.finder.findRoom(j, places.zones)
	if m == nil {
		places.noRoom = true
		return drain.NoRoom, nil
	}
	return drain.HasRoom, m
}

// remainingZones counts the tasks of a job by zone, without those on drained machines. It returns nil
// if the job has no zone constraint.
func (p *drainPlanner) remainingZones(j *Job) map[string]int {
	zones := p.scheduler.constrainedZoneCounts(j)
	if zones == nil {
		return nil
	}
	for _, a := range j.attempts {
		if p.selects(a.Machine) {
			zones[a.Machine.Zone]--
		}
	}
	return zones
}

func (p *drainPlanner) reserve(m *fleet.Machine, request packing.Resources) {
	m.Bin.Reserve(request)
	p.reserved = append(p.reserved, reservedPlace{m, request})
}

func (p *drainPlanner) releasePlaces() {
	for _, r := range p.reserved {
		r.machine.Bin.Reserve(packing.Resources{}.Sub(r.request))
	}
}
