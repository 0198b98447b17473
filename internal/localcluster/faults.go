package localcluster

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"
)

// Kill kills the controller or machine with the given name. A controller restarts after a delay, a machine does not.
func (c *Cluster) Kill(name string) error {
	if p := c.findProcess(name); p != nil {
		slog.Debug("killing controller", "node", name)
		p.kill()
		return nil
	}
	for _, m := range c.Environment.Machines() {
		if m.Name == name {
			m.Terminate()
			return nil
		}
	}
	return fmt.Errorf("%q is neither a controller nor a machine that is up", name)
}

// ReplaceProgram kills a controller, as in an upgrade. This and every later restart of the controller use the given
// program and arguments.
func (c *Cluster) ReplaceProgram(name, program string, arguments []string) error {
	p := c.findProcess(name)
	i := slices.IndexFunc(c.Info.Controllers, func(controller Controller) bool { return controller.Name == name })
	if p == nil || i < 0 {
		return fmt.Errorf("%q is not a controller", name)
	}
	p.mu.Lock()
	p.nextArgs = c.commandLine(c.Info.Controllers[i], program, arguments)
	p.mu.Unlock()
	p.kill()
	return nil
}

// UpgradeWorker changes the version of a machine's worker, as an operator would. Tasks on the machine are lost, so the
// machine should be drained first. It returns an error if the machine is not up.
func (c *Cluster) UpgradeWorker(machine, version string) error {
	if !c.Environment.Upgrade(machine, version) {
		return fmt.Errorf("there is no machine %q that is up", machine)
	}
	return nil
}

// checkZone returns an error if the cluster has no zone with the given name.
func (c *Cluster) checkZone(zone string) error {
	if !slices.Contains(c.options.Zones, zone) {
		return fmt.Errorf("there is no zone %q, only %s", zone, strings.Join(c.options.Zones, ", "))
	}
	return nil
}

// PartitionZone makes the machines of a zone unreachable for a duration. It returns without waiting for its end.
func (c *Cluster) PartitionZone(zone string, duration time.Duration) error {
	if err := c.checkZone(zone); err != nil {
		return err
	}
	c.Environment.PartitionZone(zone, true)
	time.AfterFunc(duration, func() { c.Environment.PartitionZone(zone, false) })
	return nil
}

// FailZone simulates a power failure in a zone: its machines that are up are lost, and its controllers crash and restart.
// It returns the number of machines lost.
func (c *Cluster) FailZone(zone string) (int, error) {
	if err := c.checkZone(zone); err != nil {
		return 0, err
	}
	for _, controller := range c.Info.Controllers {
		if controller.Zone == zone {
			c.findProcess(controller.Name).kill()
		}
	}
	return c.Environment.FailZone(zone), nil
}
