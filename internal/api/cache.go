package api

import (
	"context"
	"encoding/json"
	"time"

	"drumpick/internal/records"
)

func (s *Server) isKnown(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[id]
}

func (s *Server) setKnown(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	forgetHalf(s.known)
	s.known[id] = true
}

// forgetHalf bounds a memory: when it is full, half of it goes.
func forgetHalf[V any](m map[string]V) {
	if len(m) < mostRemembered {
		return
	}
	for k := range m {
		if delete(m, k); len(m) < mostRemembered/2 {
			return
		}
	}
}

// forgetSettled bounds the memory of cancellations of which the leader may not have heard: when
// it is full, those go that are older than a leader's grant, as nobody asks about them any more
// (confirmable). Guards against a user who is told of a cancellation before the leader is,
// because it was forgotten here.
func forgetSettled(m map[string]time.Time, grant time.Duration) {
	if len(m) < mostRemembered {
		return
	}
	for id, since := range m {
		if time.Since(since) > grant {
			delete(m, id)
		}
	}
}

// remembered answers about a job whose final state is known here.
func (s *Server) remembered(ctx context.Context, id string) (answer, bool) {
	o, ok := s.overOf(id)
	if !ok {
		return answer{}, false
	}
	return s.overAnswer(ctx, id, o), true
}

// overAnswer tells of a job that is over.
func (s *Server) overAnswer(ctx context.Context, id string, o records.ClosedJob) answer {
	done, running := 0, 0
	switch {
	case o.Status == records.StatusDone:
		done = o.Tasks
	case !s.confirmable(ctx, id):
		return errAway
	}
	return answer{200, state{ID: id, Status: o.Status, Done: &done, Running: &running}}
}

// lookup reads a job afresh: its open record, or its final state. Both nil
// means that there is no such job.
func (s *Server) lookup(ctx context.Context, id string) (*records.KeyValue, *records.ClosedJob, error) {
	// A job moves from open to over in one transaction; read in this order, a
	// move in between is met at its new place. Over records stay for good: where
	// there is none now, there was none when the open record was found absent, so
	// there was no such job then.
	row, err := s.store.Get(ctx, records.OpenKey(id))
	if err != nil || row != nil {
		return row, nil, err
	}
	over, err := s.readOver(ctx, id)
	return nil, over, err
}

// readOver reads a job's final state, nil where there is none.
func (s *Server) readOver(ctx context.Context, id string) (*records.ClosedJob, error) {
	row, err := s.store.Get(ctx, records.ClosedKey(id))
	if err != nil || row == nil {
		return nil, err
	}
	var o records.ClosedJob
	if err := json.Unmarshal(row.Value, &o); err != nil {
		return nil, err
	}
	s.remember(id, o, true)
	return &o, nil
}

// remember keeps a final state. started says whether tasks of the job may have started: none
// has of one that was cancelled with a job before it.
func (s *Server) remember(id string, o records.ClosedJob, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Status == records.StatusCancelled {
		s.told.Add(id, time.Now()) // before anybody is told
		clear(s.clear)             // it may be before any of them
		if _, known := s.over[id]; !known && started {
			forgetSettled(s.unheard, s.cfg.Timing().LeaderLease)
			s.unheard[id] = time.Now()
		}
	}
	forgetHalf(s.over)
	s.over[id] = o
}

// mostRemembered bounds each memory of jobs: final states, accepted ids, what is known of
// chains. It bounds no jobs: at 41,000 a day it is full every six hours or so, half of it goes,
// and what was forgotten is read from the store when it is asked for, at one or two requests.
const mostRemembered = 20_000
