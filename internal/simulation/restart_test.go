package simulation

import (
	"testing"

	"drumpick/internal/records"
)

// The leader is killed while tasks run: they keep running, and none starts twice.
func TestFailoverKeepsRunningTasks(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		old := c.leaderIndex()
		starts := c.env.Starts()
		c.killController(old)
		sleep(8)
		if now := c.leaderIndex(); now < 0 || now == old {
			t.Fatalf("controller %d leads after controller %d died", now, old)
		}
		sleep(40)
		c.wantDone((old+1)%3, "j-1")
		if c.env.Starts() != starts {
			t.Errorf("%d tasks were started again", c.env.Starts()-starts)
		}
	})
}

// All controllers are killed at once and restart within the workers' lease: no running task is lost.
func TestRestartOfAllControllersKeepsRunningTasks(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 6, EstimateS: 30})
		sleep(32)
		starts := c.env.Starts()
		for i := range 3 {
			c.killController(i)
		}
		sleep(3)
		for i := range 3 {
			c.startController(i)
		}
		sleep(50)
		c.wantDone(0, "j-1")
		if c.env.Starts() != starts {
			t.Errorf("%d tasks were started again", c.env.Starts()-starts)
		}
	})
}

// A machine that hangs during a failover may resume with its tasks. The tasks may start elsewhere only after the
// machine has been returned.
func TestMachineHangingThroughFailoverRunsNothingTwice(t *testing.T) {
	runScenario(t, func(c *cluster) {
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 8, EstimateS: 30})
		sleep(32)
		ms := c.env.Machines()
		ms[0].SetHung(true)
		c.killController(c.leaderIndex())
		sleep(9)
		ms[0].SetHung(false)
		sleep(100)
		for i := range 3 {
			if c.controller(i) != nil {
				c.wantDone(i, "j-1")
			}
		}
	})
}
