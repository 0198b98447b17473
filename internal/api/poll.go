package api

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"drumpick/internal/jsoncodec"
	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// pollJob returns the response with the status of a job: from the cache if the job's final state is
// cached, from a shared list of the open jobs if polls arrive too fast or the store throttles, and from
// reads of the job's records otherwise.
func (s *Server) pollJob(ctx context.Context, id string) response {
	if !records.ValidID(id) {
		return noSuchJobResponse
	}
	if resp, ok := s.cachedResponse(ctx, id); ok {
		return resp
	}
	readAt := time.Now()
	if s.coalescer.isActive(readAt) {
		return s.pollShared(ctx, id)
	}
	if !s.readLimiter.Allow() {
		s.coalescer.activate(readAt)
		return s.pollShared(ctx, id)
	}
	job, err := s.lookup(ctx, id)
	switch {
	case errors.Is(err, records.ErrThrottled):
		s.coalescer.activate(time.Now())
		return s.pollShared(ctx, id)
	case err != nil:
		slog.Debug("poll failed", "job", id, "err", err)
		return unavailableResponse
	case job.closed != nil:
		return s.closedJobResponse(ctx, id, *job.closed)
	case job.open == nil:
		return noSuchJobResponse
	}
	progress := s.progress(id)
	if resp, final := s.dependencyResponse(ctx, id, job.open, readAt, progress); final {
		return resp
	}
	return openJobResponse(id, progress)
}

// storedJob is a job as read from the store. Both fields are nil if there is no such job.
type storedJob struct {
	open   *records.KeyValue  // the open job's record, nil if the job is not open
	closed *records.ClosedJob // the final state, nil if the job has none
}

func (j storedJob) absent() bool { return j.open == nil && j.closed == nil }

// lookup reads a job from the store.
func (s *Server) lookup(ctx context.Context, id string) (storedJob, error) {
	// A job moves from the open to the closed records in one transaction, so the second read finds a
	// job that moves between the two reads. Closed records are never deleted. If there is none at the
	// second read, there was none at the first read either, so no such job existed at that time.
	openRecord, err := s.store.Get(ctx, records.OpenKey(id))
	if err != nil || openRecord != nil {
		return storedJob{open: openRecord}, err
	}
	closed, err := s.readClosed(ctx, id)
	return storedJob{closed: closed}, err
}

// readClosed reads a job's final state from the store and caches it. It returns nil without an error if
// there is none.
func (s *Server) readClosed(ctx context.Context, id string) (*records.ClosedJob, error) {
	closedRecord, err := s.store.Get(ctx, records.ClosedKey(id))
	if err != nil || closedRecord == nil {
		return nil, err
	}
	var job records.ClosedJob
	if err := jsoncodec.Unmarshal(closedRecord.Value, &job); err != nil {
		return nil, err
	}
	s.jobs.addClosed(id, job, true)
	return &job, nil
}

// cachedResponse returns the response about a job whose final state is cached, and false if it is not.
func (s *Server) cachedResponse(ctx context.Context, id string) (response, bool) {
	job, ok := s.jobs.closedJob(id)
	if !ok {
		return response{}, false
	}
	return s.closedJobResponse(ctx, id, job), true
}

// closedJobResponse returns the response about a job with a final state. It asks the user to retry if
// the job is cancelled and the cancellation may not be confirmed yet.
func (s *Server) closedJobResponse(ctx context.Context, id string, job records.ClosedJob) response {
	done, running := 0, 0
	switch {
	case job.Status == records.StatusDone:
		done = job.Tasks
	case !s.confirmCancelled(ctx, id):
		return unavailableResponse
	}
	return response{outcomeOK, jobStatus{ID: id, Status: job.Status, Done: &done, Running: &running}}
}

// progress returns the leader's view of an open job. If the leader does not answer or does not know the
// job, the result is "pending" with Known false. The task counts are for display only.
func (s *Server) progress(id string) peer.Progress {
	if l := s.localLeader(); l != nil {
		if status, done, running, ok := l.Progress(id); ok {
			age, isClear := l.DependenciesClear(id)
			return peer.Progress{
				Known: true, Status: status, Done: done, Running: running,
				DependenciesClear: isClear, ClearAgeMS: age.Milliseconds(),
			}
		}
	} else if node := s.election.Leader(); node != "" && node != s.cfg.Node {
		if p, err := s.peers.Progress(node, id); err == nil && p.Known {
			return p
		}
	}
	return peer.Progress{Status: records.StatusPending}
}
