// Package client is the users' and operators' side of drumpick's interface: it submits
// jobs, asks for them and cancels them at any of several controllers, with the
// protocol's patience and retries.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/httpclient"
)

// Shapes, priorities and states, in the protocol's words.
const (
	Batch   = "batch"
	Group   = "group"
	Service = "service"

	Critical = "critical"
	Urgent   = "urgent"
	Standard = "standard"
	Low      = "low"

	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
)

// Job is a submission (PROTOCOL, POST /work). Amounts are per task, times in seconds,
// sizes in GB. The store's record of a job stands apart (internal/records): it has what the
// service adds, and is read by controllers of several versions, while this one changes only
// with the protocol, and programs of others are built on it.
type Job struct {
	ID          string   `json:"uid"`
	Class       string   `json:"jobclass"`
	Team        string   `json:"owner"`
	Shape       string   `json:"shape"`
	Priority    string   `json:"urgency"`
	Tasks       int      `json:"shots"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	MemGB       float64  `json:"mem_gb"`
	Image       string   `json:"build"`
	ImageGB     float64  `json:"size_gb"`
	Types       []string `json:"rigs"`
	Zone        *string  `json:"site"`
	OneZone     bool     `json:"one_zone"`
	Apart       bool     `json:"apart"`
	Spot        bool     `json:"loaners"`
	EstimateS   float64  `json:"guess_s"`
	CheckpointS float64  `json:"snapshot_s"`
	SaveS       float64  `json:"flush_s"`
	DeadlineS   *float64 `json:"due_s"`
	Needs       []string `json:"prereqs,omitempty"` // jobs that have to be done before
}

// Status is how a job stands; the counts are of tasks.
type Status struct {
	ID      string `json:"uid"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Over says whether the status is final.
func (s Status) Over() bool { return s.Status == Done || s.Status == Cancelled }

// Errors, by what follows from them. ErrNotFound: there is no such job, machine or drain.
// ErrUnavailable: nobody took the request in time; it may be repeated as it is.
var (
	ErrNotFound    = errors.New("not found")
	ErrUnavailable = errors.New("no controller took the request in time")
)

// RefusedError says that a request will never be taken as it is (400, 409, 422).
type RefusedError struct {
	Status int
	Reason string
}

func (e *RefusedError) Error() string { return e.Reason }

// Patience is how long requests are repeated, and what single answers are waited for
// (PROTOCOL, users).
type Patience struct {
	Total, Submit, Poll, Pause, MostPause time.Duration
}

// DefaultPatience is the protocol's.
var DefaultPatience = Patience{Total: time.Minute, Submit: 5 * time.Second, Poll: 2 * time.Second, Pause: time.Second, MostPause: 30 * time.Second}

// Client asks controllers in turn. It is safe for concurrent use.
type Client struct {
	Patience Patience
	Every    time.Duration // between the polls of Wait
	links    []*httpclient.Client
	at       atomic.Uint32 // the one that answered last
}

// New returns a client for controllers at the given addresses (host:port).
func New(addrs ...string) (*Client, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no controller's address is given")
	}
	c := &Client{Patience: DefaultPatience, Every: 5 * time.Second}
	for _, a := range addrs {
		if _, port, err := net.SplitHostPort(a); err != nil || port == "" {
			return nil, fmt.Errorf("controller's address %q is not host:port", a)
		}
		c.links = append(c.links, httpclient.New(a, 16, DefaultPatience.Poll))
	}
	c.at.Store(rand.Uint32N(uint32(len(addrs))))
	return c, nil
}

// NewID makes an id that no other submission has: the time in milliseconds and a
// random number, in the form that the protocol asks for.
func NewID() string {
	return "j-" + strconv.FormatInt(time.Now().UnixMilli(), 10) + fmt.Sprintf("%09d", rand.IntN(1e9))
}

// Submit submits a job under its id, again and again until it is answered, and tells
// whether the job was new. A repeated submission, by whomever, is no error.
func (c *Client) Submit(ctx context.Context, j Job) (st Status, created bool, err error) {
	a, err := c.insist(ctx, "POST", "/work", j, c.Patience.Submit)
	if err != nil {
		return st, false, fmt.Errorf("job %s: %w", j.ID, err)
	}
	return st, a.Status == 201, read(a, &st)
}

