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

// drainTask is what the decision about an attempt depends on, except where else it could go.
func (s *Scheduler) drainTask(j *Job, a *fleet.Attempt, now time.Time) drain.Task {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	_, ran := a.Durations(now)
	isGang := j.Shape == records.ShapeGang
	t := drain.Task{
		Running:         a.State() == fleet.Running,
		Waiting:         a.State() == fleet.Waiting || a.State() == fleet.Pulling && isGang,
		Stopping:        a.Stopping(),
		Gang:            isGang,
		Service:         j.Shape == records.ShapeService,
		Urgent:          j.precedence.Rank <= priorityRank[records.PriorityUrgent],
		Remaining:       seconds(s.remainingSeconds(j, a, now)),
		Ran:             ran,
		Saves:           j.CheckpointS > 0,
		SaveDuration:    seconds(j.SaveS),
		RestartDuration: s.settings.HeartbeatInterval + s.fetchTime(j),
	}
	if t.Service {
		t.Remaining = 0
		for _, o := range j.attempts {
			if o != a && o.State() == fleet.Running && !o.Stopping() && o.Machine.Cordon == nil {
				t.OtherReplicas++
			}
		}
	}
	if slack, ok := s.slack(j, t.Remaining, now); ok {
		t.Slack = &slack
	}
	return t
}

// slack returns how much time a job has beyond what a task of it still needs, and whether anything is
// due still.
func (s *Scheduler) slack(j *Job, remaining time.Duration, now time.Time) (time.Duration, bool) {
	age := now.Sub(j.releasedAt)
	for _, t := range j.targets {
		if due := time.Duration(t * float64(time.Second)); age+remaining <= due {
			return due - age - remaining, true
		}
	}
	return 0, false
}

// emptyMachine decides about each task of a machine that is being emptied.
func (s *Scheduler) emptyMachine(m *fleet.Machine, d *activeDrain, finder *placeFinder) {
	now := finder.now
	left := d.timeLeft(now)
	for _, a := range slices.Clone(m.Attempts()) {
		j := s.jobOf(a)
		if j == nil || a.Stopping() || a.State() == fleet.Ended || a.State() == fleet.Planned || a.State() == fleet.Sent || a.Duplicate {
			continue // on its way out, or not known well enough yet
		}
		if j.Shape == records.ShapeGang {
			s.emptyGang(j, left, finder)
			continue
		}
		t := s.drainTask(j, a, now)
		zones := s.zoneCounts(j)
		if zones != nil {
			zones[m.Zone]-- // it leaves
		}
		var to *fleet.Machine
		t.Place, to = finder.findPlace(j, zones)
		decision := drain.Decide(t, left, s.settings.HeartbeatInterval)
		if t.Service && left == nil {
			continue // replicas move in rounds, one of a job at a time
		}
		switch decision.Action {
		case drain.Wait:
			j.relocating++ // others are rented ahead where that is worth it
			j.remainingZones = zones
		case drain.Move, drain.Restart:
			if to != nil {
				s.addClaim(j, to, now)
			}
			s.stopForDrain(j, a, decision, now)
		}
	}
}

// stopForDrain stops a task so that its machine is drained.
func (s *Scheduler) stopForDrain(j *Job, a *fleet.Attempt, decision drain.Decision, now time.Time) {
	slog.Info("task evicted", "job", j.ID, "task", a.Task.String(), "machine", a.Machine.Name,
		"reason", decision.Reason, "lost_s", decision.Lost.Seconds(), "term", s.term)
	drainedTasks.Inc()
	grace := 0.0
	if j.CheckpointS > 0 {
		grace = j.SaveS
	}
	s.stop(a, stopDrained, grace, now)
}

// emptyGang decides about a gang as a whole, of which some tasks are on machines that are being
// emptied.
func (s *Scheduler) emptyGang(j *Job, left *time.Duration, finder *placeFinder) {
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
		case s.isEmptying(a.Machine):
			leaving = append(leaving, a)
		default:
			staying[a.Machine.Zone]++
		}
	}
	if len(leaving) == 0 {
		return
	}
	slices.SortFunc(leaving, func(a, b *fleet.Attempt) int { return cmp.Compare(a.Task.N, b.Task.N) })
	t := s.drainTask(j, leaving[0], now)
	for _, a := range j.attempts {
		t.Waiting = t.Waiting || a.State() != fleet.Running
		_, ran := a.Durations(now)
		t.Ran = max(t.Ran, ran)
	}
	var to []*fleet.Machine
	if t.Place = drain.Nowhere; finder.allowedAnywhere(j, staying) {
		t.Place = drain.NotNow
		if to = finder.findRoomForAll(j, len(leaving), staying); len(to) == len(leaving) {
			t.Place = drain.Room
		} else if to = finder.findRoomForAll(j, len(j.attempts), nil); len(to) == len(j.attempts) {
			t.Place = drain.Room // all of it, away from where the others could have stayed
		}
	}
	decision := drain.Decide(t, left, s.settings.HeartbeatInterval)
	switch decision.Action {
	case drain.Wait:
		j.relocating += len(leaving)
		if j.OneZone || j.SpreadZones {
			j.remainingZones = staying
		}
	case drain.Move, drain.Restart:
		slog.Info("gang evicted", "job", j.ID, "reason", decision.Reason, "lost_s", decision.Lost.Seconds(), "term", s.term)
		s.stopGang(j, now)
		if t.Place == drain.Room {
			for _, m := range to {
				s.addClaim(j, m, now)
			}
		}
	}
}

// countDrained counts what became of a task on a machine that was being emptied.
func countDrained(a *fleet.Attempt, now time.Time) {
	d, ok := a.Machine.Cordon.(*activeDrain)
	if !ok || !d.isEmptying() || a.State() == fleet.Sent {
		return
	}
	_, ran := a.Durations(now)
	actual := &d.state.Actual
	switch {
	case a.State() != fleet.Ended:
		actual.Vanished++
		if !isService(a) {
			actual.LostS += ran.Seconds()
		}
	case a.Cause == fleet.CauseDone:
		actual.Finish++
	case a.Saved || ran == 0 || isService(a):
		actual.Move++
	case a.Cause == fleet.CauseStopped, a.Cause == fleet.CauseMatesGone:
		actual.Lose++
		actual.LostS += ran.Seconds()
	}
}

// isService reports whether an attempt is of a service: the time that it ran is of use however it ends.
func isService(a *fleet.Attempt) bool {
	j, ok := a.Job.(*Job)
	return ok && j.Shape == records.ShapeService
}
