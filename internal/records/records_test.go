package records

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The worst pattern, every second task finished, fits a value of any size that
// the settings allow; what is written is what is read.
func TestRanges(t *testing.T) {
	for kb := 1; kb <= 64; kb *= 2 {
		n := ChunkTasks(float64(kb))
		if s := FormatRanges(func(i int) bool { return i%2 == 0 }, n); len(s) > kb*1024*9/10 {
			t.Errorf("%d KiB: the worst pattern of %d tasks takes %d bytes", kb, n, len(s))
		}
	}
	for kb := 1; kb <= 64; kb *= 2 {
		for next := 1; next <= kb; next *= 2 {
			chunk := ChunkTasks(float64(kb))
			n := PartTasks(chunk, float64(next))
			// The last part of a chunk has the longest numbers.
			s := FormatRanges(func(i int) bool { return i >= chunk-n && i%2 == 0 }, chunk)
			if len(s) > ChunkBytes(n, chunk) || len(s)+len(PartID("j-000412", 48, 64)) > next*1024*15/16 {
				t.Errorf("%d KiB, later %d: the worst pattern of %d tasks takes %d bytes", kb, next, n, len(s))
			}
		}
	}
	for id, want := range map[string]int{"j-1/0": 0, "j-1/00": 1, "j-1/000": 2, "j-1/7": 0, "j-1/0010": 2, "j-1/x": 0} {
		job, chunk, ok := ParsePartID(id)
		if z := LeadingZeros(id); z != want || ok && PartID(job, chunk, z) != id || ok == (id == "j-1/x") {
			t.Errorf("%s: %d zeros, %s %d %v", id, z, job, chunk, ok)
		}
	}
	r := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		set := map[int]bool{}
		for range r.IntN(200) {
			set[r.IntN(300)] = true
		}
		got := map[int]bool{}
		text := FormatRanges(func(i int) bool { return set[i] }, 300)
		if err := ParseRanges(text, func(i int) { got[i] = true }); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(got) != fmt.Sprint(set) {
			t.Fatalf("%s: read as %v, want %v", text, got, set)
		}
	}
	for _, bad := range []string{"x", "3-1", "-", "1,,2", "0-99999999999"} {
		if ParseRanges(bad, func(int) {}) == nil {
			t.Errorf("%q is taken for ranges", bad)
		}
	}
}
