package simulation

import (
	"fmt"
	"net/http"

	"drumpick/internal/fleet"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/workers"

	"github.com/gofiber/fiber/v2"
)

// ServeWorker registers the routes of a machine's worker. Requests to an unreachable machine get no response:
// their connection is closed.
func ServeWorker(app *fiber.App, m *Machine) {
	ServeWorkers(app, func(*fiber.Ctx) *Machine { return m })
}

// ServeWorkers registers the routes of many machines' workers. machineOf returns the machine that a request is for, or
// nil if the machine no longer exists.
func ServeWorkers(app *fiber.App, machineOf func(c *fiber.Ctx) *Machine) {
	app.Post("/orders", func(c *fiber.Ctx) error {
		var r fleet.CommandRequest
		if jsoncodec.Unmarshal(c.Body(), &r) != nil || r.Incarnation == 0 {
			return c.Status(http.StatusBadRequest).JSON(errorBody{"baton or stint is missing"})
		}
		m := machineOf(c)
		if m == nil {
			return closeWithoutResponse(c)
		}
		outcome, heartbeat, err := m.ExecuteCommands(r)
		if err != nil {
			return closeWithoutResponse(c)
		}
		if outcome == workers.OutcomeRejected {
			return c.Status(http.StatusConflict).JSON(heartbeat)
		}
		return c.JSON(heartbeat)
	})
	app.Get("/status", func(c *fiber.Ctx) error {
		m := machineOf(c)
		if m == nil {
			return closeWithoutResponse(c)
		}
		heartbeat, err := m.Status()
		if err != nil {
			return closeWithoutResponse(c)
		}
		return c.JSON(heartbeat)
	})
}

// closeWithoutResponse closes a request's connection without a response.
func closeWithoutResponse(c *fiber.Ctx) error {
	c.Context().Conn().Close()
	return nil
}

// HeartbeatOverHTTP returns a HeartbeatFunc that encodes heartbeats and passes them to send, which sends them over HTTP.
// An error of send, or an undecodable response with status 200, counts as no response.
func HeartbeatOverHTTP(
	send func(machine string, controller int, body []byte) (status int, response []byte, err error),
) HeartbeatFunc {
	return func(controller int, r *fleet.Heartbeat) (int, fleet.HeartbeatResponse, string) {
		raw, err := jsoncodec.Marshal(r)
		if err != nil {
			panic(fmt.Sprintf("encode heartbeat: %v", err))
		}
		status, response, err := send(r.Machine, controller, raw)
		if err != nil {
			return 0, fleet.HeartbeatResponse{}, ""
		}
		var out fleet.HeartbeatResponse
		if jsoncodec.Unmarshal(response, &out) != nil && status == http.StatusOK {
			return 0, fleet.HeartbeatResponse{}, ""
		}
		var redirect struct {
			Leader string `json:"conductor"`
		}
		_ = jsoncodec.Unmarshal(response, &redirect) // a response that is no object names no leader
		return status, out, redirect.Leader
	}
}
