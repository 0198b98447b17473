package watermark

// Mark is the watermark of one job: tasks from it on were never dispatched.
type Mark struct {
	Stored    int // what the store says
	Requested int // what it is to say next
}

// RaiseDivisor is the share of a job that its watermark is raised by at once, as one in so
// many: a raise is a change in the store, and what lies between the last task dispatched and
// the watermark waits at a failover for nothing.
const RaiseDivisor = 8

// RaiseStep is by how many tasks the watermark of a job is raised at least: that of a small
// job covers the whole job at once.
func RaiseStep(tasks int) int { return tasks/RaiseDivisor + RaiseDivisor }

// Covers reports whether a task may be dispatched.
func (m *Mark) Covers(task int) bool { return task < m.Stored }

// Raise requests a watermark beyond a task of a job with so many, and reports whether that is
// more than was requested before.
func (m *Mark) Raise(task, tasks int) bool {
	if task < m.Requested {
		return false
	}
	m.Requested = min(task+RaiseStep(tasks), tasks)
	return true
}

// RecordStored notes what the store says; a watermark never falls.
func (m *Mark) RecordStored(stored int) {
	m.Stored = max(m.Stored, stored)
	m.Requested = max(m.Requested, m.Stored)
}
