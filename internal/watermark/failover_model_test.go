package watermark

import (
	"flag"
	"fmt"
	"math/bits"
	"testing"
	"time"
)

// failoverModel is a model of the rules of a failover, checked over every order of events at
// a small size: three controllers, of which one may be of a version without watermarks, two
// machines, of which the second may stay unheard, and a task that may end early and be
// dispatched again. Controllers restart, leases expire under their holders, the store goes
// away, and a message between controllers is delayed. What decides is the package's own
// code. The task must never be dispatched while it is on a machine.
//
// What makes no difference is one step: a watermark is stored and its task dispatched, a
// process ends and starts (a new leader may ask nobody, which is as if all others were
// down), and a leader hears from the first machine as it begins.
type failoverModel struct {
	storeDown    bool
	keyHolder    int8 // the controller that holds the leader's key, or none
	term         int8
	leaders      [maxTerm + 1]leaderKind // by term
	watermark    bool                    // the task's watermark is stored
	attestation  storedRecord
	controllers  [3]controller
	taskOn       int8               // the machine that has the task, or none
	fencingToken [2]int8            // by machine, the latest that it has seen
	delayed      delayedAttestation // a message that is held up on its way
	budget       eventBudget
}

// eventBudget is how often each rare event may still come.
type eventBudget struct {
	restarts, taskEnds, outages, terms int8
}

// none stands for no controller or no machine.
const none int8 = -1

// maxTerm is how many terms a model has at the most.
const maxTerm = 3

type leaderKind int8

const (
	noLeader leaderKind = iota
	keepsWatermarks
	withoutWatermarks
)

// storedRecord is the StoredAttestation in the store.
type storedRecord struct {
	term, node int8
	withinSpan bool // its span is not over
}

type delayedAttestation struct {
	to        int8 // the controller, or none
	term, seq int8
	used      bool // at most one message is delayed
}

// controller is a process of a controller.
type controller struct {
	withoutWatermarks bool // its version knows of none
	started           startTime
	// What it remembers as an observer.
	heardTerm, heardSeq int8
	heardComplete       bool
	minTerm             int8
	leading             leadership
}

// startTime is when a process started, by the last stored attestation of its own node.
type startTime int8

const (
	afterSpan startTime = iota
	withinSpan
	beforeAttestation
)

// leadership is what a leader knows, and forgets with its term.
type leadership struct {
	term, seq           int8
	attestedComplete    bool  // its last attestation
	watermarksComplete  bool  // all that was dispatched is below watermarks, as far as it can know
	relaxing            bool  // it asks the others to hear that this ends, and the store does not answer them
	relaxed             bool  // they have heard it, and let it go on
	acknowledged        uint8 // who has heard it, a bit by controller
	restarted           uint8 // who has restarted since it began to ask, a bit by controller
	watermark           bool  // as it knows it
	taskLocationUnknown bool  // the task may be on a machine that it has not heard from
	heardSecond         bool  // it has heard from the second machine
	taskOn              int8  // the machine that it knows to have the task, or none
}

// failoverMutant is a mistake in how the package's code is used, which the model has to find.
type failoverMutant string

const (
	noFailoverMutant      failoverMutant = ""
	dispatchUncovered     failoverMutant = "a task is dispatched without its watermark"
	ignoreLaterLeaders    failoverMutant = "it is not asked who led since"
	attestTooEarly        failoverMutant = "watermarks are attested complete too soon"
	acceptLateAttestation failoverMutant = "a late attestation is taken in"
	oneAcknowledgement    failoverMutant = "one acknowledgement is enough"
	ignoreMinTerm         failoverMutant = "earlier terms are not barred at an observer"
	countRestarted        failoverMutant = "one that has just started may acknowledge"
	relaxWithinSpan       failoverMutant = "a stored attestation is broken within its span"
	trustOldRecord        failoverMutant = "an old stored attestation is believed"
	trustOwnRecord        failoverMutant = "a process believes its own stored attestation"
)

func (c *controller) observer() *Observer {
	latest := Attestation{
		Term: uint64(c.heardTerm), Seq: uint64(c.heardSeq), Complete: c.heardComplete, Revision: uint64(c.heardTerm),
	}
	return &Observer{latest: latest, minTerm: uint64(c.minTerm)}
}

