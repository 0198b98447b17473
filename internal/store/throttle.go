package store

import (
	"sync"
	"time"
)

// governor holds users' requests to what the service takes, so that the leader's own are served:
// its lease first of all. As long as the service throttles nobody it lets everything pass. Each
// time it does, the users' rate is cut by a part, down to a controller's part of their share of the
// service's rate; then it rises again by itself. Guards against users who ask and submit everywhere at
// once: every request over the rate is answered with a 429, whoever sent it, and leaders lost their leases by that,
// one after the other.
type governor struct {
	most, least float64 // a second: what the service takes, and what is always left to users here
	mu          sync.Mutex
	rate        float64   // as of the last cut; it has risen since
	cut         time.Time // when it was last cut; zero: never
	tokens      float64
	at          time.Time // when tokens were last counted
}

const (
	// usersShare is the part of the service's rate that users' requests may take when it throttles,
	// all controllers together.
	usersShare = 0.6
	// cutTo is to which part of what it was the rate is cut.
	cutTo = 0.7
	// risesIn is how long the rate takes to rise from nothing to all of it, and cutPause how long
	// one cut is given to show before the next.
	risesIn, cutPause = 10 * time.Second, 250 * time.Millisecond
)

// newGovernor returns one of so many controllers' governors for a rate of the service a second;
// 0: it is not known, and nothing is held back.
func newGovernor(rate float64, controllers int) *governor {
	return &governor{most: rate, least: rate * usersShare / float64(max(controllers, 1)), rate: rate}
}

// now is the rate at a time, with the lock held.
func (g *governor) now(at time.Time) float64 {
	return min(g.most, g.rate+g.most*at.Sub(g.cut).Seconds()/risesIn.Seconds())
}

// throttled notes that the service has throttled a request.
func (g *governor) throttled(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at.Sub(g.cut) < cutPause {
		return
	}
	if was := g.now(at); g.cut.IsZero() {
		g.rate, g.tokens, g.at = max(was*cutTo, g.least), 0, at
	} else {
		g.rate = max(was*cutTo, g.least)
	}
	g.cut = at
}

// take takes n of what may be sent, or says how long to wait for them.
func (g *governor) take(n float64, at time.Time) (wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut.IsZero() || g.most == 0 {
		return 0
	}
	rate := g.now(at)
	if rate == g.most {
		g.cut = time.Time{}
		return 0
	}
	// Half a second's worth may be saved up, and at least one request of any size.
	g.tokens = min(g.tokens+rate*at.Sub(g.at).Seconds(), max(rate/2, n))
	g.at = at
	if g.tokens >= n {
		g.tokens -= n
		return 0
	}
	return time.Duration((n - g.tokens) / rate * float64(time.Second))
}
