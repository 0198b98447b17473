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

// Errors of a rejected drain.
type (
	// DrainTargetError is returned if a drain names a machine, zone or machine type that does not
	// exist, or if a drain without a window that selects by name or version, or is an upgrade, selects
	// no machine.
	DrainTargetError struct{ Text string }
	// DrainRefusedError is returned if a drain would leave jobs without any machine, or no machine at
	// all, or if there are already maxDrains drains.
	DrainRefusedError struct{ Text string }
)

func (e *DrainTargetError) Error() string  { return e.Text }
func (e *DrainRefusedError) Error() string { return e.Text }

// maxDrains is the maximum number of drains that are neither stopped nor completed upgrades,
// because each pass matches every drain with every machine. It does not bound the number of drained
// machines: a drain by type, zone, age or version selects any number, and a drain by names as many
// as its record can hold.
const maxDrains = 64

// PreviewDrain returns the plan of a drain that starts now; it changes nothing. Without force, it
// rejects a drain, other than an upgrade, that would leave a class of jobs without any machine, or
// no machine at all.
func (s *Scheduler) PreviewDrain(spec *drain.Spec, force bool, now time.Time) (*drain.Plan, error) {
	if err := s.checkDrain(spec); err != nil {
		return nil, err
	}
	plan := s.planDrain(spec, now, true)
	if plan.Total.Machines == 0 {
		mustSelect := len(spec.Machines) > 0 || spec.Version != "" || spec.Kind == drain.KindUpgrade
		if spec.Window == nil && mustSelect {
			return nil, &DrainTargetError{"no machine is meant: nothing fits all that is said"}
		}
		plan.Warnings = append(plan.Warnings, "no machine that is there now is meant")
	}
	if !force && spec.Kind != drain.KindUpgrade {
		if err := s.checkCapacityLeft(spec, now); err != nil {
			return nil, err
		}
	}
	if spec.Kind == drain.KindUpgrade && spec.MinInService > 0 {
		plan.Warnings = append(plan.Warnings, s.zonesBelowMinimum(spec.MinInService, now)...)
		slices.Sort(plan.Warnings)
	}
	if spec.Window != nil {
		for _, at := range spec.Window.NextStarts(now, previewWindows) {
			plan.WindowStarts = append(plan.WindowStarts, at.Format(time.RFC3339))
		}
	}
	return plan, nil
}

// previewWindows is the number of upcoming windows that a preview lists.
const previewWindows = 5

// checkDrain returns an error if a drain names a target that does not exist, or if there are already
// maxDrains drains.
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

// zonesBelowMinimum returns a warning for each zone in which an upgrade can take no machine out of
// service now without going below minInService.
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

// checkCapacityLeft returns an error if a drain leaves open jobs without any machine that may run
// them, or leaves no machine at all.
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

// DrainView is a drain with its state.
type DrainView struct {
	Spec  drain.Spec   `json:"drain"`
	State *drain.State `json:"state,omitempty"`
	// OmittedOutOfService is the number of machines out of service that are not listed because the view is
	// limited in size.
	OmittedOutOfService int `json:"others,omitempty"`
}
