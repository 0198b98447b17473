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

// usageByScan is the oracle of the account: a look at every attempt on every machine.
func usageByScan(s *Scheduler, team string) (inUse, committed, staying quota.Amount) {
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
					staying = staying.Add(size)
				}
			}
		}
	}
	return inUse, committed, staying
}

// checkUsage compares the account with the scan, for every team.
func checkUsage(t *rapid.T, s *Scheduler, after string) {
	same := func(a, b quota.Amount) bool {
		return math.Abs(a.CPUs-b.CPUs) < quotaSlack && math.Abs(a.GPUs-b.GPUs) < quotaSlack
	}
	for team := range s.settings.Teams {
		inUse, committed, staying := usageByScan(s, team)
		if got := s.quotaUsage.InUse(team); !same(got, inUse) {
			t.Fatalf("after %s: %s uses %+v by the account, %+v by the scan", after, team, got, inUse)
		}
		if got := s.quotaUsage.Committed(team); !same(got, committed) {
			t.Fatalf("after %s: %s has committed %+v by the account, %+v by the scan", after, team, got, committed)
		}
		if got := s.quotaUsage.NotStopping(team); !same(got, staying) {
			t.Fatalf("after %s: of %s stays %+v by the account, %+v by the scan", after, team, got, staying)
		}
	}
}

// checkDerivedState compares what is kept as events come with a look at all jobs: who may have tasks to start, and who is
// complete.
func checkDerivedState(t *rapid.T, s *Scheduler, after string) {
	for i, turn := range s.order.turns {
		if !turn.job.closed && !turn.job.hasNoWaiting() && s.order.active.next(i) != i {
			t.Fatalf("after %s: %s has tasks to start, and is passed over", after, turn.job.ID)
		}
	}
	for _, j := range s.jobs {
		if _, kept := s.complete[j]; kept != (j.doneCount == j.Tasks) {
			t.Fatalf("after %s: %s has %d of %d tasks done, and is taken for complete: %v", after, j.ID, j.doneCount, j.Tasks, kept)
		}
	}
}

// randomEvents plays random events to a core, with workers that obey it.
type randomEvents struct {
	*fakeFleet
	t          *rapid.T
	teams      []config.Team
	heartbeats []fleet.Heartbeat // reports that came, of which copies may come again
	submitted  []records.Job
	drains     int
}

func newRandomEvents(t *rapid.T) *randomEvents {
	var teams []config.Team
	for i := range 4 {
		teams = append(teams, config.Team{Name: fmt.Sprint("team-", i), GuaranteedCPUs: float64(i), LimitCPUs: float64(4 * (i % 3)), LimitGPUs: float64(i % 2)})
	}
	options := config.DefaultOptions()
	options.Guarantees = true
	return &randomEvents{fakeFleet: newFakeFleet(t, options, teams, 3), t: t, teams: teams}
}

func (e *randomEvents) pickMachine() *fakeMachine {
	return rapid.SampledFrom(e.machines).Draw(e.t, "machine")
}

func (e *randomEvents) submit() {
	j := records.Job{
		ID: fmt.Sprint("j-", len(e.submitted)), Team: rapid.SampledFrom(e.teams).Draw(e.t, "team").Name, Image: "img", MemGB: 1,
		Shape:    rapid.SampledFrom([]string{records.ShapeArray, records.ShapeArray, records.ShapeGang, records.ShapeService}).Draw(e.t, "shape"),
		Priority: rapid.SampledFrom([]string{records.PriorityCritical, records.PriorityUrgent, records.PriorityStandard, records.PriorityLow}).Draw(e.t, "priority"),
		CPUs:     rapid.SampledFrom([]float64{0.1, 0.3, 1, 2, 4}).Draw(e.t, "cpus"), Tasks: rapid.IntRange(1, 6).Draw(e.t, "tasks"), EstimateS: 20, AcceptedMS: e.now.UnixMilli(),
	}
	if rapid.Bool().Draw(e.t, "saves") {
		j.CheckpointS, j.SaveS = 5, 2
	}
	e.submitted = append(e.submitted, j)
	e.jobs[j.ID], e.runTimes[j.ID] = j, 15*time.Second
	e.scheduler.AddJob(j, 10, e.now, e.now)
}

// report has a machine report what it holds, and obey the answer unless that is lost.
func (e *randomEvents) report() {
	machine := e.pickMachine()
	e.advance(machine)
	machine.heartbeat.Sequence++
	machine.heartbeat.Tasks = nil
	for _, attempt := range machine.attempts {
		machine.heartbeat.Tasks = append(machine.heartbeat.Tasks, attempt.TaskStatus)
	}
	copied := machine.heartbeat
	copied.Tasks = append([]fleet.TaskStatus(nil), copied.Tasks...)
	e.heartbeats = append(e.heartbeats, copied)
	known, stale := e.scheduler.Reconcile(&copied, rapid.IntRange(0, 5).Draw(e.t, "answer to a command") > 0, e.now)
	if stale || known == nil {
		return
	}
	known.Recorded = true
	e.scheduler.PlanMachine(known, e.now)
	resp := e.scheduler.Respond(known, true, e.now)
	if rapid.IntRange(0, 4).Draw(e.t, "lost answer") > 0 {
		e.scheduler.NoteAnswered(known, "", e.now)
		machine.heartbeat.FencingToken = e.scheduler.term
		e.obey(machine, resp.Commands)
	}
}

