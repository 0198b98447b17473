package config

import (
	"fmt"
	"time"
)

// Timing holds what calls are given and how long a leader's grant lives. All are ratios to
// the interval in which workers report, bounded where users or workers wait.
type Timing struct {
	HeartbeatInterval  time.Duration // in which workers report
	LeaderLease        time.Duration // life of the leader's grant
	Store              time.Duration // for a call to the state service
	Peer               time.Duration // for a call to another controller
	Cloud              time.Duration // for a call to the cloud
	Worker             time.Duration // for a direct command
	UnconfirmedRenewal time.Duration // for which leases are renewed without contact to the store
}

// Timing derives them from the settings.
func (c *Config) Timing() Timing {
	r, w := c.HeartbeatInterval(), c.Deployment.Workers
	return Timing{
		HeartbeatInterval: r, LeaderLease: time.Duration(float64(r) * c.Options.LeaderLeaseIntervals),
		Store: min(r/2, time.Second), Peer: min(r/4, time.Second/2), Cloud: 2 * r, Worker: r,
		UnconfirmedRenewal: Seconds(w.CancelS - w.LeaseS),
	}
}

const (
	// slowStore is what the state service may take now and then.
	slowStore = 300 * time.Millisecond
	// nextNode is how long a worker waits for an answer, and before it tries the next node.
	nextNode = 5 * time.Second
)

// Warnings lists settings each of which is in range and that hold together badly: nothing
// breaks a rule by them, but work is lost or an aim missed for nothing. Guards against a
// deployment with other intervals that is found wanting only in its first outage.
func (c *Config) Warnings() []string {
	t, w := c.Timing(), c.Deployment.Workers
	lease := Seconds(w.LeaseS)
	var out []string
	doubt := func(is bool, format string, args ...any) {
		if is {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	doubt(t.LeaderLease+2*t.HeartbeatInterval > lease, "facts.workers.lease_s (%v): a leader that fails is replaced after %v and heard by all machines %v later; their leases may end before", w.LeaseS, t.LeaderLease, 2*t.HeartbeatInterval)
	doubt(nextNode+t.HeartbeatInterval > lease, "facts.workers.lease_s (%v): one report without an answer costs a worker %v; its lease may end", w.LeaseS, nextNode+t.HeartbeatInterval)
	doubt(t.UnconfirmedRenewal < 2*t.HeartbeatInterval, "facts.workers.cancel_s (%v): a leader out of touch with the store renews leases for %v only", w.CancelS, t.UnconfirmedRenewal)
	doubt(t.Store < slowStore, "facts.workers.report_s (%v): calls to the state service are given %v, and it may take %v", w.HeartbeatS, t.Store, slowStore)
	for i, o := range c.Deployment.Objectives {
		if o.Kind == KindGuarantee {
			doubt(Seconds(o.WithinS) <= 3*t.HeartbeatInterval, "facts.objectives[%d].within_s (%v): nobody can be stopped for work within a guarantee in less than three report intervals", i, o.WithinS)
		}
	}
	return out
}
