package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/zonehealth"
)

// quiet says whether a machine has been silent for so long that its zone may be the cause.
func (c *Scheduler) quiet(m *fleet.Machine, now time.Time) bool {
	return float64(now.Sub(m.LastHeard())) > zonehealth.SilentAfterIntervals*float64(c.set.HeartbeatInterval)
}

// watchZones looks at which zones are cut off.
func (c *Scheduler) watchZones(now time.Time) {
	if !c.set.ZoneHealth {
		return
	}
	counts := map[string]zonehealth.Count{}
	for _, m := range c.fleet.Sorted() {
		if !m.Up && !m.Inherited || m.Failed || m.Returning {
			continue
		}
		n := counts[m.Zone]
		n.Machines++
		if c.quiet(m, now) {
			n.Silent++
		}
		counts[m.Zone] = n
	}
	dark, light := c.cuts.Observe(counts, now)
	for _, z := range dark {
		slog.Warn("zone is dark: its machines are silent and those of others are not", "zone", z, "machines", counts[z].Machines, "silent", counts[z].Silent, "term", c.term)
	}
	for _, z := range light {
		slog.Info("zone is no longer taken for dark", "zone", z, "machines", counts[z].Machines, "silent", counts[z].Silent, "term", c.term)
	}
}

// elsewhere says whether there is room, as far as known, for a machine in the place of
// another one where it would be heard. What was refused of late is: as long as work waits
// it is asked for again and again.
func (c *Scheduler) elsewhere(m *fleet.Machine, now time.Time) bool {
	t := c.types[m.Type]
	late := now.Add(-2 * c.startup(m.Type))
	for _, z := range t.Zones {
		if c.cuts.Suspected(z) {
			continue
		}
		if late.After(c.rent.refused[offer{m.Type, z, false}]) || t.SpotPrice > 0 && late.After(c.rent.refused[offer{m.Type, z, true}]) {
			return true
		}
	}
	return false
}
