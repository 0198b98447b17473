// Package packing is VISBP, the variable item size bin packing of section 3 of the paper that the
// scheduler follows. Machines are bins, tasks are items, and the size of an item is the largest share
// that it takes of any resource of its bin. The package is pure: no clock and no I/O; the caller decides
// which of the moves it lists are carried out.
//
// The paper's words are kept:
//
//   - Items are Tiny (up to a third of a bin), Small (up to a half), Large (up to two thirds) or Big.
//   - The gap of a bin is the share that is left of its fullest resource.
//   - A T-bin holds tiny items only, an S-bin one small item, an L-bin one large item, and an LT-bin
//     one large item with tiny ones. Two small items fill a bin, and so does a big one.
//   - A UT-bin or ULLT-bin is an unfilled T-bin, or L- or LT-bin: one with a gap of at least a third.
//   - A group is some tiny items that are moved together, of at most a third in all. Any two groups
//     of a bin exceed a third together, so that a bin has few of them.
//
// Insert places an item and fills the bin of a large one with groups out of T-bins. Change restores the
// rules after an item has left, or moves groups out of a hot bin. Either lists a bounded number of
// moves (Theorems 2 and 3).
package packing

import "slices"

// Most moves that Insert (Theorem 2) and Change (Theorem 3) may list.
const (
	MaxInsertMoves = 3
	MaxChangeMoves = 7
)

// Move takes a group, or a single item, from one bin into another.
type Move struct {
	Items    []*Item
	From, To *Bin
}

// Rule is the rule by which a bin was found for an item.
type Rule int

// Rules, from the paper's own to the exceptions.
const (
	NoBin     Rule = iota // nothing has room
	PaperRule             // one of the paper's combinations
	TopUp                 // a tiny item into a T- or LT-bin that is filled, with room to spare
	FirstFit              // no combination is possible: any bin with room
)

// operation is one Insert or Change, with the moves that it has listed.
type operation struct {
	space    *Space
	allowed  func(*Bin) bool // the bins that items may be placed in; nil: all
	maxMoves int
	moves    []Move
}

// Insert finds a bin for an item, puts it there and lists the moves that the
// paper asks for. allowed reports whether the item may be in a bin at all; nil: in any.
func (s *Space) Insert(item *Item, allowed func(*Bin) bool) (*Bin, []Move, Rule) {
	o := &operation{space: s, allowed: allowed, maxMoves: MaxInsertMoves}
	b, rule := o.place(item)
	if b == nil {
		return nil, nil, NoBin
	}
	b.Add(item)
	if item.kind == Large && rule == PaperRule {
		o.fill(b)
	}
	return b, o.moves, rule
}

// find finds the best open bin of the given kinds with room for an item.
func (o *operation) find(item *Item, among binKinds) *Bin {
	return o.space.search(item, among, o.allowed)
}

// combinations are the kinds of bins, by the kind of an item, that the paper lets it join, the preferred
// ones first. Every item may have an empty bin.
var combinations = [...][]binKinds{Tiny: {ulltBins, utBins}, Small: {sBins}, Large: nil, Big: nil}

// place finds a bin by the paper's rules, else by the two exceptions. The kind
// of an item depends on the bin's capacity, which is the same for all of a space.
func (o *operation) place(item *Item) (*Bin, Rule) {
	if len(o.space.Bins) == 0 {
		return nil, NoBin
	}
	kind := Classify(o.space.Bins[0].Capacity.Share(item.Request))
	for _, among := range combinations[kind] {
		if b := o.find(item, among); b != nil {
			return b, PaperRule
		}
	}
	if kind == Tiny {
		// Requests are reserved in full, so the last third of a machine need not stay
		// free for growth: a filled T- or LT-bin may be filled up.
		if b := o.find(item, tBins|ltBins); b != nil {
			return b, TopUp
		}
	}
	if b := o.find(item, emptyBins); b != nil {
		return b, PaperRule
	}
	if !o.space.NoFirstFit && item.RequireLabel == "" {
		if b := o.find(item, allBins); b != nil {
			return b, FirstFit
		}
	}
	return nil, NoBin
}

// mayMove reports whether the operation may list another move.
func (o *operation) mayMove() bool { return len(o.moves) < o.maxMoves }

// move moves a group if every item of it may move, and the whole fits. It reports whether it did.
func (o *operation) move(group []*Item, from, to *Bin) bool {
	var sum Resources
	for _, item := range group {
		if !o.space.movable(item) || o.space.Worthwhile != nil && !o.space.Worthwhile(item, to) {
			return false
		}
		sum = sum.Add(item.Request)
	}
	if !o.mayMove() || to == from || !to.open || !to.Fits(sum) || o.allowed != nil && !o.allowed(to) {
		return false
	}
	for _, item := range group {
		from.Remove(item)
		to.Add(item)
	}
	o.moves = append(o.moves, Move{Items: group, From: from, To: to})
	return true
}

