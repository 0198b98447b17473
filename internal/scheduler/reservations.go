package scheduler

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
	"drumpick/internal/reservation"
)

// reserveRoom makes what has fallen free the own of gangs that have waited for long, in the order
// in which they must begin, in one zone for each. It goes before all placing: section 3.4's insert takes
// items one by one, and a gang that needs twelve bins at once finds eleven at the most beside
// a queue of smaller ones that never ends.
func (s *Scheduler) reserveRoom(now time.Time) {
	if s.settings.ReservationBound <= 0 || !s.reconciled {
		return
	}
	var due []*Job
	s.queue(now)
	for _, job := range s.reservationCandidates {
		if s.needsReservation(job, now) {
			due = append(due, job)
		}
	}
	missed := func(job *Job) bool {
		w := now.Sub(job.waitStart())
		return w > s.settings.ReservationBound && w < 2*s.settings.ReservationBound
	}
	slices.SortStableFunc(due, func(a, b *Job) int {
		if missed(a) != missed(b) {
			return firstIf(!missed(a))
		}
		return a.waitStart().Compare(b.waitStart())
	})
	ahead := map[string]int{}
	for _, job := range due {
		if job.Shape != records.ShapeGang {
			s.reserveOnePlace(job, now)
			continue
		}
		if job.reservedZone == "" {
			if now.Before(job.reserveNotBefore) {
				continue // it was a look at every task
			}
			job.reserveNotBefore = now.Add(s.settings.HeartbeatInterval / 4)
			zone, seconds := s.chooseReservationZone(job, ahead, now)
			if zone == "" || !reservation.Due(now.Sub(job.waitStart()), time.Duration(seconds*float64(time.Second)), s.settings.ReservationBound) {
				continue
			}
			job.reservedZone = zone
			slog.Debug("saves room", "job", job.ID, "tasks", job.Tasks, "zone", job.reservedZone, "waited_s", now.Sub(job.waitStart()).Seconds(), "in_s", seconds, "term", s.term)
		}
		zone := job.reservedZone
		ahead[zone] += s.reservePlaces(job, ahead[zone] > 0, now)
	}
}

// listReservationCandidates lists, in the order of the queue, the jobs for which room may have to be saved until
// the order is worked out anew: gangs, which may begin anew, and arrays of which nothing has begun.
func (s *Scheduler) listReservationCandidates() {
	s.reservationCandidates = s.reservationCandidates[:0]
	for _, j := range s.sortedJobs {
		if j.Shape == records.ShapeGang || j.Shape == records.ShapeArray && j.doneCount == 0 && !j.start.reported {
			s.reservationCandidates = append(s.reservationCandidates, j)
		} else {
			j.reservedZone = ""
		}
	}
}

// waitStart is from when a job's wait for its begin counts.
func (j *Job) waitStart() time.Time {
	if j.gangBrokenAt.After(j.releasedAt) {
		return j.gangBrokenAt
	}
	return j.releasedAt
}

// needsReservation says whether room is to be saved for a job by now: for a gang all its places, for an
// array the first.
func (s *Scheduler) needsReservation(job *Job, now time.Time) bool {
	waited := now.Sub(job.waitStart())
	needed := waited >= reservation.EarliestWait(s.settings.ReservationBound) && len(job.attempts)+len(job.duplicates) == 0 && s.startable(job, now) && job.nextTask() >= 0
	switch {
	case !needed:
	case job.Shape == records.ShapeGang:
		needed = job.gangAttempt == 0 && s.waitingWithinLimit(job) >= job.pending()
	default:
		needed = job.Shape == records.ShapeArray && job.doneCount == 0 && !job.start.reported && reservation.Due(waited, 0, s.settings.ReservationBound) && s.waitingWithinLimit(job) > 0
	}
	if !needed {
		job.reservedZone = ""
	}
	return needed
}

