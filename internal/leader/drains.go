package leader

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// loadDrains loads into sched the drains requested by operators, with their progress in earlier
// terms.
func (l *Leader) loadDrains(ctx context.Context, sched *scheduler.Scheduler) error {
	states := map[string]*drain.State{}
	revisions := map[string]uint64{}
	_, err := l.store.List(ctx, records.PrefixDrainState, func(record records.KeyValue) error {
		var state drain.State
		if err := jsoncodec.Unmarshal(record.Value, &state); err != nil {
			slog.Error("unreadable record", "key", record.Key, "err", err)
			return nil
		}
		id := strings.TrimPrefix(record.Key, records.PrefixDrainState)
		states[id] = &state
		revisions[id] = record.Revision
		return nil
	})
	if err != nil {
		return fmt.Errorf("load %s: %w", records.PrefixDrainState, err)
	}
	return l.loadPrefix(ctx, records.PrefixDrains, func(record records.KeyValue) {
		if spec, ok := scheduler.ReadDrain(record.Key, record.Value); ok {
			sched.SetDrain(spec, states[spec.ID], revisions[spec.ID])
		}
	})
}

// drainWatch watches the drains requested by operators.
type drainWatch struct {
	*term
}

func (w *drainWatch) run(ctx context.Context, revision uint64) {
	w.follow(ctx, prefixWatch{
		prefix: records.PrefixDrains,
		wait:   2 * w.settings.HeartbeatInterval,
		relist: w.relist,
		apply:  w.apply,
	}, revision)
}

func (w *drainWatch) apply(events []records.Event, _ time.Time) {
	w.lock()
	defer w.unlock()
	for _, event := range events {
		if event.Write == "" {
			w.state.scheduler.RemoveDrain(strings.TrimPrefix(event.Delete, records.PrefixDrains))
		} else if spec, ok := scheduler.ReadDrain(event.Write, event.Value); ok {
			w.state.scheduler.SetDrain(spec, nil, 0)
		}
	}
}

// relist reads all drains from the store, replaces the scheduler's drains by them, and returns the
// revision of the list.
func (w *drainWatch) relist(ctx context.Context) (revision uint64, err error) {
	found := map[string]drain.Spec{}
	revision, err = w.store.List(ctx, records.PrefixDrains, func(record records.KeyValue) error {
		if spec, ok := scheduler.ReadDrain(record.Key, record.Value); ok {
			found[spec.ID] = spec
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	w.lock()
	defer w.unlock()
	w.state.scheduler.ReplaceDrains(found)
	return revision, nil
}

// PreviewDrain returns the expected effect of a drain that starts now, on all selected machines.
func (l *Leader) PreviewDrain(spec *drain.Spec, force bool) (*drain.Plan, error) {
	l.lock()
	defer l.unlock()
	return l.state.scheduler.PreviewDrain(spec, force, time.Now())
}

// Drain returns a drain with its state; ok is false if no drain has the id.
func (l *Leader) Drain(id string) (view scheduler.DrainView, ok bool) {
	l.lock()
	defer l.unlock()
	return l.state.scheduler.DrainView(id)
}
