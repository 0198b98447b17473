package simulation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
	"drumpick/internal/workers"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
)

// ServeStore serves the state service's interface. durable waits until what an answer
// tells is kept for good; nil: it is as soon as it is known. Open watches end with ctx.
func ServeStore(ctx context.Context, app *fiber.App, s *Store, durable func(epoch uint64)) {
	answer := func(c *fiber.Ctx, status int, body any) error {
		if durable != nil {
			durable(s.Revision())
		}
		return c.Status(status).JSON(body)
	}
	away := func(c *fiber.Ctx) error {
		if s.refuses("") && c.Path() != "/watch" { // open watches stay open
			return c.Status(503).JSON(errorBody{"outage"})
		}
		return c.Next()
	}
	app.Use("/store", away)
	app.Use("/commit", away)
	app.Use("/grants", away)
	app.Get("/store", func(c *fiber.Ctx) error {
		rows, more, epoch := s.page(c.Query("under"), c.Query("since"), min(max(c.QueryInt("limit", 1000), 1), 1000), maxPageBytes)
		if rows == nil {
			rows = []records.KeyValue{}
		}
		return answer(c, 200, fiber.Map{"rows": rows, "more": more, "epoch": epoch})
	})
	app.Get("/store/*", func(c *fiber.Ctx) error {
		r, epoch, ok := s.get(c.Params("*"))
		if !ok {
			return answer(c, 404, fiber.Map{"epoch": epoch})
		}
		return answer(c, 200, r)
	})
	app.Post("/commit", func(c *fiber.Ctx) error {
		var in struct {
			When   []records.Compare `json:"when"`
			Writes []struct {
				Write  string          `json:"write"`
				Value  json.RawMessage `json:"value"`
				Hold   uint64          `json:"hold"`
				Delete string          `json:"delete"`
			} `json:"writes"`
		}
		if err := json.Unmarshal(c.Body(), &in); err != nil {
			return c.Status(400).JSON(errorBody{err.Error()})
		}
		var ops []records.Op
		for _, w := range in.Writes {
			if (w.Write == "") == (w.Delete == "") || w.Write != "" && len(w.Value) == 0 {
				return c.Status(400).JSON(errorBody{"a change is either a write with a value or a delete"})
			}
			ops = append(ops, records.Op{Write: w.Write, Value: json.RawMessage(utils.CopyBytes(w.Value)), LeaseID: w.Hold, Delete: w.Delete})
		}
		epoch, err := s.commit(in.When, ops)
		var conflict *records.ConflictError
		switch {
		case err == nil:
			return answer(c, 200, fiber.Map{"epoch": epoch})
		case errors.As(err, &conflict):
			return answer(c, 409, conflict)
		case errors.Is(err, records.ErrThrottled):
			return c.SendStatus(429)
		case errors.Is(err, records.ErrLeaseExpired):
			return c.Status(400).JSON(errorBody{"no such lease"})
		}
		return c.Status(400).JSON(errorBody{err.Error()})
	})
	app.Post("/grants", func(c *fiber.Ctx) error {
		var in struct {
			LifeMS int64 `json:"life_ms"`
		}
		if json.Unmarshal(c.Body(), &in) != nil || in.LifeMS < 100 || in.LifeMS > 600_000 {
			return c.Status(400).JSON(errorBody{"life_ms is not within 100 to 600000"})
		}
		return answer(c, 200, fiber.Map{"hold": s.grantLease(time.Duration(in.LifeMS) * time.Millisecond)})
	})
	app.Post("/grants/:id/extend", func(c *fiber.Ctx) error {
		id, _ := strconv.ParseUint(c.Params("id"), 10, 64)
		if !s.renewLease(id) {
			return c.Status(404).JSON(errorBody{"no such lease"})
		}
		return c.JSON(fiber.Map{})
	})
	app.Delete("/grants/:id", func(c *fiber.Ctx) error {
		id, _ := strconv.ParseUint(c.Params("id"), 10, 64)
		s.revokeLease(id)
		return answer(c, 200, fiber.Map{})
	})
	app.Get("/watch", func(c *fiber.Ctx) error {
		since, _ := strconv.ParseUint(c.Query("since"), 10, 64)
		wait := time.Duration(min(max(c.QueryInt("wait_ms"), 0), 60_000)) * time.Millisecond
		events, epoch, err := s.watch(ctx, "", c.Query("under"), since, wait, func() bool { return false })
		if errors.Is(err, records.ErrCompacted) {
			return c.Status(410).JSON(errorBody{"too old"})
		}
		if err != nil {
			return c.Status(503).JSON(errorBody{"ending"})
		}
		log := make([]watchEvent, len(events))
		for i, e := range events {
			log[i] = watchEvent{Write: e.Write, Delete: e.Delete, Value: e.Value, Revision: e.Revision}
		}
		return answer(c, 200, fiber.Map{"epoch": epoch, "log": log})
	})
}

