package autoscaler

import (
	"math"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
)

const (
	// manySilentShare is the share of machines that may be silent for each of them to be taken
	// for dead.
	manySilentShare = 1.0 / 4

	// fewUnreconciledShare is the share of the machines on record whose work is worth less than
	// the wait of all others, and failoverGraceIntervals how many heartbeat intervals all are
	// given to find the new leader: they try the old one for up to two.
	fewUnreconciledShare   = 1.0 / 20
	failoverGraceIntervals = 2
)

// FleetCounts counts the machines of a fleet by how they were heard.
type FleetCounts struct {
	Up           int // have been heard under this term
	Silent       int // of these, silent for some heartbeat intervals
	Overdue      int // of these, silent for so long that their zone may be the cause
	Unreachable  int // of these, receive no answers
	Inherited    int // on record at the failover
	Unreconciled int // of these, not heard under this term yet
}

// ReturnConditions tells what the decision about a machine depends on beside the machine.
type ReturnConditions interface {
	// KeptForOperator reports whether the machine is empty and kept for an operator.
	KeptForOperator(m *fleet.Machine) bool
	// WaitsForZone reports whether the tasks of the machine are best waited for until its zone is
	// back; one in its place would take the startup time.
	WaitsForZone(m *fleet.Machine, startup time.Duration) bool
	// OutageSuspected reports whether a zone is probably cut off.
	OutageSuspected(zone string) bool
	// ReturnsWhenEmpty reports whether a cordoned machine is to be returned when it is empty.
	ReturnsWhenEmpty(m *fleet.Machine) bool
	// OnDemandShortage reports whether on-demand machines of a type were too few lately.
	OnDemandShortage(machineType string) bool
	// Reconciled reports whether every machine of earlier terms has been heard or is gone.
	Reconciled() bool
}

// ReturnPolicy decides which machines are returned to the cloud. It is plain data without clock or
// I/O; its owner passes the time in and serializes the calls.
type ReturnPolicy struct {
	heartbeatInterval time.Duration
	lease             time.Duration
	idleStartups      float64 // how long, in startup times, an idle machine is kept

	manyUnreachable    bool      // more than a few machines report and receive no answers
	mostSilent         bool      // more machines are silent than heard
	manySilentAt       time.Time // when last more than a few were silent, or a zone was cut off
	manyUnreconciledAt time.Time // when last more than a few of those on record were not heard yet
}

// NewReturnPolicy returns the policy of a term that has counted nothing yet.
func NewReturnPolicy(heartbeatInterval, lease time.Duration, idleStartups float64) *ReturnPolicy {
	return &ReturnPolicy{heartbeatInterval: heartbeatInterval, lease: lease, idleStartups: idleStartups}
}

// Observe takes in how the fleet was heard, before the decisions about its machines.
func (p *ReturnPolicy) Observe(n FleetCounts, outageSuspected bool, now time.Time) {
	// Where many receive nothing it is more likely the leader that answers too late.
	p.manyUnreachable = float64(n.Unreachable) > max(manySilentShare*float64(n.Up), 2)
	p.mostSilent = n.Silent > 2 && 2*n.Silent > n.Up
	// Without this, many that fell silent at once would be returned a few at a time, each being one
	// of few that have been silent for long, or one of the last to come back.
	if float64(n.Overdue) > manySilentShare*float64(n.Up) || outageSuspected {
		p.manySilentAt = now
	}
	// Without this, the last machines of a zone that comes back would be returned: they are few
	// then, and just about to be heard.
	if float64(n.Unreconciled) > fewUnreconciledShare*float64(n.Inherited) {
		p.manyUnreconciledAt = now
	}
}

