// Package forecast predicts the utilization of a machine with FUSD, the fast-up, slow-down moving
// average of section 2 of the paper that the scheduler implements: the forecast E(t) follows the
// observed utilization O(t) at once when it rises, and slowly when it falls. The package does no I/O
// and reads no clock.
package forecast

import (
	"math"
	"slices"
)

// Params are the parameters that the paper does not fix.
type Params struct {
	Up         float64 // alpha, the weight of the previous forecast, while use rises; negative: overshoots the use
	Down       float64 // alpha while use falls
	Window     int     // number of observations kept; at least 1
	Percentile float64 // percentile of the window that serves as O(t), 0 to 100
}

// FUSD is the forecast of one machine.
type FUSD struct {
	params   Params
	window   []float64 // the last observations, oldest first
	estimate float64   // E(t)
	started  bool      // at least one observation has been made
}

// New returns a forecast without observations.
func New(params Params) *FUSD { return &FUSD{params: params} }

// Observe records the machine's use, as a share of its capacity, and returns E(t).
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

// Predicted returns the forecast, capped at reserved, the share of the machine's capacity that its
// tasks reserve. Tasks cannot use more than they requested, so FUSD's overshoot on a rise must not
// mark a merely full machine as overloaded.
func (f *FUSD) Predicted(reserved float64) float64 { return math.Min(f.estimate, reserved) }

// percentile returns the smallest value of the window that at least p percent of its values do not
// exceed.
func percentile(window []float64, p float64) float64 {
	sorted := slices.Clone(window)
	slices.Sort(sorted)
	i := int(math.Ceil(p/100*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
