package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/localcluster"
	"drumpick/internal/records"

	"github.com/pelletier/go-toml/v2"
)

// deployFile says how a controller is started, from the repository's root.
const deployFile = "deploy/service.toml"

// startTimeout bounds the start of a deployment.
const startTimeout = 20 * time.Second

// site is a site of the users, with a machine type for its machines.
type site struct {
	settings        config.Deployment
	machine         records.MachineType // without zones
	machinesPerZone int                 // as localcluster.Options.MachinesPerZone
}

// deployment is a running deployment with the settings of a site.
type deployment struct {
	*localcluster.Cluster
	*record
	site    site
	trouble bool   // the disruption takes place
	data    string // temporary folder
}

// startDeployment starts a deployment in a temporary folder, and waits until every controller is ready.
func startDeployment(rec *record, at site, trouble bool) (*deployment, error) {
	program, arguments, err := deployCommand()
	if err != nil {
		return nil, err
	}
	data, err := os.MkdirTemp("", "drumpick-review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	settings, machine := at.settings, at.machine
	machine.Zones = settings.Zones
	cluster, err := localcluster.Start(ctx, localcluster.Options{
		DataDir: data, ControllerProgram: program, ControllerArgs: arguments,
		Zones: settings.Zones, Controllers: settings.Nodes, MachinesPerZone: at.machinesPerZone, LogLevel: "info",
		RunTime:      func(string) time.Duration { return 10 * time.Second },
		Deployment:   &settings,
		MachineTypes: []records.MachineType{machine},
	})
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(data))
	}
	d := &deployment{Cluster: cluster, record: rec, site: at, trouble: trouble, data: data}
	for _, c := range cluster.Info.Controllers {
		d.printf("controller %s serves users and workers at %s", c.Name, c.UserAddr)
	}
	d.Environment.SetBootTime(func() time.Duration { return 12 * time.Second })
	return d, nil
}

// stop ends all processes of the deployment and removes its folder.
func (d *deployment) stop() {
	_ = d.Stop()
	_ = os.RemoveAll(d.data)
}

// deployCommand returns the program and the arguments with which the deploy file starts a controller, without the
// last argument, which takes the path of the settings file.
func deployCommand() (program string, arguments []string, err error) {
	raw, err := os.ReadFile(deployFile)
	if err != nil {
		return "", nil, err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		return "", nil, err
	}
	words := strings.Fields(deploy.Run)
	if len(words) < 2 || words[len(words)-1] != "--config" {
		return "", nil, errors.New("the deploy file's run command does not end with --config")
	}
	if program, err = filepath.Abs(words[0]); err == nil {
		_, err = os.Stat(program)
	}
	return program, words[1 : len(words)-1], err
}

// warsaw is the press archive in Warsaw: three controllers in two zones.
var warsaw = site{
	settings: config.Deployment{
		Nodes: 3, Zones: []string{"serwerownia-nowa", "serwerownia-stara"}, MaxClockErrorMS: 100,
		Teams:     []config.Team{{Name: "digitisation-desk"}},
		Workers:   config.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 35, GangPeerLossS: 8, CancelS: 32},
		Store:     config.StoreLimits{RPS: 150, WriteRPS: 20, ValueKB: 8, TxnOps: 16},
		Cloud:     config.CloudLimits{RPS: 4, ListLagS: 3},
		Resources: config.Resources{Cores: 0.06, RAMMB: 125, FDLimit: 1200},
	},
	machine: records.MachineType{
		Name: "skaner-box", CPUs: 4, MemGB: 16, CacheGB: 40, FetchGBps: 0.3, Price: 0.2, SpotPrice: 0.05, StartupS: 20,
	},
	machinesPerZone: 10,
}

// krakow is the press archive in Kraków: seven controllers in two zones.
var krakow = site{
	settings: config.Deployment{
		Nodes: 7, Zones: []string{"hala-podgorze", "piwnica-grodzka"}, MaxClockErrorMS: 250,
		Teams:     []config.Team{{Name: "prawa-autorskie", GuaranteedCPUs: 800, LimitCPUs: 2500}},
		Workers:   config.Workers{HeartbeatS: 1.5, LeaseS: 12, GangWaitS: 50, GangPeerLossS: 8, CancelS: 32},
		Store:     config.StoreLimits{RPS: 70, WriteRPS: 25, ValueKB: 16, TxnOps: 12},
		Cloud:     config.CloudLimits{RPS: 4, ListLagS: 8},
		Resources: config.Resources{Cores: 0.144, RAMMB: 98, FDLimit: 800},
	},
	machine: records.MachineType{
		Name: "maly-wezel", CPUs: 4, MemGB: 32, CacheGB: 70, FetchGBps: 0.8, Price: 0.32, SpotPrice: 0.13, StartupS: 40,
	},
	machinesPerZone: 25,
}
