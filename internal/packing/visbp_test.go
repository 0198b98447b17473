package packing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"drumpick/internal/scenario"
)

// A scenario packs items into bins of capacity 12, so that a third is 4. Its commands are
// "bins NAME...", "insert NAME SIZE [fixed]", "finish NAME" and "hot BIN LOAD".
func TestScenarios(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		p := &scenarioPacking{space: &Space{}, bins: map[string]*Bin{}, items: map[string]*Item{}}
		return func(words []string) []string { return p.apply(t, words) }
	})
}

// scenarioPacking is a space with the items that a scenario has inserted.
type scenarioPacking struct {
	space *Space
	bins  map[string]*Bin // by item
	items map[string]*Item
}

func (p *scenarioPacking) apply(t *testing.T, words []string) []string {
	t.Helper()
	switch command, args := words[0], words[1:]; command {
	case "bins":
		for _, name := range args {
			p.space.Add(NewBin(name, Resources{CPU: 12, Mem: 12}))
		}
		return nil
	case "insert":
		size, err := strconv.ParseFloat(args[1], 64)
		if err != nil {
			t.Fatal(err)
		}
		item := &Item{ID: args[0], Request: Resources{CPU: size}, Movable: len(args) < 3}
		b, moves, rule := p.space.Insert(item, nil)
		if b == nil {
			return []string{"no bin"}
		}
		p.items[item.ID], p.bins[item.ID] = item, b
		rules := [...]string{PaperRule: "", TopUp: " (topping up)", FirstFit: " (first fit)"}
		return append([]string{"into " + b.ID + rules[rule]}, p.describe(moves)...)
	case "finish":
		item, b := p.items[args[0]], p.bins[args[0]]
		old := item.kind
		b.Remove(item)
		return p.describe(p.space.Change(b, old, Tiny, nil))
	case "hot":
		for _, b := range p.space.Bins {
			if b.ID == args[0] {
				b.PredictedLoad, _ = strconv.ParseFloat(args[1], 64)
				return p.describe(p.space.Change(b, Tiny, Tiny, nil))
			}
		}
	}
	t.Fatalf("unknown event %v", words)
	return nil
}

// describe returns a line for each move, and one with the content of all bins. A bin that violates
// the combinations is marked with "!".
func (p *scenarioPacking) describe(moves []Move) []string {
	var lines []string
	for _, move := range moves {
		for _, item := range move.Items {
			p.bins[item.ID] = move.To
		}
		lines = append(lines, fmt.Sprintf("move %s from %s to %s", itemIDs(move.Items, "+"), move.From.ID, move.To.ID))
	}
	var bins []string
	for _, b := range p.space.Bins {
		mark := ""
		if !b.isCombination() {
			mark = "!"
		}
		bins = append(bins, b.ID+mark+"["+itemIDs(b.Items(), " ")+"]")
	}
	return append(lines, strings.Join(bins, " "))
}

func itemIDs(items []*Item, separator string) string {
	var ids []string
	for _, item := range items {
		ids = append(ids, item.ID)
	}
	return strings.Join(ids, separator)
}

// After any sequence of inserts and removals, the number of moves is within the bounds of Theorems 2
// and 3, no item is lost and no bin exceeds its capacity.
func TestMovesAreBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := &Space{}
	for i := range 40 {
		s.Add(NewBin(fmt.Sprintf("%02d", i), Resources{CPU: 4, Mem: 16}))
	}
	want := 0 // items
	for range 4000 {
		if random.IntN(2) == 0 {
			request := Resources{CPU: float64(1+random.IntN(16)) / 4, Mem: float64(random.IntN(16))}
			b, moves, _ := s.Insert(&Item{Request: request, Movable: random.IntN(2) == 0}, nil)
			if len(moves) > MaxInsertMoves {
				t.Fatalf("insert returns %d moves, want at most %d", len(moves), MaxInsertMoves)
			}
			if b != nil {
				want++
			}
		} else if b := s.Bins[random.IntN(len(s.Bins))]; len(b.items) > 0 {
			item := b.items[random.IntN(len(b.items))]
			old := item.kind
			b.Remove(item)
			want--
			if moves := s.Change(b, old, Tiny, nil); len(moves) > MaxChangeMoves {
				t.Fatalf("change returns %d moves, want at most %d", len(moves), MaxChangeMoves)
			}
		}
		checkContent(t, s, want)
	}
}

// checkContent checks the number of items in a space, and that no bin exceeds its capacity.
func checkContent(t *testing.T, s *Space, items int) {
	t.Helper()
	n := 0
	for _, b := range s.Bins {
		n += len(b.items)
		if b.Capacity.Share(b.used) > 1+1e-6 {
			t.Fatalf("bin %s holds %v of %v", b.ID, b.used, b.Capacity)
		}
	}
	if n != items {
		t.Fatalf("%d items in bins, want %d", n, items)
	}
}

// scan is the reference implementation of the search: a linear scan of all bins in order.
func scan(s *Space, item *Item, kinds binKinds, allowed func(*Bin) bool) *Bin {
	var best *Bin
	var bestRank float64
	for _, b := range s.Bins {
		switch {
		case !b.open, kinds>>b.binKind()&1 == 0, !b.Fits(item.Request), allowed != nil && !allowed(b),
			item.RequireLabel != "" && !b.HasLabel(item.RequireLabel), item.ExcludeLabel != "" && b.HasLabel(item.ExcludeLabel):
			continue
		case !s.Ranked:
			return b
		}
		rank := 1 - b.Gap()
		for i, label := range item.PreferLabels {
			if b.HasLabel(label) {
				rank += float64(int(2) << (len(item.PreferLabels) - i))
			}
		}
		if best == nil || rank > bestRank {
			best, bestRank = b, rank
		}
	}
	return best
}

