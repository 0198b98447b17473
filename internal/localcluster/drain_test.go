package localcluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"drumpick/client"
	"drumpick/internal/drain"
	"drumpick/internal/simulation"
)

// Drains under faults, with real controllers.

// startDrain starts a drain and returns its id.
func (p *testCluster) startDrain(d drain.Spec) string {
	p.t.Helper()
	if d.ID == "" {
		d.ID = client.NewDrainID()
	}
	if d.Kind == "" {
		d.Kind = client.DrainEmpty
	}
	if _, err := p.cluster.Client().StartDrain(p.t.Context(), client.Drain{Spec: d, Force: p.forceDrains}); err != nil {
		p.t.Fatalf("drain: %v", err)
	}
	return d.ID
}

// waitForPhase waits until a drain is in a phase.
func (p *testCluster) waitForPhase(id, phase string) client.DrainView {
	p.t.Helper()
	var v client.DrainView
	p.waitFor(id+" to be "+phase, func() bool {
		var err error
		v, err = p.cluster.Client().Drain(p.t.Context(), id)
		return err == nil && v.State != nil && v.State.Phase == phase
	})
	return v
}

// runningTaskMachines returns the machine of each running task of a job.
func (p *testCluster) runningTaskMachines(id string) map[string]string {
	where := map[string]string{}
	for _, m := range p.cluster.Environment.Machines() {
		r, err := m.Status()
		if err != nil {
			continue
		}
		for _, s := range r.Tasks {
			if strings.HasPrefix(s.Task, id+"/") && s.Status == "running" {
				where[s.Task] = m.Name
			}
		}
	}
	return where
}

// endedRuns returns the ended attempts of a job.
func (p *testCluster) endedRuns(id string) []simulation.TaskRun {
	var all []simulation.TaskRun
	for _, x := range p.cluster.History().Runs {
		if strings.HasPrefix(x.Task, id+"/") {
			all = append(all, x)
		}
	}
	return all
}

// waitRunning waits until n tasks of a job run, and returns the machine of each.
func (p *testCluster) waitRunning(id string, n int) map[string]string {
	p.t.Helper()
	var where map[string]string
	p.waitFor(id+" to run", func() bool { where = p.runningTaskMachines(id); return len(where) >= n })
	return where
}

// makeUrgent makes a job urgent, of tasks that cannot save their progress.
func makeUrgent(j *client.Job) { j.Priority, j.Team, j.Spot = client.Urgent, "desk", false }

// makeCheckpointing makes a job of tasks that save their progress.
func makeCheckpointing(j *client.Job) { j.CheckpointS, j.SaveS, j.CPUs = 2, 0.5, 2 }

// A drain begins while an urgent task that cannot save is half done, and a leader is killed after the drain was
// stored and before it is carried out: the task ends where it is, what saves moves, and the next leader goes on.
func TestDrainContinuesAfterLeaderIsKilled(t *testing.T) {
	t.Parallel()
	p := startTestCluster(t, 3, nil)
	p.submitAndFollow(1, batchJob("j-1", 1, 8, makeUrgent), 0)
	p.submitAndFollow(2, batchJob("j-2", 4, 12, makeCheckpointing), 0)
	here := p.waitRunning("j-1", 1)["j-1/0"]
	p.waitRunning("j-2", 4)
	// A machine with checkpointing tasks, too.
	there := ""
	for _, host := range p.runningTaskMachines("j-2") {
		if host != here {
			there = host
		}
	}
	names := []string{here}
	if there != "" {
		names = append(names, there)
	}
	id := p.startDrain(drain.Spec{Machines: names})
	if err := p.cluster.Kill(p.leader()); err != nil {
		t.Fatal(err)
	}
	v := p.waitForPhase(id, "drained")
	if ran := p.endedRuns("j-1"); len(ran) != 1 || ran[0].Machine != here || ran[0].Cause != "done" {
		t.Errorf("the urgent task did not end where it was: %+v", ran)
	}
	if v.State.Actual.LostS > 0 {
		t.Errorf("work was lost: %+v", v.State.Actual)
	}
	moved := false
	for host := range p.runningTaskMachines("j-2") {
		moved = moved || host == there
	}
	if moved {
		t.Errorf("tasks are still on %s", there)
	}
	if _, err := p.cluster.Client().StopDrain(t.Context(), id); err != nil {
		t.Fatal(err)
	}
	p.waitForPhase(id, "stopped")
	p.checkAnswers()
}

