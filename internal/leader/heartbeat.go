package leader

import (
	"time"

	"drumpick/internal/fleet"
)

// commitWaitDivisor is the part of a heartbeat interval, one in so many, that a heartbeat waits at
// the most for a record that its machine needs.
const commitWaitDivisor = 16

// Heartbeat takes a worker's heartbeat through its stages: it is admitted and reconciled with
// what is known of the machine, the machine is put on record, tasks are chosen for it, and it is
// responded to. Each stage may reject the heartbeat.
func (l *Leader) Heartbeat(heartbeat *fleet.Heartbeat) fleet.HeartbeatResult {
	x := heartbeatExchange{Leader: l, heartbeat: heartbeat}
	if outcome := x.admit(); outcome != fleet.HeartbeatAccepted {
		return fleet.HeartbeatResult{Outcome: outcome}
	}
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	if result := x.reconcileLocked(); result != nil {
		return *result
	}
	if !x.awaitRecordLocked() {
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
	}
	if !x.planLocked() {
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
	}
	return x.respondLocked()
}

// heartbeatExchange is a heartbeat on its way through the stages.
type heartbeatExchange struct {
	*Leader
	heartbeat *fleet.Heartbeat
	now       time.Time      // as the stage takes it
	machine   *fleet.Machine // from reconciling on
	mayStart  bool           // tasks may be started; from choosing on
}

// admit reports whether the leader takes heartbeats now. It waits a moment for the state of
// earlier terms to be loaded.
func (x *heartbeatExchange) admit() fleet.HeartbeatOutcome {
	if !x.awaitLoaded(x.settings.HeartbeatInterval / 2) {
		return fleet.HeartbeatUnavailable
	}
	// Without this, workers would be held by a controller that has resigned and still waits for
	// calls which nobody answers.
	if x.closed.Load() {
		return fleet.HeartbeatRedirected
	}
	x.now = time.Now()
	// Without this, leases would be renewed while cancellations may be missed, be it in an outage
	// in which peers vouch for the leader, or with a watch that hangs.
	if !x.contact.mayRenewLeases(x.now) {
		return fleet.HeartbeatUnavailable
	}
	return fleet.HeartbeatAccepted
}

func (l *Leader) awaitLoaded(timeout time.Duration) bool {
	select {
	case <-l.loaded:
		return true
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-l.loaded:
		return true
	case <-timer.C:
		return false
	}
}

// reconcileLocked takes in what the worker reports. It returns a result when the heartbeat goes
// no further: another leader has a higher term, or a later status is known already.
func (x *heartbeatExchange) reconcileLocked() *fleet.HeartbeatResult {
	core := x.state.scheduler
	core.ObserveDelay(time.Since(x.now))
	if x.heartbeat.FencingToken > x.number {
		x.election.Resign()
		return &fleet.HeartbeatResult{Outcome: fleet.HeartbeatRedirected}
	}
	machine, stale := core.Reconcile(x.heartbeat, true, x.now)
	if stale || machine == nil {
		if response, ok := core.RenewOvertaken(machine, x.heartbeat, x.now); ok {
			return &fleet.HeartbeatResult{Outcome: fleet.HeartbeatAccepted, Response: response}
		}
		return &fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
	}
	core.ObserveUsage(machine)
	x.machine = machine
	return nil
}

// awaitRecordLocked waits a moment for the record of a machine that may be given tasks, and reports
// whether the heartbeat may go on.
func (x *heartbeatExchange) awaitRecordLocked() bool {
	m := x.machine
	// A machine that may have nothing yet, as it has not shown the term, needs no record: it is
	// answered, which shows it the term, and given nothing. Otherwise a late copy of a heartbeat
	// could put a machine on record that is not there, and the next failover would wait for it.
	if m.Recorded || !m.Reconciled && m.Empty() {
		return true
	}
	return x.awaitCommitLocked(m, func() bool { return m.Recorded })
}

