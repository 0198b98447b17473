package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// movable reports whether an attempt may be moved merely to fill or empty a bin: tasks started under a
// rebalancing round ago, each once. Gangs never move, and replicas only in rebalancing rounds, one at
// a time.
func (s *Scheduler) movable(j *Job, a *fleet.Attempt, now time.Time) bool {
	if j == nil || a.Stopping() || a.Duplicate || j.Shape != records.ShapeArray {
		return false
	}
	if _, before := j.movedTasks[a.Task.N]; before && a.State() != fleet.Planned {
		return false
	}
	return a.State() == fleet.Planned || a.MayBePresent() && a.State() != fleet.Sent && now.Sub(a.AssignedAt) < s.settings.RebalanceInterval
}

// undoMoves undoes what listed moves did to the bins, which reflect what is really there.
func undoMoves(moves []packing.Move) {
	for _, move := range slices.Backward(moves) {
		for _, it := range move.Items {
			if move.To != nil {
				move.To.Remove(it)
			}
			move.From.Add(it)
		}
	}
}

// executeMoves turns listed moves into plans and stops. What was only planned moves at once; what is
// on a machine is stopped there, and starts elsewhere once it is gone. Until then the room there is
// claimed for its job.
func (s *Scheduler) executeMoves(moves []packing.Move, now time.Time) {
	for _, move := range moves {
		for _, item := range move.Items {
			if attempt, ok := item.Owner.(*fleet.Attempt); ok && !attempt.Stopping() {
				s.moveAttempt(attempt, move, now)
			}
		}
	}
}

// moveAttempt carries out a move for one attempt.
func (s *Scheduler) moveAttempt(attempt *fleet.Attempt, move packing.Move, now time.Time) {
	from := move.From.Owner.(*fleet.Machine)
	if attempt.State() == fleet.Planned {
		from.Forget(attempt)
		s.releaseAttempt(attempt)
		return
	}
	job := s.jobs[attempt.Task.Job]
	if job.movedTasks == nil {
		job.movedTasks = map[int]struct{}{}
	}
	job.movedTasks[attempt.Task.N] = struct{}{}
	movesTotal.Inc()
	slog.Info("task moved", "task", attempt.Task.String(), "machine", from.Name, "term", s.term)
	if move.To != nil && move.To.Fits(job.request) {
		s.addClaim(job, move.To.Owner.(*fleet.Machine), now)
	}
	s.requestStop(attempt, stopMoved, job.SaveS, now)
}
