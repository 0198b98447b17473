package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"drumpick/internal/ledger"
	"drumpick/internal/link"
)

// write is one change for the store, with what it means once it is in.
type write struct {
	ops   []ledger.Op
	when  []ledger.Cond
	apply func(stamp uint64) // at the revision at which it was stored
	key   string             // of the condition that is its own
	lost  func()             // that condition did not hold
	// refused is called when the store will never take it, as it is too large.
	refused func()
}

// unstored says whether a job is complete but not yet stored as done.
func (c *Core) unstored() bool {
	for _, j := range c.jobs {
		if c.complete(j) {
			return true
		}
	}
	return false
}

func (c *Core) complete(j *Job) bool {
	return j.nDone == j.Tasks && !j.finishing && j.Shape != ledger.ShapeService
}

// writes gathers what is to be stored next, no more than goes into one commit:
// jobs that are complete first, then machines about to be used, then finished
// tasks and machines that are gone. What does not fit waits for the next commit,
// and what became more urgent meanwhile goes before it.
func (l *Leader) writes(now time.Time) []write {
	c := l.core
	var ws []write
	ops, bytes := 0, 0
	fits := func(o, b int) bool {
		if len(ws) > 0 && (ops+o > l.mostOps || bytes+b > mostBytes) {
			return false
		}
		ops, bytes = ops+o, bytes+b
		return true
	}
	const perOp = 300 // what a change takes beside a shelf's entries
	// Jobs behind a cancelled one go first: their users wait for it, and it is little.
	for _, id := range c.chain.Doomed() {
		j := c.jobs[id]
		if j == nil || j.finishing {
			continue
		}
		if !fits(2, 2*perOp) {
			return ws
		}
		slog.Info("job cancelled with one before it", "job", id, "term", l.term)
		ws = append(ws, c.finish(j, ledger.Over{Status: ledger.StatusCancelled}))
	}
	for _, j := range c.jobs {
		if !c.complete(j) {
			continue
		}
		if !fits(2, 2*perOp) {
			return ws
		}
		ws = append(ws, c.finish(j, ledger.Over{Status: ledger.StatusDone, AtMS: now.UnixMilli()}))
	}
	if !l.takeOath(&ws, fits, now) || !l.takeMarks(&ws, fits) {
		return ws
	}
	for _, m := range c.fleet.Sorted() {
		if !m.Up || m.Recorded || m.Recording || m.Returning || m.Lost {
			continue
		}
		m.Recording = true
		h := ledger.Host{Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Stint: m.Stint}
		raw, err := json.Marshal(h)
		if err != nil {
			slog.Error("unwritable record", "machine", m.Host, "err", err)
			continue
		}
		l.hosts.Put(m.Host, raw, len(raw))
	}
	for _, host := range c.dropped {
		if c.fleet.Machines[host] == nil {
			l.hosts.Remove(host)
		}
	}
	c.dropped = c.dropped[:0]
	if !l.takeHosts(&ws, fits) {
		return ws
	}
	l.done.close(c.closed)
	l.over = append(l.over, c.closed...)
	c.closed = c.closed[:0]
	if now.Sub(l.flushed) >= l.set.Report {
		l.done.gather(c)
		l.dropMarks()
		l.flushed = now
	}
	if !l.takeShelf(l.done.shelf, &ws, fits, func(ids []string, _ map[string]json.RawMessage) (func(uint64), func([]string)) {
		return l.done.stored(c, ids), func(ids []string) { l.done.again(c, ids) }
	}) {
		return ws
	}
	if !l.takeDrains(&ws, fits, now) || len(ws) > 0 {
		return ws
	}
	// Nothing else is to be stored: empty a value that is too large for the limits to
	// come, first into others that are not. Either version reads a machine in both.
	for host, raw := range l.hosts.Frozen() {
		if !l.hosts.Has(host) {
			l.hosts.Put(host, raw, len(raw))
		}
	}
	l.takeHosts(&ws, fits)
	return ws
}

// takeHosts gathers the machine records that have changed, and says whether all fit.
func (l *Leader) takeHosts(ws *[]write, fits func(ops, bytes int) bool) bool {
	return l.takeShelf(l.hosts, ws, fits, func(ids []string, entries map[string]json.RawMessage) (func(uint64), func([]string)) {
		stored := func(uint64) {
			for _, id := range ids {
				l.hosts.Thaw(id)
				if m := l.core.fleet.Machines[id]; m != nil {
					m.Recorded, m.Recording = true, false
				}
			}
		}
		return stored, func(ids []string) {
			for _, id := range ids {
				if l.core.fleet.Machines[id] != nil {
					l.hosts.Put(id, entries[id], len(entries[id]))
				}
			}
		}
	})
}

