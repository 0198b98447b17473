package packing

import "math/bits"

// gapMargin is subtracted from the gap that an item needs, so that rounding excludes no bin that may fit.
const gapMargin = 1e-6

// query is a search for a bin for one item.
type query struct {
	item     *Item
	firstGap int                    // the first step of gaps at which the item may fit
	kinds    [gapSteps + 1]binKinds // by step, the kinds of which there are bins
	required bitSet                 // the bins with the label that the item requires; nil: it requires none
	excluded bitSet                 // the bins with the label that the item excludes; nil: there are none
	allowed  func(*Bin) bool        // nil: all
}

// filter returns those of the bins of a word that are open and have the labels that the item needs.
func (q *query) filter(open bitSet, word int, union uint64) uint64 {
	union &= open[word]
	if q.required != nil {
		union &= q.required[word]
	}
	if q.excluded != nil {
		union &^= q.excluded[word]
	}
	return union
}

// fits reports whether the item fits into a bin that the caller allows.
func (q *query) fits(b *Bin) bool {
	return b.Fits(q.item.Request) && (q.allowed == nil || q.allowed(b))
}

// search finds the best open bin of the given kinds that an item fits into.
func (s *Space) search(item *Item, among binKinds, allowed func(*Bin) bool) *Bin {
	q := query{item: item, allowed: allowed}
	q.required = s.byLabel[item.RequireLabel]
	if item.RequireLabel != "" && q.required == nil {
		return nil
	}
	q.excluded = s.byLabel[item.ExcludeLabel] // no bin has the label ""
	q.firstGap = gapStep(smallestShare(s.Bins[0].Capacity, item.Request) - gapMargin)
	var all binKinds
	for step := q.firstGap; step <= gapSteps; step++ {
		for kind := range binKindCount {
			if among>>kind&1 == 1 && s.counts[kind][step] > 0 {
				q.kinds[step] |= 1 << kind
			}
		}
		all |= q.kinds[step]
	}
	switch {
	case all == 0:
		return nil
	case s.Ranked:
		return s.searchRanked(&q)
	}
	return s.searchFirst(&q)
}

// searchFirst finds the first bin.
func (s *Space) searchFirst(q *query) *Bin {
	for word := range s.open {
		var union uint64
		for step := q.firstGap; step <= gapSteps; step++ {
			union |= s.unionWord(q.kinds[step], step, word)
		}
		for union = q.filter(s.open, word, union); union != 0; union &= union - 1 {
			if b := s.Bins[word*wordBits+bits.TrailingZeros64(union)]; q.fits(b) {
				return b
			}
		}
	}
	return nil
}

// searchRanked finds the bin that has the labels which the item prefers, the weightiest first, then the
// fullest, then the first.
func (s *Space) searchRanked(q *query) *Bin {
	// Which bins are candidates does not depend on the preferred labels: most searches end here, as
	// none is.
	var found [gapSteps + 1]bool
	some := false
	for step := q.firstGap; step <= gapSteps; step++ {
		if q.kinds[step] != 0 {
			found[step] = s.collectCandidates(q, step)
			some = some || found[step]
		}
	}
	if !some {
		return nil
	}
	n := len(q.item.PreferLabels)
	preferred := make([]bitSet, n)
	for i, name := range q.item.PreferLabels {
		preferred[i] = s.byLabel[name]
	}
	for tier := 1<<n - 1; tier >= 0; tier-- {
		for step := q.firstGap; step <= gapSteps; step++ {
			if !found[step] {
				continue
			}
			if b := s.fullest(q, s.candidates[step], preferred, tier); b != nil {
				return b
			}
		}
	}
	return nil
}

// candidateWord is a word of a set, with at least one bin in it.
type candidateWord struct {
	index int
	bits  uint64
}

// collectCandidates collects the candidates of a step, and reports whether there are any.
func (s *Space) collectCandidates(q *query, step int) bool {
	found := s.candidates[step][:0]
	for part := range len(s.open)/wordBits + 1 {
		for some := s.unionSummary(q.kinds[step], step, part); some != 0; some &= some - 1 {
			word := part*wordBits + bits.TrailingZeros64(some)
			union := q.filter(s.open, word, s.unionWord(q.kinds[step], step, word))
			if union != 0 {
				found = append(found, candidateWord{word, union})
			}
		}
	}
	s.candidates[step] = found
	return len(found) > 0
}

// fullest finds the fullest of the candidates that fits and has just the preferred labels of a tier, whose
// bits are the labels, the weightiest the highest.
func (s *Space) fullest(q *query, candidates []candidateWord, preferred []bitSet, tier int) *Bin {
	var found *Bin
	for _, candidate := range candidates {
		union := withLabels(candidate, preferred, tier)
		for ; union != 0; union &= union - 1 {
			b := s.Bins[candidate.index*wordBits+bits.TrailingZeros64(union)]
			if (found == nil || b.Gap() < found.Gap()) && q.fits(b) {
				found = b
			}
		}
	}
	return found
}

// withLabels returns those of the bins of a word that have just the preferred labels of a tier.
func withLabels(candidate candidateWord, preferred []bitSet, tier int) uint64 {
	union := candidate.bits
	for i, labelled := range preferred {
		if union == 0 {
			break
		}
		wanted := tier>>(len(preferred)-1-i)&1 == 1
		switch {
		case wanted && labelled == nil:
			union = 0
		case wanted:
			union &= labelled[candidate.index]
		case labelled != nil:
			union &^= labelled[candidate.index]
		}
	}
	return union
}
