package simulation

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

func announceLowerLimits(c *cluster) {
	kb, ops, rps := 2.0, 5, 15.0
	c.cfg.Deployment.Store.Next = config.UpcomingLimits{ValueKB: &kb, TxnOps: &ops, WriteRPS: &rps}
	c.limitLeaderWrites = true
}

// Limits fall without any notice in the settings: a few writes are refused, none for
// ever, and the work goes on.
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
			t.Error("nothing was refused: nothing was tested")
		}
		c.killNode(c.leaderIndex())
		// More submissions than changes are allowed are told to come back, and are taken then.
		at, later := c.upNodeFrom(0), 0
		for i := range 20 {
			if c.submit(at, dependentJob(fmt.Sprint("j-1", i), 1, "j-3")) != 201 {
				later++
			}
		}
		if later == 0 {
			t.Error("never too many changes a second: nothing was tested")
		}
		for i := range 20 {
			got := 0
			for try := 0; got != 201 && got != 200; try++ {
				if try == 20 {
					t.Fatalf("j-1%d: %d after %d s", i, got, try)
				}
				sleep(1)
				got = c.submit(at, dependentJob(fmt.Sprint("j-1", i), 1, "j-3"))
			}
		}
		sleep(140)
		c.wantDone(at, "j-119")
		for _, id := range []string{"j-1", "j-2", "j-3"} {
			c.wantDone(at, id)
		}
		if n := len(c.store.OversizedTransactions()); n > 30 {
			t.Errorf("%d writes were refused: %v", n, c.store.OversizedTransactions()[:30])
		}
	})
}
