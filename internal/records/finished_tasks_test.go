package records

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

// everySecond is the worst pattern of finished tasks: no two of them form a range.
func everySecond(i int) bool { return i%2 == 0 }

// The worst pattern of a chunk fits into a value of each configurable size.
func TestChunkInWorstPatternFitsValue(t *testing.T) {
	for kb := 1; kb <= 64; kb *= 2 {
		n := ChunkTasks(float64(kb))
		if got, limit := len(FormatRanges(everySecond, n)), kb*1024*9/10; got > limit {
			t.Errorf("%d KiB: the worst pattern of %d tasks takes %d bytes, want at most %d", kb, n, got, limit)
		}
	}
}

// The worst pattern of a part fits into a value of each smaller size that may be configured later.
func TestPartInWorstPatternFitsSmallerValue(t *testing.T) {
	for kb := 1; kb <= 64; kb *= 2 {
		for laterKB := 1; laterKB <= kb; laterKB *= 2 {
			chunk := ChunkTasks(float64(kb))
			n := PartTasks(chunk, float64(laterKB))
			// The last part of a chunk has the longest numbers.
			text := FormatRanges(func(i int) bool { return i >= chunk-n && everySecond(i) }, chunk)
			if len(text) > ChunkBytes(n, chunk) {
				t.Errorf("%d KiB, later %d: the worst pattern of %d tasks takes %d bytes, want at most %d",
					kb, laterKB, n, len(text), ChunkBytes(n, chunk))
			}
			if got, limit := len(text)+len(PartID("j-000412", 48, 64)), laterKB*1024*15/16; got > limit {
				t.Errorf("%d KiB, later %d: the record of %d tasks takes %d bytes, want at most %d", kb, laterKB, n, got, limit)
			}
		}
	}
}

// The id of a part's record is read as written, with its leading zeros. Otherwise finished tasks
// would be assigned to another chunk after a failover and run again.
func TestParsePartIDReversesPartID(t *testing.T) {
	for _, x := range []struct {
		id    string
		zeros int
		valid bool
	}{
		{"j-1/0", 0, true},
		{"j-1/00", 1, true},
		{"j-1/000", 2, true},
		{"j-1/7", 0, true},
		{"j-1/0010", 2, true},
		{"j-1/x", 0, false},
	} {
		job, chunk, ok := ParsePartID(x.id)
		zeros := LeadingZeros(x.id)
		if zeros != x.zeros || ok != x.valid || ok && PartID(job, chunk, zeros) != x.id {
			t.Errorf("%s: got %d zeros, %s, %d, %v, want %d zeros, valid %v", x.id, zeros, job, chunk, ok, x.zeros, x.valid)
		}
	}
}

// Ranges of finished tasks are read as written. Otherwise tasks would run again after a failover,
// or never.
func TestParseRangesReversesFormatRanges(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		want := map[int]bool{}
		for range r.IntN(200) {
			want[r.IntN(300)] = true
		}
		got := map[int]bool{}
		text := FormatRanges(func(i int) bool { return want[i] }, 300)
		if err := ParseRanges(text, func(i int) { got[i] = true }); err != nil {
			t.Fatal(err)
		}
		if !maps.Equal(got, want) {
			t.Fatalf("%s: read as %v, want %v", text, got, want)
		}
	}
}

// A malformed or unbounded range is rejected. Otherwise a damaged record would mark tasks as
// finished that never ran, or block the failover.
func TestParseRangesRejectsMalformed(t *testing.T) {
	for _, text := range []string{"x", "3-1", "-", "1,,2", "0-99999999999"} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			if ParseRanges(text, func(int) {}) == nil {
				t.Errorf("%q is parsed, want an error", text)
			}
		})
	}
}
