package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"drumpick/internal/drain"
)

// Machine is a machine as the leader sees it.
type Machine struct {
	Name      string  `json:"name"`
	Type      string  `json:"type"`              // machine type
	Zone      string  `json:"zone"`              // zone that it is in
	Spot      bool    `json:"spot"`              // a spot machine, which the cloud may take back
	Addr      string  `json:"addr"`              // host:port of its worker
	State     string  `json:"state"`             // such as "up"
	AgeS      float64 `json:"age_s,omitempty"`   // seconds since it was requested from the cloud
	Version   string  `json:"version,omitempty"` // version of its worker
	TaskCount int     `json:"tasks"`             // number of tasks on it
	Tasks     []Task  `json:"on_it,omitempty"`   // the tasks, where a machine is asked for by itself
}

// Task is an attempt of a task on a machine.
type Task struct {
	Task     string  `json:"task"`            // job ID and index, such as "j-1/0"
	Attempt  uint64  `json:"attempt"`         // number of the attempt
	State    string  `json:"state"`           // such as "running"
	RanS     float64 `json:"ran_s"`           // seconds that it has run
	Stopping bool    `json:"stops,omitempty"` // it is being stopped
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
	DrainCordon  = drain.KindCordon  // no new tasks; running ones go on
	DrainEmpty   = drain.KindDrain   // no new tasks; running ones end or are moved
	DrainUpgrade = drain.KindUpgrade // as DrainEmpty, some machines at a time, until each has another version
)

// What becomes of empty machines.
const (
	WhenEmptyKeep   = drain.Keep   // they stay, empty
	WhenEmptyReturn = drain.Return // they are returned to the cloud
)

type (
	// Window is the recurring window in which a drain holds.
	Window = drain.Window
	// DrainSummary holds the sums of what a drain does to tasks.
	DrainSummary = drain.Summary
	// DrainState is the progress of a drain.
	DrainState = drain.State
	// DrainPlan is what a drain would do.
	DrainPlan = drain.Plan
)

// Drain is a request to drain machines. A machine is meant if it meets all of the selectors that are
// set. Times of day are milliseconds since 1970, durations seconds.
type Drain struct {
	drain.Spec
	Force bool   `json:"force,omitempty"` // start it although it leaves no machine for some jobs
	Since string `json:"since,omitempty"` // plan only: return the page behind this machine
}

// DrainView is a drain with its progress.
type DrainView struct {
	Drain drain.Spec  `json:"drain"`
	State *DrainState `json:"state,omitempty"` // nil where no leader has seen the drain yet
}

// NewDrainID returns an ID that no other drain has; later ones sort behind earlier ones.
func NewDrainID() string { return "d-" + strconv.FormatInt(time.Now().UnixMilli(), 10) }

// PlanDrain returns what a drain would do; it changes nothing.
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

// StartDrain starts a drain, until a controller answers. To start it again, under its ID, is no error.
func (c *Client) StartDrain(ctx context.Context, d Drain) (DrainView, error) {
	var v DrainView
	return v, c.requestJSON(ctx, http.MethodPost, "/operator/drains", d, "drain "+d.ID, &v)
}

// Drains returns all drains, stopped ones included.
func (c *Client) Drains(ctx context.Context) ([]DrainView, error) {
	var out struct {
		Drains []DrainView `json:"drains"`
	}
	return out.Drains, c.requestJSON(ctx, http.MethodGet, "/operator/drains", nil, "drains", &out)
}

// Drain returns one drain with its progress.
func (c *Client) Drain(ctx context.Context, id string) (DrainView, error) {
	var v DrainView
	return v, c.requestJSON(ctx, http.MethodGet, "/operator/drains/"+url.PathEscape(id), nil, "drain "+id, &v)
}

// StopDrain stops a drain: its machines take tasks again.
func (c *Client) StopDrain(ctx context.Context, id string) (DrainView, error) {
	var v DrainView
	return v, c.requestJSON(ctx, http.MethodPost, "/operator/drains/"+url.PathEscape(id)+"/stop", struct{}{}, "drain "+id, &v)
}
