package loadtest

import (
	"context"
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
	"drumpick/internal/jsoncodec"
	"drumpick/internal/localcluster"
	"drumpick/internal/records"
	"drumpick/internal/simulation"
)

// Programs are the paths of the executables and the configuration file that a load test uses.
type Programs struct {
	LoadTest    string // the load test's own executable
	Controller  string // the controller's executable
	OptionsFile string // the operator's settings for the controllers
}

// deployment is one independent deployment with its own store, simulated cloud, controllers and workers.
type deployment struct {
	size              Size
	index             int // of the run's deployments, from 0
	zones             []string
	store             *child
	workerProcesses   []*workerProcess
	cluster           *localcluster.Cluster // controllers and simulated cloud
	client            *client.Client
	controllerClients []*client.Client // one per controller, in the order of cluster.Info.Controllers
	storeClient       *httpclient.Client

	mu               sync.Mutex
	processByMachine map[string]*workerProcess // by machine name
}

// workerProcess is a child process that runs workers.
type workerProcess struct {
	*child
	real     bool // runs a single worker; otherwise many hollow workers
	capacity int  // maximum number of machines
	machines int  // current number of machines; guarded by deployment.mu
}

// zoneNames returns the names of the zones of the deployment with the given index.
func (s *Size) zoneNames(index int) []string {
	var zones []string
	for i := range s.share(s.Zones, index) {
		zones = append(zones, fmt.Sprintf("region-%d-zone-%d", index+1, i+1))
	}
	return zones
}

// startDeployment starts the processes of a deployment and waits until every controller accepts requests. If it
// fails, it stops the processes that it started.
func startDeployment(ctx context.Context, size Size, index int, programs Programs, dataDir string) (_ *deployment, err error) {
	d := &deployment{size: size, index: index, zones: size.zoneNames(index), processByMachine: map[string]*workerProcess{}}
	defer func() {
		if err != nil {
			err = errors.Join(err, d.close())
		}
	}()
	dir := filepath.Join(dataDir, fmt.Sprintf("region-%d", index+1))
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if d.store, err = startChild(programs.LoadTest, filepath.Join(dir, "state.log"), "serve", RoleStore, "--data", dir); err != nil {
		return nil, err
	}
	d.storeClient = httpclient.New(d.store.StoreAddr, 4, time.Second)
	workers, realWorkers := size.share(size.Workers, index), size.share(size.RealWorkers, index)
	if err = d.startWorkerProcesses(programs.LoadTest, dir, realWorkers, workers-realWorkers); err != nil {
		return nil, err
	}
	if err = d.startControllers(ctx, programs, dir, workers); err != nil {
		return nil, err
	}
	if err = d.configureWorkers(); err != nil {
		return nil, err
	}
	return d, nil
}

// startControllers starts the controllers and the simulated cloud, and creates a client for each controller.
func (d *deployment) startControllers(ctx context.Context, programs Programs, dir string, workers int) (err error) {
	d.cluster, err = localcluster.Start(ctx, localcluster.Options{
		DataDir:           dir,
		ControllerProgram: programs.Controller,
		ControllerArgs:    []string{"--options", programs.OptionsFile},
		Zones:             d.zones,
		Controllers:       d.size.Controllers,
		MachinesPerZone:   (workers + len(d.zones) - 1) / len(d.zones),
		LogLevel:          "info",
		Deployment:        d.size.deploymentConfig(d.index, d.zones),
		MachineTypes:      d.size.machineTypes(d.zones),
		StoreAddr:         d.store.StoreAddr,
		StartWorker:       d.startMachine,
	})
	if err != nil {
		return err
	}
	d.client = d.cluster.Client()
	for _, controller := range d.cluster.Info.Controllers {
		c, err := client.New(controller.UserAddr)
		if err != nil {
			return err
		}
		d.controllerClients = append(d.controllerClients, c)
	}
	return nil
}

// configureWorkers sends the controllers' addresses and the machine types to the worker processes.
func (d *deployment) configureWorkers() error {
	setup := Setup{MachineTypes: d.size.machineTypes(d.zones)}
	for _, controller := range d.cluster.Info.Controllers {
		setup.Controllers = append(setup.Controllers, ControllerAddr{controller.Name, controller.UserAddr})
	}
	for _, p := range d.workerProcesses {
		if err := p.request(http.MethodPost, "/setup", setup, nil); err != nil {
			return err
		}
	}
	return nil
}

// startWorkerProcesses starts one process per real worker, and one per workersPerProcess hollow workers.
func (d *deployment) startWorkerProcesses(program, dir string, realWorkers, hollowWorkers int) error {
	for i := range realWorkers {
		log := filepath.Join(dir, fmt.Sprintf("real-%d.log", i+1))
		c, err := startChild(program, log, "serve", RoleWorkers)
		if err != nil {
			return err
		}
		d.workerProcesses = append(d.workerProcesses, &workerProcess{child: c, real: true, capacity: 1})
	}
	for i := range (hollowWorkers + workersPerProcess - 1) / workersPerProcess {
		log := filepath.Join(dir, fmt.Sprintf("hollow-%d.log", i+1))
		c, err := startChild(program, log, "serve", RoleWorkers)
		if err != nil {
			return err
		}
		// One extra machine per zone, because each zone's number of machines is rounded up.
		d.workerProcesses = append(d.workerProcesses, &workerProcess{child: c, capacity: workersPerProcess + len(d.zones)})
	}
	return nil
}

var errNoCapacity = errors.New("no worker process has capacity for another machine")

