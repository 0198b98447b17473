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

// Properties are tried on the same cases every time.
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

// fakeFleet is a few machines that do what a Core tells them, in made-up time.
type fakeFleet struct {
	t            *rapid.T
	scheduler    *Scheduler
	now          time.Time
	machines     []*fakeMachine
	jobs         map[string]records.Job
	runTimes     map[string]time.Duration // by job
	begun        map[string]bool          // jobs that have started
	preemptedAt  map[string]time.Time     // when a task was first stopped for the others
	workerDiedAt time.Time                // when a worker last died
}

type fakeMachine struct {
	heartbeat fleet.Heartbeat
	attempts  []*fakeAttempt
}

type fakeAttempt struct {
	fleet.TaskStatus
	job       string
	ends      time.Time // when it completes, or has saved
	stopping  bool
	remaining time.Duration // what it still had before it when it was stopped
}

const fakeCPUs = 4

// newYard opens one with so many machines in each of two zones.
func newFakeFleet(t *rapid.T, options config.Options, teams []config.Team, slots int) *fakeFleet {
	cfg := &config.Config{Options: options}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerS: 5, CancelS: 30}
	cfg.Deployment.State.ValueKB, cfg.Deployment.Zones, cfg.Deployment.Teams = 8, []string{"a", "b"}, teams
	f := &fakeFleet{t: t, now: time.Unix(1_000_000, 0), jobs: map[string]records.Job{}, runTimes: map[string]time.Duration{}, preemptedAt: map[string]time.Time{}, begun: map[string]bool{}}
	f.scheduler = New(SettingsOf(cfg), 5, f.now)
	f.scheduler.SetTypes([]records.MachineType{{Name: "c4", CPUs: fakeCPUs, MemGB: 16, Price: 0.2, StartupS: 20, CacheGB: 40, Zones: []string{"a", "b"}}})
	f.scheduler.CheckReconciled(f.now)
	for i := range 2 * slots {
		host := fmt.Sprintf("m-%02d", i)
		f.machines = append(f.machines, &fakeMachine{heartbeat: fleet.Heartbeat{Machine: host, Addr: host, Type: "c4", Zone: string("ab"[i%2]), Incarnation: 1, FencingToken: 5}})
	}
	return f
}

// step lets half a second pass, and every machine report once in a report interval.
func (f *fakeFleet) step(i int) {
	f.now = f.now.Add(500 * time.Millisecond)
	f.scheduler.Tick(f.now, true)
	for host := range f.scheduler.urgentMachines {
		// Kills go out at once.
		for _, machine := range f.machines {
			if machine.heartbeat.Machine == host {
				f.obey(machine, f.scheduler.fleet.Machines[host].PendingCommands())
			}
		}
		delete(f.scheduler.urgentMachines, host)
	}
	for n, machine := range f.machines {
		f.advance(machine)
		if (i+n)%4 == 0 {
			f.heartbeat(machine)
		}
	}
	f.checkRules()
}

func (f *fakeFleet) heartbeat(machine *fakeMachine) {
	machine.heartbeat.Sequence++
	machine.heartbeat.Tasks = machine.heartbeat.Tasks[:0]
	for _, attempt := range machine.attempts {
		machine.heartbeat.Tasks = append(machine.heartbeat.Tasks, attempt.TaskStatus)
	}
	copied := machine.heartbeat
	known, stale := f.scheduler.Reconcile(&copied, true, f.now)
	if stale {
		f.t.Fatalf("a report in order is called stale")
	}
	known.Recorded = true
	f.scheduler.PlanMachine(known, f.now)
	resp := f.scheduler.Respond(known, true, f.now)
	f.scheduler.NoteAnswered(known, "", f.now)
	f.obey(machine, resp.Commands)
	for _, j := range f.scheduler.jobs {
		copy(j.stored, j.done)
		if j.doneCount == j.Tasks {
			f.scheduler.NoteClosed(j.ID, records.ClosedJob{Status: records.StatusDone}, 99)
		}
	}
}

