// Package operator serves the HTTP API of operators: views of machines, and drains of machines. Every
// controller serves it. A request that needs the leader's state is relayed to the leader; the records
// of drains are read from and written to the store by the controller that receives the request.
package operator

import (
	"context"
	"log/slog"
	"net/url"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/messagesize"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
)

// Store is the part of the key-value store's client that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (*records.KeyValue, error)
	List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error)
	Commit(ctx context.Context, compares []records.Compare, ops []records.Op) (uint64, error)
}

// Peers calls the other controllers.
type Peers interface {
	// RelayOperatorRequest relays an operator's request to the given node, the leader's.
	RelayOperatorRequest(node string, r peer.RelayRequest, timeout time.Duration) (peer.RelayReply, error)
}

// Leader is the leader of the current term, if it runs in this process.
type Leader interface {
	// Machines returns up to limit machines whose names sort after since, sorted by name, and whether
	// more machines follow.
	Machines(since string, limit int) ([]scheduler.MachineView, bool)
	// Machine returns a machine with its tasks, and false if there is no machine of that name.
	Machine(name string) (scheduler.MachineView, bool)
	// Drain returns a drain; ok is false if the leader has not read it from the store.
	Drain(id string) (view scheduler.DrainView, ok bool)
	// PreviewDrain returns the plan of a drain, with all selected machines by name and all of their
	// tasks, and changes nothing. Without force, it rejects a drain, other than an upgrade, that leaves
	// a class of jobs without any machine. The error is a *scheduler.DrainTargetError if the drain's
	// target does not exist, and a *scheduler.DrainRefusedError if the drain is rejected for another
	// reason.
	PreviewDrain(spec *drain.Spec, force bool) (*drain.Plan, error)
}

// Server handles the requests of operators.
type Server struct {
	node          string
	store         Store
	peers         Peers
	leaderNode    func() string // returns the name of the node that leads, "" if unknown
	localLeader   func() Leader // returns nil if this process does not lead
	timeout       time.Duration // bounds a request's use of the store and, separately, each call to the leader
	maxValueBytes int           // maximum size of a value by the current and upcoming limits of the store
}

// New returns a server. leaderNode returns the name of the node that leads, "" if unknown; localLeader
// returns nil if this process does not lead; timeout bounds a request's use of the store and,
// separately, each call to the leader.
func New(cfg *config.Config, store Store, peers Peers, leaderNode func() string, localLeader func() Leader, timeout time.Duration) *Server {
	return &Server{
		node: cfg.Node, store: store, peers: peers, leaderNode: leaderNode, localLeader: localLeader, timeout: timeout,
		maxValueBytes: int(cfg.Deployment.Store.Lowest().ValueKB * 1024),
	}
}

// Methods of the requests that only the leader can answer, by their names in relayed requests.
const (
	methodMachines  = "machines" // a page of the machines whose names sort after the request's ID
	methodMachine   = "machine"
	methodDrain     = "drain"
	methodPlanDrain = "plan"
)

// machinesPerPage is the maximum number of machines in a response. Further machines follow in further pages.
const machinesPerPage = 200

// Mount registers the routes of operators.
func (s *Server) Mount(app *fiber.App) {
	s.mountDrains(app)
	app.Get("/operator/machines", func(c *fiber.Ctx) error {
		return sendJSON(c, s.AskLeader(peer.RelayRequest{Method: methodMachines, ID: utils.CopyString(c.Query("since"))}))
	})
	app.Get("/operator/machines/:name", func(c *fiber.Ctx) error {
		name, err := url.PathUnescape(c.Params("name"))
		if err != nil {
			return sendJSON(c, errorResponse(fiber.StatusBadRequest, "the machine's name is not readable"))
		}
		return sendJSON(c, s.AskLeader(peer.RelayRequest{Method: methodMachine, ID: utils.CopyString(name)}))
	})
}

// sendJSON sends a reply as the response, with a Retry-After header if it is a 503.
func sendJSON(c *fiber.Ctx, reply peer.RelayReply) error {
	if reply.Status == fiber.StatusServiceUnavailable {
		c.Set(fiber.HeaderRetryAfter, "1")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(reply.Status).Send(reply.Body)
}

// AskLeader returns the leader's reply to a request, from this process or from a peer. The reply is a
// 503 if no leader is known, or the leader cannot be reached or has no operator API.
func (s *Server) AskLeader(r peer.RelayRequest) peer.RelayReply {
	if s.localLeader() != nil {
		return s.HandleAsLeader(r)
	}
	node := s.leaderNode()
	if node == "" || node == s.node {
		return errorResponse(fiber.StatusServiceUnavailable, "no controller leads now; please retry")
	}
	reply, err := s.peers.RelayOperatorRequest(node, r, s.timeout)
	if err != nil {
		slog.Debug("failed to relay operator request", "node", node, "method", r.Method, "err", err)
		return errorResponse(fiber.StatusServiceUnavailable, "the leader does not answer, or is of an earlier version; please retry")
	}
	return reply
}

// HandleAsLeader handles a request as the leader. The reply is a 503 if this process does not lead.
func (s *Server) HandleAsLeader(r peer.RelayRequest) peer.RelayReply {
	l := s.localLeader()
	if l == nil {
		return errorResponse(fiber.StatusServiceUnavailable, "this controller does not lead any more; please retry")
	}
	switch r.Method {
	case methodMachines:
		return okResponse(machinesPage(l.Machines(r.ID, machinesPerPage)))
	case methodMachine:
		if m, ok := l.Machine(r.ID); ok {
			cutMachine(&m)
			return okResponse(m)
		}
		return errorResponse(fiber.StatusNotFound, "there is no machine "+r.ID)
	case methodDrain:
		if view, ok := l.Drain(r.ID); ok {
			cutDrain(&view)
			return okResponse(view)
		}
		return noSuchDrainResponse(r.ID)
	case methodPlanDrain:
		return planDrainAsLeader(l, r.Body)
	}
	return errorResponse(fiber.StatusBadRequest, "unknown question")
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// storeUnavailableResponse is the response if a request could not be served because of the store.
var storeUnavailableResponse = errorResponse(fiber.StatusServiceUnavailable, "the state service does not answer now; please retry")

func okResponse(v any) peer.RelayReply { return encodeJSON(fiber.StatusOK, v) }

func errorResponse(status int, reason string) peer.RelayReply {
	return encodeJSON(status, errorBody{messagesize.Reason(reason)})
}

// encodeJSON returns a reply with v encoded as JSON, or a 503 without a body if v cannot be encoded.
func encodeJSON(status int, v any) peer.RelayReply {
	raw, err := jsoncodec.Marshal(v)
	if err != nil {
		return peer.RelayReply{Status: fiber.StatusServiceUnavailable}
	}
	return peer.RelayReply{Status: status, Body: raw}
}
