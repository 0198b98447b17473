package fleet

import (
	"testing"
	"time"

	"drumpick/internal/forecast"
	"drumpick/internal/packing"
)

const (
	term  = 5
	lease = 20 * time.Second
)

var (
	start = time.Unix(1_000_000, 0)
	task  = TaskID{Job: "j-000001", N: 0}
)

// status returns a status of machine m-1 in its first incarnation, with this term's fencing token.
func status(sequence uint64, tasks ...TaskStatus) *Heartbeat {
	return &Heartbeat{
		Machine: "m-1", Addr: "m-1:9000", Type: "c4", Zone: "a",
		Incarnation: 1, Sequence: sequence, FencingToken: term, Tasks: tasks, Via: "controller-1",
	}
}

func running(number uint64) TaskStatus {
	return TaskStatus{Task: task.String(), Attempt: number, Status: Running.String()}
}

// newReconciledTable returns a table with machine m-1, reconciled by a heartbeat with sequence
// number 10.
func newReconciledTable(t *testing.T) (*Table, *Machine) {
	t.Helper()
	table := NewTable(term, lease, forecast.Params{Window: 1})
	out := table.Apply(status(10), true, start)
	if out.Stale || !out.FirstStatus || !out.Reconciled {
		t.Fatalf("first heartbeat: got %+v, want it applied and the machine reconciled", out)
	}
	return table, out.Machine
}

// send plans an attempt on a machine and sends its run command.
func send(table *Table, m *Machine, now time.Time) *Attempt {
	a := table.Plan(m, task, 1, &packing.Item{}, now)
	a.MarkSent(now)
	return a
}

// A status older than the last applied one changes nothing, for any list of tasks.
func TestLateStatusChangesNothing(t *testing.T) {
	table, m := newReconciledTable(t)
	newest := status(11, running(1))
	newest.Incarnation = 2
	table.Apply(newest, true, start)
	lowerSequence, lowerIncarnation, lowerToken := status(10), status(12), status(12)
	lowerSequence.Incarnation, lowerToken.Incarnation = 2, 2
	lowerToken.FencingToken = term - 1
	for name, hb := range map[string]*Heartbeat{
		"sequence": lowerSequence, "incarnation": lowerIncarnation, "fencing token": lowerToken,
	} {
		if out := table.Apply(hb, true, start); !out.Stale || out.Changed {
			t.Errorf("older by %s: got %+v, want it stale", name, out)
		}
		if len(m.Attempts()) != 1 || m.Sequence != 11 {
			t.Errorf("older by %s: %d attempts at sequence number %d, want 1 at 11", name, len(m.Attempts()), m.Sequence)
		}
	}
}

// A status that may have been created before the run command arrived does not make the attempt lost.
// A later heartbeat without the attempt proves that the command never arrived.
func TestRunCommandInFlightIsKept(t *testing.T) {
	table, m := newReconciledTable(t)
	a := send(table, m, start)
	if table.Apply(status(11), false, start); !a.OnMachine() {
		t.Error("the attempt is forgotten after an answer without it, want it kept")
	}
	out := table.Apply(status(12), true, start)
	if a.OnMachine() || len(out.Lost) != 1 {
		t.Errorf("the attempt is on the machine: %v, lost: %d; want it lost after a later heartbeat", a.OnMachine(), len(out.Lost))
	}
}

// A heartbeat without a running attempt may be a late copy: the machine is probed, and the answer
// determines whether the attempt is lost.
func TestMissingAttemptIsProbed(t *testing.T) {
	table, m := newReconciledTable(t)
	table.Apply(status(11, running(1)), true, start)
	if out := table.Apply(status(12), true, start); len(out.Lost) != 0 {
		t.Fatalf("%d attempts are lost after a heartbeat, want none", len(out.Lost))
	}
	now := start.Add(time.Minute)
	probes := table.DueProbes(5*time.Second, now)
	if len(probes) != 1 || probes[0].Machine != m.Name {
		t.Fatalf("probes are %+v, want one of %s", probes, m.Name)
	}
	if again := table.DueProbes(5*time.Second, now); len(again) != 0 {
		t.Errorf("probes at the same time are %+v, want none", again)
	}
	out, restarted := table.ApplyProbe(probes[0], status(13), now)
	if restarted || len(out.Lost) != 1 || len(m.Attempts()) != 0 {
		t.Errorf("after the answer: restarted %v, %d lost, %d left; want 1 lost and none left", restarted, len(out.Lost), len(m.Attempts()))
	}
}

