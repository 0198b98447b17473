package client

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/goldentest"
)

// goldenSamples returns a job, a machine and a drain with its view and plan, with every field set.
func goldenSamples() (Job, Machine, Drain, DrainView, DrainPlan) {
	zone, deadlineS := "a", 300.5
	sum := drain.Summary{Machines: 1, Finish: 2, Move: 3, Restart: 4, Wait: 5, Blocked: 6, LostS: 7.5, MachineLost: 8, EmptyS: 9.5}
	spec := drain.Spec{
		ID: "d-1", Kind: DrainUpgrade, Machines: []string{"m-1"}, Type: "c4", Zone: "a", OlderThanS: 60, Version: "1.0", DeadlineMS: 946684802000,
		WhenEmpty: WhenEmptyReturn, TargetVersion: "1.1", MaxOutOfService: 2, MinInService: 3, RequestedMS: 946684801000, Stopped: true,
		Window: &Window{Rule: "FREQ=WEEKLY;BYDAY=SU", TimeZone: "Europe/Warsaw", DurationS: 7200, LeadS: 600, FirstStart: "2026-01-31T22:00"},
	}
	return Job{
			ID: "j-412", Class: "train", Team: "vision", Shape: Group, Priority: Urgent, Tasks: 4, CPUs: 1.5, GPUs: 2, MemGB: 16,
			Image: "img", ImageGB: 3, Types: []string{"c4", "g8"}, Zone: &zone, OneZone: true, SpreadZones: true, Spot: true,
			EstimateS: 10, CheckpointS: 5, SaveS: 2, DeadlineS: &deadlineS, Dependencies: []string{"j-1", "j-2"},
		}, Machine{
			Name: "m-1", Type: "g8", Zone: "a", Spot: true, Addr: "10.1.0.232:9000", State: "up", AgeS: 60.5, Version: "1.0", TaskCount: 1,
			Tasks: []Task{{Task: "j-1/0", Attempt: 2, State: "running", RanS: 4.5, Stopping: true}}, OmittedTasks: 3,
		}, Drain{Spec: spec, Force: true, Since: "m-0"}, DrainView{Drain: spec, OmittedOutOfService: 4, State: &DrainState{
			Phase: drain.PhaseUpgrading, Rollout: &drain.Rollout{Target: "1.1", Previous: "1.0", RolledBack: true, Reason: "w", Blocked: "b"}, OutOfService: []string{"m-1"},
			MachinesLeft: 2, Blocked: "b", Plan: sum, Actual: sum, BeganMS: 946684801000, EndedMS: 946684802000, Term: 41,
		}}, DrainPlan{
			Machines: []drain.MachinePlan{{Machine: "m-1", Zone: "a", EmptyS: 4.5, OmittedTasks: 5, Tasks: []drain.TaskPlan{{
				Task: "j-1/0", Class: "train", Action: drain.Move, Reason: "w", LeavesAfterS: 1.5, LostS: 2.5, LateS: 3.5,
			}}}}, Truncated: true,
			Classes: map[string]*drain.ClassPlan{"train": {Summary: sum, Late: 1, LateAnyway: 2}}, Total: sum,
			WindowStarts: []string{"2026-01-31T22:00:00+01:00"}, Warnings: []string{"w"},
		}
}

// The types that external programs send and read keep their wire format.
func TestGoldenForms(t *testing.T) {
	job, machine, d, view, plan := goldenSamples()
	goldentest.Run(t, "golden-forms.json", goldentest.JSON, []goldentest.Case{
		{Name: "job", Value: job},
		{Name: "status", Value: Status{ID: "j-412", Status: Running, Done: 3, Running: 4}},
		{Name: "machine", Value: machine},
		{Name: "task", Value: machine.Tasks[0]},
		{Name: "drain", Value: d},
		{Name: "drain with its state", Value: view},
		{Name: "plan", Value: plan},
		{Name: "shapes", Direction: goldentest.WriteOnly, Value: []string{Batch, Group, Service}},
		{Name: "priorities", Direction: goldentest.WriteOnly, Value: []string{Critical, Urgent, Standard, Low}},
		{Name: "states", Direction: goldentest.WriteOnly, Value: []string{Pending, Running, Done, Cancelled}},
		{Name: "kinds of drains", Direction: goldentest.WriteOnly, Value: []string{DrainCordon, DrainEmpty, DrainUpgrade, WhenEmptyKeep, WhenEmptyReturn}},
	})
}

