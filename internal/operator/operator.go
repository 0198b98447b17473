// Package operator is the operators' interface, beside the users' one: machines and what
// is to be done with them. Any controller serves it. What only the leader knows, it asks
// the leader; what is on record, it reads and writes itself.
package operator

import (
	"encoding/json"
	"log/slog"
	"net/url"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/drain"
	"drumpick/internal/peer"
	"drumpick/internal/scheduler"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
)

// Peers is the way to the leader.
type Peers interface {
	Operate(node string, r peer.RelayRequest, timeout time.Duration) (peer.RelayReply, error)
}

// Local is this process's leader side, when it leads.
type Local interface {
	Machines(since string, limit int) ([]scheduler.MachineView, bool)
	Machine(name string) (scheduler.MachineView, bool)
	Drain(id string) (scheduler.DrainView, bool)
	PreviewDrain(spec *drain.Spec, force bool, since string, limit int) (*drain.Plan, error)
}

// Server answers operators.
type Server struct {
	node       string
	store      Store
	peers      Peers
	leader     func() string // node that leads, "" when unknown
	local      func() Local  // nil when this process does not lead
	wait       time.Duration
	valueBytes int
}

// New returns a server; wait bounds a request.
func New(cfg *config.Config, store Store, peers Peers, leader func() string, local func() Local, wait time.Duration) *Server {
	return &Server{
		node: cfg.Node, store: store, peers: peers, leader: leader, local: local, wait: wait,
		valueBytes: int(cfg.Deployment.State.Lowest().ValueKB * 1024),
	}
}

// machinesPerPage is how many machines an answer lists: a line of it stays well below 64 KiB. The rest
// comes in further pages.
const machinesPerPage = 200

// Mount serves operators.
func (s *Server) Mount(app *fiber.App) {
	s.mountDrains(app)
	app.Get("/operator/machines", func(c *fiber.Ctx) error {
		return s.reply(c, peer.RelayRequest{Method: "machines", ID: utils.CopyString(c.Query("since"))})
	})
	app.Get("/operator/machines/:name", func(c *fiber.Ctx) error {
		name, err := url.PathUnescape(c.Params("name"))
		if err != nil {
			return send(c, answer(400, failure{"the machine's name is not readable"}))
		}
		return s.reply(c, peer.RelayRequest{Method: "machine", ID: utils.CopyString(name)})
	})
}

func (s *Server) reply(c *fiber.Ctx, r peer.RelayRequest) error { return send(c, s.Answer(r)) }

func send(c *fiber.Ctx, out peer.RelayReply) error {
	if out.Status == 503 {
		c.Set("Retry-After", "1")
	}
	c.Set("Content-Type", "application/json")
	return c.Status(out.Status).Send(out.Body)
}

// Answer answers what the leader must, here or there.
func (s *Server) Answer(r peer.RelayRequest) peer.RelayReply {
	if s.local() != nil {
		return s.Decide(r)
	}
	node := s.leader()
	if node == "" || node == s.node {
		return answer(503, failure{"no controller leads now; please retry"})
	}
	out, err := s.peers.Operate(node, r, s.wait)
	if err != nil {
		slog.Debug("the leader does not answer an operator's question", "node", node, "err", err)
		return answer(503, failure{"the leader does not answer, or is of an earlier version; please retry"})
	}
	return out
}

// Decide answers as the leader.
func (s *Server) Decide(r peer.RelayRequest) peer.RelayReply {
	l := s.local()
	if l == nil {
		return answer(503, failure{"this controller does not lead any more; please retry"})
	}
	switch r.Method {
	case "machines":
		list, more := l.Machines(r.ID, machinesPerPage)
		return answer(200, Machines{Machines: list, More: more})
	case "machine":
		if m, ok := l.Machine(r.ID); ok {
			return answer(200, m)
		}
		return answer(404, failure{"there is no machine " + r.ID})
	case "plan", "drain":
		return decideDrain(l, r)
	}
	return answer(400, failure{"unknown question"})
}

// Machines is a page of machines; the next one is asked for with the last name.
type Machines struct {
	Machines []scheduler.MachineView `json:"machines"`
	More     bool                    `json:"more"`
}

type failure struct {
	Error string `json:"error"`
}

func answer(status int, v any) peer.RelayReply {
	raw, err := json.Marshal(v)
	if err != nil {
		return peer.RelayReply{Status: 503}
	}
	return peer.RelayReply{Status: status, Body: raw}
}
