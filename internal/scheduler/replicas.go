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
		job.relocatingTasks = 0
		leaving := s.replicaToMove(job)
		if leaving == nil {
			continue
		}
		// Without this, a replica would be stopped for a machine's sake and then wait for room while its
		// machine could have gone on with it.
		if to := s.roomForReplica(job, leaving, now); to != nil {
			s.addClaim(job, to, now)
			s.requestStop(leaving, stopMoved, job.SaveS, now)
		} else {
			job.relocatingTasks = 1
		}
	}
}

// replicaToMove returns the first replica that is to leave its machine while another one runs, nil if there
// is none or one is moving already.
func (s *Scheduler) replicaToMove(job *Job) *fleet.Attempt {
	running := 0
	var leaving *fleet.Attempt
	for _, attempt := range job.attempts {
		if attempt.Stopping() {
			return nil
		}
		if attempt.State() != fleet.Running {
			continue
		}
		running++
		mustLeave := attempt.Machine.Draining || s.isEmptying(attempt.Machine)
		if mustLeave && (leaving == nil || attempt.Task.N < leaving.Task.N) {
			leaving = attempt
		}
	}
	if running < 2 {
		return nil
	}
	return leaving
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
		suits := s.acceptsTasks(machine, now) && job.permits(machine.Type, machine.Zone, machine.Spot) &&
			machine.Bin.Fits(job.request) && job.zoneAllowed(machine.Zone, zones) && !isHeldForEarlierJob(machine, job)
		if suits && (best == nil || zones[machine.Zone] < zones[best.Zone]) {
			best = machine
		}
	}
	return best
}
