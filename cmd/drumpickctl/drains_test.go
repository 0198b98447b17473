package main

import (
	"testing"

	"drumpick/client"
	"drumpick/internal/drain"
)

// A wait for a drain ends in each final phase, and for a cordon, which never leaves its phase by itself, once its
// machines are empty. `drain start --cordon --wait` once never returned.
func TestWaitForDrainEnds(t *testing.T) {
	for _, test := range []struct {
		kind, phase  string
		left         int
		over, failed bool
	}{
		{drain.KindDrain, drain.PhaseWaiting, 0, false, false},
		{drain.KindDrain, drain.PhaseDraining, 2, false, false},
		{drain.KindDrain, drain.PhaseDraining, 0, false, false}, // not all machines are reconciled
		{drain.KindDrain, drain.PhaseDrained, 0, true, false},
		{drain.KindDrain, drain.PhaseStopped, 0, true, false},
		{drain.KindCordon, drain.PhaseWaiting, 0, false, false},
		{drain.KindCordon, drain.PhaseDraining, 2, false, false},
		{drain.KindCordon, drain.PhaseDraining, 0, true, false},
		{drain.KindUpgrade, drain.PhaseUpgrading, 0, false, false},
		{drain.KindUpgrade, drain.PhaseDone, 0, true, false},
		{drain.KindUpgrade, drain.PhaseRolledBack, 0, true, true},
	} {
		state := &client.DrainState{Phase: test.phase, MachinesLeft: test.left, Rollout: &drain.Rollout{}}
		over, err := isDrainOver(client.DrainView{Drain: drain.Spec{Kind: test.kind}, State: state})
		if over != test.over || (err != nil) != test.failed {
			t.Errorf("%s in phase %q with %d machines left: over %v, %v; want %v, an error: %v", test.kind, test.phase, test.left, over, err, test.over, test.failed)
		}
	}
	if over, _ := isDrainOver(client.DrainView{}); over {
		t.Error("a drain without a state is over")
	}
}
