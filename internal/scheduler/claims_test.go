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
	t     *rapid.T
	c     *Scheduler
	now   time.Time
	hosts []*fakeMachine
	jobs  map[string]records.Job
	runs  map[string]time.Duration // by job
	began map[string]bool          // jobs that have started
	asked map[string]time.Time     // when a task was first stopped for the others
	died  time.Time                // when a worker last died
}

type fakeMachine struct {
	report   fleet.Heartbeat
	attempts []*fakeAttempt
}

type fakeAttempt struct {
	fleet.TaskStatus
	job      string
	ends     time.Time // when it completes, or has saved
	stopping bool
	left     time.Duration // what it still had before it when it was stopped
}

const fakeCPUs = 4

// newYard opens one with so many machines in each of two zones.
func newFakeFleet(t *rapid.T, options config.Options, teams []config.Team, slots int) *fakeFleet {
	cfg := &config.Config{Options: options}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerS: 5, CancelS: 30}
	cfg.Deployment.State.ValueKB, cfg.Deployment.Zones, cfg.Deployment.Teams = 8, []string{"a", "b"}, teams
	y := &fakeFleet{t: t, now: time.Unix(1_000_000, 0), jobs: map[string]records.Job{}, runs: map[string]time.Duration{}, asked: map[string]time.Time{}, began: map[string]bool{}}
	y.c = New(SettingsOf(cfg), 5, y.now)
	y.c.SetTypes([]records.MachineType{{Name: "c4", CPUs: fakeCPUs, MemGB: 16, Price: 0.2, StartupS: 20, CacheGB: 40, Zones: []string{"a", "b"}}})
	y.c.CheckReconciled(y.now)
	for i := range 2 * slots {
		host := fmt.Sprintf("m-%02d", i)
		y.hosts = append(y.hosts, &fakeMachine{report: fleet.Heartbeat{Machine: host, Addr: host, Type: "c4", Zone: string("ab"[i%2]), Incarnation: 1, FencingToken: 5}})
	}
	return y
}

// step lets half a second pass, and every machine report once in a report interval.
func (y *fakeFleet) step(i int) {
	y.now = y.now.Add(500 * time.Millisecond)
	y.c.Tick(y.now, true)
	for host := range y.c.urgentMachines {
		// Kills go out at once.
		for _, h := range y.hosts {
			if h.report.Machine == host {
				y.obey(h, y.c.fleet.Machines[host].PendingCommands())
			}
		}
		delete(y.c.urgentMachines, host)
	}
	for n, h := range y.hosts {
		y.advance(h)
		if (i+n)%4 == 0 {
			y.checkin(h)
		}
	}
	y.check()
}

func (y *fakeFleet) checkin(h *fakeMachine) {
	h.report.Sequence++
	h.report.Tasks = h.report.Tasks[:0]
	for _, s := range h.attempts {
		h.report.Tasks = append(h.report.Tasks, s.TaskStatus)
	}
	r := h.report
	m, stale := y.c.Reconcile(&r, true, y.now)
	if stale {
		y.t.Fatalf("a report in order is called stale")
	}
	m.Recorded = true
	y.c.PlanMachine(m, y.now)
	resp := y.c.Respond(m, true, y.now)
	y.c.NoteAnswered(m, "", y.now)
	y.obey(h, resp.Commands)
	for _, j := range y.c.jobs {
		copy(j.stored, j.done)
		if j.doneCount == j.Tasks {
			y.c.NoteClosed(j.ID, records.ClosedJob{Status: records.StatusDone}, 99)
		}
	}
}

func (y *fakeFleet) obey(h *fakeMachine, orders []fleet.Command) {
	for _, o := range orders {
		i := slices.IndexFunc(h.attempts, func(s *fakeAttempt) bool { return s.Task == o.Task && s.Attempt == o.Attempt })
		switch {
		case o.Verb == fleet.VerbRun && i < 0:
			id, _ := fleet.ParseTask(o.Task)
			s := &fakeAttempt{TaskStatus: fleet.TaskStatus{Task: o.Task, Attempt: o.Attempt, Status: "running"}, job: id.Job, ends: y.now.Add(y.runs[id.Job])}
			if y.jobs[id.Job].Shape == records.ShapeGang {
				s.Status = "waiting"
			}
			h.attempts = append(h.attempts, s)
		case o.Verb == fleet.VerbKill && i >= 0 && h.attempts[i].Status != "ended" && !h.attempts[i].stopping:
			s := h.attempts[i]
			s.left = s.ends.Sub(y.now)
			s.stopping, s.Status = true, "flushing"
			s.ends = y.now.Add(time.Duration(*o.GraceS * float64(time.Second)))
		case o.Verb == fleet.VerbReap && i >= 0:
			h.attempts = slices.Delete(h.attempts, i, i+1)
		}
	}
}

