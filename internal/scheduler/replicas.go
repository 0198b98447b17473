package scheduler

import (
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// moveReplicas moves replicas of services off machines that are to be emptied, one of a job at a time,
// and only while another one runs and there is a place for it.
func (s *Scheduler) moveReplicas(now time.Time) {
	for _, job := range s.queue(now) {
		if job.Shape != records.ShapeService {
			continue
		}
		job.relocating = 0
		running := 0
		var leaving *fleet.Attempt
		for _, attempt := range job.attempts {
			if attempt.Stopping() {
				leaving = nil
				running = 0
				break
			}
			if attempt.State() == fleet.Running {
				running++
				if (attempt.Machine.Draining || s.isEmptying(attempt.Machine)) && (leaving == nil || attempt.Task.N < leaving.Task.N) {
					leaving = attempt
				}
			}
		}
		if leaving == nil || running < 2 {
			continue
		}
		// Without this, a replica would be stopped for a machine's sake and then wait for room while its
		// machine could have gone on with it.
		if to := s.roomForReplica(job, leaving, now); to != nil {
			s.addClaim(job, to, now)
			s.stop(leaving, stopMoved, job.SaveS, now)
		} else {
			job.relocating = 1
		}
	}
}

// roomForReplica finds a machine with room for a replica that leaves another machine, in the zone with
// the fewest replicas of its job.
func (s *Scheduler) roomForReplica(job *Job, leaving *fleet.Attempt, now time.Time) *fleet.Machine {
	zones := s.tasksByZone(job, true)
	if zones[leaving.Machine.Zone]--; zones[leaving.Machine.Zone] == 0 {
		delete(zones, leaving.Machine.Zone)
	}
	var best *fleet.Machine
	for _, machine := range s.fleet.Sorted() {
		if s.acceptsTasks(machine, now) && job.permits(machine.Type, machine.Zone, machine.Spot) && machine.Bin.Fits(job.request) && job.zoneAllowed(machine.Zone, zones) &&
			!isHeldForEarlier(machine, job) && (best == nil || zones[machine.Zone] < zones[best.Zone]) {
			best = machine
		}
	}
	return best
}
