package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"
)

// movable reports whether packing may move an attempt of job j, nil if none is open, to fill or
// empty a bin. Only attempts of arrays move: planned ones, and those that a worker has reported and
// that were assigned less than a rebalancing interval ago. A task on a machine moves only once.
// Gangs never move; service replicas are moved only by moveReplicas.
func (s *Scheduler) movable(j *Job, a *fleet.Attempt, now time.Time) bool {
	if j == nil || a.Stopping() || a.Duplicate || j.Shape != records.ShapeArray {
		return false
	}
	if _, before := j.movedTasks[a.Task.N]; before && a.State() != fleet.Planned {
		return false
	}
	return a.State() == fleet.Planned || a.MayBePresent() && a.State() != fleet.Sent && now.Sub(a.AssignedAt) < s.settings.RebalanceInterval
}

// undoMoves returns the items of moves to the bins that they came from: until a move is executed, the
// bins have to contain the items of the attempts that are on their machines or planned for them.
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

// executeMoves carries out moves. A planned attempt is discarded, and its task is queued again. An
// attempt on a machine is stopped, and its task is queued once the attempt is gone; until then,
// room at the destination is claimed for the job if it is free.
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
