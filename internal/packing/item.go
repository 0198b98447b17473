package packing

// Kind is the type of an item by its size, the largest share that it takes of its bin (Definition 2).
type Kind int

// Kinds of items, from small to large: up to a third, up to a half, up to two thirds, and above.
const (
	Tiny Kind = iota
	Small
	Large
	Big
)

// Third is the size up to which an item is tiny, and the gap from which a bin is to be filled.
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

// Item is a task on a machine, or about to be.
type Item struct {
	ID           string
	Request      Resources // what it takes of its bin
	Movable      bool      // it may be moved merely to fill or empty a bin; Space.Movable goes before this
	PreferLabels []string  // labels of bins to prefer, the weightiest first
	RequireLabel string    // a label that the bin must have; the item is then placed by the paper's rules only
	ExcludeLabel string    // a label that the bin must not have, when the item is placed
	Owner        any       // the caller's; the packing never reads it

	kind Kind // in its bin
}
