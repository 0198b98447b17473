package leader

import (
	"time"

	"drumpick/internal/fleet"
)

// commitWaitDivisor is the divisor of the heartbeat interval that gives the maximum time a
// heartbeat waits for a record that its machine needs.
const commitWaitDivisor = 16

// HandleHeartbeat processes a worker's heartbeat in stages: admit it, reconcile it with the known
// state of the machine, wait for the machine's record to be stored, plan tasks for the machine, and
// respond. Each stage may reject the heartbeat.
func (l *Leader) HandleHeartbeat(heartbeat *fleet.Heartbeat) fleet.HeartbeatResult {
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

// heartbeatExchange is the processing state of one heartbeat.
type heartbeatExchange struct {
	*Leader
	heartbeat *fleet.Heartbeat
	now       time.Time      // time used by the current stage
	machine   *fleet.Machine // set by reconcileLocked
	mayStart  bool           // tasks may be started; set by planLocked
}

// admit reports whether the leader accepts heartbeats now. It waits briefly for the state of
// earlier terms to be loaded.
func (x *heartbeatExchange) admit() fleet.HeartbeatOutcome {
	if !x.awaitLoaded(x.settings.HeartbeatInterval / 2) {
		return fleet.HeartbeatUnavailable
	}
	// Without this check, workers would stay with a controller that has resigned and still waits
	// for unanswered calls.
	if x.closed.Load() {
		return fleet.HeartbeatRedirected
	}
	x.now = time.Now()
	// Without this check, leases would be renewed while cancellations may be missed: in an outage
	// of the store in which the peers report that none of them can lead, or while a watch hangs.
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

// reconcileLocked reconciles the status that the worker reports. It returns a result if the
// heartbeat is not processed further: another leader has a higher term, or a later status is
// already known.
func (x *heartbeatExchange) reconcileLocked() *fleet.HeartbeatResult {
	sched := x.state.scheduler
	sched.ObserveDelay(time.Since(x.now))
	if x.heartbeat.FencingToken > x.number {
		x.election.Resign()
		return &fleet.HeartbeatResult{Outcome: fleet.HeartbeatRedirected}
	}
	machine, stale := sched.Reconcile(x.heartbeat, true, x.now)
	if stale || machine == nil {
		if response, ok := sched.RenewOvertaken(machine, x.heartbeat, x.now); ok {
			return &fleet.HeartbeatResult{Outcome: fleet.HeartbeatAccepted, Response: response}
		}
		return &fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
	}
	sched.ObserveUsage(machine)
	x.machine = machine
	return nil
}

// awaitRecordLocked waits briefly for the record of a machine that may get tasks to be stored, and
// reports whether processing may continue.
func (x *heartbeatExchange) awaitRecordLocked() bool {
	m := x.machine
	// A machine that has not shown the term and is not known to have tasks needs no record: its
	// answer carries the term and no tasks. Otherwise a delayed copy of a heartbeat could record a
	// machine that no longer exists, and the next failover would wait for it.
	if m.Recorded || !m.Reconciled && m.Empty() {
		return true
	}
	return x.awaitCommitLocked(m, func() bool { return m.Recorded })
}

// planLocked plans tasks for the machine, and waits briefly for the watermarks that the plan
// requires. It reports whether processing may continue. From here on the lock is held until the
// response is built, and whether watermarks are relaxed is read under it: attestor.announce relies
// on that.
func (x *heartbeatExchange) planLocked() bool {
	sched := x.state.scheduler
	x.now = time.Now()
	x.mayStart = x.mayStartTasks()
	sched.SetWatermarksRelaxed(x.attestor.relaxed(x.now))
	if !x.mayStart {
		return true
	}
	sched.PlanMachine(x.machine, x.now)
	if _, failing, _ := x.store.Health(); failing || !sched.AwaitsWatermark(x.machine) {
		return true
	}
	if !x.awaitCommitLocked(x.machine, x.watermarksStoredLocked) {
		return false
	}
	// The lock was released meanwhile, so the plan has to be made again.
	x.now = time.Now()
	sched.SetWatermarksRelaxed(x.attestor.relaxed(x.now))
	sched.PlanMachine(x.machine, x.now)
	return true
}

// watermarksStoredLocked reports whether all watermarks that the machine's plan requires are
// stored, and requests the missing ones.
func (x *heartbeatExchange) watermarksStoredLocked() bool {
	awaits := x.state.scheduler.AwaitsWatermark(x.machine)
	if awaits {
		x.state.persistence.RequestWatermark()
	}
	return !awaits
}

// respondLocked builds the response from the plan.
func (x *heartbeatExchange) respondLocked() fleet.HeartbeatResult {
	sched := x.state.scheduler
	response := sched.Respond(x.machine, x.mayStart, x.now)
	// Without this check, tasks could start after the lease on the leader key has expired while the
	// response was built. Commands recorded as sent are withdrawn when the next heartbeat does not
	// show them.
	if x.mayStart && !x.mayStartTasks() {
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
	}
	if sched.HasUnstoredJobs() {
		x.persistSoon()
	}
	sched.RecordAnswer(x.machine, x.heartbeat.Via, time.Now())
	return fleet.HeartbeatResult{Outcome: fleet.HeartbeatAccepted, Response: response}
}

// awaitCommitLocked waits briefly until a record that the machine needs is stored, so that its
// tasks start with this response instead of a heartbeat later. The caller must hold the state's
// lock, which is released during the wait. It reports whether the machine's heartbeat is still the
// latest and may still be accepted.
func (l *Leader) awaitCommitLocked(machine *fleet.Machine, ready func() bool) bool {
	incarnation, sequence := machine.Incarnation, machine.Sequence
	// Heartbeats of the same bundle wait concurrently.
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

// Recency compares a heartbeat with the latest known one of its machine.
func (l *Leader) Recency(heartbeat *fleet.Heartbeat) fleet.Recency {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.scheduler.Recency(heartbeat, time.Now())
}

// NeedsRelay reports whether the worker of a heartbeat forwarded by a peer cannot reach this
// controller directly.
func (l *Leader) NeedsRelay(heartbeat *fleet.Heartbeat) bool {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.scheduler.NeedsRelay(heartbeat.Machine, time.Now())
}

// ObserveDelay records how long something waited for this controller, as measured by a peer.
func (l *Leader) ObserveDelay(delay time.Duration) {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	l.state.scheduler.ObserveDelay(delay)
}
