package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/quota"
	"drumpick/internal/records"

	"pgregory.net/rapid"
)

// scanUsage computes a team's usage by scanning every attempt on every machine, as the reference for
// the quota account. inUse counts attempts that may be present, committed also planned ones, and
// notStopping only the team's own present attempts without a requested stop. inUse and committed
// include the attempts of jobs that are not open.
func scanUsage(s *Scheduler, team string) (inUse, committed, notStopping quota.Amount) {
	for _, m := range s.fleet.Sorted() {
		for _, a := range m.Attempts() {
			if a.State() == fleet.Ended {
				continue
			}
			size, shared, mine := quota.Amount{}, true, false
			if j := s.jobOf(a); j != nil {
				size, shared, mine = quota.Amount{CPUs: j.CPUs, GPUs: j.GPUs}, false, j.Team == team
			} else if a.Item != nil {
				size = quota.Amount{CPUs: a.Item.Request.CPU, GPUs: a.Item.Request.GPU}
			}
			if !shared && !mine {
				continue
			}
			committed = committed.Add(size)
			if a.MayBePresent() {
				inUse = inUse.Add(size)
				if mine && !a.Stopping() {
					notStopping = notStopping.Add(size)
				}
			}
		}
	}
	return inUse, committed, notStopping
}

// checkUsage compares the quota account with scanUsage, for every team.
func checkUsage(t *rapid.T, s *Scheduler, after string) {
	same := func(a, b quota.Amount) bool {
		return math.Abs(a.CPUs-b.CPUs) < quotaEpsilon && math.Abs(a.GPUs-b.GPUs) < quotaEpsilon
	}
	for team := range s.settings.Teams {
		inUse, committed, notStopping := scanUsage(s, team)
		if got := s.quotaUsage.InUse(team); !same(got, inUse) {
			t.Fatalf("after %s: %s uses %+v by the account, %+v by the scan", after, team, got, inUse)
		}
		if got := s.quotaUsage.Committed(team); !same(got, committed) {
			t.Fatalf("after %s: %s has committed %+v by the account, %+v by the scan", after, team, got, committed)
		}
		if got := s.quotaUsage.NotStopping(team); !same(got, notStopping) {
			t.Fatalf("after %s: %s has %+v not stopping by the account, %+v by the scan", after, team, got, notStopping)
		}
	}
}

// checkDerivedState compares two incrementally updated sets with a scan of all jobs: the active
// turns of jobs with tasks to start, and the complete jobs.
func checkDerivedState(t *rapid.T, s *Scheduler, after string) {
	for i, turn := range s.order.turns {
		if !turn.job.closed && !turn.job.hasNoQueuedTasks() && s.order.active.next(i) != i {
			t.Fatalf("after %s: %s has tasks to start, and its turn is not active", after, turn.job.ID)
		}
	}
	for _, j := range s.jobs {
		if _, complete := s.completeJobs[j]; complete != (j.doneCount == j.Tasks) {
			t.Fatalf("after %s: %s has %d of %d tasks done, and counts as complete: %v", after, j.ID, j.doneCount, j.Tasks, complete)
		}
	}
}

// randomEvents applies random events to a scheduler and its simulated workers.
type randomEvents struct {
	*fakeFleet
	t          *rapid.T
	teams      []config.Team
	heartbeats []fleet.Heartbeat // all heartbeats so far; late copies are drawn from them
	submitted  []records.Job
	drains     int
}

func newRandomEvents(t *rapid.T) *randomEvents {
	var teams []config.Team
	for i := range 4 {
		teams = append(teams, config.Team{
			Name: fmt.Sprint("team-", i), GuaranteedCPUs: float64(i), LimitCPUs: float64(4 * (i % 3)), LimitGPUs: float64(i % 2),
		})
	}
	options := config.DefaultOptions()
	options.Guarantees = true
	return &randomEvents{fakeFleet: newFakeFleet(t, options, teams, 3), t: t, teams: teams}
}

func (e *randomEvents) pickMachine() *fakeMachine {
	return rapid.SampledFrom(e.machines).Draw(e.t, "machine")
}

