package scheduler

import (
	"testing"

	"drumpick/internal/drain"
	"drumpick/internal/goldentest"
)

// The operator's views of machines and drains keep their JSON encoding.
func TestGoldenViews(t *testing.T) {
	task := TaskView{Task: "j-412/3", Attempt: 2, State: "running", RanS: 4.5, Stopping: true}
	goldentest.Run(t, "golden-views.json", goldentest.JSON, []goldentest.Case{
		{Name: "machine", Value: MachineView{
			Name: "m-000231", Type: "g8", Zone: "a", Spot: true, Addr: "10.1.0.232:9000", State: MachineUp, AgeS: 60.5,
			Version: "1.0", TaskCount: 1, Tasks: []TaskView{task}, OmittedTasks: 3,
		}},
		{Name: "task", Value: task},
		{Name: "drain", AllowUnset: true, Value: DrainView{Spec: drain.Spec{ID: "d-1"}, State: &drain.State{Phase: drain.PhaseDraining}}},
		{Name: "drain that no leader has seen", AllowUnset: true, Value: DrainView{Spec: drain.Spec{ID: "d-1"}}},
		{Name: "states of machines", Direction: goldentest.WriteOnly, Value: []string{
			MachineBooting, MachineUp, MachineUnreconciled, MachineSilent, MachineUnreachable, MachinePreempting, MachineFaulty,
			MachineReturning, MachineCordoned, MachineDraining, MachineDrained,
		}},
	})
}
