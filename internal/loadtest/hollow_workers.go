package loadtest

import (
	"context"
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
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
)

// Setup is the configuration that a worker process receives about its deployment.
type Setup struct {
	Controllers  []ControllerAddr      `json:"nodes"`
	MachineTypes []records.MachineType `json:"types"`
}

// ControllerAddr is the name of a controller and its address for workers.
type ControllerAddr struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// MachineRequest names a machine to start, terminate or reboot. Rental is set only to start the machine.
type MachineRequest struct {
	Machine string                   `json:"host"`
	Rental  autoscaler.RentalRequest `json:"rent"`
}

// MachineAddr is the address at which a machine's worker accepts direct commands.
type MachineAddr struct {
	Addr string `json:"addr"`
}

// Traffic counts the messages of one kind. Sent and Received are the bytes of the bodies that the counting process
// sent and received.
type Traffic struct {
	Messages uint64 `json:"messages"`
	Sent     uint64 `json:"sent_bytes"`
	Received uint64 `json:"received_bytes"`
}

// Minus returns the traffic since an earlier count.
func (t Traffic) Minus(before Traffic) Traffic {
	return Traffic{t.Messages - before.Messages, t.Sent - before.Sent, t.Received - before.Received}
}

// Plus returns the sum of two counts.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{t.Messages + other.Messages, t.Sent + other.Sent, t.Received + other.Received}
}

// trafficCounter counts the traffic of one message kind. It is safe for concurrent use.
type trafficCounter struct{ messages, sent, received atomic.Uint64 }

func (t *trafficCounter) add(sent, received int) {
	t.messages.Add(1)
	t.sent.Add(uint64(sent))
	t.received.Add(uint64(received))
}

func (t *trafficCounter) read() Traffic {
	return Traffic{t.messages.Load(), t.sent.Load(), t.received.Load()}
}

// WorkerCounts are the counts of a worker process: the current numbers of its machines and running tasks, and
// totals since the process started.
type WorkerCounts struct {
	Machines           int     `json:"machines"`
	Running            int     `json:"running"` // running tasks
	Starts             int     `json:"starts"`
	LeaseExpiries      int     `json:"lapses"` // expired worker leases
	Heartbeats         Traffic `json:"reports"`
	RejectedHeartbeats uint64  `json:"refused"` // heartbeats without a 200 response
	Commands           Traffic `json:"orders"`  // direct commands
}

// HollowWorkers runs simulated workers whose tasks are timers. Each worker has its own listening socket and its own
// connection to a controller.
type HollowWorkers struct {
	env           *simulation.Environment
	ctx           context.Context
	commandServer *fasthttp.Server // serves direct commands to all machines

	mu            sync.Mutex                     // guards jobs, machineByAddr, connections and controllers
	jobs          map[string]records.Job         // uploaded job specifications, by job ID
	machineByAddr map[string]*simulation.Machine // by command address
	connections   map[string]*connection         // by machine name
	controllers   []ControllerAddr

	heartbeats, commands trafficCounter
	rejectedHeartbeats   atomic.Uint64
}

// connection is a worker's connection to the controller that receives its heartbeats.
type connection struct {
	controller int // index in HollowWorkers.controllers
	client     *httpclient.Client
}

// heartbeatTimeout is the maximum time that a worker waits for the response to a heartbeat (PROTOCOL).
const heartbeatTimeout = 4 * time.Second

// NewHollowWorkers returns a set of hollow workers without machines.
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
	env.FirstController = h.firstController
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

// lookupJob returns the uploaded specification of a job, and false if there is none.
func (h *HollowWorkers) lookupJob(id string) (records.Job, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j, ok := h.jobs[id]
	return j, ok
}

// runTime returns the run time of a task: 0.7 to 1.3 times the job's estimate, derived from a hash of the task's
// name.
func (h *HollowWorkers) runTime(task string) time.Duration {
	j, _ := h.lookupJob(jobOf(task))
	sum := fnv.New32a()
	sum.Write([]byte(task))
	return config.Seconds(j.EstimateS * (0.7 + 0.6*float64(sum.Sum32()%1000)/1000))
}

// firstController returns the index of the controller that gets a machine's first heartbeat. A hash of the name
// spreads the machines over the controllers.
func (h *HollowWorkers) firstController(machine string) int {
	sum := fnv.New32a()
	sum.Write([]byte(machine))
	h.mu.Lock()
	defer h.mu.Unlock()
	return int(sum.Sum32()) % max(len(h.controllers), 1)
}

