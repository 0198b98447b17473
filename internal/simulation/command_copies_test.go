package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// copyDelays are the delays of the copies of a direct command: from at once to beyond the worker's lease.
var copyDelays = []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second, 9 * time.Second, 20 * time.Second}

// commandCounter counts the direct commands that were executed and whose copies arrive again, by verb.
type commandCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// copies counts the commands of a request and returns the delays of its copies.
func (c *commandCounter) copies(r fleet.CommandRequest) []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, command := range r.Commands {
		c.counts[command.Verb]++
	}
	return copyDelays
}

// Every direct command that a worker has executed and answered reaches the worker again, up to 20 s later: after its
// task ended, moved to another machine, or was cancelled, and after the leader or the machine were back within a second
// as a new process without memory. A worker executes a copy as long as token and incarnation match, and after a reap a
// copy of a start would start the attempt once more. Controllers send starts only in answers to heartbeats, which
// workers never execute late, so no copy may start anything: no task runs twice, none of a cancelled job starts, and no
// accepted job is lost.
func TestLateCopiesOfCommandsStartNothing(t *testing.T) {
	sent := &commandCounter{counts: map[string]int{}}
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(8) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				runCommandCopies(t, seed, sent)
			})
		}
	})
	if n := sent.counts[fleet.VerbRun]; n > 0 {
		t.Errorf("%d starts were sent as direct commands", n)
	}
	if sent.counts[fleet.VerbKill] == 0 || sent.counts[fleet.VerbReap] == 0 {
		t.Errorf("direct commands by verb: %v, want kills and reaps", sent.counts)
	}
}

// runCommandCopies runs a scenario in which copies of all direct commands and heartbeats arrive late.
func runCommandCopies(t *testing.T, seed uint64, sent *commandCounter) {
	random := rand.New(rand.NewPCG(seed, 61))
	runScenarioWith(t, func(c *cluster) {
		c.env.ZoneCapacity = 12
		c.env.GangStartTimeout, c.env.GangPeerTimeout = 30*time.Second, 5*time.Second
		c.env.RunTime = mixedRunTime
		c.env.SetCommandCopies(sent.copies)
	}, func(c *cluster) {
		c.copyHeartbeats(copyDelays[1:]...)
		sleep(2)
		for round := range 6 {
			for k := range 3 {
				c.submitToAny(k, records.Job{ID: jobID(10*round + k), Tasks: 10 + random.IntN(30), CPUs: 1, EstimateS: 8})
			}
			c.submitToAny(0, records.Job{ID: jobID(10*round + 5), Shape: records.ShapeGang, Tasks: 4, CPUs: 2, EstimateS: 8})
			sleep(8 + 20*random.Float64())
			disturbBesideCopies(c, random, round)
		}
		endFaults(c)
		sleep(200)
		c.wantAllJobsKnown()
		c.wantNoVanishedMachines()
	})
}

// disturbBesideCopies moves tasks by a drain, cancels jobs, and restarts the leader and machines within a second.
func disturbBesideCopies(c *cluster, random *rand.Rand, round int) {
	if ms := c.env.Machines(); len(ms) > 0 {
		spec := drain.Spec{ID: fmt.Sprint("d-", round), Kind: drain.KindDrain, Machines: []string{ms[random.IntN(len(ms))].Name}}
		_, _ = c.store.Client("operator").Commit(c.ctx, nil, []records.Op{{Write: records.PrefixDrains + spec.ID, Value: spec}})
	}
	sleep(random.Float64())
	c.cancelSome(random, 2)
	if random.IntN(2) == 0 {
		c.restartController(c.leaderIndex(), random.Float64())
	}
	for _, m := range c.env.Machines() {
		if random.IntN(4) == 0 {
			m.Reboot()
		}
	}
	sleep(random.Float64())
	c.cancelSome(random, 1)
}

// A start that is sent as a direct command is started again by its late copy once it is reaped, beside the task's next
// attempt on another machine, or after its job's cancellation. This shows that the rules' checks see such starts.
func TestLateCopyOfDirectStartIsReported(t *testing.T) {
	for want, meanwhile := range map[string]func(env *Environment, execute func(machine, verb string, attempt uint64)){
		"ran_twice": func(_ *Environment, execute func(string, string, uint64)) { execute("m-000002", fleet.VerbRun, 2) },
		"ran_cancelled": func(env *Environment, _ func(string, string, uint64)) {
			env.RecordCancelRequest("j-1")
			env.RecordCancelConfirmation("j-1")
		},
	} {
		t.Run(want, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(context.Background())
				defer end()
				env := newEnvironmentWithoutControllers(ctx)
				env.CancelLimit, env.ZoneCapacity = 5*time.Second, 9
				env.LookupJob = func(id string) (records.Job, bool) {
					return records.Job{ID: id, Shape: records.ShapeArray, Tasks: 1, CPUs: 1}, true
				}
				if _, err := env.rent(autoscaler.RentalRequest{Name: "r", Type: "c4", Zone: "a", Count: 2}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				env.SetCommandCopies(func(r fleet.CommandRequest) []time.Duration {
					if r.Commands[0].Verb == fleet.VerbRun && r.Commands[0].Attempt == 1 {
						return []time.Duration{20 * time.Second}
					}
					return nil
				})
				execute := func(machine, verb string, attempt uint64) {
					request := fleet.CommandRequest{FencingToken: 1, Incarnation: 1, Commands: []fleet.Command{{Verb: verb, Task: "j-1/0", Attempt: attempt}}}
					if _, _, err := env.SendCommands(machine, request); err != nil {
						t.Error(err)
					}
				}
				for _, verb := range []string{fleet.VerbRun, fleet.VerbKill, fleet.VerbReap} {
					execute("m-000001", verb, 1)
				}
				meanwhile(env, execute)
				time.Sleep(30 * time.Second)
				if got := env.Violations(); len(got) != 1 || !strings.HasPrefix(got[0], want) {
					t.Errorf("violations: %q, want one of %s", got, want)
				}
			})
		})
	}
}
