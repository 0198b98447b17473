package simulation

import (
	"testing"
	"time"

	"drumpick/internal/records"
)

// Heartbeats reach the controllers late and the leader changes. The new leader queries all machines
// directly, and each status response overtakes the heartbeat that the worker has just sent. No lease
// expires, and every task starts once. Guards against rejecting overtaken heartbeats (30 of 30 runs
// lost leases): the worker switches to the next controller, the leader queries the machine again for
// lack of a heartbeat, and the next response overtakes the next heartbeat.
func TestStatusResponsesOvertakingHeartbeatsExpireNoLease(t *testing.T) {
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
