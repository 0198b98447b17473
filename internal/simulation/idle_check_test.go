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

// maxIdle is the maximum time that a job may wait while a suitable machine has room, the job's team is below its limit,
// and no fault is active.
const maxIdle = 90 * time.Second

// idleCheck checks that no job waits for longer than maxIdle although it could run.
type idleCheck struct {
	env       *Environment
	idleSince map[string]time.Time // since when a job has been waiting although it could run, by job ID
}

// check records a violation for each job that has been idle for longer than maxIdle. faulty means that a fault is
// active: it resets the idle times of all jobs.
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
		machine := x.env.findIdleMachineLocked(id)
		if machine == "" {
			delete(x.idleSince, id)
			continue
		}
		at, ok := x.idleSince[id]
		if !ok {
			x.idleSince[id] = time.Now()
		} else if time.Since(at) > maxIdle {
			x.env.recordViolationLocked("idle: %s is waiting though %s has had room for %v", id, machine, maxIdle)
			delete(x.idleSince, id)
		}
	}
}

// findIdleMachineLocked returns the name of a machine with room for a waiting task of a job that may run now, or "" if
// there is none. A job that a user asked to cancel does not count, and no job does if TaskFails is set. A gang needs room
// for all of its waiting tasks. The caller holds the environment's lock.
func (env *Environment) findIdleMachineLocked(id string) string {
	j, ok := env.LookupJob(id)
	if _, final := env.finalStates[id]; !ok || final || env.cancelRequested[id] || env.TaskFails != nil {
		return ""
	}
	if _, cancelled := env.cancelledAt[id]; cancelled {
		return ""
	}
	for _, dependency := range j.Dependencies {
		// A dependency may be cancelled after all of its tasks have completed: its dependents are then cancelled.
		if d, ok := env.LookupJob(dependency); !ok || len(env.completed[dependency]) < d.Tasks || env.finalStates[dependency].status != records.StatusDone {
			return ""
		}
	}
	waiting, zones := j.Tasks-len(env.completed[id]), map[string]int{}
	for _, m := range env.attempts[id] {
		waiting--
		zones[m.Zone]++
	}
	if waiting <= 0 {
		return ""
	}
	if j.Shape != records.ShapeGang {
		waiting = 1
	}
	cpus, gpus := env.teamUsageLocked(j.Team)
	var machine string
	free := map[*Machine]float64{}
	for range waiting {
		cpus, gpus = cpus+j.CPUs, gpus+j.GPUs
		if !env.withinLimit(j.Team, cpus, gpus) {
			return ""
		}
		m := env.machineWithRoomLocked(j, zones, free)
		if m == nil {
			return ""
		}
		machine = m.Name
		free[m] += j.CPUs
		zones[m.Zone]++
	}
	return machine
}

