package scheduler

import (
	"slices"
	"strings"
	"time"

	"drumpick/internal/fleet"
)

// MachineView is the operator's view of a machine.
type MachineView struct {
	Name      string     `json:"name"`
	Type      string     `json:"type"`
	Zone      string     `json:"zone"`
	Spot      bool       `json:"spot"`
	Addr      string     `json:"addr"`
	State     string     `json:"state"`
	AgeS      float64    `json:"age_s,omitempty"` // seconds since its rental was requested; 0: unknown
	Version   string     `json:"version,omitempty"`
	TaskCount int        `json:"tasks"`
	Tasks     []TaskView `json:"on_it,omitempty"`
	// OmittedTasks is the number of tasks that are not listed because the view is limited in size.
	OmittedTasks int `json:"others,omitempty"`
}

// TaskView is the operator's view of an attempt on a machine. RanS is how long the attempt has been
// running, in seconds; 0 if it has ended or never ran.
type TaskView struct {
	Task     string  `json:"task"`
	Attempt  uint64  `json:"attempt"`
	State    string  `json:"state"`
	RanS     float64 `json:"ran_s"`
	Stopping bool    `json:"stops,omitempty"`
}

// Machine states in the operator's view.
const (
	MachineBooting      = "booting"
	MachineUp           = "up"
	MachineUnreconciled = "unsettled" // has not shown the current term; a lease of an earlier term may still be valid
	MachineSilent       = "silent"
	MachineUnreachable  = "deaf"    // sends heartbeats, but no command reaches it
	MachinePreempting   = "noticed" // the cloud is about to preempt it
	MachineFaulty       = "faulty"
	MachineReturning    = "returning"
	MachineCordoned     = "cordoned" // an operator's drain keeps new tasks away
	MachineDraining     = "draining" // cordoned, and its tasks are leaving
	MachineDrained      = "drained"  // cordoned, and no task is left on it
)

func (s *Scheduler) machineState(machine *fleet.Machine, now time.Time) string {
	switch {
	case machine.Returning:
		return MachineReturning
	case machine.AwaitsReconciliation():
		return MachineUnreconciled
	case !machine.HasStatus && !machine.EarlierLeasesExpired:
		return MachineBooting
	case machine.LeaseExpired || now.Sub(machine.LastStatusAt) > silentIntervals*s.settings.HeartbeatInterval:
		return MachineSilent
	case machine.Unreachable():
		return MachineUnreachable
	case s.isBeingDrained(machine) && machine.Empty():
		return MachineDrained
	case s.isBeingDrained(machine):
		return MachineDraining
	case machine.Faulty:
		return MachineFaulty
	case machine.Cordon != nil:
		return MachineCordoned
	case !machine.PreemptionAt.IsZero():
		return MachinePreempting
	}
	return MachineUp
}

// machineView returns the view of a machine without the list of its tasks.
func (s *Scheduler) machineView(machine *fleet.Machine, now time.Time) MachineView {
	view := MachineView{
		Name: machine.Name, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, Addr: machine.Addr,
		Version: machine.Version, State: s.machineState(machine, now),
	}
	if !machine.RequestedAt.IsZero() {
		view.AgeS = now.Sub(machine.RequestedAt).Seconds()
	}
	for _, attempt := range machine.Attempts() {
		if attempt.State() != fleet.Ended {
			view.TaskCount++
		}
	}
	return view
}

// ListMachines returns up to limit machines whose names sort after the name after, sorted by name and
// without their tasks. more reports whether further machines follow.
func (s *Scheduler) ListMachines(after string, limit int, now time.Time) (list []MachineView, more bool) {
	all := s.fleet.Sorted()
	byName := func(machine *fleet.Machine, name string) int { return strings.Compare(machine.Name, name) }
	i, found := slices.BinarySearchFunc(all, after, byName)
	if found {
		i++
	}
	end := min(i+limit, len(all))
	for _, machine := range all[i:end] {
		list = append(list, s.machineView(machine, now))
	}
	return list, end < len(all)
}

// DescribeMachine returns the view of a machine with its tasks, and whether the machine is known.
func (s *Scheduler) DescribeMachine(name string, now time.Time) (MachineView, bool) {
	machine := s.fleet.Machines[name]
	if machine == nil {
		return MachineView{}, false
	}
	view := s.machineView(machine, now)
	for _, attempt := range machine.Attempts() {
		task := TaskView{Task: attempt.Task.String(), Attempt: attempt.Number, State: attempt.State().String(), Stopping: attempt.Stopping()}
		if attempt.State() != fleet.Ended {
			_, ran := attempt.Durations(now)
			task.RanS = ran.Seconds()
		}
		view.Tasks = append(view.Tasks, task)
	}
	return view, true
}
