package leader

import (
	"context"
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/watermark"
)

// earlierWatermarksComplete reports whether the watermarks of earlier leaders are known to be
// complete: from the observers or, if none of them attests that, from the stored attestation. It
// must be called after the term was won: once queried, an observer rejects a relaxation by an
// earlier leader. The result is false if watermarks are disabled.
func (a *attestor) earlierWatermarksComplete(ctx context.Context) bool {
	if !a.settings.Watermarks {
		return false
	}
	answered, attestations := a.queryObservers(ctx)
	if latest, ok := watermark.LatestComplete(attestations); ok {
		changes, err := a.leaderChanges(ctx, latest.Revision)
		complete := err == nil && watermark.Trusted(latest, changes, a.number)
		slog.Info("watermarks checked", "term", a.number, "source", "peers", "attested", latest.Term, "complete", complete, "err", err)
		return complete
	}
	record, err := a.store.Get(ctx, records.KeyWatermarksComplete)
	if err != nil || record == nil {
		slog.Info("watermarks checked", "term", a.number, "source", "none", "complete", false, "peers", answered, "err", err)
		return false
	}
	return a.storedAttestationHolds(ctx, record)
}

// queryObservers returns the attestations of earlier leaders that this controller and the peers
// have observed, and the number of peers that have answered. It sets lastReconciled.
func (a *attestor) queryObservers(ctx context.Context) (answered int, attestations []watermark.Attestation) {
	request := watermark.Attestation{Term: a.number}
	attestations = []watermark.Attestation{a.observer.Observe(request)}
	lastReconciled := a.observer.LatestReconciled()
	answers, _ := a.peers.QueryStatus(ctx, peer.StatusRequest{Attestation: request})
	for _, answer := range answers {
		if answer.Attestation != nil {
			attestations = append(attestations, *answer.Attestation)
		}
		if answer.LatestReconciled != nil && answer.LatestReconciled.NewerThan(lastReconciled) {
			lastReconciled = *answer.LatestReconciled
		}
	}
	a.lastReconciled = lastReconciled
	return len(answers), attestations
}

// storedAttestationHolds reports whether the stored attestation of complete watermarks still holds
// and no other term has begun since. It is used when all controllers have ended at once, so that
// none of them has observed an attestation. A failed read counts as false.
func (a *attestor) storedAttestationHolds(ctx context.Context, record *records.KeyValue) bool {
	var stored watermark.StoredAttestation
	_ = jsoncodec.Unmarshal(record.Value, &stored) // an unreadable record has term 0, which never holds
	_, _, startedAt := a.store.Health()
	maxClockError := time.Duration(a.cfg.Deployment.MaxClockErrorMS * float64(time.Millisecond))
	holdoff := a.relaxationHoldoff() - config.MaxDrift(a.relaxationHoldoff())
	complete := stored.StillHolds(a.cfg.Node, startedAt, holdoff, maxClockError)
	if complete {
		changes, err := a.leaderChanges(ctx, record.Revision)
		complete = err == nil && len(changes) == 1 && changes[0].Term == a.number
	}
	slog.Info("watermarks checked", "term", a.number, "source", "store", "attested", stored.Term, "node", stored.Node, "complete", complete)
	return complete
}

// leaderChanges returns the acquisitions of the leader key after the revision since.
func (t *term) leaderChanges(ctx context.Context, since uint64) ([]watermark.LeaderChange, error) {
	events, _, err := t.store.Watch(ctx, records.KeyLeader, since, 0)
	if err != nil {
		return nil, err
	}
	var changes []watermark.LeaderChange
	for _, event := range events {
		if event.Write == records.KeyLeader {
			changes = append(changes, decodeLeaderChange(event))
		}
	}
	return changes, nil
}

// decodeLeaderChange decodes a write of the leader key. An unreadable value counts as a leader
// without watermarks and without a node name.
func decodeLeaderChange(event records.Event) watermark.LeaderChange {
	var holder records.Leader
	_ = jsoncodec.Unmarshal(event.Value, &holder)
	return watermark.LeaderChange{Term: event.Revision, KeepsWatermarks: holder.Watermarks, Node: holder.Node}
}
