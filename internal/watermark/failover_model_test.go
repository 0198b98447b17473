package watermark

import (
	"flag"
	"fmt"
	"math/bits"
	"testing"
	"time"
)

// failoverModel is a state of a model of failover, explored over every order of events at a small
// size: three controllers, one of which may be of a version without watermarks, two machines, the
// second of which may never send a heartbeat, and a task that may end early and be dispatched
// again. Controllers restart, leaders lose their leases, the store fails, and a message between
// controllers is delayed. The package's code makes the decisions. Invariant: the task is never
// dispatched while it is on a machine.
//
// Events are merged where a split makes no difference: a watermark is stored and its task
// dispatched, a process ends and starts (a new leader may reach no peer, as if all were down), and
// a leader receives the first machine's heartbeat as its term begins.
type failoverModel struct {
	storeDown    bool
	keyHolder    int8 // the controller that holds the leader key, or none
	term         int8
	leaders      [maxTerm + 1]leaderKind // by term
	watermark    bool                    // the task's watermark is stored
	attestation  storedRecord
	controllers  [3]controller
	taskOn       int8               // the machine that has the task, or none
	fencingToken [2]int8            // by machine, the highest that its worker has seen
	delayed      delayedAttestation // the delayed message, if any
	budget       eventBudget
}

// eventBudget is how often each rare event may still occur.
type eventBudget struct {
	restarts, taskEnds, outages, terms int8
}

// none means no controller or no machine.
const none int8 = -1

// maxTerm is the maximum number of terms in a model.
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
	withinSpan bool // its span has not ended
}

type delayedAttestation struct {
	to        int8 // the controller, or none
	term, seq int8
	used      bool // a message has been delayed, and no other will be
}

// controller is a controller's process.
type controller struct {
	withoutWatermarks bool // its version does not support watermarks
	started           startTime
	// The latest attestation that the controller's observer has recorded, and the lowest term that
	// the observer accepts.
	observedTerm, observedSeq int8
	observedComplete          bool
	minTerm                   int8
	leading                   leadership
}

// startTime is when a process started, relative to the last stored attestation of its own node.
type startTime int8

const (
	afterSpan startTime = iota
	withinSpan
	beforeAttestation
)

// leadership is a leader's in-memory state of its term.
type leadership struct {
	term, seq           int8
	attestedComplete    bool  // as last attested
	watermarksComplete  bool  // as far as the leader knows, all dispatched tasks are below watermarks
	relaxing            bool  // the leader has requested the relaxation in an outage of the store
	relaxed             bool  // all peers have acknowledged the relaxation, and the leader continues
	acknowledged        uint8 // bit set of the controllers that have acknowledged the relaxation
	restarted           uint8 // bit set of the controllers restarted since the first request for the relaxation
	watermark           bool  // the leader knows that the task's watermark is stored
	taskLocationUnknown bool  // the task may be on a machine without a heartbeat in this term
	secondReported      bool  // the second machine has sent a heartbeat in this term
	taskOn              int8  // the machine known to have the task, or none
}

// failoverMutant is a bug injected into the use of the package's code that the model check must
// detect.
type failoverMutant string

const (
	noFailoverMutant      failoverMutant = ""
	dispatchUncovered     failoverMutant = "a task is dispatched before its watermark is stored"
	ignoreLaterLeaders    failoverMutant = "the leaders since the attestation are not checked"
	attestTooEarly        failoverMutant = "watermarks are attested as complete too early"
	acceptLateAttestation failoverMutant = "an outdated attestation is recorded"
	oneAcknowledgement    failoverMutant = "one acknowledgement is enough"
	ignoreMinTerm         failoverMutant = "an observer does not reject earlier terms"
	countRestarted        failoverMutant = "the acknowledgement of a restarted controller counts"
	relaxWithinSpan       failoverMutant = "watermarks are relaxed within the span of a stored attestation"
	trustOldRecord        failoverMutant = "a stored attestation is trusted past its span"
	trustOwnRecord        failoverMutant = "a process trusts its own stored attestation"
)

