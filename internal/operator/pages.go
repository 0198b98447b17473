package operator

import (
	"drumpick/internal/messagesize"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// Machines is a page of machines. The name of its last machine, as since, selects the next page.
type Machines struct {
	Machines []scheduler.MachineView `json:"machines"`
	More     bool                    `json:"more"`
}

// Drains is a page of drains. The id of its last drain, as since, selects the next page.
type Drains struct {
	Drains []scheduler.DrainView `json:"drains"`
	More   bool                  `json:"more,omitempty"`
}

// machinesPage returns the page of the first machines that fit into a response, at least one. more reports
// whether others follow machines.
func machinesPage(machines []scheduler.MachineView, more bool) Machines {
	fit := fitAtLeastOne(machines, messagesize.Max-records.EncodedSize(Machines{Machines: []scheduler.MachineView{}}))
	return Machines{Machines: machines[:fit], More: more || fit < len(machines)}
}

// drainsPage returns the page of the first drains that fit into a response, at least one.
func drainsPage(drains []scheduler.DrainView) Drains {
	fit := fitAtLeastOne(drains, messagesize.Max-records.EncodedSize(Drains{Drains: []scheduler.DrainView{}, More: true}))
	return Drains{Drains: drains[:fit], More: fit < len(drains)}
}

// fitAtLeastOne is messagesize.FitPrefix, but at least 1 if there is an item: a page without items would
// end the list.
func fitAtLeastOne[T any](items []T, budget int) int {
	return max(messagesize.FitPrefix(items, budget), min(len(items), 1))
}

// cutMachine removes the last tasks of a machine until the encoded machine fits into a response, and counts
// them as omitted.
func cutMachine(view *scheduler.MachineView) {
	tasks := view.Tasks
	view.Tasks, view.OmittedTasks = nil, len(tasks)
	fit := messagesize.FitPrefix(tasks, messagesize.Max-records.EncodedSize(view)-len(`"on_it":[],`))
	view.Tasks, view.OmittedTasks = tasks[:fit], len(tasks)-fit
}

// cutDrain removes the last machines out of service of a drain until the encoded drain fits into a response,
// and counts them as omitted. The drain itself is bounded by the size of its record.
func cutDrain(view *scheduler.DrainView) {
	if view.State == nil {
		return
	}
	state := *view.State // the leader's own state shares the list
	machines := state.OutOfService
	view.State = &state
	state.OutOfService, view.OmittedOutOfService = nil, len(machines)
	fit := messagesize.FitPrefix(machines, messagesize.Max-records.EncodedSize(view)-len(`"in_hand":[],`))
	state.OutOfService, view.OmittedOutOfService = machines[:fit], len(machines)-fit
}
