package loadtest

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/config"
	"drumpick/internal/ctxtime"
	"drumpick/internal/httpclient"
	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
)

// Setup tells a process of workers what they need to know of their region.
type Setup struct {
	Controllers  []ControllerAddr      `json:"nodes"`
	MachineTypes []records.MachineType `json:"types"`
}

// ControllerAddr is a controller as workers reach it.
type ControllerAddr struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// MachineRequest is a rented machine that is to run in a process of workers.
type MachineRequest struct {
	Machine string                   `json:"host"`
	Rental  autoscaler.RentalRequest `json:"rent"`
}

// MachineAddr is where a machine's worker takes direct commands.
type MachineAddr struct {
	Addr string `json:"addr"`
}

// Traffic counts messages of one kind, and the bytes of their bodies there and back.
type Traffic struct {
	Messages uint64 `json:"messages"`
	Sent     uint64 `json:"sent_bytes"`
	Received uint64 `json:"received_bytes"`
}

// Minus returns the traffic since an earlier count.
func (t Traffic) Minus(before Traffic) Traffic {
	return Traffic{t.Messages - before.Messages, t.Sent - before.Sent, t.Received - before.Received}
}

// Plus adds two counts.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{t.Messages + other.Messages, t.Sent + other.Sent, t.Received + other.Received}
}

// trafficCounter counts the traffic of one kind.
type trafficCounter struct{ messages, sent, received atomic.Uint64 }

func (t *trafficCounter) add(sent, received int) {
	t.messages.Add(1)
	t.sent.Add(uint64(sent))
	t.received.Add(uint64(received))
}

func (t *trafficCounter) read() Traffic {
	return Traffic{t.messages.Load(), t.sent.Load(), t.received.Load()}
}

// WorkerCounts is what a process of workers counts.
type WorkerCounts struct {
	Machines           int     `json:"machines"`
	Running            int     `json:"running"`
	Starts             int     `json:"starts"`
	LeaseExpiries      int     `json:"lapses"` // leases that ended
	Heartbeats         Traffic `json:"reports"`
	RejectedHeartbeats uint64  `json:"refused"` // heartbeats not answered with 200
	Commands           Traffic `json:"orders"`  // direct commands
}

// HollowWorkers runs workers whose tasks are timers: simulated machines, each behind a socket of its own and with a
// connection of its own to a controller.
type HollowWorkers struct {
	env           *simulation.Environment
	ctx           context.Context
	commandServer *fasthttp.Server // of direct commands to all machines

	mu            sync.Mutex // guards what follows, but for the counts
	jobs          map[string]records.Job
	machineByAddr map[string]*simulation.Machine // by the address where it takes commands
	connections   map[string]*connection         // by machine
	controllers   []ControllerAddr

	heartbeats, commands trafficCounter
	rejectedHeartbeats   atomic.Uint64
}

// connection is a worker's connection to the controller that it sends heartbeats to.
type connection struct {
	controller int
	client     *httpclient.Client
}

// heartbeatTimeout is how long a worker waits for an answer (PROTOCOL).
const heartbeatTimeout = 4 * time.Second

// NewHollowWorkers returns a process of workers without any.
func NewHollowWorkers(ctx context.Context) *HollowWorkers {
	h := &HollowWorkers{
		env: simulation.NewEnvironment(ctx), ctx: ctx, jobs: map[string]records.Job{},
		machineByAddr: map[string]*simulation.Machine{}, connections: map[string]*connection{},
	}
	env := h.env
	env.HeartbeatInterval, env.Lease, env.CancelLimit = config.Seconds(heartbeatS), config.Seconds(leaseS), config.Seconds(cancelS)
	env.GangStartTimeout, env.GangPeerTimeout = config.Seconds(gangWaitS), config.Seconds(gangPeerS)
	env.MaxCommandDelay = maxCommandDelay
	env.LookupJob = h.lookupJob
	env.RunTime = h.runTime
	env.Listen = h.listenForCommands
	env.Heartbeat = simulation.HeartbeatOverHTTP(h.sendHeartbeat)
	env.FirstNode = h.firstController
	commands := newApp()
	commands.Use(func(c *fiber.Ctx) error {
		err := c.Next()
		h.commands.add(len(c.Response().Body()), len(c.Body()))
		return err
	})
	simulation.ServeWorkers(commands, func(c *fiber.Ctx) *simulation.Machine {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.machineByAddr[c.Context().LocalAddr().String()]
	})
	h.commandServer = &fasthttp.Server{Handler: commands.Handler(), ReduceMemoryUsage: true, NoDefaultServerHeader: true}
	return h
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 256 << 20})
}

func listenLocal() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// lookupJob returns a job's specification, as users uploaded it.
func (h *HollowWorkers) lookupJob(id string) (records.Job, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j, ok := h.jobs[id]
	return j, ok
}

// runTime returns how long a task runs: 0.7 to 1.3 times its job's estimate, by its name.
func (h *HollowWorkers) runTime(task string) time.Duration {
	j, _ := h.lookupJob(jobOf(task))
	sum := fnv.New32a()
	sum.Write([]byte(task))
	return config.Seconds(j.EstimateS * (0.7 + 0.6*float64(sum.Sum32()%1000)/1000))
}

