package localcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"path/filepath"
	"strings"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
)

const (
	storeFileName = "state.db"
	// maxRequestBytes bounds the body of a request to any service.
	maxRequestBytes = 64 << 10
	// workerVersion is the version of the workers of new machines.
	workerVersion = "1.0"
	// maxCommandDelay is how long after a heartbeat its answer is still carried out (PROTOCOL).
	maxCommandDelay = 4 * time.Second
)

// startServices serves the store, unless one runs already, the cloud and the control of the cluster.
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

// serveStore serves the store, kept in a file.
func (c *Cluster) serveStore() (err error) {
	if c.storeFile, err = openStoreFile(filepath.Join(c.options.DataDir, storeFileName), c.Store); err != nil {
		return err
	}
	c.Info.StoreAddr, err = c.serve(func(app *fiber.App) {
		simulation.ServeStore(c.ctx, app, c.Store, c.storeFile.waitDurable)
	})
	return err
}

// ServeStore serves a store kept in a file, at an address of its own, until ctx ends. onRequest, where it is set,
// is a handler that each request passes first.
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

// serve opens an address that Stop closes, and returns it.
func (c *Cluster) serve(mount func(*fiber.App)) (string, error) {
	app, addr, err := serveOnLoopback(mount)
	if err != nil {
		return "", err
	}
	c.apps = append(c.apps, app)
	return addr, nil
}

// serveOnLoopback opens an address on loopback and serves what is mounted there.
func serveOnLoopback(mount func(*fiber.App)) (*fiber.App, string, error) {
	ln, err := listen()
	if err != nil {
		return nil, "", fmt.Errorf("local region: %w", err)
	}
	app := newApp()
	mount(app)
	go func() { _ = app.Listener(ln) }()
	return app, ln.Addr().String(), nil
}

// configureEnvironment sets up the cloud's machines and their workers.
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

// runTimeNearEstimate returns how long a task runs: 0.7 to 1.3 times its job's estimate, by its name.
func (c *Cluster) runTimeNearEstimate(task string) time.Duration {
	id, _, _ := strings.Cut(task, "/")
	j, _ := c.readOpenJob(id)
	h := fnv.New32a()
	h.Write([]byte(task))
	return config.Seconds(j.EstimateS * (0.7 + 0.6*float64(h.Sum32()%1000)/1000))
}

// readOpenJob reads an open job, as workers fetch what users uploaded.
func (c *Cluster) readOpenJob(id string) (records.Job, bool) {
	var j records.Job
	value := c.Store.Value(records.OpenKey(id))
	return j, value != "" && json.Unmarshal([]byte(value), &j) == nil
}

// serveWorker opens a machine's address.
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

// trackCancellations tells the environment which jobs users may know to be cancelled, so that it can check that
// their tasks go.
func (c *Cluster) trackCancellations() {
	var since uint64
	for c.ctx.Err() == nil {
		for _, kv := range c.Store.List(records.PrefixClosed) {
			var closed records.ClosedJob
			isNew := kv.Revision > since
			if isNew && json.Unmarshal(kv.Value, &closed) == nil && closed.Status == records.StatusCancelled {
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