func (f *fakeFleet) obey(machine *fakeMachine, commands []fleet.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(machine.attempts, func(attempt *fakeAttempt) bool {
			return attempt.Task == command.Task && attempt.Attempt == command.Attempt
		})
		switch {
		case command.Verb == fleet.VerbRun && i < 0:
			id, _ := fleet.ParseTask(command.Task)
			attempt := &fakeAttempt{TaskStatus: fleet.TaskStatus{Task: command.Task, Attempt: command.Attempt, Status: "running"}, job: id.Job, ends: f.now.Add(f.runTimes[id.Job])}
			if f.jobs[id.Job].Shape == records.ShapeGang {
				attempt.Status = "waiting"
			}
			machine.attempts = append(machine.attempts, attempt)
		case command.Verb == fleet.VerbKill && i >= 0 && machine.attempts[i].Status != "ended" && !machine.attempts[i].stopping:
			attempt := machine.attempts[i]
			attempt.remaining = attempt.ends.Sub(f.now)
			attempt.stopping, attempt.Status = true, "flushing"
			attempt.ends = f.now.Add(time.Duration(*command.GraceS * float64(time.Second)))
		case command.Verb == fleet.VerbReap && i >= 0:
			machine.attempts = slices.Delete(machine.attempts, i, i+1)
		}
	}
}

// advance ends what is over, and starts gangs that are complete.
func (f *fakeFleet) advance(machine *fakeMachine) {
	for _, attempt := range machine.attempts {
		if attempt.Status == "waiting" && len(f.find(func(member *fakeAttempt) bool { return member.job == attempt.job && member.Attempt == attempt.Attempt })) == f.jobs[attempt.job].Tasks {
			for _, member := range f.find(func(member *fakeAttempt) bool { return member.job == attempt.job && member.Attempt == attempt.Attempt }) {
				member.Status, member.ends = "running", f.now.Add(f.runTimes[attempt.job])
			}
		}
		if (attempt.Status == "running" || attempt.Status == "flushing") && !f.now.Before(attempt.ends) {
			attempt.Cause = "done"
			if attempt.stopping {
				attempt.Cause = "stopped"
			}
			attempt.Status = "ended"
		}
	}
}

func (f *fakeFleet) find(is func(*fakeAttempt) bool) []*fakeAttempt {
	var all []*fakeAttempt
	for _, machine := range f.machines {
		for _, attempt := range machine.attempts {
			if is(attempt) {
				all = append(all, attempt)
			}
		}
	}
	return all
}

// checkRules looks at the rules: room, one place for each task, limits, zones.
func (f *fakeFleet) checkRules() {
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
				f.t.Fatalf("%s is on %s and %s", attempt.Task, at, machine.heartbeat.Machine)
			}
			machineOf[attempt.Task] = machine.heartbeat.Machine
			if z := zones[attempt.job]; j.OneZone && z != "" && z != machine.heartbeat.Zone {
				f.t.Fatalf("%s is in zones %s and %s", attempt.job, z, machine.heartbeat.Zone)
			}
			zones[attempt.job] = machine.heartbeat.Zone
		}
		if cpus > fakeCPUs {
			f.t.Fatalf("%s holds tasks of %g CPUs", machine.heartbeat.Machine, cpus)
		}
	}
	for id, j := range f.scheduler.jobs {
		if _, runs := zones[id]; runs {
			f.begun[id] = true
		}
		if f.begun[id] || len(j.preempted) == 0 || j.limited {
			continue
		}
		// What is stopped saves for up to 4 s, then its machine reports, then the other one.
		if _, ok := f.preemptedAt[id]; !ok {
			f.preemptedAt[id] = f.now
		}
		if since := f.preemptedAt[id]; f.now.Sub(since) > 10*time.Second && f.workerDiedAt.Before(since) {
			f.t.Fatalf("%s has not started %v after %d tasks were stopped for it", id, f.now.Sub(since), len(j.preempted))
		}
	}
	for team, cpus := range cpusOf {
		if limit := f.scheduler.settings.Teams[team].LimitCPUs; limit > 0 && cpus > limit {
			f.t.Fatalf("%s uses %g CPUs of %g", team, cpus, limit)
		}
	}
}

