package scheduler

import (
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/quota"
	"drumpick/internal/records"
)

var benchMachines = flag.Int("machines", 450, "number of machines in the benchmarks")

// benchFleet simulates a deployment for benchmarks: machines send heartbeats in turn and execute the
// commands in the answers, and a new job arrives for each job that ends.
type benchFleet struct {
	scheduler     *Scheduler
	now           time.Time
	random        *rand.Rand
	heartbeats    []*fleet.Heartbeat
	submitted     int  // number of jobs so far
	nextMachine   int  // index of the machine that sends the next heartbeat
	teams         int  // number of teams, which submit in turn
	externalClock bool // the benchmark advances the clock; else each heartbeat does
	dependencies  bool // each job depends on the two preceding jobs of its kind that are still open
}

func newBenchFleet(b *testing.B, machines int, dependencies bool) *benchFleet {
	return newSharedBenchFleet(b, machines, 1, 5, dependencies)
}

// newSharedBenchFleet returns a fleet that the given number of teams share. If there are several,
// each has a guarantee and a limit. Each machine sends the given number of heartbeats before the
// measurement.
func newSharedBenchFleet(b *testing.B, machines, teams, heartbeats int, dependencies bool) *benchFleet {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	cfg := &config.Config{Options: config.DefaultOptions()}
	if teams > 1 {
		cfg.Options.Guarantees, cfg.Options.Reservations = true, true
	}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 24, GangWaitS: 30, GangPeerLossS: 5, CancelS: 30}
	cfg.Deployment.Store.ValueKB = 8
	cfg.Deployment.Cloud.ListLagS = 3
	cfg.Deployment.Zones = []string{"a", "b"}
	f := &benchFleet{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2)), dependencies: dependencies, teams: teams}
	for i := range teams {
		team := config.Team{Name: teamName(i)}
		if teams > 1 {
			share := 4 * float64(machines) / float64(teams)
			team.GuaranteedCPUs, team.LimitCPUs = 0.4*share, 2*share
		}
		cfg.Deployment.Teams = append(cfg.Deployment.Teams, team)
	}
	f.scheduler = New(SettingsOf(cfg), 5, f.now)
	f.scheduler.SetMachineTypes([]records.MachineType{{
		Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, StartupS: 20, CacheGB: 40, FetchGBps: 1, Zones: []string{"a", "b"},
	}})
	f.scheduler.CheckReconciled(f.now)
	f.scheduler.autoscaling.listRead = true
	for range max(100, machines/10) {
		f.submit()
	}
	for i := range machines {
		name := fmt.Sprintf("m-%06d", i)
		f.heartbeats = append(f.heartbeats, &fleet.Heartbeat{
			Machine: name, Addr: name + ":1", Type: "c4", Zone: "a", Spot: true, Incarnation: 1, FencingToken: 5,
		})
		f.heartbeat()
		f.scheduler.fleet.Machines[name].Recorded = true
	}
	for range heartbeats * machines {
		f.heartbeat()
	}
	return f
}

func teamName(i int) string { return fmt.Sprint("team-", i) }

func (f *benchFleet) submit() {
	f.submitted++
	j := records.Job{
		ID: fmt.Sprintf("j-%06d", f.submitted), Team: teamName(f.submitted % f.teams),
		Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: 20 + f.random.IntN(200),
		CPUs: 1, MemGB: 3.6, Image: fmt.Sprint("img-", f.random.IntN(16)), ImageGB: 1, EstimateS: 18,
		Spot: true, AcceptedMS: f.now.UnixMilli(),
	}
	switch f.submitted % 4 {
	case 1:
		j.Priority, j.MemGB = records.PriorityUrgent, 3.8
	case 2:
		j.Priority, j.CPUs, j.MemGB, j.CheckpointS, j.SaveS = records.PriorityLow, 4, 15, 30, 5
	}
	if f.dependencies {
		for _, back := range []int{4, 8} {
			if id := fmt.Sprintf("j-%06d", f.submitted-back); f.scheduler.jobs[id] != nil {
				j.Dependencies = append(j.Dependencies, id)
			}
		}
		deadline := float64(f.random.IntN(600))
		j.DeadlineS = &deadline
	}
	f.scheduler.AddJob(j, 10, f.now, f.now)
}

// heartbeat ends some tasks of the next machine, sends its heartbeat and executes the commands.
func (f *benchFleet) heartbeat() {
	f.nextMachine = (f.nextMachine + 1) % len(f.heartbeats)
	if !f.externalClock {
		f.now = f.now.Add(4 * time.Millisecond)
	}
	h := f.heartbeats[f.nextMachine]
	h.Sequence++
	for i := range h.Tasks {
		if task := &h.Tasks[i]; task.Status != "ended" && f.random.IntN(10) == 0 {
			task.Status, task.Cause = "ended", fleet.CauseDone
		}
	}
	machine, stale := f.scheduler.Reconcile(h, true, f.now)
	if stale {
		panic("in-order heartbeat rejected as stale")
	}
	f.scheduler.ObserveUsage(machine)
	f.scheduler.PlanMachine(machine, f.now)
	response := f.scheduler.Respond(machine, true, f.now)
	f.scheduler.RecordAnswer(machine, "", f.now)
	applyCommands(h, response.Commands)
	f.closeCompleteJob()
}

