// Cressknot is the control service: it steers plain proxies by weights over their runtime sockets.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"cressknot/internal/config"
	"cressknot/internal/eventlog"
	"cressknot/internal/rollingrestart"
	"cressknot/internal/safety"
	"cressknot/internal/server"
)

// usage is an error of the command line itself; the program then exits with 2.
type usage struct{ error }

func main() {
	root := command()
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "cressknot:", err)
		var u usage
		if errors.As(err, &u) || strings.HasPrefix(err.Error(), "unknown command") {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, a []string) error {
		if err := check(c, a); err != nil {
			return usage{fmt.Errorf("%w; see '%s --help'", err, c.CommandPath())}
		}
		return nil
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:   "cressknot",
		Short: "Steers plain proxies: which servers each sends its visits to",
		Long: `Cressknot runs a governor: it hears what proxies met at each server, and keeps the weights of
their tables right while servers, proxies and governors fail.

Exit codes: 0 done, 1 failed, 2 the command line was wrong.`,
		Example: `  cressknot check governor.cue
  cressknot serve --config governor.cue
  cressknot show servers --socket /run/cressknot.sock
  cressknot explain node-07 --socket /run/cressknot.sock`,
		SilenceErrors: true, SilenceUsage: true, Version: server.Version,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage{err} })
	root.AddCommand(serveCommand(), nodeCommand(), checkCommand(), showCommand(), topCommand(), explainCommand(), guardCommand(), tableCommand(), storeCommand(), retireCommand(), takeCommand(), planCommand(), rollingCommand(), replayCommand(),
		&cobra.Command{Use: "version", Short: "Print the version", Args: args(cobra.NoArgs),
			Run: func(c *cobra.Command, _ []string) { printLine(c.OutOrStdout(), server.Version) }})
	return root
}

func serveCommand() *cobra.Command {
	var path string
	c := &cobra.Command{Use: "serve --config FILE", Short: "Run a governor",
		Long: `Run the governor of a settings file until SIGINT or SIGTERM. Orders in hand leave first; a second
signal ends it at once. SIGHUP reads the settings again: what may change while it runs is taken
over, a file that asks for more is refused whole.`,
		Args: args(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				return usage{errors.New("serve needs --config FILE")}
			}
			return server.RunController(path)
		}}
	c.Flags().StringVarP(&path, "config", "c", "", "settings: CUE, JSON or YAML")
	return c
}

func nodeCommand() *cobra.Command {
	return &cobra.Command{Use: "node", Short: "Run a governor on a platform with a relay",
		Long: `Run a governor as the platform's variables say, RELAY_CONFIG before all. SIGHUP reads the configuration
again and goes to its addresses; SIGTERM ends it once the call in the air is done. docs/operate/node.md has more.`,
		Args: args(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error { return server.RunPlatform(os.Getenv) }}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Check settings and tell all that is wrong in them",
		Args: args(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, files []string) error {
			wrong := 0
			for _, path := range files {
				s, err := config.Load(path)
				var faults config.Faults
				switch {
				case errors.As(err, &faults):
					wrong += len(faults)
					printLine(c.OutOrStdout(), faults)
				case err != nil:
					wrong++
					printLine(c.OutOrStdout(), err)
				default:
					printf(c.OutOrStdout(), "%s: good: governor %s, %d proxies, %d classes\n", path, s.Name,
						len(s.Proxies), len(s.Classes))
				}
			}
			if wrong > 0 {
				return fmt.Errorf("%d faults", wrong)
			}
			return nil
		}}
}

// socketFlag finds the operators' socket: by flag, else by the settings.
func socketFlag(c *cobra.Command) func() (string, error) {
	var socket, path string
	c.Flags().StringVarP(&socket, "socket", "s", "", "operators' socket: path or host:port")
	c.Flags().StringVarP(&path, "config", "c", "", "settings that name the socket")
	return func() (string, error) {
		if socket != "" {
			return socket, nil
		}
		if path == "" {
			return "", usage{errors.New("needs --socket PATH or --config FILE")}
		}
		s, err := config.Load(path)
		if err != nil {
			return "", err
		}
		if s.Operators.Socket == "" {
			return "", fmt.Errorf("%s: operators.socket: is not set", path)
		}
		return s.Operators.Socket, nil
	}
}