// observer returns an Observer with the state that the controller has recorded.
func (c *controller) observer() *Observer {
	latest := Attestation{
		Term: uint64(c.observedTerm), Seq: uint64(c.observedSeq), Complete: c.observedComplete, Revision: uint64(c.observedTerm),
	}
	return &Observer{latest: latest, minTerm: uint64(c.minTerm)}
}

// observe makes a controller record an attestation and returns its latest one.
func (c *controller) observe(a Attestation, mutant failoverMutant) Attestation {
	o := c.observer()
	switch mutant {
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
	c.observedTerm, c.observedSeq, c.observedComplete = int8(o.latest.Term), int8(o.latest.Seq), o.latest.Complete
	c.minTerm = int8(o.minTerm)
	return o.latest
}

// holdsKey reports whether a controller leads the latest term and holds the leader key.
func (m *failoverModel) holdsKey(i int) bool {
	return m.keyHolder == int8(i) && m.controllers[i].leading.term == m.term
}

// changesSince returns the acquisitions of the leader key after a term.
func (m *failoverModel) changesSince(since int8, mutant failoverMutant) (changes []LeaderChange) {
	for term := since + 1; term <= m.term; term++ {
		if kind := m.leaders[term]; kind != noLeader {
			keeps := kind == keepsWatermarks || mutant == ignoreLaterLeaders
			changes = append(changes, LeaderChange{Term: uint64(term), KeepsWatermarks: keeps})
		}
	}
	return changes
}

// trustsWatermarks reports whether a new leader trusts the watermarks, with or without answers from
// its peers.
func (m *failoverModel) trustsWatermarks(i int, peersReached bool, mutant failoverMutant) bool {
	var attestations []Attestation
	for k := range m.controllers {
		c := &m.controllers[k]
		if k == i || peersReached && !c.withoutWatermarks {
			attestations = append(attestations, c.observe(Attestation{Term: uint64(m.term)}, mutant))
		}
	}
	if latest, ok := LatestComplete(attestations); ok {
		return Trusted(latest, m.changesSince(int8(latest.Term), mutant), uint64(m.term))
	}
	const span, maxClockError = 2 * time.Second, time.Second / 10
	writtenAt := time.Unix(1000, 0)
	startAfterWrite := map[startTime]time.Duration{afterSpan: time.Hour, withinSpan: time.Second, beforeAttestation: -time.Second}
	start := m.controllers[i].started
	if mutant == trustOldRecord && start == afterSpan || mutant == trustOwnRecord && start == beforeAttestation {
		start = withinSpan
	}
	stored := StoredAttestation{Term: uint64(m.attestation.term), Node: fmt.Sprint(m.attestation.node), AtMS: writtenAt.UnixMilli()}
	if !stored.StillHolds(fmt.Sprint(i), writtenAt.Add(startAfterWrite[start]), span, maxClockError) {
		return false
	}
	changes := m.changesSince(m.attestation.term, mutant)
	return len(changes) == 1 && changes[0].Term == uint64(m.term)
}

// visitSuccessors calls visit for every state that one event leads to. It returns a description of
// a violation of the invariant, or "".
func (m *failoverModel) visitSuccessors(mutant failoverMutant, visit func(failoverModel)) (violation string) {
	add := func(change func(n *failoverModel)) {
		successor := *m
		change(&successor)
		visit(successor)
	}
	for i := range m.controllers {
		c := m.controllers[i]
		if m.budget.restarts > 0 {
			add(func(n *failoverModel) { n.restart(i) })
		}
		if c.leading.term == 0 {
			m.electionEvents(i, mutant, add)
			continue
		}
		if m.holdsKey(i) && !m.storeDown {
			// The leader's lease on the key expires.
			add(func(n *failoverModel) {
				n.keyHolder = none
				n.endTerm(i)
			})
		}
		if c.leading.relaxed || c.leading.relaxing {
			// The peers' acknowledgements of the relaxation expire.
			add(func(n *failoverModel) {
				l := &n.controllers[i].leading
				l.relaxed, l.relaxing = false, false
				l.acknowledged, l.restarted = 0, 0
				n.endTerm(i)
			})
		}
		if violation := m.machineEvents(i, mutant, add); violation != "" {
			return violation
		}
		if !c.withoutWatermarks {
			m.attestationEvents(i, mutant, add)
			m.watermarkEvents(i, add)
			m.relaxationEvents(i, mutant, add)
		}
	}
	m.environmentEvents(mutant, add)
	return ""
}

// restart replaces a controller's process by a new one.
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
		m.delayed.to = none // it was sent to the previous process
	}
}

