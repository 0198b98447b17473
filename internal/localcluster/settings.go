package localcluster

import (
	"fmt"
	"os"
	"path/filepath"

	"drumpick/internal/config"

	"github.com/pelletier/go-toml/v2"
)

// The region's times, in seconds: as short as workers may report, the others in the
// proportions of the users' deployments.
const (
	heartbeatS = 1.0
	leaseS     = 6.0
	cancelS    = 16.0
	startupS   = 2.0
)

// fdLimit gives a controller three quarters of so many connections for workers and users:
// enough for 4,000 workers, one connection each. It is a bound, and reserves nothing.
const fdLimit = 6000

// defaultDeployment are the region's figures.
func defaultDeployment(zones []string, controllers int) config.Deployment {
	return config.Deployment{
		Nodes: controllers, Zones: zones, TimeBoundMS: 100,
		Teams: []config.Team{
			{Name: "desk", GuaranteedCPUs: 16}, {Name: "field", GuaranteedCPUs: 8, LimitCPUs: 32}, {Name: "archive"},
		},
		Objectives: []config.Objective{
			{Kind: config.KindDeadline, Class: "export", Share: 0.9, Times: 1},
			{Kind: config.KindWait, Class: "export", WithinS: 10, Share: 0.9},
			{Kind: "finished", Class: "index", WithinS: 60, Share: 0.9},
		},
		Workers:   config.Workers{HeartbeatS: heartbeatS, LeaseS: leaseS, GangWaitS: 15, GangPeerS: 3, CancelS: cancelS},
		State:     config.State{RPS: 1000, WriteRPS: 200, ValueKB: 16, TxnOps: 16},
		Cloud:     config.Cloud{RPS: 20, ListLagS: 0.5},
		Resources: config.Resources{Cores: 1, RAMMB: 256, FDLimit: fdLimit},
	}
}

// writeSettings writes a controller's settings file and returns its path.
func writeSettings(dir string, c *config.Config) (string, error) {
	raw, err := toml.Marshal(c)
	if err != nil {
		return "", fmt.Errorf("settings of %s: %w", c.Node, err)
	}
	if _, err := config.Parse(raw); err != nil {
		return "", fmt.Errorf("settings of %s: %w", c.Node, err)
	}
	path := filepath.Join(dir, c.Node+".toml")
	return path, os.WriteFile(path, raw, 0o600)
}

// operatorOptions is the operators' file of every controller.
const operatorOptions = "[operator]\nenabled = true\n"
