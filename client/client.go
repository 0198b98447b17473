// Package client calls the HTTP API for users and operators. It submits, polls and cancels jobs, lists
// machines, and plans, starts, lists and stops drains, through any of several controllers, with the
// timeouts and retries that the protocol requires.
//
// A request that a controller cannot serve now is retried at the next one, for up to
// RetryPolicy.TotalTimeout. All requests are idempotent: the caller chooses the ID of a job or drain,
// so a repeated request starts nothing twice.
package client

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"drumpick/internal/httpclient"
)

// Job shapes, as the protocol spells them.
const (
	Batch   = "batch"   // a job array: independent tasks
	Group   = "group"   // a gang: all tasks run at the same time
	Service = "service" // runs until it is cancelled
)

// Job priorities, highest first.
const (
	Critical = "critical"
	Urgent   = "urgent"
	Standard = "standard"
	Low      = "low"
)

// Job statuses. Done and Cancelled are final.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
)

// Job is the body of a submission (POST /work in the protocol).
//
// The store's job record (internal/records) is a separate type, although it has the same fields: it
// also holds what the service adds, and controllers of several versions read it. This type changes
// only with the protocol, because external programs depend on it.
type Job struct {
	ID           string   `json:"uid"`               // "j-" and digits, unique; see NewID
	Class        string   `json:"jobclass"`          // job class, which service-level objectives refer to
	Team         string   `json:"owner"`             // team whose guarantee and limit apply to the job
	Shape        string   `json:"shape"`             // Batch, Group or Service
	Priority     string   `json:"urgency"`           // Critical, Urgent, Standard or Low
	Tasks        int      `json:"shots"`             // number of tasks, 1 to 100,000
	CPUs         float64  `json:"vcpus"`             // per task
	GPUs         float64  `json:"gpus"`              // per task
	MemGB        float64  `json:"mem_gb"`            // memory per task, in GB
	Image        string   `json:"build"`             // name of the image that the tasks run
	ImageGB      float64  `json:"size_gb"`           // size of the image, in GB
	Types        []string `json:"rigs"`              // allowed machine types; nil: all
	Zone         *string  `json:"site"`              // zone that the tasks must run in; nil: any
	OneZone      bool     `json:"one_zone"`          // run all tasks in the same zone
	SpreadZones  bool     `json:"apart"`             // run at most half of the tasks, rounded up, in any zone
	Spot         bool     `json:"loaners"`           // tasks may run on spot machines
	EstimateS    float64  `json:"guess_s"`           // estimated run time of a task, in seconds
	CheckpointS  float64  `json:"snapshot_s"`        // interval between checkpoints, in seconds; 0: none
	SaveS        float64  `json:"flush_s"`           // time to save a checkpoint when stopped, in seconds
	DeadlineS    *float64 `json:"due_s"`             // deadline, in seconds after the submission; nil: none
	Dependencies []string `json:"prereqs,omitempty"` // IDs of jobs that must be done before any task starts
}

// Status is the status of a job.
type Status struct {
	ID      string `json:"uid"`
	Status  string `json:"status"`  // Pending, Running, Done or Cancelled
	Done    int    `json:"done"`    // number of tasks done
	Running int    `json:"running"` // number of tasks running
}

// IsFinal reports whether the status is final.
func (s Status) IsFinal() bool { return s.Status == Done || s.Status == Cancelled }

var (
	// ErrNotFound means that there is no such job, machine or drain.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that no controller gave a final response in time. The request may have taken
	// effect nevertheless; it may be sent again unchanged.
	ErrUnavailable = errors.New("no controller accepted the request in time")
)

// RefusedError is returned for a request that the service rejects, and would reject again unchanged.
type RefusedError struct {
	Status int    // HTTP status: 400, 409 or 422
	Reason string // error text in the response
}

func (e *RefusedError) Error() string { return e.Reason }

// RetryPolicy holds the timeouts and retry delays of a client. If a controller does not respond, the
// next one is tried without a delay, until each has been tried once. Delays are randomly up to 25% longer.
type RetryPolicy struct {
	TotalTimeout   time.Duration // time after which a request is no longer retried
	SubmitTimeout  time.Duration // timeout of one attempt to submit
	RequestTimeout time.Duration // timeout of one attempt of any other request
	MinDelay       time.Duration // delay before a retry, unless Retry-After asks for a longer one
	MaxDelay       time.Duration // upper bound of the Retry-After delay
}

// DefaultRetryPolicy holds the timeouts and delays that the protocol specifies.
var DefaultRetryPolicy = RetryPolicy{
	TotalTimeout: time.Minute, SubmitTimeout: 5 * time.Second, RequestTimeout: 2 * time.Second,
	MinDelay: time.Second, MaxDelay: 30 * time.Second,
}

// defaultPollInterval is the interval between the polls of Wait.
const defaultPollInterval = 5 * time.Second

// maxConnections is the largest number of connections to each controller.
const maxConnections = 16

// Client sends each request to one controller at a time. It is safe for concurrent use once its
// fields are set.
type Client struct {
	RetryPolicy  RetryPolicy
	PollInterval time.Duration // interval between the polls of Wait, varied by ±25%

	controllers []*httpclient.Client
	preferred   atomic.Uint32 // index of the controller to try first
}

// New returns a client for the controllers at the given addresses, each host:port.
func New(addrs ...string) (*Client, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no controller address given")
	}
	c := &Client{RetryPolicy: DefaultRetryPolicy, PollInterval: defaultPollInterval}
	for _, addr := range addrs {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return nil, fmt.Errorf("controller address %q is not host:port", addr)
		}
		c.controllers = append(c.controllers, httpclient.New(addr, maxConnections, DefaultRetryPolicy.RequestTimeout))
	}
	c.preferred.Store(rand.Uint32N(uint32(len(addrs))))
	return c, nil
}

// NewID returns a job ID in the protocol's format, made unique by the time in milliseconds and a random
// number.
func NewID() string {
	return "j-" + strconv.FormatInt(time.Now().UnixMilli(), 10) + fmt.Sprintf("%09d", rand.IntN(1e9))
}