// firstController spreads the workers' first heartbeats over the controllers.
func (h *HollowWorkers) firstController(host string) int {
	sum := fnv.New32a()
	sum.Write([]byte(host))
	h.mu.Lock()
	defer h.mu.Unlock()
	return int(sum.Sum32()) % max(len(h.controllers), 1)
}

// listenForCommands opens the address where a machine takes commands.
func (h *HollowWorkers) listenForCommands(m *simulation.Machine) (string, func(), error) {
	ln, err := listenLocal()
	if err != nil {
		return "", nil, err
	}
	addr := ln.Addr().String()
	h.mu.Lock()
	h.machineByAddr[addr] = m
	h.mu.Unlock()
	go func() { _ = h.commandServer.Serve(ln) }()
	return addr, func() {
		ln.Close()
		h.mu.Lock()
		delete(h.machineByAddr, addr)
		old := h.connections[m.Name]
		delete(h.connections, m.Name)
		h.mu.Unlock()
		if old != nil {
			old.client.Close()
		}
	}, nil
}

// connect returns a worker's connection to a controller, and closes the one to another.
func (h *HollowWorkers) connect(host string, node int) *httpclient.Client {
	h.mu.Lock()
	was := h.connections[host]
	if was != nil && was.controller == node {
		h.mu.Unlock()
		return was.client
	}
	now := &connection{node, httpclient.New(h.controllers[node].Addr, 1, time.Second)}
	h.connections[host] = now
	h.mu.Unlock()
	if was != nil {
		was.client.Close()
	}
	return now.client
}

// sendHeartbeat sends a worker's heartbeat to a controller.
func (h *HollowWorkers) sendHeartbeat(host string, node int, body []byte) (int, []byte, error) {
	status, answer, err := h.connect(host, node).Do("POST", "/checkin", "application/json", body, time.Now().Add(heartbeatTimeout))
	h.heartbeats.add(len(body), len(answer))
	if status != 200 {
		h.rejectedHeartbeats.Add(1)
	}
	return status, answer, err
}

// applySetup takes in where the controllers are.
func (h *HollowWorkers) applySetup(s Setup) {
	h.mu.Lock()
	h.controllers = s.Controllers
	h.mu.Unlock()
	h.env.Types = s.MachineTypes
	for _, n := range s.Controllers {
		h.env.Nodes = append(h.env.Nodes, n.Name)
	}
}

// startMachine starts a rented machine and waits until it takes commands.
func (h *HollowWorkers) startMachine(p MachineRequest) (MachineAddr, error) {
	m := h.env.AddMachine(p.Machine, p.Rental)
	for until := time.Now().Add(childRequestTimeout); time.Now().Before(until); {
		if addr := m.Addr(); addr != "" {
			return MachineAddr{addr}, nil
		}
		if err := ctxtime.Sleep(h.ctx, 5*time.Millisecond); err != nil {
			return MachineAddr{}, err
		}
	}
	m.Terminate()
	return MachineAddr{}, fmt.Errorf("machine %s does not come up", p.Machine)
}

func (h *HollowWorkers) counts() WorkerCounts {
	return WorkerCounts{
		Machines: len(h.env.Machines()), Running: h.env.Running(), Starts: h.env.Starts(), LeaseExpiries: h.env.LeaseExpiries(),
		Heartbeats: h.heartbeats.read(), RejectedHeartbeats: h.rejectedHeartbeats.Load(), Commands: h.commands.read(),
	}
}

// Mount serves the run that started the process.
func (h *HollowWorkers) Mount(app *fiber.App) {
	app.Post("/setup", func(c *fiber.Ctx) error {
		return handleJSON(c, func(s Setup) (any, error) { h.applySetup(s); return fiber.Map{}, nil })
	})
	app.Post("/jobs", func(c *fiber.Ctx) error {
		return handleJSON(c, func(jobs []records.Job) (any, error) {
			h.mu.Lock()
			defer h.mu.Unlock()
			for _, j := range jobs {
				h.jobs[j.ID] = j
			}
			return fiber.Map{}, nil
		})
	})
	app.Post("/machines", func(c *fiber.Ctx) error {
		return handleJSON(c, func(p MachineRequest) (any, error) { return h.startMachine(p) })
	})
	app.Post("/machines/end", h.machineHandler((*simulation.Machine).Terminate))
	app.Post("/machines/reboot", h.machineHandler((*simulation.Machine).Reboot))
	app.Get("/counts", func(c *fiber.Ctx) error { return c.JSON(h.counts()) })
	app.Get("/history", func(c *fiber.Ctx) error {
		ran, _ := h.env.History()
		return c.JSON(ran)
	})
}

// machineHandler returns a handler that does something to a machine, by its name.
func (h *HollowWorkers) machineHandler(do func(*simulation.Machine)) fiber.Handler {
	return func(c *fiber.Ctx) error {
		return handleJSON(c, func(p MachineRequest) (any, error) {
			m := h.env.Machine(p.Machine)
			if m == nil {
				return nil, fmt.Errorf("there is no machine %q here", p.Machine)
			}
			do(m)
			return fiber.Map{}, nil
		})
	}
}

// handleJSON reads a request's body and answers with what do returns.
func handleJSON[T any](c *fiber.Ctx, do func(T) (any, error)) error {
	var in T
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return c.Status(400).SendString(err.Error())
	}
	out, err := do(in)
	if err != nil {
		return c.Status(409).SendString(err.Error())
	}
	return c.JSON(out)
}
