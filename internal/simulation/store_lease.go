package simulation

import (
	"time"

	"drumpick/internal/records"
)

// lease is a lease in the store. Keys attached to it are deleted when it ends.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// grantLease grants a lease and returns its ID.
func (s *Store) grantLease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	l := &lease{ttl: ttl}
	s.leases[s.lastLease] = l
	s.resetLeaseTimerLocked(s.lastLease, l)
	s.recordChangeLocked(Change{LeaseID: s.lastLease, TTL: ttl})
	return s.lastLease
}

// renewLease renews a lease. It returns false if the lease does not exist.
func (s *Store) renewLease(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l != nil {
		s.resetLeaseTimerLocked(id, l)
	}
	return l != nil
}

// revokeLease ends a lease at once and deletes the keys attached to it.
func (s *Store) revokeLease(id uint64) {
	s.mu.Lock()
	s.endLeaseLocked(id)
	s.mu.Unlock()
}

// resetLeaseTimerLocked restarts a lease's timer with the full TTL. If the timer fires during an outage, the lease
// stays; SetOutage restarts the timer.
func (s *Store) resetLeaseTimerLocked(id uint64, l *lease) {
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.AfterFunc(l.ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == l && !s.outage {
			s.endLeaseLocked(id)
		}
	})
}

// endLeaseLocked deletes a lease and the keys attached to it.
func (s *Store) endLeaseLocked(id uint64) {
	if l := s.leases[id]; l != nil {
		l.timer.Stop()
	}
	delete(s.leases, id)
	change := Change{RevokedLease: id}
	for key, kv := range s.entries {
		if kv.LeaseID == id {
			s.revision++
			delete(s.entries, key)
			s.log = append(s.log, records.Event{Delete: key, Revision: s.revision})
			change.Deletes = append(change.Deletes, key)
		}
	}
	s.recordChangeLocked(change)
	s.wakeWatchersLocked()
}
