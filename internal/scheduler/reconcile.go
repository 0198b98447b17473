package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
	"drumpick/internal/records"

	"github.com/VictoriaMetrics/metrics"
)

var (
	reportsTotal        = metrics.NewCounter("drumpick_reports_total")
	runsTotal           = metrics.NewCounter("drumpick_runs_total")
	movesTotal          = metrics.NewCounter("drumpick_moves_total")
	preemptedTotal      = metrics.NewCounter("drumpick_preempted_total")
	lostTotal           = metrics.NewCounter("drumpick_attempts_lost_total")
	startSeconds        = metrics.NewHistogram("drumpick_task_wait_seconds")
	lagSeconds          = metrics.NewGauge("drumpick_late_seconds", nil)
	unreachableMachines = metrics.NewGauge("drumpick_machines_deaf", nil)
	drainedTasks        = metrics.NewCounter("drumpick_drained_total")
)

// Reconcile takes in a worker's report or answer. It tells whether it was stale.
func (s *Scheduler) Reconcile(r *fleet.Heartbeat, isReport bool, now time.Time) (*fleet.Machine, bool) {
	reportsTotal.Inc()
	// Guards against a late copy that brings a machine up which was given back.
	if s.fleet.Machines[r.Machine] == nil && s.Recency(r, now) == fleet.Late {
		return nil, true
	}
	wasDeaf := s.isUnreachable(r.Machine)
	return s.applyOutcome(s.fleet.Apply(r, isReport, now), wasDeaf, now)
}

// applyOutcome draws the conclusions from what a body changed.
func (s *Scheduler) applyOutcome(out fleet.Outcome, wasDeaf bool, now time.Time) (*fleet.Machine, bool) {
	m := out.Machine
	if out.Stale {
		return m, true
	}
	if is := m.Unreachable(); is != wasDeaf {
		s.placementStale = true
		slog.Info("whether a machine hears", "machine", m.Host, "zone", m.Zone, "hears", !is, "term", s.term)
	}
	if out.FirstStatus {
		s.assignBin(m)
		m.EmptySince = now
		s.placementStale = true
		slog.Info("machine up", "machine", m.Host, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "term", s.term)
	}
	for _, a := range out.Gone {
		s.attemptLost(a, now)
	}
	for _, a := range out.New {
		s.adopt(m, a)
		if a.State() == fleet.Ended {
			s.attemptEnded(a, now)
		}
	}
	for _, a := range out.Running {
		if j := s.jobOf(a); j != nil {
			s.useImage(m, j)
			m.Bin.SetLabel(j.imageReadyLabel, true)
			s.noteRunning(j, a, now)
		}
	}
	for _, a := range out.Ended {
		s.attemptEnded(a, now)
	}
	if out.Reconciled {
		s.placementStale = true
	}
	if m.Reconciled && !s.reconciled {
		s.clearUncertainOn(m)
	}
	if out.Upgraded {
		slog.Info("worker has another version", "machine", m.Host, "version", m.Version, "term", s.term)
		s.lastDrainPass = time.Time{} // it may come back into service
	}
	if !s.reconciled {
		s.CheckReconciled(now)
	}
	if !m.PreemptionAt.IsZero() {
		s.handlePreemptionNotice(m, now)
	}
	if m.Empty() {
		if m.EmptySince.IsZero() {
			m.EmptySince = now
		}
	} else {
		m.EmptySince = time.Time{}
	}
	s.placementStale = s.placementStale || out.Changed
	m.Bin.SetOpen(s.acceptsTasks(m, now))
	return m, false
}

// CheckReconciled notes when every machine that an earlier term may have used has been heard, or is
// gone.
func (s *Scheduler) CheckReconciled(now time.Time) {
	if s.fleet.Unreconciled() {
		return
	}
	s.reconciled, s.placementStale = true, true
	s.clearAllUncertain()
	slog.Info("all machines settled", "term", s.term, "after", now.Sub(s.termStart).Round(time.Millisecond))
	for _, j := range s.jobs {
		// A gang that already ran and lost a member under an earlier term cannot
		// be completed any more; one that still waits can, with its own attempt.
		if j.Shape == records.ShapeGang && j.gangAttempt != 0 && len(j.attempts) < j.Tasks {
			for _, a := range j.attempts {
				if a.State() == fleet.Running || a.State() == fleet.Flushing {
					s.stopGang(j, now)
					break
				}
			}
		}
	}
}

