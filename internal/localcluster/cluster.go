// Package region runs a whole deployment on one machine: the state service kept in a file,
// the cloud with its machines and workers over HTTP on loopback, and controllers as real
// processes. It is for newcomers, for trying things out, and for tests.
package localcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"drumpick/client"
	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/httpclient"
	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
)

// Options say what to run.
type Options struct {
	Data        string   // directory for records, settings and logs; it is made
	Controller  string   // the controllers' program
	Arguments   []string // of every controller, before --config
	Zones       []string
	Controllers int
	Machines    int    // to be had in a zone, cheap and ordinary ones each
	LogLevel    string // of the controllers
	// RunFor, where set, says how long tasks run; otherwise near their estimate.
	RunTime func(task string) time.Duration
	// Facts, where set, replace the figures that the region runs by.
	Deployment *config.Deployment
	// Types, where set, are the machines to be had.
	MachineTypes []records.MachineType
	// State, where set, is the address of a state service that runs already.
	StoreAddr string
	// Workers, where set, opens a machine's address, and has its worker run elsewhere.
	StartWorker func(m *simulation.Machine) (addr string, end func(), err error)
}

// deployment are the figures that the region runs by.
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
	ctx         context.Context
	cancel      context.CancelFunc
	storeFile   *storeFile
	apps        []*fiber.App
	controllers []*process
}

// Info is how to reach a region, as its directory tells it.
type Info struct {
	PID         int          `json:"pid"`
	ControlAddr string       `json:"control"` // of the region itself
	StoreAddr   string       `json:"state"`
	CloudAddr   string       `json:"cloud"`
	Controllers []Controller `json:"controllers"`
}

// Controller is one of a region's controllers.
type Controller struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	UserAddr   string `json:"bind"`
	PeerAddr   string `json:"back"`
	ConfigPath string `json:"config"`
	LogPath    string `json:"log"`
}

// Addrs are the controllers' addresses for users.
func (i Info) Addrs() []string {
	var addrs []string
	for _, c := range i.Controllers {
		addrs = append(addrs, c.UserAddr)
	}
	return addrs
}

const infoFile = "region.json"

// Find reads how to reach the region of a directory.
func Find(data string) (Info, error) {
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

// startTries is how often a region is started anew where another program took one of its
// ports in between, which a controller's log tells.
const (
	startTries = 3
	portTaken  = "address already in use"
)

// Start starts a region and waits until every controller can take requests.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if err := os.MkdirAll(o.Data, 0o700); err != nil {
		return nil, err
	}
	var failed error
	for range startTries {
		r, err := startOnce(ctx, o)
		if err == nil || !strings.Contains(err.Error(), portTaken) {
			return r, err
		}
		failed = err
	}
	return nil, failed
}

func startOnce(ctx context.Context, o Options) (_ *Cluster, err error) {
	run, cancel := context.WithCancel(context.Background())
	r := &Cluster{options: o, ctx: run, cancel: cancel, Store: simulation.NewStore(), Environment: simulation.NewEnvironment(run)}
	r.Environment.MaxCommandDelay = workerPatience
	defer func() {
		if err != nil {
			err = errors.Join(err, r.Stop())
		}
	}()
	if r.Info.StoreAddr = o.StoreAddr; o.StoreAddr == "" {
		if err = r.serveStore(run); err != nil {
			return nil, err
		}
	}
	r.configureEnvironment()
	if r.Info.CloudAddr, err = r.serve(func(app *fiber.App) { simulation.ServeCloud(app, r.Environment) }); err != nil {
		return nil, err
	}
	if r.Info.ControlAddr, err = r.serve(r.mountControl); err != nil {
		return nil, err
	}
	if err = r.configureControllers(); err != nil {
		return nil, err
	}
	if err = r.startControllers(); err != nil {
		return nil, err
	}
	if o.StoreAddr == "" {
		go r.trackCancellations()
	}
	if err = r.waitReady(ctx); err != nil {
		return nil, err
	}
	r.Info.PID = os.Getpid()
	raw, err := json.MarshalIndent(r.Info, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(o.Data, infoFile), raw, 0o600)
	}
	return r, err
}