// Room that is freed for somebody is theirs: over random teams, gangs and arrays, whoever
// asks for room has each task stopped at most once for its sake, no more is stopped in all
// than the room that the askers' tasks can take, nobody is stopped for what does not
// start, and everything ends.
func TestPreemptedRoomIsClaimed(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 5).Draw(t, "machines by zone")
		var teams []config.Team
		for i := range rapid.IntRange(1, 3).Draw(t, "teams") {
			team := config.Team{Name: fmt.Sprint("team-", i), GuaranteedCPUs: float64(fakeCPUs * rapid.IntRange(0, slots).Draw(t, "guarantee"))}
			if rapid.Bool().Draw(t, "limited") {
				team.LimitCPUs = max(team.GuaranteedCPUs, float64(fakeCPUs*slots))
			}
			teams = append(teams, team)
		}
		f := newFakeFleet(t, config.DefaultOptions(), teams, slots)
		tasks := 0     // tasks
		claimable := 0 // what the tasks of jobs that may ask for room could take, in smallest tasks
		var coming []records.Job
		for i := range rapid.IntRange(2, 7).Draw(t, "jobs") {
			j := records.Job{
				ID: fmt.Sprint("j-", i), Team: rapid.SampledFrom(teams).Draw(t, "team").Name, Image: "img", MemGB: 1, Shape: records.ShapeArray,
				Priority: rapid.SampledFrom([]string{records.PriorityCritical, records.PriorityUrgent, records.PriorityStandard, records.PriorityLow}).Draw(t, "priority"),
				CPUs:     rapid.SampledFrom([]float64{1, 1, 2}).Draw(t, "cpus"), Tasks: rapid.IntRange(1, 10*slots).Draw(t, "tasks"),
				EstimateS: float64(rapid.IntRange(5, 60).Draw(t, "estimate")),
			}
			if rapid.Bool().Draw(t, "gang") {
				j.Shape, j.Tasks, j.CPUs = records.ShapeGang, rapid.IntRange(2, slots).Draw(t, "members"), rapid.SampledFrom([]float64{2, 4}).Draw(t, "gang cpus")
				j.OneZone = rapid.Bool().Draw(t, "one zone")
			}
			if rapid.Bool().Draw(t, "saves") {
				j.CheckpointS, j.SaveS = 10, float64(rapid.IntRange(0, 4).Draw(t, "flush"))
			}
			f.jobs[j.ID], f.runTimes[j.ID] = j, time.Duration(j.EstimateS*rapid.Float64Range(0.5, 1.5).Draw(t, "of the estimate")*float64(time.Second))
			claimable += j.Tasks * int(j.CPUs)
			tasks += j.Tasks
			coming = append(coming, j)
		}
		dies := rapid.IntRange(0, 200).Draw(t, "a worker dies at step")
		stops, moves := preemptedTotal.Get(), movesTotal.Get()
		for i := 0; i < 4000 && (i < 400 || len(f.scheduler.jobs) > 0); i++ {
			if i%20 == 0 && len(coming) > 0 {
				coming[0].AcceptedMS = f.now.UnixMilli()
				f.scheduler.AddJob(coming[0], 10, f.now, f.now)
				coming = coming[1:]
			}
			if machine := f.machines[0]; i == dies && dies > 0 {
				machine.heartbeat.Incarnation, machine.heartbeat.Sequence = machine.heartbeat.Incarnation+1, 0
				f.workerDiedAt = f.now
				for _, attempt := range machine.attempts { // and a gang is asked for anew
					claimable += f.jobs[attempt.job].Tasks * int(f.jobs[attempt.job].CPUs)
				}
				machine.attempts = nil
			}
			f.step(i)
		}
		if len(f.scheduler.jobs) > 0 {
			for id := range f.scheduler.jobs {
				st, done, running, _ := f.scheduler.Progress(id)
				t.Errorf("%s never ended: %s, %d done, %d running", id, st, done, running)
			}
		}
		if n := int(preemptedTotal.Get() - stops); n > claimable {
			t.Errorf("%d tasks were stopped to make room for what could take %d at the most", n, claimable)
		}
		if n := int(movesTotal.Get() - moves); n > tasks {
			t.Errorf("%d moves of %d tasks", n, tasks)
		}
		for _, machine := range f.machines {
			if reserved := f.scheduler.fleet.Machines[machine.heartbeat.Machine].Bin.Reserved(); len(f.scheduler.jobs) == 0 && reserved.CPU > 0 {
				t.Errorf("%s still owes room: %+v", machine.heartbeat.Machine, reserved)
			}
		}
	})
}
