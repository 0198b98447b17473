package api

import (
	"context"
	"errors"
	"log/slog"

	"drumpick/internal/records"
)

// cancelAttempts is how often a job is looked up that changes while it is being cancelled.
const cancelAttempts = 4

// cancelJob cancels a job, or answers with the final state that it has already.
func (s *Server) cancelJob(ctx context.Context, id string) response {
	if !records.ValidID(id) {
		return noSuchJobResponse
	}
	for range cancelAttempts {
		if closed, ok := s.jobs.closedJob(id); ok {
			if a := s.closedJobResponse(ctx, id, closed); a.outcome != outcomeOK {
				return a
			}
			return response{outcomeOK, jobStatus{ID: id, Status: closed.Status}}
		}
		job, err := s.lookup(ctx, id)
		switch {
		case err != nil:
			return unavailableResponse
		case job.closed != nil:
			continue
		case job.open == nil:
			return noSuchJobResponse
		}
		if !s.storeCancelled(ctx, id, job.open, true) {
			return unavailableResponse
		}
	}
	return unavailableResponse
}

// storeCancelled moves an open job to the closed records as cancelled, unless it has gone there
// meanwhile. mayHaveStarted is as in jobCache.addClosed. It returns false if the store does not answer.
func (s *Server) storeCancelled(ctx context.Context, id string, row *records.KeyValue, mayHaveStarted bool) bool {
	job := decodeOpen(row)
	closed := records.ClosedJob{Status: records.StatusCancelled, Tasks: job.Tasks, Service: job.Shape == records.ShapeService}
	_, err := s.store.Commit(ctx,
		[]records.Compare{{Key: records.OpenKey(id), Revision: row.Revision}},
		[]records.Op{{Delete: records.OpenKey(id)}, {Write: records.ClosedKey(id), Value: closed}})
	var conflict *records.ConflictError
	switch {
	case err == nil:
		s.jobs.addClosed(id, closed, mayHaveStarted)
		slog.Info("job cancelled", "job", id)
	case !errors.As(err, &conflict):
		return false
	}
	return true
}