// testLabels are the labels that the randomized test assigns to bins.
var testLabels = []string{"img-1", "img-2", "spot"}

// drawItem returns an item that prefers some labels, and may require or exclude one.
func drawItem(random *rand.Rand) *Item {
	request := Resources{
		CPU: float64(random.IntN(17)) / 4,
		GPU: float64(random.IntN(2) * random.IntN(2)),
		Mem: float64(random.IntN(17)),
	}
	item := &Item{Request: request, PreferLabels: testLabels[random.IntN(2):][:random.IntN(2)+1]}
	if random.IntN(4) == 0 {
		item.RequireLabel = testLabels[random.IntN(2)]
	}
	if random.IntN(4) == 0 {
		item.ExcludeLabel = testLabels[random.IntN(2)]
	}
	return item
}

// The index returns the same bins as a linear scan after any sequence in which bins and items are
// added and removed, and bins are opened, closed and labelled, also if only one resource is full.
func TestIndexEqualsScan(t *testing.T) {
	for _, ranked := range []bool{false, true} {
		random := rand.New(rand.NewPCG(5, 6))
		s := &Space{Ranked: ranked}
		found := 0
		drawBin := func() *Bin { return s.Bins[random.IntN(len(s.Bins))] }
		for step := range 5_000 {
			switch k := random.IntN(20); {
			case len(s.Bins) == 0 || k == 0 && len(s.Bins) < 150:
				b := NewBin(fmt.Sprintf("m-%04d", random.IntN(10_000)), Resources{CPU: 4, GPU: 1, Mem: 16})
				b.SetLabel("spot", random.IntN(2) == 0)
				s.Add(b)
			case k == 1 && random.IntN(3) == 0:
				s.Remove(drawBin())
			case k == 2:
				drawBin().SetOpen(random.IntN(3) > 0)
			case k == 3:
				drawBin().SetLabel(testLabels[random.IntN(2)], random.IntN(2) == 0)
			case k < 10:
				if b := drawBin(); len(b.items) > 0 {
					b.Remove(b.items[random.IntN(len(b.items))])
				}
			default:
				item := drawItem(random)
				var allowed func(*Bin) bool
				if random.IntN(3) == 0 {
					allowed = func(b *Bin) bool { return b.index%3 > 0 }
				}
				for kinds := range allBins + 1 {
					got, want := s.search(item, kinds, allowed), scan(s, item, kinds, allowed)
					if got != want {
						t.Fatalf("ranked %v, step %d: the index returns %+v, want %+v", ranked, step, got, want)
					}
					if got != nil {
						found++
					}
				}
				if b, _, _ := s.Insert(item, allowed); b != nil && !slices.Contains(b.items, item) {
					t.Fatalf("step %d: the item is not in its bin", step)
				}
			}
		}
		if found < 3_000 {
			t.Fatalf("only %d searches found a bin, want at least 3000", found)
		}
	}
}

// isCombination reports whether the bin holds one of the paper's combinations (Lemma 1).
func (b *Bin) isCombination() bool {
	switch {
	case b.empty(), b.isTBin(), b.isSBin(), b.isLOrLTBin():
		return true
	case b.kindCounts[Big] == 1, b.kindCounts[Small] == 2:
		return len(b.items) == b.kindCounts[Big]+b.kindCounts[Small]
	}
	return false
}

// Accepts agrees with Insert: an item may be added if the bin stays one of the paper's combinations,
// or to fill up a bin of tiny items, and not otherwise.
func TestAcceptsAgreesWithInsert(t *testing.T) {
	newItem := func(share float64) *Item { return &Item{Request: Resources{CPU: share * 12, Mem: 1}} }
	for _, test := range []struct {
		present []float64
		added   float64
		want    bool
	}{
		{nil, 0.25, true}, {nil, 0.5, true}, {nil, 1, true},
		{[]float64{0.25}, 0.25, true}, {[]float64{0.25, 0.25, 0.25}, 0.25, true}, {[]float64{0.25, 0.25, 0.25, 0.25}, 0.25, false},
		{[]float64{0.25}, 0.5, false}, {[]float64{0.25}, 0.6, false}, {[]float64{0.5}, 0.5, true}, {[]float64{0.5}, 0.25, false},
		{[]float64{0.6}, 0.25, true}, {[]float64{0.6}, 0.4, false}, {[]float64{0.9}, 0.05, false},
	} {
		b := NewBin("b", Resources{CPU: 12, Mem: 100})
		for _, share := range test.present {
			b.Add(newItem(share))
		}
		if got := b.Accepts(newItem(test.added).Request); got != test.want {
			t.Errorf("%v is accepted by a bin with %v: %v, want %v", test.added, test.present, got, test.want)
		}
		s := &Space{NoFirstFit: true}
		s.Add(b)
		if in, _, _ := s.Insert(newItem(test.added), nil); (in != nil) != test.want {
			t.Errorf("%v is inserted into a bin with %v: %v, want %v", test.added, test.present, in != nil, test.want)
		}
	}
	b := NewBin("b", Resources{CPU: 12, Mem: 100})
	b.SetOpen(false)
	if b.Accepts(newItem(0.25).Request) {
		t.Error("a closed bin accepts an item")
	}
}
