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

// drainFlags holds the flags that describe a drain.
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

func (f *drainFlags) register(cmd *cobra.Command) {
	flagSet := cmd.Flags()
	flagSet.StringVar(&f.spec.ID, "id", "", "`id` of the drain: d- and digits (default: a new id); starting a drain again under its id has no effect")
	flagSet.StringVar(&f.spec.Type, "type", "", "select machines of a `type`")
	flagSet.StringVar(&f.spec.Zone, "zone", "", "select machines in a `zone`")
	flagSet.DurationVar(&f.olderThan, "older-than", 0, "select machines rented at least this long ago")
	flagSet.StringVar(&f.spec.Version, "worker-version", "", "select machines whose worker has a `version`")
	flagSet.BoolVar(&f.cordon, "cordon", false, "cordon only: no new tasks; running tasks continue")
	flagSet.StringVar(&f.deadlineAt, "by", "", "`time` by which the machines must be empty, as 2006-01-02T15:04 in local time, or RFC 3339")
	flagSet.DurationVar(&f.deadlineIn, "in", 0, "time from now by which the machines must be empty")
	flagSet.StringVar(&f.spec.WhenEmpty, "then", client.WhenEmptyKeep, "action on empty machines: `keep`, or return (to the cloud)")
	flagSet.StringVar(&f.upgradeTo, "upgrade-to", "", "upgrade the machines' workers to a `version`")
	flagSet.IntVar(&f.spec.MaxOutOfService, "at-once", 0, "of an upgrade: maximum number of machines out of service at a time (default 1)")
	flagSet.IntVar(&f.spec.MinInService, "keep-up", 0, "of an upgrade: minimum number of machines in service in each zone and for each class")
	flagSet.StringVar(&f.windowRule, "window", "", "drain only in windows given by an RFC 5545 `RRULE`, such as FREQ=WEEKLY;BYDAY=SU;BYHOUR=2;BYMINUTE=0;BYSECOND=0")
	flagSet.StringVar(&f.windowZone, "window-zone", "", "time `zone` of the windows, such as Europe/Warsaw (default: TZ)")
	flagSet.StringVar(&f.windowStart, "window-starts", "", "start of the first window, as 2006-01-02T15:04 in that zone; the rule recurs from it")
	flagSet.DurationVar(&f.windowLength, "window-for", 2*time.Hour, "duration of each window")
	flagSet.DurationVar(&f.windowLead, "window-lead", 0, "start emptying machines this long before each window, so that they are empty when it starts")
}

// buildDrain returns the drain that the flags and the machine names describe.
func (f *drainFlags) buildDrain(names []string, now time.Time) (client.Drain, error) {
	d := f.spec
	d.Machines, d.Kind, d.OlderThanS = names, client.DrainEmpty, f.olderThan.Seconds()
	if d.ID == "" {
		d.ID = client.NewDrainID()
	}
	switch {
	case f.cordon && f.upgradeTo != "":
		return d, usageError("--cordon and --upgrade-to exclude each other")
	case f.cordon:
		d.Kind = client.DrainCordon
	case f.upgradeTo != "":
		d.Kind, d.TargetVersion = client.DrainUpgrade, f.upgradeTo
		if d.MaxOutOfService == 0 {
			d.MaxOutOfService = 1
		}
	}
	var err error
	if d.DeadlineMS, err = f.deadline(now); err != nil {
		return d, err
	}
	d.Window, err = f.buildWindow()
	return d, err
}

// localTimeLayout is the layout of times without a time zone.
const localTimeLayout = "2006-01-02T15:04"

// deadline returns the time by which the machines must be empty, in Unix milliseconds; 0: none.
func (f *drainFlags) deadline(now time.Time) (int64, error) {
	switch {
	case f.deadlineAt != "" && f.deadlineIn != 0:
		return 0, usageError("--by and --in exclude each other")
	case f.deadlineIn != 0:
		return now.Add(f.deadlineIn).UnixMilli(), nil
	case f.deadlineAt == "":
		return 0, nil
	}
	at, err := time.ParseInLocation(localTimeLayout, f.deadlineAt, now.Location())
	if err != nil {
		at, err = time.Parse(time.RFC3339, f.deadlineAt)
	}
	if err != nil {
		return 0, usageError("--by: %q is not a time such as 2026-01-31T22:00", f.deadlineAt)
	}
	return at.UnixMilli(), nil
}

// buildWindow returns the recurring window in which the drain is active; nil: always active.
func (f *drainFlags) buildWindow() (*client.Window, error) {
	if f.windowRule == "" {
		return nil, nil
	}
	zone := f.windowZone
	if zone == "" {
		zone = os.Getenv("TZ")
	}
	if zone == "" {
		return nil, usageError("neither --window-zone nor TZ is set: --window needs a time zone")
	}
	return &client.Window{
		Rule: f.windowRule, TimeZone: zone, DurationS: f.windowLength.Seconds(), LeadS: f.windowLead.Seconds(), FirstStart: f.windowStart,
	}, nil
}