// electionEvents adds the states after an election that a controller may win.
func (m *failoverModel) electionEvents(i int, mutant failoverMutant, add func(func(*failoverModel))) {
	// The key is free, or held by an earlier process of the same node.
	free := m.keyHolder == none || m.keyHolder == int8(i)
	// The first two controllers are equivalent, so the second never wins the first election.
	inOrder := m.term > 0 || i != 1
	if m.storeDown || m.budget.terms == 0 || !free || !inOrder {
		return
	}
	for _, peersReached := range []bool{false, true} {
		add(func(n *failoverModel) { n.elect(i, peersReached, mutant) })
	}
}

// endTerm discards a leader's state, unless it may continue under relaxed watermarks.
func (m *failoverModel) endTerm(i int) {
	if l := &m.controllers[i].leading; !m.holdsKey(i) && !l.relaxed && !l.relaxing {
		*l = leadership{}
	}
}

// elect makes a controller the leader of a new term, with or without answers from its peers.
func (m *failoverModel) elect(i int, peersReached bool, mutant failoverMutant) {
	c := &m.controllers[i]
	m.term++
	m.budget.terms--
	m.keyHolder = int8(i)
	m.leaders[m.term] = keepsWatermarks
	if c.withoutWatermarks {
		m.leaders[m.term] = withoutWatermarks
	}
	c.leading = leadership{term: m.term, taskOn: none, taskLocationUnknown: true, watermark: m.watermark}
	if !c.withoutWatermarks && m.trustsWatermarks(i, peersReached, mutant) {
		c.leading.watermarksComplete = true
		c.leading.taskLocationUnknown = m.watermark
	}
	m.heartbeat(i, 0)
}

// heartbeat models a machine's heartbeat to a leader, after which the machine rejects earlier
// terms.
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
		l.secondReported = true
		l.taskLocationUnknown = false
		// A task on this machine has to be below its watermark before the watermarks are complete.
		l.watermarksComplete = l.watermarksComplete || l.taskOn == none || l.watermark
	}
}

