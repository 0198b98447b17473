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
func (s *Scheduler) Reconcile(heartbeat *fleet.Heartbeat, isHeartbeat bool, now time.Time) (*fleet.Machine, bool) {
	reportsTotal.Inc()
	// Guards against a late copy that brings a machine up which was given back.
	if s.fleet.Machines[heartbeat.Machine] == nil && s.Recency(heartbeat, now) == fleet.Late {
		return nil, true
	}
	wasUnreachable := s.isUnreachable(heartbeat.Machine)
	return s.applyOutcome(s.fleet.Apply(heartbeat, isHeartbeat, now), wasUnreachable, now)
}

// applyOutcome draws the conclusions from what a body changed.
func (s *Scheduler) applyOutcome(outcome fleet.Outcome, wasUnreachable bool, now time.Time) (*fleet.Machine, bool) {
	machine := outcome.Machine
	if outcome.Stale {
		return machine, true
	}
	if is := machine.Unreachable(); is != wasUnreachable {
		s.placementStale = true
		slog.Info("whether a machine hears", "machine", machine.Host, "zone", machine.Zone, "hears", !is, "term", s.term)
	}
	if outcome.FirstStatus {
		s.assignBin(machine)
		machine.EmptySince = now
		s.placementStale = true
		slog.Info("machine up", "machine", machine.Host, "type", machine.Type, "zone", machine.Zone, "spot", machine.Spot, "term", s.term)
	}
	for _, attempt := range outcome.Gone {
		s.attemptLost(attempt, now)
	}
	for _, attempt := range outcome.New {
		s.adopt(machine, attempt)
		if attempt.State() == fleet.Ended {
			s.attemptEnded(attempt, now)
		}
	}
	for _, attempt := range outcome.Running {
		if job := s.jobOf(attempt); job != nil {
			s.useImage(machine, job)
			machine.Bin.SetLabel(job.imageReadyLabel, true)
			s.noteRunning(job, attempt, now)
		}
	}
	for _, attempt := range outcome.Ended {
		s.attemptEnded(attempt, now)
	}
	if outcome.Reconciled {
		s.placementStale = true
	}
	if machine.Reconciled && !s.reconciled {
		s.clearUncertainOn(machine)
	}
	if outcome.Upgraded {
		slog.Info("worker has another version", "machine", machine.Host, "version", machine.Version, "term", s.term)
		s.lastDrainPass = time.Time{} // it may come back into service
	}
	if !s.reconciled {
		s.CheckReconciled(now)
	}
	if !machine.PreemptionAt.IsZero() {
		s.handlePreemptionNotice(machine, now)
	}
	if machine.Empty() {
		if machine.EmptySince.IsZero() {
			machine.EmptySince = now
		}
	} else {
		machine.EmptySince = time.Time{}
	}
	s.placementStale = s.placementStale || outcome.Changed
	machine.Bin.SetOpen(s.acceptsTasks(machine, now))
	return machine, false
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
	for _, job := range s.jobs {
		// A gang that already ran and lost a member under an earlier term cannot
		// be completed any more; one that still waits can, with its own attempt.
		if job.Shape == records.ShapeGang && job.gangAttempt != 0 && len(job.attempts) < job.Tasks {
			for _, attempt := range job.attempts {
				if attempt.State() == fleet.Running || attempt.State() == fleet.Flushing {
					s.stopGang(job, now)
					break
				}
			}
		}
	}
}

