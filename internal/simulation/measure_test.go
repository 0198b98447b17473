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
	measure = flag.Int("measure", 0, "machines of the measurements, which are not tests: 0 leaves them out")
	stretch = flag.Float64("stretch", 1, "how many times as long the tasks of the measurements run")
)

// shift is a deployment under steady load of three classes, in simulated time: an urgent one
// that cannot save and has a deadline, a common one of short tasks, and long ones that save.
type shift struct {
	*cluster
	seed  uint64
	jobs  map[string]*posted
	n     int
	until time.Time
}

type posted struct {
	class string
	at    time.Time
	due   time.Duration
	done  time.Duration // 0: not yet
}

// load keeps a share of the machines busy with jobs that come by chance.
func (s *shift) load(machines int, share float64) {
	cpus := 4 * float64(machines) * share
	for i, k := range []struct {
		class, priority string
		tasks           int
		cpus, seconds   float64
		saves, flush    float64
		due             float64
		of              float64 // of the load
	}{
		{"export", records.PriorityUrgent, 8, 1, 25, 0, 0, 50, 0.25},
		{"index", records.PriorityStandard, 40, 1, 18, 0, 0, 70, 0.35},
		{"cleanup", records.PriorityLow, 12, 4, 70, 30, 4, 160, 0.4},
	} {
		k.seconds, k.due = k.seconds**stretch, k.due**stretch
		every := float64(k.tasks) * k.cpus * k.seconds / (cpus * k.of)
		r := rand.New(rand.NewPCG(s.seed, uint64(i)))
		go func() {
			for time.Now().Before(s.until) {
				if ctxtime.Sleep(s.ctx, time.Duration(every*r.ExpFloat64()*float64(time.Second))) != nil {
					return
				}
				s.post(records.Job{
					Class: k.class, Team: "team", Shape: records.ShapeArray, Priority: k.priority, Tasks: k.tasks, CPUs: k.cpus, MemGB: 1,
					Image: fmt.Sprint(k.class, r.IntN(6)), ImageGB: 0.5, Spot: true, EstimateS: k.seconds, CheckpointS: k.saves, SaveS: k.flush, DeadlineS: &k.due,
				}, k.due)
			}
		}()
	}
}

func (s *shift) post(j records.Job, due float64) {
	s.mu.Lock()
	s.n++
	j.ID = fmt.Sprint("j-", s.n)
	s.cluster.jobs[j.ID] = j
	s.jobs[j.ID] = &posted{class: j.Class, at: time.Now(), due: time.Duration(due * float64(time.Second))}
	s.mu.Unlock()
	for s.submit(s.n%3, j) != 201 {
		if ctxtime.Sleep(s.ctx, time.Second) != nil {
			return
		}
	}
}

// follow notes when jobs are over.
func (s *shift) follow() {
	var since uint64
	for s.ctx.Err() == nil {
		events, epoch, err := s.state.watch(s.ctx, "", records.PrefixClosed, since, time.Second, func() bool { return false })
		if err != nil {
			return
		}
		since = epoch
		s.mu.Lock()
		for _, e := range events {
			if p := s.jobs[strings.TrimPrefix(e.Write, records.PrefixClosed)]; p != nil && p.done == 0 {
				p.done = time.Since(p.at)
			}
		}
		s.mu.Unlock()
	}
}

// late tells, of the jobs of a class, which share missed what was due.
func (s *shift) late(class string) (share float64, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for _, p := range s.jobs {
		if p.class != class {
			continue
		}
		if n++; p.done == 0 || p.done > p.due {
			late++
		}
	}
	return float64(late) / float64(max(n, 1)), n
}

// on tells how many machines that a drain means hold tasks.
func (s *shift) on(means func(*Machine) bool) int {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	n := 0
	for _, m := range s.world.machines {
		if m.gone || !means(m) {
			continue
		}
		for _, x := range m.tasks {
			if x.status != "ended" {
				n++
				break
			}
		}
	}
	return n
}

// work plays a shift.
func work(t *testing.T, seed uint64, machines int, seconds float64, share float64, prepare func(*cluster), story func(s *shift)) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	playWith(t, func(c *cluster) {
		c.cfg.Options.Operators = true
		c.cfg.Deployment.Workers.HeartbeatS, c.cfg.Deployment.Workers.LeaseS, c.cfg.Deployment.Workers.CancelS = 5, 24, 44
		c.cfg.Deployment.State.WriteRPS, c.cfg.Deployment.State.RPS, c.cfg.Deployment.Cloud.ListLagS = 20, 150, 4
		w := c.world
		w.HeartbeatInterval, w.Lease, w.Cancel, w.Version = 5*time.Second, 24*time.Second, 44*time.Second, "1"
		w.Capacity = machines/4 + 1 // in each of two zones, cheap and ordinary
		w.Types[0].FetchGBps, w.Types[0].CacheGB = 0.1, 40
		c.paced = true
		if prepare != nil {
			prepare(c)
		}
	}, func(c *cluster) {
		s := &shift{cluster: c, seed: seed, jobs: map[string]*posted{}, until: time.Now().Add(time.Duration(seconds * float64(time.Second)))}
		c.world.RunFor = func(task string) time.Duration {
			id, _, _ := strings.Cut(task, "/")
			c.mu.Lock()
			defer c.mu.Unlock()
			return time.Duration(c.jobs[id].EstimateS * (0.7 + 0.6*float64(len(task)*7919%100)/100) * float64(time.Second))
		}
		go s.follow()
		s.load(machines, share)
		story(s)
	})
}

