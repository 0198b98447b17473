package api

import (
	"sync"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/records"
)

// maxCacheEntries bounds each cache of jobs: final states, accepted ids, dependencies. Pending
// confirmations may exceed it (pendingConfirmations.add). It does not bound the jobs of a deployment:
// at 41,000 jobs a day a cache is full about every six hours, and half of its entries are evicted.
// What an evicted entry held is read from the store again when it is needed, with one or two requests.
const maxCacheEntries = 20_000

// evictHalf removes arbitrary entries of a full cache until it is less than half full. It does
// nothing if the cache is not full.
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

// jobCache caches the facts about jobs that never change: final states, and which ids were accepted.
type jobCache struct {
	cancellations *cancellation.Log
	dependencies  *dependencyCache
	confirmations *pendingConfirmations

	mu            sync.Mutex                   // guards the fields below
	closed        map[string]records.ClosedJob // final states
	accepted      map[string]bool              // ids of jobs that were accepted
	lastDuplicate time.Time                    // see recordDuplicate
}

func newJobCache(log *cancellation.Log, dependencies *dependencyCache, confirmations *pendingConfirmations) *jobCache {
	return &jobCache{
		cancellations: log, dependencies: dependencies, confirmations: confirmations,
		closed: map[string]records.ClosedJob{}, accepted: map[string]bool{},
	}
}

// closedJob returns the cached final state of a job, and false if none is cached.
func (c *jobCache) closedJob(id string) (records.ClosedJob, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, ok := c.closed[id]
	return job, ok
}

// addClosed caches the final state of a job. mayHaveStarted is false for a job that is cancelled
// because of a dependency: none of its tasks can have started, so the leader need not acknowledge the
// cancellation. It is true if the cause is not known.
//
// All effects of a cancellation take place under the lock, before the final state can be read from the
// cache. So no response uses that state before the log records the cancellation. While a job's state is
// cached, further calls for the job require no acknowledgement.
func (c *jobCache) addClosed(id string, job records.ClosedJob, mayHaveStarted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job.Status == records.StatusCancelled {
		c.cancellations.Add(id, time.Now())
		c.dependencies.invalidateClear() // any job may depend on this one
		if _, known := c.closed[id]; !known && mayHaveStarted {
			c.confirmations.add(id)
		}
	}
	evictHalf(c.closed)
	c.closed[id] = job
}

// isAccepted reports whether a job is cached as accepted; false means unknown.
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

// recordDuplicate records that a job submitted here was already stored, usually by another controller.
func (c *jobCache) recordDuplicate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastDuplicate = time.Now()
}

// hadDuplicateWithin reports whether recordDuplicate was called less than d ago.
func (c *jobCache) hadDuplicateWithin(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastDuplicate) < d
}
