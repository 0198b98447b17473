// Command drumpick is a cluster scheduler; see README.md.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"strings"

	"drumpick/internal/config"

	"github.com/spf13/cobra"
)

// version is set when a release is built.
var version = "0.2.0-dev"

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "drumpick:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var path, options string
	load := func() (*config.Config, error) {
		if path == "" {
			return nil, fmt.Errorf("--config FILE is required")
		}
		cfg, err := config.Load(path)
		if err != nil || options == "" {
			return cfg, err
		}
		cfg.Options, err = config.LoadOptions(options)
		return cfg, err
	}
	root := &cobra.Command{
		Use:           "drumpick",
		Short:         "Cluster scheduler: runs the controller daemon",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			return run(cfg)
		},
	}
	root.PersistentFlags().StringVar(&path, "config", "", "settings `file` of the platform (TOML)")
	root.PersistentFlags().StringVar(&options, "options", "", "operators' settings `file` (INI)")
	root.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load()
			if err == nil {
				for _, d := range cfg.Warnings() {
					fmt.Fprintln(cmd.OutOrStdout(), "doubt:", d)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "settings of %s are in order\n", cfg.Node)
			}
			return err
		},
	})
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

// setLogging sets how much goes to standard error.
func setLogging(level string) {
	l := slog.LevelInfo
	switch strings.ToLower(level) {
	case "error":
		l = slog.LevelError
	case "warn", "warning":
		l = slog.LevelWarn
	case "debug":
		l = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})))
}
