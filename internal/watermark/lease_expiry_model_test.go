package watermark

import (
	"fmt"
	"testing"
	"time"
)

// leaseModel is a model of lease expiry, checked over every order of events at a small size:
// three controllers, up to three terms, a machine, ages in ticks instead of times. A
// controller goes on believing that it leads until it hears otherwise; whoever believes it
// may answer the worker, and answers may arrive a tick late; only the holder of the leader's
// key sends a run command along, and only when the worker has shown its term. What decides is
// the package's own code. When a leader takes the machine's lease to have expired, nothing
// may be on it from then on, until the worker has shown its term.
type leaseModel struct {
	term          int8            // the latest one
	leaderOf      [4]int8         // by term, the controller that took it
	believedTerm  [3]int8         // by controller, the term that it believes to lead; 0: none
	sinceRenewal  [3]int8         // by controller, the age of the renewal that it last noted
	termAge       int8            // of the latest term
	reconciled    int8            // the latest term that is attested to be reconciled
	fencingToken  int8            // the latest that the worker has seen
	leaseAge      int8            // of the last answered heartbeat, from when it was sent
	running       bool            // a task is on the machine
	expiredInTerm int8            // the term whose leader took the lease to have expired
	reply         heartbeatAnswer // the one under way
}

// heartbeatAnswer is a leader's answer to the worker's heartbeat.
type heartbeatAnswer struct {
	from, term, age int8
	run, underWay   bool
}

const (
	leaseTicks = 2              // a lease has expired at an age above
	maxAge     = leaseTicks + 2 // older ages make no difference
)

// leaseMutant is a mistake in how the package's code is used, which the model has to find.
type leaseMutant string

const (
	noLeaseMutant            leaseMutant = ""
	omitReconciledLeader     leaseMutant = "the leader of the reconciled term is left out"
	omitLaterLeaders         leaseMutant = "those who led since are left out"
	reconciledTooEarly       leaseMutant = "a term is attested as reconciled before the machine was heard"
	renewalRecordedOnArrival leaseMutant = "a renewal is noted when the answer arrives"
	leaseTooShort            leaseMutant = "a lease is a tick too short"
	omitOwnEarlierTerm       leaseMutant = "the leader's own earlier term is forgotten"
)

func nextAge(age int8) int8 { return min(age+1, maxAge) }

// successors lists the states that one event leads to, and reports whether the rule is broken in
// this one.
func (s leaseModel) successors(mistake leaseMutant) (states []leaseModel, broken bool) {
	add := func(change func(*leaseModel)) {
		following := s
		change(&following)
		states = append(states, following)
	}
	s.advanceTime(add)
	for controller := range s.believedTerm {
		s.controllerEvents(int8(controller), mistake, add)
	}
	s.deliverAnswer(mistake, add)
	leader := s.leaderOf[s.term]
	if s.believedTerm[leader] != s.term {
		return states, false
	}
	if s.fencingToken == s.term || mistake == reconciledTooEarly {
		add(func(n *leaseModel) { n.reconciled = n.term })
	}
	if s.fencingToken < s.term && s.assumesExpired(mistake) {
		add(func(n *leaseModel) { n.expiredInTerm = n.term })
	}
	return states, s.expiredInTerm == s.term && s.fencingToken < s.term && s.running
}

// advanceTime adds the state a tick later. An answer is under way for a tick at most.
func (s leaseModel) advanceTime(add func(func(*leaseModel))) {
	if s.reply.age != 0 && s.reply.underWay {
		return
	}
	add(func(n *leaseModel) {
		for i := range n.sinceRenewal {
			n.sinceRenewal[i] = nextAge(n.sinceRenewal[i])
		}
		n.termAge = nextAge(n.termAge)
		n.leaseAge = nextAge(n.leaseAge)
		if n.reply.underWay {
			n.reply.age++
		}
		if n.leaseAge > leaseTicks {
			n.running = false
		}
	})
}

