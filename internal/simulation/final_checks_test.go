package simulation

import (
	"slices"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/scheduler"
)

// wantAllJobsKnown polls every running controller for every job in expectedDone, until the controller has reported each
// job within 2 s. It fails the test after 15 rounds of polls, 5 s apart. It then requires that the first running
// controller reports all of these jobs as done.
func (c *cluster) wantAllJobsKnown() {
	c.t.Helper()
	for i := range c.controllers {
		if c.controller(i) == nil {
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
			c.t.Errorf("controller %d did not answer polls for %v", i, left)
		}
	}
	for _, id := range c.expectedDone {
		for i := range c.controllers {
			if c.controller(i) != nil {
				c.wantDone(i, id)
				break
			}
		}
	}
}

// leaderMachines returns the leader's view of the machines, or nil if there is no leader.
func (c *cluster) leaderMachines() []scheduler.MachineView {
	i := c.leaderIndex()
	if i < 0 {
		return nil
	}
	list, _ := c.controller(i).leader.Machines("", 1000)
	return list
}

// wantNoVanishedMachines requires that every machine known to the leader exists, unless it is booting or being
// returned.
func (c *cluster) wantNoVanishedMachines() {
	c.t.Helper()
	existing := map[string]bool{}
	for _, m := range c.env.Machines() {
		existing[m.Name] = true
	}
	for _, v := range c.leaderMachines() {
		if !existing[v.Name] && v.State != scheduler.MachineBooting && v.State != scheduler.MachineReturning {
			c.t.Errorf("the leader lists %s as %s, but it does not exist", v.Name, v.State)
		}
	}
}

// countLostTasks returns the number of attempts that were lost with their machine or its lease.
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
