package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"drumpick/client"
	"drumpick/internal/drain"

	"github.com/spf13/cobra"
)

// drainFlags are the flags that describe a drain.
type drainFlags struct {
	spec                     client.Drain
	cordon                   bool
	olderThan, deadlineIn    time.Duration
	deadlineAt               string
	windowRule, windowZone   string
	windowStart              string
	windowLength, windowLead time.Duration
	upgradeTo                string
}

func (x *drainFlags) register(cmd *cobra.Command) {
	fl := cmd.Flags()
	fl.StringVar(&x.spec.ID, "id", "", "`id` of the drain, d- and digits (else a new one); repeated under it nothing happens twice")
	fl.StringVar(&x.spec.Type, "type", "", "machines of a `type`")
	fl.StringVar(&x.spec.Zone, "zone", "", "machines of a `zone`")
	fl.DurationVar(&x.olderThan, "older-than", 0, "machines rented at least so long ago")
	fl.StringVar(&x.spec.Version, "worker-version", "", "machines whose worker has a `version`")
	fl.BoolVar(&x.cordon, "cordon", false, "mark only: no new tasks, what runs goes on")
	fl.StringVar(&x.deadlineAt, "by", "", "`time` by which they must be empty, as 2006-01-02T15:04 here, or RFC 3339")
	fl.DurationVar(&x.deadlineIn, "in", 0, "the same, from now on")
	fl.StringVar(&x.spec.WhenEmpty, "then", client.WhenEmptyKeep, "`keep` empty machines, or return them to the cloud")
	fl.StringVar(&x.upgradeTo, "upgrade-to", "", "roll machines over to a worker's `version`")
	fl.IntVar(&x.spec.MaxOutOfService, "at-once", 0, "of an upgrade: how many machines are out of service at a time (1)")
	fl.IntVar(&x.spec.MinInService, "keep-up", 0, "of an upgrade: how many stay in service in each zone, and for each class")
	fl.StringVar(&x.windowRule, "window", "", "hold only in windows, by an RFC 5545 `RRULE` such as FREQ=WEEKLY;BYDAY=SU;BYHOUR=2;BYMINUTE=0;BYSECOND=0")
	fl.StringVar(&x.windowZone, "window-zone", "", "time `zone` of the windows, such as Europe/Warsaw (else TZ)")
	fl.StringVar(&x.windowStart, "window-starts", "", "first window, as 2006-01-02T15:04 in that zone; the rule counts from it")
	fl.DurationVar(&x.windowLength, "window-for", 2*time.Hour, "how long each window is")
	fl.DurationVar(&x.windowLead, "window-lead", 0, "empty machines so long ahead that they are empty when a window starts")
}

// buildDrain returns the drain that the flags and the names of machines describe.
func (x *drainFlags) buildDrain(names []string, now time.Time) (client.Drain, error) {
	d := x.spec
	d.Machines, d.Kind, d.OlderThanS = names, client.DrainEmpty, x.olderThan.Seconds()
	if d.ID == "" {
		d.ID = client.NewDrainID()
	}
	switch {
	case x.cordon && x.upgradeTo != "":
		return d, usageError("--cordon and --upgrade-to exclude each other")
	case x.cordon:
		d.Kind = client.DrainCordon
	case x.upgradeTo != "":
		d.Kind, d.TargetVersion = client.DrainUpgrade, x.upgradeTo
		if d.MaxOutOfService == 0 {
			d.MaxOutOfService = 1
		}
	}
	var err error
	if d.DeadlineMS, err = x.deadline(now); err != nil {
		return d, err
	}
	d.Window, err = x.buildWindow()
	return d, err
}

// localTimeLayout is the form of times without a time zone.
const localTimeLayout = "2006-01-02T15:04"

// deadline returns the time by which the machines must be empty, in milliseconds; 0: there is none.
func (x *drainFlags) deadline(now time.Time) (int64, error) {
	switch {
	case x.deadlineAt != "" && x.deadlineIn != 0:
		return 0, usageError("--by and --in exclude each other")
	case x.deadlineIn != 0:
		return now.Add(x.deadlineIn).UnixMilli(), nil
	case x.deadlineAt == "":
		return 0, nil
	}
	at, err := time.ParseInLocation(localTimeLayout, x.deadlineAt, now.Location())
	if err != nil {
		at, err = time.Parse(time.RFC3339, x.deadlineAt)
	}
	if err != nil {
		return 0, usageError("--by: %q is no time such as 2026-01-31T22:00", x.deadlineAt)
	}
	return at.UnixMilli(), nil
}

// buildWindow returns the windows in which the drain holds; nil: it always does.
func (x *drainFlags) buildWindow() (*client.Window, error) {
	if x.windowRule == "" {
		return nil, nil
	}
	zone := x.windowZone
	if zone == "" {
		zone = os.Getenv("TZ")
	}
	if zone == "" {
		return nil, usageError("--window-zone is missing: the time zone that the rule is meant in")
	}
	return &client.Window{
		Rule: x.windowRule, TimeZone: zone, DurationS: x.windowLength.Seconds(), LeadS: x.windowLead.Seconds(), FirstStart: x.windowStart,
	}, nil
}