// adopt takes in an attempt that a worker holds and this term did not start.
func (s *Scheduler) adopt(m *fleet.Machine, a *fleet.Attempt) {
	j := s.jobs[a.Task.Job]
	a.Duplicate = true
	if j == nil || a.Task.N >= j.Tasks {
		if a.State() == fleet.Ended {
			a.Reap = true
		} else {
			// Its size is unknown: hold the whole machine until it is gone.
			m.Adopt(a, &packing.Item{ID: a.Task.String(), Req: m.Bin.Cap})
			s.stop(a, stopJobClosed, 0, time.Time{})
		}
		return
	}
	if a.State() == fleet.Ended {
		return
	}
	if a.Item == nil {
		m.Adopt(a, &packing.Item{ID: a.Task.String(), Req: j.request})
		s.useImage(m, j)
	}
	// A machine that nobody knew of and that has tasks is a late copy from one that was given
	// back, or was never on record as it should have been: its tasks count, and go.
	fits := !m.Unverified && j.attempts[a.Task.N] == nil && !has(j.done, a.Task.N) &&
		(j.Shape != records.ShapeGang || j.gangAttempt == 0 || j.gangAttempt == a.Number)
	if fits && a.Number>>24 != s.term {
		a.Duplicate = false
		j.attempts[a.Task.N], j.adoptedUntried = a, true
		if j.Shape == records.ShapeGang {
			j.gangAttempt = a.Number
		}
		return
	}
	// A second attempt of the same task: it goes, and until then it counts.
	j.duplicates[a.Task.N]++
	s.stop(a, stopDuplicate, 0, time.Time{})
}

// attemptLost handles an attempt that is no longer on its machine and left no result.
func (s *Scheduler) attemptLost(a *fleet.Attempt, now time.Time) {
	j := s.jobs[a.Task.Job]
	lostTotal.Inc()
	drained(a, now)
	slog.Debug("attempt gone", "task", a.Task.String(), "machine", a.Machine.Host, "state", a.State().String(), "fate", s.countWastedStart(a), "term", s.term)
	if j != nil && j.Shape == records.ShapeGang && j.attempts[a.Task.N] == a && a.State() != fleet.Sent {
		defer func() { s.stopGang(j, now); s.claimFreedPlace(j, a) }()
	}
	s.releaseAttempt(a)
}

// attemptEnded handles an exit.
func (s *Scheduler) attemptEnded(a *fleet.Attempt, now time.Time) {
	j, m := s.jobs[a.Task.Job], a.Machine
	s.placementStale = true
	if j == nil || a.Task.N >= j.Tasks {
		a.Reap = true
		return
	}
	drained(a, now)
	metrics.GetOrCreateCounter(`drumpick_tasks_ended_total{cause="` + causeLabel(a.Cause) + `"}`).Inc()
	fetched, ran := a.Durations(now)
	became := "done"
	if a.Cause != fleet.CauseDone {
		became = s.countWastedStart(a)
	}
	slog.Debug("task ended", "task", a.Task.String(), "machine", m.Host, "cause", a.Cause, "fate", became, "saved", a.Saved,
		"fetch_s", fetched.Seconds(), "run_s", ran.Seconds(), "term", s.term)
	switch a.Cause {
	case fleet.CauseDone:
		s.freedRoom.add(j.request, now, s.settings.HeartbeatInterval)
		clear(m.ErrorJobs)
		m.Proven = true
		s.markDone(j, a.Task.N)
		for _, other := range j.attempts {
			if other != a && (other.Task == a.Task || j.Shape == records.ShapeGang && other.Number != a.Number) {
				s.end(other) // its result is there already
			}
		}
		for host := range j.errorMachines {
			// The job can run, so what failed it is the machine.
			if bad := s.fleet.Machines[host]; bad != nil && bad != m {
				s.markFaulty(bad)
			}
		}
		clear(j.errorMachines)
		j.backoff = 0
		if j.Shape == records.ShapeService {
			a.Reap = true
		}
	case fleet.CauseError:
		a.Reap = true
		s.attemptFailed(j, m, now)
	case fleet.CauseFull:
		a.Reap = true
		// The worker knows better than we do what is free.
		m.FullUntil = now.Add(2 * s.settings.HeartbeatInterval)
	case fleet.CauseNoSuch:
		a.Reap = true
		s.delayRetry(j, now)
	default:
		a.Reap = true
	}
	held := j.attempts[a.Task.N] == a
	s.releaseAttempt(a)
	if j.Shape == records.ShapeGang && held && a.Cause != fleet.CauseDone {
		first := !j.gangBroken // afterwards release keeps the places
		s.stopGang(j, now)
		if first {
			s.claimFreedPlace(j, a)
		}
	}
}

// causeLabel keeps what a worker makes up out of the metrics' names.
func causeLabel(cause string) string {
	switch cause {
	case fleet.CauseDone, fleet.CauseStopped, fleet.CauseMatesGone, fleet.CauseAlone,
		fleet.CauseError, fleet.CauseFull, fleet.CauseBusy, fleet.CauseNoSuch:
		return cause
	}
	return "other"
}

