// Package trace replays kept traces in tests: files that read as a story, each
// line an event, followed by the decisions it led to, marked with "> ". Run
// replays the events and compares the whole text.
package scenario

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the traces anew from what the code now decides")

// Run replays every trace of testdata. open starts a story and returns the
// function that takes in one event and tells the decisions.
func Run(t *testing.T, pattern string, open func(t *testing.T) func(words []string) []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", pattern))
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces match testdata/%s (%v)", pattern, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			want := strings.TrimRight(string(raw), "\n")
			event := open(t)
			var got []string
			for _, line := range strings.Split(want, "\n") {
				trimmed := strings.TrimSpace(line)
				if strings.HasPrefix(trimmed, "> ") {
					continue
				}
				got = append(got, line)
				if trimmed == "" || strings.HasPrefix(trimmed, "#") {
					continue
				}
				for _, d := range event(strings.Fields(trimmed)) {
					got = append(got, "  > "+d)
				}
			}
			if text := strings.Join(got, "\n"); text != want {
				if *update {
					if err := os.WriteFile(file, []byte(text+"\n"), 0o644); err != nil {
						t.Fatal(err)
					}
					return
				}
				t.Errorf("%s differs (- kept, + now):\n%s", file, Diff(strings.Split(want, "\n"), got))
			}
		})
	}
}

// Diff shows where two texts part, line by line, by their longest common
// subsequence.
func Diff(a, b []string) string {
	n, m := len(a), len(b)
	lcs := make([][]int, n+1)
	for i := range lcs {
		lcs[i] = make([]int, m+1)
	}
	for i := n - 1; i >= 0; i-- {
		for j := m - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lcs[i][j] = lcs[i+1][j+1] + 1
			} else {
				lcs[i][j] = max(lcs[i+1][j], lcs[i][j+1])
			}
		}
	}
	var out strings.Builder
	for i, j := 0, 0; i < n || j < m; {
		switch {
		case i < n && j < m && a[i] == b[j]:
			out.WriteString("  " + a[i] + "\n")
			i, j = i+1, j+1
		case j == m || i < n && lcs[i+1][j] >= lcs[i][j+1]:
			out.WriteString("- " + a[i] + "\n")
			i++
		default:
			out.WriteString("+ " + b[j] + "\n")
			j++
		}
	}
	return out.String()
}