// ServeStore serves a state service kept in a file, at an address of its own, until ctx ends. count,
// where it is set, is told of each request.
func ServeStore(ctx context.Context, path string, count fiber.Handler) (addr string, err error) {
	state := simulation.NewStore()
	d, err := openStoreFile(path, state)
	if err != nil {
		return "", err
	}
	r := &Cluster{}
	if addr, err = r.serve(func(app *fiber.App) {
		if count != nil {
			app.Use(count)
		}
		simulation.ServeStore(ctx, app, state, d.waitDurable)
	}); err != nil {
		return "", errors.Join(err, d.close())
	}
	context.AfterFunc(ctx, func() { _ = d.close() })
	return addr, nil
}

// serveStore serves the state service, kept in a file.
func (r *Cluster) serveStore(ctx context.Context) (err error) {
	if r.storeFile, err = openStoreFile(filepath.Join(r.options.Data, "state.db"), r.Store); err != nil {
		return err
	}
	r.Info.StoreAddr, err = r.serve(func(app *fiber.App) { simulation.ServeStore(ctx, app, r.Store, r.storeFile.waitDurable) })
	return err
}

// configureEnvironment sets the world up: its machines, what they are told, and what they run.
func (r *Cluster) configureEnvironment() {
	w, o := r.Environment, r.options
	f := o.deployment()
	w.HeartbeatInterval, w.Lease, w.BootTime, w.CancelLimit = config.Seconds(f.Workers.HeartbeatS), config.Seconds(f.Workers.LeaseS), config.Seconds(startupS), config.Seconds(f.Workers.CancelS)
	w.GangStartTimeout, w.GangPeerTimeout = config.Seconds(f.Workers.GangWaitS), config.Seconds(f.Workers.GangPeerS)
	w.ZoneCapacity, w.WorkerVersion = o.Machines, "1.0"
	w.Types = []records.MachineType{{
		Name: "c4", CPUs: 4, MemGB: 16, CacheGB: 50, FetchGBps: 1, Price: 0.2, SpotPrice: 0.05, StartupS: startupS, Zones: o.Zones,
	}}
	if o.MachineTypes != nil {
		w.Types = o.MachineTypes
	}
	w.LookupJob = r.openJob
	w.RunTime = o.RunTime
	if w.RunTime == nil {
		w.RunTime = func(task string) time.Duration {
			id, _, _ := strings.Cut(task, "/")
			j, _ := r.openJob(id)
			h := fnv.New32a()
			h.Write([]byte(task))
			return config.Seconds(j.EstimateS * (0.7 + 0.6*float64(h.Sum32()%1000)/1000))
		}
	}
	if w.Listen = o.StartWorker; w.Listen != nil {
		w.RemoteMachines = true
		return
	}
	w.Listen = func(m *simulation.Machine) (string, func(), error) {
		app := newApp()
		simulation.ServeWorker(app, m)
		ln, err := listen()
		if err != nil {
			return "", nil, err
		}
		go func() { _ = app.Listener(ln) }()
		return ln.Addr().String(), func() { ln.Close() }, nil
	}
}

// openJob reads an open job, as workers fetch what users uploaded.
func (r *Cluster) openJob(id string) (records.Job, bool) {
	var j records.Job
	value := r.Store.Value(records.OpenKey(id))
	return j, value != "" && json.Unmarshal([]byte(value), &j) == nil
}

func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

func newApp() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 64 << 10})
}

// serve opens an address and returns it.
func (r *Cluster) serve(mount func(*fiber.App)) (string, error) {
	ln, err := listen()
	if err != nil {
		return "", fmt.Errorf("local region: %w", err)
	}
	app := newApp()
	mount(app)
	r.apps = append(r.apps, app)
	go func() { _ = app.Listener(ln) }()
	return ln.Addr().String(), nil
}