// An answer to a probe with a lower sequence number shows that the machine has restarted, unless
// another status was applied after the probe was sent.
func TestProbeFindsRestartedMachine(t *testing.T) {
	table, m := newReconciledTable(t)
	table.Apply(status(11, running(1)), true, start)
	table.Apply(status(12), true, start)
	probe := table.DueProbes(5*time.Second, start.Add(time.Minute))[0]
	table.Apply(status(13), true, start.Add(time.Minute))
	if out, restarted := table.ApplyProbe(probe, status(3), start.Add(time.Minute)); !out.Stale || restarted {
		t.Errorf("with a status in between: stale %v, restarted %v; want it stale", out.Stale, restarted)
	}
	probe = table.DueProbes(5*time.Second, start.Add(2*time.Minute))[0]
	out, restarted := table.ApplyProbe(probe, status(3), start.Add(2*time.Minute))
	if out.Stale || !restarted || m.Sequence != 3 || len(m.Attempts()) != 0 {
		t.Errorf("stale %v, restarted %v, sequence number %d, %d attempts; want it restarted at 3 without attempts",
			out.Stale, restarted, m.Sequence, len(m.Attempts()))
	}
}

// A heartbeat overtaken by the answer to a probe is not late while its worker waits for the response.
func TestOvertakenHeartbeat(t *testing.T) {
	table, _ := newReconciledTable(t)
	table.Apply(status(12), false, start)
	if got := table.Recency(status(11), start.Add(time.Second)); got != Overtaken {
		t.Errorf("within the response timeout: got %v, want %v", got, Overtaken)
	}
	if got := table.Recency(status(11), start.Add(responseTimeout)); got != Late {
		t.Errorf("after the response timeout: got %v, want %v", got, Late)
	}
	if got := table.Recency(status(10), start.Add(time.Second)); got != Late {
		t.Errorf("one that was applied before: got %v, want %v", got, Late)
	}
	if got := table.Recency(status(13), start.Add(time.Second)); got != Current {
		t.Errorf("a newer one: got %v, want %v", got, Current)
	}
}

// A worker whose heartbeats come through a different controller each time has not received the
// answers: it is unreachable after two, and reachable again once it stays with a controller.
func TestUnreachableAfterMissedAnswers(t *testing.T) {
	table, m := newReconciledTable(t)
	now := start
	heartbeat := func(sequence uint64, via string) {
		hb := status(sequence)
		hb.Via = via
		now = now.Add(10 * time.Second)
		table.Apply(hb, true, now)
	}
	m.MarkAnswered("controller-1", now)
	heartbeat(20, "controller-2")
	if m.Unreachable() {
		t.Error("unreachable after one missed answer, want it after two")
	}
	m.MarkAnswered("controller-2", now)
	heartbeat(30, "controller-1")
	if !m.Unreachable() || m.UnreachableFor(now) != 10*time.Second {
		t.Errorf("unreachable %v for %v, want it for 10s", m.Unreachable(), m.UnreachableFor(now))
	}
	m.MarkAnswered("controller-1", now)
	heartbeat(31, "controller-1")
	if m.Unreachable() {
		t.Error("unreachable after a heartbeat through the same controller, want it reachable")
	}
}

// A new incarnation of a worker has lost its tasks; an attempt that is only planned is kept.
func TestNewIncarnationLosesRunningTasks(t *testing.T) {
	table, m := newReconciledTable(t)
	table.Apply(status(11, running(1)), true, start)
	planned := table.Plan(m, TaskID{Job: "j-000002"}, 1, &packing.Item{}, start)
	hb := status(1)
	hb.Incarnation = 2
	out := table.Apply(hb, true, start)
	if len(out.Lost) != 1 || out.Lost[0].Task != task || !planned.OnMachine() {
		t.Errorf("%d attempts lost, the planned attempt is on the machine: %v; want only the running one lost", len(out.Lost), planned.OnMachine())
	}
}
