package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"drumpick/internal/api"
	"drumpick/internal/cloud"
	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/election"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/leader"
	"drumpick/internal/messagesize"
	"drumpick/internal/operator"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/recovery"
	"drumpick/internal/store"
	"drumpick/internal/watermark"
	"drumpick/internal/workers"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v2"
)

const (
	// memoryLimitShare is the share of the controller's memory (Resources.RAMMB) that is set as the
	// Go runtime's soft memory limit, above which the runtime collects garbage more often.
	memoryLimitShare = 0.7
	// gcPercent is the heap growth, in percent, that triggers a garbage collection.
	gcPercent = 200

	// The process's file descriptor limit is split between these uses. Every worker keeps a
	// connection to the leader or to a controller that relays its heartbeats, and users have further
	// ones. The rest is for peers' connections and outgoing calls: to the store, to peers, and to
	// workers, a few at a time.
	userConnectionsPercent   = 75
	peerConnectionsDivisor   = 16
	storeConnectionsDivisor  = 20
	workerConnectionsDivisor = 40

	minConnections       = 16 // per server; there are two
	minStoreConnections  = 8
	minWorkerConnections = 4

	// peerIdleTimeout is how long a peer's connection may be idle before it is closed.
	peerIdleTimeout = 5 * time.Minute
)

// runDaemon serves until the process is killed or a server fails. There is no graceful shutdown: a
// controller may stop at any moment, and its lease on the leader key then expires.
func runDaemon(cfg *config.Config) error {
	setLogging(os.Getenv("LOG_LEVEL"))
	limitRuntime(cfg.Deployment.Resources)
	logWarnings(cfg)
	d := newDaemon(cfg)
	listeners, err := listen(cfg)
	if err != nil {
		return err
	}
	ctx := context.Background()
	failed := d.serve(listeners)
	d.startBackground(ctx)
	slog.Info("started", "node", cfg.Node, "zone", cfg.Zone, "version", version)
	return <-failed
}

