package localcluster

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"
)

// Kill ends a controller, which starts again after a moment, or a machine, for good.
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

// ReplaceProgram gives a controller another program from its next start on, and ends the one that runs: the step of an
// upgrade.
func (c *Cluster) ReplaceProgram(name, program string, arguments []string) error {
	p := c.findProcess(name)
	i := slices.IndexFunc(c.Info.Controllers, func(controller Controller) bool { return controller.Name == name })
	if p == nil || i < 0 {
		return fmt.Errorf("%q is no controller", name)
	}
	p.mu.Lock()
	p.nextArgs = c.commandLine(c.Info.Controllers[i], program, arguments)
	p.mu.Unlock()
	p.kill()
	return nil
}

// UpgradeWorker gives a machine's worker another version, as an operator would. Whatever runs there is lost, so the
// machine should be drained.
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

// PartitionZone makes the machines of a zone unreachable for a time.
func (c *Cluster) PartitionZone(zone string, span time.Duration) error {
	if err := c.checkZone(zone); err != nil {
		return err
	}
	c.Environment.PartitionZone(zone, true)
	time.AfterFunc(span, func() { c.Environment.PartitionZone(zone, false) })
	return nil
}

// FailZone takes the power from a zone: its machines are gone, its controllers crash. It returns how many machines
// there were.
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
