package fleet

import "time"

// ExpireLeases finds reconciled machines whose lease has surely expired: none of their heartbeats was
// answered with 200 for that long, and since they are reconciled no other leader can have renewed it.
// It returns the attempts that are thereby gone.
func (t *Table) ExpireLeases(now time.Time) []*Attempt {
	var gone []*Attempt
	for _, m := range t.Sorted() {
		if !m.Reconciled || m.LeaseExpired || now.Sub(m.LeaseRenewedAt) <= t.Lease || now.Sub(m.LastStatusAt) <= t.Lease {
			continue
		}
		m.LeaseExpired = true
		gone = append(gone, m.forgetAll()...)
	}
	return gone
}

// ExpireEarlierLeases notes that no lease which an earlier term granted is left: what the machines
// ran that were not heard under our term is gone. It returns the number of these machines and the
// attempts that are thereby gone.
func (t *Table) ExpireEarlierLeases() (machines int, gone []*Attempt) {
	for _, m := range t.Sorted() {
		if !m.AwaitsReconciliation() {
			continue
		}
		machines++
		m.EarlierLeasesExpired, m.LeaseExpired = true, true
		gone = append(gone, m.forgetAll()...)
	}
	return machines, gone
}

// AwaitsReconciliation reports whether the machine may still hold what an earlier term sent: it was on
// record when ours began, has not shown ours, and an earlier lease may be left.
func (m *Machine) AwaitsReconciliation() bool {
	return m.Inherited && !m.Reconciled && !m.EarlierLeasesExpired
}

// LastHeard is when a machine was last heard under our term, or since when it is waited for.
func (m *Machine) LastHeard() time.Time {
	if m.LastStatusAt.Before(m.SilentSince) {
		return m.SilentSince
	}
	return m.LastStatusAt
}

// CountInherited counts the machines that earlier terms may have used, and those of
// them that still await reconciliation.
func (t *Table) CountInherited() (all, unreconciled int) {
	for _, m := range t.sorted {
		if m.Inherited {
			all++
			if m.AwaitsReconciliation() {
				unreconciled++
			}
		}
	}
	return all, unreconciled
}

// HasUnreconciled reports whether any machine that earlier terms may have used still awaits
// reconciliation.
func (t *Table) HasUnreconciled() bool {
	for _, m := range t.Machines {
		if m.AwaitsReconciliation() {
			return true
		}
	}
	return false
}
