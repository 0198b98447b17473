package simulation

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/config"
	"drumpick/internal/records"
)

// maxIdle is how long a job may wait beside a machine that fits and has room, once all faults are over and while its
// team is under its limit.
const maxIdle = 90 * time.Second

// idleCheck holds a deployment against that.
type idleCheck struct {
	env       *Environment
	idleSince map[string]time.Time // by job, since when it waits so
}

// check looks at all jobs; faulty: there is a fault, and what was seen before counts
// for nothing.
func (x *idleCheck) check(faulty bool) {
	x.env.mu.Lock()
	defer x.env.mu.Unlock()
	if faulty || x.idleSince == nil {
		x.idleSince = map[string]time.Time{}
	}
	if faulty {
		return
	}
	for id := range x.env.acceptedAt {
		host := x.env.findIdleMachineLocked(id)
		if host == "" {
			delete(x.idleSince, id)
			continue
		}
		at, ok := x.idleSince[id]
		if !ok {
			x.idleSince[id] = time.Now()
		} else if time.Since(at) > maxIdle {
			x.env.recordViolationLocked("idle: %s waits beside %s for %v", id, host, maxIdle)
			delete(x.idleSince, id)
		}
	}
}

// findIdleMachineLocked names a machine with room for what waits of a job, "" if nothing does or there is none.
// A gang needs room for all that waits. The environment is locked.
func (env *Environment) findIdleMachineLocked(id string) string {
	j, ok := env.LookupJob(id)
	if _, over := env.finalStates[id]; !ok || over || env.cancelRequested[id] || env.TaskFails != nil {
		return ""
	}
	if _, over := env.cancelledAt[id]; over {
		return ""
	}
	for _, p := range j.Dependencies {
		if pj, ok := env.LookupJob(p); !ok || len(env.completed[p]) < pj.Tasks || env.finalStates[p].status == "" {
			return ""
		}
	}
	waits, zones := j.Tasks-len(env.completed[id]), map[string]int{}
	for _, m := range env.attempts[id] {
		waits--
		zones[m.Zone]++
	}
	if waits <= 0 {
		return ""
	}
	if j.Shape != records.ShapeGang {
		waits = 1
	}
	cpus, gpus := env.teamUsageLocked(j.Team)
	var host string
	free := map[*Machine]float64{}
	for range waits {
		cpus, gpus = cpus+j.CPUs, gpus+j.GPUs
		if !env.withinLimit(j.Team, cpus, gpus) {
			return ""
		}
		m := env.machineWithRoomLocked(j, zones, free)
		if m == nil {
			return ""
		}
		host = m.Name
		free[m] += j.CPUs
		zones[m.Zone]++
	}
	return host
}

// machineWithRoomLocked finds a machine for one more task of a job, beside what has been taken of each.
func (env *Environment) machineWithRoomLocked(j records.Job, zones map[string]int, taken map[*Machine]float64) *Machine {
	for _, m := range env.machines {
		cpus, mem := m.typ.CPUs-taken[m]-j.CPUs, m.typ.MemGB-j.MemGB
		for _, s := range m.tasks {
			if s.status != statusEnded {
				cpus, mem = cpus-s.job.CPUs, mem-s.job.MemGB
			}
		}
		switch {
		case m.terminated, !m.up, !m.preemptionAt.IsZero(), cpus < -1e-9, m.typ.MemGB > 0 && mem < -1e-9, m.Spot && !j.Spot,
			j.Zone != nil && *j.Zone != m.Zone, len(j.Types) > 0 && !slices.Contains(j.Types, m.typ.Name),
			j.SpreadZones && zones[m.Zone]+1 > (j.Tasks+1)/2, j.OneZone && len(zones) > 0 && zones[m.Zone] == 0:
			continue
		}
		return m
	}
	return nil
}

