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

// These tests run real controllers, kill them at points chosen from a seed, and afterwards check all responses to users.
// They wait for conditions, never for a fixed time; only the timeout of the test run limits them.

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

// testCluster is a local cluster with users that record the responses that they get.
type testCluster struct {
	t           *testing.T
	cluster     *Cluster
	responses   *linearizability.History
	rand        *rand.Rand
	wg          sync.WaitGroup // of the users
	forceDrains bool           // also start drains that leave no machine for some jobs
}

func startTestCluster(t *testing.T, seed uint64, modify func(*Options)) *testCluster {
	t.Helper()
	program, err := buildController()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{DataDir: t.TempDir(), ControllerProgram: program, Zones: []string{"north", "south"}, Controllers: 3, MachinesPerZone: 5, LogLevel: "info"}
	if modify != nil {
		modify(&o)
	}
	cluster, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	tc := &testCluster{t: t, cluster: cluster, responses: linearizability.New(), rand: rand.New(rand.NewPCG(seed, 1))}
	t.Cleanup(func() {
		if err := cluster.Stop(); err != nil {
			t.Error(err)
		}
		for _, c := range cluster.controllers {
			if c.cmd != nil && c.cmd.ProcessState == nil {
				t.Errorf("process of %s was left running", c.name)
			}
		}
		if t.Failed() {
			for _, c := range cluster.Info.Controllers {
				raw, _ := os.ReadFile(c.LogPath)
				lines := strings.Split(string(raw), "\n")
				t.Logf("%s, the end of its log:\n%s", c.Name, strings.Join(lines[max(0, len(lines)-60):], "\n"))
			}
		}
	})
	return tc
}

// batchJob returns a batch job of small tasks, changed by modify unless that is nil.
func batchJob(id string, tasks int, seconds float64, modify func(*client.Job)) client.Job {
	j := client.Job{
		ID: id, Class: "any", Team: "archive", Shape: client.Batch, Priority: client.Standard, Tasks: tasks,
		CPUs: 1, MemGB: 2, Image: "img", ImageGB: 0.1, Spot: true, EstimateS: seconds,
	}
	if modify != nil {
		modify(&j)
	}
	return j
}