// fill moves groups out of T-bins into an L- or LT-bin while it has a gap of a third.
func (o *operation) fill(b *Bin) {
	for o.mayMove() && b.Gap() >= Third-eps {
		if !o.fillFrom(b, utBins) && !o.fillFrom(b, tBins) {
			return
		}
	}
}

// fillFrom moves one group out of a bin of the given kinds into b, and reports whether there was one.
func (o *operation) fillFrom(b *Bin, among binKinds) bool {
	return o.space.anyBin(among, func(source *Bin) bool {
		if source == b || !slices.ContainsFunc(source.items, o.space.movable) {
			return false
		}
		for _, group := range source.groups() {
			if o.move(group, source, b) {
				return true
			}
		}
		return false
	})
}

// moveInto moves a group into the first bin of the given kinds that may take it.
func (o *operation) moveInto(among binKinds, group []*Item, from *Bin) bool {
	if !o.mayMove() {
		return false
	}
	for _, item := range group {
		if !o.space.movable(item) {
			return false
		}
	}
	return o.space.anyBin(among, func(b *Bin) bool { return b != from && o.move(group, from, b) })
}

// placeGroup moves a group out of its bin into one that may take it.
func (o *operation) placeGroup(group []*Item, from *Bin) bool {
	return o.moveInto(ulltBins, group, from) || o.moveInto(utBins, group, from) || o.moveInto(emptyBins, group, from)
}

// adjust cools or fills an L- or LT-bin; the two exclude each other.
func (o *operation) adjust(b *Bin) {
	if b.Overloaded() {
		o.relieve(b)
	} else {
		o.fill(b)
	}
}

// relieve moves groups out while the bin is hot.
func (o *operation) relieve(b *Bin) {
	for _, group := range b.groups() {
		if !o.mayMove() || !b.Overloaded() {
			return
		}
		before := b.Capacity.Share(b.used)
		if o.placeGroup(group, b) {
			b.PredictedLoad -= before - b.Capacity.Share(b.used)
		}
	}
}

// spread moves the groups of a bin into bins of the given kinds while these have room.
func (o *operation) spread(b *Bin, among binKinds) {
	if !slices.ContainsFunc(b.items, o.space.movable) {
		return
	}
	for _, group := range b.groups() {
		if !o.moveInto(among, group, b) {
			return
		}
	}
}

// otherBin returns the first open bin of the given kinds but one.
func (o *operation) otherBin(among binKinds, but *Bin) *Bin {
	var found *Bin
	o.space.anyBin(among, func(b *Bin) bool {
		if b == but || !b.open {
			return false
		}
		found = b
		return true
	})
	return found
}

// Change restores the rules of a bin after an item in it changed from the kind old to the kind now, or
// when it is hot. A finished task is an item that changed to zero and has
// left the bin, so what the paper does to the item itself falls away, and the
// table of section 3.4 is reduced to the row "X to T".
func (s *Space) Change(b *Bin, old, now Kind, allowed func(*Bin) bool) []Move {
	o := &operation{space: s, allowed: allowed, maxMoves: MaxChangeMoves}
	switch {
	case b.Overloaded():
		o.relieve(b)
	case old == Big && now == Large, old == Large && now == Large:
		o.adjust(b)
	case old == Large && now == Tiny:
		o.afterLargeLeft(b)
	case old == Small && now == Tiny:
		o.afterSmallLeft(b)
	case old == Tiny && now == Tiny:
		if b.kindCounts[Large] > 0 {
			o.adjust(b)
		} else if b.isUTBin() {
			o.spread(b, utBins)
		}
	default:
		// An item that grew: the tiny ones around it are moved out.
		for _, group := range b.groups() {
			o.placeGroup(group, b)
		}
	}
	return o.moves
}

// afterLargeLeft moves what was packed around a large item to where it would have been placed without
// that.
func (o *operation) afterLargeLeft(b *Bin) {
	if o.otherBin(tBins, b) != nil {
		o.spread(b, utBins)
	} else {
		o.spread(b, ulltBins)
	}
}

// afterSmallLeft joins the small item that is left alone with another one.
func (o *operation) afterSmallLeft(b *Bin) {
	item := b.soleItem(Small)
	if item == nil || len(b.items) != 1 {
		return
	}
	if to := o.otherBin(sBins, b); to != nil {
		o.move([]*Item{item}, b, to)
	}
}
