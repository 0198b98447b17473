// Package packing is VISBP, the variable item size bin packing of the paper's
// section 3: machines are bins, tasks are items sized by their largest share
// of a machine. It is pure: no clock and no I/O; whoever calls it decides which
// of the moves it lists are carried out.
package packing

import "slices"

// Resources is an amount in every dimension.
type Resources struct{ CPU, GPU, Mem float64 }

// Add returns v + w.
func (v Resources) Add(w Resources) Resources {
	return Resources{v.CPU + w.CPU, v.GPU + w.GPU, v.Mem + w.Mem}
}

// Sub returns v - w.
func (v Resources) Sub(w Resources) Resources {
	return Resources{v.CPU - w.CPU, v.GPU - w.GPU, v.Mem - w.Mem}
}

// eps forgives the rounding of decimal amounts that were added and taken away.
const eps = 1e-9

// Fits says whether w fits into what v leaves free.
func (v Resources) Fits(w Resources) bool {
	return w.CPU <= v.CPU+eps && w.GPU <= v.GPU+eps && w.Mem <= v.Mem+eps
}

// Share is the largest share that w takes of capacity v (section 3.8).
func (v Resources) Share(w Resources) float64 {
	return max(ratio(w.CPU, v.CPU), ratio(w.GPU, v.GPU), ratio(w.Mem, v.Mem))
}

func ratio(a, b float64) float64 {
	switch {
	case a <= 0:
		return 0
	case b <= 0:
		return 2 // cannot fit
	}
	return a / b
}

// Kind is the type of an item (Definition 2).
type Kind int

// Kinds of items, from small to large.
const (
	Tiny Kind = iota
	Small
	Large
	Big
)

// Third is the size up to which an item is tiny and from which a gap gapes.
const Third = 1.0 / 3

// Classify gives the type of an item of the given size.
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

// Most moves that the two operations may list (Theorems 2 and 3).
const (
	MaxInsertMoves = 3
	MaxChangeMoves = 7
)

// Item is a task on a machine or about to be.
type Item struct {
	ID           string
	Request      Resources
	Movable      bool     // may be moved merely to fill or empty a bin, unless its space knows better
	PreferLabels []string // marks of bins to prefer, the weightiest first
	RequireLabel string   // a mark that the bin must have; then it goes by the paper's rules or nowhere
	ExcludeLabel string   // a mark that the bin must not have, while it is being placed
	Owner        any      // whose item it is; nothing to the packing
	kind         Kind
}

// Bin is a machine.
type Bin struct {
	ID       string
	Capacity Resources
	Load     float64 // predicted use; 0 where nothing is predicted
	Owner    any     // whose bin it is; nothing to the packing
	open     bool
	used     Resources
	owed     Resources // room that is spoken for by items that are not here yet
	free     Resources // what that leaves
	gap      float64
	items    []*Item
	count    [4]int
	marks    []string

	space *Space // where it is indexed; nil: nowhere
	pos   int    // its place there
	at    slot   // the set of the index that has it
}

// NewBin returns an empty bin that takes items.
func NewBin(id string, capacity Resources) *Bin {
	b := &Bin{ID: id, Capacity: capacity, open: true}
	b.moved()
	return b
}

// Open says whether the bin may take items.
func (b *Bin) Open() bool { return b.open }

// SetOpen says whether the bin may take items.
func (b *Bin) SetOpen(open bool) {
	if b.open == open {
		return
	}
	b.open = open
	if b.space != nil {
		b.space.open.put(b.pos, open)
	}
}

// SetCap gives the bin another capacity, which may change what its items are.
func (b *Bin) SetCap(c Resources) {
	if b.Capacity == c {
		return
	}
	b.Capacity = c
	b.count = [4]int{}
	for _, it := range b.items {
		it.kind = Classify(c.Share(it.Request))
		b.count[it.kind]++
	}
	b.moved()
}

