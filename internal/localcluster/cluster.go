// Package localcluster runs a whole deployment on one machine: a store backed by a file, a simulated cloud with
// machines and workers, both served over HTTP on loopback, and controllers as processes. It is for experiments and
// tests.
package localcluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"drumpick/client"
	"drumpick/internal/config"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
)

// Options configures a local cluster.
type Options struct {
	DataDir           string   // directory for the store file, settings and logs; created if missing
	ControllerProgram string   // path of the controller program
	ControllerArgs    []string // arguments of every controller, before --config; nil: the default options file
	Zones             []string // names
	Controllers       int      // number of controllers
	MachinesPerZone   int      // maximum number of spot machines, and of on-demand machines, in each zone
	LogLevel          string   // LOG_LEVEL of the controllers
	// RunTime, if set, returns the run time of a task. Otherwise tasks run for 0.7 to 1.3 times their job's estimate.
	RunTime func(task string) time.Duration
	// Deployment, if set, replaces the default deployment settings.
	Deployment *config.Deployment
	// MachineTypes, if set, replaces the default machine types of the cloud.
	MachineTypes []records.MachineType
	// StoreAddr, if set, is the address of a running store. The cluster then starts no store of its own.
	StoreAddr string
	// StartWorker, if set, starts a rented machine with its worker outside this process. It returns the machine's
	// address and a function that terminates the machine.
	StartWorker func(m *simulation.Machine) (addr string, terminate func(), err error)
}

// deployment returns the deployment settings that all controllers share.
func (o Options) deployment() config.Deployment {
	if o.Deployment != nil {
		return *o.Deployment
	}
	return defaultDeployment(o.Zones, o.Controllers)
}

// Cluster is a running local cluster.
type Cluster struct {
	Info        Info
	Store       *simulation.Store // empty if Options.StoreAddr is set
	Environment *simulation.Environment

	options     Options
	ctx         context.Context // cancelled by Stop
	cancel      context.CancelFunc
	storeFile   *storeFile // nil if Options.StoreAddr is set
	apps        []*fiber.App
	controllers []*supervisedProcess
}

// Info holds the addresses of a cluster, as its info file stores them.
type Info struct {
	PID         int          `json:"pid"`
	ControlAddr string       `json:"control"` // address of the cluster's control API
	StoreAddr   string       `json:"state"`
	CloudAddr   string       `json:"cloud"`
	Controllers []Controller `json:"controllers"`
}

// Controller describes a controller of a cluster.
type Controller struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	UserAddr   string `json:"bind"` // serves users and workers
	PeerAddr   string `json:"back"` // serves the other controllers
	ConfigPath string `json:"config"`
	LogPath    string `json:"log"`
}

// Addrs returns the addresses at which the controllers serve users and workers.
func (info Info) Addrs() []string {
	var addrs []string
	for _, c := range info.Controllers {
		addrs = append(addrs, c.UserAddr)
	}
	return addrs
}

const infoFile = "region.json"

// ReadInfo reads the info file of the cluster that runs in the directory data.
func ReadInfo(data string) (Info, error) {
	var info Info
	raw, err := os.ReadFile(filepath.Join(data, infoFile))
	if err == nil {
		err = jsoncodec.Unmarshal(raw, &info)
	}
	if err != nil {
		return info, fmt.Errorf("no local cluster runs in %s (drumpickctl local up starts one): %w", data, err)
	}
	return info, nil
}

const (
	// maxStartAttempts is the maximum number of attempts to start a cluster. Start retries only if another program has
	// taken one of the cluster's ports.
	maxStartAttempts = 3
	// portInUseText is part of a controller's last log line if its port is taken. The error of startOnce contains this
	// line.
	portInUseText = "address already in use"
)

// Start starts a cluster and waits until every controller is ready to serve requests. ctx limits only this wait; the
// cluster runs until Stop.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if err := os.MkdirAll(o.DataDir, 0o700); err != nil {
		return nil, err
	}
	var lastErr error
	for range maxStartAttempts {
		c, err := startOnce(ctx, o)
		if err == nil || !strings.Contains(err.Error(), portInUseText) {
			return c, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// startOnce makes one attempt to start a cluster. If the attempt fails, it stops what it has started.
func startOnce(ctx context.Context, o Options) (_ *Cluster, err error) {
	runCtx, cancel := context.WithCancel(context.Background())
	c := &Cluster{
		options: o, ctx: runCtx, cancel: cancel,
		Store: simulation.NewStore(), Environment: simulation.NewEnvironment(runCtx),
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

// writeInfo writes the info file, which ReadInfo reads.
func (c *Cluster) writeInfo() error {
	raw, err := jsoncodec.MarshalIndent(c.Info, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.options.DataDir, infoFile), raw, 0o600)
}

// Client returns a new client of the cluster's controllers.
func (c *Cluster) Client() *client.Client {
	userClient, err := client.New(c.Info.Addrs()...)
	if err != nil {
		panic(fmt.Sprintf("client of the local cluster: %v", err))
	}
	userClient.PollInterval = config.Seconds(heartbeatIntervalS)
	return userClient
}

// shutdownTimeout is the maximum time that a stopping HTTP server waits for requests in progress.
const shutdownTimeout = time.Second

// Stop stops all controllers, machines and servers. It must be called only once. It removes the info file if this
// process wrote it, and keeps the rest of the data directory.
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
	if info, err := ReadInfo(c.options.DataDir); err == nil && info.PID == os.Getpid() {
		errs = append(errs, os.Remove(filepath.Join(c.options.DataDir, infoFile)))
	}
	// Ignore shutdown timeouts, because open watches of the store cause them.
	errs = slices.DeleteFunc(errs, func(err error) bool { return errors.Is(err, context.DeadlineExceeded) })
	return errors.Join(errs...)
}
