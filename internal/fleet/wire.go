// Package fleet keeps what a leader knows of machines and of the attempts on them: the statuses that
// workers send, commands to them, leases, and reconciliation after a failover. The table is plain
// data without clock or I/O; its owner passes the time in and holds the lock.
//
// A status reaches the table as a Heartbeat: either a worker sent it by itself, or it answers a direct
// command or a status request. Only a heartbeat can be a late copy, and only an answer can overtake a
// response under way; see staleness.go and probe.go for what follows from that.
package fleet

//go:generate go run github.com/mailru/easyjson/easyjson -no_std_marshalers wire.go

import (
	"errors"
	"fmt"
)

// This file is the edge of the worker protocol. Its tags, verbs, causes and the errors that workers
// get keep the protocol's words ("rig" for a machine type, "baton" for a fencing token, "shots" for
// tasks, "orders" for commands); nothing else in the package does.

// Heartbeat is a worker's status, sent as a heartbeat or as an answer. A leader reads
// hundreds a second, so it and its parts have readers and writers of their own
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
	FencingToken      uint64       `json:"baton"`             // the newest that it has obeyed; 0: none
	PreemptionNoticeS *float64     `json:"warning_s"`         // seconds until the cloud takes the machine; nil: no notice
	Version           string       `json:"version,omitempty"` // of the worker; optional
	Tasks             []TaskStatus `json:"shots"`
	// Via is the controller that the worker sent it to; "" where that is not known.
	Via string `json:"-"`
}

// Validate returns an error that names the first field which is missing or not valid. A status with one
// unreadable part must be refused as a whole: what it seems to lack would be taken for gone.
func (r *Heartbeat) Validate() error {
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

// TaskStatus is the status of one attempt.
//
//easyjson:json
type TaskStatus struct {
	Task            string `json:"shot"`   // a TaskID as text
	Attempt         uint64 `json:"try"`    // the attempt's number
	Status          string `json:"status"` // a State as text, from Pulling on
	Cause           string `json:"cause"`  // of the end, one of the Cause constants
	CheckpointSaved bool   `json:"saved"`  // a checkpoint was saved
}

// Command is one command to a worker.
//
//easyjson:json
type Command struct {
	Verb    string   `json:"verb"`                  // one of the Verb constants
	Task    string   `json:"shot"`                  // a TaskID as text
	Attempt uint64   `json:"try"`                   // the attempt's number
	GraceS  *float64 `json:"wind_down_s,omitempty"` // of a kill, seconds to save a checkpoint
}

// HeartbeatResponse answers a heartbeat.
//
//easyjson:json
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"` // the leader's term
	Commands     []Command `json:"orders"`
}

// CommandRequest is the request body of a direct command, POST /orders.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"` // the leader's term
	Incarnation  uint64    `json:"stint"` // that the commands are meant for
	Commands     []Command `json:"orders"`
}

// Verbs of commands.
const (
	VerbRun  = "run"
	VerbKill = "kill"
	VerbReap = "reap"
)

// Causes of an attempt's end.
const (
	CauseDone         = "done"
	CauseStopped      = "stopped"    // by a kill
	CauseGangPeerLost = "mates_gone" // another task of its gang is gone
	CauseGangTimeout  = "alone"      // its gang was not complete in time
	CauseError        = "error"
	CauseFull         = "full"    // never started: the machine has no room
	CauseOtherAttempt = "busy"    // never started: another attempt of the task is on the machine
	CauseUnknownTask  = "no_such" // never started: no such task is known
)
