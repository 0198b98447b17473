package records

import (
	"errors"
	"strconv"
	"strings"
)

const (
	// minChunkTasks and maxChunkTasks bound how many tasks one chunk covers.
	minChunkTasks = 64
	maxChunkTasks = 16384
	// bytesPerChunkTask is what a task may take of a value: half of a number of up to five
	// digits and a comma in the worst pattern, and room to spare.
	bytesPerChunkTask = 4
	// partFillFactor leaves room in a value for the record's id.
	partFillFactor = 0.8
	// maxTaskNumber bounds the numbers that are read.
	maxTaskNumber = 1 << 24
)

// PartID returns the id of the record with a part of a chunk of a job's finished tasks. Many
// such records share a value (PagedRecords). Zeros before the chunk's number tell the parts
// of a chunk apart and change nothing for a reader, of any version: it adds up all that it
// finds of a chunk.
func PartID(id string, chunk, zeros int) string {
	return id + "/" + strings.Repeat("0", zeros) + strconv.Itoa(chunk)
}

// ParsePartID is the reverse of PartID, whatever the zeros. ok is false where s is no such id.
func ParsePartID(s string) (id string, chunk int, ok bool) {
	id, number, ok := strings.Cut(s, "/")
	chunk, err := strconv.Atoi(number)
	return id, chunk, ok && err == nil && chunk >= 0
}

// LeadingZeros returns how many zeros stand before the chunk's number in a part's id.
func LeadingZeros(partID string) int {
	_, number, _ := strings.Cut(partID, "/")
	n, err := strconv.Atoi(number)
	if err != nil {
		return 0
	}
	return len(number) - len(strconv.Itoa(n))
}

// ChunkBytes is the most that the ranges of n tasks take: in the worst pattern,
// every second task finished, each takes a number of up to five digits and a comma.
// They count from the start of a chunk of the size given.
func ChunkBytes(n, chunk int) int { return (n+1)/2*(len(strconv.Itoa(chunk))+1) + 2 }

// ChunkTasks is how many tasks one chunk covers: in the worst pattern all of
// them fit into a value and, with room to spare, a commit.
func ChunkTasks(valueKB float64) int {
	return max(minChunkTasks, min(int(valueKB*1024/bytesPerChunkTask), maxChunkTasks))
}

// PartTasks is how many tasks of a chunk one record covers, so that the worst
// pattern of them fits into a value of another size. Chunks stay as they are, since
// the numbers in records count from their start.
func PartTasks(chunk int, valueKB float64) int {
	n := int(pageFillBytes(valueKB)*partFillFactor) / (len(strconv.Itoa(chunk)) + 1) * 2
	return max(1, min(n, chunk))
}

// FormatRanges returns the text form of a set of finished tasks out of n: "0-4,7". Numbers
// count from the start of the chunk.
func FormatRanges(done func(i int) bool, n int) string {
	var b strings.Builder
	for i := 0; i < n; i++ {
		if !done(i) {
			continue
		}
		last := i
		for last+1 < n && done(last+1) {
			last++
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(i))
		if last > i {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(last))
		}
		i = last
	}
	return b.String()
}

// ParseRanges calls each for every number of the text form that FormatRanges writes.
func ParseRanges(s string, each func(i int)) error {
	if s == "" {
		return nil
	}
	for part := range strings.SplitSeq(s, ",") {
		low, high, isRange := strings.Cut(part, "-")
		first, err := strconv.Atoi(low)
		last := first
		if err == nil && isRange {
			last, err = strconv.Atoi(high)
		}
		if err != nil || first < 0 || last < first || last > maxTaskNumber {
			return errors.New("bad range " + strconv.Quote(part))
		}
		for i := first; i <= last; i++ {
			each(i)
		}
	}
	return nil
}