// TestMeasureDrain compares ways to empty one of two zones for a storm: the drain, by a time
// and without one; no new tasks and waiting; and what happens without any of it.
//
//	go test ./internal/simulation -run MeasureDrain -measure 450 -v
func TestMeasureDrain(t *testing.T) {
	if *measure == 0 {
		t.Skip("a measurement, taken by hand")
	}
	t.Log("| machines | way | empty after (s) | work lost (task s) | export late | index late | cleanup late | price |")
	for _, way := range []string{"nothing happens", "drain", "drain by 60 s", "cordon and wait", "power fails at 60 s"} {
		var empty, lost, cost float64
		late := map[string]float64{}
		const seeds = 3
		for seed := range uint64(seeds) {
			work(t, seed, *measure, 500, 0.45, nil, func(s *shift) {
				sleep(240)
				north := func(m *Machine) bool { return m.Zone == "a" }
				before := s.world.Wasted()
				began := time.Now()
				spec := drain.Spec{ID: "d-1", Kind: drain.Empty, Zone: "a"}
				switch way {
				case "drain by 60 s":
					spec.ByMS = began.Add(time.Minute).UnixMilli()
				case "cordon and wait":
					spec.Kind = drain.Cordon
				case "nothing happens", "power fails at 60 s":
					spec.ID = ""
				}
				if spec.ID != "" {
					s.record(spec)
				}
				if way == "power fails at 60 s" {
					sleep(60)
					s.world.FailZone("a")
				}
				if way != "nothing happens" {
					for s.on(north) > 0 && time.Since(began) < 10*time.Minute {
						sleep(1)
					}
					empty += time.Since(began).Seconds() / seeds
				}
				sleep(500)
				lost += (s.world.Wasted() - before).Seconds() / seeds
				for _, class := range []string{"export", "index", "cleanup"} {
					l, _ := s.late(class)
					late[class] += l / seeds
				}
				_, bills := s.world.History()
				for _, b := range bills {
					cost += b.Cost / seeds
				}
			})
		}
		t.Logf("| %d | %s | %.0f | %.0f | %.3f | %.3f | %.3f | %.2f |", *measure, way, empty, lost, late["export"], late["index"], late["cleanup"], cost)
	}
}

// record puts a drain on record, as operators do.
func (s *shift) record(d drain.Spec) {
	for {
		_, err := s.state.Client("operator").Commit(s.ctx, nil, []records.Op{{Write: records.PrefixDrains + d.ID, Value: d}})
		if err == nil || s.ctx.Err() != nil {
			return
		}
		sleep(1)
	}
}

// TestMeasureUpgrade rolls all machines over to another version, a tenth at a time, and tells
// how long it took, how many changes the store took for it, and what was lost.
//
//	go test ./internal/simulation -run MeasureUpgrade -measure 3000 -v -timeout 1h
func TestMeasureUpgrade(t *testing.T) {
	if *measure == 0 {
		t.Skip("a measurement, taken by hand")
	}
	t.Log("| machines | upgraded after (s) | changes/s before | changes/s during | work lost (task s) | export late |")
	start := time.Now()
	work(t, 1, *measure, 100_000, 0.6, nil, func(s *shift) {
		sleep(300)
		writes := s.writes()
		sleep(100)
		rate := float64(s.writes()-writes) / 100
		up := len(s.world.Machines())
		before, began, writes := s.world.Wasted(), time.Now(), s.writes()
		s.record(drain.Spec{ID: "d-1", Kind: drain.Upgrade, To: "2", AtOnce: max(up/10, 1), KeepUp: up / 4, BeganMS: began.UnixMilli(), Then: drain.Keep})
		for time.Since(began) < 4*time.Hour {
			sleep(5)
			left := 0
			for _, m := range s.world.Machines() {
				if s.idle(m) && s.cordoned(m.Host) && m.Version != "2" {
					s.world.Upgrade(m.Host, "2")
				}
				if m.Version != "2" {
					left++
				}
			}
			if strings.Contains(s.state.Value(records.PrefixDrainState+"d-1"), `"phase":"done"`) {
				break
			}
		}
		took := time.Since(began).Seconds()
		s.until = time.Now()
		l, _ := s.late("export")
		t.Logf("| %d | %.0f | %.1f | %.1f | %.0f | %.3f |", up, took, rate, float64(s.writes()-writes)/took, (s.world.Wasted() - before).Seconds(), l)
	})
	t.Logf("%v of this machine's time", time.Since(start).Round(time.Second))
}

func (s *shift) writes() int {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.Writes
}

func (s *shift) idle(m *Machine) bool {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	for _, x := range m.tasks {
		if x.status != "ended" {
			return false
		}
	}
	return true
}

// cordoned says whether the leader has a machine in hand.
func (s *shift) cordoned(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if n != nil && n.leader != nil {
			v, ok := n.leader.Machine(host)
			return ok && v.State == "drained"
		}
	}
	return false
}
