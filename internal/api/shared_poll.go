package api

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/peer"
	"drumpick/internal/records"

	"github.com/VictoriaMetrics/metrics"
)

var sharedLists = metrics.NewCounter("drumpick_polls_shared_lists_total")

// pollCoalescer serves polls that arrive faster than single reads are allowed: one list of the open
// jobs serves all polls that arrived before it started. Without this, users who poll at the same
// interval starve each other: with enough jobs, one of them always polls when the reads are used up,
// never gets a response and abandons its job.
type pollCoalescer struct {
	mu          sync.Mutex
	activeUntil time.Time // polls share lists up to then
	nextList    *openList // the list that has not started, nil if none is requested
	lastStart   time.Time // when a list last started
}

// openList is one list of the open jobs that several polls wait for. jobs and err may be read once
// done is closed.
type openList struct {
	done chan struct{}
	jobs map[string]*records.KeyValue
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

// activate makes polls share lists for userTimeout, since they arrive too fast for single reads.
func (c *pollCoalescer) activate(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeUntil = now.Add(userTimeout)
}

// join returns the next list. first reports whether the caller is the first to join it and has to start
// it after the wait.
func (c *pollCoalescer) join() (list *openList, wait time.Duration, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextList != nil {
		return c.nextList, 0, false
	}
	c.nextList = &openList{done: make(chan struct{})}
	return c.nextList, max(time.Until(c.lastStart.Add(userTimeout/listsPerTimeout)), 0), true
}

// startNext marks the next list as started: further polls join the one after it.
func (c *pollCoalescer) startNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextList, c.lastStart = nil, time.Now()
}

// awaitList waits for a list of the open jobs that starts after this call.
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

// listOpenJobs reads the open jobs after a wait, for all polls that have joined by then. It has its own
// timeout, since no single poll owns it.
func (s *Server) listOpenJobs(list *openList, wait time.Duration) {
	defer close(list.done)
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
// not exist: its final state is read singly, when the rate limit allows it.
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
	if s.readLimiter.Wait(ctx) != nil {
		return unavailableResponse
	}
	closed, err := s.readClosed(ctx, id)
	switch {
	case err != nil:
		return unavailableResponse
	case closed == nil:
		// The open record was absent first, and the closed one after that: there is no such job.
		return noSuchJobResponse
	}
	return s.closedJobResponse(ctx, id, *closed)
}

// listedJobResponse returns the response about a job that is open in a shared list. It reads the
// progress only if that needs no call to another controller or can change the response, which it can
// if the job has dependencies.
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
