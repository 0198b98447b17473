package loadtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"drumpick/client"
	"drumpick/internal/autoscaler"
	"drumpick/internal/httpclient"
	"drumpick/internal/localcluster"
	"drumpick/internal/records"
	"drumpick/internal/simulation"
)

// Programs are what a run starts.
type Programs struct {
	Self       string // this program
	Controller string // the controllers'
	Options    string // the operators' settings of the controllers
}

// region is one region: its own state service, cloud, controllers and workers.
type region struct {
	size          Size
	index         int
	zones         []string
	store         *child
	processes     []*workerProcess // processes of workers
	cluster       *localcluster.Cluster
	client        *client.Client
	perController []*client.Client   // of one controller each
	storeClient   *httpclient.Client // to the state service

	mu         sync.Mutex
	placements map[string]*workerProcess // of machines
}

// workerProcess is a process of workers and how many machines it runs.
type workerProcess struct {
	*child
	real     bool
	capacity int
	machines int
}

// zoneNames are the zones of a region, of those of the whole run.
func (s *Size) zoneNames(index int) []string {
	var zones []string
	for i := range s.share(s.Zones, index) {
		zones = append(zones, fmt.Sprintf("region-%d-zone-%d", index+1, i+1))
	}
	return zones
}

// openRegion starts a region's processes, and waits until every controller takes requests.
func openRegion(ctx context.Context, size Size, index int, programs Programs, data string) (_ *region, err error) {
	c := &region{size: size, index: index, zones: size.zoneNames(index), placements: map[string]*workerProcess{}}
	defer func() {
		if err != nil {
			err = errors.Join(err, c.close())
		}
	}()
	dir := filepath.Join(data, fmt.Sprintf("region-%d", index+1))
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if c.store, err = startChild(programs.Self, filepath.Join(dir, "state.log"), "serve", RoleState, "--data", dir); err != nil {
		return nil, err
	}
	c.storeClient = httpclient.New(c.store.Service, 4, time.Second)
	workers, apart := size.share(size.Workers, index), size.share(size.RealWorkers, index)
	if err = c.startProcesses(programs.Self, dir, apart, workers-apart); err != nil {
		return nil, err
	}
	perZone := (workers + len(c.zones) - 1) / len(c.zones)
	c.cluster, err = localcluster.Start(ctx, localcluster.Options{
		Data: dir, Controller: programs.Controller, Arguments: []string{"--options", programs.Options}, Zones: c.zones, Controllers: size.Controllers,
		Machines: perZone, LogLevel: "info", Deployment: size.deployment(index, c.zones), MachineTypes: size.machineTypes(c.zones), StoreAddr: c.store.Service, StartWorker: c.startMachine,
	})
	if err != nil {
		return nil, err
	}
	c.client = c.cluster.Client()
	for _, n := range c.cluster.Info.Controllers {
		alone, err := client.New(n.UserAddr)
		if err != nil {
			return nil, err
		}
		c.perController = append(c.perController, alone)
	}
	setup := Setup{Types: size.machineTypes(c.zones)}
	for _, n := range c.cluster.Info.Controllers {
		setup.Nodes = append(setup.Nodes, Node{n.Name, n.UserAddr})
	}
	for _, h := range c.processes {
		if err = h.ask("POST", "/setup", setup, nil); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// startProcesses starts the processes of workers: one for each real one, and as many as the hollow ones need.
func (r *region) startProcesses(program, dir string, apart, hollow int) error {
	for i := range apart {
		h, err := startChild(program, filepath.Join(dir, fmt.Sprintf("real-%d.log", i+1)), "serve", RoleWorkers)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, &workerProcess{child: h, real: true, capacity: 1})
	}
	for i := range (hollow + workersPerProcess - 1) / workersPerProcess {
		h, err := startChild(program, filepath.Join(dir, fmt.Sprintf("hollow-%d.log", i+1)), "serve", RoleWorkers)
		if err != nil {
			return err
		}
		// One more than their share: zones hold equal parts, rounded up.
		r.processes = append(r.processes, &workerProcess{child: h, capacity: workersPerProcess + len(r.zones)})
	}
	return nil
}

var errFull = errors.New("no process has room for another worker")

// startMachine starts a rented machine in the process that has the fewest, the real ones first.
func (r *region) startMachine(m *simulation.Machine) (string, func(), error) {
	r.mu.Lock()
	var to *workerProcess
	for _, h := range r.processes {
		if h.machines < h.capacity && (to == nil || h.real && !to.real || h.real == to.real && h.machines < to.machines) {
			to = h
		}
	}
	if to == nil {
		r.mu.Unlock()
		return "", nil, errFull
	}
	to.machines++
	r.placements[m.Name] = to
	r.mu.Unlock()
	var at Placed
	err := to.ask("POST", "/machines", Placement{m.Name, autoscaler.RentalRequest{Type: m.Type(), Zone: m.Zone, Spot: m.Spot}}, &at)
	if err != nil {
		r.forgetMachine(m.Name)
		return "", nil, err
	}
	return at.Addr, func() {
		_ = to.ask("POST", "/machines/end", Placement{Machine: m.Name}, nil) // what can't be reached has ended
		r.forgetMachine(m.Name)
	}, nil
}

func (r *region) forgetMachine(machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.placements[machine]; h != nil {
		h.machines--
		delete(r.placements, machine)
	}
}

// reboot restarts a machine: what runs there is lost, and it is back at once.
func (r *region) reboot(machine string) {
	r.mu.Lock()
	h := r.placements[machine]
	r.mu.Unlock()
	if h != nil {
		_ = h.ask("POST", "/machines/reboot", Placement{Machine: machine}, nil)
	}
}

// upload gives the workers jobs' descriptions, as users do.
func (r *region) upload(jobs ...client.Job) error {
	described := make([]records.Job, 0, len(jobs))
	for _, j := range jobs {
		raw, err := json.Marshal(j)
		if err != nil {
			return err
		}
		var record records.Job
		if err := json.Unmarshal(raw, &record); err != nil {
			return err
		}
		described = append(described, record)
	}
	for _, h := range r.processes {
		if err := h.ask("POST", "/jobs", described, nil); err != nil {
			return err
		}
	}
	return nil
}

// leadership is who leads, and in which term; a zero term: nobody does.
type leadership struct {
	node string
	term uint64
}

// leader reads from the state service who leads.
func (r *region) leader() leadership {
	status, raw, err := r.storeClient.Do("GET", "/store/"+records.KeyLeader, "", nil, time.Now().Add(time.Second))
	if err != nil || status != 200 {
		return leadership{}
	}
	var row records.KeyValue
	var l records.Leader
	if json.Unmarshal(raw, &row) != nil || json.Unmarshal(row.Value, &l) != nil {
		return leadership{}
	}
	return leadership{l.Node, row.Revision}
}

// finalStates asks each controller how a job stands.
func (r *region) finalStates(ctx context.Context, id string) []Final {
	var all []Final
	for i, controller := range r.cluster.Info.Controllers {
		st, err := r.perController[i].Get(ctx, id)
		if err != nil {
			st.Status = err.Error()
		}
		all = append(all, Final{controller.Name, st.Status})
	}
	return all
}

// history gathers what all workers ran.
func (r *region) history() ([]simulation.TaskRun, error) {
	var all []simulation.TaskRun
	for _, h := range r.processes {
		var ran []simulation.TaskRun
		if err := h.ask("GET", "/history", nil, &ran); err != nil {
			return nil, err
		}
		all = append(all, ran...)
	}
	return all, nil
}

// counts adds up what the workers' processes count.
func (r *region) counts() (sum WorkerCounts, err error) {
	for _, h := range r.processes {
		var n WorkerCounts
		if err := h.ask("GET", "/counts", nil, &n); err != nil {
			return sum, err
		}
		sum = sum.plus(n)
	}
	return sum, nil
}

func (w WorkerCounts) plus(n WorkerCounts) WorkerCounts {
	return WorkerCounts{
		Machines: w.Machines + n.Machines, Running: w.Running + n.Running, Starts: w.Starts + n.Starts, LeaseExpiries: w.LeaseExpiries + n.LeaseExpiries,
		Heartbeats: w.Heartbeats.Plus(n.Heartbeats), RejectedHeartbeats: w.RejectedHeartbeats + n.RejectedHeartbeats, Commands: w.Commands.Plus(n.Commands),
	}
}

// sample reads what the region's processes take now.
func (r *region) sample(m *meter) {
	leader := r.leader().node
	for _, n := range r.cluster.Info.Controllers {
		role := roleFollower
		if n.Name == leader {
			role = roleLeader
		}
		m.sample(role, r.cluster.PID(n.Name))
	}
	m.sample(roleState, r.store.pid())
	for _, h := range r.processes {
		role := roleHollow
		if h.real {
			role = roleReal
		}
		m.sample(role, h.pid())
	}
}

// close ends all of the region's processes.
func (r *region) close() error {
	var err error
	if r.cluster != nil {
		err = r.cluster.Stop()
	}
	for _, h := range r.processes {
		h.stop()
	}
	if r.store != nil {
		r.store.stop()
	}
	return err
}