// limitRuntime sets the Go runtime's processor and memory limits from the deployment's resources.
func limitRuntime(resources config.Resources) {
	runtime.GOMAXPROCS(max(1, int(resources.Cores)))
	debug.SetMemoryLimit(int64(resources.RAMMB * memoryLimitShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

func logWarnings(cfg *config.Config) {
	for _, warning := range cfg.Warnings() {
		slog.Warn("settings inconsistent", "node", cfg.Node, "reason", warning)
	}
}

// daemon holds the clients, servers and election state of one controller.
type daemon struct {
	cfg    *config.Config
	timing config.Timing

	store        *store.Client
	cloud        *cloud.Client
	peers        *peer.Peers
	workers      *workers.Caller
	election     *election.Election
	attestations watermark.Observer // watermarks that leaders have attested

	currentLeader atomic.Pointer[leader.Leader] // nil while this process does not lead
	api           *api.Server
	operators     *operator.Server
}

func newDaemon(cfg *config.Config) *daemon {
	timing := cfg.Timing()
	descriptors := cfg.Deployment.Resources.FDLimit
	d := &daemon{
		cfg:     cfg,
		timing:  timing,
		store:   newStoreClient(cfg, timing),
		cloud:   cloud.NewClient(cfg.External.Cloud, cfg.Deployment.Cloud.RPS, timing.CloudTimeout),
		peers:   peer.NewPeers(cfg.Peers, timing.PeerTimeout),
		workers: workers.NewCaller(max(descriptors/workerConnectionsDivisor, minWorkerConnections), timing.WorkerTimeout),
	}
	incarnation := strconv.FormatUint(rand.Uint64(), 36)
	d.election = election.New(d.store, cfg.Node, incarnation, timing.LeaderLease, cfg.Options.Watermarks)
	d.api = api.New(cfg, d.store.ForUsers(), d.peers, d.election, d.leaderForAPI)
	d.operators = operator.New(cfg, d.store, d.peers, d.election.Leader, d.leaderForOperators, timing.HeartbeatInterval/2)
	return d
}

func newStoreClient(cfg *config.Config, timing config.Timing) *store.Client {
	limits := cfg.Deployment.Store.Lowest()
	return store.NewClient(cfg.External.Store, store.Limits{
		RPS:            limits.RPS,
		WriteRPS:       limits.WriteRPS,
		Controllers:    cfg.Deployment.Nodes,
		MaxConnections: max(cfg.Deployment.Resources.FDLimit/storeConnectionsDivisor, minStoreConnections),
		Timeout:        timing.StoreTimeout,
	})
}

// leaderForAPI returns the leader in this process, or a nil interface if this process does not lead.
func (d *daemon) leaderForAPI() api.Leader {
	if l := d.currentLeader.Load(); l != nil {
		return l
	}
	return nil
}

// leaderForOperators returns the leader in this process, or a nil interface if this process does not
// lead.
func (d *daemon) leaderForOperators() operator.Leader {
	if l := d.currentLeader.Load(); l != nil {
		return l
	}
	return nil
}

// listeners holds the listening sockets of a controller's two addresses.
type listeners struct {
	user net.Listener
	peer net.Listener
}

func listen(cfg *config.Config) (listeners, error) {
	user, err := net.Listen("tcp4", cfg.UserAddr)
	if err != nil {
		return listeners{}, fmt.Errorf("serve users at %s (setting bind): %w", cfg.UserAddr, err)
	}
	peers, err := net.Listen("tcp4", cfg.PeerAddr)
	if err != nil {
		return listeners{}, fmt.Errorf("serve peers at %s (setting back): %w", cfg.PeerAddr, err)
	}
	return listeners{user: user, peer: peers}, nil
}

// serve starts serving both addresses. The channel receives an error when a server fails.
func (d *daemon) serve(sockets listeners) <-chan error {
	userApp := d.newUserApp()
	peerApp := d.newPeerApp()
	failed := make(chan error, 2)
	go func() { failed <- userApp.Listener(sockets.user) }()
	go func() { failed <- peerApp.Listener(sockets.peer) }()
	return failed
}

// newUserApp returns the server for users, workers and operators.
func (d *daemon) newUserApp() *fiber.App {
	connections := d.cfg.Deployment.Resources.FDLimit * userConnectionsPercent / 100
	app := newApp(messagesize.Max, connections, config.Seconds(d.cfg.Deployment.Workers.LeaseS))
	d.api.Mount(app)
	if d.cfg.Options.OperatorAPI {
		d.operators.Mount(app)
	}
	return app
}

// newPeerApp returns the server for the other controllers and for metrics.
func (d *daemon) newPeerApp() *fiber.App {
	app := newApp(peer.MaxRequestBytes, d.cfg.Deployment.Resources.FDLimit/peerConnectionsDivisor, peerIdleTimeout)
	peer.Mount(app, d.peerHandlers())
	app.Get("/metrics", func(c *fiber.Ctx) error {
		metrics.WritePrometheus(c.Response().BodyWriter(), true)
		return nil
	})
	return app
}

func (d *daemon) peerHandlers() peer.Handlers {
	handlers := peer.Handlers{
		Status:          d.peerStatus,
		Progress:        d.peerProgress,
		Relay:           d.api.HandleRelayedRequest,
		RelayHeartbeat:  d.api.HandleRelayedHeartbeat,
		NotifyCancelled: d.api.HandleCancellation,
	}
	if d.cfg.Options.OperatorAPI {
		handlers.RelayOperatorRequest = d.operators.HandleAsLeader
	}
	if d.cfg.Options.HeartbeatRelay {
		handlers.RelayHeartbeats = d.api.HandleHeartbeatBatch
	}
	return handlers
}

func (d *daemon) peerStatus(request peer.StatusRequest) peer.Status {
	status := peer.StatusOf(d.cfg.Node, d.store, d.api.Cancellations(), request)
	return status.WithAttestations(&d.attestations, request.Attestation, d.api.SinceWorkerRenewal())
}

func (d *daemon) peerProgress(job string) peer.Progress {
	l := d.currentLeader.Load()
	if l == nil {
		return peer.Progress{}
	}
	status, done, running, known := l.Progress(job)
	age, isClear := l.DependenciesClear(job)
	return peer.Progress{
		Known:             known,
		Status:            status,
		Done:              done,
		Running:           running,
		DependenciesClear: isClear,
		ClearAgeMS:        age.Milliseconds(),
	}
}

// startBackground starts the controller's background loops, which run until ctx ends.
func (d *daemon) startBackground(ctx context.Context) {
	start := func(name string, run func(context.Context)) {
		go recovery.Loop(ctx, name, d.timing.HeartbeatInterval, run)
	}
	if d.cfg.Options.HeartbeatRelay {
		start("relay announcements", d.api.AnnounceRelay)
	}
	start("status of the peers", d.api.WatchPeers)
	start("machine types", d.refreshMachineTypes)
	start("election", func(ctx context.Context) { d.election.Run(ctx, d.leadTerm) })
}

// leadTerm runs a leader for one term, until ctx ends.
func (d *daemon) leadTerm(ctx context.Context, term uint64) {
	l := leader.New(d.cfg, d.store, d.cloud, d.election, d.peers, d.workers, &d.attestations, d.api.Cancellations(), term)
	d.currentLeader.Store(l)
	defer d.currentLeader.Store(nil)
	l.Run(ctx)
}

// refreshMachineTypes periodically updates the API's machine types from the store, or from the cloud
// if no leader has stored them yet.
func (d *daemon) refreshMachineTypes(ctx context.Context) {
	interval := d.timing.HeartbeatInterval
	retryPause := interval / 8
	for {
		d.readMachineTypes(ctx)
		pause := 30 * interval
		if !d.api.HasMachineTypes() {
			pause = retryPause
			retryPause = min(2*retryPause, interval)
		}
		if ctxtime.Sleep(ctx, pause/2+rand.N(pause)) != nil {
			return
		}
	}
}

func (d *daemon) readMachineTypes(ctx context.Context) {
	if record, err := d.store.Get(ctx, records.KeyMachineTypes); err == nil && record != nil {
		var stored records.MachineTypes
		if jsoncodec.Unmarshal(record.Value, &stored) == nil && len(stored.Types) > 0 {
			d.api.SetMachineTypes(stored.Types)
		}
	}
	if d.api.HasMachineTypes() {
		return
	}
	types, err := d.cloud.Types(ctx)
	if err != nil {
		slog.Debug("machine types not read", "err", err)
		return
	}
	d.api.SetMachineTypes(types)
}
