package localcluster

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"drumpick/internal/httpclient"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
)

// History is what happened in a region so far.
type History struct {
	Runs       []simulation.TaskRun    `json:"ran"`
	Costs      []simulation.RentalCost `json:"bills"`
	Violations []string                `json:"broken"` // rules of the protocol that were broken
}

// History tells what ran and what it cost.
func (r *Cluster) History() History {
	ran, bills := r.Environment.History()
	return History{ran, bills, r.Environment.Violations()}
}

type controlResult struct {
	Done  string `json:"done,omitempty"`
	Error string `json:"error,omitempty"`
}

// mountControl serves whoever causes trouble by hand.
func (r *Cluster) mountControl(app *fiber.App) {
	reply := func(c *fiber.Ctx, text string, err error) error {
		if err != nil {
			return c.Status(404).JSON(controlResult{Error: err.Error()})
		}
		return c.JSON(controlResult{Done: text})
	}
	name := func(c *fiber.Ctx) string {
		n, err := url.PathUnescape(utils.CopyString(c.Params("name")))
		if err != nil {
			return ""
		}
		return n
	}
	app.Post("/kill/:name", func(c *fiber.Ctx) error { return reply(c, "killed "+name(c), r.Kill(name(c))) })
	app.Post("/cut/:name", func(c *fiber.Ctx) error {
		span, err := time.ParseDuration(c.Query("for", "10s"))
		if err != nil || span <= 0 {
			return c.Status(400).JSON(controlResult{Error: "for is no length of time such as 10s"})
		}
		return reply(c, fmt.Sprintf("nobody reaches the machines of %s for %v", name(c), span), r.PartitionZone(name(c), span))
	})
	app.Post("/upgrade/:name", func(c *fiber.Ctx) error {
		version := utils.CopyString(c.Query("to"))
		if version == "" {
			return c.Status(400).JSON(controlResult{Error: "to is missing: which version"})
		}
		return reply(c, name(c)+" comes back with version "+version, r.Upgrade(name(c), version))
	})
	app.Post("/storm/:name", func(c *fiber.Ctx) error {
		n, err := r.FailZone(name(c))
		return reply(c, fmt.Sprintf("%s is without power: %d machines are gone", name(c), n), err)
	})
	app.Get("/history", func(c *fiber.Ctx) error { return c.JSON(r.History()) })
}

// Request sends a command to a region that runs in another process.
func (i Info) Request(method, path string, out any) error {
	status, raw, err := httpclient.New(i.ControlAddr, 1, time.Second).Do(method, path, "application/json", nil, time.Now().Add(10*time.Second))
	if err != nil {
		return fmt.Errorf("the local region does not answer at %s: %w", i.ControlAddr, err)
	}
	if status != 200 {
		var d controlResult
		_ = json.Unmarshal(raw, &d)
		return fmt.Errorf("%s", d.Error)
	}
	return json.Unmarshal(raw, out)
}

// Command has a region do something, and returns what it says.
func (i Info) Command(path string) (string, error) {
	var d controlResult
	err := i.Request("POST", path, &d)
	return d.Done, err
}
