package leader

import (
	"slices"
	"time"

	"drumpick/internal/fleet"
)

// commitWaitDivisor is the divisor of the heartbeat interval that gives the maximum time for which
// a heartbeat waits until a record that its machine needs is stored.
const commitWaitDivisor = 16

// HandleHeartbeat processes a worker's heartbeat in stages: admit it, reconcile it with the known
// state of the machine, wait for the machine's record to be stored, plan tasks for the machine, and
// respond. Each stage may reject the heartbeat.
func (l *Leader) HandleHeartbeat(heartbeat *fleet.Heartbeat) fleet.HeartbeatResult {
	x := heartbeatExchange{Leader: l, heartbeat: heartbeat}
	if outcome := x.admit(); outcome != fleet.HeartbeatAccepted {
		return fleet.HeartbeatResult{Outcome: outcome}
	}
	l.lock()
	defer l.unlock()
	if l.state.inconsistent {
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatRedirected}
	}
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

// heartbeatExchange is the processing state of one heartbeat. The caller of its Locked methods must
// hold the lock of state.
type heartbeatExchange struct {
	*Leader
	heartbeat *fleet.Heartbeat
	now       time.Time      // time used by the current stage
	machine   *fleet.Machine // set by reconcileLocked
	mayStart  bool           // the response may start tasks; set by planLocked
}

// admit returns HeartbeatAccepted if the leader can process heartbeats now, else the outcome to
// respond with. It waits up to half a heartbeat interval for the state of earlier terms to be
// loaded.
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
	// Without this check, workers' leases would be renewed while the leader may miss cancellations:
	// in an outage of the store in which the peers report that none of them can lead, or while the
	// watch of open jobs gets no answer.
	if !x.contact.mayRenewLeases(x.now) {
		return fleet.HeartbeatUnavailable
	}
	return fleet.HeartbeatAccepted
}

// awaitLoaded waits until the state of earlier terms is loaded. It returns false after the timeout.
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

// reconcileLocked reconciles the state of the machine with the heartbeat, and sets x.machine. It
// returns nil if processing continues, else the result to respond with: the worker knows a higher
// term, a later status is already known, or the machine is not accepted.
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

// awaitRecordLocked waits briefly until the record of a machine that may get tasks is stored. It
// reports whether processing may continue, with or without the record.
func (x *heartbeatExchange) awaitRecordLocked() bool {
	m := x.machine
	// A machine that is not reconciled and not known to have tasks needs no record: the response
	// carries the term and no run command. Otherwise a late copy of a heartbeat could record a
	// machine that no longer exists, and the next failover would wait for that machine.
	if m.Recorded || !m.Reconciled && m.Empty() {
		return true
	}
	return x.awaitCommitLocked(m, func() bool { return m.Recorded })
}

// planLocked plans tasks for the machine, and waits briefly until the watermarks that the plan
// requires are stored. It reports whether processing may continue. After the wait, the lock is held
// until the response is built, and attestor.relaxed is read under the lock: attestor.announce
// relies on both.
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
// stored, and requests that missing ones are stored.
func (x *heartbeatExchange) watermarksStoredLocked() bool {
	awaits := x.state.scheduler.AwaitsWatermark(x.machine)
	if awaits {
		x.state.persistence.RequestWatermark()
	}
	return !awaits
}

// respondLocked builds the response from the plan, or rejects the heartbeat if its tasks may no
// longer start.
func (x *heartbeatExchange) respondLocked() fleet.HeartbeatResult {
	sched := x.state.scheduler
	response := sched.Respond(x.machine, x.mayStart, x.now)
	// Without this check, tasks could start after the lease on the leader key has expired while the
	// response was built. Run commands recorded as sent are withdrawn when the next heartbeat does
	// not list their attempts.
	if x.mayStart && !x.mayStartTasks() {
		return fleet.HeartbeatResult{Outcome: fleet.HeartbeatUnavailable}
	}
	if sched.HasUnstoredJobs() {
		x.persistSoon()
	}
	sched.RecordAnswer(x.machine, x.heartbeat.Via, time.Now())
	return fleet.HeartbeatResult{Outcome: fleet.HeartbeatAccepted, Response: response}
}

// awaitCommitLocked waits until ready returns true, for heartbeatInterval/commitWaitDivisor at
// most, and only while the lease on the leader key is confirmed: a record that the machine needs
// is then stored, and its tasks start with this response instead of a heartbeat later. The caller
// must hold the lock of state, which is released during the wait. The result is not that of ready:
// it reports whether the machine's heartbeat is still the latest and may still be accepted.
func (l *Leader) awaitCommitLocked(machine *fleet.Machine, ready func() bool) bool {
	incarnation, sequence := machine.Incarnation, machine.Sequence
	// The heartbeats of a batch that a peer relays wait concurrently.
	timeout := time.NewTimer(l.settings.HeartbeatInterval / commitWaitDivisor)
	defer timeout.Stop()
	for waiting := true; waiting && !ready() && l.leaseConfirmed(); {
		committed := l.state.committed
		l.release()
		l.persistSoon()
		select {
		case <-committed:
		case <-timeout.C:
			waiting = false
		}
		l.acquire()
	}
	return !l.state.inconsistent && l.state.scheduler.IsLatestHeartbeat(machine, incarnation, sequence) && l.contact.mayRenewLeases(time.Now())
}

// RecheckRuns removes the run commands that may not be given any more from responses that waited after
// they were built, because their jobs were cancelled or this term may have ended meanwhile. The others
// count as sent now. Attempts whose commands are removed are withdrawn when the next heartbeat does not
// list them.
func (l *Leader) RecheckRuns(responses []*fleet.HeartbeatResponse) {
	l.lock()
	defer l.unlock()
	mayStart := !l.closed.Load() && !l.state.inconsistent && l.mayStartTasks()
	for _, response := range responses {
		response.Commands = slices.DeleteFunc(response.Commands, func(command fleet.Command) bool {
			return command.Verb == fleet.VerbRun && !(mayStart && l.state.scheduler.ConfirmRun(command, time.Now()))
		})
	}
}

// Recency returns the recency of a heartbeat relative to the latest status of its machine, and
// records a late one of a known machine.
func (l *Leader) Recency(heartbeat *fleet.Heartbeat) fleet.Recency {
	l.lock()
	defer l.unlock()
	return l.state.scheduler.Recency(heartbeat, time.Now())
}

// NeedsRelay reports whether the worker of a heartbeat forwarded by a peer is to be answered through
// that peer, because it seems unable to reach this controller. It updates the machine's relay state.
func (l *Leader) NeedsRelay(heartbeat *fleet.Heartbeat) bool {
	l.lock()
	defer l.unlock()
	return l.state.scheduler.NeedsRelay(heartbeat.Machine, time.Now())
}

// ObserveDelay records how long messages of a peer waited for this controller, as measured by the
// peer.
func (l *Leader) ObserveDelay(delay time.Duration) {
	l.lock()
	defer l.unlock()
	l.state.scheduler.ObserveDelay(delay)
}
