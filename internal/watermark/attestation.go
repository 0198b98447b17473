// Package watermark lets a new leader dispatch older work before it has received a heartbeat from
// every machine. The store holds a watermark for each open job: no task at or above it was ever
// dispatched. A leader raises the watermark in the store before it dispatches tasks beyond it. The
// next leader then knows which tasks can be on no machine; only the tasks below a watermark that no
// machine has reported have to wait.
//
// This holds only if every leader keeps watermarks. A leader of an older version, or with
// watermarks disabled, does not keep them. In an outage of the store for all controllers, a leader
// relaxes them: it dispatches tasks beyond watermarks without storing these. A new leader therefore
// relies on an observer: a controller to which an earlier leader has attested that the watermarks
// are complete, and not since then that they are relaxed. A leader relaxes them only once every
// other controller has acknowledged that attestation, so one observer is enough.
//
// The package is pure: no I/O, no clock.
package watermark

import (
	"sync"
	"time"
)

// Attestation is a leader's statement about the watermarks in the store. An attestation without a
// sequence number comes from a new leader that has made no statement yet; it makes observers reject
// the attestations of earlier terms.
type Attestation struct {
	Term uint64 `msgpack:"term"`
	// Seq increases within a term each time the watermarks become complete or relaxed.
	Seq uint64 `msgpack:"seq"`
	// Complete means that every task that was ever dispatched, by any leader, is below the stored
	// watermark of its job. Otherwise, if Seq is not 0, the leader may relax the watermarks.
	Complete bool `msgpack:"whole"`
	// Revision is a store revision at which the term held the leader key.
	Revision uint64 `msgpack:"epoch"`
	// Reconciled means that every machine that may hold tasks has acknowledged the term; see
	// PossibleRenewers. Node is the controller that led the term. Versions that attest only
	// watermarks omit both fields.
	Reconciled bool   `msgpack:"settled,omitempty"`
	Node       string `msgpack:"node,omitempty"`
}

// Observer is a controller's in-memory record of attestations. A process that has just started has
// none and can attest nothing. It is safe for concurrent use.
type Observer struct {
	mu         sync.Mutex  // guards the fields below
	latest     Attestation // the latest with a sequence number; zero: none
	reconciled Attestation // of the latest reconciled term; zero: none
	minTerm    uint64      // earlier terms are rejected, except as reconciled
}

// Observe records an attestation and returns the latest one recorded, or the zero value. It rejects
// an attestation that is outdated by its term or its sequence number. A repetition of the latest
// one raises the latest one's revision.
func (o *Observer) Observe(a Attestation) Attestation {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.minTerm = max(o.minTerm, a.Term)
	// A reconciled term stays reconciled, so a late attestation of it counts too.
	if a.Reconciled && a.NewerThan(o.reconciled) {
		o.reconciled = a
	}
	if a.Seq == 0 {
		return o.latest
	}
	// Rejects attestations delayed in the network, and a request of an earlier leader to relax the
	// watermarks after a later leader has learned from this observer that they were complete.
	newer := a.Term > o.latest.Term || a.Term == o.latest.Term && a.Seq > o.latest.Seq
	switch {
	case a.Term >= o.minTerm && newer:
		o.latest = a
	case a.Term == o.latest.Term && a.Seq == o.latest.Seq:
		o.latest.Revision = max(o.latest.Revision, a.Revision)
	}
	return o.latest
}

// LatestReconciled returns the latest attestation of a reconciled term, or the zero value.
func (o *Observer) LatestReconciled() Attestation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reconciled
}

// NewerThan reports whether a is of a later term than other, or of the same term with a later
// revision.
func (a Attestation) NewerThan(other Attestation) bool {
	return a.Term > other.Term || a.Term == other.Term && a.Revision > other.Revision
}

// ObservedBy reports whether an observer whose latest attestation is latest has recorded a and no
// later one.
func (a Attestation) ObservedBy(latest Attestation) bool {
	return latest.Term == a.Term && latest.Seq == a.Seq
}

// LatestComplete returns the newest attestation of complete watermarks among the latest
// attestations of the observers; one observer is enough. ok is false if none attests complete
// watermarks.
func LatestComplete(attestations []Attestation) (latest Attestation, ok bool) {
	for _, a := range attestations {
		if a.Complete && a.NewerThan(latest) {
			latest, ok = a, true
		}
	}
	return latest, ok
}

// LeaderChange is an acquisition of the leader key: the term that it began, the controller that
// acquired the key ("": unknown), and whether that leader keeps watermarks.
type LeaderChange struct {
	Term            uint64
	KeepsWatermarks bool
	Node            string
}

// Trusted reports whether the leader of a term may rely on the attestation a of complete
// watermarks: no leader without watermarks has led since its revision. changes are all acquisitions
// of the leader key after that revision. A leader in between that keeps watermarks but found no
// observer does no harm: the tasks that it dispatched are below their watermarks, and the observer
// would have recorded a relaxation.
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
	return found // changes without the leader's own term are incomplete
}

// StoredAttestation is the record in the store that watermarks are complete. It is used when all
// controllers have ended at once and no observer is left.
type StoredAttestation struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
	AtMS int64  `json:"at_ms"` // wall-clock time of the write; the watermarks were complete then
}

// StillHolds reports whether the leader that wrote a stored attestation cannot have relaxed the
// watermarks since. A leader never relaxes them within span of writing an attestation. The process
// that wrote this one has ended within span: it ran on the given node, whose present process
// started within span of the write. maxClockError is the maximum error of the wall clock of either
// process. An attestation that the present process wrote itself does not hold, because it may have
// relaxed the watermarks since.
func (s StoredAttestation) StillHolds(node string, started time.Time, span, maxClockError time.Duration) bool {
	after := started.Sub(time.UnixMilli(s.AtMS))
	return s.Term != 0 && s.Node == node && after > 2*maxClockError && after <= span-2*maxClockError
}
