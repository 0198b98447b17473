package fleet

import (
	"testing"
	"time"

	"drumpick/internal/forecast"
)

// A lease expires once neither a response nor a status has arrived for longer than its duration. The
// machine's attempts are then returned as lost, exactly once.
func TestExpireLeases(t *testing.T) {
	table, m := newReconciledTable(t)
	table.Apply(status(11, running(1)), true, start)
	m.MarkAnswered("controller-1", start.Add(time.Second))
	if lost := table.ExpireLeases(start.Add(time.Second + lease)); len(lost) != 0 || m.LeaseExpired {
		t.Errorf("%d attempts are lost at the end of the lease, want none before", len(lost))
	}
	if lost := table.ExpireLeases(start.Add(2*time.Second + lease)); len(lost) != 1 || !m.LeaseExpired {
		t.Errorf("%d attempts are lost after the lease, want 1", len(lost))
	}
	if lost := table.ExpireLeases(start.Add(2 * lease)); len(lost) != 0 {
		t.Errorf("%d attempts are lost a second time, want none", len(lost))
	}
}

// An inherited machine awaits reconciliation until a status shows this term's fencing token or the
// leases of earlier terms have expired. A heartbeat without a fencing token does not reconcile it.
func TestInheritedMachinesAwaitReconciliation(t *testing.T) {
	table := NewTable(term, lease, forecast.Params{Window: 1})
	for _, name := range []string{"m-1", "m-2"} {
		table.GetOrCreate(name, name+":9000", "c4", "a", false).Inherited = true
	}
	early := status(9)
	early.FencingToken = 0
	if out := table.Apply(early, true, start); out.Reconciled {
		t.Error("reconciled by a heartbeat without a fencing token, want it to wait")
	}
	if out := table.Apply(status(10), true, start); !out.Reconciled {
		t.Error("not reconciled by a heartbeat with this term's fencing token")
	}
	if all, unreconciled := table.CountInherited(); all != 2 || unreconciled != 1 || !table.HasUnreconciled() {
		t.Errorf("%d of %d inherited machines are unreconciled, want 1 of 2", unreconciled, all)
	}
	if machines, _ := table.ExpireEarlierLeases(start.Add(2 * lease)); machines != 1 || table.HasUnreconciled() {
		t.Errorf("%d machines had earlier leases expire, unreconciled machines left: %v; want 1 and false", machines, table.HasUnreconciled())
	}
}

// A machine whose heartbeat this term has answered runs its tasks for as long as that lease lasts, also after
// all leases of earlier terms have expired and although no status has shown this term's fencing token yet. Its
// attempts were once taken for lost, and started a second time elsewhere.
func TestEarlierLeasesExpireAfterLeaseOfThisTerm(t *testing.T) {
	table := NewTable(term, lease, forecast.Params{Window: 1})
	table.GetOrCreate("m-1", "m-1:9000", "c4", "a", false).Inherited = true
	before := status(9, running(1))
	before.FencingToken = term - 1
	m := table.Apply(before, true, start).Machine
	answeredAt := start.Add(time.Second)
	m.MarkAnswered("controller-1", answeredAt)
	if machines, lost := table.ExpireEarlierLeases(answeredAt.Add(lease)); machines != 0 || len(lost) != 0 || !table.HasUnreconciled() {
		t.Errorf("%d machines expired and %d attempts are lost during the lease of this term, want none", machines, len(lost))
	}
	if machines, lost := table.ExpireEarlierLeases(answeredAt.Add(lease + time.Second)); machines != 1 || len(lost) != 1 || table.HasUnreconciled() {
		t.Errorf("%d machines expired and %d attempts are lost after the lease of this term, want one of each", machines, len(lost))
	}
}
