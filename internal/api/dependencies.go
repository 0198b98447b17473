package api

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// dependencyStatus is the combined status of some or all dependencies of a job, direct and indirect.
type dependencyStatus int

const (
	dependenciesUnknown dependencyStatus = iota // not all could be read
	dependenciesInvalid                         // one was never accepted, or is a service, which is never done
	dependencyCancelled                         // one is cancelled
	dependenciesClear                           // none is cancelled
)

// checkDependencies checks the dependencies of a submitted job, direct and indirect. The second
// result is the reason if the dependencies are invalid, and otherwise "".
func (s *Server) checkDependencies(ctx context.Context, job *records.Job) (dependencyStatus, string) {
	walker := s.newWalker()
	result := dependenciesClear
	for _, id := range job.Dependencies {
		readAt := time.Now()
		dependency, err := s.lookupCached(ctx, id)
		switch {
		case err != nil:
			slog.Debug("dependency not read", "job", job.ID, "dependency", id, "err", err)
			return dependenciesUnknown, ""
		case dependency.absent():
			// Jobs are never deleted from the store: one that is absent was never accepted.
			return dependenciesInvalid, "prereqs names a job that was never accepted: " + id
		}
		open := decodeOpen(dependency.open)
		closed := dependency.closed
		switch {
		case closed != nil && closed.Service || open.Shape == records.ShapeService:
			return dependenciesInvalid, "prereqs names a service: " + id
		case closed != nil && closed.Status == records.StatusCancelled:
			result = dependencyCancelled
		case closed == nil && result == dependenciesClear:
			result = walker.check(ctx, id, open.Dependencies, readAt, s.progress)
		}
		if result == dependenciesUnknown {
			return dependenciesUnknown, ""
		}
	}
	return result, ""
}

// lookupCached is like lookup, but does not read the store if the job's final state is cached.
func (s *Server) lookupCached(ctx context.Context, id string) (storedJob, error) {
	if closed, ok := s.jobs.closedJob(id); ok {
		return storedJob{closed: &closed}, nil
	}
	return s.lookup(ctx, id)
}

// dependencyResponse checks the dependencies of an open job, direct and indirect, before the job is
// reported as open. It returns false if the job may be reported as open. If a dependency is cancelled,
// it cancels the job as well and returns the response with its final state. If the status of the
// dependencies is unknown or that state cannot be stored or read, the response asks the user to retry.
// readAt is a time before openRecord was read; progress is the leader's view of the job.
//
// Normally the leader cancels such jobs. Without this check, while no controller leads, a job could be
// reported as pending long after a dependency was cancelled.
func (s *Server) dependencyResponse(ctx context.Context, id string, openRecord *records.KeyValue, readAt time.Time, progress peer.Progress) (response, bool) {
	dependencies := storedDependencies(openRecord)
	if len(dependencies) == 0 {
		return response{}, false
	}
	progressOf := func(other string) peer.Progress {
		if other == id {
			return progress
		}
		return peer.Progress{}
	}
	switch s.newWalker().check(ctx, id, dependencies, readAt, progressOf) {
	case dependenciesClear:
		return response{}, false
	case dependencyCancelled:
		if resp, ok := s.cancelDependent(ctx, id, openRecord); ok {
			return resp, true
		}
	}
	return unavailableResponse, true
}

// cancelDependent cancels a job because one of its dependencies is cancelled, and returns the response
// with the job's final state. It returns false if that state cannot be stored or read.
func (s *Server) cancelDependent(ctx context.Context, id string, openRecord *records.KeyValue) (response, bool) {
	if !s.storeCancelled(ctx, id, openRecord, false) {
		return response{}, false
	}
	if resp, ok := s.cachedResponse(ctx, id); ok {
		return resp, true
	}
	if job, err := s.lookup(ctx, id); err == nil && job.closed != nil {
		return s.closedJobResponse(ctx, id, *job.closed), true
	}
	return response{}, false
}

// dependencyWalker checks the dependencies of a job, direct and indirect, depth first. It stores its
// findings in the server's dependencyCache, so that a long chain can be checked over several polls. The
// dependencies of a job never change, so every poll checks them in the same order.
type dependencyWalker struct {
	server *Server
	maxAge time.Duration // how long a finding that no dependency is cancelled is valid
}

// newWalker returns a walker whose findings are valid for half of the time within which the tasks
// of a cancelled job must end. A dependency that is cancelled after a finding is also confirmed as
// cancelled only after the finding. So no dependent is reported as open for longer than this half after
// the confirmation.
func (s *Server) newWalker() *dependencyWalker {
	return &dependencyWalker{s, config.Seconds(s.cfg.Deployment.Workers.CancelS) / 2}
}

// pathStep is a job on the path from the checked job to a dependency. It was open when its direct
// dependencies were read, which may be long ago if they were cached.
type pathStep struct {
	id          string
	unchecked   []string  // direct dependencies that have not been checked yet
	clearAsOf   time.Time // its checked dependencies and, with recordRead, the job were not cancelled up to this time
	askedLeader bool      // the leader's view of the job was requested
	recordRead  bool      // the job's record was read after clearAsOf
}

// dependencyPath is the path from the job whose dependencies are checked to the current dependency.
type dependencyPath []pathStep

func (p dependencyPath) last() *pathStep { return &p[len(p)-1] }

