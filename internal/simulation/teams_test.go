package simulation

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// These tests run many teams at their limits. The leader updates the usage of a team when an attempt starts or ends. No
// fault may make a team use more than its limit, or wait while it is below its limit and machines have room.

const teamCount = 48

// runTeamsAtLimit runs a scenario with three controllers in which each team has ten times as much work as its limit
// lets run at once. At the end every job must be done or cancelled. Each scenario contains several faults, because the
// race detector allows only some tens of thousands of timers per process.
func runTeamsAtLimit(t *testing.T, prepare, scenario func(c *cluster)) {
	t.Helper()
	const limit, jobs = 2, teamCount
	runScenarioWith(t, func(c *cluster) {
		c.cfg.Deployment.Teams = nil
		for i := range teamCount {
			team := config.Team{Name: fmt.Sprint("team-", i), GuaranteedCPUs: limit / 2, LimitCPUs: limit}
			c.cfg.Deployment.Teams = append(c.cfg.Deployment.Teams, team)
		}
		c.cfg.Options.Guarantees = true
		c.env.ZoneCapacity = 8 // per zone and kind: 32 machines with 128 CPUs; the limits add up to 96 CPUs
		c.env.RunTime = mixedRunTime
		prepare(c)
	}, func(c *cluster) {
		sleep(2)
		for n := range jobs {
			c.submit(n%3, records.Job{ID: fmt.Sprint("j-", n), Team: fmt.Sprint("team-", n), Tasks: 10 * limit, EstimateS: 10})
		}
		sleep(28)
		scenario(c)
		sleep(140)
		for n := range jobs {
			id := fmt.Sprint("j-", n)
			for i := range c.controllers {
				if c.controller(i) == nil {
					continue
				}
				if status, state := c.ask(i, peer.MethodPoll, id); status != 200 || state != records.StatusDone && state != records.StatusCancelled {
					t.Errorf("poll %s at controller %d: %d %q", id, i, status, state)
				}
			}
		}
	})
}

// cancelEvery cancels the jobs whose number is a multiple of every. It sends up to 20 requests for each job, one per
// second, until the response is 200.
func (c *cluster) cancelEvery(every int) {
	for n := 0; n < teamCount; n += every {
		id := fmt.Sprint("j-", n)
		for try := range 20 {
			if status, _ := c.ask(try%3, peer.MethodCancel, id); status == 200 {
				break
			}
			sleep(1)
		}
	}
}

// restartLeader kills the leader and starts its controller again after a number of seconds.
func (c *cluster) restartLeader(seconds float64) {
	leader := c.leaderIndex()
	c.killController(leader)
	sleep(seconds)
	c.startController(leader)
}

// Teams stay at their limits across failovers: without another fault, while a zone is partitioned, and while machines
// with tasks of cancelled jobs hang.
func TestTeamsAtLimitAcrossFailovers(t *testing.T) {
	runTeamsAtLimit(t, func(*cluster) {}, func(c *cluster) {
		c.restartLeader(6)
		sleep(4)
		c.env.PartitionZone("b", true)
		sleep(3)
		c.restartLeader(12)
		c.env.PartitionZone("b", false)
		sleep(4)
		ms := c.env.Machines()
		hung := ms[:len(ms)/2]
		for _, m := range hung {
			m.SetHung(true)
		}
		c.cancelEvery(3)
		c.restartLeader(9)
		for _, m := range hung {
			m.SetHung(false)
		}
	})
}

// Teams stay at their limits across a store outage, a leader of a version without watermarks, and the loss of a third
// of the machines while another third is preempted.
func TestTeamsAtLimitAcrossVersionsAndMachineLosses(t *testing.T) {
	runTeamsAtLimit(t, func(c *cluster) { c.olderVersion[1] = true }, func(c *cluster) {
		c.store.SetOutage(true)
		sleep(20)
		c.store.SetOutage(false)
		c.cancelEvery(5)
		c.killController(0)
		c.killController(2)
		sleep(8)
		c.startController(0)
		c.startController(2)
		sleep(4)
		c.killController(1)
		sleep(6)
		c.startController(1)
		for i, m := range c.env.Machines() {
			switch i % 3 {
			case 0:
				m.Terminate()
			case 1:
				m.NotifyPreemption(8 * time.Second)
			}
		}
	})
}