// applyCommands applies commands to the tasks that a machine will report in its next heartbeat.
func applyCommands(h *fleet.Heartbeat, commands []fleet.Command) {
	for _, command := range commands {
		switch command.Verb {
		case fleet.VerbRun:
			h.Tasks = append(h.Tasks, fleet.TaskStatus{Task: command.Task, Attempt: command.Attempt, Status: "running"})
		case fleet.VerbReap:
			for i := range h.Tasks {
				if h.Tasks[i].Task == command.Task {
					h.Tasks = append(h.Tasks[:i], h.Tasks[i+1:]...)
					break
				}
			}
		}
	}
}

// closeCompleteJob picks a random job and, if it is complete, closes it and submits the next.
func (f *benchFleet) closeCompleteJob() {
	for id, job := range f.scheduler.jobs {
		job.stored = append(job.stored[:0], job.done...)
		if job.doneCount == job.Tasks && !job.closing {
			f.scheduler.ApplyClosedRecord(id, records.ClosedJob{Status: records.StatusDone, AtMS: f.now.UnixMilli()}, 20)
			f.submit()
		}
		return
	}
}

// tick advances the clock, with the lease and status of every machine renewed, and runs a tick.
func (f *benchFleet) tick() {
	f.now = f.now.Add(250 * time.Millisecond)
	for _, m := range f.scheduler.fleet.Machines {
		m.LastStatusAt = f.now
		m.LeaseRenewedAt = f.now
	}
	f.scheduler.Tick(f.now, true)
}

func BenchmarkHeartbeat(b *testing.B) {
	f := newBenchFleet(b, *benchMachines, false)
	for b.Loop() {
		f.heartbeat()
	}
}

// BenchmarkFleetStart measures the start of a whole fleet: the first heartbeats of all machines, and the
// placement of the jobs that wait on them.
func BenchmarkFleetStart(b *testing.B) {
	for _, machines := range []int{1264, 3792} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			for b.Loop() {
				newSharedBenchFleet(b, machines, 1, 2, false)
			}
		})
	}
}

// BenchmarkPlanning measures a heartbeat, the placement pass that follows if the heartbeat changed
// anything, and the answer, by fleet size and number of teams.
func BenchmarkPlanning(b *testing.B) {
	for _, machines := range []int{1000, 4000, 8000} {
		for _, teams := range []int{1, 8, 48} {
			b.Run(fmt.Sprintf("machines=%d/teams=%d", machines, teams), func(b *testing.B) {
				f := newSharedBenchFleet(b, machines, teams, 1, false)
				for b.Loop() {
					f.heartbeat()
				}
			})
		}
	}
}

// BenchmarkTickShared measures a tick by fleet size and number of teams.
func BenchmarkTickShared(b *testing.B) {
	for _, machines := range []int{1000, 4000, 8000} {
		for _, teams := range []int{1, 48} {
			b.Run(fmt.Sprintf("machines=%d/teams=%d", machines, teams), func(b *testing.B) {
				f := newSharedBenchFleet(b, machines, teams, 1, false)
				for b.Loop() {
					f.tick()
				}
			})
		}
	}
}

// playInterval simulates one heartbeat interval: each machine sends one heartbeat, with ticks in
// between, and scaling decisions are made once a second. It returns how many tasks started.
func (f *benchFleet) playInterval() (starts int) {
	const step = 5 * time.Second
	before := runsTotal.Get()
	began := f.now
	for i := range f.heartbeats {
		f.now = began.Add(step * time.Duration(i) / time.Duration(len(f.heartbeats)))
		if i%(len(f.heartbeats)/TicksPerHeartbeat+1) == 0 {
			f.scheduler.Tick(f.now, true)
			f.scheduler.TakeUrgentCommands()
		}
		if i%(len(f.heartbeats)/5+1) == 0 {
			for _, r := range f.scheduler.PlanRentals(f.now) {
				f.scheduler.RentalRefused(r, false, f.now)
			}
			f.scheduler.MachinesToReturn(f.now)
		}
		f.heartbeat()
	}
	f.now = began.Add(step)
	return int(runsTotal.Get() - before)
}

// BenchmarkInterval measures the leader's cost of a heartbeat interval, in total and per task start,
// at one, three and six times the size of a large deployment.
func BenchmarkInterval(b *testing.B) {
	for _, machines := range []int{1264, 3792, 7584} {
		for _, teams := range []int{1, 48} {
			b.Run(fmt.Sprintf("machines=%d/teams=%d", machines, teams), func(b *testing.B) {
				f := newSharedBenchFleet(b, machines, teams, 1, false)
				f.externalClock = true
				starts := 0
				for b.Loop() {
					starts += f.playInterval()
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(max(starts, 1)), "us/start")
				b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
			})
		}
	}
}

