package localcluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"drumpick/client"
	"drumpick/internal/drain"
	"drumpick/internal/simulation"
)

// Tests of drains under injected faults, with real controllers.

// startDrain starts a drain and returns its ID. If d has no ID or kind, it uses a new ID or client.DrainEmpty.
func (tc *testCluster) startDrain(d drain.Spec) string {
	tc.t.Helper()
	if d.ID == "" {
		d.ID = client.NewDrainID()
	}
	if d.Kind == "" {
		d.Kind = client.DrainEmpty
	}
	if _, err := tc.cluster.Client().StartDrain(tc.t.Context(), client.Drain{Spec: d, Force: tc.forceDrains}); err != nil {
		tc.t.Fatalf("drain: %v", err)
	}
	return d.ID
}

// waitForPhase waits until a drain is in a phase, and returns the drain.
func (tc *testCluster) waitForPhase(id, phase string) client.DrainView {
	tc.t.Helper()
	var v client.DrainView
	tc.waitFor(id+" to be "+phase, func() bool {
		var err error
		v, err = tc.cluster.Client().Drain(tc.t.Context(), id)
		return err == nil && v.State != nil && v.State.Phase == phase
	})
	return v
}

// runningTaskMachines returns the name of the machine of each running task of a job, by task.
func (tc *testCluster) runningTaskMachines(id string) map[string]string {
	machineByTask := map[string]string{}
	for _, m := range tc.cluster.Environment.Machines() {
		r, err := m.Status()
		if err != nil {
			continue
		}
		for _, s := range r.Tasks {
			if strings.HasPrefix(s.Task, id+"/") && s.Status == "running" {
				machineByTask[s.Task] = m.Name
			}
		}
	}
	return machineByTask
}

// endedRuns returns the ended attempts of a job's tasks.
func (tc *testCluster) endedRuns(id string) []simulation.TaskRun {
	var runs []simulation.TaskRun
	for _, run := range tc.cluster.History().Runs {
		if strings.HasPrefix(run.Task, id+"/") {
			runs = append(runs, run)
		}
	}
	return runs
}

// waitRunning waits until at least n tasks of a job run, and returns the machine of each running task.
func (tc *testCluster) waitRunning(id string, n int) map[string]string {
	tc.t.Helper()
	var machineByTask map[string]string
	tc.waitFor(id+" to run", func() bool { machineByTask = tc.runningTaskMachines(id); return len(machineByTask) >= n })
	return machineByTask
}

// makeUrgent makes a job urgent and keeps it off spot machines. Its tasks save no checkpoints.
func makeUrgent(j *client.Job) { j.Priority, j.Team, j.Spot = client.Urgent, "desk", false }

// makeCheckpointing makes a job's tasks save checkpoints.
func makeCheckpointing(j *client.Job) { j.CheckpointS, j.SaveS, j.CPUs = 2, 0.5, 2 }

// A drain starts while an urgent task without checkpoints runs. The leader is killed after it has stored the drain and
// before it has completed it. The next leader continues the drain: the urgent task finishes on its machine, and
// checkpointing tasks move without losing work.
func TestDrainContinuesAfterLeaderIsKilled(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 3, nil)
	tc.submitAndFollow(1, batchJob("j-1", 1, 8, makeUrgent), 0)
	tc.submitAndFollow(2, batchJob("j-2", 4, 12, makeCheckpointing), 0)
	urgentMachine := tc.waitRunning("j-1", 1)["j-1/0"]
	tc.waitRunning("j-2", 4)
	// Also drain a machine that runs checkpointing tasks only.
	otherMachine := ""
	for _, machine := range tc.runningTaskMachines("j-2") {
		if machine != urgentMachine {
			otherMachine = machine
		}
	}
	names := []string{urgentMachine}
	if otherMachine != "" {
		names = append(names, otherMachine)
	}
	id := tc.startDrain(drain.Spec{Machines: names})
	if err := tc.cluster.Kill(tc.leader()); err != nil {
		t.Fatal(err)
	}
	v := tc.waitForPhase(id, "drained")
	if ran := tc.endedRuns("j-1"); len(ran) != 1 || ran[0].Machine != urgentMachine || ran[0].Cause != "done" {
		t.Errorf("the urgent task did not finish on its machine: %+v", ran)
	}
	if v.State.Actual.LostS > 0 {
		t.Errorf("work was lost: %+v", v.State.Actual)
	}
	for task, machine := range tc.runningTaskMachines("j-2") {
		if slices.Contains(names, machine) {
			t.Errorf("%s is still on %s, which is drained", task, machine)
		}
	}
	if _, err := tc.cluster.Client().StopDrain(t.Context(), id); err != nil {
		t.Fatal(err)
	}
	tc.waitForPhase(id, "stopped")
	tc.checkResponses()
}

