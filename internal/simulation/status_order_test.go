package simulation

import (
	"testing"
	"time"

	"drumpick/internal/records"
)

// Heartbeats reach the controllers late and the leader changes. The new leader queries all machines
// directly, and each status response overtakes the heartbeat that the worker has just sent. No lease
// expires, and every task starts once. Guards against a leader that rejects overtaken heartbeats, with which 30 of 30
// runs lost leases: the worker then switches to the next controller, the leader queries the machine again because it
// got no heartbeat, and the next response overtakes the next heartbeat.
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
		for i := range c.controllers {
			c.delays[i] = c.env.HeartbeatInterval * 7 / 15
		}
		c.mu.Unlock()
		sleep(3)
		for range 6 {
			leader := c.leaderIndex()
			c.killController(leader)
			sleep(4)
			c.startController(leader)
			sleep(20)
		}
		c.mu.Lock()
		clear(c.delays)
		c.mu.Unlock()
		sleep(120)
		for i := range c.controllers {
			c.wantDone(i, "j-1")
		}
		if got := c.env.Starts(); got != tasks {
			t.Errorf("%d starts for %d tasks", got, tasks)
		}
	})
}
