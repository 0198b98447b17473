package config

import "fmt"

// Error is a setting or an option that is missing, malformed or out of range. It is wrapped by what
// Load, Parse and LoadOptions return, for callers that need the key.
type Error struct {
	// Key names the setting: as in the settings file for settings, such as
	// "facts.workers.lease_s", and "section.key" for options.
	Key string
	// Message says what is wrong, in one line that names the key.
	Message string
	// Err is the error of the parser, if that found it.
	Err error
}

func (e *Error) Error() string { return e.Message }

// Unwrap returns the error of the parser, if any.
func (e *Error) Unwrap() error { return e.Err }

// invalid returns the error for a key whose message names it by itself.
func invalid(key, format string, args ...any) *Error {
	return &Error{Key: key, Message: fmt.Sprintf(format, args...)}
}

// missing returns the error for a key that is not set.
func missing(key string) *Error { return invalid(key, "%s is missing", key) }