// advance ends what is over, and starts gangs that are complete.
func (y *fakeFleet) advance(h *fakeMachine) {
	for _, s := range h.attempts {
		if s.Status == "waiting" && len(y.find(func(o *fakeAttempt) bool { return o.job == s.job && o.Attempt == s.Attempt })) == y.jobs[s.job].Tasks {
			for _, o := range y.find(func(o *fakeAttempt) bool { return o.job == s.job && o.Attempt == s.Attempt }) {
				o.Status, o.ends = "running", y.now.Add(y.runs[s.job])
			}
		}
		if (s.Status == "running" || s.Status == "flushing") && !y.now.Before(s.ends) {
			s.Cause = "done"
			if s.stopping {
				s.Cause = "stopped"
			}
			s.Status = "ended"
		}
	}
}

func (y *fakeFleet) find(is func(*fakeAttempt) bool) []*fakeAttempt {
	var all []*fakeAttempt
	for _, h := range y.hosts {
		for _, s := range h.attempts {
			if is(s) {
				all = append(all, s)
			}
		}
	}
	return all
}

// check looks at the rules: room, one place for each task, limits, zones.
func (y *fakeFleet) check() {
	on := map[string]string{}
	use := map[string]float64{}
	zones := map[string]string{}
	for _, h := range y.hosts {
		cpus := 0.0
		for _, s := range h.attempts {
			if s.Status == "ended" {
				continue
			}
			j := y.jobs[s.job]
			cpus += j.CPUs
			use[j.Team] += j.CPUs
			if at, twice := on[s.Task]; twice {
				y.t.Fatalf("%s is on %s and %s", s.Task, at, h.report.Machine)
			}
			on[s.Task] = h.report.Machine
			if z := zones[s.job]; j.OneZone && z != "" && z != h.report.Zone {
				y.t.Fatalf("%s is in zones %s and %s", s.job, z, h.report.Zone)
			}
			zones[s.job] = h.report.Zone
		}
		if cpus > fakeCPUs {
			y.t.Fatalf("%s holds tasks of %g CPUs", h.report.Machine, cpus)
		}
	}
	for id, j := range y.c.jobs {
		if _, runs := zones[id]; runs {
			y.began[id] = true
		}
		if y.began[id] || len(j.preempted) == 0 || j.limited {
			continue
		}
		// What is stopped saves for up to 4 s, then its machine reports, then the other one.
		if _, ok := y.asked[id]; !ok {
			y.asked[id] = y.now
		}
		if since := y.asked[id]; y.now.Sub(since) > 10*time.Second && y.died.Before(since) {
			y.t.Fatalf("%s has not started %v after %d tasks were stopped for it", id, y.now.Sub(since), len(j.preempted))
		}
	}
	for team, cpus := range use {
		if limit := y.c.settings.Teams[team].LimitCPUs; limit > 0 && cpus > limit {
			y.t.Fatalf("%s uses %g CPUs of %g", team, cpus, limit)
		}
	}
}

// Room that is freed for somebody is theirs: over random teams, gangs and arrays, whoever
// asks for room has each task stopped at most once for its sake, no more is stopped in all
// than the room that the askers' tasks can take, nobody is stopped for what does not
// start, and everything ends.
func TestRoomIsKept(t *testing.T) {
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
		y := newFakeFleet(t, config.DefaultOptions(), teams, slots)
		all := 0   // tasks
		asked := 0 // what the tasks of jobs that may ask for room could take, in smallest tasks
		var comes []records.Job
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
			y.jobs[j.ID], y.runs[j.ID] = j, time.Duration(j.EstimateS*rapid.Float64Range(0.5, 1.5).Draw(t, "of the estimate")*float64(time.Second))
			asked += j.Tasks * int(j.CPUs)
			all += j.Tasks
			comes = append(comes, j)
		}
		dies := rapid.IntRange(0, 200).Draw(t, "a worker dies at step")
		stops, moves := preemptedTotal.Get(), movesTotal.Get()
		for i := 0; i < 4000 && (i < 400 || len(y.c.jobs) > 0); i++ {
			if i%20 == 0 && len(comes) > 0 {
				comes[0].AcceptedMS = y.now.UnixMilli()
				y.c.AddJob(comes[0], 10, y.now, y.now)
				comes = comes[1:]
			}
			if h := y.hosts[0]; i == dies && dies > 0 {
				h.report.Incarnation, h.report.Sequence = h.report.Incarnation+1, 0
				y.died = y.now
				for _, s := range h.attempts { // and a gang is asked for anew
					asked += y.jobs[s.job].Tasks * int(y.jobs[s.job].CPUs)
				}
				h.attempts = nil
			}
			y.step(i)
		}
		if len(y.c.jobs) > 0 {
			for id := range y.c.jobs {
				st, done, running, _ := y.c.Progress(id)
				t.Errorf("%s never ended: %s, %d done, %d running", id, st, done, running)
			}
		}
		if n := int(preemptedTotal.Get() - stops); n > asked {
			t.Errorf("%d tasks were stopped to make room for what could take %d at the most", n, asked)
		}
		if n := int(movesTotal.Get() - moves); n > all {
			t.Errorf("%d moves of %d tasks", n, all)
		}
		for _, h := range y.hosts {
			if owed := y.c.fleet.Machines[h.report.Machine].Bin.Reserved(); len(y.c.jobs) == 0 && owed.CPU > 0 {
				t.Errorf("%s still owes room: %+v", h.report.Machine, owed)
			}
		}
	})
}
