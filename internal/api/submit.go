package api

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// submit accepts a job, or tells why not.
func (s *Server) submit(ctx context.Context, body []byte) answer {
	j, why, err := parse(body)
	if err != nil {
		return fail(400, err.Error())
	}
	if a, ok := s.remembered(ctx, j.ID); ok {
		return a
	}
	s.mu.Lock()
	types := s.types
	s.mu.Unlock()
	j.AcceptedMS = time.Now().UnixMilli()
	switch {
	case len(types) == 0:
		why = "machine types are not known yet"
	case why == "":
		if why = impossible(&j, s.cfg.Deployment.Teams, types); why == "" {
			why = s.tooLong(&j)
		}
	}
	if why != "" {
		return s.refuse(ctx, j.ID, len(types) > 0, why)
	}
	if a, known := s.answerKnown(ctx, &j); known {
		return a
	}
	put, status, a := s.recordOf(ctx, &j)
	if a != nil {
		return *a
	}
	return s.accept(ctx, &j, put, status)
}

// refuse answers a submission that is not taken. A job that is known already is answered as such, whatever
// has changed since it was accepted; where nothing is final yet, the user comes again.
func (s *Server) refuse(ctx context.Context, id string, final bool, why string) answer {
	a := s.poll(ctx, id)
	switch {
	case a.status == 200, a.status == 503:
		return a
	case !final:
		return fail(503, why)
	}
	return fail(422, why)
}

// answerKnown answers a submission that repeats an earlier one, as far as that is known or likely. A commit that
// fails would count as a change all the same, and the store takes few.
func (s *Server) answerKnown(ctx context.Context, j *records.Job) (a answer, known bool) {
	switch {
	case s.isKnown(j.ID):
		a = s.poll(ctx, j.ID)
		return a, a.status != 404
	case !s.repeatsAbout():
		return a, false
	}
	row, err := s.store.Get(ctx, records.OpenKey(j.ID))
	switch {
	case err != nil:
		return errAway, true
	case row == nil:
		return a, false
	}
	s.setKnown(j.ID)
	if len(j.Dependencies) > 0 {
		return s.poll(ctx, j.ID), true
	}
	return openAnswer(j.ID, peer.Progress{Status: records.StatusPending}), true
}

// recordOf works out what to store of a new job: its open record, or, where one before it is cancelled, that it is
// as well. An answer instead says why nothing is stored.
func (s *Server) recordOf(ctx context.Context, j *records.Job) (put records.Op, status string, a *answer) {
	put, status = records.Op{Write: records.OpenKey(j.ID), Value: *j}, records.StatusPending
	if len(j.Dependencies) == 0 {
		return put, status, nil
	}
	switch fate, why := s.before(ctx, j); fate {
	case undecided:
		return put, status, &errAway
	case wrong:
		known := s.poll(ctx, j.ID)
		if known.status == 404 {
			known = fail(422, why)
		}
		return put, status, &known
	case cancelled:
		// It is accepted all the same, and cancelled with the one before it.
		status = records.StatusCancelled
		put = records.Op{Write: records.ClosedKey(j.ID), Value: records.ClosedJob{Status: status, Tasks: j.Tasks}}
	}
	return put, status, nil
}

// acceptTries is how often a job is stored anew that was met as stored, and then found to be unknown.
const acceptTries = 3

// accept stores a new job, unless it turns out to be known.
func (s *Server) accept(ctx context.Context, j *records.Job, put records.Op, status string) answer {
	absent := []records.Compare{{Key: records.OpenKey(j.ID)}, {Key: records.ClosedKey(j.ID)}}
	for range acceptTries {
		_, err := s.store.Commit(ctx, absent, []records.Op{put})
		var conflict *records.ConflictError
		switch {
		case err == nil:
			s.setKnown(j.ID)
			slog.Info("job accepted", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "status", status)
			return answer{201, state{ID: j.ID, Status: status}}
		case errors.As(err, &conflict):
			s.setKnown(j.ID)
			s.repeated()
			if a := s.poll(ctx, j.ID); a.status != 404 {
				return a
			}
		default:
			// Unanswered it may have been accepted, or may yet be: the retry,
			// under the same id, finds out.
			slog.Debug("submission not stored", "job", j.ID, "err", err)
			return errAway
		}
	}
	return errAway
}

// repeated notes that a job came here which another controller had accepted.
func (s *Server) repeated() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeat = time.Now()
}

// repeatsAbout says whether that was lately: then it is looked first whether there is such a job.
// Guards against users who repeat each submission at every controller: but for one all these commits
// fail, and take the changes a second that others need.
func (s *Server) repeatsAbout() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.repeat) < repeatsFor*s.cfg.HeartbeatInterval()
}

// repeatsFor is for how many report intervals more repeats are expected after one.
const repeatsFor = 4
