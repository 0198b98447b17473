package watermark

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// The rules of a takeover as a model, checked over every order of events at a small size:
// three controllers, of which one may be of a version without marks, two machines, of
// which the second may stay unheard, and a task that may end early and be sent again.
// Controllers restart, grants end under their holders, the store goes away, and a word
// between controllers is held up. What decides is the package's own code. The task must
// never be sent while it is on a machine.
//
// What makes no difference is one step: a mark is stored and its task sent, a controller
// ends and starts (a new leader may ask nobody, which is as if all others were down), and
// a leader hears the first machine as it begins.
type model struct {
	out      bool // the store is away
	lead     int8 // who holds the key; -1: nobody
	term     int8
	reigns   [maxTerm + 1]int8 // by term: 0 none, 1 with marks, 2 without
	mark     bool              // stored
	rec      record
	ctl      [3]ctl
	on       int8 // where the task is; -1: nowhere
	baton    [2]int8
	held     letter // a word that is held up on its way
	restarts int8
	ends     int8
	outages  int8
	terms    int8 // how many more there may be
}

// maxTerm is how many terms a story has at the most.
const maxTerm = 3

type record struct {
	term, node int8
	fresh      bool // its span is not over
}

type letter struct {
	to        int8 // -1: none
	term, seq int8
	sent      bool // there is one in a story
}

type ctl struct {
	old   bool // a version without marks
	start int8 // after the last record of its own node: within its span, later, or before it
	// as a witness
	hTerm, hSeq int8
	hWhole      bool
	bar         int8
	lead        reign
}

const (
	later int8 = iota
	within
	before
)

// reign is what a leader knows, and forgets with its term.
type reign struct {
	term, seq int8
	whole     bool // its last word
	sound     bool // all that was sent is below marks, as far as it can know
	asks      bool // whether the others have heard that they are not, and the store does not answer them
	loose     bool // they have, and vouch for it
	acks      uint8
	young     uint8 // who has started since it began to ask
	mark      bool
	doubt     bool
	heard     bool // the second machine
	knows     int8 // where the task is
}

func (c *ctl) witness() *Observer {
	return &Observer{heard: Attestation{Term: uint64(c.hTerm), Seq: uint64(c.hSeq), Complete: c.hWhole, Revision: uint64(c.hTerm)}, bar: uint64(c.bar)}
}

func (c *ctl) hear(x Attestation, mistake string) Attestation {
	w := c.witness()
	switch mistake {
	case "a late word is taken in":
		if x.Seq > 0 && x.Term >= w.bar {
			w.heard = x
		}
	case "a witness is not barred":
		w.bar = 0
		w.Observe(x)
	default:
		w.Observe(x)
	}
	c.hTerm, c.hSeq, c.hWhole, c.bar = int8(w.heard.Term), int8(w.heard.Seq), w.heard.Complete, int8(w.bar)
	return w.heard
}

func (m *model) granted(i int) bool { return m.lead == int8(i) && m.ctl[i].lead.term == m.term }

// trusts is what a new leader decides about the marks, having reached some of the others.
func (m *model) trusts(i int, reached bool, mistake string) bool {
	var words []Attestation
	for k := range m.ctl {
		c := &m.ctl[k]
		if k == i || reached && !c.old {
			words = append(words, c.hear(Attestation{Term: uint64(m.term)}, mistake))
		}
	}
	reigns := func(since int8) (all []LeaderChange) {
		for t := since; t <= m.term; t++ {
			if m.reigns[t] > 0 && t > since {
				all = append(all, LeaderChange{Term: uint64(t), KeepsWatermarks: m.reigns[t] == 1 || mistake == "who led since is not asked"})
			}
		}
		return all
	}
	if best, ok := Latest(words); ok {
		return Trusted(best, reigns(int8(best.Term)), uint64(m.term))
	}
	at := time.Unix(1000, 0)
	started := at.Add(map[int8]time.Duration{later: time.Hour, within: time.Second, before: -time.Second}[m.ctl[i].start])
	if mistake == "an old record is believed" && m.ctl[i].start == later || mistake == "a process believes its own record" && m.ctl[i].start == before {
		started = at.Add(time.Second)
	}
	r := StoredAttestation{Term: uint64(m.rec.term), Node: fmt.Sprint(m.rec.node), AtMS: at.UnixMilli()}
	if !r.StillHolds(fmt.Sprint(i), started, 2*time.Second, time.Second/10) {
		return false
	}
	since := reigns(m.rec.term)
	return len(since) == 1 && since[0].Term == uint64(m.term)
}

