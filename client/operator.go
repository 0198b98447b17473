package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"drumpick/internal/drain"
)

// Machine is the leader's view of a machine.
type Machine struct {
	Name      string  `json:"name"`
	Type      string  `json:"type"`              // machine type
	Zone      string  `json:"zone"`              // zone it is in
	Spot      bool    `json:"spot"`              // spot machine, which the cloud may reclaim
	Addr      string  `json:"addr"`              // host:port of its worker
	State     string  `json:"state"`             // such as "up"
	AgeS      float64 `json:"age_s,omitempty"`   // seconds since it was requested from the cloud
	Version   string  `json:"version,omitempty"` // version of its worker
	TaskCount int     `json:"tasks"`             // number of tasks on it
	Tasks     []Task  `json:"on_it,omitempty"`   // the tasks; set by Client.Machine only
	// OmittedTasks is the number of tasks that Client.Machine does not list because there are too many.
	OmittedTasks int `json:"others,omitempty"`
}

// Task is one attempt of a task on a machine.
type Task struct {
	Task     string  `json:"task"`            // job ID and task index, such as "j-1/0"
	Attempt  uint64  `json:"attempt"`         // leader's term << 24 | number within the term
	State    string  `json:"state"`           // such as "running"
	RanS     float64 `json:"ran_s"`           // run time so far, in seconds
	Stopping bool    `json:"stops,omitempty"` // being stopped
}

// Machines returns all machines, ordered by name.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	all := []Machine{}
	for since, more := "", true; more; {
		var page struct {
			Machines []Machine `json:"machines"`
			More     bool      `json:"more"`
		}
		if err := c.requestJSON(ctx, http.MethodGet, "/operator/machines?since="+url.QueryEscape(since), nil, "machines", &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if more = page.More && len(page.Machines) > 0; more {
			since = all[len(all)-1].Name
		}
	}
	return all, nil
}

// Machine returns one machine with its tasks.
func (c *Client) Machine(ctx context.Context, name string) (Machine, error) {
	var m Machine
	return m, c.requestJSON(ctx, http.MethodGet, "/operator/machines/"+url.PathEscape(name), nil, "machine "+name, &m)
}

// Kinds of drains.
const (
	DrainCordon  = drain.KindCordon  // no new tasks; running tasks continue
	DrainEmpty   = drain.KindDrain   // no new tasks; running tasks finish or are moved
	DrainUpgrade = drain.KindUpgrade // like DrainEmpty, a few machines at a time, until each has the target version
)

// Actions on empty machines.
const (
	WhenEmptyKeep   = drain.Keep   // keep them, empty
	WhenEmptyReturn = drain.Return // return them to the cloud
)

type (
	// Window is the recurring time window in which a drain is active.
	Window = drain.Window
	// DrainSummary holds totals of a drain's effects on machines and tasks.
	DrainSummary = drain.Summary
	// DrainState is the progress of a drain.
	DrainState = drain.State
	// DrainPlan is the predicted effect of a drain.
	DrainPlan = drain.Plan
)

// Drain is a request to drain machines. It selects the machines that match all selectors that are set.
// Points in time are in milliseconds since the Unix epoch, durations in seconds.
type Drain struct {
	drain.Spec
	Force bool   `json:"force,omitempty"` // start or plan it even if it leaves no machine for some jobs
	Since string `json:"since,omitempty"` // plan only: return the page of machines after this one, by name
}

// DrainView is a drain and its progress.
type DrainView struct {
	Drain drain.Spec  `json:"drain"`
	State *DrainState `json:"state,omitempty"` // nil until a leader has seen the drain
	// OmittedOutOfService is the number of machines out of service that State does not list because there are
	// too many.
	OmittedOutOfService int `json:"others,omitempty"`
}

// NewDrainID returns a new drain ID, made of the time in milliseconds, so that later IDs sort after earlier ones.
// IDs made in the same millisecond are equal.
func NewDrainID() string { return "d-" + strconv.FormatInt(time.Now().UnixMilli(), 10) }

// PlanDrain returns the predicted effect of a drain, without starting it.
func (c *Client) PlanDrain(ctx context.Context, d Drain) (DrainPlan, error) {
	var all DrainPlan
	for more := true; more; {
		var page DrainPlan
		if err := c.requestJSON(ctx, http.MethodPost, "/operator/drains/plan", d, "drain", &page); err != nil {
			return all, err
		}
		page.Machines = append(all.Machines, page.Machines...)
		all = page
		if more = page.Truncated && len(all.Machines) > 0; more {
			d.Since = all.Machines[len(all.Machines)-1].Machine
		}
	}
	return all, nil
}

// StartDrain starts a drain, with retries. Starting it again under the same ID is not an error, but starting
// a different drain under that ID is (RefusedError).
func (c *Client) StartDrain(ctx context.Context, d Drain) (DrainView, error) {
	var v DrainView
	return v, c.requestJSON(ctx, http.MethodPost, "/operator/drains", d, "drain "+d.ID, &v)
}

// Drains returns all drains on record, including ended ones; the service removes the oldest of these.
func (c *Client) Drains(ctx context.Context) ([]DrainView, error) {
	var all []DrainView
	uri := "/operator/drains"
	for more := true; more; {
		var page struct {
			Drains []DrainView `json:"drains"`
			More   bool        `json:"more"`
		}
		if err := c.requestJSON(ctx, http.MethodGet, uri, nil, "drains", &page); err != nil {
			return nil, err
		}
		all = append(all, page.Drains...)
		if more = page.More && len(page.Drains) > 0; more {
			uri = "/operator/drains?since=" + url.QueryEscape(all[len(all)-1].Drain.ID)
		}
	}
	return all, nil
}

// Drain returns one drain and its progress.
func (c *Client) Drain(ctx context.Context, id string) (DrainView, error) {
	var v DrainView
	return v, c.requestJSON(ctx, http.MethodGet, "/operator/drains/"+url.PathEscape(id), nil, "drain "+id, &v)
}

// StopDrain stops a drain; its machines accept tasks again.
func (c *Client) StopDrain(ctx context.Context, id string) (DrainView, error) {
	var v DrainView
	return v, c.requestJSON(ctx, http.MethodPost, "/operator/drains/"+url.PathEscape(id)+"/stop", struct{}{}, "drain "+id, &v)
}