// submitAndFollow starts a user that submits a job, polls it until its state is final, and records all responses. The
// user cancels the job after cancelAfter polls; 0: never.
func (tc *testCluster) submitAndFollow(user int, j client.Job, cancelAfter int) {
	tc.wg.Add(1)
	go func() {
		defer tc.wg.Done()
		c := tc.cluster.Client()
		c.RetryPolicy.RequestTimeout, c.RetryPolicy.SubmitTimeout, c.RetryPolicy.MinDelay = time.Second, 2*time.Second, 100*time.Millisecond
		ctx := tc.t.Context()
		request := func(kind string, send func() (client.Status, error)) client.Status {
			for ctx.Err() == nil {
				sentAt := time.Now()
				st, err := send()
				switch {
				case err == nil:
					tc.responses.Record(user, j.ID, kind, st.Status, sentAt)
					return st
				case errors.Is(err, client.ErrNotFound):
					tc.responses.Record(user, j.ID, kind, linearizability.NotFound, sentAt)
					return st
				case errors.Is(err, client.ErrUnavailable):
					tc.responses.Record(user, j.ID, kind, "", sentAt) // outcome unknown: retry
				default:
					tc.t.Errorf("%s of %s: %v", kind, j.ID, err)
					return st
				}
			}
			return client.Status{}
		}
		request(linearizability.Submit, func() (client.Status, error) { st, _, err := c.Submit(ctx, j); return st, err })
		for polls := 0; ctx.Err() == nil; polls++ {
			if polls == cancelAfter && cancelAfter > 0 {
				request(linearizability.Cancel, func() (client.Status, error) { return c.Cancel(ctx, j.ID) })
			}
			if request(linearizability.Poll, func() (client.Status, error) { return c.Get(ctx, j.ID) }).IsFinal() {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// waitFor waits until condition returns true. what describes the condition in the failure message.
func (tc *testCluster) waitFor(what string, condition func() bool) {
	tc.t.Helper()
	for !condition() {
		select {
		case <-tc.t.Context().Done():
			tc.t.Fatalf("waiting for %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// checkResponses waits until all users are done, and checks their responses and the protocol's rules.
func (tc *testCluster) checkResponses() {
	tc.t.Helper()
	tc.wg.Wait()
	if err := tc.responses.Check(); err != nil {
		tc.t.Error(err)
	}
	for _, violation := range tc.cluster.Environment.Violations() {
		tc.t.Error("rule violated: " + violation)
	}
}

// leader returns the name of the leader, or "" if there is none.
func (tc *testCluster) leader() string {
	value := tc.cluster.Store.Value("leader")
	for _, c := range tc.cluster.Info.Controllers {
		if strings.Contains(value, `"`+c.Name+`"`) {
			return c.Name
		}
	}
	return ""
}

// Controllers, machines and a zone's power fail while users submit, cancel and poll. Each job must end in one final
// state, and no protocol rule may be violated.
func TestEachJobEndsInOneFinalStateAcrossFailures(t *testing.T) {
	t.Parallel()
	tc := startTestCluster(t, 1, nil)
	for i := range 6 {
		tc.submitAndFollow(i, batchJob(fmt.Sprint("j-", 100+i), 4, 2, nil), 0)
	}
	tc.submitAndFollow(6, batchJob("j-200", 3, 3, func(j *client.Job) { j.Shape, j.CPUs, j.OneZone, j.Team = client.Group, 2, true, "desk" }), 0)
	tc.submitAndFollow(7, batchJob("j-201", 2, 0, func(j *client.Job) { j.Shape, j.SpreadZones = client.Service, true }), 12)
	tc.submitAndFollow(8, batchJob("j-202", 8, 5, nil), 6)
	tc.waitFor("the first task starts", func() bool { return tc.cluster.Environment.Starts() > 4 })
	for round := range 3 {
		switch victim := tc.rand.IntN(3); {
		case round == 0:
			_ = tc.cluster.Kill(tc.leader())
		case victim == 0:
			_, _ = tc.cluster.FailZone(tc.cluster.options.Zones[tc.rand.IntN(2)])
		case victim == 1:
			for _, c := range tc.cluster.Info.Controllers {
				_ = tc.cluster.Kill(c.Name)
			}
		default:
			if ms := tc.cluster.Environment.Machines(); len(ms) > 0 {
				ms[tc.rand.IntN(len(ms))].Terminate()
			}
		}
		starts := tc.cluster.Environment.Starts()
		tc.submitAndFollow(20+round, batchJob(fmt.Sprint("j-", 300+round), 3, 1, nil), 0)
		tc.waitFor("task starts after the fault", func() bool { return tc.cluster.Environment.Starts() > starts })
	}
	tc.checkResponses()
}

// The store file persists across a restart: jobs accepted before the stop run after the next start, and final statuses
// are still known.
func TestStoreFilePersistsAcrossRestart(t *testing.T) {
	t.Parallel()
	data := t.TempDir()
	sameData := func(o *Options) { o.DataDir, o.Controllers = data, 1 }
	tc := startTestCluster(t, 1, sameData)
	c := tc.cluster.Client()
	ctx := t.Context()
	for _, j := range []client.Job{batchJob("j-1", 1, 0.5, nil), batchJob("j-2", 2, 600, nil), batchJob("j-3", 1, 600, nil)} {
		submitNew(t, c, j)
	}
	if st, err := c.Cancel(ctx, "j-3"); err != nil || st.Status != client.Cancelled {
		t.Fatalf("cancellation of j-3: got %+v, %v, want cancelled", st, err)
	}
	c.PollInterval = 100 * time.Millisecond
	if st, err := c.Wait(ctx, "j-1", nil); err != nil || st.Status != client.Done {
		t.Fatalf("wait for j-1: got %+v, %v, want done", st, err)
	}
	second := Options{DataDir: data, ControllerProgram: tc.cluster.options.ControllerProgram, Zones: []string{"north"}, Controllers: 1}
	if _, err := Start(ctx, second); err == nil {
		t.Error("a second cluster started on the same directory")
	}
	if err := tc.cluster.Stop(); err != nil {
		t.Fatal(err)
	}
	tc.cluster.controllers, tc.cluster.apps, tc.cluster.storeFile = nil, nil, nil

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
		t.Errorf("wait for j-2: got %+v, %v, want done", st, err)
	}
	if _, created, err := c.Submit(ctx, batchJob("j-1", 1, 0.5, nil)); err != nil || created {
		t.Errorf("submitted again: created %t, %v, want known", created, err)
	}
}

// submitNew submits a job for the first time. It checks that the job is unknown before, known afterwards, and not
// created again by a repeated submission. It does not check that the first submission reports the job as new: if the
// commit succeeds but its response arrives too late, the client retries, and the response correctly reports the job as
// known.
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

// The store applies the commit of a submission, but the response to the commit arrives after the controller's timeout.
// The response to the client's retry must report the job as known, so that the job is accepted once.
func TestSubmissionWithLateCommitResponseIsAcceptedOnce(t *testing.T) {
	t.Parallel()
	const responseDelay = time.Second // twice a controller's timeout for store requests
	var delayed atomic.Int32
	delayFirst := func(c *fiber.Ctx) error {
		err := c.Next()
		if c.Path() == "/commit" && bytes.Contains(c.Body(), []byte(records.OpenKey("j-1"))) && delayed.Add(1) == 1 {
			time.Sleep(responseDelay)
		}
		return err
	}
	addr, err := ServeStore(t.Context(), filepath.Join(t.TempDir(), "state.db"), delayFirst)
	if err != nil {
		t.Fatal(err)
	}
	tc := startTestCluster(t, 1, func(o *Options) { o.StoreAddr, o.Controllers = addr, 1 })
	c := tc.cluster.Client()
	j := batchJob("j-1", 1, 600, nil)
	if st, err := c.Get(t.Context(), j.ID); !errors.Is(err, client.ErrNotFound) {
		t.Fatalf("before the submission: got %+v, %v, want %v", st, err, client.ErrNotFound)
	}
	if st, created, err := c.Submit(t.Context(), j); err != nil || created || st.ID != j.ID {
		t.Errorf("submission: got %+v, created %t, %v, want its state, not created", st, created, err)
	}
	if n := delayed.Load(); n < 1 {
		t.Errorf("the store got %d commits of the job, want at least one", n)
	}
	if st, err := c.Get(t.Context(), j.ID); err != nil || st.ID != j.ID {
		t.Errorf("after the submission: got %+v, %v, want its state and no error", st, err)
	}
}

// If the controller program exits immediately, Start fails with an error that names the controller.
func TestControllerThatCannotRunIsReported(t *testing.T) {
	t.Parallel()
	bad, err := exec.LookPath("false")
	if err != nil {
		t.Skip("the program false is not installed")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, err = Start(ctx, Options{DataDir: t.TempDir(), ControllerProgram: bad, Zones: []string{"north"}, Controllers: 1})
	if err == nil || !strings.Contains(err.Error(), "controller-1 exits immediately") {
		t.Errorf("start with a program that exits: got %v, want an error that names controller-1", err)
	}
}