// configureControllers chooses the controllers' ports and writes their settings.
func (r *Cluster) configureControllers() error {
	o := r.options
	var held []net.Listener // until all are chosen, so that none is chosen twice
	defer func() {
		for _, ln := range held {
			ln.Close()
		}
	}()
	port := func() (string, error) {
		ln, err := listen()
		if err != nil {
			return "", err
		}
		held = append(held, ln)
		return ln.Addr().String(), nil
	}
	for i := range o.Controllers {
		c := Controller{Name: fmt.Sprintf("controller-%d", i+1), Zone: o.Zones[i%len(o.Zones)]}
		var err error
		if c.UserAddr, err = port(); err != nil {
			return err
		}
		if c.PeerAddr, err = port(); err != nil {
			return err
		}
		c.LogPath = filepath.Join(o.Data, c.Name+".log")
		r.Info.Controllers = append(r.Info.Controllers, c)
	}
	if err := os.WriteFile(filepath.Join(o.Data, "drumpick.ini"), []byte(operatorOptions), 0o600); err != nil {
		return err
	}
	for i := range r.Info.Controllers {
		c := &r.Info.Controllers[i]
		cfg := &config.Config{
			Node: c.Name, Zone: c.Zone, UserAddr: c.UserAddr, PeerAddr: c.PeerAddr,
			External: config.External{Cloud: r.Info.CloudAddr, State: r.Info.StoreAddr}, Deployment: o.deployment(),
		}
		for _, other := range r.Info.Controllers {
			if other.Name != c.Name {
				cfg.Peers = append(cfg.Peers, config.Peer{Node: other.Name, Zone: other.Zone, Addr: other.PeerAddr})
			}
		}
		var err error
		if c.ConfigPath, err = writeSettings(o.Data, cfg); err != nil {
			return err
		}
	}
	return nil
}

// Arguments are a controller's command line with a given program.
func (r *Cluster) commandLine(c Controller, daemon string, more []string) []string {
	args := append([]string{daemon}, more...)
	return append(args, "--config", c.ConfigPath)
}

// startControllers starts the controllers, and the workers' way to them.
func (r *Cluster) startControllers() error {
	o := r.options
	if o.Arguments == nil {
		o.Arguments = []string{"--options", filepath.Join(o.Data, "drumpick.ini")}
	}
	var links []*httpclient.Client
	for _, c := range r.Info.Controllers {
		r.Environment.Nodes = append(r.Environment.Nodes, c.Name)
		links = append(links, httpclient.New(c.UserAddr, 1000, time.Second/2))
		p := &process{
			name: c.Name, args: r.commandLine(c, o.Controller, o.Arguments), env: []string{"LOG_LEVEL=" + o.LogLevel}, logPath: c.LogPath,
			restartDelay: config.Seconds(o.deployment().Workers.HeartbeatS), ended: make(chan struct{}), quit: make(chan struct{}),
		}
		r.controllers = append(r.controllers, p)
		go p.run()
	}
	r.Environment.Heartbeat = simulation.HeartbeatOverHTTP(func(_ string, node int, body []byte) (int, []byte, error) {
		// Workers give an answer four seconds (PROTOCOL), in the region's proportions less.
		return links[node].Do("POST", "/checkin", "application/json", body, time.Now().Add(config.Seconds(2*heartbeatS)))
	})
	return nil
}

// waitReady waits until every controller can take requests.
func (r *Cluster) waitReady(ctx context.Context) error {
	for i, c := range r.Info.Controllers {
		probe := httpclient.New(c.UserAddr, 1, time.Second)
		for {
			if status, _, err := probe.Do("GET", "/ready", "", nil, time.Now().Add(time.Second)); err == nil && status == 200 {
				break
			}
			if err := r.controllers[i].failure(); err != nil {
				return err
			}
			if err := ctxtime.Sleep(ctx, 20*time.Millisecond); err != nil {
				return err
			}
		}
		probe.Close()
	}
	return nil
}

// workerPatience is how long after a report its answer is still carried out (PROTOCOL).
const workerPatience = 4 * time.Second

// trackCancellations tells the world which jobs users may know to be cancelled, so that it can check
// that their tasks go.
func (r *Cluster) trackCancellations() {
	var since uint64
	for r.ctx.Err() == nil {
		for _, row := range r.Store.List(records.PrefixClosed) {
			var o records.ClosedJob
			if row.Revision > since && json.Unmarshal(row.Value, &o) == nil && o.Status == records.StatusCancelled {
				r.Environment.CancelConfirmed(strings.TrimPrefix(row.Key, records.PrefixClosed))
			}
			since = max(since, row.Revision)
		}
		r.Environment.CheckCancelled()
		if ctxtime.Sleep(r.ctx, config.Seconds(heartbeatS)) != nil {
			return
		}
	}
}

