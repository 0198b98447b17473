package localcluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"drumpick/internal/httpclient"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
)

// History is what happened in a cluster so far.
type History struct {
	Runs       []simulation.TaskRun    `json:"ran"`
	Costs      []simulation.RentalCost `json:"bills"`
	Violations []string                `json:"broken"` // of the protocol's rules
}

// History returns what ran and what it cost.
func (c *Cluster) History() History {
	runs, costs := c.Environment.History()
	return History{runs, costs, c.Environment.Violations()}
}

// controlResult is the answer to a command: what was done, or why it was not.
type controlResult struct {
	Done  string `json:"done,omitempty"`
	Error string `json:"error,omitempty"`
}

// defaultPartition is how long a zone is unreachable if the command does not say.
const defaultPartition = "10s"

// mountControl serves the commands by which other processes cause faults.
func (c *Cluster) mountControl(app *fiber.App) {
	app.Post("/kill/:name", c.serveKill)
	app.Post("/cut/:name", c.servePartition)
	app.Post("/upgrade/:name", c.serveUpgrade)
	app.Post("/storm/:name", c.serveFailZone)
	app.Get("/history", func(ctx *fiber.Ctx) error { return ctx.JSON(c.History()) })
}

func (c *Cluster) serveKill(ctx *fiber.Ctx) error {
	name := targetOf(ctx)
	return answerCommand(ctx, "killed "+name, c.Kill(name))
}

func (c *Cluster) servePartition(ctx *fiber.Ctx) error {
	span, err := time.ParseDuration(ctx.Query("for", defaultPartition))
	if err != nil || span <= 0 {
		return ctx.Status(http.StatusBadRequest).JSON(controlResult{Error: "for is no length of time such as 10s"})
	}
	zone := targetOf(ctx)
	text := fmt.Sprintf("nobody reaches the machines of %s for %v", zone, span)
	return answerCommand(ctx, text, c.PartitionZone(zone, span))
}

func (c *Cluster) serveUpgrade(ctx *fiber.Ctx) error {
	version := utils.CopyString(ctx.Query("to"))
	if version == "" {
		return ctx.Status(http.StatusBadRequest).JSON(controlResult{Error: "to is missing: which version"})
	}
	machine := targetOf(ctx)
	return answerCommand(ctx, machine+" comes back with version "+version, c.UpgradeWorker(machine, version))
}

func (c *Cluster) serveFailZone(ctx *fiber.Ctx) error {
	zone := targetOf(ctx)
	n, err := c.FailZone(zone)
	return answerCommand(ctx, fmt.Sprintf("%s is without power: %d machines are gone", zone, n), err)
}

// targetOf returns what a command is for: the name of a controller, machine or zone.
func targetOf(ctx *fiber.Ctx) string {
	name, err := url.PathUnescape(utils.CopyString(ctx.Params("name")))
	if err != nil {
		return ""
	}
	return name
}

// answerCommand answers with the text, or with why the command failed.
func answerCommand(ctx *fiber.Ctx, text string, err error) error {
	if err != nil {
		return ctx.Status(http.StatusNotFound).JSON(controlResult{Error: err.Error()})
	}
	return ctx.JSON(controlResult{Done: text})
}

// controlTimeout bounds a request to a cluster that runs in another process.
const controlTimeout = 10 * time.Second

// Request sends a request to a cluster that runs in another process, and reads the answer into out.
func (i Info) Request(method, path string, out any) error {
	control := httpclient.New(i.ControlAddr, 1, time.Second)
	status, raw, err := control.Do(method, path, "application/json", nil, time.Now().Add(controlTimeout))
	if err != nil {
		return fmt.Errorf("the local region does not answer at %s: %w", i.ControlAddr, err)
	}
	if status != http.StatusOK {
		var result controlResult
		_ = json.Unmarshal(raw, &result)
		return errors.New(result.Error)
	}
	return json.Unmarshal(raw, out)
}

// PostCommand has a cluster do something, and returns the text of its answer.
func (i Info) PostCommand(path string) (string, error) {
	var result controlResult
	err := i.Request(http.MethodPost, path, &result)
	return result.Done, err
}
