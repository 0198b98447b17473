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
func (c *Scheduler) Reconcile(r *fleet.Heartbeat, isReport bool, now time.Time) (*fleet.Machine, bool) {
	reportsTotal.Inc()
	// Guards against a late copy that brings a machine up which was given back.
	if c.fleet.Machines[r.Machine] == nil && c.Recency(r, now) == fleet.Late {
		return nil, true
	}
	wasDeaf := c.isUnreachable(r.Machine)
	return c.applyOutcome(c.fleet.Apply(r, isReport, now), wasDeaf, now)
}

// applyOutcome draws the conclusions from what a body changed.
func (c *Scheduler) applyOutcome(out fleet.Outcome, wasDeaf bool, now time.Time) (*fleet.Machine, bool) {
	m := out.Machine
	if out.Stale {
		return m, true
	}
	if is := m.Unreachable(); is != wasDeaf {
		c.placementStale = true
		slog.Info("whether a machine hears", "machine", m.Host, "zone", m.Zone, "hears", !is, "term", c.term)
	}
	if out.FirstStatus {
		c.assignBin(m)
		m.EmptySince = now
		c.placementStale = true
		slog.Info("machine up", "machine", m.Host, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "term", c.term)
	}
	for _, a := range out.Gone {
		c.attemptLost(a, now)
	}
	for _, a := range out.New {
		c.adopt(m, a)
		if a.State() == fleet.Ended {
			c.attemptEnded(a, now)
		}
	}
	for _, a := range out.Running {
		if j := c.jobOf(a); j != nil {
			c.useImage(m, j)
			m.Bin.SetLabel(j.imageReadyLabel, true)
			c.noteRunning(j, a, now)
		}
	}
	for _, a := range out.Ended {
		c.attemptEnded(a, now)
	}
	if out.Reconciled {
		c.placementStale = true
	}
	if m.Reconciled && !c.reconciled {
		c.clearUncertainOn(m)
	}
	if out.Upgraded {
		slog.Info("worker has another version", "machine", m.Host, "version", m.Version, "term", c.term)
		c.lastDrainPass = time.Time{} // it may come back into service
	}
	if !c.reconciled {
		c.CheckReconciled(now)
	}
	if !m.PreemptionAt.IsZero() {
		c.handlePreemptionNotice(m, now)
	}
	if m.Empty() {
		if m.EmptySince.IsZero() {
			m.EmptySince = now
		}
	} else {
		m.EmptySince = time.Time{}
	}
	c.placementStale = c.placementStale || out.Changed
	m.Bin.SetOpen(c.acceptsTasks(m, now))
	return m, false
}

// CheckReconciled notes when every machine that an earlier term may have used has been heard, or is
// gone.
func (c *Scheduler) CheckReconciled(now time.Time) {
	if c.fleet.Unreconciled() {
		return
	}
	c.reconciled, c.placementStale = true, true
	c.clearAllUncertain()
	slog.Info("all machines settled", "term", c.term, "after", now.Sub(c.termStart).Round(time.Millisecond))
	for _, j := range c.jobs {
		// A gang that already ran and lost a member under an earlier term cannot
		// be completed any more; one that still waits can, with its own attempt.
		if j.Shape == records.ShapeGang && j.gangAttempt != 0 && len(j.attempts) < j.Tasks {
			for _, a := range j.attempts {
				if a.State() == fleet.Running || a.State() == fleet.Flushing {
					c.stopGang(j, now)
					break
				}
			}
		}
	}
}

