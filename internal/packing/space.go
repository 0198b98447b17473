package packing

import "slices"

// Space is the bins that are packed together: machines of one type. They are
// indexed by kind and gap, so that an item is placed, or found to have no room,
// without a scan of every bin. The answers are those of a scan of all bins in
// their order. A space is not for concurrent use.
type Space struct {
	Bins []*Bin // in their order; changed by Add and Remove only
	// Ranked chooses among the bins that the paper's "exists b" leaves equal: by
	// the labels that the item prefers, then the fullest, then the first. Otherwise
	// the first one is taken.
	Ranked bool
	// NoFirstFit leaves first fit out, for the virtual bins of machines that may be requested.
	NoFirstFit bool
	// Movable reports whether an item may be moved merely to fill or empty a bin;
	// nil: as Item.Movable has it.
	Movable func(*Item) bool
	// Worthwhile reports whether a move of an item into a bin is worth what it costs; nil: it always is.
	Worthwhile func(item *Item, to *Bin) bool

	sets    [binKindCount][gapSteps + 1]*sparseBitSet // the bins by kind and step of their gap; nil: none yet
	counts  [binKindCount][gapSteps + 1]int           // of the bins in each set
	open    bitSet                                    // the bins that may take items
	byLabel map[string]bitSet                         // the bins with each label

	candidates [gapSteps + 1][]candidateWord // of the search under way, kept for the next one to reuse
}

func (s *Space) movable(item *Item) bool {
	if s.Movable != nil {
		return s.Movable(item)
	}
	return item.Movable
}

// Has reports whether the space has the bin.
func (s *Space) Has(b *Bin) bool { return b.space == s }

// Add adds a bin, in the order of ids; bins of one id stay in the order in which they were added.
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

// Remove removes a bin.
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
			s.sets[kind][step], s.counts[kind][step] = nil, 0 // made when it is needed
		}
	}
	s.open, s.byLabel = make(bitSet, words), map[string]bitSet{}
	for i, b := range s.Bins {
		s.indexBin(b, i)
	}
}

// indexBin puts a bin into the index.
func (s *Space) indexBin(b *Bin, i int) {
	b.space, b.index = s, i
	b.slot = b.currentSlot()
	s.setIndexed(b, true)
	s.open.assign(i, b.open)
	for _, label := range b.labels {
		s.binsWithLabel(label).assign(i, true)
	}
}

// setIndexed puts a bin into the set of its slot, or takes it out.
func (s *Space) setIndexed(b *Bin, on bool) {
	at := &s.sets[b.slot.kind][b.slot.gapStep]
	if *at == nil {
		*at = newSparseBitSet(len(s.open))
	}
	(*at).assign(b.index, on)
	if on {
		s.counts[b.slot.kind][b.slot.gapStep]++
	} else {
		s.counts[b.slot.kind][b.slot.gapStep]--
	}
}

// binsWithLabel returns the set of the bins with a label, and adds it if there is none.
func (s *Space) binsWithLabel(name string) bitSet {
	bins := s.byLabel[name]
	if bins == nil {
		bins = make(bitSet, len(s.open))
		s.byLabel[name] = bins
	}
	return bins
}

// setLabelled puts a bin into the set of a label, or takes it out. An empty set is forgotten: images, for
// which there are labels, come and go.
func (s *Space) setLabelled(b *Bin, name string, on bool) {
	bins := s.binsWithLabel(name)
	bins.assign(b.index, on)
	if !on && bins.empty() {
		delete(s.byLabel, name)
	}
}
