package fleet

import (
	"slices"
	"time"
)

// ApplyResult describes the changes that a status made.
type ApplyResult struct {
	Stale       bool       // not newer than the last applied status, or not valid: nothing was changed
	Machine     *Machine   // nil only if the status is not valid or the machine is unknown
	Discovered  []*Attempt // on the machine, but not in the table before
	Ended       []*Attempt // newly ended, without those discovered as ended
	Running     []*Attempt // newly running: their images are present
	Lost        []*Attempt // no longer on the machine, without a reported end
	Reconciled  bool       // this status reconciled the machine
	FirstStatus bool       // the machine's first status of this term
	Changed     bool       // any attempt of the machine changed
	Upgraded    bool       // the worker's version changed
}

// Apply applies a status to its machine and the machine's attempts. It adds an unknown machine and
// marks it as Unverified. isHeartbeat is true for a heartbeat, before which the worker has
// executed or timed out every earlier response, and false for the answer to a direct command or a
// status request, which may overtake a response.
func (t *Table) Apply(hb *Heartbeat, isHeartbeat bool, now time.Time) ApplyResult {
	if hb.Validate() != nil {
		return ApplyResult{Stale: true}
	}
	unknown := t.Machines[hb.Machine] == nil
	m := t.GetOrCreate(hb.Machine, hb.Addr, hb.Type, hb.Zone, hb.Spot)
	m.Unverified = m.Unverified || unknown
	out := ApplyResult{Machine: m, FirstStatus: !m.HasStatus}
	// A stale status must not change anything: its list of tasks is outdated.
	if m.IsStale(hb) {
		if !isHeartbeat || !m.IsOvertaken(hb, now) {
			m.recordLate(hb, now)
		}
		out.Stale = true
		return out
	}
	m.staleness.onlyLateSince = time.Time{}
	m.updateReachability(hb, isHeartbeat, t.Term, now)
	if m.isNewIncarnation(hb, isHeartbeat, t.Term) {
		out.forgetSent(m)
	}
	out.Upgraded = m.applyVersion(hb.WorkerVersion(), now)
	m.applyMachineStatus(hb, isHeartbeat, now)
	out.Reconciled = m.reconcile(hb, isHeartbeat, t.Term)
	m.statusCount++
	for i := range hb.Tasks {
		m.applyTaskStatus(&hb.Tasks[i], &out, now)
	}
	t.forgetMissing(hb, isHeartbeat, &out, now)
	return out
}

// isNewIncarnation reports whether a status proves a new incarnation, whose worker has killed and
// forgotten all earlier tasks. A heartbeat that may be a late copy from before a restart proves
// nothing.
func (m *Machine) isNewIncarnation(hb *Heartbeat, isHeartbeat bool, term uint64) bool {
	mayBeCopy := isHeartbeat && (m.staleness.restarted || m.predatesTerm(hb, term))
	return m.HasStatus && hb.Incarnation > m.Incarnation && !mayBeCopy
}

// applyVersion stores the worker's version, and reports whether it changed during this term. After a
// change, earlier failures no longer count against the machine.
func (m *Machine) applyVersion(version string, now time.Time) (upgraded bool) {
	if m.Version == version || version == "" {
		return false
	}
	if m.HasStatus {
		// The cause of the machine's failures may have been the previous version.
		m.VersionSince = now
		m.HasCompletedTask, m.Faulty, m.Draining = false, false, false
		clear(m.FailedTasksByJob)
		upgraded = true
	}
	m.Version = version
	return upgraded
}

// applyMachineStatus applies the part of a status that concerns the machine itself.
func (m *Machine) applyMachineStatus(hb *Heartbeat, isHeartbeat bool, now time.Time) {
	m.HasStatus, m.LeaseExpired, m.LastStatusAt = true, false, now
	m.Addr, m.Incarnation, m.Sequence = hb.Addr, hb.Incarnation, hb.Sequence
	if isHeartbeat {
		m.heartbeatSequence = hb.Sequence
	} else {
		m.probeAnsweredAt = now
	}
	m.FencingToken = max(m.FencingToken, hb.FencingToken)
	m.PreemptionAt = time.Time{}
	if hb.PreemptionNoticeS != nil {
		m.PreemptionAt = now.Add(time.Duration(*hb.PreemptionNoticeS * float64(time.Second)))
	}
}

