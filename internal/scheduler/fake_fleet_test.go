package scheduler

import (
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/records"

	"pgregory.net/rapid"
)

// useFixedSeed makes rapid check the same cases in every run, and discards log output.
func useFixedSeed(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	old := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(old) })
}

// fakeFleet is a small fleet of machines that execute the commands of a Scheduler, in simulated time.
type fakeFleet struct {
	t              *rapid.T
	scheduler      *Scheduler
	now            time.Time
	teams          []config.Team
	machines       []*fakeMachine
	jobs           map[string]records.Job
	runTimes       map[string]time.Duration // by job
	started        map[string]bool          // jobs of which a task has started
	preemptedAt    map[string]time.Time     // by job: when a task was first preempted for it
	workerFailedAt time.Time                // when a worker last failed
}

type fakeMachine struct {
	heartbeat fleet.Heartbeat
	attempts  []*fakeAttempt
}

type fakeAttempt struct {
	fleet.TaskStatus
	job       string
	endsAt    time.Time // when it completes, or its checkpoint is saved
	stopping  bool
	remaining time.Duration // remaining run time when it was stopped
}

// fakeMachineCPUs is the number of CPUs of every machine of a fakeFleet.
const fakeMachineCPUs = 4

// allPriorities lists the job priorities, the highest first.
var allPriorities = []string{records.PriorityCritical, records.PriorityUrgent, records.PriorityStandard, records.PriorityLow}

// newFakeFleet returns a fleet with machinesPerZone machines in each of two zones.
func newFakeFleet(t *rapid.T, options config.Options, teams []config.Team, machinesPerZone int) *fakeFleet {
	cfg := &config.Config{Options: options}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerLossS: 5, CancelS: 30}
	cfg.Deployment.Store.ValueKB, cfg.Deployment.Zones, cfg.Deployment.Teams = 8, []string{"a", "b"}, teams
	f := &fakeFleet{
		t: t, now: time.Unix(1_000_000, 0), teams: teams,
		jobs: map[string]records.Job{}, runTimes: map[string]time.Duration{},
		started: map[string]bool{}, preemptedAt: map[string]time.Time{},
	}
	f.scheduler = New(SettingsOf(cfg), 5, f.now)
	f.scheduler.SetMachineTypes([]records.MachineType{{
		Name: "c4", CPUs: fakeMachineCPUs, MemGB: 16, Price: 0.2, StartupS: 20, CacheGB: 40, Zones: []string{"a", "b"},
	}})
	f.scheduler.CheckReconciled(f.now)
	for i := range 2 * machinesPerZone {
		name := fmt.Sprintf("m-%02d", i)
		f.machines = append(f.machines, &fakeMachine{heartbeat: fleet.Heartbeat{
			Machine: name, Addr: name, Type: "c4", Zone: string("ab"[i%2]), Incarnation: 1, FencingToken: 5,
		}})
	}
	return f
}

// step runs step i: it advances the time by half a second, runs a tick and sends the heartbeats
// that are due. Every machine sends one each fourth step.
func (f *fakeFleet) step(i int) {
	f.now = f.now.Add(500 * time.Millisecond)
	f.scheduler.Tick(f.now, true)
	for name := range f.scheduler.urgentMachines {
		// Kill commands are sent at once.
		for _, machine := range f.machines {
			if machine.heartbeat.Machine == name {
				for _, batch := range f.scheduler.fleet.Machines[name].AllBatches() {
					f.applyCommands(machine, batch.Commands)
				}
			}
		}
		delete(f.scheduler.urgentMachines, name)
	}
	for n, machine := range f.machines {
		f.advanceAttempts(machine)
		if (i+n)%4 == 0 {
			f.heartbeat(machine)
		}
	}
	f.checkInvariants()
}

// heartbeat sends a heartbeat of a machine and applies the commands of the answer. The results of all
// finished tasks count as stored at once, and complete jobs are closed.
func (f *fakeFleet) heartbeat(machine *fakeMachine) {
	machine.heartbeat.Sequence++
	machine.heartbeat.Tasks = machine.heartbeat.Tasks[:0]
	for _, attempt := range machine.attempts {
		machine.heartbeat.Tasks = append(machine.heartbeat.Tasks, attempt.TaskStatus)
	}
	copied := machine.heartbeat
	reported, stale := f.scheduler.Reconcile(&copied, true, f.now)
	if stale {
		f.t.Fatalf("heartbeat %d of %s is in order but counts as stale", copied.Sequence, copied.Machine)
	}
	reported.Recorded = true
	f.scheduler.PlanMachine(reported, f.now)
	response := f.scheduler.Respond(reported, true, f.now)
	f.scheduler.RecordAnswer(reported, "", f.now)
	f.applyCommands(machine, response.Commands)
	for _, j := range f.scheduler.jobs {
		j.stored = slices.Clone(j.done)
		if j.doneCount == j.Tasks {
			f.scheduler.ApplyClosedRecord(j.ID, records.ClosedJob{Status: records.StatusDone}, 99)
		}
	}
}