func BenchmarkHeartbeatDependencies(b *testing.B) {
	f := newBenchFleet(b, *benchMachines, true)
	for b.Loop() {
		f.heartbeat()
	}
}

func BenchmarkTickDependencies(b *testing.B) {
	f := newBenchFleet(b, *benchMachines, true)
	for b.Loop() {
		f.tick()
	}
}

func BenchmarkTick(b *testing.B) {
	f := newBenchFleet(b, *benchMachines, false)
	for b.Loop() {
		f.tick()
	}
}

func BenchmarkPlanRentals(b *testing.B) {
	f := newBenchFleet(b, 200, false)
	for b.Loop() {
		for _, r := range f.scheduler.PlanRentals(f.now) {
			f.scheduler.RentalRefused(r, false, f.now)
		}
	}
}

// BenchmarkPreemptTinyTasks measures a pass of preemption for urgent gangs on 24 machines that run 700 tiny
// tasks each.
func BenchmarkPreemptTinyTasks(b *testing.B) {
	for _, gangs := range []struct{ count, tasks int }{{1, 100_000}, {8, 2000}, {8, 40}} {
		b.Run(fmt.Sprintf("gangs=%d/tasks=%d", gangs.count, gangs.tasks), func(b *testing.B) {
			slog.SetDefault(slog.New(slog.DiscardHandler))
			s, now := newLimitsScheduler([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20}})
			tiny := records.Job{ID: "j-1", Team: "team", Shape: records.ShapeArray, Priority: records.PriorityLow, Tasks: 100_000, CPUs: 0.005, EstimateS: 1000}
			s.AddJob(tiny, 10, now, now)
			for i := range 24 {
				h := &fleet.Heartbeat{Machine: fmt.Sprintf("m-%06d", i), Addr: "a:1", Type: "c4", Zone: "a", Incarnation: 1, FencingToken: 5}
				for sequence := range uint64(2) {
					h.Sequence = sequence + 1
					machine, _ := s.Reconcile(h, true, now)
					machine.Recorded = true
					s.PlanMachine(machine, now)
					applyCommands(h, s.Respond(machine, true, now).Commands)
				}
				h.Sequence++
				s.Reconcile(h, true, now)
			}
			for i := range gangs.count {
				id := fmt.Sprint("j-9", i)
				s.AddJob(records.Job{ID: id, Team: "team", Shape: records.ShapeGang, Priority: records.PriorityUrgent, Tasks: gangs.tasks, CPUs: 0.5, EstimateS: 100}, 10, now, now)
			}
			s.placeWaiting(now)
			for b.Loop() {
				search := newPreemptionSearch(s, now)
				for _, job := range s.queue(now) {
					if job.Shape == records.ShapeGang {
						list := search.listCandidates(job, "")
						search.choosePlaces(job, job.pending(), list, nil, map[string]quota.Amount{})
					}
				}
			}
			b.ReportMetric(float64(len(s.fleet.Sorted()[0].Attempts())), "tasks/machine")
		})
	}
}

// BenchmarkWire measures the cost of decoding a heartbeat and encoding its answer, for the heartbeats of
// the benchmark's fleet and for one with 400 tasks.
func BenchmarkWire(b *testing.B) {
	f := newBenchFleet(b, *benchMachines, false)
	large := fleet.Heartbeat{Machine: "m-000001", Addr: "10.0.0.1:9000", Type: "g8", Zone: "a", Incarnation: 1, Sequence: 88, FencingToken: 5}
	for i := range 400 {
		large.Tasks = append(large.Tasks, fleet.TaskStatus{Task: fmt.Sprintf("j-000412/%d", i), Attempt: 5<<24 + uint64(i), Status: fleet.Running.String()})
	}
	answer := &fleet.HeartbeatResponse{FencingToken: 5, Commands: []fleet.Command{
		{Verb: fleet.VerbRun, Task: "j-000412/4", Attempt: 5<<24 + 77},
		{Verb: fleet.VerbReap, Task: "j-000398/0", Attempt: 5 << 24},
	}}
	for name, heartbeats := range map[string][]*fleet.Heartbeat{"fleet": f.heartbeats, "400 tasks": {&large}} {
		bodies := make([][]byte, len(heartbeats))
		for i, h := range heartbeats {
			bodies[i], _ = jsoncodec.Marshal(h)
		}
		b.Run(name, func(b *testing.B) {
			i := 0
			for b.Loop() {
				var heartbeat fleet.Heartbeat
				if jsoncodec.Unmarshal(bodies[i%len(bodies)], &heartbeat) != nil {
					b.Fatal("heartbeat cannot be decoded")
				}
				if _, err := jsoncodec.Marshal(answer); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}
