// Package slo accounts for service-level objectives: how many jobs of a class, of a team and of
// a class's largest arrived, started and were done, and how long they waited. A day on which less
// than half of any of these is served has failed, however well the others fared, and averages
// do not show it.
//
// The package is pure: no I/O, no clock. It knows only what its owner has seen in this
// term.
package slo

import "time"

// job is one that arrived.
type job struct {
	class, team string
	size        float64   // that it needs at once, all tasks together
	waitsSince  time.Time // when it arrived, or when its dependencies were done
	started     time.Time // zero: it has not
	closed      bool      // it is done or cancelled
	done        bool
}

// waited returns how long a job waited until its start, or has waited up to now.
func (j *job) waited(now time.Time) time.Duration {
	if j.started.IsZero() {
		return now.Sub(j.waitsSince)
	}
	return j.started.Sub(j.waitsSince)
}

// Tracker keeps the jobs that arrived and what became of them. It is not for concurrent use.
type Tracker struct {
	jobs   map[string]*job
	order  []string // ids in the order of arrival
	closed int      // how many of these are closed
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{jobs: map[string]*job{}} }

const (
	// maxJobs is how many jobs are remembered; of these, those that arrived first and are closed are
	// forgotten first. No open job is forgotten, however many they are. At 41,000 jobs a day the
	// tracker thus knows those that are open and those that arrived in the last two hours or so:
	// beyond that its figures leave out closed jobs, and no scheduling decision depends on them.
	maxJobs = 4096
	// keptJobs is how many are left once some are forgotten.
	keptJobs = maxJobs * 3 / 4
)

// JobArrived notes a job that needs so much room and has waited since the given time.
func (t *Tracker) JobArrived(id, class, team string, room float64, since time.Time) {
	if t.jobs[id] != nil {
		return
	}
	t.jobs[id] = &job{class: class, team: team, size: room, waitsSince: since}
	t.order = append(t.order, id)
	// Without the second condition, a new leader that gets tens of thousands of open jobs at once would
	// scan all of them for each that arrives, though none can be forgotten.
	if len(t.order) > maxJobs && t.closed > 0 {
		t.forgetClosed(len(t.order) - keptJobs)
	}
}

// forgetClosed forgets the n closed jobs that arrived first.
func (t *Tracker) forgetClosed(n int) {
	kept := t.order[:0]
	for _, id := range t.order {
		if n > 0 && t.jobs[id].closed {
			delete(t.jobs, id)
			t.closed--
			n--
			continue
		}
		kept = append(kept, id)
	}
	t.order = kept
}

// ResetWait notes that a job waits only since the given time: before, it waited for its dependencies.
func (t *Tracker) ResetWait(id string, at time.Time) {
	if j := t.jobs[id]; j != nil {
		j.waitsSince = at
	}
}

// JobStarted notes that a job has started: a gang with all its tasks, a job array with its first.
func (t *Tracker) JobStarted(id string, at time.Time) {
	if j := t.jobs[id]; j != nil && j.started.IsZero() {
		j.started = at
	}
}

// JobClosed notes that a job is closed, done or cancelled. It may be called repeatedly.
func (t *Tracker) JobClosed(id string, done bool, at time.Time) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	if !j.closed {
		t.closed++
	}
	j.closed, j.done = true, done
	if done {
		t.JobStarted(id, at)
	}
}
