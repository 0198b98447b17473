package loadtest

import (
	"errors"
	"math"
	"path/filepath"
	"testing"
)

// A line is found with its fixed part; what grows faster than its cause shows in the residuals, and what is beyond
// the sizes that were run is marked.
func TestFitFindsLinesAndMarksWhatIsBeyond(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for _, n := range []int{100, 200, 300, 400} {
		size := float64(n)
		r := &Result{Size: Size{Workers: n}, MeasuredS: 10, Usage: map[string]Usage{
			roleLeader: {Cores: 0.1 + size/1000}, roleFollower: {Cores: size * size / 10000},
		}}
		file := filepath.Join(dir, string(rune('a'+n/100)))
		if err := r.Write(file); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	f, err := Fit(files, ByWorkers)
	if err != nil {
		t.Fatal(err)
	}
	if !f.Extrapolated {
		t.Errorf("%g workers are not marked as beyond what was run", f.PlannedSize)
	}
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
	for _, line := range f.Models {
		switch line.Cost {
		case roleLeader + ", cores":
			if !near(line.Intercept, 0.1) || !near(line.Slope, 0.001) || !near(line.AtPlannedSize, 7.7) || !near(line.RSquared, 1) {
				t.Errorf("a line is not found: %+v", line)
			}
		case roleFollower + ", cores":
			if !(line.Residuals[0] > 0 && line.Residuals[1] < 0 && line.Residuals[2] < 0 && line.Residuals[3] > 0) {
				t.Errorf("a square does not show in the residuals: %+v", line)
			}
		}
	}
	var usage *UsageError
	if _, err := Fit(files[:3], ByWorkers); !errors.As(err, &usage) {
		t.Errorf("three sizes are fitted: %v", err)
	}
	if _, err := Fit(files, ByTeams); !errors.As(err, &usage) {
		t.Errorf("sizes that are alike are fitted: %v", err)
	}
}
