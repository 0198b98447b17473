package leader

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"

	"drumpick/internal/ctxtime"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// resolveConflict handles a commit that failed on its compares, and returns the writes that have to
// be retried. A write whose own guard has failed is dropped if the store already holds it, or after
// its OnConflict was called. The term is resigned if the leader key has changed. ok is false if the
// term has ended, or ctx ended before the store answered.
func (p *persister) resolveConflict(
	ctx context.Context, writes []scheduler.PendingWrite, conflict *records.ConflictError,
) (remaining []scheduler.PendingWrite, ok bool) {
	if slices.Contains(conflict.Failed, records.KeyLeader) {
		slog.Info("term superseded", "term", p.number, "node", p.cfg.Node)
		p.election.Resign()
		return nil, false
	}
	matched := false
	for _, write := range writes {
		switch failed := write.GuardKey != "" && slices.Contains(conflict.Failed, write.GuardKey); {
		case failed && write.GuardRevision != nil:
			matched = true
			stored, err := p.refreshRevision(ctx, write)
			if err != nil {
				return nil, false
			}
			if !stored {
				remaining = append(remaining, write)
			}
		case failed:
			matched = true
			p.withState(write.OnConflict)
		default:
			remaining = append(remaining, write)
		}
	}
	if !matched {
		slog.Error("unexpected commit conflict", "keys", strings.Join(conflict.Failed, " "), "term", p.number)
	}
	return remaining, true
}

// refreshRevision reads the guard key of a write, which only the leader writes and which is not at
// its known revision. Usually the write was applied and its answer lost: then stored is true.
// Otherwise the write has to be retried at the current revision. A failed read is retried; err is
// set only if ctx ends.
func (p *persister) refreshRevision(ctx context.Context, write scheduler.PendingWrite) (stored bool, err error) {
	for {
		stored, err := p.store.Get(ctx, write.GuardKey)
		if err == nil {
			return p.applyStoredRecord(write, stored), nil
		}
		if err := ctxtime.Sleep(ctx, p.settings.HeartbeatInterval/16+rand.N(p.settings.HeartbeatInterval/16)); err != nil {
			return false, err
		}
	}
}

// applyStoredRecord sets the known revision of a write's guard key to that of record, the record
// under the key (nil: none). It reports whether record is what the write stores, and calls OnStored
// if so.
func (p *persister) applyStoredRecord(write scheduler.PendingWrite, record *records.KeyValue) (stored bool) {
	p.lock()
	defer p.unlock()
	*write.GuardRevision = 0
	if record != nil {
		*write.GuardRevision = record.Revision
	}
	stored = isStored(write.Ops[0], record)
	if stored {
		write.OnStored(*write.GuardRevision)
	} else {
		slog.Error("unexpected stored value", "key", write.GuardKey, "revision", *write.GuardRevision, "term", p.number)
	}
	return stored
}

// isStored reports whether an op has been applied, given the record under its key (nil: none). It
// compares decoded values because the store may encode them differently.
func isStored(op records.Op, record *records.KeyValue) bool {
	if op.Delete != "" || record == nil {
		return (op.Delete != "") == (record == nil)
	}
	raw, err := jsoncodec.Marshal(op.Value)
	if err != nil {
		return false
	}
	var written, found any
	if jsoncodec.Unmarshal(raw, &written) != nil || jsoncodec.Unmarshal(record.Value, &found) != nil {
		return false
	}
	return reflect.DeepEqual(written, found)
}
