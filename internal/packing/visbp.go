// Package packing implements VISBP, the variable item size bin packing of section 3 of the paper that
// the scheduler implements. Machines are bins, tasks are items, and the size of an item is the largest
// share that it takes of any resource of its bin. The package is pure: no clock and no I/O. The bins
// already reflect the returned moves; the caller decides which of them are executed.
//
// The package uses the paper's terms:
//
//   - Items are Tiny (up to a third of a bin), Small (up to a half), Large (up to two thirds) or Big.
//   - The gap of a bin is the free share of its fullest resource.
//   - A T-bin holds tiny items only, an S-bin one small item, an L-bin one large item, and an LT-bin
//     one large item with tiny ones. Two small items fill a bin, and so does a big one.
//   - A UT-bin or ULLT-bin is an unfilled T-bin, or L- or LT-bin: one with a gap of at least a third.
//   - A group is a set of tiny items that are moved together, of at most a third in total. Any two
//     groups of a bin exceed a third together, so that a bin has few groups.
//
// Insert places an item, and fills the bin of a large item with groups from T-bins. Change restores
// the rules after an item was removed, or moves groups out of an overloaded (hot) bin. Both return a
// bounded number of moves (Theorems 2 and 3).
package packing

import "slices"

// Maximum number of moves that Insert (Theorem 2) and Change (Theorem 3) return.
const (
	MaxInsertMoves = 3
	MaxChangeMoves = 7
)

// Move is a move of a group, or of a single item, from one bin to another.
type Move struct {
	Items    []*Item
	From, To *Bin
}

// Rule is the rule by which a bin was selected for an item.
type Rule int

// Rules: the paper's and the two exceptions.
const (
	NoBin     Rule = iota // no bin fits the item
	PaperRule             // one of the paper's combinations
	TopUp                 // a tiny item into a filled T-, L- or LT-bin that it still fits into
	FirstFit              // no combination is possible: any bin that the item fits into
)

// operation is one Insert or Change, with its moves so far.
type operation struct {
	space    *Space
	allowed  func(*Bin) bool // whether items may be placed in a bin; nil: in all
	maxMoves int
	moves    []Move
}

// Insert selects a bin for an item, adds the item to it and returns the moves that the paper
// requires. allowed reports whether items may be placed in a bin; nil: in all. Without a bin for the
// item, Insert returns nil and NoBin.
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

// find returns the best allowed, open bin of the given kinds that an item fits into, or nil.
func (o *operation) find(item *Item, kinds binKinds) *Bin {
	return o.space.search(item, kinds, o.allowed)
}

// combinations lists the kinds of non-empty bins that the paper allows for an item, by the kind of the
// item, the preferred ones first. Every item may be placed in an empty bin.
var combinations = [...][]binKinds{Tiny: {ulltBins, utBins}, Small: {sBins}, Large: nil, Big: nil}

// place selects a bin by the paper's rules, else by the two exceptions TopUp and FirstFit; nil: no bin
// fits. The kind of an item depends on the bin's capacity, which is the same for all bins of a space.
func (o *operation) place(item *Item) (*Bin, Rule) {
	if len(o.space.Bins) == 0 {
		return nil, NoBin
	}
	kind := Classify(o.space.Bins[0].Capacity.Share(item.Request))
	for _, kinds := range combinations[kind] {
		if b := o.find(item, kinds); b != nil {
			return b, PaperRule
		}
	}
	if kind == Tiny {
		// Requests are reserved in full, so the last third of a bin need not stay free for growth:
		// a filled T-, L- or LT-bin may take more tiny items.
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

// mayMove reports whether the operation has fewer than the maximum number of moves.
func (o *operation) mayMove() bool { return len(o.moves) < o.maxMoves }

// move moves a group if each item may be moved and is worth it, the target is another, open and
// allowed bin that the whole group fits into, and mayMove holds. It reports whether it did.
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

// fill moves groups from T-bins into an L- or LT-bin while the gap of the latter is at least a third.
func (o *operation) fill(b *Bin) {
	for o.mayMove() && b.Gap() >= Third-eps {
		if !o.fillFrom(b, utBins) && !o.fillFrom(b, tBins) {
			return
		}
	}
}

// fillFrom moves one group from a bin of the given kinds into b, and reports whether it did.
func (o *operation) fillFrom(b *Bin, kinds binKinds) bool {
	return o.space.anyBin(kinds, func(source *Bin) bool {
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

// moveInto moves a group into the first bin of the given kinds that accepts it, and reports whether
// it did.
func (o *operation) moveInto(kinds binKinds, group []*Item, from *Bin) bool {
	if !o.mayMove() {
		return false
	}
	for _, item := range group {
		if !o.space.movable(item) {
			return false
		}
	}
	return o.space.anyBin(kinds, func(b *Bin) bool { return b != from && o.move(group, from, b) })
}

// placeGroup moves a group into another bin and reports whether it did. As for a single tiny item,
// it prefers a ULLT-bin, then a UT-bin, then an empty bin.
func (o *operation) placeGroup(group []*Item, from *Bin) bool {
	return o.moveInto(ulltBins, group, from) || o.moveInto(utBins, group, from) || o.moveInto(emptyBins, group, from)
}

// adjust relieves an overloaded L- or LT-bin, else fills it.
func (o *operation) adjust(b *Bin) {
	if b.Overloaded() {
		o.relieve(b)
	} else {
		o.fill(b)
	}
}

// relieve moves groups out of a bin while the bin is overloaded.
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

// spread moves the groups of a bin into bins of the given kinds, until one cannot be moved.
func (o *operation) spread(b *Bin, kinds binKinds) {
	if !slices.ContainsFunc(b.items, o.space.movable) {
		return
	}
	for _, group := range b.groups() {
		if !o.moveInto(kinds, group, b) {
			return
		}
	}
}

// otherBin returns the first open bin of the given kinds other than the excepted one, or nil.
func (o *operation) otherBin(kinds binKinds, except *Bin) *Bin {
	var found *Bin
	o.space.anyBin(kinds, func(b *Bin) bool {
		if b == except || !b.open {
			return false
		}
		found = b
		return true
	})
	return found
}

// Change restores the rules of a bin after an item changed from the kind old to the kind now, or if
// the bin is overloaded, and returns the moves. A finished task is an item that shrank to zero and was
// removed from the bin. The paper's steps for the item itself then do not apply, and the table of
// section 3.4 is reduced to the row "X to T".
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
		// Any other change, such as an item that grew: the tiny items of the bin are moved out.
		for _, group := range b.groups() {
			o.placeGroup(group, b)
		}
	}
	return o.moves
}

// afterLargeLeft moves the tiny items that were packed with a removed large item into the bins where
// they would have been placed without the large item.
func (o *operation) afterLargeLeft(b *Bin) {
	if o.otherBin(tBins, b) != nil {
		o.spread(b, utBins)
	} else {
		o.spread(b, ulltBins)
	}
}

// afterSmallLeft moves the small item that remains alone in a bin to another bin with one small item.
func (o *operation) afterSmallLeft(b *Bin) {
	item := b.soleItem(Small)
	if item == nil || b.count != 1 {
		return
	}
	if to := o.otherBin(sBins, b); to != nil {
		o.move([]*Item{item}, b, to)
	}
}
