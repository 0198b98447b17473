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

// A job has the same fields in the client's submission, in the server's form of it, and in the store's
// record, which has the time of its acceptance besides. The three are types of their own, since each
// changes for reasons of its own; without this test, a field that is added to one would be lost.
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
