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

// When a new leader may take the tasks of machines that it has not reached for gone.

// failoverBesidePartition runs a failover beside a zone that stays cut off for long, with machines that have
// no other zone to go to. It returns how many seconds after the leader's end all older work
// went on, and how many machines of the zone were still there then; -1 if it did not.
func failoverBesidePartition(
	t *testing.T, prepare func(c *cluster), fall func(c *cluster, leader int, old *leader.Leader),
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
		old := c.nodes[l].leader
		c.mu.Unlock()
		settled := isReconciled(old)
		fall(c, l, old)
		for s := 0.0; s < 60; s += 0.5 {
			sleep(0.5)
			if now := c.leaderOtherThan(old); now != nil && isReconciled(now) && after < 0 {
				after, left = s, len(machinesInZone(c.env.Machines(), "b"))
			}
		}
		if !settled {
			t.Error("the first leader was not reconciled: the scenario shows nothing")
		}
		c.env.PartitionZone("b", false)
		c.env.BlockCommands("b", false)
		c.mu.Lock()
		clear(c.onlyNodeForZone)
		clear(c.isolated)
		c.mu.Unlock()
		for i := range 3 {
			c.store.SetRefused(strings.Fields(nodeNames)[i], false)
			if c.node(i) == nil {
				c.startNode(i)
			}
		}
		sleep(250)
		c.wantDone(0, "j-1")
	})
	return after, left
}

// leaderOtherThan returns a leader other than the one given; nil: there is none.
func (c *cluster) leaderOtherThan(old *leader.Leader) *leader.Leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n != nil && n.leader != nil && n.leader != old {
			return n.leader
		}
	}
	return nil
}

// isReconciled reports whether a leader has no machine left to reach.
func isReconciled(l *leader.Leader) bool {
	all, _ := l.Machines("", 1000)
	for _, m := range all {
		if m.State == scheduler.MachineUnreconciled {
			return false
		}
	}
	return len(all) > 0
}

// The leader's process ends beside a cut zone and starts again: it answers nobody any more,
// and a lease after its end the zone's tasks are gone, though none of its machines is.
// Where it stays away it may be answering workers for all that is known: the machines are given
// back.
func TestLeasesExpireBesidePartitionedZone(t *testing.T) {
	t.Parallel()
	fall := func(back bool) func(*cluster, int, *leader.Leader) {
		return func(c *cluster, l int, _ *leader.Leader) {
			c.env.PartitionZone("b", true)
			sleep(1)
			c.killNode(l)
			if back {
				sleep(2)
				c.startNode(l)
			}
		}
	}
	after, left := failoverBesidePartition(t, func(*cluster) {}, fall(true))
	if after < 8 || after > 16 || left < 5 {
		t.Errorf("all older work went on %v s after the leader's end, with %d machines of the zone left", after, left)
	}
	after, left = failoverBesidePartition(t, func(*cluster) {}, fall(false))
	if after < 12 || left > 2 {
		t.Errorf("with the last leader's node away: %v s, %d machines left", after, left)
	}
	olderEverywhere := func(c *cluster) { c.olderVersion[0], c.olderVersion[1], c.olderVersion[2] = true, true, true }
	after, left = failoverBesidePartition(t, olderEverywhere, fall(true))
	if after < 12 || left > 2 {
		t.Errorf("with an earlier version everywhere: %v s, %d machines left", after, left)
	}
}

// The last leader is cut off together with a zone whose workers it goes on answering. Its
// leases last for longer than those of a leader that has ended; no task of theirs starts
// elsewhere before they are over, or the machines returned.
func TestLeasesLastInPartitionedZoneWithLeader(t *testing.T) {
	t.Parallel()
	for _, more := range []bool{false, true} {
		t.Run(fmt.Sprint("another takeover ", more), func(t *testing.T) {
			failoverBesidePartition(t, func(*cluster) {}, func(c *cluster, l int, old *leader.Leader) {
				c.store.SetRefused(strings.Fields(nodeNames)[l], true)
				c.mu.Lock()
				c.isolated[l], c.onlyNodeForZone["b"] = true, l
				c.mu.Unlock()
				c.env.BlockCommands("b", true)
				if !more {
					return
				}
				// A second leader follows, and ends; it has never been reconciled.
				for range 100 {
					if sleep(0.2); c.leaderOtherThan(old) != nil {
						break
					}
				}
				for i := range 3 {
					if i != l {
						c.killNode(i)
						sleep(0.5)
						c.startNode(i)
					}
				}
			})
		})
	}
}
