package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/watermark"
)

// recordsPerHoldoff is how many times per relaxation holdoff the attestation that watermarks are
// complete is stored, along with other writes.
const recordsPerHoldoff = 3

// attestor attests to the peers whether the watermarks in the store are complete, or relaxed: in an
// outage of the store for all controllers, tasks are dispatched beyond watermarks that cannot be
// stored. Watermarks are relaxed only once every peer has observed it, so that no observer can
// attest otherwise to the next leader.
type attestor struct {
	*term
	observer *watermark.Observer // this controller's own

	// lastReconciled is the latest attestation of a reconciled term. The failover sets it before
	// the loops start.
	lastReconciled watermark.Attestation
	// announcedAt is when the peers were last sent an attestation. Only announce uses it.
	announcedAt time.Time

	mu           sync.Mutex // guards the fields below
	current      watermark.Attestation
	relaxedUntil time.Time // until then, all peers have observed that watermarks are relaxed
	recordedAt   time.Time // when a StoredAttestation was last written
}

func newAttestor(t *term, observer *watermark.Observer) *attestor {
	return &attestor{
		term:     t,
		observer: observer,
		current:  watermark.Attestation{Term: t.number, Revision: t.number, Node: t.cfg.Node},
	}
}

// relaxationHoldoff is how long after storing an attestation of complete watermarks a leader does
// not relax them. A new process of this node can rely on the attestation only if it starts within
// the holdoff. In an outage of the store, task starts are delayed by at most the holdoff.
func (a *attestor) relaxationHoldoff() time.Duration {
	return max(a.settings.HeartbeatInterval, a.settings.Lease/4)
}

// recordDue returns the attestation of complete watermarks if it is due to be stored, else nil.
func (a *attestor) recordDue(now time.Time) *watermark.StoredAttestation {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.current.Complete || now.Sub(a.recordedAt) < a.relaxationHoldoff()/recordsPerHoldoff {
		return nil
	}
	a.recordedAt = now // even if unanswered, as it may be stored late
	return &watermark.StoredAttestation{Term: a.number, Node: a.cfg.Node, AtMS: now.UnixMilli()}
}

// recordRevision records a revision at which the term held the leader key.
func (a *attestor) recordRevision(revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current.Revision = max(a.current.Revision, revision)
}

// announce sends the attestation to the peers when it has changed, and once per heartbeat interval,
// as a peer may have restarted. After an outage watermarks are complete again once all of them are
// stored.
func (a *attestor) announce(ctx context.Context) {
	if !a.settings.Watermarks {
		return
	}
	// The order matters: if relaxed is false, the state read next includes all tasks dispatched
	// while the watermarks were relaxed.
	stored := !a.relaxed(time.Now())
	a.state.mu.Lock()
	stored = stored && a.state.scheduler.WatermarksStored()
	reconciled := a.state.scheduler.Reconciled()
	a.state.mu.Unlock()
	attestation, changed := a.update(stored, reconciled)
	if attestation.Seq > 0 && (changed || time.Since(a.announcedAt) >= a.settings.HeartbeatInterval) {
		a.announcedAt = time.Now()
		a.observer.Observe(attestation)
		a.peers.QueryStatus(ctx, peer.StatusRequest{Attestation: attestation})
	}
}

// update records whether all watermarks are stored and all machines are reconciled.
func (a *attestor) update(stored, reconciled bool) (attestation watermark.Attestation, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	becameComplete := stored && !a.current.Complete
	changed = becameComplete || reconciled && !a.current.Reconciled
	if becameComplete {
		a.current.Complete = true
		a.current.Seq++
	}
	a.current.Reconciled = reconciled
	return a.current, changed
}

// requestRelaxation returns the attestation that the leader sends to its peers before it dispatches
// tasks beyond watermarks, as it cannot store these.
func (a *attestor) requestRelaxation() watermark.Attestation {
	if !a.settings.Watermarks {
		return watermark.Attestation{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current.Complete || a.current.Seq == 0 {
		a.current.Complete = false
		a.current.Seq++
	}
	a.observer.Observe(a.current)
	return a.current
}

// applyAcknowledgements records the peers' answers to such an attestation. Watermarks are relaxed
// only if all peers have observed it.
func (a *attestor) applyAcknowledgements(attestation watermark.Attestation, answers []peer.Status, all bool, askedAt time.Time) {
	elapsed := time.Since(askedAt)
	for _, answer := range answers {
		// The last condition excludes a peer that has restarted since the query: it reports the
		// store as silent only since then. Before the restart a new leader may have made it reject
		// this term, which its new process does not know.
		storeSilent := time.Duration(answer.SinceStoreServedMS) * time.Millisecond
		all = all && answer.Attestation != nil && attestation.ObservedBy(*answer.Attestation) && storeSilent > elapsed
	}
	if !all || attestation.Term == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// The stored attestation, or one that may yet be applied, must not attest otherwise either.
	if a.current.Seq == attestation.Seq && !a.current.Complete && askedAt.Sub(a.recordedAt) > a.relaxationHoldoff() {
		if a.relaxedUntil.IsZero() {
			slog.Warn("watermarks relaxed", "term", a.number, "peers", len(answers))
		}
		a.relaxedUntil = askedAt.Add(a.settings.HeartbeatInterval)
	}
}

// relaxed reports whether tasks beyond watermarks may be dispatched now.
func (a *attestor) relaxed(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.relaxedUntil)
}
