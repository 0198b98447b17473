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

// These tests fail many machines at once, at the size of large deployments. No rule may be violated, every job must
// be done, and the work lost may be little more than the unsaved work on the failed machines.

const (
	manyJobs  = 12
	manyTasks = 640 // per job; together one and a half times the machines' capacity

	fleetSize   = 1300
	raceDivisor = 5 // divides the fleet's size under the race detector
)

// scaledFleetSize returns the number of machines, which is smaller under the race detector.
func scaledFleetSize() int {
	if raceEnabled {
		return fleetSize / raceDivisor
	}
	return fleetSize
}

// unsavedWork returns the run time of the machines' running tasks that no checkpoint contains.
func (env *Environment) unsavedWork(ms []*Machine) time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	var sum time.Duration
	for _, m := range ms {
		for _, a := range m.tasks {
			if a.status == statusRunning {
				sum += max(a.progressAt(time.Now())-env.savedProgress[a.checkpointKey()], 0)
			}
		}
	}
	return sum
}

// machinesInZone returns the machines of ms that are in a zone.
func machinesInZone(ms []*Machine, zone string) []*Machine {
	var out []*Machine
	for _, m := range ms {
		if m.Zone == zone {
			out = append(out, m)
		}
	}
	return out
}

// runManyMachines runs a scenario under load, with ms as the machines that are up, and checks the work lost. The
// scenario returns minLost, the run time of tasks that its faults lose unavoidably.
func runManyMachines(
	t *testing.T, prepare func(c *cluster), scenario func(c *cluster, ms []*Machine) (minLost time.Duration),
) {
	t.Helper()
	runScenarioWith(t, func(c *cluster) {
		c.cfg.Deployment.Workers.HeartbeatS, c.cfg.Deployment.Workers.LeaseS, c.cfg.Deployment.Workers.CancelS = 5, 26, 46
		c.cfg.Deployment.Store = config.StoreLimits{RPS: 500, WriteRPS: 60, ValueKB: 8, TxnOps: 16}
		c.cfg.Deployment.Cloud.RPS = 7
		c.cfg.Options.ZoneHealth, c.cfg.Options.LoadShedding = true, true
		env := c.env
		env.HeartbeatInterval, env.Lease, env.CancelLimit = 5*time.Second, 26*time.Second, 46*time.Second
		env.ZoneCapacity = scaledFleetSize() / 4 // per zone and kind
		env.RunTime = func(task string) time.Duration { return 8 * mixedRunTime(task) }
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
		minLost := scenario(c, ms)
		sleep(250)
		for n := range manyJobs {
			for i := range 3 {
				if c.controller(i) != nil {
					c.wantDone(i, fmt.Sprint("j-", n+1))
				}
			}
		}
		lost := c.env.LostWork() - before
		// Some tasks are stopped in any case, to pack machines when the load falls.
		totalWork := time.Duration(manyJobs*manyTasks*scaledFleetSize()/fleetSize) * 8 * 7 * time.Second
		t.Logf("work lost: %v, unavoidable: %v, total: %v", lost, minLost, totalWork)
		// A preemption notice stops tasks whose estimate exceeds the notice, though some of them would end in time.
		if lost > minLost*23/20+totalWork/50 {
			t.Errorf("work lost: %v, unavoidable: %v, total: %v, which is too much", lost, minLost, totalWork)
		}
	})
}

// All machines hang and resume in the same second, within their leases. Nothing may be lost.
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

// The leader crashes during a store outage. Afterwards all machines send heartbeats at once, and nothing may be lost.
func TestAllMachinesReportAfterStoreOutage(t *testing.T) {
	t.Parallel()
	runManyMachines(t, func(*cluster) {}, func(c *cluster, ms []*Machine) time.Duration {
		c.store.SetOutage(true)
		sleep(9)
		c.killController(c.leaderIndex())
		sleep(3)
		c.store.SetOutage(false)
		return 0
	})
}

