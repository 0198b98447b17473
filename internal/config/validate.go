package config

import (
	"fmt"
	"math"
	"net"
)

// validate returns the error of the first invalid setting, and sets Deployment.Nodes if it is not set.
func (c *Config) validate() error {
	if c.Node == "" {
		return missing("node_name")
	}
	if c.Zone == "" {
		return missing("zone")
	}
	for _, address := range []struct{ key, addr string }{
		{"bind", c.UserAddr},
		{"back", c.PeerAddr},
		{"external.cloud", c.External.Cloud},
		{"external.state", c.External.Store},
	} {
		if err := validateAddr(address.key, address.addr); err != nil {
			return err
		}
	}
	if err := c.validatePeers(); err != nil {
		return err
	}
	if c.Deployment.Nodes == 0 {
		c.Deployment.Nodes = len(c.Peers) + 1
	}
	return c.Deployment.validate()
}

func validateAddr(key, addr string) error {
	if addr == "" {
		return missing(key)
	}
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		return invalid(key, "%s: %q is not host:port", key, addr)
	}
	return nil
}

// validatePeers checks that each peer has an address and a name that no other controller has.
func (c *Config) validatePeers() error {
	names := map[string]bool{c.Node: true}
	for i, p := range c.Peers {
		nameKey := fmt.Sprintf("seeds[%d].node_name", i)
		if p.Node == "" {
			return missing(nameKey)
		}
		if names[p.Node] {
			return invalid(nameKey, "%s %q appears twice", nameKey, p.Node)
		}
		names[p.Node] = true
		if err := validateAddr(fmt.Sprintf("seeds[%d].peer_addr", i), p.Addr); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) validate() error {
	if len(d.Zones) == 0 {
		return missing("facts.zones")
	}
	for _, f := range d.numbers() {
		if math.IsNaN(f.value) || f.value < f.min || f.value > f.max {
			return invalid(f.key, "%s is missing or out of range: %v is not within %v to %v", f.key, f.value, f.min, f.max)
		}
	}
	if err := d.Workers.validate(); err != nil {
		return err
	}
	return d.validateTeams()
}

// numberSetting is a numeric setting with its key, value and range, inclusive.
type numberSetting struct {
	key      string
	value    float64
	min, max float64
}

// numbers lists the numeric settings, in the order in which they are checked. The ranges exclude only
// values that no deployment has or that would make a controller misbehave.
func (d *Deployment) numbers() []numberSetting {
	const (
		maxRate = 1e9
		hourS   = 3600
		dayS    = 86400
	)
	numbers := []numberSetting{
		{"facts.nodes", float64(d.Nodes), 1, 1000},
		{"facts.time_bound_ms", d.MaxClockErrorMS, 0, hourS * 1e3},
		{"facts.workers.report_s", d.Workers.HeartbeatS, 0.01, hourS},
		{"facts.workers.lease_s", d.Workers.LeaseS, 0.1, dayS},
		{"facts.workers.gang_wait_s", d.Workers.GangWaitS, 0.1, dayS},
		{"facts.workers.gang_peer_s", d.Workers.GangPeerLossS, 0.1, dayS},
		{"facts.workers.cancel_s", d.Workers.CancelS, 0.1, dayS},
		{"facts.state.rps", d.Store.RPS, 1, maxRate},
		{"facts.state.write_rps", d.Store.WriteRPS, 0.5, maxRate},
		{"facts.state.value_kb", d.Store.ValueKB, 1, 64},
		{"facts.state.txn_ops", float64(d.Store.TxnOps), 2, 1e6},
		{"facts.cloud.rps", d.Cloud.RPS, 0.1, maxRate},
		{"facts.cloud.list_lag_s", d.Cloud.ListLagS, 0, hourS},
		{"facts.resources.cores", d.Resources.Cores, 0.001, 4096},
		{"facts.resources.ram_mb", d.Resources.RAMMB, 24, 1e9},
		{"facts.resources.fd_limit", float64(d.Resources.FDLimit), 32, 1e9},
	}
	next := d.Store.Next
	if next.RPS != nil {
		numbers = append(numbers, numberSetting{"facts.state.next.rps", *next.RPS, 1, maxRate})
	}
	if next.WriteRPS != nil {
		numbers = append(numbers, numberSetting{"facts.state.next.write_rps", *next.WriteRPS, 0.5, maxRate})
	}
	if next.ValueKB != nil {
		numbers = append(numbers, numberSetting{"facts.state.next.value_kb", *next.ValueKB, 1, 64})
	}
	if next.TxnOps != nil {
		numbers = append(numbers, numberSetting{"facts.state.next.txn_ops", float64(*next.TxnOps), 2, 1e6})
	}
	return numbers
}

// validate checks that the intervals are consistent: a lease must be longer than the interval of the
// heartbeats that renew it, and shorter than the time within which all tasks of a cancelled job must
// end, so that leases can expire within that time.
func (w Workers) validate() error {
	if w.LeaseS <= w.HeartbeatS {
		return invalid("facts.workers.lease_s",
			"facts.workers.lease_s (%v) must exceed facts.workers.report_s (%v)", w.LeaseS, w.HeartbeatS)
	}
	if w.CancelS <= w.LeaseS {
		return invalid("facts.workers.cancel_s",
			"facts.workers.cancel_s (%v) must exceed facts.workers.lease_s (%v)", w.CancelS, w.LeaseS)
	}
	return nil
}

// validateTeams checks that team names are set and unique, and that amounts are finite and not
// negative.
func (d *Deployment) validateTeams() error {
	names := map[string]bool{}
	for i, t := range d.Teams {
		key := fmt.Sprintf("facts.teams[%d]", i)
		if t.Name == "" || names[t.Name] {
			return invalid(key+".name", "%s.name is missing or appears twice", key)
		}
		names[t.Name] = true
		for _, v := range []float64{t.GuaranteedCPUs, t.LimitCPUs, t.GuaranteedGPUs, t.LimitGPUs} {
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				return invalid(key, "%s (%s): amounts must be finite and not negative", key, t.Name)
			}
		}
	}
	return nil
}