func (e *randomEvents) submit() {
	shapes := []string{records.ShapeArray, records.ShapeArray, records.ShapeGang, records.ShapeService}
	j := records.Job{
		ID:         fmt.Sprint("j-", len(e.submitted)),
		Team:       rapid.SampledFrom(e.teams).Draw(e.t, "team").Name,
		Shape:      rapid.SampledFrom(shapes).Draw(e.t, "shape"),
		Priority:   rapid.SampledFrom(allPriorities).Draw(e.t, "priority"),
		CPUs:       rapid.SampledFrom([]float64{0.1, 0.3, 1, 2, 4}).Draw(e.t, "cpus"),
		Tasks:      rapid.IntRange(1, 6).Draw(e.t, "tasks"),
		MemGB:      1,
		Image:      "img",
		EstimateS:  20,
		AcceptedMS: e.now.UnixMilli(),
	}
	if rapid.Bool().Draw(e.t, "saves") {
		j.CheckpointS, j.SaveS = 5, 2
	}
	e.submitted = append(e.submitted, j)
	e.jobs[j.ID], e.runTimes[j.ID] = j, 15*time.Second
	e.scheduler.AddJob(j, 10, e.now, e.now)
}

// sendHeartbeat sends a heartbeat of a random machine, and executes the commands of the answer unless
// the answer is lost.
func (e *randomEvents) sendHeartbeat() {
	machine := e.pickMachine()
	e.advanceAttempts(machine)
	machine.heartbeat.Sequence++
	machine.heartbeat.Tasks = nil
	for _, attempt := range machine.attempts {
		machine.heartbeat.Tasks = append(machine.heartbeat.Tasks, attempt.TaskStatus)
	}
	copied := machine.heartbeat
	copied.Tasks = append([]fleet.TaskStatus(nil), copied.Tasks...)
	e.heartbeats = append(e.heartbeats, copied)
	tracked, stale := e.scheduler.Reconcile(&copied, rapid.IntRange(0, 5).Draw(e.t, "answer to a command") > 0, e.now)
	if stale || tracked == nil {
		return
	}
	tracked.Recorded = true
	e.scheduler.PlanMachine(tracked, e.now)
	response := e.scheduler.Respond(tracked, true, e.now)
	if rapid.IntRange(0, 4).Draw(e.t, "lost answer") > 0 {
		e.scheduler.RecordAnswer(tracked, "", e.now)
		machine.heartbeat.FencingToken = e.scheduler.term
		e.applyCommands(machine, response.Commands)
	}
}

// addUnknownAttempt adds an attempt that this term did not start to a random machine. Its job may be
// unknown, or may not have the task.
func (e *randomEvents) addUnknownAttempt() {
	id := fleet.TaskID{Job: fmt.Sprint("j-", rapid.IntRange(0, 12).Draw(e.t, "job")), N: rapid.IntRange(0, 8).Draw(e.t, "task")}
	machine := e.pickMachine()
	machine.attempts = append(machine.attempts, &fakeAttempt{
		TaskStatus: fleet.TaskStatus{Task: id.String(), Attempt: 3<<24 + uint64(rapid.IntRange(1, 9).Draw(e.t, "attempt")), Status: "running"},
		job:        id.Job, endsAt: e.now.Add(20 * time.Second),
	})
}

// failover begins the next term with the open jobs and the recorded machines of the last one.
func (e *randomEvents) failover() {
	before := e.scheduler
	e.scheduler = New(before.settings, before.term+1, e.now)
	e.scheduler.SetMachineTypes([]records.MachineType{before.machineTypes["c4"]})
	for _, m := range before.fleet.Sorted() {
		if m.Recorded {
			e.scheduler.LoadMachine(m.Name, records.Machine{Addr: m.Addr, Type: m.Type, Zone: m.Zone}, e.now)
		}
	}
	for _, j := range e.submitted {
		if before.jobs[j.ID] != nil {
			e.scheduler.AddJob(j, 10, e.now, e.now)
		}
	}
}