// adopt takes in an attempt that a worker holds and this term did not start.
func (c *Scheduler) adopt(m *fleet.Machine, a *fleet.Attempt) {
	j := c.jobs[a.Task.Job]
	a.Duplicate = true
	if j == nil || a.Task.N >= j.Tasks {
		if a.State() == fleet.Ended {
			a.Reap = true
		} else {
			// Its size is unknown: hold the whole machine until it is gone.
			m.Adopt(a, &packing.Item{ID: a.Task.String(), Req: m.Bin.Cap})
			c.stop(a, stopJobClosed, 0, time.Time{})
		}
		return
	}
	if a.State() == fleet.Ended {
		return
	}
	if a.Item == nil {
		m.Adopt(a, &packing.Item{ID: a.Task.String(), Req: j.request})
		c.useImage(m, j)
	}
	// A machine that nobody knew of and that has tasks is a late copy from one that was given
	// back, or was never on record as it should have been: its tasks count, and go.
	fits := !m.Unverified && j.attempts[a.Task.N] == nil && !has(j.done, a.Task.N) &&
		(j.Shape != records.ShapeGang || j.gangAttempt == 0 || j.gangAttempt == a.Number)
	if fits && a.Number>>24 != c.term {
		a.Duplicate = false
		j.attempts[a.Task.N], j.adoptedUntried = a, true
		if j.Shape == records.ShapeGang {
			j.gangAttempt = a.Number
		}
		return
	}
	// A second attempt of the same task: it goes, and until then it counts.
	j.duplicates[a.Task.N]++
	c.stop(a, stopDuplicate, 0, time.Time{})
}

// attemptLost handles an attempt that is no longer on its machine and left no result.
func (c *Scheduler) attemptLost(a *fleet.Attempt, now time.Time) {
	j := c.jobs[a.Task.Job]
	lostTotal.Inc()
	drained(a, now)
	slog.Debug("attempt gone", "task", a.Task.String(), "machine", a.Machine.Host, "state", a.State().String(), "fate", c.countWastedStart(a), "term", c.term)
	if j != nil && j.Shape == records.ShapeGang && j.attempts[a.Task.N] == a && a.State() != fleet.Sent {
		defer func() { c.stopGang(j, now); c.claimFreedPlace(j, a) }()
	}
	c.releaseAttempt(a)
}