// listenForCommands opens the command address of a machine. It returns the address and a function that closes the
// address and the machine's connection to a controller.
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

// connect returns the client of a machine for a controller, given by its index. If the machine's last connection was
// to another controller, connect closes it.
func (h *HollowWorkers) connect(machine string, controller int) *httpclient.Client {
	h.mu.Lock()
	old := h.connections[machine]
	if old != nil && old.controller == controller {
		h.mu.Unlock()
		return old.client
	}
	current := &connection{controller, httpclient.New(h.controllers[controller].Addr, 1, time.Second)}
	h.connections[machine] = current
	h.mu.Unlock()
	if old != nil {
		old.client.Close()
	}
	return current.client
}

// sendHeartbeat sends a machine's heartbeat to a controller, given by its index. It returns the status and body of
// the response.
func (h *HollowWorkers) sendHeartbeat(machine string, controller int, body []byte) (int, []byte, error) {
	status, response, err := h.connect(machine, controller).Do("POST", "/checkin", "application/json", body, time.Now().Add(heartbeatTimeout))
	h.heartbeats.add(len(body), len(response))
	if status != 200 {
		h.rejectedHeartbeats.Add(1)
	}
	return status, response, err
}

// applySetup sets the machine types and the controllers' addresses. It must be called once, before the first machine
// starts.
func (h *HollowWorkers) applySetup(s Setup) {
	h.mu.Lock()
	h.controllers = s.Controllers
	h.mu.Unlock()
	h.env.Types = s.MachineTypes
	for _, controller := range s.Controllers {
		h.env.Controllers = append(h.env.Controllers, controller.Name)
	}
}

// startMachine starts a rented machine and waits until it accepts commands. If that takes longer than
// childRequestTimeout, it terminates the machine and returns an error. It also returns an error if h.ctx ends.
func (h *HollowWorkers) startMachine(req MachineRequest) (MachineAddr, error) {
	m := h.env.AddMachine(req.Machine, req.Rental)
	for deadline := time.Now().Add(childRequestTimeout); time.Now().Before(deadline); {
		if addr := m.Addr(); addr != "" {
			return MachineAddr{addr}, nil
		}
		if err := ctxtime.Sleep(h.ctx, 5*time.Millisecond); err != nil {
			return MachineAddr{}, err
		}
	}
	m.Terminate()
	return MachineAddr{}, fmt.Errorf("machine %s does not come up", req.Machine)
}

func (h *HollowWorkers) counts() WorkerCounts {
	return WorkerCounts{
		Machines: len(h.env.Machines()), Running: h.env.Running(), Starts: h.env.Starts(), LeaseExpiries: h.env.LeaseExpiries(),
		Heartbeats: h.heartbeats.read(), RejectedHeartbeats: h.rejectedHeartbeats.Load(), Commands: h.commands.read(),
	}
}

// Mount registers the routes that the load test's main process calls.
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
		return handleJSON(c, func(req MachineRequest) (any, error) { return h.startMachine(req) })
	})
	app.Post("/machines/end", h.machineHandler((*simulation.Machine).Terminate))
	app.Post("/machines/reboot", h.machineHandler((*simulation.Machine).Reboot))
	app.Get("/counts", func(c *fiber.Ctx) error { return c.JSON(h.counts()) })
	app.Get("/history", func(c *fiber.Ctx) error {
		runs, _ := h.env.History()
		return c.JSON(runs)
	})
}

// machineHandler returns a handler that calls apply with the machine named in the request.
func (h *HollowWorkers) machineHandler(apply func(*simulation.Machine)) fiber.Handler {
	return func(c *fiber.Ctx) error {
		return handleJSON(c, func(req MachineRequest) (any, error) {
			m := h.env.Machine(req.Machine)
			if m == nil {
				return nil, fmt.Errorf("there is no machine %q here", req.Machine)
			}
			apply(m)
			return fiber.Map{}, nil
		})
	}
}

// handleJSON decodes the request body, and responds with the result of serve: status 400 for an invalid body, 409 for
// an error of serve.
func handleJSON[T any](c *fiber.Ctx, serve func(T) (any, error)) error {
	var req T
	if err := jsoncodec.Unmarshal(c.Body(), &req); err != nil {
		return c.Status(400).SendString(err.Error())
	}
	out, err := serve(req)
	if err != nil {
		return c.Status(409).SendString(err.Error())
	}
	return c.JSON(out)
}
