package leader

import (
	"sync"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/records"
)

// leaseConfirmed reports whether the term's lease on the leader key is certain not to have expired.
func (t *term) leaseConfirmed() bool {
	number, confirmedUntil := t.election.Term()
	return number == t.number && time.Now().Before(confirmedUntil)
}

// mayStartTasks reports whether tasks may be started now: the lease on the leader key has
// certainly not expired, or, in an outage that all controllers share, every peer has vouched a
// moment ago that the store has not answered it since the lease was last certain. The key cannot
// have changed hands before that, and to be elected afterwards takes an answer of the store.
// Machines are scaled out and in under the lease alone.
func (t *term) mayStartTasks() bool {
	if t.leaseConfirmed() {
		return true
	}
	number, _ := t.election.Term()
	return number == t.number && t.contact.soleLeader()
}

// leaderKeyCompare is the compare that every write of the term stands under: that the leader key
// is still at the term.
func (t *term) leaderKeyCompare() []records.Compare {
	return []records.Compare{{Key: records.KeyLeader, Revision: t.number}}
}

// storeContact is how far the leader can rely on what it has read from the store, and on what
// its peers say in place of it.
type storeContact struct {
	mu              sync.Mutex                // guards the fields below
	bound           cancellation.RenewalBound // until when workers' leases may be renewed
	soleLeaderUntil time.Time                 // until then no peer can lead, whether the lease has expired or not
}

func newStoreContact(cancelTime, lease time.Duration) storeContact {
	return storeContact{bound: cancellation.NewRenewalBound(cancelTime, lease)}
}

// mayRenewLeases reports whether heartbeats may still be accepted. A leader out of touch with the
// store may miss cancellations: it stops renewing workers' leases early enough for them to expire
// in time.
func (c *storeContact) mayRenewLeases(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.MayRenew(now)
}

// record takes in that all cancellations confirmed up to a moment are known.
func (c *storeContact) record(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bound.RecordContact(at)
}

// last returns the latest moment up to which all confirmed cancellations are known.
func (c *storeContact) last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.LastContact()
}

// requiredSpan returns how far back peers have to answer that are asked now.
func (c *storeContact) requiredSpan(now time.Time, timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.RequiredSpan(now, timeout)
}

// coveredBy reports whether answers name every cancellation confirmed since the last contact, and
// returns the jobs.
func (c *storeContact) coveredBy(answers []cancellation.PeerAnswer, now time.Time) (jobs []string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.Covers(answers, now)
}

// setSoleLeaderUntil notes that no peer can lead until then.
func (c *storeContact) setSoleLeaderUntil(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.soleLeaderUntil = until
}

func (c *storeContact) soleLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.soleLeaderUntil)
}
