package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"drumpick/internal/leader"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// These tests check when a new leader treats the tasks of unreached machines as ended.

// reconciliationAfterFailover runs a failover during a long partition of zone b, with no free capacity in the other
// zone. It returns the number of seconds from failOver until a new leader has reconciled all machines, and the number
// of machines of zone b that are left then. after is -1 if no new leader has reconciled within 60 s.
func reconciliationAfterFailover(
	t *testing.T, prepare func(c *cluster), failOver func(c *cluster, oldIndex int, old *leader.Leader),
) (after float64, left int) {
	after = -1
	runScenarioWith(t, func(c *cluster) {
		c.cfg.Options.ZoneHealth = true
		c.env.ZoneCapacity = 5
		prepare(c)
	}, func(c *cluster) {
		c.env.RunTime = func(task string) time.Duration { return 3 * mixedRunTime(task) }
		sleep(2)
		c.submit(0, records.Job{ID: "j-1", Tasks: 160, EstimateS: 20})
		sleep(40)
		l := c.leaderIndex()
		c.mu.Lock()
		old := c.controllers[l].leader
		c.mu.Unlock()
		reconciled := isReconciled(old)
		failOver(c, l, old)
		for s := 0.0; s < 60; s += 0.5 {
			sleep(0.5)
			if now := c.leaderOtherThan(old); now != nil && isReconciled(now) && after < 0 {
				after, left = s, len(machinesInZone(c.env.Machines(), "b"))
			}
		}
		if !reconciled {
			t.Error("the first leader was not reconciled before the failover")
		}
		c.env.PartitionZone("b", false)
		c.env.BlockCommands("b", false)
		c.mu.Lock()
		clear(c.onlyControllerForZone)
		clear(c.isolated)
		c.mu.Unlock()
		for i := range 3 {
			c.store.SetRefused(strings.Fields(controllerNames)[i], false)
			if c.controller(i) == nil {
				c.startController(i)
			}
		}
		sleep(250)
		c.wantDone(0, "j-1")
	})
	return after, left
}

// leaderOtherThan returns a leader other than old, or nil if there is none.
func (c *cluster) leaderOtherThan(old *leader.Leader) *leader.Leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.controllers {
		if n != nil && n.leader != nil && n.leader != old {
			return n.leader
		}
	}
	return nil
}

// isReconciled reports whether a leader has machines and none of them is unreconciled.
func isReconciled(l *leader.Leader) bool {
	all, _ := l.Machines("", 1000)
	for _, m := range all {
		if m.State == scheduler.MachineUnreconciled {
			return false
		}
	}
	return len(all) > 0
}

// The leader's process is killed during a zone partition and restarts. The restart proves that the old process can
// renew no lease, so one lease duration after the kill the zone's tasks have ended and the zone's machines are kept.
// If the process does not restart, the new leader cannot exclude that the old process still renews leases, and returns
// the machines.
func TestLeasesExpireInPartitionedZone(t *testing.T) {
	t.Parallel()
	failOver := func(restarts bool) func(*cluster, int, *leader.Leader) {
		return func(c *cluster, l int, _ *leader.Leader) {
			c.env.PartitionZone("b", true)
			sleep(1)
			c.killController(l)
			if restarts {
				sleep(2)
				c.startController(l)
			}
		}
	}
	after, left := reconciliationAfterFailover(t, func(*cluster) {}, failOver(true))
	if after < 8 || after > 16 || left < 5 {
		t.Errorf("reconciled %v s after the leader restarted, with %d machines of the zone left", after, left)
	}
	after, left = reconciliationAfterFailover(t, func(*cluster) {}, failOver(false))
	if after < 12 || left > 2 {
		t.Errorf("with the last leader down: reconciled after %v s, with %d machines of the zone left", after, left)
	}
	olderEverywhere := func(c *cluster) { c.olderVersion[0], c.olderVersion[1], c.olderVersion[2] = true, true, true }
	after, left = reconciliationAfterFailover(t, olderEverywhere, failOver(true))
	if after < 12 || left > 2 {
		t.Errorf("with an older version everywhere: reconciled after %v s, with %d machines of the zone left", after, left)
	}
}

// The last leader is partitioned together with a zone and keeps renewing the leases of the zone's workers. So these
// leases end later than after a leader's crash. No task of these workers may start elsewhere before the leases expire
// or the machines are returned.
func TestLeasesHoldInZonePartitionedWithLeader(t *testing.T) {
	t.Parallel()
	for _, secondTakeover := range []bool{false, true} {
		t.Run(fmt.Sprint("second takeover ", secondTakeover), func(t *testing.T) {
			reconciliationAfterFailover(t, func(*cluster) {}, func(c *cluster, l int, old *leader.Leader) {
				c.store.SetRefused(strings.Fields(controllerNames)[l], true)
				c.mu.Lock()
				c.isolated[l], c.onlyControllerForZone["b"] = true, l
				c.mu.Unlock()
				c.env.BlockCommands("b", true)
				if !secondTakeover {
					return
				}
				// A second leader is elected and is killed before it is reconciled.
				for range 100 {
					if sleep(0.2); c.leaderOtherThan(old) != nil {
						break
					}
				}
				for i := range 3 {
					if i != l {
						c.killController(i)
						sleep(0.5)
						c.startController(i)
					}
				}
			})
		})
	}
}
