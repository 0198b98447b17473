package packing

import "slices"

// Bin is a machine that items are packed into.
type Bin struct {
	ID            string
	Capacity      Resources // changed by SetCapacity only
	PredictedLoad float64   // predicted usage, as a share of the capacity; 0: no prediction
	Owner         any       // set by the caller, not read by this package

	open       bool
	used       Resources // sum of the items' requests
	reserved   Resources // for items that are not in the bin yet
	occupied   Resources // by what is no item and takes no share of the paper's resources
	free       Resources // capacity that is neither used, reserved nor occupied
	gap        float64   // see Gap
	items      []*Item
	equal      []equalItems
	count      int    // number of items, equal ones included
	kindCounts [4]int // number of items by kind, equal ones included
	labels     []string

	space *Space // space that indexes the bin; nil: none
	index int    // position in Space.Bins
	slot  slot   // index set that contains the bin
}

// equalItems are items with the same request that are counted only: they are neither moved nor removed.
type equalItems struct {
	request Resources // of each
	count   int
}

// NewBin returns an empty, open bin.
func NewBin(id string, capacity Resources) *Bin {
	b := &Bin{ID: id, Capacity: capacity, open: true}
	b.contentChanged()
	return b
}

// Open reports whether items may be placed in the bin.
func (b *Bin) Open() bool { return b.open }

// SetOpen sets whether items may be placed in the bin.
func (b *Bin) SetOpen(open bool) {
	if b.open == open {
		return
	}
	b.open = open
	if b.space != nil {
		b.space.open.assign(b.index, open)
	}
}

// SetCapacity changes the capacity of the bin and reclassifies its items.
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
	for _, group := range b.equal {
		b.kindCounts[Classify(capacity.Share(group.request))] += group.count
	}
	b.contentChanged()
}

// SetLabel adds a label to the bin, or removes it.
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

// Used returns the sum of the requests of the bin's items.
func (b *Bin) Used() Resources { return b.used }

// Items returns the bin's items without those that AddEqual added. The slice must not be modified.
func (b *Bin) Items() []*Item { return b.items }

// Reserve increases the reserved amount, or decreases it if the amount is negative. More may be
// reserved than the bin has free, until items in it are removed.
func (b *Bin) Reserve(amount Resources) {
	b.reserved = b.reserved.Add(amount)
	if b.reserved.CPU < eps && b.reserved.GPU < eps && b.reserved.Mem < eps && b.reserved.StatusBytes < eps {
		b.reserved = Resources{}
	}
	b.contentChanged()
}

// OccupyStatus increases the bytes of the status that are taken by what is no item, such as ended tasks
// that the worker still reports, or decreases them if bytes is negative.
func (b *Bin) OccupyStatus(bytes float64) {
	b.occupied.StatusBytes = max(b.occupied.StatusBytes+bytes, 0)
	b.contentChanged()
}

// Occupied returns what is taken by what is no item.
func (b *Bin) Occupied() Resources { return b.occupied }

// Reserved returns the reserved amount.
func (b *Bin) Reserved() Resources { return b.reserved }

// Fits reports whether a request fits into the capacity that is neither used, reserved nor occupied, in
// every resource.
func (b *Bin) Fits(request Resources) bool { return b.free.Fits(request) }

// Gap returns the share of the fullest resource that is neither used nor reserved (Definition 1).
func (b *Bin) Gap() float64 { return b.gap }

// Overloaded reports whether the used or the predicted load exceeds the bin's capacity. The paper
// calls such a bin hot.
func (b *Bin) Overloaded() bool { return b.Capacity.Share(b.used) > 1+eps || b.PredictedLoad > 1+eps }

// Add adds an item to the bin without checking any rule.
func (b *Bin) Add(item *Item) {
	item.kind = Classify(b.Capacity.Share(item.Request))
	b.items = append(b.items, item)
	b.count++
	b.kindCounts[item.kind]++
	b.used = b.used.Add(item.Request)
	b.contentChanged()
}

// AddEqual adds n items with the same request without checking any rule. The bin only counts them, so
// its memory does not depend on n; they cannot be moved or removed.
func (b *Bin) AddEqual(request Resources, n int) {
	b.equal = append(b.equal, equalItems{request, n})
	b.count += n
	b.kindCounts[Classify(b.Capacity.Share(request))] += n
	b.used = b.used.Add(request.Scale(float64(n)))
	b.contentChanged()
}

// Remove removes an item from the bin; it does nothing if the item is not in it.
func (b *Bin) Remove(item *Item) {
	i := slices.Index(b.items, item)
	if i < 0 {
		return
	}
	b.items = append(b.items[:i], b.items[i+1:]...)
	b.count--
	b.kindCounts[item.kind]--
	b.used = b.used.Sub(item.Request)
	if b.count == 0 {
		b.used = Resources{} // discards accumulated rounding errors
	}
	b.contentChanged()
}

// contentChanged updates the fields derived from the bin's content, and moves the bin to the index set
// of its current slot.
func (b *Bin) contentChanged() {
	b.free = b.Capacity.Sub(b.used).Sub(b.reserved).Sub(b.occupied)
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

// The following methods report the kind of the bin (Definition 3).
func (b *Bin) empty() bool  { return b.count == 0 }
func (b *Bin) isTBin() bool { return b.kindCounts[Tiny] > 0 && b.count == b.kindCounts[Tiny] }
func (b *Bin) isSBin() bool { return b.kindCounts[Small] == 1 && b.count == 1 }
func (b *Bin) isLOrLTBin() bool {
	return b.kindCounts[Large] == 1 && b.count == 1+b.kindCounts[Tiny]
}
func (b *Bin) isUTBin() bool   { return b.isTBin() && b.Gap() >= Third-eps }
func (b *Bin) isULLTBin() bool { return b.isLOrLTBin() && b.Gap() >= Third-eps }

// AcceptsAny reports whether the paper's rules or TopUp allow adding some item to the bin, open or
// not.
func (b *Bin) AcceptsAny() bool {
	return b.Gap() > eps && (b.empty() || b.isTBin() || b.isLOrLTBin() || b.isSBin())
}

// Accepts reports whether an item with the given request may be added to the bin without any move,
// by the paper's combinations or by TopUp. It does not check labels.
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

// groups splits the bin's tiny items into groups of at most a third each, such that any two groups
// exceed a third together (Definition 4). First fit ensures both.
func (b *Bin) groups() [][]*Item {
	var groups [][]*Item
	var sums []Resources // by group
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

// soleItem returns the item of a kind, or nil if the bin does not hold exactly one, or only counts it.
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
