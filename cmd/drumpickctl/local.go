package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"drumpick/internal/localcluster"

	"github.com/spf13/cobra"
)

func localCommand(f *globalFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "local", Short: "Run a whole deployment on this machine"}
	o := localcluster.Options{Zones: []string{"north", "south"}, Controllers: 3, MachinesPerZone: 6, LogLevel: "info"}
	up := &cobra.Command{
		Use: "up", Short: "Start a local region and stay until Ctrl-C", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.withCluster(cmd, o, f.resolveDataDir(), func(r *localcluster.Cluster) error {
				if err := f.printOutput(cmd.OutOrStdout(), r.Info, func(w io.Writer) { showCluster(w, f.resolveDataDir(), r.Info) }); err != nil {
					return err
				}
				<-cmd.Context().Done()
				fmt.Fprintln(cmd.ErrOrStderr(), "ending; the records stay in", f.resolveDataDir())
				return nil
			})
		},
	}
	demo := &cobra.Command{
		Use: "demo", Short: "Start a local region, run sample jobs, show what happened, and end", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.demo(cmd, o) },
	}
	for _, c := range []*cobra.Command{up, demo} {
		c.Flags().StringVar(&o.ControllerProgram, "daemon", "",
			"the controllers' `program` (else drumpick beside this one, or built from the sources here)")
		c.Flags().StringVar(&o.LogLevel, "log", o.LogLevel, "the controllers' LOG_LEVEL")
	}
	cmd.AddCommand(up, demo,
		f.faultCommand("kill NAME", "Kill a controller, which comes back, or a machine, which does not", "/kill/", nil),
		f.faultCommand("storm ZONE", "Take the power from a zone: its machines are gone, its controllers crash", "/storm/", nil),
	)
	var span time.Duration
	cut := f.faultCommand("cut ZONE", "Keep a zone's machines from being reached for a time", "/cut/",
		func() string { return "?for=" + span.String() })
	cut.Flags().DurationVar(&span, "for", 10*time.Second, "how long")
	cmd.AddCommand(cut)
	var version string
	upgrade := f.faultCommand("upgrade MACHINE", "Give a machine's worker another version; what runs there is lost", "/upgrade/",
		func() string { return "?to=" + url.QueryEscape(version) })
	upgrade.Flags().StringVar(&version, "to", "", "which `version`")
	_ = upgrade.MarkFlagRequired("to")
	cmd.AddCommand(upgrade)
	return cmd
}

// faultCommand returns a command that a running local cluster carries out.
func (f *globalFlags) faultCommand(use, short, path string, query func() string) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			info, err := localcluster.ReadInfo(f.resolveDataDir())
			if err != nil {
				return &exitError{exitUsage, err}
			}
			uri := path + url.PathEscape(args[0])
			if query != nil {
				uri += query()
			}
			result, err := info.PostCommand(uri)
			if err != nil {
				return &exitError{exitNotFound, err}
			}
			fmt.Fprintln(cmd.OutOrStdout(), result)
			return nil
		},
	}
}

// showCluster prints how to reach a local cluster.
func showCluster(w io.Writer, data string, i localcluster.Info) {
	fmt.Fprintf(w, "state service\t%s\ncloud\t%s\n", i.StoreAddr, i.CloudAddr)
	for _, c := range i.Controllers {
		fmt.Fprintf(w, "%s\t%s\tin %s\tsettings %s\tlog %s\n", c.Name, c.UserAddr, c.Zone, c.ConfigPath, c.LogPath)
	}
	fmt.Fprintf(w, "\nin another terminal\tdrumpickctl --data %s submit FILE\n", data)
}

// withCluster runs a local cluster while do runs, and leaves no process behind.
func (f *globalFlags) withCluster(
	cmd *cobra.Command, o localcluster.Options, data string, do func(*localcluster.Cluster) error,
) error {
	o.DataDir = data
	var err error
	if o.ControllerProgram, err = controllerProgram(cmd.Context(), o.ControllerProgram, data, cmd.ErrOrStderr()); err != nil {
		return err
	}
	r, err := localcluster.Start(cmd.Context(), o)
	if err != nil {
		return err
	}
	err = do(r)
	if stopErr := r.Stop(); err == nil {
		err = stopErr
	}
	return err
}

// controllerProgram finds the controllers' program: the one named, one beside this program, or one built from the
// sources that the working directory belongs to.
func controllerProgram(ctx context.Context, named, data string, errs io.Writer) (string, error) {
	if named != "" {
		path, err := exec.LookPath(named)
		if err != nil {
			return "", usageError("--daemon: %v", err)
		}
		return filepath.Abs(path)
	}
	if self, err := os.Executable(); err == nil {
		if beside := filepath.Join(filepath.Dir(self), "drumpick"); isExecutable(beside) {
			return beside, nil
		}
	}
	root, err := findSourceRoot()
	if err != nil {
		return "", usageError("--daemon is missing, and %v", err)
	}
	if err := os.MkdirAll(data, 0o700); err != nil {
		return "", err
	}
	built, err := filepath.Abs(filepath.Join(data, "drumpick"))
	if err != nil {
		return "", err
	}
	fmt.Fprintln(errs, "building the controllers' program")
	build := exec.CommandContext(ctx, "go", "build", "-o", built, "./cmd/drumpick")
	build.Dir, build.Stderr = root, errs
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("go build ./cmd/drumpick: %w", err)
	}
	return built, nil
}

// isExecutable reports whether a path is a file that can be run.
func isExecutable(path string) bool {
	s, err := os.Stat(path)
	return err == nil && s.Mode().IsRegular() && s.Mode().Perm()&0o111 != 0
}

// findSourceRoot returns the root of drumpick's sources above the working directory.
func findSourceRoot() (string, error) {
	dir, err := os.Getwd()
	for err == nil {
		raw, readErr := os.ReadFile(filepath.Join(dir, "go.mod"))
		if readErr == nil && strings.HasPrefix(string(raw), "module drumpick\n") {
			return dir, nil
		}
		up := filepath.Dir(dir)
		if up == dir {
			err = errors.New("drumpick's sources are not above this directory")
		}
		dir = up
	}
	return "", err
}