// next calls each for every state that one event leads to. It returns what is broken.
func (m *model) next(mistake string, each func(model)) string {
	do := func(f func(n *model)) {
		n := *m
		f(&n)
		each(n)
	}
	for i := range m.ctl {
		c := m.ctl[i]
		if m.restarts > 0 {
			do(func(n *model) {
				n.restarts--
				for k := range n.ctl {
					if l := &n.ctl[k].lead; l.asks {
						l.young |= 1 << i
					}
				}
				n.ctl[i] = ctl{old: c.old}
				if m.rec.fresh && m.rec.node == int8(i) {
					n.ctl[i].start = within
				}
				if n.held.to == int8(i) {
					n.held.to = -1 // it was for the process that has ended
				}
			})
		}
		if c.lead.term == 0 {
			// Its node's earlier start held the key, or nobody does.
			// The first two are alike: of them, the first leads first.
			if !m.out && m.terms > 0 && (m.term > 0 || i != 1) && (m.lead == -1 || m.lead == int8(i)) {
				for _, reached := range []bool{false, true} {
					do(func(n *model) { n.elect(i, reached, mistake) })
				}
			}
			continue
		}
		if m.granted(i) && !m.out {
			do(func(n *model) { n.lead = -1; n.depose(i) }) // its grant ends
		}
		if c.lead.loose || c.lead.asks {
			do(func(n *model) {
				l := &n.ctl[i].lead
				l.loose, l.asks, l.acks, l.young = false, false, 0, 0
				n.depose(i)
			})
		}
		if bad := m.sends(i, mistake, do); bad != "" {
			return bad
		}
		if !c.old {
			m.speaks(i, mistake, do)
		}
	}
	m.outside(mistake, do)
	return ""
}

// depose lets a leader forget its term, unless others vouch for it a while longer.
func (m *model) depose(i int) {
	if l := &m.ctl[i].lead; !m.granted(i) && !l.loose && !l.asks {
		*l = reign{}
	}
}

func (m *model) elect(i int, reached bool, mistake string) {
	c := &m.ctl[i]
	m.term++
	m.terms--
	m.lead, m.reigns[m.term] = int8(i), 1
	if c.old {
		m.reigns[m.term] = 2
	}
	c.lead = reign{term: m.term, knows: -1, doubt: true, mark: m.mark}
	if !c.old && m.trusts(i, reached, mistake) {
		c.lead.sound, c.lead.doubt = true, m.mark
	}
	m.hear(i, 0)
}

// hear lets a leader hear a machine, which obeys no earlier one from then on.
func (m *model) hear(i int, b int8) {
	l := &m.ctl[i].lead
	m.baton[b] = l.term
	switch {
	case m.on == b:
		l.knows, l.doubt = b, false
	case l.knows == b:
		l.knows = -1
	}
	if b == 1 {
		l.heard, l.doubt = true, false
		// What is there is to be below its mark before the marks are called sound.
		l.sound = l.sound || l.knows < 0 || l.mark
	}
}

