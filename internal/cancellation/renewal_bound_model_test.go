package cancellation

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "35", "rapid.nofailfile": "true", "rapid.shrinktime": "0s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// mutant is one made on purpose around the package's own code, which the model has to find.
type mutant string

const (
	noMutant             mutant = ""
	acceptMissing        mutant = "the answers of those who answer are enough"
	ignoreSpan           mutant = "how far back a list reaches is not looked at"
	contactAtAnswer      mutant = "the contact is when the answers came, not when they were asked for"
	confirmBeforeLog     mutant = "a cancellation is confirmed before the log has it"
	inheritSpan          mutant = "a process takes over the span of the one before it"
	truncateList         mutant = "a list is cut short and keeps its span"
	listOnlySinceQuery   mutant = "a list speaks for the time since it was asked for"
	omitOwnList          mutant = "the leader's own confirmations are left out"
	ignoreIDs            mutant = "ids are received and nothing is ended"
	acceptStaleAnswers   mutant = "answers to an earlier inquiry are taken for answers to this one"
	unboundedSinceLast   mutant = "a process that has just started has been quiet for ever"
	contactAtWatchAnswer mutant = "the contact of a watch is when it came back"
	boundTooWide         mutant = "leases are renewed for as long as a cancellation may take"
)

var allMutants = []mutant{
	acceptMissing, ignoreSpan, contactAtAnswer, confirmBeforeLog, inheritSpan, truncateList, listOnlySinceQuery,
	omitOwnList, ignoreIDs, acceptStaleAnswers, unboundedSinceLast, contactAtWatchAnswer, boundTooWide,
}

const (
	cancelTime = 30 * time.Second // within which a cancelled job's tasks have to be gone
	leaseTime  = 12 * time.Second
	// maxRenewalDelay is how long after a confirmation a lease may be renewed at most.
	maxRenewalDelay = cancelTime - leaseTime
	queryTimeout    = 2 * time.Second
)

// modelStart is when a model begins.
var modelStart = time.Unix(1_000_000, 0)

// clusterModel is a model of what was confirmed to users: controllers that store cancellations
// and confirm them later, restart and answer late or never, and a leader that reaches the
// store for a while. The leader is the first controller.
type clusterModel struct {
	t               *rapid.T
	mutant          mutant
	now             time.Time
	bound           RenewalBound
	logs            []*Log    // by controller
	clockRates      []float64 // by controller
	stored          []string  // ids of cancelled jobs
	unconfirmed     map[string]int
	confirmedAt     map[string]time.Time // first
	known           map[string]bool      // to the leader
	previousAnswers []PeerAnswer         // of the inquiry before
}

// clock returns what a controller's own clock shows.
func (m *clusterModel) clock(controller int) time.Time {
	return modelStart.Add(time.Duration(float64(m.now.Sub(modelStart)) * m.clockRates[controller]))
}

// confirm has a controller confirm a cancellation, or be about to.
func (m *clusterModel) confirm(controller int, id string) {
	if m.mutant != confirmBeforeLog {
		m.logs[controller].Add(id, m.clock(controller))
	}
	if m.confirmedAt[id].IsZero() {
		m.confirmedAt[id] = m.now
	}
}

func (m *clusterModel) advanceTime(d time.Duration) {
	m.now = m.now.Add(d)
	m.checkInvariant()
}

// checkInvariant holds the bound against what was confirmed.
func (m *clusterModel) checkInvariant() {
	if !m.bound.MayRenew(m.clock(0)) {
		return
	}
	for id, at := range m.confirmedAt {
		if !m.known[id] && m.now.Sub(at) > maxRenewalDelay {
			m.t.Fatalf("leases are renewed %v after the cancellation of %s was confirmed, which the leader does not know", m.now.Sub(at), id)
		}
	}
}

// watchStore is an answer of the store: all that it had when it was asked.
func (m *clusterModel) watchStore(took time.Duration) {
	asked, storedThen := m.clock(0), len(m.stored)
	if rapid.Bool().Draw(m.t, "meanwhile") {
		m.advanceTime(took / 2)
		m.randomEvent(true)
	}
	m.advanceTime(took / 2)
	for _, id := range m.stored[:storedThen] {
		m.known[id] = true
	}
	if m.mutant == contactAtWatchAnswer {
		asked = m.clock(0)
	}
	m.bound.RecordContact(asked)
}

