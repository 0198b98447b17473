package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// movable reports whether an attempt may be moved to fill or empty a bin: only tasks of arrays that
// are planned, or were assigned less than a rebalancing interval ago and have been reported. A task
// on a machine is moved only if it was never moved before. Gangs never move; replicas move only in
// rebalancing rounds, one at a time.
func (s *Scheduler) movable(j *Job, a *fleet.Attempt, now time.Time) bool {
	if j == nil || a.Stopping() || a.Duplicate || j.Shape != records.ShapeArray {
		return false
	}
	if _, before := j.movedTasks[a.Task.N]; before && a.State() != fleet.Planned {
		return false
	}
	return a.State() == fleet.Planned || a.MayBePresent() && a.State() != fleet.Sent && now.Sub(a.AssignedAt) < s.settings.RebalanceInterval
}

// undoMoves reverts the effect of moves on the bins, which have to reflect the actual placement.
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

// executeMoves carries out moves. A planned attempt moves at once. An attempt on a machine is stopped,
// and its task starts elsewhere once the attempt is gone; until then, the destination's room is
// claimed for the job.
func (s *Scheduler) executeMoves(moves []packing.Move, now time.Time) {
	for _, move := range moves {
		for _, item := range move.Items {
			if attempt, ok := item.Owner.(*fleet.Attempt); ok && !attempt.Stopping() {
				s.moveAttempt(attempt, move, now)
			}
		}
	}
}

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
