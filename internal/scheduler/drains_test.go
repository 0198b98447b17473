package scheduler

import (
	"fmt"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/records"

	"pgregory.net/rapid"
)

// Over random jobs, drains by name or zone begin and are withdrawn at any moment, with a
// time to keep or without: no rule breaks, nothing new starts on a drained machine, one
// that was to be empty by a time is, without such a time no running task that cannot save
// is stopped, and in the end everything is done and nothing is owed.
func TestDrainsKeepInvariants(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		const machines = 6
		cfg := &config.Config{Options: config.DefaultOptions()}
		cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerS: 5, CancelS: 30}
		cfg.Deployment.State.ValueKB, cfg.Deployment.Zones, cfg.Deployment.Teams = 8, []string{"a", "b"}, []config.Team{{Name: "team"}}
		y := &fakeFleet{t: t, now: time.Unix(1_000_000, 0), jobs: map[string]records.Job{}, runTimes: map[string]time.Duration{}, preemptedAt: map[string]time.Time{}, started: map[string]bool{}}
		y.scheduler = New(SettingsOf(cfg), 5, y.now)
		y.scheduler.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: fakeMachineCPUs, MemGB: 16, Price: 0.2, StartupS: 20, CacheGB: 40, Zones: cfg.Deployment.Zones}})
		y.scheduler.CheckReconciled(y.now)
		for i := range machines {
			host := fmt.Sprintf("m-%02d", i)
			y.machines = append(y.machines, &fakeMachine{heartbeat: fleet.Heartbeat{Machine: host, Addr: host, Type: "c4", Zone: string("ab"[i%2]), Incarnation: 1, FencingToken: 5}})
		}
		var comes []records.Job
		for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			j := records.Job{
				ID: fmt.Sprint("j-", i), Team: "team", Image: "img", MemGB: 1, Shape: records.ShapeArray, Priority: records.PriorityStandard,
				CPUs: rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus"), Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"), EstimateS: float64(rapid.IntRange(5, 80).Draw(t, "estimate")),
			}
			if rapid.IntRange(0, 3).Draw(t, "gang") == 0 {
				j.Shape, j.Tasks, j.OneZone = records.ShapeGang, rapid.IntRange(2, 3).Draw(t, "members"), rapid.Bool().Draw(t, "one zone")
			}
			if rapid.Bool().Draw(t, "saves") {
				j.CheckpointS, j.SaveS = 10, float64(rapid.IntRange(0, 4).Draw(t, "flush"))
			}
			y.jobs[j.ID], y.runTimes[j.ID] = j, time.Duration(j.EstimateS*float64(time.Second))
			comes = append(comes, j)
		}
		type wish struct {
			spec     drain.Spec
			from, to int
		}
		var wishes []wish
		for i := range rapid.IntRange(1, 3).Draw(t, "drains") {
			w := wish{spec: drain.Spec{ID: fmt.Sprint("d-", i), Kind: rapid.SampledFrom([]string{drain.KindDrain, drain.KindDrain, drain.KindCordon}).Draw(t, "kind")}}
			w.from = rapid.IntRange(5, 100).Draw(t, "from step")
			w.to = w.from + rapid.IntRange(1, 300).Draw(t, "for steps")
			if rapid.Bool().Draw(t, "a zone") {
				w.spec.Zone = rapid.SampledFrom(cfg.Deployment.Zones).Draw(t, "zone")
			} else {
				w.spec.Machines = []string{fmt.Sprintf("m-%02d", rapid.IntRange(0, machines-1).Draw(t, "machine"))}
			}
			if w.spec.Kind == drain.KindDrain && rapid.Bool().Draw(t, "by a time") {
				w.spec.DeadlineMS = y.now.Add(time.Duration(w.from)*500*time.Millisecond + time.Duration(rapid.IntRange(3, 60).Draw(t, "in"))*time.Second).UnixMilli()
			}
			if err := w.spec.Check(y.now); err != nil {
				t.Fatal(err)
			}
			wishes = append(wishes, w)
		}
		pressed := false // a time to keep was ever given
		for _, w := range wishes {
			pressed = pressed || w.spec.DeadlineMS != 0
		}
		for i := 0; i < 4000 && (i < 420 || len(y.scheduler.jobs) > 0); i++ {
			if i%20 == 0 && len(comes) > 0 {
				comes[0].AcceptedMS = y.now.UnixMilli()
				y.scheduler.AddJob(comes[0], 10, y.now, y.now)
				comes = comes[1:]
			}
			for _, w := range wishes {
				switch i {
				case w.from:
					y.scheduler.SetDrain(w.spec, nil, 0)
				case w.to:
					w.spec.Stopped = true
					y.scheduler.SetDrain(w.spec, nil, 0)
				}
			}
			was := map[*fakeAttempt]bool{}
			for _, h := range y.machines {
				for _, s := range h.attempts {
					was[s] = true
				}
			}
			cordoned := map[string]bool{}
			for _, h := range y.machines {
				if m := y.scheduler.fleet.Machines[h.heartbeat.Machine]; m != nil && m.Cordon != nil {
					cordoned[h.heartbeat.Machine] = true
				}
			}
			y.step(i)
			for _, h := range y.machines {
				m := y.scheduler.fleet.Machines[h.heartbeat.Machine]
				if m == nil {
					continue // has not reported yet
				}
				for _, s := range h.attempts {
					if cordoned[h.heartbeat.Machine] && m.Cordon != nil && !was[s] {
						t.Fatalf("%s started on %s, which is drained", s.Task, h.heartbeat.Machine)
					}
					if j := y.jobs[s.job]; !pressed && s.stopping && j.CheckpointS == 0 && y.scheduler.isEmptying(m) && j.Shape == records.ShapeArray && s.ranTwoRounds(y) {
						t.Fatalf("%s, which cannot save, was stopped on %s", s.Task, h.heartbeat.Machine)
					}
				}
				d, ok := m.Cordon.(*activeDrain)
				if ok && !d.deadline.IsZero() && y.now.Sub(d.deadline) > 10*time.Second {
					for _, s := range h.attempts {
						if s.Status != "ended" {
							t.Fatalf("%s is still on %s, %v after it was to be empty", s.Task, h.heartbeat.Machine, y.now.Sub(d.deadline))
						}
					}
				}
			}
		}
		for id := range y.scheduler.jobs {
			st, done, running, _ := y.scheduler.Progress(id)
			t.Errorf("%s never ended: %s, %d done, %d running", id, st, done, running)
		}
		for _, h := range y.machines {
			if m := y.scheduler.fleet.Machines[h.heartbeat.Machine]; m.Bin.Reserved().CPU > 0 || m.Cordon != nil {
				t.Errorf("%s owes %+v, drained %v", m.Name, m.Bin.Reserved(), m.Cordon != nil)
			}
		}
	})
}

// ranTwoRounds reports whether a task that was stopped had been running for longer than a move made
// only to fill or empty a bin would take.
func (s *fakeAttempt) ranTwoRounds(y *fakeFleet) bool {
	ran := y.runTimes[s.job] - s.remaining
	return ran > 2*y.scheduler.settings.RebalanceInterval
}
