package api

import (
	"sync"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/records"
)

// maxCacheEntries bounds each cache of jobs: final states, accepted ids, dependencies. It does not
// bound the jobs of a deployment: at 41,000 a day a cache is full every six hours or so, half of
// it is evicted, and what was evicted is read from the store when it is asked for, with one or
// two requests.
const maxCacheEntries = 20_000

// evictHalf makes room in a cache that is full: half of it goes.
func evictHalf[V any](m map[string]V) {
	if len(m) < maxCacheEntries {
		return
	}
	for k := range m {
		if delete(m, k); len(m) < maxCacheEntries/2 {
			return
		}
	}
}

// jobCache holds what this controller knows of jobs that never changes: final states, and which
// ids were accepted.
type jobCache struct {
	cancellations *cancellation.Log
	dependencies  *dependencyCache
	confirmations *pendingConfirmations

	mu            sync.Mutex
	closed        map[string]records.ClosedJob // final states
	accepted      map[string]bool              // ids of jobs that were accepted
	lastDuplicate time.Time                    // when a job last came that another controller had accepted
}

func newJobCache(log *cancellation.Log, dependencies *dependencyCache, unconfirmed *pendingConfirmations) *jobCache {
	return &jobCache{
		cancellations: log, dependencies: dependencies, confirmations: unconfirmed,
		closed: map[string]records.ClosedJob{}, accepted: map[string]bool{},
	}
}

// closedJob returns the final state of a job, if it is known here.
func (c *jobCache) closedJob(id string) (records.ClosedJob, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, ok := c.closed[id]
	return job, ok
}

// addClosed keeps a final state. mayHaveStarted is false for a job that was cancelled along with
// one of its dependencies: none of its tasks can have started, so the leader need not confirm it.
//
// All effects of a cancellation take place under the lock, before the final state can be read
// here: nobody is answered from it before the log has it, and of two calls for the same job
// only the first asks for a confirmation.
func (c *jobCache) addClosed(id string, job records.ClosedJob, mayHaveStarted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job.Status == records.StatusCancelled {
		c.cancellations.Add(id, time.Now())
		c.dependencies.invalidateClear() // any of them may depend on this job
		if _, known := c.closed[id]; !known && mayHaveStarted {
			c.confirmations.add(id)
		}
	}
	evictHalf(c.closed)
	c.closed[id] = job
}

// isAccepted reports whether a job is known to have been accepted.
func (c *jobCache) isAccepted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted[id]
}

func (c *jobCache) addAccepted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	evictHalf(c.accepted)
	c.accepted[id] = true
}

// recordDuplicate records that a job came here which another controller had accepted.
func (c *jobCache) recordDuplicate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastDuplicate = time.Now()
}

// hadDuplicateWithin reports whether such a job came less than the given time ago.
func (c *jobCache) hadDuplicateWithin(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastDuplicate) < d
}
