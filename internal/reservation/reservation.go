// Package reservation decides for which job room is reserved that needs much of it at once: a gang
// whose places never become free all together waits for ever beside small jobs that take them one by
// one as they do. A job that has waited for a share of the bound gets a zone, and what becomes free
// there is reserved for it until it starts.
//
// The package is pure: no I/O, no clock.
package reservation

import (
	"slices"
	"time"
)

// AllZones stands for all zones together.
const AllZones = "*"

const (
	// dueShare is the share of the bound that a job's wait, and a multiple of the time that it
	// needs, have to reach before room is reserved for it; needFactor is that multiple.
	dueShare   = 0.75
	needFactor = 3
)

// Due reports whether room is to be reserved for a job by now. waited is how long it has waited, need
// how long its room takes to become free, and bound how long it may wait. A reservation must not
// start so late that the bound is missed all the same: places become free one after the
// other, and those for whom room was reserved before get theirs first.
func Due(waited, need, bound time.Duration) bool {
	return float64(waited)+needFactor*float64(need) >= dueShare*float64(bound)
}

// Urgent reports whether a job for which room is being reserved has no time left to lose: then places
// that are free only in part are kept for it as well.
func Urgent(waited, need, bound time.Duration) bool { return waited+need >= bound }

// EarliestWait is the wait before which room is reserved for no job, whatever it needs.
func EarliestWait(bound time.Duration) time.Duration {
	return time.Duration(float64(bound) * dueShare / 2)
}

// Zone is what becomes free in one zone for the tasks of one job.
type Zone struct {
	Name              string
	FreeAfterS        []float64 // seconds until each further place is free, in any order
	ReservedForOthers int       // places that others with a reservation there still lack
}

// ChooseZone returns the zone where n places are free soonest, once the others with a reservation there
// have theirs, and in how many seconds that is; "" if no zone will have as many. Of zones with the
// same time it is the first by name.
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
