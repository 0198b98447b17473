package simulation

import (
	"slices"
	"testing"
	"time"

	"drumpick/internal/records"
)

// Tests of heartbeats that followers relay to the leader.

// countHeartbeats returns the number of heartbeats that workers send to each controller in the next s seconds.
func (c *cluster) countHeartbeats(s float64) (n []int) {
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

// runRelayScenario runs a scenario that begins while the 48 tasks of a job run, and requires that the job is done.
func runRelayScenario(t *testing.T, prepare, scenario func(c *cluster)) {
	runScenarioWith(t, func(c *cluster) { prepare(c); c.env.ZoneCapacity = 6 }, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 90 * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 48, EstimateS: 90})
		sleep(36)
		scenario(c)
		sleep(150)
		for i := range 3 {
			if c.controller(i) != nil {
				c.wantDone(i, "j-1")
			}
		}
	})
}

// Workers send about equally many heartbeats to each follower and none to the leader. The followers relay all of them
// to the leader.
func TestHeartbeatsAreRelayedEvenly(t *testing.T) {
	runRelayScenario(t, func(*cluster) {}, func(c *cluster) {
		leader := c.leaderIndex()
		n := c.countHeartbeats(12)
		a, b := n[(leader+1)%3], n[(leader+2)%3]
		if n[leader] > 0 || a == 0 || b == 0 || a > 2*b || b > 2*a {
			t.Errorf("heartbeats by controller with leader %d: %v", leader, n)
		}
		if starts := c.env.Starts(); starts != 48 {
			t.Errorf("%d starts for 48 tasks", starts)
		}
	})
}

// A follower that relays heartbeats is killed: its workers switch to another controller, and no
// work is lost. After its restart it receives heartbeats again.
func TestWorkersSwitchFromDeadFollower(t *testing.T) {
	runRelayScenario(t, func(*cluster) {}, func(c *cluster) {
		leader := c.leaderIndex()
		follower := (leader + 1) % 3
		c.killController(follower)
		sleep(8)
		if n := c.countHeartbeats(8); n[follower] > 0 || n[(leader+2)%3] == 0 {
			t.Errorf("heartbeats by controller with leader %d and %d dead: %v", leader, follower, n)
		}
		c.startController(follower)
		sleep(30)
		if n := c.countHeartbeats(8); n[follower] == 0 {
			t.Errorf("heartbeats by controller with leader %d and %d restarted: %v", leader, follower, n)
		}
		if starts := c.env.Starts(); starts != 48 {
			t.Errorf("%d starts for 48 tasks", starts)
		}
	})
}

// The leader is partitioned from its peers: workers send their heartbeats to the leader itself, and no
// lease expires.
func TestIsolatedLeaderReceivesHeartbeats(t *testing.T) {
	runRelayScenario(t, func(*cluster) {}, func(c *cluster) {
		leader := c.leaderIndex()
		c.setIsolated(leader, true)
		sleep(8)
		if n := c.countHeartbeats(8); n[leader] == 0 {
			t.Errorf("heartbeats by controller with isolated leader %d: %v", leader, n)
		}
		c.setIsolated(leader, false)
		if starts := c.env.Starts(); starts != 48 {
			t.Errorf("%d starts for 48 tasks", starts)
		}
	})
}

// The leader is of a version without heartbeat relay: workers are redirected to the leader.
func TestLeaderOfOlderVersionReceivesHeartbeats(t *testing.T) {
	runRelayScenario(t, func(c *cluster) { c.olderVersion = map[int]bool{0: true, 1: true, 2: true} }, func(c *cluster) {
		c.mu.Lock()
		for i := range 3 {
			c.olderVersion[i] = i == c.leaderIndexLocked()
		}
		c.mu.Unlock()
		for i := range 3 {
			if !c.olderVersion[i] {
				c.killController(i)
				c.startController(i)
			}
		}
		leader := c.leaderIndex()
		sleep(6)
		if n := c.countHeartbeats(12); n[leader] == 0 {
			t.Errorf("heartbeats by controller with leader %d: %v", leader, n)
		}
		if starts := c.env.Starts(); starts != 48 {
			t.Errorf("%d starts for 48 tasks", starts)
		}
	})
}
