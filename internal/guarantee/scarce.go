package guarantee

import (
	"time"
)

// Scarce knows of which types of machine the ordinary ones, which the cloud does not take
// back, are too few for work of teams with a guarantee that may use no others.
type Scarce struct {
	last    map[string]time.Time // when such work last found no room, by type
	lacking map[string]bool      // where it found none in the look under way; true: it was owed its room
}

// NewScarce knows of none.
func NewScarce() *Scarce {
	return &Scarce{last: map[string]time.Time{}, lacking: map[string]bool{}}
}

// Begin starts a look at all that waits, in the order in which it is served.
func (s *Scarce) Begin() { clear(s.lacking) }

// Lacked notes work that found no room on ordinary machines of a type.
func (s *Scarce) Lacked(typ string, owed bool, now time.Time) {
	s.lacking[typ] = s.lacking[typ] || owed
	s.last[typ] = now
}

// Lately says whether such work found no room within a span.
func (s *Scarce) Lately(typ string, span time.Duration, now time.Time) bool {
	last, ok := s.last[typ]
	return ok && now.Sub(last) < span
}

// Ahead says whether work that is served before, in the look under way, lacks ordinary
// machines of a type: for work that is itself owed its room, only other such work counts.
func (s *Scarce) Ahead(typ string, owed bool) bool {
	other, lacks := s.lacking[typ]
	return lacks && (other || !owed)
}

// Waits says whether work that has waited for age and needs so long from its start until it
// is done has time to wait for a machine that boots: it would be in time, by half a boot
// more, for the next of its targets, in seconds from when it came, or will miss it by as
// much in any case.
func Waits(age, needs, boot float64, targets []float64) bool {
	for _, t := range targets {
		if spare := t - age - needs; spare > -boot/2 {
			return spare > boot/2
		}
	}
	return true
}
