package packing

// InsertEqual inserts up to n items with the same request, which are not movable, and returns how many it
// inserted. The bins are those that n calls of Insert select, but only count the items (Bin.AddEqual):
// time and memory depend on the number of bins that take some, not on n. allowed is as for Insert. The
// space must not be Ranked.
func (s *Space) InsertEqual(request Resources, n int, allowed func(*Bin) bool) (inserted int) {
	o := &operation{space: s, allowed: allowed}
	item := &Item{Request: request}
	for inserted < n {
		b, _ := o.place(item)
		if b == nil {
			break
		}
		count := min(b.consecutive(request), n-inserted)
		b.AddEqual(request, count)
		inserted += count
	}
	return inserted
}

// consecutive returns how many items with the same request Insert places in the bin, one after another,
// once it has selected the bin for the first one, if all other bins stay as they are; at least 1.
func (b *Bin) consecutive(request Resources) int {
	if Classify(b.Capacity.Share(request)) != Tiny {
		return 1 // a second one changes the kind of the bin; few fit into a bin
	}
	fitting := max(b.free.Count(request), 1)
	if !b.isUTBin() && !b.isULLTBin() {
		// No unfilled bin has room: as long as the item fits, this bin is the only one that was empty, or
		// the first one that TopUp or FirstFit may select.
		return fitting
	}
	// Unfilled bins are preferred to filled ones, so this one is selected until its gap is below a third.
	filled := Resources{CPU: b.Capacity.CPU, GPU: b.Capacity.GPU, Mem: b.Capacity.Mem}.Scale(1 - Third + eps)
	untilFilled := filled.Sub(b.used).Sub(b.reserved).Count(Resources{CPU: request.CPU, GPU: request.GPU, Mem: request.Mem})
	return min(fitting-1, untilFilled) + 1
}
