package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"

	"github.com/VictoriaMetrics/metrics"
)

// startStages is when a job that begins reached which stage; of a gang, its last task. What is tried
// again counts from its last try: the time before was spent waiting for room.
type startStages struct {
	learnedAt, placedAt time.Time
	entitled            bool // it was within its team's guarantee when it was first put in order
	entitlementKnown    bool // whether it was is known
	reported            bool // its start has been reported
}

// waitBreakdown is how long a job waited for what, until it began.
type waitBreakdown struct {
	discovery, room, dispatch, fetch, gang time.Duration
	machine                                *fleet.Machine // where its image came last
}

// longest names what a job waited for longest: for the leader to learn of it, for room, for
// watermarks and the heartbeat in answer to which the run command went out, for its image, or for the
// rest of the gang to be seen running. The names are label values of a metric.
func (w waitBreakdown) longest() string {
	by, most := "heard", w.discovery
	for _, x := range []struct {
		by    string
		drain time.Duration
	}{{"room", w.room}, {"report", w.dispatch}, {"fetch", w.fetch}, {"mates", w.gang}} {
		if x.drain > most {
			by, most = x.by, x.drain
		}
	}
	return by
}

// computeWaitBreakdown works out what a job waited for, of which attempt is the last one seen to run.
func (j *Job) computeWaitBreakdown(attempt *fleet.Attempt, now time.Time) waitBreakdown {
	placed, sent, ready := j.start.placedAt, attempt.AssignedAt, attempt.ImageReadySince
	wait := waitBreakdown{machine: attempt.Machine}
	if j.Shape == records.ShapeGang {
		for _, other := range j.attempts {
			if other.AssignedAt.After(sent) {
				sent = other.AssignedAt
			}
			if other.ImageReadySince.After(ready) {
				ready, wait.machine = other.ImageReadySince, other.Machine
			}
		}
	}
	// Other tasks of the job may have been placed since the first that runs was sent.
	if placed.After(sent) {
		placed = sent
	}
	wait.discovery, wait.room = j.start.learnedAt.Sub(j.releasedAt), placed.Sub(j.start.learnedAt)
	wait.dispatch, wait.fetch, wait.gang = sent.Sub(placed), ready.Sub(sent), now.Sub(ready)
	return wait
}

// hasBegun reports whether a job of which a task was just seen to run has begun: a gang has when all
// its tasks run.
func (j *Job) hasBegun() bool {
	if j.Shape != records.ShapeGang {
		return true
	}
	for _, x := range j.attempts {
		if x.RunningSince.IsZero() {
			return false
		}
	}
	return len(j.attempts) == j.Tasks
}

// recordRunning notes that a task was seen to run, and reports once, when its job has begun, what it
// waited for until then: a guarantee that is missed by seconds is missed by one of these.
func (s *Scheduler) recordRunning(job *Job, attempt *fleet.Attempt, now time.Time) {
	if !job.hasBegun() {
		return
	}
	s.slo.JobStarted(job.ID, now)
	if job.start.reported || job.attempts[attempt.Task.N] != attempt || !s.startedThisTerm(attempt) {
		return
	}
	job.start.reported = true
	wait := job.computeWaitBreakdown(attempt, now)
	waitS, longest := now.Sub(job.releasedAt).Seconds(), wait.longest()
	if job.start.entitled {
		metrics.GetOrCreateHistogram(`drumpick_guarantee_wait_seconds{longest="` + longest + `"}`).Update(waitS)
	}
	slog.Debug("job started", "job", job.ID, "class", job.Class, "team", job.Team, "tasks", job.Tasks, "entitled", job.start.entitled,
		"wait_s", waitS, "longest", longest, "heard_s", wait.discovery.Seconds(), "room_s", wait.room.Seconds(),
		"report_s", wait.dispatch.Seconds(), "fetch_s", wait.fetch.Seconds(), "mates_s", wait.gang.Seconds(),
		"machine", wait.machine.Name, "type", wait.machine.Type, "term", s.term)
}
