// Package fleet keeps what is known of machines and of the attempts on them:
// reports, orders, leases, and settling after a takeover. The table is plain
// data without clock or I/O; its owner passes the time in and holds the lock.
package fleet

//go:generate go run github.com/mailru/easyjson/easyjson -no_std_marshalers wire.go

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Heartbeat is what a worker says of itself, in a report or as an answer. A leader reads
// hundreds a second, so it and what is in it have readers and writers of their own
// (easyjson).
//
//easyjson:json
type Heartbeat struct {
	Machine           string       `json:"host"`
	Addr              string       `json:"addr"`
	Type              string       `json:"rig"`
	Zone              string       `json:"site"`
	Spot              bool         `json:"loaners"`
	Incarnation       uint64       `json:"stint"`
	Sequence          uint64       `json:"tick"`
	FencingToken      uint64       `json:"baton"`
	PreemptionNoticeS *float64     `json:"warning_s"`
	Version           string       `json:"version,omitempty"` // of the worker; optional
	Tasks             []TaskStatus `json:"shots"`
	// Via is the controller that the worker sent it to; "" where that is not known.
	Via string `json:"-"`
}

// Check names the first field that is missing or makes no sense. Guards against a report of
// which one part cannot be read: what it seems to lack would be taken for gone.
func (r *Heartbeat) Check() error {
	switch {
	case r.Machine == "":
		return errors.New("host is missing")
	case r.Incarnation == 0:
		return errors.New("stint is missing or 0")
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if _, ok := ParseTask(t.Task); !ok {
			return fmt.Errorf("shots[%d].shot %q names no task", i, t.Task)
		}
		if _, ok := parseState(t.Status); !ok {
			return fmt.Errorf("shots[%d].status %q is not known", i, t.Status)
		}
	}
	return nil
}

// TaskStatus is one attempt in a report.
//
//easyjson:json
type TaskStatus struct {
	Task    string `json:"shot"`
	Attempt uint64 `json:"try"`
	Status  string `json:"status"`
	Cause   string `json:"cause"`
	Saved   bool   `json:"saved"`
}

// Command is one command to a worker.
//
//easyjson:json
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"shot"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"wind_down_s,omitempty"`
}

// HeartbeatResponse answers a report.
//
//easyjson:json
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandRequest is the body of a POST /orders.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"stint"`
	Commands     []Command `json:"orders"`
}

// Verbs and causes in the protocol's words.
const (
	VerbRun  = "run"
	VerbKill = "kill"
	VerbReap = "reap"

	CauseDone      = "done"
	CauseStopped   = "stopped"
	CauseMatesGone = "mates_gone"
	CauseAlone     = "alone"
	CauseError     = "error"
	CauseFull      = "full"
	CauseBusy      = "busy"
	CauseNoSuch    = "no_such"
)

// TaskID names a task: number N of a job.
type TaskID struct {
	Job string
	N   int
}

func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.N) }

// ParseTask reads the form "j-000412/3".
func ParseTask(s string) (TaskID, bool) {
	job, n, ok := strings.Cut(s, "/")
	i, err := strconv.Atoi(n)
	if !ok || err != nil || i < 0 || job == "" {
		return TaskID{}, false
	}
	return TaskID{Job: job, N: i}, true
}

// State is where an attempt stands.
type State uint8

// States: the first two are ours, the others are what workers report.
const (
	Planned State = iota // chosen for a machine, nothing said yet
	Sent                 // run is in a response; it may or may not be carried out
	Pulling
	Waiting
	Running
	Flushing
	Ended
)

var stateNames = [...]string{"planned", "sent", "pulling", "waiting", "running", "flushing", "ended"}

func (s State) String() string { return stateNames[s] }

func parseState(s string) (State, bool) {
	for i := Pulling; i <= Ended; i++ {
		if stateNames[i] == s {
			return i, true
		}
	}
	return 0, false
}
