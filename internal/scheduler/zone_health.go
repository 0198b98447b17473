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
	for _, m := range s.fleet.Sorted() {
		if !m.Up && !m.Inherited || m.Failed || m.Returning {
			continue
		}
		n := counts[m.Zone]
		n.Machines++
		if s.isQuiet(m, now) {
			n.Silent++
		}
		counts[m.Zone] = n
	}
	dark, light := s.zoneHealth.Observe(counts, now)
	for _, z := range dark {
		slog.Warn("zone is dark: its machines are silent and those of others are not", "zone", z, "machines", counts[z].Machines, "silent", counts[z].Silent, "term", s.term)
	}
	for _, z := range light {
		slog.Info("zone is no longer taken for dark", "zone", z, "machines", counts[z].Machines, "silent", counts[z].Silent, "term", s.term)
	}
}

// replaceableElsewhere says whether there is room, as far as known, for a machine in the place of
// another one where it would be heard. What was refused of late is: as long as work waits
// it is asked for again and again.
func (s *Scheduler) replaceableElsewhere(m *fleet.Machine, now time.Time) bool {
	t := s.types[m.Type]
	late := now.Add(-2 * s.startupTime(m.Type))
	for _, z := range t.Zones {
		if s.zoneHealth.Suspected(z) {
			continue
		}
		if late.After(s.autoscaling.refusedUntil[machineOffer{m.Type, z, false}]) || t.SpotPrice > 0 && late.After(s.autoscaling.refusedUntil[machineOffer{m.Type, z, true}]) {
			return true
		}
	}
	return false
}
