package controller

import (
	"fmt"
	"slices"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
)

// query is the context in which a command is handled in the loop's goroutine.
type query struct {
	core    *Core
	loop    *Loop
	version string // of the program
	now     fleet.Time
	args    []string // that follow the command's words
}

// command is a command of the operators' socket. Scripts rely on its words, its arguments, and the headers, keys and
// columns of its answers, so these never change.
type command struct {
	words []string
	help  string
	// handle returns the answer. The text of an error is sent as the answer as well, and includes the final newline.
	handle   func(q *query) (string, error)
	persists bool // its effect must survive a restart, so the answer waits until it is on disk
}

// commandError is the answer to a command that can't be carried out: one or more lines with their newlines.
type commandError string

func (e commandError) Error() string { return string(e) }

// commandErrorf formats a commandError.
func commandErrorf(format string, args ...any) error {
	return commandError(fmt.Sprintf(format, args...))
}

// answerf formats the result of a handler that succeeded.
func answerf(format string, args ...any) (string, error) { return fmt.Sprintf(format, args...), nil }

// errUnknownServer answers a command that names an unknown server.
const errUnknownServer = commandError(haproxyapi.NoServer)

// commands returns all commands in the order in which "help" lists them.
func commands() []command {
	help := command{
		words:  []string{"help"},
		help:   "this list",
		handle: func(*query) (string, error) { return helpText(), nil },
	}
	return slices.Concat(
		stateCommands(), reportCommands(), explainCommands(), overrideCommands(), peerCommands(), []command{help})
}

func helpText() string {
	var b strings.Builder
	for _, c := range commands() {
		fmt.Fprintf(&b, "  %-14s : %s\n", strings.Join(c.words, " "), c.help)
	}
	b.WriteString("  prompt [n|i|p] : leave or enter interactive mode\n  quit           : close the connection\n")
	return b.String()
}

// server returns the id of the server with a name.
func (q *query) server(name string) (fleet.ServerID, error) {
	id, known := q.core.names.Server(name)
	if !known {
		return 0, errUnknownServer
	}
	return id, nil
}

// hasOption reports whether an option, with or without leading dashes, is the only argument.
func (q *query) hasOption(name string) bool {
	return len(q.args) == 1 && strings.TrimLeft(q.args[0], "-") == name
}

// parseOnOff parses the argument at an index, which must be the last one, as "on" or "off".
func (q *query) parseOnOff(i int) (on, ok bool) {
	if len(q.args) != i+1 {
		return false, false
	}
	return q.args[i] == "on", q.args[i] == "on" || q.args[i] == "off"
}

// joinCommandErrors concatenates the texts of errors to one error. It skips nil, and returns nil if all are. Unlike
// errors.Join it adds no newlines, as each text has its own.
func joinCommandErrors(errs ...error) error {
	var text strings.Builder
	for _, err := range errs {
		if err != nil {
			text.WriteString(err.Error())
		}
	}
	if text.Len() == 0 {
		return nil
	}
	return commandError(text.String())
}
