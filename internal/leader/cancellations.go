package leader

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/ctxtime"

	"github.com/VictoriaMetrics/metrics"
)

// inFlightDivisor is the divisor of the heartbeat interval that gives the time within which a
// response usually reaches its worker, including a relay by another controller.
const inFlightDivisor = 16

var jobsCancelledByPeers = metrics.NewCounter("drumpick_jobs_cancelled_by_word_total")

// cancelledJobs are jobs that other controllers have reported as cancelled and that this leader's
// watch has not yet reported, because it lags or the store does not answer. They are kept until the
// watch has caught up. The state's lock guards the fields.
type cancelledJobs struct {
	deliveredBy    map[string]time.Time // by job, when its last dispatch has reached the worker
	lastReportedAt time.Time            // time of the last report
}

func (c *cancelledJobs) contains(job string) bool {
	_, ok := c.deliveredBy[job]
	return ok
}

// dropWatched drops the jobs if a watch answer that was requested at askedAt is newer than the last
// report, and so includes all of these cancellations.
func (c *cancelledJobs) dropWatched(askedAt time.Time) {
	if askedAt.After(c.lastReportedAt) {
		c.deliveredBy = nil
	}
}

// cancelReported cancels jobs that peers report as cancelled. It must be called before any lease is
// renewed based on that report, so that heartbeats accepted from then on are answered with the
// kills.
func (t *term) cancelReported(jobs []string) {
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	cancelled := 0
	for _, job := range jobs {
		if !t.state.cancelled.contains(job) {
			cancelled++
		}
		t.cancelLocked(job)
	}
	if cancelled > 0 {
		jobsCancelledByPeers.Add(cancelled)
		slog.Info("jobs cancelled by peers", "jobs", cancelled, "term", t.number)
	}
}

// cancelLocked closes a cancelled job. It returns the time by which the job's last dispatch has
// reached the worker, or the zero time if there was none. The caller must hold the state's lock.
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
	if dispatched := t.state.scheduler.LastDispatched(job); !dispatched.IsZero() {
		arrival = dispatched.Add(t.settings.HeartbeatInterval / inFlightDivisor)
	}
	cancelled.deliveredBy[job] = arrival
	t.state.scheduler.CloseJob(job) // the closed record decides about its dependents
	return arrival
}

// NotifyCancelled closes a job that is cancelled in the store, before the cancellation is confirmed
// to its user, and reports whether no task of it is dispatched from then on. Otherwise tasks could
// start after a confirmed cancellation, as the watch lags if the store is slow or unreachable for
// this leader. The call waits until commands already in flight have reached their workers.
func (l *Leader) NotifyCancelled(ctx context.Context, id string) bool {
	select {
	case <-l.loaded:
	case <-ctx.Done():
		return false
	}
	if l.closed.Load() {
		return false
	}
	l.state.mu.Lock()
	arrival := l.cancelLocked(id)
	l.state.mu.Unlock()
	return ctxtime.Sleep(ctx, time.Until(arrival)) == nil
}
