package api

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"

	"drumpick/internal/records"
)

// withdrawTries is how often a job is looked up that moves while it is being cancelled.
const withdrawTries = 4

// withdraw cancels a job, or tells the final state that it has.
func (s *Server) withdraw(ctx context.Context, id string) answer {
	if !records.ValidID(id) {
		return fail(404, "no such job")
	}
	for range withdrawTries {
		if o, ok := s.overOf(id); ok {
			if a := s.overAnswer(ctx, id, o); a.status != 200 {
				return a
			}
			return answer{200, state{ID: id, Status: o.Status}}
		}
		row, over, err := s.lookup(ctx, id)
		switch {
		case err != nil:
			return errAway
		case over != nil:
			continue
		case row == nil:
			return fail(404, "no such job")
		}
		if !s.cancel(ctx, id, row, true) {
			return errAway
		}
	}
	return errAway
}

// cancel moves an open job, of which tasks may have started or not, to the over records,
// unless it has gone there meanwhile. It returns false when the store does not answer.
func (s *Server) cancel(ctx context.Context, id string, row *records.KeyValue, started bool) bool {
	var j records.Job
	_ = json.Unmarshal(row.Value, &j)
	o := records.ClosedJob{Status: records.StatusCancelled, Tasks: j.Tasks, Service: j.Shape == records.ShapeService}
	_, err := s.store.Commit(ctx,
		[]records.Compare{{Key: records.OpenKey(id), Revision: row.Revision}},
		[]records.Op{{Delete: records.OpenKey(id)}, {Write: records.ClosedKey(id), Value: o}})
	var conflict *records.ConflictError
	switch {
	case err == nil:
		s.remember(id, o, started)
		slog.Info("job cancelled", "job", id)
	case !errors.As(err, &conflict):
		return false
	}
	return true
}
