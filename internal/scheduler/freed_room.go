package scheduler

import (
	"time"

	"drumpick/internal/packing"
)

// freedRoom sums the room that completed tasks freed in the current and in the previous time window.
type freedRoom struct {
	since             time.Time // start of the current window
	current, previous packing.Resources
}

func (f *freedRoom) add(request packing.Resources, now time.Time, window time.Duration) {
	f.advance(now, window)
	f.current = f.current.Add(request)
}

// advance begins a new window once the current one has elapsed.
func (f *freedRoom) advance(now time.Time, window time.Duration) {
	switch elapsed := now.Sub(f.since); {
	case elapsed >= 2*window:
		f.since, f.current, f.previous = now, packing.Resources{}, packing.Resources{}
	case elapsed >= window:
		f.since, f.current, f.previous = f.since.Add(window), packing.Resources{}, f.current
	}
}

// previousWindow returns the room that was freed in the window before the current one.
func (f *freedRoom) previousWindow(now time.Time, window time.Duration) packing.Resources {
	f.advance(now, window)
	return f.previous
}
