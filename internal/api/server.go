// Package api serves the HTTP interface of users and workers: submit, poll and cancel jobs,
// readiness, and workers' heartbeats. Every controller serves it. Requests about jobs are
// answered from the store, whether or not this controller leads; heartbeats are decided on by
// the leader and relayed to it by the others.
package api

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"drumpick/internal/cancellation"
	"drumpick/internal/config"
	"drumpick/internal/fleet"
	"drumpick/internal/peer"
	"drumpick/internal/records"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
	"golang.org/x/time/rate"
)

// Store is the part of the key-value store's client that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (*records.KeyValue, error)
	List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error)
	Commit(ctx context.Context, compares []records.Compare, ops []records.Op) (uint64, error)
	// Health returns when a call last succeeded, whether calls fail now, and when the client started.
	Health() (lastOK time.Time, failing bool, started time.Time)
	// LastResponse returns when the store last answered anything, a refusal included.
	LastResponse() time.Time
}

// Peers reaches the other controllers.
type Peers interface {
	// Status asks all of them for their status; all reports whether each one answered.
	Status(ctx context.Context) (answers []peer.Status, all bool)
	// Progress asks a node, as the leader, for the progress of a job.
	Progress(node, id string) (peer.Progress, error)
	// Relay has some peer answer a user's request; it returns false if none could.
	Relay(r peer.RelayRequest, timeout time.Duration) (peer.RelayReply, bool)
	// RelayHeartbeat passes a single heartbeat on to a node.
	RelayHeartbeat(node string, body []byte) (peer.RelayReply, error)
	// RelayHeartbeats passes a batch of heartbeats on to a node.
	RelayHeartbeats(node string, in peer.HeartbeatBatch, timeout time.Duration) (peer.HeartbeatBatchReply, error)
	// NotifyCancelled notifies a node, as the leader, of a cancelled job. known reports whether it
	// knows of it now, and starts none of the job's tasks from then on.
	NotifyCancelled(node, id string) (known bool, err error)
}

// Leader is the leader that runs in this process.
type Leader interface {
	// Progress returns the status of an open job with the numbers of its tasks that are done and that
	// run; ok is false for a job that the leader does not know.
	Progress(id string) (status string, done, running int, ok bool)
	// DependenciesClear reports whether no dependency of a job, direct or indirect, was cancelled
	// up to the given time ago.
	DependenciesClear(id string) (age time.Duration, ok bool)
	HandleHeartbeat(r *fleet.Heartbeat) fleet.HeartbeatResult
	// Recency compares a heartbeat with what is known of its machine.
	Recency(r *fleet.Heartbeat) fleet.Recency
	// NotifyCancelled takes in that a job is stored as cancelled, and reports whether none of its
	// tasks is sent to a worker from then on.
	NotifyCancelled(ctx context.Context, id string) bool
	// ObserveDelay records how long something waited before the leader got to it.
	ObserveDelay(d time.Duration)
	// NeedsRelay reports whether a worker whose heartbeat came through a peer cannot reach the
	// leader directly.
	NeedsRelay(r *fleet.Heartbeat) bool
}

// Server answers users and workers. The state that each of its duties keeps has a type, and a
// lock, of its own.
type Server struct {
	cfg         *config.Config
	store       Store
	peers       Peers
	leaderNode  func() string // node that leads, "" when unknown
	localLeader func() Leader // nil when this process does not lead
	readLimiter *rate.Limiter // single reads of the store that polls may cause

	types             machineTypes
	jobs              *jobCache
	dependencies      *dependencyCache
	confirmations     *pendingConfirmations
	coalescer         pollCoalescer
	peerStoreHealth   peerStoreHealth
	relay             heartbeatRelay
	routes            relayRoutes
	lastWorkerRenewal atomic.Value // time.Time: when a heartbeat was last answered here as leader, or the start
}

