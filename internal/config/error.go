package config

import "fmt"

// Error reports a setting or an option that is missing, malformed or out of range. The errors of Load,
// Parse and LoadOptions wrap it, for callers that need the key.
type Error struct {
	// Key is the key of a setting, such as "facts.workers.lease_s", or "section.key" of an option.
	Key string
	// Message describes the error in one line that names the key.
	Message string
	// Err is the parser's error, nil if the value could be parsed.
	Err error
}

func (e *Error) Error() string { return e.Message }

// Unwrap returns the error of the parser, if any.
func (e *Error) Unwrap() error { return e.Err }

// invalid returns an Error for a key. The format must name the key.
func invalid(key, format string, args ...any) *Error {
	return &Error{Key: key, Message: fmt.Sprintf(format, args...)}
}

// missing returns the Error for a key that is not set.
func missing(key string) *Error { return invalid(key, "%s is missing", key) }
