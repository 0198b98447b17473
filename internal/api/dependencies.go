package api

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// dependencyStatus is what the dependencies of a job, direct and indirect, mean for it.
type dependencyStatus int

const (
	dependenciesUnknown dependencyStatus = iota // the store did not answer, or not all in time
	dependenciesInvalid                         // one was never accepted, or is a service, which never ends
	dependencyCancelled                         // one is cancelled
	dependenciesClear                           // none is cancelled
)

// checkDependencies checks the jobs that a submission names as dependencies, and theirs. If they are
// invalid it returns why.
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
			// Records are kept for good: what is not stored was never accepted.
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

// lookupCached is like lookup, but takes a final state from the cache.
func (s *Server) lookupCached(ctx context.Context, id string) (storedJob, error) {
	if closed, ok := s.jobs.closedJob(id); ok {
		return storedJob{closed: &closed}, nil
	}
	return s.lookup(ctx, id)
}

// dependencyResponse makes sure, before an open job is reported as open, that none of its dependencies,
// direct or indirect, is cancelled. If one is, it stores that the job is cancelled as well, and
// answers that. Mostly the leader knows. Without this, a user could be told that a job waits long
// after a dependency of it was cancelled, while there is no leader to cancel it.
func (s *Server) dependencyResponse(ctx context.Context, id string, row *records.KeyValue, readAt time.Time, p peer.Progress) (response, bool) {
	dependencies := storedDependencies(row)
	if len(dependencies) == 0 {
		return response{}, false
	}
	progressOf := func(other string) peer.Progress {
		if other == id {
			return p
		}
		return peer.Progress{}
	}
	switch s.newWalker().check(ctx, id, dependencies, readAt, progressOf) {
	case dependenciesClear:
		return response{}, false
	case dependencyCancelled:
		if a, ok := s.cancelDependent(ctx, id, row); ok {
			return a, true
		}
	}
	return unavailableResponse, true
}

// cancelDependent stores that a job is cancelled because a dependency of it is, and answers with its
// final state.
func (s *Server) cancelDependent(ctx context.Context, id string, row *records.KeyValue) (response, bool) {
	if !s.storeCancelled(ctx, id, row, false) {
		return response{}, false
	}
	if a, ok := s.cachedResponse(ctx, id); ok {
		return a, true
	}
	if job, err := s.lookup(ctx, id); err == nil && job.closed != nil {
		return s.closedJobResponse(ctx, id, *job.closed), true
	}
	return response{}, false
}

// dependencyWalker checks the dependencies of a job, direct and indirect, depth first. What it finds is
// cached, so that a long chain is checked over several polls: the dependencies of a job never
// change, so the next poll begins with the first of them.
type dependencyWalker struct {
	server *Server
	maxAge time.Duration // how long a finding that nothing is cancelled holds
}

// newWalker returns a walker. Its findings hold for half of the time that a cancellation may take to
// end a job's tasks: whoever cancelled a dependency since then was answered since then.
func (s *Server) newWalker() *dependencyWalker {
	return &dependencyWalker{s, config.Seconds(s.cfg.Deployment.Workers.CancelS) / 2}
}

// pathStep is an open job on the path from the job that is checked to a dependency.
type pathStep struct {
	id          string
	unchecked   []string  // direct dependencies that are still to be checked
	clearAsOf   time.Time // up to then neither it nor what was checked below it was cancelled
	askedLeader bool
	recordRead  bool // its record has been read after clearAsOf
}

// dependencyPath is the path from the job that is checked to the dependency in hand.
type dependencyPath []pathStep

func (p dependencyPath) last() *pathStep { return &p[len(p)-1] }

// pop goes back to the job before the last one, whose dependencies are all clear up to a time.
func (p *dependencyPath) pop(clearAt time.Time) {
	*p = (*p)[:len(*p)-1]
	if len(*p) > 0 && clearAt.Before(p.last().clearAsOf) {
		p.last().clearAsOf = clearAt
	}
}

// check checks all dependencies of an open job; readAt is from before its record was read. The
// leader's knowledge, by progress, is used where it is at hand.
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

// step goes on by one job: it leaves the last one on the path if that is found clear, or takes up one
// of its dependencies. dependenciesClear means that nothing was found that ends the check.
func (w *dependencyWalker) step(ctx context.Context, path *dependencyPath, progress func(id string) peer.Progress) dependencyStatus {
	cache := w.server.dependencies
	job := path.last()
	if clearAt, ok := cache.clearWithin(job.id, w.maxAge); ok {
		path.pop(clearAt)
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

// finishJob leaves the last job on the path, all of whose dependencies are clear, after it has made sure
// that the job itself is not cancelled.
func (w *dependencyWalker) finishJob(ctx context.Context, path *dependencyPath) dependencyStatus {
	job := path.last()
	if !job.recordRead {
		if verdict, _ := w.readDependency(ctx, job.id); verdict != dependenciesClear {
			return verdict
		}
	}
	clearAt := job.clearAsOf
	w.server.dependencies.setClear(job.id, clearAt)
	path.pop(clearAt)
	return dependenciesClear
}

// descend takes up the next dependency of the last job on the path. One with a final state needs no
// check of its own dependencies.
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
		verdict, done := w.readDependency(ctx, next.id)
		if done || verdict != dependenciesClear {
			return verdict
		}
		next.unchecked, next.recordRead = w.server.dependencies.directDependencies(next.id), true
	}
	*path = append(*path, next)
	return dependenciesClear
}

// readDependency reads whether a dependency is cancelled, and caches its own dependencies if it is open. done
// reports whether its tasks are all done, so that nothing below it matters.
func (w *dependencyWalker) readDependency(ctx context.Context, id string) (verdict dependencyStatus, done bool) {
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

// storedDependencies returns the direct dependencies of an open job by its record.
func storedDependencies(row *records.KeyValue) []string {
	var job struct {
		Dependencies []string `json:"prereqs"`
	}
	_ = json.Unmarshal(row.Value, &job)
	return job.Dependencies
}

// decodeOpen decodes an open job's record; the job of no record is empty. What of a record cannot be
// read stays empty as well.
func decodeOpen(row *records.KeyValue) records.Job {
	var job records.Job
	if row != nil {
		_ = json.Unmarshal(row.Value, &job)
	}
	return job
}