// Client returns a client of the region.
func (r *Cluster) Client() *client.Client {
	c, err := client.New(r.Info.Addrs()...)
	if err != nil {
		panic(fmt.Sprintf("a region without controllers: %v", err))
	}
	c.Every = config.Seconds(heartbeatS)
	return c
}

// Stop ends everything that runs. The records stay.
func (r *Cluster) Stop() error {
	for _, p := range r.controllers {
		p.stop()
	}
	r.cancel()
	for _, m := range r.Environment.Machines() {
		m.Die()
	}
	var errs []error
	for _, app := range r.apps {
		errs = append(errs, app.ShutdownWithTimeout(time.Second))
	}
	if r.storeFile != nil {
		errs = append(errs, r.storeFile.close())
	}
	if i, err := Find(r.options.Data); err == nil && i.PID == os.Getpid() {
		errs = append(errs, os.Remove(filepath.Join(r.options.Data, infoFile)))
	}
	errs = slices.DeleteFunc(errs, func(err error) bool { return errors.Is(err, context.DeadlineExceeded) }) // open watches
	return errors.Join(errs...)
}

func (r *Cluster) process(name string) *process {
	i := slices.IndexFunc(r.controllers, func(p *process) bool { return p.name == name })
	if i < 0 {
		return nil
	}
	return r.controllers[i]
}

// PID is the process of a controller; 0: it does not run now.
func (r *Cluster) PID(controller string) int {
	if p := r.process(controller); p != nil {
		return p.pid()
	}
	return 0
}

// Kill ends a controller, which starts again after a moment, or a machine, for good.
func (r *Cluster) Kill(name string) error {
	if p := r.process(name); p != nil {
		slog.Debug("killing", "controller", name)
		p.kill()
		return nil
	}
	for _, m := range r.Environment.Machines() {
		if m.Name == name {
			m.Die()
			return nil
		}
	}
	return fmt.Errorf("%q is neither a controller nor a machine that is up", name)
}

// Replace gives a controller another program from its next start on, and ends the one
// that runs: the step of an upgrade.
func (r *Cluster) Replace(name, daemon string, arguments []string) error {
	p := r.process(name)
	i := slices.IndexFunc(r.Info.Controllers, func(c Controller) bool { return c.Name == name })
	if p == nil || i < 0 {
		return fmt.Errorf("%q is no controller", name)
	}
	p.mu.Lock()
	p.nextArgs = r.commandLine(r.Info.Controllers[i], daemon, arguments)
	p.mu.Unlock()
	p.kill()
	return nil
}

// Upgrade gives a machine's worker another version, as somebody does who looks after the
// machine: whatever runs there is lost, so it should be drained.
func (r *Cluster) Upgrade(machine, version string) error {
	if !r.Environment.Upgrade(machine, version) {
		return fmt.Errorf("there is no machine %q that is up", machine)
	}
	return nil
}

func (r *Cluster) checkZone(name string) error {
	if !slices.Contains(r.options.Zones, name) {
		return fmt.Errorf("there is no zone %q, only %s", name, strings.Join(r.options.Zones, ", "))
	}
	return nil
}

// PartitionZone keeps the machines of a zone from being reached for a time.
func (r *Cluster) PartitionZone(zone string, span time.Duration) error {
	if err := r.checkZone(zone); err != nil {
		return err
	}
	r.Environment.PartitionZone(zone, true)
	time.AfterFunc(span, func() { r.Environment.PartitionZone(zone, false) })
	return nil
}

// FailZone takes the power from a zone: its machines are gone, its controllers crash.
func (r *Cluster) FailZone(zone string) (int, error) {
	if err := r.checkZone(zone); err != nil {
		return 0, err
	}
	for _, c := range r.Info.Controllers {
		if c.Zone == zone {
			r.process(c.Name).kill()
		}
	}
	return r.Environment.FailZone(zone), nil
}
