package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"drumpick/client"
	"drumpick/internal/localcluster"
)

// The commands, run against a local cluster with a real controller, print the expected output and return the exit codes
// of docs/client.md.
func TestCommandsPrintAndExitAsDocumented(t *testing.T) {
	dir := t.TempDir()
	built := filepath.Join(dir, "drumpick")
	if out, err := exec.Command("go", "build", "-o", built, "drumpick/cmd/drumpick").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	cluster, err := localcluster.Start(t.Context(), localcluster.Options{
		DataDir: dir, ControllerProgram: built, Zones: []string{"north"}, Controllers: 1, MachinesPerZone: 4, LogLevel: "info",
		RunTime: func(string) time.Duration { return 50 * time.Millisecond },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := cluster.Stop(); err != nil {
			t.Error(err)
		}
	})
	run := func(in string, args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		code := execute(t.Context(), append([]string{"--data", dir}, args...), strings.NewReader(in), &out, &errOut)
		return code, out.String(), errOut.String()
	}
	const job = "class: c\nteam: archive\ncpus: 1\nmem_gb: 2\nimage: i\nestimate_s: 1\n"
	code, out, errOut := run(job+"id: j-1\ntasks: 3\n---\n"+job+"id: j-2\nneeds: [j-1]\n", "submit", "-", "--wait", "-o", "json")
	var states []client.Status
	if err := json.Unmarshal([]byte(out), &states); code != exitOK || err != nil || len(states) != 2 || states[0].Status != client.Done || states[0].Done != 3 || states[1].Status != client.Done {
		t.Fatalf("submit: %d, %s, %s, %v", code, out, errOut, err)
	}
	file := filepath.Join(dir, "job.yaml")
	if err := os.WriteFile(file, []byte(job+"id: j-3\nshape: service\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		args []string
		code int
		want string // part of standard output, or of standard error if the command fails
	}{
		{[]string{"submit", file}, exitOK, "j-3"},
		{[]string{"submit", file}, exitOK, "j-3"},
		{[]string{"get", "j-1", "j-3"}, exitOK, "j-1  done"},
		{[]string{"get", "j-4"}, exitNotFound, "job j-4: not found"},
		{[]string{"cancel", "j-3"}, exitOK, "cancelled"},
		{[]string{"watch", "j-1", "j-3"}, exitCancelled, "job j-3 was cancelled"},
		{[]string{"machine", "list"}, exitOK, "north"},
		{[]string{"machine", "show", "m-none"}, exitNotFound, "machine m-none"},
		{[]string{"submit", "no-such-file"}, exitUsage, "no-such-file"},
		{[]string{"submit"}, exitUsage, "accepts 1 arg"},
		{[]string{"frobnicate"}, exitUsage, "unknown command"},
		{[]string{"machine", "frobnicate"}, exitUsage, "unknown command"},
		{[]string{"get", "j-1", "-o", "xml"}, exitUsage, "--output"},
		{[]string{"get", "j-1", "--no-such-flag"}, exitUsage, "no-such-flag"},
		{[]string{"get", "j-1", "-s", "nowhere"}, exitUsage, "nowhere"},
		{[]string{"get", "j-1", "--data", dir + "/none"}, exitUsage, "local up starts one"},
		{[]string{"local", "kill", "nobody"}, exitNotFound, "nobody"},
		{[]string{"local", "cut", "west"}, exitNotFound, "north"},
	} {
		code, out, errOut := run("", x.args...)
		if code != exitOK {
			out = errOut
		}
		if code != x.code || !strings.Contains(out, x.want) {
			t.Errorf("%v: code %d, %q, want %d, %q", x.args, code, out, x.code, x.want)
		}
	}
	if code, _, errOut := run(strings.Replace(job, "archive", "nobody", 1), "submit", "-"); code != exitRefused || !strings.Contains(errOut, "unknown team") {
		t.Errorf("an unknown team: %d, %s", code, errOut)
	}
	if code, _, errOut := run(strings.Replace(job, "cpus: 1", "cpus: x", 1), "submit", "-"); code != exitUsage || !strings.Contains(errOut, "line 3: cpus") {
		t.Errorf("a bad file: %d, %s", code, errOut)
	}
}
