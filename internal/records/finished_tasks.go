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
	// bytesPerChunkTask bounds the bytes per task of a chunk. In the worst pattern, with every
	// second task finished, two tasks take a number of up to five digits and a comma: 3 bytes per
	// task. The rest is a margin.
	bytesPerChunkTask = 4
	// partFillFactor is the share of a page that the ranges of one part may take; the rest is for
	// the record's id.
	partFillFactor = 0.8
	// maxTaskNumber is the largest task number that ParseRanges accepts.
	maxTaskNumber = 1 << 24
)

// PartID returns the id of the record that holds the finished tasks of one part of a chunk of a
// job. Many such records share a value (PagedRecords). The number of leading zeros of the chunk
// number distinguishes the parts of a chunk. Readers of every version ignore the zeros and merge
// all records of a chunk.
func PartID(job string, chunk, zeros int) string {
	return job + "/" + strings.Repeat("0", zeros) + strconv.Itoa(chunk)
}

// ParsePartID parses an id that PartID returned, with any number of leading zeros. ok is false if s
// is not such an id.
func ParsePartID(s string) (job string, chunk int, ok bool) {
	job, number, ok := strings.Cut(s, "/")
	chunk, err := strconv.Atoi(number)
	return job, chunk, ok && err == nil && chunk >= 0
}

// LeadingZeros returns the number of leading zeros of the chunk number in a part's id.
func LeadingZeros(partID string) int {
	_, number, _ := strings.Cut(partID, "/")
	n, err := strconv.Atoi(number)
	if err != nil {
		return 0
	}
	return len(number) - len(strconv.Itoa(n))
}

// ChunkBytes returns the maximum size in bytes of the ranges of n tasks in a chunk of the given
// number of tasks. In the worst pattern, with every second task finished, each finished task takes
// a number of as many digits as chunk has and a comma.
func ChunkBytes(n, chunk int) int { return (n+1)/2*(len(strconv.Itoa(chunk))+1) + 2 }

// ChunkTasks returns how many tasks one chunk covers, so that their worst pattern fits into a value
// of valueKB KiB and, with a margin, into a commit.
func ChunkTasks(valueKB float64) int {
	return max(minChunkTasks, min(int(valueKB*1024/bytesPerChunkTask), maxChunkTasks))
}

// PartTasks returns how many tasks of a chunk one record covers, so that their worst pattern fits
// into a value of valueKB KiB. The chunk size itself must not change, since the numbers in records
// count from the start of the chunk.
func PartTasks(chunk int, valueKB float64) int {
	n := int(pageFillBytes(valueKB)*partFillFactor) / (len(strconv.Itoa(chunk)) + 1) * 2
	return max(1, min(n, chunk))
}

// FormatRanges encodes a set of finished tasks out of n as text, such as "0-4,7". The numbers count
// from the start of the chunk.
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

// ParseRanges parses the text form of FormatRanges and calls each for every number in it. After an
// error, each may have been called for the numbers before the invalid range.
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
			return errors.New("invalid task range " + strconv.Quote(part))
		}
		for i := first; i <= last; i++ {
			each(i)
		}
	}
	return nil
}
