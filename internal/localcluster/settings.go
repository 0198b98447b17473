package localcluster

import (
	"fmt"
	"os"
	"path/filepath"

	"drumpick/internal/config"
	"drumpick/internal/records"

	"github.com/pelletier/go-toml/v2"
)

// Intervals and timeouts of a local cluster, in seconds. The heartbeat interval is the shortest that workers support.
// The other times have the same ratio to it as in users' deployments.
const (
	heartbeatIntervalS = 1.0
	leaseS             = 6.0
	cancelS            = 16.0
	machineStartupS    = 2.0
)

// fdLimit is a controller's maximum number of file descriptors. Three quarters of them are for connections of workers
// and users, enough for 4,000 workers with one connection each. The limit reserves nothing.
const fdLimit = 6000

// defaultDeployment returns the default deployment settings.
func defaultDeployment(zones []string, controllers int) config.Deployment {
	return config.Deployment{
		Nodes: controllers, Zones: zones, MaxClockErrorMS: 100,
		Teams: []config.Team{
			{Name: "desk", GuaranteedCPUs: 16}, {Name: "field", GuaranteedCPUs: 8, LimitCPUs: 32}, {Name: "archive"},
		},
		Objectives: []config.Objective{
			{Kind: config.KindDeadline, Class: "export", Share: 0.9, DeadlineFactor: 1},
			{Kind: config.KindWait, Class: "export", WithinS: 10, Share: 0.9},
			{Kind: "finished", Class: "index", WithinS: 60, Share: 0.9},
		},
		Workers:   config.Workers{HeartbeatS: heartbeatIntervalS, LeaseS: leaseS, GangWaitS: 15, GangPeerLossS: 3, CancelS: cancelS},
		Store:     config.StoreLimits{RPS: 1000, WriteRPS: 200, ValueKB: 16, TxnOps: 16},
		Cloud:     config.CloudLimits{RPS: 20, ListLagS: 0.5},
		Resources: config.Resources{Cores: 1, RAMMB: 256, FDLimit: fdLimit},
	}
}

// defaultMachineTypes returns the default machine types of the cloud.
func defaultMachineTypes(zones []string) []records.MachineType {
	return []records.MachineType{{
		Name: "c4", CPUs: 4, MemGB: 16, CacheGB: 50, FetchGBps: 1,
		Price: 0.2, SpotPrice: 0.05, StartupS: machineStartupS, Zones: zones,
	}}
}

// writeSettings checks and writes a controller's settings file, and returns its path.
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

// operatorOptionsText is the content of the operators' settings file.
const operatorOptionsText = "[operator]\nenabled = true\n"
