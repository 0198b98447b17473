package api

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// submitJob accepts a job, or answers why not. Its stages: parse the request, check that the job can
// run, look for an earlier submission of it, check its dependencies, store it.
func (s *Server) submitJob(ctx context.Context, body []byte) response {
	sub, err := parseSubmission(body)
	if err != nil {
		return errorResponse(outcomeInvalid, err.Error())
	}
	job := &sub.job
	if a, ok := s.cachedResponse(ctx, job.ID); ok {
		return a
	}
	types := s.types.get()
	job.AcceptedMS = time.Now().UnixMilli()
	if why := s.checkSubmission(&sub, types); why != nil {
		return s.rejectionResponse(ctx, job.ID, why)
	}
	if a, known := s.duplicateResponse(ctx, job); known {
		return a
	}
	record, refusal := s.newJobRecord(ctx, job)
	if refusal != nil {
		return *refusal
	}
	return s.acceptJob(ctx, job, record)
}

// rejection is why a job is not accepted.
type rejection struct {
	reason    string
	permanent bool // it never will be; otherwise the user should retry
}

// checkSubmission returns why a job can never run or be stored, or cannot be judged yet; nil if it
// can run.
func (s *Server) checkSubmission(sub *submission, types []records.MachineType) *rejection {
	if len(types) == 0 {
		return &rejection{reason: "machine types are not known yet"}
	}
	reason := sub.dependencyError
	if reason == "" {
		reason = infeasibleReason(&sub.job, s.cfg.Deployment.Teams, types)
	}
	if reason == "" {
		reason = s.tooLargeReason(&sub.job)
	}
	if reason == "" {
		return nil
	}
	return &rejection{reason: reason, permanent: true}
}

// rejectionResponse answers a submission that is not accepted. A job that is known already is answered as
// such, whatever has changed since it was accepted.
func (s *Server) rejectionResponse(ctx context.Context, id string, why *rejection) response {
	a := s.pollJob(ctx, id)
	switch {
	case a.outcome == outcomeOK, a.outcome == outcomeUnavailable:
		return a
	case !why.permanent:
		return errorResponse(outcomeUnavailable, why.reason)
	}
	return errorResponse(outcomeRejected, why.reason)
}

// duplicateResponse answers a submission that repeats an earlier one, as far as that is known or
// likely. A commit that fails counts against the store's write rate all the same, and that is low.
func (s *Server) duplicateResponse(ctx context.Context, job *records.Job) (a response, known bool) {
	switch {
	case s.jobs.isAccepted(job.ID):
		a = s.pollJob(ctx, job.ID)
		return a, a.outcome != outcomeNotFound
	case !s.expectDuplicates():
		return a, false
	}
	row, err := s.store.Get(ctx, records.OpenKey(job.ID))
	switch {
	case err != nil:
		return unavailableResponse, true
	case row == nil:
		return a, false
	}
	s.jobs.addAccepted(job.ID)
	if len(job.Dependencies) > 0 {
		return s.pollJob(ctx, job.ID), true
	}
	return openJobResponse(job.ID, peer.Progress{Status: records.StatusPending}), true
}

// duplicateIntervals is for how many heartbeat intervals more duplicates are expected after one.
const duplicateIntervals = 4

// expectDuplicates reports whether a job came here lately that another controller had accepted: then
// the store is asked for a job before it is committed. Without this, users who submit each job to
// every controller would waste the store's write rate on commits of which all but one fail.
func (s *Server) expectDuplicates() bool {
	return s.jobs.hadDuplicateWithin(duplicateIntervals * s.cfg.HeartbeatInterval())
}

// jobRecord is what is stored of a new job, and the job's status by it.
type jobRecord struct {
	write  records.Op
	status string
}

// newJobRecord returns what to store of a new job: its open record, or, where one of its dependencies is
// cancelled, that the job is as well. If nothing is to be stored it returns the answer instead.
func (s *Server) newJobRecord(ctx context.Context, job *records.Job) (jobRecord, *response) {
	open := jobRecord{records.Op{Write: records.OpenKey(job.ID), Value: *job}, records.StatusPending}
	if len(job.Dependencies) == 0 {
		return open, nil
	}
	switch verdict, reason := s.checkDependencies(ctx, job); verdict {
	case dependenciesUnknown:
		return jobRecord{}, &unavailableResponse
	case dependenciesInvalid:
		a := s.pollJob(ctx, job.ID)
		if a.outcome == outcomeNotFound {
			a = errorResponse(outcomeRejected, reason)
		}
		return jobRecord{}, &a
	case dependencyCancelled:
		// The job is accepted all the same, and cancelled with its dependency.
		closed := records.ClosedJob{Status: records.StatusCancelled, Tasks: job.Tasks}
		return jobRecord{records.Op{Write: records.ClosedKey(job.ID), Value: closed}, closed.Status}, nil
	}
	return open, nil
}

// acceptAttempts is how often a job is stored anew that the store reported as stored, and that was
// not found then.
const acceptAttempts = 3

// acceptJob stores a new job, unless it turns out to be known.
func (s *Server) acceptJob(ctx context.Context, job *records.Job, record jobRecord) response {
	absent := []records.Compare{{Key: records.OpenKey(job.ID)}, {Key: records.ClosedKey(job.ID)}}
	for range acceptAttempts {
		_, err := s.store.Commit(ctx, absent, []records.Op{record.write})
		var conflict *records.ConflictError
		switch {
		case err == nil:
			s.jobs.addAccepted(job.ID)
			slog.Info("job accepted", "job", job.ID, "class", job.Class, "tasks", job.Tasks, "status", record.status)
			return response{outcomeCreated, jobStatus{ID: job.ID, Status: record.status}}
		case errors.As(err, &conflict):
			s.jobs.addAccepted(job.ID)
			s.jobs.recordDuplicate()
			if a := s.pollJob(ctx, job.ID); a.outcome != outcomeNotFound {
				return a
			}
		default:
			// Without an answer the job may have been stored, or may yet be: the retry, under the
			// same id, finds out.
			slog.Debug("job not stored", "job", job.ID, "err", err)
			return unavailableResponse
		}
	}
	return unavailableResponse
}
