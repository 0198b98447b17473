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

// mutant is a bug injected around the package's code that the model check must detect.
type mutant string

const (
	noMutant             mutant = ""
	acceptMissing        mutant = "missing answers are ignored"
	ignoreSpan           mutant = "the span of a list is ignored"
	contactAtAnswer      mutant = "the contact is the time of the answers instead of the query"
	confirmBeforeLog     mutant = "a cancellation is confirmed before it is logged"
	inheritSpan          mutant = "a restarted process keeps the span of the previous one"
	truncateList         mutant = "a truncated list keeps its span"
	listOnlySinceQuery   mutant = "a list covers only the time since the query"
	omitOwnList          mutant = "the leader's own confirmations are omitted"
	ignoreIDs            mutant = "received ids are not cancelled"
	acceptStaleAnswers   mutant = "answers to an earlier query are accepted"
	unboundedSinceLast   mutant = "a restarted process reports a long time without confirmations"
	contactAtWatchAnswer mutant = "the contact of a watch is the time of its answer"
	boundTooWide         mutant = "leases are renewed for the whole cancellation time"
)

var allMutants = []mutant{
	acceptMissing, ignoreSpan, contactAtAnswer, confirmBeforeLog, inheritSpan, truncateList, listOnlySinceQuery,
	omitOwnList, ignoreIDs, acceptStaleAnswers, unboundedSinceLast, contactAtWatchAnswer, boundTooWide,
}

const (
	cancelTime = 30 * time.Second // within which a cancelled job's tasks have to end
	leaseTime  = 12 * time.Second
	// maxRenewalDelay is the maximum time between a confirmation and a later lease renewal.
	maxRenewalDelay = cancelTime - leaseTime
	queryTimeout    = 2 * time.Second
)

// modelStart is the start time of a model run.
var modelStart = time.Unix(1_000_000, 0)

// clusterModel models controllers that store cancellations, confirm them at once or later, restart,
// and answer late or never, and a leader that can reach the store only part of the time. The leader
// is controller 0.
type clusterModel struct {
	t               *rapid.T
	mutant          mutant
	now             time.Time
	bound           RenewalBound
	logs            []*Log               // by controller
	clockRates      []float64            // by controller
	stored          []string             // ids of the jobs whose cancellation is stored
	unconfirmed     map[string]int       // by job id, the controller that stored its cancellation
	confirmedAt     map[string]time.Time // by job id, the first confirmation
	known           map[string]bool      // by job id, whether the leader knows the cancellation
	previousAnswers []PeerAnswer         // to the previous query
}

// clock returns the time on a controller's own clock.
func (m *clusterModel) clock(controller int) time.Time {
	return modelStart.Add(time.Duration(float64(m.now.Sub(modelStart)) * m.clockRates[controller]))
}

// confirm makes a controller log a cancellation and confirm it.
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

// checkInvariant fails if the bound allows renewals too long after the confirmation of a
// cancellation that the leader does not know.
func (m *clusterModel) checkInvariant() {
	if !m.bound.MayRenew(m.clock(0)) {
		return
	}
	for id, at := range m.confirmedAt {
		if !m.known[id] && m.now.Sub(at) > maxRenewalDelay {
			m.t.Fatalf("leases are renewed %v after the confirmation of the cancellation of %s, which is unknown to the leader", m.now.Sub(at), id)
		}
	}
}

// watchStore models a watch that the store answers after latency with all cancellations stored by
// the time of the request.
func (m *clusterModel) watchStore(latency time.Duration) {
	askedAt, storedBefore := m.clock(0), len(m.stored)
	if rapid.Bool().Draw(m.t, "meanwhile") {
		m.advanceTime(latency / 2)
		m.randomEvent(true)
	}
	m.advanceTime(latency / 2)
	for _, id := range m.stored[:storedBefore] {
		m.known[id] = true
	}
	if m.mutant == contactAtWatchAnswer {
		askedAt = m.clock(0)
	}
	m.bound.RecordContact(askedAt)
}

