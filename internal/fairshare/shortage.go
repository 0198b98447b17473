package fairshare

import "time"

// ShortageTracker knows of which types of machine the ordinary ones, which the cloud does not take
// back, were too few for work of teams with a guarantee that may use no others.
type ShortageTracker struct {
	last map[string]time.Time // when such work last found no room, by type
}

// NewShortageTracker knows of none.
func NewShortageTracker() *ShortageTracker { return &ShortageTracker{last: map[string]time.Time{}} }

// NoteShortage notes work that found no room on ordinary machines of a type.
func (s *ShortageTracker) NoteShortage(typ string, now time.Time) { s.last[typ] = now }

// ShortageWithin says whether such work found no room within a span.
func (s *ShortageTracker) ShortageWithin(typ string, span time.Duration, now time.Time) bool {
	last, ok := s.last[typ]
	return ok && now.Sub(last) < span
}
