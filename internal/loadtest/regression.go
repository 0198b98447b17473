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

// Dimensions of the size over which costs can be fitted.
const (
	ByWorkers = "workers"
	ByRate    = "rate"
	ByTeams   = "teams"
)

// minSizes is the minimum number of distinct sizes for a fit. With fewer sizes, a superlinear cost cannot be
// distinguished from a linear one.
const minSizes = 4

// plannedSizes is the planned size in each dimension.
var plannedSizes = map[string]float64{ByWorkers: plannedWorkers, ByRate: plannedRate, ByTeams: plannedTeams}

const (
	plannedRate  = 2500 // task starts per second
	plannedTeams = 48
)

// CostModel is the linear fit of one cost over the size.
type CostModel struct {
	Cost          string // name of the cost with its unit; see Result.costs
	Intercept     float64
	Slope         float64 // per unit of the size
	RSquared      float64
	Residuals     []float64 // measured minus fitted cost; one per run, in order of size
	Measured      []float64 // one per run, in order of size
	AtPlannedSize float64   // fitted cost at the planned size
}

// Regression holds the cost models of a series of runs.
type Regression struct {
	By           string    // dimension of the size, such as ByWorkers
	Sizes        []float64 // of the runs, ascending
	Models       []CostModel
	PlannedSize  float64
	Extrapolated bool // the planned size exceeds the largest size of the runs
}

// costs returns the costs of a run by name, including those of its run without teams.
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

// sizeBy returns the size of the run in one dimension.
func (r *Result) sizeBy(by string) float64 {
	switch by {
	case ByRate:
		return r.Size.StartRate
	case ByTeams:
		return float64(r.Size.Teams)
	}
	return float64(r.Size.Workers)
}

// Fit reads results of runs from files and fits each cost linearly over one dimension of the size. It returns a
// UsageError if the dimension is unknown, a file is unreadable, or the runs have fewer than minSizes distinct sizes.
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

// fitAll adds a model for each cost of the first result. A cost that another result lacks counts as 0 there. results
// are in order of size.
func (f *Regression) fitAll(results []*Result) {
	costs := make([]map[string]float64, len(results))
	for i, r := range results {
		costs[i] = r.costs()
	}
	for _, cost := range slices.Sorted(maps.Keys(costs[0])) {
		model := CostModel{Cost: cost}
		for _, runCosts := range costs {
			model.Measured = append(model.Measured, runCosts[cost])
		}
		model.fit(f.Sizes, f.PlannedSize)
		f.Models = append(f.Models, model)
	}
}

// fit computes the regression, its residuals, and the cost at the planned size.
func (m *CostModel) fit(sizes []float64, plannedSize float64) {
	m.Intercept, m.Slope = stat.LinearRegression(sizes, m.Measured, nil, false)
	if m.RSquared = stat.RSquared(sizes, m.Measured, nil, m.Intercept, m.Slope); math.IsNaN(m.RSquared) {
		m.RSquared = 1 // all measured values are equal
	}
	for i, size := range sizes {
		m.Residuals = append(m.Residuals, m.Measured[i]-m.Intercept-m.Slope*size)
	}
	m.AtPlannedSize = m.Intercept + m.Slope*plannedSize
}

// Print writes the cost models as a text table.
func (f *Regression) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	suffix := ""
	if f.Extrapolated {
		suffix = ", beyond what was run"
	}
	fmt.Fprintf(w, "cost\tfixed\tfor 1000 %s\tR2\tmeasured at %v\tresiduals\tat %g%s\n", f.By, f.Sizes, f.PlannedSize, suffix)
	for _, m := range f.Models {
		fmt.Fprintf(w, "%s\t%.3g\t%.3g\t%.3f\t%s\t%s\t%.3g\n",
			m.Cost, m.Intercept, 1000*m.Slope, m.RSquared, formatValues(m.Measured), formatValues(m.Residuals), m.AtPlannedSize)
	}
	return w.Flush()
}

// formatValues formats numbers with three significant digits.
func formatValues(values []float64) string {
	text := ""
	for _, v := range values {
		text += fmt.Sprintf("%.3g ", v)
	}
	return text
}