// reconcile marks the machine as reconciled if a status shows this term's fencing token, and reports
// whether it was not reconciled before.
//
// A heartbeat without any fencing token also reconciles a machine that the store has no record of:
// its worker has never accepted a command, and no earlier leader can have sent it a run command that
// is still in flight. This excludes a machine on record, whose first heartbeat may come as a late
// copy, and an unverified machine: the status may be a copy of the first heartbeat of a machine that
// an earlier leader returned.
func (m *Machine) reconcile(hb *Heartbeat, isHeartbeat bool, term uint64) bool {
	neverCommanded := isHeartbeat && hb.FencingToken == 0 && !m.Inherited && !m.Unverified && len(hb.Tasks) == 0
	if m.Reconciled || hb.FencingToken != term && !neverCommanded {
		return false
	}
	m.Reconciled = true
	return true
}

// applyTaskStatus applies the status of one attempt.
func (m *Machine) applyTaskStatus(status *TaskStatus, out *ApplyResult, now time.Time) {
	task, _ := ParseTask(status.Task)
	state, _ := parseState(status.Status)
	a := m.attempt(task, status.Attempt)
	if a == nil {
		m.addDiscovered(status, task, state, out, now)
		return
	}
	a.lastSeenIn = m.statusCount
	if a.state == Ended {
		return
	}
	if a.state != state {
		out.Changed = true
		if (state == Running || state == Waiting) && a.ImageReadySince.IsZero() {
			a.ImageReadySince = now
		}
		if state == Running && a.RunningSince.IsZero() {
			a.RunningSince = now
			out.Running = append(out.Running, a)
		}
	}
	a.Cause, a.CheckpointSaved = status.Cause, status.CheckpointSaved
	a.setState(state)
	if state == Ended {
		m.releaseItem(a)
		out.Ended = append(out.Ended, a)
	}
}

// addDiscovered adds an attempt that a status lists and the table does not have.
func (m *Machine) addDiscovered(status *TaskStatus, task TaskID, state State, out *ApplyResult, now time.Time) {
	a := &Attempt{
		Task:            task,
		Number:          status.Attempt,
		Machine:         m,
		AssignedAt:      now,
		Cause:           status.Cause,
		CheckpointSaved: status.CheckpointSaved,
		state:           state,
		lastSeenIn:      m.statusCount,
	}
	m.addAttempt(a)
	if state == Running {
		a.RunningSince = now
		out.Running = append(out.Running, a)
	}
	out.Discovered = append(out.Discovered, a)
	out.Changed = true
}

// forgetSent forgets all attempts of a machine except planned ones, which were not sent yet.
func (o *ApplyResult) forgetSent(m *Machine) {
	for _, a := range slices.Clone(m.attempts) {
		if a.state != Planned {
			o.forget(m, a)
		}
	}
}

// forgetMissing forgets the attempts that the status does not list and that are confirmed as missing.
func (t *Table) forgetMissing(hb *Heartbeat, isHeartbeat bool, out *ApplyResult, now time.Time) {
	m := out.Machine
	for i := 0; i < len(m.attempts); i++ {
		a := m.attempts[i]
		if a.lastSeenIn == m.statusCount || !t.confirmMissing(m, a, hb, isHeartbeat, now) {
			continue
		}
		out.forget(m, a)
		i--
	}
}

// forget forgets an attempt of a machine, and adds it to Lost unless it has ended.
func (o *ApplyResult) forget(m *Machine, a *Attempt) {
	m.Forget(a)
	o.Changed = true
	if a.state != Ended {
		o.Lost = append(o.Lost, a)
	}
}
