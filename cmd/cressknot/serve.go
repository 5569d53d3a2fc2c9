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
		Short: "Run a governor",
		Long: `Run the governor of a settings file until SIGINT or SIGTERM. Orders in hand leave first; a second
signal ends it at once. SIGHUP reads the settings again: what may change while it runs is taken
over, a file that asks for more is refused whole.`,
		Args: positionalArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				return usageError{errors.New("serve needs --config FILE")}
			}
			return server.RunController(path)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "settings: CUE, JSON or YAML")
	return c
}

func nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run a governor on a platform with a relay",
		Long: `Run a governor as the platform's variables say, RELAY_CONFIG before all. SIGHUP reads the configuration
again and goes to its addresses; SIGTERM ends it once the call in the air is done. docs/operate/node.md has more.`,
		Args: positionalArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error { return server.RunPlatform(os.Getenv) },
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings and tell all that is wrong in them",
		Args:  positionalArgs(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, files []string) error {
			faults := 0
			for _, path := range files {
				faults += checkSettings(c.OutOrStdout(), path)
			}
			if faults > 0 {
				return fmt.Errorf("%d faults", faults)
			}
			return nil
		},
	}
}

// checkSettings prints what is wrong in a settings file and returns the number of faults.
func checkSettings(out io.Writer, path string) int {
	settings, err := config.Load(path)
	var faults config.FieldErrors
	switch {
	case errors.As(err, &faults):
		printLine(out, faults)
		return len(faults)
	case err != nil:
		printLine(out, err)
		return 1
	}
	printf(out, "%s: good: governor %s, %d proxies, %d classes\n",
		path, settings.Name, len(settings.Proxies), len(settings.Classes))
	return 0
}

func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay RECORDS",
		Short: "Step the module through records and compare its orders",
		Long: `Step the module through what a governor recorded ('records' in its settings). It must give the same
orders to the byte; the first line that differs is told.`,
		Args: positionalArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer func() { _ = file.Close() }()
			steps, orders, err := eventlog.Replay(args[0], file)
			printf(c.OutOrStdout(), "%d steps, %d orders the same\n", steps, orders)
			return err
		},
	}
}