// A zone loses power during a failover. Little more than the unsaved work in the zone may be lost.
func TestZonePowerLossDuringFailover(t *testing.T) {
	t.Parallel()
	runManyMachines(t, func(*cluster) {}, func(c *cluster, ms []*Machine) time.Duration {
		c.killController(c.leaderIndex())
		for c.leaderIndex() < 0 {
			sleep(0.1)
		}
		sleep(0.3)
		minLost := c.env.unsavedWork(machinesInZone(ms, "b"))
		c.env.FailZone("b")
		return minLost
	})
}

// All controllers restart twice within a worker's lease. Nothing may be lost.
func TestAllControllersRestartTwiceWithinLease(t *testing.T) {
	t.Parallel()
	runManyMachines(t, func(*cluster) {}, func(c *cluster, ms []*Machine) time.Duration {
		for range 2 {
			for i := range 3 {
				c.killController(i)
			}
			sleep(3)
			for i := range 3 {
				c.startController(i)
			}
			sleep(6)
		}
		return 0
	})
}

// A third of the machines fails while as many spot machines are preempted with notice, and every second replacement
// fails to boot. Little more than the unavoidable work may be lost.
func TestThirdOfMachinesDiesAndThirdIsPreempted(t *testing.T) {
	t.Parallel()
	var boots atomic.Int32
	runManyMachines(t, func(c *cluster) {
		c.env.Listen = func(m *Machine) (string, func(), error) {
			if n := int(boots.Add(1)); n > scaledFleetSize() && n%2 == 0 {
				return "", nil, errors.New("machine failed to boot")
			}
			return m.Name, func() {}, nil
		}
	}, func(c *cluster, ms []*Machine) time.Duration {
		var failed, preempted []*Machine
		for i, m := range ms {
			switch {
			case i%3 == 0:
				failed = append(failed, m)
			case m.Spot && len(preempted) < len(ms)/3:
				preempted = append(preempted, m)
			}
		}
		minLost := c.env.unsavedWork(failed)
		for _, m := range failed {
			m.Terminate()
		}
		for _, m := range preempted {
			m.NotifyPreemption(12 * time.Second)
		}
		// Tasks on preempted machines that end within the notice need not be lost.
		c.env.mu.Lock()
		defer c.env.mu.Unlock()
		for _, m := range preempted {
			for _, a := range m.tasks {
				if a.status == statusRunning && time.Until(a.statusEndsAt) > 12*time.Second {
					minLost += a.progressAt(time.Now())
				}
			}
		}
		return minLost
	})
}

// A controller of a version without watermarks and heartbeat relay leads for a while. It crashes while a zone is
// partitioned for less than a lease. Nothing may be lost.
func TestZonePartitionAfterOlderVersionLed(t *testing.T) {
	t.Parallel()
	runManyMachines(t, func(c *cluster) { c.olderVersion[1] = true }, func(c *cluster, ms []*Machine) time.Duration {
		c.killController(0)
		c.killController(2)
		for c.leaderIndex() != 1 {
			sleep(1)
		}
		c.startController(0)
		c.startController(2)
		sleep(10)
		c.env.PartitionZone("b", true)
		sleep(1)
		c.killController(1)
		sleep(10)
		c.env.PartitionZone("b", false)
		return 0
	})
}

// An observer of the watermarks restarts and is then isolated from the other controllers, before the leader crashes.
// Nothing may be lost.
func TestRestartedObserverIsIsolatedBeforeFailover(t *testing.T) {
	t.Parallel()
	runManyMachines(t, func(*cluster) {}, func(c *cluster, ms []*Machine) time.Duration {
		leaderIndex := c.leaderIndex()
		observer := (leaderIndex + 1) % 3
		c.killController(observer)
		sleep(2)
		c.startController(observer)
		sleep(6)
		c.setIsolated(observer, true)
		sleep(4)
		c.killController(leaderIndex)
		sleep(8)
		c.setIsolated(observer, false)
		return 0
	})
}
