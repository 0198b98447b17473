package overload

import (
	"testing"
	"time"
)

// crowd is a deployment as its leader feels it: machines that report every 5 s and
// when something changes, a leader that takes so many reports a second, and workers that
// give an unanswered report up after 4 s, which costs as much as two, and lose their
// tasks when none was answered for a lease.
type crowd struct {
	machines int
	rate     float64 // reports a second that the leader takes
	tasks    float64 // tasks that run at once when all is well, and their seconds
	seconds  float64
}

// play returns the share of all tasks that were lost, and how many ended in the last of
// ten minutes, as a share of what the machines could do.
func (c crowd) play(g *Detector) (lost, last float64) {
	now := time.Unix(1_000_000, 0)
	const step = 0.625
	var queue, ended, gone, final, running float64
	gap := step
	for s := 0.0; s < 600; s += step {
		now = now.Add(time.Duration(step * float64(time.Second)))
		wait := queue / c.rate // of what comes in now
		if g != nil {
			g.Observe(time.Duration((step+max(wait-gap, 0))*float64(time.Second)), c.machines, now)
		}
		starts := min(c.tasks-running, c.rate*step/4) // in answers that it gets to
		if g != nil && g.Level() > Normal {
			starts = 0
		}
		// Between the 60th and the 90th second the leader stands nearly still.
		rate := c.rate
		if s > 60 && s < 90 {
			rate /= 20
		}
		ends := running / c.seconds * step
		in := float64(c.machines)/5*step + 2*starts + ends
		if wait > 4 {
			in *= 3 // given up, tried elsewhere, sent back
		}
		if wait > 24 {
			gone += running
			running = 0
		}
		running += starts - ends
		ended += ends
		if s >= 540 {
			final += ends
		}
		queue = min(max(queue+in-rate*step, 0), 60*c.rate) // sockets bound it
	}
	return gone / (ended + gone), final / (60 * c.tasks / c.seconds)
}

// Guards against an overload that keeps itself up: a leader stands nearly still for half a
// minute with more machines than it can serve at once afterwards. Without leaving anything
// out it never gets back; with it, it does, and loses little.
func TestGetsBackByItself(t *testing.T) {
	c := crowd{machines: 1300, rate: 1150, tasks: 4800, seconds: 20}
	if lost, last := c.play(nil); lost < 0.5 || last > 0.5 {
		t.Errorf("without a governor %.2f of the tasks are lost, %.2f done in the end: the story shows no collapse", lost, last)
	}
	lost, last := c.play(New(5*time.Second, 625*time.Millisecond))
	if lost > 0.15 || last < 0.8 {
		t.Errorf("%.2f of the tasks are lost, %.2f done in the end", lost, last)
	}
}

func TestLevels(t *testing.T) {
	const report, every = 5 * time.Second, 625 * time.Millisecond
	g, now := New(report, every), time.Unix(1_000_000, 0)
	look := func(late time.Duration, up int) Level {
		now = now.Add(every + late)
		g.Observe(every+late, up, now)
		return g.Level()
	}
	if look(100*time.Millisecond, 1000) != Normal || g.ScaleOutHeadroom(1000, 50) != 50 {
		t.Errorf("a little late: %v, room for %d", g.Level(), g.ScaleOutHeadroom(1000, 50))
	}
	if look(800*time.Millisecond, 1000) != Degraded || g.ScaleOutHeadroom(1000, 50) != 0 {
		t.Errorf("late: %v, room for %d", g.Level(), g.ScaleOutHeadroom(1000, 50))
	}
	if look(3*time.Second, 1100) != Overloaded {
		t.Errorf("very late: %v", g.Level())
	}
	for range 30 {
		look(0, 1000)
	}
	if g.Level() != Normal || g.ScaleOutHeadroom(980, 50) < 20 || g.ScaleOutHeadroom(980, 50) == 50 {
		t.Errorf("a while later: %v, room for %d beside 980", g.Level(), g.ScaleOutHeadroom(980, 50))
	}
	for range 400 {
		look(0, 1000)
	}
	if g.ScaleOutHeadroom(1000, 50) != 50 {
		t.Errorf("long after: room for %d beside 1000", g.ScaleOutHeadroom(1000, 50))
	}
	for range 8 {
		look(800*time.Millisecond, 1000)
	}
	for range 400 {
		look(0, 100)
	}
	if g.ScaleOutHeadroom(100, 5000) != 5000 {
		t.Errorf("with a tenth of the machines: room for %d", g.ScaleOutHeadroom(100, 5000))
	}
}
