package api

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// submitJob accepts a job, or returns the response that says why the job is not accepted. If a job
// of the same id was accepted earlier, the response is that job's status. Its stages: parse the
// request, check that the job can run, look for an earlier submission, check the dependencies,
// store the job.
func (s *Server) submitJob(ctx context.Context, body []byte) response {
	sub, err := parseSubmission(body)
	if err != nil {
		return errorResponse(outcomeInvalid, err.Error())
	}
	job := &sub.job
	if resp, ok := s.cachedResponse(ctx, job.ID); ok {
		return resp
	}
	types := s.types.get()
	job.AcceptedMS = time.Now().UnixMilli()
	if rejected := s.checkSubmission(&sub, types); rejected != nil {
		return s.rejectionResponse(ctx, job.ID, rejected)
	}
	if resp, known := s.duplicateResponse(ctx, job); known {
		return resp
	}
	record, failure := s.newJobRecord(ctx, job)
	if failure != nil {
		return *failure
	}
	return s.acceptJob(ctx, job, record)
}

// rejection is the reason why a job is not accepted.
type rejection struct {
	reason    string
	permanent bool // true: the job can never be accepted; false: the user should retry
}

// checkSubmission returns why a job can never run or be stored, or why it cannot be checked yet; nil if
// there is no such reason.
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

// rejectionResponse returns the response to a rejected submission. If the job was accepted earlier, the
// response is the job's status, although the same submission would be rejected now. If that is not
// known, the response asks the user to retry.
func (s *Server) rejectionResponse(ctx context.Context, id string, rejected *rejection) response {
	resp := s.pollJob(ctx, id)
	switch {
	case resp.outcome == outcomeOK, resp.outcome == outcomeUnavailable:
		return resp
	case !rejected.permanent:
		return errorResponse(outcomeUnavailable, rejected.reason)
	}
	return errorResponse(outcomeRejected, rejected.reason)
}

// duplicateResponse returns the response to the submission of a job that was accepted earlier; known is
// false if no earlier submission was found. It avoids a commit that would fail: such commits also count
// against the store's write rate, which is low. For a job that is not cached as accepted, it reads the
// store only if duplicates are expected; if that read fails, the response asks the user to retry.
func (s *Server) duplicateResponse(ctx context.Context, job *records.Job) (resp response, known bool) {
	switch {
	case s.jobs.isAccepted(job.ID):
		resp = s.pollJob(ctx, job.ID)
		return resp, resp.outcome != outcomeNotFound
	case !s.expectDuplicates():
		return resp, false
	}
	openRecord, err := s.store.Get(ctx, records.OpenKey(job.ID))
	switch {
	case err != nil:
		return unavailableResponse, true
	case openRecord == nil:
		return resp, false
	}
	s.jobs.addAccepted(job.ID)
	if len(job.Dependencies) > 0 {
		return s.pollJob(ctx, job.ID), true
	}
	return openJobResponse(job.ID, peer.Progress{Status: records.StatusPending}), true
}

// duplicateIntervals is the number of heartbeat intervals after a duplicate submission in which more of
// them are expected.
const duplicateIntervals = 4

// expectDuplicates reports whether a job that was already stored was submitted here recently. If so,
// each submitted job is read from the store before it is committed. Without this, users who submit
// each job to every controller would waste the store's write rate on commits of which all but one
// fail.
func (s *Server) expectDuplicates() bool {
	return s.jobs.hadDuplicateWithin(duplicateIntervals * s.cfg.HeartbeatInterval())
}

// jobRecord is the write that stores a new job's record, and the status that the job then has.
type jobRecord struct {
	write  records.Op
	status string
}

// newJobRecord returns the record to store for a new job: an open record or, if one of the job's
// dependencies is cancelled, a closed record with status cancelled. If the job must not be stored, the
// second result is the response instead, and otherwise nil.
func (s *Server) newJobRecord(ctx context.Context, job *records.Job) (jobRecord, *response) {
	open := jobRecord{records.Op{Write: records.OpenKey(job.ID), Value: *job}, records.StatusPending}
	if len(job.Dependencies) == 0 {
		return open, nil
	}
	switch status, reason := s.checkDependencies(ctx, job); status {
	case dependenciesUnknown:
		return jobRecord{}, &unavailableResponse
	case dependenciesInvalid:
		resp := s.pollJob(ctx, job.ID)
		if resp.outcome == outcomeNotFound {
			resp = errorResponse(outcomeRejected, reason)
		}
		return jobRecord{}, &resp
	case dependencyCancelled:
		// The job is accepted nevertheless, and is cancelled from the start.
		closed := records.ClosedJob{Status: records.StatusCancelled, Tasks: job.Tasks}
		return jobRecord{records.Op{Write: records.ClosedKey(job.ID), Value: closed}, closed.Status}, nil
	}
	return open, nil
}

// acceptAttempts bounds the commits of a new job. A commit is repeated only if it conflicts with a
// stored job of the same id and the poll after it does not find that job.
const acceptAttempts = 3

// acceptJob stores a new job. If a job of the same id is already stored, the response is its status.
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
			if resp := s.pollJob(ctx, job.ID); resp.outcome != outcomeNotFound {
				return resp
			}
		default:
			// The store may have executed the commit, or may do so later. The user retries with
			// the same id, which shows whether the job is stored.
			slog.Debug("failed to store job", "job", job.ID, "err", err)
			return unavailableResponse
		}
	}
	return unavailableResponse
}
