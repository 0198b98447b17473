package cancellation

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
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

// mistake is one made on purpose around the package's own code.
type mistake string

const (
	none        mistake = ""
	anyAnswers  mistake = "those who answer are enough"
	unreached   mistake = "how far back a word reaches is not looked at"
	fromAnswer  mistake = "the contact is when the answers came, not when they were asked for"
	toldFirst   mistake = "the user is told before the log has it"
	keptReach   mistake = "a process takes over the reach of the one before it"
	shortened   mistake = "a list is cut short and keeps its reach"
	sinceAsked  mistake = "a word speaks for the time since it was asked for"
	ownLeftOut  mistake = "the leader's own tellings are left out"
	ignored     mistake = "ids are heard and nothing is ended"
	oldAnswer   mistake = "an answer to an earlier question is taken for one to this"
	quietStart  mistake = "a process that has just started has been quiet for ever"
	storedCount mistake = "a watch counts from when it came back"
	wideBound   mistake = "leases are renewed up to the cancellation's own time"
)

// region is a model of what users were told: controllers that store cancellations and tell of
// them later, restart and answer late or never, and a leader that hears the store for a while.
type region struct {
	t       *rapid.T
	wrong   mistake
	now     time.Time
	bound   RenewalBound
	logs    []*Log    // by controller, the leader first
	clocks  []float64 // of each, its pace
	stored  []string
	telling map[string]int // stored, and not yet told by that controller
	told    map[string]time.Time
	known   map[string]bool // to the leader
	before  []PeerAnswer    // of the round before
}

const (
	cancelS, leaseS = 30 * time.Second, 12 * time.Second
	span            = cancelS - leaseS // a lease given before its end has lapsed in time
	timeout         = 2 * time.Second
)

// clock is what a controller's own clock shows.
func (r *region) clock(i int) time.Time {
	start := time.Unix(1_000_000, 0)
	return start.Add(time.Duration(float64(r.now.Sub(start)) * r.clocks[i]))
}

// tell has a controller tell a user, or be about to.
func (r *region) tell(i int, id string) {
	if r.wrong != toldFirst {
		r.logs[i].Add(id, r.clock(i))
	}
	if r.told[id].IsZero() {
		r.told[id] = r.now
	}
}

func (r *region) pass(d time.Duration) {
	r.now = r.now.Add(d)
	r.check()
}

// check holds the bound against what users were told.
func (r *region) check() {
	if !r.bound.MayRenew(r.clock(0)) {
		return
	}
	for id, at := range r.told {
		if !r.known[id] && r.now.Sub(at) > span {
			r.t.Fatalf("leases are renewed %v after a user was told of %s, which the leader does not know", r.now.Sub(at), id)
		}
	}
}

// watch is an answer of the store: all that it had when it was asked, and for a while after.
func (r *region) watch(took time.Duration) {
	asked, had := r.clock(0), len(r.stored)
	if rapid.Bool().Draw(r.t, "meanwhile") {
		r.pass(took / 2)
		r.event(true)
	}
	r.pass(took / 2)
	for _, id := range r.stored[:had] {
		r.known[id] = true
	}
	if r.wrong == storedCount {
		asked = r.clock(0)
	}
	r.bound.NoteContact(asked)
}

// ask is one round of questions.
func (r *region) ask() {
	asked, back := r.clock(0), r.bound.InquirySpan(r.clock(0), timeout)
	all, began := true, r.now
	var words []PeerAnswer
	for i := 1; i < len(r.logs); i++ {
		if rapid.IntRange(0, 5).Draw(r.t, "lost") == 0 {
			all = false
			continue
		}
		r.pass(time.Duration(rapid.IntRange(0, 900).Draw(r.t, "way")) * time.Millisecond)
		w := r.logs[i].Confirmed(back, r.clock(i))
		word := PeerAnswer{Confirmed: &w, QuietFor: r.logs[i].QuietFor(r.clock(i))}
		if rapid.IntRange(0, 9).Draw(r.t, "plain") == 0 {
			word.Confirmed = nil // of an earlier version
		}
		r.answer(&word, back)
		words = append(words, word)
		for range rapid.IntRange(0, 2).Draw(r.t, "meanwhile") {
			r.event(true)
		}
	}
	if r.wrong == oldAnswer && r.before != nil {
		words, r.before = r.before, words
	} else {
		r.before = words
	}
	if r.wrong != ownLeftOut {
		own := r.logs[0].Confirmed(back, r.clock(0))
		words = append(words, PeerAnswer{Confirmed: &own, QuietFor: r.logs[0].QuietFor(r.clock(0))})
	}
	if r.now.Sub(began) > timeout {
		return // it was given up
	}
	ids, ok := r.bound.Covers(words, r.clock(0))
	if r.wrong == anyAnswers {
		all = true
	}
	if !ok || !all {
		return
	}
	if r.wrong != ignored {
		for _, id := range ids {
			r.known[id] = true
		}
	}
	if r.wrong == fromAnswer {
		asked = r.clock(0)
	}
	r.bound.NoteContact(asked)
	r.check()
}

