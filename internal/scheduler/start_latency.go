package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/records"

	"github.com/VictoriaMetrics/metrics"
)

// startStages records when the leader read a job and when it last placed a task of the job. So a
// retried start counts from its last attempt: the time before counts as waiting for room.
type startStages struct {
	learnedAt, placedAt time.Time
	guaranteed          bool // the job was within its team's guarantee when it first entered the queue
	guaranteedKnown     bool // guaranteed is set
	reported            bool // the job's start has been logged
}

// waitBreakdown divides the time that a job waited for its start by what it waited for.
type waitBreakdown struct {
	discovery, room, dispatch, fetch, gang time.Duration
	machine                                *fleet.Machine // where the job's image was ready last
}

// longest returns the name of the longest part of the wait: for the leader to read the job
// ("heard"), for room, for the watermark and the heartbeat whose answer carries the run command
// ("report"), for the image ("fetch"), or for the rest of the gang to run ("mates"). The names are
// label values of a metric.
func (w waitBreakdown) longest() string {
	part, longest := "heard", w.discovery
	for _, x := range []struct {
		part     string
		duration time.Duration
	}{{"room", w.room}, {"report", w.dispatch}, {"fetch", w.fetch}, {"mates", w.gang}} {
		if x.duration > longest {
			part, longest = x.part, x.duration
		}
	}
	return part
}

// computeWaitBreakdown divides a job's wait until now. attempt is the last attempt of the job that was
// reported running.
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
	// Other tasks of the job may have been placed after the first running one was sent.
	if placed.After(sent) {
		placed = sent
	}
	wait.discovery, wait.room = j.start.learnedAt.Sub(j.releasedAt), placed.Sub(j.start.learnedAt)
	wait.dispatch, wait.fetch, wait.gang = sent.Sub(placed), ready.Sub(sent), now.Sub(ready)
	return wait
}

// hasStarted reports whether a job with a running task has started: a gang has only if all its tasks
// are running or have run.
func (j *Job) hasStarted() bool {
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

// recordRunning records that an attempt of a job is reported running. When the job has started, it
// logs once the start latency and what the job waited for, to show why a guarantee was missed. It does
// not log the start if the attempt was started by an earlier term.
func (s *Scheduler) recordRunning(job *Job, attempt *fleet.Attempt, now time.Time) {
	if !job.hasStarted() {
		return
	}
	s.slo.JobStarted(job.ID, now)
	if job.start.reported || job.attempts[attempt.Task.N] != attempt || !s.startedThisTerm(attempt) {
		return
	}
	job.start.reported = true
	wait := job.computeWaitBreakdown(attempt, now)
	waitS, longest := now.Sub(job.releasedAt).Seconds(), wait.longest()
	if job.start.guaranteed {
		metrics.GetOrCreateHistogram(`drumpick_guarantee_wait_seconds{longest="` + longest + `"}`).Update(waitS)
	}
	slog.Debug("job started", "job", job.ID, "class", job.Class, "team", job.Team, "tasks", job.Tasks, "entitled", job.start.guaranteed,
		"wait_s", waitS, "longest", longest, "heard_s", wait.discovery.Seconds(), "room_s", wait.room.Seconds(),
		"report_s", wait.dispatch.Seconds(), "fetch_s", wait.fetch.Seconds(), "mates_s", wait.gang.Seconds(),
		"machine", wait.machine.Name, "type", wait.machine.Type, "term", s.term)
}