// sends is what a leader does to machines.
func (m *model) sends(i int, mistake string, do func(func(*model))) string {
	c := &m.ctl[i]
	for b := range int8(2) {
		if !m.granted(i) && !c.lead.loose || m.baton[b] > c.lead.term {
			continue
		}
		do(func(n *model) { n.hear(i, b) })
		stores := m.granted(i) && !m.out
		covered := c.old || stores || c.lead.mark || c.lead.loose || mistake == "a task is sent without its mark"
		if c.lead.knows >= 0 || c.lead.doubt || !covered || b == 1 && !c.lead.heard {
			continue
		}
		if m.on >= 0 {
			return fmt.Sprintf("node %d in term %d sends to machine %d what is on machine %d", i, c.lead.term, b, m.on)
		}
		do(func(n *model) {
			n.on, n.ctl[i].lead.knows = b, b
			if stores && !c.old && mistake != "a task is sent without its mark" {
				n.mark, n.ctl[i].lead.mark = true, true
			}
		})
	}
	return ""
}

// speaks is what a leader says of its marks, to others and in the store.
func (m *model) speaks(i int, mistake string, do func(func(*model))) {
	c := &m.ctl[i]
	others := func(f func(k int)) {
		for k := range m.ctl {
			if k != i {
				f(k)
			}
		}
	}
	say := func(n *model, whole bool) Attestation {
		l := &n.ctl[i].lead
		if l.whole != whole || l.seq == 0 {
			l.whole, l.seq, l.acks = whole, l.seq+1, 0
		}
		w := Attestation{Term: uint64(l.term), Seq: uint64(l.seq), Complete: whole, Revision: uint64(l.term)}
		n.ctl[i].hear(w, mistake)
		return w
	}
	below := c.lead.knows < 0 || c.lead.mark
	if m.granted(i) && !m.out && !c.lead.loose && !c.lead.asks && below && (c.lead.sound || mistake == "marks are called whole too soon") {
		others(func(k int) {
			if m.ctl[k].old {
				return
			}
			do(func(n *model) { w := say(n, true); n.ctl[k].hear(w, mistake) })
			if !m.held.sent {
				do(func(n *model) { w := say(n, true); n.held = letter{int8(k), int8(w.Term), int8(w.Seq), true} })
			}
		})
		if c.lead.whole {
			do(func(n *model) { n.rec, n.ctl[i].start = record{c.lead.term, int8(i), true}, before })
		}
	}
	if m.granted(i) && !m.out && !c.lead.loose && !c.lead.asks && !c.lead.sound && c.lead.heard && below {
		do(func(n *model) { n.ctl[i].lead.sound = true }) // what was sent while loose has its mark
	}
	if m.granted(i) && !m.out && !c.old && c.lead.knows >= 0 && !c.lead.mark {
		do(func(n *model) { n.mark, n.ctl[i].lead.mark = true, true })
	}
	// In an outage it asks the others to hear that the marks are loose.
	if m.out && m.granted(i) || c.lead.asks {
		others(func(k int) {
			do(func(n *model) {
				w, l := say(n, false), &n.ctl[i].lead
				l.asks = true
				young := l.young>>k&1 == 1 && mistake != "one that has just started is asked"
				if heard := w.ObservedBy(n.ctl[k].hear(w, mistake)); heard && !n.ctl[k].old && !young {
					l.acks |= 1 << k
				}
				all := l.acks == 7&^(1<<i) || mistake == "one that has heard is enough" && l.acks != 0
				if all && !(n.rec.fresh && n.rec.term == l.term && mistake != "a record is broken at once") {
					l.loose, l.sound = true, false
				}
			})
		})
	}
}

// outside is what happens by itself.
func (m *model) outside(mistake string, do func(func(*model))) {
	if m.on >= 0 && m.ends > 0 {
		do(func(n *model) { n.on = -1; n.ends-- })
	}
	if m.outages > 0 || m.out {
		do(func(n *model) {
			if n.out = !n.out; n.out {
				n.outages--
			}
		})
	}
	if m.rec.fresh {
		do(func(n *model) { n.rec.fresh = false })
	}
	// The key of a process that has ended ends with its grant.
	if m.lead >= 0 && !m.out && !m.granted(int(m.lead)) {
		do(func(n *model) { n.lead = -1 })
	}
	if h := m.held; h.to >= 0 {
		do(func(n *model) {
			n.ctl[h.to].hear(Attestation{Term: uint64(h.term), Seq: uint64(h.seq), Complete: true, Revision: uint64(h.term)}, mistake)
			n.held.to = -1
		})
	}
}

