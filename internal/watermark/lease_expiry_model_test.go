package watermark

import (
	"fmt"
	"testing"
	"time"
)

// leaseModel is a state of a model of lease expiry, explored over every order of events at a small
// size: three controllers, up to three terms, one machine, and ages in ticks. A controller acts as
// the leader until it reads that another one leads, and may answer the worker until then; an answer
// arrives at most a tick late. Only the holder of the leader key adds a run command, and only after
// the worker has shown its term. The package's code makes the decisions. Invariant: once a leader
// assumes that the machine's lease has expired, no task is on the machine until the worker has
// shown that leader's term.
type leaseModel struct {
	term          int8            // the latest term
	leaderOf      [4]int8         // by term, the controller elected
	believedTerm  [3]int8         // by controller, the term in which it acts as the leader, or 0
	sinceRenewal  [3]int8         // by controller, the age of the last lease renewal that it recorded
	termAge       int8            // age of the latest term
	reconciled    int8            // the latest term attested as reconciled
	fencingToken  int8            // the highest that the worker has seen
	leaseAge      int8            // ticks since the worker sent the last heartbeat whose answer arrived
	running       bool            // a task is on the machine
	expiredInTerm int8            // the term whose leader assumed that the lease has expired
	reply         heartbeatAnswer // in flight, if any
}

// heartbeatAnswer is a leader's answer to the worker's heartbeat.
type heartbeatAnswer struct {
	from, term, age int8
	run, inFlight   bool
}

const (
	leaseTicks = 2              // a lease has expired at a greater age
	maxAge     = leaseTicks + 2 // greater ages are equivalent
)

// leaseMutant is a bug injected into the use of the package's code that the model check must
// detect.
type leaseMutant string

const (
	noLeaseMutant            leaseMutant = ""
	omitReconciledLeader     leaseMutant = "the leader of the reconciled term is omitted"
	omitLaterLeaders         leaseMutant = "the leaders since the reconciled term are omitted"
	reconciledTooEarly       leaseMutant = "a term is attested as reconciled before the machine has shown it"
	renewalRecordedOnArrival leaseMutant = "a renewal is recorded when the answer arrives"
	leaseTooShort            leaseMutant = "a lease is a tick too short"
	omitOwnEarlierTerm       leaseMutant = "the leader's own earlier term is ignored"
)

func nextAge(age int8) int8 { return min(age+1, maxAge) }

// successors returns the states that one event leads to, and whether this state violates the
// invariant.
func (s leaseModel) successors(mutant leaseMutant) (states []leaseModel, violated bool) {
	add := func(change func(*leaseModel)) {
		successor := s
		change(&successor)
		states = append(states, successor)
	}
	s.advanceTime(add)
	for controller := range s.believedTerm {
		s.controllerEvents(int8(controller), mutant, add)
	}
	s.deliverAnswer(mutant, add)
	leader := s.leaderOf[s.term]
	if s.believedTerm[leader] != s.term {
		return states, false
	}
	if s.fencingToken == s.term || mutant == reconciledTooEarly {
		add(func(n *leaseModel) { n.reconciled = n.term })
	}
	if s.fencingToken < s.term && s.assumesExpired(mutant) {
		add(func(n *leaseModel) { n.expiredInTerm = n.term })
	}
	return states, s.expiredInTerm == s.term && s.fencingToken < s.term && s.running
}

// advanceTime adds the state a tick later. An answer is in flight for at most a tick.
func (s leaseModel) advanceTime(add func(func(*leaseModel))) {
	if s.reply.age != 0 && s.reply.inFlight {
		return
	}
	add(func(n *leaseModel) {
		for i := range n.sinceRenewal {
			n.sinceRenewal[i] = nextAge(n.sinceRenewal[i])
		}
		n.termAge = nextAge(n.termAge)
		n.leaseAge = nextAge(n.leaseAge)
		if n.reply.inFlight {
			n.reply.age++
		}
		if n.leaseAge > leaseTicks {
			n.running = false
		}
	})
}

// controllerEvents adds the states after an event at a controller.
func (s leaseModel) controllerEvents(controller int8, mutant leaseMutant, add func(func(*leaseModel))) {
	term := s.believedTerm[controller]
	if term > 0 && !s.reply.inFlight {
		// The controller receives and answers the worker's heartbeat.
		add(func(n *leaseModel) {
			n.reply = heartbeatAnswer{from: controller, term: term, inFlight: true, run: term == s.term && s.fencingToken == term}
			if mutant != renewalRecordedOnArrival {
				n.sinceRenewal[controller] = 0
			}
		})
	}
	if term > 0 && term < s.term {
		// The controller reads that another one leads.
		add(func(n *leaseModel) { n.believedTerm[controller] = 0 })
	}
	// The controller's process restarts.
	add(func(n *leaseModel) {
		n.believedTerm[controller] = 0
		n.sinceRenewal[controller] = 0
	})
	if int(s.term) < len(s.leaderOf)-1 {
		// The controller is elected.
		add(func(n *leaseModel) {
			n.term++
			n.leaderOf[n.term] = controller
			n.believedTerm[controller] = n.term
			n.termAge = 0
		})
	}
}

