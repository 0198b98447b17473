package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
	"drumpick/internal/reservation"
)

// reserveRoom claims room for jobs whose reservation is due, in the order of dueReservations: places
// of a gang (reserveGangPlaces), in one zone if the gang requires that, and one place of an array. It
// does nothing if reservations are off or until reconciliation is complete. It runs before placement,
// because packing inserts items one by one: beside a steady queue of smaller jobs, a gang that needs
// twelve bins at once would find eleven at most.
func (s *Scheduler) reserveRoom(now time.Time) {
	if s.settings.ReservationBound <= 0 || !s.reconciled {
		return
	}
	s.queue(now)
	committed := map[string]int{} // by zone, places that gangs earlier in this order still wait for
	for _, job := range s.dueReservations(now) {
		if job.Shape != records.ShapeGang {
			s.reserveArrayPlace(job, now)
			continue
		}
		if job.reservedZone == "" && !s.beginReservation(job, committed, now) {
			continue
		}
		zone := job.reservedZone
		committed[zone] += s.reserveGangPlaces(job, committed[zone] > 0, now)
	}
}

// dueReservations returns the jobs whose reservation is due, the longest waiting first. Jobs that have
// waited longer than the reservation bound come last until they have waited twice the bound.
func (s *Scheduler) dueReservations(now time.Time) []*Job {
	var due []*Job
	for _, job := range s.reservationCandidates {
		if s.updateReservationNeed(job, now) {
			due = append(due, job)
		}
	}
	missed := func(job *Job) bool {
		waited := now.Sub(job.waitStart())
		return waited > s.settings.ReservationBound && waited < 2*s.settings.ReservationBound
	}
	slices.SortStableFunc(due, func(a, b *Job) int {
		if missed(a) != missed(b) {
			return trueFirst(!missed(a))
		}
		return a.waitStart().Compare(b.waitStart())
	})
	return due
}

// beginReservation sets the zone of a gang's reservation if room has to be reserved from now on, given
// the time until it is free, and reports whether it did.
func (s *Scheduler) beginReservation(job *Job, committed map[string]int, now time.Time) bool {
	if now.Before(job.reservationCheckAt) {
		return false
	}
	// Each check estimates the end of every task, which is expensive, so the next one is delayed.
	job.reservationCheckAt = now.Add(s.settings.HeartbeatInterval / 4)
	waited := now.Sub(job.waitStart())
	zone, seconds := s.chooseReservationZone(job, committed, now)
	if zone == "" || !reservation.Due(waited, time.Duration(seconds*float64(time.Second)), s.settings.ReservationBound) {
		return false
	}
	job.reservedZone = zone
	slog.Debug("room reserved", "job", job.ID, "tasks", job.Tasks, "zone", zone,
		"waited_s", waited.Seconds(), "in_s", seconds, "term", s.term)
	return true
}

// listReservationCandidates lists, in scheduling order, the jobs that may need a reservation until the
// queue is rebuilt: gangs, which may have to restart, and arrays that have not started. It drops the
// reserved zones of all other jobs.
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

// waitStart returns when a job began to wait for its start or, if it is a gang that broke later,
// for its restart.
func (j *Job) waitStart() time.Time {
	if j.gangBrokenAt.After(j.releasedAt) {
		return j.gangBrokenAt
	}
	return j.releasedAt
}

// updateReservationNeed reports whether a reservation is due for a job, and drops the job's reserved
// zone if none is.
func (s *Scheduler) updateReservationNeed(job *Job, now time.Time) bool {
	if s.reservationDue(job, now) {
		return true
	}
	job.reservedZone = ""
	return false
}

