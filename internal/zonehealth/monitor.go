// Package zones tells a leader which zones are dark: nearly all machines of the zone are
// silent while those of others are heard. Silence of one machine most likely means that it
// died, and it is given back at once, which proves that its tasks are gone. Silence of a
// whole zone most likely means a cut that ends: its machines work on under their leases,
// and what is rented in their place in the same zone is as silent as they are.
//
// The package is pure: no I/O, no clock.
package zonehealth

import (
	"slices"
	"time"
)

// Count is what is known of a zone's machines that have been up: how many there are, and
// how many of these are silent.
type Count struct{ Machines, Silent int }

// Monitor follows the zones of a term. Its owner holds the lock.
type Monitor struct {
	lease time.Duration
	zones map[string]*zone
}

type zone struct {
	dark  bool
	since time.Time // when it fell dark
	light time.Time // when it was last light again
}

// New returns a watch for workers with leases of such a length.
func New(lease time.Duration) *Monitor { return &Monitor{lease: lease, zones: map[string]*zone{}} }

const (
	// fewest is how many machines a zone needs to be judged by them.
	fewest = 3
	// darkShare of a zone's machines are silent when it falls dark, and at most lightShare
	// of those of all others: else the trouble is more likely ours.
	darkShare  = 3.0 / 4
	lightShare = 1.0 / 4
	// backShare of its machines are heard when it is light again.
	backShare = 1.0 / 2
	// graceLeases is how long the last of its machines are given to come back after that.
	graceLeases = 1.0 / 2
	// mostLeases is for how long a zone is believed to be merely cut off.
	mostLeases = 6
)

// SilentAfterIntervals is after how many report intervals without a word a machine counts as silent
// here: one report may be lost or late. It is less than what any decision on a machine by
// itself waits for. Guards against a zone whose machines are given back one by one, each
// being one of a few silent ones, as their last reports were not at the same moment.
const SilentAfterIntervals = 1.5

// Observe takes in how the zones stand, and tells which have fallen dark or are light again,
// by name.
func (w *Monitor) Observe(counts map[string]Count, now time.Time) (dark, light []string) {
	machines, silent := 0, 0
	for _, c := range counts {
		machines += c.Machines
		silent += c.Silent
	}
	for name, c := range counts {
		z := w.zones[name]
		if z == nil {
			z = &zone{}
			w.zones[name] = z
		}
		others, quiet := machines-c.Machines, silent-c.Silent
		switch {
		case !z.dark:
			if c.Machines >= fewest && others >= fewest &&
				float64(c.Silent) >= darkShare*float64(c.Machines) && float64(quiet) <= lightShare*float64(others) {
				*z = zone{dark: true, since: now}
				dark = append(dark, name)
			}
		case float64(c.Machines-c.Silent) >= backShare*float64(c.Machines) && c.Machines > 0,
			now.Sub(z.since) > mostLeases*w.lease:
			*z = zone{light: now}
			light = append(light, name)
		}
	}
	// A zone of which no machine is left tells nothing, until one is rented there.
	for name, z := range w.zones {
		if _, ok := counts[name]; !ok && z.dark && now.Sub(z.since) > mostLeases*w.lease {
			*z = zone{light: now}
			light = append(light, name)
		}
	}
	slices.Sort(dark)
	slices.Sort(light)
	return dark, light
}

// Suspected says whether a zone is dark.
func (w *Monitor) Suspected(name string) bool { z := w.zones[name]; return z != nil && z.dark }

// AnySuspected says whether any zone is dark. As long as one is, what else is silent may be so for
// its sake: a worker can have its way through it.
func (w *Monitor) AnySuspected() bool {
	for _, z := range w.zones {
		if z.dark {
			return true
		}
	}
	return false
}

// KeepWaiting says whether a machine of a zone that is dark, or was a moment ago, is still waited
// for, silent for so long that its tasks are gone, where replace is what another one takes to
// do its work, and elsewhere whether there is room for another one where it would be heard.
// Waiting as long as the replacement takes costs at most twice what either choice costs at
// best, however long the cut lasts; where there is no replacement, waiting costs nothing but
// money.
func (w *Monitor) KeepWaiting(name string, silent, replace time.Duration, elsewhere bool, now time.Time) bool {
	z := w.zones[name]
	switch {
	case z == nil:
		return false
	case z.dark:
		return !elsewhere || silent <= w.lease+replace
	}
	return !z.light.IsZero() && now.Sub(z.light) <= time.Duration(graceLeases*float64(w.lease))
}