// attemptFailed weighs an error: the machine may be faulty, or the job.
func (s *Scheduler) attemptFailed(j *Job, m *fleet.Machine, now time.Time) {
	m.ErrorJobs[j.ID]++
	j.errorMachines[m.Host] = true
	fine := j.doneCount > 0
	for _, a := range j.attempts {
		if a.Machine != m && a.State() == fleet.Running && now.Sub(a.RunSince) > 2*s.settings.HeartbeatInterval {
			fine = true
		}
	}
	switch {
	case fine || len(m.ErrorJobs) >= 2:
		s.markFaulty(m)
	case len(j.errorMachines) >= 3:
		// It fails wherever it goes: the machines are not to blame.
		s.delayRetry(j, now)
		for host := range j.errorMachines {
			if x := s.fleet.Machines[host]; x != nil {
				delete(x.ErrorJobs, j.ID)
				x.FullUntil = time.Time{}
				x.Bin.SetOpen(s.acceptsTasks(x, now))
			}
		}
		clear(j.errorMachines)
	default:
		m.FullUntil = now.Add(5 * s.settings.HeartbeatInterval)
	}
}

func (s *Scheduler) markFaulty(m *fleet.Machine) {
	if !m.Faulty {
		slog.Info("machine is faulty", "machine", m.Host, "errors", len(m.ErrorJobs), "term", s.term)
	}
	m.Faulty, m.Draining = true, true
	m.Bin.SetOpen(false)
	s.cancelPlanned(m)
	s.lastDrainPass = time.Time{} // an upgrade may have to be rolled back
	for _, d := range s.drains {
		if d.upgrades() && d.spec.Selects(drainView(m, s.now)) && m.Version == d.state.Roll.Want && m.Cordon == nil {
			m.Cordon = d // it stays, to get its earlier version back
		}
	}
}

func (s *Scheduler) delayRetry(j *Job, now time.Time) {
	j.backoff = min(max(2*j.backoff, 4*s.settings.HeartbeatInterval), 60*s.settings.HeartbeatInterval)
	j.retryAt = now.Add(j.backoff)
	slog.Info("job fails everywhere, retrying later", "job", j.ID, "pause", j.backoff, "term", s.term)
}

// cancelPlanned takes back what was meant for a machine and not yet sent.
func (s *Scheduler) cancelPlanned(m *fleet.Machine) {
	for _, a := range slices.Clone(m.Attempts()) {
		if a.State() == fleet.Planned {
			m.Forget(a)
			s.releaseAttempt(a)
		}
	}
}

// handlePreemptionNotice empties a machine that the cloud is about to take: nothing new, and
// what can save is told to while there is time.
func (s *Scheduler) handlePreemptionNotice(m *fleet.Machine, now time.Time) {
	s.cancelPlanned(m)
	m.Draining = true
	for _, a := range m.Attempts() {
		j := s.jobs[a.Task.Job]
		if j == nil || a.Stopping() || a.State() != fleet.Running && a.State() != fleet.Waiting {
			continue
		}
		left := m.PreemptionAt.Sub(now).Seconds()
		if j.Shape == records.ShapeGang {
			if j.CheckpointS > 0 && left > j.SaveS {
				s.stopGang(j, now)
			}
			continue
		}
		if j.Shape == records.ShapeService {
			continue // dealt with in rounds: a replica moves while another runs
		}
		switch remains := s.remainingSeconds(j, a, now); {
		case j.CheckpointS > 0:
			if left > j.SaveS && remains > left {
				s.stop(a, stopPreemptionNotice, j.SaveS, now)
			}
		case remains > left:
			// What it has done is lost with the machine in any case; stopped now, it
			// starts elsewhere now, and not when the machine is known to be gone.
			s.stop(a, stopPreemptionNotice, 0, now)
		}
	}
}

// remainingSeconds guesses, in seconds, how long an attempt still runs.
func (s *Scheduler) remainingSeconds(j *Job, a *fleet.Attempt, now time.Time) float64 {
	if a.RunSince.IsZero() {
		return j.EstimateS
	}
	return max(j.EstimateS-now.Sub(a.RunSince).Seconds(), j.EstimateS/10)
}

// stopGang stops every task of a gang so that a new attempt can start whole.
func (s *Scheduler) stopGang(j *Job, now time.Time) {
	if j.closed || j.doneCount == j.Tasks {
		return
	}
	j.gangBroken = len(j.attempts) > 0
	for _, a := range j.attempts {
		if a.State() == fleet.Planned {
			defer func() { a.Machine.Forget(a); s.releaseAttempt(a) }()
			continue
		}
		s.stop(a, stopGangMember, j.SaveS, now)
	}
	if !j.gangBroken {
		j.gangAttempt = 0
	}
}

