package autoscaler

import (
	"math"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/packing"
)

const (
	// manySilentShare is the share of silent machines up to which each of them is assumed to have
	// failed on its own.
	manySilentShare = 1.0 / 4

	// fewUnreconciledShare is the share of inherited machines up to which unreconciled ones count as
	// few: their work is worth less than the time for which all others would wait for them.
	// failoverGraceIntervals is how many heartbeat intervals machines have to find the new leader:
	// they try the old one for up to two intervals.
	fewUnreconciledShare   = 1.0 / 20
	failoverGraceIntervals = 2
)

// FleetCounts counts the machines of a fleet by the state of their heartbeats.
type FleetCounts struct {
	Up           int // have reported in this term
	Silent       int // of Up: no heartbeat for more than 3 heartbeat intervals
	Overdue      int // of Up: silent long enough to suspect a zone outage (zonehealth.SilentAfterIntervals)
	Unreachable  int // of Up: send heartbeats but receive no responses
	Inherited    int // on record at the failover
	Unreconciled int // of Inherited: not reconciled with this term yet
}

// ReturnConditions provides the conditions of a return decision that lie outside the machine.
type ReturnConditions interface {
	// KeptForOperator reports whether the machine is empty and kept for an operator.
	KeptForOperator(m *fleet.Machine) bool
	// WaitsForZone reports whether to wait for the recovery of the machine's zone rather than to
	// replace the machine; startup is how long a replacement takes to start.
	WaitsForZone(m *fleet.Machine, startup time.Duration) bool
	// OutageSuspected reports whether a zone outage is suspected.
	OutageSuspected(zone string) bool
	// ReturnsWhenEmpty reports whether a cordoned machine is returned once it is empty.
	ReturnsWhenEmpty(m *fleet.Machine) bool
	// OnDemandShortage reports whether on-demand machines of a type were short recently.
	OnDemandShortage(machineType string) bool
	// Reconciled reports whether every machine of earlier terms has reported or is gone.
	Reconciled() bool
}

// ReturnPolicy decides which machines are returned to the cloud. It does no I/O and reads no clock. It
// is not safe for concurrent use.
type ReturnPolicy struct {
	heartbeatInterval time.Duration
	lease             time.Duration
	idleStartups      float64 // how long, in startup times, an idle machine is kept

	manyUnreachable    bool      // more than a few machines are unreachable
	mostSilent         bool      // more than half of the machines are silent
	manySilentAt       time.Time // last time that many machines were silent or an outage was suspected
	manyUnreconciledAt time.Time // last time that more than a few machines were not reconciled
}

// NewReturnPolicy returns the policy of a new term. An idle machine is kept for idleStartups startup
// times.
func NewReturnPolicy(heartbeatInterval, lease time.Duration, idleStartups float64) *ReturnPolicy {
	return &ReturnPolicy{heartbeatInterval: heartbeatInterval, lease: lease, idleStartups: idleStartups}
}

// Observe records the counts of the fleet. It is called before each round of ShouldReturn.
func (p *ReturnPolicy) Observe(counts FleetCounts, outageSuspected bool, now time.Time) {
	// If many machines receive no response, the leader most likely responds too late.
	p.manyUnreachable = float64(counts.Unreachable) > max(manySilentShare*float64(counts.Up), 2)
	p.mostSilent = counts.Silent > 2 && 2*counts.Silent > counts.Up
	// Without manySilentAt, machines that fell silent together would be returned a few at a time:
	// each is one of few that have been silent for long, or one of the last to recover.
	if float64(counts.Overdue) > manySilentShare*float64(counts.Up) || outageSuspected {
		p.manySilentAt = now
	}
	// Without manyUnreconciledAt, the last machines of a recovering zone would be returned: they
	// are few by then, and about to report.
	if float64(counts.Unreconciled) > fewUnreconciledShare*float64(counts.Inherited) {
		p.manyUnreconciledAt = now
	}
}

// ShouldReturn reports whether to return a machine to the cloud now.
func (p *ReturnPolicy) ShouldReturn(m *fleet.Machine, catalog Catalog, cond ReturnConditions, now time.Time) bool {
	startup := max(catalog.StartupTime(m.Type), p.heartbeatInterval)
	switch {
	case cond.KeptForOperator(m):
		return false
	case m.LeaseExpired && !m.Failed && cond.WaitsForZone(m, startup):
		return false
	case !m.HasStatus && !m.Inherited && cond.OutageSuspected(m.Zone):
		return false // the machine may be up but unreachable
	case m.LeaseExpired:
		// The machine's tasks are gone. If most machines are silent, the fault is more likely the
		// leader's, and the machines may report again.
		return !p.mostSilent || now.Sub(m.LastHeard()) > 4*p.lease
	case m.AwaitsReconciliation():
		return p.inheritedTimedOut(m, now)
	case m.HasStatus && now.Sub(m.LastStatusAt) > p.silenceLimit(m, now):
		return true
	case m.HasStatus && !m.Reconciled && now.Sub(m.LastStatusAt) > p.lease:
		// A late copy of a heartbeat may have marked the machine as up; nothing else would undo that.
		return true
	case m.UnreachableFor(now) > p.lease:
		// The machine's tasks end when its lease expires or when it is returned.
		return !p.manyUnreachable || m.UnreachableFor(now) > 4*p.lease
	case m.UnansweredProbesFor(now) > p.lease:
		return true // the machine's tasks are unknown; returning it proves that they are gone
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

// inheritedTimedOut reports whether the wait for a machine that has not reported since the failover
// is over. A timeout does not reconcile the machine, because an older leader may still renew its
// lease; returning the machine does. Until then all work of earlier terms is held, so the last few
// machines that neither send heartbeats nor answer probes get a shorter wait than their own work
// would justify.
func (p *ReturnPolicy) inheritedTimedOut(m *fleet.Machine, now time.Time) bool {
	silent := now.Sub(m.SilentSince)
	fewLeft := now.Sub(p.manyUnreconciledAt) > p.heartbeatInterval
	return silent > p.lease || silent > failoverGraceIntervals*p.heartbeatInterval && fewLeft
}

// silenceLimit returns how long a machine may be silent before it is returned ahead of its lease
// expiry, math.MaxInt64 if it is not: the return proves that its tasks are gone, and they start
// elsewhere sooner. A machine with a preemption notice has most likely been preempted. Any other
// has most likely failed, unless many are silent because of a network partition or a stalled
// leader.
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

// idleTooLong reports whether a machine has been idle for longer than its price justifies.
func (p *ReturnPolicy) idleTooLong(m *fleet.Machine, startup time.Duration, catalog Catalog, cond ReturnConditions, now time.Time) bool {
	idleLimit := time.Duration(float64(startup) * p.idleStartups)
	if !m.Spot {
		// The more expensive a machine, the shorter it is kept idle.
		if t := catalog.Types[m.Type]; t.SpotPrice > 0 && t.SpotPrice < t.Price {
			idleLimit = time.Duration(float64(idleLimit) * t.SpotPrice / t.Price)
		}
	}
	if !m.RequestedAt.IsZero() && now.Sub(m.RequestedAt) < MinCharge {
		return false // the minimum charge already pays for this time
	}
	if m.Spot && cond.OnDemandShortage(m.Type) {
		return false // its next task would need an on-demand machine
	}
	return !m.EmptySince.IsZero() && now.Sub(m.EmptySince) > idleLimit
}
