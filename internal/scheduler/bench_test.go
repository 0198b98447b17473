package scheduler

import (
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/records"

	"github.com/mailru/easyjson"
)

var benchMachines = flag.Int("machines", 450, "machines of the benchmarks")

// site is a deployment of full size, for benchmarks: machines that report by turns
// and run what they are told, jobs that come as others end.
type site struct {
	core  *Scheduler
	now   time.Time
	r     *rand.Rand
	hosts []*fleet.Heartbeat
	jobs  int
	at    int
	teams int  // that submit by turns
	full  bool // time is passed by whoever plays it
	chain bool // every job needs the two before it of its kind, as far as they are open
}

func newSite(b *testing.B, machines int, chain bool) *site {
	return newSharedSite(b, machines, 1, 5, chain)
}

// newSharedSite is shared by teams, each with a guarantee and a limit if there are several, as many
// together as the users plan for. Every machine reports so many times before it is measured.
func newSharedSite(b *testing.B, machines, teams, reports int, chain bool) *site {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	cfg := &config.Config{Options: config.DefaultOptions()}
	if teams > 1 {
		cfg.Options.Guarantees, cfg.Options.Reservations = true, true
	}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 24, GangWaitS: 30, GangPeerS: 5, CancelS: 30}
	cfg.Deployment.State.ValueKB = 8
	cfg.Deployment.Cloud.ListLagS = 3
	cfg.Deployment.Zones = []string{"a", "b"}
	s := &site{now: time.Unix(1_000_000, 0), r: rand.New(rand.NewPCG(1, 2)), chain: chain, teams: teams}
	for i := range teams {
		team := config.Team{Name: teamName(i)}
		if teams > 1 {
			share := 4 * float64(machines) / float64(teams)
			team.GuaranteedCPUs, team.LimitCPUs = 0.4*share, 2*share
		}
		cfg.Deployment.Teams = append(cfg.Deployment.Teams, team)
	}
	s.core = New(SettingsOf(cfg), 5, s.now)
	s.core.SetTypes([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, StartupS: 20, CacheGB: 40, FetchGBps: 1, Zones: []string{"a", "b"}}})
	s.core.CheckReconciled(s.now)
	s.core.autoscaling.listRead = true
	for range max(100, machines/10) {
		s.submit()
	}
	for i := range machines {
		h := fmt.Sprintf("m-%06d", i)
		s.hosts = append(s.hosts, &fleet.Heartbeat{Machine: h, Addr: h + ":1", Type: "c4", Zone: "a", Spot: true, Incarnation: 1, FencingToken: 5})
		s.report()
		s.core.fleet.Machines[h].Recorded = true
	}
	for range reports * machines {
		s.report()
	}
	b.ResetTimer()
	return s
}

func teamName(i int) string { return fmt.Sprint("team-", i) }

func (s *site) submit() {
	s.jobs++
	j := records.Job{
		ID: fmt.Sprintf("j-%06d", s.jobs), Team: teamName(s.jobs % s.teams), Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: 20 + s.r.IntN(200),
		CPUs: 1, MemGB: 3.6, Image: fmt.Sprint("img-", s.r.IntN(16)), ImageGB: 1, EstimateS: 18, Spot: true, AcceptedMS: s.now.UnixMilli(),
	}
	switch s.jobs % 4 {
	case 1:
		j.Priority, j.MemGB = records.PriorityUrgent, 3.8
	case 2:
		j.Priority, j.CPUs, j.MemGB, j.CheckpointS, j.SaveS = records.PriorityLow, 4, 15, 30, 5
	}
	if s.chain {
		for _, back := range []int{4, 8} {
			if id := fmt.Sprintf("j-%06d", s.jobs-back); s.core.jobs[id] != nil {
				j.Dependencies = append(j.Dependencies, id)
			}
		}
		due := float64(s.r.IntN(600))
		j.DeadlineS = &due
	}
	s.core.AddJob(j, 10, s.now, s.now)
}

// report lets the next machine end some of its tasks, report and obey.
func (s *site) report() {
	s.at = (s.at + 1) % len(s.hosts)
	if !s.full {
		s.now = s.now.Add(4 * time.Millisecond)
	}
	r := s.hosts[s.at]
	r.Sequence++
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.Status != "ended" && s.r.IntN(10) == 0 {
			t.Status, t.Cause = "ended", fleet.CauseDone
		}
	}
	m, stale := s.core.Reconcile(r, true, s.now)
	if stale {
		panic("a report is taken for stale")
	}
	s.core.ObserveUse(m)
	s.core.PlanMachine(m, s.now)
	resp := s.core.Respond(m, true, s.now)
	s.core.NoteAnswered(m, "", s.now)
	for _, o := range resp.Commands {
		switch o.Verb {
		case fleet.VerbRun:
			r.Tasks = append(r.Tasks, fleet.TaskStatus{Task: o.Task, Attempt: o.Attempt, Status: "running"})
		case fleet.VerbReap:
			for i := range r.Tasks {
				if r.Tasks[i].Task == o.Task {
					r.Tasks = append(r.Tasks[:i], r.Tasks[i+1:]...)
					break
				}
			}
		}
	}
	for id, j := range s.core.jobs {
		copy(j.stored, j.done)
		if j.doneCount == j.Tasks && !j.closing {
			s.core.NoteClosed(id, records.ClosedJob{Status: records.StatusDone, AtMS: s.now.UnixMilli()}, 20)
			s.submit()
		}
		break // another one each time
	}
}

