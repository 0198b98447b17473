package simulation

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/ctxtime"
	"drumpick/internal/records"
)

// CloudClient is a controller's client of the simulated cloud.
type CloudClient struct {
	Environment *Environment
	// Alive reports whether the controller still runs.
	Alive func() bool
	// LoseResponses is the number of next rentals that start machines but get no response.
	LoseResponses int
}

// cloudLatency is the duration of a call to the cloud.
const cloudLatency = 20 * networkLatency

// beginCall waits for the latency of a call. It returns an error if ctx ends or the controller no longer runs.
func (c *CloudClient) beginCall(ctx context.Context) error {
	if err := ctxtime.Sleep(ctx, cloudLatency); err != nil {
		return err
	}
	if !c.Alive() {
		return autoscaler.ErrUnknownOutcome
	}
	return nil
}

// Types returns the machine types that can be rented.
func (c *CloudClient) Types(ctx context.Context) ([]records.MachineType, error) {
	return append([]records.MachineType(nil), c.Environment.Types...), c.beginCall(ctx)
}

// Rent rents up to r.Count machines and returns their names. It returns autoscaler.ErrNoCapacity if the zone has no
// capacity, and autoscaler.ErrUnknownOutcome if the response is lost or the controller no longer runs.
func (c *CloudClient) Rent(ctx context.Context, r autoscaler.RentalRequest) ([]string, error) {
	if err := c.beginCall(ctx); err != nil {
		return nil, err
	}
	machines, err := c.Environment.rent(r)
	if err == nil && c.LoseResponses > 0 {
		c.LoseResponses--
		return nil, autoscaler.ErrUnknownOutcome
	}
	return machines, err
}

// Return terminates machines and removes them from the cloud's list. It ignores unknown names.
func (c *CloudClient) Return(ctx context.Context, machines []string) error {
	if err := c.beginCall(ctx); err != nil {
		return err
	}
	c.Environment.returnMachines(machines)
	return nil
}

// List returns the machines that the cloud lists, sorted by name.
func (c *CloudClient) List(ctx context.Context) ([]autoscaler.CloudMachine, error) {
	if err := c.beginCall(ctx); err != nil {
		return nil, err
	}
	return c.Environment.CloudMachines(), nil
}

// rent starts as many of the requested machines as the zone has capacity for, and returns their names. It returns
// autoscaler.ErrNoCapacity if the zone has none. Requests are idempotent by name: a request with a known name gets the
// response of the first request.
func (env *Environment) rent(r autoscaler.RentalRequest) ([]string, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if machines, known := env.rentals[r.Name]; known {
		return machines, nil
	}
	free := env.ZoneCapacity
	for _, m := range env.machines {
		if !m.terminated && m.Zone == r.Zone && m.Spot == r.Spot {
			free--
		}
	}
	if free <= 0 {
		return nil, autoscaler.ErrNoCapacity
	}
	var machines []string
	for range min(r.Count, free) {
		env.machineCount++
		machines = append(machines, env.addLocked(fmt.Sprintf("m-%06d", env.machineCount), r).Name)
	}
	env.rentals[r.Name] = machines
	return machines, nil
}

// AddMachine starts a machine that another environment rented (RemoteMachines).
func (env *Environment) AddMachine(name string, r autoscaler.RentalRequest) *Machine {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.addLocked(name, r)
}

// addLocked adds a machine and boots it.
func (env *Environment) addLocked(name string, r autoscaler.RentalRequest) *Machine {
	m := newMachine(env, name, r)
	env.machines[name] = m
	go m.run()
	return m
}

// returnMachines terminates machines and removes them from the cloud's list. When it returns, their tasks have ended
// and their addresses are closed.
func (env *Environment) returnMachines(machines []string) {
	var closeAddrs []func()
	env.mu.Lock()
	for _, name := range machines {
		if m := env.machines[name]; m != nil {
			closeAddrs = append(closeAddrs, m.removeLocked())
			delete(env.machines, name)
		}
	}
	env.mu.Unlock()
	var closing sync.WaitGroup
	for _, closeAddr := range closeAddrs {
		closing.Go(closeAddr)
	}
	closing.Wait()
}

// Statuses of machines as the cloud lists them.
const (
	cloudBooting = "booting"
	cloudRunning = "running"
	cloudFailed  = "failed" // terminated and not yet returned by a controller
)

// CloudMachines returns the machines that the cloud lists, including terminated ones until a controller returns them.
// They are sorted by name.
func (env *Environment) CloudMachines() []autoscaler.CloudMachine {
	env.mu.Lock()
	defer env.mu.Unlock()
	var list []autoscaler.CloudMachine
	for _, m := range env.machines {
		status := cloudRunning
		if !m.up {
			status = cloudBooting
		}
		if m.terminated {
			status = cloudFailed
		}
		list = append(list, autoscaler.CloudMachine{
			Machine: m.Name, Addr: m.addr, Type: m.typ.Name, Zone: m.Zone, Spot: m.Spot,
			Status: status, AgeS: time.Since(m.rented).Seconds(),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Machine < list[j].Machine })
	return list
}