// Get asks how a job stands.
func (c *Client) Get(ctx context.Context, id string) (Status, error) {
	var st Status
	return st, c.ask(ctx, "GET", "/work/"+url.PathEscape(id), nil, "job "+id, &st)
}

// Cancel cancels a job and returns its final state, which is done where it was done
// before.
func (c *Client) Cancel(ctx context.Context, id string) (Status, error) {
	var st Status
	return st, c.ask(ctx, "POST", "/work/"+url.PathEscape(id)+"/withdraw", struct{}{}, "job "+id, &st)
}

func (c *Client) ask(ctx context.Context, method, uri string, body any, what string, out any) error {
	a, err := c.insist(ctx, method, uri, body, c.Patience.Poll)
	if err == nil {
		err = read(a, out)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

// Wait polls a job until it is over, telling each change. While nobody answers it goes
// on asking: what was accepted is run.
func (c *Client) Wait(ctx context.Context, id string, tell func(Status)) (Status, error) {
	var last Status
	for {
		st, err := c.Get(ctx, id)
		switch {
		case err == nil && st != last:
			last = st
			if tell != nil {
				tell(st)
			}
		case err != nil && !errors.Is(err, ErrUnavailable):
			return last, err
		}
		if last.Over() {
			return last, nil
		}
		if err := ctxtime.Sleep(ctx, c.Every*3/4+rand.N(c.Every/2+1)); err != nil {
			return last, err
		}
	}
}

// insist repeats a request until it has an answer that is one, at ever other controllers.
func (c *Client) insist(ctx context.Context, method, uri string, body any, patience time.Duration) (httpclient.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return httpclient.Response{}, err
	}
	if body == nil {
		raw = nil
	}
	until := time.Now().Add(c.Patience.Total)
	var last error
	for try := 0; ; try++ {
		n := int(c.at.Load()) % len(c.links)
		a, err := c.once(ctx, n, method, uri, raw, patience)
		switch {
		case err == nil && (a.Status == 200 || a.Status == 201 || a.Status == 202):
			return a, nil
		case err == nil && a.Status == 404 && reason(a) != "no such job":
			return a, fmt.Errorf("%w: %s", ErrNotFound, reason(a))
		case err == nil && a.Status == 404:
			return a, ErrNotFound
		case err == nil && (a.Status == 400 || a.Status == 409 || a.Status == 422):
			return a, &RefusedError{a.Status, reason(a)}
		case ctx.Err() != nil:
			return a, ctx.Err()
		case err != nil:
			last = err
		default:
			last = fmt.Errorf("status %d: %s", a.Status, reason(a))
		}
		// Another controller may serve where this one cannot.
		c.at.CompareAndSwap(uint32(n), uint32((n+1)%len(c.links)))
		pause := max(c.Patience.Pause, min(a.RetryAfter, c.Patience.MostPause))
		if err != nil && try+1 < len(c.links) {
			pause = 0 // nobody there: the next one at once
		}
		pause += rand.N(pause/4 + 1)
		if time.Now().Add(pause).After(until) {
			return a, fmt.Errorf("%w: %w", ErrUnavailable, last)
		}
		if err := ctxtime.Sleep(ctx, pause); err != nil {
			return a, err
		}
	}
}

// once sends a request to one controller; a context that ends ends the wait.
func (c *Client) once(ctx context.Context, n int, method, uri string, raw []byte, patience time.Duration) (httpclient.Response, error) {
	deadline := time.Now().Add(patience)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	type outcome struct {
		a   httpclient.Response
		err error
	}
	got := make(chan outcome, 1)
	go func() {
		a, err := c.links[n].DoResponse(method, uri, "application/json", raw, deadline)
		got <- outcome{a, err}
	}()
	select {
	case o := <-got:
		return o.a, o.err
	case <-ctx.Done():
		return httpclient.Response{}, ctx.Err()
	}
}

func reason(a httpclient.Response) string {
	var f struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(a.Body, &f) != nil || f.Error == "" {
		return fmt.Sprintf("no reason given (status %d)", a.Status)
	}
	return f.Error
}

func read(a httpclient.Response, out any) error {
	if err := json.Unmarshal(a.Body, out); err != nil {
		return fmt.Errorf("unreadable answer: %w", err)
	}
	return nil
}