type errorBody struct {
	Error string `json:"error"`
}

// watchEvent is a change as a watch tells it.
type watchEvent struct {
	Write    string          `json:"write,omitempty"`
	Delete   string          `json:"delete,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision uint64          `json:"stamp"`
}

// ServeCloud serves the cloud's interface.
func ServeCloud(app *fiber.App, w *Environment) {
	app.Get("/machine_types", func(c *fiber.Ctx) error { return c.JSON(records.MachineTypes{Types: w.Types}) })
	app.Post("/machines", func(c *fiber.Ctx) error {
		var r autoscaler.RentalRequest
		if err := json.Unmarshal(c.Body(), &r); err != nil || r.Name == "" || r.Count < 1 || r.Count > autoscaler.MaxRentCount {
			return c.Status(400).JSON(errorBody{"booking is missing, or count is not within 1 to 50"})
		}
		r.Name, r.Type, r.Zone = utils.CopyString(r.Name), utils.CopyString(r.Type), utils.CopyString(r.Zone)
		hosts, err := w.rent(r)
		if err != nil {
			return c.Status(503).JSON(errorBody{"no capacity"})
		}
		return c.JSON(fiber.Map{"hosts": hosts})
	})
	app.Post("/machines/return", func(c *fiber.Ctx) error {
		var in struct {
			Hosts []string `json:"hosts"`
		}
		if err := json.Unmarshal(c.Body(), &in); err != nil || len(in.Hosts) > autoscaler.MaxReturnNames {
			return c.Status(400).JSON(errorBody{"hosts is no list of at most 100 names"})
		}
		w.returnMachines(in.Hosts)
		return c.JSON(fiber.Map{})
	})
	app.Get("/machines", func(c *fiber.Ctx) error {
		since, limit := c.Query("since"), min(max(c.QueryInt("limit", 500), 1), 500)
		page := []autoscaler.CloudMachine{}
		more := false
		for _, l := range w.CloudMachines() {
			if l.Machine <= since {
				continue
			}
			if more = len(page) == limit; more {
				break
			}
			page = append(page, l)
		}
		return c.JSON(fiber.Map{"hosts": page, "more": more})
	})
}

// ServeWorker serves a machine's own address. A machine that nobody reaches says nothing:
// the connection is closed without an answer.
func ServeWorker(app *fiber.App, m *Machine) {
	ServeWorkers(app, func(*fiber.Ctx) *Machine { return m })
}

// ServeWorkers serves the addresses of machines; at finds the one that a request is for, nil: none
// that is there any more.
func ServeWorkers(app *fiber.App, at func(c *fiber.Ctx) *Machine) {
	silent := func(c *fiber.Ctx) error {
		c.Context().Conn().Close()
		return nil
	}
	app.Post("/orders", func(c *fiber.Ctx) error {
		var d fleet.CommandRequest
		if json.Unmarshal(c.Body(), &d) != nil || d.Incarnation == 0 {
			return c.Status(400).JSON(errorBody{"baton or stint is missing"})
		}
		m := at(c)
		if m == nil {
			return silent(c)
		}
		outcome, r, err := m.ExecuteCommands(d)
		if err != nil {
			return silent(c)
		}
		if outcome == workers.OutcomeRejected {
			return c.Status(409).JSON(r)
		}
		return c.JSON(r)
	})
	app.Get("/status", func(c *fiber.Ctx) error {
		m := at(c)
		if m == nil {
			return silent(c)
		}
		r, err := m.Status()
		if err != nil {
			return silent(c)
		}
		return c.JSON(r)
	})
}

// HeartbeatOverHTTP returns the workers' way to controllers at the given addresses.
func HeartbeatOverHTTP(call func(host string, node int, body []byte) (status int, answer []byte, err error)) HeartbeatFunc {
	return func(node int, r *fleet.Heartbeat) (int, fleet.HeartbeatResponse, string) {
		raw, err := json.Marshal(r)
		if err != nil {
			panic(fmt.Sprintf("unwritable report: %v", err))
		}
		status, answer, err := call(r.Machine, node, raw)
		if err != nil {
			return 0, fleet.HeartbeatResponse{}, ""
		}
		var out struct {
			fleet.HeartbeatResponse
			Conductor string `json:"conductor"`
		}
		if json.Unmarshal(answer, &out) != nil && status == 200 {
			return 0, fleet.HeartbeatResponse{}, ""
		}
		return status, out.HeartbeatResponse, out.Conductor
	}
}
