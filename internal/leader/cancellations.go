package leader

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/ctxtime"

	"github.com/VictoriaMetrics/metrics"
)

// inFlightDivisor is the part of a heartbeat interval, one in so many, in which a response mostly
// reaches its worker, relayed by another controller too.
const inFlightDivisor = 16

var jobsCancelledByPeers = metrics.NewCounter("drumpick_jobs_cancelled_by_word_total")

// cancelledJobs are jobs of which other controllers have reported that they are cancelled, before
// this leader's watch of the store did or while the store does not answer it. They are kept until
// the watch has come past that. The lock of the state guards it.
type cancelledJobs struct {
	deliveredBy    map[string]time.Time // by job, when what was dispatched of it before has reached its worker
	lastReportedAt time.Time            // when the last was reported
}

func (c *cancelledJobs) contains(job string) bool {
	_, ok := c.deliveredBy[job]
	return ok
}

// dropWatched takes in that all that the store had when it was asked is known.
func (c *cancelledJobs) dropWatched(askedAt time.Time) {
	if askedAt.After(c.lastReportedAt) {
		c.deliveredBy = nil
	}
}

// cancelReported cancels jobs that peers report as cancelled. It is done before any lease is
// renewed on that report: a heartbeat that is accepted from then on is answered with the kills.
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

// cancelLocked closes a job that is cancelled, and returns when what was dispatched of it before
// has reached its worker.
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
	t.state.scheduler.CloseJob(job) // the record of the closed job tells those that depend on it
	return arrival
}

// NotifyCancelled closes a job that is cancelled in the store, before its user is told so, and
// reports whether none of its tasks is dispatched from then on. Without this, tasks could start
// after a confirmed cancellation, as the watch is late where the store is slow or out of this
// leader's reach alone. What is on its way to a worker by then is given a moment to arrive.
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