// answer spoils a word where that is the mistake.
func (r *region) answer(w *PeerAnswer, back time.Duration) {
	far := (time.Hour).Milliseconds()
	switch {
	case w.Confirmed == nil && r.wrong == quietStart:
		w.QuietFor = time.Hour
	case w.Confirmed == nil:
	case r.wrong == unreached:
		w.Confirmed.SpanMS = far
	case r.wrong == shortened:
		w.Confirmed.IDs, w.Confirmed.SpanMS = w.Confirmed.IDs[:min(len(w.Confirmed.IDs), 1)], back.Milliseconds()
	case r.wrong == sinceAsked:
		w.Confirmed.IDs, w.Confirmed.SpanMS = nil, back.Milliseconds()
	}
}

// event is anything but a round; some cannot come in the midst of one.
func (r *region) event(inRound bool) {
	i := rapid.IntRange(0, len(r.logs)-1).Draw(r.t, "who")
	switch rapid.IntRange(0, 4).Draw(r.t, "event") {
	case 0: // a cancellation is stored, to be told at once, later or by another
		id := fmt.Sprint("j-", len(r.stored)+1)
		r.stored = append(r.stored, id)
		if rapid.Bool().Draw(r.t, "at once") {
			r.tell(i, id)
		} else {
			r.telling[id] = i
		}
	case 1:
		for id, by := range r.telling {
			if rapid.Bool().Draw(r.t, "by another") {
				by = i // a poll, or a repeat
			}
			delete(r.telling, id)
			r.tell(by, id)
			break
		}
	case 2: // a process starts anew; the leader's own would be another leader
		if i > 0 {
			old := r.logs[i]
			if r.logs[i] = NewLog(r.clock(i)); r.wrong == keptReach {
				r.logs[i].from, r.logs[i].last = old.from, old.last
			}
		}
	case 3:
		if len(r.stored) > 0 { // once more, by anybody
			id := r.stored[rapid.IntRange(0, len(r.stored)-1).Draw(r.t, "again")]
			delete(r.telling, id)
			r.tell(i, id)
		}
	case 4:
		if !inRound {
			r.pass(time.Duration(rapid.IntRange(0, 4000).Draw(r.t, "for")) * time.Millisecond)
		}
	}
}

func play(t *rapid.T, wrong mistake) {
	r := &region{
		t: t, wrong: wrong, now: time.Unix(1_000_000, 0), bound: NewRenewalBound(cancelS, leaseS),
		telling: map[string]int{}, told: map[string]time.Time{}, known: map[string]bool{},
	}
	if wrong == wideBound {
		r.bound.span = cancelS
	}
	for range rapid.IntRange(2, 4).Draw(t, "controllers") {
		r.clocks = append(r.clocks, 1+float64(rapid.IntRange(0, 5).Draw(t, "pace"))/10_000)
		r.logs = append(r.logs, NewLog(r.now))
	}
	dark := false // the store answers the leader no more
	for range rapid.IntRange(20, 90).Draw(t, "events") {
		switch n := rapid.IntRange(0, 9).Draw(t, "next"); {
		case n < 3 && !dark:
			r.watch(time.Duration(rapid.IntRange(0, 8000).Draw(t, "took")) * time.Millisecond)
			dark = rapid.IntRange(0, 4).Draw(t, "dark") == 0
		case n < 5 && dark:
			r.ask()
		case n == 9 && rapid.IntRange(0, 9).Draw(t, "light") == 0:
			dark = false
		default:
			r.event(false)
			r.pass(time.Duration(rapid.IntRange(0, 2000).Draw(t, "then")) * time.Millisecond)
		}
		r.check()
	}
}