// stranger has a machine hold what this term did not start: of a job that is known or not, or
// a task that its job does not have.
func (e *randomEvents) stranger() {
	id := fleet.TaskID{Job: fmt.Sprint("j-", rapid.IntRange(0, 12).Draw(e.t, "job")), N: rapid.IntRange(0, 8).Draw(e.t, "task")}
	machine := e.pickMachine()
	machine.attempts = append(machine.attempts, &fakeAttempt{
		TaskStatus: fleet.TaskStatus{Task: id.String(), Attempt: 3<<24 + uint64(rapid.IntRange(1, 9).Draw(e.t, "attempt")), Status: "running"},
		job:        id.Job, ends: e.now.Add(20 * time.Second),
	})
}

// failover begins the next term with what the store has.
func (e *randomEvents) failover() {
	before := e.scheduler
	e.scheduler = New(before.settings, before.term+1, e.now)
	e.scheduler.SetTypes([]records.MachineType{before.types["c4"]})
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

func (e *randomEvents) anyJob() string {
	for _, j := range e.submitted {
		if e.scheduler.jobs[j.ID] != nil && rapid.Bool().Draw(e.t, "this job") {
			return j.ID
		}
	}
	return ""
}

// event plays one random event and returns its name.
func (e *randomEvents) event() string {
	e.now = e.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(e.t, "ms")) * time.Millisecond)
	name := rapid.SampledFrom([]string{
		"report", "report", "report", "report", "report", "submission", "submission", "tick", "tick", "late copy", "stranger", "session",
		"cancellation", "end", "long silence", "return", "failure", "takeover", "lapse", "drain", "settle", "faulty",
	}).Draw(e.t, "event")
	switch name {
	case "report":
		e.report()
	case "submission":
		e.submit()
	case "tick":
		e.scheduler.Tick(e.now, true)
	case "late copy":
		if len(e.heartbeats) > 0 {
			r := rapid.SampledFrom(e.heartbeats).Draw(e.t, "copy")
			e.scheduler.Reconcile(&r, true, e.now)
		}
	case "stranger":
		e.stranger()
	case "session":
		machine := e.pickMachine()
		machine.heartbeat.Incarnation, machine.attempts = machine.heartbeat.Incarnation+1, nil
	case "cancellation":
		if id := e.anyJob(); id != "" {
			e.scheduler.NoteClosed(id, records.ClosedJob{Status: records.StatusCancelled}, 20)
		}
	case "end":
		if id := e.anyJob(); id != "" {
			e.scheduler.CloseJob(id)
		}
	case "long silence":
		e.now = e.now.Add(14 * time.Second)
		e.scheduler.Tick(e.now, true)
	case "return":
		e.scheduler.MachinesReturned([]string{e.pickMachine().heartbeat.Machine}, e.now)
	case "failure":
		machine := e.pickMachine().heartbeat
		e.scheduler.ReconcileCloudList([]autoscaler.CloudMachine{{Machine: machine.Machine, Addr: machine.Addr, Type: "c4", Zone: machine.Zone, Status: "failed"}}, e.now, e.now)
	case "takeover":
		if rapid.IntRange(0, 3).Draw(e.t, "yes") == 0 {
			e.failover()
		}
	case "lapse":
		e.scheduler.ExpireEarlierLeases(e.now)
	case "drain":
		e.drains++
		e.scheduler.SetDrain(drain.Spec{ID: fmt.Sprint("d-", e.drains), Kind: drain.Empty, Machines: []string{e.pickMachine().heartbeat.Machine}, BeganMS: e.now.UnixMilli()}, nil, 0)
	case "settle":
		e.scheduler.CheckReconciled(e.now)
	case "faulty":
		if m := e.scheduler.fleet.Machines[e.pickMachine().heartbeat.Machine]; m != nil {
			e.scheduler.markFaulty(m)
		}
	}
	return name
}

// The account of what teams use equals a scan of all attempts after every event: reports, late
// ones and copies, lapses, cancellations, takeovers, machines gone and back, gangs, services,
// unknown jobs, drains, preemption. Once all machines are gone nothing is left in it.
func TestQuotaAccountEqualsScan(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		events := newRandomEvents(t)
		for range rapid.IntRange(20, 200).Draw(t, "events") {
			event := events.event()
			checkUsage(t, events.scheduler, event)
			checkDerivedState(t, events.scheduler, event)
		}
		for _, m := range events.scheduler.fleet.Sorted() {
			events.scheduler.RemoveMachine(m.Name, events.now)
		}
		checkUsage(t, events.scheduler, "the loss of all machines")
		if !events.scheduler.quotaUsage.Empty() {
			t.Fatal("charges are left though no attempt is")
		}
	})
}