// ShouldReturn reports whether a machine is to be returned now.
func (p *ReturnPolicy) ShouldReturn(m *fleet.Machine, catalog Catalog, cond ReturnConditions, now time.Time) bool {
	startup := max(catalog.StartupTime(m.Type), p.heartbeatInterval)
	switch {
	case cond.KeptForOperator(m):
		return false
	case m.LeaseExpired && !m.Failed && cond.WaitsForZone(m, startup):
		return false
	case !m.HasStatus && !m.Inherited && cond.OutageSuspected(m.Zone):
		return false // it may well be up
	case m.LeaseExpired:
		// Its tasks are gone. Where most machines are silent, the fault is more likely the
		// leader's than theirs, and they may yet be heard of.
		return !p.mostSilent || now.Sub(m.LastHeard()) > 4*p.lease
	case m.AwaitsReconciliation():
		return p.inheritedTimedOut(m, now)
	case m.HasStatus && now.Sub(m.LastStatusAt) > p.silenceLimit(m, now):
		return true
	case m.HasStatus && !m.Reconciled && now.Sub(m.LastStatusAt) > p.lease:
		// Brought up by a late copy of a heartbeat, maybe: nothing else would end that.
		return true
	case m.UnreachableFor(now) > p.lease:
		// What it had is gone with its lease, or goes with its return.
		return !p.manyUnreachable || m.UnreachableFor(now) > 4*p.lease
	case m.UnansweredProbesFor(now) > p.lease:
		return true // no answer, and what it has is not known: its return is proof
	case !m.HasStatus:
		return !m.RequestedAt.IsZero() && now.Sub(m.RequestedAt) > 3*startup+p.heartbeatInterval
	case !m.Empty():
		return false
	case m.Cordon != nil:
		return m.Reconciled && cond.ReturnsWhenEmpty(m)
	case m.Faulty, m.Draining:
		return true
	case !cond.Reconciled(), m.Bin.Reserved() != packing.Resources{}:
		return false
	}
	return p.idleTooLong(m, startup, catalog, cond, now)
}

// inheritedTimedOut reports whether a machine that has not been heard since the failover is waited
// for no longer. Time alone does not reconcile it, as an older leader may be renewing its lease; its
// return does. All work of before stands still until then: the last few that neither report nor
// answer are not waited for as long as their work would be worth it alone.
func (p *ReturnPolicy) inheritedTimedOut(m *fleet.Machine, now time.Time) bool {
	silent := now.Sub(m.SilentSince)
	few := now.Sub(p.manyUnreconciledAt) > p.heartbeatInterval
	return silent > p.lease || silent > failoverGraceIntervals*p.heartbeatInterval && few
}

// silenceLimit is how long a machine may be silent before it is returned without waiting for the
// end of its lease: its return proves that its tasks are gone, and they start elsewhere that much
// sooner. One that the cloud was about to preempt has most likely been taken; any other has most
// likely died, unless many are silent, behind a network partition or because the leader stood still.
func (p *ReturnPolicy) silenceLimit(m *fleet.Machine, now time.Time) time.Duration {
	if !m.PreemptionAt.IsZero() && now.After(m.PreemptionAt) {
		return p.heartbeatInterval * 3 / 2
	}
	limit := max(p.lease/2, 2*p.heartbeatInterval)
	if now.Sub(p.manySilentAt) > limit {
		return limit
	}
	return math.MaxInt64
}

// idleTooLong reports whether a machine has had no work for so long that it is not worth its price.
func (p *ReturnPolicy) idleTooLong(m *fleet.Machine, startup time.Duration, catalog Catalog, cond ReturnConditions, now time.Time) bool {
	hold := time.Duration(float64(startup) * p.idleStartups)
	if !m.Spot {
		// The dearer a machine, the shorter it waits for work.
		if t := catalog.Types[m.Type]; t.SpotPrice > 0 && t.SpotPrice < t.Price {
			hold = time.Duration(float64(hold) * t.SpotPrice / t.Price)
		}
	}
	if !m.RequestedAt.IsZero() && now.Sub(m.RequestedAt) < MinCharge {
		return false // it is paid for
	}
	if m.Spot && cond.OnDemandShortage(m.Type) {
		return false // the next task for it would take an on-demand machine
	}
	return !m.EmptySince.IsZero() && now.Sub(m.EmptySince) > hold
}
