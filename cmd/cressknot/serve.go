package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"cressknot/internal/config"
	"cressknot/internal/eventlog"
	"cressknot/internal/server"
)

func serveCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run a controller",
		Long: `Run a controller with the settings of a file until SIGINT or SIGTERM. It sends pending messages before it
exits; a second signal ends it at once. SIGHUP reloads the settings file. If the file changes a setting that
needs a restart, the whole file is rejected and the previous settings stay in effect.`,
		Args: positionalArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				return usageError{errors.New("serve requires --config FILE")}
			}
			return server.RunController(path)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "settings file: CUE, JSON or YAML")
	return c
}

func nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run a controller on a platform with a relay",
		Long: `Run a controller with the settings of the platform's environment variables; RELAY_CONFIG is required. SIGHUP
reloads the configuration and switches to its addresses. SIGTERM ends the program after the call in progress.
See docs/operate/node.md.`,
		Args: positionalArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error { return server.RunPlatform(os.Getenv) },
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Validate settings files and list all errors",
		Args:  positionalArgs(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, files []string) error {
			errorCount := 0
			for _, path := range files {
				errorCount += checkSettings(c.OutOrStdout(), path)
			}
			if errorCount > 0 {
				return fmt.Errorf("%d errors in the settings", errorCount)
			}
			return nil
		},
	}
}

// checkSettings prints the errors in a settings file, or a summary if it is valid, and returns the number of errors.
func checkSettings(out io.Writer, path string) int {
	settings, err := config.Load(path)
	var fieldErrors config.FieldErrors
	switch {
	case errors.As(err, &fieldErrors):
		printLine(out, fieldErrors)
		return len(fieldErrors)
	case err != nil:
		printLine(out, err)
		return 1
	}
	printf(out, "%s: valid: controller %s, %d proxies, %d classes\n",
		path, settings.Name, len(settings.Proxies), len(settings.Classes))
	return 0
}

func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay RECORDS",
		Short: "Replay an event log and compare the balancer's orders with the recorded ones",
		Long: `Replay the events that a controller recorded (setting 'records') through the balancer. Its orders must equal
the recorded ones byte for byte; the first difference is reported and ends the replay.`,
		Args: positionalArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer func() { _ = file.Close() }()
			steps, orders, err := eventlog.Replay(args[0], file)
			printf(c.OutOrStdout(), "%d steps, %d equal orders\n", steps, orders)
			return err
		},
	}
}