// observe has a controller take in an attestation and returns what it remembers then.
func (c *controller) observe(a Attestation, mistake failoverMutant) Attestation {
	o := c.observer()
	switch mistake {
	case acceptLateAttestation:
		if a.Seq > 0 && a.Term >= o.minTerm {
			o.latest = a
		}
	case ignoreMinTerm:
		o.minTerm = 0
		o.Observe(a)
	default:
		o.Observe(a)
	}
	c.heardTerm, c.heardSeq, c.heardComplete = int8(o.latest.Term), int8(o.latest.Seq), o.latest.Complete
	c.minTerm = int8(o.minTerm)
	return o.latest
}

// holdsKey reports whether a controller leads the latest term and holds the leader's key.
func (m *failoverModel) holdsKey(i int) bool {
	return m.keyHolder == int8(i) && m.controllers[i].leading.term == m.term
}

// changesSince lists who took the leader's key after a term.
func (m *failoverModel) changesSince(since int8, mistake failoverMutant) (changes []LeaderChange) {
	for term := since + 1; term <= m.term; term++ {
		if kind := m.leaders[term]; kind != noLeader {
			keeps := kind == keepsWatermarks || mistake == ignoreLaterLeaders
			changes = append(changes, LeaderChange{Term: uint64(term), KeepsWatermarks: keeps})
		}
	}
	return changes
}

// trustsWatermarks is what a new leader decides about the watermarks, having reached the others or not.
func (m *failoverModel) trustsWatermarks(i int, reached bool, mistake failoverMutant) bool {
	var remembered []Attestation
	for k := range m.controllers {
		c := &m.controllers[k]
		if k == i || reached && !c.withoutWatermarks {
			remembered = append(remembered, c.observe(Attestation{Term: uint64(m.term)}, mistake))
		}
	}
	if latest, ok := LatestComplete(remembered); ok {
		return Trusted(latest, m.changesSince(int8(latest.Term), mistake), uint64(m.term))
	}
	const span, bound = 2 * time.Second, time.Second / 10
	sent := time.Unix(1000, 0)
	sinceSent := map[startTime]time.Duration{afterSpan: time.Hour, withinSpan: time.Second, beforeAttestation: -time.Second}
	start := m.controllers[i].started
	if mistake == trustOldRecord && start == afterSpan || mistake == trustOwnRecord && start == beforeAttestation {
		start = withinSpan
	}
	stored := StoredAttestation{Term: uint64(m.attestation.term), Node: fmt.Sprint(m.attestation.node), AtMS: sent.UnixMilli()}
	if !stored.StillHolds(fmt.Sprint(i), sent.Add(sinceSent[start]), span, bound) {
		return false
	}
	changes := m.changesSince(m.attestation.term, mistake)
	return len(changes) == 1 && changes[0].Term == uint64(m.term)
}

// visitSuccessors calls visit for every state that one event leads to. It returns what is broken.
func (m *failoverModel) visitSuccessors(mistake failoverMutant, visit func(failoverModel)) (broken string) {
	do := func(change func(n *failoverModel)) {
		following := *m
		change(&following)
		visit(following)
	}
	for i := range m.controllers {
		c := m.controllers[i]
		if m.budget.restarts > 0 {
			do(func(n *failoverModel) { n.restart(i) })
		}
		if c.leading.term == 0 {
			m.electionEvents(i, mistake, do)
			continue
		}
		if m.holdsKey(i) && !m.storeDown {
			// Its lease expires.
			do(func(n *failoverModel) {
				n.keyHolder = none
				n.endTerm(i)
			})
		}
		if c.leading.relaxed || c.leading.relaxing {
			// The others do not let it go on any longer.
			do(func(n *failoverModel) {
				l := &n.controllers[i].leading
				l.relaxed, l.relaxing = false, false
				l.acknowledged, l.restarted = 0, 0
				n.endTerm(i)
			})
		}
		if broken := m.machineEvents(i, mistake, do); broken != "" {
			return broken
		}
		if !c.withoutWatermarks {
			m.attestationEvents(i, mistake, do)
			m.watermarkEvents(i, do)
			m.relaxationEvents(i, mistake, do)
		}
	}
	m.environmentEvents(mistake, do)
	return ""
}

// restart ends a controller's process and starts another.
func (m *failoverModel) restart(i int) {
	m.budget.restarts--
	for k := range m.controllers {
		if l := &m.controllers[k].leading; l.relaxing {
			l.restarted |= 1 << i
		}
	}
	m.controllers[i] = controller{withoutWatermarks: m.controllers[i].withoutWatermarks}
	if m.attestation.withinSpan && m.attestation.node == int8(i) {
		m.controllers[i].started = withinSpan
	}
	if m.delayed.to == int8(i) {
		m.delayed.to = none // it was for the process that has ended
	}
}

