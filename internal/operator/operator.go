// Package operator serves the HTTP interface of operators, beside the one of users: machines, and
// drains of them. Every controller serves it. What only the leader knows is asked of the leader;
// records of drains are read and written in the store by any controller.
package operator

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/url"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/drain"
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

// Peers reaches the leader.
type Peers interface {
	// RelayOperatorRequest asks a node, as the leader, a question of an operator.
	RelayOperatorRequest(node string, r peer.RelayRequest, timeout time.Duration) (peer.RelayReply, error)
}

// Leader is the leader that runs in this process.
type Leader interface {
	// Machines returns a page of machines, those whose names sort behind since, and whether there
	// are more.
	Machines(since string, limit int) ([]scheduler.MachineView, bool)
	Machine(name string) (scheduler.MachineView, bool)
	// Drain returns a drain; ok is false if the leader has not read it from the store.
	Drain(id string) (view scheduler.DrainView, ok bool)
	// PreviewDrain returns a page of what a drain would do, behind the machine since; it changes
	// nothing.
	PreviewDrain(spec *drain.Spec, force bool, since string, limit int) (*drain.Plan, error)
}

// Server answers operators.
type Server struct {
	node          string
	store         Store
	peers         Peers
	leaderNode    func() string // node that leads, "" when unknown
	localLeader   func() Leader // nil when this process does not lead
	timeout       time.Duration // bounds the work on a request
	maxValueBytes int           // size of a value that the store takes now and later
}

// New returns a server; timeout bounds the work on a request.
func New(cfg *config.Config, store Store, peers Peers, leader func() string, local func() Leader, timeout time.Duration) *Server {
	return &Server{
		node: cfg.Node, store: store, peers: peers, leaderNode: leader, localLeader: local, timeout: timeout,
		maxValueBytes: int(cfg.Deployment.Store.Lowest().ValueKB * 1024),
	}
}

// Questions that only the leader can answer, as controllers send them to each other.
const (
	methodMachines  = "machines" // a page of machines, behind the one of the ID
	methodMachine   = "machine"
	methodDrain     = "drain"
	methodPlanDrain = "plan"
)

// machinesPerPage is how many machines an answer lists, so that it stays well below 64 KiB. The rest
// comes in further pages.
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

func sendJSON(c *fiber.Ctx, out peer.RelayReply) error {
	if out.Status == fiber.StatusServiceUnavailable {
		c.Set(fiber.HeaderRetryAfter, "1")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(out.Status).Send(out.Body)
}

// AskLeader answers a question that only the leader can answer, by this process or through a peer.
func (s *Server) AskLeader(r peer.RelayRequest) peer.RelayReply {
	if s.localLeader() != nil {
		return s.HandleAsLeader(r)
	}
	node := s.leaderNode()
	if node == "" || node == s.node {
		return errorResponse(fiber.StatusServiceUnavailable, "no controller leads now; please retry")
	}
	out, err := s.peers.RelayOperatorRequest(node, r, s.timeout)
	if err != nil {
		slog.Debug("leader does not answer operators", "node", node, "method", r.Method, "err", err)
		return errorResponse(fiber.StatusServiceUnavailable, "the leader does not answer, or is of an earlier version; please retry")
	}
	return out
}

// HandleAsLeader answers a question as the leader.
func (s *Server) HandleAsLeader(r peer.RelayRequest) peer.RelayReply {
	l := s.localLeader()
	if l == nil {
		return errorResponse(fiber.StatusServiceUnavailable, "this controller does not lead any more; please retry")
	}
	switch r.Method {
	case methodMachines:
		machines, more := l.Machines(r.ID, machinesPerPage)
		return okResponse(Machines{Machines: machines, More: more})
	case methodMachine:
		if m, ok := l.Machine(r.ID); ok {
			return okResponse(m)
		}
		return errorResponse(fiber.StatusNotFound, "there is no machine "+r.ID)
	case methodDrain:
		if view, ok := l.Drain(r.ID); ok {
			return okResponse(view)
		}
		return noSuchDrainResponse(r.ID)
	case methodPlanDrain:
		return planDrainAsLeader(l, r.Body)
	}
	return errorResponse(fiber.StatusBadRequest, "unknown question")
}

// Machines is a page of machines; the next one is asked for with the last name.
type Machines struct {
	Machines []scheduler.MachineView `json:"machines"`
	More     bool                    `json:"more"`
}

// errorBody is the body of an answer that carries an error.
type errorBody struct {
	Error string `json:"error"`
}

// storeUnavailableResponse is the answer where the store does not answer.
var storeUnavailableResponse = errorResponse(fiber.StatusServiceUnavailable, "the state service does not answer now; please retry")

func okResponse(v any) peer.RelayReply { return encodeJSON(fiber.StatusOK, v) }

func errorResponse(status int, reason string) peer.RelayReply {
	return encodeJSON(status, errorBody{reason})
}

func encodeJSON(status int, v any) peer.RelayReply {
	raw, err := json.Marshal(v)
	if err != nil {
		return peer.RelayReply{Status: fiber.StatusServiceUnavailable}
	}
	return peer.RelayReply{Status: status, Body: raw}
}
