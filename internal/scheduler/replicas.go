package scheduler

import (
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// moveReplicas moves service replicas off machines that are being drained: one replica of a job at a
// time, only while another one is running, and only to a machine that has room. If none has, the
// replica counts as relocating, for scale-out.
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
		// Without existing room, the replica would be stopped and wait for room, although it could
		// have continued on its machine.
		if to := s.roomForReplica(job, leaving, now); to != nil {
			s.addClaim(job, to, now)
			s.requestStop(leaving, stopMoved, job.SaveS, now)
		} else {
			job.relocatingTasks = 1
		}
	}
}

// replicaToMove returns the replica with the lowest task number that runs on a machine that it has to
// leave. It returns nil if there is none, if no other replica of the job is running, or if any replica
// is being stopped.
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
		mustLeave := attempt.Machine.Draining || s.isBeingDrained(attempt.Machine)
		if mustLeave && (leaving == nil || attempt.Task.N < leaving.Task.N) {
			leaving = attempt
		}
	}
	if running < 2 {
		return nil
	}
	return leaving
}

// roomForReplica returns a machine with room for a replica that leaves another machine, in the zone
// with the fewest other replicas of the job; nil if there is none.
func (s *Scheduler) roomForReplica(job *Job, leaving *fleet.Attempt, now time.Time) *fleet.Machine {
	replicasByZone := s.tasksByZone(job, true)
	if replicasByZone[leaving.Machine.Zone]--; replicasByZone[leaving.Machine.Zone] == 0 {
		delete(replicasByZone, leaving.Machine.Zone)
	}
	var best *fleet.Machine
	for _, machine := range s.fleet.Sorted() {
		suitable := s.acceptsTasks(machine, now) && job.permits(machine.Type, machine.Zone, machine.Spot) &&
			machine.Bin.Fits(job.request) && job.zoneAllowed(machine.Zone, replicasByZone) && !isHeldForEarlierJob(machine, job)
		if suitable && (best == nil || replicasByZone[machine.Zone] < replicasByZone[best.Zone]) {
			best = machine
		}
	}
	return best
}