// electionEvents are the elections that a controller may win.
func (m *failoverModel) electionEvents(i int, mistake failoverMutant, do func(func(*failoverModel))) {
	// An earlier process of its node holds the key, or nobody does.
	free := m.keyHolder == none || m.keyHolder == int8(i)
	// The first two controllers are alike: of them, the first leads first.
	inOrder := m.term > 0 || i != 1
	if m.storeDown || m.budget.terms == 0 || !free || !inOrder {
		return
	}
	for _, reached := range []bool{false, true} {
		do(func(n *failoverModel) { n.elect(i, reached, mistake) })
	}
}

// endTerm lets a leader forget its term, unless others let it go on a while longer.
func (m *failoverModel) endTerm(i int) {
	if l := &m.controllers[i].leading; !m.holdsKey(i) && !l.relaxed && !l.relaxing {
		*l = leadership{}
	}
}

func (m *failoverModel) elect(i int, reached bool, mistake failoverMutant) {
	c := &m.controllers[i]
	m.term++
	m.budget.terms--
	m.keyHolder = int8(i)
	m.leaders[m.term] = keepsWatermarks
	if c.withoutWatermarks {
		m.leaders[m.term] = withoutWatermarks
	}
	c.leading = leadership{term: m.term, taskOn: none, taskLocationUnknown: true, watermark: m.watermark}
	if !c.withoutWatermarks && m.trustsWatermarks(i, reached, mistake) {
		c.leading.watermarksComplete = true
		c.leading.taskLocationUnknown = m.watermark
	}
	m.heartbeat(i, 0)
}

// heartbeat lets a leader hear from a machine, which obeys no earlier one from then on.
func (m *failoverModel) heartbeat(i int, machine int8) {
	l := &m.controllers[i].leading
	m.fencingToken[machine] = l.term
	switch {
	case m.taskOn == machine:
		l.taskOn = machine
		l.taskLocationUnknown = false
	case l.taskOn == machine:
		l.taskOn = none
	}
	if machine == 1 {
		l.heardSecond = true
		l.taskLocationUnknown = false
		// What is there has to be below its watermark before the watermarks are sound.
		l.watermarksComplete = l.watermarksComplete || l.taskOn == none || l.watermark
	}
}

// machineEvents is what a leader does with machines. It returns what is broken.
func (m *failoverModel) machineEvents(i int, mistake failoverMutant, do func(func(*failoverModel))) (broken string) {
	c := &m.controllers[i]
	for machine := range int8(2) {
		if !m.holdsKey(i) && !c.leading.relaxed || m.fencingToken[machine] > c.leading.term {
			continue
		}
		do(func(n *failoverModel) { n.heartbeat(i, machine) })
		storing := m.holdsKey(i) && !m.storeDown
		covered := c.withoutWatermarks || storing || c.leading.watermark || c.leading.relaxed || mistake == dispatchUncovered
		if c.leading.taskOn != none || c.leading.taskLocationUnknown || !covered || machine == 1 && !c.leading.heardSecond {
			continue
		}
		if m.taskOn != none {
			return fmt.Sprintf("node %d in term %d dispatches to machine %d what is on machine %d", i, c.leading.term, machine, m.taskOn)
		}
		do(func(n *failoverModel) {
			n.taskOn = machine
			n.controllers[i].leading.taskOn = machine
			if storing && !c.withoutWatermarks && mistake != dispatchUncovered {
				n.storeWatermark(i)
			}
		})
	}
	return ""
}

func (m *failoverModel) storeWatermark(i int) {
	m.watermark = true
	m.controllers[i].leading.watermark = true
}

// attest returns a leader's attestation that its watermarks are complete or relaxed.
func (m *failoverModel) attest(i int, complete bool, mistake failoverMutant) Attestation {
	l := &m.controllers[i].leading
	if l.attestedComplete != complete || l.seq == 0 {
		l.attestedComplete = complete
		l.seq++
		l.acknowledged = 0
	}
	a := Attestation{Term: uint64(l.term), Seq: uint64(l.seq), Complete: complete, Revision: uint64(l.term)}
	m.controllers[i].observe(a, mistake)
	return a
}

// storesWatermarks reports whether a leader stores watermarks: it is neither cut off from the store nor
// relaxed, nor about to be.
func (m *failoverModel) storesWatermarks(i int) bool {
	l := &m.controllers[i].leading
	return m.holdsKey(i) && !m.storeDown && !l.relaxed && !l.relaxing
}

