package leader

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// persister stores the records of the term in commits of up to the store's maximum size, one after
// the other.
type persister struct {
	*term
	attestor *attestor
}

func (p *persister) run(ctx context.Context) {
	for p.awaitRound(ctx) {
		if p.leaseConfirmed() && !p.persistAll(ctx) {
			return
		}
	}
}

// awaitRound waits until writes are due, for a quarter of a heartbeat interval at most. It returns
// false when ctx has ended.
func (p *persister) awaitRound(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(p.settings.HeartbeatInterval / 4)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-p.writesDue:
	}
	return true
}

// persistAll commits batches of writes until none is due. It returns false when the term or ctx has
// ended.
func (p *persister) persistAll(ctx context.Context) bool {
	for {
		var writes []scheduler.PendingWrite
		p.withState(func() { writes = p.state.persistence.NextWrites(time.Now(), p.attestor.takeDueRecord) })
		if len(writes) == 0 {
			return true
		}
		if !p.commit(ctx, writes) {
			return false
		}
	}
}

// commit stores a batch of writes and retries until it is stored or cannot be stored any more. It
// returns false when the term or ctx has ended. Writes are idempotent, and a repeated write fails
// on its compare once it, or a newer write of its key, was applied. So neither a lost answer nor a
// write applied late does any harm.
func (p *persister) commit(ctx context.Context, writes []scheduler.PendingWrite) bool {
	opCount := countOps(writes)
	pause := p.settings.HeartbeatInterval / 20
	for {
		if p.store.WaitForWrites(ctx, opCount) != nil {
			return false
		}
		compares, ops := p.buildTransaction(writes)
		revision, err := p.store.Commit(ctx, compares, ops)
		var conflict *records.ConflictError
		switch {
		case err == nil:
			p.markStored(writes, revision)
			return true
		case errors.As(err, &conflict):
			remaining, ok := p.resolveConflict(ctx, writes, conflict)
			if !ok || len(remaining) == 0 {
				return ok
			}
			writes = remaining
		case errors.Is(err, records.ErrInvalid):
			return p.commitSeparately(ctx, writes, err)
		default:
			slog.Debug("commit failed", "term", p.number, "err", err)
			if !errors.Is(err, records.ErrUnavailable) && !errors.Is(err, records.ErrThrottled) {
				p.markUnanswered(writes)
			}
		}
		if ctxtime.Sleep(ctx, pause/2+rand.N(pause)) != nil {
			return false
		}
		pause = min(2*pause, p.settings.HeartbeatInterval)
	}
}

func countOps(writes []scheduler.PendingWrite) int {
	count := 0
	for _, write := range writes {
		count += len(write.Ops)
	}
	return count
}

// buildTransaction merges writes into one transaction, with the compares that all of them require.
func (p *persister) buildTransaction(writes []scheduler.PendingWrite) (compares []records.Compare, ops []records.Op) {
	compares = p.leaderKeyCompare()
	compared := map[string]bool{}
	for _, write := range writes {
		ops = append(ops, write.Ops...)
		needed := write.Compares
		if write.GuardRevision != nil {
			needed = []records.Compare{{Key: write.GuardKey, Revision: *write.GuardRevision}}
		}
		for _, compare := range needed {
			if !compared[compare.Key] {
				compared[compare.Key] = true
				compares = append(compares, compare)
			}
		}
	}
	return compares, ops
}

// markStored records that writes were stored at a revision, and wakes the heartbeats that wait for
// a commit.
func (p *persister) markStored(writes []scheduler.PendingWrite, revision uint64) {
	p.withState(func() {
		for _, write := range writes {
			if write.GuardRevision != nil {
				*write.GuardRevision = revision
				if write.Ops[0].Delete != "" {
					*write.GuardRevision = 0
				}
			}
			write.OnStored(revision)
		}
		close(p.state.committed)
		p.state.committed = make(chan struct{})
	})
	p.attestor.recordRevision(revision)
}

// markUnanswered calls OnUnanswered of each write whose key was absent: the write got no answer and
// may still be applied.
func (p *persister) markUnanswered(writes []scheduler.PendingWrite) {
	p.lock()
	defer p.unlock()
	for _, write := range writes {
		if write.GuardRevision != nil && *write.GuardRevision == 0 && write.OnUnanswered != nil {
			write.OnUnanswered()
		}
	}
}

// commitSeparately stores writes one by one after the store has rejected them as one commit, and
// marks a single write as too large. It returns false when the term or ctx has ended. Without it,
// a limit of the store that is lowered without notice would block the leader permanently: the
// store would reject the oversized commit on every retry.
func (p *persister) commitSeparately(ctx context.Context, writes []scheduler.PendingWrite, cause error) bool {
	slog.Warn("commit rejected as too large", "writes", len(writes), "term", p.number, "err", cause)
	if len(writes) == 1 {
		p.markTooLarge(writes[0])
		return true
	}
	p.state.persistence.HalveCommitSize()
	for _, write := range writes {
		if !p.commit(ctx, []scheduler.PendingWrite{write}) {
			return false
		}
	}
	return true
}

// markTooLarge records that the store will never accept a write in its present form. A write
// without OnTooLarge is abandoned.
func (p *persister) markTooLarge(write scheduler.PendingWrite) {
	p.lock()
	defer p.unlock()
	if write.OnTooLarge == nil {
		slog.Error("write abandoned as too large", "key", write.Ops[0].Write, "term", p.number)
		return
	}
	write.OnTooLarge()
}
