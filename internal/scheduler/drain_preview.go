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
	// DrainTargetError is returned where there is no such machine, zone or machine type.
	DrainTargetError struct{ Text string }
	// DrainRefusedError is returned where a drain would leave jobs without any machine.
	DrainRefusedError struct{ Text string }
)

func (e *DrainTargetError) Error() string  { return e.Text }
func (e *DrainRefusedError) Error() string { return e.Text }

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
	p := s.planDrain(spec, now, true)
	if p.Total.Machines == 0 {
		mustSelect := len(spec.Machines) > 0 || spec.Version != "" || spec.Kind == drain.KindUpgrade
		if spec.Window == nil && mustSelect {
			return nil, &DrainTargetError{"no machine is meant: nothing fits all that is said"}
		}
		p.Warnings = append(p.Warnings, "no machine that is there now is meant")
	}
	if !force && spec.Kind != drain.KindUpgrade {
		if err := s.checkCapacityLeft(spec, now); err != nil {
			return nil, err
		}
	}
	if spec.Kind == drain.KindUpgrade && spec.MinInService > 0 {
		p.Warnings = append(p.Warnings, s.zonesBelowMinimum(spec.MinInService, now)...)
		slices.Sort(p.Warnings)
	}
	if spec.Window != nil {
		for _, at := range spec.Window.NextStarts(now, previewWindows) {
			p.WindowStarts = append(p.WindowStarts, at.Format(time.RFC3339))
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
			return &DrainTargetError{"there is no machine " + name}
		}
	}
	active := 0
	for _, d := range s.drains.list {
		if !d.spec.Stopped && !(d.spec.Kind == drain.KindUpgrade && d.state.Closed()) {
			active++
		}
	}
	if active >= maxDrains {
		return &DrainRefusedError{fmt.Sprintf("%d drains are in force; stop some first", active)}
	}
	if spec.Zone != "" && !slices.Contains(s.settings.Zones, spec.Zone) {
		return &DrainTargetError{"there is no zone " + spec.Zone}
	}
	if _, ok := s.machineTypes[spec.Type]; spec.Type != "" && !ok && len(s.machineTypes) > 0 {
		return &DrainTargetError{"there is no machine type " + spec.Type}
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

// checkCapacityLeft returns an error if there are jobs that could run nowhere any more.
func (s *Scheduler) checkCapacityLeft(spec *drain.Spec, now time.Time) error {
	finder := &placeFinder{scheduler: s, now: now, allowed: map[*Job]bool{}, excluded: spec.BlocksScaleOut,
		alsoDraining: func(m *fleet.Machine) bool { return spec.Selects(toDrainMachine(m, now)) }}
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
		return &DrainRefusedError{"it would leave no machine for jobs of " + strings.Join(names, ", ")}
	}
	if len(s.machineTypes) > 0 && !finder.allowedAnywhere(&Job{Job: records.Job{Spot: true}}, nil) {
		return &DrainRefusedError{"it would leave no machine at all"}
	}
	return nil
}

// DrainView is a drain with how it stands.
type DrainView struct {
	Spec  drain.Spec   `json:"drain"`
	State *drain.State `json:"state,omitempty"`
}
