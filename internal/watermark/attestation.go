// Package watermark lets a new leader dispatch older work before it has heard from every
// machine. The store holds a watermark for each open job: no task from the watermark on was
// ever dispatched. A leader raises a watermark, in the store, before it dispatches what lies
// beyond; the next leader then knows which tasks can be on no machine, whichever machines it
// has not heard from yet. Only tasks that are below a watermark and were not seen wait.
//
// That holds only while every leader keeps to it. A leader of a version, or with settings,
// that knows of no watermarks does not, and in an outage of the store that all share a
// leader goes on without: it relaxes them. So watermarks are worth what an observer attests:
// a controller to which a leader of the term said that they are complete, and to which none
// has said since that they are relaxed. A leader relaxes them only once every other
// controller has acknowledged that, so one observer is enough.
//
// The package is pure: no I/O, no clock.
package watermark

import (
	"sync"
	"time"
)

// Attestation is what a leader says of the watermarks in the store. An attestation without
// a sequence number comes from a new leader that has said nothing yet, and bars those of
// earlier terms.
type Attestation struct {
	Term uint64 `msgpack:"term"`
	// Seq rises in a term each time that the watermarks become complete or relaxed.
	Seq uint64 `msgpack:"seq"`
	// Complete means that every task that was ever dispatched, by any leader, is below a
	// watermark; otherwise they are relaxed.
	Complete bool `msgpack:"whole"`
	// Revision is one of the store at which the term held the leader's key.
	Revision uint64 `msgpack:"epoch"`
	// Reconciled means that every machine which may hold tasks has shown the term
	// (PossibleRenewers), and Node is the controller that led it. Versions that attest
	// watermarks alone leave both out.
	Reconciled bool   `msgpack:"settled,omitempty"`
	Node       string `msgpack:"node,omitempty"`
}

// Observer is a controller's memory of attestations. It lasts as long as its process and no
// longer: a process that has just started can attest nothing. It is safe for concurrent use.
type Observer struct {
	mu         sync.Mutex // guards the fields below
	latest     Attestation
	reconciled Attestation // of the latest term that was reconciled
	minTerm    uint64      // attestations of earlier terms are not taken in
}

// Observe takes in an attestation and returns what is remembered then. An attestation that
// comes late, by its term or its sequence number, changes nothing.
func (o *Observer) Observe(a Attestation) Attestation {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.minTerm = max(o.minTerm, a.Term)
	// That a term was reconciled stays true, however late it is heard.
	if a.Reconciled && a.NewerThan(o.reconciled) {
		o.reconciled = a
	}
	if a.Seq == 0 {
		return o.latest
	}
	// This keeps out attestations held up in the network, and an earlier leader that asks
	// to relax the watermarks after a later one has heard that it had not.
	newer := a.Term > o.latest.Term || a.Term == o.latest.Term && a.Seq > o.latest.Seq
	switch {
	case a.Term >= o.minTerm && newer:
		o.latest = a
	case a.Term == o.latest.Term && a.Seq == o.latest.Seq:
		o.latest.Revision = max(o.latest.Revision, a.Revision)
	}
	return o.latest
}

// LatestReconciled returns the last attestation that was heard of a reconciled term, if any.
func (o *Observer) LatestReconciled() Attestation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reconciled
}

// NewerThan reports whether an attestation is of a later term than another one, or of a
// later revision in the same.
func (a Attestation) NewerThan(other Attestation) bool {
	return a.Term > other.Term || a.Term == other.Term && a.Revision > other.Revision
}

// ObservedBy reports whether an observer that remembers the given attestation has taken in
// this one, and nothing later.
func (a Attestation) ObservedBy(remembered Attestation) bool {
	return remembered.Term == a.Term && remembered.Seq == a.Seq
}

// LatestComplete picks, of what observers remember, the newest attestation of complete watermarks:
// one is enough. ok is false where there is none.
func LatestComplete(attestations []Attestation) (latest Attestation, ok bool) {
	for _, a := range attestations {
		if a.Complete && a.NewerThan(latest) {
			latest, ok = a, true
		}
	}
	return latest, ok
}

// LeaderChange is a change of the leader's key: who took it, and whether it keeps watermarks.
type LeaderChange struct {
	Term            uint64
	KeepsWatermarks bool
	Node            string
}

// Trusted reports whether watermarks are complete for the leader of a term: since the
// attestation's revision nobody has led that keeps none. changes are all who took the key
// since. One that keeps watermarks but found no observer itself does no harm: what it
// dispatched is below them, and had it relaxed them, the observer would have heard it.
func Trusted(a Attestation, changes []LeaderChange, term uint64) bool {
	if !a.Complete || a.Term > term {
		return false
	}
	found := a.Term == term
	for _, change := range changes {
		if change.Term == term {
			found = true
		} else if !change.KeepsWatermarks {
			return false
		}
	}
	return found // a log without the leader's own term is not the log it asked for
}

// StoredAttestation attests complete watermarks in the store, for when all controllers have
// ended at once and none is an observer any more.
type StoredAttestation struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
	AtMS int64  `json:"at_ms"` // time of day when it was sent; the watermarks were complete then
}

// StillHolds reports whether the leader that wrote a stored attestation cannot have relaxed
// the watermarks since: it never does within span of sending one, and it was a process of
// the very node that now takes the leader's key over, where the present process started that
// soon afterwards. bound is how far the time of day of either may be off. An attestation of
// the present process itself says nothing: it may have relaxed them since.
func (s StoredAttestation) StillHolds(node string, started time.Time, span, bound time.Duration) bool {
	after := started.Sub(time.UnixMilli(s.AtMS))
	return s.Term != 0 && s.Node == node && after > 2*bound && after <= span-2*bound
}
