package main

import (
	"context"
	"encoding/json"
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
	"drumpick/internal/election"
	"drumpick/internal/httpclient"
	"drumpick/internal/leader"
	"drumpick/internal/operator"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/store"
	"drumpick/internal/watermark"
	"drumpick/internal/workers"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v2"
)

// run serves until the process is killed.
func run(cfg *config.Config) error {
	setLogging(os.Getenv("LOG_LEVEL"))
	res := cfg.Deployment.Resources
	runtime.GOMAXPROCS(max(1, int(res.Cores)))
	debug.SetMemoryLimit(int64(res.RAMMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(200)

	ctx := context.Background()
	timing := cfg.Timing()
	report := timing.HeartbeatInterval
	for _, d := range cfg.Warnings() {
		slog.Warn("settings hold together badly", "doubt", d)
	}
	st := cfg.Deployment.State.Lowest()
	store := store.NewClient(cfg.External.State, store.Limits{
		RPS: st.RPS, WriteRPS: st.WriteRPS, Controllers: cfg.Deployment.Nodes, MaxConnections: max(res.FDLimit/20, 8), Timeout: timing.Store,
	})
	peers := peer.NewPeers(cfg.Peers, timing.Peer)
	cloud := cloud.NewClient(cfg.External.Cloud, cfg.Deployment.Cloud.RPS, timing.Cloud)
	workers := workers.NewCaller(max(res.FDLimit/40, 4), timing.Worker)
	ten := election.New(store, cfg.Node, strconv.FormatUint(rand.Uint64(), 36),
		timing.LeaderLease, cfg.Options.Watermarks)
	var witness watermark.Observer

	var currentLeader atomic.Pointer[leader.Leader]
	server := api.New(cfg, store.ForUsers(), peers, ten.Leader, func() api.Local {
		if l := currentLeader.Load(); l != nil {
			return l
		}
		return nil
	})

	front, err := net.Listen("tcp4", cfg.UserAddr)
	if err != nil {
		return fmt.Errorf("bind %s: %w", cfg.UserAddr, err)
	}
	back, err := net.Listen("tcp4", cfg.PeerAddr)
	if err != nil {
		return fmt.Errorf("back %s: %w", cfg.PeerAddr, err)
	}
	backApp := newApp(res.FDLimit/16, 5*time.Minute)
	handlers := peer.Handlers{
		Status: func(ask peer.StatusRequest) peer.Status {
			return peer.StatusOf(cfg.Node, store, server.Cancellations(), ask).WithAttestations(&witness, ask.Attestation, server.SinceRenewal())
		},
		Progress: func(id string) peer.Progress {
			l := currentLeader.Load()
			if l == nil {
				return peer.Progress{}
			}
			status, done, running, ok := l.Progress(id)
			age, isClear := l.DependenciesClear(id)
			return peer.Progress{Known: ok, Status: status, Done: done, Running: running, DependenciesClear: isClear, ClearAgeMS: age.Milliseconds()}
		},
		Relay:          server.Relay,
		RelayHeartbeat: server.RelayedHeartbeat, Cancelled: server.PeerCancelled,
	}
	operators := operator.New(cfg, store, peers, ten.Leader, func() operator.Local {
		if l := currentLeader.Load(); l != nil {
			return l
		}
		return nil
	}, report/2)
	if cfg.Options.Operators {
		handlers.Operate = operators.Decide
	}
	if cfg.Options.HeartbeatRelay {
		handlers.RelayHeartbeats = server.RelayedHeartbeats
		go server.OfferRelay(ctx)
	}
	peer.Mount(backApp, handlers)
	backApp.Get("/metrics", func(c *fiber.Ctx) error {
		metrics.WritePrometheus(c.Response().BodyWriter(), true)
		return nil
	})
	// Every worker keeps a connection, to the leader or to one that passes its reports on;
	// users come beside them. The rest is for calls: to the store and peers, and to workers
	// one after the other.
	app := newApp(res.FDLimit*3/4, config.Seconds(cfg.Deployment.Workers.LeaseS))
	server.Mount(app)
	if cfg.Options.Operators {
		operators.Mount(app)
	}

	failed := make(chan error, 2)
	go func() { failed <- app.Listener(front) }()
	go func() { failed <- backApp.Listener(back) }()
	go server.Watch(ctx)
	go learnTypes(ctx, server, store, cloud, report)
	go ten.Run(ctx, func(ctx context.Context, term uint64) {
		l := leader.New(cfg, store, cloud, ten, peers, workers, &witness, server.Cancellations(), term)
		currentLeader.Store(l)
		defer currentLeader.Store(nil)
		l.Run(ctx)
	})
	slog.Info("started", "node", cfg.Node, "zone", cfg.Zone, "version", version)
	return <-failed
}

// newApp returns an HTTP server of the protocol's limits. A connection that says
// nothing for as long as idle is closed: workers that gave one up behind a cut, or
// hung, come back on another, and the old ones would take all sockets in the end.
func newApp(connections int, idle time.Duration) *fiber.App {
	return fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             64 << 10,
		Concurrency:           max(connections, 16),
		ReadBufferSize:        4096,
		WriteBufferSize:       4096,
		IdleTimeout:           idle,
		ReadTimeout:           idle,
		ReduceMemoryUsage:     true,
	})
}

// learnTypes finds out which machine types there are: from the store, or from
// the cloud itself where no leader has stored them yet.
func learnTypes(ctx context.Context, server *api.Server, store *store.Client, cloud *cloud.Client, report time.Duration) {
	pause := report / 8
	for {
		if row, err := store.Get(ctx, records.KeyTypes); err == nil && row != nil {
			var t records.MachineTypes
			if json.Unmarshal(row.Value, &t) == nil && len(t.Types) > 0 {
				server.SetTypes(t.Types)
			}
		}
		if !server.HasTypes() {
			if types, err := cloud.Types(ctx); err == nil {
				server.SetTypes(types)
			} else {
				slog.Debug("machine types are not known yet", "err", err)
			}
		}
		wait := 30 * report
		if !server.HasTypes() {
			wait = pause
			pause = min(2*pause, report)
		}
		if httpclient.Sleep(ctx, wait/2+rand.N(wait)) != nil {
			return
		}
	}
}
