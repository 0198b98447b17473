package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/zonehealth"
)

// isQuiet says whether a machine has been silent for so long that its zone may be the cause.
func (s *Scheduler) isQuiet(m *fleet.Machine, now time.Time) bool {
	return float64(now.Sub(m.LastHeard())) > zonehealth.SilentAfterIntervals*float64(s.settings.HeartbeatInterval)
}

// observeZones looks at which zones are cut off.
func (s *Scheduler) observeZones(now time.Time) {
	if !s.settings.ZoneHealth {
		return
	}
	counts := map[string]zonehealth.Count{}
	for _, machine := range s.fleet.Sorted() {
		if !machine.Up && !machine.Inherited || machine.Failed || machine.Returning {
			continue
		}
		n := counts[machine.Zone]
		n.Machines++
		if s.isQuiet(machine, now) {
			n.Silent++
		}
		counts[machine.Zone] = n
	}
	suspected, recovered := s.zoneHealth.Observe(counts, now)
	for _, zone := range suspected {
		slog.Warn("zone is dark: its machines are silent and those of others are not", "zone", zone, "machines", counts[zone].Machines, "silent", counts[zone].Silent, "term", s.term)
	}
	for _, zone := range recovered {
		slog.Info("zone is no longer taken for dark", "zone", zone, "machines", counts[zone].Machines, "silent", counts[zone].Silent, "term", s.term)
	}
}

// replaceableElsewhere says whether there is room, as far as known, for a machine in the place of
// another one where it would be heard. What was refused of late is: as long as work waits
// it is asked for again and again.
func (s *Scheduler) replaceableElsewhere(machine *fleet.Machine, now time.Time) bool {
	t := s.types[machine.Type]
	late := now.Add(-2 * s.startupTime(machine.Type))
	for _, z := range t.Zones {
		if s.zoneHealth.Suspected(z) {
			continue
		}
		if late.After(s.autoscaling.refusedUntil[machineOffer{machine.Type, z, false}]) || t.SpotPrice > 0 && late.After(s.autoscaling.refusedUntil[machineOffer{machine.Type, z, true}]) {
			return true
		}
	}
	return false
}
