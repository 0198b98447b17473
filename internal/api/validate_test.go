package api

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"drumpick/client"
	"drumpick/internal/records"
)

// jsonKeys returns the JSON keys of a struct's fields, sorted.
func jsonKeys(v any) []string {
	var keys []string
	for _, field := range reflect.VisibleFields(reflect.TypeOf(v)) {
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// The client's submission, the server's decoded submission and the stored record have the same JSON
// keys, except that the record also has the time of acceptance. They are three types because each
// changes for its own reasons. A field that is added to only one of them would be lost.
func TestJobFieldsAreTheSameInClientServerAndStore(t *testing.T) {
	want := jsonKeys(submissionFields{})
	if got := jsonKeys(client.Job{}); !slices.Equal(got, want) {
		t.Errorf("the client's job has the keys\n     %v, want\n     %v", got, want)
	}
	stored := slices.DeleteFunc(jsonKeys(records.Job{}), func(key string) bool { return key == "accepted_ms" })
	if !slices.Equal(stored, want) {
		t.Errorf("the stored job has the keys\n     %v, want\n     %v", stored, want)
	}
}