// pollShare is the share of the store's request rate that polls may take with a single read
// each. Without this limit, polls for unknown jobs, or by the thousand, would leave the renewal of
// the leader's lease and submissions without an answer. Polls beyond it share a list
// (shared_poll.go).
const pollShare = 0.6

// New returns a server.
func New(cfg *config.Config, store Store, peers Peers, leader func() string, local func() Leader) *Server {
	pollRPS := cfg.Deployment.Store.Lowest().RPS * pollShare
	unconfirmed := newPendingConfirmations(cfg.Timing().LeaderLease)
	dependencies := newDependencyCache()
	s := &Server{
		cfg: cfg, store: store, peers: peers, leaderNode: leader, localLeader: local,
		readLimiter:   rate.NewLimiter(rate.Limit(pollRPS/float64(max(cfg.Deployment.Nodes, 1))), max(int(pollRPS), 1)),
		jobs:          newJobCache(cancellation.NewLog(time.Now()), dependencies, unconfirmed),
		dependencies:  dependencies,
		confirmations: unconfirmed,
	}
	s.lastWorkerRenewal.Store(time.Now())
	s.relay.batcher = peer.NewBatcher(cfg.HeartbeatInterval()/batchWindowDivisor, s.relayBatch)
	return s
}

// SetMachineTypes sets the machine types that jobs may ask for.
func (s *Server) SetMachineTypes(types []records.MachineType) { s.types.set(types) }

// HasMachineTypes reports whether the machine types are known.
func (s *Server) HasMachineTypes() bool { return len(s.types.get()) > 0 }

// Cancellations returns the log of cancellations that users were notified of here.
func (s *Server) Cancellations() *cancellation.Log { return s.jobs.cancellations }

// SinceWorkerRenewal returns how long ago this controller may last have renewed a worker's lease, or
// this process started.
func (s *Server) SinceWorkerRenewal() time.Duration {
	return time.Since(s.lastWorkerRenewal.Load().(time.Time))
}

// Mount registers the routes of users and workers.
func (s *Server) Mount(app *fiber.App) {
	app.Post("/work", func(c *fiber.Ctx) error {
		return s.respond(c, peer.RelayRequest{Method: peer.MethodSubmit, Body: c.Body()})
	})
	app.Get("/work/:id", func(c *fiber.Ctx) error {
		return s.respond(c, peer.RelayRequest{Method: peer.MethodPoll, ID: utils.CopyString(c.Params("id"))})
	})
	app.Post("/work/:id/withdraw", func(c *fiber.Ctx) error {
		return s.respond(c, peer.RelayRequest{Method: peer.MethodCancel, ID: utils.CopyString(c.Params("id"))})
	})
	app.Get("/ready", func(c *fiber.Ctx) error {
		if s.Ready() {
			return c.SendStatus(fiber.StatusOK)
		}
		c.Set(fiber.HeaderRetryAfter, retryAfterS)
		return c.SendStatus(fiber.StatusServiceUnavailable)
	})
	app.Post("/checkin", s.serveHeartbeat)
}

// retryAfterS is the pause in seconds that users are told to make when a request cannot be taken
// now: the shortest one that they keep.
const retryAfterS = "1"

// respond answers a user.
func (s *Server) respond(c *fiber.Ctx, r peer.RelayRequest) error {
	out := s.HandleRequest(r)
	if out.Status == fiber.StatusServiceUnavailable {
		c.Set(fiber.HeaderRetryAfter, retryAfterS)
	}
	return sendJSON(c, out)
}

func sendJSON(c *fiber.Ctx, out peer.RelayReply) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(out.Status).Send(out.Body)
}

// machineTypes holds the machine types that jobs may ask for.
type machineTypes struct {
	mu    sync.Mutex
	types []records.MachineType // replaced as a whole; its elements never change
}

func (m *machineTypes) set(types []records.MachineType) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.types = types
}

func (m *machineTypes) get() []records.MachineType {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.types
}
