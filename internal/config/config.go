// Package config reads what the platform hands over (TOML) and what operators
// set themselves (INI), and refuses what would make a controller misbehave.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Config is the platform's settings file.
type Config struct {
	Node       string     `toml:"node_name"`
	Zone       string     `toml:"zone"`
	UserAddr   string     `toml:"bind"`
	PeerAddr   string     `toml:"back"`
	Peers      []Peer     `toml:"seeds"`
	External   External   `toml:"external"`
	Deployment Deployment `toml:"facts"`
	Options    Options    `toml:"-"`
}

// Peer is another controller.
type Peer struct {
	Node string `toml:"node_name"`
	Zone string `toml:"zone"`
	Addr string `toml:"peer_addr"`
}

// External names the outside services by address.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Deployment are the figures of the deployment.
type Deployment struct {
	Nodes       int         `toml:"nodes"`
	Zones       []string    `toml:"zones"`
	TimeBoundMS float64     `toml:"time_bound_ms"`
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     Workers     `toml:"workers"`
	State       State       `toml:"state"`
	Cloud       Cloud       `toml:"cloud"`
	Resources   Resources   `toml:"resources"`
}

// Team has a guarantee (cpus, gpus) and a limit (*_max); 0 means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	LimitCPUs      float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	LimitGPUs      float64 `toml:"gpus_max"`
}

// Kinds of objectives that say when: the others do not bear on the order of work.
const (
	KindWait     = "wait"
	KindDeadline = "deadline"
	// KindGuarantee is for work within a guarantee, of whatever class.
	KindGuarantee = "guarantee"
)

