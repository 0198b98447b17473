package main

import (
	"fmt"
	"io"

	"drumpick/client"

	"github.com/spf13/cobra"
)

func machineCommand(f *globalFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "machine", Short: "Show machines"}
	cmd.AddCommand(&cobra.Command{
		Use: "list", Short: "List machines", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.newClient()
			if err != nil {
				return err
			}
			machines, err := c.Machines(cmd.Context())
			if err != nil {
				return err
			}
			return f.printOutput(cmd.OutOrStdout(), machines, func(w io.Writer) {
				fmt.Fprintln(w, "MACHINE\tTYPE\tZONE\tKIND\tSTATE\tTASKS\tVERSION")
				for _, m := range machines {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.Type, m.Zone, machineKind(m.Spot), m.State, m.TaskCount, m.Version)
				}
			})
		},
	}, &cobra.Command{
		Use: "show MACHINE", Short: "Show a machine and the tasks on it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.newClient()
			if err != nil {
				return err
			}
			m, err := c.Machine(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return f.printOutput(cmd.OutOrStdout(), m, func(w io.Writer) { showMachine(w, m) })
		},
	})
	return cmd
}

func showMachine(w io.Writer, m client.Machine) {
	for _, row := range [][2]any{
		{"machine", m.Name}, {"type", m.Type}, {"zone", m.Zone}, {"kind", machineKind(m.Spot)}, {"address", m.Addr}, {"state", m.State},
	} {
		fmt.Fprintf(w, "%s\t%s\n", row[0], row[1])
	}
	if m.Version != "" {
		fmt.Fprintf(w, "version\t%s\n", m.Version)
	}
	if len(m.Tasks) > 0 {
		fmt.Fprintln(w, "\nTASK\tATTEMPT\tSTATE\tRAN")
	}
	for _, t := range m.Tasks {
		state := t.State
		if t.Stopping {
			state += ", stopping"
		}
		fmt.Fprintf(w, "%s\t%d.%d\t%s\t%.0fs\n", t.Task, t.Attempt>>24, t.Attempt&(1<<24-1), state, t.RanS)
	}
	if m.OmittedTasks > 0 {
		fmt.Fprintf(w, "and %d more tasks\n", m.OmittedTasks)
	}
}

func machineKind(spot bool) string {
	if spot {
		return "spot"
	}
	return "ordinary"
}
