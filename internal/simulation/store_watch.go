package simulation

import (
	"context"
	"sort"
	"strings"
	"time"

	"drumpick/internal/records"
)

// maxWatchEvents is the minimum number of past changes that the log keeps. A watch from a revision before the log gets
// ErrCompacted, and its client lists the entries again.
const maxWatchEvents = 10_000

// watch waits up to wait for changes under a prefix after the revision since. It returns the changes and the store's
// revision. During an outage, or while the store refuses the client, the watch stays open. It calls disconnected at
// every change of the store, and returns records.ErrUnknownOutcome if that reports true.
func (s *Store) watch(
	ctx context.Context, client, prefix string, since uint64, wait time.Duration, disconnected func() bool,
) ([]records.Event, uint64, error) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		events := s.eventsLocked(prefix, since)
		revision, changed := s.revision, s.changed
		refused, compacted := s.refusesLocked(client), since < s.compactedRevision
		s.mu.Unlock()
		left := time.Until(end)
		switch {
		case disconnected():
			return nil, since, records.ErrUnknownOutcome
		case refused:
			left = max(left, networkLatency)
		case compacted:
			return nil, since, records.ErrCompacted
		case len(events) > 0 || left <= 0:
			return events, revision, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, since, ctx.Err()
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// eventsLocked returns the logged changes under a prefix after a revision.
func (s *Store) eventsLocked(prefix string, since uint64) []records.Event {
	var events []records.Event
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > since })
	for _, e := range s.log[first:] {
		if e.Write != "" && strings.HasPrefix(e.Write, prefix) || e.Delete != "" && strings.HasPrefix(e.Delete, prefix) {
			events = append(events, e)
		}
	}
	return events
}

// wakeWatchersLocked makes all open watches check again for changes.
func (s *Store) wakeWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