// covered reports whether the task, if a leader knows where it is, is below its watermark.
func (l *leadership) covered() bool { return l.taskOn == none || l.watermark }

// attestationEvents is what a leader says of complete watermarks, to others and in the store.
func (m *failoverModel) attestationEvents(i int, mistake failoverMutant, do func(func(*failoverModel))) {
	l := m.controllers[i].leading
	if !m.storesWatermarks(i) || !l.covered() || !l.watermarksComplete && mistake != attestTooEarly {
		return
	}
	for k := range m.controllers {
		if k == i || m.controllers[k].withoutWatermarks {
			continue
		}
		do(func(n *failoverModel) { n.controllers[k].observe(n.attest(i, true, mistake), mistake) })
		if !m.delayed.used {
			do(func(n *failoverModel) {
				a := n.attest(i, true, mistake)
				n.delayed = delayedAttestation{to: int8(k), term: int8(a.Term), seq: int8(a.Seq), used: true}
			})
		}
	}
	if l.attestedComplete {
		do(func(n *failoverModel) {
			n.attestation = storedRecord{term: l.term, node: int8(i), withinSpan: true}
			n.controllers[i].started = beforeAttestation
		})
	}
}

// watermarkEvents is how a leader makes its watermarks sound again.
func (m *failoverModel) watermarkEvents(i int, do func(func(*failoverModel))) {
	l := m.controllers[i].leading
	if m.storesWatermarks(i) && !l.watermarksComplete && l.heardSecond && l.covered() {
		// What was dispatched while they were relaxed has its watermark.
		do(func(n *failoverModel) { n.controllers[i].leading.watermarksComplete = true })
	}
	if m.holdsKey(i) && !m.storeDown && !l.covered() {
		do(func(n *failoverModel) { n.storeWatermark(i) })
	}
}

// relaxationEvents is how a leader, in an outage of the store, asks the others to hear that its
// watermarks are relaxed.
func (m *failoverModel) relaxationEvents(i int, mistake failoverMutant, do func(func(*failoverModel))) {
	if !(m.storeDown && m.holdsKey(i)) && !m.controllers[i].leading.relaxing {
		return
	}
	for k := range m.controllers {
		if k != i {
			do(func(n *failoverModel) { n.requestRelaxation(i, k, mistake) })
		}
	}
}

func (m *failoverModel) requestRelaxation(i, other int, mistake failoverMutant) {
	a := m.attest(i, false, mistake)
	l := &m.controllers[i].leading
	l.relaxing = true
	restarted := l.restarted>>other&1 == 1 && mistake != countRestarted
	observed := a.ObservedBy(m.controllers[other].observe(a, mistake))
	if observed && !m.controllers[other].withoutWatermarks && !restarted {
		l.acknowledged |= 1 << other
	}
	acknowledgements := bits.OnesCount8(l.acknowledged)
	enough := acknowledgements == len(m.controllers)-1 || mistake == oneAcknowledgement && acknowledgements > 0
	bound := m.attestation.withinSpan && m.attestation.term == l.term && mistake != relaxWithinSpan
	if enough && !bound {
		l.relaxed = true
		l.watermarksComplete = false
	}
}

// environmentEvents is what happens by itself.
func (m *failoverModel) environmentEvents(mistake failoverMutant, do func(func(*failoverModel))) {
	if m.taskOn != none && m.budget.taskEnds > 0 {
		do(func(n *failoverModel) {
			n.taskOn = none
			n.budget.taskEnds--
		})
	}
	if m.budget.outages > 0 || m.storeDown {
		do(func(n *failoverModel) {
			n.storeDown = !n.storeDown
			if n.storeDown {
				n.budget.outages--
			}
		})
	}
	if m.attestation.withinSpan {
		do(func(n *failoverModel) { n.attestation.withinSpan = false })
	}
	// The key of a process that has ended ends with its lease.
	if m.keyHolder != none && !m.storeDown && !m.holdsKey(int(m.keyHolder)) {
		do(func(n *failoverModel) { n.keyHolder = none })
	}
	if delayed := m.delayed; delayed.to != none {
		do(func(n *failoverModel) {
			a := Attestation{Term: uint64(delayed.term), Seq: uint64(delayed.seq), Complete: true, Revision: uint64(delayed.term)}
			n.controllers[delayed.to].observe(a, mistake)
			n.delayed.to = none
		})
	}
}

