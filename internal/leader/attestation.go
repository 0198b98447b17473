package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/watermark"
)

// recordsPerHoldoff is how many times per relaxation holdoff the attestation of complete watermarks
// is stored. It shares a commit with other writes that are due.
const recordsPerHoldoff = 3

// attestor attests to the peers whether the watermarks in the store are complete or relaxed. In an
// outage of the store for all controllers, the leader relaxes them: it dispatches tasks beyond
// watermarks that it cannot store. It does so only once every peer has observed an attestation of
// relaxed watermarks, so that no observer can attest to the next leader that they are complete.
type attestor struct {
	*term
	observer *watermark.Observer // of this controller

	// lastReconciled is the latest attestation of a reconciled term that any controller has
	// reported; zero: none, or watermarks are disabled. The failover sets it before the loops start,
	// so it needs no lock.
	lastReconciled watermark.Attestation
	// announcedAt is when an attestation was last sent to the peers. Only announce uses it.
	announcedAt time.Time

	mu           sync.Mutex            // guards the fields below
	current      watermark.Attestation // of this term; without a sequence number until the first change
	relaxedUntil time.Time             // until when watermarks are relaxed; zero: never in this term
	recordedAt   time.Time             // when a StoredAttestation was last handed out to be stored; zero: never
}

func newAttestor(t *term, observer *watermark.Observer) *attestor {
	return &attestor{
		term:     t,
		observer: observer,
		current:  watermark.Attestation{Term: t.number, Revision: t.number, Node: t.cfg.Node},
	}
}

// relaxationHoldoff returns for how long a leader must not relax watermarks after it has stored an
// attestation that they are complete. A new process of the same node relies on the stored
// attestation only if it starts within the holdoff. In an outage of the store, the holdoff delays
// task starts by at most its own length.
func (a *attestor) relaxationHoldoff() time.Duration {
	return max(a.settings.HeartbeatInterval, a.settings.Lease/4)
}

// takeDueRecord returns the attestation of complete watermarks if it is due to be stored, else nil.
// The caller must store it: it counts as stored at now.
func (a *attestor) takeDueRecord(now time.Time) *watermark.StoredAttestation {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.current.Complete || now.Sub(a.recordedAt) < a.relaxationHoldoff()/recordsPerHoldoff {
		return nil
	}
	a.recordedAt = now // also if the write gets no answer, because it may be applied late
	return &watermark.StoredAttestation{Term: a.number, Node: a.cfg.Node, AtMS: now.UnixMilli()}
}

// recordRevision records a store revision at which the term held the leader key.
func (a *attestor) recordRevision(revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current.Revision = max(a.current.Revision, revision)
}

// announce updates the attestation and sends it to the peers if it has changed, and otherwise once
// per heartbeat interval, because a restarted peer has lost it. After an outage of the store,
// watermarks are complete again once all of them are stored. It sends nothing if watermarks are
// disabled or the attestation has no sequence number yet. Calls must not overlap.
func (a *attestor) announce(ctx context.Context) {
	if !a.settings.Watermarks {
		return
	}
	// relaxed must be read before the scheduler's state. If it is false, that state includes all
	// tasks that were dispatched while watermarks were relaxed.
	stored := !a.relaxed(time.Now())
	reconciled := false
	if !a.withState(func() {
		stored = stored && a.state.scheduler.WatermarksStored()
		reconciled = a.state.scheduler.Reconciled()
	}) {
		return
	}
	attestation, changed := a.update(stored, reconciled)
	if attestation.Seq > 0 && (changed || time.Since(a.announcedAt) >= a.settings.HeartbeatInterval) {
		a.announcedAt = time.Now()
		a.observer.Observe(attestation)
		a.peers.QueryStatus(ctx, peer.StatusRequest{Attestation: attestation})
	}
}

// update records whether all watermarks are stored and all machines are reconciled. changed reports
// whether the watermarks have just become complete, or the term reconciled.
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

// requestRelaxation returns the attestation of relaxed watermarks, which the leader sends to its
// peers while it cannot store watermarks. Dispatching beyond watermarks has to wait for
// applyAcknowledgements. The result is zero if watermarks are disabled.
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

// applyAcknowledgements applies the peers' answers to an attestation from requestRelaxation that
// was sent at askedAt; all reports whether every peer has answered. If every peer has observed the
// attestation and the relaxation holdoff is over, it relaxes watermarks until a heartbeat interval
// after askedAt.
func (a *attestor) applyAcknowledgements(attestation watermark.Attestation, answers []peer.Status, all bool, askedAt time.Time) {
	elapsed := time.Since(askedAt)
	for _, answer := range answers {
		// The last condition excludes a peer that has restarted since the query: it reports the
		// store as silent at most since its start. Before the restart, a new leader may have made
		// the peer reject this term; its new process does not know that.
		storeSilent := time.Duration(answer.SinceStoreServedMS) * time.Millisecond
		all = all && answer.Attestation != nil && attestation.ObservedBy(*answer.Attestation) && storeSilent > elapsed
	}
	if !all || attestation.Term == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// The holdoff must be over for the stored attestation of complete watermarks, and for one whose
	// write may still be applied.
	if a.current.Seq == attestation.Seq && !a.current.Complete && askedAt.Sub(a.recordedAt) > a.relaxationHoldoff() {
		if a.relaxedUntil.IsZero() {
			slog.Warn("watermarks relaxed", "term", a.number, "peers", len(answers))
		}
		a.relaxedUntil = askedAt.Add(a.settings.HeartbeatInterval)
	}
}

// relaxed reports whether tasks beyond watermarks may be dispatched at now.
func (a *attestor) relaxed(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.relaxedUntil)
}
