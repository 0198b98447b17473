package jsoncodec

import (
	"errors"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
	"github.com/mailru/easyjson"
)

// decodeOptions are the rules of encoding/json, except that names match exactly and that a name that
// occurs twice in one object is reported, so that Unmarshal can apply its own rule.
var decodeOptions = json.JoinOptions(
	jsonv1.DefaultOptionsV1(),
	json.MatchCaseInsensitiveNames(false),
	jsontext.AllowDuplicateNames(false),
	jsonv1.ReportErrorsWithLegacySemantics(false),
)

// TypeError is the error of a value that has the wrong type for its field, or is out of range.
type TypeError struct {
	Field string // path of the field's names, joined by dots; without indexes of lists; "": the whole value
	Err   error
}

// Error does not contain the decoder's text, which differs from process to process.
func (e *TypeError) Error() string {
	if e.Field == "" {
		return "the value has the wrong type"
	}
	return e.Field + " has the wrong type or is out of range"
}

// Unwrap returns the error of the decoder.
func (e *TypeError) Unwrap() error { return e.Err }

// Unmarshal decodes a JSON text into the value that v points to, which should be a zero value. If the text
// cannot be decoded, Unmarshal sets the value to zero and returns an error: a *TypeError if the text is
// JSON, but a value in it does not suit its field.
//
// Types with a generated decoder (easyjson) use it, as it is faster; a text that it rejects is decoded by
// the general rules. A struct that embeds such a type would be decoded as the embedded type alone, so no
// message may embed one.
func Unmarshal(data []byte, v any) error {
	if generated, ok := v.(easyjson.Unmarshaler); ok {
		if easyjson.Unmarshal(data, generated) == nil {
			return nil
		}
		reset(v)
	}
	err := json.Unmarshal(data, v, decodeOptions)
	if err == nil {
		return nil
	}
	reset(v) // it may have been decoded up to the error
	if unique, found := keepLastOccurrences(data); found {
		if err = json.Unmarshal(unique, v, decodeOptions); err == nil {
			return nil
		}
		reset(v)
	}
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return &TypeError{Field: fieldPath(semantic.JSONPointer), Err: err}
	}
	return err
}

// reset sets the value that v points to to zero.
func reset(v any) {
	if pointer := reflect.ValueOf(v); pointer.Kind() == reflect.Pointer && !pointer.IsNil() {
		pointer.Elem().SetZero()
	}
}

// fieldPath returns the names in a JSON pointer, without the indexes of lists, joined by dots.
func fieldPath(pointer jsontext.Pointer) string {
	var names []string
	for token := range pointer.Tokens() {
		if _, err := strconv.Atoi(token); err != nil {
			names = append(names, token)
		}
	}
	return strings.Join(names, ".")
}
