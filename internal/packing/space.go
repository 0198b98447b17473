package packing

import (
	"math"
	"math/bits"
	"slices"
)

// kinds is a set of the kinds of bins that the rules tell apart.
type kinds uint8

// Every bin is of just one of these; the paper's kinds are unions of them.
const (
	isEmpty  kinds = 1 << iota
	isUT           // T-bin with a gap of at least a third
	isFullT        // T-bin with less
	isULLT         // L- or LT-bin with a gap of at least a third
	isFullLT       // L- or LT-bin with less
	isS            // one small item
	isOther        // any other combination
	lastKind = iota
	isT      = isUT | isFullT
	isLT     = isULLT | isFullLT
	isAny    = isEmpty | isT | isLT | isS | isOther
)

func (b *Bin) kindOf() int {
	var k kinds
	switch {
	case b.empty():
		k = isEmpty
	case b.ut():
		k = isUT
	case b.tBin():
		k = isFullT
	case b.ullt():
		k = isULLT
	case b.lOrLT():
		k = isFullLT
	case b.sBin():
		k = isS
	default:
		k = isOther
	}
	return bits.TrailingZeros8(uint8(k))
}

// steps is how finely the index sorts bins by their gap.
const steps = 16

func step(gap float64) int { return min(max(int(math.Floor(gap*steps)), 0), steps) }

// slot names a set of the index: bins of one kind whose gaps lie in one step.
type slot struct{ kind, step int }

// set holds places of bins in a space.
type set []uint64

func (s set) put(i int, on bool) {
	if on {
		s[i/64] |= 1 << (i % 64)
	} else {
		s[i/64] &^= 1 << (i % 64)
	}
}

// sparse is a set that is mostly empty: its summary tells which words are not.
type sparse struct {
	words   set
	summary set
}

func newSparse(words int) *sparse { return &sparse{make(set, words), make(set, words/64+1)} }

func (s *sparse) put(i int, on bool) {
	s.words.put(i, on)
	s.summary.put(i/64, s.words[i/64] != 0)
}

// word is a part of a set that is not empty.
type word struct {
	at   int
	bits uint64
}

// Space is the bins that are packed together: machines of one type. They are
// indexed by kind and gap, so that an item is placed, or found to have no room,
// without a look at every bin. The answers are those of a search over all bins in
// their order.
type Space struct {
	Bins []*Bin // in their order; Add and Drop change it
	// Ranked chooses among the bins that the paper's "exists b" leaves equal: by
	// the marks that the item prefers, then the fullest, then the first. Otherwise
	// the first one is taken.
	Ranked bool
	// OnlyPaper leaves first fit out, for virtual bins in rental.
	NoFirstFit bool
	// Movable says whether an item may be moved merely to fill or empty a bin;
	// nil: as the item says.
	Movable func(*Item) bool
	// Suits says whether a move of an item into a bin is worth what it costs; nil: yes.
	Worthwhile func(it *Item, to *Bin) bool

	sets   [lastKind][steps + 1]*sparse
	counts [lastKind][steps + 1]int
	open   set
	marked map[string]set

	inQuestion [steps + 1][]word // of the search under way
}

func (s *Space) movable(it *Item) bool {
	if s.Movable != nil {
		return s.Movable(it)
	}
	return it.Movable
}

// Has says whether the space has the bin.
func (s *Space) Has(b *Bin) bool { return b.space == s }

// Add takes in a bin, in the order of names; bins of one name stay as they came.
func (s *Space) Add(b *Bin) {
	i := len(s.Bins)
	for i > 0 && s.Bins[i-1].ID > b.ID {
		i--
	}
	s.Bins = slices.Insert(s.Bins, i, b)
	if i < len(s.Bins)-1 || len(s.Bins) > 64*len(s.open) {
		s.rebuild()
		return
	}
	s.enter(b, i)
}

// Remove takes a bin out.
func (s *Space) Remove(b *Bin) {
	if b.space != s {
		return
	}
	s.Bins = slices.Delete(s.Bins, b.pos, b.pos+1)
	b.space = nil
	s.rebuild()
}

func (s *Space) rebuild() {
	words := len(s.Bins)/64 + 1
	for k := range s.sets {
		for g := range s.sets[k] {
			s.sets[k][g], s.counts[k][g] = nil, 0 // made when it is needed
		}
	}
	s.open, s.marked = make(set, words), map[string]set{}
	for i, b := range s.Bins {
		s.enter(b, i)
	}
}

func (s *Space) enter(b *Bin, i int) {
	b.space, b.pos = s, i
	b.at = slot{b.kindOf(), step(b.Gap())}
	s.file(b, true)
	s.open.put(i, b.open)
	for _, m := range b.marks {
		s.mark(m).put(i, true)
	}
}

func (s *Space) file(b *Bin, on bool) {
	at := &s.sets[b.at.kind][b.at.step]
	if *at == nil {
		*at = newSparse(len(s.open))
	}
	(*at).put(b.pos, on)
	if on {
		s.counts[b.at.kind][b.at.step]++
	} else {
		s.counts[b.at.kind][b.at.step]--
	}
}

func (s *Space) mark(name string) set {
	m := s.marked[name]
	if m == nil {
		m = make(set, len(s.open))
		s.marked[name] = m
	}
	return m
}

// moved notes that what a bin holds has changed.
func (b *Bin) moved() {
	b.free, b.gap = b.Capacity.Sub(b.used).Sub(b.owed), 1-b.Capacity.Share(b.used.Add(b.owed))
	if b.space == nil {
		return
	}
	at := slot{b.kindOf(), step(b.Gap())}
	if at != b.at {
		b.space.file(b, false)
		b.at = at
		b.space.file(b, true)
	}
}

