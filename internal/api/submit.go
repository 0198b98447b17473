package api

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// submit accepts a job, or answers why not. Its stages: parse the request, check that the job can
// run, look for an earlier submission of it, check its dependencies, store it.
func (s *Server) submit(ctx context.Context, body []byte) answer {
	sub, err := parseSubmission(body)
	if err != nil {
		return failed(outcomeInvalid, err.Error())
	}
	job := &sub.job
	if a, ok := s.answerFromCache(ctx, job.ID); ok {
		return a
	}
	types := s.types.get()
	job.AcceptedMS = time.Now().UnixMilli()
	if why := s.checkSubmission(&sub, types); why != nil {
		return s.reject(ctx, job.ID, why)
	}
	if a, known := s.answerDuplicate(ctx, job); known {
		return a
	}
	record, refusal := s.recordOf(ctx, job)
	if refusal != nil {
		return *refusal
	}
	return s.accept(ctx, job, record)
}

// rejection is why a job is not accepted.
type rejection struct {
	reason string
	final  bool // it never will be; otherwise the user should retry
}

// checkSubmission returns why a job can never run or be stored, or cannot be judged yet; nil if it
// can run.
func (s *Server) checkSubmission(sub *submission, types []records.MachineType) *rejection {
	if len(types) == 0 {
		return &rejection{reason: "machine types are not known yet"}
	}
	reason := sub.dependencyError
	if reason == "" {
		reason = infeasible(&sub.job, s.cfg.Deployment.Teams, types)
	}
	if reason == "" {
		reason = s.tooLarge(&sub.job)
	}
	if reason == "" {
		return nil
	}
	return &rejection{reason: reason, final: true}
}

// reject answers a submission that is not accepted. A job that is known already is answered as
// such, whatever has changed since it was accepted.
func (s *Server) reject(ctx context.Context, id string, why *rejection) answer {
	a := s.poll(ctx, id)
	switch {
	case a.outcome == outcomeOK, a.outcome == outcomeUnavailable:
		return a
	case !why.final:
		return failed(outcomeUnavailable, why.reason)
	}
	return failed(outcomeRejected, why.reason)
}

// answerDuplicate answers a submission that repeats an earlier one, as far as that is known or
// likely. A commit that fails counts against the store's write rate all the same, and that is low.
func (s *Server) answerDuplicate(ctx context.Context, job *records.Job) (a answer, known bool) {
	switch {
	case s.jobs.isAccepted(job.ID):
		a = s.poll(ctx, job.ID)
		return a, a.outcome != outcomeNotFound
	case !s.expectDuplicates():
		return a, false
	}
	row, err := s.store.Get(ctx, records.OpenKey(job.ID))
	switch {
	case err != nil:
		return answerUnavailable, true
	case row == nil:
		return a, false
	}
	s.jobs.addAccepted(job.ID)
	if len(job.Dependencies) > 0 {
		return s.poll(ctx, job.ID), true
	}
	return answerOpen(job.ID, peer.Progress{Status: records.StatusPending}), true
}

// duplicateIntervals is for how many heartbeat intervals more duplicates are expected after one.
const duplicateIntervals = 4

// expectDuplicates reports whether a job came here lately that another controller had accepted: then
// the store is asked for a job before it is committed. Without this, users who submit each job to
// every controller would waste the store's write rate on commits of which all but one fail.
func (s *Server) expectDuplicates() bool {
	return s.jobs.duplicateWithin(duplicateIntervals * s.cfg.HeartbeatInterval())
}

// newRecord is what is stored of a new job, and the job's status by it.
type newRecord struct {
	write  records.Op
	status string
}

// recordOf returns what to store of a new job: its open record, or, where one of its dependencies is
// cancelled, that the job is as well. If nothing is to be stored it returns the answer instead.
func (s *Server) recordOf(ctx context.Context, job *records.Job) (newRecord, *answer) {
	open := newRecord{records.Op{Write: records.OpenKey(job.ID), Value: *job}, records.StatusPending}
	if len(job.Dependencies) == 0 {
		return open, nil
	}
	switch verdict, reason := s.checkDependencies(ctx, job); verdict {
	case dependenciesUnknown:
		return newRecord{}, &answerUnavailable
	case dependenciesInvalid:
		a := s.poll(ctx, job.ID)
		if a.outcome == outcomeNotFound {
			a = failed(outcomeRejected, reason)
		}
		return newRecord{}, &a
	case dependencyCancelled:
		// The job is accepted all the same, and cancelled with its dependency.
		closed := records.ClosedJob{Status: records.StatusCancelled, Tasks: job.Tasks}
		return newRecord{records.Op{Write: records.ClosedKey(job.ID), Value: closed}, closed.Status}, nil
	}
	return open, nil
}

// acceptAttempts is how often a job is stored anew that the store reported as stored, and that was
// not found then.
const acceptAttempts = 3

// accept stores a new job, unless it turns out to be known.
func (s *Server) accept(ctx context.Context, job *records.Job, record newRecord) answer {
	absent := []records.Compare{{Key: records.OpenKey(job.ID)}, {Key: records.ClosedKey(job.ID)}}
	for range acceptAttempts {
		_, err := s.store.Commit(ctx, absent, []records.Op{record.write})
		var conflict *records.ConflictError
		switch {
		case err == nil:
			s.jobs.addAccepted(job.ID)
			slog.Info("job accepted", "job", job.ID, "class", job.Class, "tasks", job.Tasks, "status", record.status)
			return answer{outcomeCreated, jobStatus{ID: job.ID, Status: record.status}}
		case errors.As(err, &conflict):
			s.jobs.addAccepted(job.ID)
			s.jobs.noteDuplicate()
			if a := s.poll(ctx, job.ID); a.outcome != outcomeNotFound {
				return a
			}
		default:
			// Without an answer the job may have been stored, or may yet be: the retry, under the
			// same id, finds out.
			slog.Debug("job not stored", "job", job.ID, "err", err)
			return answerUnavailable
		}
	}
	return answerUnavailable
}