func drainCommand(f *globalFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "drain", Short: "Drain machines: plan, start, list, show and stop drains"}
	cmd.AddCommand(planDrainCommand(f), startDrainCommand(f), listDrainsCommand(f),
		singleDrainCommand(f, "show DRAIN", "Show a drain, with its planned and actual effect", (*client.Client).Drain),
		singleDrainCommand(f, "stop DRAIN", "Stop a drain: its machines accept tasks again", (*client.Client).StopDrain))
	return cmd
}

func planDrainCommand(f *globalFlags) *cobra.Command {
	var flags drainFlags
	cmd := &cobra.Command{
		Use: "plan [MACHINE...]", Short: "Show what a drain would do to each task and class, without starting it",
		RunE: func(cmd *cobra.Command, names []string) error {
			d, err := flags.buildDrain(names, time.Now())
			if err != nil {
				return err
			}
			c, err := f.newClient()
			if err != nil {
				return err
			}
			d.Force = true // also plan a drain that would be rejected without --force
			plan, err := c.PlanDrain(cmd.Context(), d)
			if err != nil {
				return err
			}
			return f.printOutput(cmd.OutOrStdout(), plan, func(w io.Writer) { showPlan(w, plan) })
		},
	}
	flags.register(cmd)
	return cmd
}

func startDrainCommand(f *globalFlags) *cobra.Command {
	var flags drainFlags
	var wait, force bool
	cmd := &cobra.Command{
		Use: "start [MACHINE...]", Short: "Start a drain of machines selected by name, type, zone, age or version",
		RunE: func(cmd *cobra.Command, names []string) error {
			d, err := flags.buildDrain(names, time.Now())
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
	flags.register(cmd)
	cmd.Flags().BoolVarP(&wait, "wait", "w", false, "wait until all machines are empty or upgraded")
	cmd.Flags().BoolVar(&force, "force", false, "start the drain even if it leaves no machine for some jobs")
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
			drains, err := c.Drains(cmd.Context())
			if err != nil {
				return err
			}
			return f.printOutput(cmd.OutOrStdout(), drains, func(w io.Writer) { showDrains(w, drains) })
		},
	}
}

// showDrains prints a list of drains.
func showDrains(w io.Writer, drains []client.DrainView) {
	fmt.Fprintln(w, "DRAIN\tKIND\tMEANS\tPHASE\tLEFT\tBEGAN")
	for _, v := range drains {
		phase, left := phaseOf(v)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", v.Drain.ID, v.Drain.Kind, selectorText(v.Drain), phase, left, formatTime(v.Drain.RequestedMS))
	}
}

// waitDrain polls a drain until isDrainOver, and prints its progress. It returns an error if the drain was rolled back.
func waitDrain(cmd *cobra.Command, c *client.Client, v client.DrainView) (client.DrainView, error) {
	lastShown := ""
	for {
		current, err := c.Drain(cmd.Context(), v.Drain.ID)
		if err != nil {
			return v, err
		}
		v = current
		if phase, left := phaseOf(v); phase+left != lastShown {
			lastShown = phase + left
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s machines left\n", phase, left)
		}
		if over, err := isDrainOver(v); over {
			return v, err
		}
		select {
		case <-cmd.Context().Done():
			return v, cmd.Context().Err()
		case <-time.After(c.PollInterval):
		}
	}
}

// isDrainOver reports whether a drain has reached what waitDrain waits for, and returns an error if it failed. A cordon
// stays in its phase while it is in force, so it is over once its machines are empty.
func isDrainOver(v client.DrainView) (over bool, err error) {
	if v.State == nil {
		return false, nil
	}
	switch v.State.Phase {
	case drain.PhaseDrained, drain.PhaseDone, drain.PhaseStopped:
		return true, nil
	case drain.PhaseRolledBack:
		return true, &exitError{exitFailed, fmt.Errorf("drain %s was rolled back: %s", v.Drain.ID, v.State.Rollout.Reason)}
	case drain.PhaseDraining:
		return v.Drain.Kind == drain.KindCordon && v.State.MachinesLeft == 0, nil
	}
	return false, nil
}

// phaseOf returns a drain's phase and the number of machines left, "-" if unknown.
func phaseOf(v client.DrainView) (phase, left string) {
	switch {
	case v.State == nil && v.Drain.Stopped:
		return "stopped", "-"
	case v.State == nil || v.State.Phase == "":
		return "accepted", "-"
	}
	return v.State.Phase, fmt.Sprint(v.State.MachinesLeft)
}

// formatTime formats a time given in Unix milliseconds; 0 gives "-".
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).Format("2006-01-02 15:04:05")
}

