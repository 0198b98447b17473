package loadtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
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
	LoadTest    string // this program
	Controller  string // the controllers' program
	OptionsFile string // the controllers' file of operators' settings
}

// deployment is one deployment: a store, a cloud, controllers and workers of its own.
type deployment struct {
	size              Size
	index             int
	zones             []string
	store             *child
	workerProcesses   []*workerProcess // processes of workers
	cluster           *localcluster.Cluster
	client            *client.Client
	controllerClients []*client.Client // of one controller each
	storeClient       *httpclient.Client

	mu               sync.Mutex
	processByMachine map[string]*workerProcess // by machine
}

// workerProcess is a process of workers.
type workerProcess struct {
	*child
	real     bool // it holds one real worker; otherwise hollow ones
	capacity int  // machines that it takes
	machines int  // that it runs; guarded by region.mu
}

// zoneNames returns the names of a region's share of the zones.
func (s *Size) zoneNames(index int) []string {
	var zones []string
	for i := range s.share(s.Zones, index) {
		zones = append(zones, fmt.Sprintf("region-%d-zone-%d", index+1, i+1))
	}
	return zones
}

// startDeployment starts a region's processes, and waits until every controller takes requests.
func startDeployment(ctx context.Context, size Size, index int, programs Programs, data string) (_ *deployment, err error) {
	r := &deployment{size: size, index: index, zones: size.zoneNames(index), processByMachine: map[string]*workerProcess{}}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.close())
		}
	}()
	dir := filepath.Join(data, fmt.Sprintf("region-%d", index+1))
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if r.store, err = startChild(programs.LoadTest, filepath.Join(dir, "state.log"), "serve", RoleStore, "--data", dir); err != nil {
		return nil, err
	}
	r.storeClient = httpclient.New(r.store.StoreAddr, 4, time.Second)
	workers, realWorkers := size.share(size.Workers, index), size.share(size.RealWorkers, index)
	if err = r.startWorkerProcesses(programs.LoadTest, dir, realWorkers, workers-realWorkers); err != nil {
		return nil, err
	}
	if err = r.startControllers(ctx, programs, dir, workers); err != nil {
		return nil, err
	}
	if err = r.configureWorkers(); err != nil {
		return nil, err
	}
	return r, nil
}

// startControllers starts the region's controllers and cloud, and clients of them.
func (r *deployment) startControllers(ctx context.Context, programs Programs, dir string, workers int) (err error) {
	r.cluster, err = localcluster.Start(ctx, localcluster.Options{
		DataDir:           dir,
		ControllerProgram: programs.Controller,
		ControllerArgs:    []string{"--options", programs.OptionsFile},
		Zones:             r.zones,
		Controllers:       r.size.Controllers,
		MachinesPerZone:   (workers + len(r.zones) - 1) / len(r.zones),
		LogLevel:          "info",
		Deployment:        r.size.deploymentConfig(r.index, r.zones),
		MachineTypes:      r.size.machineTypes(r.zones),
		StoreAddr:         r.store.StoreAddr,
		StartWorker:       r.startMachine,
	})
	if err != nil {
		return err
	}
	r.client = r.cluster.Client()
	for _, controller := range r.cluster.Info.Controllers {
		c, err := client.New(controller.UserAddr)
		if err != nil {
			return err
		}
		r.controllerClients = append(r.controllerClients, c)
	}
	return nil
}

// configureWorkers tells the processes of workers where the controllers are.
func (r *deployment) configureWorkers() error {
	setup := Setup{MachineTypes: r.size.machineTypes(r.zones)}
	for _, controller := range r.cluster.Info.Controllers {
		setup.Controllers = append(setup.Controllers, ControllerAddr{controller.Name, controller.UserAddr})
	}
	for _, p := range r.workerProcesses {
		if err := p.request(http.MethodPost, "/setup", setup, nil); err != nil {
			return err
		}
	}
	return nil
}

// startWorkerProcesses starts the processes of workers: one for each real one, and as many as the hollow ones need.
func (r *deployment) startWorkerProcesses(program, dir string, realWorkers, hollowWorkers int) error {
	for i := range realWorkers {
		log := filepath.Join(dir, fmt.Sprintf("real-%d.log", i+1))
		c, err := startChild(program, log, "serve", RoleWorkers)
		if err != nil {
			return err
		}
		r.workerProcesses = append(r.workerProcesses, &workerProcess{child: c, real: true, capacity: 1})
	}
	for i := range (hollowWorkers + workersPerProcess - 1) / workersPerProcess {
		log := filepath.Join(dir, fmt.Sprintf("hollow-%d.log", i+1))
		c, err := startChild(program, log, "serve", RoleWorkers)
		if err != nil {
			return err
		}
		// One more than their share for each zone: zones hold equal parts, rounded up.
		r.workerProcesses = append(r.workerProcesses, &workerProcess{child: c, capacity: workersPerProcess + len(r.zones)})
	}
	return nil
}

var errNoCapacity = errors.New("no process has room for another worker")

// startMachine starts a rented machine in the process that runs the fewest, the real ones first. It returns the
// machine's address, and what ends the machine.
func (r *deployment) startMachine(m *simulation.Machine) (addr string, end func(), err error) {
	p := r.assignProcess(m.Name)
	if p == nil {
		return "", nil, errNoCapacity
	}
	placement := MachineRequest{m.Name, autoscaler.RentalRequest{Type: m.Type(), Zone: m.Zone, Spot: m.Spot}}
	var placed MachineAddr
	if err := p.request(http.MethodPost, "/machines", placement, &placed); err != nil {
		r.releaseMachine(m.Name)
		return "", nil, err
	}
	return placed.Addr, func() {
		_ = p.request(http.MethodPost, "/machines/end", MachineRequest{Machine: m.Name}, nil) // what can't be reached has ended
		r.releaseMachine(m.Name)
	}, nil
}

