package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// Errors of a drain that is refused.
type (
	// NoMachineError is returned where there is no such machine, zone or machine type.
	NoMachineError struct{ Text string }
	// NoCapacityLeftError is returned where a drain would leave jobs without any machine.
	NoCapacityLeftError struct{ Text string }
)

func (e *NoMachineError) Error() string      { return e.Text }
func (e *NoCapacityLeftError) Error() string { return e.Text }

// maxDrains is how many drains may be in force at a time, each of which is matched with every machine
// at each pass. It does not bound the machines that are drained: a drain by type, zone, age or version
// selects any number, and one by names as many as its record holds.
const maxDrains = 64

// PreviewDrain returns what a drain would do if it started now; it changes nothing. Without force, one
// that would leave the jobs of a class without any machine is an error.
func (s *Scheduler) PreviewDrain(spec *drain.Spec, force bool, now time.Time) (*drain.Plan, error) {
	for _, name := range spec.Machines {
		if s.fleet.Machines[name] == nil {
			return nil, &NoMachineError{"there is no machine " + name}
		}
	}
	active := 0
	for _, d := range s.drains.list {
		if !d.spec.Stopped && !(d.spec.Kind == drain.Upgrade && d.state.Closed()) {
			active++
		}
	}
	if active >= maxDrains {
		return nil, &NoCapacityLeftError{fmt.Sprintf("%d drains are in force; stop some first", active)}
	}
	if spec.Zone != "" && !slices.Contains(s.settings.Zones, spec.Zone) {
		return nil, &NoMachineError{"there is no zone " + spec.Zone}
	}
	if _, ok := s.types[spec.Type]; spec.Type != "" && !ok && len(s.types) > 0 {
		return nil, &NoMachineError{"there is no machine type " + spec.Type}
	}
	p := s.planOf(spec, now, func(m *fleet.Machine) bool { return true })
	if p.All.Machines == 0 {
		if spec.Window == nil && len(spec.Machines) > 0 || spec.Version != "" && spec.Window == nil || spec.Kind == drain.Upgrade && spec.Window == nil {
			return nil, &NoMachineError{"no machine is meant: nothing fits all that is said"}
		}
		p.Warnings = append(p.Warnings, "no machine that is there now is meant")
	}
	if !force && spec.Kind != drain.Upgrade {
		if err := s.noneLeft(spec, now); err != nil {
			return nil, err
		}
	}
	if spec.Kind == drain.Upgrade && spec.MinInService > 0 {
		zones := map[string]int{}
		for _, m := range s.fleet.Sorted() {
			if s.acceptsTasks(m, now) {
				zones[m.Zone]++
			}
		}
		for z, n := range zones {
			if n <= spec.MinInService {
				p.Warnings = append(p.Warnings, fmt.Sprintf("zone %s has %d machines in service now, and %d are to stay: it waits for others", z, n, spec.MinInService))
			}
		}
		slices.Sort(p.Warnings)
	}
	if spec.Window != nil {
		for _, at := range spec.Window.Next(now, 5) {
			p.Windows = append(p.Windows, at.Format(time.RFC3339))
		}
	}
	return p, nil
}

// noneLeft returns an error if there are jobs that could run nowhere any more.
func (s *Scheduler) noneLeft(spec *drain.Spec, now time.Time) error {
	look := &placeFinder{scheduler: s, now: now, permits: map[*Job]bool{}, barred: spec.BarsScaleOut,
		isLeaving: func(m *fleet.Machine) bool { return spec.Selects(drainView(m, now)) }}
	classes := map[string]bool{}
	for _, j := range s.jobs {
		if !j.closed && !look.allowedAnywhere(j, nil) {
			classes[j.Class] = true
		}
	}
	if len(classes) > 0 {
		var names []string
		for class := range classes {
			names = append(names, class)
		}
		slices.Sort(names)
		return &NoCapacityLeftError{"it would leave no machine for jobs of " + strings.Join(names, ", ")}
	}
	if len(s.types) > 0 && !look.allowedAnywhere(&Job{Job: records.Job{Spot: true}}, nil) {
		return &NoCapacityLeftError{"it would leave no machine at all"}
	}
	return nil
}