// takeShelf gathers the values of a shelf that have changed, and says whether all fit.
// taken is told the records of each, and returns what is to be done once they are stored,
// and with those that need another place when the value was refused as too large.
func (l *Leader) takeShelf(s *ledger.Shelf, ws *[]write, fits func(ops, bytes int) bool,
	taken func(ids []string, entries map[string]json.RawMessage) (stored func(uint64), refused func(ids []string))) bool {
	for _, b := range s.Changed() {
		if !fits(1, l.valueBytes()) {
			return false
		}
		op, _, ids := s.Take(b)
		entries, _ := op.Value.(map[string]json.RawMessage)
		stored, refused := taken(ids, entries)
		*ws = append(*ws, write{ops: []ledger.Op{op}, apply: stored, refused: func() { refused(s.Refused(b)) }})
	}
	return true
}

// valueBytes is what a value takes at the most.
func (l *Leader) valueBytes() int { return int(l.cfg.Facts.State.Lowest().ValueKB * 1024) }

// mostBytes keeps a commit well below the service's 64 KiB.
const mostBytes = 40 << 10

// flush stores what is due, in commits as large as the service takes.
func (l *Leader) flush(ctx context.Context) {
	every := l.set.Report / 4
	for ctx.Err() == nil {
		t := time.NewTimer(every)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-l.wake:
			t.Stop()
		}
		if !l.granted() {
			continue
		}
		for {
			l.mu.Lock()
			ws := l.writes(time.Now())
			l.mu.Unlock()
			if len(ws) == 0 {
				break
			}
			ops := 0
			for _, w := range ws {
				ops += len(w.ops)
			}
			if !l.commit(ctx, ws, ops) {
				return
			}
		}
	}
}

// commit stores a batch, again and again until it is in or cannot be any more.
// It returns false when the term is over. Every write is the same when
// repeated, so an answer that was lost does no harm.
func (l *Leader) commit(ctx context.Context, ws []write, ops int) bool {
	pause := l.set.Report / 20
	for {
		if l.store.WaitBatch(ctx, ops) != nil {
			return false
		}
		when := l.mine()
		var all []ledger.Op
		seen := map[string]bool{}
		for _, w := range ws {
			all = append(all, w.ops...)
			for _, c := range w.when {
				if !seen[c.Key] {
					seen[c.Key] = true
					when = append(when, c)
				}
			}
		}
		stamp, err := l.store.Commit(ctx, when, all)
		var conflict *ledger.ConflictError
		switch {
		case err == nil:
			l.mu.Lock()
			for _, w := range ws {
				w.apply(stamp)
			}
			close(l.logged)
			l.logged = make(chan struct{})
			l.mu.Unlock()
			l.led(stamp)
			return true
		case errors.As(err, &conflict):
			if slices.Contains(conflict.Failed, ledger.KeyLeader) {
				slog.Info("deposed", "term", l.term)
				l.tenure.Resign()
				return false
			}
			var rest []write
			l.mu.Lock()
			for _, w := range ws {
				if w.key != "" && slices.Contains(conflict.Failed, w.key) {
					w.lost()
					continue
				}
				rest = append(rest, w)
			}
			l.mu.Unlock()
			if len(rest) == len(ws) {
				slog.Error("store: conflict over nothing of ours", "failed", strings.Join(conflict.Failed, " "))
			}
			if ws = rest; len(ws) == 0 {
				return true
			}
		case errors.Is(err, ledger.ErrInvalid):
			return l.split(ctx, ws, err)
		default:
			slog.Debug("store: commit failed", "err", err)
		}
		if link.Sleep(ctx, pause/2+rand.N(pause)) != nil {
			return false
		}
		pause = min(2*pause, l.set.Report)
	}
}

// split stores one by one what the store refused as one commit. Guards against a
// limit that falls without notice: a commit that is too large is refused however
// often it is repeated, and a leader that repeats it does nothing else any more.
func (l *Leader) split(ctx context.Context, ws []write, err error) bool {
	slog.Warn("store: refused as too large, writing less at a time", "writes", len(ws), "term", l.term, "err", err)
	if len(ws) == 1 {
		l.mu.Lock()
		defer l.mu.Unlock()
		if ws[0].refused == nil {
			slog.Error("store: a write that it will never take, given up", "write", ws[0].ops[0].Write, "term", l.term)
			return true
		}
		ws[0].refused()
		return true
	}
	l.mostOps = max(l.mostOps/2, 2)
	for _, w := range ws {
		if !l.commit(ctx, []write{w}, len(w.ops)) {
			return false
		}
	}
	return true
}