// Machines vanish during a drain, the leader is killed while tasks move, then all controllers are: nothing runs
// twice, and everything ends.
func TestDrainSurvivesLossOfMachinesAndControllers(t *testing.T) {
	t.Parallel()
	p := startTestCluster(t, 4, nil)
	p.submitAndFollow(1, batchJob("j-1", 6, 6, makeCheckpointing), 0)
	p.submitAndFollow(2, batchJob("j-2", 4, 4, nil), 0)
	p.waitRunning("j-1", 4)
	id := p.startDrain(drain.Spec{Zone: "north", DeadlineMS: time.Now().Add(12 * time.Second).UnixMilli()})
	p.waitFor("a machine to be draining", func() bool {
		v, err := p.cluster.Client().Drain(t.Context(), id)
		return err == nil && v.State != nil && v.State.Actual.Machines > 0
	})
	for _, m := range p.cluster.Environment.Machines() {
		if m.Zone == "north" {
			m.Terminate()
			break
		}
	}
	p.waitFor("a move", func() bool {
		for _, x := range p.endedRuns("j-1") {
			if x.Cause == "stopped" || x.Cause == "lost" {
				return true
			}
		}
		v, err := p.cluster.Client().Drain(t.Context(), id)
		return err == nil && v.State.Phase == "drained"
	})
	_ = p.cluster.Kill(p.leader())
	p.waitFor("another leader", func() bool { _, err := p.cluster.Client().Machines(t.Context()); return err == nil })
	for _, c := range p.cluster.Info.Controllers {
		_ = p.cluster.Kill(c.Name)
	}
	p.waitForPhase(id, "drained")
	p.checkAnswers()
}

// A gang of which one machine drains is stopped as a whole, saving its progress, and starts as a whole elsewhere.
func TestDrainMovesGangAsWhole(t *testing.T) {
	t.Parallel()
	p := startTestCluster(t, 5, nil)
	p.submitAndFollow(1, batchJob("j-1", 2, 12, func(j *client.Job) {
		j.Shape, j.CPUs, j.OneZone, j.Team, j.CheckpointS, j.SaveS = client.Group, 3, true, "desk", 2, 0.5
	}), 0)
	where := p.waitRunning("j-1", 2)
	host := where["j-1/0"]
	id := p.startDrain(drain.Spec{Machines: []string{host}})
	p.waitFor("the gang to run elsewhere", func() bool {
		now := p.runningTaskMachines("j-1")
		return len(now) == 2 && now["j-1/0"] != host && now["j-1/1"] != host
	})
	p.waitForPhase(id, "drained")
	tries := map[string]bool{}
	for _, x := range p.endedRuns("j-1") {
		if x.Cause != "stopped" {
			t.Errorf("a member ended otherwise: %+v", x)
		}
		tries[x.Task] = true
	}
	if len(tries) != 2 {
		t.Errorf("the gang did not go as a whole: %v", tries)
	}
	p.checkAnswers()
}

// Drains of both zones: the second would leave no machine and is refused, changing nothing; forced, everything stands
// still until one is withdrawn, and then ends.
func TestDrainOfLastZoneIsRefusedUnlessForced(t *testing.T) {
	t.Parallel()
	p := startTestCluster(t, 6, nil)
	p.submitAndFollow(1, batchJob("j-1", 4, 5, makeCheckpointing), 0)
	p.waitRunning("j-1", 2)
	north := p.startDrain(drain.Spec{Zone: "north", DeadlineMS: time.Now().Add(4 * time.Second).UnixMilli()})
	p.waitFor("the leader to know it", func() bool {
		v, err := p.cluster.Client().Drain(t.Context(), north)
		return err == nil && v.State != nil && v.State.Phase != ""
	})
	south := drain.Spec{ID: "d-2", Kind: client.DrainEmpty, Zone: "south", DeadlineMS: time.Now().Add(4 * time.Second).UnixMilli()}
	const refusal = "no machine for jobs of any"
	_, err := p.cluster.Client().StartDrain(t.Context(), client.Drain{Spec: south})
	if err == nil || !strings.Contains(err.Error(), refusal) {
		t.Errorf("the second zone: got %v, want %q", err, refusal)
	}
	if all, err := p.cluster.Client().Drains(t.Context()); err != nil || len(all) != 1 {
		t.Errorf("after the refusal: %+v, %v", all, err)
	}
	p.forceDrains, south.DeadlineMS = true, time.Now().Add(4*time.Second).UnixMilli()
	p.startDrain(south)
	p.waitForPhase(north, "drained")
	p.waitForPhase("d-2", "drained")
	p.waitFor("all to stand still", func() bool { return p.cluster.Environment.Running() == 0 })
	starts := p.cluster.Environment.Starts()
	p.submitAndFollow(2, batchJob("j-2", 1, 1, nil), 0)
	p.waitFor("the job to be known", func() bool {
		st, err := p.cluster.Client().Get(t.Context(), "j-2")
		return err == nil && st.Status == client.Pending
	})
	if n := p.cluster.Environment.Starts(); n != starts {
		t.Errorf("%d starts while all is drained", n-starts)
	}
	for range 2 { // withdrawn twice is withdrawn
		if _, err := p.cluster.Client().StopDrain(t.Context(), north); err != nil {
			t.Error(err)
		}
	}
	p.checkAnswers()
}

