package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/watermark"
)

// recordsPerHoldoff is how often, in a firm span, the record that watermarks are complete is
// stored, along with other writes.
const recordsPerHoldoff = 3

// attestor tells the peers how the watermarks in the store stand: complete, or relaxed in an
// outage of the store that all controllers share, when tasks are dispatched beyond watermarks
// that cannot be stored. Watermarks are relaxed only once every peer has observed it, so that no
// observer is left that would attest otherwise to a next leader.
type attestor struct {
	*term
	observer *watermark.Observer // this controller's own

	// lastReconciled is the attestation of the latest reconciled term, as heard at the failover,
	// which sets it before the other duties begin.
	lastReconciled watermark.Attestation
	// announcedAt is when the peers were last told how the watermarks stand; announce's alone.
	announcedAt time.Time

	mu           sync.Mutex // guards the fields below
	current      watermark.Attestation
	relaxedUntil time.Time // until then, all peers have observed that watermarks are relaxed
	recordedAt   time.Time // when a record that watermarks are complete was last written
}

func newAttestor(t *term, observer *watermark.Observer) *attestor {
	return &attestor{
		term:     t,
		observer: observer,
		current:  watermark.Attestation{Term: t.number, Revision: t.number, Node: t.cfg.Node},
	}
}

// relaxationHoldoff is how long after a record that its watermarks are complete a leader does not relax
// them: that record serves a process of this node that starts within it. A controller has to be
// back sooner for that; in an outage of the store task starts are held up for no longer.
func (a *attestor) relaxationHoldoff() time.Duration {
	return max(a.settings.HeartbeatInterval, a.settings.Lease/4)
}

// recordDue returns the record that watermarks are complete when it is time to store it, else nil.
func (a *attestor) recordDue(now time.Time) *watermark.StoredAttestation {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.current.Complete || now.Sub(a.recordedAt) < a.relaxationHoldoff()/recordsPerHoldoff {
		return nil
	}
	a.recordedAt = now // whether it is answered or not: it may be stored late
	return &watermark.StoredAttestation{Term: a.number, Node: a.cfg.Node, AtMS: now.UnixMilli()}
}

// recordRevision takes in a revision at which the term held the leader key.
func (a *attestor) recordRevision(revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current.Revision = max(a.current.Revision, revision)
}

// announce tells the peers how the watermarks stand, when that has changed and once in a heartbeat
// interval, since one of them may have started meanwhile. After an outage watermarks are complete
// again when the store has all of them.
func (a *attestor) announce(ctx context.Context) {
	if !a.settings.Watermarks {
		return
	}
	// In this order: once they are no longer relaxed, whatever was dispatched while they were is
	// in what is looked at next.
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

// update takes in whether all watermarks are stored and all machines are reconciled.
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

// requestRelaxation returns the attestation with which the leader tells its peers that it is about
// to dispatch tasks beyond watermarks, which it cannot have stored.
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

// applyAcknowledgements takes in which peers have observed such an attestation. Watermarks are relaxed
// only when all have.
func (a *attestor) applyAcknowledgements(attestation watermark.Attestation, answers []peer.Status, all bool, askedAt time.Time) {
	took := time.Since(askedAt)
	for _, answer := range answers {
		// Without the last condition, a peer would count that was barred by a new leader and has
		// restarted since it was asked: by its own account the store has been silent to it only
		// since then.
		storeSilent := time.Duration(answer.StoreSilentMS) * time.Millisecond
		all = all && answer.Attestation != nil && attestation.ObservedBy(*answer.Attestation) && storeSilent > took
	}
	if !all || attestation.Term == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// Nor may a record that the store has, or may yet apply, attest otherwise.
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
