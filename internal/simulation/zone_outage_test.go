package simulation

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// What becomes of a zone's machines while it is cut off.

// runZonePartition runs a cut of a zone that holds half the machines, and returns how many of its
// machines are still the same some seconds later, of how many, and how many tasks were
// lost.
func runZonePartition(t *testing.T, seconds float64, zoneHealth bool) (same, of, lost int) {
	runScenarioWith(t, func(c *cluster) {
		c.cfg.Options.ZoneHealth = zoneHealth
		c.env.ZoneCapacity = 6
	}, func(c *cluster) {
		c.env.RunTime = func(task string) time.Duration { return 10 * mixedRunTime(task) }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 96, EstimateS: 90})
		sleep(40)
		before := map[string]bool{}
		for _, m := range c.env.Machines() {
			if m.Zone == "b" {
				before[m.Name] = true
			}
		}
		c.env.PartitionZone("b", true)
		sleep(seconds)
		c.env.PartitionZone("b", false)
		sleep(8)
		for _, m := range c.env.Machines() {
			if before[m.Name] {
				same++
			}
		}
		of = len(before)
		sleep(300)
		c.wantDone(0, "j-1")
		ran, _ := c.env.History()
		for _, r := range ran {
			if r.Cause == causeLost || r.Cause == fleet.CauseGangTimeout {
				lost++
			}
		}
	})
	return same, of, lost
}

// A zone that is cut off for less than a lease loses nothing: its machines are not given
// back one by one as each becomes one of few that have been silent for long. Beyond a lease
// its tasks start elsewhere, and its machines are there when it is back.
func TestPartitionedZoneKeepsItsMachines(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		seconds    float64
		zoneHealth bool
		keeps      bool
	}{{7, true, true}, {20, true, true}, {20, false, false}} {
		same, of, lost := runZonePartition(t, x.seconds, x.zoneHealth)
		result := fmt.Sprintf("cut for %v s, zone health %v: %d machines of %d are left, %d tasks lost", x.seconds, x.zoneHealth, same, of, lost)
		// One or two may be returned as idle: some work was done elsewhere meanwhile.
		if of < 12 || x.keeps != (same >= of-2) {
			t.Error(result)
		}
		if x.seconds < 12 && lost > 0 {
			t.Error(result)
		}
	}
}
