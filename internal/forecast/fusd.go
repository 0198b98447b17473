// Package forecast predicts the use of a machine with FUSD, the fast-up,
// slow-down average of section 2 of the paper that the scheduler follows: the forecast E(t) follows the
// observed use O(t) at once when it rises, and slowly when it falls. It is pure: no clock, no I/O.
package forecast

import (
	"math"
	"slices"
)

// Params are the parameters that the paper leaves open.
type Params struct {
	Up         float64 // weight of the earlier forecast (alpha) while use rises; negative: it overshoots
	Down       float64 // the same while use falls
	Window     int     // how many observations are kept; at least 1
	Percentile float64 // of the window that is taken as O(t), 0 to 100
}

// FUSD is the forecast of one machine.
type FUSD struct {
	params   Params
	window   []float64 // the last observations, oldest first
	estimate float64   // E(t)
	started  bool      // there has been an observation
}

// New returns a forecast that has observed nothing.
func New(params Params) *FUSD { return &FUSD{params: params} }

// Observe notes a machine's use, as a share of its capacity, and returns E(t).
func (f *FUSD) Observe(use float64) float64 {
	if len(f.window) == max(f.params.Window, 1) {
		copy(f.window, f.window[1:])
		f.window = f.window[:len(f.window)-1]
	}
	f.window = append(f.window, use)
	observed := percentile(f.window, f.params.Percentile)
	if !f.started {
		f.estimate, f.started = observed, true
		return f.estimate
	}
	alpha := f.params.Down
	if observed > f.estimate {
		alpha = f.params.Up
	}
	f.estimate = alpha*f.estimate + (1-alpha)*observed
	return f.estimate
}

// Predicted is the forecast, bounded by what is reserved: tasks cannot use more
// than they requested, so FUSD's overshoot on a rise must not call a machine
// hot that is merely full.
func (f *FUSD) Predicted(reserved float64) float64 { return math.Min(f.estimate, reserved) }

// percentile returns the smallest value of a window that at least p percent of its values do not exceed.
func percentile(window []float64, p float64) float64 {
	sorted := slices.Clone(window)
	slices.Sort(sorted)
	i := int(math.Ceil(p/100*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