// adopt takes in an attempt that a worker holds and this term did not start.
func (s *Scheduler) adopt(machine *fleet.Machine, attempt *fleet.Attempt) {
	job := s.jobs[attempt.Task.Job]
	attempt.Duplicate = true
	if job == nil || attempt.Task.N >= job.Tasks {
		if attempt.State() == fleet.Ended {
			attempt.Reap = true
		} else {
			// Its size is unknown: hold the whole machine until it is gone.
			machine.Adopt(attempt, &packing.Item{ID: attempt.Task.String(), Req: machine.Bin.Cap})
			s.stop(attempt, stopJobClosed, 0, time.Time{})
		}
		return
	}
	if attempt.State() == fleet.Ended {
		return
	}
	if attempt.Item == nil {
		machine.Adopt(attempt, &packing.Item{ID: attempt.Task.String(), Req: job.request})
		s.useImage(machine, job)
	}
	// A machine that nobody knew of and that has tasks is a late copy from one that was given
	// back, or was never on record as it should have been: its tasks count, and go.
	isTheAttempt := !machine.Unverified && job.attempts[attempt.Task.N] == nil && !has(job.done, attempt.Task.N) &&
		(job.Shape != records.ShapeGang || job.gangAttempt == 0 || job.gangAttempt == attempt.Number)
	if isTheAttempt && attempt.Number>>24 != s.term {
		attempt.Duplicate = false
		job.attempts[attempt.Task.N], job.adoptedUntried = attempt, true
		if job.Shape == records.ShapeGang {
			job.gangAttempt = attempt.Number
		}
		return
	}
	// A second attempt of the same task: it goes, and until then it counts.
	job.duplicates[attempt.Task.N]++
	s.stop(attempt, stopDuplicate, 0, time.Time{})
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
func (s *Scheduler) attemptEnded(attempt *fleet.Attempt, now time.Time) {
	job, machine := s.jobs[attempt.Task.Job], attempt.Machine
	s.placementStale = true
	if job == nil || attempt.Task.N >= job.Tasks {
		attempt.Reap = true
		return
	}
	drained(attempt, now)
	metrics.GetOrCreateCounter(`drumpick_tasks_ended_total{cause="` + causeLabel(attempt.Cause) + `"}`).Inc()
	fetchTime, runTime := attempt.Durations(now)
	outcome := "done"
	if attempt.Cause != fleet.CauseDone {
		outcome = s.countWastedStart(attempt)
	}
	slog.Debug("task ended", "task", attempt.Task.String(), "machine", machine.Host, "cause", attempt.Cause, "fate", outcome, "saved", attempt.Saved,
		"fetch_s", fetchTime.Seconds(), "run_s", runTime.Seconds(), "term", s.term)
	switch attempt.Cause {
	case fleet.CauseDone:
		s.freedRoom.add(job.request, now, s.settings.HeartbeatInterval)
		clear(machine.ErrorJobs)
		machine.Proven = true
		s.markDone(job, attempt.Task.N)
		for _, other := range job.attempts {
			if other != attempt && (other.Task == attempt.Task || job.Shape == records.ShapeGang && other.Number != attempt.Number) {
				s.end(other) // its result is there already
			}
		}
		for host := range job.errorMachines {
			// The job can run, so what failed it is the machine.
			if bad := s.fleet.Machines[host]; bad != nil && bad != machine {
				s.markFaulty(bad)
			}
		}
		clear(job.errorMachines)
		job.backoff = 0
		if job.Shape == records.ShapeService {
			attempt.Reap = true
		}
	case fleet.CauseError:
		attempt.Reap = true
		s.attemptFailed(job, machine, now)
	case fleet.CauseFull:
		attempt.Reap = true
		// The worker knows better than we do what is free.
		machine.FullUntil = now.Add(2 * s.settings.HeartbeatInterval)
	case fleet.CauseNoSuch:
		attempt.Reap = true
		s.delayRetry(job, now)
	default:
		attempt.Reap = true
	}
	held := job.attempts[attempt.Task.N] == attempt
	s.releaseAttempt(attempt)
	if job.Shape == records.ShapeGang && held && attempt.Cause != fleet.CauseDone {
		first := !job.gangBroken // afterwards release keeps the places
		s.stopGang(job, now)
		if first {
			s.claimFreedPlace(job, attempt)
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
func (s *Scheduler) attemptFailed(job *Job, machine *fleet.Machine, now time.Time) {
	machine.ErrorJobs[job.ID]++
	job.errorMachines[machine.Host] = true
	jobRunsElsewhere := job.doneCount > 0
	for _, attempt := range job.attempts {
		if attempt.Machine != machine && attempt.State() == fleet.Running && now.Sub(attempt.RunSince) > 2*s.settings.HeartbeatInterval {
			jobRunsElsewhere = true
		}
	}
	switch {
	case jobRunsElsewhere || len(machine.ErrorJobs) >= 2:
		s.markFaulty(machine)
	case len(job.errorMachines) >= 3:
		// It fails wherever it goes: the machines are not to blame.
		s.delayRetry(job, now)
		for host := range job.errorMachines {
			if blamed := s.fleet.Machines[host]; blamed != nil {
				delete(blamed.ErrorJobs, job.ID)
				blamed.FullUntil = time.Time{}
				blamed.Bin.SetOpen(s.acceptsTasks(blamed, now))
			}
		}
		clear(job.errorMachines)
	default:
		machine.FullUntil = now.Add(5 * s.settings.HeartbeatInterval)
	}
}

func (s *Scheduler) markFaulty(machine *fleet.Machine) {
	if !machine.Faulty {
		slog.Info("machine is faulty", "machine", machine.Host, "errors", len(machine.ErrorJobs), "term", s.term)
	}
	machine.Faulty, machine.Draining = true, true
	machine.Bin.SetOpen(false)
	s.cancelPlanned(machine)
	s.lastDrainPass = time.Time{} // an upgrade may have to be rolled back
	for _, drain := range s.drains {
		if drain.upgrades() && drain.spec.Selects(drainView(machine, s.now)) && machine.Version == drain.state.Roll.Want && machine.Cordon == nil {
			machine.Cordon = drain // it stays, to get its earlier version back
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
func (s *Scheduler) handlePreemptionNotice(machine *fleet.Machine, now time.Time) {
	s.cancelPlanned(machine)
	machine.Draining = true
	for _, attempt := range machine.Attempts() {
		job := s.jobs[attempt.Task.Job]
		if job == nil || attempt.Stopping() || attempt.State() != fleet.Running && attempt.State() != fleet.Waiting {
			continue
		}
		left := machine.PreemptionAt.Sub(now).Seconds()
		if job.Shape == records.ShapeGang {
			if job.CheckpointS > 0 && left > job.SaveS {
				s.stopGang(job, now)
			}
			continue
		}
		if job.Shape == records.ShapeService {
			continue // dealt with in rounds: a replica moves while another runs
		}
		switch remains := s.remainingSeconds(job, attempt, now); {
		case job.CheckpointS > 0:
			if left > job.SaveS && remains > left {
				s.stop(attempt, stopPreemptionNotice, job.SaveS, now)
			}
		case remains > left:
			// What it has done is lost with the machine in any case; stopped now, it
			// starts elsewhere now, and not when the machine is known to be gone.
			s.stop(attempt, stopPreemptionNotice, 0, now)
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
func (s *Scheduler) stopGang(job *Job, now time.Time) {
	if job.closed || job.doneCount == job.Tasks {
		return
	}
	job.gangBroken = len(job.attempts) > 0
	for _, attempt := range job.attempts {
		if attempt.State() == fleet.Planned {
			defer func() { attempt.Machine.Forget(attempt); s.releaseAttempt(attempt) }()
			continue
		}
		s.stop(attempt, stopGangMember, job.SaveS, now)
	}
	if !job.gangBroken {
		job.gangAttempt = 0
	}
}

// NeedsRelay says whether a worker that came to another controller cannot reach
// this one, and is to be answered through that controller. A worker new to us, or
// heard of just now, is sent here first; one that comes to the other controller
// again, or was heard here and has fallen silent, has tried. Guards against a
// leader that only the workers cannot reach: it would take every machine for lost.
// Now and then a worker is sent here again to find out whether the way is open.
func (s *Scheduler) NeedsRelay(host string, now time.Time) bool {
	machine := s.fleet.Machines[host]
	if machine == nil {
		return false
	}
	if !machine.RelayedAt.IsZero() && now.Sub(machine.RelayedAt) < s.settings.Lease {
		if !machine.RelayedSince.IsZero() && now.Sub(machine.RelayedSince) > 4*s.settings.Lease {
			machine.RelayedSince = time.Time{}
			return false
		}
		if machine.RelayedSince.IsZero() {
			machine.RelayedSince = now
		}
		machine.RelayedAt = now
		return true
	}
	machine.RelayedAt, machine.RelayedSince = now, time.Time{}
	return machine.Up && now.Sub(machine.LastStatus) > s.settings.HeartbeatInterval*3/2
}

// NoteAnswered notes that a 200 was written to a report that came through a controller.
func (s *Scheduler) NoteAnswered(m *fleet.Machine, via string, now time.Time) { m.Answered(via, now) }

// Recency tells how a report stands to what is known. One that is late, or from a machine that
// was given back, is nothing to conclude from, not even where its worker reports.
func (s *Scheduler) Recency(heartbeat *fleet.Heartbeat, now time.Time) fleet.Recency {
	if s.fleet.Machines[heartbeat.Machine] == nil {
		if _, gone := s.autoscaling.returnedAt[heartbeat.Machine]; gone {
			return fleet.Late
		}
		return fleet.Current
	}
	return s.fleet.Recency(heartbeat, now)
}

// RenewOvertaken answers a report that an answer to a direct command has overtaken: its worker's lease is
// renewed, and what is harmless late is told again. ok is false where the report is late, or its
// machine is not on record, so that the next leader would not know whom it may hold.
func (s *Scheduler) RenewOvertaken(m *fleet.Machine, heartbeat *fleet.Heartbeat, now time.Time) (resp fleet.HeartbeatResponse, ok bool) {
	if m == nil || !m.Recorded || !m.Overtaken(heartbeat, now) {
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
func (s *Scheduler) ApplyProbe(probe fleet.Probe, heartbeat *fleet.Heartbeat, now time.Time) {
	wasUnreachable := s.isUnreachable(probe.Host)
	outcome, restarted := s.fleet.ApplyProbe(probe, heartbeat, now)
	if restarted {
		slog.Info("machine has started anew", "machine", probe.Host, "stint", heartbeat.Incarnation, "tick", heartbeat.Sequence, "gone", len(outcome.Gone), "term", s.term)
	}
	s.applyOutcome(outcome, wasUnreachable, now)
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
	for _, attempt := range gone {
		s.attemptLost(attempt, now)
	}
	s.placementStale = true
	if !s.reconciled {
		s.CheckReconciled(now)
	}
	return n
}

// RemoveMachine forgets a machine that is surely gone.
func (s *Scheduler) RemoveMachine(host string, now time.Time) {
	if machine := s.fleet.Machines[host]; machine != nil && s.spaces[machine.Type] != nil {
		s.spaces[machine.Type].Drop(machine.Bin)
	}
	for _, attempt := range s.fleet.Remove(host) {
		s.attemptLost(attempt, now)
	}
	s.placementStale = true
	s.removedMachines = append(s.removedMachines, host)
	if !s.reconciled {
		s.CheckReconciled(now)
	}
}
