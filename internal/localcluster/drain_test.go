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

// The hard cases of drains, with real controllers.

// start starts a drain and returns its id.
func (p *place) start(d drain.Spec) string {
	p.t.Helper()
	if d.ID == "" {
		d.ID = client.NewDrainID()
	}
	if d.Kind == "" {
		d.Kind = client.DrainEmpty
	}
	if _, err := p.r.Client().StartDrain(p.t.Context(), client.Drain{Spec: d, Force: p.force}); err != nil {
		p.t.Fatalf("drain: %v", err)
	}
	return d.ID
}

// stands waits until a drain is in a phase.
func (p *place) stands(id, phase string) client.DrainView {
	p.t.Helper()
	var v client.DrainView
	p.until(id+" to be "+phase, func() bool {
		var err error
		v, err = p.r.Client().Drain(p.t.Context(), id)
		return err == nil && v.State != nil && v.State.Phase == phase
	})
	return v
}

// on tells where a job's tasks run.
func (p *place) on(id string) map[string]string {
	where := map[string]string{}
	for _, m := range p.r.World.Machines() {
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

// ran lists the ended attempts of a job.
func (p *place) ran(id string) []simulation.TaskRun {
	var all []simulation.TaskRun
	for _, x := range p.r.History().Ran {
		if strings.HasPrefix(x.Task, id+"/") {
			all = append(all, x)
		}
	}
	return all
}

func (p *place) running(id string, n int) map[string]string {
	p.t.Helper()
	var where map[string]string
	p.until(id+" to run", func() bool { where = p.on(id); return len(where) >= n })
	return where
}

// urgent is a task that cannot save.
func urgent(j *client.Job) { j.Priority, j.Team, j.Spot = client.Urgent, "desk", false }

// saves is work that can.
func saves(j *client.Job) { j.CheckpointS, j.SaveS, j.CPUs = 2, 0.5, 2 }

// A drain begins while an urgent task that cannot save is half done, and a leader is
// killed after the drain was stored and before it is obeyed: the task ends where it is,
// what saves moves, and the next leader goes on.
func TestDrainHalfDone(t *testing.T) {
	t.Parallel()
	p := open(t, 3, nil)
	p.user(1, job("j-1", 1, 8, urgent), 0)
	p.user(2, job("j-2", 4, 12, saves), 0)
	here := p.running("j-1", 1)["j-1/0"]
	p.running("j-2", 4)
	// A machine with savers, too.
	there := ""
	for _, host := range p.on("j-2") {
		if host != here {
			there = host
		}
	}
	names := []string{here}
	if there != "" {
		names = append(names, there)
	}
	id := p.start(drain.Spec{Machines: names})
	if err := p.r.Kill(p.leader()); err != nil {
		t.Fatal(err)
	}
	v := p.stands(id, "drained")
	if ran := p.ran("j-1"); len(ran) != 1 || ran[0].Machine != here || ran[0].Cause != "done" {
		t.Errorf("the urgent task did not end where it was: %+v", ran)
	}
	if v.State.Seen.LostS > 0 {
		t.Errorf("work was lost: %+v", v.State.Seen)
	}
	moved := false
	for host := range p.on("j-2") {
		moved = moved || host == there
	}
	if moved {
		t.Errorf("tasks are still on %s", there)
	}
	if _, err := p.r.Client().StopDrain(t.Context(), id); err != nil {
		t.Fatal(err)
	}
	p.stands(id, "stopped")
	p.check()
}

// Machines vanish in mid-drain, the leader is killed in mid-move, then all controllers are:
// nothing runs twice, and everything ends.
func TestDrainVanishes(t *testing.T) {
	t.Parallel()
	p := open(t, 4, nil)
	p.user(1, job("j-1", 6, 6, saves), 0)
	p.user(2, job("j-2", 4, 4, nil), 0)
	p.running("j-1", 4)
	id := p.start(drain.Spec{Zone: "north", ByMS: time.Now().Add(12 * time.Second).UnixMilli()})
	p.until("a machine to be in hand", func() bool {
		v, err := p.r.Client().Drain(t.Context(), id)
		return err == nil && v.State != nil && v.State.Seen.Machines > 0
	})
	for _, m := range p.r.World.Machines() {
		if m.Zone == "north" {
			m.Die()
			break
		}
	}
	p.until("a move", func() bool {
		for _, x := range p.ran("j-1") {
			if x.Cause == "stopped" || x.Cause == "lost" {
				return true
			}
		}
		v, err := p.r.Client().Drain(t.Context(), id)
		return err == nil && v.State.Phase == "drained"
	})
	_ = p.r.Kill(p.leader())
	p.until("another leader", func() bool { _, err := p.r.Client().Machines(t.Context()); return err == nil })
	for _, c := range p.r.Info.Controllers {
		_ = p.r.Kill(c.Name)
	}
	p.stands(id, "drained")
	p.check()
}

// A gang of which one machine drains goes as a whole, saving, and starts whole elsewhere.
func TestDrainGang(t *testing.T) {
	t.Parallel()
	p := open(t, 5, nil)
	p.user(1, job("j-1", 2, 12, func(j *client.Job) {
		j.Shape, j.CPUs, j.OneZone, j.Team, j.CheckpointS, j.SaveS = client.Group, 3, true, "desk", 2, 0.5
	}), 0)
	where := p.running("j-1", 2)
	host := where["j-1/0"]
	id := p.start(drain.Spec{Machines: []string{host}})
	p.until("the gang to run elsewhere", func() bool {
		now := p.on("j-1")
		return len(now) == 2 && now["j-1/0"] != host && now["j-1/1"] != host
	})
	p.stands(id, "drained")
	tries := map[string]bool{}
	for _, x := range p.ran("j-1") {
		if x.Cause != "stopped" {
			t.Errorf("a member ended otherwise: %+v", x)
		}
		tries[x.Task] = true
	}
	if len(tries) != 2 {
		t.Errorf("the gang did not go as a whole: %v", tries)
	}
	p.check()
}

// Drains of both zones: the second would leave no machine and is refused, changing
// nothing; forced, everything stands still until one is withdrawn, and then ends.
func TestDrainBothZones(t *testing.T) {
	t.Parallel()
	p := open(t, 6, nil)
	p.user(1, job("j-1", 4, 5, saves), 0)
	p.running("j-1", 2)
	north := p.start(drain.Spec{Zone: "north", ByMS: time.Now().Add(4 * time.Second).UnixMilli()})
	p.until("the leader to hold it", func() bool {
		v, err := p.r.Client().Drain(t.Context(), north)
		return err == nil && v.State != nil && v.State.Phase != ""
	})
	south := drain.Spec{ID: "d-2", Kind: client.DrainEmpty, Zone: "south", ByMS: time.Now().Add(4 * time.Second).UnixMilli()}
	if _, err := p.r.Client().StartDrain(t.Context(), client.Drain{Spec: south}); err == nil || !strings.Contains(err.Error(), "no machine for jobs of any") {
		t.Errorf("the second zone: %v", err)
	}
	if all, err := p.r.Client().Drains(t.Context()); err != nil || len(all) != 1 {
		t.Errorf("after the refusal: %+v, %v", all, err)
	}
	p.force, south.ByMS = true, time.Now().Add(4*time.Second).UnixMilli()
	p.start(south)
	p.stands(north, "drained")
	p.stands("d-2", "drained")
	p.until("all to stand still", func() bool { return p.r.World.Running() == 0 })
	starts := p.r.World.Starts()
	p.user(2, job("j-2", 1, 1, nil), 0)
	p.until("the job to be known", func() bool {
		st, err := p.r.Client().Get(t.Context(), "j-2")
		return err == nil && st.Status == client.Pending
	})
	if n := p.r.World.Starts(); n != starts {
		t.Errorf("%d starts while all is drained", n-starts)
	}
	for range 2 { // withdrawn twice is withdrawn
		if _, err := p.r.Client().StopDrain(t.Context(), north); err != nil {
			t.Error(err)
		}
	}
	p.check()
}

// An upgrade rolls machines over one after the other; a zone is cut off meanwhile for longer
// than a lease, and its workers come back, upgraded by hand, with tasks that are elsewhere
// by then. The version in production, which knows of no drains, takes over for a while.
func TestUpgradeRolls(t *testing.T) {
	t.Parallel()
	p := open(t, 7, func(o *Options) { o.Machines = 2 })
	p.user(1, job("j-1", 24, 3, saves), 0)
	p.running("j-1", 4)
	id := p.start(drain.Spec{Kind: client.DrainUpgrade, To: "2.0", AtOnce: 2, KeepUp: 1})
	// Somebody upgrades what is empty and in hand.
	upgraded := 0
	tend := func() {
		v, err := p.r.Client().Drain(t.Context(), id)
		if err != nil || v.State == nil {
			return
		}
		for _, name := range v.State.OutOfService {
			if m, err := p.r.Client().Machine(t.Context(), name); err == nil && m.State == "drained" && m.Version != "2.0" {
				if p.r.Upgrade(name, "2.0") == nil {
					upgraded++
				}
			}
		}
	}
	p.until("the first machines to be upgraded", func() bool { tend(); return upgraded > 0 })
	p.r.World.PartitionZone("north", true)
	p.until("the zone's tasks to run elsewhere or have ended", func() bool {
		st, err := p.r.Client().Get(t.Context(), "j-1")
		return len(p.lost()) > 0 || err == nil && st.Over()
	})
	for _, m := range p.r.World.Machines() {
		if m.Zone == "north" && m.Version == "1.0" {
			_ = p.r.Upgrade(m.Name, "2.0")
		}
	}
	p.r.World.PartitionZone("north", false)
	old, err := production(t)
	if err != nil {
		t.Logf("without the version in production: %v", err)
	} else {
		for _, c := range p.r.Info.Controllers {
			if err := p.r.Replace(c.Name, old, nil); err != nil {
				t.Fatal(err)
			}
		}
		leader := ""
		p.until("it to lead", func() bool { leader = p.leader(); return leader != "" && p.logged("leading", old != "") })
		for _, c := range p.r.Info.Controllers {
			_ = p.r.Replace(c.Name, p.r.options.Controller, []string{"--options", filepath.Join(p.r.options.Data, "drumpick.ini")})
		}
	}
	p.until("all to have the version", func() bool {
		tend()
		v, err := p.r.Client().Drain(t.Context(), id)
		return err == nil && v.State != nil && v.State.Phase == "done"
	})
	for _, m := range p.r.World.Machines() {
		if r, err := m.Status(); err == nil && r.Version != "2.0" {
			t.Errorf("%s has version %s", m.Name, r.Version)
		}
	}
	p.check()
}

// lost lists attempts whose machine lost them.
func (p *place) lost() []simulation.TaskRun {
	var all []simulation.TaskRun
	for _, x := range p.r.History().Ran {
		if x.Cause == "lost" {
			all = append(all, x)
		}
	}
	return all
}

// A version that fails what others run is rolled back, on few machines.
func TestUpgradeRollsBack(t *testing.T) {
	t.Parallel()
	p := open(t, 8, func(o *Options) { o.Machines = 3 })
	p.r.World.TaskFails = func(m *simulation.Machine, _ string) bool { return m.Version == "2.0" }
	p.user(1, job("j-1", 60, 2, nil), 0)
	p.running("j-1", 4)
	id := p.start(drain.Spec{Kind: client.DrainUpgrade, To: "2.0", AtOnce: 1})
	bad := map[string]bool{}
	var v client.DrainView
	p.until("it to be rolled back", func() bool {
		var err error
		if v, err = p.r.Client().Drain(t.Context(), id); err != nil || v.State == nil {
			return false
		}
		for _, name := range v.State.OutOfService {
			m, err := p.r.Client().Machine(t.Context(), name)
			if err == nil && m.State == "drained" && v.State.Rollout != nil && m.Version != v.State.Rollout.Want {
				if v.State.Rollout.Want == "2.0" {
					bad[name] = true
				}
				_ = p.r.Upgrade(name, v.State.Rollout.Want)
			}
		}
		return v.State.Phase == "rolled back"
	})
	if len(bad) > 2 {
		t.Errorf("%d machines got the bad version", len(bad))
	}
	if !strings.Contains(v.State.Rollout.Why, "2.0") || v.State.Rollout.From != "1.0" {
		t.Errorf("%+v", v.State.Rollout)
	}
	p.check()
}

// logged says whether a controller has logged something since its last start.
func (p *place) logged(text string, want bool) bool {
	for _, c := range p.r.Info.Controllers {
		raw, _ := os.ReadFile(c.Log)
		log := string(raw)
		if i := strings.LastIndex(log, "msg=started"); i >= 0 && want && strings.Contains(log[i:], "version=0.1.0") && strings.Contains(log[i:], text) {
			return true
		}
	}
	return false
}

// production builds the version in production from the repository's history.
func production(t *testing.T) (string, error) {
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
