package lead

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"drumpick/internal/dispatch"
	"drumpick/internal/ledger"
	"drumpick/internal/link"
)

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
			ws := l.rec.Writes(time.Now(), l.oath)
			l.mu.Unlock()
			if len(ws) == 0 {
				break
			}
			ops := 0
			for _, w := range ws {
				ops += len(w.Ops)
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
func (l *Leader) commit(ctx context.Context, ws []dispatch.Write, ops int) bool {
	pause := l.set.Report / 20
	for {
		if l.store.WaitBatch(ctx, ops) != nil {
			return false
		}
		when := l.mine()
		var all []ledger.Op
		seen := map[string]bool{}
		for _, w := range ws {
			all = append(all, w.Ops...)
			for _, c := range w.When {
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
				w.Apply(stamp)
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
			var rest []dispatch.Write
			l.mu.Lock()
			for _, w := range ws {
				if w.Key != "" && slices.Contains(conflict.Failed, w.Key) {
					w.Lost()
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
func (l *Leader) split(ctx context.Context, ws []dispatch.Write, err error) bool {
	slog.Warn("store: refused as too large, writing less at a time", "writes", len(ws), "term", l.term, "err", err)
	if len(ws) == 1 {
		l.mu.Lock()
		defer l.mu.Unlock()
		if ws[0].Refused == nil {
			slog.Error("store: a write that it will never take, given up", "write", ws[0].Ops[0].Write, "term", l.term)
			return true
		}
		ws[0].Refused()
		return true
	}
	l.rec.Less()
	for _, w := range ws {
		if !l.commit(ctx, []dispatch.Write{w}, len(w.Ops)) {
			return false
		}
	}
	return true
}