// applyCommands applies commands as a worker does.
func (f *fakeFleet) applyCommands(machine *fakeMachine, commands []fleet.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(machine.attempts, func(attempt *fakeAttempt) bool {
			return attempt.Task == command.Task && attempt.Attempt == command.Attempt
		})
		switch {
		case command.Verb == fleet.VerbRun && i < 0:
			id, _ := fleet.ParseTask(command.Task)
			attempt := &fakeAttempt{
				TaskStatus: fleet.TaskStatus{Task: command.Task, Attempt: command.Attempt, Status: "running"},
				job:        id.Job,
				endsAt:     f.now.Add(f.runTimes[id.Job]),
			}
			if f.jobs[id.Job].Shape == records.ShapeGang {
				attempt.Status = "waiting"
			}
			machine.attempts = append(machine.attempts, attempt)
		case command.Verb == fleet.VerbKill && i >= 0 && machine.attempts[i].Status != "ended" && !machine.attempts[i].stopping:
			attempt := machine.attempts[i]
			attempt.remaining = attempt.endsAt.Sub(f.now)
			attempt.stopping, attempt.Status = true, "flushing"
			attempt.endsAt = f.now.Add(time.Duration(*command.GraceS * float64(time.Second)))
		case command.Verb == fleet.VerbReap && i >= 0:
			machine.attempts = slices.Delete(machine.attempts, i, i+1)
		}
	}
}

// advanceAttempts ends the attempts that are due, and starts gangs whose members are all waiting.
func (f *fakeFleet) advanceAttempts(machine *fakeMachine) {
	for _, attempt := range machine.attempts {
		if gang := f.gangMembers(attempt); attempt.Status == "waiting" && len(gang) == f.jobs[attempt.job].Tasks {
			for _, member := range gang {
				member.Status, member.endsAt = "running", f.now.Add(f.runTimes[attempt.job])
			}
		}
		if (attempt.Status == "running" || attempt.Status == "flushing") && !f.now.Before(attempt.endsAt) {
			attempt.Cause = "done"
			if attempt.stopping {
				attempt.Cause = "stopped"
			}
			attempt.Status = "ended"
		}
	}
}

// gangMembers returns the attempts on all machines with the job and the attempt number of attempt.
func (f *fakeFleet) gangMembers(attempt *fakeAttempt) []*fakeAttempt {
	var members []*fakeAttempt
	for _, machine := range f.machines {
		for _, other := range machine.attempts {
			if other.job == attempt.job && other.Attempt == attempt.Attempt {
				members = append(members, other)
			}
		}
	}
	return members
}

// checkInvariants checks that no machine is overcommitted, each task is on one machine, zone
// constraints and limits hold, and a job that tasks were preempted for starts.
func (f *fakeFleet) checkInvariants() {
	zones := f.checkPlacements()
	f.checkPreemptorsStart(zones)
}

// checkPlacements checks the placement of all tasks, and returns a zone of each running job.
func (f *fakeFleet) checkPlacements() map[string]string {
	machineOf := map[string]string{}
	cpusOf := map[string]float64{}
	zones := map[string]string{}
	for _, machine := range f.machines {
		cpus := 0.0
		for _, attempt := range machine.attempts {
			if attempt.Status == "ended" {
				continue
			}
			j := f.jobs[attempt.job]
			cpus += j.CPUs
			cpusOf[j.Team] += j.CPUs
			if at, twice := machineOf[attempt.Task]; twice {
				f.t.Fatalf("%s is on %s and %s, want one machine", attempt.Task, at, machine.heartbeat.Machine)
			}
			machineOf[attempt.Task] = machine.heartbeat.Machine
			if z := zones[attempt.job]; j.OneZone && z != "" && z != machine.heartbeat.Zone {
				f.t.Fatalf("%s is in zones %s and %s, want one", attempt.job, z, machine.heartbeat.Zone)
			}
			zones[attempt.job] = machine.heartbeat.Zone
		}
		if cpus > fakeMachineCPUs {
			f.t.Fatalf("%s holds tasks of %g CPUs, want %d at most", machine.heartbeat.Machine, cpus, fakeMachineCPUs)
		}
	}
	for team, cpus := range cpusOf {
		if limit := f.scheduler.settings.Teams[team].LimitCPUs; limit > 0 && cpus > limit {
			f.t.Fatalf("%s uses %g CPUs, want %g at most", team, cpus, limit)
		}
	}
	return zones
}

// checkPreemptorsStart checks that a job that tasks were preempted for starts within 10 s.
func (f *fakeFleet) checkPreemptorsStart(zones map[string]string) {
	for id, j := range f.scheduler.jobs {
		if _, runs := zones[id]; runs {
			f.started[id] = true
		}
		if f.started[id] || len(j.preemptedTasks) == 0 || j.teamLimited {
			continue
		}
		// A preempted task saves its checkpoint for up to 4 s. Then the heartbeats of its machine
		// and of the machine that is to run the job have to arrive.
		if _, ok := f.preemptedAt[id]; !ok {
			f.preemptedAt[id] = f.now
		}
		if since := f.preemptedAt[id]; f.now.Sub(since) > 10*time.Second && f.workerFailedAt.Before(since) {
			f.t.Fatalf("%s has not started %v after %d tasks were preempted for it, want 10s at most", id, f.now.Sub(since), len(j.preemptedTasks))
		}
	}
}
