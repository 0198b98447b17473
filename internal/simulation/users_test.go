package simulation

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// request sends a user's request to a controller, and returns the HTTP status and the job's state in the response.
// Status 0 means that the controller is down.
func (c *cluster) request(i int, r peer.RelayRequest) (status int, state string) {
	n := c.controller(i)
	if n == nil {
		return 0, ""
	}
	out := n.server.HandleRequest(r)
	var s struct{ Status string }
	_ = json.Unmarshal(out.Body, &s)
	return out.Status, s.Status
}

// notifyJobEvent calls onJobEvent, if set.
func (c *cluster) notifyJobEvent(event, id string) {
	c.mu.Lock()
	react := c.onJobEvent
	c.mu.Unlock()
	if react != nil {
		react(event, id)
	}
}

// encodeSubmission returns the request body for a job, with defaults for fields that the test leaves out, and records
// the job as submitted.
func (c *cluster) encodeSubmission(j records.Job) []byte {
	if j.Class == "" {
		j.Class, j.Image = "any", "img"
	}
	if j.Team == "" {
		j.Team = "team"
	}
	if j.Shape == "" {
		j.Shape = records.ShapeArray
	}
	j.Spot = true
	if j.Priority == "" {
		j.Priority = records.PriorityStandard
	}
	if j.CPUs == 0 {
		j.CPUs = 1
	}
	raw, _ := json.Marshal(j)
	c.mu.Lock()
	c.jobs[j.ID] = j
	c.mu.Unlock()
	return raw
}

// submit submits a job to a controller as a user, and returns the HTTP status.
func (c *cluster) submit(i int, j records.Job) int {
	asked := time.Now()
	status, _ := c.request(i, peer.RelayRequest{Method: peer.MethodSubmit, Body: c.encodeSubmission(j)})
	c.env.CheckSubmission(j.ID, status, asked)
	if status == 201 {
		c.mu.Lock()
		if !c.cancelledJobs[j.ID] {
			c.expectedDone = append(c.expectedDone, j.ID)
		}
		c.mu.Unlock()
		c.notifyJobEvent("accepted", j.ID)
	}
	return status
}

// ask polls or cancels a job at a controller as a user, and returns the HTTP status and the job's state.
func (c *cluster) ask(i int, method, id string) (int, string) {
	if method == peer.MethodCancel {
		c.env.RecordCancelRequest(id)
	}
	asked := time.Now()
	status, state := c.request(i, peer.RelayRequest{Method: method, ID: id})
	final := false
	switch {
	case status == 200:
		if state == records.StatusCancelled {
			c.env.RecordCancelConfirmation(id)
		}
		final = c.env.CheckJobState(id, state, asked)
	case status == 404:
		c.env.CheckNotFound(id, asked)
	}
	if final {
		c.notifyJobEvent(state, id)
	}
	return status, state
}

// wantDone requires that a controller reports a job as done.
func (c *cluster) wantDone(i int, id string) {
	c.t.Helper()
	if status, st := c.ask(i, peer.MethodPoll, id); status != 200 || st != records.StatusDone {
		c.t.Errorf("poll %s at controller %d: %d %q, want done", id, i, status, st)
	}
}

func (c *cluster) wantRunning(n int) {
	c.t.Helper()
	if got := c.env.Running(); got != n {
		c.t.Errorf("%d tasks are running, want %d", got, n)
	}
}

// submitToAny submits a job to the three controllers in turn, starting with controller i, until one accepts the job.
func (c *cluster) submitToAny(i int, j records.Job) {
	for k := range 3 {
		if status := c.submit((i+k)%3, j); status == 201 || status == 200 {
			return
		}
	}
}

// cancel cancels a job at a controller as a user. If the response is not 200, cancel records the job, and runFaultPairs
// repeats the request at the end.
func (c *cluster) cancel(i int, id string) {
	switch status, st := c.ask(i, peer.MethodCancel, id); {
	case st == records.StatusCancelled:
		c.expectCancelledWithDependents(id)
	case status != 200:
		c.mu.Lock()
		c.unansweredCancels = append(c.unansweredCancels, id)
		c.mu.Unlock()
	}
}

// cancelSome cancels n random jobs of the latest accepted ones at random controllers.
func (c *cluster) cancelSome(r *rand.Rand, n int) {
	for range n {
		c.mu.Lock()
		accepted := slices.Clone(c.expectedDone)
		c.mu.Unlock()
		if len(accepted) == 0 {
			return
		}
		// The latest jobs are most likely still running.
		c.cancel(r.IntN(3), accepted[max(len(accepted)-1-r.IntN(5), 0)])
	}
}

// expectCancelledWithDependents removes a cancelled job and all of its dependents from the jobs that must be done at
// the end.
func (c *cluster) expectCancelledWithDependents(id string) {
	c.expectCancelled(id)
	c.mu.Lock()
	var dependents []string
	for x, j := range c.jobs {
		if slices.Contains(j.Dependencies, id) {
			dependents = append(dependents, x)
		}
	}
	c.mu.Unlock()
	for _, x := range dependents {
		c.expectCancelledWithDependents(x)
	}
}

// expectCancelled removes a cancelled job from the jobs that must be done at the end.
func (c *cluster) expectCancelled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelledJobs[id] = true
	for i, x := range c.expectedDone {
		if x == id {
			c.expectedDone = append(c.expectedDone[:i:i], c.expectedDone[i+1:]...)
			return
		}
	}
}

// cancelUntilConfirmed cancels a job at a controller and retries until the controller confirms the cancellation. A
// crashed leader cannot be notified, which may delay the confirmation for no longer than the leader's lease.
func (c *cluster) cancelUntilConfirmed(i int, id string) {
	c.t.Helper()
	began := time.Now()
	for {
		status, st := c.ask(i, peer.MethodCancel, id)
		if st == records.StatusCancelled {
			return
		}
		if status != 503 || time.Since(began) > c.leaderLease+2*time.Second {
			c.t.Fatalf("cancel %s at controller %d: %d %q after %v", id, i, status, st, time.Since(began))
		}
		sleep(1)
	}
}

// wantCancelled requires that a controller reports jobs as cancelled.
func (c *cluster) wantCancelled(i int, ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		if status, st := c.ask(i, peer.MethodPoll, id); status != 200 || st != records.StatusCancelled {
			c.t.Errorf("poll %s at controller %d: %d %q, want cancelled", id, i, status, st)
		}
	}
}

// dependentJob returns a job that depends on others.
func dependentJob(id string, tasks int, dependencies ...string) records.Job {
	return records.Job{ID: id, Tasks: tasks, EstimateS: 10, Dependencies: dependencies}
}
