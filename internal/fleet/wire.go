// Package fleet holds a leader's state of machines and of the attempts on them: the statuses that
// workers send, commands to workers, leases, and reconciliation after a failover. The table has no
// clock and no I/O; its owner passes the time and holds the lock.
//
// The table receives every status as a Heartbeat: either a worker sent it periodically, or it is the
// answer to a direct command or a status request. Only a periodic heartbeat can be a late copy, and
// only an answer can overtake a response in flight; staleness.go and probe.go handle these cases.
package fleet

//go:generate go run github.com/mailru/easyjson/easyjson -no_std_marshalers wire.go

import (
	"errors"
	"fmt"
)

// This file defines the messages of the worker protocol. Only its tags, verbs, causes and the errors
// returned to workers use the names of the protocol ("rig" for a machine type, "baton" for a fencing
// token, "shots" for tasks, "orders" for commands).

// Heartbeat is a worker's status, sent as a heartbeat or as an answer. A leader decodes hundreds per
// second, so the heartbeat and its parts use generated codecs (easyjson).
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
	FencingToken      uint64       `json:"baton"`     // the highest that the worker has accepted; 0: none
	PreemptionNoticeS *float64     `json:"warning_s"` // seconds until the cloud preempts the machine; nil: no notice
	Tasks             []TaskStatus `json:"shots"`
	// Version and EarlierVersion are the version of the worker. They are no fields of the protocol;
	// EarlierVersion has the name that earlier controllers read.
	Version        OptionalText `json:"drumpick_version,omitempty"`
	EarlierVersion OptionalText `json:"version,omitempty"`
	// Via is the controller that the worker sent it to; "": unknown.
	Via string `json:"-"`
}

// SetWorkerVersion sets the version of the worker, also for earlier controllers.
func (h *Heartbeat) SetWorkerVersion(version string) {
	h.Version, h.EarlierVersion = OptionalText(version), OptionalText(version)
}

// WorkerVersion returns the version of the worker, "" if it is unknown.
func (h *Heartbeat) WorkerVersion() string {
	if h.Version != "" {
		return string(h.Version)
	}
	return string(h.EarlierVersion)
}

// Validate returns an error that names the first missing or invalid field. A status with one invalid
// part must be rejected as a whole: attempts that it fails to list would be considered lost.
func (h *Heartbeat) Validate() error {
	switch {
	case h.Machine == "":
		return errors.New("host is missing")
	case h.Incarnation == 0:
		return errors.New("stint is missing or 0")
	}
	for i := range h.Tasks {
		t := &h.Tasks[i]
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
	Task            string `json:"shot"`   // text form of a TaskID
	Attempt         uint64 `json:"try"`    // the attempt's number
	Status          string `json:"status"` // name of a State, from Pulling on
	Cause           string `json:"cause"`  // cause of the end, one of the Cause constants
	CheckpointSaved bool   `json:"saved"`  // a checkpoint was saved
}

// Command is one command to a worker.
//
//easyjson:json
type Command struct {
	Verb    string   `json:"verb"`                  // one of the Verb constants
	Task    string   `json:"shot"`                  // text form of a TaskID
	Attempt uint64   `json:"try"`                   // the attempt's number
	GraceS  *float64 `json:"wind_down_s,omitempty"` // of a kill: seconds to save a checkpoint
}

// HeartbeatResponse is the response to a heartbeat.
//
//easyjson:json
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"` // the leader's term
	Commands     []Command `json:"orders"`
}

// CommandRequest is the request body of a direct command, POST /orders.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"` // the leader's term
	Incarnation  uint64    `json:"stint"` // of the worker that the commands are for
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
	CauseStopped      = "stopped"    // by a kill command
	CauseGangPeerLost = "mates_gone" // another task of its gang was lost
	CauseGangTimeout  = "alone"      // the gang was not complete in time
	CauseError        = "error"
	CauseFull         = "full"    // never started: the machine lacks capacity
	CauseOtherAttempt = "busy"    // never started: another attempt of the task is on the machine
	CauseUnknownTask  = "no_such" // never started: the task is unknown
)
