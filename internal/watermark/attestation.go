// Package frontier lets a new leader start older work before it has heard every machine.
// The store keeps a mark for each open job: no task from the mark on was ever sent. A
// leader raises a mark, in the store, before it sends what lies beyond; the next one then
// knows which tasks can be on no machine, whichever are still unheard of. Only what is
// below a mark and was not seen waits.
//
// That holds only while every leader keeps to it. One of a version, or with settings,
// that knows of no marks does not, and in an outage of the store that all share a leader
// goes on without. So marks are worth what a witness says of them: a controller to which
// a leader of the term said that they are whole, and to which none has said since that
// they are loose. A leader goes loose only once every other controller has heard it, so
// one witness is enough.
//
// The package is pure: no I/O, no clock.
package watermark

import (
	"sync"
	"time"
)

// Attestation is what a leader says of the marks in the store. A word without a sequence number
// comes from a new leader that has said nothing yet, and bars earlier terms.
type Attestation struct {
	Term     uint64 `msgpack:"term"`
	Seq      uint64 `msgpack:"seq"`   // rises with each change of mind in a term
	Complete bool   `msgpack:"whole"` // every task that was ever sent, by any leader, is below a mark; else loose
	Revision uint64 `msgpack:"epoch"` // a revision of the store at which the term held the leader's key
	// Settled says that every machine which may hold tasks has shown the term (lapse.go), and
	// Node who had it. Versions that tell of marks alone leave both out.
	Reconciled bool   `msgpack:"settled,omitempty"`
	Node       string `msgpack:"node,omitempty"`
}

// Observer is a controller's memory of such words. It lasts as long as its process, and no
// longer: a process that has just started is no witness of anything.
type Observer struct {
	mu    sync.Mutex
	heard Attestation
	last  Attestation // of the latest term that was settled
	bar   uint64      // words of earlier terms are not taken in
}

// Observe takes in a word and returns what is remembered then. A word that comes late, by
// its term or its number, changes nothing.
func (w *Observer) Observe(x Attestation) Attestation {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bar = max(w.bar, x.Term)
	// That a term was settled stays true, however late it is told.
	if x.Reconciled && x.NewerThan(w.last) {
		w.last = x
	}
	// Guards against words held up in the network, and against an earlier leader that
	// asks to go loose after a later one has heard that it had not.
	if x.Seq > 0 && x.Term >= w.bar && (x.Term > w.heard.Term || x.Term == w.heard.Term && x.Seq > w.heard.Seq) {
		w.heard = x
	} else if x.Seq > 0 && x.Term == w.heard.Term && x.Seq == w.heard.Seq {
		w.heard.Revision = max(w.heard.Revision, x.Revision)
	}
	return w.heard
}

// LatestReconciled returns the last word that was heard of a settled term, if any.
func (w *Observer) LatestReconciled() Attestation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// NewerThan says whether a word is of a later term than another one, or of a later revision in
// the same.
func (x Attestation) NewerThan(w Attestation) bool {
	return x.Term > w.Term || x.Term == w.Term && x.Revision > w.Revision
}

// ObservedBy says whether a witness that remembers w has taken in x, and nothing later.
func (x Attestation) ObservedBy(w Attestation) bool { return w.Term == x.Term && w.Seq == x.Seq }

// Latest picks, of what witnesses remember, the last word for whole marks: one is enough.
// ok is false where there is none.
func Latest(words []Attestation) (best Attestation, ok bool) {
	for _, w := range words {
		if w.Complete && w.NewerThan(best) {
			best, ok = w, true
		}
	}
	return best, ok
}

// LeaderChange is a change of the leader's key: who took it, and whether it keeps marks.
type LeaderChange struct {
	Term            uint64
	KeepsWatermarks bool
	Node            string
}

// StoredAttestation is the same word in the store, for when all controllers have ended at once and
// none is a witness any more.
type StoredAttestation struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
	AtMS int64  `json:"at_ms"` // time of day when it was sent; marks were whole then
}

// StillHolds says whether the leader that wrote a record cannot have gone loose since: it
// never does within span of sending one, and it was a process of the very node that now
// takes its key over, where the present one started that soon afterwards. bound is how far
// the time of day of either may be off. A record of the present process itself says nothing:
// it may have gone loose since.
func (r StoredAttestation) StillHolds(node string, started time.Time, span, bound time.Duration) bool {
	after := started.Sub(time.UnixMilli(r.AtMS))
	return r.Term != 0 && r.Node == node && after > 2*bound && after <= span-2*bound
}

// Trusted says whether marks are whole for the leader of a term: since the word's
// revision nobody has led that keeps no marks. reigns are all who took the key since.
// One that keeps marks but had no witness itself does no harm: what it sent is below
// them, and had it gone loose, the witness would have heard it.
func Trusted(w Attestation, reigns []LeaderChange, ours uint64) bool {
	if !w.Complete || w.Term > ours {
		return false
	}
	found := w.Term == ours
	for _, r := range reigns {
		if r.Term == ours {
			found = true
		} else if !r.KeepsWatermarks {
			return false
		}
	}
	return found // a log without our own term is not the log we asked for
}