// startMachine starts a rented machine in a worker process chosen by assignProcess. It returns the machine's
// address and a function that terminates the machine.
func (d *deployment) startMachine(m *simulation.Machine) (addr string, terminate func(), err error) {
	p := d.assignProcess(m.Name)
	if p == nil {
		return "", nil, errNoCapacity
	}
	req := MachineRequest{m.Name, autoscaler.RentalRequest{Type: m.Type(), Zone: m.Zone, Spot: m.Spot}}
	var machineAddr MachineAddr
	if err := p.request(http.MethodPost, "/machines", req, &machineAddr); err != nil {
		d.releaseMachine(m.Name)
		return "", nil, err
	}
	return machineAddr.Addr, func() {
		_ = p.request(http.MethodPost, "/machines/end", MachineRequest{Machine: m.Name}, nil) // an unreachable process has already ended
		d.releaseMachine(m.Name)
	}, nil
}

// assignProcess returns the worker process that runs a new machine, and adds the machine to its count. It returns
// nil if no process has capacity.
func (d *deployment) assignProcess(machine string) *workerProcess {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *workerProcess
	for _, p := range d.workerProcesses {
		if p.machines < p.capacity && (best == nil || p.preferredTo(best)) {
			best = p
		}
	}
	if best != nil {
		best.machines++
		d.processByMachine[machine] = best
	}
	return best
}

// preferredTo reports whether p is the better process for a new machine: real workers come first, then the process
// with fewer machines.
func (p *workerProcess) preferredTo(other *workerProcess) bool {
	if p.real != other.real {
		return p.real
	}
	return p.machines < other.machines
}

// releaseMachine removes a terminated machine from its process's count.
func (d *deployment) releaseMachine(machine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.processByMachine[machine]; p != nil {
		p.machines--
		delete(d.processByMachine, machine)
	}
}

// reboot restarts a machine: its running tasks are lost, and it is available again at once. It does nothing if no
// worker process runs the machine.
func (d *deployment) reboot(machine string) {
	d.mu.Lock()
	p := d.processByMachine[machine]
	d.mu.Unlock()
	if p != nil {
		_ = p.request(http.MethodPost, "/machines/reboot", MachineRequest{Machine: machine}, nil)
	}
}

// uploadJobs sends job specifications to every worker process, in place of the users' upload. Workers look up a task's
// job in these specifications.
func (d *deployment) uploadJobs(jobs ...client.Job) error {
	specs := make([]records.Job, 0, len(jobs))
	for _, j := range jobs {
		raw, err := jsoncodec.Marshal(j)
		if err != nil {
			return err
		}
		var spec records.Job
		if err := jsoncodec.Unmarshal(raw, &spec); err != nil {
			return err
		}
		specs = append(specs, spec)
	}
	for _, p := range d.workerProcesses {
		if err := p.request(http.MethodPost, "/jobs", specs, nil); err != nil {
			return err
		}
	}
	return nil
}

// leadership is the name of the leader and its term, which is the revision of its record in the store. A zero term
// means that no leader is known.
type leadership struct {
	controller string
	term       uint64
}

// readLeader reads the current leader from the store. It returns the zero value if there is none or the read fails.
func (d *deployment) readLeader() leadership {
	deadline := time.Now().Add(time.Second)
	status, raw, err := d.storeClient.Do(http.MethodGet, "/store/"+records.KeyLeader, "", nil, deadline)
	if err != nil || status != http.StatusOK {
		return leadership{}
	}
	var kv records.KeyValue
	var l records.Leader
	if jsoncodec.Unmarshal(raw, &kv) != nil || jsoncodec.Unmarshal(kv.Value, &l) != nil {
		return leadership{}
	}
	return leadership{l.Node, kv.Revision}
}

// finalStates queries the state of a job from each controller. If a query fails, the status is the text of the error.
func (d *deployment) finalStates(ctx context.Context, id string) []FinalState {
	var all []FinalState
	for i, controller := range d.cluster.Info.Controllers {
		st, err := d.controllerClients[i].Get(ctx, id)
		if err != nil {
			st.Status = err.Error()
		}
		all = append(all, FinalState{controller.Name, st.Status})
	}
	return all
}

// history returns the task runs of all workers.
func (d *deployment) history() ([]simulation.TaskRun, error) {
	var all []simulation.TaskRun
	for _, p := range d.workerProcesses {
		var runs []simulation.TaskRun
		if err := p.request(http.MethodGet, "/history", nil, &runs); err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// workerCounts returns the sum of the counts of all worker processes. It returns an error if any of them does not
// respond.
func (d *deployment) workerCounts() (sum WorkerCounts, err error) {
	for _, p := range d.workerProcesses {
		var n WorkerCounts
		if err := p.request(http.MethodGet, "/counts", nil, &n); err != nil {
			return sum, err
		}
		sum = sum.plus(n)
	}
	return sum, nil
}

// plus returns the sum of two counts.
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

// sampleProcesses samples the CPU and memory usage of the deployment's processes. While no leader is known, all
// controllers count as followers.
func (d *deployment) sampleProcesses(m *meter) {
	leader := d.readLeader().controller
	for _, controller := range d.cluster.Info.Controllers {
		role := roleFollower
		if controller.Name == leader {
			role = roleLeader
		}
		m.sample(role, d.cluster.ControllerPID(controller.Name))
	}
	m.sample(roleStore, d.store.pid())
	for _, p := range d.workerProcesses {
		role := roleHollow
		if p.real {
			role = roleReal
		}
		m.sample(role, p.pid())
	}
}

// close stops all processes of the deployment.
func (d *deployment) close() error {
	var err error
	if d.cluster != nil {
		err = d.cluster.Stop()
	}
	for _, p := range d.workerProcesses {
		p.stop()
	}
	if d.store != nil {
		d.store.stop()
	}
	return err
}
