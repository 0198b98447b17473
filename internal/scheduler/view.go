package scheduler

import (
	"slices"
	"strings"
	"time"

	"drumpick/internal/fleet"
)

// MachineView is a machine as operators see it.
type MachineView struct {
	Name    string     `json:"name"`
	Type    string     `json:"type"`
	Zone    string     `json:"zone"`
	Spot    bool       `json:"spot"`
	Addr    string     `json:"addr"`
	State   string     `json:"state"`
	AgeS    float64    `json:"age_s,omitempty"` // since its rental, where that is known
	Version string     `json:"version,omitempty"`
	Count   int        `json:"tasks"`
	Tasks   []TaskView `json:"on_it,omitempty"`
}

// TaskView is an attempt on a machine.
type TaskView struct {
	Task  string  `json:"task"`
	Try   uint64  `json:"attempt"`
	State string  `json:"state"`
	RanS  float64 `json:"ran_s"`
	Stops bool    `json:"stops,omitempty"`
}

// States of machines, as operators see them.
const (
	MachineBooting      = "booting"
	MachineUp           = "up"
	MachineUnreconciled = "unsettled" // not heard since the takeover
	MachineSilent       = "silent"
	MachineUnreachable  = "deaf"    // reports, but nothing that is sent reaches it
	MachinePreempting   = "noticed" // the cloud is about to take it
	MachineFaulty       = "faulty"
	MachineReturning    = "returning"
	MachineCordoned     = "cordoned" // takes no new tasks: an operator's drain
	MachineEmptying     = "draining" // and what runs there leaves
	MachineDrained      = "drained"  // and nothing is on it any more
)

func (s *Scheduler) machineState(m *fleet.Machine, now time.Time) string {
	switch {
	case m.Returning:
		return MachineReturning
	case m.AwaitsReconciliation():
		return MachineUnreconciled
	case !m.Up && !m.EarlierLeasesExpired:
		return MachineBooting
	case m.LeaseExpired || now.Sub(m.LastStatus) > 3*s.settings.HeartbeatInterval:
		return MachineSilent
	case m.Unreachable():
		return MachineUnreachable
	case s.isEmptying(m) && m.Empty():
		return MachineDrained
	case s.isEmptying(m):
		return MachineEmptying
	case m.Faulty:
		return MachineFaulty
	case m.Cordon != nil:
		return MachineCordoned
	case !m.PreemptionAt.IsZero():
		return MachinePreempting
	}
	return MachineUp
}

func (s *Scheduler) view(m *fleet.Machine, now time.Time) MachineView {
	v := MachineView{Name: m.Host, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Addr: m.Addr, Version: m.Version, State: s.machineState(m, now)}
	if !m.Rented.IsZero() {
		v.AgeS = now.Sub(m.Rented).Seconds()
	}
	for _, a := range m.Attempts() {
		if a.State() != fleet.Ended {
			v.Count++
		}
	}
	return v
}

// ListMachines lists up to limit machines by name, behind since, without their tasks; more
// says that there are others behind them.
func (s *Scheduler) ListMachines(since string, limit int, now time.Time) (list []MachineView, more bool) {
	all := s.fleet.Sorted()
	i, found := slices.BinarySearchFunc(all, since, func(m *fleet.Machine, name string) int { return strings.Compare(m.Host, name) })
	if found {
		i++
	}
	end := min(i+limit, len(all))
	for _, m := range all[i:end] {
		list = append(list, s.view(m, now))
	}
	return list, end < len(all)
}

// DescribeMachine tells of one machine with all that is on it.
func (s *Scheduler) DescribeMachine(name string, now time.Time) (MachineView, bool) {
	m := s.fleet.Machines[name]
	if m == nil {
		return MachineView{}, false
	}
	v := s.view(m, now)
	for _, a := range m.Attempts() {
		t := TaskView{Task: a.Task.String(), Try: a.Number, State: a.State().String(), Stops: a.Stopping()}
		if a.State() != fleet.Ended {
			_, ran := a.Durations(now)
			t.RanS = ran.Seconds()
		}
		v.Tasks = append(v.Tasks, t)
	}
	return v, true
}
