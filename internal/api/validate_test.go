package api

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"drumpick/client"
	"drumpick/internal/goldentest"
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

// A member of a submission that the protocol does not name is ignored, also if its name differs from a
// field's in case only. Such a member once replaced the field: a job of six tasks with "Shots":1 was
// accepted with one task and called done after it, and "UID" named another job.
func TestSubmissionIgnoresFieldsInOtherCase(t *testing.T) {
	const submitted = `{"uid":"j-1","jobclass":"train","owner":"vision","shape":"group","urgency":"urgent","shots":6,` +
		`"vcpus":8.5,"gpus":1.0,"mem_gb":64.5,"build":"img-07","size_gb":6.2,"rigs":["g8"],"site":"a","one_zone":true,` +
		`"apart":false,"loaners":false,"guess_s":240.5,"snapshot_s":30.0,"flush_s":4.0,"due_s":900.0,"prereqs":["j-3"]}`
	fields, err := decodeSubmission([]byte(submitted))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.CheckNames(t, goldentest.JSON, "submission", []byte(submitted), *fields)

	want, err := parseSubmission([]byte(submitted))
	if err != nil {
		t.Fatal(err)
	}
	for _, member := range []string{`"Shots":1`, `"UID":"j-999"`, `"Loaners":true`, `"OWNER":"sales"`, `"Prereqs":["j-9"]`} {
		got, err := parseSubmission([]byte(submitted[:len(submitted)-1] + "," + member + "}"))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("with %s the submission is read as %+v, %v, want %+v", member, got, err, want)
		}
	}
}
