// Command cressknot is the control service: it assigns servers to plain proxies by weight tables over their runtime
// sockets.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"cressknot/internal/server"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error of the command line itself; the program exits with exitUsage then.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func main() {
	err := rootCommand().ExecuteContext(context.Background())
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cressknot:", err)
	var usage usageError
	if errors.As(err, &usage) || isUnknownCommand(err) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

// isUnknownCommand recognizes the error of an unknown command by its text, because cobra has no type for it.
func isUnknownCommand(err error) bool { return strings.HasPrefix(err.Error(), "unknown command") }

// positionalArgs makes errors of a check of arguments usage errors.
func positionalArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return usageError{fmt.Errorf("%w; see '%s --help'", err, c.CommandPath())}
		}
		return nil
	}
}

func rootCommand() *cobra.Command {
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
		SilenceErrors: true,
		SilenceUsage:  true,
		Version:       server.Version,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(
		serveCommand(),
		nodeCommand(),
		checkCommand(),
		showCommand(),
		topCommand(),
		explainCommand(),
		guardCommand(),
		tableCommand(),
		storeCommand(),
		retireCommand(),
		takeCommand(),
		planCommand(),
		rollingCommand(),
		replayCommand(),
		versionCommand(),
	)
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  positionalArgs(cobra.NoArgs),
		Run:   func(c *cobra.Command, _ []string) { printLine(c.OutOrStdout(), server.Version) },
	}
}