// SetLabel gives the bin a mark that items may prefer, or takes it away.
func (b *Bin) SetLabel(name string, on bool) {
	i := slices.Index(b.marks, name)
	switch {
	case on == (i >= 0):
		return
	case on:
		b.marks = append(b.marks, name)
	default:
		b.marks = slices.Delete(b.marks, i, i+1)
	}
	if b.space == nil {
		return
	}
	set := b.space.mark(name)
	set.put(b.pos, on)
	if !on && !slices.ContainsFunc(set, func(w uint64) bool { return w != 0 }) {
		delete(b.space.marked, name) // images come and go; none is remembered for good
	}
}

// HasLabel says whether the bin has a mark.
func (b *Bin) HasLabel(name string) bool { return slices.Contains(b.marks, name) }

// Used is what the bin's items take together.
func (b *Bin) Used() Resources { return b.used }

// Items are what the bin holds; the slice is the bin's own.
func (b *Bin) Items() []*Item { return b.items }

// Reserve sets so much more room aside, or with a negative amount less. It may be room that
// items still fill: then the bin is owed more than it has until they leave.
func (b *Bin) Reserve(req Resources) {
	b.owed = b.owed.Add(req)
	if b.owed.CPU < eps && b.owed.GPU < eps && b.owed.Mem < eps {
		b.owed = Resources{}
	}
	b.moved()
}

// Reserved is what is set aside.
func (b *Bin) Reserved() Resources { return b.owed }

// Fits says whether an amount fits in every dimension beside what is set aside.
func (b *Bin) Fits(req Resources) bool { return b.free.Fits(req) }

// Gap is the space left in the fullest dimension (Definition 1).
func (b *Bin) Gap() float64 { return b.gap }

// Hot says whether the bin holds, or is predicted to use, more than it has.
func (b *Bin) Hot() bool { return b.Capacity.Share(b.used) > 1+eps || b.Load > 1+eps }

// Add puts an item into the bin without asking any rule.
func (b *Bin) Add(it *Item) {
	it.kind = Classify(b.Capacity.Share(it.Request))
	b.items = append(b.items, it)
	b.count[it.kind]++
	b.used = b.used.Add(it.Request)
	b.moved()
}

// Remove takes an item out.
func (b *Bin) Remove(it *Item) {
	for i, x := range b.items {
		if x == it {
			b.items = append(b.items[:i], b.items[i+1:]...)
			b.count[it.kind]--
			b.used = b.used.Sub(it.Request)
			if len(b.items) == 0 {
				b.used = Resources{}
			}
			b.moved()
			return
		}
	}
}

// The kinds of bins (Definition 3).
func (b *Bin) empty() bool { return len(b.items) == 0 }
func (b *Bin) tBin() bool  { return b.count[Tiny] > 0 && len(b.items) == b.count[Tiny] }
func (b *Bin) sBin() bool  { return b.count[Small] == 1 && len(b.items) == 1 }
func (b *Bin) lOrLT() bool { return b.count[Large] == 1 && len(b.items) == 1+b.count[Tiny] }
func (b *Bin) ut() bool    { return b.tBin() && b.Gap() >= Third-eps }
func (b *Bin) ullt() bool  { return b.lOrLT() && b.Gap() >= Third-eps }

// AllowsJoin says whether the paper lets other items join those of the bin.
func (b *Bin) AllowsJoin() bool {
	return b.Gap() > eps && (b.empty() || b.tBin() || b.lOrLT() || b.sBin())
}

// CanJoin says whether an item may join those of the bin, without any move, by the paper's
// combinations or by filling up a T- or LT-bin.
func (b *Bin) CanJoin(req Resources) bool {
	if !b.open || !b.Fits(req) {
		return false
	}
	switch Classify(b.Capacity.Share(req)) {
	case Tiny:
		return b.empty() || b.tBin() || b.lOrLT()
	case Small:
		return b.empty() || b.sBin()
	}
	return b.empty()
}

