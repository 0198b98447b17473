package operator

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/messagesize"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"

	"pgregory.net/rapid"
)

// schedulerLeader is a leader that plans drains with a real scheduler.
type schedulerLeader struct {
	fakeLeader
	scheduler *scheduler.Scheduler
	now       time.Time
}

func (l *schedulerLeader) PreviewDrain(spec *drain.Spec, force bool) (*drain.Plan, error) {
	return l.scheduler.PreviewDrain(spec, force, l.now)
}

// newSchedulerLeader returns a leader of one machine for each entry of taskCounts, with that number of
// running tasks of a job.
func newSchedulerLeader(taskCounts []int, class string) *schedulerLeader {
	cfg := &config.Config{Options: config.DefaultOptions()}
	cfg.Deployment.Workers = config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerLossS: 5, CancelS: 30}
	cfg.Deployment.Store.ValueKB, cfg.Deployment.Zones, cfg.Deployment.Teams = 8, []string{"a"}, []config.Team{{Name: "team"}}
	l := &schedulerLeader{now: time.Unix(1_000_000, 0)}
	l.scheduler = scheduler.New(scheduler.SettingsOf(cfg), 5, l.now)
	l.scheduler.SetMachineTypes([]records.MachineType{{Name: "g8", CPUs: 96, MemGB: 768, Price: 12, Zones: cfg.Deployment.Zones}})
	l.scheduler.CheckReconciled(l.now)
	total := 0
	for i, tasks := range taskCounts {
		heartbeat := fleet.Heartbeat{Machine: fmt.Sprintf("m-%06d", i), Addr: "a", Type: "g8", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: 5}
		for range tasks {
			heartbeat.Tasks = append(heartbeat.Tasks, fleet.TaskStatus{Task: fmt.Sprint("j-1/", total), Attempt: 1, Status: "running"})
			total++
		}
		l.scheduler.Reconcile(&heartbeat, true, l.now)
	}
	l.scheduler.AddJob(records.Job{
		ID: "j-1", Team: "team", Class: class, Shape: records.ShapeArray, Priority: records.PriorityStandard, Tasks: max(total, 1),
		CPUs: 0.2, MemGB: 0.5, Image: "img", EstimateS: 200, AcceptedMS: l.now.UnixMilli(),
	}, 10, l.now, l.now)
	return l
}

// checkPages reads all pages of a plan and checks that they list every machine once, with all of its
// tasks listed or counted, and that no page exceeds the limit of the protocol.
func checkPages(t rapid.TB, app func(body string) (int, string), taskCounts []int) {
	since, found := "", []int{}
	for more := true; more; {
		status, text := app(fmt.Sprintf(`{"id":"d-1","type":"g8","force":true,"since":%q}`, since))
		if status != http.StatusOK || len(text) > messagesize.Max {
			t.Fatalf("got status %d with %d bytes, want 200 with at most %d", status, len(text), messagesize.Max)
		}
		var page drain.Plan
		if err := json.Unmarshal([]byte(text), &page); err != nil {
			t.Fatal(err)
		}
		if len(page.Machines) == 0 {
			t.Fatalf("the page after %q lists no machine", since)
		}
		for _, machine := range page.Machines {
			if machine.Machine <= since {
				t.Fatalf("%s follows %s", machine.Machine, since)
			}
			since = machine.Machine
			found = append(found, len(machine.Tasks)+machine.OmittedTasks)
		}
		more = page.Truncated
	}
	if fmt.Sprint(found) != fmt.Sprint(taskCounts) {
		t.Fatalf("got machines with %v tasks, want %v", found, taskCounts)
	}
}

// Guards against a drain plan that ends the leader's process or exceeds the limit on a response. The
// page was cut by a number of tasks that became negative after a machine with many tasks, so that the
// plan of machines with 480 and 320 tasks panicked in every controller that led.
func TestDrainPlanOfFullMachinesIsPaged(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.checks": "20"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	cluster := newTestCluster(t)
	check := func(t rapid.TB, taskCounts []int, class string) {
		cluster.setLeader(newSchedulerLeader(taskCounts, class))
		checkPages(t, func(body string) (int, string) {
			return cluster.request("n-1", http.MethodPost, "/operator/drains/plan", body)
		}, taskCounts)
	}
	check(t, []int{480, 320}, "train")
	check(t, []int{1100, 0, 900}, strings.Repeat("<", 200)) // JSON encodes each character in six bytes
	rapid.Check(t, func(t *rapid.T) {
		check(t, rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 249, 250, 251, 480, 1100}), 1, 5).Draw(t, "tasks of the machines"), "train")
	})
}

// Guards against a plan of many classes of jobs that exceeds the limit on a response: users name the
// classes, and every page lists the totals of each.
func TestDrainPlanOfManyClassesIsPaged(t *testing.T) {
	plan := &drain.Plan{Classes: map[string]*drain.ClassPlan{}, Machines: []drain.MachinePlan{{Machine: "m-1"}, {Machine: "m-2"}}}
	for i := range 1000 {
		plan.Classes[fmt.Sprintf("%0200d", i)] = &drain.ClassPlan{Late: 1}
	}
	cutToPage(plan, "m-1")
	if size := records.EncodedSize(plan); size > messagesize.Max || len(plan.Machines) != 1 || plan.Machines[0].Machine != "m-2" {
		t.Errorf("the page of %v has %d bytes, want m-2 in at most %d", plan.Machines, size, messagesize.Max)
	}
	if len(plan.Classes) == 0 || len(plan.Warnings) != 1 {
		t.Errorf("got %d classes and the warnings %q, want some classes and a warning", len(plan.Classes), plan.Warnings)
	}
}
