package simulation

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// Many teams with quotas, all at their limits: what they use is accounted for as attempts come
// and go, and no trouble may make a team use more than its limit, or wait beside room below it.

const manyTeams = 48

// atTheirLimits plays a story with three controllers in which each team has ten times as much work as
// its limit lets run. At the end every job has its one answer. (Stories hold several troubles each: under the
// race detector a process takes no more than some tens of thousands of timers.)
func atTheirLimits(t *testing.T, prepare, story func(c *cluster)) {
	t.Helper()
	const limit, jobs = 2, manyTeams
	playWith(t, func(c *cluster) {
		c.cfg.Deployment.Teams = nil
		for i := range manyTeams {
			c.cfg.Deployment.Teams = append(c.cfg.Deployment.Teams, config.Team{Name: fmt.Sprint("team-", i), GuaranteedCPUs: limit / 2, LimitCPUs: limit})
		}
		c.cfg.Options.Guarantees = true
		c.world.Capacity = 8 // of a zone and kind: 32 machines of 4 CPUs, and 96 CPUs may be used
		c.world.RunFor = mixed
		prepare(c)
	}, func(c *cluster) {
		sleep(2)
		for n := range jobs {
			c.submit(n%3, records.Job{ID: fmt.Sprint("j-", n), Team: fmt.Sprint("team-", n), Tasks: 10 * limit, EstimateS: 10})
		}
		sleep(28)
		story(c)
		sleep(140)
		for n := range jobs {
			id := fmt.Sprint("j-", n)
			for i := range c.nodes {
				if c.node(i) == nil {
					continue
				}
				if status, state := c.ask(i, "poll", id); status != 200 || state != records.StatusDone && state != records.StatusCancelled {
					t.Errorf("poll %s at node %d: %d %q", id, i, status, state)
				}
			}
		}
	})
}

// cancelSome has users cancel every n-th job, asking again until it is answered.
func (c *cluster) cancelSome(every int) {
	for n := 0; n < manyTeams; n += every {
		id := fmt.Sprint("j-", n)
		for try := range 20 {
			if status, _ := c.ask(try%3, "withdraw", id); status == 200 {
				break
			}
			sleep(1)
		}
	}
}

// replace ends the leader, and brings its controller back after a while.
func (c *cluster) replace(seconds float64) {
	leader := c.leading()
	c.kill(leader)
	sleep(seconds)
	c.boot(leader)
}

// The leader changes; a zone is cut off, and it changes; jobs are cancelled whose machines hang, and it changes.
func TestTeamsWhileLeadersChange(t *testing.T) {
	atTheirLimits(t, func(*cluster) {}, func(c *cluster) {
		c.replace(6)
		sleep(4)
		c.world.PartitionZone("b", true)
		sleep(3)
		c.replace(12)
		c.world.PartitionZone("b", false)
		sleep(4)
		ms := c.world.Machines()
		hung := ms[:len(ms)/2]
		for _, m := range hung {
			m.Hang(true)
		}
		c.cancelSome(3)
		c.replace(9)
		for _, m := range hung {
			m.Hang(false)
		}
	})
}

// The store is away; a version without marks leads in between; a third of the machines dies, and another is taken.
func TestTeamsAcrossVersionsAndLosses(t *testing.T) {
	atTheirLimits(t, func(c *cluster) { c.plain[1] = true }, func(c *cluster) {
		c.state.Outage(true)
		sleep(20)
		c.state.Outage(false)
		c.cancelSome(5)
		c.kill(0)
		c.kill(2)
		sleep(8)
		c.boot(0)
		c.boot(2)
		sleep(4)
		c.kill(1)
		sleep(6)
		c.boot(1)
		for i, m := range c.world.Machines() {
			switch i % 3 {
			case 0:
				m.Die()
			case 1:
				m.NotifyPreemption(8 * time.Second)
			}
		}
	})
}
