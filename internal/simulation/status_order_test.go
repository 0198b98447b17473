package simulation

import (
	"testing"
	"time"

	"drumpick/internal/records"
)

// The controllers are slow to take heartbeats in, and the leader changes: the new one asks all
// machines directly, and each answer overtakes the heartbeat that its worker has just sent. A
// heartbeat that is refused for that sends its worker on to the next controller, the machine is
// asked again since it has sent none, and the next answer overtakes the next heartbeat. No
// lease ends: every task starts once. (Before such heartbeats were answered: 30 of 30 runs lost
// leases.)
func TestStatusAnswersOvertakingHeartbeatsExpireNoLease(t *testing.T) {
	runScenarioWith(t, func(c *cluster) {
		c.cfg.Deployment.Workers.HeartbeatS, c.leaderLease = 1.5, 3*time.Second
		c.env.HeartbeatInterval, c.env.ZoneCapacity = 1500*time.Millisecond, 20
	}, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 200 * time.Second }
		const tasks = 64
		sleep(3)
		c.submit(0, records.Job{ID: "j-1", Tasks: tasks, EstimateS: 200})
		sleep(33)
		c.mu.Lock()
		for i := range c.nodes {
			c.delays[i] = c.env.HeartbeatInterval * 7 / 15
		}
		c.mu.Unlock()
		sleep(3)
		for range 6 {
			leader := c.leaderIndex()
			c.killNode(leader)
			sleep(4)
			c.startNode(leader)
			sleep(20)
		}
		c.mu.Lock()
		clear(c.delays)
		c.mu.Unlock()
		sleep(120)
		for i := range c.nodes {
			c.wantDone(i, "j-1")
		}
		if got := c.env.Starts(); got != tasks {
			t.Errorf("%d starts for %d tasks", got, tasks)
		}
	})
}
