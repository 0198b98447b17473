// Package api serves the HTTP API of users and workers: submitting, polling and cancelling jobs,
// readiness, and workers' heartbeats. Every controller serves it. Requests about jobs are served from
// the store, whether or not this controller leads. The leader processes heartbeats; followers relay
// them to the leader or redirect the workers.
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
	// Health returns when the store last served a request (zero: not since the start), whether it
	// has failed since, and when the client started.
	Health() (lastOK time.Time, failing bool, started time.Time)
	// LastResponse returns the time of the store's last response, of any status, or the start of the
	// client if there was none.
	LastResponse() time.Time
}

// Peers calls the other controllers.
type Peers interface {
	// Status returns the statuses of the other controllers that replied; all is true if every one did.
	Status(ctx context.Context) (statuses []peer.Status, all bool)
	// Progress asks a node, as the leader, for the progress of a job.
	Progress(node, id string) (peer.Progress, error)
	// Relay relays a user's request to the peers in turn until one gives a final reply, and returns
	// false if none does. timeout bounds each call.
	Relay(r peer.RelayRequest, timeout time.Duration) (peer.RelayReply, bool)
	// RelayHeartbeat relays a single heartbeat to a node, as the leader.
	RelayHeartbeat(node string, body []byte) (peer.RelayReply, error)
	// RelayHeartbeats relays a batch of heartbeats to a node, as the leader. Without an error, the
	// reply has one element for each heartbeat.
	RelayHeartbeats(node string, batch peer.HeartbeatBatch, timeout time.Duration) (peer.HeartbeatBatchReply, error)
	// NotifyCancelled notifies a node, as the leader, of a cancelled job. acknowledged means that the
	// leader dispatches none of the job's tasks from then on.
	NotifyCancelled(node, id string) (acknowledged bool, err error)
}

// Leader is the leader of the current term, if it runs in this process.
type Leader interface {
	// Progress returns the status of an open job and its numbers of done and running tasks; ok is
	// false for a job that the leader does not know.
	Progress(id string) (status string, done, running int, ok bool)
	// DependenciesClear reports whether no dependency of a job, direct or indirect, was cancelled as
	// far as the leader knew age ago. ok is false, too, if the job is not open or a dependency is in an
	// unknown state.
	DependenciesClear(id string) (age time.Duration, ok bool)
	// HandleHeartbeat processes a heartbeat and returns the result for its worker.
	HandleHeartbeat(heartbeat *fleet.Heartbeat) fleet.HeartbeatResult
	// RecheckRuns removes from responses that waited after they were built the run commands that the
	// leader would not give any more.
	RecheckRuns(responses []*fleet.HeartbeatResponse)
	// Recency returns how recent a heartbeat is compared with the known state of its machine.
	Recency(heartbeat *fleet.Heartbeat) fleet.Recency
	// NotifyCancelled closes a job whose cancellation is stored, and reports whether the leader
	// dispatches none of the job's tasks from then on.
	NotifyCancelled(ctx context.Context, id string) bool
	// ObserveDelay records how long a message waited before the leader handled it.
	ObserveDelay(d time.Duration)
	// NeedsRelay reports whether a worker whose heartbeat a peer relayed cannot reach the leader
	// directly.
	NeedsRelay(heartbeat *fleet.Heartbeat) bool
}

// Election knows which node leads.
type Election interface {
	// Leader returns the name of the node that leads, "" if none does or it is unknown.
	Leader() string
	// KnowsLeader reports whether the leader key has been read: "" then means that no node leads.
	KnowsLeader() bool
}

// Server handles the requests of users and workers. Each part of the state that changes has
// its own type with its own lock, or is atomic.
type Server struct {
	cfg         *config.Config
	store       Store
	peers       Peers
	election    Election
	localLeader func() Leader // returns nil if this process does not lead
	readLimiter *rate.Limiter // limits the reads of single jobs from the store by polls and dependencyWalker

	types             machineTypes
	jobs              *jobCache
	dependencies      *dependencyCache
	confirmations     *pendingConfirmations
	coalescer         pollCoalescer
	closedReads       closedReads
	peerStoreHealth   peerStoreHealth
	relay             heartbeatRelay
	routes            relayRoutes
	lastWorkerRenewal atomic.Value // time.Time of the last heartbeat handled as leader, or of the start
}

// pollShare is the share of the store's request rate at which polls and dependencyWalker may read
// single jobs, at all controllers together. A job that is not open takes two requests. Without this
// limit, a flood of polls, or polls for unknown jobs, would starve submissions and the renewal of
// the leader's lease. Polls beyond the limit share a list (shared_poll.go).
const pollShare = 0.6

// New returns a server. localLeader returns nil if this process does not lead.
func New(cfg *config.Config, store Store, peers Peers, election Election, localLeader func() Leader) *Server {
	pollRPS := cfg.Deployment.Store.Lowest().RPS * pollShare
	confirmations := newPendingConfirmations(cfg.Timing().LeaderLease)
	dependencies := newDependencyCache()
	s := &Server{
		cfg: cfg, store: store, peers: peers, election: election, localLeader: localLeader,
		readLimiter:   rate.NewLimiter(rate.Limit(pollRPS/float64(max(cfg.Deployment.Nodes, 1))), max(int(pollRPS), 1)),
		jobs:          newJobCache(cancellation.NewLog(time.Now()), dependencies, confirmations),
		dependencies:  dependencies,
		confirmations: confirmations,
	}
	s.lastWorkerRenewal.Store(time.Now())
	s.relay.batcher = peer.NewBatcher(cfg.HeartbeatInterval()/batchWindowDivisor, s.relayBatch)
	return s
}

// SetMachineTypes sets the machine types that jobs may use.
func (s *Server) SetMachineTypes(types []records.MachineType) { s.types.set(types) }

// HasMachineTypes reports whether SetMachineTypes has set any machine types.
func (s *Server) HasMachineTypes() bool { return len(s.types.get()) > 0 }

// Cancellations returns the log of the cancellations that this controller may have confirmed to users.
func (s *Server) Cancellations() *cancellation.Log { return s.jobs.cancellations }

// SinceWorkerRenewal returns the time since this controller may last have renewed a worker's lease, or
// since the start of this process.
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

// retryAfterS is the value of the Retry-After header, in seconds: the shortest delay that users
// respect.
const retryAfterS = "1"

// respond handles a user's request and sends the response.
func (s *Server) respond(c *fiber.Ctx, r peer.RelayRequest) error {
	reply := s.HandleRequest(r)
	if reply.Status == fiber.StatusServiceUnavailable {
		c.Set(fiber.HeaderRetryAfter, retryAfterS)
	}
	return sendJSON(c, reply)
}

func sendJSON(c *fiber.Ctx, reply peer.RelayReply) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(reply.Status).Send(reply.Body)
}

// machineTypes holds the machine types that jobs may use.
type machineTypes struct {
	mu    sync.Mutex
	types []records.MachineType // replaced as a whole; its elements are never changed
}

func (m *machineTypes) set(types []records.MachineType) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.types = types
}

// get returns the machine types, nil if they are not known. The caller must not change them.
func (m *machineTypes) get() []records.MachineType {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.types
}