// Whatever is stored, told, told late, by others or again, by controllers that restart, answer
// late or are of an earlier version: no lease is renewed beyond the bound of a cancellation that
// the leader does not know.
func TestBound(t *testing.T) { rapid.Check(t, func(t *rapid.T) { play(t, none) }) }

// Each mistake is found: the property can fail.
func TestBoundFindsMistakes(t *testing.T) {
	old := flag.Lookup("rapid.checks").Value.String()
	if err := flag.Set("rapid.checks", "20000"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = flag.Set("rapid.checks", old) }()
	for _, m := range []mistake{
		anyAnswers, unreached, fromAnswer, toldFirst, keptReach, shortened, sinceAsked, ownLeftOut, ignored, oldAnswer, quietStart, storedCount, wideBound,
	} {
		failed := false
		rapid.Check(&quiet{failed: &failed}, func(t *rapid.T) { play(t, m) })
		if !failed {
			t.Errorf("not found: %s", m)
		}
	}
}

// quiet takes a property's failure for what it is asked about.
type quiet struct {
	testing.TB
	failed *bool
}

func (q *quiet) Helper()               {}
func (q *quiet) Name() string          { return "mistake" }
func (q *quiet) Logf(string, ...any)   {}
func (q *quiet) Log(...any)            {}
func (q *quiet) Skipf(string, ...any)  {}
func (q *quiet) Skip(...any)           {}
func (q *quiet) SkipNow()              {}
func (q *quiet) Errorf(string, ...any) { *q.failed = true }
func (q *quiet) Error(...any)          { *q.failed = true }
func (q *quiet) Fatalf(string, ...any) { *q.failed = true }
func (q *quiet) Fatal(...any)          { *q.failed = true }
func (q *quiet) FailNow()              { *q.failed = true }
func (q *quiet) Fail()                 { *q.failed = true }
func (q *quiet) Failed() bool          { return *q.failed }

// Words that make no sense are none, and a list beyond its bound says less.
func TestWords(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var many []string
	for n := range mostTold + 1 {
		many = append(many, fmt.Sprint("j-", n))
	}
	b := NewRenewalBound(cancelS, leaseS)
	b.NoteContact(now.Add(-time.Second))
	for _, x := range []struct {
		told ConfirmedList
		says string
	}{
		{ConfirmedList{SpanMS: 5000, IDs: []string{"j-1"}}, ""},
		{ConfirmedList{SpanMS: 900}, ""},
		{ConfirmedList{SpanMS: -1}, "told.reach_ms: -1"},
		{ConfirmedList{SpanMS: 1 << 60}, "told.reach_ms"},
		{ConfirmedList{SpanMS: 5000, IDs: []string{"j-1", "no job"}}, `told.ids: "no job"`},
		{ConfirmedList{SpanMS: 5000, IDs: many}, "told.ids: 1025"},
		{ConfirmedList{SpanMS: 5000, IDs: slices.Repeat([]string{"j-" + strings.Repeat("1", 100)}, 300)}, "told.ids: 300"},
	} {
		err := x.told.Check()
		if (err == nil) != (x.says == "") || err != nil && !strings.Contains(err.Error(), x.says) {
			t.Errorf("%d ids, %d ms: %v, want %q", len(x.told.IDs), x.told.SpanMS, err, x.says)
		}
		ids, ok := b.Covers([]PeerAnswer{{Confirmed: &x.told}}, now)
		if want := err == nil && x.told.SpanMS >= 1001; ok != want || !ok && ids != nil {
			t.Errorf("%+v covers %v, with %d ids", x.told.SpanMS, ok, len(ids))
		}
	}
	// A log that has told more than it may list, or keep, says how far back it is whole.
	l := NewLog(now.Add(-time.Hour))
	for n := range mostKept + 10 {
		l.Add(fmt.Sprint("j-", n), now.Add(time.Duration(n-mostKept-10)*time.Second/100))
	}
	w := l.Confirmed(time.Hour, now)
	if err := w.Check(); err != nil || len(w.IDs) != mostTold || w.SpanMS > 10_249 || w.SpanMS < 10_240 {
		t.Errorf("%d ids, complete for %d ms, %v", len(w.IDs), w.SpanMS, err)
	}
	if w := l.Confirmed(time.Second, now); len(w.IDs) > 101 || w.SpanMS != 1000 {
		t.Errorf("%d ids, complete for %d ms", len(w.IDs), w.SpanMS)
	}
}