// reservationDue reports whether a reservation is due for a job, for all places of a gang or the first
// place of an array: the job has waited long enough, has no attempts and may start within its team's
// limit. For a gang, beginReservation also considers the time until room is free.
func (s *Scheduler) reservationDue(job *Job, now time.Time) bool {
	waited := now.Sub(job.waitStart())
	switch {
	case waited < reservation.EarliestWait(s.settings.ReservationBound):
		return false
	case len(job.attempts)+len(job.duplicates) > 0, !s.startable(job, now), job.nextTask() < 0:
		return false
	case job.Shape == records.ShapeGang:
		return job.gangAttempt == 0 && s.waitingWithinLimit(job) >= job.pending()
	case job.Shape != records.ShapeArray, job.doneCount > 0, job.start.reported:
		return false
	}
	return reservation.Due(waited, 0, s.settings.ReservationBound) && s.waitingWithinLimit(job) > 0
}

// chooseReservationZone returns the zone where places for all waiting tasks of a gang become free
// soonest, and in how many seconds. In each zone, the committed number of places is left to earlier
// reservations. The zone is reservation.AllZones if the job may use several, and "" if no zone has
// enough places.
func (s *Scheduler) chooseReservationZone(job *Job, committed map[string]int, now time.Time) (zone string, seconds float64) {
	byZone := map[string][]float64{}
	for _, machine := range s.fleet.Sorted() {
		if !s.couldHost(job, machine, now) {
			continue
		}
		zone := machine.Zone
		if !job.OneZone {
			zone = reservation.AllZones
		}
		places := s.secondsUntilPlaces(job, machine, job.pending()+committed[zone], now)
		byZone[zone] = append(byZone[zone], places...)
	}
	var zones []reservation.Zone
	for name, freeAfter := range byZone {
		zones = append(zones, reservation.Zone{Name: name, FreeAfterS: freeAfter, ReservedForOthers: committed[name]})
	}
	return reservation.ChooseZone(zones, job.pending())
}

// reserveGangPlaces claims places in the reserved zone for the waiting tasks of a gang: those that are
// free and, once reservation.Urgent holds and no earlier reservation waits in the zone (behindOther),
// also those that become free soonest. They replace the gang's earlier claims. It returns how many of
// the places are not free yet. If the zone has too few places, it drops the reserved zone and returns
// 0.
func (s *Scheduler) reserveGangPlaces(job *Job, behindOther bool, now time.Time) (lacking int) {
	places := s.releaseAndListPlaces(job, now)
	n := job.pending()
	if len(places) < n || n == 0 {
		// The gang would otherwise wait for a zone whose machines are gone.
		job.reservedZone = ""
		return 0
	}
	places = places[:n]
	untilFree := time.Duration(places[n-1].seconds * float64(time.Second))
	urgent := !behindOther && reservation.Urgent(now.Sub(job.waitStart()), untilFree, s.settings.ReservationBound)
	for _, place := range places {
		if place.seconds > 0 {
			lacking++
		}
		if place.seconds <= 0 || urgent {
			s.addClaim(job, place.machine, now)
		}
	}
	return lacking
}

// releaseAndListPlaces releases a job's claims and returns the places for its tasks in its reserved
// zone, the soonest free first. Machines that the job had claims on are preferred, by halving the time
// until their places are free: small tasks would otherwise refill a partly free machine, which would
// never become free as a whole.
func (s *Scheduler) releaseAndListPlaces(job *Job, now time.Time) []machineWait {
	claimedBefore := map[*fleet.Machine]bool{}
	for _, c := range job.claims {
		claimedBefore[c.machine] = true
	}
	s.suspendClaims(job)
	var places []machineWait
	for _, machine := range s.fleet.Sorted() {
		if job.reservedZone != reservation.AllZones && machine.Zone != job.reservedZone || !s.couldHost(job, machine, now) {
			continue
		}
		for _, seconds := range s.secondsUntilPlaces(job, machine, job.pending(), now) {
			if seconds > 0 && claimedBefore[machine] {
				seconds /= 2
			}
			places = append(places, machineWait{machine, seconds})
		}
	}
	sortBySeconds(places)
	return places
}

// reserveArrayPlace claims the place that becomes free soonest for an array that has not started
// and has no claim. Machines with claims of any job are left out.
func (s *Scheduler) reserveArrayPlace(job *Job, now time.Time) {
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
