package fairshare

import "time"

// ShortageTracker remembers for which machine types there were too few on-demand machines, which the
// cloud does not preempt, for jobs of teams with a guarantee that may use no others.
type ShortageTracker struct {
	lastShortage map[string]time.Time // when such a job last found no room, by machine type
}

// NewShortageTracker returns a tracker that has seen no shortage.
func NewShortageTracker() *ShortageTracker {
	return &ShortageTracker{lastShortage: map[string]time.Time{}}
}

// RecordShortage notes a job that found no room on on-demand machines of a type.
func (s *ShortageTracker) RecordShortage(typ string, now time.Time) { s.lastShortage[typ] = now }

// ShortageWithin reports whether such a job found no room within a span of time up to now.
func (s *ShortageTracker) ShortageWithin(typ string, span time.Duration, now time.Time) bool {
	last, ok := s.lastShortage[typ]
	return ok && now.Sub(last) < span
}
