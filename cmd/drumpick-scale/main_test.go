package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"drumpick/internal/loadtest"

	"github.com/shirou/gopsutil/v4/process"
)

// TestMain serves a role if a run started the test binary as a child process, as it starts its own program.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		main()
		return
	}
	os.Exit(m.Run())
}

// countChildProcesses returns the number of child processes of the test process.
func countChildProcesses(t *testing.T) int {
	t.Helper()
	self, err := process.NewProcess(int32(os.Getpid()))
	if err != nil {
		t.Fatal(err)
	}
	all, err := self.Children()
	if err != nil {
		return 0 // gopsutil reports no children as an error
	}
	return len(all)
}

// In a run of real controllers, simulated workers and two real ones, with the leader killed once, every job gets one
// final answer, no rule is violated, and no process or directory is left behind.
func TestRunWithFailoverLeavesNothingBehind(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	daemon, options, result := filepath.Join(dir, "drumpick"), filepath.Join(dir, "drumpick.ini"), filepath.Join(dir, "result.json")
	if out, err := exec.Command("go", "build", "-o", daemon, "drumpick/cmd/drumpick").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if err := os.WriteFile(options, []byte("[takeover]\nmarks = true\n\n[relay]\nenabled = true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, log bytes.Buffer
	code := execute(t.Context(), []string{
		"run", "--workers", "62", "--real-workers", "2", "--tasks", "250", "--rate", "50", "--teams", "3", "--controllers", "3", "--for", "8s",
		"--leader", "--compress", "600", "--daemon", daemon, "--options", options, "--out", result,
	}, &out, &log)
	if code != exitOK {
		t.Fatalf("exit code %d\n%s\n%s", code, out.String(), log.String())
	}
	r, err := loadtest.ReadResult(result)
	if err != nil {
		t.Fatal(err)
	}
	if r.AcceptedJobs == 0 || r.FinishedJobs != r.AcceptedJobs {
		t.Errorf("%d of %d jobs have a final answer", r.FinishedJobs, r.AcceptedJobs)
	}
	if len(r.InjectedFaults.Failovers) != 1 {
		t.Errorf("failovers: %v, want one", r.InjectedFaults.Failovers)
	}
	for _, role := range []string{"leader", "follower", "state service", "hollow workers", "real worker"} {
		if u := r.Usage[role]; u.Processes == 0 || u.MemoryMB <= 0 {
			t.Errorf("%s: no measurement", role)
		}
	}
	if n := countChildProcesses(t); n > 0 {
		t.Errorf("%d processes are left behind", n)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "drumpick-scale-*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// An invalid size, or one that exceeds the resources of this machine, gives a one-line error that names the flag, and
// starts no process.
func TestInvalidSizeNamesFlagAndStartsNothing(t *testing.T) {
	dir := t.TempDir()
	daemon := filepath.Join(dir, "drumpick")
	if err := os.WriteFile(daemon, nil, 0o700); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ args, mention string }{
		{"run --workers 0", "--workers"},
		{"run --tasks -1", "--tasks"},
		{"run --rate 0", "--rate"},
		{"run --rate NaN", "--rate"},
		{"run --tasks 10 --rate 100", "--rate"},
		{"run --controllers 0", "--controllers"},
		{"run --teams -1", "--teams"},
		{"run --zones 1 --regions 3", "--zones"},
		{"run --regions 0", "--regions"},
		{"run --for 1ms", "--for"},
		{"run --workers 10 --real-workers 11", "--real-workers"},
		{"run --workers 1000000 --tasks 10000000 --rate 1000", "--workers"},
		{"run --controllers 50", "--workers"},
		{"run --store-writes 0", "--store-writes"},
		{"run --compress -1", "--compress"},
		{"run --paired --teams 0", "--paired"},
		{"run --workers many", "--workers"},
		{"run --daemon " + dir + "/none", "--daemon"},
		{"run --options " + dir + "/none", "--options"},
		{"fit " + dir + "/none", "none"},
		{"fit --by size", "--by"},
	} {
		var out, log bytes.Buffer
		args := strings.Fields(test.args)
		if args[0] == "run" && !strings.Contains(test.args, "--daemon") {
			args = append(args, "--daemon", daemon)
		}
		if args[0] == "run" && !strings.Contains(test.args, "--options") {
			args = append(args, "--options", daemon)
		}
		code := execute(t.Context(), args, &out, &log)
		if code != exitUsage || !strings.Contains(log.String(), test.mention) || strings.Count(log.String(), "\n") != 1 {
			t.Errorf("%s: exit code %d, printed %q, want one line that names %s", test.args, code, log.String(), test.mention)
		}
	}
	if n := countChildProcesses(t); n > 0 {
		t.Errorf("%d processes were started", n)
	}
}
