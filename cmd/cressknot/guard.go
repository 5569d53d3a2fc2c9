package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"cressknot/internal/safety"
)

func guardCommand() *cobra.Command {
	c := &cobra.Command{Use: "guard", Short: "Check tables against the guard's rules", Args: positionalArgs(cobra.NoArgs)}
	c.AddCommand(guardCheckCommand())
	return c
}

func guardCheckCommand() *cobra.Command {
	var table, state string
	c := &cobra.Command{
		Use:   "check --table FILE --state FILE",
		Short: "Check a table file against a state file, offline",
		Long: `Check a table file against a state file with the guard's rules and print each violation. The exit code is 1
if there is one. docs/operate/guard.md describes the format of both files.`,
		Args: positionalArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if table == "" || state == "" {
				return usageError{errors.New("guard check requires --table FILE and --state FILE")}
			}
			return checkTable(c.OutOrStdout(), table, state)
		},
	}
	c.Flags().StringVar(&table, "table", "", "table file (JSON)")
	c.Flags().StringVar(&state, "state", "", "state file (JSON): servers and demand of the class")
	return c
}

// checkTable prints the violations of the guard's rules by a table, and returns an error if there are any.
func checkTable(out io.Writer, tablePath, statePath string) error {
	table, err := os.ReadFile(tablePath)
	if err != nil {
		return err
	}
	state, err := os.ReadFile(statePath)
	if err != nil {
		return err
	}
	violations, err := safety.Check(tablePath, table, statePath, state)
	if err != nil {
		return err
	}
	for _, violation := range violations {
		printLine(out, violation)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%s: %d violations of the guard's rules", tablePath, len(violations))
	}
	printLine(out, "harmless")
	return nil
}
