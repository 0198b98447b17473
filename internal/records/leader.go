package records

import (
	"errors"
	"fmt"
	"strconv"

	"drumpick/internal/jsoncodec"
)

// Leader is the value of the leader key.
type Leader struct {
	Node        string `json:"node"`
	Incarnation string `json:"start"` // id of this start of the process
	// Watermarks reports whether the leader keeps watermarks (package watermark).
	Watermarks bool `json:"marks,omitempty"`
}

// FormatWatermark encodes a job's watermark: tasks below it may have been dispatched. The number is
// padded to six digits, so that a watermark that rises below 1,000,000 does not outgrow its page.
func FormatWatermark(n int) jsoncodec.RawMessage { return fmt.Appendf(nil, "\"%06d\"", n) }

// ParseWatermark decodes a value that FormatWatermark encoded.
func ParseWatermark(v jsoncodec.RawMessage) (int, error) {
	var text string
	if err := jsoncodec.Unmarshal(v, &text); err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(text)
	if err == nil && n < 0 {
		err = errors.New("watermark is negative")
	}
	return n, err
}
