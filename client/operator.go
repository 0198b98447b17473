package client

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"drumpick/internal/drain"
)

// Machine is a machine as its leader sees it.
type Machine struct {
	Name    string  `json:"name"`
	Type    string  `json:"type"`
	Zone    string  `json:"zone"`
	Spot    bool    `json:"spot"`
	Addr    string  `json:"addr"`
	State   string  `json:"state"`
	AgeS    float64 `json:"age_s,omitempty"`
	Version string  `json:"version,omitempty"`
	Count   int     `json:"tasks"`
	Tasks   []Task  `json:"on_it,omitempty"`
}

// Task is an attempt on a machine.
type Task struct {
	Task  string  `json:"task"`
	Try   uint64  `json:"attempt"`
	State string  `json:"state"`
	RanS  float64 `json:"ran_s"`
	Stops bool    `json:"stops,omitempty"`
}

// Machines lists all machines, by name.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	all := []Machine{}
	for since, more := "", true; more; {
		var page struct {
			Machines []Machine `json:"machines"`
			More     bool      `json:"more"`
		}
		if err := c.ask(ctx, "GET", "/operator/machines?since="+url.QueryEscape(since), nil, "machines", &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if more = page.More && len(page.Machines) > 0; more {
			since = all[len(all)-1].Name
		}
	}
	return all, nil
}

// Machine tells of one machine with what is on it.
func (c *Client) Machine(ctx context.Context, name string) (Machine, error) {
	var m Machine
	return m, c.ask(ctx, "GET", "/operator/machines/"+url.PathEscape(name), nil, "machine "+name, &m)
}

// Kinds of drains, and what becomes of empty machines.
const (
	DrainCordon  = drain.Cordon
	DrainEmpty   = drain.Empty
	DrainUpgrade = drain.Upgrade

	ThenKeep   = drain.Keep
	ThenReturn = drain.Return
)

type (
	// Window is when a drain recurs.
	Window = drain.Window
	// DrainSummary is a drain and how it stands, as lists have it.
	DrainSummary = drain.Summary
	// DrainState is how a drain stands.
	DrainState = drain.State
	// DrainPlan is what a drain would do.
	DrainPlan = drain.Plan
)

// Drain says which machines are to be emptied, and how. Of what is said of machines all
// must hold. Times of day are milliseconds since 1970, lengths seconds.
type Drain struct {
	drain.Spec
	Force bool   `json:"force,omitempty"` // though no machine is left for some jobs
	Since string `json:"since,omitempty"` // of a plan: behind this machine
}

// DrainView is a drain with how it stands, nil where no leader has seen it yet.
type DrainView struct {
	Drain drain.Spec  `json:"drain"`
	State *DrainState `json:"state,omitempty"`
}

// NewDrainID makes an id that no other drain has; later ones sort behind earlier ones.
func NewDrainID() string { return "d-" + strconv.FormatInt(time.Now().UnixMilli(), 10) }

// PlanDrain asks what a drain would do; it changes nothing.
func (c *Client) PlanDrain(ctx context.Context, d Drain) (DrainPlan, error) {
	var all DrainPlan
	for more := true; more; {
		var page DrainPlan
		if err := c.ask(ctx, "POST", "/operator/drains/plan", d, "drain", &page); err != nil {
			return all, err
		}
		page.Machines = append(all.Machines, page.Machines...)
		all = page
		if more = page.More && len(all.Machines) > 0; more {
			d.Since = all.Machines[len(all.Machines)-1].Machine
		}
	}
	return all, nil
}

// StartDrain puts a drain on record, again and again until it is answered; repeated under
// its id it is no error.
func (c *Client) StartDrain(ctx context.Context, d Drain) (DrainView, error) {
	var v DrainView
	return v, c.ask(ctx, "POST", "/operator/drains", d, "drain "+d.ID, &v)
}

// Drains lists the drains on record.
func (c *Client) Drains(ctx context.Context) ([]DrainView, error) {
	var out struct {
		Drains []DrainView `json:"drains"`
	}
	return out.Drains, c.ask(ctx, "GET", "/operator/drains", nil, "drains", &out)
}

// Drain tells how a drain stands.
func (c *Client) Drain(ctx context.Context, id string) (DrainView, error) {
	var v DrainView
	return v, c.ask(ctx, "GET", "/operator/drains/"+url.PathEscape(id), nil, "drain "+id, &v)
}

// StopDrain withdraws a drain: its machines take tasks again.
func (c *Client) StopDrain(ctx context.Context, id string) (DrainView, error) {
	var v DrainView
	return v, c.ask(ctx, "POST", "/operator/drains/"+url.PathEscape(id)+"/stop", struct{}{}, "drain "+id, &v)
}