// deliverAnswer adds the states after the loss or the arrival of the answer in flight.
func (s leaseModel) deliverAnswer(mutant leaseMutant, add func(func(*leaseModel))) {
	if !s.reply.inFlight {
		return
	}
	// The answer is lost.
	add(func(n *leaseModel) { n.reply = heartbeatAnswer{} })
	// The answer arrives.
	add(func(n *leaseModel) {
		reply := n.reply
		n.reply = heartbeatAnswer{}
		if mutant == renewalRecordedOnArrival {
			n.sinceRenewal[reply.from] = 0
		}
		if reply.term >= n.fencingToken {
			n.fencingToken = reply.term
			n.leaseAge = min(n.leaseAge, reply.age)
			n.running = n.running || reply.run
		}
	})
}

// assumesExpired reports whether the leader of the latest term assumes, by the package's code, that
// the lease has expired.
func (s leaseModel) assumesExpired(mutant leaseMutant) bool {
	leader := s.leaderOf[s.term]
	last := Attestation{Term: uint64(s.reconciled), Reconciled: s.reconciled > 0, Node: fmt.Sprint(s.leaderOf[s.reconciled])}
	var changes []LeaderChange
	for term := s.reconciled + 1; term <= s.term; term++ {
		if term == s.term || mutant != omitLaterLeaders {
			changes = append(changes, LeaderChange{Term: uint64(term), Node: fmt.Sprint(s.leaderOf[term])})
		}
	}
	sinceRenewal := map[string]time.Duration{}
	for controller, age := range s.sinceRenewal {
		sinceRenewal[fmt.Sprint(controller)] = time.Duration(age)
	}
	sinceRenewal[fmt.Sprint(leader)] = time.Duration(s.termAge)
	renewers, ok := PossibleRenewers(last, changes, uint64(s.term))
	if mutant == omitReconciledLeader && ok {
		renewers = renewers[:0]
		for _, change := range changes {
			renewers = append(renewers, change.Node)
		}
	}
	if mutant == omitOwnEarlierTerm {
		sinceRenewal[fmt.Sprint(leader)] = maxAge
	}
	lease := time.Duration(leaseTicks + 1)
	if mutant == leaseTooShort {
		lease--
	}
	return ok && LeasesExpired(renewers, sinceRenewal, lease)
}

// exploreLeases explores up to maxStates states breadth-first, until one violates the invariant. It
// returns how many it has visited and whether one does.
func exploreLeases(mutant leaseMutant, maxStates int) (seen int, violated bool) {
	start := leaseModel{term: 1, believedTerm: [3]int8{1, 0, 0}, reconciled: 1, fencingToken: 1}
	known := map[leaseModel]struct{}{start: {}}
	queue := []leaseModel{start}
	for i := 0; i < len(queue) && i < maxStates; i++ {
		states, violated := queue[i].successors(mutant)
		if violated {
			return i, true
		}
		for _, state := range states {
			if _, ok := known[state]; !ok {
				known[state] = struct{}{}
				queue = append(queue, state)
			}
		}
	}
	return min(len(queue), maxStates), false
}

// maxLeaseStates returns the bound on the explored states of the lease model. The last of the
// mutants is detected only by a deep search.
func maxLeaseStates() int { return 2 * *maxModelStates }

// No order of the modelled events lets a leader assume that a machine's lease has expired while a
// task is on the machine. The failure arises if a controller that may have renewed the lease is
// left out.
func TestExpiredLeaseMeansNoTask(t *testing.T) {
	seen, violated := exploreLeases(noLeaseMutant, maxLeaseStates())
	t.Logf("%d states", seen)
	if violated {
		t.Errorf("after %d states: a lease is assumed to have expired with a task on the machine", seen)
	}
}

// The model check detects each mutant, which shows that the invariant can fail.
func TestLeaseModelDetectsMutants(t *testing.T) {
	for _, mutant := range []leaseMutant{
		omitReconciledLeader, omitLaterLeaders, reconciledTooEarly, renewalRecordedOnArrival, leaseTooShort, omitOwnEarlierTerm,
	} {
		seen, violated := exploreLeases(mutant, maxLeaseStates())
		t.Logf("%s: %d states", mutant, seen)
		if !violated {
			t.Errorf("%s: mutant not detected in %d states", mutant, seen)
		}
	}
}
