package packing

// Kind is the type of an item by its size: the largest share that the item takes of any resource of
// its bin (Definition 2).
type Kind int

// Kinds of items by size: up to 1/3, up to 1/2, up to 2/3, and above.
const (
	Tiny Kind = iota
	Small
	Large
	Big
)

// Third is the maximum size of a tiny item, and the minimum gap of an unfilled bin.
const Third = 1.0 / 3

// Classify returns the kind of an item of the given size.
func Classify(size float64) Kind {
	switch {
	case size <= Third+eps:
		return Tiny
	case size <= 0.5+eps:
		return Small
	case size <= 2*Third+eps:
		return Large
	}
	return Big
}

// Item is a task that is placed, or to be placed, on a machine.
type Item struct {
	ID           string
	Request      Resources // resources that it takes of its bin
	Movable      bool      // it may be moved to fill or empty a bin; overridden by Space.Movable
	PreferLabels []string  // labels of preferred bins, by descending weight
	RequireLabel string    // a label that the bin must have; disables first fit
	ExcludeLabel string    // a label that the bin must not have at placement
	Owner        any       // set by the caller, not read by this package

	kind Kind // relative to its bin
}
