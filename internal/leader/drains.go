package leader

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// loadDrains reads what operators asked for, and how far earlier terms came with it.
func (l *Leader) loadDrains(ctx context.Context, core *scheduler.Scheduler) error {
	states, stamps := map[string]*drain.State{}, map[string]uint64{}
	if _, err := l.store.List(ctx, records.PrefixDrainState, func(r records.KeyValue) error {
		var s drain.State
		if err := json.Unmarshal(r.Value, &s); err != nil {
			slog.Error("unreadable record", "key", r.Key, "err", err)
			return nil
		}
		id := strings.TrimPrefix(r.Key, records.PrefixDrainState)
		states[id], stamps[id] = &s, r.Revision
		return nil
	}); err != nil {
		return err
	}
	_, err := l.store.List(ctx, records.PrefixDrains, func(r records.KeyValue) error {
		if spec, ok := scheduler.ReadDrain(r.Key, r.Value); ok {
			core.SetDrain(spec, states[spec.ID], stamps[spec.ID])
		}
		return nil
	})
	return err
}

// watchDrains follows what operators ask for.
func (l *Leader) watchDrains(ctx context.Context, since uint64) {
	l.follow(ctx, records.PrefixDrains, since, 2*l.set.HeartbeatInterval, l.rereadDrains, func(events []records.Event, _ time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, e := range events {
			if e.Write == "" {
				l.core.RemoveDrain(strings.TrimPrefix(e.Delete, records.PrefixDrains))
			} else if spec, ok := scheduler.ReadDrain(e.Write, e.Value); ok {
				l.core.SetDrain(spec, nil, 0)
			}
		}
	})
}

// rereadDrains replaces a watch whose revision is too old.
func (l *Leader) rereadDrains(ctx context.Context) (uint64, error) {
	found := map[string]drain.Spec{}
	epoch, err := l.store.List(ctx, records.PrefixDrains, func(r records.KeyValue) error {
		if spec, ok := scheduler.ReadDrain(r.Key, r.Value); ok {
			found[spec.ID] = spec
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.ReplaceDrains(found)
	return epoch, nil
}

// PreviewDrain tells what a drain would do: of machines behind since with up to limit tasks,
// and in all.
func (l *Leader) PreviewDrain(spec *drain.Spec, force bool, since string, limit int) (*drain.Plan, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.PreviewDrainPage(spec, force, since, limit, time.Now())
}

// Drain tells how a drain stands, as its leader knows it.
func (l *Leader) Drain(id string) (scheduler.DrainView, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.DrainView(id)
}
