// Package jsoncodec encodes and decodes all JSON messages and records. Its rules for names hold wherever
// JSON is decoded:
//
//   - A name matches a field only if it is equal to the field's name. A name in other case is a field that
//     is not known, and ignored. (encoding/json would assign its value to the field.)
//   - If a name occurs more than once in an object, the last occurrence counts. It replaces the others
//     entirely, also if the values are objects. (The generated decoders take a null for an absent member.)
//
// The linter forbids encoding/json in other packages.
package jsoncodec

import (
	"encoding/json"
	"io"

	"github.com/mailru/easyjson"
)

// RawMessage is an encoded JSON value. It is decoded or written as it is.
type RawMessage = json.RawMessage

// Marshal encodes a value as encoding/json does. Types with a generated encoder (easyjson) use it.
func Marshal(v any) ([]byte, error) {
	if generated, ok := v.(easyjson.Marshaler); ok {
		return easyjson.Marshal(generated)
	}
	return json.Marshal(v)
}

// MarshalIndent encodes a value as encoding/json does, each member on a line of its own.
func MarshalIndent(v any, prefix, indent string) ([]byte, error) {
	return json.MarshalIndent(v, prefix, indent)
}

// NewEncoder returns an encoder of encoding/json, which writes each value on a line of its own.
func NewEncoder(w io.Writer) *json.Encoder { return json.NewEncoder(w) }