func drainCommand(f *globalFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "drain", Short: "Empty machines, for good, for a while, or to upgrade them"}
	cmd.AddCommand(planDrainCommand(f), startDrainCommand(f), listDrainsCommand(f),
		singleDrainCommand(f, "show DRAIN", "Show a drain: what was planned, and what happened", (*client.Client).Drain),
		singleDrainCommand(f, "stop DRAIN", "Withdraw a drain: its machines take tasks again", (*client.Client).StopDrain))
	return cmd
}

func planDrainCommand(f *globalFlags) *cobra.Command {
	var x drainFlags
	cmd := &cobra.Command{
		Use: "plan [MACHINE...]", Short: "Tell what a drain would do to each task and class; changes nothing",
		RunE: func(cmd *cobra.Command, names []string) error {
			d, err := x.buildDrain(names, time.Now())
			if err != nil {
				return err
			}
			c, err := f.newClient()
			if err != nil {
				return err
			}
			d.Force = true // a plan may be of a drain that would not be started
			p, err := c.PlanDrain(cmd.Context(), d)
			if err != nil {
				return err
			}
			return f.printOutput(cmd.OutOrStdout(), p, func(w io.Writer) { showPlan(w, p) })
		},
	}
	x.register(cmd)
	return cmd
}

func startDrainCommand(f *globalFlags) *cobra.Command {
	var x drainFlags
	var wait, force bool
	cmd := &cobra.Command{
		Use: "start [MACHINE...]", Short: "Start a drain, of machines by name, type, zone, age or version",
		RunE: func(cmd *cobra.Command, names []string) error {
			d, err := x.buildDrain(names, time.Now())
			if err != nil {
				return err
			}
			c, err := f.newClient()
			if err != nil {
				return err
			}
			d.Force = force
			fmt.Fprintln(cmd.ErrOrStderr(), "drain", d.ID)
			v, err := c.StartDrain(cmd.Context(), d)
			if err == nil && wait {
				v, err = waitDrain(cmd, c, v)
			}
			if err != nil {
				return err
			}
			return f.printOutput(cmd.OutOrStdout(), v, func(w io.Writer) { showDrain(w, v) })
		},
	}
	x.register(cmd)
	cmd.Flags().BoolVarP(&wait, "wait", "w", false, "wait until all machines are empty, or have their version")
	cmd.Flags().BoolVar(&force, "force", false, "start it though it leaves no machine for some jobs")
	return cmd
}

func listDrainsCommand(f *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List drains", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.newClient()
			if err != nil {
				return err
			}
			all, err := c.Drains(cmd.Context())
			if err != nil {
				return err
			}
			return f.printOutput(cmd.OutOrStdout(), all, func(w io.Writer) { showDrains(w, all) })
		},
	}
}

// showDrains prints a list of drains.
func showDrains(w io.Writer, all []client.DrainView) {
	fmt.Fprintln(w, "DRAIN\tKIND\tMEANS\tPHASE\tLEFT\tBEGAN")
	for _, v := range all {
		phase, left := phaseOf(v)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", v.Drain.ID, v.Drain.Kind, selectorText(v.Drain), phase, left, formatTime(v.Drain.RequestedMS))
	}
}

// waitDrain polls a drain until nothing is left to do, and prints its progress.
func waitDrain(cmd *cobra.Command, c *client.Client, v client.DrainView) (client.DrainView, error) {
	shown := ""
	for {
		now, err := c.Drain(cmd.Context(), v.Drain.ID)
		if err != nil {
			return v, err
		}
		v = now
		if phase, left := phaseOf(v); phase+left != shown {
			shown = phase + left
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s machines left\n", phase, left)
		}
		if v.State != nil {
			switch v.State.Phase {
			case drain.PhaseDrained, drain.PhaseDone, drain.PhaseStopped:
				return v, nil
			case drain.PhaseRolledBack:
				return v, &exitError{exitFailed, fmt.Errorf("drain %s was rolled back: %s", v.Drain.ID, v.State.Rollout.Reason)}
			}
		}
		select {
		case <-cmd.Context().Done():
			return v, cmd.Context().Err()
		case <-time.After(c.PollInterval):
		}
	}
}

// phaseOf returns a drain's phase, and how many machines are left.
func phaseOf(v client.DrainView) (phase, left string) {
	switch {
	case v.State == nil && v.Drain.Stopped:
		return "stopped", "-"
	case v.State == nil || v.State.Phase == "":
		return "accepted", "-"
	}
	return v.State.Phase, fmt.Sprint(v.State.MachinesLeft)
}

// formatTime returns a time as text, "-" if there is none.
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).Format("2006-01-02 15:04:05")
}

