package leader

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ctxtime"

	"github.com/VictoriaMetrics/metrics"
)

var jobsCancelledByPeers = metrics.NewCounter("drumpick_jobs_cancelled_by_word_total")

// cancelledJobs are jobs that a controller has reported as cancelled before this leader's watch of
// open jobs has: the watch may lag, or the store may not answer. The jobs are kept until the watch
// has caught up. The lock of state guards the fields.
type cancelledJobs struct {
	deliveredBy    map[string]time.Time // by job id, when its last run command has reached the worker
	lastReportedAt time.Time            // when a job was last reported as cancelled
}

// contains reports whether a job is known as cancelled. The caller must hold the lock of state.
func (c *cancelledJobs) contains(job string) bool {
	_, ok := c.deliveredBy[job]
	return ok
}

// dropWatched drops all jobs if the watch was requested at askedAt after the last report: the
// answer to the watch then includes all of these cancellations. The caller must hold the lock of
// state.
func (c *cancelledJobs) dropWatched(askedAt time.Time) {
	if askedAt.After(c.lastReportedAt) {
		c.deliveredBy = nil
	}
}

// cancelReported closes jobs that peers report as cancelled. It must be called before any worker's
// lease is renewed on the basis of that report, so that the responses to later heartbeats contain
// the kill commands.
func (t *term) cancelReported(jobs []string) {
	t.lock()
	defer t.unlock()
	newlyCancelled := 0
	for _, job := range jobs {
		if !t.state.cancelled.contains(job) {
			newlyCancelled++
		}
		t.cancelLocked(job)
	}
	if newlyCancelled > 0 {
		jobsCancelledByPeers.Add(newlyCancelled)
		slog.Info("jobs cancelled by peers", "jobs", newlyCancelled, "term", t.number)
	}
}

// cancelLocked closes a cancelled job. It returns the time by which the job's last run command in
// flight, of this term or the one before, has usually reached its worker. The caller must hold the
// state's lock.
func (t *term) cancelLocked(job string) (arrival time.Time) {
	cancelled := &t.state.cancelled
	cancelled.lastReportedAt = time.Now()
	arrival, known := cancelled.deliveredBy[job]
	if known {
		return arrival
	}
	if cancelled.deliveredBy == nil {
		cancelled.deliveredBy = map[string]time.Time{}
	}
	// Answers of the last leader may be in flight as well when this term begins.
	dispatched := t.startedAt
	if last := t.state.scheduler.LastDispatched(job); last.After(dispatched) {
		dispatched = last
	}
	arrival = dispatched.Add(config.AnswerDelivery(t.settings.HeartbeatInterval))
	cancelled.deliveredBy[job] = arrival
	t.state.scheduler.CloseJob(job) // its closed record in the store decides about the jobs that depend on it
	return arrival
}

// NotifyCancelled closes a job that is cancelled in the store; it is called before the cancellation
// is confirmed to a user. It returns true once no task of the job is dispatched any more and run
// commands in flight have usually reached their workers. It first waits until the state of earlier
// terms is loaded. It returns false if the term has ended before the job is closed, or ctx before
// the return.
// Without it, tasks could start after a confirmed cancellation, because this leader's watch lags if
// the store is slow or unreachable.
func (l *Leader) NotifyCancelled(ctx context.Context, id string) bool {
	select {
	case <-l.loaded:
	case <-ctx.Done():
		return false
	}
	if l.closed.Load() {
		return false
	}
	var arrival time.Time
	if !l.withState(func() { arrival = l.cancelLocked(id) }) {
		return false
	}
	return ctxtime.Sleep(ctx, time.Until(arrival)) == nil
}
