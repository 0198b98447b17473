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

// scanUsage is the oracle of the account: a look at every attempt on every machine.
func scanUsage(c *Scheduler, team string) (inUse, committed, staying quota.Amount) {
	for _, m := range c.fleet.Sorted() {
		for _, a := range m.Attempts() {
			if a.State() == fleet.Ended {
				continue
			}
			size, shared, mine := quota.Amount{}, true, false
			if j := c.jobOf(a); j != nil {
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
func checkUsage(t *rapid.T, c *Scheduler, after string) {
	same := func(a, b quota.Amount) bool {
		return math.Abs(a.CPUs-b.CPUs) < quotaSlack && math.Abs(a.GPUs-b.GPUs) < quotaSlack
	}
	for team := range c.settings.Teams {
		inUse, committed, staying := scanUsage(c, team)
		if got := c.quotaUsage.InUse(team); !same(got, inUse) {
			t.Fatalf("after %s: %s uses %+v by the account, %+v by the scan", after, team, got, inUse)
		}
		if got := c.quotaUsage.Committed(team); !same(got, committed) {
			t.Fatalf("after %s: %s has committed %+v by the account, %+v by the scan", after, team, got, committed)
		}
		if got := c.quotaUsage.NotStopping(team); !same(got, staying) {
			t.Fatalf("after %s: of %s stays %+v by the account, %+v by the scan", after, team, got, staying)
		}
	}
}

// checkKept compares what is kept as events come with a look at all jobs: who may have tasks to start, and who is
// complete.
func checkKept(t *rapid.T, c *Scheduler, after string) {
	for i, turn := range c.order.turns {
		if !turn.job.closed && !turn.job.hasNoWaiting() && c.order.active.next(i) != i {
			t.Fatalf("after %s: %s has tasks to start, and is passed over", after, turn.job.ID)
		}
	}
	for _, j := range c.jobs {
		if _, kept := c.complete[j]; kept != (j.doneCount == j.Tasks) {
			t.Fatalf("after %s: %s has %d of %d tasks done, and is taken for complete: %v", after, j.ID, j.doneCount, j.Tasks, kept)
		}
	}
}

// usageStory plays random events to a core, with workers that obey it.
type usageStory struct {
	*fakeFleet
	t      *rapid.T
	teams  []config.Team
	old    []fleet.Heartbeat // reports that came, of which copies may come again
	came   []records.Job
	drains int
}

func newUsageStory(t *rapid.T) *usageStory {
	var teams []config.Team
	for i := range 4 {
		teams = append(teams, config.Team{Name: fmt.Sprint("team-", i), GuaranteedCPUs: float64(i), LimitCPUs: float64(4 * (i % 3)), LimitGPUs: float64(i % 2)})
	}
	options := config.DefaultOptions()
	options.Guarantees = true
	return &usageStory{fakeFleet: newFakeFleet(t, options, teams, 3), t: t, teams: teams}
}

func (s *usageStory) pickHost() *fakeMachine { return rapid.SampledFrom(s.hosts).Draw(s.t, "machine") }

func (s *usageStory) submit() {
	j := records.Job{
		ID: fmt.Sprint("j-", len(s.came)), Team: rapid.SampledFrom(s.teams).Draw(s.t, "team").Name, Image: "img", MemGB: 1,
		Shape:    rapid.SampledFrom([]string{records.ShapeArray, records.ShapeArray, records.ShapeGang, records.ShapeService}).Draw(s.t, "shape"),
		Priority: rapid.SampledFrom([]string{records.PriorityCritical, records.PriorityUrgent, records.PriorityStandard, records.PriorityLow}).Draw(s.t, "priority"),
		CPUs:     rapid.SampledFrom([]float64{0.1, 0.3, 1, 2, 4}).Draw(s.t, "cpus"), Tasks: rapid.IntRange(1, 6).Draw(s.t, "tasks"), EstimateS: 20, AcceptedMS: s.now.UnixMilli(),
	}
	if rapid.Bool().Draw(s.t, "saves") {
		j.CheckpointS, j.SaveS = 5, 2
	}
	s.came = append(s.came, j)
	s.jobs[j.ID], s.runs[j.ID] = j, 15*time.Second
	s.c.AddJob(j, 10, s.now, s.now)
}

// report has a machine report what it holds, and obey the answer unless that is lost.
func (s *usageStory) report() {
	h := s.pickHost()
	s.advance(h)
	h.report.Sequence++
	h.report.Tasks = nil
	for _, shot := range h.attempts {
		h.report.Tasks = append(h.report.Tasks, shot.TaskStatus)
	}
	r := h.report
	r.Tasks = append([]fleet.TaskStatus(nil), r.Tasks...)
	s.old = append(s.old, r)
	m, stale := s.c.Reconcile(&r, rapid.IntRange(0, 5).Draw(s.t, "answer to a command") > 0, s.now)
	if stale || m == nil {
		return
	}
	m.Recorded = true
	s.c.PlanMachine(m, s.now)
	resp := s.c.Respond(m, true, s.now)
	if rapid.IntRange(0, 4).Draw(s.t, "lost answer") > 0 {
		s.c.NoteAnswered(m, "", s.now)
		h.report.FencingToken = s.c.term
		s.obey(h, resp.Commands)
	}
}

// stranger has a machine hold what this term did not start: of a job that is known or not, or
// a task that its job does not have.
func (s *usageStory) stranger() {
	id := fleet.TaskID{Job: fmt.Sprint("j-", rapid.IntRange(0, 12).Draw(s.t, "job")), N: rapid.IntRange(0, 8).Draw(s.t, "task")}
	h := s.pickHost()
	h.attempts = append(h.attempts, &fakeAttempt{
		TaskStatus: fleet.TaskStatus{Task: id.String(), Attempt: 3<<24 + uint64(rapid.IntRange(1, 9).Draw(s.t, "attempt")), Status: "running"},
		job:        id.Job, ends: s.now.Add(20 * time.Second),
	})
}

// takeover begins the next term with what the store has.
func (s *usageStory) takeover() {
	before := s.c
	s.c = New(before.settings, before.term+1, s.now)
	s.c.SetTypes([]records.MachineType{before.types["c4"]})
	for _, m := range before.fleet.Sorted() {
		if m.Recorded {
			s.c.LoadMachine(m.Name, records.Machine{Addr: m.Addr, Type: m.Type, Zone: m.Zone}, s.now)
		}
	}
	for _, j := range s.came {
		if before.jobs[j.ID] != nil {
			s.c.AddJob(j, 10, s.now, s.now)
		}
	}
}

func (s *usageStory) anyJob() string {
	for _, j := range s.came {
		if s.c.jobs[j.ID] != nil && rapid.Bool().Draw(s.t, "this job") {
			return j.ID
		}
	}
	return ""
}

// event plays one random event and returns its name.
func (s *usageStory) event() string {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(s.t, "ms")) * time.Millisecond)
	name := rapid.SampledFrom([]string{
		"report", "report", "report", "report", "report", "submission", "submission", "tick", "tick", "late copy", "stranger", "session",
		"cancellation", "end", "long silence", "return", "failure", "takeover", "lapse", "drain", "settle", "faulty",
	}).Draw(s.t, "event")
	switch name {
	case "report":
		s.report()
	case "submission":
		s.submit()
	case "tick":
		s.c.Tick(s.now, true)
	case "late copy":
		if len(s.old) > 0 {
			r := rapid.SampledFrom(s.old).Draw(s.t, "copy")
			s.c.Reconcile(&r, true, s.now)
		}
	case "stranger":
		s.stranger()
	case "session":
		h := s.pickHost()
		h.report.Incarnation, h.attempts = h.report.Incarnation+1, nil
	case "cancellation":
		if id := s.anyJob(); id != "" {
			s.c.NoteClosed(id, records.ClosedJob{Status: records.StatusCancelled}, 20)
		}
	case "end":
		if id := s.anyJob(); id != "" {
			s.c.CloseJob(id)
		}
	case "long silence":
		s.now = s.now.Add(14 * time.Second)
		s.c.Tick(s.now, true)
	case "return":
		s.c.MachinesReturned([]string{s.pickHost().report.Machine}, s.now)
	case "failure":
		h := s.pickHost().report
		s.c.ReconcileCloudList([]autoscaler.CloudMachine{{Machine: h.Machine, Addr: h.Addr, Type: "c4", Zone: h.Zone, Status: "failed"}}, s.now, s.now)
	case "takeover":
		if rapid.IntRange(0, 3).Draw(s.t, "yes") == 0 {
			s.takeover()
		}
	case "lapse":
		s.c.ExpireEarlierLeases(s.now)
	case "drain":
		s.drains++
		s.c.SetDrain(drain.Spec{ID: fmt.Sprint("d-", s.drains), Kind: drain.Empty, Machines: []string{s.pickHost().report.Machine}, BeganMS: s.now.UnixMilli()}, nil, 0)
	case "settle":
		s.c.CheckReconciled(s.now)
	case "faulty":
		if m := s.c.fleet.Machines[s.pickHost().report.Machine]; m != nil {
			s.c.markFaulty(m)
		}
	}
	return name
}

// The account of what teams use equals a scan of all attempts after every event: reports, late
// ones and copies, lapses, cancellations, takeovers, machines gone and back, gangs, services,
// unknown jobs, drains, preemption. Once all machines are gone nothing is left in it.
func TestAccountEqualsScan(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newUsageStory(t)
		for range rapid.IntRange(20, 200).Draw(t, "events") {
			event := s.event()
			checkUsage(t, s.c, event)
			checkKept(t, s.c, event)
		}
		for _, m := range s.c.fleet.Sorted() {
			s.c.RemoveMachine(m.Name, s.now)
		}
		checkUsage(t, s.c, "the loss of all machines")
		if !s.c.quotaUsage.Empty() {
			t.Fatal("charges are left though no attempt is")
		}
	})
}
