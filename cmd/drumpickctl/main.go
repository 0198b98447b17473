// Command drumpickctl is the command-line client: it submits, watches and cancels jobs, shows and drains machines, and
// runs a local cluster for experiments.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"

	"drumpick/client"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/localcluster"

	"github.com/spf13/cobra"
)

// Exit codes, as documented in docs/client.md.
const (
	exitOK          = 0
	exitFailed      = 1 // any other error
	exitUsage       = 2 // invalid command line or file; no request was sent
	exitRefused     = 3 // the service rejected the request, and would reject it again
	exitNotFound    = 4 // no such job, machine or drain
	exitUnavailable = 5 // no controller accepted the request in time; it may be sent again
	exitCancelled   = 6 // a job that the command waited for was cancelled
	exitInterrupted = 130
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// usageError returns an error with exit code exitUsage.
func usageError(format string, args ...any) error {
	return &exitError{exitUsage, fmt.Errorf(format, args...)}
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var exit *exitError
	var refused *client.RefusedError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.Is(err, context.Canceled):
		return exitInterrupted
	case errors.As(err, &refused):
		return exitRefused
	case errors.Is(err, client.ErrNotFound):
		return exitNotFound
	case errors.Is(err, client.ErrUnavailable):
		return exitUnavailable
	}
	return exitFailed
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// execute runs a command line and returns its exit code.
func execute(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	root := newCommand()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		if ctx.Err() != nil {
			err = &exitError{exitInterrupted, errors.New("interrupted")}
		}
		fmt.Fprintln(errOut, "drumpickctl:", err)
	}
	return exitCode(err)
}

// globalFlags holds the flags that all commands share.
type globalFlags struct {
	servers []string
	dataDir string
	output  string
	verbose bool
}

func newCommand() *cobra.Command {
	f := &globalFlags{}
	root := &cobra.Command{
		Use:           "drumpickctl",
		Short:         "Submit and watch jobs, show and drain machines, run a local cluster",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			level := slog.LevelWarn
			if f.verbose {
				level = slog.LevelDebug
			}
			slog.SetDefault(slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), &slog.HandlerOptions{Level: level})))
			if f.output != "table" && f.output != "json" {
				return usageError("--output must be table or json, not %q", f.output)
			}
			return nil
		},
	}
	p := root.PersistentFlags()
	p.StringSliceVarP(&f.servers, "server", "s", nil, "`host:port` of a controller, or several separated by commas (DRUMPICK_SERVERS; default: the local cluster)")
	p.StringVar(&f.dataDir, "data", "", "`directory` of the local cluster (DRUMPICK_DATA)")
	p.StringVarP(&f.output, "output", "o", "table", "output format: `table` or json")
	p.BoolVarP(&f.verbose, "verbose", "v", false, "log debug messages to standard error")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exitError{exitUsage, err} })
	root.AddCommand(submitCommand(f), getCommand(f), watchCommand(f), cancelCommand(f), machineCommand(f), drainCommand(f), localCommand(f))
	returnUsageErrors(root)
	return root
}

// returnUsageErrors makes cmd and its subcommands return a usage error for a wrong number of arguments or an unknown
// subcommand.
func returnUsageErrors(cmd *cobra.Command) {
	if validateArgs := cmd.Args; validateArgs != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := validateArgs(cmd, args); err != nil {
				return &exitError{exitUsage, err}
			}
			return nil
		}
	}
	for _, sub := range cmd.Commands() {
		returnUsageErrors(sub)
	}
	if cmd.HasSubCommands() && cmd.RunE == nil {
		cmd.Args = cobra.ArbitraryArgs
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError("unknown command %q for %q", args[0], cmd.CommandPath())
			}
			return cmd.Help()
		}
	}
}

// resolveDataDir returns the local cluster's directory: from --data, else DRUMPICK_DATA, else drumpick/local in the
// user's cache directory, or in the directory for temporary files if there is none.
func (f *globalFlags) resolveDataDir() string {
	switch {
	case f.dataDir != "":
		return f.dataDir
	case os.Getenv("DRUMPICK_DATA") != "":
		return os.Getenv("DRUMPICK_DATA")
	}
	home, err := os.UserCacheDir()
	if err != nil {
		home = os.TempDir()
	}
	return filepath.Join(home, "drumpick", "local")
}

// newClient returns a client of the controllers that --server names, else of those in DRUMPICK_SERVERS, else of the
// local cluster's.
func (f *globalFlags) newClient() (*client.Client, error) {
	addrs := f.servers
	if len(addrs) == 0 && os.Getenv("DRUMPICK_SERVERS") != "" {
		addrs = strings.Split(os.Getenv("DRUMPICK_SERVERS"), ",")
	}
	useLocalCluster := len(addrs) == 0
	if useLocalCluster {
		info, err := localcluster.ReadInfo(f.resolveDataDir())
		if err != nil {
			return nil, usageError("--server is not set, and %v", err)
		}
		addrs = info.Addrs()
	}
	c, err := client.New(addrs...)
	if err != nil {
		return nil, &exitError{exitUsage, err}
	}
	if useLocalCluster {
		c.PollInterval /= 5 // a local cluster has shorter intervals and no other users
	}
	return c, nil
}

// printOutput writes v as JSON with --output json, else what table writes, with its tab-separated columns aligned.
func (f *globalFlags) printOutput(out io.Writer, v any, table func(w io.Writer)) error {
	if f.output == "json" {
		e := jsoncodec.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}
