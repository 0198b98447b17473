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
	cmd := &cobra.Command{Use: "local", Short: "Run a local cluster on this machine"}
	o := localcluster.Options{Zones: []string{"north", "south"}, Controllers: 3, MachinesPerZone: 6, LogLevel: "info"}
	up := &cobra.Command{
		Use: "up", Short: "Start a local cluster and run it until Ctrl-C", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.withCluster(cmd, o, f.resolveDataDir(), func(cluster *localcluster.Cluster) error {
				if err := f.printOutput(cmd.OutOrStdout(), cluster.Info, func(w io.Writer) { showCluster(w, f.resolveDataDir(), cluster.Info) }); err != nil {
					return err
				}
				<-cmd.Context().Done()
				fmt.Fprintln(cmd.ErrOrStderr(), "stopping; the data stays in", f.resolveDataDir())
				return nil
			})
		},
	}
	demo := &cobra.Command{
		Use: "demo", Short: "Start a local cluster, run sample jobs, show the result and stop", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.demo(cmd, o) },
	}
	for _, c := range []*cobra.Command{up, demo} {
		c.Flags().StringVar(&o.ControllerProgram, "daemon", "",
			"controller `program` (default: drumpick in the directory of this program, or built from the sources here)")
		c.Flags().StringVar(&o.LogLevel, "log", o.LogLevel, "the controllers' LOG_LEVEL")
	}
	cmd.AddCommand(up, demo,
		f.faultCommand("kill NAME", "Kill a controller, which restarts, or a machine, which does not", "/kill/", nil),
		f.faultCommand("storm ZONE", "Cut the power of a zone: its machines are lost, its controllers crash and restart", "/storm/", nil),
	)
	var duration time.Duration
	cut := f.faultCommand("cut ZONE", "Make a zone's machines unreachable for a time", "/cut/",
		func() string { return "?for=" + duration.String() })
	cut.Flags().DurationVar(&duration, "for", 10*time.Second, "how long the machines are unreachable")
	cmd.AddCommand(cut)
	var version string
	upgrade := f.faultCommand("upgrade MACHINE", "Change the version of a machine's worker; the tasks on it are lost", "/upgrade/",
		func() string { return "?to=" + url.QueryEscape(version) })
	upgrade.Flags().StringVar(&version, "to", "", "target `version` of the worker")
	_ = upgrade.MarkFlagRequired("to")
	cmd.AddCommand(upgrade)
	return cmd
}

// faultCommand returns a command that sends a control request, such as an injected fault, to the running local cluster.
// query, if set, returns the query string of the request.
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

// showCluster prints the addresses and files of a local cluster.
func showCluster(w io.Writer, data string, info localcluster.Info) {
	fmt.Fprintf(w, "state service\t%s\ncloud\t%s\n", info.StoreAddr, info.CloudAddr)
	for _, c := range info.Controllers {
		fmt.Fprintf(w, "%s\t%s\tin %s\tsettings %s\tlog %s\n", c.Name, c.UserAddr, c.Zone, c.ConfigPath, c.LogPath)
	}
	fmt.Fprintf(w, "\nin another terminal\tdrumpickctl --data %s submit FILE\n", data)
}

// withCluster starts a local cluster, runs action and stops the cluster, also if action fails, so that no process is
// left behind.
func (f *globalFlags) withCluster(
	cmd *cobra.Command, o localcluster.Options, data string, action func(*localcluster.Cluster) error,
) error {
	o.DataDir = data
	var err error
	if o.ControllerProgram, err = controllerProgram(cmd.Context(), o.ControllerProgram, data, cmd.ErrOrStderr()); err != nil {
		return err
	}
	cluster, err := localcluster.Start(cmd.Context(), o)
	if err != nil {
		return err
	}
	err = action(cluster)
	if stopErr := cluster.Stop(); err == nil {
		err = stopErr
	}
	return err
}

// controllerProgram returns the path of the controller program: the given one, else drumpick in this program's
// directory, else one built from the sources that contain the working directory.
func controllerProgram(ctx context.Context, program, data string, errOut io.Writer) (string, error) {
	if program != "" {
		path, err := exec.LookPath(program)
		if err != nil {
			return "", usageError("--daemon: %v", err)
		}
		return filepath.Abs(path)
	}
	if self, err := os.Executable(); err == nil {
		if sibling := filepath.Join(filepath.Dir(self), "drumpick"); isExecutable(sibling) {
			return sibling, nil
		}
	}
	root, err := findSourceRoot()
	if err != nil {
		return "", usageError("--daemon is not set, there is no drumpick in the directory of this program, and %v", err)
	}
	if err := os.MkdirAll(data, 0o700); err != nil {
		return "", err
	}
	built, err := filepath.Abs(filepath.Join(data, "drumpick"))
	if err != nil {
		return "", err
	}
	fmt.Fprintln(errOut, "building the controller program")
	build := exec.CommandContext(ctx, "go", "build", "-o", built, "./cmd/drumpick")
	build.Dir, build.Stderr = root, errOut
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("go build ./cmd/drumpick: %w", err)
	}
	return built, nil
}

// isExecutable reports whether path is a regular file that has an execute permission.
func isExecutable(path string) bool {
	s, err := os.Stat(path)
	return err == nil && s.Mode().IsRegular() && s.Mode().Perm()&0o111 != 0
}

// findSourceRoot returns the root of the drumpick sources that contain the working directory.
func findSourceRoot() (string, error) {
	dir, err := os.Getwd()
	for err == nil {
		raw, readErr := os.ReadFile(filepath.Join(dir, "go.mod"))
		if readErr == nil && strings.HasPrefix(string(raw), "module drumpick\n") {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			err = errors.New("the working directory is not within the drumpick sources")
		}
		dir = parent
	}
	return "", err
}