// During a drain a machine is lost, the leader is killed while tasks move, and then all controllers are killed. No task
// may run twice, the drain must complete, and all jobs must end.
func TestDrainSurvivesLossOfMachinesAndControllers(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 4, nil)
	tc.submitAndFollow(1, batchJob("j-1", 6, 6, makeCheckpointing), 0)
	tc.submitAndFollow(2, batchJob("j-2", 4, 4, nil), 0)
	tc.waitRunning("j-1", 4)
	id := tc.startDrain(drain.Spec{Zone: "north", DeadlineMS: time.Now().Add(12 * time.Second).UnixMilli()})
	tc.waitFor("a machine to be draining", func() bool {
		v, err := tc.cluster.Client().Drain(t.Context(), id)
		return err == nil && v.State != nil && v.State.Actual.Machines > 0
	})
	for _, m := range tc.cluster.Environment.Machines() {
		if m.Zone == "north" {
			m.Terminate()
			break
		}
	}
	tc.waitFor("a task to be moved", func() bool {
		for _, run := range tc.endedRuns("j-1") {
			if run.Cause == "stopped" || run.Cause == "lost" {
				return true
			}
		}
		v, err := tc.cluster.Client().Drain(t.Context(), id)
		return err == nil && v.State.Phase == "drained"
	})
	_ = tc.cluster.Kill(tc.leader())
	tc.waitFor("a new leader", func() bool { _, err := tc.cluster.Client().Machines(t.Context()); return err == nil })
	for _, c := range tc.cluster.Info.Controllers {
		_ = tc.cluster.Kill(c.Name)
	}
	tc.waitForPhase(id, "drained")
	tc.checkResponses()
}

// A gang with a task on a draining machine is stopped as a whole, with checkpoints, and restarts as a whole elsewhere.
func TestDrainMovesGangAsWhole(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 5, nil)
	tc.submitAndFollow(1, batchJob("j-1", 2, 12, func(j *client.Job) {
		j.Shape, j.CPUs, j.OneZone, j.Team, j.CheckpointS, j.SaveS = client.Group, 3, true, "desk", 2, 0.5
	}), 0)
	machineByTask := tc.waitRunning("j-1", 2)
	machine := machineByTask["j-1/0"]
	id := tc.startDrain(drain.Spec{Machines: []string{machine}})
	tc.waitFor("the gang to run elsewhere", func() bool {
		now := tc.runningTaskMachines("j-1")
		return len(now) == 2 && now["j-1/0"] != machine && now["j-1/1"] != machine
	})
	tc.waitForPhase(id, "drained")
	stoppedTasks := map[string]bool{}
	for _, run := range tc.endedRuns("j-1") {
		if run.Cause != "stopped" {
			t.Errorf("a gang task was not stopped: %+v", run)
		}
		stoppedTasks[run.Task] = true
	}
	if len(stoppedTasks) != 2 {
		t.Errorf("the gang was not stopped as a whole: %v", stoppedTasks)
	}
	tc.checkResponses()
}

