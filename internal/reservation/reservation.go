// Package largest decides for whom room is saved that needs much of it at once: a gang whose
// places never fall free all together waits for ever beside small work that takes them one by
// one as they do. Whoever has waited for a share of the bound gets a zone, and what falls free
// there is its own until it begins.
//
// The package is pure: no I/O, no clock.
package reservation

import (
	"slices"
	"time"
)

// AllZones stands for all zones together.
const AllZones = "*"

// Due says whether room is to be saved for a job by now. Guards against saving that begins
// so late that the bound is missed all the same: what is saved falls free one place after the
// other, and those who came before save first.
func Due(waited, need, bound time.Duration) bool {
	return float64(waited)+needShare*float64(need) >= dueShare*float64(bound)
}

// Urgent says whether a job whose room is being saved has no time left to lose: then places
// are kept for it that are free in part.
func Urgent(waited, need, bound time.Duration) bool { return waited+need >= bound }

// EarliestWait is the wait before which room is saved for nobody, whatever it needs.
func EarliestWait(bound time.Duration) time.Duration {
	return time.Duration(float64(bound) * dueShare / 2)
}

const (
	dueShare  = 0.75
	needShare = 3
)

// Zone is what falls free in one zone for the tasks of one job.
type Zone struct {
	Name       string
	FreeAfterS []float64 // seconds until each further place is free, in any order
	Committed  int       // places that others who save there still lack
}

// ChooseZone picks the zone where n places are free soonest once those who save there have theirs,
// and says in how many seconds; "" if no zone will have as many.
func ChooseZone(zones []Zone, n int) (name string, in float64) {
	for _, z := range zones {
		k := z.Committed + n
		if len(z.FreeAfterS) < k {
			continue
		}
		at := slices.Sorted(slices.Values(z.FreeAfterS))[k-1]
		if name == "" || at < in || at == in && z.Name < name {
			name, in = z.Name, at
		}
	}
	return name, in
}