// queryPeers has the leader ask every other controller once.
func (m *clusterModel) queryPeers() {
	asked, began := m.clock(0), m.now
	span := m.bound.RequiredSpan(asked, queryTimeout)
	answers, all := m.collectAnswers(span)
	if m.mutant == acceptStaleAnswers && m.previousAnswers != nil {
		answers, m.previousAnswers = m.previousAnswers, answers
	} else {
		m.previousAnswers = answers
	}
	if m.mutant != omitOwnList {
		own := m.logs[0].ConfirmedWithin(span, m.clock(0))
		answers = append(answers, PeerAnswer{Confirmed: &own, SinceLastConfirmation: m.logs[0].SinceLastConfirmation(m.clock(0))})
	}
	if m.now.Sub(began) > queryTimeout {
		return // it was given up
	}
	ids, ok := m.bound.Covers(answers, m.clock(0))
	if !ok || !all && m.mutant != acceptMissing {
		return
	}
	if m.mutant != ignoreIDs {
		for _, id := range ids {
			m.known[id] = true
		}
	}
	if m.mutant == contactAtAnswer {
		asked = m.clock(0)
	}
	m.bound.RecordContact(asked)
	m.checkInvariant()
}

// collectAnswers collects the other controllers' answers. all is false where one is missing.
func (m *clusterModel) collectAnswers(span time.Duration) (answers []PeerAnswer, all bool) {
	all = true
	for i := 1; i < len(m.logs); i++ {
		if rapid.IntRange(0, 5).Draw(m.t, "lost") == 0 {
			all = false
			continue
		}
		m.advanceTime(time.Duration(rapid.IntRange(0, 900).Draw(m.t, "latency")) * time.Millisecond)
		list := m.logs[i].ConfirmedWithin(span, m.clock(i))
		answer := PeerAnswer{Confirmed: &list, SinceLastConfirmation: m.logs[i].SinceLastConfirmation(m.clock(i))}
		if rapid.IntRange(0, 9).Draw(m.t, "earlier version") == 0 {
			answer.Confirmed = nil
		}
		m.mutateAnswer(&answer, span)
		answers = append(answers, answer)
		for range rapid.IntRange(0, 2).Draw(m.t, "meanwhile") {
			m.randomEvent(true)
		}
	}
	return answers, all
}

// mutateAnswer changes an answer where that is the mistake.
func (m *clusterModel) mutateAnswer(answer *PeerAnswer, span time.Duration) {
	list := answer.Confirmed
	if list == nil {
		if m.mutant == unboundedSinceLast {
			answer.SinceLastConfirmation = time.Hour
		}
		return
	}
	switch m.mutant {
	case ignoreSpan:
		list.SpanMS = time.Hour.Milliseconds()
	case truncateList:
		list.IDs = list.IDs[:min(len(list.IDs), 1)]
		list.SpanMS = span.Milliseconds()
	case listOnlySinceQuery:
		list.IDs = nil
		list.SpanMS = span.Milliseconds()
	}
}

// randomEvent is anything but an inquiry or a watch. Time passes only outside of these.
func (m *clusterModel) randomEvent(inside bool) {
	controller := rapid.IntRange(0, len(m.logs)-1).Draw(m.t, "controller")
	switch rapid.IntRange(0, 4).Draw(m.t, "event") {
	case 0:
		m.storeCancellation(controller)
	case 1:
		m.confirmLater(controller)
	case 2:
		m.restart(controller)
	case 3:
		m.confirmAgain(controller)
	case 4:
		if !inside {
			m.advanceTime(time.Duration(rapid.IntRange(0, 4000).Draw(m.t, "for")) * time.Millisecond)
		}
	}
}

// storeCancellation stores a cancellation, to be confirmed at once, later or by another.
func (m *clusterModel) storeCancellation(controller int) {
	id := fmt.Sprint("j-", len(m.stored)+1)
	m.stored = append(m.stored, id)
	if rapid.Bool().Draw(m.t, "at once") {
		m.confirm(controller, id)
	} else {
		m.unconfirmed[id] = controller
	}
}

