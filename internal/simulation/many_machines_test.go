package simulation

import (
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"
)

// What becomes of work when many machines fail at once, at the size of the large
// deployments. Rules hold, every job ends with its one answer, and what has to be run again
// is not much more than what died with its machines.

const (
	manyJobs  = 12
	manyTasks = 640 // of each, half as many again in all as the machines hold

	fleetSize   = 1300
	raceDivisor = 5 // by which the fleet is smaller under the race detector
)

// scaledFleetSize returns how many machines there are.
func scaledFleetSize() int {
	if raceEnabled {
		return fleetSize / raceDivisor
	}
	return fleetSize
}

// unsavedWork returns the run time of tasks on machines that no checkpoint has.
func (env *Environment) unsavedWork(ms []*Machine) time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	var sum time.Duration
	for _, m := range ms {
		for _, s := range m.tasks {
			if s.status == statusRunning {
				sum += max(s.progressAt(time.Now())-env.savedProgress[s.checkpointKey()], 0)
			}
		}
	}
	return sum
}

// machinesInZone returns the machines of a zone.
func machinesInZone(ms []*Machine, zone string) []*Machine {
	var out []*Machine
	for _, m := range ms {
		if m.Zone == zone {
			out = append(out, m)
		}
	}
	return out
}

// runManyMachines runs a scenario on all machines, which returns the least work that could be lost, and checks what
// was.
func runManyMachines(
	t *testing.T, prepare func(c *cluster), scenario func(c *cluster, ms []*Machine) (least time.Duration),
) {
	t.Helper()
	runScenarioWith(t, func(c *cluster) {
		c.cfg.Deployment.Workers.HeartbeatS, c.cfg.Deployment.Workers.LeaseS, c.cfg.Deployment.Workers.CancelS = 5, 26, 46
		c.cfg.Deployment.Store = config.StoreLimits{RPS: 500, WriteRPS: 60, ValueKB: 8, TxnOps: 16}
		c.cfg.Deployment.Cloud.RPS = 7
		c.cfg.Options.ZoneHealth, c.cfg.Options.LoadShedding = true, true
		w := c.env
		w.HeartbeatInterval, w.Lease, w.CancelLimit = 5*time.Second, 26*time.Second, 46*time.Second
		w.ZoneCapacity = scaledFleetSize() / 4 // of a zone and kind
		w.RunTime = func(task string) time.Duration { return 8 * mixedRunTime(task) }
		prepare(c)
	}, func(c *cluster) {
		sleep(2)
		for n := range manyJobs {
			c.submit(0, records.Job{ID: fmt.Sprint("j-", n+1), Tasks: manyTasks * scaledFleetSize() / fleetSize, EstimateS: 60})
		}
		sleep(60)
		ms := c.env.Machines()
		if len(ms) < scaledFleetSize()*9/10 {
			t.Errorf("%d machines are up, want %d", len(ms), scaledFleetSize())
		}
		before := c.env.LostWork()
		least := scenario(c, ms)
		sleep(250)
		for n := range manyJobs {
			for i := range 3 {
				if c.node(i) != nil {
					c.wantDone(i, fmt.Sprint("j-", n+1))
				}
			}
		}
		lost := c.env.LostWork() - before
		// Some work is stopped to fill and empty machines at the day's end in any case.
		all := time.Duration(manyJobs*manyTasks*scaledFleetSize()/fleetSize) * 8 * 7 * time.Second
		t.Logf("work lost: %v, at least %v, of %v in all", lost, least, all)
		// A notice stops what by its owner's estimate would not end in time, and some would.
		if lost > least*23/20+all/50 {
			t.Errorf("work lost: %v, where %v had to be, of %v in all", lost, least, all)
		}
	})
}

// All hang and come back in the same second, within their leases: nothing is lost.
func TestAllMachinesHangAndLoseNothing(t *testing.T) {
	t.Parallel()
	runManyMachines(t, func(*cluster) {}, func(c *cluster, ms []*Machine) time.Duration {
		for _, m := range ms {
			m.SetHung(true)
		}
		sleep(14)
		for _, m := range ms {
			m.SetHung(false)
		}
		return 0
	})
}