// planOf works out what becomes of each task on the machines that a drain selects. Tasks that move take
// the room that others would, so each has its place reserved until the plan is made. list reports of
// which machines the plan has the tasks; nil: of none.
func (s *Scheduler) planOf(spec *drain.Spec, now time.Time, list func(*fleet.Machine) bool) *drain.Plan {
	p := &drain.Plan{Classes: map[string]*drain.ClassPlan{}, Machines: []drain.MachinePlan{}}
	var left *time.Duration
	if _, by, _ := spec.InForce(now); !by.IsZero() {
		l := by.Sub(now)
		left = &l
	}
	means := func(m *fleet.Machine) bool {
		return !m.Returning && !m.LeaseExpired && spec.Selects(drainView(m, now)) && !(spec.Kind == drain.Upgrade && m.Version == spec.TargetVersion)
	}
	look := &placeFinder{scheduler: s, now: now, noRoom: map[int]bool{}, permits: map[*Job]bool{}, barred: spec.BarsScaleOut,
		// Machines of an upgrade go one after the other: the rest is there for them.
		isLeaving: func(m *fleet.Machine) bool { return spec.Kind != drain.Upgrade && means(m) }}
	type owed struct {
		m   *fleet.Machine
		req packing.Resources
	}
	var taken []owed
	late := map[*Job]float64{}
	lateAnyway := map[*Job]bool{}
	for _, m := range s.fleet.Sorted() {
		if !means(m) {
			continue
		}
		p.All.Machines++
		mp := drain.MachinePlan{Machine: m.Name, Zone: m.Zone}
		for _, a := range m.Attempts() {
			j := s.jobOf(a)
			if j == nil || a.State() == fleet.Ended || a.State() == fleet.Planned || spec.Kind == drain.Cordon {
				continue
			}
			t := s.drainTask(j, a, now)
			var to *fleet.Machine
			zones := s.zoneCounts(j)
			for _, o := range j.attempts {
				if zones != nil && means(o.Machine) {
					zones[o.Machine.Zone]-- // they all leave
				}
			}
			if t.Place = drain.Nowhere; look.allowedAnywhere(j, zones) {
				t.Place = drain.NotNow
				if to = look.findRoom(j, zones); to != nil {
					t.Place = drain.Room
				}
			}
			dec := drain.Decide(t, left, s.settings.HeartbeatInterval)
			tp := drain.TaskPlan{Task: a.Task.String(), Class: j.Class, Action: dec.Action, Reason: dec.Reason, LostS: dec.Lost.Seconds()}
			delay := time.Duration(0)
			switch dec.Action {
			case drain.Move, drain.Restart:
				tp.UntilS = t.SaveDuration.Seconds()
				delay = t.SaveDuration + t.RestartDuration + dec.Lost
				if to != nil && !t.Stopping {
					to.Bin.Reserve(j.request)
					taken = append(taken, owed{to, j.request})
				}
			default:
				tp.UntilS = t.Remaining.Seconds()
			}
			if t.Slack == nil {
				lateAnyway[j] = true
			} else if by := (delay - *t.Slack).Seconds(); by > 0 {
				tp.LateS = by
				late[j] = max(late[j], by)
			}
			mp.EmptyS = max(mp.EmptyS, tp.UntilS)
			p.Count(j.Class, dec)
			if list != nil && list(m) {
				mp.Tasks = append(mp.Tasks, tp)
			}
		}
		p.All.EmptyS = max(p.All.EmptyS, mp.EmptyS)
		if spec.Kind == drain.Upgrade {
			p.All.EmptyS = 0 // it depends on how soon machines have their version
		}
		if list != nil && list(m) {
			p.Machines = append(p.Machines, mp)
		}
	}
	for _, x := range taken {
		x.m.Bin.Reserve(packing.Resources{}.Sub(x.req))
	}
	for j := range late {
		p.Classes[j.Class].Late++
	}
	for j := range lateAnyway {
		p.Classes[j.Class].LateNow++
	}
	return p
}

// DrainView is a drain with how it stands.
type DrainView struct {
	Spec  drain.Spec   `json:"drain"`
	State *drain.State `json:"state,omitempty"`
}
