package loadtest

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// By what the sizes of runs may differ.
const (
	ByWorkers = "workers"
	ByRate    = "rate"
	ByTeams   = "teams"
)

// minSizes is how many sizes a fit needs: with fewer, a term that grows faster than its cause cannot be told from a
// slope.
const minSizes = 4

// The planned size.
var plannedSizes = map[string]float64{ByWorkers: plannedWorkers, ByRate: plannedRate, ByTeams: plannedTeams}

const (
	plannedRate  = 2500
	plannedTeams = 48
)

// CostModel is a cost that is fitted by a fixed part and a slope.
type CostModel struct {
	Cost          string
	Intercept     float64
	Slope         float64
	RSquared      float64
	Residuals     []float64 // by size
	Measured      []float64 // by size
	AtPlannedSize float64   // at the planned size
}

// Regression are the costs over sizes.
type Regression struct {
	By           string
	Sizes        []float64
	Models       []CostModel
	PlannedSize  float64 // size
	Extrapolated bool    // it is larger than what was run
}

// costs returns what is fitted, by name.
func (r *Result) costs() map[string]float64 {
	all := map[string]float64{}
	for role, u := range r.Usage {
		all[role+", cores"], all[role+", MB"] = u.Cores, u.MemoryMB
	}
	for kind, t := range r.Traffic {
		all[kind+", messages a second"] = float64(t.Messages) / r.MeasuredS
		all[kind+", KB a second"] = float64(t.Sent+t.Received) / r.MeasuredS / 1000
	}
	all["starts a second"] = r.StartRate.Mean
	if r.WithoutTeams != nil {
		for cost, value := range r.WithoutTeams.costs() {
			all[cost+", no teams"] = value
		}
	}
	return all
}

// sizeBy returns the size by which runs differ.
func (r *Result) sizeBy(by string) float64 {
	switch by {
	case ByRate:
		return r.Size.StartRate
	case ByTeams:
		return float64(r.Size.Teams)
	}
	return float64(r.Size.Workers)
}

// Fit fits a line to each cost over the results of runs whose sizes differ.
func Fit(files []string, by string) (*Regression, error) {
	if _, known := plannedSizes[by]; !known {
		return nil, &UsageError{"by", fmt.Sprintf("%q is none of %s, %s, %s", by, ByWorkers, ByRate, ByTeams)}
	}
	var results []*Result
	for _, file := range files {
		r, err := ReadResult(file)
		if err != nil {
			return nil, &UsageError{Reason: err.Error()}
		}
		results = append(results, r)
	}
	slices.SortFunc(results, func(a, b *Result) int { return cmp.Compare(a.sizeBy(by), b.sizeBy(by)) })
	f := &Regression{By: by, PlannedSize: plannedSizes[by]}
	distinct := map[float64]bool{}
	for _, r := range results {
		f.Sizes = append(f.Sizes, r.sizeBy(by))
		distinct[r.sizeBy(by)] = true
	}
	if len(distinct) < minSizes {
		reason := fmt.Sprintf("%d files have %d sizes by %s, and a fit needs %d", len(files), len(distinct), by, minSizes)
		return nil, &UsageError{"by", reason}
	}
	f.Extrapolated = f.PlannedSize > f.Sizes[len(f.Sizes)-1]
	f.fitAll(results)
	return f, nil
}

// fitAll fits a line to each cost.
func (f *Regression) fitAll(results []*Result) {
	costs := make([]map[string]float64, len(results))
	for i, r := range results {
		costs[i] = r.costs()
	}
	for _, cost := range slices.Sorted(maps.Keys(costs[0])) {
		line := CostModel{Cost: cost}
		for _, ofRun := range costs {
			line.Measured = append(line.Measured, ofRun[cost])
		}
		line.fit(f.Sizes, f.PlannedSize)
		f.Models = append(f.Models, line)
	}
}

// fit works out the line and how far each size is from it.
func (l *CostModel) fit(sizes []float64, at float64) {
	l.Intercept, l.Slope = stat.LinearRegression(sizes, l.Measured, nil, false)
	if l.RSquared = stat.RSquared(sizes, l.Measured, nil, l.Intercept, l.Slope); math.IsNaN(l.RSquared) {
		l.RSquared = 1 // all are alike
	}
	for i, size := range sizes {
		l.Residuals = append(l.Residuals, l.Measured[i]-l.Intercept-l.Slope*size)
	}
	l.AtPlannedSize = l.Intercept + l.Slope*at
}

// Print writes the fits as a table for people.
func (f *Regression) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	beyond := ""
	if f.Extrapolated {
		beyond = ", beyond what was run"
	}
	fmt.Fprintf(w, "cost\tfixed\tfor 1000 %s\tR2\tmeasured at %v\tresiduals\tat %g%s\n", f.By, f.Sizes, f.PlannedSize, beyond)
	for _, l := range f.Models {
		fmt.Fprintf(w, "%s\t%.3g\t%.3g\t%.3f\t%s\t%s\t%.3g\n",
			l.Cost, l.Intercept, 1000*l.Slope, l.RSquared, formatValues(l.Measured), formatValues(l.Residuals), l.AtPlannedSize)
	}
	return w.Flush()
}

// formatValues returns numbers as text, at three digits.
func formatValues(values []float64) string {
	text := ""
	for _, v := range values {
		text += fmt.Sprintf("%.3g ", v)
	}
	return text
}