// pickJob returns the id of a random open job, or "".
func (e *randomEvents) pickJob() string {
	for _, j := range e.submitted {
		if e.scheduler.jobs[j.ID] != nil && rapid.Bool().Draw(e.t, "this job") {
			return j.ID
		}
	}
	return ""
}

// playEvent applies one random event and returns its name.
func (e *randomEvents) playEvent() string {
	e.now = e.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(e.t, "ms")) * time.Millisecond)
	name := rapid.SampledFrom([]string{
		"heartbeat", "heartbeat", "heartbeat", "heartbeat", "heartbeat", "submission", "submission", "tick", "tick", "late copy",
		"unknown attempt", "restart", "cancellation", "close", "long silence", "return", "failure", "failover",
		"expiry of earlier leases", "drain", "reconciliation", "faulty machine",
	}).Draw(e.t, "event")
	switch name {
	case "heartbeat":
		e.sendHeartbeat()
	case "submission":
		e.submit()
	case "tick":
		e.scheduler.Tick(e.now, true)
	case "late copy":
		if len(e.heartbeats) > 0 {
			r := rapid.SampledFrom(e.heartbeats).Draw(e.t, "copy")
			e.scheduler.Reconcile(&r, true, e.now)
		}
	case "unknown attempt":
		e.addUnknownAttempt()
	case "restart":
		machine := e.pickMachine()
		machine.heartbeat.Incarnation, machine.attempts = machine.heartbeat.Incarnation+1, nil
	case "cancellation":
		if id := e.pickJob(); id != "" {
			e.scheduler.ApplyClosedRecord(id, records.ClosedJob{Status: records.StatusCancelled}, 20)
		}
	case "close":
		if id := e.pickJob(); id != "" {
			e.scheduler.CloseJob(id)
		}
	case "long silence":
		e.now = e.now.Add(14 * time.Second)
		e.scheduler.Tick(e.now, true)
	case "return":
		e.scheduler.MachinesReturned([]string{e.pickMachine().heartbeat.Machine}, e.now)
	case "failure":
		machine := e.pickMachine().heartbeat
		failed := autoscaler.CloudMachine{Machine: machine.Machine, Addr: machine.Addr, Type: "c4", Zone: machine.Zone, Status: "failed"}
		e.scheduler.ReconcileCloudList([]autoscaler.CloudMachine{failed}, e.now, e.now)
	case "failover":
		if rapid.IntRange(0, 3).Draw(e.t, "yes") == 0 {
			e.failover()
		}
	case "expiry of earlier leases":
		e.scheduler.ExpireEarlierLeases(e.now)
	case "drain":
		e.drains++
		name := e.pickMachine().heartbeat.Machine
		spec := drain.Spec{ID: fmt.Sprint("d-", e.drains), Kind: drain.KindDrain, Machines: []string{name}, RequestedMS: e.now.UnixMilli()}
		e.scheduler.SetDrain(spec, nil, 0)
	case "reconciliation":
		e.scheduler.CheckReconciled(e.now)
	case "faulty machine":
		if m := e.scheduler.fleet.Machines[e.pickMachine().heartbeat.Machine]; m != nil {
			e.scheduler.markFaulty(m)
		}
	}
	return name
}

// The quota account is updated incrementally and must not drift: it equals a scan of all attempts
// after every event, such as late and duplicate heartbeats, lease expiry, cancellation, failover,
// unknown attempts, drains and preemption. Once all machines are removed, it is empty.
func TestQuotaAccountEqualsScan(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		events := newRandomEvents(t)
		for range rapid.IntRange(20, 200).Draw(t, "events") {
			event := events.playEvent()
			checkUsage(t, events.scheduler, event)
			checkDerivedState(t, events.scheduler, event)
		}
		for _, m := range events.scheduler.fleet.Sorted() {
			events.scheduler.RemoveMachine(m.Name, events.now)
		}
		checkUsage(t, events.scheduler, "the loss of all machines")
		if !events.scheduler.quotaUsage.Empty() {
			t.Fatal("the account is not empty though no attempt is left")
		}
	})
}
