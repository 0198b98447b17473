package simulation

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// newEnvironmentWithoutControllers returns an environment whose workers get 503 for every heartbeat.
func newEnvironmentWithoutControllers(ctx context.Context) *Environment {
	env := NewEnvironment(ctx)
	env.HeartbeatInterval, env.Lease, env.BootTime = 2*time.Second, time.Hour, time.Second
	env.Controllers = []string{"n-0"}
	env.Types = []records.MachineType{{Name: "c4", CPUs: 4, MemGB: 16}}
	env.RunTime = func(string) time.Duration { return time.Hour }
	env.Heartbeat = func(int, *fleet.Heartbeat) (int, fleet.HeartbeatResponse, string) {
		return http.StatusServiceUnavailable, fleet.HeartbeatResponse{}, ""
	}
	return env
}

// runCommand returns the direct command that starts an attempt.
func runCommand(task string, attempt uint64) fleet.CommandRequest {
	return fleet.CommandRequest{
		FencingToken: 1, Incarnation: 1,
		Commands: []fleet.Command{{Verb: fleet.VerbRun, Task: task, Attempt: attempt}},
	}
}

// Each rule of the protocol is violated on purpose and must be reported, which shows that its check can fail.
func TestEachRuleIsReportedWhenBroken(t *testing.T) {
	zone := "b"
	advance := func() { time.Sleep(time.Millisecond) }
	jobs := map[string]records.Job{}
	for _, j := range []records.Job{
		{ID: "j-1", Tasks: 4, CPUs: 1}, {ID: "j-2", Tasks: 2, CPUs: 1, Zone: &zone}, {ID: "j-3", Tasks: 2, CPUs: 1, Types: []string{"other"}},
		{ID: "j-4", Tasks: 2, CPUs: 1, OneZone: true},
		{ID: "j-5", Tasks: 3, CPUs: 1, SpreadZones: true}, {ID: "j-6", Tasks: 4, CPUs: 2, Team: "limited"},
		{ID: "j-7", Tasks: 1, CPUs: 1, Dependencies: []string{"j-1"}}, {ID: "j-8", Tasks: 2, CPUs: 1},
		{ID: "j-10", Tasks: 1, CPUs: 5, Team: "limited"},
	} {
		j.Shape, j.Spot = records.ShapeArray, j.ID != "j-8"
		jobs[j.ID] = j
	}
	for want, breakRule := range map[string]func(env *Environment, run func(machine, task string, attempt uint64)){
		"ran_twice": func(_ *Environment, run func(string, string, uint64)) {
			run("m-000001", "j-1/0", 1)
			run("m-000002", "j-1/0", 2)
		},
		"quota": func(_ *Environment, run func(string, string, uint64)) {
			run("m-000001", "j-6/0", 1)
			run("m-000001", "j-6/1", 1)
			run("m-000002", "j-6/2", 1)
		},
		"wrong_place: j-2/0": func(_ *Environment, run func(string, string, uint64)) { run("m-000001", "j-2/0", 1) },
		"wrong_place: j-3/0": func(_ *Environment, run func(string, string, uint64)) { run("m-000001", "j-3/0", 1) },
		"wrong_place: j-8/0": func(_ *Environment, run func(string, string, uint64)) { run("m-000003", "j-8/0", 1) },
		"wrong_place: j-4/1": func(_ *Environment, run func(string, string, uint64)) {
			run("m-000001", "j-4/0", 1)
			run("m-000002", "j-4/1", 1)
		},
		"wrong_place: j-5/2": func(_ *Environment, run func(string, string, uint64)) {
			for n := range 3 {
				run("m-000001", fmt.Sprint("j-5/", n), 1)
			}
		},
		"ran_cancelled: j-1/0 started": func(env *Environment, run func(string, string, uint64)) {
			env.RecordCancelConfirmation("j-1")
			time.Sleep(env.CancelLimit + time.Second)
			run("m-000001", "j-1/0", 1)
		},
		"ran_cancelled: j-1/0 still": func(env *Environment, run func(string, string, uint64)) {
			run("m-000001", "j-1/0", 1)
			env.RecordCancelConfirmation("j-1")
			time.Sleep(env.CancelLimit + time.Second)
			env.CheckCancelled()
		},
		"too_early": func(_ *Environment, run func(string, string, uint64)) { run("m-000001", "j-7/0", 1) },
		"orphaned": func(env *Environment, _ func(string, string, uint64)) {
			env.RecordCancelConfirmation("j-1")
			time.Sleep(env.CancelLimit + time.Second)
			env.CheckJobState("j-7", records.StatusPending, time.Now())
		},
		"forgotten: j-1 was accepted and is": func(env *Environment, _ func(string, string, uint64)) {
			env.CheckSubmission("j-1", 201, time.Now())
			advance()
			env.CheckNotFound("j-1", time.Now())
		},
		"forgotten: j-1 was accepted, and a": func(env *Environment, _ func(string, string, uint64)) {
			env.CheckSubmission("j-1", 200, time.Now())
			advance()
			env.CheckSubmission("j-1", 422, time.Now())
		},
		"invented": func(env *Environment, _ func(string, string, uint64)) {
			env.CheckJobState("j-99", records.StatusPending, time.Now())
		},
		"not_done": func(env *Environment, _ func(string, string, uint64)) {
			env.CheckJobState("j-1", records.StatusDone, time.Now())
		},
		"went_back: j-1 is reported as cancelled": func(env *Environment, _ func(string, string, uint64)) {
			env.CheckJobState("j-1", records.StatusCancelled, time.Now())
		},
		"went_back: j-1 was reported as": func(env *Environment, _ func(string, string, uint64)) {
			env.RecordCancelConfirmation("j-1")
			env.CheckJobState("j-1", records.StatusCancelled, time.Now())
			advance()
			env.CheckJobState("j-1", records.StatusRunning, time.Now())
		},
		"went_back: j-1 was accepted": func(env *Environment, _ func(string, string, uint64)) {
			env.CheckSubmission("j-1", 201, time.Now())
			advance()
			env.CheckSubmission("j-1", 201, time.Now())
		},
		"odd: j-3":  func(env *Environment, _ func(string, string, uint64)) { env.CheckSubmission("j-3", 201, time.Now()) },  // unknown machine type
		"odd: j-10": func(env *Environment, _ func(string, string, uint64)) { env.CheckSubmission("j-10", 201, time.Now()) }, // above its team's limit
		"odd: j-98": func(env *Environment, _ func(string, string, uint64)) { env.CheckSubmission("j-98", 201, time.Now()) }, // incomplete
		"started_cancelled": func(env *Environment, run func(string, string, uint64)) {
			env.RecordCancelConfirmation("j-1")
			advance()
			run("m-000001", "j-1/0", 1)
		},
		"": func(env *Environment, run func(string, string, uint64)) { // a state binds only requests sent after it was reported
			asked := time.Now()
			advance()
			env.CheckSubmission("j-1", 201, asked)
			env.CheckNotFound("j-1", asked)
			run("m-000001", "j-1/0", 1)
			env.RecordCancelRequest("j-1")
			env.RecordCancelConfirmation("j-1")
			env.CheckJobState("j-1", records.StatusCancelled, asked)
			env.CheckJobState("j-1", records.StatusRunning, asked)
			env.CheckSubmission("j-1", 200, time.Now())
		},
	} {
		t.Run(want, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(context.Background())
				defer end()
				env := newEnvironmentWithoutControllers(ctx)
				env.CancelLimit, env.ZoneCapacity = 30*time.Second, 9
				env.Teams = []config.Team{{Name: "limited", LimitCPUs: 4}, {Name: ""}}
				env.LookupJob = func(id string) (records.Job, bool) { j, ok := jobs[id]; return j, ok }
				for i, z := range []string{"a", "b", "a"} {
					if _, err := env.rent(autoscaler.RentalRequest{Name: fmt.Sprint(i), Type: "c4", Zone: z, Count: 1, Spot: i == 2}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(2 * time.Second)
				breakRule(env, func(machine, task string, attempt uint64) {
					if _, _, err := env.SendCommands(machine, runCommand(task, attempt)); err != nil {
						t.Error(err)
					}
				})
				if got := env.Violations(); len(got) != min(len(want), 1) || want != "" && !strings.HasPrefix(got[0], want) {
					t.Errorf("violations: %q, want %s", got, want)
				}
			})
		})
	}
}
