package simulation

import (
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/drain"
	"drumpick/internal/records"
)

var (
	measuredMachines = flag.Int("measure", 0, "number of machines in the measurements; 0 skips them")
	runTimeFactor    = flag.Float64("stretch", 1, "factor for the run times of tasks in the measurements")
)

// workload is a cluster under a steady load of three job classes, in simulated time: urgent jobs without
// checkpoints, standard jobs with short tasks, and low-priority jobs with long tasks and checkpoints. All have
// deadlines.
type workload struct {
	*cluster
	seed     uint64
	jobs     map[string]*submittedJob
	jobCount int
	loadEnd  time.Time // no job is submitted after this time
}

type submittedJob struct {
	class       string
	submittedAt time.Time
	deadline    time.Duration // from submission
	doneAfter   time.Duration // from submission to completion; 0: not done yet
}

// generateLoad submits jobs at random times until loadEnd. On average, they keep a share of the machines busy.
func (s *workload) generateLoad(machines int, share float64) {
	cpus := 4 * float64(machines) * share
	for i, k := range []struct {
		class, priority    string
		tasks              int
		cpus, seconds      float64
		checkpointS, saveS float64
		deadlineS          float64
		loadShare          float64 // share of the whole load
	}{
		{"export", records.PriorityUrgent, 8, 1, 25, 0, 0, 50, 0.25},
		{"index", records.PriorityStandard, 40, 1, 18, 0, 0, 70, 0.35},
		{"cleanup", records.PriorityLow, 12, 4, 70, 30, 4, 160, 0.4},
	} {
		k.seconds, k.deadlineS = k.seconds**runTimeFactor, k.deadlineS**runTimeFactor
		meanInterval := float64(k.tasks) * k.cpus * k.seconds / (cpus * k.loadShare)
		r := rand.New(rand.NewPCG(s.seed, uint64(i)))
		go func() {
			for time.Now().Before(s.loadEnd) {
				if ctxtime.Sleep(s.ctx, time.Duration(meanInterval*r.ExpFloat64()*float64(time.Second))) != nil {
					return
				}
				s.submitUntilAccepted(records.Job{
					Class: k.class, Team: "team", Shape: records.ShapeArray, Priority: k.priority, Tasks: k.tasks, CPUs: k.cpus, MemGB: 1,
					Image: fmt.Sprint(k.class, r.IntN(6)), ImageGB: 0.5, Spot: true,
					EstimateS: k.seconds, CheckpointS: k.checkpointS, SaveS: k.saveS, DeadlineS: &k.deadlineS,
				}, k.deadlineS)
			}
		}()
	}
}

// submitUntilAccepted submits a job every second until a controller accepts it as new.
func (s *workload) submitUntilAccepted(j records.Job, deadlineS float64) {
	s.mu.Lock()
	s.jobCount++
	j.ID = fmt.Sprint("j-", s.jobCount)
	s.cluster.jobs[j.ID] = j
	s.jobs[j.ID] = &submittedJob{class: j.Class, submittedAt: time.Now(), deadline: time.Duration(deadlineS * float64(time.Second))}
	s.mu.Unlock()
	for s.submit(s.jobCount%3, j) != 201 {
		if ctxtime.Sleep(s.ctx, time.Second) != nil {
			return
		}
	}
}

// recordCompletions records when jobs end.
func (s *workload) recordCompletions() {
	var since uint64
	for s.ctx.Err() == nil {
		events, revision, err := s.store.watch(s.ctx, "", records.PrefixClosed, since, time.Second, func() bool { return false })
		if err != nil {
			return
		}
		since = revision
		s.mu.Lock()
		for _, e := range events {
			if p := s.jobs[strings.TrimPrefix(e.Write, records.PrefixClosed)]; p != nil && p.doneAfter == 0 {
				p.doneAfter = time.Since(p.submittedAt)
			}
		}
		s.mu.Unlock()
	}
}

