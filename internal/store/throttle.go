package store

import (
	"sync"
	"time"
)

// userThrottle holds users' requests to what the store takes, so that the leader's own are
// served: the renewal of its lease first of all. As long as the store throttles nobody it
// lets everything pass. Each time the store does, the users' rate is cut by a part, down to
// this controller's part of their share of the store's rate; then it rises again by itself.
//
// Without it, users who poll and submit everywhere at once could take the leader's lease:
// every request over the rate is answered with a 429, whoever sent it, and leaders lost their
// leases by that, one after the other.
type userThrottle struct {
	maxRate float64 // a second: what the store takes
	minRate float64 // a second: what is always left to this controller's users

	mu         sync.Mutex // guards the fields below
	rate       float64    // as of the last cut; it has risen since
	lastCut    time.Time  // zero: nothing is held back
	tokens     float64
	lastRefill time.Time // when tokens were last counted
}

const (
	// usersShare is the part of the store's rate that users' requests may take when it throttles,
	// all controllers together.
	usersShare = 0.6
	// cutFactor is what the rate is multiplied with at a cut.
	cutFactor = 0.7
	// recoveryTime is how long the rate takes to rise from nothing to all of it.
	recoveryTime = 10 * time.Second
	// minCutInterval is how long one cut is given to show before the next.
	minCutInterval = 250 * time.Millisecond
	// burstSeconds is for how long at its rate requests may be saved up.
	burstSeconds = 0.5
)

// newUserThrottle returns the throttle of one of so many controllers for a rate of the store
// a second; 0: the rate is not known, and nothing is held back.
func newUserThrottle(rate float64, controllers int) *userThrottle {
	return &userThrottle{
		maxRate: rate,
		minRate: rate * usersShare / float64(max(controllers, 1)),
		rate:    rate,
	}
}

// rateLocked returns the rate at a time.
func (t *userThrottle) rateLocked(now time.Time) float64 {
	return min(t.maxRate, t.rate+t.maxRate*now.Sub(t.lastCut).Seconds()/recoveryTime.Seconds())
}

// recordThrottled notes that the store has throttled a request.
func (t *userThrottle) recordThrottled(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastCut) < minCutInterval {
		return
	}
	rate := t.rateLocked(now)
	if t.lastCut.IsZero() {
		t.tokens = 0
		t.lastRefill = now
	}
	t.rate = max(rate*cutFactor, t.minRate)
	t.lastCut = now
}

// tryAcquire takes n of what may be sent, or returns how long to wait for them.
func (t *userThrottle) tryAcquire(n float64, now time.Time) (wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastCut.IsZero() || t.maxRate == 0 {
		return 0
	}
	rate := t.rateLocked(now)
	if rate == t.maxRate {
		t.lastCut = time.Time{}
		return 0
	}
	// At least one request of any size may be saved up.
	burst := max(rate*burstSeconds, n)
	t.tokens = min(t.tokens+rate*now.Sub(t.lastRefill).Seconds(), burst)
	t.lastRefill = now
	if t.tokens >= n {
		t.tokens -= n
		return 0
	}
	return time.Duration((n - t.tokens) / rate * float64(time.Second))
}