// tick lets time pass for machines that all report.
func (s *site) tick() {
	s.now = s.now.Add(250 * time.Millisecond)
	for _, m := range s.core.fleet.Machines {
		m.LastStatus = s.now
		m.LastRenewal = s.now
	}
	s.core.Tick(s.now, true)
}

func BenchmarkReport(b *testing.B) {
	s := newSite(b, *benchMachines, false)
	for b.Loop() {
		s.report()
	}
}

// BenchmarkPlanning is a planning by size: a report, the placing that follows where it changed
// something, and the answer.
func BenchmarkPlanning(b *testing.B) {
	for _, machines := range []int{1000, 4000, 8000} {
		for _, teams := range []int{1, 8, 48} {
			b.Run(fmt.Sprintf("machines=%d/teams=%d", machines, teams), func(b *testing.B) {
				s := newSharedSite(b, machines, teams, 1, false)
				for b.Loop() {
					s.report()
				}
			})
		}
	}
}

// BenchmarkTickShared is a tick by size.
func BenchmarkTickShared(b *testing.B) {
	for _, machines := range []int{1000, 4000, 8000} {
		for _, teams := range []int{1, 48} {
			b.Run(fmt.Sprintf("machines=%d/teams=%d", machines, teams), func(b *testing.B) {
				s := newSharedSite(b, machines, teams, 1, false)
				for b.Loop() {
					s.tick()
				}
			})
		}
	}
}

// interval plays one report interval: every machine reports once, ticks come in between, and once a
// second it is decided what to rent and to give back. It returns how many tasks started.
func (s *site) interval() (starts int) {
	const step = 5 * time.Second
	before := runsTotal.Get()
	began := s.now
	for i := range s.hosts {
		s.now = began.Add(step * time.Duration(i) / time.Duration(len(s.hosts)))
		if i%(len(s.hosts)/TicksPerHeartbeat+1) == 0 {
			s.core.Tick(s.now, true)
			s.core.TakeUrgentCommands()
		}
		if i%(len(s.hosts)/5+1) == 0 {
			s.core.PlanRentals(s.now)
			clear(s.core.autoscaling.inflight)
			s.core.MachinesToReturn(s.now)
		}
		s.report()
	}
	s.now = began.Add(step)
	return int(runsTotal.Get() - before)
}

// BenchmarkInterval is what a report interval costs a leader, and what that is for a start, at one, three
// and six times the size of a large deployment.
func BenchmarkInterval(b *testing.B) {
	for _, machines := range []int{1264, 3792, 7584} {
		for _, teams := range []int{1, 48} {
			b.Run(fmt.Sprintf("machines=%d/teams=%d", machines, teams), func(b *testing.B) {
				s := newSharedSite(b, machines, teams, 1, false)
				s.full = true
				starts := 0
				for b.Loop() {
					starts += s.interval()
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(max(starts, 1)), "us/start")
				b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
			})
		}
	}
}

func BenchmarkReportChains(b *testing.B) {
	s := newSite(b, *benchMachines, true)
	for b.Loop() {
		s.report()
	}
}

func BenchmarkTickChains(b *testing.B) {
	s := newSite(b, *benchMachines, true)
	for b.Loop() {
		s.tick()
	}
}

func BenchmarkTick(b *testing.B) {
	s := newSite(b, *benchMachines, false)
	for b.Loop() {
		s.tick()
	}
}

func BenchmarkWants(b *testing.B) {
	s := newSite(b, 200, false)
	for b.Loop() {
		s.core.PlanRentals(s.now)
		clear(s.core.autoscaling.inflight)
	}
}

// BenchmarkWire is what a report costs beside its decisions: its body read, its answer
// written.
func BenchmarkWire(b *testing.B) {
	s := newSite(b, *benchMachines, false)
	bodies := make([][]byte, len(s.hosts))
	for i, h := range s.hosts {
		bodies[i], _ = json.Marshal(h)
	}
	answer := fleet.HeartbeatResponse{FencingToken: 5, Commands: []fleet.Command{{Verb: fleet.VerbRun, Task: "j-000412/4", Attempt: 5<<24 + 77}, {Verb: fleet.VerbReap, Task: "j-000398/0", Attempt: 5 << 24}}}
	i := 0
	for b.Loop() {
		var r fleet.Heartbeat
		if easyjson.Unmarshal(bodies[i%len(bodies)], &r) != nil {
			b.Fatal("unreadable")
		}
		if _, err := easyjson.Marshal(answer); err != nil {
			b.Fatal(err)
		}
		i++
	}
}