// pop removes the last job of the path: neither that job nor any of its dependencies was cancelled up
// to clearAsOf. The job before it on the path is then known to be clear up to that time at most.
func (p *dependencyPath) pop(clearAsOf time.Time) {
	*p = (*p)[:len(*p)-1]
	if len(*p) > 0 && clearAsOf.Before(p.last().clearAsOf) {
		p.last().clearAsOf = clearAsOf
	}
}

// check checks all dependencies of an open job. dependencies are the direct ones; readAt is a time
// before the job's record was read. progress returns the leader's view of a job, which saves reads of
// the store if the leader knows the job.
func (w *dependencyWalker) check(
	ctx context.Context, id string, dependencies []string, readAt time.Time, progress func(id string) peer.Progress,
) dependencyStatus {
	path := dependencyPath{{id: id, unchecked: dependencies, clearAsOf: readAt, recordRead: true}}
	for len(path) > 0 {
		switch w.step(ctx, &path, progress) {
		case dependenciesUnknown:
			return dependenciesUnknown
		case dependencyCancelled:
			w.server.dependencies.setCancelled(path)
			return dependencyCancelled
		}
	}
	return dependenciesClear
}

// step advances the check by one job. It removes the last job of the path if that job is known to be
// clear or all its dependencies are checked. Otherwise it asks the leader about the job, once, and
// checks the job's next dependency unless the leader knows that all are clear. The result
// dependenciesClear means that this step found no cancelled or unknown dependency.
func (w *dependencyWalker) step(ctx context.Context, path *dependencyPath, progress func(id string) peer.Progress) dependencyStatus {
	cache := w.server.dependencies
	job := path.last()
	if clearAsOf, ok := cache.clearWithin(job.id, w.maxAge); ok {
		path.pop(clearAsOf)
		return dependenciesClear
	}
	if cache.hasCancelled(job.id) {
		return dependencyCancelled
	}
	if len(job.unchecked) == 0 {
		return w.finishJob(ctx, path)
	}
	if !job.askedLeader {
		job.askedLeader = true
		p := progress(job.id)
		if age := time.Duration(p.ClearAgeMS) * time.Millisecond; p.Known && p.DependenciesClear && age < w.maxAge {
			cache.setClear(job.id, time.Now().Add(-age))
			return dependenciesClear
		}
	}
	return w.descend(ctx, path)
}

// finishJob removes the last job of the path, whose dependencies are all clear, and caches that it is
// clear. Before that it verifies that the job itself is not cancelled, unless the job's record was read
// after clearAsOf.
func (w *dependencyWalker) finishJob(ctx context.Context, path *dependencyPath) dependencyStatus {
	job := path.last()
	if !job.recordRead {
		if status, _ := w.readDependency(ctx, job.id); status != dependenciesClear {
			return status
		}
	}
	clearAsOf := job.clearAsOf
	w.server.dependencies.setClear(job.id, clearAsOf)
	path.pop(clearAsOf)
	return dependenciesClear
}

// descend checks the next dependency of the last job on the path, and appends the dependency to the
// path if it may be open. The dependencies of a job with a final state need no check.
func (w *dependencyWalker) descend(ctx context.Context, path *dependencyPath) dependencyStatus {
	job := path.last()
	next := pathStep{id: job.unchecked[0], clearAsOf: time.Now()}
	job.unchecked = job.unchecked[1:]
	if closed, ok := w.server.jobs.closedJob(next.id); ok {
		if closed.Status == records.StatusCancelled {
			return dependencyCancelled
		}
		return dependenciesClear
	}
	next.unchecked = w.server.dependencies.directDependencies(next.id)
	if len(next.unchecked) == 0 {
		status, done := w.readDependency(ctx, next.id)
		if done || status != dependenciesClear {
			return status
		}
		next.unchecked, next.recordRead = w.server.dependencies.directDependencies(next.id), true
	}
	*path = append(*path, next)
	return dependenciesClear
}

// readDependency reads a dependency from the store and, if it is open, caches its direct dependencies.
// The status is dependencyCancelled if the dependency is cancelled, dependenciesUnknown if the read
// fails, finds no such job or exceeds the rate limit, and otherwise dependenciesClear. done is true
// if all its tasks are done, so that its own dependencies do not matter.
func (w *dependencyWalker) readDependency(ctx context.Context, id string) (status dependencyStatus, done bool) {
	if !w.server.readLimiter.Allow() {
		return dependenciesUnknown, false
	}
	job, err := w.server.lookup(ctx, id)
	switch {
	case err != nil || job.absent():
		slog.Debug("dependency not read", "dependency", id, "err", err)
		return dependenciesUnknown, false
	case job.closed != nil && job.closed.Status == records.StatusCancelled:
		return dependencyCancelled, false
	case job.closed != nil:
		return dependenciesClear, true
	}
	if dependencies := storedDependencies(job.open); len(dependencies) > 0 {
		w.server.dependencies.setDirect(id, dependencies)
	}
	return dependenciesClear, false
}

// storedDependencies returns the direct dependencies in the record of an open job, nil if it has none
// or cannot be decoded.
func storedDependencies(openRecord *records.KeyValue) []string {
	var job struct {
		Dependencies []string `json:"prereqs"`
	}
	_ = jsoncodec.Unmarshal(openRecord.Value, &job)
	return job.Dependencies
}

// decodeOpen decodes an open job's record. The result is the zero job if openRecord is nil; fields
// that cannot be decoded are left zero.
func decodeOpen(openRecord *records.KeyValue) records.Job {
	var job records.Job
	if openRecord != nil {
		_ = jsoncodec.Unmarshal(openRecord.Value, &job)
	}
	return job
}
