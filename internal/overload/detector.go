// Package means tells a leader how far it falls behind, and what it may still take on. A
// leader that has more to hear than its share of a processor allows answers late; workers
// then ask again elsewhere, leases end, lost work begins anew, and all of that is more to
// hear: it does not get out of it by itself. What it can leave out at once are starts: a
// task costs it most when it starts and when it ends, and a machine that waits costs next
// to nothing.
//
// The package is pure: no I/O, no clock.
package overload

import "time"

// Level is what a leader leaves out.
type Level uint8

// Easy: nothing. Behind: starts of work that is not urgent, and plans for each report.
// Drowning: all starts. Leases, exits and cancellations are never left out.
const (
	Normal Level = iota
	Degraded
	Overloaded
)

func (l Level) String() string { return [...]string{"easy", "behind", "drowning"}[l] }

// Detector watches how late a leader is: its own timer, and what waits for it.
type Detector struct {
	report time.Duration
	every  time.Duration // between two looks
	late   time.Duration // the worst of late, forgotten by and by
	level  Level
	most   int // machines that it can hear, by what it saw; 0: not known
	since  time.Time
}

// New returns a governor for workers that report every so often, looked at as often as
// every says.
func New(report, every time.Duration) *Detector { return &Detector{report: report, every: every} }

const (
	// behindShare and drowningShare are the parts of a report interval, one in so many, by
	// which a timer is late. Workers wait for an answer for most of one.
	behindShare   = 8
	drowningShare = 3
	// forget is the share of the worst lateness that is left at the next look.
	forget = 1.0 / 2
	// restReports is for how many report intervals all has to be easy before more
	// machines than were heard then are tried, and growShare by how many at a time.
	restReports = 4
	growShare   = 1.0 / 32
)

// Observe takes in that a look came gap after the last one, with so many machines up. It says
// whether the level has changed.
func (g *Detector) Observe(gap time.Duration, up int, now time.Time) bool {
	was := g.level
	g.late = max(gap-g.every, time.Duration(float64(g.late)*forget))
	switch {
	case g.late > g.report/drowningShare:
		g.level = Overloaded
	case g.late > g.report/behindShare:
		g.level = Degraded
	case g.late < g.report/(2*behindShare):
		g.level = Normal
	}
	switch {
	case g.level > Normal:
		if g.most == 0 || up < g.most {
			g.most = up
		}
		g.since = now
	case g.most > 0 && now.Sub(g.since) > restReports*g.report:
		g.most += int(float64(g.most)*growShare) + 1
		g.since = g.since.Add(g.report)
		if g.most > 2*up {
			g.most = 0 // there are far fewer: what was seen then says nothing any more
		}
	}
	return g.level != was
}

// Level is what to leave out now.
func (g *Detector) Level() Level { return g.level }

// Lag is how late the timer has been lately.
func (g *Detector) Lag() time.Duration { return g.late }

// ScaleOutHeadroom tells how many machines more a leader should rent that has so many, at most n.
func (g *Detector) ScaleOutHeadroom(have, n int) int {
	if g.level > Normal {
		return 0
	}
	if g.most == 0 {
		return n
	}
	return max(min(n, g.most-have), 0)
}
