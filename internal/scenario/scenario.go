// Package scenario replays recorded scenarios in tests. In a scenario file, each line is an event, followed by lines
// with the decisions that it caused, marked with "> ". Blank lines and comments, which start with "#", are no events.
// Run replays the events and compares the decisions with the file.
package scenario

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the scenario files with the current decisions")

const (
	extension      = ".trace"
	decisionPrefix = "> "
	decisionIndent = "  "
	commentPrefix  = "#"
)

// EventHandler handles one event, split into words, and returns the decisions that it causes.
type EventHandler = func(words []string) (decisions []string)

// Run replays every scenario file in testdata that matches pattern, each in its own subtest. start is called once per
// scenario and returns the handler of its events.
func Run(t *testing.T, pattern string, start func(t *testing.T) EventHandler) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", pattern))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios match testdata/%s (%v)", pattern, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), extension), func(t *testing.T) {
			runFile(t, file, start(t))
		})
	}
}

// runFile replays one scenario and reports a test error if the result differs from its file. With -update, it writes
// the result to the file instead.
func runFile(t *testing.T, file string, handleEvent EventHandler) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.TrimRight(string(raw), "\n")
	got := replayAll(strings.Split(want, "\n"), handleEvent)
	text := strings.Join(got, "\n")
	if text == want {
		return
	}
	if *update {
		if err := os.WriteFile(file, []byte(text+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	t.Errorf("%s differs (- file, + current):\n%s", file, Diff(strings.Split(want, "\n"), got))
}

// replayAll replays the events in the lines of a scenario file. It returns the lines with the current decisions in
// place of the recorded ones.
func replayAll(lines []string, handleEvent EventHandler) []string {
	var got []string
	for _, line := range lines {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, decisionPrefix) {
			continue
		}
		got = append(got, line)
		if trimmed == "" || strings.HasPrefix(trimmed, commentPrefix) {
			continue
		}
		for _, decision := range handleEvent(strings.Fields(trimmed)) {
			got = append(got, decisionIndent+decisionPrefix+decision)
		}
	}
	return got
}

// Diff returns a line-by-line diff based on the longest common subsequence. It marks lines that only a has with "- "
// and lines that only b has with "+ ".
func Diff(a, b []string) string {
	lcs := lcsLengths(a, b)
	var out strings.Builder
	for i, j := 0, 0; i < len(a) || j < len(b); {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out.WriteString("  " + a[i] + "\n")
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && lcs[i+1][j] >= lcs[i][j+1]:
			out.WriteString("- " + a[i] + "\n")
			i++
		default:
			out.WriteString("+ " + b[j] + "\n")
			j++
		}
	}
	return out.String()
}

// lcsLengths returns, for each i and j, the length of the longest common subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int {
	lcs := make([][]int, len(a)+1)
	for i := range lcs {
		lcs[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lcs[i][j] = lcs[i+1][j+1] + 1
			} else {
				lcs[i][j] = max(lcs[i+1][j], lcs[i][j+1])
			}
		}
	}
	return lcs
}
