package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/ledger"
	"drumpick/internal/link"
)

// load reads what earlier terms left: open jobs, finished tasks, machines.
func (l *Leader) load(ctx context.Context) (uint64, error) {
	core := NewCore(l.set, l.term, time.Now())
	shelf := func(prefix string) *ledger.Shelf {
		n := 0
		return ledger.NewShelf(prefix, l.cfg.Facts.State.Lowest().ValueKB, func() string {
			n++
			return fmt.Sprintf("%d-%d", l.term, n)
		})
	}
	hosts, done, sent := shelf(ledger.PrefixHosts), newProgress(l.set, shelf(ledger.PrefixDone)), shelf(ledger.PrefixSent)
	whole := l.askWitnesses(ctx)
	now, wall := time.Now(), time.Now()
	if row, err := l.store.Get(ctx, ledger.KeyTypes); err != nil {
		return 0, err
	} else if row != nil {
		var t ledger.Types
		if json.Unmarshal(row.Value, &t) == nil {
			core.SetTypes(t.Types)
		}
	}
	epoch, err := l.store.List(ctx, ledger.PrefixOpen, func(r ledger.Row) error {
		l.addJob(core, r.Key, r.Value, r.Stamp, now, wall)
		return nil
	})
	if err != nil {
		return 0, err
	}
	if err := l.loadShelf(ctx, ledger.PrefixDone, done.shelf, func(id string, v json.RawMessage) error {
		job, chunk, ok := ledger.ParseChunkID(id)
		var ranges string
		if !ok || json.Unmarshal(v, &ranges) != nil {
			return errors.New("unreadable")
		}
		if j := core.jobs[job]; j != nil {
			if err := done.load(core, id, j, chunk, ranges); err != nil {
				return err
			}
		}
		return core.LoadDone(job, chunk, ranges)
	}); err != nil {
		return 0, err
	}
	for id := range done.shelf.IDs() {
		if job, _, _ := ledger.ParseChunkID(id); core.jobs[job] == nil {
			done.shelf.Remove(id)
		}
	}
	if err := l.loadShelf(ctx, ledger.PrefixHosts, hosts, func(host string, v json.RawMessage) error {
		var h ledger.Host
		err := json.Unmarshal(v, &h)
		// Whatever is unreadable about it, the machine may hold tasks.
		core.LoadHost(host, h, now)
		return err
	}); err != nil {
		return 0, err
	}
	if err := l.loadMarks(ctx, core, sent, whole); err != nil {
		return 0, err
	}
	if l.cfg.Options.Operators {
		if err := l.loadDrains(ctx, core); err != nil {
			return 0, err
		}
	}
	core.checkSettled(now)
	slog.Info("took over", "term", l.term, "jobs", len(core.jobs), "machines", len(core.fleet.Sorted()))
	l.mu.Lock()
	l.core, l.hosts, l.done, l.sent = core, hosts, done, sent
	l.mu.Unlock()
	return epoch, nil
}

// loadShelf reads the values of a shelf.
func (l *Leader) loadShelf(ctx context.Context, prefix string, s *ledger.Shelf, each func(id string, v json.RawMessage) error) error {
	_, err := l.store.List(ctx, prefix, func(r ledger.Row) error {
		entries, err := ledger.Entries(prefix, r)
		if err != nil {
			slog.Error("unreadable record", "key", r.Key, "err", err)
			return nil
		}
		s.Load(r.Key, entries, len(r.Value))
		for id, v := range entries {
			if err := each(id, v); err != nil {
				slog.Error("unreadable record", "key", r.Key, "id", id, "err", err)
			}
		}
		return nil
	})
	return err
}

func (l *Leader) addJob(core *Core, key string, value json.RawMessage, stamp uint64, now, wall time.Time) {
	var rec ledger.Job
	if err := json.Unmarshal(value, &rec); err != nil || ledger.OpenKey(rec.ID) != key || rec.Tasks <= 0 {
		slog.Error("unreadable record", "key", key, "err", err)
		return
	}
	core.AddJob(rec, stamp, now, wall)
}

// fence makes every machine that earlier terms may have used show our term:
// from then on it follows no older leader, and what it shows is all it runs.
func (l *Leader) fence(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		var todo []*fleet.Machine
		for _, m := range l.core.fleet.Sorted() {
			if m.Inherited && !m.Settled && m.Addr != "" {
				todo = append(todo, m)
			}
		}
		type target struct {
			addr  string
			stint uint64
		}
		targets := make([]target, len(todo))
		for i, m := range todo {
			targets[i] = target{m.Addr, max(m.Stint, 1)}
		}
		settled := l.core.settled
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
					status, r, err := l.workers.Orders(t.addr, fleet.Direct{Baton: l.term, Stint: t.stint, Orders: []fleet.Order{}})
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
					t.stint = r.Stint
				}
			})
		}
		wg.Wait()
		if link.Sleep(ctx, l.set.Report/2) != nil {
			return
		}
	}
}
