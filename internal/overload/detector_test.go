package overload

import (
	"testing"
	"time"
)

const (
	heartbeatInterval = 5 * time.Second
	observeInterval   = 625 * time.Millisecond
)

// clusterModel models the load on a leader. Machines send a heartbeat every 5 s and at each change;
// the leader processes rate heartbeats per second. Workers abandon an unanswered heartbeat after 4 s
// and retry, which costs the leader two more, and lose their tasks when no heartbeat is answered for
// the length of a lease.
type clusterModel struct {
	machines    int
	rate        float64 // heartbeats per second that the leader processes
	tasks       float64 // tasks running concurrently in normal operation
	taskSeconds float64 // run time of each task
}

// simulate runs the model for ten minutes. It returns the share of tasks that were lost, and the
// tasks that ended in the last minute as a share of the machines' capacity. A nil detector sheds
// nothing.
func (c clusterModel) simulate(d *Detector) (lost, doneInLastMinute float64) {
	now := time.Unix(1_000_000, 0)
	const step = 0.625
	var queue, ended, lostTasks, endedInLastMinute, running float64
	gap := step
	for s := 0.0; s < 600; s += step {
		now = now.Add(time.Duration(step * float64(time.Second)))
		wait := queue / c.rate // queueing delay, in seconds, of what arrives now
		if d != nil {
			d.Observe(time.Duration((step+max(wait-gap, 0))*float64(time.Second)), c.machines, now)
		}
		starts := min(c.tasks-running, c.rate*step/4) // limited by the responses that the leader sends
		if d != nil && d.Level() > Normal {
			starts = 0
		}
		// Injected fault: the leader is nearly stalled from 60 s to 90 s.
		rate := c.rate
		if s > 60 && s < 90 {
			rate /= 20
		}
		ends := running / c.taskSeconds * step
		arriving := float64(c.machines)/5*step + 2*starts + ends
		if wait > 4 {
			arriving *= 3 // abandoned, retried at another controller, relayed back to the leader
		}
		if wait > 24 {
			lostTasks += running
			running = 0
		}
		running += starts - ends
		ended += ends
		if s >= 540 {
			endedInLastMinute += ends
		}
		queue = min(max(queue+arriving-rate*step, 0), 60*c.rate) // socket buffers bound the queue
	}
	return lostTasks / (ended + lostTasks), endedInLastMinute / (60 * c.tasks / c.taskSeconds)
}

// Guards against an overload that sustains itself: the leader stalls for 30 s while it has more
// machines than it can catch up with. Without load shedding it never recovers; with load shedding
// it recovers and loses few tasks.
func TestLeaderRecoversByShedding(t *testing.T) {
	c := clusterModel{machines: 1300, rate: 1150, tasks: 4800, taskSeconds: 20}
	if lost, last := c.simulate(nil); lost < 0.5 || last > 0.5 {
		t.Errorf("without a detector: share of tasks lost %.2f, throughput of the last minute %.2f, want a collapse", lost, last)
	}
	lost, last := c.simulate(New(heartbeatInterval, observeInterval))
	if lost > 0.15 || last < 0.8 {
		t.Errorf("share of tasks lost %.2f, throughput of the last minute %.2f, want at most 0.15 and at least 0.8", lost, last)
	}
}

// The level follows the lag of the leader's timer, and the headroom follows the number of machines
// that were up when the leader was late. Both return to normal once the leader is on time again.
func TestLevelAndHeadroomFollowLateness(t *testing.T) {
	d, now := New(heartbeatInterval, observeInterval), time.Unix(1_000_000, 0)
	observe := func(late time.Duration, up int) Level {
		now = now.Add(observeInterval + late)
		d.Observe(observeInterval+late, up, now)
		return d.Level()
	}
	if observe(100*time.Millisecond, 1000) != Normal || d.ScaleOutHeadroom(1000, 50) != 50 {
		t.Errorf("slightly late: level %v, headroom %d", d.Level(), d.ScaleOutHeadroom(1000, 50))
	}
	if observe(800*time.Millisecond, 1000) != Degraded || d.ScaleOutHeadroom(1000, 50) != 0 {
		t.Errorf("late: level %v, headroom %d", d.Level(), d.ScaleOutHeadroom(1000, 50))
	}
	if observe(3*time.Second, 1100) != Overloaded {
		t.Errorf("very late: level %v", d.Level())
	}
	for range 30 {
		observe(0, 1000)
	}
	if d.Level() != Normal || d.ScaleOutHeadroom(980, 50) < 20 || d.ScaleOutHeadroom(980, 50) == 50 {
		t.Errorf("shortly after recovery: level %v, headroom %d with 980 machines", d.Level(), d.ScaleOutHeadroom(980, 50))
	}
	for range 400 {
		observe(0, 1000)
	}
	if d.ScaleOutHeadroom(1000, 50) != 50 {
		t.Errorf("long after recovery: headroom %d with 1000 machines", d.ScaleOutHeadroom(1000, 50))
	}
	for range 8 {
		observe(800*time.Millisecond, 1000)
	}
	for range 400 {
		observe(0, 100)
	}
	if d.ScaleOutHeadroom(100, 5000) != 5000 {
		t.Errorf("with a tenth of the machines: headroom %d", d.ScaleOutHeadroom(100, 5000))
	}
}
