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

// socketFlag adds the flags that name the operators' socket and returns a function that finds it: by flag, else by the
// settings.
func socketFlag(c *cobra.Command) func() (string, error) {
	var socket, path string
	c.Flags().StringVarP(&socket, "socket", "s", "", "operators' socket: path or host:port")
	c.Flags().StringVarP(&path, "config", "c", "", "settings that name the socket")
	return func() (string, error) {
		if socket != "" {
			return socket, nil
		}
		if path == "" {
			return "", usageError{errors.New("needs --socket PATH or --config FILE")}
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

// ask sends one command to a controller and prints its answer.
func ask(out io.Writer, socket func() (string, error), words ...string) error {
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
		Short:     "Show what a running governor holds",
		ValidArgs: showTopics,
	}
	stale := c.Flags().Bool("stale", false, "with reports: only servers and proxies that something is wrong with")
	c.Args = positionalArgs(func(c *cobra.Command, args []string) error {
		switch {
		case len(args) == 0 || !slices.Contains(showTopics, args[0]):
			return fmt.Errorf("show what? %s", strings.Join(showTopics, ", "))
		case args[0] == "members" && len(args) == 2 && args[1] == "proxies":
			return nil
		case args[0] == "series":
			return cobra.RangeArgs(2, 3)(c, args)
		case *stale && args[0] != "reports":
			return errors.New("--stale goes with reports")
		}
		return cobra.ExactArgs(1)(c, args)
	})
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		words := append([]string{"show"}, args...)
		if *stale {
			words = append(words, "stale")
		}
		return ask(c.OutOrStdout(), socket, words...)
	}
	return c
}

func topCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "top servers age|load|failures [N]",
		Short: "Show the servers that stand out",
		Args:  positionalArgs(cobra.RangeArgs(2, 3)),
	}
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return ask(c.OutOrStdout(), socket, append([]string{"top"}, args...)...)
	}
	return c
}

func explainCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "explain SERVER",
		Short: "Tell why a server's weight is what it is",
		Args:  positionalArgs(cobra.ExactArgs(1)),
	}
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return ask(c.OutOrStdout(), socket, "explain", args[0])
	}
	return c
}

// tableSubcommand is a subcommand of "table", which passes its arguments to the controller.
type tableSubcommand struct {
	use, short       string
	minArgs, maxArgs int
}

var tableSubcommands = []tableSubcommand{
	{"history TABLE", "The versions that are kept: when, digest, lines changed, why", 1, 1},
	{"show TABLE [VERSION]", "The lines of a version, of the present one if none is named", 1, 2},
	{"diff TABLE VERSION [VERSION]", "What differs between two versions, or from one to the present", 2, 3},
	{"rollback TABLE VERSION [TIME]", "Go back to the content of a version, pinned for a time (5m)", 2, 3},
	{"pin TABLE [TIME]", "Hold a table against the module for a time (5m)", 1, 2},
	{"unpin TABLE", "Let the module's table count again", 1, 1},
	{"proxies", "Which version each proxy was told, and whether it is the newest", 0, 0},
}

func tableCommand() *cobra.Command {
	table := &cobra.Command{
		Use:   "table",
		Short: "Versions of a table: history, a way back, pins",
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
		return ask(c.OutOrStdout(), socket, append([]string{"table", verb}, args...)...)
	}
	return c
}
