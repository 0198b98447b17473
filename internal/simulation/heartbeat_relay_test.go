package simulation

import (
	"slices"
	"testing"
	"time"

	"drumpick/internal/records"
)

// What becomes of workers' heartbeats that controllers relay.

// heartbeatsDuring returns how many heartbeats came to each node while a scenario went on for a time.
func (c *cluster) heartbeatsDuring(s float64) (n []int) {
	c.mu.Lock()
	before := slices.Clone(c.heartbeatCounts)
	c.mu.Unlock()
	sleep(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range before {
		n = append(n, c.heartbeatCounts[i]-before[i])
	}
	return n
}

func runRelayScenario(t *testing.T, prepare, scenario func(c *cluster)) {
	runScenarioWith(t, func(c *cluster) { prepare(c); c.env.ZoneCapacity = 6 }, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 90 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 48, EstimateS: 90})
		sleep(36)
		scenario(c)
		sleep(150)
		for i := range 3 {
			if c.node(i) != nil {
				c.wantDone(i, "j-1")
			}
		}
	})
}

// Workers send their heartbeats to the followers, about as many to each, and the leader learns of them all.
func TestHeartbeatsAreRelayedEvenly(t *testing.T) {
	runRelayScenario(t, func(*cluster) {}, func(c *cluster) {
		l := c.leaderIndex()
		n := c.heartbeatsDuring(12)
		a, b := n[(l+1)%3], n[(l+2)%3]
		if n[l] > 0 || a == 0 || b == 0 || a > 2*b || b > 2*a {
			t.Errorf("heartbeats by node, %d leading: %v", l, n)
		}
		if starts := c.env.Starts(); starts != 48 {
			t.Errorf("%d starts for 48 tasks", starts)
		}
	})
}

// A follower that relays heartbeats dies: its workers find another controller, and nothing is lost. When it is back,
// it takes its share again.
func TestWorkersLeaveDeadRelay(t *testing.T) {
	runRelayScenario(t, func(*cluster) {}, func(c *cluster) {
		l := c.leaderIndex()
		other := (l + 1) % 3
		c.killNode(other)
		sleep(8)
		if n := c.heartbeatsDuring(8); n[other] > 0 || n[(l+2)%3] == 0 {
			t.Errorf("heartbeats by node, %d leading, %d dead: %v", l, other, n)
		}
		c.startNode(other)
		sleep(30)
		if n := c.heartbeatsDuring(8); n[other] == 0 {
			t.Errorf("heartbeats by node, %d leading, %d back: %v", l, other, n)
		}
		if starts := c.env.Starts(); starts != 48 {
			t.Errorf("%d starts for 48 tasks", starts)
		}
	})
}

// No controller reaches the leader: workers send their heartbeats to the leader itself, and no lease ends.
func TestIsolatedLeaderReceivesHeartbeats(t *testing.T) {
	runRelayScenario(t, func(*cluster) {}, func(c *cluster) {
		l := c.leaderIndex()
		c.setIsolated(l, true)
		sleep(8)
		if n := c.heartbeatsDuring(8); n[l] == 0 {
			t.Errorf("heartbeats by node, %d leading and isolated: %v", l, n)
		}
		c.setIsolated(l, false)
		if starts := c.env.Starts(); starts != 48 {
			t.Errorf("%d starts for 48 tasks", starts)
		}
	})
}

// A version that relays nothing leads, or follows: workers are sent to the leader.
func TestVersionWithoutRelayStillHearsWorkers(t *testing.T) {
	runRelayScenario(t, func(c *cluster) { c.olderVersion = map[int]bool{0: true, 1: true, 2: true} }, func(c *cluster) {
		c.mu.Lock()
		for i := range 3 {
			c.olderVersion[i] = i == c.leaderIndexLocked()
		}
		c.mu.Unlock()
		for i := range 3 {
			if !c.olderVersion[i] {
				c.killNode(i)
				c.startNode(i)
			}
		}
		l := c.leaderIndex()
		sleep(6)
		if n := c.heartbeatsDuring(12); n[l] == 0 {
			t.Errorf("heartbeats by node, %d leading: %v", l, n)
		}
		if starts := c.env.Starts(); starts != 48 {
			t.Errorf("%d starts for 48 tasks", starts)
		}
	})
}
