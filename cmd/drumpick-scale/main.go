// Command drumpick-scale runs deployments of a planned size on one machine, with workers whose tasks are timers beside
// real processes, measures what each role costs, and works out what that comes to at other sizes. It is for planning
// and tests; nothing of it is in the controllers' program.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"drumpick/internal/loadtest"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1 // a rule was broken, or the run failed
	exitUsage       = 2 // the command line is wrong; nothing was started
	exitInterrupted = 130
)

// errProtocolViolation says that a rule of the protocol was broken.
var errProtocolViolation = errors.New("a rule of the protocol was broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs one command line and returns the exit code.
func execute(ctx context.Context, args []string, out, errs io.Writer) int {
	root := newCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	var usage *loadtest.UsageError
	switch {
	case err == nil:
		return exitOK
	case ctx.Err() != nil:
		fmt.Fprintln(errs, "drumpick-scale: interrupted")
		return exitInterrupted
	case errors.As(err, &usage):
		fmt.Fprintln(errs, "drumpick-scale:", err)
		return exitUsage
	}
	fmt.Fprintln(errs, "drumpick-scale:", err)
	return exitFailed
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "drumpick-scale", Short: "Measure a deployment of a planned size on one machine",
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &loadtest.UsageError{Reason: err.Error()} })
	root.AddCommand(runCommand(), fitCommand(), serveCommand())
	return root
}

func runCommand() *cobra.Command {
	size := loadtest.Size{
		Workers: 100, Tasks: 1000, StartRate: 32, Controllers: 3, Zones: 2, Deployments: 1, RealWorkers: 2, MeasureTime: 60 * time.Second,
		StoreRPS: 1000, StoreWrites: 200,
	}
	var programs loadtest.Programs
	var file string
	var paired bool
	cmd := &cobra.Command{
		Use: "run", Short: "Run a deployment, measure it, and check the rules", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := resolvePrograms(&programs); err != nil {
				return err
			}
			if err := size.Check(); err != nil {
				return err
			}
			run := loadtest.Run
			if paired {
				run = loadtest.RunPaired
			}
			result, err := run(cmd.Context(), size, programs, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			return printResult(result, file, cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	addSizeFlags(f, &size)
	f.BoolVar(&paired, "paired", false, "play it without teams before")
	f.StringVar(&file, "out", "", "`file` for the result as JSON")
	f.StringVar(&programs.Controller, "daemon", "target/drumpick", "the controllers' `program`, built as deploy/service.toml says")
	f.StringVar(&programs.OptionsFile, "options", "deploy/drumpick.ini", "the controllers' operators' settings `file`")
	return cmd
}

// addSizeFlags adds the flags that say what to run.
func addSizeFlags(f *pflag.FlagSet, size *loadtest.Size) {
	f.IntVar(&size.Workers, "workers", size.Workers, "`machines` in all")
	f.IntVar(&size.RealWorkers, "real-workers", size.RealWorkers, "of these, `machines` with a process of their own")
	f.IntVar(&size.Tasks, "tasks", size.Tasks, "`tasks` that are to run at the same time")
	f.Float64Var(&size.StartRate, "rate", size.StartRate, "task `starts` a second at the peak")
	f.IntVar(&size.Controllers, "controllers", size.Controllers, "`controllers` of each region")
	f.IntVar(&size.Teams, "teams", size.Teams, "`teams`, each with a guarantee and a limit; 0: one team without")
	f.IntVar(&size.Zones, "zones", size.Zones, "`zones` in all")
	f.IntVar(&size.Deployments, "regions", size.Deployments, "`regions`, each with a state service, a cloud and a leader of its own")
	f.DurationVar(&size.MeasureTime, "for", size.MeasureTime, "`how long` it is measured once the load has risen")
	f.Float64Var(&size.StoreRPS, "store-rps", size.StoreRPS, "`requests` a second that each state service takes")
	f.Float64Var(&size.StoreWrites, "store-writes", size.StoreWrites, "`changes` a second that each state service takes")
	f.Float64Var(&size.Faults.TimeCompression, "compress", 0, "`seconds` of the planned day, with its failures and restarts of machines, in one second; 0: none")
	f.BoolVar(&size.Faults.Rack, "rack", false, "a rack's workers fail at once")
	f.BoolVar(&size.Faults.Zone, "zone", false, "a zone's workers fail at once")
	f.BoolVar(&size.Faults.Leader, "leader", false, "a leader is killed")
}

// resolvePrograms checks the programs and files that a run needs.
func resolvePrograms(p *loadtest.Programs) (err error) {
	if p.LoadTest, err = os.Executable(); err != nil {
		return err
	}
	if _, err := os.Stat(p.Controller); err != nil {
		const format = "there is no program %s; build it with go build -o %[1]s ./cmd/drumpick"
		return &loadtest.UsageError{Flag: "daemon", Reason: fmt.Sprintf(format, p.Controller)}
	}
	if _, err := os.Stat(p.OptionsFile); err != nil {
		return &loadtest.UsageError{Flag: "options", Reason: fmt.Sprintf("there is no file %s", p.OptionsFile)}
	}
	return nil
}

// printResult prints a result and writes it to a file, if one is named. It fails if a rule was broken.
func printResult(r *loadtest.Result, file string, out io.Writer) error {
	if err := r.Print(out); err != nil {
		return err
	}
	if file != "" {
		if err := r.Write(file); err != nil {
			return err
		}
	}
	if len(r.Violations) > 0 {
		first := r.Violations[0]
		return fmt.Errorf("%w: %s: %s (%d in all)", errProtocolViolation, first.Rule, first.Detail, len(r.Violations))
	}
	return nil
}

func fitCommand() *cobra.Command {
	var by string
	cmd := &cobra.Command{
		Use: "fit FILE...", Short: "Fit costs to sizes, over the results of at least four runs",
		RunE: func(cmd *cobra.Command, files []string) error {
			fits, err := loadtest.Fit(files, by)
			if err != nil {
				return err
			}
			return fits.Print(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&by, "by", loadtest.ByWorkers, "what the sizes differ by: `workers`, rate or teams")
	return cmd
}

// serveCommand is the command that a run starts as processes of its own.
func serveCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "serve ROLE", Short: "Play one role of a run", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			slog.SetDefault(slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil)))
			return loadtest.ServeChild(args[0], data, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&data, "data", "", "`directory` of records")
	return cmd
}
