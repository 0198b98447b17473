package scheduler

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/records"
)

// A set counts the tasks in a range as a set of single tasks does, whatever its length.
func TestTaskSetCountsRanges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 500 {
		var a, b taskSet
		inA, inB := map[int]bool{}, map[int]bool{}
		for range random.IntN(60) {
			x, y := random.IntN(1+random.IntN(300)), random.IntN(1+random.IntN(300))
			a.add(x)
			b.add(y)
			inA[x], inB[y] = true, true
			if z := random.IntN(400); random.IntN(3) == 0 {
				a.remove(z)
				delete(inA, z)
			}
		}
		first, end, want := random.IntN(200), random.IntN(400), 0
		for task := first; task < end; task++ {
			if a.has(task) != inA[task] || b.has(task) != inB[task] {
				t.Fatalf("round %d: task %d is in the sets: %v and %v, want %v and %v", round, task, a.has(task), b.has(task), inA[task], inB[task])
			}
			if inA[task] || inB[task] {
				want++
			}
		}
		if got := countUnion(a, b, first, end); got != want {
			t.Fatalf("round %d: %d tasks from %d to %d, want %d", round, got, first, end, want)
		}
	}
}

// A queue of retries returns each task once, in the order in which the tasks were first added.
func TestRetryQueueKeepsOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var q retryQueue
	var want []int
	for step := range 20_000 {
		if random.IntN(2) == 0 && len(want) > 0 {
			if got := q.first(); got != want[0] {
				t.Fatalf("step %d: the first task is %d, want %d", step, got, want[0])
			}
			q.pop()
			want = want[1:]
		} else {
			first := random.IntN(300)
			for task := first; task <= first+random.IntN(4); task++ {
				q.push(task)
				if !slices.Contains(want, task) {
					want = append(want, task)
				}
			}
		}
		if q.count != len(want) || q.count > 0 != (len(q.ranges) > 0) {
			t.Fatalf("step %d: %d tasks in %d ranges, want %d", step, q.count, len(q.ranges), len(want))
		}
	}
}

// loadTerm loads jobs of a number of tasks each in a new term, with one task of each to be retried, ends
// the reconciliation, and runs a placement pass, a plan of rentals and a preview of a drain.
func loadTerm(t *testing.T, jobs, tasks int) *Scheduler {
	t.Helper()
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Options.Watermarks = true
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 24, GangWaitS: 30, GangPeerLossS: 5, CancelS: 44}
	cfg.Deployment.Store.ValueKB, cfg.Deployment.Zones, cfg.Deployment.Teams = 8, []string{"a", "b", "c"}, []config.Team{{Name: "team"}}
	now := time.Unix(1_000_000, 0)
	s := New(SettingsOf(cfg), 5, now)
	s.SetMachineTypes([]records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20, Zones: cfg.Deployment.Zones}})
	shapes := []string{records.ShapeArray, records.ShapeService, records.ShapeGang}
	watermarks := map[string]int{}
	for i := range jobs {
		j := records.Job{ID: fmt.Sprintf("j-%d", i), Team: "team", Shape: shapes[i%3], Priority: records.PriorityStandard, Tasks: tasks, CPUs: 1, EstimateS: 10}
		s.AddJob(j, 1, now, now)
		watermarks[j.ID] = tasks
	}
	s.LoadWatermarks(watermarks, true)
	for _, j := range s.jobs {
		j.retries.push(tasks / 2)
		j.uncertain.certain.add(tasks / 2)
		if n := j.pending(); n != tasks {
			t.Fatalf("%d of %d tasks are pending", n, tasks)
		}
	}
	s.CheckReconciled(now)
	s.ReconcileCloudList(nil, now, now)
	startMachines(s, 3, now)
	s.placeWaiting(now)
	if len(s.PlanRentals(now)) == 0 {
		t.Fatal("no machine is rented")
	}
	if _, err := s.PreviewDrain(&drain.Spec{ID: "d-1", Kind: drain.KindDrain, Machines: []string{"m-000000"}}, false, now); err != nil {
		t.Fatal(err)
	}
	return s
}

// heldBytes returns the memory that the result of f takes.
func heldBytes(f func() *Scheduler) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(s)
	return int(after.HeapAlloc) - int(before.HeapAlloc)
}

// The tasks that wait take no memory of their own, also after a failover, when all tasks of a job may have
// to be retried. Per-task state of arrays of 100,000 tasks once took a new leader's memory.
func TestMemoryDoesNotGrowWithWaitingTasks(t *testing.T) {
	const jobs = 99
	few := heldBytes(func() *Scheduler { return loadTerm(t, jobs, 100) })
	many := heldBytes(func() *Scheduler { return loadTerm(t, jobs, 100_000) })
	// The last task that was ever in one of a job's sets bounds their size: a bit for each task before it.
	const setBytes = 4 * 100_000 / 8
	if limit := few + jobs*setBytes; many > limit {
		t.Errorf("%d jobs of 100,000 tasks take %d bytes, %d with 100 tasks each; want at most %d", jobs, many, few, limit)
	}
}