// Objective is what users expect of a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers holds the timing that workers keep.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	GangWaitS  float64 `toml:"gang_wait_s"`
	GangPeerS  float64 `toml:"gang_peer_s"`
	CancelS    float64 `toml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64        `toml:"rps"`
	WriteRPS float64        `toml:"write_rps"`
	ValueKB  float64        `toml:"value_kb"`
	TxnOps   int            `toml:"txn_ops"`
	Next     UpcomingLimits `toml:"next"`
}

// UpcomingLimits holds the limits that the state service will have from some moment on,
// without notice; nil where a limit stays.
type UpcomingLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Lowest gives the limits that hold now and later: what keeps to them is taken
// whenever the service changes over.
func (s State) Lowest() State {
	l := State{RPS: s.RPS, WriteRPS: s.WriteRPS, ValueKB: s.ValueKB, TxnOps: s.TxnOps}
	for _, f := range []struct{ to, next *float64 }{
		{&l.RPS, s.Next.RPS}, {&l.WriteRPS, s.Next.WriteRPS}, {&l.ValueKB, s.Next.ValueKB},
	} {
		if f.next != nil {
			*f.to = min(*f.to, *f.next)
		}
	}
	if n := s.Next.TxnOps; n != nil {
		l.TxnOps = min(l.TxnOps, *n)
	}
	return l
}

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources is what one controller may use of its machine.
type Resources struct {
	Cores   float64 `toml:"cores"`
	RAMMB   float64 `toml:"ram_mb"`
	FDLimit int     `toml:"fd_limit"`
}

// Seconds turns a figure of the settings into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Drift is by how much steady clocks of two machines may differ over d.
func Drift(d time.Duration) time.Duration { return d / 1000 }

// Load reads and checks a settings file.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return c, nil
}

// Parse reads and checks settings from text.
func Parse(raw []byte) (*Config, error) {
	c := &Config{Options: DefaultOptions()}
	if err := toml.Unmarshal(raw, c); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			return nil, fmt.Errorf("line %d, column %d: %s: %s", row, col, strings.Join(de.Key(), "."), de.Error())
		}
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) check() error {
	if c.Node == "" {
		return errors.New("node_name is missing")
	}
	if c.Zone == "" {
		return errors.New("zone is missing")
	}
	for _, a := range []struct{ field, addr string }{
		{"bind", c.UserAddr}, {"back", c.PeerAddr},
		{"external.cloud", c.External.Cloud}, {"external.state", c.External.State},
	} {
		if err := checkAddr(a.field, a.addr); err != nil {
			return err
		}
	}
	if err := c.checkSeeds(); err != nil {
		return err
	}
	if c.Deployment.Nodes == 0 {
		c.Deployment.Nodes = len(c.Peers) + 1
	}
	if len(c.Deployment.Zones) == 0 {
		return errors.New("facts.zones is missing")
	}
	if err := c.Deployment.checkFigures(); err != nil {
		return err
	}
	return c.Deployment.checkTeams()
}

// checkSeeds checks the other controllers.
func (c *Config) checkSeeds() error {
	names := map[string]bool{c.Node: true}
	for i, s := range c.Peers {
		if s.Node == "" {
			return fmt.Errorf("seeds[%d].node_name is missing", i)
		}
		if names[s.Node] {
			return fmt.Errorf("seeds[%d].node_name %q appears twice", i, s.Node)
		}
		names[s.Node] = true
		if err := checkAddr(fmt.Sprintf("seeds[%d].peer_addr", i), s.Addr); err != nil {
			return err
		}
	}
	return nil
}

// checkFigures checks that all figures are within their ranges, and go together.
func (f *Deployment) checkFigures() error {
	type figure struct {
		field    string
		v        float64
		min, max float64
	}
	figures := []figure{
		{"facts.nodes", float64(f.Nodes), 1, 1000},
		{"facts.time_bound_ms", f.TimeBoundMS, 0, 3600e3},
		{"facts.workers.report_s", f.Workers.HeartbeatS, 0.01, 3600},
		{"facts.workers.lease_s", f.Workers.LeaseS, 0.1, 86400},
		{"facts.workers.gang_wait_s", f.Workers.GangWaitS, 0.1, 86400},
		{"facts.workers.gang_peer_s", f.Workers.GangPeerS, 0.1, 86400},
		{"facts.workers.cancel_s", f.Workers.CancelS, 0.1, 86400},
		{"facts.state.rps", f.State.RPS, 1, 1e9},
		{"facts.state.write_rps", f.State.WriteRPS, 0.5, 1e9},
		{"facts.state.value_kb", f.State.ValueKB, 1, 64},
		{"facts.state.txn_ops", float64(f.State.TxnOps), 2, 1e6},
		{"facts.cloud.rps", f.Cloud.RPS, 0.1, 1e9},
		{"facts.cloud.list_lag_s", f.Cloud.ListLagS, 0, 3600},
		{"facts.resources.cores", f.Resources.Cores, 0.001, 4096},
		{"facts.resources.ram_mb", f.Resources.RAMMB, 24, 1e9},
		{"facts.resources.fd_limit", float64(f.Resources.FDLimit), 32, 1e9},
	}
	for _, n := range []struct {
		field    string
		v        *float64
		min, max float64
	}{
		{"facts.state.next.rps", f.State.Next.RPS, 1, 1e9},
		{"facts.state.next.write_rps", f.State.Next.WriteRPS, 0.5, 1e9},
		{"facts.state.next.value_kb", f.State.Next.ValueKB, 1, 64},
	} {
		if n.v != nil {
			figures = append(figures, figure{n.field, *n.v, n.min, n.max})
		}
	}
	if n := f.State.Next.TxnOps; n != nil {
		figures = append(figures, figure{"facts.state.next.txn_ops", float64(*n), 2, 1e6})
	}
	for _, n := range figures {
		if math.IsNaN(n.v) || n.v < n.min || n.v > n.max {
			return fmt.Errorf("%s is missing or out of range: %v is not within %v to %v", n.field, n.v, n.min, n.max)
		}
	}
	if f.Workers.LeaseS <= f.Workers.HeartbeatS {
		return fmt.Errorf("facts.workers.lease_s (%v) must exceed facts.workers.report_s (%v)", f.Workers.LeaseS, f.Workers.HeartbeatS)
	}
	if f.Workers.CancelS <= f.Workers.LeaseS {
		return fmt.Errorf("facts.workers.cancel_s (%v) must exceed facts.workers.lease_s (%v)", f.Workers.CancelS, f.Workers.LeaseS)
	}
	return nil
}

// checkTeams checks the teams.
func (f *Deployment) checkTeams() error {
	teams := map[string]bool{}
	for i, t := range f.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("facts.teams[%d].name is missing or appears twice", i)
		}
		teams[t.Name] = true
		for _, v := range []float64{t.GuaranteedCPUs, t.LimitCPUs, t.GuaranteedGPUs, t.LimitGPUs} {
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				return fmt.Errorf("facts.teams[%d] (%s): amounts must be finite and not negative", i, t.Name)
			}
		}
	}
	return nil
}

func checkAddr(field, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s is missing", field)
	}
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		return fmt.Errorf("%s: %q is not host:port", field, addr)
	}
	return nil
}

// HeartbeatInterval is the interval between a worker's reports.
func (c *Config) HeartbeatInterval() time.Duration { return Seconds(c.Deployment.Workers.HeartbeatS) }