// The store is away, and the leader with it for a moment: when both are back all send heartbeats at
// once, and nothing is lost.
func TestAllMachinesReportAfterStoreOutage(t *testing.T) {
	t.Parallel()
	runManyMachines(t, func(*cluster) {}, func(c *cluster, ms []*Machine) time.Duration {
		c.store.SetOutage(true)
		sleep(9)
		c.killNode(c.leaderIndex())
		sleep(3)
		c.store.SetOutage(false)
		return 0
	})
}

// A zone loses its power while a new leader takes over.
func TestZonePowerLossDuringFailover(t *testing.T) {
	t.Parallel()
	runManyMachines(t, func(*cluster) {}, func(c *cluster, ms []*Machine) time.Duration {
		c.killNode(c.leaderIndex())
		for c.leaderIndex() < 0 {
			sleep(0.1)
		}
		sleep(0.3)
		least := c.env.unsavedWork(machinesInZone(ms, "b"))
		c.env.FailZone("b")
		return least
	})
}

// All controllers end twice within a lease.
func TestAllControllersRestartTwiceWithinLease(t *testing.T) {
	t.Parallel()
	runManyMachines(t, func(*cluster) {}, func(c *cluster, ms []*Machine) time.Duration {
		for range 2 {
			for i := range 3 {
				c.killNode(i)
			}
			sleep(3)
			for i := range 3 {
				c.startNode(i)
			}
			sleep(6)
		}
		return 0
	})
}

// A third of the machines dies while as many cheap ones are taken with notice, and every
// second one that is to replace them fails to boot.
func TestThirdOfMachinesDiesAndThirdIsPreempted(t *testing.T) {
	t.Parallel()
	var boots atomic.Int32
	runManyMachines(t, func(c *cluster) {
		c.env.Listen = func(m *Machine) (string, func(), error) {
			if n := int(boots.Add(1)); n > scaledFleetSize() && n%2 == 0 {
				return "", nil, errors.New("it does not boot")
			}
			return m.Name, func() {}, nil
		}
	}, func(c *cluster, ms []*Machine) time.Duration {
		var die, taken []*Machine
		for i, m := range ms {
			switch {
			case i%3 == 0:
				die = append(die, m)
			case m.Spot && len(taken) < len(ms)/3:
				taken = append(taken, m)
			}
		}
		least := c.env.unsavedWork(die)
		for _, m := range die {
			m.Terminate()
		}
		for _, m := range taken {
			m.NotifyPreemption(12 * time.Second)
		}
		// Of what is taken, what ends within the notice need not be lost.
		c.env.mu.Lock()
		defer c.env.mu.Unlock()
		for _, m := range taken {
			for _, s := range m.tasks {
				if s.status == statusRunning && time.Until(s.statusEndsAt) > 12*time.Second {
					least += s.progressAt(time.Now())
				}
			}
		}
		return least
	})
}

// A version without watermarks, relaying nothing, leads for a while, and a zone is cut off for
// less than a lease when it ends.
func TestZonePartitionAfterOlderVersionLed(t *testing.T) {
	t.Parallel()
	runManyMachines(t, func(c *cluster) { c.olderVersion[1] = true }, func(c *cluster, ms []*Machine) time.Duration {
		c.killNode(0)
		c.killNode(2)
		for c.leaderIndex() != 1 {
			sleep(1)
		}
		c.startNode(0)
		c.startNode(2)
		sleep(10)
		c.env.PartitionZone("b", true)
		sleep(1)
		c.killNode(1)
		sleep(10)
		c.env.PartitionZone("b", false)
		return 0
	})
}

// An observer of the watermarks ends and comes back, then is cut from the others, and
// the leader ends.
func TestRestartedObserverIsIsolatedBeforeFailover(t *testing.T) {
	t.Parallel()
	runManyMachines(t, func(*cluster) {}, func(c *cluster, ms []*Machine) time.Duration {
		l := c.leaderIndex()
		w := (l + 1) % 3
		c.killNode(w)
		sleep(2)
		c.startNode(w)
		sleep(6)
		c.setIsolated(w, true)
		sleep(4)
		c.killNode(l)
		sleep(8)
		c.setIsolated(w, false)
		return 0
	})
}
