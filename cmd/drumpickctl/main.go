// Command drumpickctl is the command-line client: it submits, watches and cancels jobs, shows machines and drains them,
// and runs a whole deployment on one machine to try things out.
package main

import (
	"context"
	"encoding/json"
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
	"drumpick/internal/localcluster"

	"github.com/spf13/cobra"
)

// Exit codes, as docs/client.md has them.
const (
	exitOK          = 0
	exitFailed      = 1 // anything else
	exitUsage       = 2 // the command line or a file is wrong; nothing was asked of anybody
	exitRefused     = 3 // the service refuses the request for good
	exitNotFound    = 4 // no such job, machine or drain
	exitUnavailable = 5 // nobody took the request in time; it may be repeated
	exitCancelled   = 6 // a job that was waited for ended cancelled
	exitInterrupted = 130
)

// exitError carries an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// usageError returns an error of the command line.
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

// execute runs one command line and returns the exit code.
func execute(ctx context.Context, args []string, in io.Reader, out, errs io.Writer) int {
	root := newCommand()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	if err != nil {
		if ctx.Err() != nil {
			err = &exitError{exitInterrupted, errors.New("interrupted")}
		}
		fmt.Fprintln(errs, "drumpickctl:", err)
	}
	return exitCode(err)
}

// globalFlags are those of every command.
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
		Short:         "Submit and watch jobs, look after machines, try drumpick on one machine",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			level := slog.LevelWarn
			if f.verbose {
				level = slog.LevelDebug
			}
			slog.SetDefault(slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), &slog.HandlerOptions{Level: level})))
			if f.output != "table" && f.output != "json" {
				return usageError("--output is table or json, not %q", f.output)
			}
			return nil
		},
	}
	p := root.PersistentFlags()
	p.StringSliceVarP(&f.servers, "server", "s", nil, "`host:port` of a controller, several with commas (DRUMPICK_SERVERS; else the local region)")
	p.StringVar(&f.dataDir, "data", "", "`directory` of the local region (DRUMPICK_DATA)")
	p.StringVarP(&f.output, "output", "o", "table", "`table` for people or json for programs")
	p.BoolVarP(&f.verbose, "verbose", "v", false, "say more on standard error")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exitError{exitUsage, err} })
	root.AddCommand(submitCommand(f), getCommand(f), watchCommand(f), cancelCommand(f), machineCommand(f), drainCommand(f), localCommand(f))
	returnUsageErrors(root)
	return root
}

// returnUsageErrors makes a wrong number of arguments, or an unknown command, an error of usage.
func returnUsageErrors(cmd *cobra.Command) {
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := check(cmd, args); err != nil {
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

// resolveDataDir returns the local cluster's directory.
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

// newClient returns a client of the controllers that the command line, the environment or the local cluster names, in this
// order.
func (f *globalFlags) newClient() (*client.Client, error) {
	addrs := f.servers
	if len(addrs) == 0 && os.Getenv("DRUMPICK_SERVERS") != "" {
		addrs = strings.Split(os.Getenv("DRUMPICK_SERVERS"), ",")
	}
	local := len(addrs) == 0
	if local {
		info, err := localcluster.ReadInfo(f.resolveDataDir())
		if err != nil {
			return nil, usageError("--server is missing, and %v", err)
		}
		addrs = info.Addrs()
	}
	c, err := client.New(addrs...)
	if err != nil {
		return nil, &exitError{exitUsage, err}
	}
	if local {
		c.PollInterval /= 5 // its times are short, and nobody else polls it
	}
	return c, nil
}

// printOutput writes a value for programs, or calls table for people.
func (f *globalFlags) printOutput(out io.Writer, v any, table func(w io.Writer)) error {
	if f.output == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}