// least is the smallest share that an item takes in any dimension of a capacity:
// a bin with a smaller gap cannot take it.
func least(c, req Resources) float64 {
	l := 1.0
	for _, d := range [...]struct{ c, r float64 }{{c.CPU, req.CPU}, {c.GPU, req.GPU}, {c.Mem, req.Mem}} {
		if d.c > 0 {
			l = min(l, d.r/d.c)
		}
	}
	return l
}

// search finds the best open bin of the given kinds that an item fits into.
func (s *Space) search(it *Item, is kinds, ok func(*Bin) bool) *Bin {
	fits := func(b *Bin) bool { return b.Fits(it.Request) && (ok == nil || ok(b)) }
	only := s.marked[it.RequireLabel]
	if it.RequireLabel != "" && only == nil {
		return nil
	}
	not := s.marked[it.ExcludeLabel] // "" marks nothing
	from := step(least(s.Bins[0].Capacity, it.Request) - 1e-6)
	var room [steps + 1]kinds // by step, the kinds of which there are bins
	var all kinds
	for g := from; g <= steps; g++ {
		for k := range lastKind {
			if is>>k&1 == 1 && s.counts[k][g] > 0 {
				room[g] |= 1 << k
			}
		}
		all |= room[g]
	}
	if all == 0 {
		return nil
	}
	if !s.Ranked {
		for w := range s.open {
			var x uint64
			for g := from; g <= steps; g++ {
				x |= s.word(room[g], g, w)
			}
			if only != nil {
				x &= only[w]
			}
			if not != nil {
				x &^= not[w]
			}
			for x &= s.open[w]; x != 0; x &= x - 1 {
				if b := s.Bins[w*64+bits.TrailingZeros64(x)]; fits(b) {
					return b
				}
			}
		}
		return nil
	}
	return s.searchRanked(it, from, room, only, not, fits)
}

// searchRanked finds, among the bins of the given kinds by step, the one that has the marks the item
// prefers, the weightiest first, then the fullest, then the first.
func (s *Space) searchRanked(it *Item, from int, room [steps + 1]kinds, only, not set, fits func(*Bin) bool) *Bin {
	// Which bins are in question does not depend on the marks: most searches end here, as none is.
	var found [steps + 1]bool
	some := false
	for g := from; g <= steps; g++ {
		if room[g] != 0 {
			found[g] = s.gather(g, room[g], only, not)
			some = some || found[g]
		}
	}
	if !some {
		return nil
	}
	n := len(it.PreferLabels)
	preferred := make([]set, n)
	for i, name := range it.PreferLabels {
		preferred[i] = s.marked[name]
	}
	for tier := 1<<n - 1; tier >= 0; tier-- {
		for g := from; g <= steps; g++ {
			if !found[g] {
				continue
			}
			if b := s.fullest(s.inQuestion[g], preferred, tier, fits); b != nil {
				return b
			}
		}
	}
	return nil
}

// gather notes which bins of a step are in question, and says whether any is.
func (s *Space) gather(g int, is kinds, only, not set) bool {
	found := s.inQuestion[g][:0]
	for part := range len(s.open)/64 + 1 {
		for some := s.someWords(is, g, part); some != 0; some &= some - 1 {
			w := part*64 + bits.TrailingZeros64(some)
			x := s.word(is, g, w) & s.open[w]
			if only != nil {
				x &= only[w]
			}
			if not != nil {
				x &^= not[w]
			}
			if x != 0 {
				found = append(found, word{w, x})
			}
		}
	}
	s.inQuestion[g] = found
	return len(found) > 0
}

// fullest finds the fullest bin of a set that fits and has just the preferred marks of a tier: its
// bits are the marks, the weightiest the highest.
func (s *Space) fullest(among []word, preferred []set, tier int, fits func(*Bin) bool) *Bin {
	var found *Bin
	for _, part := range among {
		w, x := part.at, part.bits
		for i, m := range preferred {
			if x == 0 {
				break
			}
			switch wanted := tier>>(len(preferred)-1-i)&1 == 1; {
			case wanted && m == nil:
				x = 0
			case wanted:
				x &= m[w]
			case m != nil:
				x &^= m[w]
			}
		}
		for ; x != 0; x &= x - 1 {
			b := s.Bins[w*64+bits.TrailingZeros64(x)]
			if (found == nil || b.Gap() < found.Gap()) && fits(b) {
				found = b
			}
		}
	}
	return found
}

// word is a word of the union of the sets of some kinds at a step.
func (s *Space) word(is kinds, g, w int) uint64 {
	var x uint64
	for ; is != 0; is &= is - 1 {
		x |= s.sets[bits.TrailingZeros8(uint8(is))][g].words[w]
	}
	return x
}

// someWords is a word of the union of their summaries: which words of that union are not empty.
func (s *Space) someWords(is kinds, g, part int) uint64 {
	var x uint64
	for ; is != 0; is &= is - 1 {
		x |= s.sets[bits.TrailingZeros8(uint8(is))][g].summary[part]
	}
	return x
}

// any calls f for the bins of the given kinds, in their order, until it says yes.
func (s *Space) any(is kinds, f func(*Bin) bool) bool {
	for w := range s.open {
		var x uint64
		for k := range lastKind {
			if is>>k&1 == 0 {
				continue
			}
			for g := range s.sets[k] {
				if s.counts[k][g] > 0 {
					x |= s.sets[k][g].words[w]
				}
			}
		}
		for ; x != 0; x &= x - 1 {
			if f(s.Bins[w*64+bits.TrailingZeros64(x)]) {
				return true
			}
		}
	}
	return false
}
