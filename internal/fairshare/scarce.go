package fairshare

import "time"

// Scarce knows of which types of machine the ordinary ones, which the cloud does not take
// back, were too few for work of teams with a guarantee that may use no others.
type Scarce struct {
	last map[string]time.Time // when such work last found no room, by type
}

// NewScarce knows of none.
func NewScarce() *Scarce { return &Scarce{last: map[string]time.Time{}} }

// Lacked notes work that found no room on ordinary machines of a type.
func (s *Scarce) Lacked(typ string, now time.Time) { s.last[typ] = now }

// Lately says whether such work found no room within a span.
func (s *Scarce) Lately(typ string, span time.Duration, now time.Time) bool {
	last, ok := s.last[typ]
	return ok && now.Sub(last) < span
}
