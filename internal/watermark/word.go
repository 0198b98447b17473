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

// Word is what a leader says of the marks in the store. A word without a sequence number
// comes from a new leader that has said nothing yet, and bars earlier terms.
type Word struct {
	Term  uint64 `msgpack:"term"`
	Seq   uint64 `msgpack:"seq"`   // rises with each change of mind in a term
	Whole bool   `msgpack:"whole"` // every task that was ever sent, by any leader, is below a mark; else loose
	Epoch uint64 `msgpack:"epoch"` // a revision of the store at which the term held the leader's key
	// Settled says that every machine which may hold tasks has shown the term (lapse.go), and
	// Node who had it. Versions that tell of marks alone leave both out.
	Settled bool   `msgpack:"settled,omitempty"`
	Node    string `msgpack:"node,omitempty"`
}

// Witness is a controller's memory of such words. It lasts as long as its process, and no
// longer: a process that has just started is no witness of anything.
type Witness struct {
	mu    sync.Mutex
	heard Word
	last  Word   // of the latest term that was settled
	bar   uint64 // words of earlier terms are not taken in
}

// Hear takes in a word and returns what is remembered then. A word that comes late, by
// its term or its number, changes nothing.
func (w *Witness) Hear(x Word) Word {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bar = max(w.bar, x.Term)
	// That a term was settled stays true, however late it is told.
	if x.Settled && x.After(w.last) {
		w.last = x
	}
	// Guards against words held up in the network, and against an earlier leader that
	// asks to go loose after a later one has heard that it had not.
	if x.Seq > 0 && x.Term >= w.bar && (x.Term > w.heard.Term || x.Term == w.heard.Term && x.Seq > w.heard.Seq) {
		w.heard = x
	} else if x.Seq > 0 && x.Term == w.heard.Term && x.Seq == w.heard.Seq {
		w.heard.Epoch = max(w.heard.Epoch, x.Epoch)
	}
	return w.heard
}

// Settled returns the last word that was heard of a settled term, if any.
func (w *Witness) Settled() Word {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// After says whether a word is of a later term than another one, or of a later revision in
// the same.
func (x Word) After(w Word) bool { return x.Term > w.Term || x.Term == w.Term && x.Epoch > w.Epoch }

// Heard says whether a witness that remembers w has taken in x, and nothing later.
func (x Word) Heard(w Word) bool { return w.Term == x.Term && w.Seq == x.Seq }

// Best picks, of what witnesses remember, the last word for whole marks: one is enough.
// ok is false where there is none.
func Best(words []Word) (best Word, ok bool) {
	for _, w := range words {
		if w.Whole && w.After(best) {
			best, ok = w, true
		}
	}
	return best, ok
}

// Reign is a change of the leader's key: who took it, and whether it keeps marks.
type Reign struct {
	Term  uint64
	Marks bool
	Node  string
}

// Record is the same word in the store, for when all controllers have ended at once and
// none is a witness any more.
type Record struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
	AtMS int64  `json:"at_ms"` // time of day when it was sent; marks were whole then
}

// Unbroken says whether the leader that wrote a record cannot have gone loose since: it
// never does within span of sending one, and it was a process of the very node that now
// takes its key over, where the present one started that soon afterwards. bound is how far
// the time of day of either may be off. A record of the present process itself says nothing:
// it may have gone loose since.
func (r Record) Unbroken(node string, started time.Time, span, bound time.Duration) bool {
	after := started.Sub(time.UnixMilli(r.AtMS))
	return r.Term != 0 && r.Node == node && after > 2*bound && after <= span-2*bound
}

// Trusted says whether marks are whole for the leader of a term: since the word's
// revision nobody has led that keeps no marks. reigns are all who took the key since.
// One that keeps marks but had no witness itself does no harm: what it sent is below
// them, and had it gone loose, the witness would have heard it.
func Trusted(w Word, reigns []Reign, ours uint64) bool {
	if !w.Whole || w.Term > ours {
		return false
	}
	found := w.Term == ours
	for _, r := range reigns {
		if r.Term == ours {
			found = true
		} else if !r.Marks {
			return false
		}
	}
	return found // a log without our own term is not the log we asked for
}
