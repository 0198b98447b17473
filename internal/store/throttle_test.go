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
	leaderRPS            = 20 // the leader's own requests
	usersRPS             = 40 // users' requests, at each controller
	leaderRetries        = 3
	leaderRetryPause     = 50 * time.Millisecond
)

// loadSimulation simulates controllers, one of which leads, and their users, who together send several
// times the request rate that the store accepts.
type loadSimulation struct {
	random       *rand.Rand
	throttles    []*userThrottle // by controller, the leader first
	useThrottles bool            // users' requests are subject to the throttles
	now          time.Time
	storeTokens  float64 // tokens in the store's bucket, at most the requests of one second
	pending      []leaderRequest

	leaderSent, leaderServed, usersServed float64
}

// leaderRequest is a request of the leader that the leader sends, or sends again, at a given time.
type leaderRequest struct {
	at      time.Time
	retries int
}

func newLoadSimulation(useThrottles bool) *loadSimulation {
	l := &loadSimulation{random: rand.New(rand.NewPCG(1, 2)), useThrottles: useThrottles, now: time.Unix(1_000_000, 0), storeTokens: simulatedRPS}
	for range simulatedControllers {
		l.throttles = append(l.throttles, newUserThrottle(simulatedRPS, simulatedControllers))
	}
	return l
}

// send sends a request to the store and reports whether it was served rather than throttled.
func (l *loadSimulation) send(throttle *userThrottle) bool {
	if l.storeTokens < 1 {
		throttle.recordThrottled(l.now)
		return false
	}
	l.storeTokens--
	return true
}

// arrives draws whether a request arrives in this step, at the given rate per second.
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
		if !served && request.retries < leaderRetries {
			l.pending = append(l.pending, leaderRequest{at: l.now.Add(leaderRetryPause), retries: request.retries + 1})
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

// servedLeaderShare is the share of the leader's requests that is served within the retries.
func (l *loadSimulation) servedLeaderShare() float64 { return l.leaderServed / l.leaderSent }

// usersRateShare is the share of the store's rate that serves users' requests.
func (l *loadSimulation) usersRateShare() float64 {
	return l.usersServed / (simulatedDuration.Seconds() * simulatedRPS)
}

// Users at all controllers together send several times the rate that the store accepts. With the
// throttles, nearly all of the leader's own requests are served within a few retries, so that the
// leader keeps its lease. Users get the rest of the rate, and the throttles are inactive again after
// the load.
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
				t.Fatalf("controller %d delays a request by %v after the load, want 0", i, wait)
			}
		}
	}
}

// The load of TestUserThrottleKeepsLeaderServed starves the leader if users are not throttled, so that
// the leader's lease would expire. Otherwise that test would prove nothing.
func TestLoadWithoutUserThrottleStarvesLeader(t *testing.T) {
	l := newLoadSimulation(false)
	l.run()
	if l.servedLeaderShare() > 0.5 {
		t.Errorf("%.2f of the leader's requests are served, want at most 0.5: the load is too low to test throttling", l.servedLeaderShare())
	}
}

func TestUserThrottleAdmitsAllUntilStoreThrottles(t *testing.T) {
	for range 1000 {
		throttle := newUserThrottle(simulatedRPS, simulatedControllers)
		if wait := throttle.tryAcquire(1, time.Unix(1, 0)); wait != 0 {
			t.Fatalf("request is delayed by %v, want 0", wait)
		}
	}
}
