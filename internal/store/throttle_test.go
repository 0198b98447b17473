package store

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Users ask and submit everywhere at once, many times over what the service takes, beside a leader's
// own requests. What is over the rate is throttled, whoever sent it: without governors the leader's
// lease goes unrenewed; with them nearly all of its requests are served within a few tries, users get the
// rest, and once they are gone nothing is held back any more.
func TestGovernor(t *testing.T) {
	const rps, controllers, step = 70.0, 7, 5 * time.Millisecond
	play := func(governed bool) (leader, users float64, calm bool) {
		r := rand.New(rand.NewPCG(1, 2))
		var all []*governor
		for range controllers {
			all = append(all, newGovernor(rps, controllers))
		}
		at, bucket := time.Unix(1_000_000, 0), rps // bursts of a second's worth
		ask := func() bool {
			if bucket < 1 {
				return false
			}
			bucket--
			return true
		}
		type try struct {
			at time.Time
			n  int
		}
		var due []try // the leader's requests, which are repeated three times when they are throttled
		var asked, served, got float64
		for s := range int(2 * time.Minute / step) {
			at = at.Add(step)
			bucket = min(bucket+rps*step.Seconds(), rps)
			for i, g := range all {
				if i == 0 && r.Float64() < 20*step.Seconds() { // the leader's
					due = append(due, try{at, 0})
				}
				for i == 0 && len(due) > 0 && !at.Before(due[0].at) {
					x := due[0]
					due = due[1:]
					ok := ask()
					if !ok {
						g.throttled(at)
					}
					if !ok && x.n < 3 {
						due = append(due, try{at.Add(50 * time.Millisecond), x.n + 1})
					} else if s > int(10*time.Second/step) {
						if asked++; ok {
							served++
						}
					}
				}
				if r.Float64() < 40*step.Seconds() && (!governed || g.take(1, at) == 0) { // a user's
					if ask() {
						got++
					} else {
						g.throttled(at)
					}
				}
			}
		}
		calm = true
		at = at.Add(risesIn)
		for _, g := range all {
			for range 100 {
				calm = calm && g.take(1, at) == 0
			}
		}
		return served / asked, got / (2 * 60 * rps), calm
	}
	if leader, users, calm := play(true); leader < 0.97 || users < 0.5 || !calm {
		t.Errorf("of the leader's requests %.3f are served, users have %.2f of the rate; all passes afterwards: %v", leader, users, calm)
	}
	if leader, _, _ := play(false); leader > 0.5 {
		t.Errorf("without governors %.2f of the leader's requests are served: nothing was tested", leader)
	}
	for range 1000 {
		if g := newGovernor(rps, controllers); g.take(1, time.Unix(1, 0)) != 0 {
			t.Fatal("held back though nobody is throttled")
		}
	}
}
