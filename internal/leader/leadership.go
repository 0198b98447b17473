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

// mayStartTasks reports whether tasks may be started now: the lease on the leader key is certain
// not to have expired, or, in an outage of the store for all controllers, every peer has just
// reported that the store has not answered it since the lease was last certain. No peer can have
// acquired the key before that, and a later election requires an answer of the store. The peers'
// reports do not suffice for scaling out and in, which requires the lease.
func (t *term) mayStartTasks() bool {
	if t.leaseConfirmed() {
		return true
	}
	number, _ := t.election.Term()
	return number == t.number && t.contact.soleLeader()
}

// leaderKeyCompare returns the compare that every write of the term requires: the leader key is
// still at the term.
func (t *term) leaderKeyCompare() []records.Compare {
	return []records.Compare{{Key: records.KeyLeader, Revision: t.number}}
}

// storeContact tracks how current the leader's knowledge of the store is, by its own reads and by
// the answers of its peers.
type storeContact struct {
	mu              sync.Mutex                // guards the fields below
	bound           cancellation.RenewalBound // until when workers' leases may be renewed
	soleLeaderUntil time.Time                 // until then no peer can lead, even if the lease has expired
}

func newStoreContact(cancelTime, lease time.Duration) storeContact {
	return storeContact{bound: cancellation.NewRenewalBound(cancelTime, lease)}
}

// mayRenewLeases reports whether heartbeats may be accepted. A leader that cannot reach the store
// may miss cancellations, so it stops renewing workers' leases early enough for them to expire
// within the cancellation time.
func (c *storeContact) mayRenewLeases(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.MayRenew(now)
}

// record records that all cancellations confirmed before a time are known.
func (c *storeContact) record(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bound.RecordContact(at)
}

// last returns the latest time before which all confirmed cancellations are known.
func (c *storeContact) last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.LastContact()
}

// requiredSpan returns how far back the answers of peers queried now have to reach.
func (c *storeContact) requiredSpan(now time.Time, timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.RequiredSpan(now, timeout)
}

// coveredBy reports whether the answers include every cancellation confirmed since the last
// contact, and returns the cancelled jobs.
func (c *storeContact) coveredBy(answers []cancellation.PeerAnswer, now time.Time) (jobs []string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.Covers(answers, now)
}

// setSoleLeaderUntil records until when no peer can lead.
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