// explore looks at every state up to a number of them, the nearest first.
func explore(start model, mistake string, most int) (seen int, broken string) {
	all := map[model]struct{}{start: {}}
	queue := []model{start}
	for len(queue) > 0 && len(all) < most {
		m := queue[0]
		queue = queue[1:]
		if broken = m.next(mistake, func(n model) {
			if _, ok := all[n]; !ok {
				all[n] = struct{}{}
				queue = append(queue, n)
			}
		}); broken != "" {
			break
		}
	}
	return len(all), broken
}

// size is how large a story may be: how often each trouble comes, how many terms there
// are, and where it begins: at nothing, or with a leader that has heard both machines and
// told both others.
type size struct {
	led, old, holdsUp              bool
	terms, restarts, ends, outages int8
}

func (s size) start() model {
	m := model{lead: -1, held: letter{to: -1, sent: !s.holdsUp}, on: -1, restarts: s.restarts, ends: s.ends, outages: s.outages, terms: s.terms}
	m.ctl[2].old = s.old
	if s.led {
		m.elect(0, true, "")
		m.hear(0, 1)
		for i := range m.ctl {
			m.ctl[i].hear(Attestation{Term: 1, Seq: 1, Complete: true, Revision: 1}, "")
		}
		m.ctl[0].lead.whole, m.ctl[0].lead.seq = true, 1
	}
	return m
}

// mostStates bounds a story in CI; the nearest states come first. 20 million look at all
// of them.
var mostStates = flag.Int("states", 150_000, "how many states of the model to look at")

func TestModel(t *testing.T) {
	for _, s := range []size{
		{terms: 3, restarts: 1, ends: 1},            // from nothing
		{old: true, terms: 3, restarts: 1, ends: 1}, // an older version leads in between
		{led: true, terms: 3, restarts: 2},
		{led: true, terms: 2, restarts: 1, outages: 1},
		{led: true, holdsUp: true, terms: 2, restarts: 1, outages: 1},
	} {
		n, broken := explore(s.start(), "", *mostStates)
		t.Logf("%+v: %d states", s, n)
		if broken != "" {
			t.Errorf("%+v: %s", s, broken)
		}
	}
}

// A check that finds nothing may look at nothing: these mistakes it has to find.
func TestModelFindsMistakes(t *testing.T) {
	for _, x := range []struct {
		mistake string
		size    size
	}{
		{"a task is sent without its mark", size{terms: 2}},
		{"who led since is not asked", size{old: true, terms: 3}},
		{"marks are called whole too soon", size{old: true, terms: 3}},
		{"a late word is taken in", size{led: true, holdsUp: true, terms: 2, outages: 1}},
		{"one that has heard is enough", size{led: true, terms: 2, outages: 1}},
		{"a witness is not barred", size{led: true, terms: 2, restarts: 1, outages: 1}},
		{"one that has just started is asked", size{led: true, terms: 2, restarts: 1, outages: 1}},
		{"a record is broken at once", size{led: true, terms: 2, restarts: 1, outages: 1}},
		{"an old record is believed", size{led: true, terms: 2, restarts: 1, outages: 1}},
		{"a process believes its own record", size{led: true, terms: 2, outages: 1}},
	} {
		n, found := explore(x.size.start(), x.mistake, 400_000)
		if found == "" {
			t.Errorf("not found: %s, in %d states", x.mistake, n)
		} else {
			t.Logf("%s, at %d states: %s", x.mistake, n, found)
		}
	}
}
