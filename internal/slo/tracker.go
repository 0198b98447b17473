// Package slo tracks service-level objectives: how many jobs of each class, of each team and of the
// largest jobs of each class arrived, started and were done, and how long they waited. The package
// reports groups separately because a day fails if less than half of any group is served, which
// averages do not show.
//
// The package is pure: no I/O, no clock. A tracker covers only the current term of the leader.
package slo

import "time"

// job is a job that has arrived.
type job struct {
	class, team string
	size        float64   // resources that all its tasks need together, in any unit; only compared
	waitsSince  time.Time // when the job arrived, or when its dependencies were done
	started     time.Time // zero: not started
	closed      bool      // done or cancelled
	done        bool      // all its tasks have succeeded
}

// waited returns how long a job waited for its start, or has waited until now.
func (j *job) waited(now time.Time) time.Duration {
	if j.started.IsZero() {
		return now.Sub(j.waitsSince)
	}
	return j.started.Sub(j.waitsSince)
}

// Tracker tracks the jobs that arrived, started and closed. It is not safe for concurrent use.
type Tracker struct {
	jobs   map[string]*job
	order  []string // ids of jobs in the order of arrival
	closed int      // number of closed jobs
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{jobs: map[string]*job{}} }

const (
	// maxJobs bounds the tracked jobs. Above it the closed jobs that arrived first are removed; open
	// jobs are always kept, so there may be more than maxJobs of them. At 41,000 jobs a day the
	// tracker covers open jobs and about the last two hours of arrivals; older closed jobs are
	// missing from its figures, and no scheduling decision depends on them.
	maxJobs = 4096
	// keptJobs is the number of jobs left after a removal, if enough are closed.
	keptJobs = maxJobs * 3 / 4
)

// JobArrived records a job of the given size that has waited since the given time. It does nothing if
// the job is already tracked.
func (t *Tracker) JobArrived(id, class, team string, size float64, since time.Time) {
	if t.jobs[id] != nil {
		return
	}
	t.jobs[id] = &job{class: class, team: team, size: size, waitsSince: since}
	t.order = append(t.order, id)
	// Without the second condition, a new leader with tens of thousands of open jobs would scan all of
	// them for each arrival, although none can be removed.
	if len(t.order) > maxJobs && t.closed > 0 {
		t.removeClosed(len(t.order) - keptJobs)
	}
}

// removeClosed removes the n closed jobs that arrived first, or all closed jobs if there are fewer.
func (t *Tracker) removeClosed(n int) {
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

// ResetWait restarts a job's wait at the given time. Before that time the job waited for its
// dependencies, which does not count.
func (t *Tracker) ResetWait(id string, at time.Time) {
	if j := t.jobs[id]; j != nil {
		j.waitsSince = at
	}
}

// JobStarted records the start of a job: of all tasks of a gang, or of the first task of a job array.
// Only the first call for a job has an effect.
func (t *Tracker) JobStarted(id string, at time.Time) {
	if j := t.jobs[id]; j != nil && j.started.IsZero() {
		j.started = at
	}
}

// JobClosed records that a job is done or, if done is false, cancelled. A job that is done without a
// recorded start counts as started at the given time. JobClosed may be called repeatedly.
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
