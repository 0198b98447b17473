package loadtest

import (
	"errors"
	"math"
	"path/filepath"
	"testing"
)

// A linear cost is fitted with its intercept, a quadratic cost shows in the residuals, and a planned size above the
// measured sizes is marked as extrapolated.
func TestFitFindsLinesAndMarksExtrapolation(t *testing.T) {
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
		t.Errorf("%g workers are not marked as extrapolated", f.PlannedSize)
	}
	approxEqual := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
	for _, model := range f.Models {
		switch model.Cost {
		case roleLeader + ", cores":
			if !approxEqual(model.Intercept, 0.1) || !approxEqual(model.Slope, 0.001) || !approxEqual(model.AtPlannedSize, 7.7) || !approxEqual(model.RSquared, 1) {
				t.Errorf("wrong fit of a linear cost: %+v", model)
			}
		case roleFollower + ", cores":
			if !(model.Residuals[0] > 0 && model.Residuals[1] < 0 && model.Residuals[2] < 0 && model.Residuals[3] > 0) {
				t.Errorf("the residuals do not show a quadratic cost: %+v", model)
			}
		}
	}
	var usageErr *UsageError
	if _, err := Fit(files[:3], ByWorkers); !errors.As(err, &usageErr) {
		t.Errorf("fit over three sizes: got %v, want a usage error", err)
	}
	if _, err := Fit(files, ByTeams); !errors.As(err, &usageErr) {
		t.Errorf("fit over equal sizes: got %v, want a usage error", err)
	}
}