// attemptEnded handles an exit.
func (c *Scheduler) attemptEnded(a *fleet.Attempt, now time.Time) {
	j, m := c.jobs[a.Task.Job], a.Machine
	c.placementStale = true
	if j == nil || a.Task.N >= j.Tasks {
		a.Reap = true
		return
	}
	drained(a, now)
	metrics.GetOrCreateCounter(`drumpick_tasks_ended_total{cause="` + causeLabel(a.Cause) + `"}`).Inc()
	fetched, ran := a.Durations(now)
	became := "done"
	if a.Cause != fleet.CauseDone {
		became = c.countWastedStart(a)
	}
	slog.Debug("task ended", "task", a.Task.String(), "machine", m.Host, "cause", a.Cause, "fate", became, "saved", a.Saved,
		"fetch_s", fetched.Seconds(), "run_s", ran.Seconds(), "term", c.term)
	switch a.Cause {
	case fleet.CauseDone:
		c.freedRoom.add(j.request, now, c.settings.HeartbeatInterval)
		clear(m.ErrorJobs)
		m.Proven = true
		c.markDone(j, a.Task.N)
		for _, other := range j.attempts {
			if other != a && (other.Task == a.Task || j.Shape == records.ShapeGang && other.Number != a.Number) {
				c.end(other) // its result is there already
			}
		}
		for host := range j.errorMachines {
			// The job can run, so what failed it is the machine.
			if bad := c.fleet.Machines[host]; bad != nil && bad != m {
				c.markFaulty(bad)
			}
		}
		clear(j.errorMachines)
		j.backoff = 0
		if j.Shape == records.ShapeService {
			a.Reap = true
		}
	case fleet.CauseError:
		a.Reap = true
		c.attemptFailed(j, m, now)
	case fleet.CauseFull:
		a.Reap = true
		// The worker knows better than we do what is free.
		m.FullUntil = now.Add(2 * c.settings.HeartbeatInterval)
	case fleet.CauseNoSuch:
		a.Reap = true
		c.delayRetry(j, now)
	default:
		a.Reap = true
	}
	held := j.attempts[a.Task.N] == a
	c.releaseAttempt(a)
	if j.Shape == records.ShapeGang && held && a.Cause != fleet.CauseDone {
		first := !j.gangBroken // afterwards release keeps the places
		c.stopGang(j, now)
		if first {
			c.claimFreedPlace(j, a)
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
func (c *Scheduler) attemptFailed(j *Job, m *fleet.Machine, now time.Time) {
	m.ErrorJobs[j.ID]++
	j.errorMachines[m.Host] = true
	fine := j.doneCount > 0
	for _, a := range j.attempts {
		if a.Machine != m && a.State() == fleet.Running && now.Sub(a.RunSince) > 2*c.settings.HeartbeatInterval {
			fine = true
		}
	}
	switch {
	case fine || len(m.ErrorJobs) >= 2:
		c.markFaulty(m)
	case len(j.errorMachines) >= 3:
		// It fails wherever it goes: the machines are not to blame.
		c.delayRetry(j, now)
		for host := range j.errorMachines {
			if x := c.fleet.Machines[host]; x != nil {
				delete(x.ErrorJobs, j.ID)
				x.FullUntil = time.Time{}
				x.Bin.SetOpen(c.acceptsTasks(x, now))
			}
		}
		clear(j.errorMachines)
	default:
		m.FullUntil = now.Add(5 * c.settings.HeartbeatInterval)
	}
}

func (c *Scheduler) markFaulty(m *fleet.Machine) {
	if !m.Faulty {
		slog.Info("machine is faulty", "machine", m.Host, "errors", len(m.ErrorJobs), "term", c.term)
	}
	m.Faulty, m.Draining = true, true
	m.Bin.SetOpen(false)
	c.cancelPlanned(m)
	c.lastDrainPass = time.Time{} // an upgrade may have to be rolled back
	for _, d := range c.drains {
		if d.upgrades() && d.spec.Selects(drainView(m, c.now)) && m.Version == d.state.Roll.Want && m.Cordon == nil {
			m.Cordon = d // it stays, to get its earlier version back
		}
	}
}

func (c *Scheduler) delayRetry(j *Job, now time.Time) {
	j.backoff = min(max(2*j.backoff, 4*c.settings.HeartbeatInterval), 60*c.settings.HeartbeatInterval)
	j.retryAt = now.Add(j.backoff)
	slog.Info("job fails everywhere, retrying later", "job", j.ID, "pause", j.backoff, "term", c.term)
}

// cancelPlanned takes back what was meant for a machine and not yet sent.
func (c *Scheduler) cancelPlanned(m *fleet.Machine) {
	for _, a := range slices.Clone(m.Attempts()) {
		if a.State() == fleet.Planned {
			m.Forget(a)
			c.releaseAttempt(a)
		}
	}
}

// handlePreemptionNotice empties a machine that the cloud is about to take: nothing new, and
// what can save is told to while there is time.
func (c *Scheduler) handlePreemptionNotice(m *fleet.Machine, now time.Time) {
	c.cancelPlanned(m)
	m.Draining = true
	for _, a := range m.Attempts() {
		j := c.jobs[a.Task.Job]
		if j == nil || a.Stopping() || a.State() != fleet.Running && a.State() != fleet.Waiting {
			continue
		}
		left := m.PreemptionAt.Sub(now).Seconds()
		if j.Shape == records.ShapeGang {
			if j.CheckpointS > 0 && left > j.SaveS {
				c.stopGang(j, now)
			}
			continue
		}
		if j.Shape == records.ShapeService {
			continue // dealt with in rounds: a replica moves while another runs
		}
		switch remains := c.remainingSeconds(j, a, now); {
		case j.CheckpointS > 0:
			if left > j.SaveS && remains > left {
				c.stop(a, stopPreemptionNotice, j.SaveS, now)
			}
		case remains > left:
			// What it has done is lost with the machine in any case; stopped now, it
			// starts elsewhere now, and not when the machine is known to be gone.
			c.stop(a, stopPreemptionNotice, 0, now)
		}
	}
}

// remainingSeconds guesses, in seconds, how long an attempt still runs.
func (c *Scheduler) remainingSeconds(j *Job, a *fleet.Attempt, now time.Time) float64 {
	if a.RunSince.IsZero() {
		return j.EstimateS
	}
	return max(j.EstimateS-now.Sub(a.RunSince).Seconds(), j.EstimateS/10)
}

// stopGang stops every task of a gang so that a new attempt can start whole.
func (c *Scheduler) stopGang(j *Job, now time.Time) {
	if j.closed || j.doneCount == j.Tasks {
		return
	}
	j.gangBroken = len(j.attempts) > 0
	for _, a := range j.attempts {
		if a.State() == fleet.Planned {
			defer func() { a.Machine.Forget(a); c.releaseAttempt(a) }()
			continue
		}
		c.stop(a, stopGangMember, j.SaveS, now)
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
func (c *Scheduler) NeedsRelay(host string, now time.Time) bool {
	m := c.fleet.Machines[host]
	if m == nil {
		return false
	}
	if !m.RelayedAt.IsZero() && now.Sub(m.RelayedAt) < c.settings.Lease {
		if !m.RelayedSince.IsZero() && now.Sub(m.RelayedSince) > 4*c.settings.Lease {
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
	return m.Up && now.Sub(m.LastStatus) > c.settings.HeartbeatInterval*3/2
}

// NoteAnswered notes that a 200 was written to a report that came through a controller.
func (c *Scheduler) NoteAnswered(m *fleet.Machine, via string, now time.Time) { m.Answered(via, now) }

// Recency tells how a report stands to what is known. One that is late, or from a machine that
// was given back, is nothing to conclude from, not even where its worker reports.
func (c *Scheduler) Recency(r *fleet.Heartbeat, now time.Time) fleet.Recency {
	if c.fleet.Machines[r.Machine] == nil {
		if _, gone := c.autoscaling.returnedAt[r.Machine]; gone {
			return fleet.Late
		}
		return fleet.Current
	}
	return c.fleet.Recency(r, now)
}

// RenewOvertaken answers a report that an answer to a direct command has overtaken: its worker's lease is
// renewed, and what is harmless late is told again. ok is false where the report is late, or its
// machine is not on record, so that the next leader would not know whom it may hold.
func (c *Scheduler) RenewOvertaken(m *fleet.Machine, r *fleet.Heartbeat, now time.Time) (resp fleet.HeartbeatResponse, ok bool) {
	if m == nil || !m.Recorded || !m.Overtaken(r, now) {
		return resp, false
	}
	m.Renewed(now)
	return fleet.HeartbeatResponse{FencingToken: c.term, Commands: m.PendingCommands()}, true
}

// Probes lists machines that are to be asked what they have.
func (c *Scheduler) Probes(now time.Time) []fleet.Probe {
	return c.fleet.Probes(c.settings.HeartbeatInterval, now)
}

// ApplyProbe takes in what one says that was asked.
func (c *Scheduler) ApplyProbe(q fleet.Probe, r *fleet.Heartbeat, now time.Time) {
	wasDeaf := c.isUnreachable(q.Host)
	out, anew := c.fleet.ApplyProbe(q, r, now)
	if anew {
		slog.Info("machine has started anew", "machine", q.Host, "stint", r.Incarnation, "tick", r.Sequence, "gone", len(out.Gone), "term", c.term)
	}
	c.applyOutcome(out, wasDeaf, now)
}

// ExpireLeases gives up machines whose lease has ended.
func (c *Scheduler) ExpireLeases(now time.Time) {
	for _, a := range c.fleet.ExpireLeases(now) {
		a.Machine.Bin.SetOpen(false)
		c.attemptLost(a, now)
		c.placementStale = true
	}
}

// ExpireEarlierLeases takes in that no lease which an earlier term gave is left, and says of how many
// machines, unheard of, that ends the doubt.
func (c *Scheduler) ExpireEarlierLeases(now time.Time) int {
	n, gone := c.fleet.ExpireEarlierLeases()
	for _, a := range gone {
		c.attemptLost(a, now)
	}
	c.placementStale = true
	if !c.reconciled {
		c.CheckReconciled(now)
	}
	return n
}

// RemoveMachine forgets a machine that is surely gone.
func (c *Scheduler) RemoveMachine(host string, now time.Time) {
	if m := c.fleet.Machines[host]; m != nil && c.spaces[m.Type] != nil {
		c.spaces[m.Type].Drop(m.Bin)
	}
	for _, a := range c.fleet.Remove(host) {
		c.attemptLost(a, now)
	}
	c.placementStale = true
	c.removedMachines = append(c.removedMachines, host)
	if !c.reconciled {
		c.CheckReconciled(now)
	}
}
