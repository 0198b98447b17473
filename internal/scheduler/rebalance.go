package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
)

// rebalance runs a rebalancing round: it predicts the load of every machine, runs VISBP's change
// operation on bins that are overloaded or where ended tasks left a gap of at least a third, and moves
// service replicas off machines that are being drained. Bins change only after reconciliation; a gap
// counts only if the bin has tasks and no claims.
func (s *Scheduler) rebalance(now time.Time) {
	s.lastRebalance = now
	s.queueStale = true
	s.refreshOpenBins(now)
	for _, machine := range s.fleet.Sorted() {
		reserved := machine.Bin.Capacity.Share(machine.Bin.Used())
		machine.Bin.PredictedLoad = machine.Forecast.Predicted(reserved)
	}
	for _, machine := range s.fleet.Sorted() {
		space := s.spaces[machine.Type]
		if space == nil || !s.reconciled {
			continue
		}
		if machine.Bin.Overloaded() {
			slog.Info("machine overload predicted", "machine", machine.Name, "predicted", machine.Bin.PredictedLoad,
				"reserved", machine.Bin.Capacity.Share(machine.Bin.Used()), "term", s.term)
		}
		hasWideGap := len(machine.ReleasedKinds) > 0 && machine.Bin.Gap() >= packing.Third-1e-9 && !machine.Empty() &&
			machine.Bin.Reserved() == (packing.Resources{})
		if machine.Bin.Overloaded() || hasWideGap {
			lowest := packing.Tiny
			for _, k := range machine.ReleasedKinds {
				lowest = max(lowest, k)
			}
			moves := space.Change(machine.Bin, lowest, packing.Tiny, nil)
			undoMoves(moves)
			s.executeMoves(moves, now)
		}
		machine.ReleasedKinds = machine.ReleasedKinds[:0]
	}
	s.moveReplicas(now)
}

// ObserveUsage adds a machine's load at a heartbeat to its forecast: the share of its capacity that
// its running, checkpointing and waiting attempts request.
func (s *Scheduler) ObserveUsage(m *fleet.Machine) {
	var sum packing.Resources
	for _, a := range m.Attempts() {
		if a.Item != nil && (a.State() == fleet.Running || a.State() == fleet.Checkpointing || a.State() == fleet.Waiting) {
			sum = sum.Add(a.Item.Request)
		}
	}
	m.Forecast.Observe(m.Bin.Capacity.Share(sum))
}
