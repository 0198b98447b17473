// Command drumpick-scale runs deployments of a planned size on one machine, measures the resources that each role
// uses, and extrapolates the results to other sizes. Most workers are simulated, with timers for tasks; some are real
// processes. It serves capacity planning and tests; the controller binary contains none of it.
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
	exitFailed      = 1 // a protocol rule was violated, the run failed, or there was an unexpected argument
	exitUsage       = 2 // invalid flag, size or file; nothing was started
	exitInterrupted = 130
)

// errProtocolViolation means that a run violated a rule of the protocol.
var errProtocolViolation = errors.New("a rule of the protocol was violated")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs a command line and returns its exit code.
func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	var usage *loadtest.UsageError
	switch {
	case err == nil:
		return exitOK
	case ctx.Err() != nil:
		fmt.Fprintln(errOut, "drumpick-scale: interrupted")
		return exitInterrupted
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, "drumpick-scale:", err)
		return exitUsage
	}
	fmt.Fprintln(errOut, "drumpick-scale:", err)
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
	var resultFile string
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
			return printResult(result, resultFile, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	addSizeFlags(flags, &size)
	flags.BoolVar(&paired, "paired", false, "run the same load without teams first, for comparison")
	flags.StringVar(&resultFile, "out", "", "`file` to write the result to, as JSON")
	flags.StringVar(&programs.Controller, "daemon", "target/drumpick", "controller `program`, built as deploy/service.toml specifies")
	flags.StringVar(&programs.OptionsFile, "options", "deploy/drumpick.ini", "operators' settings `file` of the controllers")
	return cmd
}

// addSizeFlags adds the flags that set the size, duration and injected faults of a run.
func addSizeFlags(flags *pflag.FlagSet, size *loadtest.Size) {
	flags.IntVar(&size.Workers, "workers", size.Workers, "total number of `machines`")
	flags.IntVar(&size.RealWorkers, "real-workers", size.RealWorkers, "number of these `machines` whose worker is a real process")
	flags.IntVar(&size.Tasks, "tasks", size.Tasks, "number of `tasks` running at the same time")
	flags.Float64Var(&size.StartRate, "rate", size.StartRate, "peak number of task `starts` per second")
	flags.IntVar(&size.Controllers, "controllers", size.Controllers, "number of `controllers` per region")
	flags.IntVar(&size.Teams, "teams", size.Teams, "number of `teams`, each with a guarantee and a limit; 0: one team with neither")
	flags.IntVar(&size.Zones, "zones", size.Zones, "total number of `zones`")
	flags.IntVar(&size.Deployments, "regions", size.Deployments, "number of `regions`, each with its own state service, cloud and leader")
	flags.DurationVar(&size.MeasureTime, "for", size.MeasureTime, "measurement `duration` after the ramp-up")
	flags.Float64Var(&size.StoreRPS, "store-rps", size.StoreRPS, "`requests` per second that each state service accepts")
	flags.Float64Var(&size.StoreWrites, "store-writes", size.StoreWrites, "`changes` per second that each state service accepts")
	flags.Float64Var(&size.Faults.TimeCompression, "compress", 0, "`seconds` of the planned day, with its machine failures and restarts, per second of the run; 0: no machine faults")
	flags.BoolVar(&size.Faults.Rack, "rack", false, "make all workers of a rack fail at the same time")
	flags.BoolVar(&size.Faults.Zone, "zone", false, "make all workers of a zone fail at the same time")
	flags.BoolVar(&size.Faults.Leader, "leader", false, "kill a leader")
}

// resolvePrograms sets the path of this program, and checks that the controller program and the options file exist.
func resolvePrograms(p *loadtest.Programs) (err error) {
	if p.LoadTest, err = os.Executable(); err != nil {
		return err
	}
	if _, err := os.Stat(p.Controller); err != nil {
		const format = "program %s does not exist; build it with go build -o %[1]s ./cmd/drumpick"
		return &loadtest.UsageError{Flag: "daemon", Reason: fmt.Sprintf(format, p.Controller)}
	}
	if _, err := os.Stat(p.OptionsFile); err != nil {
		return &loadtest.UsageError{Flag: "options", Reason: fmt.Sprintf("file %s does not exist", p.OptionsFile)}
	}
	return nil
}

// printResult prints a result, and writes it to file unless that is "". If the result has violations, the error wraps
// errProtocolViolation.
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
		return fmt.Errorf("%w: %s: %s (%d in total)", errProtocolViolation, first.Rule, first.Detail, len(r.Violations))
	}
	return nil
}

func fitCommand() *cobra.Command {
	var variable string
	cmd := &cobra.Command{
		Use: "fit FILE...", Short: "Fit resource use to deployment size, from the results of at least four runs",
		RunE: func(cmd *cobra.Command, files []string) error {
			fits, err := loadtest.Fit(files, variable)
			if err != nil {
				return err
			}
			return fits.Print(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&variable, "by", loadtest.ByWorkers, "size in which the runs differ: `workers`, rate or teams")
	return cmd
}

// serveCommand returns the hidden command that the child processes of a run execute.
func serveCommand() *cobra.Command {
	var data string
	cmd := &cobra.Command{
		Use: "serve ROLE", Short: "Serve one role of a run", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			slog.SetDefault(slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil)))
			return loadtest.ServeChild(args[0], data, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&data, "data", "", "`directory` of the run's data")
	return cmd
}
