package fairshare

import "time"

// ShortageTracker tracks the machine types that lack on-demand machines, which the cloud does not
// preempt, for jobs of teams with a guarantee that may not use spot machines.
type ShortageTracker struct {
	last map[string]time.Time // by machine type, when such a job last had no placement
}

// NewShortageTracker returns a tracker without shortages.
func NewShortageTracker() *ShortageTracker { return &ShortageTracker{last: map[string]time.Time{}} }

// RecordShortage records that a job had no placement on the on-demand machines of a type.
func (s *ShortageTracker) RecordShortage(typ string, now time.Time) { s.last[typ] = now }

// ShortageWithin reports whether a shortage of the type was recorded less than span ago.
func (s *ShortageTracker) ShortageWithin(typ string, span time.Duration, now time.Time) bool {
	last, ok := s.last[typ]
	return ok && now.Sub(last) < span
}
