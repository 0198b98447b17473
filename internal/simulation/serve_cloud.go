package simulation

import (
	"net/http"

	"drumpick/internal/autoscaler"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
)

// defaultMachinesLimit and maxMachinesLimit bound the machines on a page of the machine list.
const defaultMachinesLimit, maxMachinesLimit = 500, 500

// Response bodies of the cloud.
type (
	rentResponse struct {
		Machines []string `json:"hosts"`
	}
	machinesResponse struct {
		Machines []autoscaler.CloudMachine `json:"hosts"`
		More     bool                      `json:"more"`
	}
)

// ServeCloud registers the routes of the cloud's API.
func ServeCloud(app *fiber.App, env *Environment) {
	app.Get("/machine_types", func(c *fiber.Ctx) error { return c.JSON(records.MachineTypes{Types: env.Types}) })
	app.Post("/machines", func(c *fiber.Ctx) error { return serveRent(c, env) })
	app.Post("/machines/return", func(c *fiber.Ctx) error { return serveReturn(c, env) })
	app.Get("/machines", func(c *fiber.Ctx) error { return serveMachines(c, env) })
}

func serveRent(c *fiber.Ctx, env *Environment) error {
	var r autoscaler.RentalRequest
	err := jsoncodec.Unmarshal(c.Body(), &r)
	if err != nil || r.Name == "" || r.Count < 1 || r.Count > autoscaler.MaxRentCount {
		return c.Status(http.StatusBadRequest).JSON(errorBody{"booking is missing, or count is not within 1 to 50"})
	}
	r.Name, r.Type, r.Zone = utils.CopyString(r.Name), utils.CopyString(r.Type), utils.CopyString(r.Zone)
	machines, err := env.rent(r)
	if err != nil {
		return c.Status(http.StatusServiceUnavailable).JSON(errorBody{"no capacity"})
	}
	return c.JSON(rentResponse{machines})
}

func serveReturn(c *fiber.Ctx, env *Environment) error {
	var in struct {
		Machines []string `json:"hosts"`
	}
	if err := jsoncodec.Unmarshal(c.Body(), &in); err != nil || len(in.Machines) > autoscaler.MaxReturnNames {
		return c.Status(http.StatusBadRequest).JSON(errorBody{"hosts is no list of at most 100 names"})
	}
	env.returnMachines(in.Machines)
	return c.JSON(emptyResponse{})
}

func serveMachines(c *fiber.Ctx, env *Environment) error {
	since := c.Query("since")
	limit := min(max(c.QueryInt("limit", defaultMachinesLimit), 1), maxMachinesLimit)
	page := []autoscaler.CloudMachine{}
	more := false
	for _, m := range env.CloudMachines() {
		if m.Machine <= since {
			continue
		}
		if more = len(page) == limit; more {
			break
		}
		page = append(page, m)
	}
	return c.JSON(machinesResponse{page, more})
}
