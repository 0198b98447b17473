package leader

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"

	"drumpick/internal/httpclient"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// flush stores what is due, in commits as large as the service takes.
func (l *Leader) flush(ctx context.Context) {
	every := l.set.HeartbeatInterval / 4
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
			ws := l.rec.NextWrites(time.Now(), l.wholeRecord)
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
// repeated, and fails once it, or a newer one of its key, was carried out; so
// neither an answer that was lost nor a write that is late does any harm.
func (l *Leader) commit(ctx context.Context, ws []scheduler.PendingWrite, ops int) bool {
	pause := l.set.HeartbeatInterval / 20
	for {
		if l.store.WaitForWrites(ctx, ops) != nil {
			return false
		}
		when, all := l.transaction(ws)
		stamp, err := l.store.Commit(ctx, when, all)
		var conflict *records.ConflictError
		switch {
		case err == nil:
			l.stored(ws, stamp)
			return true
		case errors.As(err, &conflict):
			rest, ok := l.resolveConflict(ctx, ws, conflict)
			if !ok || len(rest) == 0 {
				return ok
			}
			ws = rest
		case errors.Is(err, records.ErrInvalid):
			return l.split(ctx, ws, err)
		default:
			slog.Debug("store: commit failed", "err", err)
			if !errors.Is(err, records.ErrUnavailable) && !errors.Is(err, records.ErrThrottled) {
				l.unanswered(ws)
			}
		}
		if httpclient.Sleep(ctx, pause/2+rand.N(pause)) != nil {
			return false
		}
		pause = min(2*pause, l.set.HeartbeatInterval)
	}
}

// transaction puts writes together, with the conditions under which all of them stand.
func (l *Leader) transaction(ws []scheduler.PendingWrite) (when []records.Compare, ops []records.Op) {
	when = l.mine()
	seen := map[string]bool{}
	for _, w := range ws {
		ops = append(ops, w.Ops...)
		conds := w.Compares
		if w.OwnRevision != nil {
			conds = []records.Compare{{Key: w.OwnKey, Revision: *w.OwnRevision}}
		}
		for _, c := range conds {
			if !seen[c.Key] {
				seen[c.Key] = true
				when = append(when, c)
			}
		}
	}
	return when, ops
}

// stored takes in that writes are in the store, at a revision.
func (l *Leader) stored(ws []scheduler.PendingWrite, stamp uint64) {
	l.mu.Lock()
	for _, w := range ws {
		if w.OwnRevision != nil {
			if *w.OwnRevision = stamp; w.Ops[0].Delete != "" {
				*w.OwnRevision = 0
			}
		}
		w.OnStored(stamp)
	}
	close(l.logged)
	l.logged = make(chan struct{})
	l.mu.Unlock()
	l.led(stamp)
}

// resolveConflict finds out which writes of a transaction that failed are to be tried again; not ok: the term is
// over, or the store does not tell.
func (l *Leader) resolveConflict(ctx context.Context, ws []scheduler.PendingWrite, conflict *records.ConflictError) (rest []scheduler.PendingWrite, ok bool) {
	if slices.Contains(conflict.Failed, records.KeyLeader) {
		slog.Info("deposed", "term", l.term)
		l.tenure.Resign()
		return nil, false
	}
	ours := false
	for _, w := range ws {
		switch failed := w.OwnKey != "" && slices.Contains(conflict.Failed, w.OwnKey); {
		case failed && w.OwnRevision != nil:
			ours = true
			in, err := l.reconcile(ctx, w)
			if err != nil {
				return nil, false
			}
			if !in {
				rest = append(rest, w)
			}
		case failed:
			ours = true
			l.mu.Lock()
			w.OnConflict()
			l.mu.Unlock()
		default:
			rest = append(rest, w)
		}
	}
	if !ours {
		slog.Error("store: conflict over nothing of ours", "failed", strings.Join(conflict.Failed, " "))
	}
	return rest, true
}

// unanswered takes in that writes may yet be carried out.
func (l *Leader) unanswered(ws []scheduler.PendingWrite) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range ws {
		if w.OwnRevision != nil && *w.OwnRevision == 0 && w.OnUnanswered != nil {
			w.OnUnanswered()
		}
	}
}

// reconcile reads a key that only the leader writes and that is not at the revision where it
// was known to be: mostly the write itself was carried out, and its answer lost. in says so;
// otherwise it is repeated on what is there now.
func (l *Leader) reconcile(ctx context.Context, w scheduler.PendingWrite) (in bool, err error) {
	for {
		row, err := l.store.Get(ctx, w.OwnKey)
		if err == nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			if *w.OwnRevision = 0; row != nil {
				*w.OwnRevision = row.Revision
			}
			if in = stands(w.Ops[0], row); in {
				w.OnStored(*w.OwnRevision)
			} else {
				slog.Error("store: a value is neither what was there nor what was written", "key", w.OwnKey, "stamp", *w.OwnRevision, "term", l.term)
			}
			return in, nil
		}
		if err := httpclient.Sleep(ctx, l.set.HeartbeatInterval/16+rand.N(l.set.HeartbeatInterval/16)); err != nil {
			return false, err
		}
	}
}

// stands says whether a change is in the store, whose form of a value may be another.
func stands(op records.Op, row *records.KeyValue) bool {
	if op.Delete != "" || row == nil {
		return (op.Delete != "") == (row == nil)
	}
	raw, err := json.Marshal(op.Value)
	var ours, theirs any
	return err == nil && json.Unmarshal(raw, &ours) == nil && json.Unmarshal(row.Value, &theirs) == nil && reflect.DeepEqual(ours, theirs)
}

// split stores one by one what the store refused as one commit. Guards against a
// limit that falls without notice: a commit that is too large is refused however
// often it is repeated, and a leader that repeats it does nothing else any more.
func (l *Leader) split(ctx context.Context, ws []scheduler.PendingWrite, err error) bool {
	slog.Warn("store: refused as too large, writing less at a time", "writes", len(ws), "term", l.term, "err", err)
	if len(ws) == 1 {
		l.mu.Lock()
		defer l.mu.Unlock()
		if ws[0].OnTooLarge == nil {
			slog.Error("store: a write that it will never take, given up", "write", ws[0].Ops[0].Write, "term", l.term)
			return true
		}
		ws[0].OnTooLarge()
		return true
	}
	l.rec.HalveCommits()
	for _, w := range ws {
		if !l.commit(ctx, []scheduler.PendingWrite{w}, len(w.Ops)) {
			return false
		}
	}
	return true
}