// planLocked plans what the machine is to start, and waits a moment for watermarks that the
// plan lacks. It reports whether the heartbeat may go on. From here on the lock is held until the
// response is made, and whether watermarks are relaxed is asked under it: the attestor relies on
// that.
func (x *heartbeatExchange) planLocked() bool {
	core := x.state.scheduler
	x.now = time.Now()
	x.mayStart = x.mayStartTasks()
	core.SetWatermarksRelaxed(x.attestor.relaxed(x.now))
	if !x.mayStart {
		return true
	}
	core.PlanMachine(x.machine, x.now)
	if _, failing, _ := x.store.Health(); failing || !core.AwaitsWatermark(x.machine) {
		return true
	}
	if !x.awaitCommitLocked(x.machine, x.watermarksStoredLocked) {
		return false
	}
	// The lock was handed back meanwhile, so that the plan is made anew.
	x.now = time.Now()
	core.SetWatermarksRelaxed(x.attestor.relaxed(x.now))
	core.PlanMachine(x.machine, x.now)
	return true
}

// watermarksStoredLocked reports whether the plan for the machine waits for no watermark, and asks
// for the missing ones to be stored.
func (x *heartbeatExchange) watermarksStoredLocked() bool {
	awaits := x.state.scheduler.AwaitsWatermark(x.machine)
	if awaits {
		x.state.persistence.RequestWatermark()
	}
	return !awaits
}

// respondLocked makes the response of what was planned.
func (x *heartbeatExchange) respondLocked() fleet.HeartbeatResult {
	core := x.state.scheduler
	response := core.Respond(x.machine, x.mayStart, x.now)
	// Without this, tasks could be started after the lease on the leader key has expired while
	// the response was made. What was noted as sent is given up when the next heartbeat lacks it.
	if x.mayStart && !x.mayStartTasks() {
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
	}
	if core.HasUnstoredJobs() {
		x.persistSoon()
	}
	core.RecordAnswer(x.machine, x.heartbeat.Via, time.Now())
	return fleet.HeartbeatResult{Outcome: fleet.HeartbeatAccepted, Response: response}
}

// awaitCommitLocked waits a moment until what a machine needs is in the store, so that what waits
// for it starts with this response and not a heartbeat later. The lock is held before and after,
// and handed back while it waits. It reports whether the machine's heartbeat is still the latest
// known, and may still be accepted.
func (l *Leader) awaitCommitLocked(machine *fleet.Machine, ready func() bool) bool {
	incarnation, sequence := machine.Incarnation, machine.Sequence
	// Others that came in the same bundle wait at the same time.
	timeout := time.NewTimer(l.settings.HeartbeatInterval / commitWaitDivisor)
	defer timeout.Stop()
	for waiting := true; waiting && !ready() && l.leaseConfirmed(); {
		committed := l.state.committed
		l.state.mu.Unlock()
		l.persistSoon()
		select {
		case <-committed:
		case <-timeout.C:
			waiting = false
		}
		l.state.mu.Lock()
	}
	return l.state.scheduler.IsLatestHeartbeat(machine, incarnation, sequence) && l.contact.mayRenewLeases(time.Now())
}

// Recency reports how a heartbeat stands to what is known of its machine.
func (l *Leader) Recency(heartbeat *fleet.Heartbeat) fleet.Recency {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.scheduler.Recency(heartbeat, time.Now())
}

// NeedsRelay reports whether a worker whose heartbeat a peer passed on cannot reach this
// controller itself.
func (l *Leader) NeedsRelay(heartbeat *fleet.Heartbeat) bool {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.scheduler.NeedsRelay(heartbeat.Machine, time.Now())
}

// ObserveDelay takes in by how much something waited before this controller got to it, as others
// have measured it.
func (l *Leader) ObserveDelay(delay time.Duration) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	l.state.scheduler.ObserveDelay(delay)
}
