package config

import "fmt"

// Error reports a setting or an option that is missing, malformed or out of range. For callers that
// need the key, the errors of Load, Parse and LoadOptions about such a value wrap an Error.
type Error struct {
	// Key is the key of a setting, such as "facts.workers.lease_s", or the "section.key" of an option;
	// "" if the file itself is malformed.
	Key string
	// Message describes the error in one line that names the key.
	Message string
	// Err is the TOML decoder's error, nil if there is none.
	Err error
}

func (e *Error) Error() string { return e.Message }

// Unwrap returns the decoder's error, nil if there is none.
func (e *Error) Unwrap() error { return e.Err }

// invalid returns an Error for a key. The format must name the key.
func invalid(key, format string, args ...any) *Error {
	return &Error{Key: key, Message: fmt.Sprintf(format, args...)}
}

// missing returns the Error for a key that is not set.
func missing(key string) *Error { return invalid(key, "%s is missing", key) }
