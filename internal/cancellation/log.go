// Package cancellation keeps the promise that a cancelled job's tasks are gone in time, where
// the leader cannot hear of the cancellation from the store. Users are told by any controller;
// a leader out of touch with the store goes on renewing its workers' leases only up to a bound,
// unless the others tell it all that they told meanwhile. Each keeps a log of that, and a word
// of it says how far back it is complete.
//
// The package is pure: no I/O, no clock.
package cancellation

import (
	"fmt"
	"sync"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// ConfirmedList is a controller's word: which jobs it has told users to be cancelled, or may be about
// to, in so many milliseconds before it was asked. It speaks for what this process told and for
// nothing that another told, an earlier one of the same name included.
type ConfirmedList struct {
	SpanMS int64    `msgpack:"reach_ms"` // how far back the list is complete
	IDs    []string `msgpack:"ids,omitempty"`
}

const (
	// mostKept bounds the log, mostTold the ids in a word and mostBytes their length in all:
	// a word goes to the leader every quarter of a report interval. None of them bounds
	// machines or jobs: beyond them a word reaches less far back, and a leader out of touch
	// with the store that it does not cover lets leases lapse, as if it had not been heard. At
	// 41,000 jobs a day, all of them cancelled, 1,024 are told in 36 minutes; a word has to
	// reach back for less than the cancellation time, which settings bound.
	mostKept, mostTold, mostBytes = 4096, 1024, 24 << 10
)

// Check says what is wrong with a word that another controller sent.
func (t *ConfirmedList) Check() error {
	bytes := 0
	for _, id := range t.IDs {
		if bytes += len(id); !records.ValidID(id) {
			return fmt.Errorf("told.ids: %q is no job", id)
		}
	}
	switch {
	case t.SpanMS < 0 || t.SpanMS > (10*365*24*time.Hour).Milliseconds():
		return fmt.Errorf("told.reach_ms: %d is no time before now", t.SpanMS)
	case len(t.IDs) > mostTold || bytes > mostBytes:
		return fmt.Errorf("told.ids: %d of %d bytes, more than %d or %d", len(t.IDs), bytes, mostTold, mostBytes)
	}
	return nil
}

// Log is what one process has told. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	from    time.Time // complete since then
	last    time.Time // when anything was last told, or the start
	entries []entry   // oldest first
}

type entry struct {
	id string
	at time.Time
}

// NewLog returns the log of a process that starts now.
func NewLog(now time.Time) *Log { return &Log{from: now, last: now} }

// Add notes a cancellation, before any user is told of it. That it was stored a while ago, and
// is told a while later, makes no difference: the first telling counts, and is not before this.
func (l *Log) Add(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = now
	l.entries = append(l.entries, entry{id, now})
	if n := len(l.entries) - mostKept; n > 0 {
		// Half at once, so that the rest is not copied each time.
		n += mostKept / 2
		l.from = l.entries[n-1].at.Add(time.Millisecond)
		l.entries = append([]entry(nil), l.entries[n:]...)
	}
}

// QuietFor is for how long nothing has been told, at least; for versions that know no words.
func (l *Log) QuietFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.last)
}

// Confirmed lists what was told in a span before now. What it cannot list as a whole it tells as far
// back as it can: the latest, which is a word for less.
func (l *Log) Confirmed(span time.Duration, now time.Time) ConfirmedList {
	l.mu.Lock()
	defer l.mu.Unlock()
	from, bytes := now.Add(-span), 0
	if from.Before(l.from) {
		from = l.from
	}
	var ids []string
	for i := len(l.entries) - 1; i >= 0 && !l.entries[i].at.Before(from); i-- {
		e := l.entries[i]
		if bytes += len(e.id); len(ids) == mostTold || bytes > mostBytes {
			// Complete only for what came after this one.
			from = e.at.Add(time.Millisecond)
			break
		}
		ids = append(ids, e.id)
	}
	return ConfirmedList{SpanMS: max(now.Sub(from), 0).Milliseconds(), IDs: ids}
}

// RenewalBound is until when a leader may renew leases. It lies behind the last contact: a moment
// before which every cancellation that anybody was told is known to the leader.
type RenewalBound struct {
	span    time.Duration // from the contact on
	contact time.Time
}

// NewRenewalBound returns the bound of a leader that has had no contact yet. A worker's lease counts
// from when it sent the report that was answered, so what is answered at the very bound has
// lapsed a lease later; clocks drift apart, and a tenth is a margin for what is under way.
func NewRenewalBound(cancel, lease time.Duration) RenewalBound {
	span := cancel - lease
	return RenewalBound{span: span - config.Drift(span) - span/10}
}

// NoteContact notes that the store was read: what came back was made after it was asked for.
func (b *RenewalBound) NoteContact(asked time.Time) {
	if asked.After(b.contact) {
		b.contact = asked
	}
}

// LastContact is that moment.
func (b *RenewalBound) LastContact() time.Time { return b.contact }

// MayRenew says whether leases may be renewed now.
func (b *RenewalBound) MayRenew(now time.Time) bool { return now.Before(b.contact.Add(b.span)) }

// InquirySpan is how far back others have to tell that are asked now and given so long to answer.
func (b *RenewalBound) InquirySpan(now time.Time, timeout time.Duration) time.Duration {
	span := now.Sub(b.contact) + timeout
	return span + 2*config.Drift(span) + timeout
}

// PeerAnswer is what one controller says, as it has come in.
type PeerAnswer struct {
	Confirmed *ConfirmedList // nil from a version that tells no ids
	QuietFor  time.Duration  // for how long it has told nothing
}

// Covers says whether words, asked for and all in by now, leave nothing out that was told
// between the contact and when they were asked for, and lists what that was. Each has to reach
// back to the contact by itself: what a controller told that has restarted since, or that is
// not heard, nobody else knows.
func (b *RenewalBound) Covers(words []PeerAnswer, now time.Time) (ids []string, ok bool) {
	silent := now.Sub(b.contact)
	for _, w := range words {
		// Guards against a quiet one whose list would be as long as the log: quiet is enough.
		if w.QuietFor-config.Drift(w.QuietFor) >= silent {
			continue
		}
		if w.Confirmed == nil || w.Confirmed.Check() != nil {
			return nil, false
		}
		reach := time.Duration(w.Confirmed.SpanMS) * time.Millisecond
		if reach-config.Drift(reach) < silent {
			return nil, false
		}
		ids = append(ids, w.Confirmed.IDs...)
	}
	return ids, true
}
