package simulation

import (
	"slices"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/scheduler"
)

// wantAllJobsKnown asks every controller for every accepted job as users do, every 5 s for 75 s at the
// most, and wants an answer to each within 2 s, and all done in the end.
func (c *cluster) wantAllJobsKnown() {
	c.t.Helper()
	for i := range c.nodes {
		if c.node(i) == nil {
			continue
		}
		left := slices.Clone(c.expectedDone)
		for range 15 {
			left = slices.DeleteFunc(left, func(id string) bool {
				began := time.Now()
				status, _ := c.ask(i, peer.MethodPoll, id)
				return status == 200 && time.Since(began) <= 2*time.Second
			})
			if len(left) == 0 {
				break
			}
			sleep(5)
		}
		if len(left) > 0 {
			c.t.Errorf("node %d answers nothing about %v", i, left)
		}
	}
	for _, id := range c.expectedDone {
		for i := range c.nodes {
			if c.node(i) != nil {
				c.wantDone(i, id)
				break
			}
		}
	}
}

// leaderMachines returns the machines as the leader sees them; nil: nobody leads.
func (c *cluster) leaderMachines() []scheduler.MachineView {
	i := c.leaderIndex()
	if i < 0 {
		return nil
	}
	list, _ := c.node(i).leader.Machines("", 1000)
	return list
}

// wantNoVanishedMachines wants every machine that the leader or the store knows to be there, or returned.
func (c *cluster) wantNoVanishedMachines() {
	c.t.Helper()
	here := map[string]bool{}
	for _, m := range c.env.Machines() {
		here[m.Name] = true
	}
	for _, v := range c.leaderMachines() {
		if !here[v.Name] && v.State != scheduler.MachineBooting && v.State != scheduler.MachineReturning {
			c.t.Errorf("the leader has %s as %s, which does not exist", v.Name, v.State)
		}
	}
}

// countLostTasks counts the tasks that ended with their machine or lease.
func countLostTasks(c *cluster) int {
	n := 0
	ran, _ := c.env.History()
	for _, r := range ran {
		if r.Cause == causeLost {
			n++
		}
	}
	return n
}
