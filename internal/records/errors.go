package records

import (
	"errors"
	"fmt"
)

// Errors of the store. The first three state whether the request may have been executed.
var (
	// ErrUnavailable means that the store is unavailable and did not execute the request.
	ErrUnavailable = errors.New("state service refused the request (503)")
	// ErrThrottled means that the rate limit was exceeded and the request was not executed.
	ErrThrottled = errors.New("state service: too many requests (429)")
	// ErrUnknownOutcome means that the request may have been executed, or may still be.
	ErrUnknownOutcome = errors.New("state service did not answer")
	// ErrLeaseExpired means that the lease has expired or does not exist.
	ErrLeaseExpired = errors.New("state service: no such lease")
	// ErrCompacted means that the store no longer keeps the events since the watch's revision: the
	// caller must read the current state and watch from its revision.
	ErrCompacted = errors.New("state service: revision too old, read again (410)")
	// ErrInvalid means that the request was rejected; a retry cannot succeed.
	ErrInvalid = errors.New("state service: malformed or too large (400)")
	// ErrUnexpected means that the response violates the store's protocol.
	ErrUnexpected = errors.New("state service: unexpected answer")
)

// ConflictError reports that a commit was not executed because the compares of the Failed keys
// did not hold.
type ConflictError struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"epoch"`
}

func (e *ConflictError) Error() string { return fmt.Sprintf("commit conflict on keys: %v", e.Failed) }
