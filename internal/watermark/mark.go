package watermark

// Mark is the watermark of one job: tasks at or above the stored value were never dispatched, unless
// the watermarks are relaxed.
type Mark struct {
	Stored    int // value in the store
	Requested int // value requested for the next write
}

// RaiseDivisor is the divisor of a job's task count that gives the increment of its watermark. A
// small increment costs many writes to the store; with a large one, many tasks between the last
// dispatched one and the watermark wait needlessly at a failover.
const RaiseDivisor = 8

// RaiseStep returns the minimum increment, in tasks, of the watermark of a job with the given number
// of tasks. The first increment covers all tasks of a small job.
func RaiseStep(tasks int) int { return tasks/RaiseDivisor + RaiseDivisor }

// Covers reports whether a task is below the stored watermark and may be dispatched.
func (m *Mark) Covers(task int) bool { return task < m.Stored }

// Raise requests a watermark above a task of a job with the given number of tasks. It returns false
// if the previous request already covers the task.
func (m *Mark) Raise(task, tasks int) bool {
	if task < m.Requested {
		return false
	}
	m.Requested = min(task+RaiseStep(tasks), tasks)
	return true
}

// RecordStored records the stored value; a watermark never decreases.
func (m *Mark) RecordStored(stored int) {
	m.Stored = max(m.Stored, stored)
	m.Requested = max(m.Requested, m.Stored)
}
