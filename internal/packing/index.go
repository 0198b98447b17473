package packing

import (
	"math"
	"math/bits"
	"slices"
)

// binKinds is a set of bin kinds.
type binKinds uint8

// Each bin has exactly one of the first seven kinds; the paper's kinds are unions of them.
const (
	emptyBins    binKinds = 1 << iota
	utBins                // T-bin with a gap of at least a third
	fullTBins             // T-bin with a smaller gap
	ulltBins              // L- or LT-bin with a gap of at least a third
	fullLTBins            // L- or LT-bin with a smaller gap
	sBins                 // one small item
	otherBins             // any other combination
	binKindCount = iota
	tBins        = utBins | fullTBins
	ltBins       = ulltBins | fullLTBins
	allBins      = emptyBins | tBins | ltBins | sBins | otherBins
)

// binKind returns the bit position of the bin's kind in binKinds.
func (b *Bin) binKind() int {
	var kind binKinds
	switch {
	case b.empty():
		kind = emptyBins
	case b.isUTBin():
		kind = utBins
	case b.isTBin():
		kind = fullTBins
	case b.isULLTBin():
		kind = ulltBins
	case b.isLOrLTBin():
		kind = fullLTBins
	case b.isSBin():
		kind = sBins
	default:
		kind = otherBins
	}
	return bits.TrailingZeros8(uint8(kind))
}

// gapSteps is the number of equal steps that the index divides gaps into.
const gapSteps = 16

// gapStep returns the index step of a gap.
func gapStep(gap float64) int { return min(max(int(math.Floor(gap*gapSteps)), 0), gapSteps) }

// slot identifies an index set: the bins of one kind whose gaps are in one step.
type slot struct{ kind, gapStep int }

// currentSlot returns the slot for the bin's current content.
func (b *Bin) currentSlot() slot { return slot{b.binKind(), gapStep(b.Gap())} }

// wordBits is the number of bins per word of a bit set.
const wordBits = 64

// bitSet is a set of positions in Space.Bins.
type bitSet []uint64

func (s bitSet) assign(i int, on bool) {
	if on {
		s[i/wordBits] |= 1 << (i % wordBits)
	} else {
		s[i/wordBits] &^= 1 << (i % wordBits)
	}
}

func (s bitSet) empty() bool {
	return !slices.ContainsFunc(s, func(word uint64) bool { return word != 0 })
}

// sparseBitSet is a bit set in which most words are zero. The summary marks the non-zero words.
type sparseBitSet struct {
	words   bitSet
	summary bitSet
}

func newSparseBitSet(words int) *sparseBitSet {
	return &sparseBitSet{words: make(bitSet, words), summary: make(bitSet, words/wordBits+1)}
}

func (s *sparseBitSet) assign(i int, on bool) {
	s.words.assign(i, on)
	s.summary.assign(i/wordBits, s.words[i/wordBits] != 0)
}

// unionWord returns one word of the union of the sets of some kinds at a gap step.
func (s *Space) unionWord(kinds binKinds, step, word int) uint64 {
	var union uint64
	for ; kinds != 0; kinds &= kinds - 1 {
		union |= s.sets[bits.TrailingZeros8(uint8(kinds))][step].words[word]
	}
	return union
}

// unionSummary returns one word of the union of the summaries of some kinds at a gap step. Its bits
// mark the non-zero words of the union of the sets.
func (s *Space) unionSummary(kinds binKinds, step, word int) uint64 {
	var union uint64
	for ; kinds != 0; kinds &= kinds - 1 {
		union |= s.sets[bits.TrailingZeros8(uint8(kinds))][step].summary[word]
	}
	return union
}

// anyBin calls f for the bins of the given kinds, open or not, in order until f returns true. It
// reports whether f returned true.
func (s *Space) anyBin(kinds binKinds, f func(*Bin) bool) bool {
	for word := range s.open {
		var union uint64
		for kind := range binKindCount {
			if kinds>>kind&1 == 0 {
				continue
			}
			for step := range s.sets[kind] {
				if s.counts[kind][step] > 0 {
					union |= s.sets[kind][step].words[word]
				}
			}
		}
		for ; union != 0; union &= union - 1 {
			if f(s.Bins[word*wordBits+bits.TrailingZeros64(union)]) {
				return true
			}
		}
	}
	return false
}
