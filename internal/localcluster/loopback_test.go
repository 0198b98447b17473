package localcluster

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"drumpick/client"
	"drumpick/internal/linearizability"
	"drumpick/internal/records"

	"github.com/gofiber/fiber/v2"
)

// These tests run real controllers, killed at points chosen from a seed, and check afterwards all answers to users.
// They wait for conditions, never for a time; what bounds them is the timeout of the whole test run.

var buildController = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "drumpick-test-")
	if err != nil {
		return "", err
	}
	built := filepath.Join(dir, "drumpick")
	out, err := exec.Command("go", "build", "-o", built, "drumpick/cmd/drumpick").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return built, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildController(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// testCluster is a local cluster with users that log the answers they get.
type testCluster struct {
	t           *testing.T
	cluster     *Cluster
	log         *linearizability.History
	rand        *rand.Rand
	wg          sync.WaitGroup
	forceDrains bool // start drains that leave no machine for some jobs
}

func startTestCluster(t *testing.T, seed uint64, change func(*Options)) *testCluster {
	t.Helper()
	daemon, err := buildController()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{DataDir: t.TempDir(), ControllerProgram: daemon, Zones: []string{"north", "south"}, Controllers: 3, MachinesPerZone: 5, LogLevel: "info"}
	if change != nil {
		change(&o)
	}
	r, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	p := &testCluster{t: t, cluster: r, log: linearizability.New(), rand: rand.New(rand.NewPCG(seed, 1))}
	t.Cleanup(func() {
		if err := r.Stop(); err != nil {
			t.Error(err)
		}
		for _, c := range r.controllers {
			if c.cmd != nil && c.cmd.ProcessState == nil {
				t.Errorf("%s was left behind", c.name)
			}
		}
		if t.Failed() {
			for _, c := range r.Info.Controllers {
				raw, _ := os.ReadFile(c.LogPath)
				lines := strings.Split(string(raw), "\n")
				t.Logf("%s, the end of its log:\n%s", c.Name, strings.Join(lines[max(0, len(lines)-60):], "\n"))
			}
		}
	})
	return p
}

// batchJob returns a batch of small tasks; change alters it.
func batchJob(id string, tasks int, seconds float64, change func(*client.Job)) client.Job {
	j := client.Job{
		ID: id, Class: "any", Team: "archive", Shape: client.Batch, Priority: client.Standard, Tasks: tasks,
		CPUs: 1, MemGB: 2, Image: "img", ImageGB: 0.1, Spot: true, EstimateS: seconds,
	}
	if change != nil {
		change(&j)
	}
	return j
}

// submitAndFollow has a user submit a job and follow it to its end, and logs all answers.
func (p *testCluster) submitAndFollow(who int, j client.Job, cancelAfter int) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		c := p.cluster.Client()
		c.RetryPolicy.RequestTimeout, c.RetryPolicy.SubmitTimeout, c.RetryPolicy.MinDelay = time.Second, 2*time.Second, 100*time.Millisecond
		ctx := p.t.Context()
		ask := func(kind string, do func() (client.Status, error)) client.Status {
			for ctx.Err() == nil {
				asked := time.Now()
				st, err := do()
				switch {
				case err == nil:
					p.log.Record(who, j.ID, kind, st.Status, asked)
					return st
				case errors.Is(err, client.ErrNotFound):
					p.log.Record(who, j.ID, kind, linearizability.NotFound, asked)
					return st
				case errors.Is(err, client.ErrUnavailable):
					p.log.Record(who, j.ID, kind, "", asked) // and once more
				default:
					p.t.Errorf("%s of %s: %v", kind, j.ID, err)
					return st
				}
			}
			return client.Status{}
		}
		ask(linearizability.Submit, func() (client.Status, error) { st, _, err := c.Submit(ctx, j); return st, err })
		for polls := 0; ctx.Err() == nil; polls++ {
			if polls == cancelAfter && cancelAfter > 0 {
				ask(linearizability.Cancel, func() (client.Status, error) { return c.Cancel(ctx, j.ID) })
			}
			if ask(linearizability.Poll, func() (client.Status, error) { return c.Get(ctx, j.ID) }).IsFinal() {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// waitFor waits for a condition.
func (p *testCluster) waitFor(what string, is func() bool) {
	p.t.Helper()
	for !is() {
		select {
		case <-p.t.Context().Done():
			p.t.Fatalf("waiting for %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// checkAnswers waits for the users' last answers, and checks all answers and the protocol's rules.
func (p *testCluster) checkAnswers() {
	p.t.Helper()
	p.wg.Wait()
	if err := p.log.Check(); err != nil {
		p.t.Error(err)
	}
	for _, b := range p.cluster.Environment.Violations() {
		p.t.Error("rule broken: " + b)
	}
}

// leader returns the name of the controller that leads, "" if none does.
func (p *testCluster) leader() string {
	value := p.cluster.Store.Value("leader")
	for _, c := range p.cluster.Info.Controllers {
		if strings.Contains(value, `"`+c.Name+`"`) {
			return c.Name
		}
	}
	return ""
}

// Controllers, machines and a zone's power fail while users submit, cancel and poll: each job ends with one final
// answer, and no rule is broken.
func TestEachJobEndsWithOneAnswerAcrossFailures(t *testing.T) {
	t.Parallel()
	p := startTestCluster(t, 1, nil)
	for i := range 6 {
		p.submitAndFollow(i, batchJob(fmt.Sprint("j-", 100+i), 4, 2, nil), 0)
	}
	p.submitAndFollow(6, batchJob("j-200", 3, 3, func(j *client.Job) { j.Shape, j.CPUs, j.OneZone, j.Team = client.Group, 2, true, "desk" }), 0)
	p.submitAndFollow(7, batchJob("j-201", 2, 0, func(j *client.Job) { j.Shape, j.SpreadZones = client.Service, true }), 12)
	p.submitAndFollow(8, batchJob("j-202", 8, 5, nil), 6)
	p.waitFor("first starts", func() bool { return p.cluster.Environment.Starts() > 4 })
	for round := range 3 {
		switch victim := p.rand.IntN(3); {
		case round == 0:
			_ = p.cluster.Kill(p.leader())
		case victim == 0:
			_, _ = p.cluster.FailZone(p.cluster.options.Zones[p.rand.IntN(2)])
		case victim == 1:
			for _, c := range p.cluster.Info.Controllers {
				_ = p.cluster.Kill(c.Name)
			}
		default:
			if ms := p.cluster.Environment.Machines(); len(ms) > 0 {
				ms[p.rand.IntN(len(ms))].Terminate()
			}
		}
		starts := p.cluster.Environment.Starts()
		p.submitAndFollow(20+round, batchJob(fmt.Sprint("j-", 300+round), 3, 1, nil), 0)
		p.waitFor("starts after the fault", func() bool { return p.cluster.Environment.Starts() > starts })
	}
	p.checkAnswers()
}

// The records outlive the cluster: what was accepted before its end runs after its next start, and what was final is
// known.
func TestRecordsOutliveRestart(t *testing.T) {
	t.Parallel()
	data := t.TempDir()
	sameData := func(o *Options) { o.DataDir, o.Controllers = data, 1 }
	p := startTestCluster(t, 1, sameData)
	c := p.cluster.Client()
	ctx := t.Context()
	for _, j := range []client.Job{batchJob("j-1", 1, 0.5, nil), batchJob("j-2", 2, 600, nil), batchJob("j-3", 1, 600, nil)} {
		submitNew(t, c, j)
	}
	if st, err := c.Cancel(ctx, "j-3"); err != nil || st.Status != client.Cancelled {
		t.Fatalf("%+v, %v", st, err)
	}
	c.PollInterval = 100 * time.Millisecond
	if st, err := c.Wait(ctx, "j-1", nil); err != nil || st.Status != client.Done {
		t.Fatalf("%+v, %v", st, err)
	}
	second := Options{DataDir: data, ControllerProgram: p.cluster.options.ControllerProgram, Zones: []string{"north"}, Controllers: 1}
	if _, err := Start(ctx, second); err == nil {
		t.Error("a second cluster started on the same directory")
	}
	if err := p.cluster.Stop(); err != nil {
		t.Fatal(err)
	}
	p.cluster.controllers, p.cluster.apps, p.cluster.storeFile = nil, nil, nil

	restarted := startTestCluster(t, 1, func(o *Options) {
		sameData(o)
		o.RunTime = func(string) time.Duration { return 100 * time.Millisecond }
	})
	c = restarted.cluster.Client()
	for id, want := range map[string]string{"j-1": client.Done, "j-3": client.Cancelled} {
		if st, err := c.Get(ctx, id); err != nil || st.Status != want {
			t.Errorf("%s: %+v, %v, want %s", id, st, err, want)
		}
	}
	c.PollInterval = 100 * time.Millisecond
	if st, err := c.Wait(ctx, "j-2", nil); err != nil || st.Status != client.Done {
		t.Errorf("j-2: %+v, %v", st, err)
	}
	if _, created, err := c.Submit(ctx, batchJob("j-1", 1, 0.5, nil)); err != nil || created {
		t.Errorf("submitted again: created %t, %v, want known", created, err)
	}
}

// submitNew submits a job that nobody has submitted before. Whether the last answer says that the job is new is
// not checked: where the commit was carried out and only its answer came too late, the client repeats the request
// and is told, rightly, that the job is known. What must hold in either case is that the job was unknown before
// the submission, is known after it, and is not taken for new once more.
func submitNew(t *testing.T, c *client.Client, j client.Job) {
	t.Helper()
	ctx := t.Context()
	if st, err := c.Get(ctx, j.ID); !errors.Is(err, client.ErrNotFound) {
		t.Fatalf("%s before its submission: got %+v, %v, want %v", j.ID, st, err, client.ErrNotFound)
	}
	if st, _, err := c.Submit(ctx, j); err != nil || st.ID != j.ID {
		t.Fatalf("submission of %s: got %+v, %v, want its state and no error", j.ID, st, err)
	}
	if st, err := c.Get(ctx, j.ID); err != nil || st.ID != j.ID {
		t.Fatalf("%s after its submission: got %+v, %v, want its state and no error", j.ID, st, err)
	}
	if st, created, err := c.Submit(ctx, j); err != nil || created || st.ID != j.ID {
		t.Fatalf("repeated submission of %s: got %+v, created %t, %v, want its state, not created", j.ID, st, created, err)
	}
}

// The store carries out a submission's commit and answers it later than the controller waits: the client's retry
// is told that the job is known, and the job has been accepted once.
func TestSubmissionWithLateCommitAnswerIsAcceptedOnce(t *testing.T) {
	t.Parallel()
	const answerDelay = time.Second // twice what a controller waits for the store's answer
	var delayed atomic.Int32
	delayFirst := func(c *fiber.Ctx) error {
		err := c.Next()
		if c.Path() == "/commit" && bytes.Contains(c.Body(), []byte(records.OpenKey("j-1"))) && delayed.Add(1) == 1 {
			time.Sleep(answerDelay)
		}
		return err
	}
	addr, err := ServeStore(t.Context(), filepath.Join(t.TempDir(), "state.db"), delayFirst)
	if err != nil {
		t.Fatal(err)
	}
	p := startTestCluster(t, 1, func(o *Options) { o.StoreAddr, o.Controllers = addr, 1 })
	c := p.cluster.Client()
	j := batchJob("j-1", 1, 600, nil)
	if st, err := c.Get(t.Context(), j.ID); !errors.Is(err, client.ErrNotFound) {
		t.Fatalf("before the submission: got %+v, %v, want %v", st, err, client.ErrNotFound)
	}
	if st, created, err := c.Submit(t.Context(), j); err != nil || created || st.ID != j.ID {
		t.Errorf("submission: got %+v, created %t, %v, want its state, not created", st, created, err)
	}
	if n := delayed.Load(); n < 1 {
		t.Errorf("%d commits of the job came to the store, want at least one", n)
	}
	if st, err := c.Get(t.Context(), j.ID); err != nil || st.ID != j.ID {
		t.Errorf("after the submission: got %+v, %v, want its state and no error", st, err)
	}
}

// A program that cannot run is an error that says where to look, and nothing stays behind.
func TestControllerThatCannotRunIsReported(t *testing.T) {
	t.Parallel()
	bad, err := exec.LookPath("false")
	if err != nil {
		t.Skip("no program that fails")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, err = Start(ctx, Options{DataDir: t.TempDir(), ControllerProgram: bad, Zones: []string{"north"}, Controllers: 1})
	if err == nil || !strings.Contains(err.Error(), "controller-1 ends at once") {
		t.Errorf("%v", err)
	}
}
