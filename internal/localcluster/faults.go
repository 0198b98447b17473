package localcluster

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"
)

// Kill kills a controller, which restarts after a delay, or a machine, permanently.
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

// ReplaceProgram kills a controller and restarts it with another program, as in an upgrade. The controller uses the new
// program from then on.
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

// UpgradeWorker changes the version of a machine's worker, as an operator would. Tasks on the machine are lost, so it
// should be drained first.
func (c *Cluster) UpgradeWorker(machine, version string) error {
	if !c.Environment.Upgrade(machine, version) {
		return fmt.Errorf("there is no machine %q that is up", machine)
	}
	return nil
}

func (c *Cluster) checkZone(zone string) error {
	if !slices.Contains(c.options.Zones, zone) {
		return fmt.Errorf("there is no zone %q, only %s", zone, strings.Join(c.options.Zones, ", "))
	}
	return nil
}

// PartitionZone makes the machines of a zone unreachable for a duration.
func (c *Cluster) PartitionZone(zone string, duration time.Duration) error {
	if err := c.checkZone(zone); err != nil {
		return err
	}
	c.Environment.PartitionZone(zone, true)
	time.AfterFunc(duration, func() { c.Environment.PartitionZone(zone, false) })
	return nil
}

// FailZone simulates a power failure in a zone: its machines are lost, and its controllers crash and restart. It returns
// the number of machines lost.
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
