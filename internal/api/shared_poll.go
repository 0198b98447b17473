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

// crowd answers polls that come faster than single reads are allowed: one list of the open
// jobs serves all that came before it began. Guards against users who ask at the same beat,
// one of whom always comes when the reads are used up: whoever is answered by chance is
// answered never, at some number of jobs, and a job that nobody answers about is forgotten.
type crowd struct {
	mu    sync.Mutex
	until time.Time // polls are answered so until then
	next  *shared   // the list that has not begun
	last  time.Time // when one last began
}

// shared is one list and who waits for it.
type shared struct {
	done chan struct{}
	open map[string]*records.KeyValue
	err  error
}

// listsShare is the part of users' patience, one in so many, between two lists.
const listsShare = 2

// here says whether polls come too fast for single reads; more notes that one has.
func (c *crowd) here(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.until)
}

func (c *crowd) more(now time.Time) {
	c.mu.Lock()
	c.until = now.Add(userPatience)
	c.mu.Unlock()
}

// join waits for the next list, begun after this call, and returns it.
func (s *Server) join(ctx context.Context) (*shared, error) {
	c := &s.crowd
	c.mu.Lock()
	l := c.next
	if l == nil {
		l = &shared{done: make(chan struct{})}
		c.next = l
		wait := max(time.Until(c.last.Add(userPatience/listsShare)), 0)
		go s.list(l, wait)
	}
	c.mu.Unlock()
	select {
	case <-l.done:
		return l, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// list reads the open jobs, a moment from now, for all who have joined by then.
func (s *Server) list(l *shared, wait time.Duration) {
	defer close(l.done)
	ctx, cancel := context.WithTimeout(context.Background(), wait+s.budget())
	defer cancel()
	_ = ctxtime.Sleep(ctx, wait)
	s.crowd.mu.Lock()
	s.crowd.next, s.crowd.last = nil, time.Now()
	s.crowd.mu.Unlock()
	sharedLists.Inc()
	l.open = map[string]*records.KeyValue{}
	_, l.err = s.store.List(ctx, records.PrefixOpen, func(r records.KeyValue) error {
		l.open[strings.TrimPrefix(r.Key, records.PrefixOpen)] = &r
		return nil
	})
	if l.err != nil {
		slog.Debug("open jobs not listed for polls", "err", l.err)
	}
}

// pollShared answers a poll from such a list. What is not in it is over, or there is no such
// job: its final state is read, in turn.
func (s *Server) pollShared(ctx context.Context, id string) answer {
	read := time.Now()
	l, err := s.join(ctx)
	if err != nil {
		return errAway
	}
	if row := l.open[id]; row != nil {
		p := peer.Progress{Status: records.StatusPending}
		if needs := needsOf(row); len(needs) > 0 || s.local() != nil {
			p = s.progress(id)
		}
		if a, over := s.chained(ctx, id, row, read, p); over {
			return a
		}
		return openAnswer(id, p)
	}
	if a, ok := s.remembered(ctx, id); ok {
		return a
	}
	if s.reads.Wait(ctx) != nil {
		return errAway
	}
	o, err := s.readOver(ctx, id)
	switch {
	case err != nil:
		return errAway
	case o == nil:
		// Absent among the open ones first, and then among those that are over: there
		// is no such job.
		return fail(404, "no such job")
	}
	return s.overAnswer(ctx, id, *o)
}