// groups splits the bin's tiny items into groups of at most a third, any two of
// which exceed a third together (Definition 4). First fit gives just that.
func (b *Bin) groups() [][]*Item {
	var gs [][]*Item
	var sizes []Resources
next:
	for _, it := range b.items {
		if it.kind != Tiny {
			continue
		}
		for i := range gs {
			if b.Capacity.Share(sizes[i].Add(it.Request)) <= Third+eps {
				gs[i], sizes[i] = append(gs[i], it), sizes[i].Add(it.Request)
				continue next
			}
		}
		gs, sizes = append(gs, []*Item{it}), append(sizes, it.Request)
	}
	return gs
}

// Move takes a group (or a single item) from one bin into another; To is nil
// where the paper opens a new bin and none is at hand.
type Move struct {
	Items    []*Item
	From, To *Bin
}

// Rule says how a bin was found for an item.
type Rule int

// Rules, from the paper's own to the exceptions.
const (
	NoBin     Rule = iota // nothing has room
	PaperRule             // one of the paper's combinations
	TopUp                 // a tiny item into a filled T-bin with room to spare
	FirstFit              // no allowed bin: anywhere with room
)

// op is one insert or change, with the moves it has listed.
type op struct {
	s     *Space
	ok    func(*Bin) bool
	most  int
	moves []Move
}

// best finds an open bin of the given kinds with room for an item.
func (o *op) best(it *Item, is kinds) *Bin { return o.s.search(it, is, o.ok) }

// Insert finds a bin for an item, puts it there and lists the moves that the
// paper asks for. ok tells which bins the item may be in at all.
func (s *Space) Insert(it *Item, ok func(*Bin) bool) (*Bin, []Move, Rule) {
	o := &op{s: s, ok: ok, most: MaxInsertMoves}
	b, rule := o.place(it)
	if b == nil {
		return nil, nil, NoBin
	}
	b.Add(it)
	if it.kind == Large && rule == PaperRule {
		o.fill(b)
	}
	return b, o.moves, rule
}

// place finds a bin by the paper's rules, else by the two exceptions. The kind
// of an item depends on the bin's capacity, which is one for all of a space.
func (o *op) place(it *Item) (*Bin, Rule) {
	if len(o.s.Bins) == 0 {
		return nil, NoBin
	}
	kind := Classify(o.s.Bins[0].Capacity.Share(it.Request))
	rules := [][]kinds{Tiny: {isULLT, isUT}, Small: {isS}, Large: nil, Big: nil}[kind]
	for _, r := range rules {
		if b := o.best(it, r); b != nil {
			return b, PaperRule
		}
	}
	if kind == Tiny {
		// Requests are reserved, so the last third of a machine need not stay
		// free for growth: a filled T- or LT-bin may be filled up.
		if b := o.best(it, isT|isLT); b != nil {
			return b, TopUp
		}
	}
	if b := o.best(it, isEmpty); b != nil {
		return b, PaperRule
	}
	if !o.s.NoFirstFit && it.RequireLabel == "" {
		if b := o.best(it, isAny); b != nil {
			return b, FirstFit
		}
	}
	return nil, NoBin
}

func (o *op) room() bool { return len(o.moves) < o.most }

// shift moves a group if every item of it may move and fits.
func (o *op) shift(g []*Item, from, to *Bin) bool {
	var sum Resources
	for _, it := range g {
		if !o.s.movable(it) || to != nil && o.s.Worthwhile != nil && !o.s.Worthwhile(it, to) {
			return false
		}
		sum = sum.Add(it.Request)
	}
	if !o.room() || to == from || (to != nil && (!to.open || !to.Fits(sum) || (o.ok != nil && !o.ok(to)))) {
		return false
	}
	for _, it := range g {
		from.Remove(it)
		if to != nil {
			to.Add(it)
		}
	}
	o.moves = append(o.moves, Move{Items: g, From: from, To: to})
	return true
}

