package packing

import "math/bits"

// gapMargin is subtracted from the gap that an item needs, so that rounding errors exclude no bin
// that may fit.
const gapMargin = 1e-6

// query is the state of a search for a bin for one item.
type query struct {
	item     *Item
	firstGap int                    // the lowest gap step at which the item may fit
	kinds    [gapSteps + 1]binKinds // by gap step, the kinds to search, without those that have no bins
	required bitSet                 // the bins with the required label; nil: none is required
	excluded bitSet                 // the bins with the excluded label; nil: there are none
	allowed  func(*Bin) bool        // nil: all bins are allowed
}

// filter returns those bins of a word of a bit set that are open and satisfy the item's required and
// excluded labels. word is the index of the word, bins its content.
func (q *query) filter(open bitSet, word int, bins uint64) uint64 {
	bins &= open[word]
	if q.required != nil {
		bins &= q.required[word]
	}
	if q.excluded != nil {
		bins &^= q.excluded[word]
	}
	return bins
}

// fits reports whether the bin is allowed and the item fits into it.
func (q *query) fits(b *Bin) bool {
	return b.Fits(q.item.Request) && (q.allowed == nil || q.allowed(b))
}

// search returns the best open bin of the given kinds that an item fits into, by Space.Ranked, or nil.
// The space must not be empty.
func (s *Space) search(item *Item, kinds binKinds, allowed func(*Bin) bool) *Bin {
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
			if kinds>>kind&1 == 1 && s.counts[kind][step] > 0 {
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

// searchFirst returns the first bin that matches the query, or nil.
func (s *Space) searchFirst(q *query) *Bin {
	for word := range s.open {
		var matches uint64
		for step := q.firstGap; step <= gapSteps; step++ {
			matches |= s.unionWord(q.kinds[step], step, word)
		}
		for matches = q.filter(s.open, word, matches); matches != 0; matches &= matches - 1 {
			if b := s.Bins[word*wordBits+bits.TrailingZeros64(matches)]; q.fits(b) {
				return b
			}
		}
	}
	return nil
}

// searchRanked returns the best bin that matches the query, or nil. Bins are ranked by the preferred
// labels that they have, by weight, then by smallest gap, then by order.
func (s *Space) searchRanked(q *query) *Bin {
	// The candidates do not depend on the preferred labels. Most searches find no candidate and end
	// here.
	var found [gapSteps + 1]bool
	anyFound := false
	for step := q.firstGap; step <= gapSteps; step++ {
		if q.kinds[step] != 0 {
			found[step] = s.collectCandidates(q, step)
			anyFound = anyFound || found[step]
		}
	}
	if !anyFound {
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

// candidateWord is a non-zero word of a bit set.
type candidateWord struct {
	index int
	bits  uint64
}

// collectCandidates stores in s.candidates the non-zero words of the bins that a query may match at a
// gap step, and reports whether there are any.
func (s *Space) collectCandidates(q *query, step int) bool {
	found := s.candidates[step][:0]
	for part := range len(s.open)/wordBits + 1 {
		for summary := s.unionSummary(q.kinds[step], step, part); summary != 0; summary &= summary - 1 {
			word := part*wordBits + bits.TrailingZeros64(summary)
			matches := q.filter(s.open, word, s.unionWord(q.kinds[step], step, word))
			if matches != 0 {
				found = append(found, candidateWord{word, matches})
			}
		}
	}
	s.candidates[step] = found
	return len(found) > 0
}

// fullest returns the fullest candidate that fits and has exactly the preferred labels of a tier, or
// nil. The bits of a tier are the preferred labels; the highest bit is the one with most weight.
func (s *Space) fullest(q *query, candidates []candidateWord, preferred []bitSet, tier int) *Bin {
	var found *Bin
	for _, candidate := range candidates {
		matches := withLabels(candidate, preferred, tier)
		for ; matches != 0; matches &= matches - 1 {
			b := s.Bins[candidate.index*wordBits+bits.TrailingZeros64(matches)]
			if (found == nil || b.Gap() < found.Gap()) && q.fits(b) {
				found = b
			}
		}
	}
	return found
}

// withLabels returns the bins of a candidate word that have exactly the preferred labels of a tier.
func withLabels(candidate candidateWord, preferred []bitSet, tier int) uint64 {
	matches := candidate.bits
	for i, labelled := range preferred {
		if matches == 0 {
			break
		}
		wanted := tier>>(len(preferred)-1-i)&1 == 1
		switch {
		case wanted && labelled == nil:
			matches = 0
		case wanted:
			matches &= labelled[candidate.index]
		case labelled != nil:
			matches &^= labelled[candidate.index]
		}
	}
	return matches
}
