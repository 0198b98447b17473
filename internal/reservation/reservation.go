// Package reservation decides when and where capacity is reserved for a gang or other large job.
// Without a reservation a gang starves: its places never become free all at once because small jobs
// take each place that becomes free. Once a job has waited for a share of the bound on its wait, it
// is assigned a zone, and places that become free there are reserved for it until it starts.
//
// The package is pure: no I/O, no clock.
package reservation

import (
	"slices"
	"time"
)

// AllZones is the zone name that stands for all zones.
const AllZones = "*"

const (
	// Places are reserved for a job once its wait, plus needFactor times the time that its places take to
	// become free, reaches dueShare of the bound on its wait.
	dueShare   = 0.75
	needFactor = 3
)

// Due reports whether places must be reserved for a job now. waited is how long it has waited, need is
// how long its places take to become free, and bound is how long it may wait. A reservation must not
// start so late that the bound is missed: places become free one after the other, and earlier
// reservations are served first.
func Due(waited, need, bound time.Duration) bool {
	return float64(waited)+needFactor*float64(need) >= dueShare*float64(bound)
}

// Urgent reports whether a job with a reservation can meet the bound only if it gets its places without
// delay. Partially free places are then reserved for it, too.
func Urgent(waited, need, bound time.Duration) bool { return waited+need >= bound }

// EarliestWait returns the wait before which no job gets a reservation, however long its places
// take to become free. Due does not check it; the caller must.
func EarliestWait(bound time.Duration) time.Duration {
	return time.Duration(float64(bound) * dueShare / 2)
}

// Zone describes when places for the tasks of one job become free in a zone.
type Zone struct {
	Name              string
	FreeAfterS        []float64 // seconds until each place is free, in any order
	ReservedForOthers int       // places that other jobs with a reservation in the zone still need
}

// ChooseZone returns the zone where n places are free first, after those reserved for others, and in
// how many seconds. It returns "" if no zone will have enough places. Zones with equal times are
// ordered by name.
func ChooseZone(zones []Zone, n int) (name string, afterS float64) {
	for _, zone := range zones {
		places := zone.ReservedForOthers + n
		if len(zone.FreeAfterS) < places {
			continue
		}
		lastS := slices.Sorted(slices.Values(zone.FreeAfterS))[places-1]
		if name == "" || lastS < afterS || lastS == afterS && zone.Name < name {
			name, afterS = zone.Name, lastS
		}
	}
	return name, afterS
}
