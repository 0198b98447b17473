package scheduler

import (
	"cmp"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
)

// machineWait is a machine and the estimated time, in seconds, until it has room.
type machineWait struct {
	machine *fleet.Machine
	seconds float64
}

func sortBySeconds(list []machineWait) {
	slices.SortStableFunc(list, func(a, b machineWait) int { return cmp.Compare(a.seconds, b.seconds) })
}

// secondsUntilRoom estimates in how many seconds a machine will have room for one task of the job if
// no other tasks are placed there. The estimate can be late by one task end: it is the first expected
// end if there is room now, else the end after the one that frees enough room, or the last end. It is 0
// if the machine has no attempts.
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

// secondsUntilPlaces estimates in how many seconds a machine will have unclaimed room for one, two
// and more tasks of the job if no other tasks are placed there: one ascending value for each task
// that fits, up to limit. Without the limit, the places for very small tasks would be many.
func (s *Scheduler) secondsUntilPlaces(j *Job, m *fleet.Machine, limit int, now time.Time) []float64 {
	var seconds []float64
	free := m.Bin.Capacity.Sub(m.Bin.Used()).Sub(m.Bin.Reserved())
	for _, e := range append([]expectedEnd{{}}, s.expectedEnds(m, now)...) {
		for free = free.Add(e.room); len(seconds) < limit && free.Fits(j.request); free = free.Sub(j.request) {
			seconds = append(seconds, e.seconds)
		}
	}
	return seconds
}

// expectedEnd is the room that a task frees when it ends, and the estimated seconds until then.
type expectedEnd struct {
	seconds float64
	room    packing.Resources
}

// expectedEnds returns the expected ends of the attempts on a machine, the soonest first. Attempts of
// jobs that are not open count as ending at once. The result is valid until the next call, which reuses
// its memory: a tick examines every machine.
func (s *Scheduler) expectedEnds(machine *fleet.Machine, now time.Time) []expectedEnd {
	ends := s.endsBuffer[:0]
	for _, attempt := range machine.Attempts() {
		if attempt.Item == nil {
			continue
		}
		seconds := 0.0
		if attemptJob := s.jobOf(attempt); attemptJob != nil {
			seconds = s.remainingSeconds(attemptJob, attempt, now)
		}
		ends = append(ends, expectedEnd{seconds, attempt.Item.Request})
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.seconds, b.seconds) })
	s.endsBuffer = ends
	return ends
}
