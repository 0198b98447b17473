package simulation

import (
	"encoding/json"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// What users do and are told.

// request sends a user's request to a node, and returns the status and the job's state in the answer; status 0: the
// node is down.
func (c *cluster) request(i int, r peer.RelayRequest) (status int, state string) {
	n := c.node(i)
	if n == nil {
		return 0, ""
	}
	out := n.server.Answer(r)
	var s struct{ Status string }
	_ = json.Unmarshal(out.Body, &s)
	return out.Status, s.Status
}

// jobEvent lets users react to what has just been told of a job.
func (c *cluster) jobEvent(event, id string) {
	c.mu.Lock()
	react := c.onJobEvent
	c.mu.Unlock()
	if react != nil {
		react(event, id)
	}
}

// submission returns what a user sends of a job, with defaults for what the test leaves out.
func (c *cluster) submission(j records.Job) []byte {
	if j.Class == "" {
		j.Class, j.Image = "any", "img"
	}
	if j.Team == "" {
		j.Team = "team"
	}
	if j.Shape == "" {
		j.Shape = "batch"
	}
	j.Spot = true
	if j.Priority == "" {
		j.Priority = "standard"
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

// submit has a user submit a job at a node, and returns the status.
func (c *cluster) submit(i int, j records.Job) int {
	asked := time.Now()
	status, _ := c.request(i, peer.RelayRequest{Method: peer.MethodSubmit, Body: c.submission(j)})
	c.env.NoteSubmission(j.ID, status, asked)
	if status == 201 {
		c.mu.Lock()
		if !c.cancelledJobs[j.ID] {
			c.expectedDone = append(c.expectedDone, j.ID)
		}
		c.mu.Unlock()
		c.jobEvent("accepted", j.ID)
	}
	return status
}

// ask has a user poll or cancel a job at a node, and returns the status and the job's state.
func (c *cluster) ask(i int, method, id string) (int, string) {
	if method == peer.MethodCancel {
		c.env.CancelRequested(id)
	}
	asked := time.Now()
	status, state := c.request(i, peer.RelayRequest{Method: method, ID: id})
	final := false
	switch {
	case status == 200:
		if state == records.StatusCancelled {
			c.env.CancelConfirmed(id)
		}
		final = c.env.NoteAnswer(id, state, asked)
	case status == 404:
		c.env.NoteNotFound(id, asked)
	}
	if final {
		c.jobEvent(state, id)
	}
	return status, state
}

func (c *cluster) wantDone(i int, id string) {
	c.t.Helper()
	if status, st := c.ask(i, "poll", id); status != 200 || st != "done" {
		c.t.Errorf("poll %s at node %d: %d %q, want done", id, i, status, st)
	}
}

func (c *cluster) wantRunning(n int) {
	c.t.Helper()
	if got := c.env.Running(); got != n {
		c.t.Errorf("%d tasks are running, want %d", got, n)
	}
}
