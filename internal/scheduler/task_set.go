package scheduler

import "math/bits"

// wordTasks is the number of tasks in a word of a taskSet.
const wordTasks = 64

// taskSet is a set of tasks of one job, as a bit set up to the highest task that was ever in it. The sets
// of the many jobs of which no task has started yet take no memory.
type taskSet []uint64

// has reports whether a task is in the set.
func (s taskSet) has(task int) bool {
	word := task / wordTasks
	return word < len(s) && s[word]>>(task%wordTasks)&1 == 1
}

// add adds a task to the set.
func (s *taskSet) add(task int) {
	word := task / wordTasks
	for len(*s) <= word {
		*s = append(*s, 0)
	}
	(*s)[word] |= 1 << (task % wordTasks)
}

// remove removes a task from the set.
func (s taskSet) remove(task int) {
	if word := task / wordTasks; word < len(s) {
		s[word] &^= 1 << (task % wordTasks)
	}
}

// word returns the word with the given index; 0 beyond the end of the set.
func (s taskSet) word(i int) uint64 {
	if i < len(s) {
		return s[i]
	}
	return 0
}

// countUnion returns how many tasks from first up to but not including end are in any of two sets.
func countUnion(a, b taskSet, first, end int) int {
	n := 0
	for i := first / wordTasks; i < max(len(a), len(b)) && i*wordTasks < end; i++ {
		word := a.word(i) | b.word(i)
		if start := i * wordTasks; start < first {
			word &^= 1<<(first-start) - 1
		}
		if left := end - i*wordTasks; left < wordTasks {
			word &= 1<<left - 1
		}
		n += bits.OnesCount64(word)
	}
	return n
}
