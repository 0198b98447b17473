// Package ledger knows the records and keys that drumpick keeps in the state service, and
// what the service's answers mean; package store asks it.
package records

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Errors of the state service, by what the caller may conclude from them.
var (
	ErrUnavailable    = errors.New("state service refused the request (503)")           // not executed
	ErrThrottled      = errors.New("state service: too many requests (429)")            // not executed
	ErrUnknownOutcome = errors.New("state service did not answer")                      // may have been, or may yet be, executed
	ErrLeaseExpired   = errors.New("state service: no such lease")                      // the lease has ended
	ErrCompacted      = errors.New("state service: revision too old, read again (410)") // watch from a fresh read
	ErrInvalid        = errors.New("state service: malformed or too large (400)")       // not executed, nor will it ever be
	ErrUnexpected     = errors.New("state service: unexpected answer")
)

// ConflictError says which conditions of a commit did not hold.
type ConflictError struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"epoch"`
}

func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.Failed) }

// KeyValue is a key with its value and the revision of its last change.
type KeyValue struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
	LeaseID  uint64          `json:"hold"`
}

// Compare requires that a key has the given stamp; 0 means absent.
type Compare struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Op is one change of a commit: a write or a delete.
type Op struct {
	Write   string `json:"write,omitempty"`
	Value   any    `json:"value,omitempty"`
	LeaseID uint64 `json:"hold,omitempty"`
	Delete  string `json:"delete,omitempty"`
}

// Event is one entry of a watch's log.
type Event struct {
	Write    string          `json:"write"`
	Delete   string          `json:"delete"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
}
