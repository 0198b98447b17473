package config

import (
	"fmt"
	"time"
)

// Timing holds timeouts of calls and durations of leases. The timeouts and the leader's lease are
// multiples of the heartbeat interval; timeouts of calls for which users or workers wait are bounded.
type Timing struct {
	HeartbeatInterval   time.Duration // interval between a worker's heartbeats
	LeaderLease         time.Duration // duration of the leader's lease
	StoreTimeout        time.Duration // timeout of a call to the key-value store
	PeerTimeout         time.Duration // timeout of a call to another controller
	CloudTimeout        time.Duration // timeout of a call to the cloud's API
	WorkerTimeout       time.Duration // timeout of a direct command to a worker
	RenewalWithoutStore time.Duration // how long a leader that cannot reach the store renews workers' leases, unless package cancellation extends it
}

// Timing derives the timing from the settings and options.
func (c *Config) Timing() Timing {
	interval, workers := c.HeartbeatInterval(), c.Deployment.Workers
	return Timing{
		HeartbeatInterval:   interval,
		LeaderLease:         time.Duration(float64(interval) * c.Options.LeaderLeaseIntervals),
		StoreTimeout:        min(interval/2, time.Second),
		PeerTimeout:         min(interval/4, time.Second/2),
		CloudTimeout:        2 * interval,
		WorkerTimeout:       interval,
		RenewalWithoutStore: Seconds(workers.CancelS - workers.LeaseS),
	}
}

// answerDeliveryDivisor is the divisor of the heartbeat interval that gives AnswerDelivery.
const answerDeliveryDivisor = 16

// AnswerDelivery returns the time within which the answer to a heartbeat usually reaches its worker, also
// if another controller relays it, for workers with the given heartbeat interval.
func AnswerDelivery(heartbeatInterval time.Duration) time.Duration {
	return heartbeatInterval / answerDeliveryDivisor
}

const (
	// slowStoreCall is how long a call to the key-value store occasionally takes.
	slowStoreCall = 300 * time.Millisecond
	// lostHeartbeatDelay is the timeout of a worker's heartbeat plus the delay before the worker tries
	// the next controller.
	lostHeartbeatDelay = 5 * time.Second
)

// Warnings returns a message for each combination of settings that are in range but do not fit
// together: no safety rule is violated, but work is lost or an objective is missed without need.
// Without the warnings, such a combination would first show in an outage.
func (c *Config) Warnings() []string {
	timing, workers := c.Timing(), c.Deployment.Workers
	lease := Seconds(workers.LeaseS)
	var warnings []string
	warn := func(format string, args ...any) { warnings = append(warnings, fmt.Sprintf(format, args...)) }
	if timing.LeaderLease+2*timing.HeartbeatInterval > lease {
		warn("facts.workers.lease_s (%v): a leader that fails is replaced after %v and heard by all machines %v later; "+
			"their leases may end before", workers.LeaseS, timing.LeaderLease, 2*timing.HeartbeatInterval)
	}
	if lostHeartbeatDelay+timing.HeartbeatInterval > lease {
		warn("facts.workers.lease_s (%v): one report without an answer costs a worker %v; its lease may end",
			workers.LeaseS, lostHeartbeatDelay+timing.HeartbeatInterval)
	}
	if timing.RenewalWithoutStore < 2*timing.HeartbeatInterval {
		warn("facts.workers.cancel_s (%v): a leader out of touch with the store renews leases for %v only",
			workers.CancelS, timing.RenewalWithoutStore)
	}
	if timing.StoreTimeout < slowStoreCall {
		warn("facts.workers.report_s (%v): calls to the state service are given %v, and it may take %v",
			workers.HeartbeatS, timing.StoreTimeout, slowStoreCall)
	}
	for i, o := range c.Deployment.Objectives {
		if o.Kind == KindGuarantee && Seconds(o.WithinS) <= 3*timing.HeartbeatInterval {
			warn("facts.objectives[%d].within_s (%v): nobody can be stopped for work within a guarantee in less than three report intervals",
				i, o.WithinS)
		}
	}
	return warnings
}
