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
	simulatedTime        = 2 * time.Minute
	simulatedWarmUp      = 10 * time.Second
	leaderRPS            = 20 // requests of the leader's own
	usersRPS             = 40 // requests of users at each controller
	leaderRetries        = 3
	leaderRetryPause     = 50 * time.Millisecond
)

// load simulates controllers whose users ask many times over what the store takes, and a
// leader among them.
type load struct {
	random    *rand.Rand
	throttles []*userThrottle // by controller, the leader first
	throttled bool            // users ask the throttles first
	now       time.Time
	bucket    float64 // of the store: bursts of a second's worth
	due       []leaderRequest

	leaderAsked, leaderServed, usersServed float64
}

// leaderRequest is one that is repeated where it is throttled.
type leaderRequest struct {
	at  time.Time
	try int
}

func newLoad(throttled bool) *load {
	l := &load{random: rand.New(rand.NewPCG(1, 2)), throttled: throttled, now: time.Unix(1_000_000, 0), bucket: simulatedRPS}
	for range simulatedControllers {
		l.throttles = append(l.throttles, newUserThrottle(simulatedRPS, simulatedControllers))
	}
	return l
}

// ask sends a request to the store, and reports whether it was served; otherwise it was throttled.
func (l *load) ask(throttle *userThrottle) bool {
	if l.bucket < 1 {
		throttle.noteThrottled(l.now)
		return false
	}
	l.bucket--
	return true
}

// arrives draws whether one of so many requests a second comes in this step.
func (l *load) arrives(rps float64) bool { return l.random.Float64() < rps*simulatedStep.Seconds() }

func (l *load) run() {
	for elapsed := time.Duration(0); elapsed < simulatedTime; elapsed += simulatedStep {
		l.now = l.now.Add(simulatedStep)
		l.bucket = min(l.bucket+simulatedRPS*simulatedStep.Seconds(), simulatedRPS)
		for i, throttle := range l.throttles {
			if i == 0 {
				l.askForLeader(elapsed > simulatedWarmUp)
			}
			if l.arrives(usersRPS) && (!l.throttled || throttle.take(1, l.now) == 0) && l.ask(throttle) {
				l.usersServed++
			}
		}
	}
}

func (l *load) askForLeader(counted bool) {
	if l.arrives(leaderRPS) {
		l.due = append(l.due, leaderRequest{at: l.now})
	}
	for len(l.due) > 0 && !l.now.Before(l.due[0].at) {
		request := l.due[0]
		l.due = l.due[1:]
		served := l.ask(l.throttles[0])
		if !served && request.try < leaderRetries {
			l.due = append(l.due, leaderRequest{at: l.now.Add(leaderRetryPause), try: request.try + 1})
			continue
		}
		if counted {
			l.leaderAsked++
		}
		if counted && served {
			l.leaderServed++
		}
	}
}

// leaderShare is the part of the leader's requests that is served within their retries.
func (l *load) leaderShare() float64 { return l.leaderServed / l.leaderAsked }

// usersShare is the part of the store's rate that users get.
func (l *load) usersShare() float64 { return l.usersServed / (simulatedTime.Seconds() * simulatedRPS) }

// Users ask and submit everywhere at once, many times over what the store takes, beside a
// leader's own requests. Nearly all of the leader's are served within a few tries, users get
// the rest, and once they are gone nothing is held back any more.
func TestUserThrottleKeepsLeaderServed(t *testing.T) {
	l := newLoad(true)
	l.run()
	if l.leaderShare() < 0.97 || l.usersShare() < 0.5 {
		t.Errorf("%.3f of the leader's requests are served, want 0.97; users have %.2f of the rate, want 0.5",
			l.leaderShare(), l.usersShare())
	}
	later := l.now.Add(fullRiseTime)
	for i, throttle := range l.throttles {
		for range 100 {
			if wait := throttle.take(1, later); wait != 0 {
				t.Fatalf("controller %d holds a request back for %v after the load, want 0", i, wait)
			}
		}
	}
}

// Without throttles the leader's lease would go unrenewed: the load of the test above is one
// that they have to stand.
func TestLoadWithoutUserThrottleStarvesLeader(t *testing.T) {
	l := newLoad(false)
	l.run()
	if l.leaderShare() > 0.5 {
		t.Errorf("%.2f of the leader's requests are served, want at most 0.5: nothing was tested", l.leaderShare())
	}
}

func TestUserThrottlePassesAllWhileStoreThrottlesNobody(t *testing.T) {
	for range 1000 {
		throttle := newUserThrottle(simulatedRPS, simulatedControllers)
		if wait := throttle.take(1, time.Unix(1, 0)); wait != 0 {
			t.Fatalf("held back for %v, want 0", wait)
		}
	}
}
