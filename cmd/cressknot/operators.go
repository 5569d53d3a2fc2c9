package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"cressknot/internal/config"
	"cressknot/internal/rollingrestart"
)

// socketFlag adds the flags --socket and --config, and returns a function that returns the address of the operators'
// socket: from --socket, else from the settings file of --config.
func socketFlag(c *cobra.Command) func() (string, error) {
	var socket, path string
	c.Flags().StringVarP(&socket, "socket", "s", "", "operators' socket of the controller: path or host:port")
	c.Flags().StringVarP(&path, "config", "c", "", "settings file of the controller, to read the socket from")
	return func() (string, error) {
		if socket != "" {
			return socket, nil
		}
		if path == "" {
			return "", usageError{errors.New("--socket ADDRESS or --config FILE is required")}
		}
		settings, err := config.Load(path)
		if err != nil {
			return "", err
		}
		if settings.Operators.Socket == "" {
			return "", fmt.Errorf("%s: operators.socket: is not set", path)
		}
		return settings.Operators.Socket, nil
	}
}

// sendCommand sends one command to a controller's operators' socket and prints the answer.
func sendCommand(out io.Writer, socket func() (string, error), words ...string) error {
	addr, err := socket()
	if err != nil {
		return err
	}
	text, err := rollingrestart.Ask(addr, words...)
	if err != nil {
		return err
	}
	_, err = io.WriteString(out, text)
	return err
}

// showTopics are the arguments of "show".
var showTopics = []string{
	"info", "servers", "tables", "proxies", "orders", "log", "refusals", "doubts", "peers", "members", "reports",
	"intake", "series",
}

func showCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "show info|servers|tables|proxies|orders|log|refusals|doubts|peers|members [proxies]|reports|intake|" +
			"series SERVER [MINUTES]",
		Short:     "Show the state of a running controller",
		ValidArgs: showTopics,
	}
	stale := c.Flags().Bool("stale", false,
		"with reports: only servers that are not healthy and proxies with outdated counters")
	c.Args = positionalArgs(func(c *cobra.Command, args []string) error {
		switch {
		case len(args) == 0 || !slices.Contains(showTopics, args[0]):
			return fmt.Errorf("show requires a topic, one of %s", strings.Join(showTopics, ", "))
		case args[0] == "members" && len(args) == 2 && args[1] == "proxies":
			return nil
		case args[0] == "series":
			return cobra.RangeArgs(2, 3)(c, args)
		case *stale && args[0] != "reports":
			return errors.New("--stale is only valid with reports")
		}
		return cobra.ExactArgs(1)(c, args)
	})
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		words := append([]string{"show"}, args...)
		if *stale {
			words = append(words, "stale")
		}
		return sendCommand(c.OutOrStdout(), socket, words...)
	}
	return c
}

func topCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "top servers age|load|failures [N]",
		Short: "Rank servers by age of their reports, load or failures",
		Args:  positionalArgs(cobra.RangeArgs(2, 3)),
	}
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return sendCommand(c.OutOrStdout(), socket, append([]string{"top"}, args...)...)
	}
	return c
}

func explainCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "explain SERVER",
		Short: "Explain how a server's weight was determined",
		Args:  positionalArgs(cobra.ExactArgs(1)),
	}
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return sendCommand(c.OutOrStdout(), socket, "explain", args[0])
	}
	return c
}

// tableSubcommand is a subcommand of "table". Its arguments are sent to the controller as they are.
type tableSubcommand struct {
	use, short       string
	minArgs, maxArgs int
}

var tableSubcommands = []tableSubcommand{
	{"history TABLE", "List the stored versions: time, digest, number of changed entries, reason", 1, 1},
	{"show TABLE [VERSION]", "Print the entries of a version; default: the current one", 1, 2},
	{"diff TABLE VERSION [VERSION]", "Compare two versions, or a version and the current one", 2, 3},
	{"rollback TABLE VERSION [TIME]", "Restore the content of a version and pin it (default: 5m)", 2, 3},
	{"pin TABLE [TIME]", "Keep a table unchanged by the balancer (default: 5m)", 1, 2},
	{"unpin TABLE", "Let the balancer change the table again", 1, 1},
	{"proxies", "Show which version each proxy was sent, and whether it is the latest", 0, 0},
}

func tableCommand() *cobra.Command {
	table := &cobra.Command{
		Use:   "table",
		Short: "Manage the versions of weight tables: history, rollback, pins",
		Args:  positionalArgs(cobra.NoArgs),
	}
	for _, subcommand := range tableSubcommands {
		table.AddCommand(subcommand.command())
	}
	return table
}

func (s tableSubcommand) command() *cobra.Command {
	verb, _, _ := strings.Cut(s.use, " ")
	c := &cobra.Command{
		Use:   s.use,
		Short: s.short,
		Args:  positionalArgs(cobra.RangeArgs(s.minArgs, s.maxArgs)),
	}
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return sendCommand(c.OutOrStdout(), socket, append([]string{"table", verb}, args...)...)
	}
	return c
}
