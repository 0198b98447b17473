package store

import (
	"sync"
	"time"
)

// userThrottle is a token bucket that adapts the rate of users' requests to what the store
// accepts, so that the leader's own requests are served, above all its lease renewals. While the
// store throttles no request, every request passes. A 429 multiplies the rate by cutFactor, at most
// once per minCutInterval and never below minRate; then the rate rises linearly.
//
// Without the throttle, users who poll and submit at all controllers at once make one leader after
// the other lose its lease: the store rejects every request over its rate with a 429, including the
// leader's.
type userThrottle struct {
	maxRate float64 // the store's rate limit, per second; 0: unknown
	minRate float64 // part of the users' share that this controller's users always have, per second

	mu         sync.Mutex // guards the fields below
	rate       float64    // per second, right after the last cut
	lastCut    time.Time  // zero: the throttle is inactive
	tokens     float64    // in the bucket at lastRefill
	lastRefill time.Time
}

const (
	// usersShare is the share of the store's rate that the users of all controllers keep while the
	// store throttles.
	usersShare = 0.6
	// cutFactor multiplies the rate at a cut.
	cutFactor = 0.7
	// recoveryTime is how long the rate takes to rise from zero to maxRate.
	recoveryTime = 10 * time.Second
	// minCutInterval is the minimum time between two cuts, so that one takes effect before the next.
	minCutInterval = 250 * time.Millisecond
	// burstSeconds is the size of the bucket, in seconds at the current rate.
	burstSeconds = 0.5
)

// newUserThrottle returns the throttle of one of the given number of controllers. rate is the store's
// rate limit per second; if it is 0 (unknown), the throttle never delays a request.
func newUserThrottle(rate float64, controllers int) *userThrottle {
	return &userThrottle{
		maxRate: rate,
		minRate: rate * usersShare / float64(max(controllers, 1)),
		rate:    rate,
	}
}

// rateLocked returns the rate at now, per second. The caller must hold mu.
func (t *userThrottle) rateLocked(now time.Time) float64 {
	return min(t.maxRate, t.rate+t.maxRate*now.Sub(t.lastCut).Seconds()/recoveryTime.Seconds())
}

// recordThrottled cuts the rate after a 429 from the store, at most once per minCutInterval.
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

// tryAcquire takes n tokens and returns 0, or takes none and returns after how long to try again.
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
	// Without max, a request that needs more tokens than the bucket holds would never pass.
	burst := max(rate*burstSeconds, n)
	t.tokens = min(t.tokens+rate*now.Sub(t.lastRefill).Seconds(), burst)
	t.lastRefill = now
	if t.tokens >= n {
		t.tokens -= n
		return 0
	}
	return time.Duration((n - t.tokens) / rate * float64(time.Second))
}
