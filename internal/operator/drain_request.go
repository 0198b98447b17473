package operator

import (
	"errors"
	"fmt"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
)

// drainRequest is an operator's request to start a drain or to plan it.
type drainRequest struct {
	drain.Spec
	// Force starts the drain even if the drain leaves no machine for some jobs.
	Force bool `json:"force,omitempty"`
	// Since is the name of the last machine in the previous page of the plan, "" for the first page.
	Since string `json:"since,omitempty"`
	// Seen holds the ids of the stored drains. A leader that has not read all of these drains cannot
	// decide whether they and the new drain together leave enough machines.
	Seen []string `json:"seen,omitempty"`
}

// maxSpecBytes bounds a drain's record even if the store accepts larger values. The operator's request,
// and the request to the leader with the ids of all stored drains, must each fit the limit of 64 KiB.
const maxSpecBytes = 48 << 10

// parseRequest decodes and checks a drainRequest and sets RequestedMS to the current time. reason says
// what is wrong with the request, "" if it is valid.
func (s *Server) parseRequest(body []byte) (request drainRequest, reason string) {
	if err := jsoncodec.Unmarshal(body, &request); err != nil {
		var typeErr *jsoncodec.TypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			return request, typeErr.Field + ": has the wrong type"
		}
		return request, "the body is not a JSON object"
	}
	request.RequestedMS = time.Now().UnixMilli()
	if err := request.Check(time.Now()); err != nil {
		return request, err.Error()
	}
	return request, s.tooLargeReason(request.Spec)
}

// tooLargeReason returns why a drain's record would exceed its size limit, "" if it does not.
func (s *Server) tooLargeReason(spec drain.Spec) string {
	limit := min(s.maxValueBytes, maxSpecBytes)
	// Stopping a drain makes its record larger; without this, a drain could be stored that cannot be
	// stopped.
	spec.Stopped = true
	size := records.EncodedSize(spec)
	if size <= limit {
		return ""
	}
	remaining, fit := size, len(spec.Machines)
	for fit > 0 && remaining > limit {
		fit--
		remaining -= records.EncodedSize(spec.Machines[fit]) + len(",")
	}
	if fit == 0 {
		return fmt.Sprintf("its record takes %d bytes, and a value of the state service holds %d: "+
			"shorten machines, type, zone, version, to_version or window.rule", size, limit)
	}
	return fmt.Sprintf("machines: %d names, and only the first %d fit a record of %d bytes; "+
		"say it by type, zone, older_than_s or version, or by several drains", len(spec.Machines), fit, limit)
}
