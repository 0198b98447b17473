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
// reported no answer of the store since the lease was last certain. While the lease was certain, no
// peer could acquire the key, and a later election requires an answer of the store. Scaling out and
// in requires the lease; the peers' reports do not suffice for it.
func (t *term) mayStartTasks() bool {
	if t.leaseConfirmed() {
		return true
	}
	number, _ := t.election.Term()
	return number == t.number && t.contact.soleLeader()
}

// leaderKeyCompare returns the compare that every write of the term requires: the revision of the
// leader key is still the term.
func (t *term) leaderKeyCompare() []records.Compare {
	return []records.Compare{{Key: records.KeyLeader, Revision: t.number}}
}

// storeContact tracks how current the leader's knowledge of the store is, by the leader's own reads
// and by the answers of its peers. It is safe for concurrent use.
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

// record records that the leader knows all cancellations confirmed before a time.
func (c *storeContact) record(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bound.RecordContact(at)
}

// last returns the latest time before which the leader knows all confirmed cancellations; zero: none.
func (c *storeContact) last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.LastContact()
}

// requiredSpan returns how far back the peers' lists of cancellations have to reach if the peers
// are queried now with a timeout.
func (c *storeContact) requiredSpan(now time.Time, timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.RequiredSpan(now, timeout)
}

// coveredBy reports whether the answers, all received by now, include every cancellation confirmed
// since the last contact, and returns the ids of the cancelled jobs.
func (c *storeContact) coveredBy(answers []cancellation.PeerAnswer, now time.Time) (jobs []string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.Covers(answers, now)
}

// setSoleLeaderUntil records until when no peer can lead, even if the lease on the leader key has
// expired.
func (c *storeContact) setSoleLeaderUntil(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.soleLeaderUntil = until
}

// soleLeader reports whether it is certain that no peer can lead now.
func (c *storeContact) soleLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.soleLeaderUntil)
}
