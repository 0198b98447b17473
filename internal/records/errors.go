package records

import (
	"errors"
	"fmt"
)

// Errors of the store, by what the caller may conclude from them.
var (
	// ErrUnavailable means that the request was not executed.
	ErrUnavailable = errors.New("state service refused the request (503)")
	// ErrThrottled means that the request was not executed.
	ErrThrottled = errors.New("state service: too many requests (429)")
	// ErrUnknownOutcome means that the request may have been, or may yet be, executed.
	ErrUnknownOutcome = errors.New("state service did not answer")
	// ErrLeaseExpired means that the lease has ended.
	ErrLeaseExpired = errors.New("state service: no such lease")
	// ErrCompacted means that a watch has to start again from a fresh read.
	ErrCompacted = errors.New("state service: revision too old, read again (410)")
	// ErrInvalid means that the request was not executed, nor will it ever be.
	ErrInvalid = errors.New("state service: malformed or too large (400)")
	// ErrUnexpected means that the answer is none that the store's protocol knows.
	ErrUnexpected = errors.New("state service: unexpected answer")
)

// ConflictError lists the keys whose compares failed, so that the commit was not executed.
type ConflictError struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"epoch"`
}

// Error names the keys.
func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.Failed) }
