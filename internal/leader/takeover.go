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
	core := scheduler.NewCore(l.set, l.term, time.Now())
	low := l.cfg.Facts.State.Lowest()
	rec := scheduler.NewRecords(core, low.ValueKB, low.TxnOps)
	whole := l.askWitnesses(ctx)
	now, wall := time.Now(), time.Now()
	if row, err := l.store.Get(ctx, records.KeyTypes); err != nil {
		return 0, err
	} else if row != nil {
		var t records.Types
		if json.Unmarshal(row.Value, &t) == nil {
			core.SetTypes(t.Types)
		}
	}
	epoch, err := l.store.List(ctx, records.PrefixOpen, func(r records.Row) error {
		l.addJob(core, r.Key, r.Value, r.Stamp, now, wall)
		return nil
	})
	if err != nil {
		return 0, err
	}
	values := []struct {
		prefix string
		take   func(records.Row)
	}{
		{records.PrefixDone, rec.LoadDone},
		{records.PrefixHosts, func(r records.Row) { rec.LoadHost(r, now) }},
		{records.PrefixSent, rec.LoadMark},
	}
	for _, v := range values {
		if v.prefix == records.PrefixSent && !l.set.Marks {
			continue
		}
		if _, err := l.store.List(ctx, v.prefix, func(r records.Row) error { v.take(r); return nil }); err != nil {
			return 0, err
		}
	}
	rec.Loaded(whole)
	if l.cfg.Options.Operators {
		if err := l.loadDrains(ctx, core); err != nil {
			return 0, err
		}
	}
	core.CheckSettled(now)
	jobs, machines := core.Sizes()
	slog.Info("took over", "term", l.term, "jobs", jobs, "machines", machines)
	l.mu.Lock()
	l.core, l.rec = core, rec
	l.mu.Unlock()
	return epoch, nil
}

func (l *Leader) addJob(core *scheduler.Core, key string, value json.RawMessage, stamp uint64, now, wall time.Time) {
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
		targets, settled := l.core.Unheard(), l.core.Settled()
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
					status, r, err := l.workers.Orders(t.Addr, fleet.Direct{Baton: l.term, Session: t.Session, Orders: []fleet.Order{}})
					if err != nil {
						return
					}
					if r.Baton > l.term {
						return
					}
					l.body(r)
					if status == 200 {
						return
					}
					t.Session = r.Session
				}
			})
		}
		wg.Wait()
		if httpclient.Sleep(ctx, l.set.Report/2) != nil {
			return
		}
	}
}
