package api

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/recovery"

	"github.com/VictoriaMetrics/metrics"
)

var sharedLists = metrics.NewCounter("drumpick_polls_shared_lists_total")

// pollCoalescer serves polls that arrive faster than the rate limit allows reads of single jobs: one
// list of the open jobs serves all polls that arrived before the list started. Without it, users who
// poll at the same interval starve each other: with enough jobs, one user always polls when the reads
// are used up, never gets a response and abandons the job.
type pollCoalescer struct {
	mu          sync.Mutex // guards the fields below
	activeUntil time.Time  // polls share lists up to this time
	nextList    *openList  // the requested list that has not started, nil if there is none
	lastStart   time.Time  // when a list last started
}

// openList is one list of the open jobs that several polls wait for. jobs and err may be read once
// done is closed.
type openList struct {
	done chan struct{}                // closed once jobs and err are set
	jobs map[string]*records.KeyValue // records of the open jobs, by job id
	err  error
}

// listsPerTimeout is the maximum number of lists that start within userTimeout.
const listsPerTimeout = 2

// isActive reports whether polls share lists now.
func (c *pollCoalescer) isActive(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.activeUntil)
}

// activate makes polls share lists for userTimeout. It is called when polls arrive too fast for single
// reads.
func (c *pollCoalescer) activate(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeUntil = now.Add(userTimeout)
}

// join returns the next list. first is true if the caller is the first to join this list; the caller
// then has to start the list after the given wait.
func (c *pollCoalescer) join() (list *openList, wait time.Duration, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextList != nil {
		return c.nextList, 0, false
	}
	c.nextList = &openList{done: make(chan struct{})}
	return c.nextList, max(time.Until(c.lastStart.Add(userTimeout/listsPerTimeout)), 0), true
}

// startNext marks the next list as started: polls from now on join the list after it.
func (c *pollCoalescer) startNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextList, c.lastStart = nil, time.Now()
}

// awaitList returns a list of the open jobs that is read from the store after this call. The error is
// that of the read, or of ctx if it ends first.
func (s *Server) awaitList(ctx context.Context) (*openList, error) {
	list, wait, first := s.coalescer.join()
	if first {
		go s.listOpenJobs(list, wait)
	}
	select {
	case <-list.done:
		return list, list.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listOpenJobs reads the open jobs after the given wait, for all polls that have joined the list by
// then. It has its own timeout because the list does not belong to any single poll.
func (s *Server) listOpenJobs(list *openList, wait time.Duration) {
	defer close(list.done)
	list.err = errListFailed // unless the list is read
	recovery.Call("list of open jobs", func() { s.readOpenJobs(list, wait) })
}

// errListFailed is the error of a list whose read panicked.
var errListFailed = errors.New("list of open jobs failed")

// readOpenJobs sets the jobs and the error of a list.
func (s *Server) readOpenJobs(list *openList, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait+requestTimeout())
	defer cancel()
	_ = ctxtime.Sleep(ctx, wait)
	s.coalescer.startNext()
	sharedLists.Inc()
	list.jobs = map[string]*records.KeyValue{}
	_, list.err = s.store.List(ctx, records.PrefixOpen, func(openRecord records.KeyValue) error {
		list.jobs[strings.TrimPrefix(openRecord.Key, records.PrefixOpen)] = &openRecord
		return nil
	})
	if list.err != nil {
		slog.Debug("failed to list open jobs", "err", list.err)
	}
}

// pollShared serves a poll from a shared list. A job that is not in the list has a final state or does
// not exist: pollShared then reads the job's final state once the rate limit allows the read.
func (s *Server) pollShared(ctx context.Context, id string) response {
	readAt := time.Now()
	list, err := s.awaitList(ctx)
	if err != nil {
		return unavailableResponse
	}
	if openRecord := list.jobs[id]; openRecord != nil {
		return s.listedJobResponse(ctx, id, openRecord, readAt)
	}
	if resp, ok := s.cachedResponse(ctx, id); ok {
		return resp
	}
	closed, err := s.awaitClosed(ctx, id)
	switch {
	case err != nil:
		return unavailableResponse
	case closed == nil:
		// The open record was absent in the list, and the closed one later: see lookup.
		return noSuchJobResponse
	}
	return s.closedJobResponse(ctx, id, *closed)
}

// listedJobResponse returns the response about a job that is open in a shared list. It requests the
// leader's view only if this controller leads, so that no call is needed, or if the job has
// dependencies, so that the view can save reads of them. Otherwise it reports the job as pending.
func (s *Server) listedJobResponse(ctx context.Context, id string, openRecord *records.KeyValue, readAt time.Time) response {
	progress := peer.Progress{Status: records.StatusPending}
	if len(storedDependencies(openRecord)) > 0 || s.localLeader() != nil {
		progress = s.progress(id)
	}
	if resp, final := s.dependencyResponse(ctx, id, openRecord, readAt, progress); final {
		return resp
	}
	return openJobResponse(id, progress)
}
