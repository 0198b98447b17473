package scheduler

import (
	"cmp"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
)

// machineWait is a machine, and in how many seconds it will have room.
type machineWait struct {
	machine *fleet.Machine
	seconds float64
}

func sortBySeconds(list []machineWait) {
	slices.SortStableFunc(list, func(a, b machineWait) int { return cmp.Compare(a.seconds, b.seconds) })
}

// secondsUntilRoom estimates, in seconds, when a machine will have room for a task of the job if it is
// given nothing else.
func (s *Scheduler) secondsUntilRoom(job *Job, machine *fleet.Machine, now time.Time) float64 {
	free := machine.Bin.Capacity.Sub(machine.Bin.Used())
	ends := s.expectedEnds(machine, now)
	for _, e := range ends {
		if free.Fits(job.request) {
			return e.seconds
		}
		free = free.Add(e.room)
	}
	if len(ends) == 0 {
		return 0
	}
	return ends[len(ends)-1].seconds
}

// secondsUntilPlaces estimates, in seconds, when a machine has room for one, two and more tasks of a
// job if it is given nothing else.
func (s *Scheduler) secondsUntilPlaces(j *Job, m *fleet.Machine, now time.Time) []float64 {
	var seconds []float64
	free := m.Bin.Capacity.Sub(m.Bin.Used()).Sub(m.Bin.Reserved())
	for _, e := range append([]expectedEnd{{}}, s.expectedEnds(m, now)...) {
		for free = free.Add(e.room); free.Fits(j.request); free = free.Sub(j.request) {
			seconds = append(seconds, e.seconds)
		}
	}
	return seconds
}

// expectedEnd is room that a task frees when it ends, by its estimate in so many seconds.
type expectedEnd struct {
	seconds float64
	room    packing.Resources
}

// expectedEnds lists when the attempts on a machine end, the soonest first.
func (s *Scheduler) expectedEnds(machine *fleet.Machine, now time.Time) []expectedEnd {
	ends := make([]expectedEnd, 0, 16) // a machine holds few
	for _, attempt := range machine.Attempts() {
		if attempt.Item == nil {
			continue
		}
		seconds := 0.0
		if aj := s.jobOf(attempt); aj != nil {
			seconds = s.remainingSeconds(aj, attempt, now)
		}
		ends = append(ends, expectedEnd{seconds, attempt.Item.Request})
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.seconds, b.seconds) })
	return ends
}
