package overload

import (
	"testing"
	"time"
)

const (
	heartbeatInterval = 5 * time.Second
	observeInterval   = 625 * time.Millisecond
)

// clusterModel is a model of a cluster as its leader experiences it: machines that send a heartbeat
// every 5 s and when something changes, a leader that processes so many heartbeats a second, and
// workers that give up on an unanswered heartbeat after 4 s, which costs as much as two, and lose
// their tasks when none was answered for a lease.
type clusterModel struct {
	machines    int
	rate        float64 // heartbeats a second that the leader processes
	tasks       float64 // that run at once when all is well
	taskSeconds float64 // how long each runs
}

// simulate returns the share of all tasks that were lost, and how many ended in the last of
// ten minutes, as a share of what the machines could do. Without a detector nothing is shed.
func (c clusterModel) simulate(d *Detector) (lost, doneInLastMinute float64) {
	now := time.Unix(1_000_000, 0)
	const step = 0.625
	var queue, ended, gone, endedInLastMinute, running float64
	gap := step
	for s := 0.0; s < 600; s += step {
		now = now.Add(time.Duration(step * float64(time.Second)))
		wait := queue / c.rate // of what arrives now
		if d != nil {
			d.Observe(time.Duration((step+max(wait-gap, 0))*float64(time.Second)), c.machines, now)
		}
		starts := min(c.tasks-running, c.rate*step/4) // in the responses that the leader gets to
		if d != nil && d.Level() > Normal {
			starts = 0
		}
		// Between the 60th and the 90th second the leader stands nearly still.
		rate := c.rate
		if s > 60 && s < 90 {
			rate /= 20
		}
		ends := running / c.taskSeconds * step
		arriving := float64(c.machines)/5*step + 2*starts + ends
		if wait > 4 {
			arriving *= 3 // given up, retried elsewhere, sent back
		}
		if wait > 24 {
			gone += running
			running = 0
		}
		running += starts - ends
		ended += ends
		if s >= 540 {
			endedInLastMinute += ends
		}
		queue = min(max(queue+arriving-rate*step, 0), 60*c.rate) // sockets bound it
	}
	return gone / (ended + gone), endedInLastMinute / (60 * c.tasks / c.taskSeconds)
}

// A leader stands nearly still for half a minute, with more machines than it can serve at once
// afterwards. Without shedding load it never recovers, as the overload keeps itself up; with it, it
// does, and loses little.
func TestLeaderRecoversByShedding(t *testing.T) {
	c := clusterModel{machines: 1300, rate: 1150, tasks: 4800, taskSeconds: 20}
	if lost, last := c.simulate(nil); lost < 0.5 || last > 0.5 {
		t.Errorf("without a detector %.2f of the tasks are lost and %.2f done in the end, want a collapse", lost, last)
	}
	lost, last := c.simulate(New(heartbeatInterval, observeInterval))
	if lost > 0.15 || last < 0.8 {
		t.Errorf("%.2f of the tasks are lost and %.2f done in the end, want at most 0.15 and at least 0.8", lost, last)
	}
}

// Levels follow the lateness, and the headroom what was served when the leader was late; both are
// back as before after a while.
func TestLevelAndHeadroomFollowLateness(t *testing.T) {
	d, now := New(heartbeatInterval, observeInterval), time.Unix(1_000_000, 0)
	observe := func(late time.Duration, up int) Level {
		now = now.Add(observeInterval + late)
		d.Observe(observeInterval+late, up, now)
		return d.Level()
	}
	if observe(100*time.Millisecond, 1000) != Normal || d.ScaleOutHeadroom(1000, 50) != 50 {
		t.Errorf("a little late: %v, room for %d", d.Level(), d.ScaleOutHeadroom(1000, 50))
	}
	if observe(800*time.Millisecond, 1000) != Degraded || d.ScaleOutHeadroom(1000, 50) != 0 {
		t.Errorf("late: %v, room for %d", d.Level(), d.ScaleOutHeadroom(1000, 50))
	}
	if observe(3*time.Second, 1100) != Overloaded {
		t.Errorf("very late: %v", d.Level())
	}
	for range 30 {
		observe(0, 1000)
	}
	if d.Level() != Normal || d.ScaleOutHeadroom(980, 50) < 20 || d.ScaleOutHeadroom(980, 50) == 50 {
		t.Errorf("a while later: %v, room for %d beside 980", d.Level(), d.ScaleOutHeadroom(980, 50))
	}
	for range 400 {
		observe(0, 1000)
	}
	if d.ScaleOutHeadroom(1000, 50) != 50 {
		t.Errorf("long after: room for %d beside 1000", d.ScaleOutHeadroom(1000, 50))
	}
	for range 8 {
		observe(800*time.Millisecond, 1000)
	}
	for range 400 {
		observe(0, 100)
	}
	if d.ScaleOutHeadroom(100, 5000) != 5000 {
		t.Errorf("with a tenth of the machines: room for %d", d.ScaleOutHeadroom(100, 5000))
	}
}
