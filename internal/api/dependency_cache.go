package api

import (
	"sync"
	"time"
)

// dependencyCache caches findings about the dependencies of open jobs.
type dependencyCache struct {
	mu                  sync.Mutex           // guards the fields below
	clearAsOf           map[string]time.Time // by open job: neither it nor any dependency of it was cancelled up to this time
	direct              map[string][]string  // by open job: its direct dependencies, which never change
	cancelledDependency map[string]bool      // jobs that are cancelled or have a cancelled dependency, direct or indirect
}

func newDependencyCache() *dependencyCache {
	return &dependencyCache{clearAsOf: map[string]time.Time{}, direct: map[string][]string{}, cancelledDependency: map[string]bool{}}
}

// clearWithin returns the time up to which neither an open job nor any of its dependencies was
// cancelled, zero if unknown, and whether that time is less than maxAge ago.
func (c *dependencyCache) clearWithin(id string, maxAge time.Duration) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.clearAsOf[id]
	return at, time.Since(at) < maxAge
}

// setClear records that neither a job nor any of its dependencies was cancelled up to the given time,
// unless a later time is cached.
func (c *dependencyCache) setClear(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.clearAsOf[id]) {
		evictHalf(c.clearAsOf)
		c.clearAsOf[id] = at
	}
}

// invalidateClear removes all findings of setClear. It is called after the cancellation of any job:
// every other job may depend on it.
func (c *dependencyCache) invalidateClear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.clearAsOf)
}

// directDependencies returns the direct dependencies of a job, nil if it has none or they are not
// cached.
func (c *dependencyCache) directDependencies(id string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.direct[id]
}

func (c *dependencyCache) setDirect(id string, dependencies []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	evictHalf(c.direct)
	c.direct[id] = dependencies
}

// hasCancelled reports whether a job is known to be cancelled or to have a cancelled dependency, direct
// or indirect. It does not look up final states: see jobCache.
func (c *dependencyCache) hasCancelled(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelledDependency[id]
}

// setCancelled records that all jobs on a path have a cancelled dependency, direct or indirect. The
// last job may be cancelled itself instead.
func (c *dependencyCache) setCancelled(path []pathStep) {
	c.mu.Lock()
	defer c.mu.Unlock()
	evictHalf(c.cancelledDependency)
	for _, step := range path {
		c.cancelledDependency[step.id] = true
	}
}
