package standin

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ledger"
)

// Many teams with quotas, all at their limits: what they use is accounted for as attempts come
// and go, and no trouble may make a team use more than its limit, or wait beside room below it.

const manyTeams = 48

// atTheirLimits plays a story with three controllers in which each team has three times as much work as
// its limit lets run. At the end every job has its one answer.
func atTheirLimits(t *testing.T, prepare, story func(c *cluster)) {
	t.Helper()
	const limit, jobs = 2, manyTeams
	playWith(t, func(c *cluster) {
		c.cfg.Facts.Teams = nil
		for i := range manyTeams {
			c.cfg.Facts.Teams = append(c.cfg.Facts.Teams, config.Team{Name: fmt.Sprint("team-", i), CPUs: limit / 2, CPUsMax: limit})
		}
		c.cfg.Options.Guarantees = true
		c.world.Capacity = 8 // of a zone and kind: 32 machines of 4 CPUs, and 96 CPUs may be used
		c.world.RunFor = mixed
		prepare(c)
	}, func(c *cluster) {
		sleep(2)
		for n := range jobs {
			c.submit(n%3, ledger.Job{ID: fmt.Sprint("j-", n), Team: fmt.Sprint("team-", n), Tasks: 3 * limit, EstimateS: 10})
		}
		sleep(30)
		story(c)
		sleep(200)
		for n := range jobs {
			id := fmt.Sprint("j-", n)
			for i := range c.nodes {
				if c.node(i) == nil {
					continue
				}
				if status, state := c.ask(i, "poll", id); status != 200 || state != ledger.StatusDone && state != ledger.StatusCancelled {
					t.Errorf("poll %s at node %d: %d %q", id, i, status, state)
				}
			}
		}
	})
}

// calmly is no preparation.
func calmly(*cluster) {}

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

func TestTeamsAtTheirLimits(t *testing.T) {
	for _, test := range []struct {
		name           string
		prepare, story func(c *cluster)
	}{
		{"the leader changes", calmly, func(c *cluster) {
			for range 3 {
				leader := c.leading()
				c.kill(leader)
				sleep(6)
				c.boot(leader)
				sleep(4)
			}
		}},
		{"machines are cut off, and the leader changes", calmly, func(c *cluster) {
			c.world.Cut("b", true)
			sleep(3)
			leader := c.leading()
			c.kill(leader)
			sleep(15)
			c.world.Cut("b", false)
			c.boot(leader)
		}},
		{"jobs are cancelled on machines that hang, and the leader changes", calmly, func(c *cluster) {
			ms := c.world.Machines()
			for _, m := range ms[:len(ms)/2] {
				m.Hang(true)
			}
			c.cancelSome(3)
			leader := c.leading()
			c.kill(leader)
			sleep(9)
			for _, m := range ms[:len(ms)/2] {
				m.Hang(false)
			}
			c.boot(leader)
		}},
		{"the store is away", calmly, func(c *cluster) {
			c.state.Outage(true)
			sleep(25)
			c.state.Outage(false)
			c.cancelSome(5)
		}},
		{"an earlier version leads in between", func(c *cluster) { c.plain[1] = true }, func(c *cluster) {
			c.kill(0)
			c.kill(2)
			sleep(10)
			c.boot(0)
			c.boot(2)
			sleep(5)
			c.kill(1)
			sleep(10)
			c.boot(1)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			atTheirLimits(t, test.prepare, test.story)
		})
	}
}

// Whole teams come and go with their limits, on machines that die: the account follows.
func TestTeamsOnMachinesThatDie(t *testing.T) {
	t.Parallel()
	atTheirLimits(t, calmly, func(c *cluster) {
		for i, m := range c.world.Machines() {
			switch i % 3 {
			case 0:
				m.Die()
			case 1:
				m.Notice(8 * time.Second)
			}
		}
		sleep(20)
		for _, m := range c.world.Machines() {
			m.Reboot()
		}
	})
}
