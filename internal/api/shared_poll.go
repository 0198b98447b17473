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

// pollCoalescer answers polls that come faster than single reads are allowed: one list of the
// open jobs serves all polls that came before it began. Without this, users who poll at the same
// interval starve each other: one of them always comes when the reads are used up, is never
// answered, and, with enough jobs, gives its job up.
type pollCoalescer struct {
	mu          sync.Mutex
	activeUntil time.Time // polls share lists until then
	nextList    *openList // the list that has not begun
	lastStart   time.Time // when a list last began
}

// openList is one list of the open jobs, which several polls wait for. Its other fields may be
// read once done is closed.
type openList struct {
	done chan struct{}
	jobs map[string]*records.KeyValue
	err  error
}

// listsPerTimeout is how many lists begin at most while a user waits for an answer.
const listsPerTimeout = 2

// isActive reports whether polls share lists now.
func (c *pollCoalescer) isActive(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.activeUntil)
}

// activate has polls share lists for a while, since they come too fast for single reads.
func (c *pollCoalescer) activate(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeUntil = now.Add(userTimeout)
}

// join returns the next list. first reports whether nobody has joined it before: then the caller has
// to start it, after the wait.
func (c *pollCoalescer) join() (list *openList, wait time.Duration, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextList != nil {
		return c.nextList, 0, false
	}
	c.nextList = &openList{done: make(chan struct{})}
	return c.nextList, max(time.Until(c.lastStart.Add(userTimeout/listsPerTimeout)), 0), true
}

// startNext closes the next list to further polls: they join the one after it.
func (c *pollCoalescer) startNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextList, c.lastStart = nil, time.Now()
}

// awaitList waits for a list of the open jobs that begins after this call.
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

// listOpenJobs reads the open jobs after a wait, for all polls that have joined by then. It ends by its
// own timeout, as no single poll owns it.
func (s *Server) listOpenJobs(list *openList, wait time.Duration) {
	defer close(list.done)
	ctx, cancel := context.WithTimeout(context.Background(), wait+requestTimeout())
	defer cancel()
	_ = ctxtime.Sleep(ctx, wait)
	s.coalescer.startNext()
	sharedLists.Inc()
	list.jobs = map[string]*records.KeyValue{}
	_, list.err = s.store.List(ctx, records.PrefixOpen, func(row records.KeyValue) error {
		list.jobs[strings.TrimPrefix(row.Key, records.PrefixOpen)] = &row
		return nil
	})
	if list.err != nil {
		slog.Debug("open jobs not listed", "err", list.err)
	}
}

// pollShared answers a poll from a shared list. A job that is not in it has a final state, or does
// not exist: the final state is read singly, in turn.
func (s *Server) pollShared(ctx context.Context, id string) response {
	readAt := time.Now()
	list, err := s.awaitList(ctx)
	if err != nil {
		return unavailableResponse
	}
	if row := list.jobs[id]; row != nil {
		return s.listedJobResponse(ctx, id, row, readAt)
	}
	if a, ok := s.cachedResponse(ctx, id); ok {
		return a
	}
	if s.readLimiter.Wait(ctx) != nil {
		return unavailableResponse
	}
	closed, err := s.readClosed(ctx, id)
	switch {
	case err != nil:
		return unavailableResponse
	case closed == nil:
		// It was absent among the open jobs first, and among the closed ones after that: there is
		// no such job.
		return noSuchJobResponse
	}
	return s.closedJobResponse(ctx, id, *closed)
}

// listedJobResponse answers about a job that a shared list has as open. Its progress is asked for only
// where that takes no call, or bears on the answer.
func (s *Server) listedJobResponse(ctx context.Context, id string, row *records.KeyValue, readAt time.Time) response {
	p := peer.Progress{Status: records.StatusPending}
	if len(storedDependencies(row)) > 0 || s.localLeader() != nil {
		p = s.progress(id)
	}
	if a, closed := s.dependencyResponse(ctx, id, row, readAt, p); closed {
		return a
	}
	return openJobResponse(id, p)
}