// assignProcess chooses the process of a machine and counts the machine there; nil: none has room.
func (r *deployment) assignProcess(machine string) *workerProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *workerProcess
	for _, p := range r.workerProcesses {
		if p.machines < p.capacity && (best == nil || p.preferredTo(best)) {
			best = p
		}
	}
	if best != nil {
		best.machines++
		r.processByMachine[machine] = best
	}
	return best
}

// preferredTo reports whether a machine is rather placed in p than in other.
func (p *workerProcess) preferredTo(other *workerProcess) bool {
	if p.real != other.real {
		return p.real
	}
	return p.machines < other.machines
}

// releaseMachine frees the place of a machine that has ended.
func (r *deployment) releaseMachine(machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.processByMachine[machine]; p != nil {
		p.machines--
		delete(r.processByMachine, machine)
	}
}

// reboot restarts a machine: what runs there is lost, and it is back at once.
func (r *deployment) reboot(machine string) {
	r.mu.Lock()
	p := r.processByMachine[machine]
	r.mu.Unlock()
	if p != nil {
		_ = p.request(http.MethodPost, "/machines/reboot", MachineRequest{Machine: machine}, nil)
	}
}

// uploadJobs gives the workers the specifications of jobs, as users do.
func (r *deployment) uploadJobs(jobs ...client.Job) error {
	specs := make([]records.Job, 0, len(jobs))
	for _, j := range jobs {
		raw, err := json.Marshal(j)
		if err != nil {
			return err
		}
		var spec records.Job
		if err := json.Unmarshal(raw, &spec); err != nil {
			return err
		}
		specs = append(specs, spec)
	}
	for _, p := range r.workerProcesses {
		if err := p.request(http.MethodPost, "/jobs", specs, nil); err != nil {
			return err
		}
	}
	return nil
}

// leadership is who leads, and in which term; a zero term: nobody does.
type leadership struct {
	controller string
	term       uint64
}

// readLeader reads from the store who leads.
func (r *deployment) readLeader() leadership {
	deadline := time.Now().Add(time.Second)
	status, raw, err := r.storeClient.Do(http.MethodGet, "/store/"+records.KeyLeader, "", nil, deadline)
	if err != nil || status != http.StatusOK {
		return leadership{}
	}
	var kv records.KeyValue
	var l records.Leader
	if json.Unmarshal(raw, &kv) != nil || json.Unmarshal(kv.Value, &l) != nil {
		return leadership{}
	}
	return leadership{l.Node, kv.Revision}
}

// finalStates asks each controller for the state of a job.
func (r *deployment) finalStates(ctx context.Context, id string) []FinalState {
	var all []FinalState
	for i, controller := range r.cluster.Info.Controllers {
		st, err := r.controllerClients[i].Get(ctx, id)
		if err != nil {
			st.Status = err.Error()
		}
		all = append(all, FinalState{controller.Name, st.Status})
	}
	return all
}

// history gathers what all workers ran.
func (r *deployment) history() ([]simulation.TaskRun, error) {
	var all []simulation.TaskRun
	for _, p := range r.workerProcesses {
		var ran []simulation.TaskRun
		if err := p.request(http.MethodGet, "/history", nil, &ran); err != nil {
			return nil, err
		}
		all = append(all, ran...)
	}
	return all, nil
}

// workerCounts adds up what the workers' processes count.
func (r *deployment) workerCounts() (sum WorkerCounts, err error) {
	for _, p := range r.workerProcesses {
		var n WorkerCounts
		if err := p.request(http.MethodGet, "/counts", nil, &n); err != nil {
			return sum, err
		}
		sum = sum.plus(n)
	}
	return sum, nil
}

// plus adds two counts.
func (w WorkerCounts) plus(n WorkerCounts) WorkerCounts {
	return WorkerCounts{
		Machines:           w.Machines + n.Machines,
		Running:            w.Running + n.Running,
		Starts:             w.Starts + n.Starts,
		LeaseExpiries:      w.LeaseExpiries + n.LeaseExpiries,
		Heartbeats:         w.Heartbeats.Plus(n.Heartbeats),
		RejectedHeartbeats: w.RejectedHeartbeats + n.RejectedHeartbeats,
		Commands:           w.Commands.Plus(n.Commands),
	}
}

// sampleProcesses reads what the region's processes take now.
func (r *deployment) sampleProcesses(m *meter) {
	leader := r.readLeader().controller
	for _, controller := range r.cluster.Info.Controllers {
		role := roleFollower
		if controller.Name == leader {
			role = roleLeader
		}
		m.sample(role, r.cluster.ControllerPID(controller.Name))
	}
	m.sample(roleStore, r.store.pid())
	for _, p := range r.workerProcesses {
		role := roleHollow
		if p.real {
			role = roleReal
		}
		m.sample(role, p.pid())
	}
}

// close ends all of the region's processes.
func (r *deployment) close() error {
	var err error
	if r.cluster != nil {
		err = r.cluster.Stop()
	}
	for _, p := range r.workerProcesses {
		p.stop()
	}
	if r.store != nil {
		r.store.stop()
	}
	return err
}
