// Command drumpick is the controller daemon of a cluster scheduler; see README.md. One controller
// runs on each node. The controllers elect a leader, and the followers relay requests to it.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"

	"drumpick/internal/config"

	"github.com/spf13/cobra"
)

// version is the program's version, updated for each release.
var version = "0.2.0-dev"

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "drumpick:", err)
		os.Exit(1)
	}
}

// settingsFlags holds the paths of the settings files.
type settingsFlags struct {
	configPath  string
	optionsPath string
}

func (f *settingsFlags) load() (*config.Config, error) {
	if f.configPath == "" {
		return nil, errors.New("--config FILE is required")
	}
	cfg, err := config.Load(f.configPath)
	if err != nil || f.optionsPath == "" {
		return cfg, err
	}
	cfg.Options, err = config.LoadOptions(f.optionsPath)
	return cfg, err
}

// newCommand returns the root command, which runs the daemon if no subcommand is given.
func newCommand() *cobra.Command {
	var flags settingsFlags
	root := &cobra.Command{
		Use:           "drumpick",
		Short:         "Cluster scheduler: runs the controller daemon",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := flags.load()
			if err != nil {
				return err
			}
			return runDaemon(cfg)
		},
	}
	root.PersistentFlags().StringVar(&flags.configPath, "config", "", "settings `file` of the platform (TOML)")
	root.PersistentFlags().StringVar(&flags.optionsPath, "options", "", "operators' settings `file` (INI)")
	root.AddCommand(newCheckCommand(&flags))
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

func newCheckCommand(flags *settingsFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := flags.load()
			if err != nil {
				return err
			}
			for _, warning := range cfg.Warnings() {
				fmt.Fprintln(cmd.OutOrStdout(), "doubt:", warning)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "settings of %s are in order\n", cfg.Node)
			return nil
		},
	}
}

// setLogging logs messages of the named level and above to standard error. An unknown name selects
// info.
func setLogging(name string) {
	level := slog.LevelInfo
	switch strings.ToLower(name) {
	case "error":
		level = slog.LevelError
	case "warn", "warning":
		level = slog.LevelWarn
	case "debug":
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}
