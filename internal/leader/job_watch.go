package leader

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// prefixWatch is a watch of the records under a prefix.
type prefixWatch struct {
	prefix string
	wait   time.Duration // how long the store keeps a request open without events
	// relist applies a list of all records after the store has compacted the events since the
	// watch's revision, and returns the revision of the list.
	relist func(ctx context.Context) (revision uint64, err error)
	// apply applies the events of an answer that was requested at askedAt; none after a relist.
	apply func(events []records.Event, askedAt time.Time)
}

// follow runs a watch of the events after the revision since until ctx ends. After an error it
// retries with a delay.
func (t *term) follow(ctx context.Context, watch prefixWatch, since uint64) {
	for ctx.Err() == nil {
		askedAt := time.Now()
		events, revision, err := t.store.Watch(ctx, watch.prefix, since, watch.wait)
		if errors.Is(err, records.ErrCompacted) {
			revision, err = watch.relist(ctx)
			events = nil
		}
		if err != nil {
			if ctxtime.Sleep(ctx, t.settings.HeartbeatInterval/8+rand.N(t.settings.HeartbeatInterval/8)) != nil {
				return
			}
			continue
		}
		since = revision
		watch.apply(events, askedAt)
	}
}

// jobWatch watches new and closed jobs.
type jobWatch struct {
	*term
}

func (w *jobWatch) run(ctx context.Context, revision uint64) {
	w.follow(ctx, prefixWatch{
		prefix: records.PrefixOpen,
		wait:   w.settings.HeartbeatInterval,
		relist: w.relist,
		apply:  w.apply,
	}, revision)
}

// apply applies the events of an answer that was requested at askedAt: jobs opened and closed. The
// answer was made after askedAt, so no event before askedAt is missed.
func (w *jobWatch) apply(events []records.Event, askedAt time.Time) {
	now := time.Now()
	w.lock()
	defer w.unlock()
	w.state.scheduler.BatchJobs(func() {
		for _, event := range events {
			w.applyEvent(event, now)
		}
	})
	if len(events) > 0 && w.leaseConfirmed() {
		w.state.scheduler.Replan(now)
	}
	w.state.cancelled.dropWatched(askedAt)
	w.contact.record(askedAt)
}

// applyEvent adds or closes one job. The caller must hold the lock of state.
func (w *jobWatch) applyEvent(event records.Event, now time.Time) {
	if event.Write != "" {
		w.addJob(w.state.scheduler, records.KeyValue{Key: event.Write, Value: event.Value, Revision: event.Revision}, now, now)
	} else if job, ok := strings.CutPrefix(event.Delete, records.PrefixOpen); ok {
		w.state.scheduler.CloseJob(job) // its closed record in the store holds the outcome
	}
}

// relist reads all open jobs from the store, adds them to the scheduler, closes the scheduler's
// other jobs, and returns the revision of the list.
func (w *jobWatch) relist(ctx context.Context) (revision uint64, err error) {
	open := map[string]records.KeyValue{}
	revision, err = w.store.List(ctx, records.PrefixOpen, func(record records.KeyValue) error {
		open[strings.TrimPrefix(record.Key, records.PrefixOpen)] = record
		return nil
	})
	if err != nil {
		return 0, err
	}
	now := time.Now()
	w.lock()
	defer w.unlock()
	isOpen := func(job string) bool {
		_, ok := open[job]
		return ok
	}
	w.state.scheduler.BatchJobs(func() {
		w.state.scheduler.CloseUnlistedJobs(isOpen, revision)
		for _, record := range open {
			w.addJob(w.state.scheduler, record, now, now)
		}
	})
	return revision, nil
}

// addJob adds the job of an open record to a scheduler, unless it is known as cancelled. Once the
// state of earlier terms is loaded, the caller must hold the lock of state.
func (t *term) addJob(sched *scheduler.Scheduler, record records.KeyValue, now, wall time.Time) {
	var job records.Job
	if err := jsoncodec.Unmarshal(record.Value, &job); err != nil || records.OpenKey(job.ID) != record.Key || job.Tasks <= 0 {
		slog.Error("unreadable record", "key", record.Key, "err", err)
		return
	}
	// Without this check, the store's answer from before a cancellation would reopen the job if it
	// arrives after a controller has reported the cancellation.
	if t.state.cancelled.contains(job.ID) {
		return
	}
	sched.AddJob(job, record.Revision, now, wall)
}