// While one of two zones is drained, a drain of the other zone would leave no machine. It is rejected and changes
// nothing. If the second drain is forced, no task starts until one of the drains is stopped. Then all jobs end.
func TestDrainOfLastZoneIsRefusedUnlessForced(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 6, nil)
	tc.submitAndFollow(1, batchJob("j-1", 4, 5, makeCheckpointing), 0)
	tc.waitRunning("j-1", 2)
	north := tc.startDrain(drain.Spec{Zone: "north", DeadlineMS: time.Now().Add(4 * time.Second).UnixMilli()})
	tc.waitFor("the leader to apply the drain", func() bool {
		v, err := tc.cluster.Client().Drain(t.Context(), north)
		return err == nil && v.State != nil && v.State.Phase != ""
	})
	south := drain.Spec{ID: "d-2", Kind: client.DrainEmpty, Zone: "south", DeadlineMS: time.Now().Add(4 * time.Second).UnixMilli()}
	const refusal = "no machine for jobs of any"
	_, err := tc.cluster.Client().StartDrain(t.Context(), client.Drain{Spec: south})
	if err == nil || !strings.Contains(err.Error(), refusal) {
		t.Errorf("drain of the second zone: got %v, want %q", err, refusal)
	}
	if all, err := tc.cluster.Client().Drains(t.Context()); err != nil || len(all) != 1 {
		t.Errorf("drains after the rejection: %+v, %v, want one", all, err)
	}
	tc.forceDrains, south.DeadlineMS = true, time.Now().Add(4*time.Second).UnixMilli()
	tc.startDrain(south)
	tc.waitForPhase(north, "drained")
	tc.waitForPhase("d-2", "drained")
	tc.waitFor("all tasks to stop", func() bool { return tc.cluster.Environment.Running() == 0 })
	starts := tc.cluster.Environment.Starts()
	tc.submitAndFollow(2, batchJob("j-2", 1, 1, nil), 0)
	tc.waitFor("the job to be known", func() bool {
		st, err := tc.cluster.Client().Get(t.Context(), "j-2")
		return err == nil && st.Status == client.Pending
	})
	if n := tc.cluster.Environment.Starts(); n != starts {
		t.Errorf("%d task starts while all machines are drained", n-starts)
	}
	for range 2 { // stopping a drain again is not an error
		if _, err := tc.cluster.Client().StopDrain(t.Context(), north); err != nil {
			t.Error(err)
		}
	}
	tc.checkResponses()
}

// A rolling upgrade completes despite two disturbances. A zone is partitioned for longer than a lease, and an operator
// upgrades the zone's workers meanwhile, while their tasks run elsewhere. Then the version in production leads for a
// while, which does not support drains.
func TestRollingUpgradeAcrossPartitionAndOlderVersion(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 7, func(o *Options) { o.MachinesPerZone = 2 })
	tc.submitAndFollow(1, batchJob("j-1", 24, 3, makeCheckpointing), 0)
	tc.waitRunning("j-1", 4)
	id := tc.startDrain(drain.Spec{Kind: client.DrainUpgrade, TargetVersion: "2.0", MaxOutOfService: 2, MinInService: 1})
	// upgradeDrained upgrades the drained machines, as an operator would.
	upgraded := 0
	upgradeDrained := func() {
		v, err := tc.cluster.Client().Drain(t.Context(), id)
		if err != nil || v.State == nil {
			return
		}
		for _, name := range v.State.OutOfService {
			if m, err := tc.cluster.Client().Machine(t.Context(), name); err == nil && m.State == "drained" && m.Version != "2.0" {
				if tc.cluster.UpgradeWorker(name, "2.0") == nil {
					upgraded++
				}
			}
		}
	}
	tc.waitFor("the first machines to be upgraded", func() bool { upgradeDrained(); return upgraded > 0 })
	tc.cluster.Environment.PartitionZone("north", true)
	tc.waitFor("the zone's tasks to run elsewhere or have ended", func() bool {
		st, err := tc.cluster.Client().Get(t.Context(), "j-1")
		return len(tc.lostRuns()) > 0 || err == nil && st.IsFinal()
	})
	for _, m := range tc.cluster.Environment.Machines() {
		if m.Zone == "north" && m.Version == "1.0" {
			_ = tc.cluster.UpgradeWorker(m.Name, "2.0")
		}
	}
	tc.cluster.Environment.PartitionZone("north", false)
	production, err := buildProductionVersion(t)
	if err != nil {
		t.Logf("skipping the version in production, which could not be built: %v", err)
	} else {
		for _, c := range tc.cluster.Info.Controllers {
			if err := tc.cluster.ReplaceProgram(c.Name, production, nil); err != nil {
				t.Fatal(err)
			}
		}
		// "leading" is what the version in production logs when it becomes leader.
		tc.waitFor("the version in production to lead", func() bool { return tc.leader() != "" && tc.productionLogged("leading") })
		for _, c := range tc.cluster.Info.Controllers {
			_ = tc.cluster.ReplaceProgram(c.Name, tc.cluster.options.ControllerProgram, []string{"--options", filepath.Join(tc.cluster.options.DataDir, "drumpick.ini")})
		}
	}
	tc.waitFor("all machines to have version 2.0", func() bool {
		upgradeDrained()
		v, err := tc.cluster.Client().Drain(t.Context(), id)
		return err == nil && v.State != nil && v.State.Phase == "done"
	})
	for _, m := range tc.cluster.Environment.Machines() {
		if r, err := m.Status(); err == nil && r.WorkerVersion() != "2.0" {
			t.Errorf("%s has version %s", m.Name, r.WorkerVersion())
		}
	}
	tc.checkResponses()
}

