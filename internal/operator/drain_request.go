package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/records"
)

// drainRequest is a drain as operators ask for it.
type drainRequest struct {
	drain.Spec
	// Force has a drain start although it leaves no machine for some jobs.
	Force bool `json:"force,omitempty"`
	// Since is the last machine of the page before, where a plan is asked for.
	Since string `json:"since,omitempty"`
	// Seen are the ids of the drains beside which a new one is planned. A leader that has not read
	// them all cannot tell whether together they leave enough machines.
	Seen []string `json:"seen,omitempty"`
}

// maxSpecBytes bounds a drain's record where the store takes more: the request for the drain, and the
// one that passes it on to the leader along with the ids of all stored drains, must each fit into
// the 64 KiB of a request.
const maxSpecBytes = 48 << 10

// parseRequest reads a request and checks it; reason is what is wrong with it, "" if nothing.
func (s *Server) parseRequest(body []byte) (in drainRequest, reason string) {
	if err := json.Unmarshal(body, &in); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) && wrongType.Field != "" {
			return in, wrongType.Field + ": has the wrong type"
		}
		return in, "the body is not a JSON object"
	}
	in.RequestedMS = time.Now().UnixMilli()
	if err := in.Check(time.Now()); err != nil {
		return in, err.Error()
	}
	return in, s.tooLargeReason(in.Spec)
}

// tooLargeReason returns why a drain does not fit into its record, "" if it does.
func (s *Server) tooLargeReason(spec drain.Spec) string {
	limit := min(s.maxValueBytes, maxSpecBytes)
	// The record grows when the drain is stopped. Without this, one could fit that cannot be stopped.
	spec.Stopped = true
	size := records.EncodedSize(spec)
	if size <= limit {
		return ""
	}
	rest, fit := size, len(spec.Machines)
	for fit > 0 && rest > limit {
		fit--
		rest -= records.EncodedSize(spec.Machines[fit]) + len(",")
	}
	if fit == 0 {
		return fmt.Sprintf("its record takes %d bytes, and a value of the state service holds %d: "+
			"shorten machines, type, zone, version, to_version or window.rule", size, limit)
	}
	return fmt.Sprintf("machines: %d names, and only the first %d fit a record of %d bytes; "+
		"say it by type, zone, older_than_s or version, or by several drains", len(spec.Machines), fit, limit)
}