// selectorText describes which machines a drain selects.
func selectorText(d drain.Spec) string {
	var words []string
	if len(d.Machines) > 0 {
		words = append(words, abbreviateList(d.Machines))
	}
	for _, selector := range [][2]string{{"type ", d.Type}, {"zone ", d.Zone}, {"version ", d.Version}, {"to version ", d.TargetVersion}} {
		if selector[1] != "" {
			words = append(words, selector[0]+selector[1])
		}
	}
	if d.OlderThanS > 0 {
		words = append(words, "older than "+time.Duration(d.OlderThanS*float64(time.Second)).String())
	}
	return strings.Join(words, ", ")
}

// showDrain prints one drain and its progress.
func showDrain(w io.Writer, v client.DrainView) {
	spec := v.Drain
	phase, left := phaseOf(v)
	row := func(name, text string) {
		if text != "" {
			fmt.Fprintf(w, "%s\t%s\n", name, text)
		}
	}
	row("drain", spec.ID)
	row("kind", spec.Kind)
	row("means", selectorText(spec))
	if spec.DeadlineMS != 0 {
		row("empty by", formatTime(spec.DeadlineMS))
	}
	if spec.Window != nil {
		span := time.Duration(spec.Window.DurationS * float64(time.Second))
		row("window", fmt.Sprintf("%s in %s, for %v", spec.Window.Rule, spec.Window.TimeZone, span))
	}
	row("then", spec.WhenEmpty)
	if spec.Kind == client.DrainUpgrade {
		row("at once", fmt.Sprintf("%d, %d stay in service in each zone and for each class", spec.MaxOutOfService, spec.MinInService))
	}
	row("began", formatTime(spec.RequestedMS))
	row("phase", phase)
	row("machines left", left)
	s := v.State
	if s == nil {
		return
	}
	row("in hand", abbreviateList(s.OutOfService))
	if v.OmittedOutOfService > 0 {
		row("not listed", fmt.Sprintf("%d more in hand", v.OmittedOutOfService))
	}
	row("waits", s.Blocked)
	if s.Rollout != nil && s.Rollout.RolledBack {
		row("rolled back", s.Rollout.Reason+", to version "+s.Rollout.Target)
	}
	fmt.Fprintln(w, "\n\tMACHINES\tFINISH\tMOVE\tBEGIN ANEW\tWAIT\tBLOCKED\tVANISHED\tWORK LOST\tEMPTY AFTER")
	for _, effect := range []struct {
		name string
		s    client.DrainSummary
	}{{"planned", s.Plan}, {"seen", s.Actual}} {
		fmt.Fprintf(w, "%s\t%s\n", effect.name, summaryColumns(effect.s))
	}
}

// summaryColumns returns the tab-separated columns of a summary.
func summaryColumns(s client.DrainSummary) string {
	empty := "-"
	if s.EmptyS > 0 {
		empty = fmt.Sprintf("%.0fs", s.EmptyS)
	}
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0fs\t%s",
		s.Machines, s.Finish, s.Move, s.Restart, s.Wait, s.Blocked, s.MachineLost, s.LostS, empty)
}

// showPlan prints a drain's plan: its effect on each task and class.
func showPlan(w io.Writer, plan client.DrainPlan) {
	fmt.Fprintln(w, "MACHINE\tZONE\tTASK\tCLASS\tWHAT\tUNTIL\tLOST\tLATE\tWHY")
	for _, m := range plan.Machines {
		if len(m.Tasks) == 0 {
			fmt.Fprintf(w, "%s\t%s\t-\t\tis empty\n", m.Machine, m.Zone)
		}
		for _, t := range m.Tasks {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0fs\t%.0fs\t%.0fs\t%s\n",
				m.Machine, m.Zone, t.Task, t.Class, t.Action, t.LeavesAfterS, t.LostS, t.LateS, t.Reason)
		}
	}
	for _, m := range plan.Machines {
		if m.OmittedTasks > 0 {
			fmt.Fprintf(w, "%s\t%s\tand %d more tasks\n", m.Machine, m.Zone, m.OmittedTasks)
		}
	}
	fmt.Fprintln(w, "\nCLASS\tMACHINES\tFINISH\tMOVE\tBEGIN ANEW\tWAIT\tBLOCKED\tVANISHED\tWORK LOST\tEMPTY AFTER\tJOBS LATE BY IT\tLATE ANYWAY")
	for _, class := range slices.Sorted(maps.Keys(plan.Classes)) {
		classPlan := plan.Classes[class]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", class, summaryColumns(classPlan.Summary), classPlan.Late, classPlan.LateAnyway)
	}
	fmt.Fprintf(w, "all\t%s\n", summaryColumns(plan.Total))
	if len(plan.WindowStarts) > 0 {
		fmt.Fprintf(w, "\nnext windows\t%s\n", strings.Join(plan.WindowStarts, ", "))
	}
	for _, text := range plan.Warnings {
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
