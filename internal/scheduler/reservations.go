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
	for _, j := range s.reservationCandidates {
		if s.needsReservation(j, now) {
			due = append(due, j)
		}
	}
	missed := func(j *Job) bool {
		w := now.Sub(j.waitStart())
		return w > s.settings.ReservationBound && w < 2*s.settings.ReservationBound
	}
	slices.SortStableFunc(due, func(a, b *Job) int {
		if missed(a) != missed(b) {
			return firstIf(!missed(a))
		}
		return a.waitStart().Compare(b.waitStart())
	})
	ahead := map[string]int{}
	for _, j := range due {
		if j.Shape != records.ShapeGang {
			s.reserveOnePlace(j, now)
			continue
		}
		if j.reservedZone == "" {
			if now.Before(j.reserveNotBefore) {
				continue // it was a look at every task
			}
			j.reserveNotBefore = now.Add(s.settings.HeartbeatInterval / 4)
			zone, in := s.chooseReservationZone(j, ahead, now)
			if zone == "" || !reservation.Due(now.Sub(j.waitStart()), time.Duration(in*float64(time.Second)), s.settings.ReservationBound) {
				continue
			}
			j.reservedZone = zone
			slog.Debug("saves room", "job", j.ID, "tasks", j.Tasks, "zone", j.reservedZone, "waited_s", now.Sub(j.waitStart()).Seconds(), "in_s", in, "term", s.term)
		}
		zone := j.reservedZone
		ahead[zone] += s.reservePlaces(j, ahead[zone] > 0, now)
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
func (s *Scheduler) needsReservation(j *Job, now time.Time) bool {
	waited := now.Sub(j.waitStart())
	is := waited >= reservation.EarliestWait(s.settings.ReservationBound) && len(j.attempts)+len(j.duplicates) == 0 && s.startable(j, now) && j.nextTask() >= 0
	switch {
	case !is:
	case j.Shape == records.ShapeGang:
		is = j.gangAttempt == 0 && s.waitingWithinLimit(j) >= j.pending()
	default:
		is = j.Shape == records.ShapeArray && j.doneCount == 0 && !j.start.reported && reservation.Due(waited, 0, s.settings.ReservationBound) && s.waitingWithinLimit(j) > 0
	}
	if !is {
		j.reservedZone = ""
	}
	return is
}

// chooseReservationZone chooses the zone where a job's places fall free soonest.
func (s *Scheduler) chooseReservationZone(j *Job, ahead map[string]int, now time.Time) (zone string, in float64) {
	byZone := map[string][]float64{}
	for _, m := range s.fleet.Sorted() {
		if !s.couldHost(j, m, now) {
			continue
		}
		zone := m.Zone
		if !j.OneZone {
			zone = reservation.AllZones
		}
		byZone[zone] = append(byZone[zone], s.secondsUntilPlaces(j, m, now)...)
	}
	var zones []reservation.Zone
	for name, in := range byZone {
		zones = append(zones, reservation.Zone{Name: name, FreeAfterS: in, Committed: ahead[name]})
	}
	return reservation.ChooseZone(zones, j.pending())
}

// secondsUntilPlaces guesses when a machine has room for one, two and more tasks of a job, in seconds,
// if it is given nothing else.
func (s *Scheduler) secondsUntilPlaces(j *Job, m *fleet.Machine, now time.Time) []float64 {
	var ins []float64
	free := m.Bin.Cap.Sub(m.Bin.Used()).Sub(m.Bin.Reserved())
	for _, e := range append([]ending{{}}, s.endings(m, now)...) {
		for free = free.Add(e.room); free.Fits(j.request); free = free.Sub(j.request) {
			ins = append(ins, e.seconds)
		}
	}
	return ins
}

// reservePlaces makes places in the chosen zone the job's own, as many as it has tasks: what is free,
// and for the rest, once it is urgent and nobody is ahead, what falls free soonest. It says how
// many are not free yet. What has begun to empty goes on, unless another place is free first.
// Guards against machines of which small tasks always take the part that is free: none of them
// is ever free as a whole.
func (s *Scheduler) reservePlaces(j *Job, ahead bool, now time.Time) (lacks int) {
	was := map[*fleet.Machine]bool{}
	for _, cl := range j.claims {
		was[cl.machine] = true
	}
	s.suspendClaims(j)
	n := j.pending()
	type place struct {
		m  *fleet.Machine
		in float64
	}
	var list []place
	for _, m := range s.fleet.Sorted() {
		if j.reservedZone != reservation.AllZones && m.Zone != j.reservedZone || !s.couldHost(j, m, now) {
			continue
		}
		for _, in := range s.secondsUntilPlaces(j, m, now) {
			if in > 0 && was[m] {
				in /= 2
			}
			list = append(list, place{m, in})
		}
	}
	slices.SortStableFunc(list, func(a, b place) int { return cmp.Compare(a.in, b.in) })
	if len(list) < n || n == 0 {
		// Guards against a gang that waits for a zone whose machines are gone.
		j.reservedZone = ""
		return 0
	}
	list = list[:n]
	need := time.Duration(list[n-1].in * float64(time.Second))
	urgent := !ahead && reservation.Urgent(now.Sub(j.waitStart()), need, s.settings.ReservationBound)
	for _, p := range list {
		if p.in > 0 {
			lacks++
		}
		if p.in <= 0 || urgent {
			s.addClaim(j, p.m, now)
		}
	}
	return lacks
}

// reserveOnePlace makes the place that is free soonest the own of an array of which no task has begun.
func (s *Scheduler) reserveOnePlace(j *Job, now time.Time) {
	j.reservedZone = reservation.AllZones
	if len(j.claims) > 0 {
		return
	}
	var best *fleet.Machine
	soonest := 0.0
	for _, m := range s.fleet.Sorted() {
		if !s.couldHost(j, m, now) || m.Bin.Reserved() != (packing.Resources{}) {
			continue
		}
		if in := s.secondsUntilRoom(j, m, now); best == nil || in < soonest {
			best, soonest = m, in
		}
	}
	if best != nil {
		s.addClaim(j, best, now)
	}
}
