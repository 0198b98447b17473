package packing

import "math"

// Resources is an amount of each resource: CPUs, GPUs, gigabytes of memory and bytes of the machine's
// status, which lists its tasks and has a limited size. The status only bounds what fits: the sizes of
// items and the gaps of bins are those of the paper, without it.
type Resources struct {
	CPU         float64
	GPU         float64
	Mem         float64
	StatusBytes float64
}

// eps absorbs the rounding errors of sums of decimal amounts.
const eps = 1e-9

// Add returns r + other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPU + other.CPU, r.GPU + other.GPU, r.Mem + other.Mem, r.StatusBytes + other.StatusBytes}
}

// Sub returns r - other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPU - other.CPU, r.GPU - other.GPU, r.Mem - other.Mem, r.StatusBytes - other.StatusBytes}
}

// Scale returns r with each amount multiplied by a factor.
func (r Resources) Scale(factor float64) Resources {
	return Resources{r.CPU * factor, r.GPU * factor, r.Mem * factor, r.StatusBytes * factor}
}

// Count returns how many equal requests fit into the free resources r together: the number of times that
// Fits holds if each request is subtracted from r. It is math.MaxInt for a request of nothing.
func (r Resources) Count(request Resources) int {
	count := math.MaxInt
	for _, x := range [...]struct{ free, request float64 }{
		{r.CPU, request.CPU}, {r.GPU, request.GPU}, {r.Mem, request.Mem}, {r.StatusBytes, request.StatusBytes},
	} {
		switch {
		case x.request > x.free+eps:
			return 0
		case x.request > 0:
			if quotient := (x.free + eps) / x.request; quotient < float64(count) {
				count = int(quotient)
			}
		}
	}
	return count
}

// Fits reports whether a request fits into the free resources r.
func (r Resources) Fits(request Resources) bool {
	return request.CPU <= r.CPU+eps && request.GPU <= r.GPU+eps && request.Mem <= r.Mem+eps &&
		request.StatusBytes <= r.StatusBytes+eps
}

// Share returns the largest share that a request takes of any resource of the capacity r (section 3.8),
// except the status.
func (r Resources) Share(request Resources) float64 {
	return max(ratio(request.CPU, r.CPU), ratio(request.GPU, r.GPU), ratio(request.Mem, r.Mem))
}

// ShareWithStatus returns the largest share that a request takes of any resource of the capacity r: its
// inverse is how many such requests fit into r.
func (r Resources) ShareWithStatus(request Resources) float64 {
	return max(r.Share(request), ratio(request.StatusBytes, r.StatusBytes))
}

// cannotFit is a share that exceeds any bin's capacity.
const cannotFit = 2

// ratio returns the share that a request takes of a capacity, or cannotFit if there is no capacity.
func ratio(request, capacity float64) float64 {
	switch {
	case request <= 0:
		return 0
	case capacity <= 0:
		return cannotFit
	}
	return request / capacity
}

// smallestShare returns the smallest share that a request takes of any resource of a capacity. The
// request does not fit into a bin with a smaller gap.
func smallestShare(capacity, request Resources) float64 {
	smallest := 1.0
	for _, r := range [...]struct{ capacity, request float64 }{
		{capacity.CPU, request.CPU}, {capacity.GPU, request.GPU}, {capacity.Mem, request.Mem},
	} {
		if r.capacity > 0 {
			smallest = min(smallest, r.request/r.capacity)
		}
	}
	return smallest
}
