package simulation

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
)

// errorBody is the response body of an error.
type errorBody struct {
	Error string `json:"error"`
}

// watchEvent is a change in the response to a watch.
type watchEvent struct {
	Write    string               `json:"write,omitempty"`
	Delete   string               `json:"delete,omitempty"`
	Value    jsoncodec.RawMessage `json:"value,omitempty"`
	Revision uint64               `json:"stamp"`
}

// Response bodies of the store.
type (
	revisionResponse struct {
		Revision uint64 `json:"epoch"`
	}
	listResponse struct {
		Revision uint64             `json:"epoch"`
		More     bool               `json:"more"`
		Entries  []records.KeyValue `json:"rows"`
	}
	leaseResponse struct {
		LeaseID uint64 `json:"hold"`
	}
	watchResponse struct {
		Revision uint64       `json:"epoch"`
		Log      []watchEvent `json:"log"`
	}
	emptyResponse struct{}
)

// Bounds of request parameters.
const (
	defaultListLimit, maxListLimit = 1000, 1000
	minLeaseMS, maxLeaseMS         = 100, 600_000
	maxWatchWaitMS                 = 60_000
)

// storeServer serves a store over HTTP.
type storeServer struct {
	ctx         context.Context // open watches end when ctx ends
	store       *Store
	waitDurable func(revision uint64)
}

// ServeStore registers the routes of the store's API. durable blocks until all changes up to a revision are persisted;
// no response discloses a change of an entry before that. It does not wait for lease grants, which do not advance the
// revision. If durable is nil, changes count as persisted at once. Open watches end with ctx.
func ServeStore(ctx context.Context, app *fiber.App, s *Store, durable func(revision uint64)) {
	server := &storeServer{ctx: ctx, store: s, waitDurable: durable}
	app.Use("/store", server.rejectDuringOutage)
	app.Use("/commit", server.rejectDuringOutage)
	app.Use("/grants", server.rejectDuringOutage)
	app.Get("/store", server.list)
	app.Get("/store/*", server.get)
	app.Post("/commit", server.commit)
	app.Post("/grants", server.grantLease)
	app.Post("/grants/:id/extend", server.renewLease)
	app.Delete("/grants/:id", server.revokeLease)
	app.Get("/watch", server.watch)
}

// respond sends a response after all changes so far are persisted, because the response may disclose them.
func (s *storeServer) respond(c *fiber.Ctx, status int, body any) error {
	if s.waitDurable != nil {
		s.waitDurable(s.store.Revision())
	}
	return c.Status(status).JSON(body)
}

// rejectDuringOutage rejects requests during an outage with 503. It does not apply to watches, which stay open.
func (s *storeServer) rejectDuringOutage(c *fiber.Ctx) error {
	if s.store.refuses("") {
		return c.Status(http.StatusServiceUnavailable).JSON(errorBody{"outage"})
	}
	return c.Next()
}

func (s *storeServer) list(c *fiber.Ctx) error {
	limit := min(max(c.QueryInt("limit", defaultListLimit), 1), maxListLimit)
	entries, more, revision := s.store.page(c.Query("under"), c.Query("since"), limit, maxPageBytes)
	if entries == nil {
		entries = []records.KeyValue{}
	}
	return s.respond(c, http.StatusOK, listResponse{Revision: revision, More: more, Entries: entries})
}

func (s *storeServer) get(c *fiber.Ctx) error {
	kv, revision, ok := s.store.get(c.Params("*"))
	if !ok {
		return s.respond(c, http.StatusNotFound, revisionResponse{revision})
	}
	return s.respond(c, http.StatusOK, kv)
}

// commitRequest is the request body of a commit.
type commitRequest struct {
	Compares []records.Compare `json:"when"`
	Ops      []struct {
		Write   string               `json:"write"`
		Value   jsoncodec.RawMessage `json:"value"`
		LeaseID uint64               `json:"hold"`
		Delete  string               `json:"delete"`
	} `json:"writes"`
}

