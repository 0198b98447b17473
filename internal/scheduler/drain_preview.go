package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/fleet"
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
	if err := s.checkDrain(spec); err != nil {
		return nil, err
	}
	p := s.planOf(spec, now, true)
	if p.All.Machines == 0 {
		mustSelect := len(spec.Machines) > 0 || spec.Version != "" || spec.Kind == drain.Upgrade
		if spec.Window == nil && mustSelect {
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
		p.Warnings = append(p.Warnings, s.zonesBelowMinimum(spec.MinInService, now)...)
		slices.Sort(p.Warnings)
	}
	if spec.Window != nil {
		for _, at := range spec.Window.Next(now, previewWindows) {
			p.Windows = append(p.Windows, at.Format(time.RFC3339))
		}
	}
	return p, nil
}

// previewWindows is how many windows to come a preview lists.
const previewWindows = 5

// checkDrain returns an error where a drain names what is not there, or too many are in force.
func (s *Scheduler) checkDrain(spec *drain.Spec) error {
	for _, name := range spec.Machines {
		if s.fleet.Machines[name] == nil {
			return &NoMachineError{"there is no machine " + name}
		}
	}
	active := 0
	for _, d := range s.drains.list {
		if !d.spec.Stopped && !(d.spec.Kind == drain.Upgrade && d.state.Closed()) {
			active++
		}
	}
	if active >= maxDrains {
		return &NoCapacityLeftError{fmt.Sprintf("%d drains are in force; stop some first", active)}
	}
	if spec.Zone != "" && !slices.Contains(s.settings.Zones, spec.Zone) {
		return &NoMachineError{"there is no zone " + spec.Zone}
	}
	if _, ok := s.types[spec.Type]; spec.Type != "" && !ok && len(s.types) > 0 {
		return &NoMachineError{"there is no machine type " + spec.Type}
	}
	return nil
}

// zonesBelowMinimum returns a warning for each zone of which an upgrade can take no machine out of
// service now, as so many are to stay.
func (s *Scheduler) zonesBelowMinimum(minInService int, now time.Time) []string {
	inService := map[string]int{}
	for _, m := range s.fleet.Sorted() {
		if s.acceptsTasks(m, now) {
			inService[m.Zone]++
		}
	}
	var warnings []string
	for zone, n := range inService {
		if n <= minInService {
			warnings = append(warnings, fmt.Sprintf("zone %s has %d machines in service now, and %d are to stay: it waits for others", zone, n, minInService))
		}
	}
	return warnings
}

// noneLeft returns an error if there are jobs that could run nowhere any more.
func (s *Scheduler) noneLeft(spec *drain.Spec, now time.Time) error {
	finder := &placeFinder{scheduler: s, now: now, permits: map[*Job]bool{}, barred: spec.BarsScaleOut,
		isLeaving: func(m *fleet.Machine) bool { return spec.Selects(drainView(m, now)) }}
	classes := map[string]bool{}
	for _, j := range s.jobs {
		if !j.closed && !finder.allowedAnywhere(j, nil) {
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
	if len(s.types) > 0 && !finder.allowedAnywhere(&Job{Job: records.Job{Spot: true}}, nil) {
		return &NoCapacityLeftError{"it would leave no machine at all"}
	}
	return nil
}

// DrainView is a drain with how it stands.
type DrainView struct {
	Spec  drain.Spec   `json:"drain"`
	State *drain.State `json:"state,omitempty"`
}