// An upgrade rolls machines over one after the other; a zone is partitioned meanwhile for longer than a lease, and its
// workers come back, upgraded by hand, with tasks that are elsewhere by then. The version in production, which knows
// of no drains, leads for a while.
func TestRollingUpgradeAcrossPartitionAndOlderVersion(t *testing.T) {
	t.Parallel()
	p := startTestCluster(t, 7, func(o *Options) { o.MachinesPerZone = 2 })
	p.submitAndFollow(1, batchJob("j-1", 24, 3, makeCheckpointing), 0)
	p.waitRunning("j-1", 4)
	id := p.startDrain(drain.Spec{Kind: client.DrainUpgrade, TargetVersion: "2.0", MaxOutOfService: 2, MinInService: 1})
	// An operator upgrades what is drained.
	upgraded := 0
	upgradeDrained := func() {
		v, err := p.cluster.Client().Drain(t.Context(), id)
		if err != nil || v.State == nil {
			return
		}
		for _, name := range v.State.OutOfService {
			if m, err := p.cluster.Client().Machine(t.Context(), name); err == nil && m.State == "drained" && m.Version != "2.0" {
				if p.cluster.UpgradeWorker(name, "2.0") == nil {
					upgraded++
				}
			}
		}
	}
	p.waitFor("the first machines to be upgraded", func() bool { upgradeDrained(); return upgraded > 0 })
	p.cluster.Environment.PartitionZone("north", true)
	p.waitFor("the zone's tasks to run elsewhere or have ended", func() bool {
		st, err := p.cluster.Client().Get(t.Context(), "j-1")
		return len(p.lostRuns()) > 0 || err == nil && st.IsFinal()
	})
	for _, m := range p.cluster.Environment.Machines() {
		if m.Zone == "north" && m.Version == "1.0" {
			_ = p.cluster.UpgradeWorker(m.Name, "2.0")
		}
	}
	p.cluster.Environment.PartitionZone("north", false)
	old, err := buildProductionVersion(t)
	if err != nil {
		t.Logf("without the version in production: %v", err)
	} else {
		for _, c := range p.cluster.Info.Controllers {
			if err := p.cluster.ReplaceProgram(c.Name, old, nil); err != nil {
				t.Fatal(err)
			}
		}
		// The text is of that version's log.
		p.waitFor("it to lead", func() bool { return p.leader() != "" && p.productionLogged("leading") })
		for _, c := range p.cluster.Info.Controllers {
			_ = p.cluster.ReplaceProgram(c.Name, p.cluster.options.ControllerProgram, []string{"--options", filepath.Join(p.cluster.options.DataDir, "drumpick.ini")})
		}
	}
	p.waitFor("all to have the version", func() bool {
		upgradeDrained()
		v, err := p.cluster.Client().Drain(t.Context(), id)
		return err == nil && v.State != nil && v.State.Phase == "done"
	})
	for _, m := range p.cluster.Environment.Machines() {
		if r, err := m.Status(); err == nil && r.Version != "2.0" {
			t.Errorf("%s has version %s", m.Name, r.Version)
		}
	}
	p.checkAnswers()
}

// lostRuns returns the attempts that were lost with their machine or lease.
func (p *testCluster) lostRuns() []simulation.TaskRun {
	var all []simulation.TaskRun
	for _, x := range p.cluster.History().Runs {
		if x.Cause == "lost" {
			all = append(all, x)
		}
	}
	return all
}

// A version on which tasks fail is rolled back, on few machines.
func TestFailingVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	p := startTestCluster(t, 8, func(o *Options) { o.MachinesPerZone = 3 })
	p.cluster.Environment.TaskFails = func(m *simulation.Machine, _ string) bool { return m.Version == "2.0" }
	p.submitAndFollow(1, batchJob("j-1", 60, 2, nil), 0)
	p.waitRunning("j-1", 4)
	id := p.startDrain(drain.Spec{Kind: client.DrainUpgrade, TargetVersion: "2.0", MaxOutOfService: 1})
	bad := map[string]bool{}
	var v client.DrainView
	p.waitFor("it to be rolled back", func() bool {
		var err error
		if v, err = p.cluster.Client().Drain(t.Context(), id); err != nil || v.State == nil {
			return false
		}
		for _, name := range v.State.OutOfService {
			m, err := p.cluster.Client().Machine(t.Context(), name)
			if err == nil && m.State == "drained" && v.State.Rollout != nil && m.Version != v.State.Rollout.Target {
				if v.State.Rollout.Target == "2.0" {
					bad[name] = true
				}
				_ = p.cluster.UpgradeWorker(name, v.State.Rollout.Target)
			}
		}
		return v.State.Phase == "rolled back"
	})
	if len(bad) > 2 {
		t.Errorf("%d machines got the bad version", len(bad))
	}
	if !strings.Contains(v.State.Rollout.Reason, "2.0") || v.State.Rollout.Previous != "1.0" {
		t.Errorf("%+v", v.State.Rollout)
	}
	p.checkAnswers()
}

// productionVersion is the version that the version in production logs at its start.
const productionVersion = "version=0.1.0"

// productionLogged reports whether a controller of the version in production has logged something since its last
// start.
func (p *testCluster) productionLogged(text string) bool {
	for _, c := range p.cluster.Info.Controllers {
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

// buildProductionVersion builds the version in production from the repository's history.
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
