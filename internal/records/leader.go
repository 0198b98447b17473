package records

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// Leader is the value of the leader key.
type Leader struct {
	Node        string `json:"node"`
	Incarnation string `json:"start"` // id of this start of the process
	// Watermarks reports whether the leader keeps watermarks (package watermark).
	Watermarks bool `json:"marks,omitempty"`
}

// FormatWatermark returns the text form of a job's watermark: how far into the job tasks may
// have been dispatched. Every number is equally wide, so that it never outgrows its place in
// a page.
func FormatWatermark(n int) json.RawMessage { return fmt.Appendf(nil, "\"%06d\"", n) }

// ParseWatermark is the reverse of FormatWatermark.
func ParseWatermark(v json.RawMessage) (int, error) {
	var text string
	if err := json.Unmarshal(v, &text); err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(text)
	if err == nil && n < 0 {
		err = errors.New("below zero")
	}
	return n, err
}
