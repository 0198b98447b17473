package localcluster

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"drumpick/internal/httpclient"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
)

// History holds the ended attempts, the machines' costs and the rule violations of a cluster so far.
type History struct {
	Runs       []simulation.TaskRun    `json:"ran"`
	Costs      []simulation.RentalCost `json:"bills"`
	Violations []string                `json:"broken"` // of protocol rules
}

// History returns the cluster's history so far. It lacks the attempts of workers that Options.StartWorker starts.
func (c *Cluster) History() History {
	runs, costs := c.Environment.History()
	return History{runs, costs, c.Environment.Violations()}
}

// controlResult is the response to a control request: what was done, or why the request failed.
type controlResult struct {
	Done  string `json:"done,omitempty"`
	Error string `json:"error,omitempty"`
}

// defaultPartitionDuration is the duration of a partition if the request does not set one.
const defaultPartitionDuration = "10s"

// mountControl mounts the control API, through which other processes inject faults and read the history.
func (c *Cluster) mountControl(app *fiber.App) {
	app.Post("/kill/:name", c.serveKill)
	app.Post("/cut/:name", c.servePartition)
	app.Post("/upgrade/:name", c.serveUpgrade)
	app.Post("/storm/:name", c.serveFailZone)
	app.Get("/history", func(ctx *fiber.Ctx) error { return ctx.JSON(c.History()) })
}

func (c *Cluster) serveKill(ctx *fiber.Ctx) error {
	name := targetOf(ctx)
	return respondToCommand(ctx, "killed "+name, c.Kill(name))
}

func (c *Cluster) servePartition(ctx *fiber.Ctx) error {
	duration, err := time.ParseDuration(ctx.Query("for", defaultPartitionDuration))
	if err != nil || duration <= 0 {
		return ctx.Status(http.StatusBadRequest).JSON(controlResult{Error: "for is no length of time such as 10s"})
	}
	zone := targetOf(ctx)
	text := fmt.Sprintf("nobody reaches the machines of %s for %v", zone, duration)
	return respondToCommand(ctx, text, c.PartitionZone(zone, duration))
}

func (c *Cluster) serveUpgrade(ctx *fiber.Ctx) error {
	version := utils.CopyString(ctx.Query("to"))
	if version == "" {
		return ctx.Status(http.StatusBadRequest).JSON(controlResult{Error: "to is missing: which version"})
	}
	machine := targetOf(ctx)
	return respondToCommand(ctx, machine+" comes back with version "+version, c.UpgradeWorker(machine, version))
}

func (c *Cluster) serveFailZone(ctx *fiber.Ctx) error {
	zone := targetOf(ctx)
	n, err := c.FailZone(zone)
	return respondToCommand(ctx, fmt.Sprintf("%s is without power: %d machines are gone", zone, n), err)
}

// targetOf returns the controller, machine or zone that a request names; "" if the name is invalid.
func targetOf(ctx *fiber.Ctx) string {
	name, err := url.PathUnescape(utils.CopyString(ctx.Params("name")))
	if err != nil {
		return ""
	}
	return name
}

// respondToCommand responds with text and status 200 or, if err is not nil, with err and status 404.
func respondToCommand(ctx *fiber.Ctx, text string, err error) error {
	if err != nil {
		return ctx.Status(http.StatusNotFound).JSON(controlResult{Error: err.Error()})
	}
	return ctx.JSON(controlResult{Done: text})
}

// controlTimeout is the timeout of a control request.
const controlTimeout = 10 * time.Second

// Request sends a control request to a cluster that runs in another process, and decodes the response into out. If the
// status is not 200, it returns the response's error text as the error.
func (info Info) Request(method, path string, out any) error {
	control := httpclient.New(info.ControlAddr, 1, time.Second)
	status, raw, err := control.Do(method, path, "application/json", nil, time.Now().Add(controlTimeout))
	if err != nil {
		return fmt.Errorf("local cluster does not respond at %s: %w", info.ControlAddr, err)
	}
	if status != http.StatusOK {
		var result controlResult
		_ = jsoncodec.Unmarshal(raw, &result)
		return errors.New(result.Error)
	}
	return jsoncodec.Unmarshal(raw, out)
}

// PostCommand posts a control request to a cluster and returns the response's text, which says what was done.
func (info Info) PostCommand(path string) (string, error) {
	var result controlResult
	err := info.Request(http.MethodPost, path, &result)
	return result.Done, err
}
