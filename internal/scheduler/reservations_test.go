package scheduler

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/records"

	"pgregory.net/rapid"
)

// startDelaysUnderLoad simulates a fleet on which small jobs with later turns always wait, while
// gangs that need a whole zone arrive, each at one of arrivalSteps, which count half seconds. boundS
// is the time in seconds within which a job should start, 0 for no reservations; runTimesS are the
// run times of the small jobs in seconds. It returns how long each gang that started has waited, by
// job id.
func startDelaysUnderLoad(t *rapid.T, boundS float64, machinesPerZone int, arrivalSteps []int, runTimesS []int) map[string]time.Duration {
	options := config.DefaultOptions()
	options.Reservations, options.BeginWithinS = boundS > 0, max(boundS, 1)
	f := newFakeFleet(t, options, []config.Team{{Name: "team"}}, machinesPerZone)
	add := func(id, shape string, tasks int, cpus float64, run int) {
		j := records.Job{
			ID: id, Team: "team", Image: "img", MemGB: 1, Shape: shape, Priority: records.PriorityStandard, CPUs: cpus, Tasks: tasks,
			OneZone: shape == records.ShapeGang, EstimateS: float64(run), AcceptedMS: f.now.UnixMilli(),
		}
		f.jobs[id], f.runTimes[id] = j, time.Duration(run)*time.Second
		f.scheduler.AddJob(j, 10, f.now, f.now)
	}
	arrived, startDelays := map[string]time.Time{}, map[string]time.Duration{}
	for i := range 600 { // steps of half a second
		if i%4 == 0 {
			// Slightly more work than all machines can do in two seconds.
			run := runTimesS[i/4%len(runTimesS)]
			add(fmt.Sprint("j-1000", i), records.ShapeArray, 1+2*fakeMachineCPUs*machinesPerZone*2/run, 1, run)
		}
		for n, at := range arrivalSteps {
			if id := fmt.Sprint("j-9", n); i == at {
				add(id, records.ShapeGang, machinesPerZone, fakeMachineCPUs, 10)
				arrived[id] = f.now
			}
		}
		f.step(i)
		for id, at := range arrived {
			if _, known := startDelays[id]; !known && f.started[id] {
				startDelays[id] = f.now.Sub(at)
			}
		}
	}
	return startDelays
}

// setRapidChecks sets the number of cases of rapid.Check until the test ends.
func setRapidChecks(t *testing.T, n int) {
	previous := flag.Lookup("rapid.checks").Value.String()
	set := func(v string) {
		if err := flag.Set("rapid.checks", v); err != nil {
			t.Fatal(err)
		}
	}
	set(strconv.Itoa(n))
	t.Cleanup(func() { set(previous) })
}

// Guards against large jobs that starve because small jobs fill each place that becomes free. A
// gang must start within the limit that docs/reservations.md states: three quarters of the
// reservation bound, plus the longest run time of the running tasks for each gang that is due. The
// test allows one run time more, and 8 s for heartbeats.
func TestLargestJobsStartWithinBound(t *testing.T) {
	useFixedSeed(t)
	setRapidChecks(t, 25)
	rapid.Check(t, func(t *rapid.T) {
		boundS := float64(rapid.IntRange(40, 80).Draw(t, "begin"))
		runTimesS := rapid.SliceOfN(rapid.IntRange(4, 16), 3, 8).Draw(t, "runs")
		arrivalSteps := rapid.SliceOfN(rapid.IntRange(40, 120), 1, 3).Draw(t, "gangs")
		startDelays := startDelaysUnderLoad(t, boundS, rapid.IntRange(3, 5).Draw(t, "slots"), arrivalSteps, runTimesS)
		const longestRun, heartbeats = 16 * time.Second, 8 * time.Second
		limit := time.Duration(boundS*0.75*float64(time.Second)) + time.Duration(len(arrivalSteps)+1)*longestRun + heartbeats
		for n := range arrivalSteps {
			if wait, ok := startDelays[fmt.Sprint("j-9", n)]; !ok || wait > limit {
				t.Errorf("gang %d of %v: began %v, after %v, want at most %v", n, arrivalSteps, ok, wait, limit)
			}
		}
	})
	// Without reservations no gang starts, so the property depends on them.
	setRapidChecks(t, 1)
	rapid.Check(t, func(t *rapid.T) {
		if startDelays := startDelaysUnderLoad(t, 0, 4, []int{60}, []int{5, 9, 16}); len(startDelays) > 0 {
			t.Errorf("gang started without reservations: %v, want none", startDelays)
		}
	})
}

// Guards against a leader that never leaves a loop and takes all memory: for a gang that needs no CPUs, GPUs
// and memory, a machine seemed to have places without end. A machine has no more places than the gang has
// tasks, and no more than its status can list.
func TestPlacesOfSmallestTasksAreBounded(t *testing.T) {
	for _, test := range []struct {
		tasks int
		cpus  float64
		most  int
	}{{2, 0, 2}, {2, 5e-324, 2}, {100_000, 0, 1000}, {100_000, 0.0001, 1000}, {3, 40, 2}} {
		w := newSmallTaskWorker(t, 50)
		w.step() // the machine becomes known
		gang := w.scheduler.AddJob(records.Job{
			ID: "j-1", Team: "team", Shape: records.ShapeGang, Priority: records.PriorityUrgent, Tasks: test.tasks, CPUs: test.cpus, MemGB: test.cpus, Image: "img",
		}, 10, w.now, w.now)
		places := w.scheduler.secondsUntilPlaces(gang, w.machine, gang.pending(), w.now)
		if len(places) > test.most || len(places) == 0 {
			t.Errorf("%d tasks of %g CPUs: got %d places, want 1 to %d", test.tasks, test.cpus, len(places), test.most)
		}
	}
}
