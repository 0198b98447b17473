package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/drain"
)

// drainCounts counts the machines of a drain.
type drainCounts struct {
	occupied  int // cordoned and not empty
	upgraded  int // of inUpgrade, those that have the target version
	inUpgrade int // selected by an upgrade
}

// missing returns the number of machines that lack the target version.
func (n drainCounts) missing() int { return n.inUpgrade - n.upgraded }

// updateDrainState updates a drain's state, which operators see, unless that is final.
func (s *Scheduler) updateDrainState(d *activeDrain, now time.Time) {
	state := &d.state
	if state.Phase == drain.PhaseStopped || state.Closed() && d.spec.Kind == drain.KindUpgrade && !d.spec.Stopped {
		return
	}
	state.Term = s.term
	if state.BeganMS == 0 && d.inForce {
		state.BeganMS = now.UnixMilli()
		state.Plan = s.planDrain(&d.spec, now, false).Total
	}
	counts := s.countDrainMachines(d, now)
	state.Actual.Machines = len(d.everCordoned)
	before := state.Phase
	s.updatePhase(d, counts, now)
	if state.Phase == before {
		return
	}
	slog.Info("drain phase changed", "drain", d.spec.ID, "phase", state.Phase, "left", state.MachinesLeft, "term", s.term)
	if state.Closed() {
		state.EndedMS = now.UnixMilli()
	}
}

func (s *Scheduler) countDrainMachines(d *activeDrain, now time.Time) (n drainCounts) {
	for _, m := range s.fleet.Sorted() {
		if m.Cordon == d && !m.Empty() {
			n.occupied++
		}
		if d.spec.Kind != drain.KindUpgrade || d.state.Rollout == nil || !s.upgradeApplies(d, m, toDrainMachine(m, now), now) {
			continue
		}
		n.inUpgrade++
		if m.Version == d.state.Rollout.Target {
			n.upgraded++
		}
	}
	return n
}

// updatePhase updates the phase of a drain and the number of machines that are still to be emptied or
// upgraded.
func (s *Scheduler) updatePhase(d *activeDrain, counts drainCounts, now time.Time) {
	state := &d.state
	switch {
	case d.spec.Stopped:
		state.Phase, state.MachinesLeft, state.Blocked, state.OutOfService = drain.PhaseStopped, 0, "", nil
	case !d.inForce:
		state.Phase, state.MachinesLeft = drain.PhaseWaiting, 0
	case d.spec.Kind == drain.KindUpgrade:
		s.updateUpgradePhase(d, counts, now)
	case counts.occupied > 0 || !s.reconciled || d.spec.Kind == drain.KindCordon:
		state.Phase, state.MachinesLeft = drain.PhaseDraining, counts.occupied
	default:
		if state.Actual.EmptyS == 0 && len(d.everCordoned) > 0 {
			state.Actual.EmptyS = max(now.Sub(time.UnixMilli(state.BeganMS)).Seconds(), 0.001)
		}
		state.Phase, state.MachinesLeft = drain.PhaseDrained, 0
	}
}

// updateUpgradePhase updates the phase of an upgrade in force. Until every machine of earlier terms is
// reconciled, it is unknown whether all machines have the target version.
func (s *Scheduler) updateUpgradePhase(d *activeDrain, counts drainCounts, now time.Time) {
	state, rollout := &d.state, d.state.Rollout
	complete := counts.missing() == 0 && s.reconciled
	switch {
	case rollout.RolledBack && (rollout.Previous == "" || complete):
		state.Phase, state.MachinesLeft, state.OutOfService = drain.PhaseRolledBack, counts.missing(), nil
	case rollout.RolledBack:
		state.Phase, state.MachinesLeft = drain.PhaseRollingBack, counts.missing()
	case complete && (counts.inUpgrade > 0 || len(d.everCordoned) > 0) && s.soaked(d, now):
		state.Phase, state.MachinesLeft, state.OutOfService = drain.PhaseDone, 0, nil
	default:
		state.Phase, state.MachinesLeft = drain.PhaseUpgrading, counts.missing()
	}
}

// soaked reports whether every machine with the target version has completed a task with it, or is
// past its soak time.
func (s *Scheduler) soaked(d *activeDrain, now time.Time) bool {
	for _, m := range s.fleet.Sorted() {
		fresh := !m.VersionSince.IsZero() && now.Sub(m.VersionSince) < soakIntervals*s.settings.HeartbeatInterval
		if m.Version == d.state.Rollout.Target && fresh && !m.HasCompletedTask {
			return false
		}
	}
	return true
}
