package fleet

import (
	"testing"
	"time"

	"drumpick/internal/forecast"
)

// A lease expires when neither an answer nor a status has renewed it for its length, and its tasks are
// gone then, once.
func TestExpireLeases(t *testing.T) {
	table, m := newReconciledTable(t)
	table.Apply(status(11, running(1)), true, start)
	m.MarkAnswered("controller-1", start.Add(time.Second))
	if gone := table.ExpireLeases(start.Add(time.Second + lease)); len(gone) != 0 || m.LeaseExpired {
		t.Errorf("%d attempts are gone at the end of the lease, want none before", len(gone))
	}
	if gone := table.ExpireLeases(start.Add(2*time.Second + lease)); len(gone) != 1 || !m.LeaseExpired {
		t.Errorf("%d attempts are gone after the lease, want 1", len(gone))
	}
	if gone := table.ExpireLeases(start.Add(2 * lease)); len(gone) != 0 {
		t.Errorf("%d attempts are gone a second time, want none", len(gone))
	}
}

// A machine that an earlier term may have used awaits reconciliation until it shows our term, or the
// leases of earlier terms have expired. A heartbeat without a fencing token is not enough.
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
		t.Error("not reconciled by a heartbeat that shows our term")
	}
	if all, unreconciled := table.CountInherited(); all != 2 || unreconciled != 1 || !table.HasUnreconciled() {
		t.Errorf("%d of %d inherited machines are unreconciled, want 1 of 2", unreconciled, all)
	}
	if machines, _ := table.ExpireEarlierLeases(); machines != 1 || table.HasUnreconciled() {
		t.Errorf("%d machines lost their earlier leases and some wait: %v; want 1 and none", machines, table.HasUnreconciled())
	}
}