var errMalformedOp = errors.New("a change is either a write with a value or a delete")

// operations returns the operations of a request. It copies the values, because the request's buffer is reused.
func (r *commitRequest) operations() ([]records.Op, error) {
	var ops []records.Op
	for _, op := range r.Ops {
		if (op.Write == "") == (op.Delete == "") || op.Write != "" && len(op.Value) == 0 {
			return nil, errMalformedOp
		}
		value := jsoncodec.RawMessage(utils.CopyBytes(op.Value))
		ops = append(ops, records.Op{Write: op.Write, Value: value, LeaseID: op.LeaseID, Delete: op.Delete})
	}
	return ops, nil
}

func (s *storeServer) commit(c *fiber.Ctx) error {
	var in commitRequest
	if err := jsoncodec.Unmarshal(c.Body(), &in); err != nil {
		return c.Status(http.StatusBadRequest).JSON(errorBody{err.Error()})
	}
	ops, err := in.operations()
	if err != nil {
		return c.Status(http.StatusBadRequest).JSON(errorBody{err.Error()})
	}
	revision, err := s.store.commit(in.Compares, ops)
	var conflict *records.ConflictError
	switch {
	case err == nil:
		return s.respond(c, http.StatusOK, revisionResponse{revision})
	case errors.As(err, &conflict):
		return s.respond(c, http.StatusConflict, conflict)
	case errors.Is(err, records.ErrThrottled):
		return c.SendStatus(http.StatusTooManyRequests)
	case errors.Is(err, records.ErrLeaseExpired):
		return c.Status(http.StatusBadRequest).JSON(errorBody{"no such lease"})
	}
	return c.Status(http.StatusBadRequest).JSON(errorBody{err.Error()})
}

func (s *storeServer) grantLease(c *fiber.Ctx) error {
	var in struct {
		TTL int64 `json:"life_ms"`
	}
	if jsoncodec.Unmarshal(c.Body(), &in) != nil || in.TTL < minLeaseMS || in.TTL > maxLeaseMS {
		return c.Status(http.StatusBadRequest).JSON(errorBody{"life_ms is not within 100 to 600000"})
	}
	id := s.store.grantLease(time.Duration(in.TTL) * time.Millisecond)
	return s.respond(c, http.StatusOK, leaseResponse{id})
}

func (s *storeServer) renewLease(c *fiber.Ctx) error {
	id, _ := strconv.ParseUint(c.Params("id"), 10, 64)
	if !s.store.renewLease(id) {
		return c.Status(http.StatusNotFound).JSON(errorBody{"no such lease"})
	}
	return c.JSON(emptyResponse{})
}

func (s *storeServer) revokeLease(c *fiber.Ctx) error {
	id, _ := strconv.ParseUint(c.Params("id"), 10, 64)
	s.store.revokeLease(id)
	return s.respond(c, http.StatusOK, emptyResponse{})
}

func (s *storeServer) watch(c *fiber.Ctx) error {
	since, _ := strconv.ParseUint(c.Query("since"), 10, 64)
	wait := time.Duration(min(max(c.QueryInt("wait_ms"), 0), maxWatchWaitMS)) * time.Millisecond
	disconnected := func() bool { return false }
	events, revision, err := s.store.watch(s.ctx, "", c.Query("under"), since, wait, disconnected)
	if errors.Is(err, records.ErrCompacted) {
		return c.Status(http.StatusGone).JSON(errorBody{"too old"})
	}
	if err != nil {
		return c.Status(http.StatusServiceUnavailable).JSON(errorBody{"ending"})
	}
	log := make([]watchEvent, len(events))
	for i, e := range events {
		log[i] = watchEvent{Write: e.Write, Delete: e.Delete, Value: e.Value, Revision: e.Revision}
	}
	return s.respond(c, http.StatusOK, watchResponse{Revision: revision, Log: log})
}