// exploreFailovers looks at every state up to a number of them, the nearest first. It returns
// how many it has seen and what is broken.
func exploreFailovers(start failoverModel, mistake failoverMutant, maxStates int) (seen int, broken string) {
	known := map[failoverModel]struct{}{start: {}}
	queue := []failoverModel{start}
	for len(queue) > 0 && len(known) < maxStates && broken == "" {
		state := queue[0]
		queue = queue[1:]
		broken = state.visitSuccessors(mistake, func(following failoverModel) {
			if _, ok := known[following]; !ok {
				known[following] = struct{}{}
				queue = append(queue, following)
			}
		})
	}
	return len(known), broken
}

// modelConfig is how large a model may be, and where it begins: at nothing, or with a leader
// that has heard from both machines and attested to both others.
type modelConfig struct {
	withLeader     bool
	mixedVersions  bool // the third controller is of a version without watermarks
	delaysMessages bool
	events         eventBudget
}

func (s modelConfig) initialState() failoverModel {
	m := failoverModel{
		keyHolder: none,
		taskOn:    none,
		delayed:   delayedAttestation{to: none, used: !s.delaysMessages},
		budget:    s.events,
	}
	m.controllers[2].withoutWatermarks = s.mixedVersions
	if s.withLeader {
		m.elect(0, true, noFailoverMutant)
		m.heartbeat(0, 1)
		for i := range m.controllers {
			m.controllers[i].observe(Attestation{Term: 1, Seq: 1, Complete: true, Revision: 1}, noFailoverMutant)
		}
		m.controllers[0].leading.attestedComplete = true
		m.controllers[0].leading.seq = 1
	}
	return m
}

// maxModelStates bounds a model in CI; the nearest states come first. 20 million look at all
// of them.
var maxModelStates = flag.Int("states", 150_000, "how many states of the model to look at")

func TestTaskIsNeverDispatchedTwice(t *testing.T) {
	for _, size := range []modelConfig{
		{events: eventBudget{terms: 3, restarts: 1, taskEnds: 1}},
		{mixedVersions: true, events: eventBudget{terms: 3, restarts: 1, taskEnds: 1}},
		{withLeader: true, events: eventBudget{terms: 3, restarts: 2}},
		{withLeader: true, events: eventBudget{terms: 2, restarts: 1, outages: 1}},
		{withLeader: true, delaysMessages: true, events: eventBudget{terms: 2, restarts: 1, outages: 1}},
	} {
		seen, broken := exploreFailovers(size.initialState(), noFailoverMutant, *maxModelStates)
		t.Logf("%+v: %d states", size, seen)
		if broken != "" {
			t.Errorf("%+v: %s", size, broken)
		}
	}
}

// A model that finds nothing may check nothing: it has to find these mistakes.
func TestFailoverModelDetectsMutants(t *testing.T) {
	for _, x := range []struct {
		mistake failoverMutant
		size    modelConfig
	}{
		{dispatchUncovered, modelConfig{events: eventBudget{terms: 2}}},
		{ignoreLaterLeaders, modelConfig{mixedVersions: true, events: eventBudget{terms: 3}}},
		{attestTooEarly, modelConfig{mixedVersions: true, events: eventBudget{terms: 3}}},
		{acceptLateAttestation, modelConfig{withLeader: true, delaysMessages: true, events: eventBudget{terms: 2, outages: 1}}},
		{oneAcknowledgement, modelConfig{withLeader: true, events: eventBudget{terms: 2, outages: 1}}},
		{ignoreMinTerm, modelConfig{withLeader: true, events: eventBudget{terms: 2, restarts: 1, outages: 1}}},
		{countRestarted, modelConfig{withLeader: true, events: eventBudget{terms: 2, restarts: 1, outages: 1}}},
		{relaxWithinSpan, modelConfig{withLeader: true, events: eventBudget{terms: 2, restarts: 1, outages: 1}}},
		{trustOldRecord, modelConfig{withLeader: true, events: eventBudget{terms: 2, restarts: 1, outages: 1}}},
		{trustOwnRecord, modelConfig{withLeader: true, events: eventBudget{terms: 2, outages: 1}}},
	} {
		const maxStates = 400_000
		seen, broken := exploreFailovers(x.size.initialState(), x.mistake, maxStates)
		t.Logf("%s, at %d states: %s", x.mistake, seen, broken)
		if broken == "" {
			t.Errorf("not found: %s, in %d states", x.mistake, seen)
		}
	}
}