// fill takes groups out of T-bins into an L- or LT-bin that gapes.
func (o *op) fill(b *Bin) {
	for o.room() && b.Gap() >= Third-eps {
		if !o.fillFrom(b, isUT) && !o.fillFrom(b, isT) {
			return
		}
	}
}

func (o *op) fillFrom(b *Bin, is kinds) bool {
	return o.s.any(is, func(t *Bin) bool {
		if t == b || !slices.ContainsFunc(t.items, o.s.movable) {
			return false
		}
		for _, g := range t.groups() {
			if o.shift(g, t, b) {
				return true
			}
		}
		return false
	})
}

// into moves a group into the first bin of the given kinds that may take it.
func (o *op) into(is kinds, g []*Item, from *Bin) bool {
	if !o.room() {
		return false
	}
	for _, it := range g {
		if !o.s.movable(it) {
			return false
		}
	}
	return o.s.any(is, func(b *Bin) bool { return b != from && o.shift(g, from, b) })
}

// fillWith moves a group out of its bin into one that may take it.
func (o *op) fillWith(g []*Item, from *Bin) bool {
	return o.into(isULLT, g, from) || o.into(isUT, g, from) || o.into(isEmpty, g, from)
}

// adjust cools or fills an L- or LT-bin; the two exclude each other.
func (o *op) adjust(b *Bin) {
	if b.Hot() {
		o.cool(b)
	} else {
		o.fill(b)
	}
}

// cool moves groups out while what is left exceeds the bin.
func (o *op) cool(b *Bin) {
	for _, g := range b.groups() {
		if !o.room() || !b.Hot() {
			return
		}
		before := b.Capacity.Share(b.used)
		if o.fillWith(g, b) {
			b.Load -= before - b.Capacity.Share(b.used)
		}
	}
}

// drain moves the groups of a bin into bins of a kind while there are any.
func (o *op) drain(b *Bin, is kinds) {
	if !slices.ContainsFunc(b.items, o.s.movable) {
		return
	}
	for _, g := range b.groups() {
		if !o.into(is, g, b) {
			return
		}
	}
}

func (o *op) has(is kinds, but *Bin) *Bin {
	var found *Bin
	o.s.any(is, func(b *Bin) bool {
		if b == but || !b.open {
			return false
		}
		found = b
		return true
	})
	return found
}

// lone returns the item of a kind in the bin, if there is just one.
func (b *Bin) lone(k Kind) *Item {
	if b.count[k] != 1 {
		return nil
	}
	for _, it := range b.items {
		if it.kind == k {
			return it
		}
	}
	return nil
}

// Change restores the rules of a bin after an item in it changed from an old
// kind, or is hot. A finished task is an item that changed to zero and has
// left the bin, so what the paper does to the item itself falls away, and the
// table of section 3.4 comes down to the row "X to T". now is the kind that the
// item has become.
func (s *Space) Change(ob *Bin, old, now Kind, ok func(*Bin) bool) []Move {
	o := &op{s: s, ok: ok, most: MaxChangeMoves}
	switch {
	case ob.Hot():
		o.cool(ob)
	case old == Big && now == Large, old == Large && now == Large:
		o.adjust(ob)
	case old == Large && now == Tiny:
		// The large item is gone: what was packed around it goes where it
		// would have gone by itself.
		if o.has(isT, ob) != nil {
			o.drain(ob, isUT)
		} else {
			o.drain(ob, isULLT)
		}
	case old == Small && now == Tiny:
		if x := ob.lone(Small); x != nil && len(ob.items) == 1 {
			if b := o.has(isS, ob); b != nil {
				o.shift([]*Item{x}, ob, b)
			}
		}
	case old == Tiny && now == Tiny:
		if ob.count[Large] > 0 {
			o.adjust(ob)
		} else if ob.tBin() && ob.Gap() >= Third-eps {
			o.drain(ob, isUT)
		}
	default:
		// An item that grew: the small ones around it are released.
		for _, g := range ob.groups() {
			o.fillWith(g, ob)
		}
	}
	return o.moves
}