// missedDeadlineShare returns the share of a class's jobs that missed their deadline, and the number of its jobs.
func (s *workload) missedDeadlineShare(class string) (share float64, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for _, p := range s.jobs {
		if p.class != class {
			continue
		}
		if n++; p.doneAfter == 0 || p.doneAfter > p.deadline {
			late++
		}
	}
	return float64(late) / float64(max(n, 1)), n
}

// busyMachines returns the number of selected machines with tasks that have not ended.
func (s *workload) busyMachines(selected func(*Machine) bool) int {
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	n := 0
	for _, m := range s.env.machines {
		if m.terminated || !selected(m) {
			continue
		}
		for _, a := range m.tasks {
			if a.status != statusEnded {
				n++
				break
			}
		}
	}
	return n
}

// runWorkload runs a scenario under a steady load, which keeps a share of the machines busy and lasts for the given
// number of seconds.
func runWorkload(
	t *testing.T, seed uint64, machines int, seconds, share float64, prepare func(*cluster), scenario func(s *workload),
) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	runScenarioWith(t, func(c *cluster) {
		c.cfg.Options.OperatorAPI = true
		c.cfg.Deployment.Workers.HeartbeatS, c.cfg.Deployment.Workers.LeaseS, c.cfg.Deployment.Workers.CancelS = 5, 24, 44
		c.cfg.Deployment.Store.WriteRPS, c.cfg.Deployment.Store.RPS, c.cfg.Deployment.Cloud.ListLagS = 20, 150, 4
		env := c.env
		env.HeartbeatInterval, env.Lease, env.CancelLimit, env.WorkerVersion = 5*time.Second, 24*time.Second, 44*time.Second, "1"
		env.ZoneCapacity = machines/4 + 1 // for each of two zones and two kinds, spot and on-demand
		env.Types[0].FetchGBps, env.Types[0].CacheGB = 0.1, 40
		c.limitLeaderWrites = true
		if prepare != nil {
			prepare(c)
		}
	}, func(c *cluster) {
		until := time.Now().Add(time.Duration(seconds * float64(time.Second)))
		s := &workload{cluster: c, seed: seed, jobs: map[string]*submittedJob{}, loadEnd: until}
		c.env.RunTime = func(task string) time.Duration {
			id, _, _ := strings.Cut(task, "/")
			c.mu.Lock()
			defer c.mu.Unlock()
			return time.Duration(c.jobs[id].EstimateS * (0.7 + 0.6*float64(len(task)*7919%100)/100) * float64(time.Second))
		}
		go s.recordCompletions()
		s.generateLoad(machines, share)
		scenario(s)
	})
}

// TestMeasureDrain measures ways to empty one of two zones: a drain with and without a deadline, and a cordon. It
// compares them with a power failure and with an undisturbed run.
//
//	go test ./internal/simulation -run MeasureDrain -measure 450 -v
func TestMeasureDrain(t *testing.T) {
	if *measuredMachines == 0 {
		t.Skip("measurement; set -measure to run it")
	}
	t.Log("| machines | way | empty after (s) | work lost (task s) | export late | index late | cleanup late | price |")
	for _, way := range []string{"nothing happens", "drain", "drain by 60 s", "cordon and wait", "power fails at 60 s"} {
		var empty, lost, cost float64
		late := map[string]float64{}
		const seeds = 3
		for seed := range uint64(seeds) {
			runWorkload(t, seed, *measuredMachines, 500, 0.45, nil, func(s *workload) {
				sleep(240)
				inZoneA := func(m *Machine) bool { return m.Zone == "a" }
				before := s.env.LostWork()
				began := time.Now()
				spec := drain.Spec{ID: "d-1", Kind: drain.KindDrain, Zone: "a"}
				switch way {
				case "drain by 60 s":
					spec.DeadlineMS = began.Add(time.Minute).UnixMilli()
				case "cordon and wait":
					spec.Kind = drain.KindCordon
				case "nothing happens", "power fails at 60 s":
					spec.ID = ""
				}
				if spec.ID != "" {
					s.startDrain(spec)
				}
				if way == "power fails at 60 s" {
					sleep(60)
					s.env.FailZone("a")
				}
				if way != "nothing happens" {
					for s.busyMachines(inZoneA) > 0 && time.Since(began) < 10*time.Minute {
						sleep(1)
					}
					empty += time.Since(began).Seconds() / seeds
				}
				sleep(500)
				lost += (s.env.LostWork() - before).Seconds() / seeds
				for _, class := range []string{"export", "index", "cleanup"} {
					l, _ := s.missedDeadlineShare(class)
					late[class] += l / seeds
				}
				_, costs := s.env.History()
				for _, rental := range costs {
					cost += rental.Cost / seeds
				}
			})
		}
		t.Logf("| %d | %s | %.0f | %.0f | %.3f | %.3f | %.3f | %.2f |",
			*measuredMachines, way, empty, lost, late["export"], late["index"], late["cleanup"], cost)
	}
}