// lostRuns returns the attempts that were lost because their machine failed or its lease expired.
func (tc *testCluster) lostRuns() []simulation.TaskRun {
	var runs []simulation.TaskRun
	for _, run := range tc.cluster.History().Runs {
		if run.Cause == "lost" {
			runs = append(runs, run)
		}
	}
	return runs
}

// An upgrade to a version on which tasks fail is rolled back after at most two machines have been upgraded.
func TestFailingVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 8, func(o *Options) { o.MachinesPerZone = 3 })
	tc.cluster.Environment.TaskFails = func(m *simulation.Machine, _ string) bool { return m.Version == "2.0" }
	tc.submitAndFollow(1, batchJob("j-1", 60, 2, nil), 0)
	tc.waitRunning("j-1", 4)
	id := tc.startDrain(drain.Spec{Kind: client.DrainUpgrade, TargetVersion: "2.0", MaxOutOfService: 1})
	upgradedMachines := map[string]bool{}
	var v client.DrainView
	tc.waitFor("the upgrade to be rolled back", func() bool {
		var err error
		if v, err = tc.cluster.Client().Drain(t.Context(), id); err != nil || v.State == nil {
			return false
		}
		for _, name := range v.State.OutOfService {
			m, err := tc.cluster.Client().Machine(t.Context(), name)
			if err == nil && m.State == "drained" && v.State.Rollout != nil && m.Version != v.State.Rollout.Target {
				if v.State.Rollout.Target == "2.0" {
					upgradedMachines[name] = true
				}
				_ = tc.cluster.UpgradeWorker(name, v.State.Rollout.Target)
			}
		}
		return v.State.Phase == "rolled back"
	})
	if len(upgradedMachines) > 2 {
		t.Errorf("%d machines got the failing version, want at most 2", len(upgradedMachines))
	}
	if !strings.Contains(v.State.Rollout.Reason, "2.0") || v.State.Rollout.Previous != "1.0" {
		t.Errorf("rollout: got %+v, want a reason that names 2.0, and previous version 1.0", v.State.Rollout)
	}
	tc.checkResponses()
}

// productionVersion is the version field of the message that the version in production logs when it starts.
const productionVersion = "version=0.1.0"

// productionLogged reports whether a controller that runs the version in production has logged text since it last
// started.
func (tc *testCluster) productionLogged(text string) bool {
	for _, c := range tc.cluster.Info.Controllers {
		raw, _ := os.ReadFile(c.LogPath)
		log := string(raw)
		start := strings.LastIndex(log, "msg=started")
		if start < 0 {
			continue
		}
		sinceStart := log[start:]
		if strings.Contains(sinceStart, productionVersion) && strings.Contains(sinceStart, text) {
			return true
		}
	}
	return false
}

// buildProductionVersion builds the version in production from the commit in deploy/service.toml, and returns the path
// of the executable.
func buildProductionVersion(t *testing.T) (string, error) {
	root := filepath.Join("..", "..")
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return "", err
	}
	commit := regexp.MustCompile(`production = "([0-9a-f]{40})"`).FindSubmatch(raw)
	if commit == nil {
		return "", os.ErrNotExist
	}
	dir := t.TempDir()
	tar := exec.Command("sh", "-c", `git archive "$0" cmd internal go.mod go.sum | tar x -C "$1"`, string(commit[1]), dir)
	tar.Dir = root
	if out, err := tar.CombinedOutput(); err != nil || len(out) > 0 {
		return "", &exec.Error{Name: string(out), Err: err}
	}
	built := filepath.Join(dir, "drumpick-production")
	build := exec.Command("go", "build", "-o", built, "./cmd/drumpick")
	build.Dir = dir
	out, err := build.CombinedOutput()
	if err != nil {
		return "", &exec.Error{Name: string(out), Err: err}
	}
	return built, nil
}
