package scheduler

import (
	"maps"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/quota"
)

// placeGang places all waiting tasks of a gang or none, and reports whether it placed them. It
// places none while attempts of an earlier start of the gang remain. It updates used, the quota in
// use by team. A member that never arrived on a machine is replaced under the gang's attempt
// number.
func (s *Scheduler) placeGang(job *Job, used map[string]quota.Amount, now time.Time) bool {
	if job.gangAttempt == 0 && len(job.attempts)+len(job.duplicates) > 0 {
		return false
	}
	zones := s.constrainedZoneCounts(job)
	for _, zone := range s.zonesToTry(job, zones) {
		if s.placeGangInZone(job, zone, zones, used, now) {
			return true
		}
	}
	return false
}

// placeGangInZone places all waiting tasks of a gang or none, in one zone or, with "", in all
// zones, and reports whether it placed them. zonesBefore holds the gang's tasks by zone; nil: no
// zone constraint.
func (s *Scheduler) placeGangInZone(job *Job, zone string, zonesBefore map[string]int, used map[string]quota.Amount, now time.Time) bool {
	number, sequenceBefore := job.gangAttempt, s.sequence
	if number == 0 {
		number = s.newAttemptNumber()
	}
	zones := map[string]int{}
	maps.Copy(zones, zonesBefore)
	if zone != "" {
		zones[zone] = 0
	}
	usedAfter := used[job.Team]
	var placed []*fleet.Attempt
	var moves []packing.Move
	for {
		task := job.nextTask()
		if task < 0 {
			job.gangAttempt = number
			used[job.Team] = usedAfter
			s.executeMoves(moves, now)
			return true
		}
		if job.teamLimited && !s.withinLimit(job, usedAfter) {
			break
		}
		in := insertion{job: job, task: task, attemptNumber: number, zones: zones, zone: zone}
		machine, taskMoves := s.insertTask(in, now)
		if machine == nil {
			break
		}
		moves = append(moves, taskMoves...)
		job.dequeueTask(task)
		placed = append(placed, job.attempts[task])
		usedAfter = usedAfter.Add(job.taskQuota())
		zones[machine.Zone]++
	}
	// The gang does not start, so its moves are not executed either.
	for _, attempt := range placed {
		attempt.Machine.Forget(attempt)
		delete(job.attempts, attempt.Task.N)
		s.retryTask(job, attempt.Task.N)
	}
	s.sequence = sequenceBefore // nothing was sent with the attempt number
	return false
}

// stopGang stops all tasks of a gang so that a new attempt can start as a whole. It cancels planned
// attempts. It does nothing if the job is closed or all its tasks are done.
func (s *Scheduler) stopGang(job *Job, now time.Time) {
	if job.closed || job.doneCount == job.Tasks {
		return
	}
	job.gangBroken = len(job.attempts) > 0
	var planned []*fleet.Attempt
	for _, attempt := range job.attempts {
		if attempt.State() == fleet.Planned {
			planned = append(planned, attempt)
			continue
		}
		s.requestStop(attempt, stopGangMember, job.SaveS, now)
	}
	if !job.gangBroken {
		job.gangAttempt = 0
	}
	// Tasks are retried in the order of their release.
	for _, attempt := range slices.Backward(planned) {
		attempt.Machine.Forget(attempt)
		s.releaseAttempt(attempt)
	}
}
