package scheduler

import (
	"cmp"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// heldMachineShare bounds how many of the machines may be emptying for larger tasks, one at least:
// each stands half empty for as long as its last small task runs.
const heldMachineShare = 1.0 / 8

// holdMachines sets machines aside for tasks that are larger than others which wait: from
// these a kept machine takes only what has its turn before. Guards against large
// tasks that never start because small ones of later turns fill every gap before a
// machine is empty. Those that will have room soonest are kept.
func (s *Scheduler) holdMachines(now time.Time) {
	was := map[*fleet.Machine]bool{}
	for _, m := range s.fleet.Sorted() {
		if m.ReservedFor != nil {
			was[m] = true
			m.ReservedFor = nil
			m.Bin.SetLabel(heldLabel, false)
		}
	}
	s.holders = s.holders[:0]
	if !s.reconciled {
		return
	}
	var waiting []*Job
	smallest := 1.0
	for _, j := range s.queue(now) {
		if j.Shape != records.ShapeGang && s.startable(j, now) && j.nextTask() >= 0 {
			waiting = append(waiting, j)
			smallest = min(smallest, s.smallestShare(j))
		}
	}
	left := max(int(float64(s.countAccepting())*heldMachineShare), 1)
	type soon struct {
		m  *fleet.Machine
		in float64
	}
	var list []soon
	listed := 0 // whose machines the list has, by the number of jobs alike
	for _, j := range waiting {
		if left == 0 {
			return
		}
		if j.placementClass == 0 || s.smallestShare(j) <= smallest+1e-9 || j.limited {
			continue
		}
		if listed != j.placementClass {
			listed, list = j.placementClass, list[:0]
			for _, m := range s.fleet.Sorted() {
				if !m.Bin.Open() || m.ReservedFor != nil || !j.permits(m.Type, m.Zone, m.Spot) || !m.Bin.Cap.Fits(j.request) {
					continue
				}
				in := s.secondsUntilRoom(j, m, now)
				if was[m] {
					in /= 2 // what has begun to empty goes on
				}
				list = append(list, soon{m, in})
			}
			slices.SortStableFunc(list, func(a, b soon) int { return cmp.Compare(a.in, b.in) })
		}
		n := min(j.pending(), left, len(list))
		for _, x := range list[:n] {
			x.m.ReservedFor = j
			x.m.Bin.SetLabel(heldLabel, true)
		}
		if n > 0 {
			s.holders = append(s.holders, j)
		}
		list = list[n:]
		left -= n
	}
}

// secondsUntilRoom guesses, in seconds, when a machine will have room for a task of the job
// if it is given nothing else.
func (s *Scheduler) secondsUntilRoom(j *Job, m *fleet.Machine, now time.Time) float64 {
	free := m.Bin.Cap.Sub(m.Bin.Used())
	ends := s.endings(m, now)
	for _, e := range ends {
		if free.Fits(j.request) {
			return e.seconds
		}
		free = free.Add(e.room)
	}
	if len(ends) == 0 {
		return 0
	}
	return ends[len(ends)-1].seconds
}

// ending is room that a task gives back when it ends, by its estimate in so many seconds.
type ending struct {
	seconds float64
	room    packing.Resources
}

// endings lists, the soonest first, when what is on a machine ends.
func (s *Scheduler) endings(m *fleet.Machine, now time.Time) []ending {
	ends := make([]ending, 0, 16) // a machine holds few
	for _, a := range m.Attempts() {
		if a.Item == nil {
			continue
		}
		in := 0.0
		if aj := s.jobOf(a); aj != nil {
			in = s.remainingSeconds(aj, a, now)
		}
		ends = append(ends, ending{in, a.Item.Req})
	}
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.seconds, b.seconds) })
	return ends
}

// heldLabel is the mark of bins whose machines are kept.
const heldLabel = "kept"

// lastHoldingJob is the one served last of the jobs for whose sake machines are kept, nil if
// there is none or one of them is over. Whoever is served after it finds every kept machine
// spared, which need not be asked of each: on 1,300 machines that was most of what the
// placing cost.
func (s *Scheduler) lastHoldingJob() *Job {
	var last *Job
	for _, k := range s.holders {
		if k.closed {
			return nil
		}
		if last == nil || servedBefore(last, k) {
			last = k
		}
	}
	return last
}

// isHeldForEarlier says whether a machine is kept for a job whose turn is before another's.
func isHeldForEarlier(m *fleet.Machine, j *Job) bool {
	k, ok := m.ReservedFor.(*Job)
	return ok && k != j && !k.closed && servedBefore(k, j)
}
