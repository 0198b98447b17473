package drain

import (
	"testing"

	"drumpick/internal/goldentest"
)

// Drains, their states and their plans keep their JSON encoding: they are stored, sent between
// controllers and read by programs.
func TestGolden(t *testing.T) {
	sum := Summary{Machines: 1, Finish: 2, Move: 3, Restart: 4, Wait: 5, Blocked: 6, LostS: 7.5, MachineLost: 8, EmptyS: 9.5}
	spec := Spec{
		ID: "d-1", Kind: KindUpgrade, Machines: []string{"m-1"}, Type: "c4", Zone: "a", OlderThanS: 60, Version: "1.0", DeadlineMS: 946684802000,
		WhenEmpty: Return, TargetVersion: "1.1", MaxOutOfService: 2, MinInService: 3, RequestedMS: 946684801000, Stopped: true,
		Window: &Window{Rule: "FREQ=WEEKLY;BYDAY=SU", TimeZone: "Europe/Warsaw", DurationS: 7200, LeadS: 600, FirstStart: "2026-01-31T22:00"},
	}
	state := State{
		Phase: PhaseUpgrading, Rollout: &Rollout{Target: "1.1", Previous: "1.0", RolledBack: true, Reason: "w", Blocked: "b"},
		OutOfService: []string{"m-1"}, MachinesLeft: 2,
		Blocked: "b", Plan: sum, Actual: sum, BeganMS: 946684801000, EndedMS: 946684802000, Term: 41,
	}
	task := TaskPlan{Task: "j-1/0", Class: "train", Action: Move, Reason: "w", LeavesAfterS: 1.5, LostS: 2.5, LateS: 3.5}
	plan := Plan{
		Machines: []MachinePlan{{Machine: "m-1", Zone: "a", EmptyS: 4.5, Tasks: []TaskPlan{task}, OmittedTasks: 5}}, Truncated: true,
		Classes: map[string]*ClassPlan{"train": {Summary: sum, Late: 1, LateAnyway: 2}}, Total: sum,
		WindowStarts: []string{"2026-01-31T22:00:00+01:00"}, Warnings: []string{"w"},
	}
	goldentest.Run(t, "golden-drains.json", goldentest.JSON, []goldentest.Case{
		{Name: "drain", Value: spec},
		{Name: "window", Value: *spec.Window},
		{Name: "state", Value: state},
		{Name: "roll", Value: *state.Rollout},
		{Name: "plan", Value: plan},
		{Name: "plan of a class", Value: *plan.Classes["train"]},
		{Name: "plan of a machine", Value: plan.Machines[0]},
		{Name: "plan of a task", Value: task},
		{Name: "kinds", Direction: goldentest.WriteOnly, Value: []string{KindCordon, KindDrain, KindUpgrade}},
		{Name: "empty machines", Direction: goldentest.WriteOnly, Value: []string{Keep, Return}},
		{Name: "phases", Direction: goldentest.WriteOnly, Value: []string{
			PhaseWaiting, PhaseDraining, PhaseDrained, PhaseUpgrading, PhaseRollingBack, PhaseDone, PhaseRolledBack, PhaseStopped,
		}},
		{Name: "actions", Direction: goldentest.WriteOnly, Value: []Action{Finish, Move, Wait, Restart, Blocked}},
	})
}