// Every call sends the request that the protocol specifies and decodes its response.
func TestGoldenRequests(t *testing.T) {
	job, machine, d, view, plan := goldenSamples()
	server := goldentest.NewFakeServer(t)
	c, err := New(server.Addr)
	if err != nil {
		t.Fatal(err)
	}
	c.RetryPolicy.SubmitTimeout, c.RetryPolicy.RequestTimeout, c.RetryPolicy.MinDelay = 10*time.Second, 10*time.Second, time.Millisecond
	ctx := t.Context()
	text := func(v any) string {
		raw, err := goldentest.JSON.Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	st := Status{ID: "j-412", Status: Running, Done: 3, Running: 4}
	const status = `{"uid":"j-412","status":"running","done":3,"running":4}`
	last := plan
	last.Truncated, last.Machines = false, []drain.MachinePlan{}
	both := last
	both.Machines = plan.Machines
	get := func() (any, error) { return c.Get(ctx, "j-412") }
	type submitted struct {
		status  Status
		created bool
	}
	submit := func() (any, error) {
		st, created, err := c.Submit(ctx, job)
		return submitted{st, created}, err
	}
	type answer struct {
		status int
		text   string
	}
	f := goldentest.Open(t, "golden-requests.json")
	for name, x := range map[string]struct {
		answers []answer
		do      func() (any, error)
		want    any
		err     error
	}{
		"submit":            {[]answer{{201, status}}, submit, submitted{st, true}, nil},
		"submit again":      {[]answer{{200, status}}, submit, submitted{st, false}, nil},
		"submit, refused":   {[]answer{{422, `{"error":"unknown team"}`}}, submit, submitted{}, &RefusedError{422, "unknown team"}},
		"poll":              {[]answer{{200, status}}, get, st, nil},
		"poll, unknown":     {[]answer{{404, `{"error":"no such job"}`}}, get, Status{}, ErrNotFound},
		"poll, again later": {[]answer{{503, `{"error":"please retry"}`}, {200, status}}, get, st, nil},
		"withdraw":          {[]answer{{200, status}}, func() (any, error) { return c.Cancel(ctx, "j-412") }, st, nil},
		"machines": {[]answer{{200, `{"machines":[` + text(machine) + `],"more":true}`}, {200, `{"machines":[],"more":false}`}},
			func() (any, error) { return c.Machines(ctx) }, []Machine{machine}, nil},
		"machine": {[]answer{{200, text(machine)}}, func() (any, error) { return c.Machine(ctx, "m-1") }, machine, nil},
		"plan":    {[]answer{{200, text(plan)}, {200, text(last)}}, func() (any, error) { return c.PlanDrain(ctx, d) }, both, nil},
		"start":   {[]answer{{201, text(view)}}, func() (any, error) { return c.StartDrain(ctx, d) }, view, nil},
		"drains":  {[]answer{{200, `{"drains":[` + text(view) + `]}`}}, func() (any, error) { return c.Drains(ctx) }, []DrainView{view}, nil},
		"drains, two pages": {[]answer{{200, `{"drains":[` + text(view) + `],"more":true}`}, {200, `{"drains":[` + text(view) + `]}`}},
			func() (any, error) { return c.Drains(ctx) }, []DrainView{view, view}, nil},
		"drain": {[]answer{{200, text(view)}}, func() (any, error) { return c.Drain(ctx, "d-1") }, view, nil},
		"stop":  {[]answer{{200, text(view)}}, func() (any, error) { return c.StopDrain(ctx, "d-1") }, view, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for _, a := range x.answers {
				server.QueueResponse(a.status, a.text)
			}
			got, err := x.do()
			var refused *RefusedError
			if !reflect.DeepEqual(got, x.want) || !errors.Is(err, x.err) && !(errors.As(err, &refused) && reflect.DeepEqual(refused, x.err)) {
				t.Errorf("got %+v, %v, want %+v, %v", got, err, x.want, x.err)
			}
			f.CheckExchanges(t, name, server.TakeExchanges(), len(x.answers))
		})
	}
}