// machineWithRoomLocked returns a machine with room for one more task of a job, or nil if there is none. taken holds the
// CPUs that this search has already assigned on each machine, zones the number of the job's tasks in each zone.
func (env *Environment) machineWithRoomLocked(j records.Job, zones map[string]int, taken map[*Machine]float64) *Machine {
	for _, m := range env.machines {
		cpus, mem := m.typ.CPUs-taken[m]-j.CPUs, m.typ.MemGB-j.MemGB
		for _, a := range m.tasks {
			if a.status != statusEnded {
				cpus, mem = cpus-a.job.CPUs, mem-a.job.MemGB
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

// anyFault reports whether an injected fault is active or there is no leader. Late copies of heartbeats do not count: no
// job may wait longer because of them. Neither do followers that are down, nor the faults of Client.LoseResponses.
func (c *cluster) anyFault() bool {
	c.store.mu.Lock()
	active := c.store.outage
	for _, on := range c.store.refusedClients {
		active = active || on
	}
	c.store.mu.Unlock()
	c.env.mu.Lock()
	active = active || c.env.pickCommandDelay != nil
	for _, on := range c.env.partitioned {
		active = active || on
	}
	for _, on := range c.env.commandsBlocked {
		active = active || on
	}
	for _, m := range c.env.machines {
		active = active || !m.terminated && (m.hung || m.inboundLost || m.outboundLost)
	}
	c.env.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	active = active || c.leaderIndexLocked() < 0 || len(c.onlyControllerForZone) > 0
	for i, n := range c.controllers {
		active = active || c.isolated[i] || c.unreachable[i] || c.delays[i] > 0
		if n != nil {
			n.client.mu.Lock()
			active = active || n.client.hang > 0 || n.client.delay > 0 || n.client.pickLateWrite != nil
			n.client.mu.Unlock()
		}
	}
	return active
}

// idleCheck must report a job that waits beside a machine with room, after 90 s and not before. It must not report a
// job without room, above its team's limit, or during a fault.
func TestIdleCheckReportsOnlyIdleJobs(t *testing.T) {
	zone := "b"
	for name, x := range map[string]struct {
		job    records.Job
		busy   float64 // CPUs taken by another job on the only machine, in zone a
		faulty bool
		ended  string // final state of the other job, all of whose tasks have completed; "": it has not ended
		want   int
	}{
		"waits":                 {job: records.Job{Tasks: 2, CPUs: 2, Spot: true}, want: 1},
		"room for one of three": {job: records.Job{Tasks: 3, CPUs: 2, Spot: true}, busy: 2, want: 1},
		"a gang":                {job: records.Job{Shape: records.ShapeGang, Tasks: 2, CPUs: 2, Spot: true}, want: 1},
		"room for half a gang":  {job: records.Job{Shape: records.ShapeGang, Tasks: 2, CPUs: 2, Spot: true}, busy: 2},
		"no room":               {job: records.Job{Tasks: 2, CPUs: 2, Spot: true}, busy: 3},
		"at its limit":          {job: records.Job{Team: "limited", Tasks: 2, CPUs: 2, Spot: true}, busy: 2},
		"another zone":          {job: records.Job{Zone: &zone, Tasks: 2, CPUs: 2, Spot: true}},
		"on-demand machines":    {job: records.Job{Tasks: 2, CPUs: 2}},
		"waits for another":     {job: records.Job{Tasks: 2, CPUs: 2, Spot: true, Dependencies: []string{"j-0"}}},
		"the other is done":     {job: records.Job{Tasks: 2, CPUs: 2, Spot: true, Dependencies: []string{"j-0"}}, ended: records.StatusDone, want: 1},
		"the other is cancelled after its tasks": {
			job: records.Job{Tasks: 2, CPUs: 2, Spot: true, Dependencies: []string{"j-0"}}, ended: records.StatusCancelled,
		},
		"during a fault": {job: records.Job{Tasks: 2, CPUs: 2, Spot: true}, faulty: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(context.Background())
				defer end()
				env := newEnvironmentWithoutControllers(ctx)
				env.CancelLimit, env.ZoneCapacity = time.Hour, 1
				env.Teams = []config.Team{{Name: "limited", LimitCPUs: 3}, {Name: ""}}
				if x.job.ID = "j-1"; x.job.Shape == "" {
					x.job.Shape = records.ShapeArray
				}
				env.LookupJob = func(id string) (records.Job, bool) {
					return map[string]records.Job{"j-0": {ID: "j-0", Team: "limited", Tasks: 1, CPUs: x.busy, Spot: true}, "j-1": x.job}[id], true
				}
				if _, err := env.rent(autoscaler.RentalRequest{Name: "r", Type: "c4", Zone: "a", Count: 1, Spot: true}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				if x.busy > 0 {
					_, _, _ = env.SendCommands("m-000001", runCommand("j-0/0", 1))
				}
				env.CheckSubmission("j-1", 201, time.Now())
				if x.ended != "" {
					env.completed["j-0"] = map[string]bool{"j-0/0": true}
					env.finalStates["j-0"] = finalState{x.ended, time.Now()}
				}
				idle := &idleCheck{env: env}
				for s := range 100 {
					idle.check(x.faulty)
					if got := len(env.Violations()); got > 0 && s <= 90 {
						t.Fatalf("after %d s: %v", s, env.Violations())
					}
					time.Sleep(time.Second)
				}
				if got := env.Violations(); len(got) != x.want {
					t.Error(fmt.Sprint(got))
				}
			})
		})
	}
}
