package packing

import "slices"

// Bin is a machine.
type Bin struct {
	ID            string
	Capacity      Resources // changed by SetCapacity only
	PredictedLoad float64   // predicted use, as a share of the capacity; 0 where nothing is predicted
	Owner         any       // the caller's; the packing never reads it

	open       bool
	used       Resources // by the items
	reserved   Resources // for items that are not here yet
	free       Resources // of the capacity, neither used nor reserved
	gap        float64
	items      []*Item
	kindCounts [4]int // of the items
	labels     []string

	space *Space // that has it in its index; nil: none
	index int    // its place in that space
	slot  slot   // the set of the index that has it
}

// NewBin returns an empty bin that takes items.
func NewBin(id string, capacity Resources) *Bin {
	b := &Bin{ID: id, Capacity: capacity, open: true}
	b.contentChanged()
	return b
}

// Open reports whether the bin may take items.
func (b *Bin) Open() bool { return b.open }

// SetOpen sets whether the bin may take items.
func (b *Bin) SetOpen(open bool) {
	if b.open == open {
		return
	}
	b.open = open
	if b.space != nil {
		b.space.open.assign(b.index, open)
	}
}

// SetCapacity gives the bin another capacity, which may change the kinds of its items.
func (b *Bin) SetCapacity(capacity Resources) {
	if b.Capacity == capacity {
		return
	}
	b.Capacity = capacity
	b.kindCounts = [4]int{}
	for _, item := range b.items {
		item.kind = Classify(capacity.Share(item.Request))
		b.kindCounts[item.kind]++
	}
	b.contentChanged()
}

// SetLabel gives the bin a label, or takes it away.
func (b *Bin) SetLabel(name string, on bool) {
	i := slices.Index(b.labels, name)
	switch {
	case on == (i >= 0):
		return
	case on:
		b.labels = append(b.labels, name)
	default:
		b.labels = slices.Delete(b.labels, i, i+1)
	}
	if b.space != nil {
		b.space.setLabelled(b, name, on)
	}
}

// HasLabel reports whether the bin has a label.
func (b *Bin) HasLabel(name string) bool { return slices.Contains(b.labels, name) }

// Used is what the bin's items take together.
func (b *Bin) Used() Resources { return b.used }

// Items are what the bin holds; the slice is the bin's own.
func (b *Bin) Items() []*Item { return b.items }

// Reserve reserves so much more room, or with a negative amount less. It may be room that
// items still fill: then more is reserved than the bin has free, until they leave.
func (b *Bin) Reserve(amount Resources) {
	b.reserved = b.reserved.Add(amount)
	if b.reserved.CPU < eps && b.reserved.GPU < eps && b.reserved.Mem < eps {
		b.reserved = Resources{}
	}
	b.contentChanged()
}

// Reserved is the room that is reserved.
func (b *Bin) Reserved() Resources { return b.reserved }

// Fits reports whether a request fits in every resource beside what is reserved.
func (b *Bin) Fits(request Resources) bool { return b.free.Fits(request) }

// Gap is the space left in the fullest resource (Definition 1).
func (b *Bin) Gap() float64 { return b.gap }

// Overloaded reports whether the bin holds, or is predicted to use, more than it has.
func (b *Bin) Overloaded() bool { return b.Capacity.Share(b.used) > 1+eps || b.PredictedLoad > 1+eps }

// Add puts an item into the bin without checking any rule.
func (b *Bin) Add(item *Item) {
	item.kind = Classify(b.Capacity.Share(item.Request))
	b.items = append(b.items, item)
	b.kindCounts[item.kind]++
	b.used = b.used.Add(item.Request)
	b.contentChanged()
}

// Remove takes an item out.
func (b *Bin) Remove(item *Item) {
	i := slices.Index(b.items, item)
	if i < 0 {
		return
	}
	b.items = append(b.items[:i], b.items[i+1:]...)
	b.kindCounts[item.kind]--
	b.used = b.used.Sub(item.Request)
	if len(b.items) == 0 {
		b.used = Resources{} // without this, the rounding of what came and went would stay
	}
	b.contentChanged()
}

// contentChanged updates what follows from the bin's content, and its place in the index.
func (b *Bin) contentChanged() {
	b.free = b.Capacity.Sub(b.used).Sub(b.reserved)
	b.gap = 1 - b.Capacity.Share(b.used.Add(b.reserved))
	if b.space == nil {
		return
	}
	slot := b.currentSlot()
	if slot != b.slot {
		b.space.setIndexed(b, false)
		b.slot = slot
		b.space.setIndexed(b, true)
	}
}

// The kinds of bins (Definition 3).
func (b *Bin) empty() bool  { return len(b.items) == 0 }
func (b *Bin) isTBin() bool { return b.kindCounts[Tiny] > 0 && len(b.items) == b.kindCounts[Tiny] }
func (b *Bin) isSBin() bool { return b.kindCounts[Small] == 1 && len(b.items) == 1 }
func (b *Bin) isLOrLTBin() bool {
	return b.kindCounts[Large] == 1 && len(b.items) == 1+b.kindCounts[Tiny]
}
func (b *Bin) isUTBin() bool   { return b.isTBin() && b.Gap() >= Third-eps }
func (b *Bin) isULLTBin() bool { return b.isLOrLTBin() && b.Gap() >= Third-eps }

// AcceptsAny reports whether the paper lets any other item join those of the bin.
func (b *Bin) AcceptsAny() bool {
	return b.Gap() > eps && (b.empty() || b.isTBin() || b.isLOrLTBin() || b.isSBin())
}

// Accepts reports whether an item may join those of the bin without any move, by the paper's
// combinations or by filling up a T- or LT-bin.
func (b *Bin) Accepts(request Resources) bool {
	if !b.open || !b.Fits(request) {
		return false
	}
	switch Classify(b.Capacity.Share(request)) {
	case Tiny:
		return b.empty() || b.isTBin() || b.isLOrLTBin()
	case Small:
		return b.empty() || b.isSBin()
	}
	return b.empty()
}

// groups splits the bin's tiny items into groups of at most a third, any two of
// which exceed a third together (Definition 4). First fit gives just that.
func (b *Bin) groups() [][]*Item {
	var groups [][]*Item
	var sums []Resources // of the groups
next:
	for _, item := range b.items {
		if item.kind != Tiny {
			continue
		}
		for i := range groups {
			if b.Capacity.Share(sums[i].Add(item.Request)) <= Third+eps {
				groups[i], sums[i] = append(groups[i], item), sums[i].Add(item.Request)
				continue next
			}
		}
		groups, sums = append(groups, []*Item{item}), append(sums, item.Request)
	}
	return groups
}

// soleItem returns the item of a kind in the bin, if there is just one.
func (b *Bin) soleItem(kind Kind) *Item {
	if b.kindCounts[kind] != 1 {
		return nil
	}
	for _, item := range b.items {
		if item.kind == kind {
			return item
		}
	}
	return nil
}