// NeedsRelay says whether a worker that came to another controller cannot reach
// this one, and is to be answered through that controller. A worker new to us, or
// heard of just now, is sent here first; one that comes to the other controller
// again, or was heard here and has fallen silent, has tried. Guards against a
// leader that only the workers cannot reach: it would take every machine for lost.
// Now and then a worker is sent here again to find out whether the way is open.
func (s *Scheduler) NeedsRelay(host string, now time.Time) bool {
	m := s.fleet.Machines[host]
	if m == nil {
		return false
	}
	if !m.RelayedAt.IsZero() && now.Sub(m.RelayedAt) < s.settings.Lease {
		if !m.RelayedSince.IsZero() && now.Sub(m.RelayedSince) > 4*s.settings.Lease {
			m.RelayedSince = time.Time{}
			return false
		}
		if m.RelayedSince.IsZero() {
			m.RelayedSince = now
		}
		m.RelayedAt = now
		return true
	}
	m.RelayedAt, m.RelayedSince = now, time.Time{}
	return m.Up && now.Sub(m.LastStatus) > s.settings.HeartbeatInterval*3/2
}

// NoteAnswered notes that a 200 was written to a report that came through a controller.
func (s *Scheduler) NoteAnswered(m *fleet.Machine, via string, now time.Time) { m.Answered(via, now) }

// Recency tells how a report stands to what is known. One that is late, or from a machine that
// was given back, is nothing to conclude from, not even where its worker reports.
func (s *Scheduler) Recency(r *fleet.Heartbeat, now time.Time) fleet.Recency {
	if s.fleet.Machines[r.Machine] == nil {
		if _, gone := s.autoscaling.returnedAt[r.Machine]; gone {
			return fleet.Late
		}
		return fleet.Current
	}
	return s.fleet.Recency(r, now)
}

// RenewOvertaken answers a report that an answer to a direct command has overtaken: its worker's lease is
// renewed, and what is harmless late is told again. ok is false where the report is late, or its
// machine is not on record, so that the next leader would not know whom it may hold.
func (s *Scheduler) RenewOvertaken(m *fleet.Machine, r *fleet.Heartbeat, now time.Time) (resp fleet.HeartbeatResponse, ok bool) {
	if m == nil || !m.Recorded || !m.Overtaken(r, now) {
		return resp, false
	}
	m.Renewed(now)
	return fleet.HeartbeatResponse{FencingToken: s.term, Commands: m.PendingCommands()}, true
}

// Probes lists machines that are to be asked what they have.
func (s *Scheduler) Probes(now time.Time) []fleet.Probe {
	return s.fleet.Probes(s.settings.HeartbeatInterval, now)
}

// ApplyProbe takes in what one says that was asked.
func (s *Scheduler) ApplyProbe(q fleet.Probe, r *fleet.Heartbeat, now time.Time) {
	wasDeaf := s.isUnreachable(q.Host)
	out, anew := s.fleet.ApplyProbe(q, r, now)
	if anew {
		slog.Info("machine has started anew", "machine", q.Host, "stint", r.Incarnation, "tick", r.Sequence, "gone", len(out.Gone), "term", s.term)
	}
	s.applyOutcome(out, wasDeaf, now)
}

// ExpireLeases gives up machines whose lease has ended.
func (s *Scheduler) ExpireLeases(now time.Time) {
	for _, a := range s.fleet.ExpireLeases(now) {
		a.Machine.Bin.SetOpen(false)
		s.attemptLost(a, now)
		s.placementStale = true
	}
}

// ExpireEarlierLeases takes in that no lease which an earlier term gave is left, and says of how many
// machines, unheard of, that ends the doubt.
func (s *Scheduler) ExpireEarlierLeases(now time.Time) int {
	n, gone := s.fleet.ExpireEarlierLeases()
	for _, a := range gone {
		s.attemptLost(a, now)
	}
	s.placementStale = true
	if !s.reconciled {
		s.CheckReconciled(now)
	}
	return n
}

// RemoveMachine forgets a machine that is surely gone.
func (s *Scheduler) RemoveMachine(host string, now time.Time) {
	if m := s.fleet.Machines[host]; m != nil && s.spaces[m.Type] != nil {
		s.spaces[m.Type].Drop(m.Bin)
	}
	for _, a := range s.fleet.Remove(host) {
		s.attemptLost(a, now)
	}
	s.placementStale = true
	s.removedMachines = append(s.removedMachines, host)
	if !s.reconciled {
		s.CheckReconciled(now)
	}
}
