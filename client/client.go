// Package client calls the HTTP interface of users and operators. It submits, polls and cancels jobs,
// and lists machines and drains, at any of several controllers, with the time-outs and retries that
// the protocol asks for.
//
// A request that a controller cannot take now is repeated at the next one, for up to Patience.Total.
// All requests may be repeated: a job or a drain is known by its ID, which the caller chooses, so
// nothing runs twice.
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

// Shapes of jobs, in the protocol's words.
const (
	Batch   = "batch"   // a job array: independent tasks
	Group   = "group"   // a gang: all tasks run at the same time
	Service = "service" // runs until it is cancelled
)

// Priorities of jobs, highest first.
const (
	Critical = "critical"
	Urgent   = "urgent"
	Standard = "standard"
	Low      = "low"
)

// Statuses of jobs. Done and Cancelled are final.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
)

// Job is a submission (the protocol's POST /work).
//
// The store's record of a job (internal/records) is a type of its own, although it has the same
// fields: it has what the service adds, and is read by controllers of several versions, while this
// type changes only with the protocol, and programs of others are built on it.
type Job struct {
	ID           string   `json:"uid"`               // "j-" and digits, unique; see NewID
	Class        string   `json:"jobclass"`          // class of the job, which service-level objectives name
	Team         string   `json:"owner"`             // team whose guarantee and limit apply
	Shape        string   `json:"shape"`             // Batch, Group or Service
	Priority     string   `json:"urgency"`           // Critical, Urgent, Standard or Low
	Tasks        int      `json:"shots"`             // number of tasks, 1 to 100,000
	CPUs         float64  `json:"vcpus"`             // of each task
	GPUs         float64  `json:"gpus"`              // of each task
	MemGB        float64  `json:"mem_gb"`            // memory of each task, in GB
	Image        string   `json:"build"`             // image that the tasks run
	ImageGB      float64  `json:"size_gb"`           // size of the image, in GB
	Types        []string `json:"rigs"`              // machine types that are allowed; nil: all
	Zone         *string  `json:"site"`              // zone that the tasks must run in; nil: any
	OneZone      bool     `json:"one_zone"`          // all tasks run in the same zone
	SpreadZones  bool     `json:"apart"`             // no zone has more than half of the tasks, rounded up
	Spot         bool     `json:"loaners"`           // tasks may run on spot machines
	EstimateS    float64  `json:"guess_s"`           // estimated run time of a task, in seconds
	CheckpointS  float64  `json:"snapshot_s"`        // interval between checkpoints, in seconds; 0: none
	SaveS        float64  `json:"flush_s"`           // time to save a checkpoint when stopped, in seconds
	DeadlineS    *float64 `json:"due_s"`             // deadline, in seconds from the submission; nil: none
	Dependencies []string `json:"prereqs,omitempty"` // IDs of jobs that must be done before any task starts
}

// Status is the status of a job.
type Status struct {
	ID      string `json:"uid"`
	Status  string `json:"status"`  // Pending, Running, Done or Cancelled
	Done    int    `json:"done"`    // tasks that are done
	Running int    `json:"running"` // tasks that run now
}

// IsFinal reports whether the status is final.
func (s Status) IsFinal() bool { return s.Status == Done || s.Status == Cancelled }

var (
	// ErrNotFound is returned if there is no such job, machine or drain.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable is returned if no controller took the request in time. It may be repeated as it is.
	ErrUnavailable = errors.New("no controller took the request in time")
)

// RefusedError is returned for a request that will never be taken as it is.
type RefusedError struct {
	Status int    // HTTP status: 400, 409 or 422
	Reason string // the service's reason
}

func (e *RefusedError) Error() string { return e.Reason }

// RetryPolicy holds the time-outs of a client.
type RetryPolicy struct {
	TotalTimeout   time.Duration // how long a request is repeated
	SubmitTimeout  time.Duration // time-out of a single submission
	RequestTimeout time.Duration // time-out of any other single request
	MinDelay       time.Duration // pause before a request is repeated, if the service asks for no longer one
	MaxDelay       time.Duration // longest pause that the service can ask for
}

// DefaultRetryPolicy holds the time-outs of the protocol.
var DefaultRetryPolicy = RetryPolicy{
	TotalTimeout: time.Minute, SubmitTimeout: 5 * time.Second, RequestTimeout: 2 * time.Second,
	MinDelay: time.Second, MaxDelay: 30 * time.Second,
}

// defaultPollInterval is the pause between the polls of Wait.
const defaultPollInterval = 5 * time.Second

// maxConnections bounds the connections to each controller.
const maxConnections = 16

// Client calls controllers, one at a time. It is safe for concurrent use once its fields are set.
type Client struct {
	RetryPolicy  RetryPolicy
	PollInterval time.Duration // pause between the polls of Wait, give or take a quarter

	controllers []*httpclient.Client
	preferred   atomic.Uint32 // index of the controller that answered last
}

// New returns a client for the controllers at the given addresses (host:port).
func New(addrs ...string) (*Client, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no controller's address is given")
	}
	c := &Client{RetryPolicy: DefaultRetryPolicy, PollInterval: defaultPollInterval}
	for _, addr := range addrs {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return nil, fmt.Errorf("controller's address %q is not host:port", addr)
		}
		c.controllers = append(c.controllers, httpclient.New(addr, maxConnections, DefaultRetryPolicy.RequestTimeout))
	}
	c.preferred.Store(rand.Uint32N(uint32(len(addrs))))
	return c, nil
}

// NewID returns a job ID that no other submission has: the time in milliseconds and a random number,
// in the form that the protocol asks for.
func NewID() string {
	return "j-" + strconv.FormatInt(time.Now().UnixMilli(), 10) + fmt.Sprintf("%09d", rand.IntN(1e9))
}