// chooseReservationZone chooses the zone where a job's places fall free soonest.
func (s *Scheduler) chooseReservationZone(job *Job, ahead map[string]int, now time.Time) (zone string, in float64) {
	byZone := map[string][]float64{}
	for _, machine := range s.fleet.Sorted() {
		if !s.couldHost(job, machine, now) {
			continue
		}
		zone := machine.Zone
		if !job.OneZone {
			zone = reservation.AllZones
		}
		byZone[zone] = append(byZone[zone], s.secondsUntilPlaces(job, machine, now)...)
	}
	var zones []reservation.Zone
	for name, in := range byZone {
		zones = append(zones, reservation.Zone{Name: name, FreeAfterS: in, Committed: ahead[name]})
	}
	return reservation.ChooseZone(zones, job.pending())
}

// secondsUntilPlaces guesses when a machine has room for one, two and more tasks of a job, in seconds,
// if it is given nothing else.
func (s *Scheduler) secondsUntilPlaces(j *Job, m *fleet.Machine, now time.Time) []float64 {
	var seconds []float64
	free := m.Bin.Cap.Sub(m.Bin.Used()).Sub(m.Bin.Reserved())
	for _, e := range append([]ending{{}}, s.endings(m, now)...) {
		for free = free.Add(e.room); free.Fits(j.request); free = free.Sub(j.request) {
			seconds = append(seconds, e.seconds)
		}
	}
	return seconds
}

// reservePlaces makes places in the chosen zone the job's own, as many as it has tasks: what is free,
// and for the rest, once it is urgent and nobody is ahead, what falls free soonest. It says how
// many are not free yet. What has begun to empty goes on, unless another place is free first.
// Guards against machines of which small tasks always take the part that is free: none of them
// is ever free as a whole.
func (s *Scheduler) reservePlaces(job *Job, ahead bool, now time.Time) (lacks int) {
	claimedBefore := map[*fleet.Machine]bool{}
	for _, cl := range job.claims {
		claimedBefore[cl.machine] = true
	}
	s.suspendClaims(job)
	n := job.pending()
	type place struct {
		machine *fleet.Machine
		seconds float64
	}
	var list []place
	for _, machine := range s.fleet.Sorted() {
		if job.reservedZone != reservation.AllZones && machine.Zone != job.reservedZone || !s.couldHost(job, machine, now) {
			continue
		}
		for _, seconds := range s.secondsUntilPlaces(job, machine, now) {
			if seconds > 0 && claimedBefore[machine] {
				seconds /= 2
			}
			list = append(list, place{machine, seconds})
		}
	}
	slices.SortStableFunc(list, func(a, b place) int { return cmp.Compare(a.seconds, b.seconds) })
	if len(list) < n || n == 0 {
		// Guards against a gang that waits for a zone whose machines are gone.
		job.reservedZone = ""
		return 0
	}
	list = list[:n]
	need := time.Duration(list[n-1].seconds * float64(time.Second))
	urgent := !ahead && reservation.Urgent(now.Sub(job.waitStart()), need, s.settings.ReservationBound)
	for _, candidate := range list {
		if candidate.seconds > 0 {
			lacks++
		}
		if candidate.seconds <= 0 || urgent {
			s.addClaim(job, candidate.machine, now)
		}
	}
	return lacks
}

// reserveOnePlace makes the place that is free soonest the own of an array of which no task has begun.
func (s *Scheduler) reserveOnePlace(job *Job, now time.Time) {
	job.reservedZone = reservation.AllZones
	if len(job.claims) > 0 {
		return
	}
	var best *fleet.Machine
	soonest := 0.0
	for _, machine := range s.fleet.Sorted() {
		if !s.couldHost(job, machine, now) || machine.Bin.Reserved() != (packing.Resources{}) {
			continue
		}
		if seconds := s.secondsUntilRoom(job, machine, now); best == nil || seconds < soonest {
			best, soonest = machine, seconds
		}
	}
	if best != nil {
		s.addClaim(job, best, now)
	}
}
