package localcluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/httpclient"
	"drumpick/internal/simulation"
)

// optionsFileName is the name of the operators' settings file, which all controllers share.
const optionsFileName = "drumpick.ini"

// configureControllers chooses the controllers' addresses and writes their settings.
func (c *Cluster) configureControllers() error {
	release, err := c.chooseAddrs()
	defer release() // held until the settings are written, so that no other program takes the ports earlier
	if err != nil {
		return err
	}
	path := filepath.Join(c.options.DataDir, optionsFileName)
	if err := os.WriteFile(path, []byte(operatorOptionsText), 0o600); err != nil {
		return err
	}
	for i := range c.Info.Controllers {
		controller := &c.Info.Controllers[i]
		if controller.ConfigPath, err = writeSettings(c.options.DataDir, c.controllerConfig(*controller)); err != nil {
			return err
		}
	}
	return nil
}

// chosenAddrs holds the addresses of the controllers of all clusters of this process, so that none is assigned twice.
// A port is free between its release and the controller's start. A controller of another cluster with the same address
// could take the port in that time and receive this controller's requests.
var chosenAddrs sync.Map

// chooseAddrs names the controllers and chooses free ports for them. The ports stay open until release is called, so
// that none is chosen twice. The caller must call release even after an error.
func (c *Cluster) chooseAddrs() (release func(), err error) {
	o := c.options
	var held []net.Listener
	release = func() {
		for _, ln := range held {
			ln.Close()
		}
	}
	chooseAddr := func() (string, error) {
		for {
			ln, err := listen()
			if err != nil {
				return "", err
			}
			held = append(held, ln)
			addr := ln.Addr().String()
			if _, chosen := chosenAddrs.LoadOrStore(addr, true); !chosen {
				return addr, nil
			}
		}
	}
	for i := range o.Controllers {
		controller := Controller{Name: fmt.Sprintf("controller-%d", i+1), Zone: o.Zones[i%len(o.Zones)]}
		if controller.UserAddr, err = chooseAddr(); err != nil {
			return release, err
		}
		if controller.PeerAddr, err = chooseAddr(); err != nil {
			return release, err
		}
		controller.LogPath = filepath.Join(o.DataDir, controller.Name+".log")
		c.Info.Controllers = append(c.Info.Controllers, controller)
	}
	return release, nil
}

// controllerConfig returns the settings of a controller.
func (c *Cluster) controllerConfig(controller Controller) *config.Config {
	cfg := &config.Config{
		Node: controller.Name, Zone: controller.Zone, UserAddr: controller.UserAddr, PeerAddr: controller.PeerAddr,
		External:   config.External{Cloud: c.Info.CloudAddr, Store: c.Info.StoreAddr},
		Deployment: c.options.deployment(),
	}
	for _, other := range c.Info.Controllers {
		if other.Name != controller.Name {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: other.Name, Zone: other.Zone, Addr: other.PeerAddr})
		}
	}
	return cfg
}

// commandLine returns the command line that runs a controller with the given program and arguments.
func (c *Cluster) commandLine(controller Controller, program string, arguments []string) []string {
	line := append([]string{program}, arguments...)
	return append(line, "--config", controller.ConfigPath)
}

const (
	// workerConnections is the maximum number of connections from all workers to one controller.
	workerConnections = 1000
	dialTimeout       = time.Second / 2
)

// startControllers starts the controllers and sets up the clients that send workers' heartbeats to them.
func (c *Cluster) startControllers() {
	o := c.options
	if o.ControllerArgs == nil {
		o.ControllerArgs = []string{"--options", filepath.Join(o.DataDir, optionsFileName)}
	}
	var clients []*httpclient.Client
	for _, controller := range c.Info.Controllers {
		c.Environment.Controllers = append(c.Environment.Controllers, controller.Name)
		clients = append(clients, httpclient.New(controller.UserAddr, workerConnections, dialTimeout))
		p := &supervisedProcess{
			name:         controller.Name,
			args:         c.commandLine(controller, o.ControllerProgram, o.ControllerArgs),
			env:          []string{"LOG_LEVEL=" + o.LogLevel},
			logPath:      controller.LogPath,
			restartDelay: config.Seconds(o.deployment().Workers.HeartbeatS),
			ended:        make(chan struct{}),
			quit:         make(chan struct{}),
		}
		c.controllers = append(c.controllers, p)
		go p.run()
	}
	c.Environment.Heartbeat = simulation.HeartbeatOverHTTP(
		func(_ string, controller int, body []byte) (int, []byte, error) {
			// By the protocol, workers wait four seconds for a response; a local cluster's intervals are shorter.
			deadline := time.Now().Add(config.Seconds(2 * heartbeatIntervalS))
			return clients[controller].Do(http.MethodPost, "/checkin", "application/json", body, deadline)
		})
}

// readyPollInterval is the interval between readiness checks of a controller.
const readyPollInterval = 20 * time.Millisecond

// waitReady waits until every controller is ready to serve requests. It returns an error if ctx ends or a controller's
// process is no longer restarted.
func (c *Cluster) waitReady(ctx context.Context) error {
	for i, controller := range c.Info.Controllers {
		if err := waitControllerReady(ctx, controller, c.controllers[i]); err != nil {
			return err
		}
	}
	return nil
}

func waitControllerReady(ctx context.Context, controller Controller, p *supervisedProcess) error {
	probe := httpclient.New(controller.UserAddr, 1, time.Second)
	defer probe.Close()
	for {
		status, _, err := probe.Do(http.MethodGet, "/ready", "", nil, time.Now().Add(time.Second))
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err := p.failure(); err != nil {
			return err
		}
		if err := ctxtime.Sleep(ctx, readyPollInterval); err != nil {
			return err
		}
	}
}

// findProcess returns the process of a controller, or nil if there is no such controller.
func (c *Cluster) findProcess(controller string) *supervisedProcess {
	i := slices.IndexFunc(c.controllers, func(p *supervisedProcess) bool { return p.name == controller })
	if i < 0 {
		return nil
	}
	return c.controllers[i]
}

// ControllerPID returns the process ID of a controller's last start, or 0 if there is none.
func (c *Cluster) ControllerPID(controller string) int {
	if p := c.findProcess(controller); p != nil {
		return p.pid()
	}
	return 0
}
