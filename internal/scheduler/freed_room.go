package scheduler

import (
	"time"

	"drumpick/internal/packing"
)

// freedRoom is the rate at which ending tasks free room: what they freed in the current and in the
// previous span of time.
type freedRoom struct {
	since             time.Time
	current, previous packing.Resources
}

func (f *freedRoom) add(req packing.Resources, now time.Time, span time.Duration) {
	f.advance(now, span)
	f.current = f.current.Add(req)
}

// advance begins a new span once the current one has passed.
func (f *freedRoom) advance(now time.Time, span time.Duration) {
	switch past := now.Sub(f.since); {
	case past >= 2*span:
		f.since, f.current, f.previous = now, packing.Resources{}, packing.Resources{}
	case past >= span:
		f.since, f.current, f.previous = f.since.Add(span), packing.Resources{}, f.current
	}
}

// previousWindow returns what was freed in the span before the current one.
func (f *freedRoom) previousWindow(now time.Time, span time.Duration) packing.Resources {
	f.advance(now, span)
	return f.previous
}
