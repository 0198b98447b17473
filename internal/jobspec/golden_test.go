package jobspec

import (
	"encoding/json"
	"os"
	"testing"

	"drumpick/internal/goldentest"
)

// Every field of a job file is read into the job that is submitted.
func TestGolden(t *testing.T) {
	file, err := os.Open("testdata/golden-jobs.yaml")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	jobs, err := Read("f", file, func() string { return "j-2" })
	if err != nil || len(jobs) != 2 {
		t.Fatalf("%d jobs, %v", len(jobs), err)
	}
	if unset := goldentest.UnsetFields(jobs[1], "json"); len(unset) > 0 {
		t.Errorf("the test file does not set %v", unset)
	}
	f := goldentest.Open(t, "golden-jobs.json")
	for _, j := range jobs {
		t.Run(j.Name, func(t *testing.T) {
			raw, err := json.Marshal(j.Job)
			if err != nil {
				t.Fatal(err)
			}
			f.Check(t, j.Name, raw, true)
		})
	}
}
