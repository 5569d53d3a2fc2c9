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
	c := &cobra.Command{Use: "guard", Short: "Ask the guard", Args: positionalArgs(cobra.NoArgs)}
	c.AddCommand(guardCheckCommand())
	return c
}

func guardCheckCommand() *cobra.Command {
	var table, state string
	c := &cobra.Command{
		Use:   "check --table FILE --state FILE",
		Short: "Judge a table against a state, offline",
		Long: `Judge a table file against a state file and say in plain words who would be harmed. Exit code 1 when
the table is harmful. docs/operate/guard.md has the files' form.`,
		Args: positionalArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if table == "" || state == "" {
				return usageError{errors.New("guard check needs --table FILE and --state FILE")}
			}
			return checkTable(c.OutOrStdout(), table, state)
		},
	}
	c.Flags().StringVar(&table, "table", "", "the table")
	c.Flags().StringVar(&state, "state", "", "what it is judged against")
	return c
}

// checkTable prints the harm that a table would do; it fails if there is any.
func checkTable(out io.Writer, tablePath, statePath string) error {
	table, err := os.ReadFile(tablePath)
	if err != nil {
		return err
	}
	state, err := os.ReadFile(statePath)
	if err != nil {
		return err
	}
	harms, err := safety.Check(tablePath, table, statePath, state)
	if err != nil {
		return err
	}
	for _, harm := range harms {
		printLine(out, harm)
	}
	if len(harms) > 0 {
		return fmt.Errorf("%d harms", len(harms))
	}
	printLine(out, "harmless")
	return nil
}