// queryPeers makes the leader query every other controller once.
func (m *clusterModel) queryPeers() {
	askedAt, start := m.clock(0), m.now
	span := m.bound.RequiredSpan(askedAt, queryTimeout)
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
	if m.now.Sub(start) > queryTimeout {
		return // timed out
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
		askedAt = m.clock(0)
	}
	m.bound.RecordContact(askedAt)
	m.checkInvariant()
}

// collectAnswers returns the other controllers' answers to a query for a span. all is false if one
// is missing.
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

// mutateAnswer changes an answer for the mutants that affect answers.
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

// randomEvent applies a random event other than a query or a watch. During a query or a watch, the
// event lets no time pass.
func (m *clusterModel) randomEvent(duringRequest bool) {
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
		if !duringRequest {
			m.advanceTime(time.Duration(rapid.IntRange(0, 4000).Draw(m.t, "for")) * time.Millisecond)
		}
	}
}

// storeCancellation stores a cancellation that is confirmed at once, or later by any controller.
func (m *clusterModel) storeCancellation(controller int) {
	id := fmt.Sprint("j-", len(m.stored)+1)
	m.stored = append(m.stored, id)
	if rapid.Bool().Draw(m.t, "at once") {
		m.confirm(controller, id)
	} else {
		m.unconfirmed[id] = controller
	}
}

// confirmLater confirms a stored cancellation, by the controller that stored it or, for a poll or a
// repeated request, by the given one.
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

// confirmAgain confirms any stored cancellation, whether or not it has been confirmed before.
func (m *clusterModel) confirmAgain(controller int) {
	if len(m.stored) == 0 {
		return
	}
	id := m.stored[rapid.IntRange(0, len(m.stored)-1).Draw(m.t, "again")]
	delete(m.unconfirmed, id)
	m.confirm(controller, id)
}

// restart restarts a controller's process, except the leader's, since that would begin a new term.
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

// runModel runs a random sequence of events, with the store reachable for the leader or not.
func runModel(t *rapid.T, injected mutant) {
	m := &clusterModel{
		t: t, mutant: injected, now: modelStart, bound: NewRenewalBound(cancelTime, leaseTime),
		unconfirmed: map[string]int{}, confirmedAt: map[string]time.Time{}, known: map[string]bool{},
	}
	if injected == boundTooWide {
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
			storeDown = rapid.IntRange(0, 4).Draw(t, "store fails") == 0
		case n < 5 && storeDown:
			m.queryPeers()
		case n == 9 && rapid.IntRange(0, 9).Draw(t, "store recovers") == 0:
			storeDown = false
		default:
			m.randomEvent(false)
			m.advanceTime(time.Duration(rapid.IntRange(0, 2000).Draw(t, "then")) * time.Millisecond)
		}
		m.checkInvariant()
	}
}

// No lease is renewed beyond the bound of a cancellation that is unknown to the leader, although
// controllers confirm late, repeatedly or for one another, restart, answer late, or run an earlier
// version.
func TestNoRenewalBeyondUnknownCancellation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runModel(t, noMutant) })
}

// The model check detects each mutant, which shows that the property can fail.
func TestRenewalBoundModelDetectsMutants(t *testing.T) {
	checks := flag.Lookup("rapid.checks").Value.String()
	if err := flag.Set("rapid.checks", "20000"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = flag.Set("rapid.checks", checks) }()
	for _, injected := range allMutants {
		failed := false
		rapid.Check(&failureRecorder{failed: &failed}, func(t *rapid.T) { runModel(t, injected) })
		if !failed {
			t.Errorf("mutant not detected: %s", injected)
		}
	}
}

// failureRecorder is a testing.TB for a property that has to fail. It records the failure.
type failureRecorder struct {
	testing.TB
	failed *bool
}

func (r *failureRecorder) Helper()               {}
func (r *failureRecorder) Name() string          { return "mutant" }
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