func showCommand() *cobra.Command {
	c := &cobra.Command{Use: "show info|servers|tables|proxies|orders|log|refusals|doubts|peers|members [proxies]|reports|intake|series SERVER [MINUTES]",
		Short:     "Show what a running governor holds",
		ValidArgs: []string{"info", "servers", "tables", "proxies", "orders", "log", "refusals", "doubts", "peers", "members", "reports", "intake", "series"}}
	stale := c.Flags().Bool("stale", false, "with reports: only servers and proxies that something is wrong with")
	c.Args = args(func(c *cobra.Command, a []string) error {
		switch {
		case len(a) == 0 || !slices.Contains(c.ValidArgs, a[0]):
			return fmt.Errorf("show what? %s", strings.Join(c.ValidArgs, ", "))
		case a[0] == "members" && len(a) == 2 && a[1] == "proxies":
			return nil
		case a[0] == "series":
			return cobra.RangeArgs(2, 3)(c, a)
		case *stale && a[0] != "reports":
			return errors.New("--stale goes with reports")
		}
		return cobra.ExactArgs(1)(c, a)
	})
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, a []string) error {
		if *stale {
			a = append(a, "stale")
		}
		return ask(c.OutOrStdout(), socket, append([]string{"show"}, a...)...)
	}
	return c
}

func topCommand() *cobra.Command {
	c := &cobra.Command{Use: "top servers age|load|failures [N]", Short: "Show the servers that stand out",
		Args: args(cobra.RangeArgs(2, 3))}
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, a []string) error {
		return ask(c.OutOrStdout(), socket, append([]string{"top"}, a...)...)
	}
	return c
}

func explainCommand() *cobra.Command {
	c := &cobra.Command{Use: "explain SERVER", Short: "Tell why a server's weight is what it is",
		Args: args(cobra.ExactArgs(1))}
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, a []string) error { return ask(c.OutOrStdout(), socket, "explain", a[0]) }
	return c
}

// ask sends one command to a governor and prints its answer.
func ask(out io.Writer, socket func() (string, error), words ...string) error {
	addr, err := socket()
	if err != nil {
		return err
	}
	text, err := rollingrestart.Ask(addr, words...)
	if err == nil {
		_, err = io.WriteString(out, text)
	}
	return err
}

func guardCommand() *cobra.Command {
	c := &cobra.Command{Use: "guard", Short: "Ask the guard", Args: args(cobra.NoArgs)}
	var table, state string
	check := &cobra.Command{Use: "check --table FILE --state FILE", Short: "Judge a table against a state, offline",
		Long: `Judge a table file against a state file and say in plain words who would be harmed. Exit code 1 when
the table is harmful. docs/operate/guard.md has the files' form.`,
		Args: args(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if table == "" || state == "" {
				return usage{errors.New("guard check needs --table FILE and --state FILE")}
			}
			tableText, err := os.ReadFile(table)
			if err != nil {
				return err
			}
			stateText, err := os.ReadFile(state)
			if err != nil {
				return err
			}
			harms, err := safety.Check(table, tableText, state, stateText)
			if err != nil {
				return err
			}
			for _, h := range harms {
				printLine(c.OutOrStdout(), h)
			}
			if len(harms) > 0 {
				return fmt.Errorf("%d harms", len(harms))
			}
			printLine(c.OutOrStdout(), "harmless")
			return nil
		}}
	check.Flags().StringVar(&table, "table", "", "the table")
	check.Flags().StringVar(&state, "state", "", "what it is judged against")
	c.AddCommand(check)
	return c
}

func tableCommand() *cobra.Command {
	table := &cobra.Command{Use: "table", Short: "Versions of a table: history, a way back, pins", Args: args(cobra.NoArgs)}
	for _, one := range []struct {
		use, short  string
		least, most int
	}{
		{"history TABLE", "The versions that are kept: when, digest, lines changed, why", 1, 1},
		{"show TABLE [VERSION]", "The lines of a version, of the present one if none is named", 1, 2},
		{"diff TABLE VERSION [VERSION]", "What differs between two versions, or from one to the present", 2, 3},
		{"rollback TABLE VERSION [TIME]", "Go back to the content of a version, pinned for a time (5m)", 2, 3},
		{"pin TABLE [TIME]", "Hold a table against the module for a time (5m)", 1, 2},
		{"unpin TABLE", "Let the module's table count again", 1, 1},
		{"proxies", "Which version each proxy was told, and whether it is the newest", 0, 0},
	} {
		verb, _, _ := strings.Cut(one.use, " ")
		c := &cobra.Command{Use: one.use, Short: one.short, Args: args(cobra.RangeArgs(one.least, one.most))}
		socket := socketFlag(c)
		c.RunE = func(c *cobra.Command, a []string) error {
			return ask(c.OutOrStdout(), socket, append([]string{"table", verb}, a...)...)
		}
		table.AddCommand(c)
	}
	return table
}

func replayCommand() *cobra.Command {
	return &cobra.Command{Use: "replay RECORDS", Short: "Step the module through records and compare its orders",
		Long: `Step the module through what a governor recorded ('records' in its settings). It must give the same
orders to the byte; the first line that differs is told.`,
		Args: args(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, a []string) error {
			f, err := os.Open(a[0])
			if err != nil {
				return err
			}
			defer func() { _ = f.Close() }()
			steps, orders, err := eventlog.Replay(a[0], f)
			printf(c.OutOrStdout(), "%d steps, %d orders the same\n", steps, orders)
			return err
		}}
}
