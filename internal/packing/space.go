package packing

import "slices"

// Space is a set of bins that are packed together: machines of one type. Bins are indexed by kind
// and gap, so that a search does not scan every bin. The results equal those of a scan of all bins in
// order. A space is not safe for concurrent use.
type Space struct {
	Bins []*Bin // sorted by id; changed by Add and Remove only
	// Ranked selects among the bins that a rule of the paper allows ("exists b") by preferred
	// labels, then the fullest, then the first. Otherwise the first bin is selected.
	Ranked bool
	// NoFirstFit disables first fit, for the virtual bins of machines that may be requested.
	NoFirstFit bool
	// Movable reports whether an item may be moved to fill or empty a bin; nil: Item.Movable is
	// used.
	Movable func(*Item) bool
	// Worthwhile reports whether the benefit of moving an item into a bin exceeds the cost of the
	// move; nil: always.
	Worthwhile func(item *Item, to *Bin) bool

	sets    [binKindCount][gapSteps + 1]*sparseBitSet // the bins by kind and gap step; nil: not created yet
	counts  [binKindCount][gapSteps + 1]int           // number of bins in each set
	open    bitSet                                    // the open bins
	byLabel map[string]bitSet                         // the bins with each label

	candidates [gapSteps + 1][]candidateWord // scratch memory of a search, reused by the next one
}

func (s *Space) movable(item *Item) bool {
	if s.Movable != nil {
		return s.Movable(item)
	}
	return item.Movable
}

// Has reports whether the bin is in the space.
func (s *Space) Has(b *Bin) bool { return b.space == s }

// Add adds a bin, sorted by id; bins with the same id keep the order of addition.
func (s *Space) Add(b *Bin) {
	i := len(s.Bins)
	for i > 0 && s.Bins[i-1].ID > b.ID {
		i--
	}
	s.Bins = slices.Insert(s.Bins, i, b)
	if i < len(s.Bins)-1 || len(s.Bins) > wordBits*len(s.open) {
		s.rebuild()
		return
	}
	s.indexBin(b, i)
}

// Remove removes a bin; it does nothing if the bin is not in the space.
func (s *Space) Remove(b *Bin) {
	if b.space != s {
		return
	}
	s.Bins = slices.Delete(s.Bins, b.index, b.index+1)
	b.space = nil
	s.rebuild()
}

// rebuild builds the index from scratch.
func (s *Space) rebuild() {
	words := len(s.Bins)/wordBits + 1
	for kind := range s.sets {
		for step := range s.sets[kind] {
			s.sets[kind][step], s.counts[kind][step] = nil, 0 // created on demand
		}
	}
	s.open, s.byLabel = make(bitSet, words), map[string]bitSet{}
	for i, b := range s.Bins {
		s.indexBin(b, i)
	}
}

// indexBin adds the bin at position i to the index.
func (s *Space) indexBin(b *Bin, i int) {
	b.space, b.index = s, i
	b.slot = b.currentSlot()
	s.setIndexed(b, true)
	s.open.assign(i, b.open)
	for _, label := range b.labels {
		s.binsWithLabel(label).assign(i, true)
	}
}

// setIndexed adds a bin to the index set of its slot, or removes it.
func (s *Space) setIndexed(b *Bin, on bool) {
	bins := &s.sets[b.slot.kind][b.slot.gapStep]
	if *bins == nil {
		*bins = newSparseBitSet(len(s.open))
	}
	(*bins).assign(b.index, on)
	if on {
		s.counts[b.slot.kind][b.slot.gapStep]++
	} else {
		s.counts[b.slot.kind][b.slot.gapStep]--
	}
}

// binsWithLabel returns the set of bins with a label. It creates the set if there is none.
func (s *Space) binsWithLabel(name string) bitSet {
	bins := s.byLabel[name]
	if bins == nil {
		bins = make(bitSet, len(s.open))
		s.byLabel[name] = bins
	}
	return bins
}

// setLabelled adds a bin to the set of a label, or removes it. Empty sets are deleted, since image
// labels are added and removed all the time.
func (s *Space) setLabelled(b *Bin, name string, on bool) {
	bins := s.binsWithLabel(name)
	bins.assign(b.index, on)
	if !on && bins.empty() {
		delete(s.byLabel, name)
	}
}
