package localcluster

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"path/filepath"
	"strings"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
)

const (
	storeFileName = "state.db"
	// maxRequestBytes is the size limit of a request body, for every service.
	maxRequestBytes = 64 << 10
	// workerVersion is the version of the workers on new machines.
	workerVersion = "1.0"
	// maxCommandDelay is the maximum time from the sending of a heartbeat until the worker executes the commands in the
	// response, as the protocol specifies.
	maxCommandDelay = 4 * time.Second
)

// startServices starts the servers of the cloud, of the control API and, unless Options.StoreAddr is set, of the store.
func (c *Cluster) startServices() (err error) {
	if c.Info.StoreAddr = c.options.StoreAddr; c.Info.StoreAddr == "" {
		if err = c.serveStore(); err != nil {
			return err
		}
	}
	c.configureEnvironment()
	c.Info.CloudAddr, err = c.serve(func(app *fiber.App) { simulation.ServeCloud(app, c.Environment) })
	if err != nil {
		return err
	}
	c.Info.ControlAddr, err = c.serve(c.mountControl)
	return err
}

// serveStore serves the store, which persists in a file.
func (c *Cluster) serveStore() (err error) {
	if c.storeFile, err = openStoreFile(filepath.Join(c.options.DataDir, storeFileName), c.Store); err != nil {
		return err
	}
	c.Info.StoreAddr, err = c.serve(func(app *fiber.App) {
		simulation.ServeStore(c.ctx, app, c.Store, c.storeFile.waitDurable)
	})
	return err
}

// ServeStore serves a store that persists in the file at path, and returns its address. When ctx ends, it closes the
// file; the listener stays open until the process ends. onRequest, if set, handles every request first.
func ServeStore(ctx context.Context, path string, onRequest fiber.Handler) (addr string, err error) {
	store := simulation.NewStore()
	file, err := openStoreFile(path, store)
	if err != nil {
		return "", err
	}
	_, addr, err = serveOnLoopback(func(app *fiber.App) {
		if onRequest != nil {
			app.Use(onRequest)
		}
		simulation.ServeStore(ctx, app, store, file.waitDurable)
	})
	if err != nil {
		return "", errors.Join(err, file.close())
	}
	context.AfterFunc(ctx, func() { _ = file.close() })
	return addr, nil
}

func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

func newApp() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: maxRequestBytes})
}

// serve serves the routes that mount registers on a new loopback address until Stop, and returns the address.
func (c *Cluster) serve(mount func(*fiber.App)) (string, error) {
	app, addr, err := serveOnLoopback(mount)
	if err != nil {
		return "", err
	}
	c.apps = append(c.apps, app)
	return addr, nil
}

// serveOnLoopback serves the routes that mount registers on a new loopback address, and returns the app and the
// address.
func serveOnLoopback(mount func(*fiber.App)) (*fiber.App, string, error) {
	ln, err := listen()
	if err != nil {
		return nil, "", fmt.Errorf("listen on loopback: %w", err)
	}
	app := newApp()
	mount(app)
	go func() { _ = app.Listener(ln) }()
	return app, ln.Addr().String(), nil
}

// configureEnvironment configures the simulated cloud, its machines and workers.
func (c *Cluster) configureEnvironment() {
	env, o := c.Environment, c.options
	workers := o.deployment().Workers
	env.HeartbeatInterval, env.Lease = config.Seconds(workers.HeartbeatS), config.Seconds(workers.LeaseS)
	env.GangStartTimeout, env.GangPeerTimeout = config.Seconds(workers.GangWaitS), config.Seconds(workers.GangPeerLossS)
	env.CancelLimit = config.Seconds(workers.CancelS)
	env.BootTime = config.Seconds(machineStartupS)
	env.MaxCommandDelay = maxCommandDelay
	env.ZoneCapacity, env.WorkerVersion = o.MachinesPerZone, workerVersion
	env.Types = o.MachineTypes
	if env.Types == nil {
		env.Types = defaultMachineTypes(o.Zones)
	}
	env.LookupJob = c.readOpenJob
	env.RunTime = o.RunTime
	if env.RunTime == nil {
		env.RunTime = c.runTimeNearEstimate
	}
	env.Listen, env.RemoteMachines = o.StartWorker, o.StartWorker != nil
	if env.Listen == nil {
		env.Listen = serveWorker
	}
}

// runTimeNearEstimate returns the run time of a task: 0.7 to 1.3 times its job's estimate, derived from a hash of the
// task's name. It returns 0 if the job is not open.
func (c *Cluster) runTimeNearEstimate(task string) time.Duration {
	id, _, _ := strings.Cut(task, "/")
	j, _ := c.readOpenJob(id)
	h := fnv.New32a()
	h.Write([]byte(task))
	return config.Seconds(j.EstimateS * (0.7 + 0.6*float64(h.Sum32()%1000)/1000))
}

// readOpenJob reads the open job with the given ID from the store, and reports whether there is one. Real workers
// fetch the job that its user uploaded instead.
func (c *Cluster) readOpenJob(id string) (records.Job, bool) {
	var j records.Job
	value := c.Store.Value(records.OpenKey(id))
	return j, value != "" && jsoncodec.Unmarshal([]byte(value), &j) == nil
}

// serveWorker serves a machine's worker on a new loopback address.
func serveWorker(m *simulation.Machine) (addr string, closeAddr func(), err error) {
	app := newApp()
	simulation.ServeWorker(app, m)
	ln, err := listen()
	if err != nil {
		return "", nil, err
	}
	go func() { _ = app.Listener(ln) }()
	return ln.Addr().String(), func() { ln.Close() }, nil
}

// trackCancellations reports each job with a stored cancellation to the environment, because users may have received
// the confirmation. The environment then checks that the job's tasks stop in time.
func (c *Cluster) trackCancellations() {
	var since uint64
	for c.ctx.Err() == nil {
		for _, kv := range c.Store.List(records.PrefixClosed) {
			var closed records.ClosedJob
			isNew := kv.Revision > since
			if isNew && jsoncodec.Unmarshal(kv.Value, &closed) == nil && closed.Status == records.StatusCancelled {
				c.Environment.RecordCancelConfirmation(strings.TrimPrefix(kv.Key, records.PrefixClosed))
			}
			since = max(since, kv.Revision)
		}
		c.Environment.CheckCancelled()
		if ctxtime.Sleep(c.ctx, config.Seconds(heartbeatIntervalS)) != nil {
			return
		}
	}
}
