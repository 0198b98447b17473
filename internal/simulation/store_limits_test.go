package simulation

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// announceLowerLimits announces lower store limits in the configuration, and makes leaders limit their writes.
func announceLowerLimits(c *cluster) {
	kb, ops, rps := 2.0, 5, 15.0
	c.cfg.Deployment.Store.Next = config.UpcomingLimits{ValueKB: &kb, TxnOps: &ops, WriteRPS: &rps}
	c.limitLeaderWrites = true
}

// The store's limits are lowered without an announcement in the configuration. A few writes may be rejected, none of
// them permanently, and no job may be lost.
func TestUnannouncedLowerLimitsLoseNothing(t *testing.T) {
	runScenario(t, func(c *cluster) {
		c.env.RunTime = func(task string) time.Duration { return time.Duration(3+len(task)*7%9) * time.Second }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 1200, EstimateS: 6})
		c.submit(0, records.Job{ID: "j-2", Tasks: 300, EstimateS: 6})
		sleep(20.4)
		c.store.SetLimits(2, 5, 5)
		c.submit(1, records.Job{ID: "j-3", Tasks: 300, EstimateS: 6})
		sleep(20)
		refused := len(c.store.OversizedTransactions())
		if refused == 0 {
			t.Error("no write was rejected as too large, so the case is not tested")
		}
		c.killController(c.leaderIndex())
		// Submissions above the write rate limit are rejected, and accepted when they are retried.
		controller, rejected := c.upControllerFrom(0), 0
		for i := range 20 {
			if c.submit(controller, dependentJob(fmt.Sprint("j-1", i), 1, "j-3")) != 201 {
				rejected++
			}
		}
		if rejected == 0 {
			t.Error("no submission exceeded the write rate limit, so the case is not tested")
		}
		for i := range 20 {
			status := 0
			for try := 0; status != 201 && status != 200; try++ {
				if try == 20 {
					t.Fatalf("j-1%d: %d after %d s", i, status, try)
				}
				sleep(1)
				status = c.submit(controller, dependentJob(fmt.Sprint("j-1", i), 1, "j-3"))
			}
		}
		sleep(140)
		c.wantDone(controller, "j-119")
		for _, id := range []string{"j-1", "j-2", "j-3"} {
			c.wantDone(controller, id)
		}
		if n := len(c.store.OversizedTransactions()); n > 30 {
			t.Errorf("%d writes were rejected as too large: %v", n, c.store.OversizedTransactions()[:30])
		}
	})
}
