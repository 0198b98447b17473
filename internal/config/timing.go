package config

import (
	"fmt"
	"time"
)

// Timing holds the time-outs of calls and the life of the leader's lease. All are ratios to the
// heartbeat interval, bounded where users or workers wait.
type Timing struct {
	HeartbeatInterval   time.Duration // between the heartbeats of a worker
	LeaderLease         time.Duration // life of the leader's lease
	StoreTimeout        time.Duration // time-out of a call to the key-value store
	PeerTimeout         time.Duration // time-out of a call to another controller
	CloudTimeout        time.Duration // time-out of a call to the cloud
	WorkerTimeout       time.Duration // time-out of a direct command to a worker
	RenewalWithoutStore time.Duration // how long a leader renews workers' leases without contact to the store
}

// Timing derives the timing from the settings.
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

const (
	// slowStoreCall is what a call to the key-value store may take now and then.
	slowStoreCall = 300 * time.Millisecond
	// lostHeartbeatDelay is how long a worker waits for an answer, and then before it tries the next node.
	lostHeartbeatDelay = 5 * time.Second
)

// Warnings lists settings each of which is in range and that hold together badly: nothing breaks a
// rule by them, but work is lost or an objective missed for nothing. Without them, a deployment with
// other intervals would be found wanting only in its first outage.
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
