// Package localcluster runs a whole deployment on one machine: the store kept in a file, the cloud with its
// machines and workers over HTTP on loopback, and controllers as processes. It is for newcomers, for trying things
// out, and for tests.
package localcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"drumpick/client"
	"drumpick/internal/config"
	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
)

// Options say what to run.
type Options struct {
	DataDir           string   // directory for records, settings and logs; it is made
	ControllerProgram string   // the controllers' program
	ControllerArgs    []string // of every controller, before --config
	Zones             []string
	Controllers       int
	MachinesPerZone   int    // that a zone has, spot and ordinary ones each
	LogLevel          string // of the controllers
	// RunTime, where set, returns how long tasks run; otherwise they run near their estimate.
	RunTime func(task string) time.Duration
	// Deployment, where set, replaces the deployment's settings.
	Deployment *config.Deployment
	// MachineTypes, where set, are the machines that can be rented.
	MachineTypes []records.MachineType
	// StoreAddr, where set, is the address of a store that runs already.
	StoreAddr string
	// StartWorker, where set, opens a machine's address, and has its worker run elsewhere.
	StartWorker func(m *simulation.Machine) (addr string, end func(), err error)
}

// deployment returns the settings that the controllers share.
func (o Options) deployment() config.Deployment {
	if o.Deployment != nil {
		return *o.Deployment
	}
	return defaultDeployment(o.Zones, o.Controllers)
}

// Cluster is a deployment that runs.
type Cluster struct {
	Info        Info
	Store       *simulation.Store
	Environment *simulation.Environment

	options     Options
	ctx         context.Context // ends with Stop
	cancel      context.CancelFunc
	storeFile   *storeFile // nil if the store runs elsewhere
	apps        []*fiber.App
	controllers []*supervisedProcess
}

// Info is how to reach a cluster, as the file in its directory has it.
type Info struct {
	PID         int          `json:"pid"`
	ControlAddr string       `json:"control"` // of the cluster itself
	StoreAddr   string       `json:"state"`
	CloudAddr   string       `json:"cloud"`
	Controllers []Controller `json:"controllers"`
}

// Controller is one of a cluster's controllers.
type Controller struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	UserAddr   string `json:"bind"`
	PeerAddr   string `json:"back"`
	ConfigPath string `json:"config"`
	LogPath    string `json:"log"`
}

// Addrs returns the controllers' addresses for users.
func (i Info) Addrs() []string {
	var addrs []string
	for _, c := range i.Controllers {
		addrs = append(addrs, c.UserAddr)
	}
	return addrs
}

const infoFile = "region.json"

// ReadInfo reads how to reach the cluster of a directory.
func ReadInfo(data string) (Info, error) {
	var i Info
	raw, err := os.ReadFile(filepath.Join(data, infoFile))
	if err == nil {
		err = json.Unmarshal(raw, &i)
	}
	if err != nil {
		return i, fmt.Errorf("no local region runs in %s (drumpickctl local up starts one): %w", data, err)
	}
	return i, nil
}

const (
	// maxStartAttempts is how often a cluster is started where another program took one of its ports in between.
	maxStartAttempts = 3
	// portInUseText is what a controller's log says then.
	portInUseText = "address already in use"
)

// Start starts a cluster and waits until every controller can take requests.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if err := os.MkdirAll(o.DataDir, 0o700); err != nil {
		return nil, err
	}
	var failed error
	for range maxStartAttempts {
		c, err := startOnce(ctx, o)
		if err == nil || !strings.Contains(err.Error(), portInUseText) {
			return c, err
		}
		failed = err
	}
	return nil, failed
}

func startOnce(ctx context.Context, o Options) (_ *Cluster, err error) {
	run, cancel := context.WithCancel(context.Background())
	c := &Cluster{
		options: o, ctx: run, cancel: cancel,
		Store: simulation.NewStore(), Environment: simulation.NewEnvironment(run),
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, c.Stop())
		}
	}()
	if err = c.startServices(); err != nil {
		return nil, err
	}
	if err = c.configureControllers(); err != nil {
		return nil, err
	}
	c.startControllers()
	if o.StoreAddr == "" {
		go c.trackCancellations()
	}
	if err = c.waitReady(ctx); err != nil {
		return nil, err
	}
	c.Info.PID = os.Getpid()
	return c, c.writeInfo()
}

// writeInfo writes how to reach the cluster, for Find.
func (c *Cluster) writeInfo() error {
	raw, err := json.MarshalIndent(c.Info, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.options.DataDir, infoFile), raw, 0o600)
}

// Client returns a client of the cluster.
func (c *Cluster) Client() *client.Client {
	users, err := client.New(c.Info.Addrs()...)
	if err != nil {
		panic(fmt.Sprintf("a cluster without controllers: %v", err))
	}
	users.PollInterval = config.Seconds(heartbeatIntervalS)
	return users
}

// shutdownTimeout bounds how long an HTTP server waits for the requests under way.
const shutdownTimeout = time.Second

// Stop ends everything that runs. The records stay.
func (c *Cluster) Stop() error {
	for _, p := range c.controllers {
		p.stop()
	}
	c.cancel()
	for _, m := range c.Environment.Machines() {
		m.Terminate()
	}
	var errs []error
	for _, app := range c.apps {
		errs = append(errs, app.ShutdownWithTimeout(shutdownTimeout))
	}
	if c.storeFile != nil {
		errs = append(errs, c.storeFile.close())
	}
	if i, err := ReadInfo(c.options.DataDir); err == nil && i.PID == os.Getpid() {
		errs = append(errs, os.Remove(filepath.Join(c.options.DataDir, infoFile)))
	}
	// Open watches outlast the timeout.
	errs = slices.DeleteFunc(errs, func(err error) bool { return errors.Is(err, context.DeadlineExceeded) })
	return errors.Join(errs...)
}
