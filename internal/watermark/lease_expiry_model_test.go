package watermark

import (
	"fmt"
	"testing"
	"time"
)

// The lapse of leases as a model, over every order of events at a small size: three
// controllers, up to three terms, a machine, ages in ticks instead of times. A controller
// goes on believing that it leads until it hears otherwise; whoever believes it may answer
// the worker, and answers may arrive a tick late; only who holds the key sends a run along,
// and only when the worker has shown its term. What decides is the package's own code. When
// a leader takes the machine's lease for ended, nothing may be on it from then on, until the
// worker has shown its term.
type lapsing struct {
	top     int8         // the latest term
	holder  [4]int8      // by term
	leads   [3]int8      // the term that each believes to have; 0: none
	renewed [3]int8      // age of what each last noted
	began   int8         // age of the latest term
	settled int8         // the latest term that is told to be settled
	baton   int8         // what the worker has shown
	lease   int8         // age of the last answered report, by when it was sent
	on      bool         // a task is on the machine
	lapsed  int8         // the term whose leader took its lease for ended
	answer  lapsingReply // one on its way
}

type lapsingReply struct {
	from, term, age int8
	run, sent       bool
}

const (
	leaseTicks = 2 // a lease has ended at an age above
	oldest     = leaseTicks + 2
)

type lapseMistake struct{ noHolder, noReigns, unheard, lateNote, short, noOwn bool }

func older(age int8) int8 { return min(age+1, oldest) }

// next lists what may happen, and says whether the rule is broken here.
func (s lapsing) next(m lapseMistake) (all []lapsing, broken bool) {
	add := func(f func(*lapsing)) { n := s; f(&n); all = append(all, n) }
	if s.answer.age == 0 || !s.answer.sent {
		add(func(n *lapsing) { // time goes by
			for i := range n.renewed {
				n.renewed[i] = older(n.renewed[i])
			}
			n.began, n.lease = older(n.began), older(n.lease)
			if n.answer.sent {
				n.answer.age++
			}
			if n.lease > leaseTicks {
				n.on = false
			}
		})
	}
	for x := range s.leads {
		t := s.leads[x]
		if t > 0 && !s.answer.sent {
			// The worker's report comes here and is answered.
			add(func(n *lapsing) {
				n.answer = lapsingReply{from: int8(x), term: t, sent: true, run: t == s.top && s.baton == t}
				if !m.lateNote {
					n.renewed[x] = 0
				}
			})
		}
		if t > 0 && t < s.top {
			add(func(n *lapsing) { n.leads[x] = 0 }) // it hears that another leads
		}
		add(func(n *lapsing) { n.leads[x], n.renewed[x] = 0, 0 }) // it ends, and starts
		if int(s.top) < len(s.holder)-1 {
			add(func(n *lapsing) {
				n.top++
				n.holder[n.top], n.leads[x], n.began = int8(x), n.top, 0
			})
		}
	}
	if s.answer.sent {
		add(func(n *lapsing) { n.answer = lapsingReply{} }) // it is lost
		add(func(n *lapsing) {
			a := n.answer
			n.answer = lapsingReply{}
			if m.lateNote {
				n.renewed[a.from] = 0
			}
			if a.term >= n.baton {
				n.baton, n.lease = a.term, min(n.lease, a.age)
				n.on = n.on || a.run
			}
		})
	}
	h := s.holder[s.top]
	if s.leads[h] != s.top {
		return all, false
	}
	if s.baton == s.top || m.unheard {
		add(func(n *lapsing) { n.settled = n.top })
	}
	last := Attestation{Term: uint64(s.settled), Reconciled: s.settled > 0, Node: fmt.Sprint(s.holder[s.settled])}
	var reigns []LeaderChange
	for t := s.settled + 1; t <= s.top; t++ {
		if t == s.top || !m.noReigns {
			reigns = append(reigns, LeaderChange{Term: uint64(t), Node: fmt.Sprint(s.holder[t])})
		}
	}
	since := map[string]time.Duration{}
	for x := range s.renewed {
		since[fmt.Sprint(x)] = time.Duration(s.renewed[x])
	}
	since[fmt.Sprint(h)] = time.Duration(s.began)
	holders, ok := PossibleRenewers(last, reigns, uint64(s.top))
	if m.noHolder && ok {
		holders = holders[:0]
		for _, r := range reigns {
			holders = append(holders, r.Node)
		}
	}
	if m.noOwn {
		since[fmt.Sprint(h)] = oldest
	}
	lease := time.Duration(leaseTicks + 1)
	if m.short {
		lease--
	}
	if s.baton < s.top && ok && LeasesExpired(holders, since, lease) {
		add(func(n *lapsing) { n.lapsed = n.top })
	}
	return all, s.lapsed == s.top && s.baton < s.top && s.on
}

// explore looks at up to most states, the nearest first, and says whether one breaks the
// rule.
func (m lapseMistake) explore(most int) (seen int, broken bool) {
	start := lapsing{top: 1, leads: [3]int8{1, 0, 0}, settled: 1, baton: 1}
	known := map[lapsing]struct{}{start: {}}
	queue := []lapsing{start}
	for i := 0; i < len(queue) && i < most; i++ {
		next, bad := queue[i].next(m)
		if bad {
			return i, true
		}
		for _, n := range next {
			if _, ok := known[n]; !ok {
				known[n] = struct{}{}
				queue = append(queue, n)
			}
		}
	}
	return min(len(queue), most), false
}

func TestLapseModel(t *testing.T) {
	most := 2 * *mostStates // the last of the mistakes is far out
	seen, broken := lapseMistake{}.explore(most)
	t.Logf("%d states", seen)
	if broken {
		t.Error("a lease is taken for ended with a task on the machine")
	}
	for name, m := range map[string]lapseMistake{
		"the holder of the settled term is left out": {noHolder: true},
		"those who led since are left out":           {noReigns: true},
		"a term is called settled unheard":           {unheard: true},
		"an answer is noted when it arrives":         {lateNote: true},
		"a lease is a tick too short":                {short: true},
		"one's own earlier term is forgotten":        {noOwn: true},
	} {
		if seen, broken := m.explore(most); !broken {
			t.Errorf("%s: not found in %d states", name, seen)
		}
	}
}
