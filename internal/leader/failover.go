package leader

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/httpclient"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// load reads what earlier terms left: open jobs, finished tasks, machines.
func (l *Leader) load(ctx context.Context) (uint64, error) {
	core := scheduler.New(l.set, l.term, time.Now())
	low := l.cfg.Deployment.State.Lowest()
	rec := scheduler.NewPersistence(core, low.ValueKB, low.TxnOps)
	whole := l.askWitnesses(ctx)
	now, wall := time.Now(), time.Now()
	if row, err := l.store.Get(ctx, records.KeyTypes); err != nil {
		return 0, err
	} else if row != nil {
		var t records.MachineTypes
		if json.Unmarshal(row.Value, &t) == nil {
			core.SetTypes(t.Types)
		}
	}
	epoch, err := l.store.List(ctx, records.PrefixOpen, func(r records.KeyValue) error {
		l.addJob(core, r.Key, r.Value, r.Revision, now, wall)
		return nil
	})
	if err != nil {
		return 0, err
	}
	values := []struct {
		prefix string
		take   func(records.KeyValue)
	}{
		{records.PrefixDone, rec.LoadDone},
		{records.PrefixMachines, func(r records.KeyValue) { rec.LoadMachine(r, now) }},
		{records.PrefixWatermarks, rec.LoadWatermark},
	}
	for _, v := range values {
		if v.prefix == records.PrefixWatermarks && !l.set.Watermarks {
			continue
		}
		if _, err := l.store.List(ctx, v.prefix, func(r records.KeyValue) error { v.take(r); return nil }); err != nil {
			return 0, err
		}
	}
	rec.FinishLoading(whole)
	if l.cfg.Options.Operators {
		if err := l.loadDrains(ctx, core); err != nil {
			return 0, err
		}
	}
	core.CheckReconciled(now)
	jobs, machines := core.Counts()
	slog.Info("took over", "term", l.term, "jobs", jobs, "machines", machines)
	l.mu.Lock()
	l.core, l.rec = core, rec
	l.mu.Unlock()
	return epoch, nil
}

func (l *Leader) addJob(core *scheduler.Scheduler, key string, value json.RawMessage, stamp uint64, now, wall time.Time) {
	var rec records.Job
	if err := json.Unmarshal(value, &rec); err != nil || records.OpenKey(rec.ID) != key || rec.Tasks <= 0 {
		slog.Error("unreadable record", "key", key, "err", err)
		return
	}
	// Guards against an answer of the store from before a cancellation that comes in after
	// the others' word for it.
	if l.ended.has(rec.ID) {
		return
	}
	core.AddJob(rec, stamp, now, wall)
}

// fence makes every machine that earlier terms may have used show our term:
// from then on it follows no older leader, and what it shows is all it runs.
func (l *Leader) fence(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		targets, settled := l.core.Unreconciled(), l.core.Reconciled()
		l.mu.Unlock()
		if settled {
			return
		}
		var wg sync.WaitGroup
		for _, t := range targets {
			wg.Add(1)
			l.workers.Go(func() {
				defer wg.Done()
				for range 2 {
					status, r, err := l.workers.SendCommands(t.Addr, fleet.CommandRequest{FencingToken: l.term, Incarnation: t.Incarnation, Commands: []fleet.Command{}})
					if err != nil {
						return
					}
					if r.FencingToken > l.term {
						return
					}
					l.body(r)
					if status == 200 {
						return
					}
					t.Incarnation = r.Incarnation
				}
			})
		}
		wg.Wait()
		if httpclient.Sleep(ctx, l.set.HeartbeatInterval/2) != nil {
			return
		}
	}
}
