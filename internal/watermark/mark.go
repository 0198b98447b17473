package watermark

// Mark is how far into a job tasks may have been sent: none from Stored on, by what the
// store says; Want is what it is to say next.
type Mark struct{ Stored, Requested int }

// RaiseDivisor is the share of a job that its mark is raised by at once, as one in so many: a
// raise is a change in the store, and what lies between the last task sent and the mark
// waits at a takeover for nothing.
const RaiseDivisor = 8

// RaiseStep is by how many tasks the mark of a job is raised at least: small jobs are marked
// whole.
func RaiseStep(tasks int) int { return tasks/RaiseDivisor + RaiseDivisor }

// Covers says whether a task may be sent.
func (m *Mark) Covers(task int) bool { return task < m.Stored }

// Raise asks for a mark beyond a task, and says whether that is more than was asked
// for.
func (m *Mark) Raise(task, tasks int) bool {
	if task < m.Requested {
		return false
	}
	m.Requested = min(task+RaiseStep(tasks), tasks)
	return true
}

// NoteStored notes what the store says; it never says less than before.
func (m *Mark) NoteStored(stored int) {
	m.Stored = max(m.Stored, stored)
	m.Requested = max(m.Requested, m.Stored)
}
