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

// Guards against drains that break placement rules or lose work. Random drains by name or zone,
// with or without a deadline, start and stop at random times while random jobs run. No task may
// start on a drained machine, and machines must be empty by the deadline. Without a deadline, no
// running task that cannot save a checkpoint is stopped. In the end all jobs are done and no
// capacity is reserved.
func TestDrainsKeepInvariants(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		const machines = 6
		cfg := &config.Config{Options: config.DefaultOptions()}
		cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerLossS: 5, CancelS: 30}
		cfg.Deployment.Store.ValueKB, cfg.Deployment.Zones, cfg.Deployment.Teams = 8, []string{"a", "b"}, []config.Team{{Name: "team"}}
		f := &fakeFleet{t: t, now: time.Unix(1_000_000, 0), jobs: map[string]records.Job{}, runTimes: map[string]time.Duration{}, preemptedAt: map[string]time.Time{}, started: map[string]bool{}}
		f.scheduler = New(SettingsOf(cfg), 5, f.now)
		f.scheduler.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: fakeMachineCPUs, MemGB: 16, Price: 0.2, StartupS: 20, CacheGB: 40, Zones: cfg.Deployment.Zones}})
		f.scheduler.CheckReconciled(f.now)
		for i := range machines {
			name := fmt.Sprintf("m-%02d", i)
			f.machines = append(f.machines, &fakeMachine{heartbeat: fleet.Heartbeat{Machine: name, Addr: name, Type: "c4", Zone: string("ab"[i%2]), Incarnation: 1, FencingToken: 5}})
		}
		var arrivals []records.Job
		for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			j := records.Job{
				ID: fmt.Sprint("j-", i), Team: "team", Image: "img", MemGB: 1, Shape: records.ShapeArray, Priority: records.PriorityStandard,
				CPUs: rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus"), Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"), EstimateS: float64(rapid.IntRange(5, 80).Draw(t, "estimate")),
			}
			if rapid.IntRange(0, 3).Draw(t, "gang") == 0 {
				j.Shape, j.Tasks, j.OneZone = records.ShapeGang, rapid.IntRange(2, 3).Draw(t, "members"), rapid.Bool().Draw(t, "one zone")
			}
			if rapid.Bool().Draw(t, "saves") {
				j.CheckpointS, j.SaveS = 10, float64(rapid.IntRange(0, 4).Draw(t, "save seconds"))
			}
			f.jobs[j.ID], f.runTimes[j.ID] = j, time.Duration(j.EstimateS*float64(time.Second))
			arrivals = append(arrivals, j)
		}
		type drainRequest struct {
			spec     drain.Spec
			from, to int
		}
		var requests []drainRequest
		for i := range rapid.IntRange(1, 3).Draw(t, "drains") {
			request := drainRequest{spec: drain.Spec{ID: fmt.Sprint("d-", i), Kind: rapid.SampledFrom([]string{drain.KindDrain, drain.KindDrain, drain.KindCordon}).Draw(t, "kind")}}
			request.from = rapid.IntRange(5, 100).Draw(t, "from step")
			request.to = request.from + rapid.IntRange(1, 300).Draw(t, "duration in steps")
			if rapid.Bool().Draw(t, "a zone") {
				request.spec.Zone = rapid.SampledFrom(cfg.Deployment.Zones).Draw(t, "zone")
			} else {
				request.spec.Machines = []string{fmt.Sprintf("m-%02d", rapid.IntRange(0, machines-1).Draw(t, "machine"))}
			}
			if request.spec.Kind == drain.KindDrain && rapid.Bool().Draw(t, "has deadline") {
				request.spec.DeadlineMS = f.now.Add(time.Duration(request.from)*500*time.Millisecond + time.Duration(rapid.IntRange(3, 60).Draw(t, "seconds to deadline"))*time.Second).UnixMilli()
			}
			if err := request.spec.Check(f.now); err != nil {
				t.Fatal(err)
			}
			requests = append(requests, request)
		}
		anyDeadline := false // at least one drain has a deadline
		for _, request := range requests {
			anyDeadline = anyDeadline || request.spec.DeadlineMS != 0
		}
		for i := 0; i < 4000 && (i < 420 || len(f.scheduler.jobs) > 0); i++ {
			if i%20 == 0 && len(arrivals) > 0 {
				arrivals[0].AcceptedMS = f.now.UnixMilli()
				f.scheduler.AddJob(arrivals[0], 10, f.now, f.now)
				arrivals = arrivals[1:]
			}
			for _, request := range requests {
				switch i {
				case request.from:
					f.scheduler.SetDrain(request.spec, nil, 0)
				case request.to:
					request.spec.Stopped = true
					f.scheduler.SetDrain(request.spec, nil, 0)
				}
			}
			presentBefore := map[*fakeAttempt]bool{}
			for _, machine := range f.machines {
				for _, attempt := range machine.attempts {
					presentBefore[attempt] = true
				}
			}
			cordoned := map[string]bool{}
			for _, machine := range f.machines {
				if m := f.scheduler.fleet.Machines[machine.heartbeat.Machine]; m != nil && m.Cordon != nil {
					cordoned[machine.heartbeat.Machine] = true
				}
			}
			f.step(i)
			for _, machine := range f.machines {
				m := f.scheduler.fleet.Machines[machine.heartbeat.Machine]
				if m == nil {
					continue // has not sent a heartbeat yet
				}
				for _, attempt := range machine.attempts {
					if cordoned[machine.heartbeat.Machine] && m.Cordon != nil && !presentBefore[attempt] {
						t.Fatalf("%s started on drained machine %s", attempt.Task, machine.heartbeat.Machine)
					}
					if j := f.jobs[attempt.job]; !anyDeadline && attempt.stopping && j.CheckpointS == 0 && f.scheduler.isBeingDrained(m) && j.Shape == records.ShapeArray && attempt.ranTwoRounds(f) {
						t.Fatalf("%s, which cannot save a checkpoint, was stopped on %s", attempt.Task, machine.heartbeat.Machine)
					}
				}
				d, ok := m.Cordon.(*activeDrain)
				if ok && !d.deadline.IsZero() && f.now.Sub(d.deadline) > 10*time.Second {
					for _, attempt := range machine.attempts {
						if attempt.Status != "ended" {
							t.Fatalf("%s is still on %s, %v after the deadline", attempt.Task, machine.heartbeat.Machine, f.now.Sub(d.deadline))
						}
					}
				}
			}
		}
		for id := range f.scheduler.jobs {
			status, done, running, _ := f.scheduler.Progress(id)
			t.Errorf("job %s did not end: %s, %d done, %d running", id, status, done, running)
		}
		for _, machine := range f.machines {
			if m := f.scheduler.fleet.Machines[machine.heartbeat.Machine]; m.Bin.Reserved().CPU > 0 || m.Cordon != nil {
				t.Errorf("machine %s: reserved %+v, cordoned %v", m.Name, m.Bin.Reserved(), m.Cordon != nil)
			}
		}
	})
}

// ranTwoRounds reports whether a stopped attempt had run for more than two rebalancing intervals.
// Then rebalancing has not stopped it.
func (a *fakeAttempt) ranTwoRounds(f *fakeFleet) bool {
	ran := f.runTimes[a.job] - a.remaining
	return ran > 2*f.scheduler.settings.RebalanceInterval
}