// selectorText describes in a few words which machines a drain selects.
func selectorText(d drain.Spec) string {
	var words []string
	if len(d.Machines) > 0 {
		words = append(words, abbreviateList(d.Machines))
	}
	for _, x := range [][2]string{{"type ", d.Type}, {"zone ", d.Zone}, {"version ", d.Version}, {"to version ", d.TargetVersion}} {
		if x[1] != "" {
			words = append(words, x[0]+x[1])
		}
	}
	if d.OlderThanS > 0 {
		words = append(words, "older than "+time.Duration(d.OlderThanS*float64(time.Second)).String())
	}
	return strings.Join(words, ", ")
}

// showDrain prints a drain.
func showDrain(w io.Writer, v client.DrainView) {
	d := v.Drain
	phase, left := phaseOf(v)
	row := func(name, text string) {
		if text != "" {
			fmt.Fprintf(w, "%s\t%s\n", name, text)
		}
	}
	row("drain", d.ID)
	row("kind", d.Kind)
	row("means", selectorText(d))
	if d.DeadlineMS != 0 {
		row("empty by", formatTime(d.DeadlineMS))
	}
	if d.Window != nil {
		span := time.Duration(d.Window.DurationS * float64(time.Second))
		row("window", fmt.Sprintf("%s in %s, for %v", d.Window.Rule, d.Window.TimeZone, span))
	}
	row("then", d.WhenEmpty)
	if d.Kind == client.DrainUpgrade {
		row("at once", fmt.Sprintf("%d, %d stay in service in each zone and for each class", d.MaxOutOfService, d.MinInService))
	}
	row("began", formatTime(d.RequestedMS))
	row("phase", phase)
	row("machines left", left)
	s := v.State
	if s == nil {
		return
	}
	row("in hand", abbreviateList(s.OutOfService))
	row("waits", s.Blocked)
	if s.Rollout != nil && s.Rollout.RolledBack {
		row("rolled back", s.Rollout.Reason+", to version "+s.Rollout.Target)
	}
	fmt.Fprintln(w, "\n\tMACHINES\tFINISH\tMOVE\tBEGIN ANEW\tWAIT\tBLOCKED\tVANISHED\tWORK LOST\tEMPTY AFTER")
	for _, x := range []struct {
		name string
		s    client.DrainSummary
	}{{"planned", s.Plan}, {"seen", s.Actual}} {
		fmt.Fprintf(w, "%s\t%s\n", x.name, summaryColumns(x.s))
	}
}

// summaryColumns returns the columns of a summary.
func summaryColumns(s client.DrainSummary) string {
	empty := "-"
	if s.EmptyS > 0 {
		empty = fmt.Sprintf("%.0fs", s.EmptyS)
	}
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0fs\t%s",
		s.Machines, s.Finish, s.Move, s.Restart, s.Wait, s.Blocked, s.MachineLost, s.LostS, empty)
}

// showPlan prints what a drain would do.
func showPlan(w io.Writer, p client.DrainPlan) {
	fmt.Fprintln(w, "MACHINE\tZONE\tTASK\tCLASS\tWHAT\tUNTIL\tLOST\tLATE\tWHY")
	for _, m := range p.Machines {
		if len(m.Tasks) == 0 {
			fmt.Fprintf(w, "%s\t%s\t-\t\tis empty\n", m.Machine, m.Zone)
		}
		for _, t := range m.Tasks {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0fs\t%.0fs\t%.0fs\t%s\n",
				m.Machine, m.Zone, t.Task, t.Class, t.Action, t.LeavesAfterS, t.LostS, t.LateS, t.Reason)
		}
	}
	for _, m := range p.Machines {
		if m.OmittedTasks > 0 {
			fmt.Fprintf(w, "%s\t%s\tand %d more tasks\n", m.Machine, m.Zone, m.OmittedTasks)
		}
	}
	fmt.Fprintln(w, "\nCLASS\tMACHINES\tFINISH\tMOVE\tBEGIN ANEW\tWAIT\tBLOCKED\tVANISHED\tWORK LOST\tEMPTY AFTER\tJOBS LATE BY IT\tLATE ANYWAY")
	for _, class := range slices.Sorted(maps.Keys(p.Classes)) {
		x := p.Classes[class]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", class, summaryColumns(x.Summary), x.Late, x.LateAnyway)
	}
	fmt.Fprintf(w, "all\t%s\n", summaryColumns(p.Total))
	if len(p.WindowStarts) > 0 {
		fmt.Fprintf(w, "\nnext windows\t%s\n", strings.Join(p.WindowStarts, ", "))
	}
	for _, text := range p.Warnings {
		fmt.Fprintf(w, "note\t%s\n", text)
	}
}

// singleDrainCommand returns a command that sends a request about one drain and prints the drain.
func singleDrainCommand(
	f *globalFlags, use, text string, send func(*client.Client, context.Context, string) (client.DrainView, error),
) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: text, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.newClient()
			if err != nil {
				return err
			}
			v, err := send(c, cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return f.printOutput(cmd.OutOrStdout(), v, func(w io.Writer) { showDrain(w, v) })
		},
	}
}
