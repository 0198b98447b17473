// Package cancellation keeps the promise that a cancelled job's tasks are gone in time, where
// the leader cannot learn of the cancellation from the store. Any controller confirms
// cancellations to users; a leader out of touch with the store goes on renewing its workers'
// leases only up to a bound, unless the others list all that they confirmed meanwhile. Each
// keeps a log of that, and a list from it says how far back it is complete.
//
// The package is pure: no I/O, no clock.
package cancellation

import (
	"fmt"
	"sync"
	"time"

	"drumpick/internal/records"
)

// ConfirmedList lists the jobs whose cancellation a controller has confirmed to users, or may
// be about to, in so many milliseconds before it was asked. It speaks for what this process
// confirmed and for nothing that another did, an earlier one of the same name included.
type ConfirmedList struct {
	SpanMS int64    `msgpack:"reach_ms"` // how far back the list is complete
	IDs    []string `msgpack:"ids,omitempty"`
}

// The bounds of a log and of a list: a list goes to the leader every quarter of a heartbeat
// interval. None of them bounds machines or jobs: beyond them a list reaches less far back,
// and a leader out of touch with the store that it does not cover lets leases expire, as if it
// had not been received. At 41,000 jobs a day, all of them cancelled, 1,024 are confirmed in
// 36 minutes; a list has to reach back for less than the cancellation time, which settings
// bound.
const (
	maxLogEntries  = 4096
	maxListedIDs   = 1024
	maxListedBytes = 24 << 10 // of the ids in all
)

// maxSpan is the longest span that makes sense; a longer one is no span of a list.
const maxSpan = 10 * 365 * 24 * time.Hour

// entryResolution is by how much the span of a list ends after an entry that it leaves out:
// lists count in milliseconds.
const entryResolution = time.Millisecond

// Check returns what is wrong with a list that another controller sent.
func (c *ConfirmedList) Check() error {
	bytes := 0
	for _, id := range c.IDs {
		bytes += len(id)
		if !records.ValidID(id) {
			return fmt.Errorf("told.ids: %q is no job", id)
		}
	}
	switch {
	case c.SpanMS < 0 || c.SpanMS > maxSpan.Milliseconds():
		return fmt.Errorf("told.reach_ms: %d is no time before now", c.SpanMS)
	case len(c.IDs) > maxListedIDs || bytes > maxListedBytes:
		return fmt.Errorf("told.ids: %d of %d bytes, more than %d or %d", len(c.IDs), bytes, maxListedIDs, maxListedBytes)
	}
	return nil
}

// Log is what one process has confirmed. It is safe for concurrent use.
type Log struct {
	mu            sync.Mutex // guards the fields below
	completeFrom  time.Time
	lastConfirmed time.Time // when anything was last confirmed, or the start
	entries       []entry   // oldest first
}

type entry struct {
	id string
	at time.Time
}

// NewLog returns the log of a process that starts now.
func NewLog(now time.Time) *Log { return &Log{completeFrom: now, lastConfirmed: now} }

// Add notes a cancellation, before it is confirmed to any user. That it was stored a while
// ago, and is confirmed a while later, makes no difference: the first confirmation counts, and
// is not before this.
func (l *Log) Add(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastConfirmed = now
	l.entries = append(l.entries, entry{id, now})
	if excess := len(l.entries) - maxLogEntries; excess > 0 {
		// Half at once, so that the rest is not copied each time.
		excess += maxLogEntries / 2
		l.completeFrom = l.entries[excess-1].at.Add(entryResolution)
		l.entries = append([]entry(nil), l.entries[excess:]...)
	}
}

// SinceLastConfirmation returns for how long nothing has been confirmed, at least; for versions that know
// no lists.
func (l *Log) SinceLastConfirmation(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastConfirmed)
}

// ConfirmedWithin lists what was confirmed in a span before now. Where that is more than a list
// takes, it has the latest and says so by a shorter span.
func (l *Log) ConfirmedWithin(span time.Duration, now time.Time) ConfirmedList {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := now.Add(-span)
	if from.Before(l.completeFrom) {
		from = l.completeFrom
	}
	bytes := 0
	var ids []string
	for i := len(l.entries) - 1; i >= 0 && !l.entries[i].at.Before(from); i-- {
		e := l.entries[i]
		bytes += len(e.id)
		if len(ids) == maxListedIDs || bytes > maxListedBytes {
			// Complete only for what came after this one.
			from = e.at.Add(entryResolution)
			break
		}
		ids = append(ids, e.id)
	}
	return ConfirmedList{SpanMS: max(now.Sub(from), 0).Milliseconds(), IDs: ids}
}
