package scheduler

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// newDrainTask returns the input of drain.Decide for an attempt; the caller sets its Place.
func (s *Scheduler) newDrainTask(j *Job, a *fleet.Attempt, now time.Time) drain.Task {
	toDuration := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	_, ran := a.Durations(now)
	isGang := j.Shape == records.ShapeGang
	t := drain.Task{
		Running:         a.State() == fleet.Running,
		WaitingForGang:  a.State() == fleet.Waiting || a.State() == fleet.Pulling && isGang,
		Stopping:        a.Stopping(),
		Gang:            isGang,
		Service:         j.Shape == records.ShapeService,
		Urgent:          j.precedence.Rank <= priorityRank[records.PriorityUrgent],
		Remaining:       toDuration(s.remainingSeconds(j, a, now)),
		Ran:             ran,
		CanSave:         j.CheckpointS > 0,
		SaveDuration:    toDuration(j.SaveS),
		RestartDuration: s.settings.HeartbeatInterval + s.fetchTime(j),
	}
	if t.Service {
		t.Remaining = 0
		for _, other := range j.attempts {
			if other != a && other.State() == fleet.Running && !other.Stopping() && other.Machine.Cordon == nil {
				t.OtherReplicas++
			}
		}
	}
	if slack, ok := s.slack(j, t.Remaining, now); ok {
		t.Slack = &slack
	}
	return t
}

// slack returns the time between the end of a task, which is expected after remaining, and the
// first of its job's targets that the task can meet. It returns false if there is no such target.
func (s *Scheduler) slack(j *Job, remaining time.Duration, now time.Time) (time.Duration, bool) {
	age := now.Sub(j.releasedAt)
	for _, t := range j.targets {
		if due := time.Duration(t * float64(time.Second)); age+remaining <= due {
			return due - age - remaining, true
		}
	}
	return 0, false
}

// drainMachine decides about each task on a machine that is being drained, and executes the
// decisions.
func (s *Scheduler) drainMachine(m *fleet.Machine, d *activeDrain, finder *placeFinder) {
	now := finder.now
	timeLeft := d.timeLeft(now)
	for _, a := range slices.Clone(m.Attempts()) {
		j := s.jobOf(a)
		if j == nil || a.Stopping() || a.State() == fleet.Ended || a.State() == fleet.Planned || a.State() == fleet.Sent || a.Duplicate {
			continue // stopping, ended, a duplicate, planned, or not confirmed by its worker yet
		}
		if j.Shape == records.ShapeGang {
			s.drainGang(j, timeLeft, finder)
			continue
		}
		t := s.newDrainTask(j, a, now)
		zones := finder.zonesWithout(j, m.Zone)
		var target *fleet.Machine
		t.Place, target = finder.findPlace(j, zones)
		decision := drain.Decide(t, timeLeft, s.settings.HeartbeatInterval)
		if t.Service && timeLeft == nil {
			continue // replicas move in rebalancing rounds, one per job at a time
		}
		switch decision.Action {
		case drain.Wait:
			j.relocatingTasks++ // counts as demand for scale-out
			j.remainingByZone = zones
		case drain.Move, drain.Restart:
			if target != nil {
				s.addClaim(j, target, now)
				finder.addClaim(j, target)
			}
			s.stopForDrain(j, a, decision, now)
		}
	}
}

// stopForDrain stops a task to drain its machine. The task gets its save time if it saves checkpoints.
func (s *Scheduler) stopForDrain(j *Job, a *fleet.Attempt, decision drain.Decision, now time.Time) {
	slog.Info("task evicted", "job", j.ID, "task", a.Task.String(), "machine", a.Machine.Name,
		"reason", decision.Reason, "lost_s", decision.Lost.Seconds(), "term", s.term)
	drainedTotal.Inc()
	grace := 0.0
	if j.CheckpointS > 0 {
		grace = j.SaveS
	}
	s.requestStop(a, stopDrained, grace, now)
}

// drainGang decides about a gang as a whole if some of its tasks are on machines that are being
// drained, and executes the decision.
func (s *Scheduler) drainGang(j *Job, timeLeft *time.Duration, finder *placeFinder) {
	now := finder.now
	if j.gangBroken {
		return
	}
	var leaving []*fleet.Attempt
	staying := map[string]int{}
	for _, a := range j.attempts {
		switch {
		case a.Stopping():
			return
		case s.isBeingDrained(a.Machine):
			leaving = append(leaving, a)
		default:
			staying[a.Machine.Zone]++
		}
	}
	if len(leaving) == 0 {
		return
	}
	slices.SortFunc(leaving, func(a, b *fleet.Attempt) int { return cmp.Compare(a.Task.N, b.Task.N) })
	t := s.newDrainTask(j, leaving[0], now)
	for _, a := range j.attempts {
		t.WaitingForGang = t.WaitingForGang || a.State() != fleet.Running
		_, ran := a.Durations(now)
		t.Ran = max(t.Ran, ran)
	}
	var targets []*fleet.Machine
	if t.Place = drain.NotPermitted; finder.allowedAnywhere(j, staying) {
		t.Place = drain.NoRoom
		if targets = finder.findGangRoom(j, len(leaving), staying); len(targets) == len(leaving) {
			t.Place = drain.HasRoom
		} else if targets = finder.findGangRoom(j, len(j.attempts), nil); len(targets) == len(j.attempts) {
			t.Place = drain.HasRoom // the whole gang moves, including tasks that could have stayed
		}
	}
	decision := drain.Decide(t, timeLeft, s.settings.HeartbeatInterval)
	switch decision.Action {
	case drain.Wait:
		j.relocatingTasks += len(leaving)
		if j.OneZone || j.SpreadZones {
			j.remainingByZone = staying
		}
	case drain.Move, drain.Restart:
		slog.Info("gang evicted", "job", j.ID, "reason", decision.Reason, "lost_s", decision.Lost.Seconds(), "term", s.term)
		s.stopGang(j, now)
		if t.Place == drain.HasRoom {
			for _, m := range targets {
				s.addClaim(j, m, now)
			}
		}
	}
}

// countDrainOutcome counts the outcome of an attempt that has ended or is lost in the state of the
// drain that evicts tasks from its machine, if there is one. It does not count an attempt that its
// worker never confirmed, nor one that ran and failed for a reason other than a stop.
func countDrainOutcome(a *fleet.Attempt, now time.Time) {
	d, ok := a.Machine.Cordon.(*activeDrain)
	if !ok || !d.evictsTasks() || a.State() == fleet.Sent {
		return
	}
	_, ran := a.Durations(now)
	actual := &d.state.Actual
	switch {
	case a.State() != fleet.Ended:
		actual.MachineLost++
		if !isService(a) {
			actual.LostS += ran.Seconds()
		}
	case a.Cause == fleet.CauseDone:
		actual.Finish++
	case a.CheckpointSaved || ran == 0 || isService(a):
		actual.Move++
	case a.Cause == fleet.CauseStopped, a.Cause == fleet.CauseGangPeerLost:
		actual.Restart++
		actual.LostS += ran.Seconds()
	}
}

// isService reports whether an attempt belongs to a service, whose run time is never lost work.
func isService(a *fleet.Attempt) bool {
	j, ok := a.Job.(*Job)
	return ok && j.Shape == records.ShapeService
}