// startDrain stores a drain, as a controller does for an operator's request. It retries until the store accepts it.
func (s *workload) startDrain(d drain.Spec) {
	for {
		_, err := s.store.Client("operator").Commit(s.ctx, nil, []records.Op{{Write: records.PrefixDrains + d.ID, Value: d}})
		if err == nil || s.ctx.Err() != nil {
			return
		}
		sleep(1)
	}
}

// TestMeasureUpgrade upgrades all machines to another version, a tenth at a time. It logs the duration, the write
// rate of the store before and during the upgrade, and the work lost.
//
//	go test ./internal/simulation -run MeasureUpgrade -measure 3000 -v -timeout 1h
func TestMeasureUpgrade(t *testing.T) {
	if *measuredMachines == 0 {
		t.Skip("measurement; set -measure to run it")
	}
	t.Log("| machines | upgraded after (s) | changes/s before | changes/s during | work lost (task s) | export late |")
	start := time.Now()
	runWorkload(t, 1, *measuredMachines, 100_000, 0.6, nil, func(s *workload) {
		sleep(300)
		writes := s.writes()
		sleep(100)
		rate := float64(s.writes()-writes) / 100
		up := len(s.env.Machines())
		before, began, writes := s.env.LostWork(), time.Now(), s.writes()
		s.startDrain(drain.Spec{
			ID: "d-1", Kind: drain.KindUpgrade, TargetVersion: "2", MaxOutOfService: max(up/10, 1), MinInService: up / 4,
			RequestedMS: began.UnixMilli(), WhenEmpty: drain.Keep,
		})
		for time.Since(began) < 4*time.Hour {
			sleep(5)
			left := 0
			for _, m := range s.env.Machines() {
				if s.isIdle(m) && s.isDrained(m.Name) && m.Version != "2" {
					s.env.Upgrade(m.Name, "2")
				}
				if m.Version != "2" {
					left++
				}
			}
			if strings.Contains(s.store.Value(records.PrefixDrainState+"d-1"), `"phase":"done"`) {
				break
			}
		}
		took := time.Since(began).Seconds()
		s.loadEnd = time.Now()
		l, _ := s.missedDeadlineShare("export")
		during, lost := float64(s.writes()-writes)/took, (s.env.LostWork() - before).Seconds()
		t.Logf("| %d | %.0f | %.1f | %.1f | %.0f | %.3f |", up, took, rate, during, lost, l)
	})
	t.Logf("%v of wall-clock time", time.Since(start).Round(time.Second))
}

func (s *workload) writes() int {
	return s.store.Writes()
}

func (s *workload) isIdle(m *Machine) bool {
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	for _, a := range m.tasks {
		if a.status != statusEnded {
			return false
		}
	}
	return true
}

// isDrained reports whether the leader considers a machine drained.
func (s *workload) isDrained(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.controllers {
		if n != nil && n.leader != nil {
			v, ok := n.leader.Machine(machine)
			return ok && v.State == "drained"
		}
	}
	return false
}
