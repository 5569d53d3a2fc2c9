// Command cressknot is the control service: it distributes the requests of proxies over servers by weight tables, which
// it sends to the proxies. Its other commands query and operate a running controller, or work on its files.
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

// usageError is an error in the command line: the program exits with exitUsage instead of exitFailed.
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

// isUnknownCommand recognizes an unknown command by the error's text, because cobra has no error type for it.
func isUnknownCommand(err error) bool { return strings.HasPrefix(err.Error(), "unknown command") }

// positionalArgs turns the errors of an argument check into usage errors.
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
		Short: "Control service that distributes the requests of proxies over servers",
		Long: `Cressknot runs a controller, which collects from proxies how each server performs, and keeps the weights of
their tables up to date while servers, proxies and controllers fail.

Exit codes: 0 success, 1 failure, 2 invalid command line.`,
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
		Short: "Print the program's version",
		Args:  positionalArgs(cobra.NoArgs),
		Run:   func(c *cobra.Command, _ []string) { printLine(c.OutOrStdout(), server.Version) },
	}
}
