// Package messagesize bounds the encoded size of messages to users, workers and operators.
package messagesize

import (
	"strings"

	"drumpick/internal/records"
)

// Max is the protocol's limit, in bytes, on a request body and on a line of a response. A response body
// is a single line.
const Max = 64 << 10

// maxReasonBytes bounds the text of an error response. A reason may quote what the caller sent, and each byte
// may take several bytes in JSON.
const maxReasonBytes = 1000

// Reason returns the text of an error response, cut to a bounded size.
func Reason(text string) string {
	if len(text) <= maxReasonBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxReasonBytes], "") + "..."
}

// FitPrefix returns the number of items at the start of a list whose JSON encodings, each with a
// separator, take at most budget bytes together. It encodes no item beyond the first that does not fit.
func FitPrefix[T any](items []T, budget int) int {
	for i := range items {
		size := records.EncodedSize(items[i])
		if size >= budget {
			return i
		}
		budget -= size + len(",")
	}
	return len(items)
}
