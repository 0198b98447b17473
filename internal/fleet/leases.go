package fleet

import "time"

// ExpireLeases expires the leases of reconciled machines that have had neither a status nor a renewal
// (a heartbeat answered with status 200) for longer than the lease. No other leader can have renewed
// them, since the machines are reconciled. It returns the attempts that are lost.
func (t *Table) ExpireLeases(now time.Time) []*Attempt {
	var lost []*Attempt
	for _, m := range t.Sorted() {
		if !m.Reconciled || m.LeaseExpired || now.Sub(m.LeaseRenewedAt) <= t.Lease || now.Sub(m.LastStatusAt) <= t.Lease {
			continue
		}
		m.LeaseExpired = true
		lost = append(lost, m.forgetAll()...)
	}
	return lost
}

// ExpireEarlierLeases records that all leases granted in earlier terms have expired: machines that
// still await reconciliation have stopped their tasks. It returns the number of these machines and
// the attempts that are lost.
//
// A machine whose heartbeat this term has answered has a lease of this term, also if none of its statuses
// has shown the term's fencing token yet. While that lease lasts, the machine runs its tasks and still
// awaits reconciliation; otherwise they would be started a second time elsewhere.
func (t *Table) ExpireEarlierLeases(now time.Time) (machines int, lost []*Attempt) {
	for _, m := range t.Sorted() {
		if !m.AwaitsReconciliation() || now.Sub(m.LeaseRenewedAt) <= t.Lease {
			continue
		}
		machines++
		m.EarlierLeasesExpired, m.LeaseExpired = true, true
		lost = append(lost, m.forgetAll()...)
	}
	return machines, lost
}

// AwaitsReconciliation reports whether the machine may still run tasks that an earlier term sent: it
// was on record when this term began, no status has shown this term's fencing token, and a lease of
// an earlier term may still be valid.
func (m *Machine) AwaitsReconciliation() bool {
	return m.Inherited && !m.Reconciled && !m.EarlierLeasesExpired
}

// LastHeard returns when the machine's last status of this term arrived, or SilentSince if that is
// later.
func (m *Machine) LastHeard() time.Time {
	if m.LastStatusAt.Before(m.SilentSince) {
		return m.SilentSince
	}
	return m.LastStatusAt
}

// CountInherited returns the number of machines in the table that earlier terms may have used, and how
// many of these still await reconciliation.
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

// HasUnreconciled reports whether any machine still awaits reconciliation.
func (t *Table) HasUnreconciled() bool {
	for _, m := range t.Machines {
		if m.AwaitsReconciliation() {
			return true
		}
	}
	return false
}
