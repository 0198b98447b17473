package scheduler

import (
	"maps"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/quota"
)

// placeGang places a whole gang or nothing of it. Tasks that replace members which never arrived take
// the gang's attempt number.
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

// placeGangInZone places a whole gang or nothing of it in one zone, or with "" in all of them.
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
	usedThen := used[job.Team]
	var placed []*fleet.Attempt
	var moves []packing.Move
	for {
		task := job.nextTask()
		if task < 0 {
			job.gangAttempt = number
			used[job.Team] = usedThen
			s.executeMoves(moves, now)
			return true
		}
		if job.teamLimited && !s.withinLimit(job, usedThen) {
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
		usedThen = usedThen.Add(job.taskQuota())
		zones[machine.Zone]++
	}
	// No task is moved for a gang that does not start.
	for _, attempt := range placed {
		attempt.Machine.Forget(attempt)
		delete(job.attempts, attempt.Task.N)
		s.retryTask(job, attempt.Task.N)
	}
	s.sequence = sequenceBefore // nothing was sent under the number
	return false
}

// stopGang stops every task of a gang so that a new attempt can start as a whole.
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
	// The order decides in which order the tasks are tried again.
	for _, attempt := range slices.Backward(planned) {
		attempt.Machine.Forget(attempt)
		s.releaseAttempt(attempt)
	}
}
