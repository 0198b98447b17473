package store

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simulatedRPS         = 70.0
	simulatedControllers = 7
	simulatedStep        = 5 * time.Millisecond
	simulatedDuration    = 2 * time.Minute
	simulatedWarmUp      = 10 * time.Second
	leaderRPS            = 20 // requests of the leader's own
	usersRPS             = 40 // requests of users at each controller
	leaderRetries        = 3
	leaderRetryPause     = 50 * time.Millisecond
)

// loadSimulation simulates controllers whose users ask many times over what the store takes, and a
// leader among them.
type loadSimulation struct {
	random       *rand.Rand
	throttles    []*userThrottle // by controller, the leader first
	useThrottles bool            // users ask the throttles first
	now          time.Time
	storeTokens  float64 // of the store: bursts of a second's worth
	pending      []leaderRequest

	leaderSent, leaderServed, usersServed float64
}

// leaderRequest is one that is repeated where it is throttled.
type leaderRequest struct {
	at  time.Time
	try int
}

func newLoadSimulation(throttled bool) *loadSimulation {
	l := &loadSimulation{random: rand.New(rand.NewPCG(1, 2)), useThrottles: throttled, now: time.Unix(1_000_000, 0), storeTokens: simulatedRPS}
	for range simulatedControllers {
		l.throttles = append(l.throttles, newUserThrottle(simulatedRPS, simulatedControllers))
	}
	return l
}

// send sends a request to the store, and reports whether it was served; otherwise it was throttled.
func (l *loadSimulation) send(throttle *userThrottle) bool {
	if l.storeTokens < 1 {
		throttle.recordThrottled(l.now)
		return false
	}
	l.storeTokens--
	return true
}

// arrives draws whether one of so many requests a second comes in this step.
func (l *loadSimulation) arrives(rps float64) bool {
	return l.random.Float64() < rps*simulatedStep.Seconds()
}

func (l *loadSimulation) run() {
	for elapsed := time.Duration(0); elapsed < simulatedDuration; elapsed += simulatedStep {
		l.now = l.now.Add(simulatedStep)
		l.storeTokens = min(l.storeTokens+simulatedRPS*simulatedStep.Seconds(), simulatedRPS)
		for i, throttle := range l.throttles {
			if i == 0 {
				l.sendLeaderRequests(elapsed > simulatedWarmUp)
			}
			if l.arrives(usersRPS) && (!l.useThrottles || throttle.tryAcquire(1, l.now) == 0) && l.send(throttle) {
				l.usersServed++
			}
		}
	}
}

func (l *loadSimulation) sendLeaderRequests(counted bool) {
	if l.arrives(leaderRPS) {
		l.pending = append(l.pending, leaderRequest{at: l.now})
	}
	for len(l.pending) > 0 && !l.now.Before(l.pending[0].at) {
		request := l.pending[0]
		l.pending = l.pending[1:]
		served := l.send(l.throttles[0])
		if !served && request.try < leaderRetries {
			l.pending = append(l.pending, leaderRequest{at: l.now.Add(leaderRetryPause), try: request.try + 1})
			continue
		}
		if counted {
			l.leaderSent++
		}
		if counted && served {
			l.leaderServed++
		}
	}
}

// servedLeaderShare is the part of the leader's requests that is served within their retries.
func (l *loadSimulation) servedLeaderShare() float64 { return l.leaderServed / l.leaderSent }

// usersRateShare is the part of the store's rate that users get.
func (l *loadSimulation) usersRateShare() float64 {
	return l.usersServed / (simulatedDuration.Seconds() * simulatedRPS)
}

// Users ask and submit everywhere at once, many times over what the store takes, beside a
// leader's own requests. Nearly all of the leader's are served within a few tries, users get
// the rest, and once they are gone nothing is held back any more.
func TestUserThrottleKeepsLeaderServed(t *testing.T) {
	l := newLoadSimulation(true)
	l.run()
	if l.servedLeaderShare() < 0.97 || l.usersRateShare() < 0.5 {
		t.Errorf("%.3f of the leader's requests are served, want 0.97; users have %.2f of the rate, want 0.5",
			l.servedLeaderShare(), l.usersRateShare())
	}
	later := l.now.Add(recoveryTime)
	for i, throttle := range l.throttles {
		for range 100 {
			if wait := throttle.tryAcquire(1, later); wait != 0 {
				t.Fatalf("controller %d holds a request back for %v after the load, want 0", i, wait)
			}
		}
	}
}

// Without throttles the leader's lease would go unrenewed: the load of the test above is one
// that they have to stand.
func TestLoadWithoutUserThrottleStarvesLeader(t *testing.T) {
	l := newLoadSimulation(false)
	l.run()
	if l.servedLeaderShare() > 0.5 {
		t.Errorf("%.2f of the leader's requests are served, want at most 0.5: nothing was tested", l.servedLeaderShare())
	}
}

func TestUserThrottleAdmitsAllUntilStoreThrottles(t *testing.T) {
	for range 1000 {
		throttle := newUserThrottle(simulatedRPS, simulatedControllers)
		if wait := throttle.tryAcquire(1, time.Unix(1, 0)); wait != 0 {
			t.Fatalf("held back for %v, want 0", wait)
		}
	}
}
