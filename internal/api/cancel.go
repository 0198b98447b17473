package api

import (
	"context"
	"errors"
	"log/slog"

	"drumpick/internal/records"
)

// cancelAttempts bounds the rounds of cancelJob. One round commits the cancellation and the next one
// returns the cached final state. A round is repeated if the job's record changes between the read and
// the commit.
const cancelAttempts = 4

// cancelJob cancels a job. The response reports the job's final state, which is not "cancelled" if
// the job was already done. It asks the user to retry if the state cannot be read, stored or confirmed.
func (s *Server) cancelJob(ctx context.Context, id string) response {
	if !records.ValidID(id) {
		return noSuchJobResponse
	}
	for range cancelAttempts {
		if closed, ok := s.jobs.closedJob(id); ok {
			if resp := s.closedJobResponse(ctx, id, closed); resp.outcome != outcomeOK {
				return resp
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

// storeCancelled moves an open job to the closed records as cancelled, unless its record has changed
// since openRecord was read. mayHaveStarted is as in jobCache.addClosed. The result is true if the job
// was cancelled or its record had changed, and false if the commit failed otherwise.
func (s *Server) storeCancelled(ctx context.Context, id string, openRecord *records.KeyValue, mayHaveStarted bool) bool {
	job := decodeOpen(openRecord)
	closed := records.ClosedJob{Status: records.StatusCancelled, Tasks: job.Tasks, Service: job.Shape == records.ShapeService}
	_, err := s.store.Commit(ctx,
		[]records.Compare{{Key: records.OpenKey(id), Revision: openRecord.Revision}},
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
