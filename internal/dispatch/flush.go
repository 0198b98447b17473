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
)

// write is one change for the store, with what it means once it is in.
type write struct {
	ops   []ledger.Op
	when  []ledger.Cond
	apply func()
	key   string // of the condition that is its own
	lost  func() // that condition did not hold
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
		if len(ws) > 0 && (ops+o > l.cfg.Facts.State.TxnOps || bytes+b > mostBytes) {
			return false
		}
		ops, bytes = ops+o, bytes+b
		return true
	}
	const perOp = 300 // what a change takes beside a shelf's entries
	for _, j := range c.jobs {
		if !c.complete(j) {
			continue
		}
		if !fits(2, 2*perOp) {
			return ws
		}
		j.finishing = true
		ws = append(ws, write{
			ops: []ledger.Op{
				{Delete: ledger.OpenKey(j.ID)},
				{Write: ledger.OverKey(j.ID), Value: ledger.Over{Status: ledger.StatusDone, Tasks: j.Tasks}},
			},
			when: []ledger.Cond{{Key: ledger.OpenKey(j.ID), Stamp: j.Stamp}}, key: ledger.OpenKey(j.ID),
			apply: func() { c.CloseJob(j.ID, ledger.StatusDone) },
			// Its record is no longer as we know it: its user cancelled it, or
			// this very write went through before. The watch tells.
			lost: func() { c.CloseJob(j.ID, ledger.StatusCancelled) },
		})
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
	for host := range l.hosts.IDs() {
		if c.fleet.Machines[host] == nil {
			l.hosts.Remove(host)
		}
	}
	for _, b := range l.hosts.Changed() {
		if !fits(1, int(l.cfg.Facts.State.ValueKB*1024)) {
			return ws
		}
		op, _, ids := l.hosts.Take(b)
		ws = append(ws, write{ops: []ledger.Op{op}, apply: func() {
			for _, id := range ids {
				if m := c.fleet.Machines[id]; m != nil {
					m.Recorded, m.Recording = true, false
				}
			}
			close(l.logged)
			l.logged = make(chan struct{})
		}})
	}
	for _, id := range c.closed {
		for chunk := range id.chunks {
			l.chunks.Remove(ledger.ChunkID(id.job, chunk))
		}
	}
	c.closed = c.closed[:0]
	if now.Sub(l.flushed) < l.set.Report {
		return ws
	}
	for _, j := range c.jobs {
		for chunk := range j.dirty {
			n := min(c.set.ChunkTasks, j.Tasks-chunk*c.set.ChunkTasks)
			raw, err := json.Marshal(ledger.Ranges(func(i int) bool { return has(j.done, chunk*c.set.ChunkTasks+i) }, n))
			if err == nil {
				l.chunks.Put(ledger.ChunkID(j.ID, chunk), raw, ledger.ChunkBytes(n))
			}
			delete(j.dirty, chunk)
		}
	}
	for _, b := range l.chunks.Changed() {
		if !fits(1, int(l.cfg.Facts.State.ValueKB*1024)) {
			return ws
		}
		op, _, ids := l.chunks.Take(b)
		ws = append(ws, write{ops: []ledger.Op{op}, apply: c.stored(ids)})
	}
	l.flushed = now
	return ws
}

// stored returns what marks the finished tasks of some chunks, as they are now, as
// stored.
func (c *Core) stored(ids []string) func() {
	type was struct {
		j    *Job
		base int
		done []uint64
	}
	var all []was
	for _, id := range ids {
		job, chunk, _ := ledger.ParseChunkID(id)
		if j := c.jobs[job]; j != nil && !j.dirty[chunk] {
			all = append(all, was{j, chunk * c.set.ChunkTasks, slices.Clone(j.done)})
		}
	}
	return func() {
		for _, w := range all {
			for i := w.base; i < min(w.base+c.set.ChunkTasks, w.j.Tasks); i++ {
				if has(w.done, i) {
					w.j.stored[i/64] |= 1 << (i % 64)
				}
			}
		}
	}
}

func (c *Core) chunks(j *Job) int { return (j.Tasks + c.set.ChunkTasks - 1) / c.set.ChunkTasks }

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
		_, err := l.store.Commit(ctx, when, all)
		var conflict *ledger.ConflictError
		switch {
		case err == nil:
			l.mu.Lock()
			for _, w := range ws {
				w.apply()
			}
			l.mu.Unlock()
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
		default:
			slog.Debug("store: commit failed", "err", err)
		}
		if ledger.Sleep(ctx, pause/2+rand.N(pause)) != nil {
			return false
		}
		pause = min(2*pause, l.set.Report)
	}
}