// machineEvents adds the states after a heartbeat or a dispatch. It returns a description of a
// violation of the invariant, or "".
func (m *failoverModel) machineEvents(i int, mutant failoverMutant, add func(func(*failoverModel))) (violation string) {
	c := &m.controllers[i]
	for machine := range int8(2) {
		if !m.holdsKey(i) && !c.leading.relaxed || m.fencingToken[machine] > c.leading.term {
			continue
		}
		add(func(n *failoverModel) { n.heartbeat(i, machine) })
		storing := m.holdsKey(i) && !m.storeDown
		covered := c.withoutWatermarks || storing || c.leading.watermark || c.leading.relaxed || mutant == dispatchUncovered
		if c.leading.taskOn != none || c.leading.taskLocationUnknown || !covered || machine == 1 && !c.leading.secondReported {
			continue
		}
		if m.taskOn != none {
			return fmt.Sprintf("node %d in term %d dispatches to machine %d the task that is on machine %d", i, c.leading.term, machine, m.taskOn)
		}
		add(func(n *failoverModel) {
			n.taskOn = machine
			n.controllers[i].leading.taskOn = machine
			if storing && !c.withoutWatermarks && mutant != dispatchUncovered {
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

// attest returns a leader's attestation of complete or relaxed watermarks.
func (m *failoverModel) attest(i int, complete bool, mutant failoverMutant) Attestation {
	l := &m.controllers[i].leading
	if l.attestedComplete != complete || l.seq == 0 {
		l.attestedComplete = complete
		l.seq++
		l.acknowledged = 0
	}
	a := Attestation{Term: uint64(l.term), Seq: uint64(l.seq), Complete: complete, Revision: uint64(l.term)}
	m.controllers[i].observe(a, mutant)
	return a
}

// storesWatermarks reports whether a leader stores watermarks: it can reach the store, and its
// watermarks are neither relaxed nor about to be.
func (m *failoverModel) storesWatermarks(i int) bool {
	l := &m.controllers[i].leading
	return m.holdsKey(i) && !m.storeDown && !l.relaxed && !l.relaxing
}

// covered reports whether the task, if the leader knows its machine, is below its watermark.
func (l *leadership) covered() bool { return l.taskOn == none || l.watermark }

// attestationEvents adds the states after a leader attests complete watermarks, to a peer or in the
// store.
func (m *failoverModel) attestationEvents(i int, mutant failoverMutant, add func(func(*failoverModel))) {
	l := m.controllers[i].leading
	if !m.storesWatermarks(i) || !l.covered() || !l.watermarksComplete && mutant != attestTooEarly {
		return
	}
	for k := range m.controllers {
		if k == i || m.controllers[k].withoutWatermarks {
			continue
		}
		add(func(n *failoverModel) { n.controllers[k].observe(n.attest(i, true, mutant), mutant) })
		if !m.delayed.used {
			add(func(n *failoverModel) {
				a := n.attest(i, true, mutant)
				n.delayed = delayedAttestation{to: int8(k), term: int8(a.Term), seq: int8(a.Seq), used: true}
			})
		}
	}
	if l.attestedComplete {
		add(func(n *failoverModel) {
			n.attestation = storedRecord{term: l.term, node: int8(i), withinSpan: true}
			n.controllers[i].started = beforeAttestation
		})
	}
}

// watermarkEvents adds the states after a leader stores the task's watermark, or makes its
// watermarks complete again.
func (m *failoverModel) watermarkEvents(i int, add func(func(*failoverModel))) {
	l := m.controllers[i].leading
	if m.storesWatermarks(i) && !l.watermarksComplete && l.secondReported && l.covered() {
		// The task, if dispatched while they were relaxed, is now below its stored watermark.
		add(func(n *failoverModel) { n.controllers[i].leading.watermarksComplete = true })
	}
	if m.holdsKey(i) && !m.storeDown && !l.covered() {
		add(func(n *failoverModel) { n.storeWatermark(i) })
	}
}

// relaxationEvents adds the states after a leader, in an outage of the store, asks a peer to
// acknowledge that its watermarks are relaxed.
func (m *failoverModel) relaxationEvents(i int, mutant failoverMutant, add func(func(*failoverModel))) {
	if !(m.storeDown && m.holdsKey(i)) && !m.controllers[i].leading.relaxing {
		return
	}
	for k := range m.controllers {
		if k != i {
			add(func(n *failoverModel) { n.requestRelaxation(i, k, mutant) })
		}
	}
}

// requestRelaxation makes a leader ask another controller to acknowledge that its watermarks are
// relaxed, and relaxes them once all have acknowledged and no stored attestation of the term is
// within its span.
func (m *failoverModel) requestRelaxation(i, other int, mutant failoverMutant) {
	a := m.attest(i, false, mutant)
	l := &m.controllers[i].leading
	l.relaxing = true
	restarted := l.restarted>>other&1 == 1 && mutant != countRestarted
	observed := a.ObservedBy(m.controllers[other].observe(a, mutant))
	if observed && !m.controllers[other].withoutWatermarks && !restarted {
		l.acknowledged |= 1 << other
	}
	acknowledgements := bits.OnesCount8(l.acknowledged)
	enough := acknowledgements == len(m.controllers)-1 || mutant == oneAcknowledgement && acknowledgements > 0
	attestationHolds := m.attestation.withinSpan && m.attestation.term == l.term && mutant != relaxWithinSpan
	if enough && !attestationHolds {
		l.relaxed = true
		l.watermarksComplete = false
	}
}

// environmentEvents adds the states after events outside of the controllers.
func (m *failoverModel) environmentEvents(mutant failoverMutant, add func(func(*failoverModel))) {
	if m.taskOn != none && m.budget.taskEnds > 0 {
		add(func(n *failoverModel) {
			n.taskOn = none
			n.budget.taskEnds--
		})
	}
	if m.budget.outages > 0 || m.storeDown {
		add(func(n *failoverModel) {
			n.storeDown = !n.storeDown
			if n.storeDown {
				n.budget.outages--
			}
		})
	}
	if m.attestation.withinSpan {
		add(func(n *failoverModel) { n.attestation.withinSpan = false })
	}
	// The leader key of an ended process is deleted when the lease on the key expires.
	if m.keyHolder != none && !m.storeDown && !m.holdsKey(int(m.keyHolder)) {
		add(func(n *failoverModel) { n.keyHolder = none })
	}
	if delayed := m.delayed; delayed.to != none {
		add(func(n *failoverModel) {
			a := Attestation{Term: uint64(delayed.term), Seq: uint64(delayed.seq), Complete: true, Revision: uint64(delayed.term)}
			n.controllers[delayed.to].observe(a, mutant)
			n.delayed.to = none
		})
	}
}

// exploreFailovers explores up to maxStates states breadth-first. It returns how many it has seen
// and a description of a violation of the invariant, or "".
func exploreFailovers(start failoverModel, mutant failoverMutant, maxStates int) (seen int, violation string) {
	known := map[failoverModel]struct{}{start: {}}
	queue := []failoverModel{start}
	for len(queue) > 0 && len(known) < maxStates && violation == "" {
		state := queue[0]
		queue = queue[1:]
		violation = state.visitSuccessors(mutant, func(successor failoverModel) {
			if _, ok := known[successor]; !ok {
				known[successor] = struct{}{}
				queue = append(queue, successor)
			}
		})
	}
	return len(known), violation
}

// modelConfig bounds a model and selects its initial state: empty, or with a leader that has
// received heartbeats from both machines and attested to both peers.
type modelConfig struct {
	withLeader     bool
	mixedVersions  bool // the third controller's version has no watermarks
	delaysMessages bool
	events         eventBudget
}

func (c modelConfig) initialState() failoverModel {
	m := failoverModel{
		keyHolder: none,
		taskOn:    none,
		delayed:   delayedAttestation{to: none, used: !c.delaysMessages},
		budget:    c.events,
	}
	m.controllers[2].withoutWatermarks = c.mixedVersions
	if c.withLeader {
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

// maxModelStates bounds the states that a breadth-first search explores in CI. With 20 million it
// covers all states.
var maxModelStates = flag.Int("states", 150_000, "maximum number of model states to explore")

// No order of the modelled events lets a leader dispatch the task while it is on a machine. The
// failure arises if a new leader trusts incomplete watermarks and the task's machine has sent no
// heartbeat.
func TestTaskIsNeverDispatchedTwice(t *testing.T) {
	for _, config := range []modelConfig{
		{events: eventBudget{terms: 3, restarts: 1, taskEnds: 1}},
		{mixedVersions: true, events: eventBudget{terms: 3, restarts: 1, taskEnds: 1}},
		{withLeader: true, events: eventBudget{terms: 3, restarts: 2}},
		{withLeader: true, events: eventBudget{terms: 2, restarts: 1, outages: 1}},
		{withLeader: true, delaysMessages: true, events: eventBudget{terms: 2, restarts: 1, outages: 1}},
	} {
		seen, violation := exploreFailovers(config.initialState(), noFailoverMutant, *maxModelStates)
		t.Logf("%+v: %d states", config, seen)
		if violation != "" {
			t.Errorf("%+v: %s", config, violation)
		}
	}
}

// The model check detects each mutant, which shows that the invariant can fail.
func TestFailoverModelDetectsMutants(t *testing.T) {
	for _, x := range []struct {
		mutant failoverMutant
		config modelConfig
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
		seen, violation := exploreFailovers(x.config.initialState(), x.mutant, maxStates)
		t.Logf("%s, at %d states: %s", x.mutant, seen, violation)
		if violation == "" {
			t.Errorf("mutant not detected: %s, in %d states", x.mutant, seen)
		}
	}
}
