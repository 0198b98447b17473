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

// A story packs items into bins of capacity 12 (so that a third is 4):
// "insert NAME SIZE", "finish NAME", "hot BIN LOAD".
func TestTraces(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		s := &Space{}
		where := map[string]*Bin{}
		items := map[string]*Item{}
		show := func(moves []Move) []string {
			var out []string
			for _, m := range moves {
				var names []string
				for _, it := range m.Items {
					names = append(names, it.ID)
					where[it.ID] = m.To
				}
				out = append(out, fmt.Sprintf("move %s from %s to %s", strings.Join(names, "+"), m.From.ID, m.To.ID))
			}
			var bins []string
			for _, b := range s.Bins {
				var names []string
				for _, it := range b.Items() {
					names = append(names, it.ID)
				}
				mark := ""
				if !b.Lawful() {
					mark = "!"
				}
				bins = append(bins, b.ID+mark+"["+strings.Join(names, " ")+"]")
			}
			return append(out, strings.Join(bins, " "))
		}
		return func(w []string) []string {
			switch w[0] {
			case "bins":
				for _, n := range w[1:] {
					s.Add(NewBin(n, Resources{CPU: 12, Mem: 12}))
				}
				return nil
			case "insert":
				size, err := strconv.ParseFloat(w[2], 64)
				if err != nil {
					t.Fatal(err)
				}
				it := &Item{ID: w[1], Request: Resources{CPU: size}, Movable: len(w) < 4}
				b, moves, rule := s.Insert(it, nil)
				if b == nil {
					return []string{"no bin"}
				}
				items[w[1]], where[w[1]] = it, b
				names := []string{"", "", " (topping up)", " (first fit)"}
				return append([]string{"into " + b.ID + names[rule]}, show(moves)...)
			case "finish":
				it, b := items[w[1]], where[w[1]]
				old := it.kind
				b.Remove(it)
				return show(s.Change(b, old, Tiny, nil))
			case "hot":
				for _, b := range s.Bins {
					if b.ID == w[1] {
						b.Load, _ = strconv.ParseFloat(w[2], 64)
						return show(s.Change(b, Tiny, Tiny, nil))
					}
				}
			}
			t.Fatalf("unknown event %v", w)
			return nil
		}
	})
}

// Theorems 2 and 3 bound the moves; nothing is lost and nothing overfilled,
// whatever comes and goes.
func TestBounds(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	s := &Space{}
	for i := range 40 {
		s.Add(NewBin(fmt.Sprintf("%02d", i), Resources{CPU: 4, Mem: 16}))
	}
	total := 0
	for range 4000 {
		if r.IntN(2) == 0 {
			req := Resources{CPU: float64(1+r.IntN(16)) / 4, Mem: float64(r.IntN(16))}
			b, moves, _ := s.Insert(&Item{Request: req, Movable: r.IntN(2) == 0}, nil)
			if len(moves) > MaxInsertMoves {
				t.Fatalf("insert lists %d moves", len(moves))
			}
			if b != nil {
				total++
			}
		} else if b := s.Bins[r.IntN(len(s.Bins))]; len(b.items) > 0 {
			it := b.items[r.IntN(len(b.items))]
			old := it.kind
			b.Remove(it)
			total--
			if moves := s.Change(b, old, Tiny, nil); len(moves) > MaxChangeMoves {
				t.Fatalf("change lists %d moves", len(moves))
			}
		}
		n := 0
		for _, b := range s.Bins {
			n += len(b.items)
			if b.Capacity.Share(b.used) > 1+1e-6 {
				t.Fatalf("bin %s holds %v of %v", b.ID, b.used, b.Capacity)
			}
		}
		if n != total {
			t.Fatalf("%d items in bins, want %d", n, total)
		}
	}
}

// plain is the search that the index stands for: a look at every bin in order.
func plain(s *Space, it *Item, is kinds, ok func(*Bin) bool) *Bin {
	var found *Bin
	var rank float64
	for _, b := range s.Bins {
		if !b.open || is>>b.kindOf()&1 == 0 || !b.Fits(it.Request) || (ok != nil && !ok(b)) ||
			it.RequireLabel != "" && !b.HasLabel(it.RequireLabel) || it.ExcludeLabel != "" && b.HasLabel(it.ExcludeLabel) {
			continue
		}
		if !s.Ranked {
			return b
		}
		r := 1 - b.Gap()
		for i, m := range it.PreferLabels {
			if slices.Contains(b.marks, m) {
				r += float64(int(2) << (len(it.PreferLabels) - i))
			}
		}
		if found == nil || r > rank {
			found, rank = b, r
		}
	}
	return found
}