// confirmLater confirms a cancellation that was stored before, by who stored it or, for a poll
// or a repeated request, by the given controller.
func (m *clusterModel) confirmLater(controller int) {
	for id, by := range m.unconfirmed {
		if rapid.Bool().Draw(m.t, "by another") {
			by = controller
		}
		delete(m.unconfirmed, id)
		m.confirm(by, id)
		return
	}
}

// confirmAgain confirms any stored cancellation, once more or not.
func (m *clusterModel) confirmAgain(controller int) {
	if len(m.stored) == 0 {
		return
	}
	id := m.stored[rapid.IntRange(0, len(m.stored)-1).Draw(m.t, "again")]
	delete(m.unconfirmed, id)
	m.confirm(controller, id)
}

// restart restarts a controller's process, but for the leader's: that would be another leader.
func (m *clusterModel) restart(controller int) {
	if controller == 0 {
		return
	}
	old := m.logs[controller]
	log := NewLog(m.clock(controller))
	if m.mutant == inheritSpan {
		log.completeFrom, log.lastConfirmed = old.completeFrom, old.lastConfirmed
	}
	m.logs[controller] = log
}

// runModel draws a sequence of events, with the leader in and out of touch with the store.
func runModel(t *rapid.T, wrong mutant) {
	m := &clusterModel{
		t: t, mutant: wrong, now: modelStart, bound: NewRenewalBound(cancelTime, leaseTime),
		unconfirmed: map[string]int{}, confirmedAt: map[string]time.Time{}, known: map[string]bool{},
	}
	if wrong == boundTooWide {
		m.bound.span = cancelTime
	}
	for range rapid.IntRange(2, 4).Draw(t, "controllers") {
		m.clockRates = append(m.clockRates, 1+float64(rapid.IntRange(0, 5).Draw(t, "clock rate"))/10_000)
		m.logs = append(m.logs, NewLog(m.now))
	}
	storeDown := false
	for range rapid.IntRange(20, 90).Draw(t, "events") {
		switch n := rapid.IntRange(0, 9).Draw(t, "next"); {
		case n < 3 && !storeDown:
			m.watchStore(time.Duration(rapid.IntRange(0, 8000).Draw(t, "took")) * time.Millisecond)
			storeDown = rapid.IntRange(0, 4).Draw(t, "store goes away") == 0
		case n < 5 && storeDown:
			m.queryPeers()
		case n == 9 && rapid.IntRange(0, 9).Draw(t, "store comes back") == 0:
			storeDown = false
		default:
			m.randomEvent(false)
			m.advanceTime(time.Duration(rapid.IntRange(0, 2000).Draw(t, "then")) * time.Millisecond)
		}
		m.checkInvariant()
	}
}

// Whatever is stored, confirmed, confirmed late, by others or again, by controllers that
// restart, answer late or are of an earlier version: no lease is renewed beyond the bound of
// a cancellation that the leader does not know.
func TestNoRenewalBeyondUnknownCancellation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runModel(t, noMutant) })
}

// Each mistake is found: the property can fail.
func TestRenewalBoundModelDetectsMutants(t *testing.T) {
	checks := flag.Lookup("rapid.checks").Value.String()
	if err := flag.Set("rapid.checks", "20000"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = flag.Set("rapid.checks", checks) }()
	for _, wrong := range allMutants {
		failed := false
		rapid.Check(&failureRecorder{failed: &failed}, func(t *rapid.T) { runModel(t, wrong) })
		if !failed {
			t.Errorf("not found: %s", wrong)
		}
	}
}

// failureRecorder stands in for the test of a property that has to fail, and notes that it did.
type failureRecorder struct {
	testing.TB
	failed *bool
}

func (r *failureRecorder) Helper()               {}
func (r *failureRecorder) Name() string          { return "mistake" }
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) Skipf(string, ...any)  {}
func (r *failureRecorder) Skip(...any)           {}
func (r *failureRecorder) SkipNow()              {}
func (r *failureRecorder) Errorf(string, ...any) { *r.failed = true }
func (r *failureRecorder) Error(...any)          { *r.failed = true }
func (r *failureRecorder) Fatalf(string, ...any) { *r.failed = true }
func (r *failureRecorder) Fatal(...any)          { *r.failed = true }
func (r *failureRecorder) FailNow()              { *r.failed = true }
func (r *failureRecorder) Fail()                 { *r.failed = true }
func (r *failureRecorder) Failed() bool          { return *r.failed }
