package fleet

import (
	"slices"
	"time"
)

// ApplyResult is what a status changed.
type ApplyResult struct {
	Stale       bool       // older than one already seen: nothing was changed
	Machine     *Machine   // nil only when the status is not valid
	Discovered  []*Attempt // on the machine, but unknown to us
	Ended       []*Attempt // newly ended
	Running     []*Attempt // newly running: their images are there
	Lost        []*Attempt // no longer on the machine, without a result
	Reconciled  bool       // the machine has just been reconciled
	FirstStatus bool       // the machine's first status of this term
	Changed     bool       // any of its attempts changed
	Upgraded    bool       // the worker has another version than before
}

// Apply applies a status to its machine and the attempts there. isHeartbeat distinguishes a heartbeat,
// whose worker has given up on or carried out every earlier response, from the answer to a direct
// command or a status request, which may overtake a response.
func (t *Table) Apply(r *Heartbeat, isHeartbeat bool, now time.Time) ApplyResult {
	if r.Validate() != nil {
		return ApplyResult{Stale: true}
	}
	unknown := t.Machines[r.Machine] == nil
	m := t.GetOrCreate(r.Machine, r.Addr, r.Type, r.Zone, r.Spot)
	m.Unverified = m.Unverified || unknown
	out := ApplyResult{Machine: m, FirstStatus: !m.HasStatus}
	// A late heartbeat must not change anything: its list of tasks is as old as it is.
	if m.IsStale(r) {
		if !isHeartbeat || !m.IsOvertaken(r, now) {
			m.recordLate(r, now)
		}
		out.Stale = true
		return out
	}
	m.staleness.onlyLateSince = time.Time{}
	m.updateReachability(r, isHeartbeat, t.Term, now)
	if m.isNewIncarnation(r, isHeartbeat, t.Term) {
		out.forgetSent(m)
	}
	out.Upgraded = m.applyVersion(r.Version, now)
	m.applyMachineStatus(r, isHeartbeat, now)
	out.Reconciled = m.reconcile(r, isHeartbeat, t.Term)
	m.statusCount++
	for i := range r.Tasks {
		m.applyTaskStatus(&r.Tasks[i], &out, now)
	}
	t.forgetMissing(r, isHeartbeat, &out, now)
	return out
}

// isNewIncarnation reports whether a status is of a new incarnation, whose worker has killed and forgotten
// everything. A heartbeat does not prove that while it may be a copy from before the machine restarted.
func (m *Machine) isNewIncarnation(r *Heartbeat, isHeartbeat bool, term uint64) bool {
	mayBeCopy := isHeartbeat && (m.staleness.restarted || m.predatesTerm(r, term))
	return m.HasStatus && r.Incarnation > m.Incarnation && !mayBeCopy
}

// applyVersion notes which version a worker has, and reports whether it had another before.
func (m *Machine) applyVersion(version string, now time.Time) (upgraded bool) {
	if m.Version == version || version == "" {
		return false
	}
	if m.HasStatus {
		// What was wrong with the machine may have been the version.
		m.VersionSince = now
		m.Proven, m.Faulty, m.Draining = false, false, false
		clear(m.FailedTasksByJob)
		upgraded = true
	}
	m.Version = version
	return upgraded
}

// applyMachineStatus notes what a status reports of the machine itself.
func (m *Machine) applyMachineStatus(r *Heartbeat, isHeartbeat bool, now time.Time) {
	m.HasStatus, m.LeaseExpired, m.LastStatusAt = true, false, now
	m.Addr, m.Incarnation, m.Sequence = r.Addr, r.Incarnation, r.Sequence
	if isHeartbeat {
		m.heartbeatSequence = r.Sequence
	} else {
		m.probeAnsweredAt = now
	}
	m.FencingToken = max(m.FencingToken, r.FencingToken)
	m.PreemptionAt = time.Time{}
	if r.PreemptionNoticeS != nil {
		m.PreemptionAt = now.Add(time.Duration(*r.PreemptionNoticeS * float64(time.Second)))
	}
}

// reconcile notes whether a status shows our term, and reports whether it is the first that does.
//
// A worker that sends heartbeats and has seen no fencing token yet has never obeyed anyone; where
// the store has no record of it either, no earlier leader can have sent it a run command
// that is still under way. A machine on record is left out, as a late heartbeat from its start would
// show the same. So is one that nobody knew of: then the status may be a copy of the first
// heartbeat of a machine that an earlier leader returned.
func (m *Machine) reconcile(r *Heartbeat, isHeartbeat bool, term uint64) bool {
	neverCommanded := isHeartbeat && r.FencingToken == 0 && !m.Inherited && !m.Unverified && len(r.Tasks) == 0
	if m.Reconciled || r.FencingToken != term && !neverCommanded {
		return false
	}
	m.Reconciled = true
	return true
}

// applyTaskStatus applies what a status reports of one attempt.
func (m *Machine) applyTaskStatus(r *TaskStatus, out *ApplyResult, now time.Time) {
	task, _ := ParseTask(r.Task)
	state, _ := parseState(r.Status)
	a := m.attempt(task, r.Attempt)
	if a == nil {
		m.addDiscovered(r, task, state, out, now)
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
	a.Cause, a.CheckpointSaved = r.Cause, r.CheckpointSaved
	a.setState(state)
	if state == Ended {
		m.releaseItem(a)
		out.Ended = append(out.Ended, a)
	}
}

// addDiscovered adds an attempt that is on the machine though we knew nothing of it.
func (m *Machine) addDiscovered(r *TaskStatus, task TaskID, state State, out *ApplyResult, now time.Time) {
	a := &Attempt{
		Task:            task,
		Number:          r.Attempt,
		Machine:         m,
		AssignedAt:      now,
		Cause:           r.Cause,
		CheckpointSaved: r.CheckpointSaved,
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

// forgetSent forgets every attempt of a machine but those of which nothing was sent yet.
func (o *ApplyResult) forgetSent(m *Machine) {
	for _, a := range slices.Clone(m.attempts) {
		if a.state != Planned {
			o.forget(m, a)
		}
	}
}

// forgetMissing forgets the attempts that the status lacks, where that proves that they are gone.
func (t *Table) forgetMissing(r *Heartbeat, isHeartbeat bool, out *ApplyResult, now time.Time) {
	m := out.Machine
	for i := 0; i < len(m.attempts); i++ {
		a := m.attempts[i]
		if a.lastSeenIn == m.statusCount || !t.confirmMissing(m, a, r, isHeartbeat, now) {
			continue
		}
		out.forget(m, a)
		i--
	}
}

func (o *ApplyResult) forget(m *Machine, a *Attempt) {
	m.Forget(a)
	o.Changed = true
	if a.state != Ended {
		o.Lost = append(o.Lost, a)
	}
}
