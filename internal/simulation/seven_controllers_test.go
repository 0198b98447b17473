package simulation

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/records"
)

// Seven controllers, heartbeats every 1.5 s, and gangs whose tasks take half a machine each. All
// controllers restart one by one, one takes most of a heartbeat interval to respond, and the store is
// down for longer than a lease. No gang loses work: no machine's lease expires, and every task starts
// once.
func TestSevenControllersKeepGangsRunning(t *testing.T) {
	const controllers, gangs = 7, 12
	runScenarioWith(t, func(c *cluster) {
		c.cfg.Deployment.Nodes = controllers
		c.cfg.Deployment.Workers.HeartbeatS, c.leaderLease = 1.5, 3*time.Second
		c.cfg.Options.Guarantees = true
		c.env.HeartbeatInterval, c.env.ZoneCapacity = 1500*time.Millisecond, 20
		c.env.GangStartTimeout, c.env.GangPeerTimeout = 30*time.Second, 5*time.Second
	}, func(c *cluster) {
		c.env.RunTime = func(string) time.Duration { return 150 * time.Second }
		tasks := 0
		submit := func(n int) {
			size := 2 + 2*(n%3)
			tasks += size
			j := records.Job{
				ID: fmt.Sprint("j-", n), Shape: records.ShapeGang, Tasks: size, CPUs: 2,
				EstimateS: 150, CheckpointS: 60, SaveS: 4, OneZone: true,
			}
			if got := c.submit(n%controllers, j); got != 201 {
				t.Errorf("gang %d: status %d", n, got)
			}
		}
		sleep(3)
		for n := range gangs / 2 {
			submit(n)
		}
		sleep(36)
		c.mu.Lock()
		c.delays[(c.leaderIndexLocked()+1)%controllers] = 700 * time.Millisecond
		c.mu.Unlock()
		for i := range controllers {
			c.killController(i)
			sleep(5)
			c.startController(i)
			sleep(3)
		}
		for n := range gangs / 2 {
			submit(gangs/2 + n)
		}
		sleep(2)
		c.store.SetOutage(true)
		sleep(20)
		c.store.SetOutage(false)
		sleep(240)
		for n := range gangs {
			for i := range controllers {
				c.wantDone(i, fmt.Sprint("j-", n))
			}
		}
		if got := c.env.Starts(); got != tasks {
			t.Errorf("%d starts for %d tasks", got, tasks)
		}
	})
}
