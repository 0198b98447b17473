// Package scenario replays kept scenarios in tests: files in which each line is an event, followed by the decisions
// that it led to, marked with "> ". Run replays the events and compares the whole text.
package scenario

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the scenarios anew from what the code now decides")

const (
	extension      = ".trace"
	decisionPrefix = "> "
	decisionIndent = "  "
	commentPrefix  = "#"
)

// EventHandler takes in one event, given by its words, and returns the decisions that it leads to.
type EventHandler = func(words []string) (decisions []string)

// Run replays every scenario of testdata that matches a pattern, each in a subtest of its own. start begins a
// scenario and returns what replays its events.
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

// runFile replays one scenario and compares it with its file; with -update it writes the file instead.
func runFile(t *testing.T, file string, replay EventHandler) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.TrimRight(string(raw), "\n")
	got := replayAll(strings.Split(want, "\n"), replay)
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
	t.Errorf("%s differs (- kept, + now):\n%s", file, Diff(strings.Split(want, "\n"), got))
}

// replayAll replays the events of a scenario's lines, and returns the lines with the decisions of now.
func replayAll(lines []string, replay EventHandler) []string {
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
		for _, decision := range replay(strings.Fields(trimmed)) {
			got = append(got, decisionIndent+decisionPrefix+decision)
		}
	}
	return got
}

// Diff shows where two texts differ, line by line, by their longest common subsequence.
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