// anyFault reports whether any fault of the simulation is switched on. Late copies of reports are none: no
// job waits longer for them.
func (c *cluster) anyFault() bool {
	c.store.mu.Lock()
	bad := c.store.outage
	for _, on := range c.store.refusedClients {
		bad = bad || on
	}
	c.store.mu.Unlock()
	c.env.mu.Lock()
	bad = bad || c.env.pickCommandDelay != nil
	for _, on := range c.env.partitioned {
		bad = bad || on
	}
	for _, on := range c.env.commandsBlocked {
		bad = bad || on
	}
	for _, m := range c.env.machines {
		bad = bad || !m.terminated && (m.hung || m.inboundLost || m.outboundLost)
	}
	c.env.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	bad = bad || c.leaderIndexLocked() < 0 || len(c.onlyNodeForZone) > 0
	for i, n := range c.nodes {
		bad = bad || c.isolated[i] || c.unreachable[i] || c.delays[i] > 0
		if n != nil {
			n.client.mu.Lock()
			bad = bad || n.client.hang > 0 || n.client.delay > 0 || n.client.pickLateWrite != nil
			n.client.mu.Unlock()
		}
	}
	return bad
}

// The check is broken on purpose: a job that nobody starts beside an empty machine is named after
// 90 s and not before, and one without room, over its team's limit, or in a fault is not.
func TestIdleCheckReportsOnlyIdleJobs(t *testing.T) {
	zone := "b"
	for name, x := range map[string]struct {
		job    records.Job
		busy   float64 // CPUs taken by another job on the only machine, in zone a
		faulty bool
		want   int
	}{
		"waits":                 {job: records.Job{Tasks: 2, CPUs: 2, Spot: true}, want: 1},
		"room for one of three": {job: records.Job{Tasks: 3, CPUs: 2, Spot: true}, busy: 2, want: 1},
		"a gang":                {job: records.Job{Shape: records.ShapeGang, Tasks: 2, CPUs: 2, Spot: true}, want: 1},
		"room for half a gang":  {job: records.Job{Shape: records.ShapeGang, Tasks: 2, CPUs: 2, Spot: true}, busy: 2},
		"no room":               {job: records.Job{Tasks: 2, CPUs: 2, Spot: true}, busy: 3},
		"at its limit":          {job: records.Job{Team: "limited", Tasks: 2, CPUs: 2, Spot: true}, busy: 2},
		"another zone":          {job: records.Job{Zone: &zone, Tasks: 2, CPUs: 2, Spot: true}},
		"ordinary machines":     {job: records.Job{Tasks: 2, CPUs: 2}},
		"waits for another":     {job: records.Job{Tasks: 2, CPUs: 2, Spot: true, Dependencies: []string{"j-0"}}},
		"during a fault":        {job: records.Job{Tasks: 2, CPUs: 2, Spot: true}, faulty: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(context.Background())
				defer end()
				w := newEnvironmentWithoutControllers(ctx)
				w.CancelLimit, w.ZoneCapacity = time.Hour, 1
				w.Teams = []config.Team{{Name: "limited", LimitCPUs: 3}, {Name: ""}}
				if x.job.ID = "j-1"; x.job.Shape == "" {
					x.job.Shape = records.ShapeArray
				}
				w.LookupJob = func(id string) (records.Job, bool) {
					return map[string]records.Job{"j-0": {ID: "j-0", Team: "limited", Tasks: 1, CPUs: x.busy, Spot: true}, "j-1": x.job}[id], true
				}
				if _, err := w.rent(autoscaler.RentalRequest{Name: "r", Type: "c4", Zone: "a", Count: 1, Spot: true}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				if x.busy > 0 {
					_, _, _ = w.SendCommands("m-000001", runCommand("j-0/0", 1))
				}
				w.CheckSubmission("j-1", 201, time.Now())
				idle := &idleCheck{env: w}
				for s := range 100 {
					idle.check(x.faulty)
					if got := len(w.Violations()); got > 0 && s <= 90 {
						t.Fatalf("after %d s: %v", s, w.Violations())
					}
					time.Sleep(time.Second)
				}
				if got := w.Violations(); len(got) != x.want {
					t.Error(fmt.Sprint(got))
				}
			})
		})
	}
}