// The index answers as the plain search does, whatever comes, goes, opens, closes
// and is marked, also where one dimension is full and another is not.
func TestIndexIsThePlainSearch(t *testing.T) {
	for _, ranked := range []bool{false, true} {
		r := rand.New(rand.NewPCG(5, 6))
		s := &Space{Ranked: ranked}
		capacity := Resources{CPU: 4, GPU: 1, Mem: 16}
		names := []string{"img-1", "img-2", "spot"}
		found := 0
		for n := range 5_000 {
			switch k := r.IntN(20); {
			case len(s.Bins) == 0 || k == 0 && len(s.Bins) < 150:
				b := NewBin(fmt.Sprintf("m-%04d", r.IntN(10_000)), capacity)
				b.SetLabel("spot", r.IntN(2) == 0)
				s.Add(b)
			case k == 1 && r.IntN(3) == 0:
				s.Remove(s.Bins[r.IntN(len(s.Bins))])
			case k == 2:
				s.Bins[r.IntN(len(s.Bins))].SetOpen(r.IntN(3) > 0)
			case k == 3:
				s.Bins[r.IntN(len(s.Bins))].SetLabel(names[r.IntN(2)], r.IntN(2) == 0)
			case k < 10:
				if b := s.Bins[r.IntN(len(s.Bins))]; len(b.items) > 0 {
					b.Remove(b.items[r.IntN(len(b.items))])
				}
			default:
				it := &Item{Request: Resources{CPU: float64(r.IntN(17)) / 4, GPU: float64(r.IntN(2) * r.IntN(2)), Mem: float64(r.IntN(17))}}
				it.PreferLabels = names[r.IntN(2):][:r.IntN(2)+1]
				if r.IntN(4) == 0 {
					it.RequireLabel = names[r.IntN(2)]
				}
				if r.IntN(4) == 0 {
					it.ExcludeLabel = names[r.IntN(2)]
				}
				var ok func(*Bin) bool
				if r.IntN(3) == 0 {
					ok = func(b *Bin) bool { return b.pos%3 > 0 }
				}
				for is := range isAny + 1 {
					if got, want := s.search(it, is, ok), plain(s, it, is, ok); got != want {
						t.Fatalf("ranked %v, step %d: the index finds %+v, the plain search %+v", ranked, n, got, want)
					} else if got != nil {
						found++
					}
				}
				if b, _, _ := s.Insert(it, ok); b != nil && !slices.Contains(b.items, it) {
					t.Fatalf("step %d: the item is not in its bin", n)
				}
			}
		}
		if found < 3_000 {
			t.Fatalf("only %d searches found anything", found)
		}
	}
}

// Lawful says whether the bin holds one of the paper's combinations (Lemma 1).
func (b *Bin) Lawful() bool {
	switch {
	case b.empty(), b.tBin(), b.sBin(), b.lOrLT():
		return true
	case b.count[Big] == 1, b.count[Small] == 2:
		return len(b.items) == b.count[Big]+b.count[Small]
	}
	return false
}

// What may join a bin without a move: what insert puts there by the paper's rules, or to
// fill up a bin of tiny items, and nothing else.
func TestJoins(t *testing.T) {
	item := func(share float64) *Item { return &Item{Request: Resources{CPU: share * 12, Mem: 1}} }
	for _, x := range []struct {
		in   []float64
		add  float64
		want bool
	}{
		{nil, 0.25, true}, {nil, 0.5, true}, {nil, 1, true},
		{[]float64{0.25}, 0.25, true}, {[]float64{0.25, 0.25, 0.25}, 0.25, true}, {[]float64{0.25, 0.25, 0.25, 0.25}, 0.25, false},
		{[]float64{0.25}, 0.5, false}, {[]float64{0.25}, 0.6, false}, {[]float64{0.5}, 0.5, true}, {[]float64{0.5}, 0.25, false},
		{[]float64{0.6}, 0.25, true}, {[]float64{0.6}, 0.4, false}, {[]float64{0.9}, 0.05, false},
	} {
		b := NewBin("b", Resources{CPU: 12, Mem: 100})
		for _, share := range x.in {
			b.Add(item(share))
		}
		if got := b.CanJoin(item(x.add).Request); got != x.want {
			t.Errorf("%v joins %v: %v", x.add, x.in, got)
		}
		s := &Space{NoFirstFit: true}
		s.Add(b)
		if in, _, _ := s.Insert(item(x.add), nil); (in != nil) != x.want {
			t.Errorf("%v is put to %v: %v", x.add, x.in, in != nil)
		}
	}
	b := NewBin("b", Resources{CPU: 12, Mem: 100})
	b.SetOpen(false)
	if b.CanJoin(item(0.25).Request) {
		t.Error("a closed bin is joined")
	}
}
