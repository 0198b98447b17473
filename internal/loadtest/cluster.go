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
	Self    string // this program
	Daemon  string // the controllers'
	Options string // the operators' settings of the controllers
}

// cell is one region: its own state service, cloud, controllers and workers.
type cell struct {
	size   Size
	index  int
	zones  []string
	state  *child
	hosts  []*host // processes of workers
	region *localcluster.Cluster
	users  *client.Client
	each   []*client.Client   // of one controller each
	store  *httpclient.Client // to the state service

	mu    sync.Mutex
	where map[string]*host // of machines
}

// host is a process of workers and how many machines it runs.
type host struct {
	*child
	real     bool
	most     int
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

// openCell starts a region's processes, and waits until every controller takes requests.
func openCell(ctx context.Context, size Size, index int, programs Programs, data string) (_ *cell, err error) {
	c := &cell{size: size, index: index, zones: size.zoneNames(index), where: map[string]*host{}}
	defer func() {
		if err != nil {
			err = errors.Join(err, c.close())
		}
	}()
	dir := filepath.Join(data, fmt.Sprintf("region-%d", index+1))
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if c.state, err = startChild(programs.Self, filepath.Join(dir, "state.log"), "serve", RoleState, "--data", dir); err != nil {
		return nil, err
	}
	c.store = httpclient.New(c.state.Service, 4, time.Second)
	workers, apart := size.share(size.Workers, index), size.share(size.RealWorkers, index)
	if err = c.startHosts(programs.Self, dir, apart, workers-apart); err != nil {
		return nil, err
	}
	perZone := (workers + len(c.zones) - 1) / len(c.zones)
	c.region, err = localcluster.Start(ctx, localcluster.Options{
		Data: dir, Controller: programs.Daemon, Arguments: []string{"--options", programs.Options}, Zones: c.zones, Controllers: size.Controllers,
		Machines: perZone, LogLevel: "info", Deployment: size.facts(index, c.zones), MachineTypes: size.types(c.zones), StoreAddr: c.state.Service, StartWorker: c.place,
	})
	if err != nil {
		return nil, err
	}
	c.users = c.region.Client()
	for _, n := range c.region.Info.Controllers {
		alone, err := client.New(n.UserAddr)
		if err != nil {
			return nil, err
		}
		c.each = append(c.each, alone)
	}
	setup := Setup{Types: size.types(c.zones)}
	for _, n := range c.region.Info.Controllers {
		setup.Nodes = append(setup.Nodes, Node{n.Name, n.UserAddr})
	}
	for _, h := range c.hosts {
		if err = h.ask("POST", "/setup", setup, nil); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// startHosts starts the processes of workers: one for each real one, and as many as the hollow ones need.
func (c *cell) startHosts(program, dir string, apart, hollow int) error {
	for i := range apart {
		h, err := startChild(program, filepath.Join(dir, fmt.Sprintf("real-%d.log", i+1)), "serve", RoleWorkers)
		if err != nil {
			return err
		}
		c.hosts = append(c.hosts, &host{child: h, real: true, most: 1})
	}
	for i := range (hollow + workersPerProcess - 1) / workersPerProcess {
		h, err := startChild(program, filepath.Join(dir, fmt.Sprintf("hollow-%d.log", i+1)), "serve", RoleWorkers)
		if err != nil {
			return err
		}
		// One more than their share: zones hold equal parts, rounded up.
		c.hosts = append(c.hosts, &host{child: h, most: workersPerProcess + len(c.zones)})
	}
	return nil
}

var errFull = errors.New("no process has room for another worker")

// place starts a rented machine in the process that has the fewest, the real ones first.
func (c *cell) place(m *simulation.Machine) (string, func(), error) {
	c.mu.Lock()
	var to *host
	for _, h := range c.hosts {
		if h.machines < h.most && (to == nil || h.real && !to.real || h.real == to.real && h.machines < to.machines) {
			to = h
		}
	}
	if to == nil {
		c.mu.Unlock()
		return "", nil, errFull
	}
	to.machines++
	c.where[m.Name] = to
	c.mu.Unlock()
	var at Placed
	err := to.ask("POST", "/machines", Placement{m.Name, autoscaler.RentalRequest{Type: m.Type(), Zone: m.Zone, Spot: m.Spot}}, &at)
	if err != nil {
		c.gone(m.Name)
		return "", nil, err
	}
	return at.Addr, func() {
		_ = to.ask("POST", "/machines/end", Placement{Host: m.Name}, nil) // what can't be reached has ended
		c.gone(m.Name)
	}, nil
}

func (c *cell) gone(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.where[machine]; h != nil {
		h.machines--
		delete(c.where, machine)
	}
}

// reboot restarts a machine: what runs there is lost, and it is back at once.
func (c *cell) reboot(machine string) {
	c.mu.Lock()
	h := c.where[machine]
	c.mu.Unlock()
	if h != nil {
		_ = h.ask("POST", "/machines/reboot", Placement{Host: machine}, nil)
	}
}

// upload gives the workers jobs' descriptions, as users do.
func (c *cell) upload(jobs ...client.Job) error {
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
	for _, h := range c.hosts {
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
func (c *cell) leader() leadership {
	status, raw, err := c.store.Do("GET", "/store/"+records.KeyLeader, "", nil, time.Now().Add(time.Second))
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

// finals asks each controller how a job stands.
func (c *cell) finals(ctx context.Context, id string) []Final {
	var all []Final
	for i, controller := range c.region.Info.Controllers {
		st, err := c.each[i].Get(ctx, id)
		if err != nil {
			st.Status = err.Error()
		}
		all = append(all, Final{controller.Name, st.Status})
	}
	return all
}

// history gathers what all workers ran.
func (c *cell) history() ([]simulation.TaskRun, error) {
	var all []simulation.TaskRun
	for _, h := range c.hosts {
		var ran []simulation.TaskRun
		if err := h.ask("GET", "/history", nil, &ran); err != nil {
			return nil, err
		}
		all = append(all, ran...)
	}
	return all, nil
}

// counts adds up what the workers' processes count.
func (c *cell) counts() (sum WorkerCounts, err error) {
	for _, h := range c.hosts {
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
		Machines: w.Machines + n.Machines, Running: w.Running + n.Running, Starts: w.Starts + n.Starts, Lapses: w.Lapses + n.Lapses,
		Reports: w.Reports.Plus(n.Reports), Refused: w.Refused + n.Refused, Orders: w.Orders.Plus(n.Orders),
	}
}

// sample reads what the region's processes take now.
func (c *cell) sample(m *meter) {
	leader := c.leader().node
	for _, n := range c.region.Info.Controllers {
		role := roleFollower
		if n.Name == leader {
			role = roleLeader
		}
		m.sample(role, c.region.PID(n.Name))
	}
	m.sample(roleState, c.state.pid())
	for _, h := range c.hosts {
		role := roleHollow
		if h.real {
			role = roleReal
		}
		m.sample(role, h.pid())
	}
}

// close ends all of the region's processes.
func (c *cell) close() error {
	var err error
	if c.region != nil {
		err = c.region.Stop()
	}
	for _, h := range c.hosts {
		h.stop()
	}
	if c.state != nil {
		c.state.stop()
	}
	return err
}