// controllerEvents adds what may happen at a controller.
func (s leaseModel) controllerEvents(controller int8, mistake leaseMutant, add func(func(*leaseModel))) {
	term := s.believedTerm[controller]
	if term > 0 && !s.reply.underWay {
		// The worker's heartbeat comes here and is answered.
		add(func(n *leaseModel) {
			n.reply = heartbeatAnswer{from: controller, term: term, underWay: true, run: term == s.term && s.fencingToken == term}
			if mistake != renewalRecordedOnArrival {
				n.sinceRenewal[controller] = 0
			}
		})
	}
	if term > 0 && term < s.term {
		// It hears that another leads.
		add(func(n *leaseModel) { n.believedTerm[controller] = 0 })
	}
	// Its process restarts.
	add(func(n *leaseModel) {
		n.believedTerm[controller] = 0
		n.sinceRenewal[controller] = 0
	})
	if int(s.term) < len(s.leaderOf)-1 {
		// It is elected.
		add(func(n *leaseModel) {
			n.term++
			n.leaderOf[n.term] = controller
			n.believedTerm[controller] = n.term
			n.termAge = 0
		})
	}
}

// deliverAnswer adds what may happen to the answer under way.
func (s leaseModel) deliverAnswer(mistake leaseMutant, add func(func(*leaseModel))) {
	if !s.reply.underWay {
		return
	}
	// It is lost.
	add(func(n *leaseModel) { n.reply = heartbeatAnswer{} })
	// It arrives.
	add(func(n *leaseModel) {
		reply := n.reply
		n.reply = heartbeatAnswer{}
		if mistake == renewalRecordedOnArrival {
			n.sinceRenewal[reply.from] = 0
		}
		if reply.term >= n.fencingToken {
			n.fencingToken = reply.term
			n.leaseAge = min(n.leaseAge, reply.age)
			n.running = n.running || reply.run
		}
	})
}

// assumesExpired reports whether the leader of the latest term takes the lease to have
// expired, by the package's code.
func (s leaseModel) assumesExpired(mistake leaseMutant) bool {
	leader := s.leaderOf[s.term]
	last := Attestation{Term: uint64(s.reconciled), Reconciled: s.reconciled > 0, Node: fmt.Sprint(s.leaderOf[s.reconciled])}
	var changes []LeaderChange
	for term := s.reconciled + 1; term <= s.term; term++ {
		if term == s.term || mistake != omitLaterLeaders {
			changes = append(changes, LeaderChange{Term: uint64(term), Node: fmt.Sprint(s.leaderOf[term])})
		}
	}
	sinceRenewal := map[string]time.Duration{}
	for controller, age := range s.sinceRenewal {
		sinceRenewal[fmt.Sprint(controller)] = time.Duration(age)
	}
	sinceRenewal[fmt.Sprint(leader)] = time.Duration(s.termAge)
	renewers, ok := PossibleRenewers(last, changes, uint64(s.term))
	if mistake == omitReconciledLeader && ok {
		renewers = renewers[:0]
		for _, change := range changes {
			renewers = append(renewers, change.Node)
		}
	}
	if mistake == omitOwnEarlierTerm {
		sinceRenewal[fmt.Sprint(leader)] = maxAge
	}
	lease := time.Duration(leaseTicks + 1)
	if mistake == leaseTooShort {
		lease--
	}
	return ok && LeasesExpired(renewers, sinceRenewal, lease)
}

// exploreLeases looks at up to maxStates states, the nearest first. It returns how many it
// has seen and whether one breaks the rule.
func exploreLeases(mistake leaseMutant, maxStates int) (seen int, broken bool) {
	start := leaseModel{term: 1, believedTerm: [3]int8{1, 0, 0}, reconciled: 1, fencingToken: 1}
	known := map[leaseModel]struct{}{start: {}}
	queue := []leaseModel{start}
	for i := 0; i < len(queue) && i < maxStates; i++ {
		states, broken := queue[i].successors(mistake)
		if broken {
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

// maxLeaseStates is how many states of the lease model are looked at: the last of the mistakes
// is far out.
func maxLeaseStates() int { return 2 * *maxModelStates }

func TestExpiredLeaseMeansNoTask(t *testing.T) {
	seen, broken := exploreLeases(noLeaseMutant, maxLeaseStates())
	t.Logf("%d states", seen)
	if broken {
		t.Errorf("after %d states a lease is taken to have expired with a task on the machine", seen)
	}
}

// A model that finds nothing may check nothing: it has to find these mistakes.
func TestLeaseModelDetectsMutants(t *testing.T) {
	for _, mistake := range []leaseMutant{
		omitReconciledLeader, omitLaterLeaders, reconciledTooEarly, renewalRecordedOnArrival, leaseTooShort, omitOwnEarlierTerm,
	} {
		seen, broken := exploreLeases(mistake, maxLeaseStates())
		t.Logf("%s: %d states", mistake, seen)
		if !broken {
			t.Errorf("%s: not found in %d states", mistake, seen)
		}
	}
}
