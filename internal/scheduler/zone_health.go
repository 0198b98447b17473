package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/fleet"
	"drumpick/internal/zonehealth"
)

// heartbeatOverdue reports whether a machine counts as silent for zone health: nothing was heard of it
// for zonehealth.SilentAfterIntervals heartbeat intervals.
func (s *Scheduler) heartbeatOverdue(m *fleet.Machine, now time.Time) bool {
	return float64(now.Sub(m.LastHeard())) > zonehealth.SilentAfterIntervals*float64(s.settings.HeartbeatInterval)
}

// observeZones counts the machines and the silent machines of each zone, and updates which zones
// have a suspected outage.
func (s *Scheduler) observeZones(now time.Time) {
	if !s.settings.ZoneHealth {
		return
	}
	counts := map[string]zonehealth.Count{}
	for _, machine := range s.fleet.Sorted() {
		if !machine.HasStatus && !machine.Inherited || machine.Failed || machine.Returning {
			continue
		}
		n := counts[machine.Zone]
		n.Machines++
		if s.heartbeatOverdue(machine, now) {
			n.Silent++
		}
		counts[machine.Zone] = n
	}
	suspected, recovered := s.zoneHealth.Observe(counts, now)
	for _, zone := range suspected {
		slog.Warn("zone outage suspected", "zone", zone, "machines", counts[zone].Machines, "silent", counts[zone].Silent, "term", s.term)
	}
	for _, zone := range recovered {
		slog.Info("zone outage over", "zone", zone, "machines", counts[zone].Machines, "silent", counts[zone].Silent, "term", s.term)
	}
}

// replaceableElsewhere reports whether a zone without a suspected outage may have capacity for a
// replacement of a machine. An offer counts as refused during its backoff and for two startup times
// after that, because it is requested again and again while work waits.
func (s *Scheduler) replaceableElsewhere(machine *fleet.Machine, now time.Time) bool {
	machineType := s.machineTypes[machine.Type]
	recently := now.Add(-2 * s.startupTime(machine.Type))
	refusedRecently := func(zone string, spot bool) bool {
		return !recently.After(s.autoscaling.planner.RefusedUntil(autoscaler.Offer{Type: machine.Type, Zone: zone, Spot: spot}))
	}
	for _, zone := range machineType.Zones {
		if s.zoneHealth.Suspected(zone) {
			continue
		}
		if !refusedRecently(zone, false) || machineType.SpotPrice > 0 && !refusedRecently(zone, true) {
			return true
		}
	}
	return false
}
