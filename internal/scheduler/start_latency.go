package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"

	"github.com/VictoriaMetrics/metrics"
)

// startStages is when a job that begins came how far; of a gang, its last task. What is tried
// again counts from its last try: the time before went by waiting for room.
type startStages struct {
	learnedAt, placedAt time.Time
	entitled            bool // it was within its team's guarantee when it was first placed in order
	known               bool // whether it was is known
	reported            bool
}

// waitBreakdown is how long a job waited for what, until it began.
type waitBreakdown struct {
	heard, room, report, fetch, gang time.Duration
	machine                          *fleet.Machine // where its image came last
}

// longestPart names what a job waited for longest: to be heard of by the leader, for room, for
// marks and the report that takes the run along, for its image, or for the rest of the gang
// to be seen running.
func (w waitBreakdown) longestPart() string {
	by, most := "heard", w.heard
	for _, x := range []struct {
		by string
		d  time.Duration
	}{{"room", w.room}, {"report", w.report}, {"fetch", w.fetch}, {"mates", w.gang}} {
		if x.d > most {
			by, most = x.by, x.d
		}
	}
	return by
}

// waitBreakdown works out for what a job waited whose task a is the last one seen to run.
func (j *Job) waitBreakdown(a *fleet.Attempt, now time.Time) waitBreakdown {
	placed, sent, ready := j.start.placedAt, a.Since, a.ReadySince
	w := waitBreakdown{machine: a.Machine}
	if j.Shape == records.ShapeGang {
		for _, x := range j.attempts {
			if x.Since.After(sent) {
				sent = x.Since
			}
			if x.ReadySince.After(ready) {
				ready, w.machine = x.ReadySince, x.Machine
			}
		}
	}
	// Guards against a job whose other tasks were placed since the first that runs was sent.
	if placed.After(sent) {
		placed = sent
	}
	w.heard, w.room = j.start.learnedAt.Sub(j.releasedAt), placed.Sub(j.start.learnedAt)
	w.report, w.fetch, w.gang = sent.Sub(placed), ready.Sub(sent), now.Sub(ready)
	return w
}

// hasBegun says whether a job of which a task was just seen to run has begun: a gang has when
// all its tasks run.
func (j *Job) hasBegun() bool {
	if j.Shape != records.ShapeGang {
		return true
	}
	for _, x := range j.attempts {
		if x.RunSince.IsZero() {
			return false
		}
	}
	return len(j.attempts) == j.Tasks
}

// noteRunning notes that a task was seen to run, and tells once, when its job has begun, for
// what it waited until then: a guarantee that is missed by seconds is missed by one of these.
func (s *Scheduler) noteRunning(j *Job, a *fleet.Attempt, now time.Time) {
	if !j.hasBegun() {
		return
	}
	s.slo.JobBegan(j.ID, now)
	if j.start.reported || j.attempts[a.Task.N] != a || a.Number>>24 != s.term {
		return
	}
	j.start.reported = true
	w := j.waitBreakdown(a, now)
	if j.start.entitled {
		metrics.GetOrCreateHistogram(`drumpick_guarantee_wait_seconds{longest="` + w.longestPart() + `"}`).Update(now.Sub(j.releasedAt).Seconds())
	}
	slog.Debug("job began", "job", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks, "entitled", j.start.entitled,
		"wait_s", now.Sub(j.releasedAt).Seconds(), "longest", w.longestPart(), "heard_s", w.heard.Seconds(), "room_s", w.room.Seconds(),
		"report_s", w.report.Seconds(), "fetch_s", w.fetch.Seconds(), "mates_s", w.gang.Seconds(), "machine", w.machine.Host, "type", w.machine.Type, "term", s.term)
}
